//! A running replica with its threads for the protocol, the disk and the state machine.

mod core;
mod error;
mod waiters;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use rand::RngExt as _;

use crate::config::Limits;
use crate::config::Timing;
use crate::ids::ClusterId;
use crate::ids::NodeId;
use crate::machine::StateMachine;
use crate::membership::Change;
use crate::membership::ChangeError;
use crate::membership::Member;
use crate::membership::Membership;
use crate::message::Message;
use crate::node::Input;
use crate::node::Node;
use crate::node::NodeStatus;
use crate::node::Refusal;
use crate::node::RoleName;
use crate::node::Write;
use crate::replica::core::Core;
pub use crate::replica::error::ProposeError;
pub use crate::replica::error::StartError;
pub use crate::replica::error::UnknownReason;
use crate::replica::waiters::Claim;
use crate::replica::waiters::Operation;
use crate::replica::waiters::Request;
use crate::storage::Storage;
use crate::storage::StorageError;
use crate::storage::disk::Disk;
use crate::storage::frame;
use crate::storage::frame::End;

/// Carries messages to the other replicas. A message may be lost, delayed, duplicated or reordered.
pub trait Transport: Send + 'static {
    /// Sends a message or drops it. It must not block on the network.
    ///
    /// A replica that has just been added knows no addresses yet. An answer to a replica that sent
    /// it a message must be delivered nevertheless.
    fn send(&self, to: NodeId, message: Message);

    /// Informs the transport of the members and their addresses whenever they change.
    fn configure(&self, membership: &Membership) {
        let _ = membership;
    }
}

/// The settings of a replica.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaSettings {
    /// The durations of the protocol.
    pub timing: Timing,
    /// The bounds on state and messages.
    pub limits: Limits,
    /// The size of the log in memory after which a snapshot is taken, in bytes; it is larger if the
    /// state is larger.
    pub snapshot_bytes: usize,
    /// The largest number of messages that wait to be handled; further messages are dropped, as if
    /// the network had lost them.
    pub max_messages: usize,
    /// The largest number of requests that wait to be handled; further requests are refused as not
    /// run.
    pub max_requests: usize,
    /// The size of a segment of the log on disk, in bytes.
    pub segment_bytes: u64,
}

impl Default for ReplicaSettings {
    fn default() -> Self {
        Self {
            timing: Timing::default(),
            limits: Limits::default(),
            snapshot_bytes: 4 << 20,
            max_messages: 4_096,
            max_requests: 10_000,
            segment_bytes: crate::storage::SEGMENT_BYTES,
        }
    }
}

/// A command that was committed and applied on this replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied<T> {
    /// The index of its entry in the log.
    pub index: u64,
    /// The outcome that the state machine returned.
    pub outcome: T,
}

/// A summary of a replica's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// Its identity.
    pub id: NodeId,
    /// The group that it belongs to.
    pub cluster: Option<ClusterId>,
    /// The state of the protocol.
    pub node: NodeStatus,
    /// The last index applied to the state machine.
    pub applied: u64,
    /// The end of the time in which this leader serves reads without asking the followers.
    pub lease: Option<Instant>,
    /// The reason why the replica stopped, if it failed.
    pub failed: Option<String>,
}

/// An event sent to the protocol thread.
enum Event<T> {
    Message(Message),
    Request(Request<T>),
    Disk(Vec<Input>),
    DiskFailed(StorageError),
    Stop,
}

/// The state that callers and threads share.
struct Shared {
    status: Mutex<ReplicaStatus>,
    pending_messages: AtomicUsize,
    pending_requests: AtomicUsize,
}

impl Shared {
    fn new(node: &Node) -> Self {
        let status = ReplicaStatus {
            id: node.id(),
            cluster: None,
            node: node.status(),
            applied: 0,
            lease: None,
            failed: None,
        };
        Self {
            status: Mutex::new(status),
            pending_messages: AtomicUsize::new(0),
            pending_requests: AtomicUsize::new(0),
        }
    }

