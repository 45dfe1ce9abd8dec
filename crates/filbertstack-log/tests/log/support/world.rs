//! A group of nodes with their real storage, on fake disks, links and clocks.
//!
//! Everything that chance decides comes from one seed, so that a run is repeated exactly.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use filbertstack_log::Accepted;
use filbertstack_log::Answer;
use filbertstack_log::Change;
use filbertstack_log::ClusterId;
use filbertstack_log::EntryKind;
use filbertstack_log::Input;
use filbertstack_log::Limits;
use filbertstack_log::Machine as _;
use filbertstack_log::Member;
use filbertstack_log::Membership;
use filbertstack_log::Message;
use filbertstack_log::Node;
use filbertstack_log::NodeConfig;
use filbertstack_log::NodeId;
use filbertstack_log::NodeStatus;
use filbertstack_log::RoleName;
use filbertstack_log::Safeguards;
use filbertstack_log::Ticket;
use filbertstack_log::Timing;
use filbertstack_log::Write;
use filbertstack_log::storage::Storage;
use filbertstack_log::storage::StorageError;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::seq::SliceRandom as _;
use rand_chacha::ChaCha8Rng;

use crate::support::checker::Checker;
use crate::support::checker::Violation;
use crate::support::disk::MemoryDisk;
use crate::support::disk::Wrong;
use crate::support::machine::Map;
use crate::support::machine::Put;
use crate::support::steps::Step;

/// The grain of time.
const SLICE: Duration = Duration::from_millis(10);
/// The time in which the first voters' state becomes durable; no fault comes before.
const CREATION: Duration = Duration::from_millis(200);
/// For how long a group may take to come back once all faults have ended.
const RECOVERY: Duration = Duration::from_secs(60);
const CLUSTER: ClusterId = ClusterId(77);
/// Replicas beside the first voters.
const SPARE: usize = 2;

/// Which protections are off.
#[derive(Clone, Copy, Debug, Default)]
pub struct Variant {
    pub safeguards: Safeguards,
    /// A replica whose disk was lost comes back under its old identity.
    pub keeps_identity: bool,
    /// Disks acknowledge a sync without doing it.
    pub lying_disks: bool,
}

/// A running replica.
struct Running {
    node: Node,
    storage: Storage<MemoryDisk>,
    map: Map,
    applied: u64,
    boot: Duration,
    queue: VecDeque<Write>,
    disk_until: Duration,
    tickets: BTreeMap<Ticket, Asked>,
    appended: BTreeMap<u64, (u64, u64)>,
    reads: Vec<(u64, u64)>,
    led: bool,
}

/// What a ticket stands for.
enum Asked {
    Put(u64),
    /// With what the read must see.
    Read(u64),
    Promote(NodeId),
    Other,
}

struct Slot {
    id: NodeId,
    disk: MemoryDisk,
    rate: f64,
    running: Option<Running>,
    frozen_until: Duration,
    inbox: Vec<Input>,
    durable: u64,
    membership: Membership,
}

/// The world.
pub struct World {
    variant: Variant,
    rng: ChaCha8Rng,
    now: Duration,
    slots: Vec<Slot>,
    wire: BTreeMap<(Duration, u64), Message>,
    sent: u64,
    cut: BTreeSet<(NodeId, NodeId)>,
    loss: u8,
    next_id: u64,
    next_ticket: u64,
    next_request: u64,
    lost: BTreeSet<NodeId>,
    pub checker: Checker,
}

