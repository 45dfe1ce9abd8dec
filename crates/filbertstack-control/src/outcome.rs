//! Outcomes are the results of commands, as `prost` messages that are sent back to the proposer.

use prost::Message;

use crate::command::Answer;
use crate::command::Object;
use crate::limits::MAX_REASON;
use crate::limits::MAX_REASONS;

/// The result of a command.
#[derive(Clone, PartialEq, Message)]
pub struct Outcome {
    /// The outcome by kind. It is `None` only if a peer of a newer version sent the outcome.
    #[prost(oneof = "Reply", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9")]
    pub reply: Option<Reply>,
}

impl Outcome {
    /// Returns the bytes that are sent back to the proposer.
    pub fn to_bytes(&self) -> Vec<u8> {
        self.encode_to_vec()
    }
}

impl From<Reply> for Outcome {
    fn from(reply: Reply) -> Self {
        Self { reply: Some(reply) }
    }
}

/// The outcome of a command, by kind.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Reply {
    /// A change of declarations was accepted.
    #[prost(message, tag = "1")]
    Accepted(Accepted),
    /// Another change was accepted first.
    #[prost(message, tag = "2")]
    Conflict(Conflict),
    /// The command is invalid, or the state does not allow it.
    #[prost(message, tag = "3")]
    Rejected(Rejected),
    /// A command without an outcome kind of its own took effect.
    #[prost(message, tag = "4")]
    Done(Done),
    /// Orders were recorded.
    #[prost(message, tag = "5")]
    Ordered(Ordered),
    /// A claim was decided.
    #[prost(message, tag = "6")]
    Claimed(Claimed),
    /// The claim to settle or release has another fence, has ended already, or does not exist.
    #[prost(message, tag = "7")]
    Stale(Stale),
    /// The outcomes of a batch, in its order.
    #[prost(message, tag = "8")]
    Batch(Outcomes),
    /// Open claims became unknown.
    #[prost(message, tag = "9")]
    Forsaken(Forsaken),
}

/// A change of declarations was accepted.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Accepted {
    /// The revision that has the change.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Whether anything changed. Declaring what is already in force makes no new revision.
    #[prost(bool, tag = "2")]
    pub changed: bool,
    /// Conditions that look wrong but do not prevent the change.
    #[prost(message, repeated, tag = "3")]
    pub warnings: Vec<Reason>,
}

/// Another change was accepted first.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Conflict {
    /// The revision in force.
    #[prost(uint64, tag = "1")]
    pub current: u64,
    /// The change that made the revision after the expected one if it is still remembered, otherwise the
    /// latest change.
    #[prost(message, optional, tag = "2")]
    pub won: Option<Change>,
}

/// A change of declarations that was accepted.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Change {
    /// The revision that the change made.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// The operator who made the change.
    #[prost(string, tag = "2")]
    pub operator: String,
    /// The request's identifier.
    #[prost(string, tag = "3")]
    pub request: String,
    /// When the change was accepted, by the state's clock in Unix milliseconds.
    #[prost(uint64, tag = "4")]
    pub at: u64,
    /// The objects that the change wrote or removed; only the first of them if there are many.
    #[prost(message, repeated, tag = "5")]
    pub objects: Vec<Object>,
}

/// The command is invalid, or the state does not allow it.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Rejected {
    /// All reasons.
    #[prost(message, repeated, tag = "1")]
    pub reasons: Vec<Reason>,
}

/// One reason for a refusal or a warning.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Reason {
    /// A [`Fault`].
    #[prost(enumeration = "Fault", tag = "1")]
    pub fault: i32,
    /// The object that the reason is about, such as `deployment drafting`.
    #[prost(string, tag = "2")]
    pub object: String,
    /// What is wrong, and the remedy.
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
    /// The command itself is malformed.
    Malformed = 0,
    /// The declarations can't be parsed as INI.
    Syntax = 1,
    /// A selector names a label key that nothing has.
    UnknownKey = 2,
    /// A selector or a rule selects nothing.
    LeadsNowhere = 3,
    /// The pools have too few instances, or none large enough.
    CannotHold = 4,
    /// The version is not in the catalogue, or is a version of another model.
    UnknownVersion = 5,
    /// Two rules with the same order can match one request and route it to different places.
    Ambiguous = 6,
    /// One rule selects several versions of one model.
    MixedVersions = 7,
    /// An object to remove is not declared, or the same change also writes it.
    Removal = 8,
    /// The request identifier was used for another change.
    RequestReused = 9,
    /// The request or claim is too old.
    Expired = 10,
    /// The time of the request or key is ahead of the state's clock.
    FromFuture = 11,
    /// A size or count is over its limit.
    TooLarge = 12,
    /// The version to retire is still declared.
    InUse = 13,
    /// The term is older than the highest term that the state has seen.
    OldTerm = 14,
    /// The same digest was published with other facts.
    Differs = 15,
}

/// A command without an outcome kind of its own took effect, or had taken effect before.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Done {
    /// Whether the state changed.
    #[prost(bool, tag = "1")]
    pub changed: bool,
}

/// Orders were recorded.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Ordered {
    /// The highest sequence assigned.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// The number of targets whose order changed.
    #[prost(uint32, tag = "2")]
    pub changed: u32,
}

/// A claim was decided.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Claimed {
    /// The decision. It is `None` only if a peer of a newer version sent it.
    #[prost(oneof = "Decision", tags = "1, 2, 3, 4, 5, 6, 7, 8")]
    pub decision: Option<Decision>,
}

/// The decision on a claim.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum Decision {
    /// Only the attempt that claimed may run the request, once, under this fence.
    #[prost(uint64, tag = "1")]
    Granted(u64),
    /// Another attempt holds the key, at the latest until this time in Unix milliseconds.
    #[prost(uint64, tag = "2")]
    InProgress(u64),
    /// The request ran; this is its answer.
    #[prost(message, tag = "3")]
    Ran(Answer),
    /// The request may have run and is never run again under this key.
    #[prost(message, tag = "4")]
    Unknown(Nothing),
    /// The key was used for another request.
    #[prost(message, tag = "5")]
    BodyDiffers(Nothing),
    /// The key is older than the keys that are kept, so it is no longer known whether its request ran.
    #[prost(message, tag = "6")]
    Expired(Nothing),
    /// The claim is malformed, its deadline has passed, or its key's time is ahead of the state's clock.
    #[prost(message, tag = "7")]
    Refused(Reason),
    /// There is no room for another claim. The request did not run; the caller may send it again after
    /// this many milliseconds.
    #[prost(uint64, tag = "8")]
    Full(u64),
}

/// An empty message.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Nothing {}

/// The claim has another fence, has ended already, or does not exist. Nothing changed.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Stale {}

/// The outcomes of a batch.
#[derive(Clone, PartialEq, Message)]
pub struct Outcomes {
    /// The outcome of each command, in the order of the batch.
    #[prost(message, repeated, tag = "1")]
    pub outcomes: Vec<Outcome>,
}

/// Open claims became unknown.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Forsaken {
    /// The number of claims that became unknown.
    #[prost(uint32, tag = "1")]
    pub claims: u32,
}

impl Reason {
    /// Creates a reason about `object`, which is empty if the reason is about the command as a whole.
    ///
    /// The text is cut to [`MAX_REASON`] characters, because it may quote what an operator sent and the
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

    /// Creates a reason for a malformed command.
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
