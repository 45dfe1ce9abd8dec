//! The HTTP side that the stand-ins share: a server with a thread for each call, typed replies
//! and streams whose every write goes out at once.

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
use crate::front;
use crate::front::Pipe;
use crate::front::Pipes;

/// The largest body that a stand-in reads into memory, in bytes.
pub const MAX_BODY: u64 = 4 << 20;

/// Any free port on loopback.
pub const ANY_ADDR: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// What a stand-in does with a call.
pub trait Handler: Send + Sync + 'static {
    /// Answers the call; runs on a thread of its own.
    fn handle(&self, call: Call);
}

/// A running server; dropping it closes every connection.
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
    /// [`StandinError::Bind`] if the address cannot be had.
    pub fn start(addr: SocketAddr, handler: Arc<dyn Handler>) -> Result<Self, StandinError> {
        let failed = |source| StandinError::Bind { addr, source };
        let outer = TcpListener::bind(addr).map_err(failed)?;
        let bound = outer.local_addr().map_err(failed)?;
        let inner = TcpListener::bind(ANY_ADDR).map_err(failed)?;
        front::set_nodelay(&inner).map_err(failed)?;
        let inner_addr = inner.local_addr().map_err(failed)?;
        let server = Server::from_listener(inner, None).map_err(|e| failed(io::Error::other(e)))?;
        let server = Arc::new(ServerHandle(server));
        let pipes = Arc::new(Pipes::default());
        let accept = {
            let pipes = pipes.clone();
            thread::spawn(move || pipes.serve(&outer, inner_addr))
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

    /// The address it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.pipes.close();
        // Wakes the accepting thread, which then sees that it is to end.
        let _ = TcpStream::connect(self.addr);
        if let Some(server) = self.server.take() {
            server.0.unblock();
        }
        for thread in self.threads.drain(..) {
            // A thread that panicked has ended too.
            let _ = thread.join();
        }
    }
}

fn dispatch(server: &Server, pipes: &Arc<Pipes>, handler: &Arc<dyn Handler>) {
    for request in server.incoming_requests() {
        if request.url() == front::HELLO {
            // The front that asked is gone if this fails.
            let _ = request.respond(Response::empty(StatusCode(204)));
            continue;
        }
        let peer = request.remote_addr().copied();
        let Some(pipe) = peer.and_then(|peer| pipes.get(peer)) else {
            // The pipe was cut before its request was taken up.
            continue;
        };
        let call = Call { request, pipe };
        let handler = handler.clone();
        thread::spawn(move || handler.handle(call));
    }
}

/// A typed answer that is sent whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The status code.
    pub status: u16,
    /// Headers besides the length and type.
    pub headers: Vec<(&'static str, String)>,
    /// The media type.
    pub media: &'static str,
    /// The body.
    pub body: Vec<u8>,
}

impl Reply {
    /// A JSON body.
    pub fn json<T: Serialize>(status: u16, value: &T) -> Self {
        Self {
            status,
            headers: Vec::new(),
            media: "application/json",
            body: serde_json::to_vec(value).unwrap_or_default(),
        }
    }

    /// A text body.
    pub fn text(status: u16, text: impl Into<String>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            media: "text/plain; charset=utf-8",
            body: text.into().into_bytes(),
        }
    }

    /// An error in the manner of the OpenAI API.
    pub fn error(status: u16, kind: &'static str, message: impl Into<String>) -> Self {
        let message = message.into();
        let error = ErrorDetail {
            message,
            kind,
            code: status,
        };
        Self::json(status, &ErrorBody { error })
    }

    /// The reply with one more header.
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

/// One call of a stand-in.
pub struct Call {
    request: Request,
    pipe: Arc<Pipe>,
}

impl Call {
    /// The method's name in capitals.
    pub fn method(&self) -> &str {
        self.request.method().as_str()
    }

    /// The path without the query.
    pub fn path(&self) -> &str {
        let url = self.request.url();
        url.split_once('?').map_or(url, |(path, _)| path)
    }