impl World {
    /// A group of `voters`, and spare replicas without a group.
    pub fn new(seed: u64, voters: usize, variant: Variant) -> Self {
        let mut world = Self {
            variant,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::ZERO,
            slots: Vec::new(),
            wire: BTreeMap::new(),
            sent: 0,
            cut: BTreeSet::new(),
            loss: 0,
            next_id: 100,
            next_ticket: 0,
            next_request: 0,
            lost: BTreeSet::new(),
            checker: Checker::default(),
        };
        for _ in 0..voters + SPARE {
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
            let ticket = world.ticket(at, Asked::Other);
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
        let rate = self.rng.random_range(0.92..1.08);
        self.slots.push(Slot {
            id: NodeId(0),
            disk: MemoryDisk::default(),
            rate,
            running: None,
            frozen_until: Duration::ZERO,
            inbox: Vec::new(),
            durable: 0,
            membership: Membership::default(),
        });
        let at = self.slots.len() - 1;
        self.start(at);
    }

    /// Runs the steps, then ends all faults and looks whether the group comes back.
    pub fn play(&mut self, steps: &[Step]) -> Result<(), Violation> {
        for step in steps {
            self.happen(*step);
            if let Some(violation) = &self.checker.violation {
                return Err(violation.clone());
            }
        }
        self.recover();
        self.checker.violation.clone().map_or(Ok(()), Err)
    }

    pub fn happen(&mut self, step: Step) {
        match step {
            Step::Run(ms) => self.run(Duration::from_millis(u64::from(ms))),
            Step::Propose(pick) => (0..=pick % 4).for_each(|_| self.propose(pick, None)),
            Step::Resend(pick) => {
                let earlier = self.next_request.checked_sub(1 + u64::from(pick) % 8);
                self.propose(pick, earlier.filter(|r| *r > 0));
            }
            Step::Read(pick) => self.read(pick),
            Step::Kill(pick) => self.kill(self.any(pick)),
            Step::KillLeader => self.leaders().into_iter().for_each(|at| self.kill(at)),
            Step::CrashAt(pick, operations) => {
                self.wrong(self.any(pick), |w| {
                    w.crash_after = Some(operations.into());
                });
            }
            Step::Start(pick) => self.start_any(pick),
            Step::Freeze(pick, ms) => self.freeze(self.any(pick), ms),
            Step::FreezeLeader(ms) => {
                self.leaders()
                    .into_iter()
                    .for_each(|at| self.freeze(at, ms));
            }
            Step::Isolate(pick) => self.isolate(self.any(pick)),
            Step::IsolateLeader => self.leaders().into_iter().for_each(|at| self.isolate(at)),
            Step::CutOneWay(from, to) => {
                let pair = (self.slots[self.any(from)].id, self.slots[self.any(to)].id);
                self.cut.insert(pair);
            }
            Step::Heal => self.heal(),
            Step::Lose(percent) => self.loss = percent,
            Step::Snapshot(pick) => self.snapshot(self.any(pick)),
            Step::Full(pick, bytes) => {
                self.wrong(self.any(pick), |w| w.space = Some(usize::from(bytes)));
            }
            Step::Space => self.give_space(),
            Step::LoseDisk(pick) => self.lose_disk(self.any(pick)),
            Step::Learner(pick) => {
                let member = self.slots[self.any(pick)].member();
                self.change(pick, Change::AddLearner(member));
            }
            Step::Promote(pick) => self.promote(pick),
            Step::Remove(pick) => self.remove(pick),
            Step::Transfer(pick) => self.transfer(pick),
        }
    }

    fn any(&self, pick: u8) -> usize {
        usize::from(pick) % self.slots.len()
    }

    /// The replicas that believe to lead.
    pub fn leaders(&self) -> Vec<usize> {
        let leads = |slot: &Slot| {
            let running = slot.running.as_ref();
            running.is_some_and(|r| r.node.status().role == RoleName::Leader)
        };
        (0..self.slots.len())
            .filter(|at| leads(&self.slots[*at]))
            .collect()
    }

    fn a_leader(&self, pick: u8) -> Option<usize> {
        let leaders = self.leaders();
        leaders
            .get(usize::from(pick) % leaders.len().max(1))
            .copied()
    }

    fn ticket(&mut self, at: usize, asked: Asked) -> Ticket {
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        if let Some(running) = &mut self.slots[at].running {
            running.tickets.insert(ticket, asked);
        }
        ticket
    }

    fn propose(&mut self, pick: u8, earlier: Option<u64>) {
        if let Some(at) = self.a_leader(pick) {
            self.propose_at(at, earlier);
        }
    }

    pub fn propose_at(&mut self, at: usize, earlier: Option<u64>) {
        let request = earlier.unwrap_or_else(|| {
            self.next_request += 1;
            self.next_request
        });
        let put = Put {
            request,
            key: request % 5,
            value: request,
        };
        let ticket = self.ticket(at, Asked::Put(request));
        let command = put.encode();
        self.input(at, Input::Propose { ticket, command });
    }

    fn read(&mut self, pick: u8) {
        if let Some(at) = self.a_leader(pick) {
            self.read_at(at);
        }
    }

    pub fn read_at(&mut self, at: usize) {
        let ticket = self.ticket(at, Asked::Read(self.checker.floor()));
        self.input(at, Input::Read { ticket });
    }

    fn change(&mut self, pick: u8, change: Change) {
        let Some(at) = self.a_leader(pick) else {
            return;
        };
        // An operator whose change waits at a frozen leader could not know what is lost meanwhile.
        if self.slots[at].frozen_until > self.now {
            return;
        }
        let asked = match &change {
            Change::Promote(node) => Asked::Promote(*node),
            _ => Asked::Other,
        };
        let ticket = self.ticket(at, asked);
        self.input(at, Input::Change { ticket, change });
    }

    fn promote(&mut self, pick: u8) {
        let Some(at) = self.a_leader(pick) else {
            return;
        };
        let learners = self.slots[at].membership.learners.clone();
        let known = learners.iter().filter(|m| !self.lost.contains(&m.id()));
        let known: Vec<NodeId> = known.map(Member::id).collect();
        if let Some(node) = known.get(usize::from(pick) % known.len().max(1)) {
            self.change(pick, Change::Promote(*node));
        }
    }

    /// Removes a member, but never so that the voters left cannot make a majority: no protocol
    /// helps an operator who does that.
    fn remove(&mut self, pick: u8) {
        let Some(at) = self.a_leader(pick) else {
            return;
        };
        let membership = self.slots[at].membership.clone();
        let members: Vec<NodeId> = membership.members().map(Member::id).collect();
        let lost = members.iter().find(|id| self.lost.contains(id)).copied();
        let other = members
            .get(usize::from(pick) % members.len().max(1))
            .copied();
        let Some(node) = lost.or(other) else { return };
        let Ok(after) = membership.after(&Change::Remove(node)) else {
            return;
        };
        if self.alive(&after) >= after.quorum() && after.voters.len() > 1 {
            self.change(pick, Change::Remove(node));
        }
    }

    /// How many voters still have their memory.
    fn alive(&self, membership: &Membership) -> usize {
        let voters = membership.voters.iter();
        voters.filter(|m| !self.lost.contains(&m.id())).count()
    }

    fn transfer(&mut self, pick: u8) {
        if let Some(at) = self.a_leader(pick) {
            self.transfer_at(at);
        }
    }

    pub fn transfer_at(&mut self, at: usize) {
        let ticket = self.ticket(at, Asked::Other);
        self.input(at, Input::Transfer { ticket, to: None });
    }

    fn snapshot(&mut self, at: usize) {
        let Some(running) = &self.slots[at].running else {
            return;
        };
        let index = running.applied;
        let data = Bytes::from(running.map.snapshot());
        self.input(at, Input::Snapshot { index, data });
    }

    pub fn freeze(&mut self, at: usize, ms: u16) {
        let until = self.now + Duration::from_millis(u64::from(ms));
        let slot = &mut self.slots[at];
        slot.frozen_until = slot.frozen_until.max(until);
    }

    pub fn isolate(&mut self, at: usize) {
        let own = self.slots[at].id;
        for other in self.slots.iter().map(|s| s.id) {
            self.cut.insert((own, other));
            self.cut.insert((other, own));
        }
    }

    fn wrong(&mut self, at: usize, set: impl FnOnce(&mut Wrong)) {
        let disk = &self.slots[at].disk;
        let mut wrong = disk.wrong();
        set(&mut wrong);
        disk.set_wrong(wrong);
    }

    fn give_space(&mut self) {
        for at in 0..self.slots.len() {
            self.wrong(at, |w| w.space = None);
        }
    }

    /// Loses a disk, if in no membership that may be in force a majority would be lost with it.
    fn lose_disk(&mut self, at: usize) {
        let id = self.slots[at].id;
        self.lost.insert(id);
        let views = self.slots.iter().map(|s| &s.membership);
        let views: Vec<&Membership> = views.chain([&self.checker.membership]).collect();
        let enough = |m: &&Membership| m.voters.is_empty() || self.alive(m) >= m.quorum();
        if !views.iter().all(enough) && !self.variant.keeps_identity {
            self.lost.remove(&id);
            return;
        }
        if self.variant.keeps_identity {
            self.lost.remove(&id);
        }
        self.slots[at].running = None;
        self.slots[at].inbox.clear();
        self.slots[at].disk.replace();
        if !self.variant.keeps_identity {
            self.slots[at].id = NodeId(0);
            self.slots[at].membership = Membership::default();
            self.slots[at].durable = 0;
        }
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

    fn start_any(&mut self, pick: u8) {
        let down = (0..self.slots.len()).filter(|at| self.slots[*at].running.is_none());
        let down: Vec<usize> = down.collect();
        if let Some(at) = down.get(usize::from(pick) % down.len().max(1)) {
            self.start(*at);
        }
    }

    fn start(&mut self, at: usize) {
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
            // The process dies again while it starts, or there is no space to start.
            Err(StorageError::Io { .. } | StorageError::Sync { .. }) => {
                slot.disk.crash(&mut self.rng);
                return;
            }
            Err(error) => {
                self.checker
                    .found(Violation::StartRefused(error.to_string()));
                return;
            }
        };
        let lies = self.variant.lying_disks;
        self.wrong(at, |w| w.sync_lies = lies);
        if again && self.variant.keeps_identity {
            memory.hard.cluster = CLUSTER.0;
        }
        let slot = &mut self.slots[at];
        slot.id = storage.node();
        let config = NodeConfig {
            id: slot.id,
            seed: self.rng.random(),
            timing: Timing::default(),
            limits: small(),
            safeguards: self.variant.safeguards,
        };
        if !self.variant.keeps_identity {
            self.checker.restarted(slot.id, memory.hard.term);
        }
        slot.running = Some(Running {
            node: Node::new(config, memory, Duration::ZERO),
            storage,
            map: Map::default(),
            applied: 0,
            boot: self.now,
            queue: VecDeque::new(),
            disk_until: self.now,
            tickets: BTreeMap::new(),
            appended: BTreeMap::new(),
            reads: Vec::new(),
            led: false,
        });
        self.settle(at);
    }

    /// A replica as it is now.
    pub fn status(&self, at: usize) -> NodeStatus {
        self.slots[at].running.as_ref().unwrap().node.status()
    }

    /// Runs until `ready`, for at most `limit` slices.
    pub fn run_until(&mut self, limit: u32, ready: impl Fn(&Self) -> bool) -> bool {
        for _ in 0..limit {
            if ready(self) {
                return true;
            }
            self.run(SLICE);
        }
        false
    }

    /// Runs until one of these leads.
    pub fn elect(&mut self, among: &[usize]) -> usize {
        let leads = |w: &Self| w.leaders().into_iter().find(|at| among.contains(at));
        assert!(
            self.run_until(2_000, |w| leads(w).is_some()),
            "nobody leads"
        );
        leads(self).unwrap()
    }

    /// Loses what any of `from` sends to any of `to`.
    pub fn cut(&mut self, from: &[usize], to: &[usize]) {
        for from in from {
            for to in to.iter().filter(|to| *to != from) {
                let pair = (self.slots[*from].id, self.slots[*to].id);
                self.cut.insert(pair);
            }
        }
    }

    /// Restores all links.
    pub fn heal(&mut self) {
        self.cut.clear();
    }

    /// Gives a replica an input at its own time. A frozen one takes it when it wakes.
    fn input(&mut self, at: usize, input: Input) {
        let now = self.now;
        let slot = &mut self.slots[at];
        let Some(running) = &mut slot.running else {
            return;
        };
        if slot.frozen_until > now {
            slot.inbox.push(input);
            return;
        }
        let local = now.saturating_sub(running.boot).mul_f64(slot.rate);
        running.node.step(local, input);
        self.settle(at);
    }

    pub fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until && self.checker.violation.is_none() {
            self.now += SLICE;
            self.deliver();
            for at in 0..self.slots.len() {
                if self.slots[at].frozen_until <= self.now {
                    self.turn_disk(at);
                    self.turn_clock(at);
                }
            }
        }
    }

