//! This module reads the creation time that is part of some idempotency keys.

/// Returns when the key was made, in Unix milliseconds, if it is a UUID of version 7, and `None` for any
/// other key.
///
/// Every reader gets the same time from the same key. This lets the state forget a key and still refuse
/// it later.
///
/// ```
/// use filbertstack_control::key::key_time;
///
/// assert_eq!(key_time("018bcfe5-6800-7abc-8def-0123456789ab"), Some(1_700_000_000_000));
/// assert_eq!(key_time("van-slot-17"), None);
/// ```
pub fn key_time(key: &str) -> Option<u64> {
    let dashes = [8, 13, 18, 23];
    let has_uuid_form = key.len() == 36
        && key.bytes().enumerate().all(|(i, byte)| {
            if dashes.contains(&i) {
                byte == b'-'
            } else {
                byte.is_ascii_hexdigit()
            }
        });
    if !has_uuid_form || key.as_bytes()[14] != b'7' {
        return None;
    }
    let has_rfc_variant = matches!(key.as_bytes()[19], b'8' | b'9' | b'a' | b'b' | b'A' | b'B');
    let digits = format!("{}{}", &key[..8], &key[9..13]);
    has_rfc_variant.then(|| u64::from_str_radix(&digits, 16).ok())?
}
