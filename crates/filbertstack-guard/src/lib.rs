//! The guard in front of the HTTP library: limits the resources of connections and detects callers that
//! leave.
//!
//! `tiny_http` reads the head of a request without a limit of size or time, and does not notice that a
//! caller has left before it writes. The guard accepts the callers' connections, reads the head within
//! [`HEAD_TIMEOUT`] and [`MAX_HEAD`], and forwards the connection to the library over loopback. While a
//! request is in progress the guard reads from the caller, so that work for a caller that has left can be
//! cancelled.

mod head;
mod room;

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
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use filbertstack_policy::connections::ConnectionKey;
use filbertstack_policy::connections::Connections;
use filbertstack_policy::connections::Phase;
use rustix::process::Resource;
use rustix::process::getrlimit;
use slotmap::SecondaryMap;
use socket2::SockRef;

pub use head::HEAD_TIMEOUT;
use head::HeadError;
pub use head::MAX_HEAD;
use head::announces_over;
use head::read_head;
use head::with_close_header;
pub use room::Room;
pub use room::Share;

/// The longest time that a write to the caller may block.
pub const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// The path on which the entry answers a request of the guard itself.
pub const HELLO: &str = "/.guard";

/// The complete answer on that path.
pub const HELLO_ANSWER: &[u8] = b"HTTP/1.1 204 No Content\r\ncontent-length: 0\r\n\r\n";

/// The longest time that the library may take to answer the guard.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// The longest time to wait for the next bytes of a caller that has been answered, before the connection
/// is closed.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);

/// The longest time that a caller which has been answered may go on sending.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

/// The size of the buffer for what a connection receives, in bytes. Without it the buffer grows to megabytes: bytes that
/// were sent to this process and are not read yet take its memory, too.
const RECEIVE_BYTES: usize = 32 << 10;

/// How many bytes of a connection may wait in the system to be sent, beside those that are under way. A bound of the
/// whole buffer would leave less than two segments under way on loopback, and each would wait for a delayed
/// acknowledgement.
const UNSENT_BYTES: u32 = 16 << 10;

/// The memory that the threads of a connection take, in bytes. 2,048 connections took 196 MB.
const CONNECTION_BYTES: usize = 96 << 10;

/// A connection takes four descriptors, and callers get half of those of the process.
const DESCRIPTORS_DIVISOR: usize = 8;

const STACK_BYTES: usize = 128 << 10;
const BUFFER_BYTES: usize = 16 << 10;

/// A flag that is set once the caller of a request has left.
#[derive(Clone, Debug, Default)]
pub struct CallerLeft(Arc<AtomicBool>);

impl CallerLeft {
    /// Returns whether the caller has left.
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// The interval at which bodies in arrival are checked against their deadlines.
const BODY_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// What callers may take of a process.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The longest body, in bytes.
    pub body: usize,
    /// The most connections at once. Fewer are taken if the process may have few descriptors or little memory.
    pub connections: usize,
    /// The memory for bodies of callers that arrive or wait for their answers, in bytes. Those of operators get a
    /// quarter of it besides, and the threads of connections three times as much.
    pub memory: usize,
}

impl Limits {
    /// Returns the most connections that the descriptors of the process and the memory allow.
    fn connections(&self) -> usize {
        let system = getrlimit(Resource::Nofile).current;
        let system = system.and_then(|limit| usize::try_from(limit).ok());
        let most = system.map_or(usize::MAX, |limit| limit / DESCRIPTORS_DIVISOR);
        let by_memory = 3 * self.memory / CONNECTION_BYTES;
        self.connections.min(most).min(by_memory)
    }
}

/// A connection that is being served.
#[derive(Debug)]
struct Connection {
    caller_left: CallerLeft,
    key: ConnectionKey,
    library: Arc<TcpStream>,
    body_deadline: Option<Instant>,
}

