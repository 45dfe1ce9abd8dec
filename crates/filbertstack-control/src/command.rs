//! Commands are the entries of the replicated log, as `prost` messages.
//!
//! A command holds everything that its effect depends on, including the time. So every replica computes
//! the same state from the same log.

use prost::Message;

/// The content of one log entry.
#[derive(Clone, PartialEq, Message)]
pub struct Command {
    /// The proposer's clock in milliseconds since the Unix epoch. The state's clock is the greatest time
    /// seen, so a proposer whose clock is slow stops the state's clock for a while and never sets it back.
    #[prost(uint64, tag = "1")]
    pub now: u64,
    /// What to do.
    #[prost(oneof = "Body", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14")]
    pub body: Option<Body>,
}

impl Command {
    /// Creates a command with the time `now`.
    pub fn new(now: u64, body: Body) -> Self {
        Self {
            now,
            body: Some(body),
        }
    }

    /// Returns the bytes that go into the log.
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
    /// Removes a version from the catalogue.
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
    /// Releases a claim whose request certainly did not run.
    #[prost(message, tag = "10")]
    Release(Release),
    /// Marks the open claims of an entry process that has ended as unknown.
    #[prost(message, tag = "11")]
    MarkUnknown(MarkUnknown),
    /// Holds several commands under one time, so that many proposals need one disk sync.
    #[prost(message, tag = "12")]
    Batch(Batch),
    /// Gives the current orders of targets a new fence.
    #[prost(message, tag = "13")]
    Renew(Renew),
    /// Releases an attempt's claim that may or may not have been committed: the proposer did not get the
    /// outcome and has dispatched nothing.
    #[prost(message, tag = "14")]
    Abandon(Claim),
}

/// A change of the declarations.
///
/// Each section of `text` replaces the whole object of its kind and name. Objects that `text` does not
/// name stay as they are; only `removals` removes objects.
#[derive(Clone, PartialEq, Message)]
pub struct Apply {
    /// The operator's own identifier of this request, the same in every resend.
    #[prost(string, tag = "1")]
    pub request: String,
    /// The operator: the name of the key that authenticated the request.
    #[prost(string, tag = "2")]
    pub operator: String,
    /// The revision that the operator saw. Without it the change applies to any revision.
    #[prost(uint64, optional, tag = "3")]
    pub expected: Option<u64>,
    /// When the operator's client made the request, in Unix milliseconds, the same in every resend. The
    /// time lets a state that has forgotten the request refuse it.
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
    /// Creates the object of `kind` with the name `name`.
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

/// The facts about a version of a model that decisions need. The bytes of the manifest are in the chunk
/// stores, under `root`.
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
    /// The URL of the same files at the weight store, or empty if the store has none.
    #[prost(string, tag = "8")]
    pub store: String,
}

/// Removes a version from the catalogue.
#[derive(Clone, PartialEq, Message)]
pub struct Retire {
    /// The manifest's digest, 32 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub root: Vec<u8>,
}

/// Lasting facts about instances. They are sent when an instance is new or changed, never as a heartbeat.
#[derive(Clone, PartialEq, Message)]
pub struct Register {
    /// New or changed instances.
    #[prost(message, repeated, tag = "1")]
    pub instances: Vec<Instance>,
    /// The names of instances that are gone for good.
    #[prost(string, repeated, tag = "2")]
    pub gone: Vec<String>,
}

/// The facts about an instance, as the instance announced them.
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
    /// The leader's term. Orders of a term older than the highest seen change nothing.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// The targets whose desired state changes, each at most once.
    #[prost(message, repeated, tag = "2")]
    pub targets: Vec<Desired>,
}

/// Gives the orders of targets that do not follow them a new fence, so that the targets act on them
/// again.
#[derive(Clone, PartialEq, Message)]
pub struct Renew {
    /// The leader's term. A term older than the highest seen changes nothing.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// The targets.
    #[prost(string, repeated, tag = "2")]
    pub targets: Vec<String>,
}

/// The desired state of one target.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Desired {
    /// The target's name.
    #[prost(string, tag = "1")]
    pub target: String,
    /// The versions that the target shall hold; empty if it shall unload all.
    #[prost(message, repeated, tag = "2")]
    pub holds: Vec<Hold>,
}

/// One version that a target shall hold.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Message)]
pub struct Hold {
    /// The deployment that the version is held for.
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

/// What a target shall do with a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum Duty {
    /// The target fetches, loads and serves the version.
    Serve = 0,
    /// The target finishes the requests in progress, accepts no new ones, and then unloads the version.
    Drain = 1,
    /// The target fetches and verifies the version, and does not load it.
    Fetch = 2,
}

/// A claim of an idempotency key.
#[derive(Clone, PartialEq, Message)]
pub struct Claim {
    /// The organisation. Equal keys of different organisations are independent of each other.
    #[prost(string, tag = "1")]
    pub organisation: String,
    /// The caller's key.
    #[prost(string, tag = "2")]
    pub key: String,
    /// When the key was made, in Unix milliseconds, if the key itself contains the time.
    #[prost(uint64, optional, tag = "3")]
    pub issued: Option<u64>,
    /// The digest of the request, at least 16 bytes.
    #[prost(bytes = "vec", tag = "4")]
    pub body: Vec<u8>,
    /// The number of the entry process that claims; each start of an entry draws a new one.
    #[prost(uint64, tag = "5")]
    pub entry: u64,
    /// The entry's number for this attempt, which it never uses again.
    #[prost(uint64, tag = "6")]
    pub attempt: u64,
    /// When the claim counts as unknown if it was not settled, in Unix milliseconds: the request's
    /// deadline and a grace period.
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
    /// The answer, or `None` if it is not known whether the request ran.
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
    /// The whole answer, if it is small enough to be kept.
    #[prost(bytes = "vec", optional, tag = "3")]
    pub bytes: Option<Vec<u8>>,
}

/// Releases a claim whose request certainly did not run.
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

/// Marks the claims that an entry process has not settled as unknown, because the process has ended.
#[derive(Clone, PartialEq, Message)]
pub struct MarkUnknown {
    /// The number of the entry process, as in its claims.
    #[prost(uint64, tag = "1")]
    pub entry: u64,
}

/// Several commands in one log entry. A batch must not hold another batch.
#[derive(Clone, PartialEq, Message)]
pub struct Batch {
    /// The commands. Their own times are ignored; the time of the batch applies to all of them.
    #[prost(message, repeated, tag = "1")]
    pub commands: Vec<Command>,
}
