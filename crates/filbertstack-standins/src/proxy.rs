//! A TCP proxy in front of a `tiny_http` server. It can close one connection in the middle of an
//! answer and detect that a caller has disconnected, which the server cannot.
//!
//! `tiny_http` keeps a connection open when an answer's writer is dropped before the end, so that a
//! cut would look like a stall. The proxy owns both sockets and closes them, so that the caller sees
//! the connection end. A caller that closes its sending side counts as disconnected.
//!
//! The proxy opens its connections to the server one at a time and sends a [`HELLO`] request on each,
//! which must be answered before the next is opened. The server's thread pool counts a thread as idle
//! until it runs, even if a connection is already queued for it. Of two connections opened at once,
//! one may therefore wait without an answer until some other connection ends. With one connection
//! opened at a time, every thread that counts as idle is idle.

use std::collections::HashMap;
use std::io;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// The size of a forwarding buffer in bytes, large enough for an origin to saturate loopback.
const BUFFER: usize = 64 * 1024;

/// The path of the request whose answer shows that a server thread serves the connection.
pub const HELLO: &str = "/.hello";

/// How long the server may take to answer [`HELLO`].
const HELLO_TIMEOUT: Duration = Duration::from_secs(10);

/// The longest answer to [`HELLO`], in bytes.
const MAX_HELLO: usize = 4096;

/// A caller's connection and its connection to the server.
#[derive(Debug)]
pub struct Pipe {
    caller: TcpStream,
    server: TcpStream,
    closed: AtomicBool,
}

impl Pipe {
    /// Returns whether the caller has disconnected or the connection was closed.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// Closes the connection at once; bytes that were not forwarded are lost.
    pub fn cut(&self) {
        self.closed.store(true, Ordering::Release);
        // Each call fails only if the socket is already closed.
        let _ = self.caller.shutdown(Shutdown::Both);
        let _ = self.server.shutdown(Shutdown::Both);
    }

    /// Closes the connection after the bytes that the server has flushed.
    pub fn end(&self) {
        self.closed.store(true, Ordering::Release);
        // Linux returns the bytes that were already received before it reports the end.
        let _ = self.server.shutdown(Shutdown::Read);
    }

    fn forward_requests(&self) {
        let mut from = BufReader::with_capacity(BUFFER, &self.caller);
        // An error and an end of file both mean that the caller has disconnected.
        let _ = io::copy(&mut from, &mut &self.server);
        self.cut();
    }

    fn forward_answers(&self) {
        let mut from = BufReader::with_capacity(BUFFER, &self.server);
        let _ = io::copy(&mut from, &mut &self.caller);
        self.cut();
    }
}

/// The open pipes, keyed by the peer address that the server sees.
#[derive(Debug, Default)]
pub struct Pipes {
    open: Mutex<HashMap<SocketAddr, Arc<Pipe>>>,
    closing: AtomicBool,
}

impl Pipes {
    /// Returns the pipe whose server side has `peer` as its remote address.
    pub fn get(&self, peer: SocketAddr) -> Option<Arc<Pipe>> {
        let open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.get(&peer).cloned()
    }

    /// Stops accepting connections and closes every pipe.
    pub fn close(&self) {
        self.closing.store(true, Ordering::Release);
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        for (_, pipe) in open.drain() {
            pipe.cut();
        }
    }

    /// Forwards every connection of `listener` to `server` until [`Pipes::close`].
    pub fn serve(self: &Arc<Self>, listener: &TcpListener, server: SocketAddr) {
        for caller in listener.incoming() {
            if self.closing.load(Ordering::Acquire) {
                return;
            }
            // A caller that has already disconnected or a full file table affects this connection alone.
            let Ok(caller) = caller else { continue };
            let _ = self.open(caller, server);
        }
    }

    fn open(self: &Arc<Self>, caller: TcpStream, server: SocketAddr) -> io::Result<()> {
        caller.set_nodelay(true)?;
        let server = TcpStream::connect(server)?;
        server.set_nodelay(true)?;
        await_thread(&server)?;
        let peer = server.local_addr()?;
        let pipe = Arc::new(Pipe {
            caller,
            server,
            closed: AtomicBool::new(false),
        });
        self.insert(peer, pipe.clone());
        let upstream = pipe.clone();
        thread::spawn(move || upstream.forward_requests());
        let pipes = self.clone();
        thread::spawn(move || {
            pipe.forward_answers();
            pipes.remove(peer, &pipe);
        });
        Ok(())
    }

    fn insert(&self, peer: SocketAddr, pipe: Arc<Pipe>) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        // The check is made under the lock, so that no pipe is added after `close` has drained the map.
        if self.closing.load(Ordering::Acquire) {
            pipe.cut();
            return;
        }
        open.insert(peer, pipe);
    }

    /// Removes `pipe`, unless another pipe has taken its address since.
    fn remove(&self, peer: SocketAddr, pipe: &Arc<Pipe>) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        if open
            .get(&peer)
            .is_some_and(|found| Arc::ptr_eq(found, pipe))
        {
            open.remove(&peer);
        }
    }
}

/// Waits until a server thread serves the connection.
fn await_thread(mut server: &TcpStream) -> io::Result<()> {
    server.set_read_timeout(Some(HELLO_TIMEOUT))?;
    write!(server, "GET {HELLO} HTTP/1.1\r\nHost: front\r\n\r\n")?;
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        server.read_exact(&mut byte)?;
        head.push(byte[0]);
        if head.len() > MAX_HELLO {
            return Err(io::ErrorKind::InvalidData.into());
        }
    }
    server.set_read_timeout(None)
}

/// Disables Nagle's algorithm for every connection that `listener` accepts.
///
/// `tiny_http` leaves it enabled, so that the small write of one token may wait for the peer's delayed
/// acknowledgement, up to 40 ms on Linux. Accepted sockets inherit the option from the listening one.
///
/// # Errors
/// The operating system's error if the option cannot be set.
pub fn set_nodelay(listener: &TcpListener) -> io::Result<()> {
    let socket = OwnedFd::from(listener.try_clone()?);
    TcpStream::from(socket).set_nodelay(true)
}