/// The connections of callers.
#[derive(Debug)]
struct Callers {
    connections: Connections,
    sockets: SecondaryMap<ConnectionKey, Arc<TcpStream>>,
}

/// Limits the arrival time of a request's body; dropping it removes the limit.
#[derive(Debug)]
pub struct BodyTimer<'a> {
    shared: &'a Shared,
    port: Option<u16>,
}

impl Drop for BodyTimer<'_> {
    fn drop(&mut self) {
        let mut served = lock(&self.shared.served);
        if let Some(served) = self.port.and_then(|port| served.get_mut(&port)) {
            served.body_deadline = None;
            self.shared.enter(served.key, Phase::Busy);
        }
    }
}

/// Accepts callers' connections; dropping it stops that.
#[derive(Debug)]
pub struct Guard {
    addr: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    library: SocketAddr,
    max_body: usize,
    started: Instant,
    callers: Mutex<Callers>,
    callers_room: Arc<Room>,
    operators_room: Arc<Room>,
    stopped: AtomicBool,
    open_lock: Mutex<()>,
    /// The connections by the guard's own port on loopback, which the library sees as the caller's port.
    served: Mutex<HashMap<u16, Connection>>,
    answered: Condvar,
}

impl Guard {
    /// Starts to accept connections on `socket` and to forward requests to `library`.
    ///
    /// # Errors
    /// Returns an error if the socket has no address or a thread cannot be started.
    pub fn start(
        socket: TcpListener,
        library: SocketAddr,
        limits: Limits,
    ) -> std::io::Result<Self> {
        let addr = socket.local_addr()?;
        set_buffers(&socket);
        let shared = Arc::new(Shared {
            library,
            max_body: limits.body,
            started: Instant::now(),
            callers: Mutex::new(Callers {
                connections: Connections::new(limits.connections()),
                sockets: SecondaryMap::new(),
            }),
            callers_room: Room::new(limits.memory),
            operators_room: Room::new(limits.memory / 4),
            stopped: AtomicBool::new(false),
            open_lock: Mutex::default(),
            served: Mutex::default(),
            answered: Condvar::new(),
        });
        let acceptor = shared.clone();
        let builder = thread::Builder::new()
            .name("guard-accept".into())
            .stack_size(STACK_BYTES);
        builder.spawn(move || acceptor.accept(&socket))?;
        let body_watcher = shared.clone();
        let builder = thread::Builder::new()
            .name("guard-bodies".into())
            .stack_size(STACK_BYTES);
        builder.spawn(move || body_watcher.watch_bodies())?;
        Ok(Self { addr, shared })
    }

    /// Returns the address to which callers connect.
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the flag for the request that the library received from `remote`.
    pub fn caller_left(&self, remote: Option<&SocketAddr>) -> CallerLeft {
        let served = lock(&self.shared.served);
        let found = remote.and_then(|addr| served.get(&addr.port()));
        found
            .map(|served| served.caller_left.clone())
            .unwrap_or_default()
    }

