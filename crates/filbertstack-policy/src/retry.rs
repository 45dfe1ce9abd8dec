//! What may be tried again, and what may be tried twice at once.
//!
//! *Load pattern*: targets are lost or refuse, and everything in flight there fails at once. With
//! free retries each failure makes new load, and a partial outage becomes a full one that the
//! retries themselves keep up. A budget bounds what retries and hedges add to a tenth of the
//! requests.

use filbertstack_core::Millis;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::cost::Cost;
use crate::units::millis;
use crate::units::secs;

/// What a request earns for the budget: retries and hedges add at most a tenth of the load.
const EARNED: f64 = 0.1;

/// The most that a budget saves up: the work that one engine of 32 slots may lose to an entry
/// that has a third of it.
const SAVED: f64 = 10.0;

/// What a budget begins with: an entry just started can repeat a few requests, no more.
const BEGINS: f64 = 3.0;

/// The attempts of one request, the first included. With half of the targets lost at once, four
/// attempts all meet lost ones for one request in thirty, three for one in ten.
pub const MAX_ATTEMPTS: u32 = 4;

/// The mean wait before a second retry; each further one doubles it. The first goes to another
/// target and has nothing to wait for.
const BACKOFF: Millis = Millis(50);

/// Why a request did not run at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRun {
    /// The target has no room.
    Full,
    /// The target takes no new work, as it leaves.
    Leaving,
    /// The target does not serve what was asked for.
    Absent,
    /// The request never left the entry: no link to the target.
    Unreachable,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request certainly did not run.
    NotRun(NotRun),
    /// It ran and the answer is whole.
    Ran {
        /// The tokens that it took.
        cost: Cost,
    },
    /// Whether it ran cannot be known: the link was lost after it was sent.
    Unknown,
}

/// What is decided after an attempt that brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Try again, not before this span has passed.
    Retry {
        /// The wait.
        after: Millis,
    },
    /// Give the caller the outcome now.
    GiveUp,
}

/// What a decision rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// How the last attempt ended.
    pub outcome: Outcome,
    /// The attempts so far.
    pub attempts: u32,
    /// Whether the request may run twice.
    pub idempotent: bool,
    /// Whether bytes of an answer have already gone to the caller.
    pub answered: bool,
    /// The time left to the deadline.
    pub time_left: Millis,
    /// The time that another attempt is expected to take.
    pub expected_time: Millis,
}

/// The budget of one entry's retries and hedges: a token bucket filled by first attempts.
#[derive(Clone, Debug)]
pub struct Budget {
    saved: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { saved: BEGINS }
    }
}

impl Budget {
    /// Counts a first attempt.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARNED).min(SAVED);
    }

    /// Takes one attempt from the budget; `false` if there is none left.
    pub fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }

    /// Takes one attempt for a hedge, which leaves half of the budget to retries.
    pub fn spend_hedge(&mut self) -> bool {
        self.saved > SAVED / 2.0 && self.spend()
    }
}

/// Decides after an attempt, and takes from the budget if it is to be repeated.
pub fn decide(budget: &mut Budget, rng: &mut ChaCha8Rng, attempted: &FailedAttempt) -> Decision {
    if !may_repeat(attempted) || attempted.attempts >= MAX_ATTEMPTS {
        return Decision::GiveUp;
    }
    let after = backoff(rng, attempted.attempts);
    if after + attempted.expected_time > attempted.time_left || !budget.spend() {
        return Decision::GiveUp;
    }
    Decision::Retry { after }
}

/// A request of unknown outcome may have run: repeating it could run it twice. An answer of which
/// the caller holds a part cannot be begun again without mixing two answers.
fn may_repeat(attempted: &FailedAttempt) -> bool {
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
