//! The steps of a simulated run and its recovery at the end.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use filbertstack_log::Change;
use filbertstack_log::Input;
use filbertstack_log::Member;
use filbertstack_log::Membership;
use filbertstack_log::NodeId;
use filbertstack_log::RoleName;
use filbertstack_log::StateMachine as _;
use filbertstack_log::Ticket;

use crate::support::checker::Violation;
use crate::support::disk::DiskFaults;
use crate::support::machine::Put;
use crate::support::running::Request;
use crate::support::steps::Step;
use crate::support::world::Slot;
use crate::support::world::World;

/// The longest time in which a group must recover once all faults have ended.
const RECOVERY: Duration = Duration::from_secs(60);

impl World {
    /// Runs the steps, then ends all faults and checks that the group recovers.
    pub fn play(&mut self, steps: &[Step]) -> Result<(), Violation> {
        for step in steps {
            self.apply_step(*step);
            if let Some(violation) = &self.checker.violation {
                return Err(violation.clone());
            }
        }
        self.recover();
        self.checker.violation.clone().map_or(Ok(()), Err)
    }

    pub fn apply_step(&mut self, step: Step) {
        match step {
            Step::Run(ms) => self.run(Duration::from_millis(u64::from(ms))),
            Step::Propose(pick) => (0..=pick % 4).for_each(|_| self.propose(pick, None)),
            Step::Resend(pick) => {
                let earlier = self.next_request.checked_sub(1 + u64::from(pick) % 8);
                self.propose(pick, earlier.filter(|r| *r > 0));
            }
            Step::Read(pick) => self.read(pick),
            Step::Kill(pick) => self.kill(self.pick_slot(pick)),
            Step::KillLeader => self.leaders().into_iter().for_each(|at| self.kill(at)),
            Step::CrashAt(pick, operations) => {
                self.set_fault(self.pick_slot(pick), |w| {
                    w.crash_after = Some(operations.into());
                });
            }
            Step::Start(pick) => self.start_any(pick),
            Step::Freeze(pick, ms) => self.freeze(self.pick_slot(pick), ms),
            Step::Suspend(pick, ms) => self.suspend(self.pick_slot(pick), ms),
            Step::FreezeLeader(ms) => {
                self.leaders()
                    .into_iter()
                    .for_each(|at| self.freeze(at, ms));
            }
            Step::Isolate(pick) => self.isolate(self.pick_slot(pick)),
            Step::IsolateLeader => self.leaders().into_iter().for_each(|at| self.isolate(at)),
            Step::CutOneWay(from, to) => {
                let pair = (
                    self.slots[self.pick_slot(from)].id,
                    self.slots[self.pick_slot(to)].id,
                );
                self.cut_links.insert(pair);
            }
            Step::Heal => self.heal(),
            Step::Lose(percent) => self.loss_percent = percent,
            Step::Snapshot(pick) => self.snapshot(self.pick_slot(pick)),
            Step::Full(pick, bytes) => {
                self.set_fault(self.pick_slot(pick), |w| w.space = Some(usize::from(bytes)));
            }
            Step::Space => self.free_space(),
            Step::LoseDisk(pick) => self.lose_disk(self.pick_slot(pick)),
            Step::Learner(pick) => {
                let member = self.slots[self.pick_slot(pick)].member();
                self.change(pick, Change::AddLearner(member));
            }
            Step::Stranger(pick) => self.add_stranger(pick),
            Step::Promote(pick) => self.promote(pick),
            Step::Remove(pick) => self.remove(pick),
            Step::Transfer(pick) => self.transfer(pick),
        }
    }

    fn pick_slot(&self, pick: u8) -> usize {
        usize::from(pick) % self.slots.len()
    }

    /// Returns the replicas that consider themselves the leader.
    pub fn leaders(&self) -> Vec<usize> {
        let leads = |slot: &Slot| {
            let running = slot.running.as_ref();
            running.is_some_and(|r| r.node.status().role == RoleName::Leader)
        };
        (0..self.slots.len())
            .filter(|at| leads(&self.slots[*at]))
            .collect()
    }

