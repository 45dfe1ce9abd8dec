//! Replication and commit on a leader.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;

use crate::config::Timing;
use crate::ids::NodeId;
use crate::message::Append;
use crate::message::AppendReply;
use crate::message::Body;
use crate::message::Entry;
use crate::message::EntryKind;
use crate::node::Accepted;
use crate::node::Node;
use crate::node::Refusal;
use crate::node::Role;
use crate::node::Ticket;
use crate::node::persist::Gate;
use crate::node::reads::WaitingRead;
use crate::node::snapshots::Outgoing;
use crate::node::transfer::Transfer;

/// The largest number of followers at which the heartbeat interval is not lengthened.
const UNSPACED: u32 = 4;

/// The state of replication to one follower.
#[derive(Debug)]
pub(super) enum Flow {
    /// The leader does not know where the logs agree: it sends one message and waits for the
    /// answer.
    Probe {
        /// Whether the message has been sent and is unanswered.
        sent: bool,
    },
    /// The leader knows where the logs agree and keeps several messages in flight.
    Pipeline {
        /// The last index of each message in flight.
        inflight: VecDeque<u64>,
    },
    /// The follower lags too far behind for entries and receives a snapshot.
    Snapshot(Outgoing),
}

/// The leader's view of one follower.
#[derive(Debug)]
pub(super) struct Peer {
    /// The index up to which the follower durably holds this log.
    pub(super) held: u64,
    pub(super) next: u64,
    pub(super) flow: Flow,
    /// The latest heartbeat round that it confirmed.
    pub(super) round: u64,
    /// The time at which a message that needs an answer was last sent, or at which the last answer
    /// arrived.
    pub(super) touched: Duration,
    /// The time of its last answer.
    pub(super) heard: Duration,
    /// The commit index that was last sent to it.
    pub(super) told: u64,
}

/// The state that only a leader keeps.
#[derive(Debug)]
pub(super) struct Leader {
    pub(super) peers: BTreeMap<NodeId, Peer>,
    /// The index of the no-op entry of this term.
    pub(super) opened: u64,
    pub(super) round: u64,
    /// The number and start of each round that no majority has confirmed.
    pub(super) rounds: VecDeque<(u64, Duration)>,
    /// The start of the latest round that a majority confirmed, or of the term.
    pub(super) confirmed: Duration,
    pub(super) lease_from: Option<Duration>,
    pub(super) lease_void: bool,
    /// The latest round that cannot renew the lease, because the clock may have been paused since
    /// it began.
    pub(super) doubtful: u64,
    pub(super) heartbeat_at: Duration,
    pub(super) reads: VecDeque<WaitingRead>,
    pub(super) transfer: Option<Transfer>,
}

impl Node {
    pub(super) fn become_leader(&mut self) {
        self.leader = Some(self.config.id);
        self.role = Role::Leader(Box::new(Leader {
            peers: BTreeMap::new(),
            opened: self.log.last().index + 1,
            round: 0,
            rounds: VecDeque::new(),
            confirmed: self.now,
            lease_from: None,
            lease_void: false,
            doubtful: 0,
            heartbeat_at: self.now,
            reads: VecDeque::new(),
            transfer: None,
        }));
        self.append_own(EntryKind::Opening, Bytes::new());
        self.refresh_peers();
        self.start_round();
        self.count_own_entries();
    }

    /// Updates the list of followers to the current membership.
    pub(super) fn refresh_peers(&mut self) {
        let membership = self.membership();
        let own = self.config.id;
        let next = self.log.last().index;
        let touched = self.now;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let listed = |id: &NodeId| membership.members().any(|m| m.id() == *id);
        leader.peers.retain(|id, _| listed(id));
        for member in membership.members().filter(|m| m.id() != own) {
            leader.peers.entry(member.id()).or_insert_with(|| Peer {
                held: 0,
                next,
                flow: Flow::Probe { sent: false },
                round: 0,
                touched,
                heard: Duration::ZERO,
                told: 0,
            });
        }
    }

    pub(super) fn on_propose(&mut self, ticket: Ticket, command: Bytes) {
        let result = match self.refuse_command(&command) {
            Some(refusal) => Err(refusal),
            None => Ok(Accepted::Appended(
                self.append_own(EntryKind::Command, command),
            )),
        };
        self.answer(ticket, result);
    }

