//! The frames that arrive on an accepted link. Those of all links share one room.

use std::io;
use std::rc::Rc;

use bytes::BytesMut;
use filbertstack_policy::intake::Arrival;
use filbertstack_policy::intake::NoRoom;
use filbertstack_policy::intake::SHORT_BYTES;
use futures_util::StreamExt as _;
use prost::Message as _;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::Notify;
use tokio_util::codec::Decoder;
use tokio_util::codec::FramedRead;
use tokio_util::codec::LengthDelimitedCodec;

use crate::link::MAX_FRAME;
use crate::link::Reader;
use crate::link::messages::Frame;
use crate::room::Room;
use crate::room::Share;

/// The length of the length before a frame, in bytes.
const LENGTH_BYTES: usize = 4;

/// The memory that a question takes beside its frame until it is answered, in bytes.
const QUESTION_BYTES: usize = 2 << 10;

/// The frames of one link.
pub struct Frames {
    reader: FramedRead<OwnedReadHalf, Counted>,
    loss: Rc<Notify>,
}

impl Frames {
    /// Reads frames whose bytes take memory of `room`.
    pub fn new(reader: Reader, room: Room) -> Self {
        let loss = Rc::new(Notify::new());
        let counted = |codec| Counted {
            codec,
            room,
            loss: loss.clone(),
            arriving: None,
        };
        Self {
            reader: reader.map_decoder(counted),
            loss,
        }
    }

    /// Returns the next frame and what it takes of the room; `None` if the link has ended, or a frame does not decode
    /// or has no room.
    pub async fn next(&mut self) -> Option<(Frame, Share)> {
        let (bytes, share) = tokio::select! {
            frame = self.reader.next() => frame?.ok()?,
            () = self.loss.notified() => return None,
        };
        Some((Frame::decode(bytes).ok()?, share))
    }
}

/// Splits bytes into frames, and counts what has arrived of the next one.
struct Counted {
    codec: LengthDelimitedCodec,
    room: Room,
    loss: Rc<Notify>,
    arriving: Option<Share>,
}

impl Decoder for Counted {
    type Item = (BytesMut, Share);
    type Error = io::Error;

    fn decode(&mut self, input: &mut BytesMut) -> Result<Option<Self::Item>, io::Error> {
        if input.is_empty() {
            return Ok(None);
        }
        // The codec takes memory for the whole frame as soon as its length has arrived.
        let frame = if has_frame(input) {
            self.codec.decode(input)?
        } else {
            None
        };
        let share = self.arriving.take();
        let share = share.unwrap_or_else(|| self.room.begin_for(&self.loss));
        let no_room = |NoRoom| io::Error::other("there is no room for the frame");
        let Some(frame) = frame else {
            let arrived = input.len();
            // A buffer that holds no more than a short frame belongs to the link.
            let held = if arrived > SHORT_BYTES {
                input.capacity()
            } else {
                arrived
            };
            share.keep(held, Arrival::Part(arrived)).map_err(no_room)?;
            self.arriving = Some(share);
            return Ok(None);
        };
        let held = frame.len() + QUESTION_BYTES;
        share.keep(held, Arrival::Whole).map_err(no_room)?;
        Ok(Some((frame, share)))
    }
}

/// Returns whether a frame has arrived whole, or is one that the codec refuses for its length.
fn has_frame(input: &[u8]) -> bool {
    let Some(length) = input.first_chunk() else {
        return false;
    };
    let length = u32::from_be_bytes(*length) as usize;
    length > MAX_FRAME || input.len() - LENGTH_BYTES >= length
}
