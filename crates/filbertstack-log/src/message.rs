//! What replicas send each other and what their disks hold, as `prost` messages.

use bytes::Bytes;
use prost::Message as _;

use crate::ids::NodeId;
use crate::ids::Position;
use crate::membership::Membership;

/// What an entry of the log is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum EntryKind {
    /// A command of the machine.
    Command = 0,
    /// The entry with which a leader opens its term.
    Opening = 1,
    /// A [`Membership`], in force from the moment it is appended.
    Membership = 2,
}

/// One entry of the log.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Entry {
    /// The entry's index.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The term of the leader that appended it.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// What it is for.
    #[prost(enumeration = "EntryKind", tag = "3")]
    pub kind: i32,
    /// The command, or an encoded [`Membership`].
    #[prost(bytes = "bytes", tag = "4")]
    pub data: Bytes,
}

impl Entry {
    /// The entry's place in the log.
    pub fn position(&self) -> Position {
        Position {
            term: self.term,
            index: self.index,
        }
    }

    /// The membership that the entry holds, if it is of that kind.
    pub fn membership(&self) -> Option<Membership> {
        if self.kind() != EntryKind::Membership {
            return None;
        }
        Membership::decode(self.data.clone()).ok()
    }

    /// The bytes that the entry takes in memory and, nearly, on disk.
    pub fn cost(&self) -> usize {
        self.data.len() + ENTRY_COST
    }
}

/// The cost of an entry beside its data, in bytes.
const ENTRY_COST: usize = 64;

/// The state of the machine after the entry at `index`.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Snapshot {
    /// The last index that the snapshot covers.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The term of that entry.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// The membership in force at that entry.
    #[prost(message, required, tag = "3")]
    pub membership: Membership,
    /// The cluster that the snapshot is of.
    #[prost(fixed64, tag = "4")]
    pub cluster: u64,
    /// What `Machine::snapshot` returned.
    #[prost(bytes = "bytes", tag = "5")]
    pub data: Bytes,
}

impl Snapshot {
    /// The place in the log up to which the snapshot stands.
    pub fn position(&self) -> Position {
        Position {
            term: self.term,
            index: self.index,
        }
    }
}

/// What must be durable before any message that depends on it.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct HardState {
    /// The latest term that the replica has seen.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// The candidate that it voted for in that term; 0 is none.
    #[prost(fixed64, tag = "2")]
    pub vote: u64,
    /// The cluster that it belongs to; 0 until it has joined one.
    #[prost(fixed64, tag = "3")]
    pub cluster: u64,
}

/// A message from one replica to another.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Message {
    /// The sender's cluster.
    #[prost(fixed64, tag = "1")]
    pub cluster: u64,
    /// The sender's [`NodeId`].
    #[prost(fixed64, tag = "2")]
    pub from: u64,
    /// The receiver's [`NodeId`].
    #[prost(fixed64, tag = "3")]
    pub to: u64,
    /// The sender's term; for a pre-vote, the term that it would campaign in.
    #[prost(uint64, tag = "4")]
    pub term: u64,
    /// What is said.
    #[prost(oneof = "Body", tags = "5, 6, 7, 8, 9, 10, 11")]
    pub body: Option<Body>,
}

/// A message whose bytes are not those of a [`Message`].
#[derive(Debug, thiserror::Error)]
#[error("a peer's log message is malformed ({source}); check that both run compatible versions")]
pub struct MessageError {
    source: prost::DecodeError,
}

impl Message {
    /// The message as bytes for a frame.
    pub fn to_bytes(&self) -> Vec<u8> {
        self.encode_to_vec()
    }

    /// Reads a message from a frame's bytes.
    ///
    /// # Errors
    /// [`MessageError`] if the bytes are not a message.
    pub fn from_bytes(bytes: impl Into<Bytes>) -> Result<Self, MessageError> {
        Self::decode(bytes.into()).map_err(|source| MessageError { source })
    }