    fn refuse_command(&self, command: &Bytes) -> Option<Refusal> {
        if self.disk.full_until.is_some() {
            return Some(Refusal::DiskFull);
        }
        let Role::Leader(leader) = &self.role else {
            return Some(self.not_leader());
        };
        if leader.transfer.is_some() {
            return Some(Refusal::Transferring);
        }
        let limits = self.config.limits;
        if command.len() > limits.command_bytes {
            return Some(Refusal::TooLong {
                length: command.len(),
                most: limits.command_bytes,
            });
        }
        if self.members.last().is_some_and(|(_, m)| m.forming > 0) {
            return Some(Refusal::Forming);
        }
        let waiting = self.log.cost_after(self.commit);
        (waiting + command.len() > limits.uncommitted_bytes).then_some(Refusal::Busy)
    }

    /// Performs the periodic work of a leader: steps down without a majority, sends heartbeats,
    /// resends.
    pub(super) fn lead_on(&mut self) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        // A leader that no majority answers cannot commit. If it can send but not receive, it would
        // keep its callers waiting and its followers from electing another leader.
        let quiet = self.now >= leader.confirmed + self.config.timing.election_min;
        let deposed = quiet && self.config.safeguards.check_quorum && !self.alone();
        if deposed || self.disk_hangs() {
            self.follow(self.hard.term, None);
            return;
        }
        let due = self.now >= leader.heartbeat_at;
        let opened = self.commit >= leader.opened;
        self.expire_transfer();
        if opened && !self.is_voter() {
            self.hand_over();
        }
        if due {
            self.start_round();
            self.resend_quiet();
        }
    }

    pub(super) fn alone(&self) -> bool {
        let membership = self.membership();
        membership.voters.len() == 1 && membership.is_voter(self.config.id)
    }

    /// Starts a heartbeat round, which asks every follower to confirm the leader.
    pub(super) fn start_round(&mut self) {
        let now = self.now;
        let timing = self.config.timing;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let heartbeat = spaced(timing, leader.peers.len());
        leader.round += 1;
        leader.rounds.push_back((leader.round, now));
        leader.heartbeat_at = now + heartbeat;
        let round = leader.round;
        let held: Vec<(NodeId, u64)> = leader.peers.iter().map(|(id, p)| (*id, p.held)).collect();
        for (id, held) in held {
            // The entry at the matching index may be compacted; the heartbeat then confirms the
            // leader only.
            let prev_index = if self.log.term(held).is_some() {
                held
            } else {
                0
            };
            let append = Append {
                prev_index,
                prev_term: self.log.term(prev_index).unwrap_or(0),
                entries: Vec::new(),
                commit: self.commit.min(held),
                round,
            };
            self.send(id, Gate::Open, Body::Append(append));
        }
        self.confirm_rounds();
    }

    /// Resends unanswered messages to followers that have answered anything since.
    ///
    /// A follower that answers no heartbeat either is down, frozen or cut off. Messages to it queue
    /// in its link, and a frozen follower would read the same entries many times before anything
    /// new.
    fn resend_quiet(&mut self) {
        let now = self.now;
        let wait = self.config.timing.resend;
        let last = self.log.last().index;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        for peer in leader.peers.values_mut() {
            let silent = peer.heard <= peer.touched;
            if silent || now < peer.touched + wait || peer.held >= last {
                continue;
            }
            peer.touched = now;
            match &mut peer.flow {
                Flow::Snapshot(outgoing) => outgoing.again(),
                Flow::Probe { sent } => *sent = false,
                Flow::Pipeline { .. } => peer.probe(),
            }
        }
    }

    /// Sends each follower the entries it lacks, as far as its flow allows.
    pub(super) fn replicate(&mut self) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let ids: Vec<NodeId> = leader.peers.keys().copied().collect();
        for id in ids {
            while self.feed(id) {}
        }
    }

    /// Sends one message to a follower; returns false if there is nothing to send.
    fn feed(&mut self, id: NodeId) -> bool {
        let limits = self.config.limits;
        let (last, base) = (self.log.last().index, self.log.base().index);
        let (commit, now) = (self.commit, self.now);
        let Role::Leader(leader) = &mut self.role else {
            return false;
        };
        let Some(peer) = leader.peers.get_mut(&id) else {
            return false;
        };
        if matches!(peer.flow, Flow::Snapshot(_)) {
            return self.feed_snapshot(id);
        }
        if peer.next <= base {
            return self.begin_snapshot(id);
        }
        let news = peer.next <= last || peer.told < commit;
        if !peer.may_send(news, limits.inflight, now) {
            return false;
        }
        let prev_index = peer.next - 1;
        let entries = self.log.slice(peer.next, limits.append_bytes);
        peer.note_sent(entries.last(), commit);
        let append = Append {
            prev_index,
            prev_term: self.log.term(prev_index).unwrap_or(0),
            entries,
            commit,
            round: 0,
        };
        self.send(id, Gate::Open, Body::Append(append));
        true
    }

    pub(super) fn on_append_reply(&mut self, from: NodeId, reply: AppendReply) {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(peer) = leader.peers.get_mut(&from) else {
            return;
        };
        peer.heard = now;
        peer.round = peer.round.max(reply.round);
        if reply.reject {
            peer.on_reject(reply);
        } else {
            // An answer to a heartbeat that acknowledges nothing new must not delay the resend.
            if reply.index > peer.held {
                peer.touched = now;
            }
            peer.on_accept(reply.index);
        }
        self.confirm_rounds();
        self.advance_commit();
        self.hurry_transfer();
    }

    /// Counts the entries that are durable on this replica, as an acknowledgement of any voter.
    pub(super) fn count_own_entries(&mut self) {
        self.advance_commit();
    }

    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let own = self.config.id;
        let held = |id: NodeId| match leader.peers.get(&id) {
            Some(peer) => peer.held,
            None if id == own => self.durable,
            None => 0,
        };
        let membership = self.membership();
        let reached = membership.reached(held).unwrap_or(0);
        // An entry of an earlier term may be on a majority and still be replaced by a leader of a
        // term in between. Only an entry of the leader's own term commits all entries before it.
        let own_term = self.log.term(reached) == Some(self.hard.term);
        if reached > self.commit && (own_term || !self.config.safeguards.own_term) {
            self.commit = reached;
        }
    }
}

