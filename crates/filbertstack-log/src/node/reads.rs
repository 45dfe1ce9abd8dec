//! Linearizable reads, served under the leader's lease or after a heartbeat round.

use std::time::Duration;

use crate::ids::NodeId;
use crate::node::Accepted;
use crate::node::Node;
use crate::node::Refusal;
use crate::node::Role;
use crate::node::Ticket;

/// A read that waits until a majority confirms the leader.
#[derive(Debug)]
pub(super) struct WaitingRead {
    ticket: Ticket,
    index: u64,
    round: u64,
}

impl Node {
    pub(super) fn on_read(&mut self, ticket: Ticket) {
        if let Some(refusal) = self.refuse_read() {
            self.answer(ticket, Err(refusal));
            return;
        }
        let index = self.read_index();
        if self.lease_until().is_some_and(|until| self.now < until) {
            self.answer(ticket, Ok(Accepted::Readable(index)));
            return;
        }
        self.queue_read(ticket, index);
    }

    fn refuse_read(&self) -> Option<Refusal> {
        let Role::Leader(leader) = &self.role else {
            return Some(self.not_leader());
        };
        (leader.reads.len() >= self.config.limits.pending_reads).then_some(Refusal::Busy)
    }

    /// Returns the index that must be applied before a read is served.
    ///
    /// Before its own first entry is committed, a new leader does not know how far its predecessor
    /// committed. A read served earlier could miss an accepted change.
    fn read_index(&self) -> u64 {
        match &self.role {
            Role::Leader(leader) if self.config.safeguards.read_after_noop => {
                self.commit.max(leader.noop_index)
            }
            _ => self.commit,
        }
    }

    /// Queues a read for the next heartbeat round and starts that round unless another read has
    /// started it. A round that began before the read arrived proves nothing about the read.
    fn queue_read(&mut self, ticket: Ticket, index: u64) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let round = leader.round + 1;
        let begun = leader.reads.back().is_some_and(|r| r.round >= leader.round);
        leader.reads.push_back(WaitingRead {
            ticket,
            index,
            round,
        });
        if !begun {
            self.start_round();
        }
    }

    /// Determines which rounds a majority has confirmed, then renews the lease and releases reads.
    pub(super) fn confirm_rounds(&mut self) {
        let own = self.config.id;
        let membership = self.membership();
        let now = self.now;
        let from_send = self.config.safeguards.lease_from_send;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let confirmed = |id: NodeId| match leader.peers.get(&id) {
            Some(peer) => peer.confirmed_round,
            None if id == own => leader.round,
            None => 0,
        };
        let reached = membership.quorum_value(confirmed).unwrap_or(0);
        let mut advanced = false;
        while leader
            .open_rounds
            .front()
            .is_some_and(|(r, _)| *r <= reached)
        {
            // The promise of a majority starts when its members were asked. If it counted from the
            // arrival of their answers, a leader frozen in between would serve reads after it was
            // replaced.
            let (round, begun) = leader.open_rounds.pop_front().unwrap_or_default();
            leader.confirmed_at = if from_send { begun } else { now };
            if round > leader.doubtful_round {
                leader.lease_start = Some(leader.confirmed_at);
            }
            advanced = true;
        }
        if advanced {
            self.release_reads(reached);
        }
    }

    fn release_reads(&mut self, reached: u64) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let ready = leader.reads.iter().take_while(|r| r.round <= reached);
        let ready = ready.count();
        let ready: Vec<WaitingRead> = leader.reads.drain(..ready).collect();
        let more = leader.reads.front().is_some_and(|r| r.round > leader.round);
        for read in ready {
            self.answer(read.ticket, Ok(Accepted::Readable(read.index)));
        }
        if more {
            self.start_round();
        }
    }

    pub(super) fn fail_reads(&mut self) {
        let refusal = Refusal::NotLeader { leader: None };
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let waiting = std::mem::take(&mut leader.reads);
        for read in waiting {
            self.answer(read.ticket, Err(refusal.clone()));
        }
    }

    /// Returns the end of the lease, until which reads are served without a heartbeat round.
    pub(super) fn lease_until(&self) -> Option<Duration> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        if leader.lease_void {
            return None;
        }
        if self.sole_voter() {
            return Some(self.now + self.config.timing.lease);
        }
        leader.lease_start.map(|at| at + self.config.timing.lease)
    }

    /// Ends the lease because the clock that measures it may have been paused; only a new round
    /// renews it.
    pub(super) fn on_clock_jump(&mut self) {
        if let Role::Leader(leader) = &mut self.role {
            leader.lease_start = None;
            leader.doubtful_round = leader.round;
        }
    }
}
