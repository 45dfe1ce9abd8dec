//! Documents are compressed when they are sent between processes and written to the log.
//!
//! *Load pattern*: documents of a thousand routes follow each other several times a second. Uncompressed,
//! each takes some hundred KB of the link to each voter, of the voter's disk and of the log entries that
//! the voter keeps in memory. Compressed, it takes a tenth of that.

use std::io;
use std::io::Read as _;
use std::io::Write as _;

use bytes::Bytes;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use thiserror::Error;

use super::Document;

/// The longest document that is unpacked, in bytes. It is longer than any document that operators may send.
const MAX_UNPACKED_BYTES: u64 = 8 << 20;

/// A compressed document.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Packed {
    /// The document's version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The zlib-compressed bytes of the document.
    #[prost(bytes = "bytes", tag = "2")]
    pub body: Bytes,
}

/// Why a document can't be unpacked.
#[derive(Debug, Error)]
pub enum UnpackError {
    /// The compressed bytes can't be read.
    #[error("version {version} can't be read from its compressed bytes: {source}; send it again")]
    Unreadable {
        /// The document's version.
        version: u64,
        /// The error of the decompressor.
        source: io::Error,
    },
    /// The unpacked document is too long.
    #[error("version {version} is longer than {MAX_UNPACKED_BYTES} bytes; shorten the document")]
    TooLong {
        /// The document's version.
        version: u64,
    },
}

impl Packed {
    /// Compresses a document.
    ///
    /// # Errors
    /// Returns the errors of the compressor.
    pub fn pack(document: &Document) -> io::Result<Self> {
        let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&document.body)?;
        let body = encoder.finish()?.into();
        let version = document.version;
        Ok(Self { version, body })
    }

    /// Returns the document with the bytes that were packed.
    ///
    /// # Errors
    /// Returns an [`UnpackError`] if the bytes can't be decompressed, or the document is too long.
    pub fn unpack(&self) -> Result<Document, UnpackError> {
        let version = self.version;
        let mut body = Vec::new();
        let mut decoder = ZlibDecoder::new(&self.body[..]).take(MAX_UNPACKED_BYTES + 1);
        let read = decoder.read_to_end(&mut body);
        read.map_err(|source| UnpackError::Unreadable { version, source })?;
        if body.len() as u64 > MAX_UNPACKED_BYTES {
            return Err(UnpackError::TooLong { version });
        }
        let body = body.into();
        Ok(Document { version, body })
    }
}
