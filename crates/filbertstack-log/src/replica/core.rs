//! The thread that runs the protocol and the state machine.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::mpsc::Sender;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use bytes::Bytes;
use rand::RngExt as _;

use crate::config::Safeguards;
use crate::ids::ClusterId;
use crate::ids::NodeId;
use crate::machine::StateMachine;
use crate::membership::Member;
use crate::membership::Membership;
use crate::message::Entry;
use crate::message::EntryKind;
use crate::message::Snapshot;
use crate::node::Accepted;
use crate::node::Answer;
use crate::node::DurableState;
use crate::node::Input;
use crate::node::Node;
use crate::node::NodeConfig;
use crate::node::Output;
use crate::node::RoleName;
use crate::node::Ticket;
use crate::node::Write;
use crate::replica::Event;
use crate::replica::ReplicaSettings;
use crate::replica::Shared;
use crate::replica::StartError;
use crate::replica::Transport;
use crate::replica::waiters::Operation;
use crate::replica::waiters::Request;
use crate::replica::waiters::Waiter;
use crate::replica::waiters::Waiters;
use crate::storage::frame;

/// The largest number of events handled before their results are sent and written: enough to share
/// one sync among many, few enough that no heartbeat is late.
const EVENT_BATCH: usize = 1_024;

/// The largest difference by which the system clock may advance more than the monotonic clock
/// between two comparisons. Beyond it the monotonic clock counts as paused, as it is while an
/// instance is suspended.
const CLOCK_JUMP: Duration = Duration::from_millis(100);

/// The failure reported when the state machine panics. The next start applies the same command
/// again.
const PANICKED: &str = "the machine panicked at a command; run a version that applies it";

/// Marks the replica as stopped when the thread ends for any reason. If a panic of the state
/// machine left the status unchanged, callers would still be sent to this replica.
struct StopGuard {
    shared: Arc<Shared>,
    failed: Option<String>,
}

impl Drop for StopGuard {
    fn drop(&mut self) {
        let mut status = self.shared.status();
        status.failed = self.failed.take();
        status.node.role = RoleName::Follower;
        status.lease = None;
    }
}

/// Holds the protocol, the state machine and the waiting callers.
pub(super) struct Core<M: StateMachine, T: Transport> {
    node: Node,
    settings: ReplicaSettings,
    machine: M,
    transport: T,
    writes: Sender<Write>,
    waiters: Waiters<M::Outcome>,
    shared: Arc<Shared>,
    start: Instant,
    clock_sample: (Instant, SystemTime),
    applied: u64,
    snapshot_tried: u64,
    snapshot_size: usize,
    configured: Arc<Membership>,
    was_leader: bool,
}

impl<M: StateMachine, T: Transport> Core<M, T> {
    pub(super) fn new(
        id: NodeId,
        settings: ReplicaSettings,
        saved: DurableState,
        machine: M,
        transport: T,
        writes: Sender<Write>,
    ) -> Self {
        let config = NodeConfig {
            id,
            seed: rand::rng().random(),
            timing: settings.timing,
            limits: settings.limits,
            safeguards: Safeguards::default(),
        };
        let node = Node::new(config, saved, Duration::ZERO);
        let shared = Arc::new(Shared::new(&node));
        Self {
            node,
            settings,
            machine,
            transport,
            writes,
            waiters: Waiters::default(),
            shared,
            start: Instant::now(),
            clock_sample: (Instant::now(), SystemTime::now()),
            applied: 0,
            snapshot_tried: 0,
            snapshot_size: 0,
            configured: Arc::default(),
            was_leader: false,
        }
    }

    /// Restores the state machine from the snapshot.
    pub(super) fn restore_machine(mut self) -> Result<(Self, Arc<Shared>), StartError> {
        self.advance().map_err(|why| StartError::Restore { why })?;
        let shared = Arc::clone(&self.shared);
        Ok((self, shared))
    }

    pub(super) fn run(mut self, inbox: &Receiver<Event<M::Outcome>>) {
        let mut guard = StopGuard {
            shared: Arc::clone(&self.shared),
            failed: Some(PANICKED.to_owned()),
        };
        guard.failed = self.serve(inbox).err();
        self.waiters.fail_all();
    }

    fn serve(&mut self, inbox: &Receiver<Event<M::Outcome>>) -> Result<(), String> {
        loop {
            let wait = self.node.wake_at().saturating_sub(self.start.elapsed());
            let first = match inbox.recv_timeout(wait) {
                Ok(event) => Some(event),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            };
            self.check_clock();
            for event in first.into_iter().chain(inbox.try_iter().take(EVENT_BATCH)) {
                if !self.handle(event)? {
                    return Ok(());
                }
            }
            self.step(Input::Tick);
            self.advance()?;
        }
    }

    fn check_clock(&mut self) {
        let (instant, wall) = self.clock_sample;
        self.clock_sample = (Instant::now(), SystemTime::now());
        let steady = self.clock_sample.0.duration_since(instant);
        let passed = self.clock_sample.1.duration_since(wall).unwrap_or_default();
        if passed > steady + CLOCK_JUMP {
            self.step(Input::ClockJump);
        }
    }

    fn step(&mut self, input: Input) {
        self.node.step(self.start.elapsed(), input);
    }