    /// Ends the body of the request from `remote` early if it has not arrived within `timeout`.
    ///
    /// The library reads a body without a limit of time, so a caller that sends a byte now and then
    /// would occupy a thread for ever. With the limit, the reader sees the body end early and can still
    /// answer.
    pub fn limit_body_time(&self, remote: Option<&SocketAddr>, timeout: Duration) -> BodyTimer<'_> {
        let port = remote.map(SocketAddr::port);
        let mut served = lock(&self.shared.served);
        if let Some(served) = port.and_then(|port| served.get_mut(&port)) {
            served.body_deadline = Some(Instant::now() + timeout);
            self.shared.enter(served.key, Phase::Receiving);
        }
        BodyTimer {
            shared: &self.shared,
            port,
        }
    }

    /// Ends the body of the request from `remote` at its current position.
    ///
    /// The library reads the rest of a body before it lets a request be answered. A caller that declares
    /// a large body and does not send it would never receive the refusal.
    pub fn end_body(&self, remote: Option<&SocketAddr>) {
        let served = lock(&self.shared.served);
        if let Some(served) = remote.and_then(|addr| served.get(&addr.port())) {
            let _ = served.library.shutdown(Shutdown::Write);
        }
    }

    /// Waits until the answers of all requests have been forwarded completely, or until `deadline`, and
    /// returns whether they have been.
    ///
    /// The library has finished an answer once it has written it to the guard. A caller that reads slowly
    /// has not received all of it by then, and the end of the process would cut off the rest.
    pub fn await_answers(&self, deadline: Instant) -> bool {
        let mut served = lock(&self.shared.served);
        while !served.is_empty() {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return false;
            }
            let waited = self.shared.answered.wait_timeout(served, remaining);
            served = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        true
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        lock(&self.shared.callers).connections.count()
    }

    /// Returns the memory for bodies of callers.
    pub fn callers_room(&self) -> &Arc<Room> {
        &self.shared.callers_room
    }

    /// Returns the memory for bodies of operators.
    pub fn operators_room(&self) -> &Arc<Room> {
        &self.shared.operators_room
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
        // Wakes the accepting thread, which then sees that it must stop.
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
                // The process is probably out of file descriptors; a pause lets some close.
                Err(_) => thread::sleep(Duration::from_millis(20)),
            }
        }
    }

    fn watch_bodies(&self) {
        while !self.stopped.load(Ordering::Relaxed) {
            thread::sleep(BODY_CHECK_INTERVAL);
            let now = Instant::now();
            for served in lock(&self.served).values_mut() {
                if served.body_deadline.is_some_and(|deadline| deadline < now) {
                    served.body_deadline = None;
                    let _ = served.library.shutdown(Shutdown::Write);
                }
            }
        }
    }

    fn admit(self: &Arc<Self>, caller: TcpStream) {
        let caller = Arc::new(caller);
        let Some(slot) = Slot::take(self, &caller) else {
            refuse_connection(&caller);
            return;
        };
        let shared = self.clone();
        let builder = thread::Builder::new()
            .name("guard-caller".into())
            .stack_size(STACK_BYTES);
        let _ = builder.spawn(move || {
            let _ = shared.serve(&caller, &slot);
        });
    }

    fn enter(&self, key: ConnectionKey, phase: Phase) {
        let now = self.started.elapsed().into();
        lock(&self.callers).connections.enter(key, phase, now);
    }

    /// Opens a connection to the library that the library serves on a thread of its own.
    ///
    /// The library counts a thread as idle until it has woken, even if a connection is already queued for
    /// it. If several connections were opened at once, some would be queued behind another, and their
    /// callers would wait for the whole answer of another caller. So the guard opens one connection at a
    /// time and waits until the library has answered on it; then no two connections share a thread.
    fn open_library(&self) -> std::io::Result<TcpStream> {
        let _open_lock_held = lock(&self.open_lock);
        let mut library = TcpStream::connect(self.library)?;
        bound_unsent(&SockRef::from(&library));
        library.set_nodelay(true)?;
        library.set_read_timeout(Some(HELLO_TIMEOUT))?;
        write!(library, "GET {HELLO} HTTP/1.1\r\nhost: guard\r\n\r\n")?;
        let mut answer = [0; HELLO_ANSWER.len()];
        library.read_exact(&mut answer)?;
        library.set_read_timeout(None)?;
        Ok(library)
    }

    fn serve(&self, caller: &Arc<TcpStream>, slot: &Slot) -> std::io::Result<()> {
        caller.set_nodelay(true)?;
        caller.set_write_timeout(Some(WRITE_TIMEOUT))?;
        let head = match read_head(caller) {
            Ok(head) => head,
            Err(HeadError::Slow) => {
                self.reject(
                    caller,
                    slot,
                    "408 Request Timeout",
                    "send the head within 10 s",
                );
                return Ok(());
            }
            Err(HeadError::Large) => {
                let status = "431 Request Header Fields Too Large";
                let text = "a head has at most 16 KiB: send fewer headers";
                self.reject(caller, slot, status, text);
                return Ok(());
            }
            Err(HeadError::Closed) => return Ok(()),
        };
        if announces_over(&head, self.max_body) {
            let text = format!("a body has at most {} bytes: send less", self.max_body);
            self.reject(caller, slot, "413 Content Too Large", &text);
            return Ok(());
        }
        self.enter(slot.key, Phase::Busy);
        let library = Arc::new(self.open_library()?);
        let registration = Registration::new(self, slot.key, &library)?;
        (&*library).write_all(&with_close_header(&head))?;
        let relay = AnswerRelay {
            library: library.clone(),
            caller: caller.clone(),
        };
        let builder = thread::Builder::new()
            .name("guard-answer".into())
            .stack_size(STACK_BYTES);
        let relay_thread = builder.spawn(move || relay.run())?;
        forward_body(caller, &library, self.most_bytes());
        registration.caller_left.set();
        let _ = library.shutdown(Shutdown::Write);
        let _ = relay_thread.join();
        self.close(caller, slot);
        Ok(())
    }

    fn reject(&self, caller: &TcpStream, slot: &Slot, status: &str, text: &str) {
        write_refusal(caller, status, text);
        self.close(caller, slot);
    }

    /// Reads what a caller that has been answered still sends, unless another needs its place.
    fn close(&self, caller: &TcpStream, slot: &Slot) {
        self.enter(slot.key, Phase::Idle);
        drain(caller, self.most_bytes());
    }

    /// Returns how many bytes of a body are read at most. The handler refuses one that is over the limit. This larger
    /// limit only stops a caller that keeps sending regardless.
    const fn most_bytes(&self) -> usize {
        self.max_body.saturating_mul(2).saturating_add(MAX_HEAD)
    }
}

