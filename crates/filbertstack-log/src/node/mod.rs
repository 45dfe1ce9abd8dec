//! The consensus protocol as a pure state machine.
//!
//! A [`Node`] handles [`Input`]s, each with the time of its arrival, and [`Node::output`] returns
//! what to write, send, apply and answer. The node never blocks: the result of a write arrives as
//! an input, and messages that depend on a write are held back until then.

mod changes;
mod election;
mod follower;
mod io;
mod leader;
mod persist;
mod reads;
mod snapshots;
mod transfer;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::entries::Entries;
use crate::ids::NodeId;
use crate::membership::Membership;
use crate::message::Body;
use crate::message::Entry;
use crate::message::HardState;
use crate::message::Message;
use crate::message::Snapshot;
pub use crate::node::io::Accepted;
pub use crate::node::io::Answer;
pub use crate::node::io::DurableState;
pub use crate::node::io::Input;
pub use crate::node::io::NodeConfig;
pub use crate::node::io::NodeStatus;
pub use crate::node::io::Output;
pub use crate::node::io::Refusal;
pub use crate::node::io::RoleName;
pub use crate::node::io::Ticket;
pub use crate::node::io::Write;
use crate::node::leader::Leader;
use crate::node::persist::Durability;
use crate::node::persist::WriteQueue;
use crate::node::snapshots::Incoming;

#[derive(Debug)]
enum Role {
    Follower,
    PreCandidate { votes: BTreeSet<NodeId> },
    Candidate { votes: BTreeSet<NodeId> },
    Leader(Box<Leader>),
}

/// Holds the protocol state of one replica.
#[derive(Debug)]
pub struct Node {
    config: NodeConfig,
    rng: ChaCha8Rng,
    now: Duration,
    hard: HardState,
    role: Role,
    leader: Option<NodeId>,
    leader_heard_at: Option<Duration>,
    election_at: Duration,
    log: Entries,
    commit: u64,
    delivered: u64,
    durable: u64,
    /// The memberships with the index of their entry; the first is the one at the base of the log.
    memberships: Vec<(u64, Arc<Membership>)>,
    snapshot: Option<Snapshot>,
    incoming: Option<Incoming>,
    installing: bool,
    disk: WriteQueue,
    output: Output,
}

impl Node {
    /// Creates a node from its durable state. Its clock starts at `now`.
    pub fn new(config: NodeConfig, saved: DurableState, now: Duration) -> Self {
        let mut hard = saved.hard;
        let base = saved.snapshot.as_ref().map(Snapshot::position);
        let base = base.unwrap_or_default();
        let mut memberships = Vec::new();
        if let Some(snapshot) = &saved.snapshot {
            hard.cluster = snapshot.cluster;
            hard.term = hard.term.max(snapshot.term);
            memberships.push((snapshot.index, Arc::new(snapshot.membership.clone())));
        }
        // A replica without any entry or snapshot has acknowledged nothing and may join any group.
        let empty = saved.snapshot.is_none() && saved.entries.is_empty();
        if empty && config.safeguards.members_vote {
            hard.cluster = 0;
        }
        for entry in &saved.entries {
            memberships.extend(entry.membership().map(|m| (entry.index, Arc::new(m))));
        }
        let log = Entries::new(base, saved.entries);
        let last = log.last().index;
        let output = Output {
            restore: saved.snapshot.clone(),
            ..Output::default()
        };
        let mut node = Self {
            rng: ChaCha8Rng::seed_from_u64(config.seed ^ config.id.0),
            config,
            now,
            hard,
            role: Role::Follower,
            leader: None,
            // A restart loses the time at which the leader was last heard. A voter that answered a
            // heartbeat, restarted and voted at once would let a second leader commit while the
            // first still serves reads under its lease. A start therefore counts as hearing a
            // leader.
            leader_heard_at: config.safeguards.sticky_leader.then_some(now),
            election_at: now,
            log,
            commit: base.index,
            delivered: base.index,
            durable: last,
            memberships,
            snapshot: saved.snapshot,
            incoming: None,
            installing: false,
            disk: WriteQueue::after(last),
            output,
        };
        node.reset_election();
        node
    }

    /// Handles one input that arrives at `now`.
    pub fn step(&mut self, now: Duration, input: Input) {
        self.now = self.now.max(now);
        if self.output.violation.is_some() {
            return;
        }
        match input {
            Input::Written { seq } => self.on_written(seq),
            Input::WriteRefused { seq } => self.on_write_refused(seq),
            Input::SnapshotFailed { seq } => self.on_snapshot_failed(seq),
            Input::Tick => self.on_tick(),
            Input::Message(message) => self.on_message(message),
            Input::Propose { ticket, command } => self.on_propose(ticket, command),
            Input::Read { ticket } => self.on_read(ticket),
            Input::Change { ticket, change } => self.on_change(ticket, &change),
            Input::Transfer { ticket, to } => self.on_transfer(ticket, to),
            Input::Snapshot { index, data } => self.on_snapshot(index, data),
            Input::ClockJump => self.on_clock_jump(),
            Input::Create {
                ticket,
                cluster,
                membership,
                data,
            } => self.on_create(ticket, cluster, membership, data),
        }
    }

    /// Returns the actions that follow from the inputs since the last call.
    pub fn output(&mut self) -> Output {
        self.replicate();
        self.issue_write();
        self.release_messages();
        self.deliver_committed();
        std::mem::take(&mut self.output)
    }

