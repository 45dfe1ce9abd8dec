//! Commands: what the replicated log carries, as `prost` messages.
//!
//! A command holds everything its effect depends on, the time included, so that every replica
//! computes the same state from the same log.

use prost::Message;

/// One entry of the log.
#[derive(Clone, PartialEq, Message)]
pub struct Command {
    /// The proposer's clock in milliseconds since the Unix epoch. The state's clock is the
    /// greatest seen, so a slow clock holds it still and never turns it back.
    #[prost(uint64, tag = "1")]
    pub now: u64,
    /// What to do.
    #[prost(oneof = "Body", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14")]
    pub body: Option<Body>,
}

impl Command {
    /// A command stamped with the time `now`.
    pub fn new(now: u64, body: Body) -> Self {
        Self {
            now,
            body: Some(body),
        }
    }

    /// The bytes that go into the log.
    pub fn to_bytes(&self) -> Vec<u8> {
        self.encode_to_vec()
    }
}

/// What a command does.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Changes the declarations.
    #[prost(message, tag = "2")]
    Apply(Apply),
    /// Adds a version of a model to the catalogue.
    #[prost(message, tag = "3")]
    Publish(Publish),
    /// Takes a version out of the catalogue.
    #[prost(message, tag = "4")]
    Retire(Retire),
    /// Records lasting facts about instances.
    #[prost(message, tag = "5")]
    Register(Register),
    /// Records a new leader.
    #[prost(message, tag = "6")]
    Lead(Lead),
    /// Changes the desired state of targets.
    #[prost(message, tag = "7")]
    Orders(Orders),
    /// Claims an idempotency key before its request is dispatched.
    #[prost(message, tag = "8")]
    Claim(Claim),
    /// Records how a claimed request ended.
    #[prost(message, tag = "9")]
    Settle(Settle),
    /// Gives a claim back whose request certainly did not run.
    #[prost(message, tag = "10")]
    Release(Release),
    /// Marks the open claims of a dead entry as unknown.
    #[prost(message, tag = "11")]
    Forsake(Forsake),
    /// Several commands under one time: one disk sync for many proposals.
    #[prost(message, tag = "12")]
    Batch(Batch),
    /// Gives standing orders a new fence.
    #[prost(message, tag = "13")]
    Renew(Renew),
    /// Gives back an attempt's claim that may or may not have been committed: the proposer lost
    /// the outcome and has dispatched nothing.
    #[prost(message, tag = "14")]
    Abandon(Claim),
}

/// A change of the declarations.
///
/// Each section of `text` replaces the whole object of its kind and name; objects that `text`
/// does not name stay as they are, and only `removals` removes.
#[derive(Clone, PartialEq, Message)]
pub struct Apply {
    /// The operator's own identifier of this request, the same in every resend.
    #[prost(string, tag = "1")]
    pub request: String,
    /// The operator, by the name of the key that authenticated the request.
    #[prost(string, tag = "2")]
    pub operator: String,
    /// The revision that the operator saw; without it the change applies to whatever stands.
    #[prost(uint64, optional, tag = "3")]
    pub expected: Option<u64>,
    /// When the operator's client made the request, in Unix milliseconds, the same in every
    /// resend. It lets a state that has forgotten the request refuse it.
    #[prost(uint64, tag = "4")]
    pub issued: u64,
    /// The sections, as INI.
    #[prost(string, tag = "5")]
    pub text: String,
    /// The objects to remove.
    #[prost(message, repeated, tag = "6")]
    pub removals: Vec<Object>,
}

/// The kind of a declared object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum Kind {
    /// A deployment.
    Deployment = 0,
    /// A pool.
    Pool = 1,
    /// A rule.
    Rule = 2,
}

/// A declared object by kind and name.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Message)]
pub struct Object {
    /// A [`Kind`].
    #[prost(enumeration = "Kind", tag = "1")]
    pub kind: i32,
    /// The name.
    #[prost(string, tag = "2")]
    pub name: String,
}

impl Object {
    /// The object of `kind` called `name`.
    pub fn new(kind: Kind, name: &str) -> Self {
        Self {
            kind: kind as i32,
            name: name.to_owned(),
        }
    }
}

impl std::fmt::Display for Object {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let kind = match self.kind() {
            Kind::Deployment => "deployment",
            Kind::Pool => "pool",
            Kind::Rule => "rule",
        };
        write!(f, "{kind} {}", self.name)
    }
}

/// A version of a model: the facts that decisions need. The manifest's bytes stay in the chunk
/// stores under `root`.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Publish {
    /// The manifest's digest, 32 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub root: Vec<u8>,
    /// The model's name.
    #[prost(string, tag = "2")]
    pub model: String,
    /// The size of the weights in bytes.
    #[prost(uint64, tag = "3")]
    pub weights: u64,
    /// The size of the manifest in bytes.
    #[prost(uint64, tag = "4")]
    pub manifest: u64,
    /// The number of chunks.
    #[prost(uint32, tag = "5")]
    pub chunks: u32,
    /// Who published it.
    #[prost(string, tag = "6")]
    pub operator: String,
    /// The URL below which the origin has the files and the manifest.
    #[prost(string, tag = "7")]
    pub origin: String,
    /// The same at the weight store; empty if it has none.
    #[prost(string, tag = "8")]
    pub store: String,
}

/// Takes a version out of the catalogue.
#[derive(Clone, PartialEq, Message)]
pub struct Retire {
    /// The manifest's digest, 32 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub root: Vec<u8>,
}

