//! One connection that carries many calls both ways.

use std::collections::HashMap;
use std::fmt;
use std::io;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use bytes::BytesMut;
use prost::Message;
use spdlog::info;
use spdlog::warn;
use thiserror::Error;

use crate::error::WireError;
use crate::frame::Opener;
use crate::frame::Sealer;
use crate::handshake::Session;
use crate::keys::Role;
use crate::messages::Ask;
use crate::messages::Call;
use crate::messages::Empty;
use crate::messages::Fault;
use crate::messages::Frame;
use crate::messages::Item;
use crate::messages::Tell;
use crate::outbox::Outbox;
use crate::stream::Inbox;
use crate::stream::Replies;
use crate::stream::Responder;

/// How often an idle end sends a heartbeat.
pub const HEARTBEAT: Duration = Duration::from_secs(1);

/// How long a silent far end is taken to live: three heartbeats may be lost or late.
///
/// In a silent partition TCP reports nothing for minutes and every call would hang until its own
/// deadline. Every live end sends at least one frame a heartbeat, so silence means a dead path.
pub const SILENCE: Duration = Duration::from_millis(3500);

/// The stack of a link's threads and of handlers, in bytes.
pub const STACK: usize = 512 << 10;

/// How many calls of the far end may be in progress at once.
const MAX_CALLS: usize = 4096;

const READ_BUFFER: usize = 64 << 10;

/// Who is at the far end of a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Remote {
    /// The role whose key it proved.
    pub role: Role,
    /// The instance name it gave.
    pub name: Arc<str>,
}

/// Takes the calls that arrive on a link.
///
/// It runs on the link's reading thread and must not block: what takes time goes to a thread.
pub trait Handler: Send + Sync {
    /// Takes one call; replies go through `responder`.
    fn handle(&self, remote: &Remote, ask: Ask, responder: Responder);
}

impl<F: Fn(&Remote, Ask, Responder) + Send + Sync> Handler for F {
    fn handle(&self, remote: &Remote, ask: Ask, responder: Responder) {
        self(remote, ask, responder);
    }
}

/// Why a link ended, as its log line says it.
#[derive(Debug, Error)]
enum End {
    #[error("this process closed it")]
    Closed,
    #[error("the far end closed it")]
    Left,
    #[error("the far end was silent for {SILENCE:?}")]
    Silent,
    #[error("reading failed: {0}")]
    Read(io::Error),
    #[error("writing failed: {0}")]
    Write(WireError),
    #[error("{0}")]
    Frame(WireError),
}

impl From<io::Error> for End {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            ErrorKind::WouldBlock | ErrorKind::TimedOut => Self::Silent,
            _ => Self::Read(error),
        }
    }
}

/// What a link's threads, calls and responders share.
pub(crate) struct Shared {
    pub(crate) outbox: Outbox,
    socket: TcpStream,
    remote: Remote,
    closed: AtomicBool,
    inboxes: Mutex<HashMap<u64, Inbox>>,
    incoming: Mutex<HashMap<u64, Arc<AtomicBool>>>,
    next: AtomicU64,
}

impl Shared {
    pub(crate) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Relaxed)
    }

    pub(crate) fn forget(&self, stream: u64) {
        lock(&self.inboxes).remove(&stream);
    }

    pub(crate) fn finished(&self, stream: u64) {
        lock(&self.incoming).remove(&stream);
    }

    fn close(&self, end: &End) {
        let ended = self.closed.swap(true, Ordering::Relaxed);
        self.outbox.close();
        let _ = self.socket.shutdown(Shutdown::Both);
        let mut inboxes = lock(&self.inboxes);
        if !ended {
            self.explain(end, inboxes.len());
        }
        for (_, inbox) in inboxes.drain() {
            inbox.fail(WireError::Lost);
        }
        drop(inboxes);
        for (_, flag) in lock(&self.incoming).drain() {
            flag.store(true, Ordering::Relaxed);
        }
    }

    /// Says why the link ended, and how many calls broke off with it.
    fn explain(&self, end: &End, calls: usize) {
        let Remote { role, name } = &self.remote;
        let cause = end.to_string();
        if calls == 0 {
            info!("link ended", kv: { role:?, peer = name.as_ref(), cause });
        } else {
            warn!("link ended, calls broken off", kv: { role:?, peer = name.as_ref(), cause, calls });
        }
    }
}

