//! Conversions of milliseconds and lengths to the floating-point numbers that estimates use, and back.

use std::time::Duration;

use filbertstack_core::Millis;

/// Returns the span in seconds.
pub fn secs(span: Millis) -> f64 {
    Duration::from(span).as_secs_f64()
}

/// Returns the seconds as a span. Negative and undefined values become zero, and values that are too large
/// become the longest span.
pub fn millis(secs: f64) -> Millis {
    if secs.is_nan() || secs <= 0.0 {
        return Millis::ZERO;
    }
    Duration::try_from_secs_f64(secs).map_or(Millis(u64::MAX), Millis::from)
}

/// Returns the span in milliseconds.
pub fn millis_f64(span: Millis) -> f64 {
    u32::try_from(span.0).map_or(f64::MAX, f64::from)
}

/// Returns the length of a collection as a floating-point number.
pub fn len_f64(len: usize) -> f64 {
    f64::from(u32::try_from(len).unwrap_or(u32::MAX))
}
