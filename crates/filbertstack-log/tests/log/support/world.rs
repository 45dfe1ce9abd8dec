//! A simulated group of nodes with their real storage, on fake disks, links and clocks.
//!
//! All random choices come from one seed, so that a run can be repeated exactly.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use filbertstack_log::ClusterId;
use filbertstack_log::EntryKind;
use filbertstack_log::Input;
use filbertstack_log::Limits;
use filbertstack_log::Member;
use filbertstack_log::Membership;
use filbertstack_log::Message;
use filbertstack_log::Node;
use filbertstack_log::NodeConfig;
use filbertstack_log::NodeId;
use filbertstack_log::NodeStatus;
use filbertstack_log::RoleName;
use filbertstack_log::Safeguards;
use filbertstack_log::StateMachine as _;
use filbertstack_log::Timing;
use filbertstack_log::storage::Storage;
use filbertstack_log::storage::StorageError;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::seq::SliceRandom as _;
use rand_chacha::ChaCha8Rng;

use crate::support::checker::Checker;
use crate::support::checker::Violation;
use crate::support::disk::MemoryDisk;
use crate::support::machine::Map;
use crate::support::running::Request;
use crate::support::running::Running;

/// The step of simulated time.
const TIME_STEP: Duration = Duration::from_millis(10);
/// The time in which the state of the first voters becomes durable; no fault is injected before its
/// end.
const CREATION: Duration = Duration::from_millis(200);
const CLUSTER: ClusterId = ClusterId(77);
/// The number of replicas besides the first voters.
const SPARE_REPLICAS: usize = 2;

/// Selects the protections that are off.
#[derive(Clone, Copy, Debug, Default)]
pub struct Variant {
    pub safeguards: Safeguards,
    /// A replica whose disk was lost comes back under its old identity.
    pub keeps_identity: bool,
    /// A replica does not notice that its clock was paused.
    pub trusts_clock: bool,
    /// Limits in place of the small ones that a short run reaches.
    pub limits: Option<Limits>,
    /// Disks report a sync as done without doing it.
    pub lying_disks: bool,
}

pub(super) struct Slot {
    pub(super) id: NodeId,
    pub(super) disk: MemoryDisk,
    pub(super) clock_rate: f64,
    pub(super) running: Option<Running>,
    pub(super) frozen_until: Duration,
    /// Its clock was paused while it was frozen, and it has not noticed yet.
    pub(super) suspended: bool,
    pub(super) inbox: Vec<Input>,
    pub(super) durable: u64,
    pub(super) membership: Arc<Membership>,
}

/// Counts the traffic that a replica sent and received.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
}

/// Simulates a group with its disks, links and clocks.
pub struct World {
    pub traffic: BTreeMap<NodeId, Traffic>,
    pub(super) variant: Variant,
    pub(super) rng: ChaCha8Rng,
    pub(super) now: Duration,
    pub(super) slots: Vec<Slot>,
    pub(super) in_flight: BTreeMap<(Duration, u64), Message>,
    pub(super) sent: u64,
    pub(super) cut_links: BTreeSet<(NodeId, NodeId)>,
    pub(super) loss_percent: u8,
    pub(super) next_id: u64,
    pub(super) next_ticket: u64,
    pub(super) next_request: u64,
    pub(super) lost_disks: BTreeSet<NodeId>,
    /// The last committed membership, and all memberships appended on any replica since: an
    /// uncommitted entry may bring any of them into force.
    pub(super) memberships: Vec<Arc<Membership>>,
    pub checker: Checker,
}

