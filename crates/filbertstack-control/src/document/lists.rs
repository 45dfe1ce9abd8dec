//! This module keeps the lists of pieces of the versions of each model.
//!
//! An origin keeps the lists of two versions only, and processes lose the lists that they remember when all
//! of them restart. The version that an engine holds can only be recognized by its list of pieces.

use std::collections::BTreeMap;

use bytes::Bytes;

use super::Weights;

/// The most bytes of digests kept for a model, enough for 16 versions of 128 pieces.
const MAX_DIGEST_BYTES: usize = 64 << 10;

/// How many lists are kept whatever their length, as many as the versions whose lists an origin keeps.
const MIN_LISTS: usize = 2;

/// The pieces of one version.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct KeptList {
    /// The version.
    #[prost(message, required, tag = "1")]
    pub weights: Weights,
    /// The size of a piece in bytes.
    #[prost(uint32, tag = "2")]
    pub bytes: u32,
    /// The SHA-256 digests of the pieces, 32 bytes each.
    #[prost(bytes = "bytes", tag = "3")]
    pub digests: Bytes,
}

/// The latest lists of each model.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Lists(BTreeMap<String, BTreeMap<u64, KeptList>>);

impl Lists {
    /// Keeps a list and replaces an earlier list of the same version, which may have arrived corrupt.
    /// Returns whether the list is new and kept.
    pub fn keep(&mut self, list: KeptList) -> bool {
        let kept = self.0.entry(list.weights.model.clone()).or_default();
        let version = list.weights.version;
        if kept.get(&version) == Some(&list) {
            return false;
        }
        kept.insert(version, list);
        while kept.len() > MIN_LISTS && digest_bytes(kept) > MAX_DIGEST_BYTES {
            kept.pop_first();
        }
        kept.contains_key(&version)
    }

    /// Returns the list of the latest version of the model of `upto` that is not later than `upto`.
    pub fn latest(&self, upto: &Weights) -> Option<&KeptList> {
        let kept = self.0.get(&upto.model)?;
        kept.range(..=upto.version)
            .next_back()
            .map(|(_, list)| list)
    }

    /// Returns all lists, those of one model in ascending order of their versions.
    pub fn iter(&self) -> impl Iterator<Item = &KeptList> {
        self.0.values().flat_map(BTreeMap::values)
    }
}

/// Returns the total size of the digests in bytes.
fn digest_bytes(kept: &BTreeMap<u64, KeptList>) -> usize {
    kept.values().map(|list| list.digests.len()).sum()
}

impl FromIterator<KeptList> for Lists {
    fn from_iter<I: IntoIterator<Item = KeptList>>(lists: I) -> Self {
        let mut kept = Self::default();
        for list in lists {
            kept.keep(list);
        }
        kept
    }
}
