//! Transfer of documents from a voter to its followers, compressed and split into parts.
//!
//! *Load pattern*: a document of a thousand routes or more changes, or all entries start to follow the
//! same voter, and dozens of them receive the whole document at once. As one frame of some hundred KB to
//! each follower, it would fill the voter's link for a second. The pulses would wait behind it, so every
//! follower would consider its voter silent and request the same document from the next voter; no
//! follower would receive an update for ten seconds. Compression makes a document much smaller. Between
//! parts, other messages can be sent, and each part shows that the voter is alive.

use std::io;
use std::mem;

use bytes::BytesMut;
use filbertstack_control::document::Document;
use filbertstack_control::document::Packed;
use filbertstack_control::document::UnpackError;
use thiserror::Error;

use crate::link::messages::DocumentPart;

/// The size of the longest part. A link of 40 Mbit/s carries it in 7 ms.
const MAX_PART_BYTES: usize = 32 << 10;

/// The most bytes that all parts of a document may have. Compression hardly makes any document longer.
const MAX_PACKED_BYTES: usize = 8 << 20;

/// Why parts can't be assembled into a document. The follower leaves its voter, and receives all parts again
/// from the next one.
#[derive(Debug, Error)]
pub enum PartError {
    /// A part is missing, or arrived twice.
    #[error(
        "part {number} of {count} of version {version} is out of order; the document is requested again"
    )]
    OutOfOrder {
        /// The document's version.
        version: u64,
        /// The part's number, from 0.
        number: u32,
        /// How many parts there are.
        count: u32,
    },
    /// The content of the parts is not a document.
    #[error("{0}; the document is requested again")]
    Unpack(#[from] UnpackError),
    /// The parts have more bytes than a document may have.
    #[error(
        "the parts of version {version} have more than {MAX_PACKED_BYTES} bytes; shorten the document"
    )]
    TooLong {
        /// The document's version.
        version: u64,
    },
}

/// Compresses a document and splits it into parts, in their order.
///
/// # Errors
/// The compressor's errors.
pub fn split_document(document: &Document) -> io::Result<Vec<DocumentPart>> {
    let packed = Packed::pack(document)?.body;
    let count = packed.len().div_ceil(MAX_PART_BYTES).max(1);
    let parts = (0..count).map(|number| {
        let end = packed.len().min((number + 1) * MAX_PART_BYTES);
        DocumentPart {
            version: document.version,
            number: u32::try_from(number).unwrap_or(u32::MAX),
            count: u32::try_from(count).unwrap_or(u32::MAX),
            body: packed.slice(number * MAX_PART_BYTES..end),
        }
    });
    Ok(parts.collect())
}

/// The parts of one document that have arrived so far.
#[derive(Debug, Default)]
pub struct Assembly {
    version: u64,
    next_number: u32,
    packed: BytesMut,
}

impl Assembly {
    /// Adds the next part, and returns the document if it was the last.
    ///
    /// # Errors
    /// [`PartError`]; the parts so far are dropped.
    pub fn add(&mut self, part: DocumentPart) -> Result<Option<Document>, PartError> {
        if part.number == 0 {
            *self = Self {
                version: part.version,
                ..Self::default()
            };
        }
        let DocumentPart {
            version,
            number,
            count,
            body,
        } = part;
        let long = self.packed.len() + body.len() > MAX_PACKED_BYTES;
        if long {
            *self = Self::default();
            return Err(PartError::TooLong { version });
        }
        if version != self.version || number != self.next_number {
            *self = Self::default();
            return Err(PartError::OutOfOrder {
                version,
                number,
                count,
            });
        }
        self.packed.extend_from_slice(&body);
        self.next_number += 1;
        if self.next_number < count {
            return Ok(None);
        }
        let body = mem::take(self).packed.freeze();
        let document = Packed { version, body }.unpack()?;
        Ok(Some(document))
    }
}
