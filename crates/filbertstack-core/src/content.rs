//! The identity of what requests hold: of a whole request, which all its repeats share, and of a part of its
//! prompt, which other requests may share.

use std::fmt;

/// The length of a [`ContentDigest`] in bytes.
pub const CONTENT_DIGEST_LEN: usize = 16;

/// Starts the hash of a part of a prompt. A request begins with the length of its path, which is shorter.
const PART_MARK: [u8; 8] = [0xff; 8];

/// A hash of what a caller repeats when it sends the same request, or the same part of a prompt, again. The
/// ids that a caller draws for each attempt are no part of it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ContentDigest([u8; CONTENT_DIGEST_LEN]);

impl ContentDigest {
    /// Computes the digest of a request for `path` with `body` from a caller of `organisation`.
    pub fn of_request(path: &str, organisation: Option<&str>, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [path, organisation.unwrap_or_default()] {
            // The length keeps the end of one part apart from the start of the next.
            hasher.update(&part.len().to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(body);
        Self::finish(&hasher)
    }

    /// Computes the digest of the part of a prompt with this id.
    pub fn of_part(id: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&PART_MARK);
        hasher.update(id.as_bytes());
        Self::finish(&hasher)
    }

    fn finish(hasher: &blake3::Hasher) -> Self {
        let mut digest = [0; CONTENT_DIGEST_LEN];
        hasher.finalize_xof().fill(&mut digest);
        Self(digest)
    }

    /// Creates a digest from its raw bytes; returns `None` unless there are exactly
    /// [`CONTENT_DIGEST_LEN`] of them.
    pub fn from_slice(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// Returns the raw bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Display for ContentDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

impl fmt::Debug for ContentDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