    fn pick_leader(&self, pick: u8) -> Option<usize> {
        let leaders = self.leaders();
        leaders
            .get(usize::from(pick) % leaders.len().max(1))
            .copied()
    }

    pub(super) fn ticket(&mut self, at: usize, asked: Request) -> Ticket {
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        if let Some(running) = &mut self.slots[at].running {
            running.tickets.insert(ticket, asked);
        }
        ticket
    }

    fn propose(&mut self, pick: u8, earlier: Option<u64>) {
        if let Some(at) = self.pick_leader(pick) {
            self.propose_at(at, earlier);
        }
    }

    /// Submits the proposals of several callers at the same time.
    pub fn propose_burst(&mut self, at: usize, count: u64) {
        for _ in 0..count {
            let (ticket, command) = self.command(at, None);
            self.take(at, Input::Propose { ticket, command });
        }
        self.perform_output(at);
    }

    pub fn propose_at(&mut self, at: usize, earlier: Option<u64>) {
        let (ticket, command) = self.command(at, earlier);
        self.input(at, Input::Propose { ticket, command });
    }

    fn command(&mut self, at: usize, earlier: Option<u64>) -> (Ticket, Bytes) {
        let request = earlier.unwrap_or_else(|| {
            self.next_request += 1;
            self.next_request
        });
        let put = Put {
            request,
            key: request % 5,
            value: request,
        };
        let ticket = self.ticket(at, Request::Put(request));
        (ticket, put.encode())
    }

    fn read(&mut self, pick: u8) {
        if let Some(at) = self.pick_leader(pick) {
            self.read_at(at);
        }
    }

    pub fn read_at(&mut self, at: usize) {
        let ticket = self.ticket(at, Request::Read(self.checker.floor()));
        self.input(at, Input::Read { ticket });
    }

    fn change(&mut self, pick: u8, change: Change) {
        if let Some(at) = self.pick_leader(pick) {
            self.change_at(at, change);
        }
    }

    pub fn change_at(&mut self, at: usize, change: Change) {
        // An operator whose change waits at a frozen leader could not know which disks are lost
        // meanwhile.
        if self.slots[at].frozen_until > self.now {
            return;
        }
        let asked = match &change {
            Change::Promote(node) => Request::Promote(*node),
            _ => Request::Other,
        };
        let ticket = self.ticket(at, asked);
        self.input(at, Input::Change { ticket, change });
    }

    /// Adds a replica that the leader does not know.
    fn add_stranger(&mut self, pick: u8) {
        let Some(at) = self.pick_leader(pick) else {
            return;
        };
        let known = Arc::clone(&self.slots[at].membership);
        let strange = |s: &&Slot| !known.members().any(|m| m.id() == s.id);
        let strange: Vec<Member> = self
            .slots
            .iter()
            .filter(strange)
            .map(Slot::member)
            .collect();
        if let Some(member) = strange.get(usize::from(pick) % strange.len().max(1)) {
            self.change(pick, Change::AddLearner(member.clone()));
        }
    }

    fn promote(&mut self, pick: u8) {
        let Some(at) = self.pick_leader(pick) else {
            return;
        };
        let learners = self.slots[at].membership.learners.clone();
        let known = learners
            .iter()
            .filter(|m| !self.lost_disks.contains(&m.id()));
        let known: Vec<NodeId> = known.map(Member::id).collect();
        if let Some(node) = known.get(usize::from(pick) % known.len().max(1)) {
            self.change(pick, Change::Promote(*node));
        }
    }

