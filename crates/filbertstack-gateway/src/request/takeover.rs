//! The other target that is asked to take over a stream while the first still gives it.

use std::collections::VecDeque;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use filbertstack_core::Millis;
use filbertstack_policy::dispatch::AttemptEnd;
use filbertstack_policy::takeover::Reason;
use filbertstack_policy::takeover::is_held_back;
use http_body::Body as _;

use crate::request::Call;
use crate::request::Requests;
use crate::request::attempt::Resume;
use crate::request::attempt::Tries;
use crate::request::events::EventBuffer;
use crate::request::resume::NotResumed;
use crate::request::resume::ResumeFuture;
use crate::request::resume::Resumed;
use crate::request::resume::resume;
use crate::request::resume::take_over;

/// How many bytes of the first target are held back at most: many more than its events of a second have.
const MAX_HELD: usize = 256 << 10;

/// The other target.
enum Next {
    /// It has not begun to answer.
    Asking(ResumeFuture),
    /// It has sent the head of its answer, and no whole event.
    Answering(Box<Resumed>, EventBuffer),
}

/// The state of a takeover after a poll.
pub enum Polled {
    /// It goes on.
    Pending(Takeover),
    /// The other target has sent its first event.
    Began(Began),
    /// The other target does not continue the stream. This was held back of the first.
    Failed(NotResumed, VecDeque<Bytes>),
    /// The other target has nothing to send after the events that the caller has. This was held back of the first.
    NothingLeft(Tries, VecDeque<Bytes>),
}

/// The target that has taken over.
pub struct Began {
    /// Why it was asked.
    pub reason: Reason,
    /// Its answer.
    pub resumed: Box<Resumed>,
    /// What is buffered of its events.
    pub events: EventBuffer,
    /// Its first whole events.
    pub first: Bytes,
}

/// Where the stream goes on after the loss of its first target.
pub enum Remaining {
    /// The search for another target.
    Search(ResumeFuture),
    /// The other target, which has begun to answer, and what is buffered of its events.
    Target(Box<Resumed>, EventBuffer),
}

/// A takeover in progress.
pub struct Takeover {
    reason: Reason,
    began: Millis,
    requests: Rc<Requests>,
    call: Rc<Call>,
    resume: Resume,
    next: Next,
    /// What the first target has sent since.
    held: VecDeque<Bytes>,
}

impl Takeover {
    /// Asks another target to continue the stream after the events that its caller has.
    pub fn begin(
        requests: Rc<Requests>,
        call: Rc<Call>,
        tries: Tries,
        resume: Resume,
        reason: Reason,
    ) -> Self {
        let asking = take_over(requests.clone(), call.clone(), tries, resume);
        Self {
            reason,
            began: requests.node.clock.now(),
            requests,
            call,
            resume,
            next: Next::Asking(Box::pin(asking)),
            held: VecDeque::new(),
        }
    }

    /// Returns whether bytes of the first target are held back.
    pub fn holds_back(&self) -> bool {
        let elapsed = self.requests.node.clock.now().since(self.began);
        let held: usize = self.held.iter().map(Bytes::len).sum();
        held < MAX_HELD && is_held_back(self.reason, elapsed)
    }

    /// Holds back bytes of the first target.
    pub fn hold(&mut self, data: Bytes) {
        self.held.push_back(data);
    }

    /// Returns whether bytes of the first target were held back.
    pub fn has_held(&self) -> bool {
        !self.held.is_empty()
    }

    /// Lets the other target go. Returns what was held back, and the attempts if the other target had begun to
    /// answer.
    pub fn cancel(self) -> (VecDeque<Bytes>, Option<Tries>) {
        let Next::Answering(mut resumed, _) = self.next else {
            return (self.held, None);
        };
        resumed.guard.ended = AttemptEnd::Superseded;
        (self.held, Some(resumed.tries))
    }

    /// Polls the other target until it has sent an event or failed.
    pub fn poll(mut self, cx: &mut Context<'_>) -> Polled {
        loop {
            match self.next {
                Next::Asking(mut asking) => match asking.as_mut().poll(cx) {
                    Poll::Pending => {
                        self.next = Next::Asking(asking);
                        return Polled::Pending(self);
                    }
                    Poll::Ready(Err(failed)) => return Polled::Failed(failed, self.held),
                    Poll::Ready(Ok(resumed)) => {
                        let events = EventBuffer::after(self.resume.after);
                        self.next = Next::Answering(Box::new(resumed), events);
                    }
                },
                Next::Answering(mut resumed, mut events) => {
                    match Pin::new(&mut resumed.body).poll_frame(cx) {
                        Poll::Pending => {
                            self.next = Next::Answering(resumed, events);
                            return Polled::Pending(self);
                        }
                        Poll::Ready(Some(Ok(frame))) => {
                            let data = frame.into_data().unwrap_or_default();
                            let first = events.push(&data);
                            if let Some(fault) = events.fault() {
                                let why = fault.name();
                                self.requests.metrics.entry.faults.add(why, 1);
                                resumed.guard.fail();
                                let tries = resumed.tries;
                                return Polled::Failed(NotResumed { why, tries }, self.held);
                            }
                            if !first.is_empty() {
                                resumed.guard.record_bytes();
                                return Polled::Began(Began {
                                    reason: self.reason,
                                    resumed,
                                    events,
                                    first,
                                });
                            }
                            self.next = Next::Answering(resumed, events);
                        }
                        Poll::Ready(ended) => {
                            let is_whole = ended.is_none() && !events.has_partial();
                            if is_whole && !resumed.guard.ends_with_connection() {
                                resumed.guard.finish();
                                return Polled::NothingLeft(resumed.tries, self.held);
                            }
                            if ended.is_some() {
                                resumed.guard.lose();
                            } else {
                                resumed.guard.fail();
                            }
                            let failed = NotResumed {
                                why: "the other target broke off",
                                tries: resumed.tries,
                            };
                            return Polled::Failed(failed, self.held);
                        }
                    }
                }
            }
        }
    }

    /// Goes on without the first target.
    pub fn into_remaining(self) -> Remaining {
        let Self {
            requests,
            call,
            resume: from,
            next,
            ..
        } = self;
        match next {
            Next::Answering(resumed, events) => Remaining::Target(resumed, events),
            Next::Asking(asking) => Remaining::Search(Box::pin(async move {
                match asking.await {
                    Ok(resumed) => Ok(resumed),
                    Err(failed) => resume(requests, call, failed.tries, from).await,
                }
            })),
        }
    }
}
