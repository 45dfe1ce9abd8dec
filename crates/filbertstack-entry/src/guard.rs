//! The guard before the HTTP library: bounds what a connection may cost before it is a request.
//!
//! `tiny_http` reads a request's head without a limit of size or time, and does not notice that a
//! caller has left until it writes. The guard accepts the callers' connections, reads the head
//! within [`HEAD_TIMEOUT`] and [`MAX_HEAD`], and passes the connection on to the library on
//! loopback. While a request is in progress it watches the caller's side, so that work for a
//! caller who has left can be cancelled.

mod head;

use std::collections::HashMap;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

pub use head::HEAD_TIMEOUT;
use head::HeadError;
pub use head::MAX_HEAD;
use head::closing;
use head::read_head;

/// How long a sent byte may wait for the caller to take it, and a body for its next byte.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The path on which the library answers the guard itself.
pub const HELLO: &str = "/.guard";

/// The whole answer on that path.
pub const HELLO_ANSWER: &[u8] = b"HTTP/1.1 204 No Content\r\ncontent-length: 0\r\n\r\n";

/// How long the library may take to answer the guard.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a caller that was answered may go on sending before the connection is closed.
const LINGER: Duration = Duration::from_millis(200);

const STACK: usize = 128 << 10;
const BUFFER: usize = 16 << 10;

/// The sign that a request's caller has left.
#[derive(Clone, Debug, Default)]
pub struct Gone(Arc<AtomicBool>);

impl Gone {
    /// Whether the caller has left.
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// How often bodies in arrival are checked against their deadline.
const BODY_TICK: Duration = Duration::from_millis(500);

/// One connection that is being served.
#[derive(Debug)]
struct Served {
    gone: Gone,
    inner: TcpStream,
    body_until: Option<Instant>,
}

/// Bounds the arrival of a request's body for as long as it lives.
#[derive(Debug)]
pub struct BodyTimer<'a> {
    shared: &'a Shared,
    port: Option<u16>,
}

impl Drop for BodyTimer<'_> {
    fn drop(&mut self) {
        let mut served = lock(&self.shared.served);
        if let Some(served) = self.port.and_then(|port| served.get_mut(&port)) {
            served.body_until = None;
        }
    }
}

/// Accepts callers' connections until it is dropped.
#[derive(Debug)]
pub struct Guard {
    addr: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    inner: SocketAddr,
    max_body: usize,
    max_connections: usize,
    connections: AtomicUsize,
    stopped: AtomicBool,
    opening: Mutex<()>,
    /// By the guard's own port on loopback, which the library sees as the caller's.
    served: Mutex<HashMap<u16, Served>>,
    answered: Condvar,
}

impl Guard {
    /// Accepts on `socket` and passes requests to `inner`.
    ///
    /// # Errors
    /// If the socket has no address or the thread can't be started.
    pub fn start(
        socket: TcpListener,
        inner: SocketAddr,
        max_body: usize,
        max_connections: usize,
    ) -> std::io::Result<Self> {
        let addr = socket.local_addr()?;
        let shared = Arc::new(Shared {
            inner,
            max_body,
            max_connections,
            connections: AtomicUsize::new(0),
            stopped: AtomicBool::new(false),
            opening: Mutex::default(),
            served: Mutex::default(),
            answered: Condvar::new(),
        });
        let accepting = shared.clone();
        let builder = thread::Builder::new()
            .name("guard-accept".into())
            .stack_size(STACK);
        builder.spawn(move || accepting.accept(&socket))?;
        let watching = shared.clone();
        let builder = thread::Builder::new()
            .name("guard-bodies".into())
            .stack_size(STACK);
        builder.spawn(move || watching.watch_bodies())?;
        Ok(Self { addr, shared })
    }

    /// Where callers connect.
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The sign for the request that the library received from `remote`.
    pub fn gone(&self, remote: Option<&SocketAddr>) -> Gone {
        let served = lock(&self.shared.served);
        let found = remote.and_then(|addr| served.get(&addr.port()));
        found.map(|served| served.gone.clone()).unwrap_or_default()
    }