    /// Returns the time at which the node needs a tick if no input arrives before.
    pub fn wake_at(&self) -> Duration {
        if let Some(until) = self.disk.full_until {
            return until;
        }
        match &self.role {
            Role::Leader(leader) => leader.heartbeat_at,
            _ => self.election_at,
        }
    }

    /// Returns the identity of the node.
    pub fn id(&self) -> NodeId {
        self.config.id
    }

    /// Returns the cluster that the node belongs to, 0 if none.
    pub fn cluster(&self) -> u64 {
        self.hard.cluster
    }

    /// Returns the latest membership appended; it is empty before the node belongs to a group.
    pub fn membership(&self) -> Arc<Membership> {
        let latest = self.memberships.last();
        latest.map(|(_, m)| Arc::clone(m)).unwrap_or_default()
    }

    /// Returns the entry at `index` if it is in memory.
    pub fn entry(&self, index: u64) -> Option<&Entry> {
        self.log.get(index)
    }

    /// Returns the memory used by the entries after `index`, in bytes.
    pub fn cost_after(&self, index: u64) -> usize {
        self.log.cost_after(index)
    }

    /// Returns a summary of the node's state.
    pub fn status(&self) -> NodeStatus {
        let role = match &self.role {
            Role::Follower => RoleName::Follower,
            Role::PreCandidate { .. } => RoleName::PreCandidate,
            Role::Candidate { .. } => RoleName::Candidate,
            Role::Leader(_) => RoleName::Leader,
        };
        NodeStatus {
            term: self.hard.term,
            leader: self.leader,
            role,
            last: self.log.last().index,
            durable: self.durable,
            commit: self.commit,
            snapshot: self.snapshot.as_ref().map_or(0, |s| s.index),
            membership_index: self.memberships.last().map_or(0, |(index, _)| *index),
            membership: self.membership(),
            lease: self.lease_until(),
            full: self.disk.full_until.is_some(),
        }
    }

    fn on_tick(&mut self) {
        if self.disk.full_until.is_some_and(|until| self.now >= until) {
            self.retry_disk();
        }
        if self.disk.full_until.is_some() {
            return;
        }
        if matches!(self.role, Role::Leader(_)) {
            self.tick_leader();
        } else if self.now >= self.election_at {
            self.start_election();
        }
    }

    fn on_message(&mut self, message: Message) {
        let misaddressed = message.to != self.config.id.0 || message.from == self.config.id.0;
        if misaddressed || self.disk.full_until.is_some() || !self.accept_cluster(&message) {
            return;
        }
        let from = message.sender();
        let Some(body) = message.body else { return };
        if message.term > self.hard.term && !self.raise_term(from, message.term, &body) {
            return;
        }
        if message.term < self.hard.term {
            self.reply_stale(from, &body);
            return;
        }
        match body {
            Body::Vote(vote) => self.on_vote(from, message.term, vote),
            Body::VoteReply(reply) => self.on_vote_reply(from, message.term, reply),
            Body::Append(append) => self.on_append(from, append),
            Body::AppendReply(reply) => self.on_append_reply(from, reply),
            Body::Piece(piece) => self.on_piece(from, &piece),
            Body::PieceReply(reply) => self.on_piece_reply(from, reply),
            Body::Campaign(_) => self.on_campaign(),
        }
    }

    /// Returns whether the message belongs to the node's cluster. A node without a cluster joins
    /// its leader's.
    fn accept_cluster(&mut self, message: &Message) -> bool {
        let from_leader = matches!(message.body, Some(Body::Append(_) | Body::Piece(_)));
        if self.hard.cluster == 0 && from_leader {
            self.hard.cluster = message.cluster;
            self.disk.hard_dirty = true;
        }
        message.cluster != 0 && message.cluster == self.hard.cluster
    }

    /// Adopts a higher term if the message calls for it; returns false if the message is to be
    /// dropped.
    fn raise_term(&mut self, from: NodeId, term: u64, body: &Body) -> bool {
        match body {
            Body::Vote(vote) if vote.pre => {}
            Body::VoteReply(reply) if reply.pre && reply.granted => {}
            Body::Vote(vote) if !vote.transfer && self.heard_leader() => return false,
            Body::Append(_) | Body::Piece(_) => self.become_follower(term, Some(from)),
            _ => self.become_follower(term, None),
        }
        true
    }

    fn send(&mut self, to: NodeId, requires: Durability, body: Body) {
        self.send_at(to, requires, self.hard.term, body);
    }

    fn send_at(&mut self, to: NodeId, requires: Durability, term: u64, body: Body) {
        let message = Message {
            cluster: self.hard.cluster,
            from: self.config.id.0,
            to: to.0,
            term,
            body: Some(body),
        };
        self.disk.outbox.push((requires, message));
    }

    fn answer(&mut self, ticket: Ticket, result: Result<Accepted, Refusal>) {
        self.output.answers.push(Answer { ticket, result });
    }

    fn not_leader(&self) -> Refusal {
        Refusal::NotLeader {
            leader: self.leader,
        }
    }

    fn reset_election(&mut self) {
        let timing = self.config.timing;
        let spread = timing.election_max.saturating_sub(timing.election_min);
        let extra = self.rng.random_range(0..=spread.as_micros().max(1));
        let extra = Duration::from_micros(u64::try_from(extra).unwrap_or(u64::MAX));
        self.election_at = self.now + timing.election_min + extra;
    }

    fn is_voter(&self) -> bool {
        let latest = self.memberships.last();
        latest.is_some_and(|(_, m)| m.is_voter(self.config.id))
    }
}