    fn status(&self) -> MutexGuard<'_, ReplicaStatus> {
        self.status.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Runs one replica of a state machine. Dropping it stops it at once; see [`Replica::stop`].
pub struct Replica<M: StateMachine> {
    shared: Arc<Shared>,
    settings: ReplicaSettings,
    events: Sender<Event<M::Outcome>>,
    threads: Mutex<Vec<JoinHandle<()>>>,
}

impl<M: StateMachine> Replica<M> {
    /// Opens the disk and starts the threads. The state machine is first restored from the
    /// snapshot; later entries are applied once the group has a leader.
    ///
    /// # Errors
    /// Returns [`StartError`], which names the remedy.
    pub fn start<D>(
        disk: D,
        settings: ReplicaSettings,
        machine: M,
        transport: impl Transport,
    ) -> Result<Self, StartError>
    where
        D: Disk + Send + 'static,
        D::File: Send,
    {
        let fresh = NodeId(rand::rng().random());
        let (storage, saved) = Storage::open_sized(disk, fresh, settings.segment_bytes)?;
        let (events, inbox) = mpsc::channel();
        let (writes, queue) = mpsc::channel();
        let id = storage.node();
        let core = Core::new(id, settings, saved, machine, transport, writes);
        let (core, shared) = core.restore_machine()?;
        let results = events.clone();
        let disk = spawn("log-disk", move || run_disk(storage, &queue, &results))?;
        let core = spawn("log-core", move || core.run(&inbox))?;
        Ok(Self {
            shared,
            settings,
            events,
            threads: Mutex::new(vec![core, disk]),
        })
    }

    /// Accepts a message from another replica.
    pub fn deliver(&self, message: Message) {
        if self.shared.pending_messages.fetch_add(1, Ordering::Relaxed)
            >= self.settings.max_messages
        {
            self.shared.pending_messages.fetch_sub(1, Ordering::Relaxed);
            return;
        }
        let _ = self.events.send(Event::Message(message));
    }

    /// Proposes a command and waits until it is applied on this replica.
    ///
    /// # Errors
    /// Returns [`ProposeError`], which tells whether the command certainly has not run or may have
    /// run.
    pub fn propose(
        &self,
        command: impl Into<Bytes>,
        deadline: Instant,
    ) -> Result<Applied<M::Outcome>, ProposeError> {
        let command = command.into();
        self.ask(deadline, |reply| Operation::Propose { command, reply })
    }

    /// Waits until every command accepted before the call is applied on this replica, and returns
    /// the last applied index. A subsequent read of the state machine is linearizable.
    ///
    /// # Errors
    /// Returns [`ProposeError::Refused`] if this replica does not lead, or
    /// [`ProposeError::Unknown`] if the leadership was not confirmed in time. A read changes
    /// nothing in either case.
    pub fn read_barrier(&self, deadline: Instant) -> Result<u64, ProposeError> {
        self.ask(deadline, |reply| Operation::Read { reply })
    }

    /// Adds a member that copies the log without counting towards a majority.
    ///
    /// # Errors
    /// Returns the errors of [`Replica::propose`].
    pub fn add_learner(&self, member: Member, deadline: Instant) -> Result<u64, ProposeError> {
        self.change(Change::AddLearner(member), deadline)
    }