    /// Ends the body of the request from `remote` early if it has not arrived within `timeout`.
    ///
    /// The library reads a body without a limit of time, so a caller that sends a byte now and
    /// then would hold a thread for good. The reader sees the body end short instead, and can
    /// still answer.
    pub fn time_body(&self, remote: Option<&SocketAddr>, timeout: Duration) -> BodyTimer<'_> {
        let port = remote.map(SocketAddr::port);
        let mut served = lock(&self.shared.served);
        if let Some(served) = port.and_then(|port| served.get_mut(&port)) {
            served.body_until = Some(Instant::now() + timeout);
        }
        BodyTimer {
            shared: &self.shared,
            port,
        }
    }

    /// Ends the body of the request from `remote` where it is.
    ///
    /// The library reads what is left of a body before it lets a request be answered. A caller
    /// that announces a large body and does not send it would never see that it is refused.
    pub fn end_body(&self, remote: Option<&SocketAddr>) {
        let served = lock(&self.shared.served);
        if let Some(served) = remote.and_then(|addr| served.get(&addr.port())) {
            let _ = served.inner.shutdown(Shutdown::Write);
        }
    }

    /// Waits until every request that came has its whole answer passed on, until `until` at most, and
    /// says whether it is so.
    ///
    /// The library is done with an answer once it has written it to the guard. A caller that reads
    /// slowly has yet to take a part of it then, which the end of the process would cut off.
    pub fn await_answers(&self, until: Instant) -> bool {
        let mut served = lock(&self.shared.served);
        while !served.is_empty() {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            let waited = self.shared.answered.wait_timeout(served, left);
            served = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        true
    }

    /// The connections open now.
    pub fn connections(&self) -> usize {
        self.shared.connections.load(Ordering::Relaxed)
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
        // Wakes the accepting thread, which then sees that it is to stop.
        let _ = TcpStream::connect_timeout(&self.addr, Duration::from_millis(200));
    }
}

impl Shared {
    fn accept(self: &Arc<Self>, socket: &TcpListener) {
        for connection in socket.incoming() {
            if self.stopped.load(Ordering::Relaxed) {
                return;
            }
            match connection {
                Ok(connection) => self.admit(connection),
                // Out of descriptors, most likely: a pause lets some close.
                Err(_) => thread::sleep(Duration::from_millis(20)),
            }
        }
    }

    fn watch_bodies(&self) {
        while !self.stopped.load(Ordering::Relaxed) {
            thread::sleep(BODY_TICK);
            let now = Instant::now();
            for served in lock(&self.served).values_mut() {
                if served.body_until.is_some_and(|until| until < now) {
                    served.body_until = None;
                    let _ = served.inner.shutdown(Shutdown::Write);
                }
            }
        }
    }

    fn admit(self: &Arc<Self>, mut caller: TcpStream) {
        let slot = Slot::take(self);
        if self.connections.load(Ordering::Relaxed) > self.max_connections {
            let _ = caller.set_write_timeout(Some(Duration::from_millis(100)));
            answer(
                &mut caller,
                "503 Service Unavailable",
                "too many connections: come back",
            );
            return;
        }
        let shared = self.clone();
        let builder = thread::Builder::new()
            .name("guard-caller".into())
            .stack_size(STACK);
        let _ = builder.spawn(move || {
            let _slot = slot;
            let _ = shared.serve(caller);
        });
    }

    /// Opens a connection to the library that has a thread of its own.
    ///
    /// The library takes a thread for idle until it has woken, though a connection is queued for
    /// it already: of several connections opened at once, some wait for another one's end. One
    /// caller would then wait for another's whole answer. Opened one at a time, each until the
    /// library has answered on it, none shares a thread.
    fn open_inner(&self) -> std::io::Result<TcpStream> {
        let _one_at_a_time = lock(&self.opening);
        let mut inner = TcpStream::connect(self.inner)?;
        inner.set_nodelay(true)?;
        inner.set_read_timeout(Some(HELLO_TIMEOUT))?;
        write!(inner, "GET {HELLO} HTTP/1.1\r\nhost: guard\r\n\r\n")?;
        let mut answer = [0; HELLO_ANSWER.len()];
        inner.read_exact(&mut answer)?;
        inner.set_read_timeout(None)?;
        Ok(inner)
    }