    /// Handles one event; returns false if the replica is to stop.
    fn handle(&mut self, event: Event<M::Outcome>) -> Result<bool, String> {
        match event {
            Event::Message(message) => {
                self.shared.pending_messages.fetch_sub(1, Ordering::Relaxed);
                self.step(Input::Message(message));
            }
            Event::Request(request) => {
                self.shared.pending_requests.fetch_sub(1, Ordering::Relaxed);
                self.request(request);
            }
            Event::Disk(results) => results.into_iter().for_each(|r| self.step(r)),
            Event::DiskFailed(error) => return Err(error.to_string()),
            Event::Stop => return Ok(false),
        }
        Ok(true)
    }

    fn request(&mut self, request: Request<M::Outcome>) {
        if !request.claim.take() {
            return;
        }
        match request.operation {
            Operation::Propose { command, reply } => {
                let ticket = self.waiters.register(Waiter::Command(reply));
                self.step(Input::Propose { ticket, command });
            }
            Operation::Read { reply } => {
                let ticket = self.waiters.register(Waiter::Index(reply));
                self.step(Input::Read { ticket });
            }
            Operation::Change { change, reply } => {
                let ticket = self.waiters.register(Waiter::Index(reply));
                self.step(Input::Change { ticket, change });
            }
            Operation::Transfer { to, reply } => {
                let ticket = self.waiters.register(Waiter::Done(reply));
                self.step(Input::Transfer { ticket, to });
            }
            Operation::Backup { reply } => {
                let framed = frame::encode(self.applied, &self.machine.snapshot());
                let _ = reply.try_send(Ok(framed.into()));
            }
            Operation::Create {
                member,
                voter_count,
                state,
                reply,
            } => {
                let ticket = self.waiters.register(Waiter::Done(reply));
                self.create(ticket, member, voter_count, state);
            }
        }
    }

    fn create(
        &mut self,
        ticket: Ticket,
        mut member: Member,
        voter_count: u32,
        state: Option<Bytes>,
    ) {
        member.node = self.node.id().0;
        let data = state.unwrap_or_else(|| self.machine.snapshot().into());
        self.step(Input::Create {
            ticket,
            cluster: ClusterId(rand::rng().random()),
            membership: Membership::initial(member, voter_count),
            data,
        });
    }

    /// Performs the actions that the node requests.
    fn advance(&mut self) -> Result<(), String> {
        let output = self.node.output();
        if let Some(broken) = &output.violation {
            return Err(format!(
                "{broken}; a voter's folder was restored or shared: see the log"
            ));
        }
        self.perform(output)?;
        self.maybe_snapshot();
        self.publish();
        Ok(())
    }

    fn perform(&mut self, output: Output) -> Result<(), String> {
        if let Some(write) = output.write {
            let _ = self.writes.send(write);
        }
        for message in output.messages {
            self.transport.send(message.recipient(), message);
        }
        for answer in output.answers {
            self.answer(answer);
        }
        if let Some(snapshot) = output.restore {
            self.restore(&snapshot)?;
        }
        for entry in output.committed {
            self.apply(&entry);
        }
        self.waiters.finish_reads(self.applied);
        Ok(())
    }

    fn answer(&mut self, answer: Answer) {
        let ticket = answer.ticket;
        match answer.result {
            Err(refusal) => self.waiters.refuse(ticket, refusal.into()),
            Ok(Accepted::Appended(place)) => self.waiters.appended(ticket, place),
            Ok(Accepted::Readable(index)) => self.waiters.readable(ticket, index),
            Ok(Accepted::Transferring) => self.waiters.done(ticket),
            Ok(Accepted::Creating) => self.waiters.creating(ticket),
        }
    }

    fn restore(&mut self, snapshot: &Snapshot) -> Result<(), String> {
        let restored = self.machine.restore(&snapshot.data);
        restored.map_err(|e| e.to_string())?;
        self.applied = snapshot.index;
        self.snapshot_size = snapshot.data.len();
        self.waiters.finish_creation();
        Ok(())
    }

    fn apply(&mut self, entry: &Entry) {
        let command = entry.kind() == EntryKind::Command;
        let outcome = command.then(|| self.machine.apply(entry.index, &entry.data));
        self.applied = entry.index;
        self.waiters.applied(entry.position(), outcome);
    }

    /// Takes a snapshot once the log since the last one is larger than it, so that each byte is
    /// written about twice.
    fn maybe_snapshot(&mut self) {
        let latest = self.node.status().snapshot.max(self.snapshot_tried);
        let threshold = self.settings.snapshot_bytes.max(self.snapshot_size);
        if self.applied <= latest || self.node.cost_after(latest) < threshold {
            return;
        }
        let data = self.machine.snapshot();
        self.snapshot_tried = self.applied;
        self.snapshot_size = data.len();
        self.step(Input::Snapshot {
            index: self.applied,
            data: data.into(),
        });
    }

    fn publish(&mut self) {
        let node = self.node.status();
        let leads = node.role == RoleName::Leader;
        if self.was_leader && !leads {
            self.waiters.fail_appended();
        }
        self.was_leader = leads;
        if self.configured != node.membership {
            self.configured = Arc::clone(&node.membership);
            self.transport.configure(&self.configured);
        }
        let lease = node.lease.map(|until| self.start + until);
        let mut status = self.shared.status();
        status.cluster = Some(ClusterId(self.node.cluster())).filter(|c| c.0 != 0);
        status.node = node;
        status.applied = self.applied;
        status.lease = lease;
    }
}
