//! The catalogue assigns an index to each distinct chunk of all wanted versions.

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
    /// The number of positions in the manifest whose chunks are not held.
    pub(super) missing: usize,
}

/// Maps chunks to indices; a chunk that belongs to two versions has one index.
#[derive(Debug, Default)]
pub(super) struct Catalogue {
    versions: HashMap<Digest, WantedVersion>,
    indices: HashMap<Digest, ChunkIndex>,
    /// The locations of the chunk at each index, one for each position in a version that has the chunk.
    locations: Vec<Vec<ChunkLocation>>,
    free: Vec<ChunkIndex>,
}

impl Catalogue {
    /// Adds a version and returns it with its indices; `None` if the catalogue has it already.
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

    /// Removes a version and returns the indices that no other version uses.
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

    /// Releases `index` for another chunk.
    pub(super) fn release(&mut self, index: ChunkIndex) {
        self.free.push(index);
    }

    /// Returns the number of indices assigned so far, released ones included.
    pub(super) fn index_count(&self) -> usize {
        self.locations.len()
    }

    pub(super) fn index_of(&self, chunk: Digest) -> Option<ChunkIndex> {
        self.indices.get(&chunk).copied()
    }

    /// Returns where to fetch the chunk at `index`: in the version `root` if it has the chunk, else in any.
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

    /// Returns the versions that have the chunk, once for each position.
    pub(super) fn versions_of(&self, index: ChunkIndex) -> impl Iterator<Item = Digest> {
        let locations = self.locations.get(index as usize).into_iter().flatten();
        locations.map(|location| location.version)
    }

    pub(super) fn roots(&self) -> Vec<Digest> {
        self.versions.keys().copied().collect()
    }

    /// Recounts the missing chunks of a version; returns whether the version has just become complete.
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

    /// Records that a chunk was stored and returns the versions that are complete with it.
    pub(super) fn mark_stored(&mut self, index: ChunkIndex) -> Vec<Digest> {
        let roots: Vec<_> = self.versions_of(index).collect();
        let mut complete = Vec::new();
        for root in roots {
            // A version that has the chunk at two positions occurs twice, as it counted both as missing.
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