    fn serve(&self, mut caller: TcpStream) -> std::io::Result<()> {
        caller.set_nodelay(true)?;
        caller.set_write_timeout(Some(IDLE_TIMEOUT))?;
        let head = match read_head(&mut caller) {
            Ok(head) => head,
            Err(HeadError::Slow) => {
                answer(
                    &mut caller,
                    "408 Request Timeout",
                    "send the head within 10 s",
                );
                return Ok(());
            }
            Err(HeadError::Large) => {
                let status = "431 Request Header Fields Too Large";
                answer(
                    &mut caller,
                    status,
                    "a head has at most 16 KiB: send fewer headers",
                );
                return Ok(());
            }
            Err(HeadError::Closed) => return Ok(()),
        };
        let mut inner = self.open_inner()?;
        let watched = Watched::new(self, &inner)?;
        inner.write_all(&closing(&head))?;
        let back = Back {
            inner: inner.try_clone()?,
            caller: caller.try_clone()?,
        };
        let builder = thread::Builder::new()
            .name("guard-answer".into())
            .stack_size(STACK);
        let answering = builder.spawn(move || back.run())?;
        // A body over the limit is answered by the handler; this bound only ends a sender that
        // goes on regardless.
        let budget = self.max_body.saturating_mul(2).saturating_add(MAX_HEAD);
        pass_body(&mut caller, &mut inner, budget);
        watched.gone.set();
        let _ = inner.shutdown(Shutdown::Write);
        let _ = answering.join();
        drain(&mut caller);
        Ok(())
    }
}

/// Counts a connection for as long as it lives.
struct Slot(Arc<Shared>);

impl Slot {
    fn take(shared: &Arc<Shared>) -> Self {
        shared.connections.fetch_add(1, Ordering::Relaxed);
        Self(shared.clone())
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Registers a connection's sign for as long as it lives.
struct Watched<'a> {
    shared: &'a Shared,
    port: u16,
    gone: Gone,
}

impl<'a> Watched<'a> {
    fn new(shared: &'a Shared, inner: &TcpStream) -> std::io::Result<Self> {
        let port = inner.local_addr()?.port();
        let gone = Gone::default();
        let served = Served {
            gone: gone.clone(),
            inner: inner.try_clone()?,
            body_until: None,
        };
        lock(&shared.served).insert(port, served);
        Ok(Self { shared, port, gone })
    }
}

impl Drop for Watched<'_> {
    fn drop(&mut self) {
        lock(&self.shared.served).remove(&self.port);
        self.shared.answered.notify_all();
    }
}

/// Passes the answer from the library to the caller.
struct Back {
    inner: TcpStream,
    caller: TcpStream,
}

impl Back {
    fn run(mut self) {
        let mut buffer = vec![0; BUFFER];
        loop {
            let n = match self.inner.read(&mut buffer) {
                Ok(0) | Err(_) => break,
                Ok(n) => n,
            };
            if self.caller.write_all(&buffer[..n]).is_err() {
                break;
            }
        }
        // Ends the other direction too, which else would wait for a caller that says nothing.
        let _ = self.caller.shutdown(Shutdown::Both);
        let _ = self.inner.shutdown(Shutdown::Both);
    }
}

/// Passes what the caller sends until it leaves, says too much or stalls for good.
fn pass_body(caller: &mut TcpStream, inner: &mut TcpStream, budget: usize) {
    // Once the body is through, a caller that waits for its answer says nothing: silence is no
    // reason to end the connection here, the handler bounds the time of a body and of an answer.
    let _ = caller.set_read_timeout(None);
    let mut left = budget;
    let mut buffer = vec![0; BUFFER];
    while left > 0 {
        let n = match caller.read(&mut buffer) {
            Ok(0) | Err(_) => return,
            Ok(n) => n.min(left),
        };
        left -= n;
        if inner.write_all(&buffer[..n]).is_err() {
            return;
        }
    }
}

fn answer(caller: &mut TcpStream, status: &str, text: &str) {
    let body = format!("{{\"error\":{{\"message\":\"{text}\",\"type\":\"not_run\"}}}}\n");
    let head = format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
         x-filbertstack-outcome: not-run\r\nretry-after: 1\r\nconnection: close\r\n\r\n",
        body.len()
    );
    let _ = caller.write_all(head.as_bytes());
    let _ = caller.write_all(body.as_bytes());
    let _ = caller.shutdown(Shutdown::Write);
    drain(caller);
}

/// Reads what the caller still sends: closing with unread bytes would reset the connection and
/// take the answer away from the caller before it could read it.
fn drain(caller: &mut TcpStream) {
    let _ = caller.set_read_timeout(Some(LINGER));
    let mut buffer = [0; 4096];
    for _ in 0..64 {
        match caller.read(&mut buffer) {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}

/// Turns Nagle's algorithm off for every connection that `listener` accepts.
///
/// The library does not do so, and a token's small write may then wait for the far end's delayed
/// acknowledgement, on Linux for up to 40 ms. Accepted sockets inherit the option.
///
/// # Errors
/// What the system says of the socket.
pub fn set_nodelay(listener: &TcpListener) -> std::io::Result<()> {
    let socket = OwnedFd::from(listener.try_clone()?);
    TcpStream::from(socket).set_nodelay(true)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
