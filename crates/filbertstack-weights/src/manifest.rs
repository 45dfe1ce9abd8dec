//! The manifest: the files of a version and the digests of their chunks under one root digest.

mod check;
mod read;

use std::ops::Range;
use std::path::Path;
use std::sync::Arc;

use bytes::Bytes;
use prost::Message;
use thiserror::Error;

use filbertstack_core::Digest;

pub use check::check_file_name;

/// The chunk size of a publish that gives none, in bytes.
pub const DEFAULT_CHUNK_SIZE: u32 = 4 << 20;

/// The largest chunk, in bytes: one transfer and one verification stay short.
pub const MAX_CHUNK_SIZE: u32 = 64 << 20;

/// The most chunks of a version: its bitmap stays within 8 KiB.
pub const MAX_CHUNKS: usize = 65_536;

/// The most files of a version.
pub const MAX_FILES: usize = 4_096;

/// The longest file name, in bytes, folders included.
pub const MAX_FILE_NAME: usize = 255;

/// The largest encoded manifest, in bytes: [`MAX_CHUNKS`] entries of 42 bytes and the names fit.
pub const MAX_MANIFEST_SIZE: usize = 4 << 20;

/// The chunks that [`chunk_size`] aims at, at most.
const PREFERRED_CHUNKS: u64 = 2_048;

/// The format this code writes and reads.
const FORMAT: u32 = 1;

/// The chunk size for a version of `size` bytes, from [`DEFAULT_CHUNK_SIZE`] to [`MAX_CHUNK_SIZE`].
///
/// Each chunk costs a dozen announcements at each target, so that there should not be many; with
/// fewer than some hundred, a target could pass on little before it has the whole.
pub fn chunk_size(size: u64) -> u32 {
    let mut chunk = DEFAULT_CHUNK_SIZE;
    while u64::from(chunk) * PREFERRED_CHUNKS < size && chunk < MAX_CHUNK_SIZE {
        chunk *= 2;
    }
    chunk
}

/// A directory or an encoded manifest that makes no version.
#[derive(Debug, Error)]
pub enum ManifestError {
    /// The directory could not be read.
    #[error("{path} cannot be read ({error}): check that it exists and its permissions")]
    Read {
        /// The path.
        path: Arc<str>,
        /// What the system said.
        error: std::io::Error,
    },
    /// A file name would leave the version's folder or cannot stand in a URL.
    #[error(
        "'{name}' is no file name of a version: use up to 255 letters, digits, '.', '_', '-', '+', \
         '=' or '@' in parts that do not start with '.', joined by '/'"
    )]
    Name {
        /// The name, cut to the longest allowed.
        name: String,
    },
    /// An entry is neither a file nor a folder.
    #[error("{path} is neither a file nor a folder: remove it or replace it by a file")]
    Kind {
        /// The path.
        path: Arc<str>,
    },
    /// The chunk size is out of bounds.
    #[error("a chunk size of {size} bytes is out of bounds: use 1 to {MAX_CHUNK_SIZE}")]
    ChunkSize {
        /// The size.
        size: u32,
    },
    /// There are too many chunks.
    #[error("the version has over {MAX_CHUNKS} chunks: publish it with a larger chunk size")]
    Chunks,
    /// There are too many files.
    #[error("the version has over {MAX_FILES} files: pack the small ones")]
    Files,
    /// The encoded manifest is too large.
    #[error(
        "the manifest has {size} bytes, over {MAX_MANIFEST_SIZE}: publish with a larger chunk size"
    )]
    Size {
        /// Its size in bytes.
        size: usize,
    },
    /// There is nothing in it.
    #[error("the version has no bytes: name the folder that holds the weights")]
    Empty,
    /// The bytes are not a manifest.
    #[error("these bytes are no manifest ({what}): fetch it again, or publish again")]
    Malformed {
        /// What is wrong.
        what: &'static str,
    },
    /// The bytes hash to another digest than the one asked for.
    #[error("asked for manifest {wanted}, got {got}: fetch it elsewhere and mark the source")]
    Digest {
        /// The digest asked for.
        wanted: Digest,
        /// The digest of what came.
        got: Digest,
    },
}

/// One chunk: its content by digest, and its size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Chunk {
    /// The BLAKE3 digest of its bytes.
    pub digest: Digest,
    /// Its size in bytes.
    pub size: u32,
}

/// One file of a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct File {
    /// Its path below the version's folder, parts joined by `/`.
    pub name: Arc<str>,
    /// Its size in bytes.
    pub size: u64,
}

/// One chunk to fetch, and where its bytes lie in the version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChunkLocation {
    /// The version's root digest.
    pub version: Digest,
    /// The chunk's place in the manifest.
    pub index: u32,
    /// The chunk.
    pub chunk: Chunk,
    /// The file it lies in.
    pub file: File,
    /// Its first byte in the file.
    pub offset: u64,
}

impl ChunkLocation {
    /// The range of the chunk in its file, for bytes held in memory.
    pub fn range(&self) -> Range<usize> {
        let start = usize::try_from(self.offset).unwrap_or(usize::MAX);
        start..start.saturating_add(self.chunk.size as usize)
    }

    /// The offset of the last byte, as a `Range` header gives it.
    pub fn last(&self) -> u64 {
        self.offset + u64::from(self.chunk.size) - 1
    }
}

/// The immutable description of a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Manifest {
    root: Digest,
    files: Vec<File>,
    chunks: Vec<Chunk>,
    offsets: Vec<FileOffset>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FileOffset {
    file: usize,
    offset: u64,
}

