//! The consensus protocol as a pure state machine.
//!
//! A [`Node`] is given [`Input`]s with the time at which each arrives, and [`Node::output`] then
//! tells what to write, send, apply and answer. It never waits: a write's result comes back as an
//! input, and messages that depend on a write are held until then.

mod changes;
mod election;
mod follower;
mod leader;
mod persist;
mod reads;
mod snapshots;
mod transfer;

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::config::Limits;
use crate::config::Safeguards;
use crate::config::Timing;
use crate::entries::Entries;
use crate::ids::ClusterId;
use crate::ids::NodeId;
use crate::ids::Position;
use crate::membership::Change;
use crate::membership::ChangeError;
use crate::membership::Membership;
use crate::message::Body;
use crate::message::Entry;
use crate::message::HardState;
use crate::message::Message;
use crate::message::Snapshot;
use crate::node::leader::Leader;
use crate::node::persist::Gate;
use crate::node::persist::Pending;
use crate::node::snapshots::Incoming;

/// Names a proposal, read or change between the node and its driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What a node is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message came in.
    Message(Message),
    /// A command to append.
    Propose {
        /// Names the answer.
        ticket: Ticket,
        /// The command.
        command: Bytes,
    },
    /// A linearizable read is wanted.
    Read {
        /// Names the answer.
        ticket: Ticket,
    },
    /// A change of membership to append.
    Change {
        /// Names the answer.
        ticket: Ticket,
        /// The change.
        change: Change,
    },
    /// The leadership is to pass to another voter.
    Transfer {
        /// Names the answer.
        ticket: Ticket,
        /// To whom; `None` leaves the choice to the leader.
        to: Option<NodeId>,
    },
    /// The machine's state after the entry at `index`.
    Snapshot {
        /// The last index applied.
        index: u64,
        /// The state.
        data: Bytes,
    },
    /// All writes up to `seq` are durable.
    Written {
        /// The last write that is durable.
        seq: u64,
    },
    /// The write `seq` and all after it were refused for want of space and left no trace.
    Refused {
        /// The first write that was refused.
        seq: u64,
    },
    /// The snapshot of write `seq` could not be kept; the rest of that write is durable.
    SnapshotLost {
        /// The write.
        seq: u64,
    },
    /// The clock may have stood still while others' went on.
    ClockDoubt,
    /// A group is to be created, of which this node is the only voter so far.
    Create {
        /// Names the answer.
        ticket: Ticket,
        /// The new group.
        cluster: ClusterId,
        /// Its first membership.
        membership: Membership,
        /// The machine's first state.
        data: Bytes,
    },
}

/// What must be made durable, in the order of `seq`.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    /// The number of the write.
    pub seq: u64,
    /// The number of refusals that the node knew of: after a refusal, a write with an older
    /// number builds on what was refused and is refused as well.
    pub epoch: u64,
    /// Term, vote and cluster.
    pub hard: Option<HardState>,
    /// Entries; each drops what the log holds from its index on.
    pub entries: Vec<Entry>,
    /// A snapshot to keep, in place of earlier ones.
    pub snapshot: Option<Snapshot>,
    /// Whether the snapshot comes from the leader and replaces the log.
    pub install: bool,
}

/// Why a request is refused: it has changed nothing and will change nothing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// This replica does not lead.
    #[error("this replica does not lead; ask the leader")]
    NotLeader {
        /// Who leads, as far as known.
        leader: Option<NodeId>,
    },
    /// The leadership is being passed on.
    #[error("the leadership is being passed on; try again in a second")]
    Transferring,
    /// The group has not yet had all its first voters.
    #[error("the group is still forming; start the other voters that the settings list")]
    Forming,
    /// Too much waits to be committed.
    #[error("too much waits to be committed; try again in a second")]
    Busy,
    /// The command is too long.
    #[error("the command has {length} bytes; {most} is the most")]
    TooLong {
        /// The command's length.
        length: usize,
        /// The longest allowed.
        most: usize,
    },
    /// There is no other voter.
    #[error("there is no other voter to lead; add one first")]
    NoOther,
    /// The replica belongs to a group.
    #[error("this replica belongs to a group already; create a group only from an empty folder")]
    Grouped,
    /// The replica has stopped.
    #[error("this replica has stopped; `status` tells why")]
    Stopped,
    /// The disk is full.
    #[error("the disk of this replica is full; free space under its data folder")]
    DiskFull,
    /// The change of membership does not fit.
    #[error(transparent)]
    Change(#[from] ChangeError),
}

/// What became of a request at first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Accepted {
    /// Appended: done once the entry committed at this index is of this term.
    Appended(Position),
    /// A read sees everything once this index is applied.
    Readable(u64),
    /// The leadership is being passed on.
    Transferring,
    /// The group is being created; done when the machine was given its first state.
    Creating,
}

/// The answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The request.
    pub ticket: Ticket,
    /// What became of it.
    pub result: Result<Accepted, Refusal>,
}

/// What a node wants done.
#[derive(Clone, Debug, Default)]
pub struct Output {
    /// To be made durable.
    pub write: Option<Write>,
    /// To be sent.
    pub messages: Vec<Message>,
    /// A state that replaces the machine's, before `committed` is applied.
    pub restore: Option<Snapshot>,
    /// To be applied, in order.
    pub committed: Vec<Entry>,
    /// To be answered.
    pub answers: Vec<Answer>,
    /// The protocol's safety was broken by others; the replica must stop.
    pub broken: Option<String>,
}

/// What a replica remembers over a restart.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Memory {
    /// Term, vote and cluster.
    pub hard: HardState,
    /// The latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after it.
    pub entries: Vec<Entry>,
}