impl World {
    /// Creates a group of `voters` and spare replicas without a group.
    pub fn new(seed: u64, voters: usize, variant: Variant) -> Self {
        let mut world = Self {
            variant,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::ZERO,
            slots: Vec::new(),
            in_flight: BTreeMap::new(),
            sent: 0,
            cut_links: BTreeSet::new(),
            loss_percent: 0,
            next_id: 100,
            next_ticket: 0,
            next_request: 0,
            traffic: BTreeMap::new(),
            lost_disks: BTreeSet::new(),
            memberships: vec![Arc::default()],
            checker: Checker::default(),
        };
        for _ in 0..voters + SPARE_REPLICAS {
            world.add_slot();
        }
        let first: Vec<Member> = world.slots[..voters].iter().map(Slot::member).collect();
        let membership = Membership {
            voters: first,
            learners: Vec::new(),
            forming: 0,
        };
        world.checker.membership = membership.clone();
        for at in 0..voters {
            let ticket = world.ticket(at, Request::Other);
            let create = Input::Create {
                ticket,
                cluster: CLUSTER,
                membership: membership.clone(),
                data: Bytes::from(Map::default().snapshot()),
            };
            world.input(at, create);
        }
        world.run(CREATION);
        world
    }

    fn add_slot(&mut self) {
        let clock_rate = self.rng.random_range(0.92..1.08);
        self.slots.push(Slot {
            id: NodeId(0),
            disk: MemoryDisk::default(),
            clock_rate,
            running: None,
            frozen_until: Duration::ZERO,
            suspended: false,
            inbox: Vec::new(),
            durable: 0,
            membership: Arc::default(),
        });
        let at = self.slots.len() - 1;
        self.start(at);
    }

    pub fn kill(&mut self, at: usize) {
        let slot = &mut self.slots[at];
        if slot.running.take().is_some() {
            slot.disk.crash(&mut self.rng);
            slot.frozen_until = Duration::ZERO;
            slot.inbox.clear();
        }
    }

    pub(super) fn start_any(&mut self, pick: u8) {
        let down = (0..self.slots.len()).filter(|at| self.slots[*at].running.is_none());
        let down: Vec<usize> = down.collect();
        if let Some(at) = down.get(usize::from(pick) % down.len().max(1)) {
            self.start(*at);
        }
    }

    pub(super) fn start(&mut self, at: usize) {
        if self.slots[at].running.is_some() {
            return;
        }
        self.next_id += 1;
        let slot = &mut self.slots[at];
        let again = slot.id != NodeId(0);
        let fresh = if again { slot.id } else { NodeId(self.next_id) };
        let opened = Storage::open_sized(slot.disk.clone(), fresh, 700);
        let (storage, mut memory) = match opened {
            Ok(opened) => opened,
            // The process dies again while it starts, or the disk has no space for the start.
            Err(StorageError::Io { .. } | StorageError::Sync { .. }) => {
                slot.disk.crash(&mut self.rng);
                return;
            }
            Err(error) => {
                self.checker
                    .report(Violation::StartRefused(error.to_string()));
                return;
            }
        };
        let lies = self.variant.lying_disks;
        self.set_fault(at, |w| w.sync_lies = lies);
        if again && self.variant.keeps_identity {
            memory.hard.cluster = CLUSTER.0;
        }
        let slot = &mut self.slots[at];
        slot.id = storage.node();
        let config = NodeConfig {
            id: slot.id,
            seed: self.rng.random(),
            timing: Timing::default(),
            limits: self.variant.limits.unwrap_or_else(small_limits),
            safeguards: self.variant.safeguards,
        };
        if !self.variant.keeps_identity {
            self.checker.check_restart(slot.id, memory.hard.term);
        }
        slot.running = Some(Running {
            node: Node::new(config, memory, Duration::ZERO),
            storage,
            map: Map::default(),
            applied: 0,
            started_at: self.now,
            writes: VecDeque::new(),
            disk_busy_until: self.now,
            tickets: BTreeMap::new(),
            appended: BTreeMap::new(),
            reads: Vec::new(),
            was_leader: false,
        });
        self.perform_output(at);
    }

    /// Returns a replica as a member of its group.
    pub fn member(&self, at: usize) -> Member {
        self.slots[at].member()
    }

    /// Returns the number of syncs that a replica's disk did.
    pub fn syncs(&self, at: usize) -> u64 {
        self.slots[at].disk.syncs()
    }