/// Returns the interval between heartbeat rounds to this number of followers.
///
/// At the default interval, a leader of eight voters at rest would use the whole bandwidth that a
/// node may spend on control (8 KB/s). With longer intervals it uses little more than a leader of
/// five, and two rounds still fit into an election timeout.
fn spaced(timing: Timing, followers: usize) -> Duration {
    let followers = u32::try_from(followers).unwrap_or(u32::MAX).max(UNSPACED);
    let wanted = timing.heartbeat.saturating_mul(followers) / UNSPACED;
    let most = (timing.election_min * 2 / 5).max(timing.heartbeat);
    wanted.min(most)
}

impl Peer {
    /// Returns whether one more message may be sent in this flow; if so, the message counts as
    /// sent.
    fn may_send(&mut self, news: bool, most: usize, now: Duration) -> bool {
        match &mut self.flow {
            Flow::Probe { sent: false } => {
                self.flow = Flow::Probe { sent: true };
                self.touched = now;
                true
            }
            Flow::Pipeline { inflight } if inflight.len() < most && news => {
                if inflight.is_empty() {
                    self.touched = now;
                }
                true
            }
            _ => false,
        }
    }

    fn note_sent(&mut self, end: Option<&Entry>, commit: u64) {
        self.told = commit;
        if let (Flow::Pipeline { inflight }, Some(end)) = (&mut self.flow, end) {
            inflight.push_back(end.index);
            self.next = end.index + 1;
        }
    }

    pub(super) fn probe(&mut self) {
        self.next = self.held + 1;
        self.flow = Flow::Probe { sent: false };
    }

    fn on_reject(&mut self, reply: AppendReply) {
        let stale = reply.prev_index <= self.held;
        match &self.flow {
            Flow::Snapshot(_) => {}
            _ if stale => {}
            Flow::Probe { .. } if reply.prev_index + 1 != self.next => {}
            Flow::Probe { .. } => {
                self.next = (reply.index + 1).min(reply.prev_index).max(self.held + 1);
                self.flow = Flow::Probe { sent: false };
            }
            Flow::Pipeline { .. } => self.probe(),
        }
    }

    fn on_accept(&mut self, index: u64) {
        self.held = self.held.max(index);
        self.next = self.next.max(self.held + 1);
        match &mut self.flow {
            Flow::Pipeline { inflight } => {
                while inflight.front().is_some_and(|end| *end <= index) {
                    inflight.pop_front();
                }
            }
            Flow::Snapshot(outgoing) if outgoing.index() > self.held => {}
            Flow::Probe { .. } if index + 1 < self.next => {}
            _ => {
                self.flow = Flow::Pipeline {
                    inflight: VecDeque::new(),
                };
                self.next = self.held + 1;
            }
        }
    }
}
