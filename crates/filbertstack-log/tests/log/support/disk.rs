//! An in-memory disk that can crash, lose unsynced data, fill up and report syncs that it did not
//! do.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use filbertstack_log::storage::disk::Disk;
use filbertstack_log::storage::disk::DiskFile;
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;

/// The unit that a disk writes atomically, in bytes.
const SECTOR: usize = 512;

#[derive(Clone, Debug, Default)]
struct Content {
    written: Vec<u8>,
    synced: Vec<u8>,
}

/// Selects the faults of the disk.
#[derive(Clone, Copy, Debug, Default)]
pub struct DiskFaults {
    /// The number of operations that succeed before all fail, as in a crash of the process.
    pub crash_after: Option<u32>,
    /// The number of bytes that may still be written.
    pub space: Option<usize>,
    /// Syncs fail.
    pub sync_fails: bool,
    /// Syncs of content succeed without doing anything.
    pub sync_lies: bool,
}

#[derive(Debug, Default)]
struct Inner {
    contents: Vec<Content>,
    names: BTreeMap<String, usize>,
    synced_names: BTreeMap<String, usize>,
    faults: DiskFaults,
    syncs: u64,
}

/// An in-memory disk; its clones share the same content.
#[derive(Clone, Debug, Default)]
pub struct MemoryDisk(Arc<Mutex<Inner>>);

/// A file of the disk.
#[derive(Debug)]
pub struct MemoryFile {
    disk: MemoryDisk,
    at: usize,
}

impl MemoryDisk {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap()
    }

    pub fn set_faults(&self, faults: DiskFaults) {
        self.inner().faults = faults;
    }

    pub fn faults(&self) -> DiskFaults {
        self.inner().faults
    }

    pub fn syncs(&self) -> u64 {
        self.inner().syncs
    }

    /// Drops the unsynced data except for a prefix of random length, in which whole sectors may be
    /// missing, and any of the unsynced changes of names.
    pub fn crash(&self, rng: &mut ChaCha8Rng) {
        let mut inner = self.inner();
        inner.faults = DiskFaults::default();
        // A copy, so that the content that is lost does not depend on the names.
        inner.lose_names(&mut rng.clone());
        for content in &mut inner.contents {
            let kept = content.synced.len();
            let same = content.written.starts_with(&content.synced);
            if !same || content.written.len() == kept {
                content.written = content.synced.clone();
                continue;
            }
            let length = rng.random_range(kept..=content.written.len());
            content.written.truncate(length);
            let mut from = kept;
            while from < length {
                let to = length.min((from / SECTOR + 1) * SECTOR);
                if rng.random_bool(0.2) {
                    content.written[from..to].fill(0);
                }
                from = to;
            }
            content.synced = content.written.clone();
        }
    }

    /// Returns a copy of all files.
    pub fn files(&self) -> BTreeMap<String, Vec<u8>> {
        let inner = self.inner();
        let read = |(n, at): (&String, &usize)| (n.clone(), inner.contents[*at].written.clone());
        inner.names.iter().map(read).collect()
    }

    /// Replaces or adds a file, durably.
    pub fn put(&self, name: &str, bytes: Vec<u8>) {
        let mut inner = self.inner();
        let at = inner.contents.len();
        inner.contents.push(Content {
            written: bytes.clone(),
            synced: bytes,
        });
        inner.names.insert(name.into(), at);
        inner.synced_names.insert(name.into(), at);
    }

    /// Removes a file, durably.
    pub fn lose(&self, name: &str) {
        let mut inner = self.inner();
        inner.names.remove(name);
        inner.synced_names.remove(name);
    }

    /// Replaces the disk by a new, empty one.
    pub fn replace(&self) {
        *self.inner() = Inner::default();
    }
}

impl Inner {
    /// Undoes a random part of the unsynced creations, renames and removals. Those of one name are undone in their
    /// order; those of different names do not depend on each other.
    fn lose_names(&mut self, rng: &mut ChaCha8Rng) {
        let before: BTreeSet<String> = self.synced_names.keys().cloned().collect();
        let changed = self.names.keys().cloned().chain(before);
        for name in changed.collect::<BTreeSet<String>>() {
            if rng.random_bool(0.5) {
                continue;
            }
            match self.synced_names.get(&name) {
                Some(at) => self.names.insert(name, *at),
                None => self.names.remove(&name),
            };
        }
        self.synced_names = self.names.clone();
    }

    fn count_operation(&mut self) -> io::Result<()> {
        match &mut self.faults.crash_after {
            Some(0) => Err(io::Error::other("crashed")),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn find(&self, name: &str) -> io::Result<usize> {
        let at = self.names.get(name).copied();
        at.ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

impl Disk for MemoryDisk {
    type File = MemoryFile;

    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.inner().names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let inner = self.inner();
        let at = inner.find(name)?;
        Ok(inner.contents[at].written.clone())
    }

    fn create(&self, name: &str) -> io::Result<MemoryFile> {
        let mut inner = self.inner();
        inner.count_operation()?;
        let at = inner.contents.len();
        inner.contents.push(Content::default());
        inner.names.insert(name.into(), at);
        let disk = self.clone();
        Ok(MemoryFile { disk, at })
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut inner = self.inner();
        inner.count_operation()?;
        let at = inner.find(from)?;
        inner.names.remove(from);
        inner.names.insert(to.into(), at);
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut inner = self.inner();
        inner.count_operation()?;
        inner.names.remove(name);
        Ok(())
    }

    fn sync_names(&self) -> io::Result<()> {
        let mut inner = self.inner();
        inner.count_operation()?;
        inner.synced_names = inner.names.clone();
        Ok(())
    }
}

impl DiskFile for MemoryFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut inner = self.disk.inner();
        if inner.count_operation().is_err() {
            // A crash in the middle of a write leaves part of the data.
            let part = &bytes[..bytes.len() / 2];
            inner.contents[self.at].written.extend_from_slice(part);
            return Err(io::Error::other("crashed"));
        }
        let fits = inner
            .faults
            .space
            .map_or(bytes.len(), |s| s.min(bytes.len()));
        inner.contents[self.at]
            .written
            .extend_from_slice(&bytes[..fits]);
        if let Some(space) = &mut inner.faults.space {
            *space -= fits;
        }
        if fits < bytes.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut inner = self.disk.inner();
        inner.count_operation()?;
        if inner.faults.sync_fails {
            return Err(io::Error::other("input/output error"));
        }
        inner.syncs += 1;
        if !inner.faults.sync_lies {
            let content = &mut inner.contents[self.at];
            content.synced = content.written.clone();
        }
        Ok(())
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        let mut inner = self.disk.inner();
        inner.count_operation()?;
        let length = usize::try_from(length).unwrap();
        inner.contents[self.at].written.truncate(length);
        Ok(())
    }
}
