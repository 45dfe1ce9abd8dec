//! The messages between the processes of the system, as `prost` types.

mod observations;
mod rows;

use std::net::SocketAddr;

use bytes::Bytes;
use filbertstack_control::document::Document;
use filbertstack_control::document::KeptList;
use filbertstack_control::document::Weights;
use filbertstack_control::document::ZoneState;

pub use crate::link::messages::observations::CrashRow;
pub use crate::link::messages::observations::Crashes;
pub use crate::link::messages::observations::Demand;
pub use crate::link::messages::observations::LimitRow;
pub use crate::link::messages::observations::Limits;
pub use crate::link::messages::observations::LoadRow;
pub use crate::link::messages::observations::Loads;
pub use crate::link::messages::observations::RankDemand;
pub use crate::link::messages::observations::ServiceDemand;
pub use crate::link::messages::observations::Watch;
pub use crate::link::messages::rows::AgentRow;
pub use crate::link::messages::rows::EntryRow;
pub use crate::link::messages::rows::Kind;
pub use crate::link::messages::rows::Row;
pub use crate::link::messages::rows::Rows;
pub use crate::link::messages::rows::TargetRow;

/// One frame of a link.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Frame {
    /// The id that an [`Ask`] shares with its [`Answer`]; 0 for a [`Tell`].
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The content.
    #[prost(oneof = "Body", tags = "2, 3, 4")]
    pub body: Option<Body>,
}

/// The content of a frame.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// A question, which gets one answer.
    #[prost(message, tag = "2")]
    Ask(Ask),
    /// The answer to a question.
    #[prost(message, tag = "3")]
    Answer(Answer),
    /// A notification, which gets no answer.
    #[prost(message, tag = "4")]
    Tell(Tell),
}

/// A question.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ask {
    /// The content of the question.
    #[prost(oneof = "Question", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub question: Option<Question>,
}

/// The content of a question.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Question {
    /// Asks for the node's name and addresses, its group and the leader.
    #[prost(message, tag = "1")]
    NodeStatus(Empty),
    /// Asks to join the group. The asker has a disk and is no member yet.
    #[prost(message, tag = "2")]
    Join(NodeStatus),
    /// Asks to commit a command of the document's state machine.
    #[prost(message, tag = "3")]
    Propose(Proposal),
    /// Asks for the newest document, confirmed after the question was asked.
    #[prost(message, tag = "4")]
    Read(Hop),
    /// Asks to add these rows to the registry and to send them to the other voters.
    #[prost(message, tag = "5")]
    Register(Rows),
    /// Asks for one piece of weights.
    #[prost(message, tag = "6")]
    Piece(PieceName),
    /// Asks for the list of a version's pieces.
    #[prost(message, tag = "7")]
    Manifest(Weights),
    /// Asks whether the node has a piece or will have it shortly.
    #[prost(message, tag = "8")]
    Has(PieceName),
    /// Asks whether the node has a piece now.
    #[prost(message, tag = "9")]
    HasNow(PieceName),
    /// Asks for the list of pieces of the latest version, up to this one, that the voters keep.
    #[prost(message, tag = "10")]
    List(Weights),
}

/// A message without fields.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Empty {}

/// The number of times that a question was relayed: at most once, so that it can't circulate.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Hop {
    /// Whether the question was relayed already.
    #[prost(bool, tag = "1")]
    pub relayed: bool,
}

/// A command on its way to the leader.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Proposal {
    /// An encoded [`Change`](filbertstack_control::document::Change).
    #[prost(bytes = "bytes", tag = "1")]
    pub command: Bytes,
    /// Whether it was relayed already.
    #[prost(bool, tag = "2")]
    pub relayed: bool,
}

/// The identity of a node and what it knows of its group.
#[derive(Clone, PartialEq, prost::Message)]
pub struct NodeStatus {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its address for links.
    #[prost(string, tag = "2")]
    pub addr: String,
    /// The identity of its log; 0 without a disk.
    #[prost(fixed64, tag = "3")]
    pub node_id: u64,
    /// The identity of its group of voters; 0 if none.
    #[prost(fixed64, tag = "4")]
    pub cluster: u64,
    /// The leader's address for links; empty if the node knows no leader.
    #[prost(string, tag = "5")]
    pub leader: String,
    /// The voters' addresses for links, as far as the node knows them.
    #[prost(string, repeated, tag = "6")]
    pub voters: Vec<String>,
    /// The identities of all members of the group, learners included.
    #[prost(fixed64, repeated, tag = "7")]
    pub members: Vec<u64>,
}

/// An answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Answer {
    /// The content of the answer.
    #[prost(oneof = "Reply", tags = "1, 2, 3, 4, 5, 6, 7, 8")]
    pub reply: Option<Reply>,
}

/// The content of an answer.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Reply {
    /// The identity of the node and its group.
    #[prost(message, tag = "1")]
    NodeStatus(NodeStatus),
    /// What was asked is done, or the answer is yes.
    #[prost(message, tag = "2")]
    Done(Empty),
    /// What was asked is not done, or the result is unknown. The text gives the reason.
    #[prost(string, tag = "3")]
    Failed(String),
    /// The newest document.
    #[prost(message, tag = "4")]
    Document(Document),
    /// The bytes of a piece.
    #[prost(bytes = "bytes", tag = "5")]
    Piece(Bytes),
    /// The list of a version's pieces.
    #[prost(message, tag = "6")]
    Manifest(Manifest),
    /// The node keeps nothing of that version and will not do so later.
    #[prost(message, tag = "7")]
    NotKept(Empty),
    /// A list of pieces that the voters keep.
    #[prost(message, tag = "8")]
    List(KeptList),
}