    /// Whom the message is for.
    pub fn recipient(&self) -> NodeId {
        NodeId(self.to)
    }

    /// Who sent the message.
    pub fn sender(&self) -> NodeId {
        NodeId(self.from)
    }
}

/// What a message says.
#[derive(Clone, PartialEq, Eq, Hash, prost::Oneof)]
pub enum Body {
    /// A candidate asks for a vote or a pre-vote.
    #[prost(message, tag = "5")]
    Vote(Vote),
    /// The answer to a [`Vote`].
    #[prost(message, tag = "6")]
    VoteReply(VoteReply),
    /// The leader's entries and heartbeats.
    #[prost(message, tag = "7")]
    Append(Append),
    /// The answer to an [`Append`] or to a whole snapshot.
    #[prost(message, tag = "8")]
    AppendReply(AppendReply),
    /// A piece of a snapshot.
    #[prost(message, tag = "9")]
    Piece(Piece),
    /// The answer to a [`Piece`].
    #[prost(message, tag = "10")]
    PieceReply(PieceReply),
    /// The leader bids a voter to campaign at once.
    #[prost(message, tag = "11")]
    Campaign(Campaign),
}

/// A candidate asks for a vote.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Vote {
    /// The candidate's last index.
    #[prost(uint64, tag = "1")]
    pub last_index: u64,
    /// The term of that entry.
    #[prost(uint64, tag = "2")]
    pub last_term: u64,
    /// Whether this only asks if a vote would be granted.
    #[prost(bool, tag = "3")]
    pub pre: bool,
    /// Whether the leader itself bade the candidate to campaign.
    #[prost(bool, tag = "4")]
    pub transfer: bool,
}

/// The answer to a [`Vote`].
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct VoteReply {
    /// Whether the vote is granted.
    #[prost(bool, tag = "1")]
    pub granted: bool,
    /// Whether it answers a pre-vote.
    #[prost(bool, tag = "2")]
    pub pre: bool,
}

/// Entries from the leader; without entries, a heartbeat.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Append {
    /// The index before the first entry.
    #[prost(uint64, tag = "1")]
    pub prev_index: u64,
    /// The term of the entry there.
    #[prost(uint64, tag = "2")]
    pub prev_term: u64,
    /// The entries that follow it.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<Entry>,
    /// The leader's commit index.
    #[prost(uint64, tag = "4")]
    pub commit: u64,
    /// The heartbeat round that an answer confirms; 0 for none.
    #[prost(uint64, tag = "5")]
    pub round: u64,
}

/// The answer to an [`Append`].
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct AppendReply {
    /// Whether the entry before the first was missing or another.
    #[prost(bool, tag = "1")]
    pub reject: bool,
    /// Accepted: the index up to which the follower durably holds the leader's log.
    /// Rejected: the latest index at which the logs may agree.
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// The `prev_index` that is answered.
    #[prost(uint64, tag = "3")]
    pub prev_index: u64,
    /// The heartbeat round that is confirmed.
    #[prost(uint64, tag = "4")]
    pub round: u64,
}

/// A piece of a snapshot for a follower that is too far behind for entries.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Piece {
    /// The last index that the snapshot covers.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The term of that entry.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// The length of the whole encoded snapshot, in bytes.
    #[prost(uint64, tag = "3")]
    pub total: u64,
    /// The CRC32 of the whole encoded snapshot.
    #[prost(fixed32, tag = "4")]
    pub crc: u32,
    /// Where this piece starts.
    #[prost(uint64, tag = "5")]
    pub offset: u64,
    /// The bytes of this piece.
    #[prost(bytes = "bytes", tag = "6")]
    pub data: Bytes,
}

/// The answer to a [`Piece`].
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct PieceReply {
    /// The snapshot's last index.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// How many bytes the follower holds.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
}

/// The leader bids a voter to campaign at once.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Campaign {}
