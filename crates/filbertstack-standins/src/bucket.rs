//! A token bucket that limits the rate of sent bytes.

use std::time::Duration;

const NANOS_PER_SECOND: u128 = 1_000_000_000;

/// A token bucket whose tokens are bytes: it refills at a constant rate up to a burst. Senders take bytes in
/// the order of their calls; each gets a waiting time such that all of them together keep to the rate.
#[derive(Clone, Debug)]
pub struct Bucket {
    rate: u64,
    burst: u64,
    /// The time at which the bucket is full if no sender takes any more bytes.
    full_at: Duration,
}

impl Bucket {
    /// Creates a full bucket; `rate` is in bytes a second, at least 1.
    pub fn new(rate: u64, burst: u64) -> Self {
        Self {
            rate: rate.max(1),
            burst,
            full_at: Duration::ZERO,
        }
    }

    /// Takes `bytes` at `now`, the time since the bucket was created; returns the time to wait before
    /// they may be sent.
    pub fn take(&mut self, now: Duration, bytes: u64) -> Duration {
        self.full_at = self.full_at.max(now) + self.refill_time(bytes);
        let empty_at = self.full_at.saturating_sub(self.refill_time(self.burst));
        empty_at.saturating_sub(now)
    }

    /// Returns the time in which the bucket refills by `bytes`.
    fn refill_time(&self, bytes: u64) -> Duration {
        let nanos = u128::from(bytes) * NANOS_PER_SECOND / u128::from(self.rate);
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }
}