/// The place of a connection among those of callers; dropping it makes room for another.
struct Slot {
    shared: Arc<Shared>,
    key: ConnectionKey,
}

impl Slot {
    /// Returns a place for `caller`, for which another connection may be closed; `None` if the requests of all others
    /// run.
    fn take(shared: &Arc<Shared>, caller: &Arc<TcpStream>) -> Option<Self> {
        let now = shared.started.elapsed().into();
        let mut callers = lock(&shared.callers);
        let admitted = callers.connections.admit(now)?;
        let closed = admitted.closes.and_then(|key| callers.sockets.remove(key));
        if let Some(closed) = closed {
            let _ = closed.shutdown(Shutdown::Both);
        }
        callers.sockets.insert(admitted.key, caller.clone());
        drop(callers);
        Some(Self {
            shared: shared.clone(),
            key: admitted.key,
        })
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut callers = lock(&self.shared.callers);
        callers.connections.remove(self.key);
        callers.sockets.remove(self.key);
    }
}

/// Registers a connection in [`Shared::served`]; dropping it removes the connection.
struct Registration<'a> {
    shared: &'a Shared,
    port: u16,
    caller_left: CallerLeft,
}

impl<'a> Registration<'a> {
    fn new(
        shared: &'a Shared,
        key: ConnectionKey,
        library: &Arc<TcpStream>,
    ) -> std::io::Result<Self> {
        let port = library.local_addr()?.port();
        let caller_left = CallerLeft::default();
        let served = Connection {
            caller_left: caller_left.clone(),
            key,
            library: library.clone(),
            body_deadline: None,
        };
        lock(&shared.served).insert(port, served);
        Ok(Self {
            shared,
            port,
            caller_left,
        })
    }
}

impl Drop for Registration<'_> {
    fn drop(&mut self) {
        lock(&self.shared.served).remove(&self.port);
        self.shared.answered.notify_all();
    }
}

/// Forwards the answer from the library to the caller.
struct AnswerRelay {
    library: Arc<TcpStream>,
    caller: Arc<TcpStream>,
}

