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

/// The interval at which an idle end sends a heartbeat.
pub const HEARTBEAT: Duration = Duration::from_secs(1);

/// The time without a frame after which a link is closed: three heartbeats may be lost or late.
///
/// When a network partition drops packets silently, TCP reports no error for minutes, and every call would
/// hang until its own deadline. Every live end sends at least one frame per [`HEARTBEAT`], so silence means
/// that the far end or the path to it has failed.
pub const SILENCE: Duration = Duration::from_millis(3500);

/// The stack size of a link's threads and of handlers, in bytes.
pub const STACK: usize = 512 << 10;

/// The number of bytes read at once, and the approximate number written at once.
const BUFFER: usize = 64 << 10;

/// The identity of the far end of a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Remote {
    /// The role whose key the far end has proved to hold.
    pub role: Role,
    /// The instance name that the far end has given.
    pub name: Arc<str>,
}

/// Handles the calls that arrive on a link.
///
/// It runs on the link's reading thread and must not block: slow work belongs on another thread.
pub trait Handler: Send + Sync {
    /// Handles one call; replies go through `responder`.
    fn handle(&self, remote: &Remote, ask: Ask, responder: Responder);
}

impl<F: Fn(&Remote, Ask, Responder) + Send + Sync> Handler for F {
    fn handle(&self, remote: &Remote, ask: Ask, responder: Responder) {
        self(remote, ask, responder);
    }
}

/// The state that a link's threads, calls and responders share.
pub(crate) struct Shared {
    pub(crate) outbox: Outbox,
    socket: TcpStream,
    remote: Remote,
    /// Whether reading has ended.
    ended: Mutex<bool>,
    /// Wakes the threads that wait for `ended`.
    end_reached: Condvar,
    /// Where the replies to this end's calls go, by stream.
    inboxes: Mutex<HashMap<u64, Inbox>>,
    incoming: Incoming,
    /// The notice of the far end that its process ends, once received.
    ending: Mutex<Option<Ending>>,
    next_stream: AtomicU64,
}

impl Shared {
    /// Returns whether the link accepts no more frames to send.
    pub(crate) fn is_closed(&self) -> bool {
        self.outbox.is_closed()
    }

    /// Returns whether reading has ended too.
    fn has_ended(&self) -> bool {
        *lock(&self.ended)
    }

