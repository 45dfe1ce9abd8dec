//! Accepts links from other processes.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::error::WireError;
use crate::handshake;
use crate::keys::Keyring;
use crate::link::Handler;
use crate::link::Link;
use crate::link::STACK;

/// The largest number of connections in their handshake at once.
///
/// A client without a key that opens connections and sends nothing holds one thread for each until the
/// handshake's timeout. Beyond this number, new connections are closed at once; open links are not affected.
const MAX_HANDSHAKES: usize = 64;

/// Accepts links until it is dropped.
#[derive(Debug)]
pub struct Listener {
    addr: SocketAddr,
    state: Arc<State>,
}

struct State {
    name: Arc<str>,
    keys: Keyring,
    handler: Arc<dyn Handler>,
    stopped: AtomicBool,
    /// The connections that are in their handshake.
    handshakes: AtomicUsize,
    links: Mutex<Vec<Link>>,
}

impl std::fmt::Debug for State {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("State")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}

impl Listener {
    /// Starts to accept links on `socket` for the instance `name`; their calls go to `handler`.
    ///
    /// # Errors
    /// Fails if the socket has no address or the thread can't be started.
    pub fn start(
        socket: TcpListener,
        name: &str,
        keys: Keyring,
        handler: Arc<dyn Handler>,
    ) -> Result<Self, WireError> {
        let addr = socket.local_addr()?;
        let state = Arc::new(State {
            name: name.into(),
            keys,
            handler,
            stopped: AtomicBool::new(false),
            handshakes: AtomicUsize::new(0),
            links: Mutex::default(),
        });
        let accepting = state.clone();
        let builder = thread::Builder::new()
            .name("link-accept".into())
            .stack_size(STACK);
        builder.spawn(move || accepting.accept(&socket))?;
        Ok(Self { addr, state })
    }

    /// Returns the address that the listener is bound to.
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Listener {
    /// Closes all links after everything sent on them has arrived. A process calls it before it exits.
    ///
    /// A reply that was sent first waits in its link's queue, then in the buffers of the operating system.
    /// If the process exited then, the operating system would answer each further byte from the far end, even
    /// a heartbeat, with a reset. The reset discards the data that has not arrived, and the caller's stream
    /// breaks off. So new calls are refused as not run, calls in progress have up to `wait` to end, and each
    /// link shuts down its sending side and waits for the far end to close. A far end that does not read or
    /// close delays the return by twice [`SILENCE`](crate::link::SILENCE) at most.
    pub fn finish(&self, wait: Duration) {
        self.stop_accepting();
        let links = self.state.lock().clone();
        for link in &links {
            link.refuse_new();
        }
        let until = Instant::now() + wait;
        for link in &links {
            link.end_sending(until);
        }
        for link in &links {
            link.await_end();
        }
    }

    fn stop_accepting(&self) {
        if self.state.stopped.swap(true, Ordering::Relaxed) {
            return;
        }
        // Wakes the accepting thread, which then reads the flag and returns.
        let _ = TcpStream::connect_timeout(&self.addr, Duration::from_millis(200));
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.stop_accepting();
        for link in self.state.lock().drain(..) {
            link.close();
        }
    }
}

impl State {
    fn lock(&self) -> MutexGuard<'_, Vec<Link>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn accept(self: &Arc<Self>, socket: &TcpListener) {
        for connection in socket.incoming() {
            if self.stopped.load(Ordering::Relaxed) {
                return;
            }
            match connection {
                Ok(connection) => self.start_handshake(connection),
                // The process has most likely run out of file descriptors; a pause lets some be closed.
                Err(_) => thread::sleep(Duration::from_millis(20)),
            }
        }
    }

    fn start_handshake(self: &Arc<Self>, connection: TcpStream) {
        if self.handshakes.fetch_add(1, Ordering::Relaxed) >= MAX_HANDSHAKES {
            self.handshakes.fetch_sub(1, Ordering::Relaxed);
            return;
        }
        let state = self.clone();
        let builder = thread::Builder::new()
            .name("link-greet".into())
            .stack_size(STACK);
        let spawned = builder.spawn(move || {
            let opened = state.open(connection);
            state.handshakes.fetch_sub(1, Ordering::Relaxed);
            if let Err(error) = opened {
                spdlog::debug!("failed to open an incoming link: {error}");
            }
        });
        if spawned.is_err() {
            self.handshakes.fetch_sub(1, Ordering::Relaxed);
        }
    }

    fn open(&self, connection: TcpStream) -> Result<(), WireError> {
        let session = handshake::accept(connection, &self.name, &self.keys)?;
        let link = Link::start(session, self.handler.clone())?;
        let mut links = self.lock();
        links.retain(|link| !link.is_closed());
        links.push(link.clone());
        if self.stopped.load(Ordering::Relaxed) {
            link.close();
        }
        Ok(())
    }
}
