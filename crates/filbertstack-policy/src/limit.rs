//! Limits the requests that one entry keeps in flight at one target.
//!
//! *Load pattern*: several entries share an engine that batches continuously. They do not communicate with
//! each other, and the engine's load reports lag. Without a limit, an overload moves into the engines'
//! queues, where requests can be neither ordered fairly nor refused early, and every first token comes late.
//!
//! The limit uses additive increase and multiplicative decrease: entries that see the same queue converge to
//! equal shares from any starting point. The signal is the time to first token beyond that of an unloaded
//! target, because a full batch shows there first. By Little's law, the ratio of queued requests to all
//! requests at the target equals the ratio of the queueing delay to the whole time, so a cut by that ratio
//! removes the queue and leaves the batch.

use filbertstack_core::Millis;

use crate::units::secs;

/// The increase over one limit's worth of good answers after slow start. With eleven entries at one engine, a
/// round adds about three requests, a tenth of a batch of 32.
const INCREASE: f64 = 0.25;

/// The largest share that one cut removes. If all of eleven entries halved their limits at once, half of a
/// batch would stay empty for several rounds.
const MAX_CUT: f64 = 0.3;

/// The share that a failure removes. A target that fails may be gone, and half of the requests is enough to
/// find out.
const FAILURE_CUT: f64 = 0.5;

/// The initial limit at a target about which nothing is known. With two, a second request does not have
/// to wait for the first to show how the target performs.
pub const INITIAL_LIMIT: f64 = 2.0;

/// The measurement of an answer's first token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// The time at which the request was sent.
    pub sent: Millis,
    /// The time in the target's queue: the time to first token minus that of an unloaded target.
    pub queue_delay: Millis,
    /// The queueing delay that is accepted to keep the batch full.
    pub accepted_delay: Millis,
    /// The mean time from sending a request to the end of its answer.
    pub service_time: Millis,
    /// Whether the group's limits were fully used when the request was sent.
    pub full: bool,
}

/// The adaptive limit of one entry at one target.
#[derive(Clone, Debug)]
pub struct Limit {
    value: f64,
    ceiling: f64,
    slow_start: bool,
    last_cut: Option<Millis>,
}

impl Limit {
    /// Creates a limit that starts at `initial` and never exceeds `ceiling`.
    pub fn new(initial: f64, ceiling: f64) -> Self {
        let ceiling = ceiling.max(1.0);
        Self {
            value: initial.clamp(1.0, ceiling),
            ceiling,
            slow_start: true,
            last_cut: None,
        }
    }

    /// Returns the limit. It is at least one, so that a target can show that it has recovered.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Sets the highest value, such as the target's slots.
    pub fn set_ceiling(&mut self, ceiling: f64) {
        self.ceiling = ceiling.max(1.0);
        self.value = self.value.min(self.ceiling);
    }

    /// Restarts the limit at `initial` in slow start.
    pub fn restart(&mut self, initial: f64) {
        *self = Self::new(initial, self.ceiling);
    }

    /// Adjusts the limit to an answer's first token.
    pub fn observe(&mut self, now: Millis, sample: Sample) {
        if sample.queue_delay <= sample.accepted_delay {
            self.grow(sample.full);
            return;
        }
        let excess = secs(sample.queue_delay.since(sample.accepted_delay));
        let total = secs(sample.queue_delay + sample.service_time);
        self.shrink(now, sample.sent, (excess / total).min(MAX_CUT));
    }

    /// Reduces the limit after a failure of the request sent at `sent`.
    pub fn fail(&mut self, now: Millis, sent: Millis) {
        self.shrink(now, sent, FAILURE_CUT);
    }

    /// Increases the limit only if it was fully used. Otherwise idle hours would raise it to the ceiling, and
    /// the next burst would go straight into the engine's queue.
    fn grow(&mut self, full: bool) {
        if !full {
            return;
        }
        let step = if self.slow_start {
            1.0
        } else {
            INCREASE / self.value
        };
        self.value = (self.value + step).min(self.ceiling);
    }

    /// Cuts the limit at most once a round. Answers to requests sent before the last cut reflect the queue
    /// that this cut already reduces; counting them again would collapse the limit to one.
    fn shrink(&mut self, now: Millis, sent: Millis, share: f64) {
        if self.last_cut.is_some_and(|cut| sent <= cut) {
            return;
        }
        self.last_cut = Some(now);
        self.slow_start = false;
        self.value = (self.value * (1.0 - share)).max(1.0);
    }
}
