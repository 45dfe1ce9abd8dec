//! Questions between entries: prost messages inside `Ask::Query`.

use filbertstack_wire::messages::Ask;
use filbertstack_wire::messages::Payload;
use prost::Message;

/// A message of the log's consensus, with where its sender is reached.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Envelope {
    /// The sender's address for links.
    #[prost(string, tag = "1")]
    pub from: String,
    /// The message in the log's encoding.
    #[prost(bytes = "bytes", tag = "2")]
    pub message: bytes::Bytes,
}

/// A question.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Question {
    /// What is asked.
    #[prost(oneof = "Asked", tags = "1, 2, 4")]
    pub asked: Option<Asked>,
}

/// What is asked.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum Asked {
    /// Who the far end is among the voters; answered by [`VoterInfo`].
    #[prost(message, tag = "1")]
    VoterInfo(Nothing),
    /// Whether a revision is in force everywhere; answered by [`InForce`].
    #[prost(uint64, tag = "2")]
    InForce(u64),
    /// A config lease; answered by [`LeaseReply`].
    #[prost(message, tag = "4")]
    Lease(LeaseRequest),
}

/// An entry's question for a config lease.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LeaseRequest {
    /// The entry's instance name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// When it was sent, by the entry's own clock in milliseconds.
    #[prost(uint64, tag = "2")]
    pub sent: u64,
    /// The revision that the entry acts on.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// The lowest revision in force below the entry.
    #[prost(uint64, tag = "4")]
    pub lowest: u64,
}

/// A config lease.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct LeaseReply {
    /// When the question was sent.
    #[prost(uint64, tag = "1")]
    pub sent: u64,
    /// The revision that it holds for, and any later one.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// How long it lasts from `sent` on, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub span: u64,
}

/// No fields.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Nothing {}

/// Who a voter is.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct VoterInfo {
    /// Its instance name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its address for links.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Its identity in the log.
    #[prost(uint64, tag = "3")]
    pub node: u64,
    /// The group that it belongs to; zero if none.
    #[prost(uint64, tag = "4")]
    pub cluster: u64,
    /// The address of the leader it knows; empty if none.
    #[prost(string, tag = "5")]
    pub leader: String,
    /// Its term.
    #[prost(uint64, tag = "6")]
    pub term: u64,
}

/// How far a revision is in force.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct InForce {
    /// Whether every entry acts on it or on a later one, or has no config lease.
    #[prost(bool, tag = "1")]
    pub everywhere: bool,
    /// The names of those still to confirm, the first few.
    #[prost(string, repeated, tag = "2")]
    pub waiting: Vec<String>,
}

/// The call that asks `asked`.
pub fn ask(asked: Asked) -> Ask {
    let question = Question { asked: Some(asked) };
    Ask::Query(Payload {
        body: question.encode_to_vec().into(),
    })
}
