//! This module estimates a target's pace from what this entry itself observes there.
//!
//! *Load pattern*: 15 in 100 targets are 2.5 times slower, drawn anew every 600 ms, and nothing in their
//! reports says so. A slow engine looks as free as the others by its reports. Without the estimate, its part
//! of the requests goes there, their first events are late, and callers with a short goal get their answers
//! too late while other engines have room.
//!
//! An observation is the ratio of a duration to what is usual: the time between two events of a stream to
//! that of a mean pass, the time to a first event to its prediction, the duration of a plain call to the mean
//! over all targets of the service. The estimate is the median of the last three observations, so that a
//! single slow event never excludes a target. It counts for half a second after the last of them. A single
//! slow observation only puts a target behind others that would also be in time: much of a slow spell is over before
//! the second one.
//!
//! If most targets seem slow, it is this entry or its link that is slow. The estimates are therefore divided by
//! the median over the targets that have been observed lately. A single observed target can't be compared and
//! is not slow.

use filbertstack_core::Millis;

use super::target::TargetId;

/// The time for which an estimate counts after the last observation: that of the shortest slow spells that can
/// be found at all. Without it, a target that gets no requests because it was slow would never get one again.
const FORGET_AFTER: Millis = Millis(500);

/// The estimate from which a target is slow. By ratio, it is as far from the usual pace as from one that is 2.5 times
/// slower. Prompts that the engine reads between two events vary both.
const SLOW_FROM: f64 = 1.6;

/// The estimate below which a slow target is at its usual pace again. With a single threshold, a target close
/// to it would change with every event.
pub(super) const USUAL_BELOW: f64 = 1.3;

/// The largest ratio that counts: even the longest goals allow no first event of an engine that is slower.
const MAX_RATIO: f64 = 8.0;

/// The largest factor by which a single slow observation counts against a target: that of a slow target, as a
/// pause of a target at its usual pace can be longer.
const MAX_SUSPECTED: f64 = 2.5;

/// A target that turned slow, or is at its usual pace again.
#[derive(Clone, Debug, PartialEq)]
pub struct PaceChange {
    /// The target.
    pub target: TargetId,
    /// The estimate of the factor by which it is slower than usual; 1 if nothing was observed lately.
    pub estimate: f64,
    /// Whether it is slow now.
    pub slow: bool,
}

/// The latest observations of one target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pace {
    /// The last three ratios to the usual duration, in the order in which they are replaced.
    ratios: [f64; 3],
    next: usize,
    /// The time of the last observation; `None` before the first one.
    observed_at: Option<Millis>,
    /// The estimate, compared with other targets, while the target is slow.
    slow: Option<f64>,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            ratios: [1.0; 3],
            next: 0,
            observed_at: None,
            slow: None,
        }
    }
}

impl Pace {
    /// Adds an observation: `took` milliseconds for what usually takes `usual`. Returns whether it counts: a
    /// pass yields an event of each running stream, and only the first of them says something new.
    pub(super) fn observe(&mut self, now: Millis, took: f64, usual: f64, distinct: Millis) -> bool {
        let since = self.observed_at.map(|at| now.since(at));
        if usual <= 0.0 || since.is_some_and(|since| since < distinct) {
            return false;
        }
        if !self.is_fresh(now) {
            *self = Self::default();
        }
        self.ratios[self.next] = (took / usual).min(MAX_RATIO);
        self.next = (self.next + 1) % self.ratios.len();
        self.observed_at = Some(now);
        true
    }

    /// Returns whether the target was observed lately.
    fn is_fresh(&self, now: Millis) -> bool {
        self.observed_at
            .is_some_and(|at| now.since(at) < FORGET_AFTER)
    }

    /// Returns the estimate before it is compared with other targets; `None` if nothing was observed lately.
    pub(super) fn estimate(&self, now: Millis) -> Option<f64> {
        let [a, b, c] = self.ratios;
        let median = a.min(b).max(a.max(b).min(c));
        self.is_fresh(now).then_some(median)
    }

    /// Decides whether the target is slow when `usual` is the estimate of most targets. Returns the estimate
    /// compared with it.
    pub(super) fn judge(&mut self, now: Millis, usual: f64) -> f64 {
        let estimate = self.estimate(now).unwrap_or(1.0) / usual.max(1.0);
        let threshold = match self.slow {
            Some(_) => USUAL_BELOW,
            None => SLOW_FROM,
        };
        self.slow = (estimate >= threshold).then_some(estimate);
        estimate
    }

    /// Returns whether the target may be slow, so that other targets must be compared.
    pub(super) fn seems_slow(&self, now: Millis) -> bool {
        self.estimate(now).is_some_and(|ratio| ratio >= USUAL_BELOW)
    }

    /// Returns the factor by which the target is slower than usual; 1 unless it is slow.
    pub(super) fn factor(&self, now: Millis) -> f64 {
        let slow = self.slow.filter(|_| self.is_fresh(now));
        slow.unwrap_or(1.0)
    }

    /// Returns the factor by which the target may be slower than usual, from its last observation alone: 1 unless
    /// that was slow.
    pub(super) fn suspected(&self, now: Millis) -> f64 {
        let last = self.ratios[(self.next + self.ratios.len() - 1) % self.ratios.len()];
        let is_slow = self.is_fresh(now) && last >= SLOW_FROM;
        if is_slow {
            last.min(MAX_SUSPECTED)
        } else {
            1.0
        }
    }

    /// Returns whether the target is slow.
    pub(super) fn is_slow(&self, now: Millis) -> bool {
        self.slow.is_some() && self.is_fresh(now)
    }
}

/// Returns the usual estimate, given those of the targets that were observed lately: their lower median, at
/// least 1.
pub(super) fn usual_estimate(mut estimates: Vec<f64>) -> f64 {
    let middle = estimates.len().saturating_sub(1) / 2;
    if estimates.is_empty() {
        return 1.0;
    }
    let (_, median, _) = estimates.select_nth_unstable_by(middle, f64::total_cmp);
    median.max(1.0)
}
