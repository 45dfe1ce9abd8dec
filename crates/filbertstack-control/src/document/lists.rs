//! The lists of the pieces of a model's versions.
//!
//! An origin keeps the lists of two versions, and what processes remember of others is gone when all of
//! them start again. Only with its list does anybody recognize the version that lies at an engine.

use std::collections::BTreeMap;

use bytes::Bytes;

use super::Weights;

/// The most bytes of digests that are kept for a model: 16 versions of 128 pieces.
const LONGEST: usize = 64 << 10;

/// How many lists are kept whatever their length: those of the versions that an origin keeps.
const LEAST: usize = 2;

/// The pieces of one version.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct List {
    /// The version.
    #[prost(message, required, tag = "1")]
    pub weights: Weights,
    /// Bytes of a piece.
    #[prost(uint32, tag = "2")]
    pub bytes: u32,
    /// The SHA-256 of each piece, 32 bytes each.
    #[prost(bytes = "bytes", tag = "3")]
    pub digests: Bytes,
}

/// The latest lists of each model.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Lists(BTreeMap<String, BTreeMap<u64, List>>);

impl Lists {
    /// Keeps a list in place of an earlier one of its version, which may have come spoilt. Tells whether
    /// anything has changed.
    pub fn keep(&mut self, list: List) -> bool {
        let kept = self.0.entry(list.weights.model.clone()).or_default();
        let version = list.weights.version;
        if kept.get(&version) == Some(&list) {
            return false;
        }
        kept.insert(version, list);
        while kept.len() > LEAST && bytes(kept) > LONGEST {
            kept.pop_first();
        }
        kept.contains_key(&version)
    }

    /// The list of the latest version of `upto`'s model that is no later than `upto`.
    pub fn latest(&self, upto: &Weights) -> Option<&List> {
        let kept = self.0.get(&upto.model)?;
        kept.range(..=upto.version)
            .next_back()
            .map(|(_, list)| list)
    }

    /// All lists, those of one model in the order of their versions.
    pub fn iter(&self) -> impl Iterator<Item = &List> {
        self.0.values().flat_map(BTreeMap::values)
    }
}

fn bytes(kept: &BTreeMap<u64, List>) -> usize {
    kept.values().map(|list| list.digests.len()).sum()
}

impl FromIterator<List> for Lists {
    fn from_iter<I: IntoIterator<Item = List>>(lists: I) -> Self {
        let mut kept = Self::default();
        for list in lists {
            kept.keep(list);
        }
        kept
    }
}
