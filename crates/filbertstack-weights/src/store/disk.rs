//! Stores chunks as files, which are written under a temporary name, synced and renamed.

use std::fs;
use std::fs::File;
use std::io;
use std::io::Read;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bytes::Bytes;

use filbertstack_core::Digest;

use crate::manifest::Chunk;
use crate::manifest::MAX_CHUNK_SIZE;

const CHUNKS_DIR: &str = "chunks";
const PARTS_DIR: &str = "parts";

/// The chunk files below one folder.
#[derive(Debug)]
pub(super) struct Disk {
    chunks: PathBuf,
    parts: PathBuf,
    writes: AtomicU64,
}

impl Disk {
    /// Opens the folder, removes partly written files and lists the chunks, the oldest first.
    pub(super) fn open(dir: &Path) -> io::Result<(Self, Vec<Chunk>)> {
        let chunks = dir.join(CHUNKS_DIR);
        let parts = dir.join(PARTS_DIR);
        if parts.exists() {
            fs::remove_dir_all(&parts)?;
        }
        fs::create_dir_all(&parts)?;
        fs::create_dir_all(&chunks)?;
        let found = list_chunks(&chunks)?;
        let writes = AtomicU64::new(0);
        let disk = Self {
            chunks,
            parts,
            writes,
        };
        Ok((disk, found))
    }

    fn path(&self, digest: Digest) -> PathBuf {
        self.chunks.join(digest.to_string())
    }

    /// Writes a chunk atomically: after a crash it is there completely or not at all.
    pub(super) fn write(&self, digest: Digest, bytes: &[u8]) -> io::Result<()> {
        let number = self.writes.fetch_add(1, Ordering::Relaxed);
        let part = self.parts.join(number.to_string());
        let written = write_synced(&part, bytes).and_then(|()| self.rename_part(&part, digest));
        if written.is_err() {
            let _ = fs::remove_file(&part);
        }
        written
    }

    fn rename_part(&self, part: &Path, digest: Digest) -> io::Result<()> {
        fs::rename(part, self.path(digest))?;
        File::open(&self.chunks)?.sync_all()
    }

    /// Reads the bytes of a chunk without verifying them; `None` if the file does not exist.
    pub(super) fn read(&self, digest: Digest) -> io::Result<Option<Bytes>> {
        let file = match File::open(self.path(digest)) {
            Ok(file) => file,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(error),
        };
        // The limit keeps a file that has grown from filling the memory. One byte over the maximum is
        // enough for the verification to fail.
        let mut bytes = Vec::new();
        file.take(u64::from(MAX_CHUNK_SIZE) + 1)
            .read_to_end(&mut bytes)?;
        Ok(Some(bytes.into()))
    }

    /// Removes a chunk; errors are ignored, since the file may not exist any more.
    pub(super) fn remove(&self, digest: Digest) {
        let _ = fs::remove_file(self.path(digest));
    }
}

fn write_synced(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut file = File::create(path)?;
    file.write_all(bytes)?;
    file.sync_all()
}

fn list_chunks(dir: &Path) -> io::Result<Vec<Chunk>> {
    let mut found = Vec::new();
    for entry in fs::read_dir(dir)? {
        let entry = entry?;
        let Some(Ok(digest)) = entry.file_name().to_str().map(str::parse) else {
            continue;
        };
        let meta = entry.metadata()?;
        if let Ok(size @ 1..=MAX_CHUNK_SIZE) = u32::try_from(meta.len()) {
            found.push((meta.modified()?, Chunk { digest, size }));
        } else {
            fs::remove_file(entry.path())?;
        }
    }
    found.sort_by_key(|(modified, chunk)| (*modified, chunk.digest));
    Ok(found.into_iter().map(|(_, chunk)| chunk).collect())
}
