//! The HTTP server that the stand-ins share: one thread per call, typed replies, and streams that
//! flush every write.

use std::io;
use std::io::Cursor;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tiny_http::HTTPVersion;
use tiny_http::Header;
use tiny_http::Request;
use tiny_http::Response;
use tiny_http::Server;
use tiny_http::StatusCode;

use crate::error::StandinError;
use crate::proxy;
use crate::proxy::Pipe;
use crate::proxy::Pipes;

/// The largest body that a stand-in reads into memory, in bytes.
pub const MAX_BODY: u64 = 4 << 20;

/// The loopback address with port 0, which binds any free port.
pub const ANY_ADDR: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Handles the calls of a server.
pub trait Handler: Send + Sync + 'static {
    /// Answers the call. Each call runs on its own thread.
    fn handle(&self, call: Call);
}

/// A running server; dropping it stops its threads and closes every connection.
#[derive(Debug)]
pub struct HttpServer {
    addr: SocketAddr,
    server: Option<Arc<ServerHandle>>,
    pipes: Arc<Pipes>,
    threads: Vec<JoinHandle<()>>,
}

struct ServerHandle(Server);

impl std::fmt::Debug for ServerHandle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Server")
    }
}

impl HttpServer {
    /// Serves `handler` at `addr`.
    ///
    /// # Errors
    /// [`StandinError::Bind`] if the address cannot be bound.
    pub fn start(addr: SocketAddr, handler: Arc<dyn Handler>) -> Result<Self, StandinError> {
        let failed = |source| StandinError::Bind { addr, source };
        let listener = TcpListener::bind(addr).map_err(failed)?;
        let bound = listener.local_addr().map_err(failed)?;
        let server_listener = TcpListener::bind(ANY_ADDR).map_err(failed)?;
        proxy::set_nodelay(&server_listener).map_err(failed)?;
        let server_addr = server_listener.local_addr().map_err(failed)?;
        let server = Server::from_listener(server_listener, None)
            .map_err(|e| failed(io::Error::other(e)))?;
        let server = Arc::new(ServerHandle(server));
        let pipes = Arc::new(Pipes::default());
        let accept = {
            let pipes = pipes.clone();
            thread::spawn(move || pipes.serve(&listener, server_addr))
        };
        let dispatch = {
            let (server, pipes) = (server.clone(), pipes.clone());
            thread::spawn(move || dispatch(&server.0, &pipes, &handler))
        };
        Ok(Self {
            addr: bound,
            server: Some(server),
            pipes,
            threads: vec![accept, dispatch],
        })
    }

    /// Returns the address that the server listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.pipes.close();
        // The connection wakes the accepting thread, which then finds the pipes closed and returns.
        let _ = TcpStream::connect(self.addr);
        if let Some(server) = self.server.take() {
            server.0.unblock();
        }
        for thread in self.threads.drain(..) {
            // An error means that the thread panicked, so that it has ended as well.
            let _ = thread.join();
        }
    }
}

fn dispatch(server: &Server, pipes: &Arc<Pipes>, handler: &Arc<dyn Handler>) {
    for request in server.incoming_requests() {
        if request.url() == proxy::HELLO {
            // This fails only if the proxy has closed the connection.
            let _ = request.respond(Response::empty(StatusCode(204)));
            continue;
        }
        let peer = request.remote_addr().copied();
        let Some(pipe) = peer.and_then(|peer| pipes.get(peer)) else {
            // The pipe was closed before its request was received.
            continue;
        };
        let call = Call { request, pipe };
        let handler = handler.clone();
        thread::spawn(move || handler.handle(call));
    }
}

/// An answer that is sent as a whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The status code.
    pub status: u16,
    /// Headers other than the content's length and type.
    pub headers: Vec<(&'static str, String)>,
    /// The media type.
    pub media: &'static str,
    /// The body.
    pub body: Vec<u8>,
}

impl Reply {
    /// Returns a reply with a JSON body.
    pub fn json<T: Serialize>(status: u16, value: &T) -> Self {
        Self {
            status,
            headers: Vec::new(),
            media: "application/json",
            body: serde_json::to_vec(value).unwrap_or_default(),
        }
    }

    /// Returns a reply with a plain text body.
    pub fn text(status: u16, text: impl Into<String>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            media: "text/plain; charset=utf-8",
            body: text.into().into_bytes(),
        }
    }

    /// Returns an error in the format of the OpenAI API.
    pub fn error(status: u16, kind: &'static str, message: impl Into<String>) -> Self {
        let message = message.into();
        let error = ErrorDetail {
            message,
            kind,
            code: status,
        };
        Self::json(status, &ErrorBody { error })
    }

    /// Returns the reply with one more header.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }
}

#[derive(Serialize)]
struct ErrorBody {
    error: ErrorDetail,
}

#[derive(Serialize)]
struct ErrorDetail {
    message: String,
    #[serde(rename = "type")]
    kind: &'static str,
    code: u16,
}

/// An HTTP request to a stand-in, with the means to answer it.
pub struct Call {
    request: Request,
    pipe: Arc<Pipe>,
}

impl Call {
    /// Returns the method's name in capitals.
    pub fn method(&self) -> &str {
        self.request.method().as_str()
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        let url = self.request.url();
        url.split_once('?').map_or(url, |(path, _)| path)
    }

