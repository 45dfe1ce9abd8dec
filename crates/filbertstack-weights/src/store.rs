//! The chunk store: chunks by digest, verified when they come and when they go.
//!
//! Commands ([`Store::put`], [`Store::pin`]) change it and say what came of it; queries
//! ([`Store::get`], [`Store::has`], [`Store::usage`]) read it.

mod disk;
mod shelf;

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
use shelf::Shelf;

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
    Rotten {
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
pub enum Put {
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
    pub rotten: u64,
}

/// Chunks by digest, in memory or on disk, up to a limit.
#[derive(Debug)]
pub struct Store {
    inner: Mutex<Inner>,
    disk: Option<Disk>,
}

#[derive(Debug)]
struct Inner {
    shelf: Shelf,
    /// The chunks' bytes, when there is no disk.
    memory: HashMap<Digest, Bytes>,
}

impl Store {
    /// A store in memory that holds up to `limit` bytes.
    pub fn memory(limit: u64) -> Self {
        Self::with(Shelf::new(limit), None)
    }

    /// A store below `dir` that holds up to `limit` bytes, with what an earlier process left.
    ///
    /// What was left is not trusted: each chunk is verified when it is read.
    ///
    /// # Errors
    /// [`StoreError::Disk`] if the folder cannot be made or read.
    pub fn open(dir: &Path, limit: u64) -> Result<Self, StoreError> {
        let (disk, found) = Disk::open(dir)?;
        let mut shelf = Shelf::new(limit);
        for chunk in found {
            shelf.add(chunk);
        }
        for digest in shelf.evict(0) {
            disk.remove(digest);
        }
        Ok(Self::with(shelf, Some(disk)))
    }

    fn with(shelf: Shelf, disk: Option<Disk>) -> Self {
        let memory = HashMap::new();
        let inner = Mutex::new(Inner { shelf, memory });
        Self { inner, disk }
    }

    /// Stores `bytes` if they are the chunk `digest`, evicting what is not pinned.
    ///
    /// # Errors
    /// [`StoreError::Corrupt`] for other bytes; [`StoreError::Full`] if only pinned chunks are
    /// left to evict; [`StoreError::Disk`].
    pub fn put(&self, digest: Digest, bytes: Bytes) -> Result<Put, StoreError> {
        if Digest::of(&bytes) != digest {
            return Err(StoreError::Corrupt { digest });
        }
        if self.lock().shelf.touch(digest) {
            return Ok(Put::Held);
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

    fn place(&self, digest: Digest, bytes: Bytes) -> Result<Put, StoreError> {
        let size = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
        let mut inner = self.lock();
        inner.shelf.room(digest, size)?;
        for evicted in inner.shelf.evict(u64::from(size)) {
            inner.memory.remove(&evicted);
            self.remove_file(evicted);
        }
        inner.shelf.add(Chunk { digest, size });
        if self.disk.is_none() {
            inner.memory.insert(digest, bytes);
        }
        Ok(Put::Stored)
    }

    /// The bytes of a chunk, verified just now; `None` if it is not held.
    ///
    /// # Errors
    /// [`StoreError::Rotten`] if the bytes changed since they were stored: the chunk is dropped,
    /// so that a caller never gets them and the next fetch mends the store; [`StoreError::Disk`].
    pub fn get(&self, digest: Digest) -> Result<Option<Bytes>, StoreError> {
        let bytes = match &self.disk {
            Some(disk) if self.lock().shelf.touch(digest) => disk.read(digest)?,
            Some(_) => None,
            None => self.get_memory(digest),
        };
        let Some(bytes) = bytes else {
            self.lock().shelf.remove(digest);
            return Ok(None);
        };
        if Digest::of(&bytes) == digest {
            return Ok(Some(bytes));
        }
        self.drop_rotten(digest);
        Err(StoreError::Rotten { digest })
    }

    fn get_memory(&self, digest: Digest) -> Option<Bytes> {
        let mut inner = self.lock();
        inner.shelf.touch(digest);
        inner.memory.get(&digest).cloned()
    }

    fn drop_rotten(&self, digest: Digest) {
        let mut inner = self.lock();
        inner.shelf.rotten(digest);
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
        self.lock().shelf.holds(digest)
    }

    /// How full the store is.
    pub fn usage(&self) -> Usage {
        self.lock().shelf.usage()
    }

    /// Keeps the chunks of `manifest`, those yet to come too, until the guard is dropped.
    ///
    /// # Errors
    /// [`StoreError::Full`] at once, before anything is fetched, if all pinned chunks together
    /// would not fit.
    pub fn pin(self: &Arc<Self>, manifest: &Manifest) -> Result<Pin, StoreError> {
        let chunks: Arc<[Chunk]> = manifest.chunks().into();
        self.lock().shelf.pin(&chunks)?;
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
        self.store.lock().shelf.unpin(&self.chunks);
    }
}
