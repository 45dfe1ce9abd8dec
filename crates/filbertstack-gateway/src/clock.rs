//! The steady clock, as the decisions want it: whole milliseconds.

use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use filbertstack_core::Millis;

/// Where the clock starts, so that a moment long before the process began can be written down.
const EPOCH: Millis = Millis::secs(3_600);

/// The steady clock of one process.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Default for Clock {
    fn default() -> Self {
        Self(Instant::now())
    }
}

impl Clock {
    /// The time now, from an arbitrary start.
    pub fn now(self) -> Millis {
        EPOCH + Millis::from(self.0.elapsed())
    }
}

/// The time of day, used once, as the birth of a process's own rows. It orders a process's starts
/// among themselves only; a step of the clock backwards delays them until their old row expires.
pub fn unix_millis() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(now.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