/// The list of a version's pieces.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Manifest {
    /// The size of a piece in bytes.
    #[prost(uint32, tag = "1")]
    pub bytes: u32,
    /// The SHA-256 digests of the pieces in their order, 32 bytes each.
    #[prost(bytes = "bytes", tag = "2")]
    pub digests: Bytes,
}

/// Identifies one piece of one version.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct PieceName {
    /// The version.
    #[prost(message, required, tag = "1")]
    pub weights: Weights,
    /// The piece's number.
    #[prost(uint32, tag = "2")]
    pub number: u32,
}

/// A notification.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Tell {
    /// The content of the notification.
    #[prost(oneof = "Notification", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11")]
    pub notification: Option<Notification>,
}

/// The content of a notification.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Notification {
    /// A message of the replicated log.
    #[prost(message, tag = "1")]
    Log(LogMessage),
    /// Subscribes to changes, which come as notifications on this link.
    #[prost(message, tag = "2")]
    Follow(Follow),
    /// The declared state, without the document.
    #[prost(message, tag = "3")]
    Declared(Declared),
    /// Rows of the registry.
    #[prost(message, tag = "4")]
    Rows(Rows),
    /// A voter's heartbeat.
    #[prost(message, tag = "5")]
    VoterHeartbeat(VoterHeartbeat),
    /// The loads of engines.
    #[prost(message, tag = "6")]
    Loads(Loads),
    /// Subscribes to the loads of engines, which come as notifications on this link.
    #[prost(message, tag = "7")]
    Watch(Watch),
    /// A part of the newest document.
    #[prost(message, tag = "8")]
    Part(DocumentPart),
    /// Targets that were lost under certain requests or parts of prompts.
    #[prost(message, tag = "9")]
    Crashes(Crashes),
    /// The limits that targets name. Earlier releases ignore it.
    #[prost(message, tag = "10")]
    Limits(Limits),
    /// The rates at which requests of each rank arrive. Earlier releases ignore it.
    #[prost(message, tag = "11")]
    Demand(Demand),
}

/// A message of the replicated log, with the address of its sender.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LogMessage {
    /// The sender's address for links.
    #[prost(string, tag = "1")]
    pub from: String,
    /// The encoded message.
    #[prost(bytes = "bytes", tag = "2")]
    pub body: Bytes,
}

/// A subscription to changes.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Follow {
    /// The version of the document that the follower holds.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The changes that the follower needs.
    #[prost(enumeration = "Interest", tag = "2")]
    pub interest: i32,
}

/// The changes that a follower needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum Interest {
    /// All: the document, and all rows as they change. Entries need these.
    All = 0,
    /// The rows that were registered at this node, each time. Voters need these.
    Registered = 1,
    /// The versions of the weights, and the processes that hold them or keep their pieces. Agents need
    /// these: sending the document to each of 2,000 agents would overload the links.
    Weights = 2,
}

/// A part of a compressed document.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DocumentPart {
    /// The document's version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The part's number, from 0.
    #[prost(uint32, tag = "2")]
    pub number: u32,
    /// The number of parts.
    #[prost(uint32, tag = "3")]
    pub count: u32,
    /// Its bytes.
    #[prost(bytes = "bytes", tag = "4")]
    pub body: Bytes,
}

/// The declared state, without the document, whose parts are sent before.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Declared {
    /// The latest versions of each model's weights.
    #[prost(message, repeated, tag = "2")]
    pub weights: Vec<NamedWeights>,
    /// The addresses of the origins of weights.
    #[prost(string, repeated, tag = "3")]
    pub origins: Vec<String>,
    /// The models that the engines of each service serve.
    #[prost(message, repeated, tag = "4")]
    pub models: Vec<ServedModel>,
    /// The zones that are or were evacuated. Earlier releases neither send nor read them.
    #[prost(message, optional, tag = "5")]
    pub zones: Option<ZoneState>,
    /// The zones whose evacuation was withdrawn lately.
    #[prost(message, repeated, tag = "6")]
    pub withdrawn: Vec<WithdrawnZone>,
}

/// A zone whose evacuation was withdrawn, and how long ago.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WithdrawnZone {
    /// The zone.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// Milliseconds since the sender learned that it was withdrawn.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
}

/// A model that the engines of a service serve.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ServedModel {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The model.
    #[prost(string, tag = "2")]
    pub model: String,
    // Tag 3 is that of a field that made agents break off requests. Without it, an agent of an earlier release
    // lets its engine finish them.
}

/// A version of weights, and how long ago it was declared.
#[derive(Clone, PartialEq, prost::Message)]
pub struct NamedWeights {
    /// The model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// The version.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Milliseconds since it was declared, as far as the sender knows.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
}

/// A voter's heartbeat, which also reports its state.
#[derive(Clone, PartialEq, prost::Message)]
pub struct VoterHeartbeat {
    /// Whether the voter is in contact with a leader and so receives every change.
    #[prost(bool, tag = "1")]
    pub current: bool,
    /// The voters' addresses for links.
    #[prost(string, repeated, tag = "2")]
    pub voters: Vec<String>,
    /// The version of the document that the voter holds.
    #[prost(uint64, tag = "3")]
    pub document: u64,
    /// Whether the voter's process ends.
    #[prost(bool, tag = "4")]
    pub leaving: bool,
}

/// Parses an address from a message; `None` if it is not a valid address.
pub fn decode_addr(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

/// Packs an address into one number; `None` for one that is not IPv4.
pub fn pack_addr(addr: SocketAddr) -> Option<u64> {
    let SocketAddr::V4(addr) = addr else {
        return None;
    };
    Some(u64::from(addr.ip().to_bits()) << 16 | u64::from(addr.port()))
}
