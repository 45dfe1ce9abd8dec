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
use crate::node::persist::Durability;
use crate::node::reads::WaitingRead;
use crate::node::snapshots::Outgoing;
use crate::node::transfer::Transfer;

/// The largest number of followers at which the heartbeat interval is not lengthened.
const UNSPACED_FOLLOWERS: u32 = 4;

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
    pub(super) match_index: u64,
    pub(super) next_index: u64,
    pub(super) flow: Flow,
    /// The latest heartbeat round that it confirmed.
    pub(super) confirmed_round: u64,
    /// The time at which a message that needs an answer was last sent, or at which the last answer
    /// arrived.
    pub(super) waiting_since: Duration,
    /// The time of its last answer.
    pub(super) heard_at: Duration,
    /// The commit index that was last sent to it.
    pub(super) sent_commit: u64,
}

/// The state that only a leader keeps.
#[derive(Debug)]
pub(super) struct Leader {
    pub(super) peers: BTreeMap<NodeId, Peer>,
    /// The index of the no-op entry of this term.
    pub(super) noop_index: u64,
    pub(super) round: u64,
    /// The number and start of each round that no majority has confirmed.
    pub(super) open_rounds: VecDeque<(u64, Duration)>,
    /// The start of the latest round that a majority confirmed, or of the term.
    pub(super) confirmed_at: Duration,
    pub(super) lease_start: Option<Duration>,
    pub(super) lease_void: bool,
    /// The latest round that cannot renew the lease, because the clock may have been paused since
    /// it began.
    pub(super) doubtful_round: u64,
    pub(super) heartbeat_at: Duration,
    pub(super) reads: VecDeque<WaitingRead>,
    pub(super) transfer: Option<Transfer>,
}

impl Node {
    pub(super) fn become_leader(&mut self) {
        self.leader = Some(self.config.id);
        self.role = Role::Leader(Box::new(Leader {
            peers: BTreeMap::new(),
            noop_index: self.log.last().index + 1,
            round: 0,
            open_rounds: VecDeque::new(),
            confirmed_at: self.now,
            lease_start: None,
            lease_void: false,
            doubtful_round: 0,
            heartbeat_at: self.now,
            reads: VecDeque::new(),
            transfer: None,
        }));
        self.append_own(EntryKind::NoOp, Bytes::new());
        self.refresh_peers();
        self.start_round();
        self.count_own_entries();
    }