/// Lasting facts about instances: sent when they are new or changed, never as a heartbeat.
#[derive(Clone, PartialEq, Message)]
pub struct Register {
    /// New or changed instances.
    #[prost(message, repeated, tag = "1")]
    pub instances: Vec<Instance>,
    /// The names of instances that are gone for good.
    #[prost(string, repeated, tag = "2")]
    pub gone: Vec<String>,
}

/// An instance as it announced itself.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Instance {
    /// The name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The labels, written `key=value, key=value`, `zone` and `region` among them.
    #[prost(string, tag = "2")]
    pub labels: String,
    /// The memory for weights in bytes; 0 for a plain service.
    #[prost(uint64, tag = "3")]
    pub memory: u64,
}

/// A new leader's first command.
#[derive(Clone, PartialEq, Message)]
pub struct Lead {
    /// The leader's term.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// The leader's name.
    #[prost(string, tag = "2")]
    pub leader: String,
}

/// New desired states of targets.
#[derive(Clone, PartialEq, Message)]
pub struct Orders {
    /// The leader's term; an older one than the state has seen changes nothing.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// The targets whose desired state changes, at most one element each.
    #[prost(message, repeated, tag = "2")]
    pub targets: Vec<Desired>,
}

/// Gives the standing orders of targets that do not follow them a new fence, so that they are
/// acted on again.
#[derive(Clone, PartialEq, Message)]
pub struct Renew {
    /// The leader's term; an older one than the state has seen changes nothing.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// The targets.
    #[prost(string, repeated, tag = "2")]
    pub targets: Vec<String>,
}

/// Everything that one target shall hold.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Desired {
    /// The target's name.
    #[prost(string, tag = "1")]
    pub target: String,
    /// What it shall hold; empty to unload all.
    #[prost(message, repeated, tag = "2")]
    pub holds: Vec<Hold>,
}

/// One version that a target shall hold.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Message)]
pub struct Hold {
    /// The deployment it belongs to.
    #[prost(string, tag = "1")]
    pub deployment: String,
    /// The model's name.
    #[prost(string, tag = "2")]
    pub model: String,
    /// The manifest's digest, 32 bytes.
    #[prost(bytes = "vec", tag = "3")]
    pub version: Vec<u8>,
    /// A [`Duty`].
    #[prost(enumeration = "Duty", tag = "4")]
    pub duty: i32,
}

/// What a target shall do with a version that it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum Duty {
    /// Fetch, load and serve it.
    Serve = 0,
    /// Finish the requests in progress, take no new ones, then unload it.
    Drain = 1,
    /// Fetch and verify it, and load nothing.
    Fetch = 2,
}

/// A claim of an idempotency key.
#[derive(Clone, PartialEq, Message)]
pub struct Claim {
    /// The organisation; keys of different organisations never meet.
    #[prost(string, tag = "1")]
    pub organisation: String,
    /// The caller's key.
    #[prost(string, tag = "2")]
    pub key: String,
    /// When the key was made in Unix milliseconds, if the key itself says so.
    #[prost(uint64, optional, tag = "3")]
    pub issued: Option<u64>,
    /// The digest of the request, at least 16 bytes.
    #[prost(bytes = "vec", tag = "4")]
    pub body: Vec<u8>,
    /// The entry process that claims: its number is drawn anew at each start.
    #[prost(uint64, tag = "5")]
    pub entry: u64,
    /// The entry's own number for this attempt, never used again by it.
    #[prost(uint64, tag = "6")]
    pub attempt: u64,
    /// When the claim, if nobody settled it, counts as unknown: the request's deadline and some
    /// grace, in Unix milliseconds.
    #[prost(uint64, tag = "7")]
    pub until: u64,
    /// How long the key is kept after its last change, in milliseconds.
    #[prost(uint64, tag = "8")]
    pub life: u64,
}

/// How a claimed request ended.
#[derive(Clone, PartialEq, Message)]
pub struct Settle {
    /// The organisation.
    #[prost(string, tag = "1")]
    pub organisation: String,
    /// The caller's key.
    #[prost(string, tag = "2")]
    pub key: String,
    /// The fence of the claim that ran.
    #[prost(uint64, tag = "3")]
    pub fence: u64,
    /// The answer; absent if it is not known whether the request ran.
    #[prost(message, optional, tag = "4")]
    pub answer: Option<Answer>,
}

/// The answer of a request that ran.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Answer {
    /// The status code that the caller got.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// The digest of the whole answer, 32 bytes.
    #[prost(bytes = "vec", tag = "2")]
    pub digest: Vec<u8>,
    /// The answer itself, if it is small enough to be kept.
    #[prost(bytes = "vec", optional, tag = "3")]
    pub bytes: Option<Vec<u8>>,
}

/// Gives a claim back: its request certainly did not run.
#[derive(Clone, PartialEq, Message)]
pub struct Release {
    /// The organisation.
    #[prost(string, tag = "1")]
    pub organisation: String,
    /// The caller's key.
    #[prost(string, tag = "2")]
    pub key: String,
    /// The fence of the claim.
    #[prost(uint64, tag = "3")]
    pub fence: u64,
}

/// An entry process is dead: what it had claimed and not settled is unknown from now on.
#[derive(Clone, PartialEq, Message)]
pub struct Forsake {
    /// The entry process's number, as in its claims.
    #[prost(uint64, tag = "1")]
    pub entry: u64,
}

/// Several commands in one log entry; a batch holds no batch.
#[derive(Clone, PartialEq, Message)]
pub struct Batch {
    /// The commands; only the batch's own time counts.
    #[prost(message, repeated, tag = "1")]
    pub commands: Vec<Command>,
}
