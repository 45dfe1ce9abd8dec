//! One replica with its threads: the protocol, the disk, and the machine.

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
use crate::machine::Machine;
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
pub use crate::replica::error::Doubt;
pub use crate::replica::error::ProposeError;
pub use crate::replica::error::StartError;
use crate::replica::waiters::Claim;
use crate::replica::waiters::Request;
use crate::replica::waiters::Wanted;
use crate::storage::Storage;
use crate::storage::StorageError;
use crate::storage::disk::Disk;
use crate::storage::frame;
use crate::storage::frame::End;

/// Carries messages to the other replicas. A message may be lost, late, doubled or out of order.
pub trait Transport: Send + 'static {
    /// Sends a message, or drops it. It must not wait for the network.
    ///
    /// A replica that has just been added knows no addresses yet: an answer to a replica that was
    /// heard must reach it all the same.
    fn send(&self, to: NodeId, message: Message);

    /// Tells who the members are, and where, whenever that changes.
    fn configure(&self, membership: &Membership) {
        let _ = membership;
    }
}

/// Settings of a replica.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaSettings {
    /// How long things take.
    pub timing: Timing,
    /// How much is held.
    pub limits: Limits,
    /// The bytes of log, in memory, after which a snapshot is taken; more for a larger state.
    pub snapshot_bytes: usize,
    /// The most messages that wait to be handled; more are dropped, as the network may do.
    pub inbox: usize,
    /// The most requests that wait to be handled; more are refused as not run.
    pub requests: usize,
    /// The size of a segment of the log on disk, in bytes.
    pub segment_bytes: u64,
}

impl Default for ReplicaSettings {
    fn default() -> Self {
        Self {
            timing: Timing::default(),
            limits: Limits::default(),
            snapshot_bytes: 4 << 20,
            inbox: 4_096,
            requests: 10_000,
            segment_bytes: crate::storage::SEGMENT_BYTES,
        }
    }
}

/// A command that was committed and applied here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied<T> {
    /// Its place in the log.
    pub index: u64,
    /// What the machine answered.
    pub outcome: T,
}

/// A replica as others may see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// Its identity.
    pub id: NodeId,
    /// The group that it belongs to.
    pub cluster: Option<ClusterId>,
    /// The protocol's state.
    pub node: NodeStatus,
    /// The last index applied to the machine.
    pub applied: u64,
    /// Until when this leader serves reads without asking the others.
    pub lease: Option<Instant>,
    /// Why the replica stopped, if it did so by itself.
    pub failed: Option<String>,
}

/// What the threads tell the protocol's thread.
enum Event<T> {
    Message(Message),
    Request(Request<T>),
    Disk(Vec<Input>),
    DiskFailed(StorageError),
    Stop,
}

/// What callers and threads share.
struct Shared {
    status: Mutex<ReplicaStatus>,
    messages: AtomicUsize,
    requests: AtomicUsize,
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
            messages: AtomicUsize::new(0),
            requests: AtomicUsize::new(0),
        }
    }

    fn status(&self) -> MutexGuard<'_, ReplicaStatus> {
        self.status.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One running replica of a machine. Dropping it stops it at once; see [`Replica::stop`].
pub struct Replica<M: Machine> {
    shared: Arc<Shared>,
    settings: ReplicaSettings,
    events: Sender<Event<M::Outcome>>,
    threads: Mutex<Vec<JoinHandle<()>>>,
}

impl<M: Machine> Replica<M> {
    /// Opens the disk and starts the threads. The machine is given its state back from the
    /// snapshot first; later entries are applied once the group has a leader.
    ///
    /// # Errors
    /// [`StartError`] names the remedy.
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
        let (storage, memory) = Storage::open_sized(disk, fresh, settings.segment_bytes)?;
        let (events, inbox) = mpsc::channel();
        let (writes, queue) = mpsc::channel();
        let id = storage.node();
        let core = Core::new(id, settings, memory, machine, transport, writes);
        let (core, shared) = core.begin()?;
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

    /// Takes in a message from another replica.
    pub fn deliver(&self, message: Message) {
        if self.shared.messages.fetch_add(1, Ordering::Relaxed) >= self.settings.inbox {
            self.shared.messages.fetch_sub(1, Ordering::Relaxed);
            return;
        }
        let _ = self.events.send(Event::Message(message));
    }

    /// Proposes a command and waits until it is applied here.
    ///
    /// # Errors
    /// [`ProposeError`] tells whether the command certainly has not run or may have.
    pub fn propose(
        &self,
        command: impl Into<Bytes>,
        deadline: Instant,
    ) -> Result<Applied<M::Outcome>, ProposeError> {
        let command = command.into();
        self.ask(deadline, |reply| Wanted::Propose { command, reply })
    }

    /// Waits until everything that was accepted before the call is applied here, and returns the
    /// index up to which that is. What is then read from the machine is linearizable.
    ///
    /// # Errors
    /// [`ProposeError::Refused`] if this replica does not lead, or [`ProposeError::Unknown`] if
    /// that was not confirmed in time; a read changes nothing either way.
    pub fn read_barrier(&self, deadline: Instant) -> Result<u64, ProposeError> {
        self.ask(deadline, |reply| Wanted::Read { reply })
    }

    /// Adds a member that copies the log without counting.
    ///
    /// # Errors
    /// As for [`Replica::propose`].
    pub fn add_learner(&self, member: Member, deadline: Instant) -> Result<u64, ProposeError> {
        self.change(Change::AddLearner(member), deadline)
    }

