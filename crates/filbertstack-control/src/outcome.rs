//! Outcomes: what a command came to, as `prost` messages that travel back to the proposer.

use prost::Message;

use crate::command::Answer;
use crate::command::Object;
use crate::limits::MAX_REASON;
use crate::limits::MAX_REASONS;

/// What a command came to.
#[derive(Clone, PartialEq, Message)]
pub struct Outcome {
    /// The kind of outcome; `None` only from a newer peer.
    #[prost(oneof = "Reply", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9")]
    pub reply: Option<Reply>,
}

impl Outcome {
    /// The bytes that travel back to the proposer.
    pub fn to_bytes(&self) -> Vec<u8> {
        self.encode_to_vec()
    }
}

impl From<Reply> for Outcome {
    fn from(reply: Reply) -> Self {
        Self { reply: Some(reply) }
    }
}

/// An outcome by kind of command.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Reply {
    /// A change of declarations is in.
    #[prost(message, tag = "1")]
    Accepted(Accepted),
    /// Another change came first.
    #[prost(message, tag = "2")]
    Conflict(Conflict),
    /// A command is wrong in itself or cannot be met.
    #[prost(message, tag = "3")]
    Rejected(Rejected),
    /// A command without an answer of its own took effect.
    #[prost(message, tag = "4")]
    Done(Done),
    /// Orders were recorded.
    #[prost(message, tag = "5")]
    Ordered(Ordered),
    /// A claim was decided.
    #[prost(message, tag = "6")]
    Claimed(Claimed),
    /// The claim that was to be settled or released stands under another fence, or not at all.
    #[prost(message, tag = "7")]
    Stale(Stale),
    /// The outcomes of a batch, in its order.
    #[prost(message, tag = "8")]
    Batch(Outcomes),
    /// Open claims became unknown.
    #[prost(message, tag = "9")]
    Forsaken(Forsaken),
}

/// A change of declarations is in.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Accepted {
    /// The revision that holds the change.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Whether anything changed: a change to what already stands takes no revision.
    #[prost(bool, tag = "2")]
    pub changed: bool,
    /// What looks wrong without being impossible.
    #[prost(message, repeated, tag = "3")]
    pub warnings: Vec<Reason>,
}

/// Another change came first.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Conflict {
    /// The revision that stands.
    #[prost(uint64, tag = "1")]
    pub current: u64,
    /// The change that took the revision after the expected one, if it is still remembered;
    /// the latest change otherwise.
    #[prost(message, optional, tag = "2")]
    pub won: Option<Change>,
}

/// A change of declarations that was accepted.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Change {
    /// The revision it made.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Who made it.
    #[prost(string, tag = "2")]
    pub operator: String,
    /// The request's identifier.
    #[prost(string, tag = "3")]
    pub request: String,
    /// When, by the state's clock in Unix milliseconds.
    #[prost(uint64, tag = "4")]
    pub at: u64,
    /// The objects it wrote or removed, the first of them if there are many.
    #[prost(message, repeated, tag = "5")]
    pub objects: Vec<Object>,
}

/// A command is wrong in itself or cannot be met.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Rejected {
    /// Every reason at once.
    #[prost(message, repeated, tag = "1")]
    pub reasons: Vec<Reason>,
}

/// One reason for a refusal or a warning.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Reason {
    /// A [`Fault`].
    #[prost(enumeration = "Fault", tag = "1")]
    pub fault: i32,
    /// The object it is about, such as `deployment drafting`.
    #[prost(string, tag = "2")]
    pub object: String,
    /// What is wrong and the remedy.
    #[prost(string, tag = "3")]
    pub what: String,
}

impl std::fmt::Display for Reason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        if self.object.is_empty() {
            return f.write_str(&self.what);
        }
        write!(f, "[{}] {}", self.object, self.what)
    }
}

