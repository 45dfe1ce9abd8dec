//! What the system's processes say to each other, as `prost` messages.

use std::net::SocketAddr;

use bytes::Bytes;
use filbertstack_control::document::Document;
use filbertstack_control::document::KeptList;
use filbertstack_control::document::Weights;

/// One frame of a link.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Frame {
    /// Pairs an [`Ask`] with its [`Answer`]; 0 for a [`Tell`].
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// What is said.
    #[prost(oneof = "Body", tags = "2, 3, 4")]
    pub body: Option<Body>,
}

/// What a frame says.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// A question; it gets one answer.
    #[prost(message, tag = "2")]
    Ask(Ask),
    /// The answer to a question.
    #[prost(message, tag = "3")]
    Answer(Answer),
    /// A message without an answer.
    #[prost(message, tag = "4")]
    Tell(Tell),
}

/// A question.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Ask {
    /// What is asked.
    #[prost(oneof = "Question", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub question: Option<Question>,
}

/// What may be asked.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Question {
    /// Who are you, and who leads?
    #[prost(message, tag = "1")]
    Standing(Nothing),
    /// I have a disk and am no member of the group: take me in.
    #[prost(message, tag = "2")]
    Join(Standing),
    /// Commit this command of the document machine.
    #[prost(message, tag = "3")]
    Propose(Proposal),
    /// Which document is the newest, confirmed for this question?
    #[prost(message, tag = "4")]
    Read(Hop),
    /// Take these rows into the registry, and tell the other voters.
    #[prost(message, tag = "5")]
    Register(Rows),
    /// One piece of weights.
    #[prost(message, tag = "6")]
    Piece(PieceName),
    /// The list of a version's pieces.
    #[prost(message, tag = "7")]
    Manifest(Weights),
    /// Whether a piece is there, or comes shortly.
    #[prost(message, tag = "8")]
    Has(PieceName),
    /// Whether a piece is there now.
    #[prost(message, tag = "9")]
    HasNow(PieceName),
    /// Which list of pieces do you keep of the latest version up to this one?
    #[prost(message, tag = "10")]
    List(Weights),
}

/// Nothing more to say.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Nothing {}

/// How often a question was passed on: once at most, so that it can't go round.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Hop {
    /// Whether the question was passed on already.
    #[prost(bool, tag = "1")]
    pub passed: bool,
}

/// A command on its way to the leader.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Proposal {
    /// An encoded [`Change`](filbertstack_control::document::Change).
    #[prost(bytes = "bytes", tag = "1")]
    pub command: Bytes,
    /// Whether it was passed on already.
    #[prost(bool, tag = "2")]
    pub passed: bool,
}

/// Who a node is.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Standing {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its address for links.
    #[prost(string, tag = "2")]
    pub addr: String,
    /// The identity of its log, 0 without a disk.
    #[prost(fixed64, tag = "3")]
    pub node: u64,
    /// The group that it belongs to, 0 if none.
    #[prost(fixed64, tag = "4")]
    pub cluster: u64,
    /// The leader's address for links; empty if it knows none.
    #[prost(string, tag = "5")]
    pub leader: String,
    /// The voters' addresses for links, as far as it knows them.
    #[prost(string, repeated, tag = "6")]
    pub voters: Vec<String>,
    /// The identities of all members of the group, learners included.
    #[prost(fixed64, repeated, tag = "7")]
    pub members: Vec<u64>,
}

/// An answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Answer {
    /// What is answered.
    #[prost(oneof = "Reply", tags = "1, 2, 3, 4, 5, 6, 7, 8")]
    pub reply: Option<Reply>,
}

/// What may be answered.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Reply {
    /// Who I am.
    #[prost(message, tag = "1")]
    Standing(Standing),
    /// It is done.
    #[prost(message, tag = "2")]
    Done(Nothing),
    /// It is not done, or that isn't known; the text says why.
    #[prost(string, tag = "3")]
    Failed(String),
    /// The newest document.
    #[prost(message, tag = "4")]
    Document(Document),
    /// The bytes of a piece.
    #[prost(bytes = "bytes", tag = "5")]
    Piece(Bytes),
    /// The digests of a version's pieces, one after the other.
    #[prost(message, tag = "6")]
    Manifest(Manifest),
    /// Nothing of that version is kept here, nor will be.
    #[prost(message, tag = "7")]
    NotKept(Nothing),
    /// A list of pieces that the voters keep.
    #[prost(message, tag = "8")]
    List(KeptList),
}