    /// The value of a query key, as it was written.
    pub fn query(&self, key: &str) -> Option<&str> {
        let (_, query) = self.request.url().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(k, _)| *k == key).map(|(_, value)| value)
    }

    /// A header's value.
    pub fn header(&self, name: &'static str) -> Option<&str> {
        let mut headers = self.request.headers().iter();
        let found = headers.find(|header| header.field.equiv(name))?;
        Some(found.value.as_str())
    }

    /// The connection, to ask whether the caller is still there.
    pub fn pipe(&self) -> Arc<Pipe> {
        self.pipe.clone()
    }

    /// The body.
    ///
    /// # Errors
    /// The reply to give if the body is cut or above [`MAX_BODY`].
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

    /// The body read as JSON.
    ///
    /// # Errors
    /// The reply to give if the body does not read.
    pub fn json<T: DeserializeOwned>(&mut self) -> Result<T, Reply> {
        let body = self.body()?;
        serde_json::from_slice(&body).map_err(|e| {
            let message = format!("the body does not read: {e}");
            Reply::error(400, "invalid_request_error", message)
        })
    }

    /// A reader of the body as it comes.
    pub fn reader(&mut self) -> impl Read {
        self.request.as_reader()
    }

    /// Sends `reply`; a caller that is gone gets nothing.
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

    /// Starts a chunked answer.
    ///
    /// # Errors
    /// The caller is gone.
    pub fn stream(self, media: &str, more: &[(&'static str, String)]) -> io::Result<ChunkWriter> {
        let head = Response::new(
            StatusCode(200),
            headers(media, more),
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
            whole: false,
        })
    }

    /// Starts an answer of `length` bytes whose body the caller of this function writes.
    ///
    /// # Errors
    /// The caller is gone.
    pub fn raw(
        self,
        status: u16,
        length: usize,
        more: &[(&'static str, String)],
    ) -> io::Result<RawWriter> {
        let headers = headers("application/octet-stream", more);
        let body = io::empty();
        let head = Response::new(StatusCode(status), headers, body, Some(length), None);
        let head = head.with_chunked_threshold(usize::MAX);
        let mut writer = self.request.into_writer();
        head.raw_print(&mut writer, HTTPVersion(1, 1), &[], true, None)?;
        Ok(RawWriter {
            writer,
            pipe: self.pipe,
            left: length,
        })
    }

    /// Ends the connection without an answer.
    pub fn cut(self) {
        self.pipe.cut();
    }
}

fn headers(media: &str, more: &[(&'static str, String)]) -> Vec<Header> {
    let pairs = more.iter().map(|(name, value)| (*name, value.as_str()));
    let pairs = std::iter::once(("Content-Type", media)).chain(pairs);
    // A value that is no ASCII text cannot stand in a header and is left out.
    pairs
        .filter_map(|(name, value)| Header::from_bytes(name, value).ok())
        .collect()
}

/// A chunked answer in progress; one dropped before [`ChunkWriter::finish`] ends in a cut, so that
/// the caller cannot take it as whole.
pub struct ChunkWriter {
    writer: Box<dyn Write + Send>,
    pipe: Arc<Pipe>,
    whole: bool,
}

impl ChunkWriter {
    /// Sends one chunk at once.
    ///
    /// # Errors
    /// The caller is gone.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.pipe.gone() {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
        chunk.extend_from_slice(bytes);
        chunk.extend_from_slice(b"\r\n");
        self.writer.write_all(&chunk)?;
        self.writer.flush()
    }

    /// Sends the mark of the end.
    ///
    /// # Errors
    /// The caller is gone.
    pub fn finish(mut self) -> io::Result<()> {
        self.writer.write_all(b"0\r\n\r\n")?;
        self.writer.flush()?;
        self.whole = true;
        Ok(())
    }
}

impl Drop for ChunkWriter {
    fn drop(&mut self) {
        if !self.whole {
            self.pipe.end();
        }
    }
}

/// An answer of known length in progress; one dropped before its length ends in a cut.
pub struct RawWriter {
    writer: Box<dyn Write + Send>,
    pipe: Arc<Pipe>,
    left: usize,
}

impl RawWriter {
    /// Whether the caller has hung up.
    pub fn gone(&self) -> bool {
        self.pipe.gone()
    }
}

impl Drop for RawWriter {
    fn drop(&mut self) {
        if self.writer.flush().is_err() || self.left > 0 {
            self.pipe.end();
        }
    }
}

impl Write for RawWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let written = self.writer.write(bytes)?;
        self.left = self.left.saturating_sub(written);
        Ok(written)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.writer.flush()
    }
}
