//! The messages between the processes of the system, as `prost` types.

use std::net::SocketAddr;

use bytes::Bytes;
use filbertstack_control::document::Document;
use filbertstack_control::document::KeptList;
use filbertstack_control::document::Weights;
use filbertstack_control::document::ZoneState;

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

/// Rows of the registry.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Rows {
    /// The rows.
    #[prost(message, repeated, tag = "1")]
    pub rows: Vec<Row>,
    /// Whether these are all the rows that the sender holds.
    #[prost(bool, tag = "2")]
    pub whole: bool,
}

/// A registration of one process or target in the registry.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Row {
    /// The id of the process or target.
    #[prost(string, tag = "1")]
    pub id: String,
    /// The time of its start, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "2")]
    pub born: u64,
    /// A number that grows with each row since that start.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Whether it has left.
    #[prost(bool, tag = "4")]
    pub gone: bool,
    /// Its kind and state.
    #[prost(oneof = "Kind", tags = "5, 6, 7")]
    pub kind: Option<Kind>,
}

impl Row {
    /// Creates a row that says that a process has left. It supersedes every row of that process.
    pub fn left(id: &str) -> Self {
        Self {
            id: id.into(),
            born: 0,
            sequence: u64::MAX,
            gone: true,
            kind: None,
        }
    }

    /// Creates a row that says that a process sent nothing after the row with this `sequence`.
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

/// The subject of a row.
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

/// A target, as it registered itself.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TargetRow {
    /// The service that it belongs to.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The address where it serves.
    #[prost(string, tag = "2")]
    pub addr: String,
    /// Its availability zone.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// The number of requests that it processes at once.
    #[prost(uint32, tag = "4")]
    pub slots: u32,
    /// Whether it takes no new requests.
    #[prost(bool, tag = "5")]
    pub draining: bool,
    /// The version of the weights that it serves; 0 if none.
    #[prost(uint64, tag = "6")]
    pub version: u64,
    /// The remaining milliseconds for which it stays slow after its start.
    #[prost(uint64, tag = "7")]
    pub cold_ms: u64,
}

/// An entry, as it registered itself.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EntryRow {
    /// The address where callers connect.
    #[prost(string, tag = "1")]
    pub front: String,
    /// Its availability zone.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Whether it takes no new callers, such as while it shuts down.
    #[prost(bool, tag = "3")]
    pub leaving: bool,
    /// Its address for links.
    #[prost(string, tag = "4")]
    pub link: String,
    /// The versions of which it has all the pieces that it is to fetch from the origin.
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
    /// Whether the engine takes no new requests, as another version is being loaded.
    #[prost(bool, tag = "6")]
    pub loading: bool,
    /// The version of which the engine has all pieces; 0 if none.
    #[prost(uint64, tag = "7")]
    pub holds: u64,
}

/// The loads of some engines.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Loads {
    /// One row for each engine.
    #[prost(message, repeated, tag = "1")]
    pub rows: Vec<LoadRow>,
}

/// The load of an engine. Hundreds of them are sent ten times a second, so the address of the engine is
/// packed.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct LoadRow {
    /// The engine's address, [packed](pack_addr).
    #[prost(fixed64, tag = "1")]
    pub engine: u64,
    /// The number of requests that the engine runs.
    #[prost(uint32, tag = "2")]
    pub running: u32,
    /// The number of requests that wait in the engine.
    #[prost(uint32, tag = "3")]
    pub waiting: u32,
    /// The time that the engine takes, in percent of its usual time.
    #[prost(uint32, tag = "4")]
    pub pace: u32,
}

/// A subscription to the loads of engines. It replaces the earlier one of the same follower.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Watch {
    /// The engines' addresses, [packed](pack_addr).
    #[prost(fixed64, repeated, tag = "1")]
    pub engines: Vec<u64>,
}

/// Targets that were lost while they ran certain requests, or requests with certain parts of a prompt.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Crashes {
    /// One row for each request or part, and target.
    #[prost(message, repeated, tag = "1")]
    pub rows: Vec<CrashRow>,
}

/// The loss of one target under one request, or under one part of a prompt.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CrashRow {
    /// The digest of the request; empty in the row of a part.
    #[prost(bytes = "bytes", tag = "1")]
    pub request: Bytes,
    /// The id of the target.
    #[prost(string, tag = "2")]
    pub target: String,
    /// Whether the request was sent there as a probe.
    #[prost(bool, tag = "3")]
    pub probe: bool,
    /// Whether the loss has turned out not to be a crash.
    #[prost(bool, tag = "4")]
    pub refuted: bool,
    /// The digest of the part; empty in the row of a request. Earlier releases ignore rows of parts.
    #[prost(bytes = "bytes", tag = "5")]
    pub part: Bytes,
    /// Milliseconds since the loss, as far as the sender knows. Earlier releases send 0.
    #[prost(uint64, tag = "6")]
    pub age_ms: u64,
}

/// The limits that targets name in their answers.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Limits {
    /// One row for each target.
    #[prost(message, repeated, tag = "1")]
    pub rows: Vec<LimitRow>,
}

/// The limit of one target.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LimitRow {
    /// The id of the target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// The requests a second that it takes from all entries together; absent once it names no limit.
    #[prost(double, optional, tag = "2")]
    pub per_s: Option<f64>,
    /// The number of changes of this limit so far.
    #[prost(uint64, tag = "3")]
    pub version: u64,
}

/// The rates at which requests of each rank arrive: at one entry, at the entries that report to one voter, or at
/// all entries.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Demand {
    /// The name of the node that sends it; empty if it is the demand at all entries.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The number of entries.
    #[prost(uint32, tag = "2")]
    pub entries: u32,
    /// The services whose requests differ in rank.
    #[prost(message, repeated, tag = "3")]
    pub services: Vec<ServiceDemand>,
}

/// The rates at which requests for one service arrive.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ServiceDemand {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// One row for each rank that has requests.
    #[prost(message, repeated, tag = "2")]
    pub ranks: Vec<RankDemand>,
}

/// The rates at which requests of one rank arrive, in requests per 1,000 s.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct RankDemand {
    /// The rank.
    #[prost(uint32, tag = "1")]
    pub rank: u32,
    /// The requests of callers that were refused before.
    #[prost(uint32, tag = "2")]
    pub returning: u32,
    /// The other requests of organisations within their even part.
    #[prost(uint32, tag = "3")]
    pub new: u32,
    /// The requests of organisations beyond it.
    #[prost(uint32, tag = "4")]
    pub excess: u32,
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
