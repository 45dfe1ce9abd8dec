//! One connection that carries many calls both ways.

mod end;
mod incoming;
mod reader;
mod writer;

use std::collections::HashMap;
use std::fmt;
use std::mem;
use std::net::Shutdown;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use spdlog::info;
use spdlog::warn;

use crate::error::WireError;
use crate::handshake::Session;
use crate::keys::Role;
use crate::link::end::End;
use crate::link::incoming::Incoming;
use crate::link::reader::Reader;
use crate::link::writer::Writer;
use crate::messages::Ask;
use crate::messages::Call;
use crate::messages::Ending;
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

/// How many bytes are read, and about how many are written, at once.
const BUFFER: usize = 64 << 10;

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

/// What a link's threads, calls and responders share.
pub(crate) struct Shared {
    pub(crate) outbox: Outbox,
    socket: TcpStream,
    remote: Remote,
    /// Whether nothing is read any more.
    ended: Mutex<bool>,
    end: Condvar,
    inboxes: Mutex<HashMap<u64, Inbox>>,
    incoming: Incoming,
    /// What the far end said of its end.
    far_end: Mutex<Option<Ending>>,
    next: AtomicU64,
}

impl Shared {
    /// Whether nothing can be sent any more.
    pub(crate) fn is_closed(&self) -> bool {
        self.outbox.is_closed()
    }

    /// Whether nothing is read any more either.
    fn has_ended(&self) -> bool {
        *lock(&self.ended)
    }

    /// Waits until nothing is read any more, until `until` at most.
    fn await_end(&self, until: Instant) {
        let mut ended = lock(&self.ended);
        while !*ended {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            let waited = self.end.wait_timeout(ended, left);
            ended = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    pub(crate) fn forget(&self, stream: u64) {
        lock(&self.inboxes).remove(&stream);
    }

    pub(crate) fn finished(&self, stream: u64) {
        self.incoming.end(stream);
    }

    /// Ends the sending side after a write failed.
    ///
    /// A failed write says nothing of what the far end sent before it: a process that ends writes its
    /// last answers and closes the connection, and the next heartbeat to it fails while they still wait
    /// to be read. So the reader goes on; calls that were never written can get no answer and fail now.
    fn stop_sending(&self, end: &End) {
        if !self.has_ended() {
            let Remote { role, name } = &self.remote;
            let cause = end.to_string();
            info!("link sends no more", kv: { role:?, peer = name.as_ref(), cause });
        }
        let waiting = self.outbox.close();
        self.fail_unsent(waiting);
        // Their replies can't reach the far end.
        self.incoming.cancel_all();
        // Tells the far end, if it lives, that nothing more comes.
        let _ = self.socket.shutdown(Shutdown::Write);
    }

    /// Ends the sending side after all was written, which tells the far end that nothing more comes.
    fn end_writing(&self) {
        self.outbox.close();
        let _ = self.socket.shutdown(Shutdown::Write);
    }

    /// Notes that the far end ends, as soon as the connection does. Calls that cross its end were not
    /// taken.
    fn far_end_ends(&self, ending: Ending) {
        *lock(&self.far_end) = Some(ending);
    }

    /// Fails the calls among `frames`, none of which was written: the far end can't have run them.
    /// Told "unknown" instead, a caller whose request must not run twice would get no second try.
    fn fail_unsent(&self, frames: impl IntoIterator<Item = Frame>) {
        let calls = frames.into_iter();
        let calls = calls.filter(|frame| matches!(frame.item, Some(Item::Call(_))));
        let mut inboxes = lock(&self.inboxes);
        for inbox in calls.filter_map(|frame| inboxes.remove(&frame.stream)) {
            inbox.fail(WireError::Unsent);
        }
    }

    fn close(&self, end: &End) {
        let ended = mem::replace(&mut *lock(&self.ended), true);
        self.end.notify_all();
        let waiting = self.outbox.close();
        self.fail_unsent(waiting);
        let _ = self.socket.shutdown(Shutdown::Both);
        let mut inboxes = lock(&self.inboxes);
        if !ended {
            self.explain(end, inboxes.len());
        }
        let far_end = *lock(&self.far_end);
        for (stream, inbox) in inboxes.drain() {
            let crossed = far_end.is_some_and(|ending| stream > ending.last);
            inbox.fail(if crossed {
                WireError::Unsent
            } else {
                WireError::Lost
            });
        }
        drop(inboxes);
        self.incoming.cancel_all();
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
            ended: Mutex::new(false),
            end: Condvar::new(),
            inboxes: Mutex::default(),
            incoming: Incoming::default(),
            far_end: Mutex::default(),
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

    /// Whether the link takes no more calls. What the far end sent before may still be read.
    pub fn is_closed(&self) -> bool {
        self.shared.is_closed()
    }

    /// Closes the link; calls in progress end as lost.
    pub fn close(&self) {
        self.shared.close(&End::Closed);
    }

    /// Takes no more calls of the far end, and refuses them as not run.
    pub(crate) fn refuse_new(&self) {
        self.shared.incoming.refuse_new();
    }

    /// Waits until the far end's calls have their answers, until `until` at most; then sends nothing
    /// more than what waits, and which calls were taken.
    pub(crate) fn end_sending(&self, until: Instant) {
        self.shared.incoming.await_none(until);
        let last = self.shared.incoming.last();
        let ending = Frame {
            item: Some(Item::Ending(Ending { last })),
            ..Frame::default()
        };
        if let Err(error) = self.shared.outbox.push(ending) {
            info!("end of a link not told", kv: { error = error.to_string() });
        }
        self.shared.outbox.finish();
    }

    /// Waits until all is written and the far end has read it and closed the link. One that does not
    /// is given up after [`SILENCE`].
    pub(crate) fn await_end(&self) {
        self.shared.outbox.flush();
        self.shared.await_end(Instant::now() + SILENCE);
        self.close();
    }

    /// Starts a call.
    ///
    /// # Errors
    /// [`WireError::Unsent`] if the link is closed; [`WireError::TooLarge`].
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
        let frame = Frame {
            stream,
            item,
            ..Frame::default()
        };
        match self.shared.outbox.push(frame) {
            Ok(()) => Ok(replies),
            Err(WireError::Lost) => Err(WireError::Unsent),
            Err(error) => Err(error),
        }
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
    /// [`WireError::Lost`], [`WireError::Overflow`] or [`WireError::TooLarge`].
    pub fn tell(&self, ask: Ask) -> Result<(), WireError> {
        let item = Some(Item::Call(Call { ask: Some(ask) }));
        self.shared.outbox.offer(Frame {
            item,
            ..Frame::default()
        })
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