    /// Updates the list of followers to the current membership.
    pub(super) fn refresh_peers(&mut self) {
        let membership = self.membership();
        let own = self.config.id;
        let next_index = self.log.last().index;
        let waiting_since = self.now;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let listed = |id: &NodeId| membership.members().any(|m| m.id() == *id);
        leader.peers.retain(|id, _| listed(id));
        for member in membership.members().filter(|m| m.id() != own) {
            leader.peers.entry(member.id()).or_insert_with(|| Peer {
                match_index: 0,
                next_index,
                flow: Flow::Probe { sent: false },
                confirmed_round: 0,
                waiting_since,
                heard_at: Duration::ZERO,
                sent_commit: 0,
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
        if self.memberships.last().is_some_and(|(_, m)| m.forming > 0) {
            return Some(Refusal::Forming);
        }
        let waiting = self.log.cost_after(self.commit);
        (waiting + command.len() > limits.uncommitted_bytes).then_some(Refusal::Busy)
    }

    /// Performs the periodic work of a leader: steps down without a majority, sends heartbeats,
    /// resends.
    pub(super) fn tick_leader(&mut self) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        // A leader that no majority answers cannot commit. If it can send but not receive, it would
        // keep its callers waiting and its followers from electing another leader.
        let unconfirmed = self.now >= leader.confirmed_at + self.config.timing.election_min;
        let deposed = unconfirmed && self.config.safeguards.check_quorum && !self.sole_voter();
        if deposed || self.disk_hangs() {
            self.become_follower(self.hard.term, None);
            return;
        }
        let due = self.now >= leader.heartbeat_at;
        let committed = self.commit >= leader.noop_index;
        self.expire_transfer();
        if committed && !self.is_voter() {
            self.yield_leadership();
        }
        if due {
            self.start_round();
            self.resend_unanswered();
        }
    }

    pub(super) fn sole_voter(&self) -> bool {
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
        let heartbeat = heartbeat_interval(timing, leader.peers.len());
        leader.round += 1;
        leader.open_rounds.push_back((leader.round, now));
        leader.heartbeat_at = now + heartbeat;
        let round = leader.round;
        let match_indices: Vec<(NodeId, u64)> = leader
            .peers
            .iter()
            .map(|(id, p)| (*id, p.match_index))
            .collect();
        for (id, match_index) in match_indices {
            // The entry at the matching index may be compacted; the heartbeat then confirms the
            // leader only.
            let prev_index = if self.log.term(match_index).is_some() {
                match_index
            } else {
                0
            };
            let append = Append {
                prev_index,
                prev_term: self.log.term(prev_index).unwrap_or(0),
                entries: Vec::new(),
                commit: self.commit.min(match_index),
                round,
            };
            self.send(id, Durability::Nothing, Body::Append(append));
        }
        self.confirm_rounds();
    }

    /// Resends unanswered messages to followers that have answered anything since.
    ///
    /// A follower that answers no heartbeat either is down, frozen or cut off. Messages to it queue
    /// in its link, and a frozen follower would read the same entries many times before anything
    /// new.
    fn resend_unanswered(&mut self) {
        let now = self.now;
        let wait = self.config.timing.resend;
        let last = self.log.last().index;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        for peer in leader.peers.values_mut() {
            let silent = peer.heard_at <= peer.waiting_since;
            if silent || now < peer.waiting_since + wait || peer.match_index >= last {
                continue;
            }
            peer.waiting_since = now;
            match &mut peer.flow {
                Flow::Snapshot(outgoing) => outgoing.send_again(),
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
            while self.send_next(id) {}
        }
    }

    /// Sends one message to a follower; returns false if there is nothing to send.
    fn send_next(&mut self, id: NodeId) -> bool {
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
            return self.send_piece(id);
        }
        if peer.next_index <= base {
            return self.begin_snapshot(id);
        }
        let unsent = peer.next_index <= last || peer.sent_commit < commit;
        if !peer.may_send(unsent, limits.inflight_appends, now) {
            return false;
        }
        let prev_index = peer.next_index - 1;
        let entries = self.log.slice(peer.next_index, limits.append_bytes);
        peer.note_sent(entries.last(), commit);
        let append = Append {
            prev_index,
            prev_term: self.log.term(prev_index).unwrap_or(0),
            entries,
            commit,
            round: 0,
        };
        self.send(id, Durability::Nothing, Body::Append(append));
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
        peer.heard_at = now;
        peer.confirmed_round = peer.confirmed_round.max(reply.round);
        if reply.reject {
            peer.on_reject(reply);
        } else {
            // An answer to a heartbeat that acknowledges nothing new must not delay the resend.
            if reply.index > peer.match_index {
                peer.waiting_since = now;
            }
            peer.on_accept(reply.index);
        }
        self.confirm_rounds();
        self.advance_commit();
        self.advance_transfer();
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
        let match_index = |id: NodeId| match leader.peers.get(&id) {
            Some(peer) => peer.match_index,
            None if id == own => self.durable,
            None => 0,
        };
        let membership = self.membership();
        let reached = membership.quorum_value(match_index).unwrap_or(0);
        // An entry of an earlier term may be on a majority and still be replaced by a leader of a
        // term in between. Only an entry of the leader's own term commits all entries before it.
        let own_term = self.log.term(reached) == Some(self.hard.term);
        if reached > self.commit && (own_term || !self.config.safeguards.commit_own_term) {
            self.commit = reached;
        }
    }
}

/// Returns the interval between heartbeat rounds to this number of followers.
///
/// At the default interval, a leader of eight voters at rest would use the whole bandwidth that a
/// node may spend on control (8 KB/s). With longer intervals it uses little more than a leader of
/// five, and two rounds still fit into an election timeout.
fn heartbeat_interval(timing: Timing, followers: usize) -> Duration {
    let followers = u32::try_from(followers)
        .unwrap_or(u32::MAX)
        .max(UNSPACED_FOLLOWERS);
    let scaled = timing.heartbeat.saturating_mul(followers) / UNSPACED_FOLLOWERS;
    let longest = (timing.election_min * 2 / 5).max(timing.heartbeat);
    scaled.min(longest)
}

impl Peer {
    /// Returns whether one more message may be sent in this flow; if so, the message counts as
    /// sent.
    fn may_send(&mut self, unsent: bool, limit: usize, now: Duration) -> bool {
        match &mut self.flow {
            Flow::Probe { sent: false } => {
                self.flow = Flow::Probe { sent: true };
                self.waiting_since = now;
                true
            }
            Flow::Pipeline { inflight } if inflight.len() < limit && unsent => {
                if inflight.is_empty() {
                    self.waiting_since = now;
                }
                true
            }
            _ => false,
        }
    }

    fn note_sent(&mut self, end: Option<&Entry>, commit: u64) {
        self.sent_commit = commit;
        if let (Flow::Pipeline { inflight }, Some(end)) = (&mut self.flow, end) {
            inflight.push_back(end.index);
            self.next_index = end.index + 1;
        }
    }

    pub(super) fn probe(&mut self) {
        self.next_index = self.match_index + 1;
        self.flow = Flow::Probe { sent: false };
    }

    fn on_reject(&mut self, reply: AppendReply) {
        let stale = reply.prev_index <= self.match_index;
        match &self.flow {
            Flow::Snapshot(_) => {}
            _ if stale => {}
            Flow::Probe { .. } if reply.prev_index + 1 != self.next_index => {}
            Flow::Probe { .. } => {
                self.next_index = (reply.index + 1)
                    .min(reply.prev_index)
                    .max(self.match_index + 1);
                self.flow = Flow::Probe { sent: false };
            }
            Flow::Pipeline { .. } => self.probe(),
        }
    }

    fn on_accept(&mut self, index: u64) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index + 1);
        match &mut self.flow {
            Flow::Pipeline { inflight } => {
                while inflight.front().is_some_and(|end| *end <= index) {
                    inflight.pop_front();
                }
            }
            Flow::Snapshot(outgoing) if outgoing.index() > self.match_index => {}
            Flow::Probe { .. } if index + 1 < self.next_index => {}
            _ => {
                self.flow = Flow::Pipeline {
                    inflight: VecDeque::new(),
                };
                self.next_index = self.match_index + 1;
            }
        }
    }
}