/// One connection that carries many calls both ways; clones share it.
#[derive(Clone)]
pub struct Link {
    pub(crate) shared: Arc<Shared>,
}

impl fmt::Debug for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Link")
            .field("remote", &self.shared.remote)
            .finish_non_exhaustive()
    }
}

impl Link {
    /// Starts the threads of `session`; calls of the far end go to `handler`.
    ///
    /// # Errors
    /// If the socket can't be cloned or a thread can't be started.
    pub fn start(session: Session, handler: Arc<dyn Handler>) -> Result<Self, WireError> {
        let Session {
            socket,
            remote,
            sealer,
            opener,
            input,
        } = session;
        socket.set_read_timeout(Some(SILENCE))?;
        socket.set_write_timeout(Some(SILENCE))?;
        let shared = Arc::new(Shared {
            outbox: Outbox::default(),
            socket: socket.try_clone()?,
            remote,
            closed: AtomicBool::new(false),
            inboxes: Mutex::default(),
            incoming: Mutex::default(),
            next: AtomicU64::new(1),
        });
        let writer = Writer {
            shared: shared.clone(),
            socket: socket.try_clone()?,
            sealer,
        };
        spawn("link-writer", move || writer.run())?;
        let link = Self {
            shared: shared.clone(),
        };
        let reader = Reader {
            shared,
            socket,
            opener,
            input,
            handler,
        };
        spawn("link-reader", move || reader.run())?;
        Ok(link)
    }

    /// Who is at the far end.
    pub fn remote(&self) -> &Remote {
        &self.shared.remote
    }

    /// Whether the link is gone.
    pub fn is_closed(&self) -> bool {
        self.shared.is_closed()
    }

    /// Closes the link; calls in progress end as lost.
    pub fn close(&self) {
        self.shared.close(&End::Closed);
    }

    /// Starts a call.
    ///
    /// # Errors
    /// [`WireError::Lost`] if the link is gone; the call may then be made on another one only if
    /// it is idempotent or the far end can't have received it.
    pub fn call(&self, ask: Ask) -> Result<Replies, WireError> {
        let stream = self.shared.next.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = channel();
        let unread = Arc::new(AtomicUsize::new(0));
        let inbox = Inbox::new(sender, unread.clone());
        lock(&self.shared.inboxes).insert(stream, inbox);
        let link = self.clone();
        let replies = Replies {
            link,
            stream,
            receiver,
            unread,
            done: false,
        };
        let item = Some(Item::Call(Call { ask: Some(ask) }));
        self.shared.outbox.push(Frame {
            stream,
            item,
            ..Frame::default()
        })?;
        Ok(replies)
    }

    /// Makes a call that has one reply, and waits for it.
    ///
    /// # Errors
    /// As [`Link::call`] and [`Replies::next`].
    pub fn ask(&self, ask: Ask, timeout: Duration) -> Result<Tell, WireError> {
        let mut replies = self.call(ask)?;
        let reply = replies.next(Instant::now() + timeout)?;
        reply.ok_or(WireError::Protocol("a call without a reply"))
    }

    /// Sends a call that takes no reply; it is dropped if the link is full.
    ///
    /// # Errors
    /// [`WireError::Lost`] or [`WireError::Overflow`].
    pub fn tell(&self, ask: Ask) -> Result<(), WireError> {
        let item = Some(Item::Call(Call { ask: Some(ask) }));
        self.shared.outbox.offer(Frame {
            item,
            ..Frame::default()
        })
    }
}

struct Writer {
    shared: Arc<Shared>,
    socket: TcpStream,
    sealer: Sealer,
}

impl Writer {
    fn run(mut self) {
        let end = self.write_all().map_or_else(End::Write, |()| End::Closed);
        self.shared.close(&end);
    }

