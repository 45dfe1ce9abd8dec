//! The index of the store: the held chunks in the order of their use and the pinned chunks, without
//! their bytes.

use std::collections::BTreeMap;
use std::collections::HashMap;

use filbertstack_core::Digest;

use crate::manifest::Chunk;
use crate::store::StoreError;
use crate::store::Usage;

/// The index of a store, which decides on eviction.
#[derive(Debug)]
pub(super) struct StoreIndex {
    held: HashMap<Digest, HeldChunk>,
    /// The held chunks by their last use, the least recently used first.
    by_last_use: BTreeMap<u64, Digest>,
    pins: HashMap<Digest, PinnedChunk>,
    clock: u64,
    usage: Usage,
}

#[derive(Clone, Copy, Debug)]
struct HeldChunk {
    size: u32,
    last_use: u64,
}

#[derive(Clone, Copy, Debug)]
struct PinnedChunk {
    size: u32,
    count: u32,
}

impl StoreIndex {
    pub(super) fn new(limit: u64) -> Self {
        Self {
            held: HashMap::new(),
            by_last_use: BTreeMap::new(),
            pins: HashMap::new(),
            clock: 0,
            usage: Usage {
                limit,
                ..Usage::default()
            },
        }
    }

    pub(super) fn usage(&self) -> Usage {
        Usage {
            chunks: self.held.len(),
            ..self.usage
        }
    }

    pub(super) fn holds(&self, digest: Digest) -> bool {
        self.held.contains_key(&digest)
    }

    /// Marks a chunk as used now; returns false if it is not held.
    pub(super) fn touch(&mut self, digest: Digest) -> bool {
        let Some(held) = self.held.get_mut(&digest) else {
            return false;
        };
        self.clock += 1;
        self.by_last_use.remove(&held.last_use);
        held.last_use = self.clock;
        self.by_last_use.insert(self.clock, digest);
        true
    }

    pub(super) fn add(&mut self, chunk: Chunk) {
        if self.touch(chunk.digest) {
            return;
        }
        self.clock += 1;
        let held = HeldChunk {
            size: chunk.size,
            last_use: self.clock,
        };
        self.held.insert(chunk.digest, held);
        self.by_last_use.insert(self.clock, chunk.digest);
        self.usage.bytes += u64::from(chunk.size);
    }

    pub(super) fn remove(&mut self, digest: Digest) {
        if let Some(held) = self.held.remove(&digest) {
            self.by_last_use.remove(&held.last_use);
            self.usage.bytes -= u64::from(held.size);
        }
    }

    pub(super) fn remove_damaged(&mut self, digest: Digest) {
        if self.holds(digest) {
            self.usage.damaged += 1;
        }
        self.remove(digest);
    }

    /// Checks that a new chunk fits beside all pinned ones, whose room is reserved.
    pub(super) fn check_room(&self, digest: Digest, size: u32) -> Result<(), StoreError> {
        let reserved = self.pins.contains_key(&digest);
        let needed = u64::from(size);
        if reserved || self.usage.pinned + needed <= self.usage.limit {
            return Ok(());
        }
        Err(self.full_error(needed))
    }

    /// Removes the least recently used unpinned chunks until `needed` more bytes fit, and returns them.
    pub(super) fn evict(&mut self, needed: u64) -> Vec<Digest> {
        let mut evicted = Vec::new();
        let mut over = (self.usage.bytes + needed).saturating_sub(self.usage.limit);
        for &digest in self.by_last_use.values() {
            if over == 0 {
                break;
            }
            if !self.pins.contains_key(&digest) {
                over = over.saturating_sub(u64::from(self.held[&digest].size));
                evicted.push(digest);
            }
        }
        for &digest in &evicted {
            self.remove(digest);
        }
        self.usage.evicted += evicted.len() as u64;
        evicted
    }

    pub(super) fn pin(&mut self, chunks: &[Chunk]) -> Result<(), StoreError> {
        for chunk in chunks {
            self.pin_one(*chunk);
        }
        if self.usage.pinned <= self.usage.limit {
            return Ok(());
        }
        let before = self.usage.pinned;
        self.unpin(chunks);
        Err(self.full_error(before - self.usage.pinned))
    }

    fn pin_one(&mut self, chunk: Chunk) {
        let size = chunk.size;
        let pinned = self.pins.entry(chunk.digest);
        let pinned = pinned.or_insert(PinnedChunk { size, count: 0 });
        if pinned.count == 0 {
            self.usage.pinned += u64::from(size);
        }
        pinned.count += 1;
    }

    pub(super) fn unpin(&mut self, chunks: &[Chunk]) {
        for chunk in chunks {
            let Some(pinned) = self.pins.get_mut(&chunk.digest) else {
                continue;
            };
            pinned.count -= 1;
            if pinned.count == 0 {
                self.usage.pinned -= u64::from(pinned.size);
                self.pins.remove(&chunk.digest);
            }
        }
    }

    fn full_error(&self, needed: u64) -> StoreError {
        StoreError::Full {
            needed,
            pinned: self.usage.pinned,
            limit: self.usage.limit,
        }
    }
}
