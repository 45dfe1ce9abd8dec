//! The messages on links.
//!
//! Payloads that another crate owns (log messages, gossip, commands, outcomes, views) travel as
//! bytes in that crate's own encoding.

use prost::Message;
use prost::Oneof;
use rand::Rng;

use crate::keys::Role;

/// The greeting of either end.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Hello {
    /// The role asked for.
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
    /// The call it belongs to; zero for the link itself and for one-way calls.
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
    /// The far end refused the call.
    #[prost(message, tag = "7")]
    Fault(Fault),
    /// The caller no longer wants the call's replies.
    #[prost(message, tag = "8")]
    Cancel(Empty),
    /// The far end ends and sends nothing more.
    #[prost(message, tag = "9")]
    Ending(Ending),
}

/// Which calls a process that ends has taken.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Ending {
    /// The stream of the latest; it ran none after it.
    #[prost(uint64, tag = "1")]
    pub last: u64,
}

/// A message without fields.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Empty {}

/// Why a call was refused or broke off.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Fault {
    /// The reason and its remedy.
    #[prost(string, tag = "1")]
    pub text: String,
    /// When to come back, in milliseconds; zero if there is no point.
    #[prost(uint64, tag = "2")]
    pub after: u64,
    /// Whether the call certainly had no effect.
    #[prost(bool, tag = "3")]
    pub not_run: bool,
    /// What kind of refusal it is.
    #[prost(enumeration = "Cause", tag = "4")]
    pub cause: i32,
}

/// What kind of refusal a [`Fault`] is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Cause {
    /// The far end does not serve the call.
    Absent = 0,
    /// The far end has no room now.
    Full = 1,
    /// The far end is leaving.
    Leaving = 2,
    /// What stands behind the far end can't be reached.
    Unreachable = 3,
}

/// A request.
#[derive(Clone, PartialEq, Message)]
pub struct Call {
    /// What is asked.
    #[prost(oneof = "Ask", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13")]
    pub ask: Option<Ask>,
}

/// What a call asks.
#[derive(Clone, PartialEq, Oneof)]
pub enum Ask {
    /// An agent announces its target; answered by [`Reply`] with [`Tell::Orders`].
    #[prost(message, tag = "1")]
    Announce(Announce),
    /// A follower wants the control state after an index; answered by [`Tell::Payload`].
    #[prost(message, tag = "2")]
    Watch(Watch),
    /// A command for the log; answered by [`Tell::Payload`] with its outcome.
    #[prost(message, tag = "3")]
    Propose(Payload),
    /// A message of the log's consensus; one way.
    #[prost(message, tag = "4")]
    Log(Payload),
    /// A round of gossip; answered by [`Tell::Payload`].
    #[prost(message, tag = "5")]
    Gossip(Payload),
    /// A request for a target; answered by a stream of [`Tell::Head`] and [`Tell::Piece`].
    #[prost(message, tag = "6")]
    Dispatch(Dispatch),
    /// A chunk of weights; answered by a stream of [`Tell::Piece`].
    #[prost(message, tag = "7")]
    Chunk(Digested),
    /// The encoded manifest of a version; answered by a stream of [`Tell::Piece`].
    #[prost(message, tag = "8")]
    Manifest(Digested),
    /// Which chunks of a version the far end holds; answered by [`Tell::Payload`], a bit a chunk.
    #[prost(message, tag = "9")]
    Have(Digested),
    /// The far end's current term; answered by [`Tell::Term`].
    #[prost(message, tag = "10")]
    Term(Empty),
    /// An agent's question for its part in the copies it makes; answered by [`Tell::Plan`].
    #[prost(message, tag = "11")]
    Spread(SpreadAsk),
    /// An operator's question that only the leader can answer; answered by [`Tell::Payload`].
    #[prost(message, tag = "12")]
    Query(Payload),
    /// Take nothing new and finish what is in progress; answered by [`Tell::Payload`].
    #[prost(message, tag = "13")]
    Drain(Empty),
}

/// A reply.
#[derive(Clone, PartialEq, Message)]
pub struct Reply {
    /// What is told.
    #[prost(oneof = "Tell", tags = "1, 2, 3, 4, 5, 6")]
    pub tell: Option<Tell>,
}

/// What a reply tells.
#[derive(Clone, PartialEq, Oneof)]
pub enum Tell {
    /// The outcome or data of a call in its owner's encoding.
    #[prost(message, tag = "1")]
    Payload(Payload),
    /// The head of a target's answer.
    #[prost(message, tag = "2")]
    Head(Head),
    /// A piece of a body or a chunk.
    #[prost(message, tag = "3")]
    Piece(Payload),
    /// What an agent is to serve.
    #[prost(message, tag = "4")]
    Orders(Orders),
    /// A term.
    #[prost(message, tag = "5")]
    Term(TermReport),
    /// An agent's part in the copies it makes.
    #[prost(message, tag = "6")]
    Plan(SpreadPlan),
}

/// Bytes in their owner's encoding.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Payload {
    /// The bytes.
    #[prost(bytes = "bytes", tag = "1")]
    pub body: bytes::Bytes,
}