    /// Writes what is sent until the link is closed.
    fn write_all(&mut self) -> Result<(), WireError> {
        while let Some(mut frames) = self.shared.outbox.take(HEARTBEAT) {
            let taken = frames.len();
            if frames.is_empty() {
                frames.push(Frame {
                    item: Some(Item::Ping(Empty {})),
                    ..Frame::default()
                });
            }
            self.write(&frames)?;
            self.shared.outbox.note_written(taken);
        }
        Ok(())
    }

    fn write(&mut self, frames: &[Frame]) -> Result<(), WireError> {
        let mut out = BytesMut::new();
        for frame in frames {
            self.sealer.seal(frame, &mut out)?;
            if out.len() >= READ_BUFFER {
                self.socket.write_all(&out)?;
                out.clear();
            }
        }
        Ok(self.socket.write_all(&out)?)
    }
}

struct Reader {
    shared: Arc<Shared>,
    socket: TcpStream,
    opener: Opener,
    input: BytesMut,
    handler: Arc<dyn Handler>,
}

impl Reader {
    fn run(mut self) {
        let end = self.read_all();
        self.shared.close(&end);
    }

    /// Takes what comes until the link ends, and says why it ended.
    fn read_all(&mut self) -> End {
        let mut buffer = vec![0; READ_BUFFER];
        while !self.shared.is_closed() {
            if let Err(error) = self.take_frames() {
                return End::Frame(error);
            }
            match self.socket.read(&mut buffer) {
                Ok(0) => return End::Left,
                Ok(n) => self.input.extend_from_slice(&buffer[..n]),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return error.into(),
            }
        }
        End::Closed
    }

    fn take_frames(&mut self) -> Result<(), WireError> {
        while let Some(frame) = self.opener.open(&mut self.input)? {
            self.take(frame);
        }
        Ok(())
    }

    fn take(&self, frame: Frame) {
        let Frame {
            stream,
            seq,
            last,
            item,
        } = frame;
        match item {
            Some(Item::Call(call)) => self.take_call(stream, call),
            Some(Item::Reply(reply)) => self.take_reply(stream, seq, last, reply),
            Some(Item::Fault(fault)) => self.take_fault(stream, fault),
            Some(Item::Cancel(_)) => {
                if let Some(flag) = lock(&self.shared.incoming).get(&stream) {
                    flag.store(true, Ordering::Relaxed);
                }
            }
            Some(Item::Ping(_)) | None => {}
        }
    }

    fn take_call(&self, stream: u64, call: Call) {
        let cancelled = Arc::new(AtomicBool::new(false));
        let responder = Responder::new(self.shared.clone(), stream, cancelled.clone());
        if stream != 0 {
            let mut incoming = lock(&self.shared.incoming);
            if incoming.len() >= MAX_CALLS {
                drop(incoming);
                return responder.refuse("too many calls on this link: come back", 1000);
            }
            incoming.insert(stream, cancelled);
        }
        match call.ask {
            Some(ask) => self.handler.handle(&self.shared.remote, ask, responder),
            None => responder.refuse("a call of a later release: upgrade this end", 0),
        }
    }

    /// A reply to a call that is no longer waited for is dropped here: it has no inbox.
    fn take_reply(&self, stream: u64, seq: u32, last: bool, reply: crate::messages::Reply) {
        let mut inboxes = lock(&self.shared.inboxes);
        let Some(inbox) = inboxes.get_mut(&stream) else {
            return;
        };
        let size = reply.encoded_len();
        let delivered = inbox.deliver(seq, last, reply, size);
        if let Err(error) = delivered {
            inbox.fail(error);
            inboxes.remove(&stream);
        } else if last {
            inboxes.remove(&stream);
        }
    }

    fn take_fault(&self, stream: u64, fault: Fault) {
        let Some(inbox) = lock(&self.shared.inboxes).remove(&stream) else {
            return;
        };
        let cause = fault.cause();
        let Fault {
            text,
            after,
            not_run,
            ..
        } = fault;
        let error = if not_run {
            WireError::Refused { text, after, cause }
        } else {
            WireError::Lost
        };
        inbox.fail(error);
    }
}

fn spawn(name: &str, body: impl FnOnce() + Send + 'static) -> Result<(), WireError> {
    let builder = thread::Builder::new().name(name.into()).stack_size(STACK);
    builder.spawn(body)?;
    Ok(())
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