    /// Makes a learner a voter as soon as it holds everything committed. Under load it does so
    /// only from time to time; that is waited for.
    ///
    /// # Errors
    /// As for [`Replica::propose`].
    pub fn promote(&self, node: NodeId, deadline: Instant) -> Result<u64, ProposeError> {
        loop {
            let result = self.change(Change::Promote(node), deadline);
            let behind = matches!(
                result,
                Err(ProposeError::Refused(Refusal::Change(
                    ChangeError::Behind { .. }
                )))
            );
            if !behind || Instant::now() + POLL >= deadline {
                return result;
            }
            thread::sleep(POLL);
        }
    }

    /// Tells the group that a member is reached at another address.
    ///
    /// # Errors
    /// As for [`Replica::propose`].
    pub fn move_member(&self, member: Member, deadline: Instant) -> Result<u64, ProposeError> {
        self.change(Change::Move(member), deadline)
    }

    /// Removes a member that does not lead.
    ///
    /// # Errors
    /// As for [`Replica::propose`].
    pub fn remove(&self, node: NodeId, deadline: Instant) -> Result<u64, ProposeError> {
        self.change(Change::Remove(node), deadline)
    }

    /// Changes the membership and waits until that is committed.
    ///
    /// # Errors
    /// As for [`Replica::propose`].
    pub fn change(&self, change: Change, deadline: Instant) -> Result<u64, ProposeError> {
        self.ask(deadline, |reply| Wanted::Change { change, reply })
    }

    /// Begins to pass the leadership to `to`, or to the voter that holds most.
    ///
    /// # Errors
    /// [`ProposeError::Refused`] if this replica does not lead or there is no such voter.
    pub fn transfer_leader(
        &self,
        to: Option<NodeId>,
        deadline: Instant,
    ) -> Result<(), ProposeError> {
        self.ask(deadline, |reply| Wanted::Transfer { to, reply })
    }

    /// Creates a group with this replica as its only voter so far. It takes commands once it has
    /// had `wanted` voters. The machine starts from `state`, such as a backup, or as it is.
    ///
    /// # Errors
    /// [`ProposeError::Refused`] if the folder belongs to a group already.
    pub fn create(
        &self,
        member: Member,
        wanted: u32,
        state: Option<Bytes>,
        deadline: Instant,
    ) -> Result<(), ProposeError> {
        self.ask(deadline, |reply| Wanted::Create {
            member,
            wanted,
            state,
            reply,
        })
    }

    /// The machine's state as applied here, sealed against damage; see [`open_backup`].
    ///
    /// # Errors
    /// [`ProposeError`] if the replica has stopped or the deadline passed.
    pub fn backup(&self, deadline: Instant) -> Result<Bytes, ProposeError> {
        self.ask(deadline, |reply| Wanted::Backup { reply })
    }

    /// The replica as it is now.
    pub fn status(&self) -> ReplicaStatus {
        self.shared.status().clone()
    }

    /// Stops the replica. If it leads, it passes the leadership on first, for at most `patience`,
    /// so that the others need no election.
    pub fn stop(&self, patience: Duration) {
        let until = Instant::now() + patience;
        if self.leads() && self.transfer_leader(None, until).is_ok() {
            while self.leads() && Instant::now() < until {
                thread::sleep(POLL);
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
        // The transport may hold the last handle: then this runs on the thread that ends.
        let own = thread::current().id();
        for thread in threads.drain(..).filter(|t| t.thread().id() != own) {
            let _ = thread.join();
        }
    }

    fn ask<T>(
        &self,
        deadline: Instant,
        wanted: impl FnOnce(waiters::Reply<T>) -> Wanted<M::Outcome>,
    ) -> Result<T, ProposeError> {
        if self.shared.requests.fetch_add(1, Ordering::Relaxed) >= self.settings.requests {
            self.shared.requests.fetch_sub(1, Ordering::Relaxed);
            return Err(Refusal::Busy.into());
        }
        let claim = Claim::default();
        let (reply, answer) = mpsc::sync_channel(1);
        let request = Request {
            claim: claim.clone(),
            wanted: wanted(reply),
        };
        if self.events.send(Event::Request(request)).is_err() {
            return Err(Refusal::Stopped.into());
        }
        let left = deadline.saturating_duration_since(Instant::now());
        match answer.recv_timeout(left) {
            Ok(result) => result,
            // Nobody had taken the request up: now nobody will.
            Err(_) if claim.take() => Err(Refusal::Busy.into()),
            Err(mpsc::RecvTimeoutError::Timeout) => Err(ProposeError::Unknown(Doubt::Timeout)),
            Err(mpsc::RecvTimeoutError::Disconnected) => Err(ProposeError::Unknown(Doubt::Stopped)),
        }
    }
}

impl<M: Machine> Drop for Replica<M> {
    fn drop(&mut self) {
        self.halt();
    }
}

/// Opens what [`Replica::backup`] returned: the state for [`Replica::create`].
///
/// # Errors
/// [`StorageError::Backup`] if it is not a whole, unchanged backup.
pub fn open_backup(bytes: &[u8]) -> Result<Bytes, StorageError> {
    let frames = frame::decode(bytes);
    match (frames.payloads.as_slice(), frames.end) {
        ([state], End::Whole) => Ok(Bytes::copy_from_slice(state)),
        _ => Err(StorageError::Backup),
    }
}

/// How often it is looked whether another leads, or a learner has caught up.
const POLL: Duration = Duration::from_millis(5);

fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> Result<JoinHandle<()>, StartError> {
    let builder = thread::Builder::new().name(name.into());
    builder.spawn(work).map_err(StartError::Thread)
}

/// Writes what is asked, as much as waits with one sync, until nobody asks any more.
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
