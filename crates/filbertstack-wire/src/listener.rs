//! Accepts links.

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

/// How many connections may be in their handshake at once.
///
/// A stranger who opens connections and says nothing holds a thread for the handshake's timeout;
/// past this many, newcomers are closed at once and links that stand are not touched.
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
    greeting: AtomicUsize,
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
    /// Accepts links on `socket` for the instance `name`.
    ///
    /// # Errors
    /// If the socket has no address or the thread can't be started.
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
            greeting: AtomicUsize::new(0),
            links: Mutex::default(),
        });
        let accepting = state.clone();
        let builder = thread::Builder::new()
            .name("link-accept".into())
            .stack_size(STACK);
        builder.spawn(move || accepting.accept(&socket))?;
        Ok(Self { addr, state })
    }

    /// Where it listens.
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Listener {
    /// Ends the links so that what was sent on them arrives; a process that ends must.
    ///
    /// A reply that is sent stands in its link's queue, then in this system's buffers. Ended then, the
    /// process answers each byte that still comes (a heartbeat will do) with a reset, which throws
    /// away what has not arrived, and the caller's stream breaks off. So new calls are refused as not
    /// run, those in progress get up to `wait` to end, and each link ends its sending side and waits
    /// for the far end to close. One that does not read or close holds this up for twice
    /// [`SILENCE`](crate::link::SILENCE) at most.
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
        // Wakes the accepting thread, which then sees that it is to stop.
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
                Ok(connection) => self.greet(connection),
                // Out of descriptors, most likely: a pause lets some close.
                Err(_) => thread::sleep(Duration::from_millis(20)),
            }
        }
    }

    fn greet(self: &Arc<Self>, connection: TcpStream) {
        if self.greeting.fetch_add(1, Ordering::Relaxed) >= MAX_HANDSHAKES {
            self.greeting.fetch_sub(1, Ordering::Relaxed);
            return;
        }
        let state = self.clone();
        let builder = thread::Builder::new()
            .name("link-greet".into())
            .stack_size(STACK);
        let greeted = builder.spawn(move || {
            let opened = state.open(connection);
            state.greeting.fetch_sub(1, Ordering::Relaxed);
            if let Err(error) = opened {
                spdlog::debug!("link refused: {error}");
            }
        });
        if greeted.is_err() {
            self.greeting.fetch_sub(1, Ordering::Relaxed);
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
