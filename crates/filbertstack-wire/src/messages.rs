//! The messages on links.
//!
//! Payloads that other crates define (log messages, gossip, commands, outcomes, views) are sent as bytes in
//! that crate's encoding.

use prost::Message;
use prost::Oneof;
use rand::Rng;

use crate::keys::Role;

/// A message of the handshake.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Hello {
    /// The role in which the link is opened.
    #[prost(enumeration = "Role", tag = "1")]
    pub role: i32,
    /// The sender's instance name.
    #[prost(string, tag = "2")]
    pub name: String,
    /// A random number used once.
    #[prost(bytes = "vec", tag = "3")]
    pub nonce: Vec<u8>,
    /// The proof that the sender holds the key.
    #[prost(bytes = "vec", tag = "4")]
    pub proof: Vec<u8>,
}

impl Hello {
    pub(crate) fn new(role: Role, name: &str) -> Self {
        let mut nonce = vec![0; 32];
        rand::rng().fill_bytes(&mut nonce);
        Self {
            role: role.into(),
            name: name.into(),
            nonce,
            proof: Vec::new(),
        }
    }
}

/// One frame of a link.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// The number of the frame's call; zero for frames of the link itself and for one-way calls.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// The number of a reply within its call, from zero.
    #[prost(uint32, tag = "2")]
    pub seq: u32,
    /// Whether this is the call's last reply.
    #[prost(bool, tag = "3")]
    pub last: bool,
    /// What the frame carries.
    #[prost(oneof = "Item", tags = "4, 5, 6, 7, 8, 9")]
    pub item: Option<Item>,
}

/// What a frame carries.
#[derive(Clone, PartialEq, Oneof)]
pub enum Item {
    /// A heartbeat.
    #[prost(message, tag = "4")]
    Ping(Empty),
    /// A request.
    #[prost(message, tag = "5")]
    Call(Call),
    /// A reply.
    #[prost(message, tag = "6")]
    Reply(Reply),
    /// The refusal or failure of a call.
    #[prost(message, tag = "7")]
    Fault(Fault),
    /// The cancellation of a call by its caller.
    #[prost(message, tag = "8")]
    Cancel(Empty),
    /// The notice that the sender's process ends and sends no further frame.
    #[prost(message, tag = "9")]
    Ending(Ending),
}

/// The notice of an ending process about which calls it accepted.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Ending {
    /// The highest stream number of an accepted call; the process ran no call with a higher one.
    #[prost(uint64, tag = "1")]
    pub last: u64,
}

/// A message without fields.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Empty {}

/// The reason why a call was refused or failed.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Fault {
    /// The reason and its remedy.
    #[prost(string, tag = "1")]
    pub text: String,
    /// The time after which a retry makes sense, in milliseconds; zero if none does.
    #[prost(uint64, tag = "2")]
    pub after: u64,
    /// Whether the call certainly had no effect.
    #[prost(bool, tag = "3")]
    pub not_run: bool,
    /// The kind of refusal.
    #[prost(enumeration = "Cause", tag = "4")]
    pub cause: i32,
}

/// The kind of refusal of a [`Fault`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Cause {
    /// The far end does not serve the call.
    Absent = 0,
    /// The far end has no capacity now.
    Full = 1,
    /// The far end is leaving.
    Leaving = 2,
    /// The far end can't reach its target.
    Unreachable = 3,
}

/// A request.
#[derive(Clone, PartialEq, Message)]
pub struct Call {
    /// The request of the call.
    #[prost(oneof = "Ask", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13")]
    pub ask: Option<Ask>,
}