/// The kinds of reasons.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Fault {
    /// The command itself does not read.
    Malformed = 0,
    /// The declarations do not read as INI.
    Syntax = 1,
    /// A selector asks for a label key that nothing has.
    UnknownKey = 2,
    /// A selector of pools or a rule leads to nothing.
    LeadsNowhere = 3,
    /// The pools have too few instances, or none large enough.
    CannotHold = 4,
    /// The version is not in the catalogue, or is another model's.
    UnknownVersion = 5,
    /// Two rules of one order can match one request and lead to different places.
    Ambiguous = 6,
    /// One rule selects two versions of one model.
    MixedVersions = 7,
    /// An object to remove does not stand, or stands in the same text.
    Removal = 8,
    /// The request identifier was used for another body.
    RequestReused = 9,
    /// The request is older than what the state remembers.
    Expired = 10,
    /// The request's time lies ahead of the state's clock.
    FromFuture = 11,
    /// A size or count is over its limit.
    TooLarge = 12,
    /// The version is still declared.
    InUse = 13,
    /// The term is older than the state's.
    OldTerm = 14,
    /// The same digest was published with other facts.
    Differs = 15,
}

/// A command without an answer of its own took effect, or had done so before.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Done {
    /// Whether the state changed.
    #[prost(bool, tag = "1")]
    pub changed: bool,
}

/// Orders were recorded.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Ordered {
    /// The highest sequence given out.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// How many targets' desired state changed.
    #[prost(uint32, tag = "2")]
    pub changed: u32,
}

/// A claim was decided.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Claimed {
    /// The decision; `None` only from a newer peer.
    #[prost(oneof = "Decision", tags = "1, 2, 3, 4, 5, 6, 7, 8")]
    pub decision: Option<Decision>,
}

/// The decision on a claim.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum Decision {
    /// The claimer alone may run the request, once, under this fence.
    #[prost(uint64, tag = "1")]
    Granted(u64),
    /// Another attempt holds the key until the given Unix millisecond at the latest.
    #[prost(uint64, tag = "2")]
    InProgress(u64),
    /// The request ran; this is its answer.
    #[prost(message, tag = "3")]
    Ran(Answer),
    /// The request may have run and is never run again under this key.
    #[prost(message, tag = "4")]
    Unknown(Nothing),
    /// The key stands for another request.
    #[prost(message, tag = "5")]
    BodyDiffers(Nothing),
    /// The key is older than what is kept: whether it ran is no longer known.
    #[prost(message, tag = "6")]
    Expired(Nothing),
    /// The claim is wrong in itself or its key's time lies ahead of the state's clock.
    #[prost(message, tag = "7")]
    Refused(Reason),
    /// No room: the request did not run; come back after this many milliseconds.
    #[prost(uint64, tag = "8")]
    Full(u64),
}

/// Nothing to say.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Nothing {}

/// The claim stands under another fence, or not at all: nothing changed.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Stale {}

/// The outcomes of a batch.
#[derive(Clone, PartialEq, Message)]
pub struct Outcomes {
    /// One for each command, in the batch's order.
    #[prost(message, repeated, tag = "1")]
    pub outcomes: Vec<Outcome>,
}

/// Open claims became unknown.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Forsaken {
    /// How many.
    #[prost(uint32, tag = "1")]
    pub claims: u32,
}

impl Reason {
    /// A reason about `object`, empty if it is about the command as a whole.
    ///
    /// Its text is cut to [`MAX_REASON`] characters: it may quote what an operator sent, and the
    /// state remembers the outcomes of thousands of requests.
    pub fn new(fault: Fault, object: &str, what: impl Into<String>) -> Self {
        let what: String = what.into();
        let cut = what.char_indices().nth(MAX_REASON);
        Self {
            fault: fault as i32,
            object: object.to_owned(),
            what: cut.map_or(what.clone(), |(end, _)| what[..end].to_owned()),
        }
    }

    /// A reason about a command that does not read.
    pub fn malformed(what: impl Into<String>) -> Self {
        Self::new(Fault::Malformed, "", what)
    }
}

impl From<Reason> for Outcome {
    fn from(reason: Reason) -> Self {
        vec![reason].into()
    }
}

impl From<Vec<Reason>> for Outcome {
    fn from(mut reasons: Vec<Reason>) -> Self {
        let total = reasons.len();
        if total > MAX_REASONS {
            reasons.truncate(MAX_REASONS - 1);
            let what = format!("and {} more reasons", total - reasons.len());
            reasons.push(Reason::new(Fault::TooLarge, "", what));
        }
        Reply::Rejected(Rejected { reasons }).into()
    }
}
