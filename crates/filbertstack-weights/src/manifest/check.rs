//! Validates a manifest; locally created and received manifests pass the same checks.

use super::Chunk;
use super::File;
use super::FileOffset;
use super::MAX_CHUNK_SIZE;
use super::MAX_CHUNKS;
use super::MAX_FILE_NAME;
use super::MAX_FILES;
use super::ManifestError;

/// Checks that `name` is a path below the version's folder and needs no escaping in a URL.
///
/// # Errors
/// Returns [`ManifestError::Name`], whose text describes valid names.
pub fn check_file_name(name: &str) -> Result<(), ManifestError> {
    let fits = name.len() <= MAX_FILE_NAME;
    // With `..` or an empty part in a name, a manifest could write outside of its folder.
    if fits && name.split('/').all(is_part) {
        return Ok(());
    }
    Err(ManifestError::Name {
        name: name.chars().take(MAX_FILE_NAME).collect(),
    })
}

fn is_part(part: &str) -> bool {
    let allowed =
        |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-' | '+' | '=' | '@');
    !part.is_empty() && !part.starts_with('.') && part.chars().all(allowed)
}

pub(super) fn check_files(files: &[File]) -> Result<(), ManifestError> {
    if files.len() > MAX_FILES {
        return Err(ManifestError::Files);
    }
    for file in files {
        check_file_name(&file.name)?;
    }
    if files.windows(2).any(|pair| pair[0].name >= pair[1].name) {
        return Err(ManifestError::Malformed {
            what: "its files are not in order",
        });
    }
    // A file `a` and a file `a/b` cannot exist together, since `a` would also have to be a folder.
    if files.iter().any(|file| is_below_file(file, files)) {
        return Err(ManifestError::Malformed {
            what: "a file is also a folder",
        });
    }
    Ok(())
}

fn is_below_file(file: &File, files: &[File]) -> bool {
    let mut folders = file.name.match_indices('/').map(|(at, _)| &file.name[..at]);
    let is_file = |folder: &str| files.binary_search_by(|f| (*f.name).cmp(folder)).is_ok();
    folders.any(is_file)
}

pub(super) fn offsets(files: &[File], chunks: &[Chunk]) -> Result<Vec<FileOffset>, ManifestError> {
    if chunks.len() > MAX_CHUNKS {
        return Err(ManifestError::Chunks);
    }
    if chunks.is_empty() {
        return Err(ManifestError::Empty);
    }
    let mismatch = ManifestError::Malformed {
        what: "its chunks do not fit its files",
    };
    let mut offsets = Vec::with_capacity(chunks.len());
    let mut remaining = chunks.iter();
    for (at, file) in files.iter().enumerate() {
        let mut offset = 0;
        while offset < file.size {
            let Some(chunk) = remaining.next() else {
                return Err(mismatch);
            };
            if chunk.size == 0 || chunk.size > MAX_CHUNK_SIZE {
                return Err(ManifestError::ChunkSize { size: chunk.size });
            }
            offsets.push(FileOffset { file: at, offset });
            offset += u64::from(chunk.size);
        }
        if offset != file.size {
            return Err(mismatch);
        }
    }
    if remaining.next().is_some() {
        return Err(mismatch);
    }
    Ok(offsets)
}
