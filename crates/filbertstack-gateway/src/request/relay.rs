//! Passing on of an answer from a target to the caller.
//!
//! Bytes are passed on as they arrive, and streams in whole events, which are checked. If the target of a stream that
//! may be resumed is lost or sends what is no event, another target continues after the last event that the caller has,
//! and the caller must not have received a part of the following event before. A target that is silent, or is to load
//! other weights, keeps its stream until another has taken it over.

mod moves;

use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use filbertstack_core::Millis;
use filbertstack_policy::dispatch::AttemptEnd;
use filbertstack_policy::takeover::min_silence;
use http_body::Body as _;
use http_body::Frame;
use spdlog::info;
use tokio::time::Instant;
use tokio::time::Sleep;
use tokio::time::sleep_until;

use crate::meter::Received;
use crate::meter::is_invalid;
use crate::request::Call;
use crate::request::Requests;
use crate::request::attempt::Tries;
use crate::request::attempt::abort_error;
use crate::request::cut;
use crate::request::cut::Cut;
use crate::request::cut::Passed;
use crate::request::events::EventBuffer;
use crate::request::events::EventGaps;
use crate::request::events::EventTail;
use crate::request::events::Fault;
use crate::request::guard::AttemptGuard;
use crate::request::resume::NotResumed;
use crate::request::resume::ResumeFuture;
use crate::request::resume::Resumed;
use crate::request::resume::resume;
use crate::request::takeover::Takeover;
use crate::request::targets::instance_of;

/// The pause of a route that declares none.
const DEFAULT_PAUSE: Duration = Duration::from_millis(300);

/// The result of a poll: bytes, the end (`None`) or the error that breaks off the answer.
type PollItem = Option<Result<Frame<Bytes>, io::Error>>;

/// How an answer shows that it is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length, its chunks or the end of its connection.
    Plain,
    /// By the end of its connection after a whole event.
    EventEnd,
    /// In one of these ways after a whole event. Its events are checked.
    Events,
    /// As that of [`Events`](Self::Events). Another target may resume it.
    Resumable,
}

enum Source {
    /// A target is answering.
    Target(Received, Box<AttemptGuard>),
    /// The target was lost, and another one is being asked to resume the stream.
    Resuming(ResumeFuture),
    /// Nothing more arrives: the answer is complete, or was cut.
    Ended,
}

/// The progress of a poll.
enum Progress {
    /// The poll ends with this result.
    Ready(PollItem),
    /// There is nothing to pass on yet: the source is polled again.
    Again,
}

/// The body of an answer that is being passed on.
pub struct Relay {
    call: Rc<Call>,
    requests: Rc<Requests>,
    source: Source,
    tries: Tries,
    /// The events; `None` if they are not checked.
    events: Option<EventBuffer>,
    framing: Framing,
    /// Whether the server may not have written what was passed on last.
    unflushed: bool,
    /// Whether bytes of the present target were passed on.
    has_passed: bool,
    tail: Option<EventTail>,
    /// The gaps between the target's events; `None` where paces are not estimated.
    gaps: Option<EventGaps>,
    deadline: Pin<Box<Sleep>>,
    /// The time at which the last bytes arrived.
    last_bytes_at: Instant,
    /// The number of bytes that were passed on.
    passed_bytes: u64,
    /// Ends when the silence of the target is to be checked.
    silence_check: Option<Pin<Box<Sleep>>>,
    /// The time before which no other target is asked to take over.
    next_check: Instant,
    /// Another target that is asked to take over.
    takeover: Option<Takeover>,
    /// What was held back for it and is to be passed on, as it did not take over.
    released: VecDeque<Bytes>,
    /// The event after which another target had nothing to send: the stream is whole with it.
    whole_after: Option<u64>,
    /// Whether the target has ended its answer after what is to be passed on.
    has_ended: bool,
}