/// The pieces of a version.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Manifest {
    /// Bytes of a piece.
    #[prost(uint32, tag = "1")]
    pub bytes: u32,
    /// The SHA-256 of each piece, 32 bytes each.
    #[prost(bytes = "bytes", tag = "2")]
    pub digests: Bytes,
}

/// One piece of one version.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct PieceName {
    /// The version.
    #[prost(message, required, tag = "1")]
    pub weights: Weights,
    /// The piece's number.
    #[prost(uint32, tag = "2")]
    pub number: u32,
}

/// A message without an answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Tell {
    /// What is told.
    #[prost(oneof = "News", tags = "1, 2, 3, 4, 5, 6, 7, 8")]
    pub news: Option<News>,
}

/// What may be told.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum News {
    /// A message of the replicated log.
    #[prost(message, tag = "1")]
    Log(LogMessage),
    /// Tell me on this link whatever is new.
    #[prost(message, tag = "2")]
    Follow(Follow),
    /// What is declared.
    #[prost(message, tag = "3")]
    Declared(Declared),
    /// Rows of the registry.
    #[prost(message, tag = "4")]
    Rows(Rows),
    /// A sign of life.
    #[prost(message, tag = "5")]
    Pulse(Pulse),
    /// The loads of engines.
    #[prost(message, tag = "6")]
    Loads(Loads),
    /// Tell me on this link the loads of these engines.
    #[prost(message, tag = "7")]
    Watch(Watch),
    /// A part of the newest document.
    #[prost(message, tag = "8")]
    Part(DocumentPart),
}

/// A message of the replicated log and where its sender is reached.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LogMessage {
    /// The sender's address for links.
    #[prost(string, tag = "1")]
    pub from: String,
    /// The encoded message.
    #[prost(bytes = "bytes", tag = "2")]
    pub body: Bytes,
}

/// Who wants to be told.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Follow {
    /// The document's version that the follower holds.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// What the follower is, and so what it needs.
    #[prost(enumeration = "Interest", tag = "2")]
    pub interest: i32,
}

/// What a follower needs to be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum Interest {
    /// An entry: the document, and all rows as they change.
    All = 0,
    /// A voter: rows that were registered here, each time.
    Registered = 1,
    /// An agent: versions of weights, and who holds them or keeps their pieces. A document for each of 2,000 agents
    /// would be too much for their links.
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
    /// How many parts there are.
    #[prost(uint32, tag = "3")]
    pub count: u32,
    /// Its bytes.
    #[prost(bytes = "bytes", tag = "4")]
    pub body: Bytes,
}

/// What is declared, beside the document, whose parts come before.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Declared {
    /// The latest versions of each model's weights.
    #[prost(message, repeated, tag = "2")]
    pub weights: Vec<NamedWeights>,
    /// Where weights come from.
    #[prost(string, repeated, tag = "3")]
    pub origins: Vec<String>,
    /// Which models the engines of each service serve.
    #[prost(message, repeated, tag = "4")]
    pub models: Vec<ServedModel>,
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
    /// Whether all its requests may go on at another engine when they break off.
    #[prost(bool, tag = "3")]
    pub may_break: bool,
}

/// A version of weights, and how long ago it was named.
#[derive(Clone, PartialEq, prost::Message)]
pub struct NamedWeights {
    /// The model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// The version.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Milliseconds since it was named, as far as the sender knows.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
}

/// Rows of the registry.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Rows {
    /// The rows.
    #[prost(message, repeated, tag = "1")]
    pub rows: Vec<Row>,
    /// Whether these are all rows that the sender holds.
    #[prost(bool, tag = "2")]
    pub whole: bool,
}

/// What one process or engine says of itself.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Row {
    /// Who.
    #[prost(string, tag = "1")]
    pub id: String,
    /// The Unix millisecond of its start.
    #[prost(uint64, tag = "2")]
    pub born: u64,
    /// Grows with each row since that start.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Whether it has left.
    #[prost(bool, tag = "4")]
    pub gone: bool,
    /// What it is.
    #[prost(oneof = "Kind", tags = "5, 6, 7")]
    pub kind: Option<Kind>,
}

