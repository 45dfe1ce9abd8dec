//! Queries between entries, as prost messages inside `Ask::Query`.

use filbertstack_wire::messages::Ask;
use filbertstack_wire::messages::Payload;
use prost::Message;

/// A message of the log's consensus, with the address of its sender.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Envelope {
    /// The sender's address for links.
    #[prost(string, tag = "1")]
    pub from: String,
    /// The message in the log's encoding.
    #[prost(bytes = "bytes", tag = "2")]
    pub message: bytes::Bytes,
}

/// A query to another entry.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Question {
    /// The kind of query; absent if this release does not know it.
    #[prost(oneof = "Asked", tags = "1, 2, 4")]
    pub asked: Option<Asked>,
}

/// The kind of a query, with its arguments.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum Asked {
    /// Asks a voter for its identity and its view of the group; answered by [`VoterInfo`].
    #[prost(message, tag = "1")]
    VoterInfo(NoArguments),
    /// Asks whether a revision is in force everywhere; answered by [`InForce`].
    #[prost(uint64, tag = "2")]
    InForce(u64),
    /// Requests a configuration lease; answered by [`LeaseReply`].
    #[prost(message, tag = "4")]
    Lease(LeaseRequest),
}

/// A request of an entry for a configuration lease.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LeaseRequest {
    /// The entry's instance name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The time of sending by the entry's own clock, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub sent: u64,
    /// The revision that the entry uses.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// The lowest revision that this entry and the holders of its leases use.
    #[prost(uint64, tag = "4")]
    pub lowest: u64,
}

/// A granted configuration lease.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct LeaseReply {
    /// The time of sending from the request.
    #[prost(uint64, tag = "1")]
    pub sent: u64,
    /// The lowest revision for which the lease is valid.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The length of the lease from `sent` on, in milliseconds; zero if none is granted.
    #[prost(uint64, tag = "3")]
    pub span: u64,
}

/// An empty message, for a query without arguments.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct NoArguments {}

/// A voter's identity and its view of the group.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct VoterInfo {
    /// Its instance name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its address for links.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Its node identity in the log.
    #[prost(uint64, tag = "3")]
    pub node: u64,
    /// The group of voters that it belongs to; zero if none.
    #[prost(uint64, tag = "4")]
    pub cluster: u64,
    /// The address of the leader that it knows; empty if none.
    #[prost(string, tag = "5")]
    pub leader: String,
    /// The term that it is in.
    #[prost(uint64, tag = "6")]
    pub term: u64,
}

/// The state of a revision on all entries.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct InForce {
    /// Whether every entry uses it or a later one, or holds no configuration lease.
    #[prost(bool, tag = "1")]
    pub everywhere: bool,
    /// The names of the first few entries that have not confirmed it yet.
    #[prost(string, repeated, tag = "2")]
    pub waiting: Vec<String>,
}

/// Returns the call that sends a query.
pub fn query(asked: Asked) -> Ask {
    let question = Question { asked: Some(asked) };
    Ask::Query(Payload {
        body: question.encode_to_vec().into(),
    })
}