/// Something named by its digest.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Digested {
    /// The digest's raw bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub digest: Vec<u8>,
}

/// A follower's question for what changed.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Watch {
    /// The revision of the declarations that the follower has.
    #[prost(uint64, tag = "1")]
    pub since: u64,
    /// The sequence of the orders that the follower has.
    #[prost(uint64, tag = "4")]
    pub sequence: u64,
    /// The follower's instance name, whose config lease this renews.
    #[prost(string, tag = "2")]
    pub follower: String,
    /// How long the far end may hold the question while nothing changes, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub wait: u64,
}

/// A voter's term, and whom it knows to vote.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TermReport {
    /// The highest term that the sender knows.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// The sender's instance name; empty if it does not vote.
    #[prost(string, tag = "2")]
    pub voter: String,
    /// The log index of the latest set of voters that it knows.
    #[prost(uint64, tag = "3")]
    pub config: u64,
    /// That set, by instance names.
    #[prost(string, repeated, tag = "4")]
    pub voters: Vec<String>,
}

/// What an agent says of its target.
#[derive(Clone, PartialEq, Message)]
pub struct Announce {
    /// The target's instance name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Grows with each start of the agent.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Grows with each change of what is announced.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// Where links to the agent lead, as `IP:port`.
    #[prost(string, tag = "4")]
    pub addr: String,
    /// The target's labels, as `key=value` separated by commas.
    #[prost(string, tag = "5")]
    pub labels: String,
    /// The target's memory for weights, in bytes.
    #[prost(uint64, tag = "6")]
    pub memory: u64,
    /// What it holds and serves.
    #[prost(message, repeated, tag = "7")]
    pub copies: Vec<Copy>,
    /// Whether it is leaving.
    #[prost(bool, tag = "8")]
    pub leaving: bool,
    /// Whether the target is a plain service.
    #[prost(bool, tag = "9")]
    pub service: bool,
    /// The highest fencing number it has accepted.
    #[prost(message, optional, tag = "10")]
    pub fence: Option<Fence>,
    /// How many requests the target runs at once at most.
    #[prost(uint32, tag = "11")]
    pub slots: u32,
    /// The digest of the orders last heard from the entry that is told; empty if none.
    #[prost(bytes = "vec", tag = "12")]
    pub heard: Vec<u8>,
}

/// A version of weights on a target.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Copy {
    /// The deployment that wants it.
    #[prost(string, tag = "1")]
    pub deployment: String,
    /// The version.
    #[prost(bytes = "vec", tag = "2")]
    pub digest: Vec<u8>,
    /// How far it is.
    #[prost(enumeration = "Stage", tag = "3")]
    pub stage: i32,
    /// Chunks held.
    #[prost(uint32, tag = "4")]
    pub chunks: u32,
    /// What last went wrong; empty if nothing did.
    #[prost(string, tag = "5")]
    pub trouble: String,
}

/// How far a version is on a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Stage {
    /// Nothing of it is there.
    Absent = 0,
    /// Chunks are arriving.
    Fetching = 1,
    /// Every chunk is there and verified.
    Verified = 2,
    /// The engine is loading it.
    Loading = 3,
    /// The engine answers from it.
    Serving = 4,
    /// It finishes what it has and takes nothing new.
    Draining = 5,
    /// The engine would not load it.
    Failed = 6,
}

/// A fencing number: the term, then the sequence within it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Message)]
pub struct Fence {
    /// The leader's term.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// The order's number.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
}

/// What a target is to serve: all of it, so that a lost reply is mended by the next.
#[derive(Clone, PartialEq, Message)]
pub struct Orders {
    /// The fencing number; the agent refuses one lower than it has seen.
    #[prost(message, optional, tag = "1")]
    pub fence: Option<Fence>,
    /// The versions to serve.
    #[prost(message, repeated, tag = "2")]
    pub serve: Vec<Assignment>,
    /// The control revision these orders follow from.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Addresses of the voters' links, to ask for the term.
    #[prost(string, repeated, tag = "4")]
    pub voters: Vec<String>,
    /// Addresses of other entries, to announce to.
    #[prost(string, repeated, tag = "5")]
    pub entries: Vec<String>,
    /// Where the leader's links are, to ask for the plan of copies; empty if it is not known.
    #[prost(string, tag = "8")]
    pub leader: String,
    /// The highest term whose leader committed anything: it vouches for these orders.
    #[prost(uint64, tag = "6")]
    pub term: u64,
    /// The start of the agent that these orders are for.
    #[prost(uint64, tag = "7")]
    pub incarnation: u64,
    /// These orders are as the agent last heard them from this entry; the other fields are empty.
    #[prost(bool, tag = "9")]
    pub same: bool,
}

