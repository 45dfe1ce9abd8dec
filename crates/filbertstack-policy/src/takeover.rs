//! This module says when another target takes over an answer that has begun, and when the first target is let
//! go.
//!
//! *Load pattern*: new weights are rolled out under full load. Engines stop taking work one after the other, and
//! an engine that reads many prompts at once, or whose link is narrow, is silent for a while. An entry that lets
//! go of a target before another has taken over has nothing left when the other turns the stream away, loads as
//! well, or no attempt or repeated send is left: the caller's connection closes in the middle of an answer that
//! its target would have finished.
//!
//! The first target therefore keeps the answer until another has sent the next event. Neither silence nor planned
//! work ends an answer: if nobody takes it over, the caller waits for the first target until the time limit of
//! the request. An engine that is to load finishes what it runs, and each entry moves away those of its streams
//! that another engine can continue, so that the engine is out of service for no longer than it takes.
//!
//! Decisions depend only on what is passed in. They use no clock, network or thread.

use filbertstack_core::Millis;

/// How many of the route's pauses a stream may be silent before another target is asked. Callers disconnect
/// after eight; an engine that reads many prompts at once is silent for two.
const SILENT_PAUSES: u64 = 4;

/// How many of the route's pauses a stream may be silent if its target is silent to all requests: it is frozen
/// or partitioned.
const UNREACHABLE_PAUSES: u64 = 2;

/// How long an engine that is to load may finish a stream before the stream is moved. Three of four end within
/// it.
const FINISH_TIME: Millis = Millis(700);

/// How long events of the first target are held back for the target that takes over. The caller notices a
/// longer pause, and the first target gives the answer then.
const MAX_HOLD: Millis = Millis(1_000);

/// What an entry observes of an answer that a target gives.
#[derive(Clone, Copy, Debug)]
pub struct Observed {
    /// The time since the last bytes.
    pub silence: Millis,
    /// The longest pause between two events that the route declares.
    pub pause: Millis,
    /// Whether the target is silent to all requests, or unknown.
    pub unreachable: bool,
    /// How long the target has been known to load other weights.
    pub loading: Option<Millis>,
}

/// Why another target is asked to take over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The first target is silent.
    Silent,
    /// The first target is to load other weights.
    Loading,
}

impl Reason {
    /// Returns its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::Loading => "loading",
        }
    }
}

/// Returns why another target should be asked to take over; `None` if the first should go on.
pub fn find_reason(observed: &Observed) -> Option<Reason> {
    let pauses = if observed.unreachable {
        UNREACHABLE_PAUSES
    } else {
        SILENT_PAUSES
    };
    if observed.silence >= Millis(observed.pause.0 * pauses) {
        return Some(Reason::Silent);
    }
    let is_due = observed.loading.is_some_and(|span| span >= FINISH_TIME);
    is_due.then_some(Reason::Loading)
}

/// Returns the shortest silence after which [`find_reason`] may name it.
pub fn min_silence(pause: Millis) -> Millis {
    Millis(pause.0 * UNREACHABLE_PAUSES)
}

/// Returns whether an event of the first target is held back, `elapsed` after another was asked to continue
/// before that event. What is held back never reaches the caller if the other takes over, as it sends the same
/// events.
///
/// A target that was silent and sends again is not held back: it is sooner than one that has yet to read the
/// prompt.
pub fn is_held_back(reason: Reason, elapsed: Millis) -> bool {
    reason == Reason::Loading && elapsed < MAX_HOLD
}
