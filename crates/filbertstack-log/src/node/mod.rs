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
pub use crate::node::io::Input;
pub use crate::node::io::Memory;
pub use crate::node::io::NodeConfig;
pub use crate::node::io::NodeStatus;
pub use crate::node::io::Output;
pub use crate::node::io::Refusal;
pub use crate::node::io::RoleName;
pub use crate::node::io::Ticket;
pub use crate::node::io::Write;
use crate::node::leader::Leader;
use crate::node::persist::Gate;
use crate::node::persist::Work;
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
    heard: Option<Duration>,
    elect_at: Duration,
    log: Entries,
    commit: u64,
    handed: u64,
    durable: u64,
    /// The memberships with the index of their entry; the first is the one at the base of the log.
    members: Vec<(u64, Arc<Membership>)>,
    snapshot: Option<Snapshot>,
    incoming: Option<Incoming>,
    installing: bool,
    disk: Work,
    output: Output,
}

impl Node {
    /// Creates a node from its durable state. Its clock starts at `now`.
    pub fn new(config: NodeConfig, memory: Memory, now: Duration) -> Self {
        let mut hard = memory.hard;
        let base = memory.snapshot.as_ref().map(Snapshot::position);
        let base = base.unwrap_or_default();
        let mut members = Vec::new();
        if let Some(snapshot) = &memory.snapshot {
            hard.cluster = snapshot.cluster;
            hard.term = hard.term.max(snapshot.term);
            members.push((snapshot.index, Arc::new(snapshot.membership.clone())));
        }
        // A replica without any entry or snapshot has acknowledged nothing and may join any group.
        let empty = memory.snapshot.is_none() && memory.entries.is_empty();
        if empty && config.safeguards.members_vote {
            hard.cluster = 0;
        }
        for entry in &memory.entries {
            members.extend(entry.membership().map(|m| (entry.index, Arc::new(m))));
        }
        let log = Entries::new(base, memory.entries);
        let last = log.last().index;
        let output = Output {
            restore: memory.snapshot.clone(),
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
            heard: config.safeguards.sticky.then_some(now),
            elect_at: now,
            log,
            commit: base.index,
            handed: base.index,
            durable: last,
            members,
            snapshot: memory.snapshot,
            incoming: None,
            installing: false,
            disk: Work::after(last),
            output,
        };
        node.reset_election();
        node
    }

    /// Handles one input that arrives at `now`.
    pub fn step(&mut self, now: Duration, input: Input) {
        self.now = self.now.max(now);
        if self.output.broken.is_some() {
            return;
        }
        match input {
            Input::Written { seq } => self.on_written(seq),
            Input::Refused { seq } => self.on_refused(seq),
            Input::SnapshotLost { seq } => self.on_snapshot_lost(seq),
            Input::Tick => self.on_tick(),
            Input::Message(message) => self.on_message(message),
            Input::Propose { ticket, command } => self.on_propose(ticket, command),
            Input::Read { ticket } => self.on_read(ticket),
            Input::Change { ticket, change } => self.on_change(ticket, &change),
            Input::Transfer { ticket, to } => self.on_transfer(ticket, to),
            Input::Snapshot { index, data } => self.on_snapshot(index, data),
            Input::ClockDoubt => self.on_clock_doubt(),
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
        self.hand_committed();
        std::mem::take(&mut self.output)
    }

    /// Returns the time at which the node needs a tick if no input arrives before.
    pub fn wake_at(&self) -> Duration {
        if let Some(until) = self.disk.full_until {
            return until;
        }
        match &self.role {
            Role::Leader(leader) => leader.heartbeat_at,
            _ => self.elect_at,
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
        let latest = self.members.last();
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
            membership_index: self.members.last().map_or(0, |(index, _)| *index),
            membership: self.membership(),
            lease: self.lease_until(),
            full: self.disk.full_until.is_some(),
        }
    }

    fn on_tick(&mut self) {
        if self.disk.full_until.is_some_and(|until| self.now >= until) {
            self.try_disk();
        }
        if self.disk.full_until.is_some() {
            return;
        }
        if matches!(self.role, Role::Leader(_)) {
            self.lead_on();
        } else if self.now >= self.elect_at {
            self.start_election();
        }
    }

    fn on_message(&mut self, message: Message) {
        let strange = message.to != self.config.id.0 || message.from == self.config.id.0;
        if strange || self.disk.full_until.is_some() || !self.same_cluster(&message) {
            return;
        }
        let from = message.sender();
        let Some(body) = message.body else { return };
        if message.term > self.hard.term && !self.raise_term(from, message.term, &body) {
            return;
        }
        if message.term < self.hard.term {
            self.answer_stale(from, &body);
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
    fn same_cluster(&mut self, message: &Message) -> bool {
        let leads = matches!(message.body, Some(Body::Append(_) | Body::Piece(_)));
        if self.hard.cluster == 0 && leads {
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
            Body::Append(_) | Body::Piece(_) => self.follow(term, Some(from)),
            _ => self.follow(term, None),
        }
        true
    }

    fn send(&mut self, to: NodeId, gate: Gate, body: Body) {
        self.send_at(to, gate, self.hard.term, body);
    }

    fn send_at(&mut self, to: NodeId, gate: Gate, term: u64, body: Body) {
        let message = Message {
            cluster: self.hard.cluster,
            from: self.config.id.0,
            to: to.0,
            term,
            body: Some(body),
        };
        self.disk.outbox.push((gate, message));
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
        self.elect_at = self.now + timing.election_min + extra;
    }

    fn is_voter(&self) -> bool {
        let latest = self.members.last();
        latest.is_some_and(|(_, m)| m.is_voter(self.config.id))
    }
}
