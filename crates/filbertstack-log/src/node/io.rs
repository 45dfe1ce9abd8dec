//! What goes into a node and what comes out of it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::config::Limits;
use crate::config::Safeguards;
use crate::config::Timing;
use crate::ids::ClusterId;
use crate::ids::NodeId;
use crate::ids::Position;
use crate::membership::Change;
use crate::membership::ChangeError;
use crate::membership::Membership;
use crate::message::Entry;
use crate::message::HardState;
use crate::message::Message;
use crate::message::Snapshot;

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
    /// The log index of the latest change of the members; 0 before the first.
    pub membership_index: u64,
    /// The members, by the latest change appended.
    pub membership: Arc<Membership>,
    /// Until when this leader serves reads without asking, in the node's time.
    pub lease: Option<Duration>,
    /// Whether the disk refuses writes.
    pub full: bool,
}
