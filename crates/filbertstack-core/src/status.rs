//! Statuses of HTTP answers.

/// Returns whether an answer with this status ends its request. RFC 9110 has no status above 599, and those below 200
/// come before another answer; 101 follows a request to switch protocols, which is never passed on.
pub const fn is_final(status: u32) -> bool {
    matches!(status, 200..=599)
}
