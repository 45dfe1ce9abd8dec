//! A byte pipe before a `tiny_http` server, which can do what that server cannot: close one
//! connection in the middle of an answer, and tell that a caller has hung up.
//!
//! `tiny_http` keeps a connection open when an answer's writer is dropped half way, so that a cut
//! would look like a stall. The front owns both sockets, so that a cut is a real end of the
//! connection. A caller that closes its sending side counts as gone.

use std::collections::HashMap;
use std::io;
use std::io::BufReader;
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

/// Large enough for an origin to fill a loopback link.
const BUFFER: usize = 64 * 1024;

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
            pipes.remove(peer);
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

    fn remove(&self, peer: SocketAddr) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.remove(&peer);
    }
}

/// Turns Nagle's algorithm off for every connection that `listener` accepts.
///
/// `tiny_http` does not do so. Small writes then wait for the peer's delayed acknowledgement, some
/// 40 ms, and a stream of tokens comes in bursts. Accepted sockets inherit the option from the
/// listening one.
///
/// # Errors
/// What the system says of the socket.
pub fn set_nodelay(listener: &TcpListener) -> io::Result<()> {
    let socket = OwnedFd::from(listener.try_clone()?);
    TcpStream::from(socket).set_nodelay(true)
}
