//! The distinct chunks of all wanted versions, with an index each.

use std::collections::HashMap;
use std::sync::Arc;

use filbertstack_core::Digest;
use filbertstack_policy::spread::chunks::ChunkIndex;

use crate::manifest::ChunkLocation;
use crate::manifest::Manifest;

/// A version and the indices of its chunks, in the manifest's order.
#[derive(Debug)]
pub(super) struct WantedVersion {
    pub(super) manifest: Arc<Manifest>,
    pub(super) indices: Vec<ChunkIndex>,
    /// The places whose chunks are not held.
    pub(super) missing: usize,
}

/// Maps chunks to indices; a chunk of two versions has one.
#[derive(Debug, Default)]
pub(super) struct Catalogue {
    versions: HashMap<Digest, WantedVersion>,
    indices: HashMap<Digest, ChunkIndex>,
    /// The wants of each index, one for each version that has the chunk.
    locations: Vec<Vec<ChunkLocation>>,
    free: Vec<ChunkIndex>,
}

impl Catalogue {
    /// Adds a version; the indices of its chunks, or `None` if it is there already.
    pub(super) fn add(&mut self, manifest: Arc<Manifest>) -> Option<&WantedVersion> {
        let root = manifest.root();
        if self.versions.contains_key(&root) {
            return None;
        }
        let locations: Vec<_> = manifest.locations().collect();
        let indices = locations
            .into_iter()
            .map(|location| self.assign_index(location))
            .collect();
        let missing = manifest.chunks().len();
        let version = WantedVersion {
            manifest,
            indices,
            missing,
        };
        Some(self.versions.entry(root).or_insert(version))
    }

    fn assign_index(&mut self, location: ChunkLocation) -> ChunkIndex {
        let digest = location.chunk.digest;
        if let Some(&index) = self.indices.get(&digest) {
            self.locations[index as usize].push(location);
            return index;
        }
        let index = self.free.pop().unwrap_or_else(|| {
            self.locations.push(Vec::new());
            ChunkIndex::try_from(self.locations.len() - 1).unwrap_or(ChunkIndex::MAX)
        });
        self.locations[index as usize].push(location);
        self.indices.insert(digest, index);
        index
    }

    /// Removes a version; the indices that no other version has.
    pub(super) fn remove(&mut self, root: Digest) -> Vec<ChunkIndex> {
        let Some(version) = self.versions.remove(&root) else {
            return Vec::new();
        };
        let mut unused = Vec::new();
        for &index in &version.indices {
            let locations = &mut self.locations[index as usize];
            let before = locations.len();
            locations.retain(|location| location.version != root);
            if locations.is_empty() && before > 0 {
                unused.push(index);
            }
        }
        for chunk in version.manifest.chunks() {
            let index = self.indices.get(&chunk.digest);
            if index.is_some_and(|&index| self.locations[index as usize].is_empty()) {
                self.indices.remove(&chunk.digest);
            }
        }
        unused
    }

    /// Lets `index` name another chunk.
    pub(super) fn release(&mut self, index: ChunkIndex) {
        self.free.push(index);
    }

    /// The bound of the indices.
    pub(super) fn index_count(&self) -> usize {
        self.locations.len()
    }

    pub(super) fn index_of(&self, chunk: Digest) -> Option<ChunkIndex> {
        self.indices.get(&chunk).copied()
    }

    /// What to fetch for an index, of the version `root` if it has the chunk.
    pub(super) fn location(
        &self,
        index: ChunkIndex,
        root: Option<Digest>,
    ) -> Option<&ChunkLocation> {
        let locations = self.locations.get(index as usize)?;
        let own = locations
            .iter()
            .find(|location| Some(location.version) == root);
        own.or(locations.first())
    }

    pub(super) fn version(&self, root: Digest) -> Option<&WantedVersion> {
        self.versions.get(&root)
    }

    /// The versions that have a chunk.
    pub(super) fn versions_of(&self, index: ChunkIndex) -> impl Iterator<Item = Digest> {
        let locations = self.locations.get(index as usize).into_iter().flatten();
        locations.map(|location| location.version)
    }

    pub(super) fn roots(&self) -> Vec<Digest> {
        self.versions.keys().copied().collect()
    }

    /// Counts what a version lacks; whether that has become nothing.
    pub(super) fn update_missing(
        &mut self,
        root: Digest,
        held: impl Fn(ChunkIndex) -> bool,
    ) -> bool {
        let Some(version) = self.versions.get_mut(&root) else {
            return false;
        };
        let missing = version.indices.iter().filter(|index| !held(**index));
        let before = std::mem::replace(&mut version.missing, missing.count());
        before > 0 && version.missing == 0
    }

    /// Takes note that a chunk came; the versions that it made complete.
    pub(super) fn mark_stored(&mut self, index: ChunkIndex) -> Vec<Digest> {
        let roots: Vec<_> = self.versions_of(index).collect();
        let mut complete = Vec::new();
        for root in roots {
            // A version that has the chunk in two places is named twice.
            let Some(version) = self.versions.get_mut(&root) else {
                continue;
            };
            version.missing -= 1;
            if version.missing == 0 {
                complete.push(root);
            }
        }
        complete
    }
}