impl Row {
    /// Tells that a process has left, whatever it said last.
    pub fn left(id: &str) -> Self {
        Self {
            id: id.into(),
            born: 0,
            sequence: u64::MAX,
            gone: true,
            kind: None,
        }
    }

    /// Tells that nothing was heard of a process since that statement.
    pub fn silent(id: &str, born: u64, sequence: u64) -> Self {
        Self {
            id: id.into(),
            born,
            sequence,
            gone: true,
            kind: None,
        }
    }
}

/// What a row is about.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Kind {
    /// A target.
    #[prost(message, tag = "5")]
    Target(TargetRow),
    /// An entry.
    #[prost(message, tag = "6")]
    Entry(EntryRow),
    /// An agent beside a target.
    #[prost(message, tag = "7")]
    Agent(AgentRow),
}

/// A target, as it announced itself.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TargetRow {
    /// The service that it belongs to.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Where it serves.
    #[prost(string, tag = "2")]
    pub addr: String,
    /// Its availability zone.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Requests that it processes at once.
    #[prost(uint32, tag = "4")]
    pub slots: u32,
    /// Whether it wants no new work.
    #[prost(bool, tag = "5")]
    pub draining: bool,
    /// The version of the weights that it serves; 0 if none.
    #[prost(uint64, tag = "6")]
    pub version: u64,
    /// For how many more milliseconds it stays slow after its start.
    #[prost(uint64, tag = "7")]
    pub cold_ms: u64,
}

/// An entry, as others need to know it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EntryRow {
    /// Where callers connect.
    #[prost(string, tag = "1")]
    pub front: String,
    /// Its availability zone.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Whether it takes no new callers.
    #[prost(bool, tag = "3")]
    pub leaving: bool,
    /// Its address for links.
    #[prost(string, tag = "4")]
    pub link: String,
    /// The versions of which it has all pieces that it asks the origin for.
    #[prost(message, repeated, tag = "5")]
    pub holds: Vec<Weights>,
}

/// An agent and the weights that it holds.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AgentRow {
    /// The engine's address.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// The agent's address for links.
    #[prost(string, tag = "2")]
    pub link: String,
    /// Its availability zone.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// The model that the engine serves; empty if none yet.
    #[prost(string, tag = "4")]
    pub model: String,
    /// The version of the weights that the engine serves; 0 if none.
    #[prost(uint64, tag = "5")]
    pub version: u64,
    /// Whether the engine takes no new work, as it is being brought to another version.
    #[prost(bool, tag = "6")]
    pub loading: bool,
    /// The version of which all pieces lie at the engine; 0 if none.
    #[prost(uint64, tag = "7")]
    pub holds: u64,
}

/// The loads of some engines.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Loads {
    /// One row an engine.
    #[prost(message, repeated, tag = "1")]
    pub rows: Vec<LoadRow>,
}

/// The load of an engine. Hundreds are told ten times a second, so that it names its engine shortly.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct LoadRow {
    /// The engine's address, [packed](pack).
    #[prost(fixed64, tag = "1")]
    pub engine: u64,
    /// Requests that the engine runs.
    #[prost(uint32, tag = "2")]
    pub running: u32,
    /// Requests that wait in the engine.
    #[prost(uint32, tag = "3")]
    pub waiting: u32,
    /// How many percent of its usual time the engine takes.
    #[prost(uint32, tag = "4")]
    pub pace: u32,
}

/// Whose loads a follower wants to be told, in place of those that it named before.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Watch {
    /// The engines' addresses, [packed](pack).
    #[prost(fixed64, repeated, tag = "1")]
    pub engines: Vec<u64>,
}

/// A voter's sign of life.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Pulse {
    /// Whether the voter is in contact with a leader, so that nothing newer passes it by.
    #[prost(bool, tag = "1")]
    pub current: bool,
    /// The voters' addresses for links.
    #[prost(string, repeated, tag = "2")]
    pub voters: Vec<String>,
    /// The version of the document that the voter holds.
    #[prost(uint64, tag = "3")]
    pub document: u64,
}

/// An address as it is written in messages; `None` if it does not read.
pub fn addr(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

/// An address as one number; `None` for one that is not IPv4.
pub fn pack(addr: SocketAddr) -> Option<u64> {
    let SocketAddr::V4(addr) = addr else {
        return None;
    };
    Some(u64::from(addr.ip().to_bits()) << 16 | u64::from(addr.port()))
}
