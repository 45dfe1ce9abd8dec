//! The distinct chunks of all wanted versions, with an index each.

use std::collections::HashMap;
use std::sync::Arc;

use filbertstack_core::Digest;
use filbertstack_policy::spread::chunks::ChunkIndex;

use crate::manifest::ChunkLocation;
use crate::manifest::Manifest;

/// A version and the indices of its chunks, in the manifest's order.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) manifest: Arc<Manifest>,
    pub(super) indices: Vec<ChunkIndex>,
    /// The places whose chunks are not held.
    pub(super) missing: usize,
}

/// Maps chunks to indices; a chunk of two versions has one.
#[derive(Debug, Default)]
pub(super) struct Catalogue {
    versions: HashMap<Digest, Entry>,
    indices: HashMap<Digest, ChunkIndex>,
    /// The wants of each index, one for each version that has the chunk.
    wants: Vec<Vec<ChunkLocation>>,
    free: Vec<ChunkIndex>,
}

impl Catalogue {
    /// Adds a version; the indices of its chunks, or `None` if it is there already.
    pub(super) fn add(&mut self, manifest: Arc<Manifest>) -> Option<&Entry> {
        let root = manifest.root();
        if self.versions.contains_key(&root) {
            return None;
        }
        let wants: Vec<_> = manifest.locations().collect();
        let indices = wants.into_iter().map(|want| self.index(want)).collect();
        let missing = manifest.chunks().len();
        let entry = Entry {
            manifest,
            indices,
            missing,
        };
        Some(self.versions.entry(root).or_insert(entry))
    }

    fn index(&mut self, want: ChunkLocation) -> ChunkIndex {
        let digest = want.chunk.digest;
        if let Some(&index) = self.indices.get(&digest) {
            self.wants[index as usize].push(want);
            return index;
        }
        let index = self.free.pop().unwrap_or_else(|| {
            self.wants.push(Vec::new());
            ChunkIndex::try_from(self.wants.len() - 1).unwrap_or(ChunkIndex::MAX)
        });
        self.wants[index as usize].push(want);
        self.indices.insert(digest, index);
        index
    }

    /// Removes a version; the indices that no other version has.
    pub(super) fn remove(&mut self, root: Digest) -> Vec<ChunkIndex> {
        let Some(entry) = self.versions.remove(&root) else {
            return Vec::new();
        };
        let mut unused = Vec::new();
        for &index in &entry.indices {
            let wants = &mut self.wants[index as usize];
            let before = wants.len();
            wants.retain(|want| want.version != root);
            if wants.is_empty() && before > 0 {
                unused.push(index);
            }
        }
        for chunk in entry.manifest.chunks() {
            let index = self.indices.get(&chunk.digest);
            if index.is_some_and(|&index| self.wants[index as usize].is_empty()) {
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
    pub(super) fn len(&self) -> usize {
        self.wants.len()
    }

    pub(super) fn index_of(&self, chunk: Digest) -> Option<ChunkIndex> {
        self.indices.get(&chunk).copied()
    }

    /// What to fetch for an index, of the version `root` if it has the chunk.
    pub(super) fn want(&self, index: ChunkIndex, root: Option<Digest>) -> Option<&ChunkLocation> {
        let wants = self.wants.get(index as usize)?;
        let own = wants.iter().find(|want| Some(want.version) == root);
        own.or(wants.first())
    }

    pub(super) fn version(&self, root: Digest) -> Option<&Entry> {
        self.versions.get(&root)
    }

    /// The versions that have a chunk.
    pub(super) fn users(&self, index: ChunkIndex) -> impl Iterator<Item = Digest> {
        let wants = self.wants.get(index as usize).into_iter().flatten();
        wants.map(|want| want.version)
    }

    pub(super) fn roots(&self) -> Vec<Digest> {
        self.versions.keys().copied().collect()
    }

    /// Counts what a version lacks; whether that has become nothing.
    pub(super) fn recount(&mut self, root: Digest, held: impl Fn(ChunkIndex) -> bool) -> bool {
        let Some(entry) = self.versions.get_mut(&root) else {
            return false;
        };
        let missing = entry.indices.iter().filter(|index| !held(**index));
        let before = std::mem::replace(&mut entry.missing, missing.count());
        before > 0 && entry.missing == 0
    }

    /// Takes note that a chunk came; the versions that it made complete.
    pub(super) fn landed(&mut self, index: ChunkIndex) -> Vec<Digest> {
        let users: Vec<_> = self.users(index).collect();
        let mut complete = Vec::new();
        for root in users {
            // A version that has the chunk in two places is named twice.
            let Some(entry) = self.versions.get_mut(&root) else {
                continue;
            };
            entry.missing -= 1;
            if entry.missing == 0 {
                complete.push(root);
            }
        }
        complete
    }
}