#[derive(Clone, PartialEq, Message)]
struct ManifestMessage {
    #[prost(uint32, tag = "1")]
    format: u32,
    #[prost(message, repeated, tag = "2")]
    files: Vec<FileMessage>,
    #[prost(message, repeated, tag = "3")]
    chunks: Vec<ChunkMessage>,
}

#[derive(Clone, PartialEq, Message)]
struct FileMessage {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(uint64, tag = "2")]
    size: u64,
}

#[derive(Clone, PartialEq, Message)]
struct ChunkMessage {
    #[prost(bytes = "bytes", tag = "1")]
    digest: Bytes,
    #[prost(uint32, tag = "2")]
    size: u32,
}

/// The name of the file beside a version's weights that holds its manifest.
pub fn manifest_name(root: Digest) -> String {
    format!(".manifest-{root}")
}

impl Manifest {
    /// The manifest of the files below `dir`, in the order of their names.
    ///
    /// Hidden entries (names that start with `.`) are left out. No chunk spans two files, so
    /// that any server of files with ranges can be the origin.
    ///
    /// # Errors
    /// What keeps the directory from being a version.
    pub fn from_dir(dir: &Path, chunk_size: u32) -> Result<Self, ManifestError> {
        if chunk_size == 0 || chunk_size > MAX_CHUNK_SIZE {
            return Err(ManifestError::ChunkSize { size: chunk_size });
        }
        let files = read::list_files(dir)?;
        let mut chunks = Vec::new();
        let mut listed = Vec::new();
        for (name, path) in files {
            let size = read::read_chunks(&path, chunk_size, &mut chunks)?;
            listed.push(File { name, size });
        }
        Self::new(listed, chunks)
    }

    /// A manifest of `files` whose bytes, in order, make up `chunks`.
    ///
    /// # Errors
    /// What bounds it breaks, or that chunks and files do not fit each other.
    pub fn new(files: Vec<File>, chunks: Vec<Chunk>) -> Result<Self, ManifestError> {
        check::check_files(&files)?;
        let offsets = check::offsets(&files, &chunks)?;
        let encoded = to_message(&files, &chunks).encode_to_vec();
        if encoded.len() > MAX_MANIFEST_SIZE {
            return Err(ManifestError::Size {
                size: encoded.len(),
            });
        }
        Ok(Self {
            root: Digest::of(&encoded),
            files,
            chunks,
            offsets,
        })
    }

    /// Reads an encoded manifest that is to have the digest `root`.
    ///
    /// # Errors
    /// [`ManifestError::Digest`] for another version's bytes; else what is wrong with them.
    pub fn decode(root: Digest, bytes: &[u8]) -> Result<Self, ManifestError> {
        if bytes.len() > MAX_MANIFEST_SIZE {
            return Err(ManifestError::Size { size: bytes.len() });
        }
        let got = Digest::of(bytes);
        if got != root {
            return Err(ManifestError::Digest { wanted: root, got });
        }
        let malformed = |what| ManifestError::Malformed { what };
        let message = ManifestMessage::decode(bytes).map_err(|_| malformed("not decodable"))?;
        if message.format != FORMAT {
            return Err(malformed("of another format"));
        }
        let files = message.files.into_iter().map(decode_file).collect();
        let chunks: Option<_> = message.chunks.iter().map(decode_chunk).collect();
        let manifest = Self::new(files, chunks.ok_or(malformed("a digest is cut"))?)?;
        // Two encodings of one manifest would give one version two names.
        if manifest.root != root {
            return Err(malformed("not in canonical form"));
        }
        Ok(manifest)
    }

    /// The canonical encoding, whose digest is [`Manifest::root`].
    pub fn encode(&self) -> Bytes {
        to_message(&self.files, &self.chunks).encode_to_vec().into()
    }

    /// The digest that names the version.
    pub fn root(&self) -> Digest {
        self.root
    }

    /// The files in the order of their names.
    pub fn files(&self) -> &[File] {
        &self.files
    }

    /// The chunks in the order of the files' bytes.
    pub fn chunks(&self) -> &[Chunk] {
        &self.chunks
    }

    /// The bytes of all files.
    pub fn size(&self) -> u64 {
        self.files.iter().map(|file| file.size).sum()
    }

    /// What to fetch for the chunk at `index`; `None` past the last.
    pub fn location(&self, index: u32) -> Option<ChunkLocation> {
        let position = index as usize;
        let start = *self.offsets.get(position)?;
        Some(ChunkLocation {
            version: self.root,
            index,
            chunk: self.chunks[position],
            file: self.files[start.file].clone(),
            offset: start.offset,
        })
    }

    /// What to fetch for each chunk, in order.
    pub fn locations(&self) -> impl Iterator<Item = ChunkLocation> {
        (0..).map_while(|index| self.location(index))
    }
}

fn to_message(files: &[File], chunks: &[Chunk]) -> ManifestMessage {
    let file = |file: &File| FileMessage {
        name: file.name.to_string(),
        size: file.size,
    };
    let chunk = |chunk: &Chunk| ChunkMessage {
        digest: chunk.digest.to_vec().into(),
        size: chunk.size,
    };
    ManifestMessage {
        format: FORMAT,
        files: files.iter().map(file).collect(),
        chunks: chunks.iter().map(chunk).collect(),
    }
}

fn decode_file(file: FileMessage) -> File {
    File {
        name: file.name.into(),
        size: file.size,
    }
}

fn decode_chunk(chunk: &ChunkMessage) -> Option<Chunk> {
    Some(Chunk {
        digest: Digest::from_slice(&chunk.digest)?,
        size: chunk.size,
    })
}
