//! Conversions between whole milliseconds, counts and the seconds that estimates are made in.

use std::time::Duration;

use filbertstack_core::Millis;

/// The span in seconds.
pub fn secs(span: Millis) -> f64 {
    Duration::from(span).as_secs_f64()
}

/// The seconds as a span; negative and undefined become zero, too long ones the longest.
pub fn millis(secs: f64) -> Millis {
    if secs.is_nan() || secs <= 0.0 {
        return Millis::ZERO;
    }
    Duration::try_from_secs_f64(secs).map_or(Millis(u64::MAX), Millis::from)
}

/// The length of a collection as a number to divide by.
pub fn len_f64(len: usize) -> f64 {
    f64::from(u32::try_from(len).unwrap_or(u32::MAX))
}