    /// Returns the status of a replica.
    pub fn status(&self, at: usize) -> NodeStatus {
        self.slots[at].running.as_ref().unwrap().node.status()
    }

    /// Runs until `ready` returns true, for at most `limit` time steps.
    pub fn run_until(&mut self, limit: u32, ready: impl Fn(&Self) -> bool) -> bool {
        for _ in 0..limit {
            if ready(self) {
                return true;
            }
            self.run(TIME_STEP);
        }
        false
    }

    /// Runs until one of the given replicas leads, and returns it.
    pub fn elect(&mut self, among: &[usize]) -> usize {
        let leads = |w: &Self| w.leaders().into_iter().find(|at| among.contains(at));
        assert!(
            self.run_until(2_000, |w| leads(w).is_some()),
            "no replica leads"
        );
        leads(self).unwrap()
    }

    /// Drops every message from any of `from` to any of `to`.
    pub fn cut(&mut self, from: &[usize], to: &[usize]) {
        for from in from {
            for to in to.iter().filter(|to| *to != from) {
                let pair = (self.slots[*from].id, self.slots[*to].id);
                self.cut_links.insert(pair);
            }
        }
    }

    /// Restores all links.
    pub fn heal(&mut self) {
        self.cut_links.clear();
    }

    /// Passes an input to a replica at its local time. A frozen replica handles it when it wakes.
    pub(super) fn input(&mut self, at: usize, input: Input) {
        if self.take(at, input) {
            self.perform_output(at);
        }
    }

    /// Passes an input to a replica without performing the resulting actions; returns false if the
    /// replica is down or frozen.
    pub(super) fn take(&mut self, at: usize, input: Input) -> bool {
        let now = self.now;
        let slot = &mut self.slots[at];
        let Some(running) = &mut slot.running else {
            return false;
        };
        if slot.frozen_until > now {
            slot.inbox.push(input);
            return false;
        }
        let local = now
            .saturating_sub(running.started_at)
            .mul_f64(slot.clock_rate);
        running.node.step(local, input);
        true
    }

