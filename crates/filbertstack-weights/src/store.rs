//! The chunk store: chunks by digest, verified when they come and when they go.
//!
//! Commands ([`Store::put`], [`Store::pin`]) change it and say what came of it; queries
//! ([`Store::get`], [`Store::has`], [`Store::usage`]) read it.

mod disk;
mod index;

use std::collections::HashMap;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bytes::Bytes;
use thiserror::Error;

use filbertstack_core::Digest;

use crate::manifest::Chunk;
use crate::manifest::Manifest;

use disk::Disk;
use index::StoreIndex;

/// What keeps the store from holding or giving a chunk.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The bytes are not those that the digest names.
    #[error("the bytes for chunk {digest} are not it: fetch it elsewhere and mark the source")]
    Corrupt {
        /// The chunk.
        digest: Digest,
    },
    /// A stored chunk changed after it was verified; it is dropped.
    #[error(
        "chunk {digest} was damaged in the store and is dropped: fetch it again, check the disk"
    )]
    Damaged {
        /// The chunk.
        digest: Digest,
    },
    /// What is pinned leaves no room.
    #[error(
        "{needed} bytes do not fit: {pinned} of {limit} are held for what is declared; \
         undeploy a version or raise the store's limit"
    )]
    Full {
        /// The bytes asked for.
        needed: u64,
        /// The bytes pinned.
        pinned: u64,
        /// The store's limit in bytes.
        limit: u64,
    },
    /// The disk failed.
    #[error("the store's disk failed ({0}): check its space, permissions and health")]
    Disk(#[from] io::Error),
}

/// What came of a [`Store::put`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutOutcome {
    /// The chunk is new.
    Stored,
    /// The chunk was held already.
    Held,
}

/// How full the store is, and what happened to it so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// The chunks held.
    pub chunks: usize,
    /// Their bytes.
    pub bytes: u64,
    /// The bytes of all pinned chunks, held or not.
    pub pinned: u64,
    /// The limit in bytes.
    pub limit: u64,
    /// Chunks evicted so far.
    pub evicted: u64,
    /// Chunks found damaged so far.
    pub damaged: u64,
}

/// Chunks by digest, in memory or on disk, up to a limit.
#[derive(Debug)]
pub struct Store {
    inner: Mutex<Inner>,
    disk: Option<Disk>,
}

#[derive(Debug)]
struct Inner {
    index: StoreIndex,
    /// The chunks' bytes, when there is no disk.
    memory: HashMap<Digest, Bytes>,
}

impl Store {
    /// A store in memory that holds up to `limit` bytes.
    pub fn memory(limit: u64) -> Self {
        Self::from_parts(StoreIndex::new(limit), None)
    }

    /// A store below `dir` that holds up to `limit` bytes, with what an earlier process left.
    ///
    /// What was left is not trusted: each chunk is verified when it is read.
    ///
    /// # Errors
    /// [`StoreError::Disk`] if the folder cannot be made or read.
    pub fn open(dir: &Path, limit: u64) -> Result<Self, StoreError> {
        let (disk, found) = Disk::open(dir)?;
        let mut index = StoreIndex::new(limit);
        for chunk in found {
            index.add(chunk);
        }
        for digest in index.evict(0) {
            disk.remove(digest);
        }
        Ok(Self::from_parts(index, Some(disk)))
    }

    fn from_parts(index: StoreIndex, disk: Option<Disk>) -> Self {
        let memory = HashMap::new();
        let inner = Mutex::new(Inner { index, memory });
        Self { inner, disk }
    }

    /// Stores `bytes` if they are the chunk `digest`, evicting what is not pinned.
    ///
    /// # Errors
    /// [`StoreError::Corrupt`] for other bytes; [`StoreError::Full`] if only pinned chunks are
    /// left to evict; [`StoreError::Disk`].
    pub fn put(&self, digest: Digest, bytes: Bytes) -> Result<PutOutcome, StoreError> {
        if Digest::of(&bytes) != digest {
            return Err(StoreError::Corrupt { digest });
        }
        if self.lock().index.touch(digest) {
            return Ok(PutOutcome::Held);
        }
        // The slow part runs without the lock; two puts of one chunk write the same bytes.
        if let Some(disk) = &self.disk {
            disk.write(digest, &bytes)?;
        }
        let placed = self.place(digest, bytes);
        if placed.is_err() {
            self.remove_file(digest);
        }
        placed
    }

    fn place(&self, digest: Digest, bytes: Bytes) -> Result<PutOutcome, StoreError> {
        let size = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
        let mut inner = self.lock();
        inner.index.check_room(digest, size)?;
        for evicted in inner.index.evict(u64::from(size)) {
            inner.memory.remove(&evicted);
            self.remove_file(evicted);
        }
        inner.index.add(Chunk { digest, size });
        if self.disk.is_none() {
            inner.memory.insert(digest, bytes);
        }
        Ok(PutOutcome::Stored)
    }

    /// The bytes of a chunk, verified just now; `None` if it is not held.
    ///
    /// # Errors
    /// [`StoreError::Damaged`] if the bytes changed since they were stored: the chunk is dropped,
    /// so that a caller never gets them and the next fetch mends the store; [`StoreError::Disk`].
    pub fn get(&self, digest: Digest) -> Result<Option<Bytes>, StoreError> {
        let bytes = match &self.disk {
            Some(disk) if self.lock().index.touch(digest) => disk.read(digest)?,
            Some(_) => None,
            None => self.get_memory(digest),
        };
        let Some(bytes) = bytes else {
            self.lock().index.remove(digest);
            return Ok(None);
        };
        if Digest::of(&bytes) == digest {
            return Ok(Some(bytes));
        }
        self.remove_damaged(digest);
        Err(StoreError::Damaged { digest })
    }

    fn get_memory(&self, digest: Digest) -> Option<Bytes> {
        let mut inner = self.lock();
        inner.index.touch(digest);
        inner.memory.get(&digest).cloned()
    }

    fn remove_damaged(&self, digest: Digest) {
        let mut inner = self.lock();
        inner.index.remove_damaged(digest);
        inner.memory.remove(&digest);
        self.remove_file(digest);
    }

    fn remove_file(&self, digest: Digest) {
        if let Some(disk) = &self.disk {
            disk.remove(digest);
        }
    }

    /// Whether a chunk is held, as far as known without reading it.
    pub fn has(&self, digest: Digest) -> bool {
        self.lock().index.holds(digest)
    }

    /// How full the store is.
    pub fn usage(&self) -> Usage {
        self.lock().index.usage()
    }

    /// Keeps the chunks of `manifest`, those yet to come too, until the guard is dropped.
    ///
    /// # Errors
    /// [`StoreError::Full`] at once, before anything is fetched, if all pinned chunks together
    /// would not fit.
    pub fn pin(self: &Arc<Self>, manifest: &Manifest) -> Result<Pin, StoreError> {
        let chunks: Arc<[Chunk]> = manifest.chunks().into();
        self.lock().index.pin(&chunks)?;
        let store = self.clone();
        Ok(Pin { store, chunks })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Keeps a version's chunks from eviction; dropping it releases them.
#[derive(Debug)]
pub struct Pin {
    store: Arc<Store>,
    chunks: Arc<[Chunk]>,
}

impl Drop for Pin {
    fn drop(&mut self) {
        self.store.lock().index.unpin(&self.chunks);
    }
}
