//! A digest is the BLAKE3 hash that identifies a chunk or a version of weights.

use std::fmt;
use std::str::FromStr;

use crate::error::ValueError;

/// The length of a digest in bytes.
pub const DIGEST_LEN: usize = 32;

/// A BLAKE3 hash.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest([u8; DIGEST_LEN]);

impl Digest {
    /// Computes the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }

    /// Creates a digest from its raw bytes; returns `None` unless there are exactly [`DIGEST_LEN`] of them.
    pub fn from_slice(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// Returns the raw bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Returns the raw bytes as a vector, the form that messages carry.
    pub fn to_vec(self) -> Vec<u8> {
        self.0.to_vec()
    }
}

impl FromStr for Digest {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self, ValueError> {
        let hash = blake3::Hash::from_hex(text).map_err(|_| ValueError::Digest {
            text: text.chars().take(80).collect(),
        })?;
        Ok(Self(*hash.as_bytes()))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from(self.0).to_hex())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from(self.0).to_hex()[..12])
    }
}

impl serde::Serialize for Digest {
    fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl<'de> serde::Deserialize<'de> for Digest {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let text = String::deserialize(d)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
