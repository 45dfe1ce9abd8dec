//! The manifest lists the files of a version and the digests of their chunks under one root digest.

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

/// The default chunk size, in bytes, and the smallest one that [`chunk_size`] returns.
pub const DEFAULT_CHUNK_SIZE: u32 = 4 << 20;

/// The maximum size of a chunk, in bytes. It keeps single transfers and verifications short.
pub const MAX_CHUNK_SIZE: u32 = 64 << 20;

/// The maximum number of chunks in a version. It keeps the bitmap of a version within 8 KiB.
pub const MAX_CHUNKS: usize = 65_536;

/// The maximum number of files in a version.
pub const MAX_FILES: usize = 4_096;

/// The maximum length of a file name including its folders, in bytes.
pub const MAX_FILE_NAME: usize = 255;

/// The maximum size of an encoded manifest, in bytes. [`MAX_CHUNKS`] chunks at 42 bytes each and the
/// file names fit.
pub const MAX_MANIFEST_SIZE: usize = 4 << 20;

/// The number of chunks that [`chunk_size`] tries not to exceed.
const PREFERRED_CHUNKS: u64 = 2_048;

/// The format version of encoded manifests.
const FORMAT: u32 = 1;

/// Returns the chunk size for a version of `size` bytes, from [`DEFAULT_CHUNK_SIZE`] to
/// [`MAX_CHUNK_SIZE`].
///
/// Each chunk costs about a dozen announcements at each target, which limits their number. With fewer
/// than a few hundred chunks, a target could pass on only little before it has the whole version.
pub fn chunk_size(size: u64) -> u32 {
    let mut chunk = DEFAULT_CHUNK_SIZE;
    while u64::from(chunk) * PREFERRED_CHUNKS < size && chunk < MAX_CHUNK_SIZE {
        chunk *= 2;
    }
    chunk
}

/// The reason why a directory or an encoded manifest is not a valid version.
#[derive(Debug, Error)]
pub enum ManifestError {
    /// The directory could not be read.
    #[error("{path} cannot be read ({error}): check that it exists and its permissions")]
    Read {
        /// The path.
        path: Arc<str>,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// A file name would point outside of the version's folder or is not valid in a URL.
    #[error(
        "'{name}' is no file name of a version: use up to 255 letters, digits, '.', '_', '-', '+', \
         '=' or '@' in parts that do not start with '.', joined by '/'"
    )]
    Name {
        /// The name, truncated to [`MAX_FILE_NAME`] characters.
        name: String,
    },
    /// A directory entry is neither a file nor a folder.
    #[error("{path} is neither a file nor a folder: remove it or replace it by a file")]
    Kind {
        /// The path.
        path: Arc<str>,
    },
    /// The chunk size is out of bounds.
    #[error("a chunk size of {size} bytes is out of bounds: use 1 to {MAX_CHUNK_SIZE}")]
    ChunkSize {
        /// The size in bytes.
        size: u32,
    },
    /// The version has more than [`MAX_CHUNKS`] chunks.
    #[error("the version has over {MAX_CHUNKS} chunks: publish it with a larger chunk size")]
    Chunks,
    /// The version has more than [`MAX_FILES`] files.
    #[error("the version has over {MAX_FILES} files: pack the small ones")]
    Files,
    /// The encoded manifest is larger than [`MAX_MANIFEST_SIZE`].
    #[error(
        "the manifest has {size} bytes, over {MAX_MANIFEST_SIZE}: publish with a larger chunk size"
    )]
    Size {
        /// Its size in bytes.
        size: usize,
    },
    /// The version has no chunks.
    #[error("the version has no bytes: name the folder that holds the weights")]
    Empty,
    /// The bytes are not a manifest.
    #[error("these bytes are no manifest ({what}): fetch it again, or publish again")]
    Malformed {
        /// The part that is wrong.
        what: &'static str,
    },
    /// The bytes have another digest than the requested one.
    #[error("asked for manifest {wanted}, got {got}: fetch it elsewhere and mark the source")]
    Digest {
        /// The requested digest.
        wanted: Digest,
        /// The digest of the bytes.
        got: Digest,
    },
}

/// One chunk, named by the digest of its bytes.
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
    /// Its path below the version's folder, with `/` as separator.
    pub name: Arc<str>,
    /// Its size in bytes.
    pub size: u64,
}

/// One chunk and the location of its bytes in a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChunkLocation {
    /// The version's root digest.
    pub version: Digest,
    /// The chunk's position in the manifest.
    pub index: u32,
    /// The chunk.
    pub chunk: Chunk,
    /// The file that contains the chunk.
    pub file: File,
    /// The offset of its first byte in the file.
    pub offset: u64,
}

impl ChunkLocation {
    /// Returns the byte range of the chunk in its file, as an index into the file's bytes in memory.
    pub fn range(&self) -> Range<usize> {
        let start = usize::try_from(self.offset).unwrap_or(usize::MAX);
        start..start.saturating_add(self.chunk.size as usize)
    }

    /// Returns the offset of the chunk's last byte, as used in a `Range` header.
    pub fn last_byte(&self) -> u64 {
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

/// Returns the name of the file that holds the manifest, next to the version's weights.
pub fn manifest_name(root: Digest) -> String {
    format!(".manifest-{root}")
}

impl Manifest {
    /// Creates the manifest of the files below `dir`, sorted by name.
    ///
    /// Hidden entries (names that start with `.`) are skipped. No chunk spans two files, so that any file
    /// server with range requests can be the origin.
    ///
    /// # Errors
    /// Returns the reason why the directory is not a valid version.
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

    /// Creates a manifest of `files`, whose bytes in this order are split into `chunks`.
    ///
    /// # Errors
    /// Returns the limit that is exceeded, or [`ManifestError::Malformed`] if the chunks do not cover the
    /// files exactly.
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

    /// Decodes a manifest and checks that its digest is `root`.
    ///
    /// # Errors
    /// Returns [`ManifestError::Digest`] if the bytes have another digest, else the reason why they are not
    /// a valid manifest.
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
        // With two encodings of one manifest, one version would have two names.
        if manifest.root != root {
            return Err(malformed("not in canonical form"));
        }
        Ok(manifest)
    }

    /// Returns the canonical encoding, whose digest is [`Manifest::root`].
    pub fn encode(&self) -> Bytes {
        to_message(&self.files, &self.chunks).encode_to_vec().into()
    }

    /// Returns the digest that names the version.
    pub fn root(&self) -> Digest {
        self.root
    }

    /// Returns the files, sorted by name.
    pub fn files(&self) -> &[File] {
        &self.files
    }

    /// Returns the chunks in the order of the files' bytes.
    pub fn chunks(&self) -> &[Chunk] {
        &self.chunks
    }

    /// Returns the size of all files, in bytes.
    pub fn size(&self) -> u64 {
        self.files.iter().map(|file| file.size).sum()
    }

    /// Returns the location of the chunk at `index`; `None` after the last chunk.
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

    /// Returns the locations of all chunks, in order.
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
