//! This module estimates how long an entry's calls take at one target of a plain service, which reports no load.
//!
//! *Load pattern*: the targets of a service stall for some seconds. By the mean of its calls, an entry refuses every
//! later one, as it would miss its goal, and no call could show that the targets are fast again. The mean therefore
//! counts for a limited time after the last call.

use filbertstack_core::Millis;

use crate::subset;
use crate::units::millis;
use crate::units::millis_f64;
use crate::units::secs;

/// The assumed duration of a call, in milliseconds, at a target about which nothing is known.
pub(super) const INITIAL_MS: f64 = 30.0;

/// The weight of the latest call in the mean: about ten calls make it up.
const WEIGHT: f64 = 0.1;

/// How long the mean counts after the last call, at a target that gets one call for each of its slots from the entries
/// that use it.
const TTL: Millis = Millis::secs(1);

/// The factor by which [`TTL`] grows at most with the number of entries. With it, a service that was slow is used again
/// within ten seconds, however many entries there are.
const MAX_TTL_FACTOR: f64 = 8.0;

/// The durations of one entry's calls at a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallTimes {
    mean_ms: f64,
    /// The time when the last call was answered.
    answered_at: Millis,
    /// Whether the last call is sent although it would be too slow by the mean.
    trial: bool,
}

impl Default for CallTimes {
    fn default() -> Self {
        Self {
            mean_ms: INITIAL_MS,
            answered_at: Millis::ZERO,
            trial: false,
        }
    }
}

impl CallTimes {
    /// Returns the mean duration in milliseconds.
    pub(super) fn mean_ms(&self) -> f64 {
        self.mean_ms
    }

    /// Records whether a call is to be sent although it would be too slow by the mean.
    pub(super) fn set_trial(&mut self, trial: bool) {
        self.trial = trial;
    }

    /// Records that a call was answered after `took`. One that shows an outdated mean to be too long replaces it.
    pub(super) fn record_answer(&mut self, now: Millis, took: Millis) {
        let took = millis_f64(took);
        let replaces = self.trial && took < self.mean_ms;
        let weight = if replaces { 1.0 } else { WEIGHT };
        self.mean_ms += (took - self.mean_ms) * weight;
        self.answered_at = now;
        self.trial = false;
    }

    /// Returns whether no call was answered, nor one sent since `last_sent`, for `ttl`.
    pub(super) fn is_outdated(&self, now: Millis, last_sent: Millis, ttl: Millis) -> bool {
        now.since(self.answered_at.max(last_sent)) >= ttl
    }
}

/// Returns how long a mean counts at the target `id`, to which the entries that use it send `crowding` calls for each
/// of its slots if each sends one. It varies by half, as calls of many entries that try a target at the same moment
/// would make it slow.
pub(super) fn ttl(crowding: f64, id: &str, last_sent: Millis) -> Millis {
    let seed = subset::mix(subset::hash(id) ^ last_sent.0);
    let jitter = 0.75 + f64::from(u8::try_from(seed & 0xff).unwrap_or(0)) / 512.0;
    millis(secs(TTL) * crowding.clamp(1.0, MAX_TTL_FACTOR) * jitter)
}
