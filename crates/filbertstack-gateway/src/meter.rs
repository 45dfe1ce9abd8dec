//! Bounds the bytes that a connection receives and that come to nothing.
//!
//! The far end of a connection may send without end what never becomes a message: interim answers, blank lines, the size of
//! a chunk. None of it is kept, but reading it takes the processor from all other requests of the process, as long as the
//! far end sends and the request lasts.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Buf as _;
use bytes::Bytes;
use bytes::BytesMut;
use filbertstack_policy::connections::Phase;
use filbertstack_policy::intake::Arrival;
use filbertstack_policy::intake::NoRoom;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use http_body_util::BodyExt as _;
use http_body_util::Limited;
use hyper::body::Incoming;
use thiserror::Error;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::room::Share;
use crate::slots::Slot;

/// How many bytes of framing a byte of content may have. A chunk of one byte has five.
const FRAMING_PER_BYTE: usize = 8;

/// Counts the bytes that a connection has received since its last message began, without those of content and its framing.
#[derive(Clone, Debug)]
pub struct Meter {
    empty: Arc<AtomicUsize>,
    limit: usize,
}

impl Meter {
    /// Creates a meter that allows `limit` bytes without content.
    pub fn new(limit: usize) -> Self {
        let empty = Arc::default();
        Self { empty, limit }
    }

    /// Begins to count for the next message.
    pub fn restart(&self) {
        self.empty.store(0, Ordering::Relaxed);
    }

    /// Counts received bytes.
    ///
    /// # Errors
    /// [`io::ErrorKind::InvalidData`] if there were too many without content.
    fn note_received(&self, bytes: usize) -> io::Result<()> {
        let empty = self.empty.load(Ordering::Relaxed) + bytes;
        self.empty.store(empty, Ordering::Relaxed);
        if empty <= self.limit {
            return Ok(());
        }
        let why = format!("over {} bytes came without content", self.limit);
        Err(io::Error::new(io::ErrorKind::InvalidData, why))
    }

    fn note_content(&self, bytes: usize) {
        let empty = self.empty.load(Ordering::Relaxed);
        let framed = bytes.saturating_mul(FRAMING_PER_BYTE);
        self.empty
            .store(empty.saturating_sub(framed), Ordering::Relaxed);
    }
}

/// Returns whether a connection failed because its far end sent what is no message, and not because it was lost.
pub fn is_invalid(error: &hyper::Error) -> bool {
    let source = std::error::Error::source(error);
    let kind = source.and_then(|source| Some(source.downcast_ref::<io::Error>()?.kind()));
    let invalid = [io::ErrorKind::InvalidData, io::ErrorKind::InvalidInput];
    error.is_parse() || kind.is_some_and(|kind| invalid.contains(&kind))
}

/// A connection whose received bytes are counted.
#[derive(Debug)]
pub struct Metered {
    stream: TcpStream,
    meter: Meter,
}

impl Metered {
    /// Counts the bytes that `stream` receives.
    pub fn new(stream: TcpStream, meter: Meter) -> Self {
        Self { stream, meter }
    }

    /// Returns the connection, whose bytes are counted no more.
    pub fn into_stream(self) -> TcpStream {
        self.stream
    }
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        let received = buffer.filled().len() - before;
        Poll::Ready(self.meter.note_received(received))
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// The body of a message that arrives on a metered connection.
#[derive(Debug)]
pub struct Received {
    body: Incoming,
    meter: Meter,
    /// The connection of a client, which counts as receiving until the body has arrived.
    slot: Option<Rc<Slot>>,
}

/// The reason why a body was not read to its end.
#[derive(Debug, Error)]
pub enum ReadError {
    /// It is longer than its limit.
    #[error("the body has more than {0} bytes; send less")]
    TooLong(usize),
    /// The process keeps too much of what others send.
    #[error("there is no room for the body; send it again later")]
    NoRoom,
    /// The connection failed.
    #[error("the body broke off: {0}")]
    Broken(#[from] hyper::Error),
}

impl From<NoRoom> for ReadError {
    fn from(NoRoom: NoRoom) -> Self {
        Self::NoRoom
    }
}

impl Received {
    /// Counts what arrives of `body` as content.
    pub fn new(body: Incoming, meter: Meter) -> Self {
        Self {
            body,
            meter,
            slot: None,
        }
    }