    /// Delivers what is due. What came to a frozen replica waits, as in the buffers of its
    /// sockets, and is read when it wakes in an order that nobody can tell.
    fn deliver(&mut self) {
        for at in 0..self.slots.len() {
            if self.slots[at].frozen_until <= self.now {
                let mut waiting = std::mem::take(&mut self.slots[at].inbox);
                if self.rng.random() {
                    waiting.shuffle(&mut self.rng);
                }
                for input in waiting {
                    self.input(at, input);
                }
            }
        }
        let later = self.wire.split_off(&(self.now, u64::MAX));
        let due = std::mem::replace(&mut self.wire, later);
        for message in due.into_values() {
            let to = message.recipient();
            let known = self.slots.iter().position(|s| s.id == to);
            if let Some(at) = known
                && !self.cut.contains(&(message.sender(), to))
            {
                self.input(at, Input::Message(message));
            }
        }
    }

    fn turn_disk(&mut self, at: usize) {
        let slow = Duration::from_millis(self.rng.random_range(0..40));
        let now = self.now;
        let Some(running) = &mut self.slots[at].running else {
            return;
        };
        if running.queue.is_empty() || running.disk_until > now {
            return;
        }
        running.disk_until = now + slow;
        let count = self.rng.random_range(1..=running.queue.len());
        let batch = running.queue.drain(..count).collect();
        match running.storage.write(batch) {
            Ok(results) => {
                for result in results {
                    self.input(at, result);
                }
            }
            Err(_) => self.kill(at),
        }
    }

