//! The messages between replicas and the stored records, as `prost` messages.

use bytes::Bytes;
use prost::Message as _;

use crate::ids::NodeId;
use crate::ids::Position;
use crate::membership::Membership;

/// Tells what an entry of the log holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum EntryKind {
    /// A command of the state machine.
    Command = 0,
    /// The empty entry that a leader appends at the start of its term.
    NoOp = 1,
    /// A [`Membership`], which is in force from the moment it is appended.
    Membership = 2,
}

/// Stores one entry of the log.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Entry {
    /// The entry's index.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The term of the leader that appended the entry.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// The kind of the entry, an [`EntryKind`].
    #[prost(enumeration = "EntryKind", tag = "3")]
    pub kind: i32,
    /// The command or an encoded [`Membership`].
    #[prost(bytes = "bytes", tag = "4")]
    pub data: Bytes,
}

impl Entry {
    /// Returns the position of the entry in the log.
    pub fn position(&self) -> Position {
        Position {
            term: self.term,
            index: self.index,
        }
    }

    /// Returns the membership that the entry holds, if it is of that kind.
    pub fn membership(&self) -> Option<Membership> {
        if self.kind() != EntryKind::Membership {
            return None;
        }
        Membership::decode(self.data.clone()).ok()
    }

    /// Returns the bytes that the entry takes in memory and, approximately, on disk.
    pub fn cost(&self) -> usize {
        self.data.len() + ENTRY_COST
    }
}

/// The size that an entry takes beside its data, in bytes.
const ENTRY_COST: usize = 64;

/// Stores the state of the state machine after the entry at `index`.
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
    /// The cluster that the snapshot belongs to.
    #[prost(fixed64, tag = "4")]
    pub cluster: u64,
    /// The bytes that [`StateMachine::snapshot`](crate::StateMachine::snapshot) returned.
    #[prost(bytes = "bytes", tag = "5")]
    pub data: Bytes,
}

impl Snapshot {
    /// Returns the position of the last entry that the snapshot covers.
    pub fn position(&self) -> Position {
        Position {
            term: self.term,
            index: self.index,
        }
    }
}

/// Stores the part of the state that must be durable before a message that depends on it is sent.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct HardState {
    /// The latest term that the replica has seen.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// The candidate that the replica voted for in that term; 0 for none.
    #[prost(fixed64, tag = "2")]
    pub vote: u64,
    /// The cluster that the replica belongs to; 0 until it has joined one.
    #[prost(fixed64, tag = "3")]
    pub cluster: u64,
}

/// Carries one message from one replica to another.
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
    /// The sender's term; in a pre-vote request, the term in which it would campaign.
    #[prost(uint64, tag = "4")]
    pub term: u64,
    /// The content of the message.
    #[prost(oneof = "Body", tags = "5, 6, 7, 8, 9, 10, 11")]
    pub body: Option<Body>,
}

/// Reports bytes that do not decode as a [`Message`].
#[derive(Debug, thiserror::Error)]
#[error("a peer's log message is malformed ({source}); check that both run compatible versions")]
pub struct MessageError {
    source: prost::DecodeError,
}

impl Message {
    /// Returns the message as bytes for a frame.
    pub fn to_bytes(&self) -> Vec<u8> {
        self.encode_to_vec()
    }

    /// Reads a message from a frame's bytes.
    ///
    /// # Errors
    /// Returns [`MessageError`] if the bytes are not a message.
    pub fn from_bytes(bytes: impl Into<Bytes>) -> Result<Self, MessageError> {
        Self::decode(bytes.into()).map_err(|source| MessageError { source })
    }

    /// Returns the receiver of the message.
    pub fn recipient(&self) -> NodeId {
        NodeId(self.to)
    }

    /// Returns the sender of the message.
    pub fn sender(&self) -> NodeId {
        NodeId(self.from)
    }
}

/// Holds the content of a message.
#[derive(Clone, PartialEq, Eq, Hash, prost::Oneof)]
pub enum Body {
    /// A request for a vote or a pre-vote.
    #[prost(message, tag = "5")]
    Vote(Vote),
    /// The answer to a [`Vote`].
    #[prost(message, tag = "6")]
    VoteReply(VoteReply),
    /// Entries or a heartbeat of the leader.
    #[prost(message, tag = "7")]
    Append(Append),
    /// The answer to an [`Append`] or to a complete snapshot.
    #[prost(message, tag = "8")]
    AppendReply(AppendReply),
    /// A piece of a snapshot.
    #[prost(message, tag = "9")]
    Piece(Piece),
    /// The answer to a [`Piece`].
    #[prost(message, tag = "10")]
    PieceReply(PieceReply),
    /// Tells a voter to campaign at once, without waiting for its election timeout.
    #[prost(message, tag = "11")]
    Campaign(Campaign),
}

/// Requests a vote for a candidate.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Vote {
    /// The candidate's last index.
    #[prost(uint64, tag = "1")]
    pub last_index: u64,
    /// The term of that entry.
    #[prost(uint64, tag = "2")]
    pub last_term: u64,
    /// Whether this is a pre-vote request, which asks if a vote would be granted.
    #[prost(bool, tag = "3")]
    pub pre: bool,
    /// Whether the leader told the candidate to campaign.
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

/// Carries entries from the leader; without entries it is a heartbeat.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Append {
    /// The index before the first entry.
    #[prost(uint64, tag = "1")]
    pub prev_index: u64,
    /// The term of the entry at `prev_index`.
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

/// Answers an [`Append`].
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct AppendReply {
    /// Whether the follower has no entry at `prev_index`, or one of another term.
    #[prost(bool, tag = "1")]
    pub reject: bool,
    /// If accepted, the index up to which the follower durably holds the leader's log. If rejected,
    /// the latest index at which the two logs may agree.
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// The `prev_index` of the answered [`Append`].
    #[prost(uint64, tag = "3")]
    pub prev_index: u64,
    /// The heartbeat round that this answer confirms.
    #[prost(uint64, tag = "4")]
    pub round: u64,
}

/// Carries a piece of a snapshot to a follower that lags too far behind for entries.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Piece {
    /// The last index that the snapshot covers.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The term of that entry.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// The size of the whole encoded snapshot, in bytes.
    #[prost(uint64, tag = "3")]
    pub total: u64,
    /// The CRC32 of the whole encoded snapshot.
    #[prost(fixed32, tag = "4")]
    pub crc: u32,
    /// The offset of this piece in the encoded snapshot, in bytes.
    #[prost(uint64, tag = "5")]
    pub offset: u64,
    /// The bytes of this piece.
    #[prost(bytes = "bytes", tag = "6")]
    pub data: Bytes,
}

/// The answer to a [`Piece`].
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct PieceReply {
    /// The last index that the snapshot covers.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The number of bytes of the snapshot that the follower holds.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
}

/// Tells a voter to campaign at once, without waiting for its election timeout.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct Campaign {}
