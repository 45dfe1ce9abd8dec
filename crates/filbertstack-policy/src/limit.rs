//! How much one entry keeps in flight at one target.
//!
//! *Load pattern*: several entries share an engine that batches continuously. They do not talk
//! to each other, and the engine's load reports lag. Without a limit an overload moves into the
//! engines' queues, where it can neither be ordered fairly nor refused early, and every first
//! token comes late.
//!
//! Additive increase, multiplicative decrease: entries that see the same queue converge to equal
//! shares whatever they start from. The signal is the time to the first token beyond what an
//! unloaded target takes, because that is where a full batch shows first. By Little's law the
//! requests in a queue are to all at the target as the time in the queue is to the whole time,
//! so a cut by that ratio takes away the queue and leaves the batch.

use filbertstack_core::Millis;

use crate::units::secs;

/// What is added for a whole limit's worth of good answers, after the start. With eleven entries
/// at one engine, a round then adds about three requests, a tenth of a batch of 32.
const INCREASE: f64 = 0.25;

/// The most that one cut takes away. A halving by all of eleven entries at once would leave half
/// of a batch empty for several rounds.
const MAX_CUT: f64 = 0.3;

/// What a failure takes away: a target that fails may be gone, and half of the work risked there
/// is enough to find out.
const FAILURE_CUT: f64 = 0.5;

/// A limit without any knowledge of the target: two, so that a second request need not wait for
/// the first to tell how the target fares.
pub const INITIAL_LIMIT: f64 = 2.0;

/// How an answer's first token came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// When the request was sent.
    pub sent: Millis,
    /// The time in the target's queue: to the first token, less an unloaded target's time.
    pub queue_delay: Millis,
    /// The queueing that is accepted for the sake of a full batch.
    pub accepted_delay: Millis,
    /// The mean time from sending to the end of an answer.
    pub service_time: Millis,
    /// Whether the limit was all used when the request was sent.
    pub full: bool,
}

/// The adaptive limit of one target as one entry sees it.
#[derive(Clone, Debug)]
pub struct Limit {
    value: f64,
    ceiling: f64,
    slow_start: bool,
    last_cut: Option<Millis>,
}

impl Limit {
    /// A limit that begins at `initial` and never exceeds `ceiling`.
    pub fn new(initial: f64, ceiling: f64) -> Self {
        let ceiling = ceiling.max(1.0);
        Self {
            value: initial.clamp(1.0, ceiling),
            ceiling,
            slow_start: true,
            last_cut: None,
        }
    }

    /// The limit: at least one, so that a target can show that it is well again.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Sets the highest value, such as the target's slots.
    pub fn set_ceiling(&mut self, ceiling: f64) {
        self.ceiling = ceiling.max(1.0);
        self.value = self.value.min(self.ceiling);
    }

    /// Begins again at `initial`, with fast growth.
    pub fn restart(&mut self, initial: f64) {
        *self = Self::new(initial, self.ceiling);
    }

    /// Learns from an answer's first token.
    pub fn observe(&mut self, now: Millis, sample: Sample) {
        if sample.queue_delay <= sample.accepted_delay {
            self.grow(sample.full);
            return;
        }
        let excess = secs(sample.queue_delay.since(sample.accepted_delay));
        let total = secs(sample.queue_delay + sample.service_time);
        self.shrink(now, sample.sent, (excess / total).min(MAX_CUT));
    }

    /// Learns that the request sent at `sent` failed.
    pub fn fail(&mut self, now: Millis, sent: Millis) {
        self.shrink(now, sent, FAILURE_CUT);
    }

    /// Only a limit that was used grows: otherwise idle hours would raise it to the ceiling, and
    /// the next burst would all land in the engine's queue.
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

    /// One cut a round: answers to requests sent before the last cut tell of the queue that this
    /// cut already answers, and counting them again would collapse the limit to one.
    fn shrink(&mut self, now: Millis, sent: Millis, share: f64) {
        if self.last_cut.is_some_and(|cut| sent <= cut) {
            return;
        }
        self.last_cut = Some(now);
        self.slow_start = false;
        self.value = (self.value * (1.0 - share)).max(1.0);
    }
}