impl Relay {
    /// Creates the body that passes on `body` from the target of `guard`.
    pub fn new(
        call: Rc<Call>,
        body: Received,
        guard: AttemptGuard,
        mut tries: Tries,
        framing: Framing,
    ) -> Self {
        let resumable = framing == Framing::Resumable;
        let requests = guard.requests();
        let gaps = requests.estimates_paces().then(EventGaps::default);
        let deadline = Box::pin(sleep_until(call.deadline));
        let last_bytes_at = Instant::now();
        tries.begun_at = Some(last_bytes_at);
        let silence_check = resumable.then(|| {
            Box::pin(sleep_until(
                last_bytes_at + Duration::from(min_silence(pause(&call))),
            ))
        });
        let events = match framing {
            Framing::Plain | Framing::EventEnd => None,
            Framing::Events => Some(EventBuffer::after(None)),
            Framing::Resumable => Some(EventBuffer::after(call.head.last_event)),
        };
        Self {
            events,
            framing,
            unflushed: false,
            has_passed: false,
            tail: (framing == Framing::EventEnd).then(EventTail::default),
            gaps,
            requests,
            source: Source::Target(body, Box::new(guard)),
            tries,
            deadline,
            last_bytes_at,
            passed_bytes: 0,
            silence_check,
            next_check: last_bytes_at,
            takeover: None,
            released: VecDeque::new(),
            whole_after: None,
            has_ended: false,
            call,
        }
    }

