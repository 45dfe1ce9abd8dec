//! The inputs and outputs of a node.

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

/// Identifies a proposal, read or change between the node and its driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// An event that a node handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message has arrived.
    Message(Message),
    /// A command to append.
    Propose {
        /// The ticket of the answer.
        ticket: Ticket,
        /// The command.
        command: Bytes,
    },
    /// A linearizable read is requested.
    Read {
        /// The ticket of the answer.
        ticket: Ticket,
    },
    /// A change of membership to append.
    Change {
        /// The ticket of the answer.
        ticket: Ticket,
        /// The change.
        change: Change,
    },
    /// The leadership is to be transferred to another voter.
    Transfer {
        /// The ticket of the answer.
        ticket: Ticket,
        /// The voter that is to lead; `None` leaves the choice to the leader.
        to: Option<NodeId>,
    },
    /// The state of the state machine after the entry at `index`.
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
    /// The write `seq` and all later ones were refused because the disk is full; they left no
    /// trace.
    WriteRefused {
        /// The first write that was refused.
        seq: u64,
    },
    /// The snapshot of write `seq` could not be stored; the rest of that write is durable.
    SnapshotFailed {
        /// The number of the write.
        seq: u64,
    },
    /// The monotonic clock may have been paused while those of other replicas ran.
    ClockJump,
    /// A group is to be created, with this node as its only voter at first.
    Create {
        /// The ticket of the answer.
        ticket: Ticket,
        /// The identity of the new group.
        cluster: ClusterId,
        /// Its first membership.
        membership: Membership,
        /// The first state of the state machine.
        data: Bytes,
    },
}

/// State to be made durable, in the order of `seq`.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    /// The number of the write.
    pub seq: u64,
    /// The number of refused writes that the node knew of. After a refusal, a write with an older
    /// number depends on refused state and is skipped.
    pub epoch: u64,
    /// Term, vote and cluster.
    pub hard: Option<HardState>,
    /// The entries to append; each replaces the log from its index on.
    pub entries: Vec<Entry>,
    /// A snapshot to store in place of earlier ones.
    pub snapshot: Option<Snapshot>,
    /// Whether the snapshot comes from the leader and replaces the log.
    pub install: bool,
}

/// The reason why a request is refused: it has changed nothing and will change nothing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// This replica does not lead.
    #[error("this replica does not lead; ask the leader")]
    NotLeader {
        /// The current leader, if known.
        leader: Option<NodeId>,
    },
    /// A transfer of the leadership is in progress.
    #[error("the leadership is being passed on; try again in a second")]
    Transferring,
    /// The group has not yet reached its first number of voters.
    #[error("the group is still forming; start the other voters that the settings list")]
    Forming,
    /// Too many uncommitted entries, reads or requests are waiting.
    #[error("too much waits to be committed; try again in a second")]
    Busy,
    /// The command is too long.
    #[error("the command has {length} bytes; {most} is the most")]
    TooLong {
        /// The size of the command.
        length: usize,
        /// The largest size allowed.
        most: usize,
    },
    /// The group has no other voter.
    #[error("there is no other voter to lead; add one first")]
    NoOtherVoter,
    /// The replica belongs to a group already.
    #[error("this replica belongs to a group already; create a group only from an empty folder")]
    AlreadyGrouped,
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

/// The first result of an accepted request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Accepted {
    /// The entry was appended. The request is done once the entry committed at this index is of
    /// this term.
    Appended(Position),
    /// The read is linearizable once this index is applied.
    Readable(u64),
    /// A transfer of the leadership is in progress.
    Transferring,
    /// The group is being created. The request is done when the state machine has received its
    /// first state.
    Creating,
}

/// Answers a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The ticket of the request.
    pub ticket: Ticket,
    /// The result of the request.
    pub result: Result<Accepted, Refusal>,
}

/// The actions that a node requests from its driver.
#[derive(Clone, Debug, Default)]
pub struct Output {
    /// The write to make durable.
    pub write: Option<Write>,
    /// The messages to send.
    pub messages: Vec<Message>,
    /// A snapshot to restore before `committed` is applied.
    pub restore: Option<Snapshot>,
    /// The entries to apply, in order.
    pub committed: Vec<Entry>,
    /// The answers to requests.
    pub answers: Vec<Answer>,
    /// A violation of the protocol by another replica; the replica must stop.
    pub violation: Option<String>,
}

/// The state that a replica reads back after a restart.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DurableState {
    /// Term, vote and cluster.
    pub hard: HardState,
    /// The latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after it.
    pub entries: Vec<Entry>,
}

/// The configuration of a node.
#[derive(Clone, Copy, Debug)]
pub struct NodeConfig {
    /// The identity of the node.
    pub id: NodeId,
    /// The seed of the random election timeouts.
    pub seed: u64,
    /// The durations of the protocol.
    pub timing: Timing,
    /// The bounds on state and messages.
    pub limits: Limits,
    /// The protections in use; only tests switch any off.
    pub safeguards: Safeguards,
}

/// The role of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoleName {
    /// The node follows a leader or waits for one.
    Follower,
    /// The node asks for pre-votes.
    PreCandidate,
    /// The node asks for votes.
    Candidate,
    /// The node leads the group.
    Leader,
}

/// A summary of a node's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeStatus {
    /// The latest term seen.
    pub term: u64,
    /// The leader that the node follows, or the node itself if it leads.
    pub leader: Option<NodeId>,
    /// The node's role.
    pub role: RoleName,
    /// The last index appended.
    pub last: u64,
    /// The last index that is durable on this replica.
    pub durable: u64,
    /// The last index known to be committed.
    pub commit: u64,
    /// The last index covered by a snapshot.
    pub snapshot: u64,
    /// The log index of the latest membership entry; 0 before the first.
    pub membership_index: u64,
    /// The membership by the latest entry appended.
    pub membership: Arc<Membership>,
    /// The end of the time in which this leader serves reads without asking, on the node's clock.
    pub lease: Option<Duration>,
    /// Whether the disk is full and refuses writes.
    pub full: bool,
}