/// The request of a call.
#[derive(Clone, PartialEq, Oneof)]
pub enum Ask {
    /// An agent announces its target; answered by [`Reply`] with [`Tell::Orders`].
    #[prost(message, tag = "1")]
    Announce(Announce),
    /// A follower's request for the changes of the control state; answered by [`Tell::Payload`].
    #[prost(message, tag = "2")]
    Watch(Watch),
    /// A command for the log; answered by [`Tell::Payload`] with its outcome.
    #[prost(message, tag = "3")]
    Propose(Payload),
    /// A message of the log's consensus protocol; one-way.
    #[prost(message, tag = "4")]
    Log(Payload),
    /// A round of gossip; answered by [`Tell::Payload`].
    #[prost(message, tag = "5")]
    Gossip(Payload),
    /// A request for a target; answered by a stream of [`Tell::Head`] and [`Tell::Piece`].
    #[prost(message, tag = "6")]
    Dispatch(Dispatch),
    /// A request for a chunk of weights; answered by a stream of [`Tell::Piece`].
    #[prost(message, tag = "7")]
    Chunk(Digested),
    /// A request for the encoded manifest of a version; answered by a stream of [`Tell::Piece`].
    #[prost(message, tag = "8")]
    Manifest(Digested),
    /// A request for the set of chunks that the far end holds of a version; answered by [`Tell::Payload`]
    /// with one bit per chunk.
    #[prost(message, tag = "9")]
    Have(Digested),
    /// A request for the far end's current term; answered by [`Tell::Term`].
    #[prost(message, tag = "10")]
    Term(Empty),
    /// An agent's request for its part in the copies in progress; answered by [`Tell::Plan`].
    #[prost(message, tag = "11")]
    Spread(SpreadAsk),
    /// An operator's query that only the leader can answer; answered by [`Tell::Payload`].
    #[prost(message, tag = "12")]
    Query(Payload),
    /// A request to accept nothing new and finish the work in progress; answered by [`Tell::Payload`].
    #[prost(message, tag = "13")]
    Drain(Empty),
}

/// A reply.
#[derive(Clone, PartialEq, Message)]
pub struct Reply {
    /// The content of the reply.
    #[prost(oneof = "Tell", tags = "1, 2, 3, 4, 5, 6")]
    pub tell: Option<Tell>,
}

/// The content of a reply.
#[derive(Clone, PartialEq, Oneof)]
pub enum Tell {
    /// The outcome or data of a call, in the encoding of the crate that defines it.
    #[prost(message, tag = "1")]
    Payload(Payload),
    /// The head of a target's answer.
    #[prost(message, tag = "2")]
    Head(Head),
    /// A piece of a body or a chunk.
    #[prost(message, tag = "3")]
    Piece(Payload),
    /// The orders for an agent's target.
    #[prost(message, tag = "4")]
    Orders(Orders),
    /// The far end's term and voters.
    #[prost(message, tag = "5")]
    Term(TermReport),
    /// An agent's part in the copies in progress.
    #[prost(message, tag = "6")]
    Plan(SpreadPlan),
}

/// Bytes in the encoding of the crate that defines them.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Payload {
    /// The bytes.
    #[prost(bytes = "bytes", tag = "1")]
    pub body: bytes::Bytes,
}

/// An object named by its digest.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Digested {
    /// The digest's raw bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub digest: Vec<u8>,
}

/// A follower's request for changes of the control state.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Watch {
    /// The revision of the declarations that the follower has.
    #[prost(uint64, tag = "1")]
    pub since: u64,
    /// The sequence of the orders that the follower has.
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
    /// The follower's instance name; the request renews this follower's configuration lease.
    #[prost(string, tag = "2")]
    pub follower: String,
    /// The longest time that the far end may delay its answer while nothing changes, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub wait: u64,
}

/// The sender's term, and the voters that it knows.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TermReport {
    /// The highest term that the sender knows.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// The sender's instance name; empty if it does not vote.
    #[prost(string, tag = "2")]
    pub voter: String,
    /// The log index of the latest set of voters that the sender knows.
    #[prost(uint64, tag = "3")]
    pub config: u64,
    /// The instance names of these voters.
    #[prost(string, repeated, tag = "4")]
    pub voters: Vec<String>,
}

/// An agent's announcement of its target.
#[derive(Clone, PartialEq, Message)]
pub struct Announce {
    /// The target's instance name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The number of the agent's start; it increases with each start.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The number of the announcement; it increases with each change of the announced state.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// The address of the agent's links, as `IP:port`.
    #[prost(string, tag = "4")]
    pub addr: String,
    /// The target's labels, as `key=value` separated by commas.
    #[prost(string, tag = "5")]
    pub labels: String,
    /// The target's memory for weights, in bytes.
    #[prost(uint64, tag = "6")]
    pub memory: u64,
    /// The versions that the target holds and serves.
    #[prost(message, repeated, tag = "7")]
    pub copies: Vec<Copy>,
    /// Whether the target is leaving.
    #[prost(bool, tag = "8")]
    pub leaving: bool,
    /// Whether the target is a plain service.
    #[prost(bool, tag = "9")]
    pub service: bool,
    /// The highest fence that the agent has accepted.
    #[prost(message, optional, tag = "10")]
    pub fence: Option<Fence>,
    /// The largest number of requests that the target runs at once.
    #[prost(uint32, tag = "11")]
    pub slots: u32,
    /// The digest of the orders last received from the entry that this is sent to; empty if there are none.
    #[prost(bytes = "vec", tag = "12")]
    pub heard: Vec<u8>,
}