    /// Polls for the next bytes for the caller.
    pub fn poll_frame(&mut self, cx: &mut Context<'_>) -> Poll<PollItem> {
        if self.deadline.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(Err(self.cut(Cut::OutOfTime))));
        }
        loop {
            if self.must_flush() {
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
            let taken_over = self.poll_takeover(cx);
            let is_faulty = self.fault().is_some();
            let step = match &mut self.source {
                _ if taken_over.is_some() => taken_over.unwrap_or(Progress::Again),
                Source::Ended => return Poll::Ready(None),
                Source::Resuming(resuming) => {
                    let resumed = std::task::ready!(resuming.as_mut().poll(cx));
                    self.handle_resumed(resumed)
                }
                Source::Target(..) if is_faulty => self.handle_fault(),
                Source::Target(..) if !self.released.is_empty() => self.pass_released(),
                Source::Target(..) if self.has_ended => self.handle_end(),
                Source::Target(body, _) => match Pin::new(body).poll_frame(cx) {
                    Poll::Ready(frame) => self.handle_frame(frame),
                    Poll::Pending => {
                        self.record_gap();
                        std::task::ready!(self.poll_silence(cx))
                    }
                },
            };
            if let Progress::Ready(step) = step {
                return Poll::Ready(step);
            }
        }
    }

    /// Returns whether the server may still have to write what was passed on, before the answer is cut: it writes what
    /// it has before it polls again, and nothing once the answer is cut.
    fn must_flush(&mut self) -> bool {
        let ends = self.has_ended && self.released.is_empty();
        let may_be_cut = self.fault().is_some() || ends && self.is_cut();
        may_be_cut && std::mem::take(&mut self.unflushed)
    }

    /// Ends the answer before it is complete.
    fn cut(&mut self, cut: Cut) -> io::Error {
        self.source = Source::Ended;
        self.takeover = None;
        self.record_cut(cut);
        abort_error(cut.name())
    }

    fn record_cut(&self, cut: Cut) {
        let passed = Passed {
            bytes: self.passed_bytes,
            last_event: self.events.as_ref().and_then(EventBuffer::last_id),
            last_bytes_at: self.last_bytes_at,
        };
        cut::record(&self.requests, &self.call, cut, passed);
    }

    /// Records the gap before the events that have just arrived, if paces are estimated.
    fn record_gap(&mut self) {
        let gaps = self.gaps.as_mut();
        let arrived = gaps.and_then(|gaps| gaps.note_waiting(Instant::now()));
        if let Some(arrived) = arrived
            && let Source::Target(_, guard) = &self.source
        {
            guard.record_events(arrived);
        }
    }

    /// Handles a frame, the end or an error from the target.
    fn handle_frame(&mut self, frame: Option<Result<Frame<Bytes>, hyper::Error>>) -> Progress {
        match frame {
            Some(Ok(frame)) => {
                // Trailers are dropped: they apply to one connection only.
                let Ok(data) = frame.into_data() else {
                    return Progress::Again;
                };
                if let Some(gaps) = &mut self.gaps {
                    gaps.note(Instant::now(), &data);
                }
                self.handle_data(data)
            }
            Some(Err(error)) => {
                // A target that sends invalid bytes has not crashed.
                if !is_invalid(&error) {
                    self.record_crash();
                }
                self.handle_loss("the target broke off")
            }
            None => {
                self.has_ended = true;
                if self.takeover.as_ref().is_some_and(Takeover::has_held) {
                    self.keep_first();
                }
                Progress::Again
            }
        }
    }

    /// Handles bytes from the target, which are held back while another is to continue without them.
    fn handle_data(&mut self, data: Bytes) -> Progress {
        if let Some(takeover) = &mut self.takeover {
            if takeover.holds_back() {
                takeover.hold(data);
                self.note_life();
                return Progress::Again;
            }
            if takeover.has_held() {
                self.keep_first();
            }
        }
        self.released.push_back(data);
        Progress::Again
    }

    /// Passes on the next bytes that the target has sent.
    fn pass_released(&mut self) -> Progress {
        let data = self.released.pop_front().unwrap_or_default();
        let data = self.filter_events(data);
        // What is no event does not show that the target goes on with the stream.
        if !data.is_empty() {
            self.keep_first();
        }
        if self.fault().is_none() {
            if self.released.is_empty() {
                self.finish_if_whole();
            }
            self.take_over_if_due();
        }
        if data.is_empty() {
            return Progress::Again;
        }
        self.note_life();
        self.note_passed(&data);
        Progress::Ready(Some(Ok(Frame::data(data))))
    }

    /// Records that the target is alive: it sends what its caller waits for.
    fn note_life(&mut self) {
        self.last_bytes_at = Instant::now();
        self.reset_silence_check();
        if let Source::Target(_, guard) = &mut self.source {
            guard.record_bytes();
        }
    }

    fn note_passed(&mut self, data: &Bytes) {
        self.has_passed = true;
        self.unflushed = true;
        self.passed_bytes += data.len() as u64;
    }

    /// Handles the end of the target's answer, once all of it is passed on.
    fn handle_end(&mut self) -> Progress {
        self.has_ended = false;
        if self.is_cut() {
            // A target that ends its answer properly has not crashed, and one with nothing left to send may not have.
            let has_last = self.events.as_ref().is_some_and(|e| e.last_id().is_some());
            if self.ends_with_connection() && (self.has_passed || !has_last) {
                self.record_crash();
            }
            return self.handle_loss("the target ended before its answer was complete");
        }
        self.keep_first();
        if let Source::Target(_, guard) = &mut self.source {
            guard.finish();
        }
        self.source = Source::Ended;
        Progress::Ready(None)
    }

    /// Returns whether nothing but the end of the target's connection marks the end of its answer.
    fn ends_with_connection(&self) -> bool {
        matches!(&self.source, Source::Target(_, guard) if guard.ends_with_connection())
    }

    /// Returns whether the answer has ended before it is complete, although its connection ended well: inside an
    /// event or, where nothing else marks its end, before the target's first one.
    fn is_cut(&self) -> bool {
        if let Some(events) = &self.events {
            let is_empty = !self.has_passed && self.ends_with_connection();
            return events.has_partial() || is_empty;
        }
        self.tail.as_ref().is_some_and(|tail| !tail.is_whole())
    }

    /// Finishes with the last byte of an answer whose length is known. The server does not poll again after
    /// that byte. Without this, the connection would not go back to the pool, and the attempt would count
    /// as one whose caller left.
    fn finish_if_whole(&mut self) {
        let has_partial = self.events.as_ref().is_some_and(EventBuffer::has_partial);
        if let Source::Target(body, guard) = &mut self.source
            && body.is_end_stream()
            && !has_partial
        {
            guard.finish();
            self.source = Source::Ended;
        }
    }

    /// Returns the bytes to pass on: whole events if they are checked, or else all of `data`.
    fn filter_events(&mut self, data: Bytes) -> Bytes {
        if let Some(tail) = &mut self.tail {
            tail.note(&data);
        }
        match &mut self.events {
            Some(events) => events.push(&data),
            None => data,
        }
    }

    /// Returns whether another target could continue the stream now.
    fn can_resume(&self) -> bool {
        let events = self.events.as_ref();
        self.framing == Framing::Resumable && events.is_some_and(EventBuffer::can_resume)
    }

    /// Returns why nothing more of the target may be passed on.
    fn fault(&self) -> Option<Fault> {
        self.events.as_ref().and_then(EventBuffer::fault)
    }

    /// Gives up a target that has sent what is no event, once the events before it are passed on.
    fn handle_fault(&mut self) -> Progress {
        let why = self.fault().map_or("", Fault::name);
        self.requests.metrics.entry.faults.add(why, 1);
        self.released.clear();
        self.has_ended = false;
        self.handle_loss(why)
    }

    fn record_crash(&mut self) {
        if let Source::Target(_, guard) = &mut self.source {
            guard.lose();
        }
    }

    /// Handles the loss of the target: another target resumes the stream, or the answer breaks off.
    fn handle_loss(&mut self, why: &'static str) -> Progress {
        let source = std::mem::replace(&mut self.source, Source::Ended);
        if let Source::Target(body, mut guard) = source {
            info!("answer broke off", kv: {
                request = self.call.head.id(), target = instance_of(guard.target()), why = why,
                resumable = self.framing == Framing::Resumable, digest = self.call.digest(),
                parts = self.call.head.shared_parts.join(",")
            });
            guard.fail();
            drop((body, guard));
        }
        if !self.can_resume() {
            return Progress::Ready(Some(Err(self.cut(Cut::TargetLost(why)))));
        }
        if let Some(takeover) = self.takeover.take() {
            return self.go_on_with(takeover.into_remaining());
        }
        let last_id = self.events.as_mut().and_then(|events| {
            events.drop_partial();
            events.last_id()
        });
        if self.whole_after.is_some() && self.whole_after == last_id {
            return Progress::Ready(None);
        }
        let resuming = resume(
            self.requests.clone(),
            self.call.clone(),
            std::mem::take(&mut self.tries),
            self.resume_point(false),
        );
        self.source = Source::Resuming(Box::pin(resuming));
        Progress::Again
    }

    /// Switches to the target that resumes the stream, or breaks off the answer if there is none.
    fn handle_resumed(&mut self, resumed: Result<Resumed, NotResumed>) -> Progress {
        match resumed {
            Ok(resumed) => {
                self.adopt(resumed);
                Progress::Again
            }
            Err(NotResumed { why, .. }) => {
                info!("stream not resumed", kv: { request = self.call.head.id(), why = why });
                Progress::Ready(Some(Err(self.cut(Cut::TargetLost(why)))))
            }
        }
    }

    /// Makes the target that resumes the stream the one that gives the answer.
    fn adopt(&mut self, resumed: Resumed) {
        let Resumed {
            body,
            mut guard,
            tries,
        } = resumed;
        self.requests.metrics.entry.retries.add("resumed", 1);
        info!("stream resumed", kv: {
            request = self.call.head.id(), target = instance_of(guard.target()),
            after = self.events.as_ref().and_then(EventBuffer::last_id).unwrap_or(0)
        });
        guard.ended = AttemptEnd::CallerLeft;
        self.tries = tries;
        self.source = Source::Target(body, Box::new(guard));
        self.gaps = self.gaps.take().map(|_| EventGaps::default());
        self.last_bytes_at = Instant::now();
        self.has_ended = false;
        self.released.clear();
        self.has_passed = false;
        self.reset_silence_check();
    }

    fn reset_silence_check(&mut self) {
        let check_at = self.last_bytes_at + Duration::from(min_silence(pause(&self.call)));
        if let Some(silence_check) = &mut self.silence_check {
            silence_check.as_mut().reset(check_at);
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        match &self.source {
            Source::Ended => return,
            // The server does not poll an answer without a body.
            Source::Target(body, _) if body.is_end_stream() && self.released.is_empty() => return,
            Source::Target(..) | Source::Resuming(_) => {}
        }
        let stopped = self.requests.stopped.get();
        self.record_cut(if stopped {
            Cut::Stopped
        } else {
            Cut::CallerGone
        });
    }
}

/// Returns the longest pause between two events that the route declares.
fn pause(call: &Call) -> Millis {
    Millis::from(call.route.pause.unwrap_or(DEFAULT_PAUSE))
}
