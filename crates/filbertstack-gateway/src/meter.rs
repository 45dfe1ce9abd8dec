//! Bounds the bytes that a connection receives and that come to nothing.
//!
//! The far end of a connection may send without end what never becomes a message: interim answers, blank lines, the size of
//! a chunk. None of it is kept, but reading it takes the processor from all other requests of the process, as long as the
//! far end sends and the request lasts.

use std::error::Error;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Buf as _;
use bytes::Bytes;
use bytes::BytesMut;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use http_body_util::BodyExt as _;
use http_body_util::Limited;
use hyper::body::Incoming;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

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
    let source = Error::source(error);
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
}

impl Received {
    /// Counts what arrives of `body` as content.
    pub fn new(body: Incoming, meter: Meter) -> Self {
        Self { body, meter }
    }
}

impl Received {
    /// Reads the whole body, of at most `limit` bytes. It is copied: the parts in which it arrives keep buffers alive that
    /// have several times its length.
    ///
    /// # Errors
    /// [`LengthLimitError`](http_body_util::LengthLimitError) if it is longer, or the error of the connection.
    pub async fn read_whole(self, limit: usize) -> Result<Bytes, Box<dyn Error + Send + Sync>> {
        let mut body = Limited::new(self, limit);
        let mut whole = BytesMut::new();
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame?.into_data() {
                whole.extend_from_slice(&data);
            }
        }
        Ok(whole.freeze())
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
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
