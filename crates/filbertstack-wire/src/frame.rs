//! The encoding of frames: length, authentication tag, message.

use bytes::Bytes;
use bytes::BytesMut;
use prost::Message;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;
use tokio_util::codec::LengthDelimitedCodec;

use crate::error::WireError;
use crate::keys::Key;
use crate::messages::Frame;

/// The largest body that a frame carries, in bytes: a caller's request, or all declarations at once.
pub const MAX_BODY: usize = 8 << 20;

/// The largest frame, in bytes: a body and four times the largest head of a request.
pub const MAX_FRAME: usize = MAX_BODY + (64 << 10);

/// The length of the authentication tag, in bytes.
pub const TAG_LEN: usize = 16;

/// Returns the codec that splits the byte stream into frames at both ends.
pub fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME)
        .new_codec()
}

/// Encodes and authenticates the frames of one direction.
///
/// A frame that is replayed, reordered or altered on the way could make an old order look new. The tag
/// covers the frame's number on the connection, which never repeats, so [`Opener`] rejects such a frame.
#[derive(Debug)]
pub struct Sealer {
    key: Key,
    /// The number of the next frame on the connection.
    next: u64,
    codec: LengthDelimitedCodec,
}

impl Sealer {
    /// Returns a sealer that starts at frame zero.
    pub fn new(key: Key) -> Self {
        Self {
            key,
            next: 0,
            codec: codec(),
        }
    }

    /// Appends `frame` with its length and tag to `out`.
    ///
    /// # Errors
    /// [`WireError::Protocol`] if the frame is over [`MAX_FRAME`].
    pub fn seal(&mut self, frame: &Frame, out: &mut BytesMut) -> Result<(), WireError> {
        let body = frame.encode_to_vec();
        let tag = self.key.mac(&[&self.next.to_le_bytes(), &body]);
        self.next += 1;
        let mut sealed = BytesMut::with_capacity(TAG_LEN + body.len());
        sealed.extend_from_slice(&tag.as_bytes()[..TAG_LEN]);
        sealed.extend_from_slice(&body);
        let oversized = |_| WireError::Protocol("a frame over the size limit");
        self.codec.encode(sealed.freeze(), out).map_err(oversized)
    }
}

/// Verifies and decodes the frames of one direction.
#[derive(Debug)]
pub struct Opener {
    key: Key,
    /// The number of the next frame on the connection.
    next: u64,
    codec: LengthDelimitedCodec,
}

impl Opener {
    /// Returns an opener that starts at frame zero.
    pub fn new(key: Key) -> Self {
        Self {
            key,
            next: 0,
            codec: codec(),
        }
    }

    /// Removes the next complete frame from `input` and returns it; returns `None` if there is none yet.
    ///
    /// # Errors
    /// [`WireError::Protocol`] if the frame's size, tag or message is wrong.
    pub fn open(&mut self, input: &mut BytesMut) -> Result<Option<Frame>, WireError> {
        let oversized = |_| WireError::Protocol("a frame over the size limit");
        let Some(sealed) = self.codec.decode(input).map_err(oversized)? else {
            return Ok(None);
        };
        if sealed.len() < TAG_LEN {
            return Err(WireError::Protocol("a frame without its tag"));
        }
        let mut sealed: Bytes = sealed.freeze();
        let tag = sealed.split_to(TAG_LEN);
        let expected = self.key.mac(&[&self.next.to_le_bytes(), &sealed]);
        self.next += 1;
        if !constant_time_eq(&expected.as_bytes()[..TAG_LEN], &tag) {
            return Err(WireError::Protocol("a frame with a wrong tag"));
        }
        let frame = Frame::decode(sealed);
        frame
            .map(Some)
            .map_err(|_| WireError::Protocol("a frame that does not decode"))
    }
}

/// Compares two byte strings in a time that does not depend on where they differ.
pub(crate) fn constant_time_eq(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |acc, (x, y)| acc | (x ^ y)) == 0
}