    /// Removes a member, unless the remaining voters could not form a majority: no protocol can
    /// protect against that change.
    fn remove(&mut self, pick: u8) {
        let Some(at) = self.pick_leader(pick) else {
            return;
        };
        let membership = self.slots[at].membership.clone();
        let members: Vec<NodeId> = membership.members().map(Member::id).collect();
        let lost = members
            .iter()
            .find(|id| self.lost_disks.contains(id))
            .copied();
        let other = members
            .get(usize::from(pick) % members.len().max(1))
            .copied();
        let Some(node) = lost.or(other) else { return };
        let Ok(after) = membership.with_change(&Change::Remove(node)) else {
            return;
        };
        if self.count_alive(&after) >= after.quorum() && after.voters.len() > 1 {
            self.change(pick, Change::Remove(node));
        }
    }

    /// Returns the number of voters that still have their durable state.
    fn count_alive(&self, membership: &Membership) -> usize {
        let voters = membership.voters.iter();
        voters
            .filter(|m| !self.lost_disks.contains(&m.id()))
            .count()
    }

    fn transfer(&mut self, pick: u8) {
        if let Some(at) = self.pick_leader(pick) {
            self.transfer_at(at);
        }
    }

    pub fn transfer_at(&mut self, at: usize) {
        let ticket = self.ticket(at, Request::Other);
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

    /// Freezes a replica together with its clock, as when an instance is suspended.
    pub fn suspend(&mut self, at: usize, ms: u16) {
        self.freeze(at, ms);
        let slot = &mut self.slots[at];
        slot.suspended = true;
        if let Some(running) = &mut slot.running {
            running.started_at += Duration::from_millis(u64::from(ms));
        }
    }

    pub fn isolate(&mut self, at: usize) {
        let own = self.slots[at].id;
        for other in self.slots.iter().map(|s| s.id) {
            self.cut_links.insert((own, other));
            self.cut_links.insert((other, own));
        }
    }

    pub(super) fn set_fault(&mut self, at: usize, set: impl FnOnce(&mut DiskFaults)) {
        let disk = &self.slots[at].disk;
        let mut faults = disk.faults();
        set(&mut faults);
        disk.set_faults(faults);
    }

    fn free_space(&mut self) {
        for at in 0..self.slots.len() {
            self.set_fault(at, |w| w.space = None);
        }
    }

    /// Loses a disk, unless a majority of a membership that may be in force would be lost with it.
    fn lose_disk(&mut self, at: usize) {
        let id = self.slots[at].id;
        self.lost_disks.insert(id);
        let enough = |m: &Arc<Membership>| m.voters.is_empty() || self.count_alive(m) >= m.quorum();
        let sure = self.memberships.iter().all(enough);
        if !sure && !self.variant.keeps_identity {
            self.lost_disks.remove(&id);
            return;
        }
        if self.variant.keeps_identity {
            self.lost_disks.remove(&id);
        }
        self.checker.seen.disks += 1;
        self.slots[at].running = None;
        self.slots[at].inbox.clear();
        self.slots[at].disk.replace();
        if !self.variant.keeps_identity {
            self.slots[at].id = NodeId(0);
            self.slots[at].membership = Arc::default();
            self.slots[at].durable = 0;
        }
        self.start(at);
    }

    /// Ends all faults, then checks that a request is accepted and that all members agree.
    fn recover(&mut self) {
        self.cut_links.clear();
        self.loss_percent = 0;
        self.free_space();
        for at in 0..self.slots.len() {
            self.set_fault(at, |w| w.crash_after = None);
            self.start(at);
            self.slots[at].frozen_until = self.now;
        }
        let until = self.now + RECOVERY;
        let told = self.checker.accepted();
        let mut asked = 0;
        while self.now < until && self.checker.violation.is_none() {
            if asked % 20 == 0 {
                self.propose(0, None);
            }
            asked += 1;
            self.run(Duration::from_millis(100));
            if self.checker.accepted() > told && self.states_agree() {
                self.checker.check_outcomes();
                return;
            }
        }
        self.checker.report(Violation::NoProgress);
    }

    fn states_agree(&mut self) -> bool {
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
            self.checker.check_state(last, &state);
        }
        true
    }
}
