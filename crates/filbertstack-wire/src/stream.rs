//! The two ends of one call: the replies as the caller takes them, and the responder.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::mpsc::Sender;
use std::time::Instant;

use crate::error::WireError;
use crate::link::Link;
use crate::link::Shared;
use crate::messages::Call;
use crate::messages::Cause;
use crate::messages::Empty;
use crate::messages::Fault;
use crate::messages::Frame;
use crate::messages::Item;
use crate::messages::Payload;
use crate::messages::Reply;
use crate::messages::Tell;

/// How many bytes of replies may wait for a reader before the call is given up.
///
/// A caller that reads too slowly would otherwise hold the answers of all of a link's calls, or
/// this process's memory.
pub const MAX_UNREAD: usize = 16 << 20;

/// What the link's reader passes to a call.
#[derive(Debug)]
pub(crate) enum Arrival {
    Reply {
        reply: Reply,
        last: bool,
        size: usize,
    },
    Broken(WireError),
}

/// The reader's end of one call in progress.
#[derive(Debug)]
pub(crate) struct Inbox {
    sender: Sender<Arrival>,
    unread: Arc<AtomicUsize>,
    next: u32,
}

impl Inbox {
    pub(crate) fn new(sender: Sender<Arrival>, unread: Arc<AtomicUsize>) -> Self {
        Self {
            sender,
            unread,
            next: 0,
        }
    }

    /// Passes a reply on; an error ends the call.
    ///
    /// A frame that comes twice or out of turn would put another frame's bytes into the answer:
    /// its number is not the next, so the call ends as broken and the caller sees no whole answer.
    pub(crate) fn deliver(
        &mut self,
        seq: u32,
        last: bool,
        reply: Reply,
        size: usize,
    ) -> Result<(), WireError> {
        if seq != self.next {
            return Err(WireError::Protocol("a reply out of turn"));
        }
        self.next += 1;
        if self.unread.fetch_add(size, Ordering::Relaxed) + size > MAX_UNREAD {
            return Err(WireError::Overflow);
        }
        let _ = self.sender.send(Arrival::Reply { reply, last, size });
        Ok(())
    }

    pub(crate) fn fail(&self, error: WireError) {
        let _ = self.sender.send(Arrival::Broken(error));
    }
}

/// The replies of a call, in order.
///
/// Dropped before the last reply, it cancels the call at the far end.
pub struct Replies {
    pub(crate) link: Link,
    pub(crate) stream: u64,
    pub(crate) receiver: Receiver<Arrival>,
    pub(crate) unread: Arc<AtomicUsize>,
    pub(crate) done: bool,
}

impl fmt::Debug for Replies {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Replies")
            .field("stream", &self.stream)
            .finish_non_exhaustive()
    }
}

impl Replies {
    /// The next reply, or `None` after the last.
    ///
    /// # Errors
    /// [`WireError::Timeout`] past `deadline`; otherwise why the call broke off.
    pub fn next(&mut self, deadline: Instant) -> Result<Option<Tell>, WireError> {
        if self.done {
            return Ok(None);
        }
        let left = deadline.saturating_duration_since(Instant::now());
        match self.receiver.recv_timeout(left) {
            Ok(Arrival::Reply { reply, last, size }) => {
                self.unread.fetch_sub(size, Ordering::Relaxed);
                self.done = last;
                Ok(reply.tell)
            }
            Ok(Arrival::Broken(error)) => {
                self.done = true;
                Err(error)
            }
            Err(RecvTimeoutError::Timeout) => Err(WireError::Timeout),
            Err(RecvTimeoutError::Disconnected) => Err(WireError::Lost),
        }
    }

    /// Whether the last reply has been taken.
    pub const fn is_done(&self) -> bool {
        self.done
    }
}

impl Drop for Replies {
    fn drop(&mut self) {
        self.link.shared.forget(self.stream);
        if !self.done {
            let item = Some(Item::Cancel(Empty {}));
            let cancel = Frame {
                stream: self.stream,
                item,
                ..Frame::default()
            };
            let _ = self.link.shared.outbox.offer(cancel);
        }
    }
}