impl Orders {
    /// The first bytes of the digest of these orders: enough to tell two of them apart.
    ///
    /// Most answers to announcements say what the one before said, a kilobyte each second.
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
    /// Where the origin has the version's files, as a URL.
    #[prost(string, tag = "5")]
    pub origin: String,
    /// The weight store's URL; empty if there is none.
    #[prost(string, tag = "6")]
    pub store: String,
    /// Whether bytes from the origin weigh more than time.
    #[prost(bool, tag = "8")]
    pub frugal: bool,
    /// What to do with it.
    #[prost(enumeration = "Duty", tag = "9")]
    pub duty: i32,
}

/// An agent's question to the leader for its part in the copies it makes.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SpreadAsk {
    /// The target's instance name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The copies in progress.
    #[prost(message, repeated, tag = "2")]
    pub copies: Vec<SpreadCopy>,
    /// How long the leader may hold the question while nothing changes, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub hold: u64,
}

/// The place that names the manifest among the chunks.
pub const MANIFEST: u32 = u32::MAX;

/// How an agent fares with the copy of a version.
///
/// Chunks are named by their places in the manifest; [`MANIFEST`] names the manifest itself.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SpreadCopy {
    /// The version.
    #[prost(bytes = "vec", tag = "1")]
    pub digest: Vec<u8>,
    /// The number of the part that the agent has; zero for none.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// The granted chunks that it has.
    #[prost(uint32, repeated, tag = "3")]
    pub landed: Vec<u32>,
    /// The granted chunks that no source gave.
    #[prost(uint32, repeated, tag = "4")]
    pub failed: Vec<u32>,
    /// The chunks that no upstream has.
    #[prost(uint32, repeated, tag = "5")]
    pub wanted: Vec<u32>,
    /// All chunks that it has, a bit a chunk, for a leader that does not know; empty otherwise.
    #[prost(bytes = "vec", tag = "6")]
    pub held: Vec<u8>,
}

/// An agent's part in the copies it makes.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SpreadPlan {
    /// A part for each copy.
    #[prost(message, repeated, tag = "1")]
    pub parts: Vec<SpreadPart>,
}

/// An agent's part in the copy of a version: all of it, so that a lost reply is mended by the next.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SpreadPart {
    /// The version.
    #[prost(bytes = "vec", tag = "1")]
    pub digest: Vec<u8>,
    /// Names this part among those of one leader and agent.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// The agents to fetch from.
    #[prost(message, repeated, tag = "3")]
    pub upstreams: Vec<SpreadUpstream>,
    /// The chunks to bring in from outside.
    #[prost(message, repeated, tag = "4")]
    pub grants: Vec<SpreadGrant>,
}

/// An agent to fetch from.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SpreadUpstream {
    /// Where its links are, as `IP:port`.
    #[prost(string, tag = "1")]
    pub addr: String,
    /// Whether it is near only by the region, and not by the zone.
    #[prost(bool, tag = "2")]
    pub region: bool,
    /// Its place among the upstreams of its kind.
    #[prost(uint32, tag = "3")]
    pub place: u32,
    /// The upstreams of its kind.
    #[prost(uint32, tag = "4")]
    pub places: u32,
}

/// Leave to bring in a chunk from outside.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SpreadGrant {
    /// The chunk's place in the manifest.
    #[prost(uint32, tag = "1")]
    pub chunk: u32,
    /// The agent of another region to get it from; empty for the weight store or the origin.
    #[prost(string, tag = "2")]
    pub peer: String,
}

/// What a target is to do with a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Duty {
    /// Fetch it, load it and answer from it.
    Serve = 0,
    /// Take no new requests for it, finish those in progress, then unload it.
    Drain = 1,
    /// Fetch and verify it, and load nothing.
    Fetch = 2,
}

/// A request for a target.
#[derive(Clone, PartialEq, Message)]
pub struct Dispatch {
    /// Names this attempt, and no other.
    #[prost(uint64, tag = "1")]
    pub attempt: u64,
    /// The version that must answer; empty for a plain service.
    #[prost(bytes = "vec", tag = "2")]
    pub digest: Vec<u8>,
    /// The HTTP method.
    #[prost(string, tag = "3")]
    pub method: String,
    /// The path with its query.
    #[prost(string, tag = "4")]
    pub path: String,
    /// The headers that go on.
    #[prost(message, repeated, tag = "5")]
    pub headers: Vec<Header>,
    /// The body.
    #[prost(bytes = "bytes", tag = "6")]
    pub body: bytes::Bytes,
    /// The time left for the answer, in milliseconds.
    #[prost(uint64, tag = "7")]
    pub timeout: u64,
    /// The W3C trace context.
    #[prost(string, tag = "8")]
    pub trace: String,
    /// The organisation that asks.
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
    /// The headers that go on.
    #[prost(message, repeated, tag = "2")]
    pub headers: Vec<Header>,
    /// The attempt answered.
    #[prost(uint64, tag = "3")]
    pub attempt: u64,
    /// The version that answers; empty for a plain service.
    #[prost(bytes = "vec", tag = "4")]
    pub digest: Vec<u8>,
    /// The requests in progress at the target, of all entries, this one among them.
    #[prost(uint32, tag = "5")]
    pub running: u32,
    /// How many requests it runs at once at most.
    #[prost(uint32, tag = "6")]
    pub slots: u32,
}
