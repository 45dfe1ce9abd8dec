//! Documents on their way from a voter to its followers: compressed, and in parts.
//!
//! *Load pattern*: a document of a thousand routes and more is changed, or all entries follow a voter
//! anew, and dozens of them are told the whole of it at once. As one frame of some hundred KB to each
//! it fills the voter's link for a second: signs of life wait behind it, every follower takes its
//! voter for silent, and asks the next one for the same document. Nobody learned anything new for
//! ten seconds then. Compressed, a document is a small part of that; in parts, other news goes in between,
//! and each part is a sign of life.

use std::io;
use std::mem;

use bytes::BytesMut;
use filbertstack_control::document::Document;
use filbertstack_control::document::Packed;
use filbertstack_control::document::UnpackError;
use thiserror::Error;

use crate::link::messages::DocumentPart;

/// The longest part, in bytes: a link of 40 Mbit/s carries it in 7 ms.
const PART: usize = 32 << 10;

/// The most bytes that the parts of a document may have: a compressed one is hardly longer than it was.
const LONGEST: usize = 8 << 20;

/// Why parts make no document. The follower leaves its voter and is sent all of them again.
#[derive(Debug, Error)]
pub enum PartError {
    /// A part is missing, or comes twice.
    #[error("part {number} of {count} of version {version} is out of turn; it is fetched again")]
    OutOfTurn {
        /// The document's version.
        version: u64,
        /// The part's number, from 0.
        number: u32,
        /// How many parts there are.
        count: u32,
    },
    /// What the parts hold is no document.
    #[error("{0}; it is fetched again")]
    Unpack(#[from] UnpackError),
    /// The parts are longer than those of a document may be.
    #[error("the parts of version {version} have more than {LONGEST} bytes; shorten the document")]
    TooLong {
        /// The document's version.
        version: u64,
    },
}

/// The parts of a document, in their order.
///
/// # Errors
/// Those of the compressor.
pub fn split(document: &Document) -> io::Result<Vec<DocumentPart>> {
    let packed = Packed::pack(document)?.body;
    let count = packed.len().div_ceil(PART).max(1);
    let parts = (0..count).map(|number| {
        let end = packed.len().min((number + 1) * PART);
        DocumentPart {
            version: document.version,
            number: u32::try_from(number).unwrap_or(u32::MAX),
            count: u32::try_from(count).unwrap_or(u32::MAX),
            body: packed.slice(number * PART..end),
        }
    });
    Ok(parts.collect())
}

/// The parts of one document that have come so far.
#[derive(Debug, Default)]
pub struct Assembly {
    version: u64,
    next: u32,
    packed: BytesMut,
}

impl Assembly {
    /// Takes the next part; the document, if it was the last.
    ///
    /// # Errors
    /// [`PartError`]; the parts so far are dropped.
    pub fn take(&mut self, part: DocumentPart) -> Result<Option<Document>, PartError> {
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
        let long = self.packed.len() + body.len() > LONGEST;
        if long {
            *self = Self::default();
            return Err(PartError::TooLong { version });
        }
        if version != self.version || number != self.next {
            *self = Self::default();
            return Err(PartError::OutOfTurn {
                version,
                number,
                count,
            });
        }
        self.packed.extend_from_slice(&body);
        self.next += 1;
        if self.next < count {
            return Ok(None);
        }
        let body = mem::take(self).packed.freeze();
        let document = Packed { version, body }.unpack()?;
        Ok(Some(document))
    }
}
