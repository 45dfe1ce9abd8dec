//! This module says whether a request may be sent to a target whose weights a newer version replaces, and which time
//! limit the target is told.
//!
//! *Load pattern*: from a while after a newer version is named, nothing may begin on the older one. Requests wait in
//! a link and in the queue of the engine behind it, and an entry sees neither. If the engine is told all the time that
//! the caller has, it begins what it kept long after the bound: closing the connection does not end a request at an
//! engine that does not notice it, and an entry that is frozen or killed closes nothing. If it is told the time until
//! the bound, it refuses what it has not begun by then, and cuts the streams that it has begun, as there is one limit
//! for both.
//!
//! A target is therefore told no more than the time until the bound. What has not ended by then is cut by its target, and
//! another continues it, so that a target gets only what is expected to end in time, and in half of the time if no other
//! could continue it. That would leave nobody to serve long requests just after the naming, when all targets are of the
//! older version. The bound is far away then, and targets with the newest weights will be there before it: what another
//! target may continue is sent whatever it takes. What no other may continue, and is not expected to end in time, keeps
//! all its time, as it would be cut else. It goes only to a target that begins it at once, by all that is known of it.
//!
//! Decisions depend only on what is passed in. They use no clock, network or thread.

use filbertstack_core::Millis;

use crate::units::millis_f64;

/// The part of the bound that must be left for targets with the newest weights to be there before it ends.
const EARLY_PART: f64 = 0.5;

/// How much longer than expected a request may take that no other target can continue. Callers' estimates are right in
/// the median, and 19 of 20 answers take no more than twice as long.
const LAST_MARGIN: f64 = 2.0;

/// How long after the limit that a target was told an entry waits for its answer. A target says that it refuses what
/// it has not begun; given up before that arrives, a request that may run once would count as one that may have run.
const REFUSAL_TIME: Millis = Millis(200);

/// The weights of a target that a newer version replaces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Replaced {
    /// The time by which the target must have begun a request.
    pub begin_by: Millis,
    /// The time for which an older version may begin requests after a newer one is named.
    pub bound: Millis,
}

/// What is known of the work that a request is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// The time left until the deadline of the request.
    pub time_left: Millis,
    /// The number of tokens that its caller expects in the answer, or the most that it takes; `None` if it names none.
    /// The length of such an answer is unknown, and it is not expected to end in time.
    pub answer: Option<u32>,
    /// For how long the answer has lasted at other targets.
    pub lasted: Millis,
    /// Whether another target may run the request again or continue it.
    pub movable: bool,
    /// Whether a target with the newest weights is there to do so.
    pub successor: bool,
}

/// What is expected of a request at a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Expected {
    /// The milliseconds until its answer is complete.
    pub ms: f64,
    /// Whether it begins at once: the target has free places and keeps nothing in a queue, by its last report.
    pub at_once: bool,
}

/// The time that a target is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The time limit that it is told.
    pub limit: Millis,
    /// How long the entry waits for it to begin; `None` if as long as the limit lasts.
    pub begin_within: Option<Millis>,
}

/// Returns the time that a target gets now for a request; `None` if the request may not be sent there.
pub fn grant(
    now: Millis,
    replaced: Option<Replaced>,
    work: Work,
    expected: Expected,
) -> Option<Grant> {
    let whole = Grant {
        limit: work.time_left,
        begin_within: None,
    };
    let Some(replaced) = replaced else {
        return Some(whole);
    };
    let left = replaced.begin_by.since(now);
    if work.time_left <= left {
        return Some(whole);
    }
    let early = millis_f64(left) >= millis_f64(replaced.bound) * EARLY_PART;
    let margin = if early || (work.movable && work.successor) {
        1.0
    } else {
        LAST_MARGIN
    };
    // An answer that has lasted for long is expected to last as long again.
    let expected_ms = expected.ms.max(millis_f64(work.lasted));
    if expected_ms * margin < millis_f64(left) || (early && work.movable) {
        return Some(Grant {
            limit: left,
            begin_within: Some(left + REFUSAL_TIME),
        });
    }
    (early && expected.at_once).then_some(Grant {
        begin_within: Some(left),
        ..whole
    })
}