    /// Returns the value of a query key without percent-decoding.
    pub fn query(&self, key: &str) -> Option<&str> {
        let (_, query) = self.request.url().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(k, _)| *k == key).map(|(_, value)| value)
    }

    /// Returns the value of a header.
    pub fn header(&self, name: &'static str) -> Option<&str> {
        let mut headers = self.request.headers().iter();
        let found = headers.find(|header| header.field.equiv(name))?;
        Some(found.value.as_str())
    }

    /// Returns the connection, which reports whether the caller has disconnected.
    pub fn pipe(&self) -> Arc<Pipe> {
        self.pipe.clone()
    }

    /// Reads the whole body.
    ///
    /// # Errors
    /// The reply to send if the body is incomplete or above [`MAX_BODY`].
    pub fn body(&mut self) -> Result<Vec<u8>, Reply> {
        let mut body = Vec::new();
        let mut reader = self.request.as_reader().take(MAX_BODY + 1);
        let read = reader.read_to_end(&mut body);
        read.map_err(|e| Reply::error(400, "invalid_request_error", format!("cut body: {e}")))?;
        if body.len() as u64 > MAX_BODY {
            let message = format!("the body is above {MAX_BODY} bytes: send less");
            return Err(Reply::error(413, "invalid_request_error", message));
        }
        Ok(body)
    }

    /// Reads the body as JSON.
    ///
    /// # Errors
    /// The reply to send if the body cannot be read or parsed.
    pub fn json<T: DeserializeOwned>(&mut self) -> Result<T, Reply> {
        let body = self.body()?;
        serde_json::from_slice(&body).map_err(|e| {
            let message = format!("the body does not read: {e}");
            Reply::error(400, "invalid_request_error", message)
        })
    }

    /// Returns a reader that yields the body as it arrives.
    pub fn reader(&mut self) -> impl Read {
        self.request.as_reader()
    }

    /// Sends `reply`; an error of a disconnected caller is ignored.
    pub fn reply(self, reply: Reply) {
        let length = reply.body.len();
        let headers = headers(reply.media, &reply.headers);
        let body = Cursor::new(reply.body);
        let status = StatusCode(reply.status);
        let response = Response::new(status, headers, body, Some(length), None);
        let _ = self
            .request
            .respond(response.with_chunked_threshold(usize::MAX));
    }

    /// Sends the head of a chunked answer; the returned writer takes the chunks.
    ///
    /// # Errors
    /// The caller has disconnected.
    pub fn stream(self, media: &str, extra: &[(&'static str, String)]) -> io::Result<ChunkWriter> {
        let head = Response::new(
            StatusCode(200),
            headers(media, extra),
            io::empty(),
            None,
            None,
        );
        let mut writer = self.request.into_writer();
        head.raw_print(&mut writer, HTTPVersion(1, 1), &[], true, None)?;
        writer.flush()?;
        Ok(ChunkWriter {
            writer,
            pipe: self.pipe,
            finished: false,
        })
    }

    /// Sends the head of an answer of `length` bytes; the returned writer takes the body.
    ///
    /// # Errors
    /// The caller has disconnected.
    pub fn raw(
        self,
        status: u16,
        length: usize,
        extra: &[(&'static str, String)],
    ) -> io::Result<RawWriter> {
        let headers = headers("application/octet-stream", extra);
        let body = io::empty();
        let head = Response::new(StatusCode(status), headers, body, Some(length), None);
        let head = head.with_chunked_threshold(usize::MAX);
        let mut writer = self.request.into_writer();
        head.raw_print(&mut writer, HTTPVersion(1, 1), &[], true, None)?;
        Ok(RawWriter {
            writer,
            pipe: self.pipe,
            remaining: length,
        })
    }

    /// Closes the connection without an answer.
    pub fn cut(self) {
        self.pipe.cut();
    }
}

fn headers(media: &str, extra: &[(&'static str, String)]) -> Vec<Header> {
    let pairs = extra.iter().map(|(name, value)| (*name, value.as_str()));
    let pairs = std::iter::once(("Content-Type", media)).chain(pairs);
    // Headers hold ASCII text only; any other value is omitted.
    pairs
        .filter_map(|(name, value)| Header::from_bytes(name, value).ok())
        .collect()
}

/// A chunked answer in progress. Dropping it before [`ChunkWriter::finish`] closes the connection, so
/// that the caller sees an incomplete answer.
pub struct ChunkWriter {
    writer: Box<dyn Write + Send>,
    pipe: Arc<Pipe>,
    finished: bool,
}

impl ChunkWriter {
    /// Sends one chunk and flushes it.
    ///
    /// # Errors
    /// The caller has disconnected.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.pipe.is_closed() {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
        chunk.extend_from_slice(bytes);
        chunk.extend_from_slice(b"\r\n");
        self.writer.write_all(&chunk)?;
        self.writer.flush()
    }

    /// Sends the last, empty chunk.
    ///
    /// # Errors
    /// The caller has disconnected.
    pub fn finish(mut self) -> io::Result<()> {
        self.writer.write_all(b"0\r\n\r\n")?;
        self.writer.flush()?;
        self.finished = true;
        Ok(())
    }
}

impl Drop for ChunkWriter {
    fn drop(&mut self) {
        if !self.finished {
            self.pipe.end();
        }
    }
}

/// An answer of known length in progress. Dropping it before all bytes are written closes the connection.
pub struct RawWriter {
    writer: Box<dyn Write + Send>,
    pipe: Arc<Pipe>,
    remaining: usize,
}

impl RawWriter {
    /// Returns whether the caller has disconnected.
    pub fn is_closed(&self) -> bool {
        self.pipe.is_closed()
    }
}

impl Drop for RawWriter {
    fn drop(&mut self) {
        if self.writer.flush().is_err() || self.remaining > 0 {
            self.pipe.end();
        }
    }
}

impl Write for RawWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let written = self.writer.write(bytes)?;
        self.remaining = self.remaining.saturating_sub(written);
        Ok(written)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.writer.flush()
    }
}
