//! The two ends of one call: the replies that the caller reads, and the responder that sends them.

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

/// The largest number of unread bytes of replies. A call that exceeds it fails.
///
/// Without this limit, a caller that reads too slowly would block the replies to all calls on the link, or
/// exhaust this process's memory.
pub const MAX_UNREAD: usize = 16 << 20;

/// An event that the link's reading thread passes to a call.
#[derive(Debug)]
pub(crate) enum Event {
    Reply {
        reply: Reply,
        last: bool,
        size: usize,
    },
    Failed(WireError),
}

/// The reading thread's end of one call in progress.
#[derive(Debug)]
pub(crate) struct Inbox {
    sender: Sender<Event>,
    unread: Arc<AtomicUsize>,
    /// The number of the next reply.
    next_seq: u32,
}

impl Inbox {
    pub(crate) fn new(sender: Sender<Event>, unread: Arc<AtomicUsize>) -> Self {
        Self {
            sender,
            unread,
            next_seq: 0,
        }
    }

    /// Passes a reply to the caller; an error ends the call.
    ///
    /// A reply that comes twice or out of order would corrupt the answer. Its number is not the next one, so
    /// the call fails and the caller receives no complete answer.
    pub(crate) fn deliver(
        &mut self,
        seq: u32,
        last: bool,
        reply: Reply,
        size: usize,
    ) -> Result<(), WireError> {
        if seq != self.next_seq {
            return Err(WireError::Protocol("a reply out of turn"));
        }
        self.next_seq += 1;
        if self.unread.fetch_add(size, Ordering::Relaxed) + size > MAX_UNREAD {
            return Err(WireError::Overflow);
        }
        let _ = self.sender.send(Event::Reply { reply, last, size });
        Ok(())
    }

    /// Ends the call with `error`.
    pub(crate) fn fail(&self, error: WireError) {
        let _ = self.sender.send(Event::Failed(error));
    }
}

/// The replies of a call, in order.
///
/// Dropping it before the last reply cancels the call at the far end.
pub struct Replies {
    pub(crate) link: Link,
    pub(crate) stream: u64,
    pub(crate) receiver: Receiver<Event>,
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
    /// Waits for the next reply and returns it; returns `None` after the last.
    ///
    /// # Errors
    /// [`WireError::Timeout`] if no reply comes before `deadline`; otherwise the error that ended the call.
    pub fn next(&mut self, deadline: Instant) -> Result<Option<Tell>, WireError> {
        if self.done {
            return Ok(None);
        }
        let left = deadline.saturating_duration_since(Instant::now());
        match self.receiver.recv_timeout(left) {
            Ok(Event::Reply { reply, last, size }) => {
                self.unread.fetch_sub(size, Ordering::Relaxed);
                self.done = last;
                Ok(reply.tell)
            }
            Ok(Event::Failed(error)) => {
                self.done = true;
                Err(error)
            }
            Err(RecvTimeoutError::Timeout) => Err(WireError::Timeout),
            Err(RecvTimeoutError::Disconnected) => Err(WireError::Lost),
        }
    }

    /// Returns whether the call has ended for the caller: with its last reply or with an error.
    pub const fn is_done(&self) -> bool {
        self.done
    }
}

impl Drop for Replies {
    fn drop(&mut self) {
        self.link.shared.drop_inbox(self.stream);
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

/// The handler's end of a call, which sends the replies and marks the last one.
///
/// Dropping it without a last reply ends the call with an unknown outcome.
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
        // A one-way call has stream 0 and no reply.
        Self {
            shared,
            stream,
            seq: 0,
            cancelled,
            done: stream == 0,
        }
    }

    /// Returns whether the caller has cancelled the call or the link is closed.
    pub fn is_cancelled(&self) -> bool {
        self.cancelled.load(Ordering::Relaxed) || self.shared.is_closed()
    }

    /// Returns a flag that is set when the caller cancels the call or the link ends.
    pub fn cancel_flag(&self) -> Arc<AtomicBool> {
        self.cancelled.clone()
    }

    /// Sends a reply that is not the last.
    ///
    /// # Errors
    /// [`WireError::Lost`] once the link is closed; [`WireError::TooLarge`].
    pub fn send(&mut self, tell: Tell) -> Result<(), WireError> {
        self.send_reply(tell, false)
    }

    /// Sends the last reply.
    ///
    /// # Errors
    /// [`WireError::Lost`] once the link is closed; [`WireError::TooLarge`].
    pub fn finish(mut self, tell: Tell) -> Result<(), WireError> {
        self.send_reply(tell, true)
    }

    /// Refuses the call, which certainly had no effect. `after` is the time before a retry, in milliseconds.
    pub fn refuse(self, text: &str, after: u64) {
        self.refuse_as(Cause::Absent, text, after);
    }

    /// Refuses the call as [`Responder::refuse`] does, for a reason that the caller can act on.
    pub fn refuse_as(self, cause: Cause, text: &str, after: u64) {
        let (text, cause) = (text.into(), cause.into());
        self.send_fault(Fault {
            text,
            after,
            not_run: true,
            cause,
        });
    }

    /// Ends the call with an unknown outcome.
    pub fn fail(self, text: &str) {
        self.send_fault(Fault {
            text: text.into(),
            ..Fault::default()
        });
    }

    fn send_fault(mut self, fault: Fault) {
        self.done = true;
        let frame = Frame {
            stream: self.stream,
            item: Some(Item::Fault(fault)),
            ..self.next_frame()
        };
        if self.stream != 0 {
            let _ = self.shared.outbox.push(frame);
        }
    }

    fn send_reply(&mut self, tell: Tell, last: bool) -> Result<(), WireError> {
        if self.stream == 0 {
            return Ok(());
        }
        let item = Some(Item::Reply(Reply { tell: Some(tell) }));
        let frame = Frame {
            last,
            item,
            ..self.next_frame()
        };
        self.shared.outbox.push(frame)?;
        self.seq += 1;
        self.done |= last;
        Ok(())
    }

    /// Returns the frame for the next reply, without its item.
    fn next_frame(&self) -> Frame {
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
        self.shared.end_incoming(self.stream);
        if !self.done {
            let text = "the far end dropped the call".into();
            let fault = Fault {
                text,
                ..Fault::default()
            };
            let frame = Frame {
                item: Some(Item::Fault(fault)),
                ..self.next_frame()
            };
            let _ = self.shared.outbox.offer(frame);
        }
    }
}

/// Returns a [`Tell::Payload`] with `body`.
pub fn payload(body: impl Into<bytes::Bytes>) -> Tell {
    Tell::Payload(Payload { body: body.into() })
}

/// Returns a [`Call`] with `ask`.
pub const fn call(ask: crate::messages::Ask) -> Call {
    Call { ask: Some(ask) }
}