    /// Waits until reading has ended, but not past `deadline`.
    fn await_end(&self, deadline: Instant) {
        let mut ended = lock(&self.ended);
        while !*ended {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            let waited = self.end_reached.wait_timeout(ended, left);
            ended = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Drops all further replies to the call `stream`.
    pub(crate) fn drop_inbox(&self, stream: u64) {
        lock(&self.inboxes).remove(&stream);
    }

    /// Notes that the far end's call `stream` has ended.
    pub(crate) fn end_incoming(&self, stream: u64) {
        self.incoming.end(stream);
    }

    /// Ends the sending side after a write failed.
    ///
    /// A failed write does not show what the far end sent before it: a process that ends writes its last
    /// answers and closes the connection, and the next heartbeat to it fails while these answers are still
    /// unread. So the reader goes on. Calls that were never written can't be answered and fail now.
    fn stop_sending(&self, end: &End) {
        if !self.has_ended() {
            let Remote { role, name } = &self.remote;
            let cause = end.to_string();
            info!("link stopped sending", kv: { role:?, peer = name.as_ref(), cause });
        }
        let waiting = self.outbox.close();
        self.fail_unsent(waiting);
        // The replies to these calls can't reach the far end.
        self.incoming.cancel_all();
        // Signals the end of the stream to the far end, if it still runs.
        let _ = self.socket.shutdown(Shutdown::Write);
    }

    /// Ends the sending side after everything was written, and signals the end of the stream to the far end.
    fn end_writing(&self) {
        self.outbox.close();
        let _ = self.socket.shutdown(Shutdown::Write);
    }

    /// Stores the far end's notice that its process ends. When the connection closes, calls that the notice
    /// does not cover count as not run.
    fn note_ending(&self, ending: Ending) {
        *lock(&self.ending) = Some(ending);
    }

    /// Fails the calls among `frames`, none of which was written, so the far end can't have run them.
    ///
    /// If their outcome were reported as unknown, a request that must not run twice could not be retried.
    fn fail_unsent(&self, frames: impl IntoIterator<Item = Frame>) {
        let calls = frames.into_iter();
        let calls = calls.filter(|frame| matches!(frame.item, Some(Item::Call(_))));
        let mut inboxes = lock(&self.inboxes);
        for inbox in calls.filter_map(|frame| inboxes.remove(&frame.stream)) {
            inbox.fail(WireError::Unsent);
        }
    }

    /// Closes the connection and fails the calls in progress.
    fn close(&self, end: &End) {
        let ended = mem::replace(&mut *lock(&self.ended), true);
        self.end_reached.notify_all();
        let waiting = self.outbox.close();
        self.fail_unsent(waiting);
        let _ = self.socket.shutdown(Shutdown::Both);
        let mut inboxes = lock(&self.inboxes);
        if !ended {
            self.log_end(end, inboxes.len());
        }
        let ending = *lock(&self.ending);
        for (stream, inbox) in inboxes.drain() {
            let unseen = ending.is_some_and(|ending| stream > ending.last);
            inbox.fail(if unseen {
                WireError::Unsent
            } else {
                WireError::Lost
            });
        }
        drop(inboxes);
        self.incoming.cancel_all();
    }

    /// Logs why the link ended and how many calls ended with it.
    fn log_end(&self, end: &End, calls: usize) {
        let Remote { role, name } = &self.remote;
        let cause = end.to_string();
        if calls == 0 {
            info!("link ended", kv: { role:?, peer = name.as_ref(), cause });
        } else {
            warn!("link ended with calls in progress", kv: { role:?, peer = name.as_ref(), cause, calls });
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
    /// Starts the threads of a link on `session`; the far end's calls go to `handler`.
    ///
    /// # Errors
    /// Fails if the socket can't be cloned or a thread can't be started.
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
            end_reached: Condvar::new(),
            inboxes: Mutex::default(),
            incoming: Incoming::default(),
            ending: Mutex::default(),
            next_stream: AtomicU64::new(1),
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

    /// Returns the identity of the far end.
    pub fn remote(&self) -> &Remote {
        &self.shared.remote
    }

    /// Returns whether the link accepts no more calls. Replies that the far end has sent may still be read.
    pub fn is_closed(&self) -> bool {
        self.shared.is_closed()
    }

    /// Closes the link; calls in progress fail with [`WireError::Lost`].
    pub fn close(&self) {
        self.shared.close(&End::ClosedHere);
    }

    /// Refuses every new call of the far end as not run.
    pub(crate) fn refuse_new(&self) {
        self.shared.incoming.refuse_new();
    }

    /// Waits until the far end's calls have ended, but not past `deadline`. Then queues, as the last frame,
    /// the notice of which calls were accepted.
    pub(crate) fn end_sending(&self, deadline: Instant) {
        self.shared.incoming.await_idle(deadline);
        let last = self.shared.incoming.last_accepted();
        let ending = Frame {
            item: Some(Item::Ending(Ending { last })),
            ..Frame::default()
        };
        if let Err(error) = self.shared.outbox.push(ending) {
            info!("could not send the notice that the link ends", kv: { error = error.to_string() });
        }
        self.shared.outbox.finish();
    }

    /// Waits until everything is written and the far end has closed the link, then closes it here. The wait
    /// for the far end ends after [`SILENCE`].
    pub(crate) fn await_end(&self) {
        self.shared.outbox.flush();
        self.shared.await_end(Instant::now() + SILENCE);
        self.close();
    }

    /// Starts a call and returns its replies.
    ///
    /// # Errors
    /// [`WireError::Unsent`] if the link is closed; [`WireError::TooLarge`].
    pub fn call(&self, ask: Ask) -> Result<Replies, WireError> {
        let stream = self.shared.next_stream.fetch_add(1, Ordering::Relaxed);
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

    /// Makes a call with a single reply and waits for the reply.
    ///
    /// # Errors
    /// Fails as [`Link::call`] and [`Replies::next`] do.
    pub fn ask(&self, ask: Ask, timeout: Duration) -> Result<Tell, WireError> {
        let mut replies = self.call(ask)?;
        let reply = replies.next(Instant::now() + timeout)?;
        reply.ok_or(WireError::Protocol("a call without a reply"))
    }

    /// Sends a one-way call, which has no reply; drops the call if the link's queue is full.
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
