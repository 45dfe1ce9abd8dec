//! A token bucket of bytes: how long a sender waits before its next piece.

use std::time::Duration;

const NANOS: u128 = 1_000_000_000;

/// Bytes that flow in at a constant rate up to a burst. Takers are served in the order in which
/// they ask; each is told how long to wait, so that all of them together keep to the rate.
#[derive(Clone, Debug)]
pub struct Bucket {
    rate: u64,
    burst: u64,
    /// When the bucket would be full if nobody took any more.
    full_at: Duration,
}

impl Bucket {
    /// A full bucket; `rate` is in bytes a second, at least 1.
    pub fn new(rate: u64, burst: u64) -> Self {
        Self {
            rate: rate.max(1),
            burst,
            full_at: Duration::ZERO,
        }
    }

    /// Takes `bytes` at `now`, the time since the bucket was made; gives the time to wait before
    /// they may be sent.
    pub fn take(&mut self, now: Duration, bytes: u64) -> Duration {
        self.full_at = self.full_at.max(now) + self.span(bytes);
        let empty_at = self.full_at.saturating_sub(self.span(self.burst));
        empty_at.saturating_sub(now)
    }

    /// The time in which `bytes` flow in.
    fn span(&self, bytes: u64) -> Duration {
        let nanos = u128::from(bytes) * NANOS / u128::from(self.rate);
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }
}