    pub fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until && self.checker.violation.is_none() {
            self.now += TIME_STEP;
            self.deliver();
            for at in 0..self.slots.len() {
                if self.slots[at].frozen_until <= self.now {
                    self.run_disk(at);
                    self.run_clock(at);
                }
            }
        }
    }

    /// Delivers the messages that are due. Messages to a frozen replica wait, as in the buffers of
    /// its sockets, and it reads them in any order when it wakes.
    fn deliver(&mut self) {
        for at in 0..self.slots.len() {
            if self.slots[at].frozen_until <= self.now {
                if std::mem::take(&mut self.slots[at].suspended) && !self.variant.trusts_clock {
                    self.input(at, Input::ClockJump);
                }
                let mut waiting = std::mem::take(&mut self.slots[at].inbox);
                if self.rng.random() {
                    waiting.shuffle(&mut self.rng);
                }
                for input in waiting {
                    self.input(at, input);
                }
            }
        }
        let later = self.in_flight.split_off(&(self.now, u64::MAX));
        let due = std::mem::replace(&mut self.in_flight, later);
        for message in due.into_values() {
            let to = message.recipient();
            let known = self.slots.iter().position(|s| s.id == to);
            if let Some(at) = known
                && !self.cut_links.contains(&(message.sender(), to))
            {
                self.input(at, Input::Message(message));
            }
        }
    }

    fn run_disk(&mut self, at: usize) {
        let slow = Duration::from_millis(self.rng.random_range(0..40));
        let now = self.now;
        let Some(running) = &mut self.slots[at].running else {
            return;
        };
        if running.writes.is_empty() || running.disk_busy_until > now {
            return;
        }
        running.disk_busy_until = now + slow;
        let count = self.rng.random_range(1..=running.writes.len());
        let batch = running.writes.drain(..count).collect();
        match running.storage.write(batch) {
            Ok(results) => {
                for result in results {
                    let refused = matches!(result, Input::WriteRefused { .. });
                    self.checker.seen.refusals += usize::from(refused);
                    self.input(at, result);
                }
            }
            Err(_) => self.kill(at),
        }
    }

    fn run_clock(&mut self, at: usize) {
        let now = self.now;
        let slot = &self.slots[at];
        let Some(running) = &slot.running else { return };
        let local = now
            .saturating_sub(running.started_at)
            .mul_f64(slot.clock_rate);
        if local >= running.node.wake_at() {
            self.input(at, Input::Tick);
        }
    }

    /// Performs the actions that the node requests, as the replica's driver does.
    pub(super) fn perform_output(&mut self, at: usize) {
        let durable = self.slots.iter().map(|s| (s.id, s.durable)).collect();
        let slot = &mut self.slots[at];
        let Some(running) = &mut slot.running else {
            return;
        };
        let output = running.node.output();
        if let Some(text) = output.violation {
            self.checker.report(Violation::ProtocolBroken(text));
        }
        running.writes.extend(output.write);
        for answer in output.answers {
            running.answer(answer, &mut self.checker, &durable);
        }
        if let Some(snapshot) = output.restore {
            running.map.restore(&snapshot.data).unwrap();
            self.checker.seen.installs += usize::from(running.applied > 0);
            running.applied = snapshot.index;
            self.checker
                .check_state(snapshot.index, &running.map.state());
        }
        for entry in output.committed {
            let outcome = (entry.kind() == EntryKind::Command)
                .then(|| running.map.apply(entry.index, &entry.data));
            running.applied = entry.index;
            self.checker.record_commit(&entry, &running.map.state());
            let waiter = running.appended.remove(&entry.index);
            if let (Some((term, request)), Some(outcome)) = (waiter, outcome)
                && term == entry.term
            {
                self.checker.record_outcome(request, outcome, entry.index);
            }
        }
        running.finish_reads(&mut self.checker);
        let status = running.node.status();
        let leads = status.role == RoleName::Leader;
        if leads {
            self.checker.record_leader(status.term, slot.id);
        }
        if running.was_leader && !leads {
            running.appended.clear();
        }
        running.was_leader = leads;
        slot.durable = status.durable;
        if slot.membership != status.membership {
            slot.membership = Arc::clone(&status.membership);
            self.memberships.push(status.membership);
        }
        let committed = self.checker.membership.clone();
        if *self.memberships[0] != committed {
            self.memberships = vec![Arc::new(committed)];
            let current = self.slots.iter().map(|s| Arc::clone(&s.membership));
            self.memberships.extend(current);
        }
        for message in output.messages {
            self.send(&message);
        }
    }

    fn send(&mut self, message: &Message) {
        self.checker.record_message(message);
        for end in [message.sender(), message.recipient()] {
            let traffic = self.traffic.entry(end).or_default();
            traffic.messages += 1;
            traffic.bytes += message.to_bytes().len() as u64;
        }
        let lossy = u32::from(self.loss_percent);
        if self.rng.random_ratio(lossy, 100) {
            return;
        }
        let copies = if self.rng.random_ratio(lossy, 100) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let slow = if self.rng.random_ratio(lossy, 100) {
                800
            } else {
                25
            };
            let delay = Duration::from_millis(self.rng.random_range(0..slow));
            self.sent += 1;
            let at = (self.now + delay, self.sent);
            self.in_flight.insert(at, message.clone());
        }
    }
}

impl Slot {
    pub fn member(&self) -> Member {
        Member {
            node: self.id.0,
            name: format!("entry-{}", self.id),
            address: String::new(),
        }
    }
}

/// Returns limits that a short run reaches.
fn small_limits() -> Limits {
    Limits {
        append_bytes: 100,
        inflight_appends: 3,
        piece_bytes: 64,
        kept_entries: 3,
        ..Limits::default()
    }
}
