//! This module measures the rate of events as an exponentially weighted mean.

use filbertstack_core::Millis;

use crate::units::millis_f64;

/// The time constant of the mean, in milliseconds. A burst shows within it, and an entry of few callers still
/// counts some requests of each rank.
const WINDOW_MS: f64 = 2_000.0;

/// The least observed part of the window for which the rate is corrected: with less, a single event would count as
/// a burst.
const MIN_WEIGHT: f64 = 0.1;

/// The rate of events that are counted one by one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    per_ms: f64,
    last: Millis,
    /// The part of the mean's weight that has been observed.
    weight: f64,
}

impl Rate {
    /// Counts an event.
    pub fn count(&mut self, now: Millis) {
        let decay = self.decay(now);
        self.per_ms = self.per_ms * decay + 1.0 / WINDOW_MS;
        self.weight = self.weight * decay + 1.0 - decay;
        self.last = now;
    }

    /// Returns the mean number of events per millisecond. It is corrected for the time before the first event,
    /// of which nothing is known.
    pub fn per_ms(&self, now: Millis) -> f64 {
        let decay = self.decay(now);
        let weight = self.weight * decay + 1.0 - decay;
        self.per_ms * decay / weight.max(MIN_WEIGHT)
    }

    /// Returns the mean number of events per millisecond at the time of the last event.
    pub fn per_ms_at_last(&self) -> f64 {
        self.per_ms / self.weight.max(MIN_WEIGHT)
    }

    fn decay(&self, now: Millis) -> f64 {
        (-millis_f64(now.since(self.last)) / WINDOW_MS).exp()
    }
}