/// The handler's end of a call: sends replies, the last of them marked.
///
/// Dropped without a last reply, it tells the caller that the outcome is unknown.
pub struct Responder {
    shared: Arc<Shared>,
    stream: u64,
    seq: u32,
    cancelled: Arc<AtomicBool>,
    done: bool,
}

impl fmt::Debug for Responder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Responder")
            .field("stream", &self.stream)
            .finish_non_exhaustive()
    }
}

impl Responder {
    pub(crate) fn new(shared: Arc<Shared>, stream: u64, cancelled: Arc<AtomicBool>) -> Self {
        // A one-way call has no stream and takes no reply.
        Self {
            shared,
            stream,
            seq: 0,
            cancelled,
            done: stream == 0,
        }
    }

    /// Whether the caller has left or the link is lost.
    pub fn is_cancelled(&self) -> bool {
        self.cancelled.load(Ordering::Relaxed) || self.shared.is_closed()
    }

    /// A flag that turns true when the caller leaves.
    pub fn cancelled(&self) -> Arc<AtomicBool> {
        self.cancelled.clone()
    }

    /// Sends a reply that is not the last.
    ///
    /// # Errors
    /// [`WireError::Lost`] once the link is closed; [`WireError::TooLarge`].
    pub fn send(&mut self, tell: Tell) -> Result<(), WireError> {
        self.reply(tell, false)
    }

    /// Sends the last reply.
    ///
    /// # Errors
    /// [`WireError::Lost`] once the link is closed; [`WireError::TooLarge`].
    pub fn finish(mut self, tell: Tell) -> Result<(), WireError> {
        self.reply(tell, true)
    }

    /// Refuses the call: it certainly had no effect. `after` is when to come back, in
    /// milliseconds.
    pub fn refuse(self, text: &str, after: u64) {
        self.refuse_as(Cause::Absent, text, after);
    }

    /// Refuses the call for a reason that the caller can act on.
    pub fn refuse_as(self, cause: Cause, text: &str, after: u64) {
        let (text, cause) = (text.into(), cause.into());
        self.fault(Fault {
            text,
            after,
            not_run: true,
            cause,
        });
    }

    /// Ends the call with an unknown outcome.
    pub fn fail(self, text: &str) {
        self.fault(Fault {
            text: text.into(),
            ..Fault::default()
        });
    }

    fn fault(mut self, fault: Fault) {
        self.done = true;
        let frame = Frame {
            stream: self.stream,
            item: Some(Item::Fault(fault)),
            ..self.head()
        };
        if self.stream != 0 {
            let _ = self.shared.outbox.push(frame);
        }
    }

    fn reply(&mut self, tell: Tell, last: bool) -> Result<(), WireError> {
        if self.stream == 0 {
            return Ok(());
        }
        let item = Some(Item::Reply(Reply { tell: Some(tell) }));
        let frame = Frame {
            last,
            item,
            ..self.head()
        };
        self.shared.outbox.push(frame)?;
        self.seq += 1;
        self.done |= last;
        Ok(())
    }

    fn head(&self) -> Frame {
        Frame {
            stream: self.stream,
            seq: self.seq,
            last: true,
            item: None,
        }
    }
}

impl Drop for Responder {
    fn drop(&mut self) {
        self.shared.finished(self.stream);
        if !self.done {
            let text = "the far end dropped the call".into();
            let fault = Fault {
                text,
                ..Fault::default()
            };
            let frame = Frame {
                item: Some(Item::Fault(fault)),
                ..self.head()
            };
            let _ = self.shared.outbox.offer(frame);
        }
    }
}

/// A [`Tell::Payload`] of `body`.
pub fn payload(body: impl Into<bytes::Bytes>) -> Tell {
    Tell::Payload(Payload { body: body.into() })
}

/// A [`Call`] that asks `ask`.
pub const fn call(ask: crate::messages::Ask) -> Call {
    Call { ask: Some(ask) }
}
