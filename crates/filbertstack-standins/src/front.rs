//! A byte pipe before a `tiny_http` server, which can do what that server cannot: close one
//! connection in the middle of an answer, and tell that a caller has hung up.
//!
//! `tiny_http` keeps a connection open when an answer's writer is dropped half way, so that a cut
//! would look like a stall. The front owns both sockets, so that a cut is a real end of the
//! connection. A caller that closes its sending side counts as gone.
//!
//! The front also opens the library's connections one after the other, each with a [`HELLO`] that
//! is answered before the next is opened. The library's pool counts a thread as idle until it has
//! run, although another connection may be queued for it already; of two connections opened at
//! once, one may then wait until some other connection ends, and its caller hears nothing. With
//! one opening at a time, every idle thread counted is really idle.

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

/// Large enough for an origin to fill a loopback link.
const BUFFER: usize = 64 * 1024;

/// The path of the request that shows that a connection has a thread.
pub const HELLO: &str = "/.hello";

/// How long the library may take to answer [`HELLO`].
const HELLO_TIMEOUT: Duration = Duration::from_secs(10);

/// The longest answer to [`HELLO`], in bytes.
const MAX_HELLO: usize = 4096;

/// One caller's connection.
#[derive(Debug)]
pub struct Pipe {
    caller: TcpStream,
    server: TcpStream,
    gone: AtomicBool,
}

impl Pipe {
    /// Whether the caller has hung up or the connection was cut.
    pub fn gone(&self) -> bool {
        self.gone.load(Ordering::Acquire)
    }

    /// Ends the connection at once; what was not sent is lost.
    pub fn cut(&self) {
        self.gone.store(true, Ordering::Release);
        // Both fail only when the socket is closed already.
        let _ = self.caller.shutdown(Shutdown::Both);
        let _ = self.server.shutdown(Shutdown::Both);
    }

    /// Ends the connection behind the bytes that the server has flushed.
    pub fn end(&self) {
        self.gone.store(true, Ordering::Release);
        // Linux still hands out what was received before it reports the end.
        let _ = self.server.shutdown(Shutdown::Read);
    }

    fn forward_up(&self) {
        let mut from = BufReader::with_capacity(BUFFER, &self.caller);
        // An error and an end both mean that the caller is gone.
        let _ = io::copy(&mut from, &mut &self.server);
        self.cut();
    }

    fn forward_down(&self) {
        let mut from = BufReader::with_capacity(BUFFER, &self.server);
        let _ = io::copy(&mut from, &mut &self.caller);
        self.cut();
    }
}

/// The open pipes, by the address that the server sees as its peer.
#[derive(Debug, Default)]
pub struct Pipes {
    open: Mutex<HashMap<SocketAddr, Arc<Pipe>>>,
    closing: AtomicBool,
}

impl Pipes {
    /// The pipe whose server side has `peer` as its remote address.
    pub fn get(&self, peer: SocketAddr) -> Option<Arc<Pipe>> {
        let open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.get(&peer).cloned()
    }

    /// Accepts no more and cuts every pipe.
    pub fn close(&self) {
        self.closing.store(true, Ordering::Release);
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        for (_, pipe) in open.drain() {
            pipe.cut();
        }
    }

    /// Pipes every connection of `listener` to `server` until [`Pipes::close`].
    pub fn serve(self: &Arc<Self>, listener: &TcpListener, server: SocketAddr) {
        for caller in listener.incoming() {
            if self.closing.load(Ordering::Acquire) {
                return;
            }
            // A caller that is gone already and a full file table concern that caller alone.
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
            gone: AtomicBool::new(false),
        });
        self.insert(peer, pipe.clone());
        let up = pipe.clone();
        thread::spawn(move || up.forward_up());
        let pipes = self.clone();
        thread::spawn(move || {
            pipe.forward_down();
            pipes.remove(peer, &pipe);
        });
        Ok(())
    }

    fn insert(&self, peer: SocketAddr, pipe: Arc<Pipe>) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        // Checked under the lock, so that no pipe outlives the drain of `close`.
        if self.closing.load(Ordering::Acquire) {
            pipe.cut();
            return;
        }
        open.insert(peer, pipe);
    }

    /// Removes `pipe`, unless another has come to its address meanwhile.
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

/// Waits until the library has a thread for the connection.
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

/// Turns Nagle's algorithm off for every connection that `listener` accepts.
///
/// `tiny_http` does not do so, and a token's small write may then wait for the peer's delayed
/// acknowledgement, on Linux for up to 40 ms. Accepted sockets inherit the option from the
/// listening one.
///
/// # Errors
/// What the system says of the socket.
pub fn set_nodelay(listener: &TcpListener) -> io::Result<()> {
    let socket = OwnedFd::from(listener.try_clone()?);
    TcpStream::from(socket).set_nodelay(true)
}
