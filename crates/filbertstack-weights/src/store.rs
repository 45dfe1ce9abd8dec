//! The chunk store keeps chunks by digest and verifies them when they are written and when they are read.
//!
//! [`Store::put`] and [`Store::pin`] change the store; [`Store::get`], [`Store::has`] and
//! [`Store::usage`] read it.

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

/// An error of the chunk store.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The bytes do not match the digest.
    #[error("the bytes do not match the digest of chunk {digest}: fetch it from another source")]
    Corrupt {
        /// The chunk.
        digest: Digest,
    },
    /// A stored chunk was damaged after its verification; the store removed it.
    #[error(
        "chunk {digest} was damaged in the store and is dropped: fetch it again, check the disk"
    )]
    Damaged {
        /// The chunk.
        digest: Digest,
    },
    /// The pinned chunks leave no room.
    #[error(
        "{needed} bytes do not fit: {pinned} of {limit} are held for what is declared; \
         undeploy a version or raise the store's limit"
    )]
    Full {
        /// The number of bytes requested.
        needed: u64,
        /// The number of bytes pinned.
        pinned: u64,
        /// The store's limit in bytes.
        limit: u64,
    },
    /// A disk operation failed.
    #[error("the store's disk failed ({0}): check its space, permissions and health")]
    Disk(#[from] io::Error),
}

/// The result of a successful [`Store::put`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutOutcome {
    /// The chunk was stored.
    Stored,
    /// The store held the chunk already.
    Held,
}

/// The usage of the store and its counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// The number of chunks held.
    pub chunks: usize,
    /// The size of the chunks held, in bytes.
    pub bytes: u64,
    /// The size of all pinned chunks in bytes, whether they are held or not.
    pub pinned: u64,
    /// The limit of the store, in bytes.
    pub limit: u64,
    /// The number of chunks evicted so far.
    pub evicted: u64,
    /// The number of chunks found damaged so far.
    pub damaged: u64,
}

/// A store of chunks by digest, in memory or on disk, with a size limit.
#[derive(Debug)]
pub struct Store {
    inner: Mutex<Inner>,
    disk: Option<Disk>,
}

#[derive(Debug)]
struct Inner {
    index: StoreIndex,
    /// The bytes of the chunks if the store has no disk.
    memory: HashMap<Digest, Bytes>,
}

impl Store {
    /// Creates a store in memory that holds up to `limit` bytes.
    pub fn memory(limit: u64) -> Self {
        Self::from_parts(StoreIndex::new(limit), None)
    }

    /// Opens a store below `dir` that holds up to `limit` bytes, with the chunks of an earlier process.
    ///
    /// These chunks are not verified on opening, since each chunk is verified when it is read.
    ///
    /// # Errors
    /// Returns [`StoreError::Disk`] if the folder cannot be created or read.
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

    /// Stores `bytes` if they match `digest`, and evicts chunks that are not pinned to make room.
    ///
    /// # Errors
    /// Returns [`StoreError::Corrupt`] if the bytes do not match, [`StoreError::Full`] if the chunk does
    /// not fit beside the pinned ones, and [`StoreError::Disk`] if the disk fails.
    pub fn put(&self, digest: Digest, bytes: Bytes) -> Result<PutOutcome, StoreError> {
        if Digest::of(&bytes) != digest {
            return Err(StoreError::Corrupt { digest });
        }
        if self.lock().index.touch(digest) {
            return Ok(PutOutcome::Held);
        }
        // The slow write runs without the lock. Concurrent puts of one chunk write the same bytes.
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

    /// Reads and verifies a chunk and returns its bytes; `None` if it is not held.
    ///
    /// # Errors
    /// Returns [`StoreError::Damaged`] if the bytes changed since they were stored. The chunk is removed,
    /// so that no caller gets damaged bytes and the next fetch replaces it. Returns [`StoreError::Disk`] if
    /// the disk fails.
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

    /// Returns whether the store holds a chunk, according to its index; the bytes are not read.
    pub fn has(&self, digest: Digest) -> bool {
        self.lock().index.holds(digest)
    }

    /// Returns the usage and the counters of the store.
    pub fn usage(&self) -> Usage {
        self.lock().index.usage()
    }

    /// Pins the chunks of `manifest`, including those not stored yet, until the returned guard is dropped.
    ///
    /// # Errors
    /// Returns [`StoreError::Full`] if all pinned chunks together would not fit, before any chunk is
    /// fetched.
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

/// A guard that protects a version's chunks from eviction; dropping it unpins them.
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