    /// Does the same, and records in `slot` when the body has arrived, or that it was left before.
    pub fn of_client(body: Incoming, meter: Meter, slot: Rc<Slot>) -> Self {
        slot.set_unread(false);
        let slot = if body.is_end_stream() {
            slot.enter(Phase::Busy);
            None
        } else {
            slot.enter(Phase::Receiving);
            Some(slot)
        };
        Self { body, meter, slot }
    }

    /// Reads the whole body, of at most `limit` bytes. It is copied: the parts in which it arrives keep buffers alive that
    /// have several times its length.
    ///
    /// # Errors
    /// [`LengthLimitError`](http_body_util::LengthLimitError) if it is longer, or the error of the connection.
    pub async fn read_whole(
        self,
        limit: usize,
    ) -> Result<Bytes, Box<dyn std::error::Error + Send + Sync>> {
        let mut body = Limited::new(self, limit);
        let mut whole = BytesMut::new();
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame?.into_data() {
                whole.extend_from_slice(&data);
            }
        }
        Ok(whole.freeze())
    }

    /// Reads the whole body, of at most `limit` bytes. Its memory is taken from `share`, which keeps it until it is
    /// dropped; `beside` bytes are taken for the head. One that is announced as longer than the limit is not read.
    ///
    /// # Errors
    /// [`ReadError`]; nothing is kept then.
    pub async fn read_kept(
        mut self,
        limit: usize,
        beside: usize,
        share: &Share,
    ) -> Result<Bytes, ReadError> {
        let hint = self.size_hint();
        let announced = hint
            .exact()
            .map(|length| usize::try_from(length).unwrap_or(usize::MAX));
        if announced.is_some_and(|length| length > limit) {
            return Err(ReadError::TooLong(limit));
        }
        let mut kept = Kept {
            bytes: Vec::new(),
            most: announced.unwrap_or(limit),
            beside,
            share,
        };
        loop {
            let frame = tokio::select! {
                biased;
                () = share.lost() => return Err(ReadError::NoRoom),
                frame = self.frame() => frame,
            };
            let Some(frame) = frame else {
                break;
            };
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            if kept.bytes.len() + data.len() > limit {
                return Err(ReadError::TooLong(limit));
            }
            let is_whole = announced == Some(kept.bytes.len() + data.len());
            kept.add(&data, is_whole)?;
        }
        share.keep(beside + kept.bytes.capacity(), Arrival::Whole)?;
        Ok(kept.bytes.into())
    }
}

/// The part of a body that has arrived, copied as in [`Received::read_whole`].
struct Kept<'a> {
    bytes: Vec<u8>,
    /// The most that the body may have.
    most: usize,
    /// What is kept beside it.
    beside: usize,
    share: &'a Share,
}

impl Kept<'_> {
    fn add(&mut self, data: &[u8], is_whole: bool) -> Result<(), NoRoom> {
        let length = self.bytes.len() + data.len();
        let capacity = if length > self.bytes.capacity() {
            // Twice the length bounds how often a body is copied as it grows.
            (2 * length).clamp(length, self.most.max(length))
        } else {
            self.bytes.capacity()
        };
        let arrival = if is_whole {
            Arrival::Whole
        } else {
            Arrival::Part(length)
        };
        self.share.keep(self.beside + capacity, arrival)?;
        self.bytes.reserve_exact(capacity - self.bytes.len());
        self.bytes.extend_from_slice(data);
        Ok(())
    }
}

impl Drop for Received {
    fn drop(&mut self) {
        if let Some(slot) = &self.slot {
            slot.set_unread(true);
        }
    }
}

impl Body for Received {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if let Some(Ok(frame)) = &frame
            && let Some(data) = frame.data_ref()
        {
            self.meter.note_content(data.remaining());
        }
        let has_ended = frame.is_none() || self.body.is_end_stream();
        if has_ended && let Some(slot) = self.slot.take() {
            slot.enter(Phase::Busy);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
