//! The monotonic clock of a process, in whole milliseconds.

use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use filbertstack_core::Millis;

/// The reading at the start of the process. It is above zero so that moments before the start can be
/// expressed.
const START: Millis = Millis::secs(3_600);

/// The monotonic clock of one process.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Default for Clock {
    fn default() -> Self {
        Self(Instant::now())
    }
}

impl Clock {
    /// Returns the time now, counted from an arbitrary start.
    pub fn now(self) -> Millis {
        START + Millis::from(self.0.elapsed())
    }
}

/// Returns the time of day in milliseconds. A process reads it once, as the start time in its own
/// registry rows, which orders the starts of that process only. After a step of the clock backwards,
/// new rows are ignored until the old row expires.
pub fn unix_millis() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(now.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
