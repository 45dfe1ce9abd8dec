//! Reads the files of a directory and splits them into chunks.

use std::fs;
use std::io;
use std::io::Read;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use filbertstack_core::Digest;

use super::Chunk;
use super::MAX_CHUNKS;
use super::MAX_FILES;
use super::ManifestError;
use super::check_file_name;

/// The maximum depth of folders below the version's folder, which ends a loop of symbolic links.
const MAX_DEPTH: usize = 16;

pub(super) fn list_files(dir: &Path) -> Result<Vec<(Arc<str>, PathBuf)>, ManifestError> {
    let mut files = Vec::new();
    walk_dir(dir, "", MAX_DEPTH, &mut files)?;
    files.sort();
    Ok(files)
}

fn walk_dir(
    dir: &Path,
    prefix: &str,
    depth: usize,
    files: &mut Vec<(Arc<str>, PathBuf)>,
) -> Result<(), ManifestError> {
    let failed = |error| read_error(dir, error);
    for entry in fs::read_dir(dir).map_err(failed)? {
        let entry = entry.map_err(failed)?;
        let path = entry.path();
        let part = entry.file_name();
        if part.as_encoded_bytes().starts_with(b".") {
            continue;
        }
        let name = format!("{prefix}{}", part.to_string_lossy());
        check_file_name(&name)?;
        let meta = fs::metadata(&path).map_err(|error| read_error(&path, error))?;
        if meta.is_dir() && depth > 0 {
            walk_dir(&path, &format!("{name}/"), depth - 1, files)?;
        } else if meta.is_file() {
            files.push((name.into(), path));
        } else {
            let path = path.to_string_lossy().into();
            return Err(ManifestError::Kind { path });
        }
        if files.len() > MAX_FILES {
            return Err(ManifestError::Files);
        }
    }
    Ok(())
}

pub(super) fn read_chunks(
    path: &Path,
    size: u32,
    chunks: &mut Vec<Chunk>,
) -> Result<u64, ManifestError> {
    let failed = |error| read_error(path, error);
    let mut file = fs::File::open(path).map_err(failed)?;
    let mut buffer = Vec::new();
    let mut total = 0;
    loop {
        buffer.clear();
        let part = file.by_ref().take(u64::from(size));
        read_part(part, &mut buffer).map_err(failed)?;
        let Ok(size @ 1..) = u32::try_from(buffer.len()) else {
            return Ok(total);
        };
        if chunks.len() == MAX_CHUNKS {
            return Err(ManifestError::Chunks);
        }
        chunks.push(Chunk {
            digest: Digest::of(&buffer),
            size,
        });
        total += u64::from(size);
    }
}

fn read_part(mut part: impl Read, buffer: &mut Vec<u8>) -> io::Result<()> {
    part.read_to_end(buffer).map(|_| ())
}

fn read_error(path: &Path, error: io::Error) -> ManifestError {
    ManifestError::Read {
        path: path.to_string_lossy().into(),
        error,
    }
}