impl AnswerRelay {
    fn run(self) {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let n = match (&*self.library).read(&mut buffer) {
                Ok(0) | Err(_) => break,
                Ok(n) => n,
            };
            if (&*self.caller).write_all(&buffer[..n]).is_err() {
                break;
            }
        }
        // Also ends the other direction, which otherwise would wait for a caller that sends nothing.
        let _ = self.caller.shutdown(Shutdown::Both);
        let _ = self.library.shutdown(Shutdown::Both);
    }
}

/// Forwards what the caller sends until the connection ends or `limit` bytes have been forwarded.
fn forward_body(mut caller: &TcpStream, mut library: &TcpStream, limit: usize) {
    // A caller that has sent its body sends nothing while it waits for the answer, so there is no read
    // timeout here. The handler limits the time of a body and of an answer.
    let _ = caller.set_read_timeout(None);
    let mut remaining = limit;
    let mut buffer = vec![0; BUFFER_BYTES];
    while remaining > 0 {
        let n = match caller.read(&mut buffer) {
            Ok(0) | Err(_) => return,
            Ok(n) => n.min(remaining),
        };
        remaining -= n;
        if library.write_all(&buffer[..n]).is_err() {
            return;
        }
    }
}

/// Refuses a connection that was accepted over the limit. What its caller sends is not read, so that a crowd does not
/// hold up the accepting thread: a caller that has sent its request by then may see a reset instead.
fn refuse_connection(caller: &TcpStream) {
    let _ = caller.set_nonblocking(true);
    let status = "503 Service Unavailable";
    write_refusal(caller, status, "too many connections: come back");
}

fn write_refusal(mut caller: &TcpStream, status: &str, text: &str) {
    let body = format!("{{\"error\":{{\"message\":\"{text}\",\"type\":\"not_run\"}}}}\n");
    let head = format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
         x-filbertstack-outcome: not-run\r\nretry-after: 1\r\nconnection: close\r\n\r\n",
        body.len()
    );
    let _ = caller.write_all(head.as_bytes());
    let _ = caller.write_all(body.as_bytes());
    let _ = caller.shutdown(Shutdown::Write);
}

/// Reads what the caller still sends, `most` bytes of it. Closing the connection with unread bytes would reset it, and
/// the caller could lose the answer before it has read it.
fn drain(mut caller: &TcpStream, most: usize) {
    let _ = caller.set_read_timeout(Some(LINGER_TIMEOUT));
    let until = Instant::now() + DRAIN_TIMEOUT;
    let mut left = most;
    let mut buffer = [0; 4096];
    while left > 0 && Instant::now() < until {
        match caller.read(&mut buffer) {
            Ok(0) | Err(_) => return,
            Ok(n) => left = left.saturating_sub(n),
        }
    }
}

/// Turns Nagle's algorithm off for every connection that `listener` accepts, and bounds its buffers.
///
/// The library does not do so, and the small write of a token may then wait for the delayed
/// acknowledgement of the remote end, on Linux for up to 40 ms. Accepted sockets inherit the option.
///
/// # Errors
/// Returns the system's error if the option cannot be set.
pub fn set_nodelay(listener: &TcpListener) -> std::io::Result<()> {
    set_buffers(listener);
    let socket = OwnedFd::from(listener.try_clone()?);
    TcpStream::from(socket).set_nodelay(true)
}

/// Bounds the buffers of every connection that `listener` accepts. A system that refuses a size keeps its own.
fn set_buffers(listener: &TcpListener) {
    let socket = SockRef::from(listener);
    let _ = socket.set_recv_buffer_size(RECEIVE_BYTES);
    bound_unsent(&socket);
}

/// Bounds what a socket keeps of bytes that its far end does not take. A system that refuses the bound has its own.
fn bound_unsent(socket: &SockRef<'_>) {
    let _ = socket.set_tcp_notsent_lowat(UNSENT_BYTES);
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
