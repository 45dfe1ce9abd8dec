//! The identity of a request by its content, which all repeats of the request share.

use std::fmt;

/// The length of a [`RequestDigest`] in bytes.
pub const REQUEST_DIGEST_LEN: usize = 16;

/// A hash of what a caller repeats when it sends the same request again. The ids that a caller draws
/// for each attempt are no part of it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestDigest([u8; REQUEST_DIGEST_LEN]);

impl RequestDigest {
    /// Computes the digest of a request for `path` with `body` from a caller of `organisation`.
    pub fn of(path: &str, organisation: Option<&str>, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [path, organisation.unwrap_or_default()] {
            // The length keeps the end of one part apart from the start of the next.
            hasher.update(&part.len().to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(body);
        let mut digest = [0; REQUEST_DIGEST_LEN];
        hasher.finalize_xof().fill(&mut digest);
        Self(digest)
    }

    /// Creates a digest from its raw bytes; returns `None` unless there are exactly
    /// [`REQUEST_DIGEST_LEN`] of them.
    pub fn from_slice(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// Returns the raw bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

impl fmt::Debug for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