/// A version of weights on a target.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Copy {
    /// The deployment that the copy is for.
    #[prost(string, tag = "1")]
    pub deployment: String,
    /// The version.
    #[prost(bytes = "vec", tag = "2")]
    pub digest: Vec<u8>,
    /// The state of the copy.
    #[prost(enumeration = "Stage", tag = "3")]
    pub stage: i32,
    /// The number of chunks that the target holds.
    #[prost(uint32, tag = "4")]
    pub chunks: u32,
    /// The text of the last error; empty if there was none.
    #[prost(string, tag = "5")]
    pub trouble: String,
}

/// The state of a version on a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Stage {
    /// The target holds no chunk.
    Absent = 0,
    /// The agent is fetching the chunks.
    Fetching = 1,
    /// Every chunk is present and verified.
    Verified = 2,
    /// The engine is loading the version.
    Loading = 3,
    /// The engine answers from the version.
    Serving = 4,
    /// The engine finishes the requests in progress and receives no new ones.
    Draining = 5,
    /// The engine did not load the version.
    Failed = 6,
}

/// A fence, which orders all orders: by term, then by the sequence within the term.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Message)]
pub struct Fence {
    /// The leader's term.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// The order's number.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
}

/// The orders for a target. They are complete, so the next reply makes up for a lost one.
#[derive(Clone, PartialEq, Message)]
pub struct Orders {
    /// The fence; the agent refuses orders with a lower fence than it has accepted.
    #[prost(message, optional, tag = "1")]
    pub fence: Option<Fence>,
    /// The versions to serve.
    #[prost(message, repeated, tag = "2")]
    pub serve: Vec<Assignment>,
    /// The control revision that these orders follow from.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// The addresses of the voters' links, which the agent asks for the term.
    #[prost(string, repeated, tag = "4")]
    pub voters: Vec<String>,
    /// The addresses of the other entries, which the agent sends its announcements to.
    #[prost(string, repeated, tag = "5")]
    pub entries: Vec<String>,
    /// The address of the leader's links, which the agent asks for the plan of copies; empty if unknown.
    #[prost(string, tag = "8")]
    pub leader: String,
    /// The highest term in which a leader has committed anything; as of this term, the orders are the latest.
    #[prost(uint64, tag = "6")]
    pub term: u64,
    /// The incarnation of the agent that these orders are for.
    #[prost(uint64, tag = "7")]
    pub incarnation: u64,
    /// Whether these orders equal the last ones that the agent received from this entry; if so, the other
    /// fields are empty.
    #[prost(bool, tag = "9")]
    pub same: bool,
}

impl Orders {
    /// Returns the first bytes of the digest of these orders, enough to tell two orders apart.
    ///
    /// Most answers to announcements equal the previous one. The digest saves sending them again, which would
    /// be a kilobyte each second.
    pub fn digest(&self) -> Vec<u8> {
        blake3::hash(&self.encode_to_vec()).as_bytes()[..ORDERS_DIGEST].to_vec()
    }
}

/// The length of the digest of orders, in bytes.
const ORDERS_DIGEST: usize = 16;

/// One version that a target is to serve.
#[derive(Clone, PartialEq, Message)]
pub struct Assignment {
    /// The deployment.
    #[prost(string, tag = "1")]
    pub deployment: String,
    /// The model's name.
    #[prost(string, tag = "2")]
    pub model: String,
    /// The version.
    #[prost(bytes = "vec", tag = "3")]
    pub digest: Vec<u8>,
    /// The URL of the version's files at the origin.
    #[prost(string, tag = "5")]
    pub origin: String,
    /// The weight store's URL; empty if there is none.
    #[prost(string, tag = "6")]
    pub store: String,
    /// Whether to save bytes from the origin at the cost of time.
    #[prost(bool, tag = "8")]
    pub frugal: bool,
    /// What the target is to do with the version.
    #[prost(enumeration = "Duty", tag = "9")]
    pub duty: i32,
}

/// An agent's request to the leader for its part in the copies in progress.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SpreadAsk {
    /// The target's instance name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The copies in progress.
    #[prost(message, repeated, tag = "2")]
    pub copies: Vec<SpreadCopy>,
    /// The longest time that the leader may delay its answer while nothing changes, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub hold: u64,
}

/// The chunk number that stands for the manifest.
pub const MANIFEST: u32 = u32::MAX;