    /// Makes a learner a voter as soon as it holds every committed entry. Under load it catches up
    /// only from time to time, so this call retries until `retry_until`.
    ///
    /// # Errors
    /// Returns the errors of [`Replica::propose`].
    pub fn promote(
        &self,
        node: NodeId,
        retry_until: Instant,
        deadline: Instant,
    ) -> Result<u64, ProposeError> {
        loop {
            let result = self.change(Change::Promote(node), deadline);
            let behind = matches!(
                result,
                Err(ProposeError::Refused(Refusal::Change(
                    ChangeError::Behind { .. }
                )))
            );
            if !behind || Instant::now() + POLL_INTERVAL >= retry_until {
                return result;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Changes the name or address of a member.
    ///
    /// # Errors
    /// Returns the errors of [`Replica::propose`].
    pub fn move_member(&self, member: Member, deadline: Instant) -> Result<u64, ProposeError> {
        self.change(Change::Move(member), deadline)
    }

    /// Removes a member that does not lead.
    ///
    /// # Errors
    /// Returns the errors of [`Replica::propose`].
    pub fn remove(&self, node: NodeId, deadline: Instant) -> Result<u64, ProposeError> {
        self.change(Change::Remove(node), deadline)
    }

    /// Changes the membership and waits until the change is committed.
    ///
    /// # Errors
    /// Returns the errors of [`Replica::propose`].
    pub fn change(&self, change: Change, deadline: Instant) -> Result<u64, ProposeError> {
        self.ask(deadline, |reply| Operation::Change { change, reply })
    }

    /// Starts a transfer of the leadership to `to`, or to the voter with the longest log.
    ///
    /// # Errors
    /// Returns [`ProposeError::Refused`] if this replica does not lead or the group has no such
    /// voter.
    pub fn transfer_leader(
        &self,
        to: Option<NodeId>,
        deadline: Instant,
    ) -> Result<(), ProposeError> {
        self.ask(deadline, |reply| Operation::Transfer { to, reply })
    }

    /// Creates a group with this replica as its only voter at first. The group takes commands once
    /// it has had `voter_count` voters. The state machine starts from `state`, such as a backup, or from
    /// its present state.
    ///
    /// # Errors
    /// Returns [`ProposeError::Refused`] if the folder belongs to a group already.
    pub fn create(
        &self,
        member: Member,
        voter_count: u32,
        state: Option<Bytes>,
        deadline: Instant,
    ) -> Result<(), ProposeError> {
        self.ask(deadline, |reply| Operation::Create {
            member,
            voter_count,
            state,
            reply,
        })
    }

    /// Returns the state applied on this replica, with a checksum; see [`open_backup`].
    ///
    /// # Errors
    /// Returns [`ProposeError`] if the replica has stopped or the deadline passed.
    pub fn backup(&self, deadline: Instant) -> Result<Bytes, ProposeError> {
        self.ask(deadline, |reply| Operation::Backup { reply })
    }

    /// Returns the current status of the replica.
    pub fn status(&self) -> ReplicaStatus {
        self.shared.status().clone()
    }

    /// Stops the replica. A leader transfers its leadership first, for at most `patience`, so that
    /// the group needs no election timeout.
    pub fn stop(&self, patience: Duration) {
        let until = Instant::now() + patience;
        if self.leads() && self.transfer_leader(None, until).is_ok() {
            while self.leads() && Instant::now() < until {
                thread::sleep(POLL_INTERVAL);
            }
        }
        self.halt();
    }

    fn leads(&self) -> bool {
        let status = self.shared.status();
        status.node.role == RoleName::Leader && status.failed.is_none()
    }

    fn halt(&self) {
        let _ = self.events.send(Event::Stop);
        let threads = self.threads.lock();
        let mut threads = threads.unwrap_or_else(PoisonError::into_inner);
        // The transport may hold the last reference to the replica; this code then runs on the
        // thread that ends, which must not join itself.
        let own = thread::current().id();
        for thread in threads.drain(..).filter(|t| t.thread().id() != own) {
            let _ = thread.join();
        }
    }

    fn ask<T>(
        &self,
        deadline: Instant,
        operation: impl FnOnce(waiters::Reply<T>) -> Operation<M::Outcome>,
    ) -> Result<T, ProposeError> {
        if self.shared.pending_requests.fetch_add(1, Ordering::Relaxed)
            >= self.settings.max_requests
        {
            self.shared.pending_requests.fetch_sub(1, Ordering::Relaxed);
            return Err(Refusal::Busy.into());
        }
        let claim = Claim::default();
        let (reply, answer) = mpsc::sync_channel(1);
        let request = Request {
            claim: claim.clone(),
            operation: operation(reply),
        };
        if self.events.send(Event::Request(request)).is_err() {
            return Err(Refusal::Stopped.into());
        }
        let left = deadline.saturating_duration_since(Instant::now());
        match answer.recv_timeout(left) {
            Ok(result) => result,
            // The request has not been handled, and taking the claim ensures that it never will be.
            Err(_) if claim.take() => Err(Refusal::Busy.into()),
            Err(mpsc::RecvTimeoutError::Timeout) => {
                Err(ProposeError::Unknown(UnknownReason::Timeout))
            }
            Err(mpsc::RecvTimeoutError::Disconnected) => {
                Err(ProposeError::Unknown(UnknownReason::Stopped))
            }
        }
    }
}

impl<M: StateMachine> Drop for Replica<M> {
    fn drop(&mut self) {
        self.halt();
    }
}

/// Checks a backup of [`Replica::backup`] and returns the state for [`Replica::create`].
///
/// # Errors
/// Returns [`StorageError::Backup`] if the bytes are not a whole, unchanged backup.
pub fn open_backup(bytes: &[u8]) -> Result<Bytes, StorageError> {
    let frames = frame::decode(bytes);
    match (frames.payloads.as_slice(), frames.end) {
        ([state], End::Whole) => Ok(Bytes::copy_from_slice(state)),
        _ => Err(StorageError::Backup),
    }
}

/// The interval at which a stopping leader checks whether it still leads, and at which a refused
/// promotion is retried.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> Result<JoinHandle<()>, StartError> {
    let builder = thread::Builder::new().name(name.into());
    builder.spawn(work).map_err(StartError::Thread)
}

/// Performs the queued writes, as many as possible with one sync, until the queue closes.
fn run_disk<D: Disk, T>(
    mut storage: Storage<D>,
    queue: &Receiver<Write>,
    results: &Sender<Event<T>>,
) {
    while let Ok(first) = queue.recv() {
        let mut batch = vec![first];
        batch.extend(queue.try_iter());
        let (event, stop) = match storage.write(batch) {
            Ok(done) => (Event::Disk(done), false),
            Err(error) => (Event::DiskFailed(error), true),
        };
        if results.send(event).is_err() || stop {
            return;
        }
    }
}