    fn turn_clock(&mut self, at: usize) {
        let now = self.now;
        let slot = &self.slots[at];
        let Some(running) = &slot.running else { return };
        let local = now.saturating_sub(running.boot).mul_f64(slot.rate);
        if local >= running.node.wake_at() {
            self.input(at, Input::Tick);
        }
    }

    /// Does what the node wants done, as the replica's driver does.
    fn settle(&mut self, at: usize) {
        let durable = self.slots.iter().map(|s| (s.id, s.durable)).collect();
        let slot = &mut self.slots[at];
        let Some(running) = &mut slot.running else {
            return;
        };
        let output = running.node.output();
        if let Some(text) = output.broken {
            self.checker.found(Violation::Broken(text));
        }
        running.queue.extend(output.write);
        for answer in output.answers {
            running.answer(answer, &mut self.checker, &durable);
        }
        if let Some(snapshot) = output.restore {
            running.map.restore(&snapshot.data).unwrap();
            running.applied = snapshot.index;
            self.checker.state(snapshot.index, &running.map.state());
        }
        for entry in output.committed {
            let outcome = (entry.kind() == EntryKind::Command)
                .then(|| running.map.apply(entry.index, &entry.data));
            running.applied = entry.index;
            self.checker.committed(&entry, &running.map.state());
            let waiter = running.appended.remove(&entry.index);
            if let (Some((term, request)), Some(outcome)) = (waiter, outcome)
                && term == entry.term
            {
                self.checker.tell(request, outcome, entry.index);
            }
        }
        running.finish_reads(&mut self.checker);
        let status = running.node.status();
        let leads = status.role == RoleName::Leader;
        if leads {
            self.checker.led(status.term, slot.id);
        }
        if running.led && !leads {
            running.appended.clear();
        }
        running.led = leads;
        slot.durable = status.durable;
        slot.membership = status.membership;
        for message in output.messages {
            self.send(&message);
        }
    }