/// An agent's progress with the copy of a version.
///
/// Chunks are numbered by their position in the manifest; [`MANIFEST`] stands for the manifest itself.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SpreadCopy {
    /// The version.
    #[prost(bytes = "vec", tag = "1")]
    pub digest: Vec<u8>,
    /// The number of the part that the agent has received; zero for none.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// The granted chunks that the agent has fetched.
    #[prost(uint32, repeated, tag = "3")]
    pub landed: Vec<u32>,
    /// The granted chunks that no source provided.
    #[prost(uint32, repeated, tag = "4")]
    pub failed: Vec<u32>,
    /// The chunks that no upstream has.
    #[prost(uint32, repeated, tag = "5")]
    pub wanted: Vec<u32>,
    /// All chunks that the agent holds, one bit per chunk, for a leader that does not know them; else empty.
    #[prost(bytes = "vec", tag = "6")]
    pub held: Vec<u8>,
}

/// An agent's part in the copies in progress.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SpreadPlan {
    /// The parts, one for each copy.
    #[prost(message, repeated, tag = "1")]
    pub parts: Vec<SpreadPart>,
}

/// An agent's part in the copy of a version. It is complete, so the next reply makes up for a lost one.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SpreadPart {
    /// The version.
    #[prost(bytes = "vec", tag = "1")]
    pub digest: Vec<u8>,
    /// The number of the part, unique among those of one leader and agent.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// The agents to fetch from.
    #[prost(message, repeated, tag = "3")]
    pub upstreams: Vec<SpreadUpstream>,
    /// The chunks to fetch from another region, the weight store or the origin.
    #[prost(message, repeated, tag = "4")]
    pub grants: Vec<SpreadGrant>,
}

/// An agent to fetch from.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SpreadUpstream {
    /// The address of its links, as `IP:port`.
    #[prost(string, tag = "1")]
    pub addr: String,
    /// Whether the upstream is in the same region but in another zone.
    #[prost(bool, tag = "2")]
    pub region: bool,
    /// The position of the upstream among those of its kind (same zone or same region).
    #[prost(uint32, tag = "3")]
    pub place: u32,
    /// The number of upstreams of its kind.
    #[prost(uint32, tag = "4")]
    pub places: u32,
}

/// The permission to fetch a chunk from another region, the weight store or the origin.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SpreadGrant {
    /// The chunk's position in the manifest.
    #[prost(uint32, tag = "1")]
    pub chunk: u32,
    /// The agent of another region to fetch the chunk from; empty for the weight store or the origin.
    #[prost(string, tag = "2")]
    pub peer: String,
}

/// What a target is to do with a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Duty {
    /// Fetch the version, load it and answer from it.
    Serve = 0,
    /// Accept no new requests for the version, finish those in progress, then unload it.
    Drain = 1,
    /// Fetch and verify the version, but do not load it.
    Fetch = 2,
}

/// A request for a target.
#[derive(Clone, PartialEq, Message)]
pub struct Dispatch {
    /// The unique number of this attempt.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// The version that must answer; empty for a plain service.
    #[prost(bytes = "vec", tag = "2")]
    pub digest: Vec<u8>,
    /// The HTTP method.
    #[prost(string, tag = "3")]
    pub method: String,
    /// The path with the query.
    #[prost(string, tag = "4")]
    pub path: String,
    /// The headers that are passed on.
    #[prost(message, repeated, tag = "5")]
    pub headers: Vec<Header>,
    /// The body.
    #[prost(bytes = "bytes", tag = "6")]
    pub body: bytes::Bytes,
    /// The remaining time for the answer, in milliseconds.
    #[prost(uint64, tag = "7")]
    pub timeout: u64,
    /// The W3C trace context.
    #[prost(string, tag = "8")]
    pub trace: String,
    /// The organisation that made the request.
    #[prost(string, tag = "9")]
    pub organisation: String,
    /// The priority, higher first.
    #[prost(uint32, tag = "10")]
    pub priority: u32,
}

/// An HTTP header.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Header {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its value.
    #[prost(string, tag = "2")]
    pub value: String,
}

/// The head of a target's answer.
#[derive(Clone, PartialEq, Message)]
pub struct Head {
    /// The HTTP status.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// The headers that are passed on.
    #[prost(message, repeated, tag = "2")]
    pub headers: Vec<Header>,
    /// The number of the attempt that is answered.
    #[prost(uint64, tag = "3")]
    pub attempt: u64,
    /// The version that answered; empty for a plain service.
    #[prost(bytes = "vec", tag = "4")]
    pub digest: Vec<u8>,
    /// The number of requests in progress at the target from all entries, including this one.
    #[prost(uint32, tag = "5")]
    pub running: u32,
    /// The largest number of requests that the target runs at once.
    #[prost(uint32, tag = "6")]
    pub slots: u32,
}