/// What a node is started with.
#[derive(Clone, Copy, Debug)]
pub struct NodeConfig {
    /// The identity.
    pub id: NodeId,
    /// Seeds the spread of election timeouts.
    pub seed: u64,
    /// How long things take.
    pub timing: Timing,
    /// How much is held.
    pub limits: Limits,
    /// For tests.
    pub safeguards: Safeguards,
}

/// What a node is at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoleName {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether it would be elected.
    PreCandidate,
    /// Campaigns.
    Candidate,
    /// Leads.
    Leader,
}

/// A node as others may see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeStatus {
    /// The latest term seen.
    pub term: u64,
    /// Whom the node follows, or itself if it leads.
    pub leader: Option<NodeId>,
    /// The node's role.
    pub role: RoleName,
    /// The last index appended.
    pub last: u64,
    /// The last index that is durable here.
    pub durable: u64,
    /// The last index known to be committed.
    pub commit: u64,
    /// The last index covered by a snapshot.
    pub snapshot: u64,
    /// The members, by the latest change appended.
    pub membership: Membership,
    /// Until when this leader serves reads without asking, in the node's time.
    pub lease: Option<Duration>,
    /// Whether the disk refuses writes.
    pub full: bool,
}

#[derive(Debug)]
enum Role {
    Follower,
    PreCandidate { votes: BTreeSet<NodeId> },
    Candidate { votes: BTreeSet<NodeId> },
    Leader(Box<Leader>),
}

/// One replica's protocol state.
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
    /// Memberships by the index of their entry, the first being the one at the log's base.
    members: Vec<(u64, Membership)>,
    snapshot: Option<Snapshot>,
    incoming: Option<Incoming>,
    installing: bool,
    pending: VecDeque<Pending>,
    held: VecDeque<(u64, Message)>,
    outbox: Vec<(Gate, Message)>,
    output: Output,
    unsaved: u64,
    hard_dirty: bool,
    snapshot_dirty: Option<(Snapshot, bool)>,
    hard_seq: u64,
    next_seq: u64,
    written: u64,
    epoch: u64,
    full_until: Option<Duration>,
}

impl Node {
    /// Starts a node from what it remembers. Its time starts at `now`.
    pub fn new(config: NodeConfig, memory: Memory, now: Duration) -> Self {
        let mut hard = memory.hard;
        let base = memory.snapshot.as_ref().map(Snapshot::position);
        let base = base.unwrap_or_default();
        let mut members = Vec::new();
        if let Some(snapshot) = &memory.snapshot {
            hard.cluster = snapshot.cluster;
            hard.term = hard.term.max(snapshot.term);
            members.push((snapshot.index, snapshot.membership.clone()));
        }
        // A replica that holds nothing of its group has promised it nothing, and may join any.
        let empty = memory.snapshot.is_none() && memory.entries.is_empty();
        if empty && config.safeguards.members_vote {
            hard.cluster = 0;
        }
        for entry in &memory.entries {
            members.extend(entry.membership().map(|m| (entry.index, m)));
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
            // What was promised to a leader is forgotten in a restart: a voter that answered a
            // heartbeat, restarted and voted at once would let a second leader commit while the
            // first still serves reads under its lease. So a start counts as hearing a leader.
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
            pending: VecDeque::new(),
            held: VecDeque::new(),
            outbox: Vec::new(),
            output,
            unsaved: last + 1,
            hard_dirty: false,
            snapshot_dirty: None,
            hard_seq: 0,
            next_seq: 1,
            written: 0,
            epoch: 0,
            full_until: None,
        };
        node.reset_election();
        node
    }

    /// Takes one input that arrives at `now`.
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

    /// Takes what the inputs since the last call led to.
    pub fn output(&mut self) -> Output {
        self.replicate();
        self.issue_write();
        self.release_messages();
        self.hand_committed();
        std::mem::take(&mut self.output)
    }

    /// When the node next has something to do unless an input comes before.
    pub fn wake_at(&self) -> Duration {
        if let Some(until) = self.full_until {
            return until;
        }
        match &self.role {
            Role::Leader(leader) => leader.heartbeat_at,
            _ => self.elect_at,
        }
    }

    /// The node's identity.
    pub fn id(&self) -> NodeId {
        self.config.id
    }

    /// The cluster that the node belongs to, 0 if none.
    pub fn cluster(&self) -> u64 {
        self.hard.cluster
    }

    /// The latest membership appended; empty before the node belongs to a group.
    pub fn membership(&self) -> Membership {
        let latest = self.members.last();
        latest.map(|(_, m)| m.clone()).unwrap_or_default()
    }

    /// The entry at `index`, if it is in memory.
    pub fn entry(&self, index: u64) -> Option<&Entry> {
        self.log.get(index)
    }

    /// The cost in memory of the entries after `index`, in bytes.
    pub fn cost_after(&self, index: u64) -> usize {
        self.log.cost_after(index)
    }

    /// The node as others may see it.
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
            membership: self.membership(),
            lease: self.lease_until(),
            full: self.full_until.is_some(),
        }
    }

    fn on_tick(&mut self) {
        if self.full_until.is_some_and(|until| self.now >= until) {
            self.try_disk();
        }
        if self.full_until.is_some() {
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
        if strange || self.full_until.is_some() || !self.same_cluster(&message) {
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

    /// Whether the message is of the node's cluster. A node without one takes its leader's.
    fn same_cluster(&mut self, message: &Message) -> bool {
        let leads = matches!(message.body, Some(Body::Append(_) | Body::Piece(_)));
        if self.hard.cluster == 0 && leads {
            self.hard.cluster = message.cluster;
            self.hard_dirty = true;
        }
        message.cluster != 0 && message.cluster == self.hard.cluster
    }

    /// Takes over a higher term where the message calls for it; false if it is to be dropped.
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
        self.outbox.push((gate, message));
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