    fn send(&mut self, message: &Message) {
        self.checker.sent(message);
        let lossy = u32::from(self.loss);
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
            self.wire.insert(at, message.clone());
        }
    }

    /// Ends all faults; then a request must be accepted and all members agree.
    fn recover(&mut self) {
        self.cut.clear();
        self.loss = 0;
        self.give_space();
        for at in 0..self.slots.len() {
            self.wrong(at, |w| w.crash_after = None);
            self.start(at);
            self.slots[at].frozen_until = self.now;
        }
        let until = self.now + RECOVERY;
        let told = self.checker.told();
        let mut asked = 0;
        while self.now < until && self.checker.violation.is_none() {
            if asked % 20 == 0 {
                self.propose(0, None);
            }
            asked += 1;
            self.run(Duration::from_millis(100));
            if self.checker.told() > told && self.agreed() {
                self.checker.check_told();
                return;
            }
        }
        self.checker.found(Violation::NoProgress);
    }

    fn agreed(&mut self) -> bool {
        let last = self.checker.last();
        let membership = self.checker.membership.clone();
        let mut states = Vec::new();
        for slot in self.slots.iter().filter(|s| membership.is_voter(s.id)) {
            let Some(running) = &slot.running else {
                return false;
            };
            if running.applied < last {
                return false;
            }
            states.push(running.map.state());
        }
        for state in states {
            self.checker.state(last, &state);
        }
        true
    }
}

impl Running {
    fn answer(&mut self, answer: Answer, checker: &mut Checker, durable: &BTreeMap<NodeId, u64>) {
        let asked = self.tickets.remove(&answer.ticket);
        match (asked, answer.result) {
            (Some(Asked::Put(request)), Ok(Accepted::Appended(place))) => {
                self.appended.insert(place.index, (place.term, request));
            }
            (Some(Asked::Read(floor)), Ok(Accepted::Readable(index))) => {
                self.reads.push((floor, index));
            }
            (Some(Asked::Promote(node)), Ok(_)) => {
                let commit = self.node.status().commit;
                if let Some(held) = durable.get(&node).copied()
                    && held < commit
                {
                    checker.found(Violation::EarlyVoter { held, commit });
                }
            }
            _ => {}
        }
    }

    fn finish_reads(&mut self, checker: &mut Checker) {
        let applied = self.applied;
        for (floor, index) in self.reads.extract_if(.., |(_, index)| *index <= applied) {
            checker.read(floor, index);
        }
    }
}

impl Slot {
    fn member(&self) -> Member {
        Member {
            node: self.id.0,
            name: format!("entry-{}", self.id),
            address: String::new(),
        }
    }
}

/// Limits that are reached in a short run.
fn small() -> Limits {
    Limits {
        append_bytes: 100,
        inflight: 3,
        piece_bytes: 64,
        kept_entries: 3,
        ..Limits::default()
    }
}
