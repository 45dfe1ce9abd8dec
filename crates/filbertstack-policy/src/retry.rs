//! This module decides which requests may be retried and which may be hedged.
//!
//! *Load pattern*: targets are lost or refuse work, and everything in flight there fails at once. With
//! unlimited retries each failure adds load, and a partial outage becomes a full one that the retries
//! themselves sustain. A budget limits the load that retries and hedges add to a tenth of the requests.

use filbertstack_core::Millis;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::cost::Cost;
use crate::units::millis;
use crate::units::secs;

/// The part of an attempt that a request adds to the budget: retries and hedges add at most a tenth of
/// the load.
const EARNED_PER_REQUEST: f64 = 0.1;

/// The maximum balance of a budget: the work of an entry with a third of the requests of a 32-slot
/// engine, all of which fail at once.
const MAX_SAVED: f64 = 10.0;

/// The initial balance of a budget: an entry that has just started can retry only a few requests.
const INITIAL_SAVED: f64 = 3.0;

/// The maximum number of attempts of one request, including the first. When half of the targets are
/// lost at once, four attempts all meet lost ones for one request in thirty, three for one in ten.
pub const MAX_ATTEMPTS: u32 = 4;

/// The mean delay before the second retry; it doubles with each further one. The first retry goes to
/// another target at once.
const BACKOFF: Millis = Millis(50);

/// The reason why a request did not run at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRun {
    /// The target has no room.
    Full,
    /// The target takes no new work because it is leaving.
    Leaving,
    /// The target does not serve what was asked for.
    Absent,
    /// The request never left the entry because there is no link to the target.
    Unreachable,
}

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request certainly did not run.
    NotRun(NotRun),
    /// The request ran and the answer is complete.
    Ran {
        /// The tokens that the request used.
        cost: Cost,
    },
    /// It is unknown whether the request ran: the link was lost after it was sent.
    Unknown,
}

/// The decision after an attempt that brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request is retried after a delay.
    Retry {
        /// The delay before the retry.
        after: Millis,
    },
    /// The caller gets the outcome now.
    GiveUp,
}

/// The facts about a failed attempt that a decision depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// The outcome of the last attempt.
    pub outcome: Outcome,
    /// The number of attempts so far.
    pub attempts: u32,
    /// Whether the request may run twice.
    pub idempotent: bool,
    /// Whether bytes of an answer have already been sent to the caller.
    pub answered: bool,
    /// The time left until the deadline.
    pub time_left: Millis,
    /// The time that another attempt is expected to take.
    pub expected_time: Millis,
}

/// The budget of one entry's retries and hedges: a token bucket that first attempts fill.
#[derive(Clone, Debug)]
pub struct Budget {
    saved: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            saved: INITIAL_SAVED,
        }
    }
}

impl Budget {
    /// Counts a first attempt, which adds to the budget.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARNED_PER_REQUEST).min(MAX_SAVED);
    }

    /// Takes one attempt from the budget. Returns `false` if none is left.
    pub fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }

    /// Takes one attempt for a hedge, which leaves half of the budget to retries.
    pub fn spend_hedge(&mut self) -> bool {
        self.saved > MAX_SAVED / 2.0 && self.spend()
    }
}

/// Decides what follows a failed attempt. A retry is taken from the budget.
pub fn decide(budget: &mut Budget, rng: &mut ChaCha8Rng, attempted: &FailedAttempt) -> Decision {
    if !may_retry(attempted) || attempted.attempts >= MAX_ATTEMPTS {
        return Decision::GiveUp;
    }
    let after = backoff(rng, attempted.attempts);
    if after + attempted.expected_time > attempted.time_left || !budget.spend() {
        return Decision::GiveUp;
    }
    Decision::Retry { after }
}

/// Returns whether the request may be retried. A request with an unknown outcome may have run, so a
/// retry could run it twice. An answer that the caller has received in part cannot be restarted without
/// mixing two answers.
fn may_retry(attempted: &FailedAttempt) -> bool {
    match attempted.outcome {
        Outcome::NotRun(_) => true,
        Outcome::Ran { .. } => false,
        Outcome::Unknown => attempted.idempotent && !attempted.answered,
    }
}

fn backoff(rng: &mut ChaCha8Rng, attempts: u32) -> Millis {
    if attempts <= 1 {
        return Millis::ZERO;
    }
    let mean = secs(BACKOFF) * f64::from(1_u32 << (attempts - 2).min(6));
    millis(mean * rng.random_range(0.5..1.5))
}
