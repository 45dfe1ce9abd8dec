//! Passing on of an answer from a target to the caller.
//!
//! Bytes are passed on as they arrive. A stream that may be resumed is passed on in whole events: if its
//! target is lost, another target continues after the last event that the caller has, and the caller must
//! not have received a part of the following event before.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http_body::Body as _;
use http_body::Frame;
use hyper::body::Incoming;
use spdlog::info;
use tokio::time::Instant;
use tokio::time::Sleep;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::request::Call;
use crate::request::Requests;
use crate::request::attempt::ABANDON_AFTER;
use crate::request::attempt::Outcome;
use crate::request::attempt::Resume;
use crate::request::attempt::Tries;
use crate::request::attempt::abort_error;
use crate::request::attempt::choose;
use crate::request::attempt::send;
use crate::request::cut;
use crate::request::cut::Cut;
use crate::request::cut::Passed;
use crate::request::events::EventBuffer;
use crate::request::events::EventTail;
use crate::request::guard::AttemptGuard;
use crate::request::permit;
use crate::request::targets::Chosen;
use crate::request::targets::instance_of;

/// How many of the route's pauses a stream may be silent before another target resumes it. Callers
/// disconnect after eight; an engine that reads many prompts at once is silent for two.
const SILENT_PAUSES: u32 = 4;

/// How many of the route's pauses a stream may be silent if its target is silent to all requests: the
/// target is frozen or partitioned.
const UNREACHABLE_PAUSES: u32 = 2;

/// How often a silent stream checks whether another target can resume it: a little more than the interval
/// of load reports.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// How long after its last event a stream waits for a target that can resume it. Its caller disconnects
/// after two seconds, and the next event arrives some hundred milliseconds after a target was found.
const RESUME_WAIT: Duration = Duration::from_millis(1_800);

/// The reason why a stream is not resumed when no repeated send is left in the budget.
const OUT_OF_BUDGET: &str = "the budget of repeated sends is used up";

/// The pause of a route that declares none.
const DEFAULT_PAUSE: Duration = Duration::from_millis(300);

/// The time left until the deadline below which a stream is not resumed: reading the prompt again takes
/// that long.
const MIN_TIME_LEFT: Duration = Duration::from_millis(150);

/// The result of a poll: bytes, the end (`None`) or the error that breaks off the answer.
type PollItem = Option<Result<Frame<Bytes>, io::Error>>;

/// The search for a target that resumes the stream. Its error is the reason why none does.
type ResumeFuture = Pin<Box<dyn Future<Output = Result<Resumed, &'static str>>>>;

struct Resumed {
    body: Incoming,
    guard: AttemptGuard,
    tries: Tries,
}

/// How an answer shows that it is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length, its chunks or the end of its connection.
    Plain,
    /// By the end of its connection after a whole event.
    Events,
    /// In one of these ways after a whole event. Another target may resume it.
    Resumable,
}

enum Source {
    /// A target is answering.
    Target(Incoming, AttemptGuard),
    /// Another target is being asked to resume the stream.
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
    events: Option<EventBuffer>,
    tail: Option<EventTail>,
    deadline: Pin<Box<Sleep>>,
    /// The time at which the last bytes arrived.
    last_bytes_at: Instant,
    /// The number of bytes that were passed on.
    passed_bytes: u64,
    /// Ends when the silence of the target is to be checked.
    silence_check: Option<Pin<Box<Sleep>>>,
}

impl Relay {
    /// Creates the body that passes on `body` from the target of `guard`.
    pub fn new(
        call: Rc<Call>,
        body: Incoming,
        guard: AttemptGuard,
        tries: Tries,
        framing: Framing,
    ) -> Self {
        let resumable = framing == Framing::Resumable;
        let requests = guard.requests();
        let deadline = Box::pin(sleep_until(call.deadline));
        let last_bytes_at = Instant::now();
        let silence_check = resumable.then(|| {
            Box::pin(sleep_until(
                last_bytes_at + pauses(&call, UNREACHABLE_PAUSES),
            ))
        });
        Self {
            events: resumable.then(|| EventBuffer::after(call.head.last_event)),
            tail: (framing == Framing::Events).then(EventTail::default),
            requests,
            source: Source::Target(body, guard),
            tries,
            deadline,
            last_bytes_at,
            passed_bytes: 0,
            silence_check,
            call,
        }
    }

    /// Polls for the next bytes for the caller.
    pub fn poll_frame(&mut self, cx: &mut Context<'_>) -> Poll<PollItem> {
        if self.deadline.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(Err(self.cut(Cut::OutOfTime))));
        }
        loop {
            let step = match &mut self.source {
                Source::Ended => return Poll::Ready(None),
                Source::Resuming(resuming) => {
                    let resumed = std::task::ready!(resuming.as_mut().poll(cx));
                    self.handle_resumed(resumed)
                }
                Source::Target(body, _) => match Pin::new(body).poll_frame(cx) {
                    Poll::Ready(frame) => self.handle_frame(frame),
                    Poll::Pending => std::task::ready!(self.poll_silence(cx)),
                },
            };
            if let Progress::Ready(step) = step {
                return Poll::Ready(step);
            }
        }
    }

    /// Ends the answer before it is complete.
    fn cut(&mut self, cut: Cut) -> io::Error {
        self.source = Source::Ended;
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

    /// Handles a frame, the end or an error from the target.
    fn handle_frame(&mut self, frame: Option<Result<Frame<Bytes>, hyper::Error>>) -> Progress {
        match frame {
            Some(Ok(frame)) => {
                // Trailers are dropped: they apply to one connection only.
                let Ok(data) = frame.into_data() else {
                    return Progress::Again;
                };
                if let Source::Target(_, guard) = &mut self.source {
                    guard.record_bytes();
                }
                let data = self.filter_events(data);
                self.finish_if_whole();
                if data.is_empty() {
                    return Progress::Again;
                }
                self.passed_bytes += data.len() as u64;
                Progress::Ready(Some(Ok(Frame::data(data))))
            }
            Some(Err(_)) => {
                self.record_crash();
                self.handle_loss("the target broke off")
            }
            None if self.is_cut() => {
                self.record_crash();
                self.handle_loss("the target ended before its answer was complete")
            }
            None => {
                if let Source::Target(_, guard) = &mut self.source {
                    guard.finish();
                }
                self.source = Source::Ended;
                Progress::Ready(None)
            }
        }
    }

    /// Returns whether the answer has ended before it is complete, although its connection ended well: inside an
    /// event or, where nothing else marks its end, before its first one.
    fn is_cut(&self) -> bool {
        let Source::Target(_, guard) = &self.source else {
            return false;
        };
        if let Some(events) = &self.events {
            let is_empty = events.last_id().is_none() && guard.ends_with_connection();
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

    /// Returns the bytes to pass on: whole events if the stream may be resumed, or else all of `data`.
    fn filter_events(&mut self, data: Bytes) -> Bytes {
        self.last_bytes_at = Instant::now();
        if let Some(tail) = &mut self.tail {
            tail.note(&data);
        }
        let Some(events) = &mut self.events else {
            return data;
        };
        if let Some(silence_check) = &mut self.silence_check {
            let check_at = self.last_bytes_at + pauses(&self.call, UNREACHABLE_PAUSES);
            silence_check.as_mut().reset(check_at);
        }
        events.push(data)
    }

    /// Gives up a target that has been silent for too long, once another can resume the stream.
    fn poll_silence(&mut self, cx: &mut Context<'_>) -> Poll<Progress> {
        let Some(silence_check) = &mut self.silence_check else {
            return Poll::Pending;
        };
        std::task::ready!(silence_check.as_mut().poll(cx));
        if self.must_abandon() || (self.is_too_silent() && self.can_resume()) {
            return Poll::Ready(self.handle_loss("the target is silent"));
        }
        // The target may continue, or another one may become free.
        if let Some(silence_check) = &mut self.silence_check {
            silence_check
                .as_mut()
                .reset(Instant::now() + CHECK_INTERVAL);
        }
        self.poll_silence(cx)
    }

    /// Returns whether the target has been silent for so long that another one should resume the stream.
    fn is_too_silent(&self) -> bool {
        let Source::Target(_, guard) = &self.source else {
            return false;
        };
        self.last_bytes_at.elapsed() >= pauses(&self.call, SILENT_PAUSES)
            || self.requests.targets().is_silent(guard.target())
    }

    /// Returns whether the target is silent to all requests and the caller is about to disconnect.
    fn must_abandon(&self) -> bool {
        let Source::Target(_, guard) = &self.source else {
            return false;
        };
        self.last_bytes_at.elapsed() >= ABANDON_AFTER
            && self.requests.targets().is_silent(guard.target())
    }

    /// Returns whether another target could resume the stream now, within the attempts and the budget.
    fn can_resume(&self) -> bool {
        self.tries.attempts.may_continue(self.call.route.attempts)
            && self.requests.may_spend(&self.call.service)
            && choose(&self.requests, &self.call, &self.tries).is_ok()
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
                resumable = self.events.is_some(), digest = self.call.digest(),
                parts = self.call.head.shared_parts.join(",")
            });
            guard.fail();
            drop((body, guard));
        }
        let Some(events) = &mut self.events else {
            return Progress::Ready(Some(Err(self.cut(Cut::TargetLost(why)))));
        };
        events.drop_partial();
        let resuming = resume(
            self.requests.clone(),
            self.call.clone(),
            std::mem::take(&mut self.tries),
            Resume {
                after: events.last_id(),
                last_bytes_at: self.last_bytes_at,
            },
        );
        self.source = Source::Resuming(Box::pin(resuming));
        Progress::Again
    }

    /// Switches to the target that resumes the stream, or breaks off the answer if there is none.
    fn handle_resumed(&mut self, resumed: Result<Resumed, &'static str>) -> Progress {
        let resumed = match resumed {
            Ok(resumed) => resumed,
            Err(why) => {
                info!("stream not resumed", kv: { request = self.call.head.id(), why = why });
                return Progress::Ready(Some(Err(self.cut(Cut::TargetLost(why)))));
            }
        };
        self.requests.metrics.entry.retries.add("resumed", 1);
        info!("stream resumed", kv: {
            request = self.call.head.id(), target = instance_of(resumed.guard.target()),
            after = self.events.as_ref().and_then(EventBuffer::last_id).unwrap_or(0)
        });
        self.tries = resumed.tries;
        self.source = Source::Target(resumed.body, resumed.guard);
        self.last_bytes_at = Instant::now();
        if let Some(silence_check) = &mut self.silence_check {
            let check_at = self.last_bytes_at + pauses(&self.call, UNREACHABLE_PAUSES);
            silence_check.as_mut().reset(check_at);
        }
        Progress::Again
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if matches!(self.source, Source::Ended) {
            return;
        }
        let stopped = self.requests.stopped.get();
        self.record_cut(if stopped {
            Cut::Stopped
        } else {
            Cut::CallerGone
        });
    }
}

/// Returns the length of `count` of the route's longest pauses between two events.
fn pauses(call: &Call, count: u32) -> Duration {
    call.route.pause.unwrap_or(DEFAULT_PAUSE) * count
}

/// Asks one target after another to resume a stream. If none can at once, such as while all engines load
/// new weights together, it checks again for a while: they finish within about a second, and the caller
/// still waits then.
async fn resume(
    requests: Rc<Requests>,
    call: Rc<Call>,
    mut tries: Tries,
    resume: Resume,
) -> Result<Resumed, &'static str> {
    let until = (resume.last_bytes_at + RESUME_WAIT).min(call.deadline - MIN_TIME_LEFT);
    while tries.attempts.may_continue(call.route.attempts) {
        let chosen = await_target(&requests, &call, &tries, until).await?;
        let outcome = send(&requests, &call, &chosen, &mut tries, Some(resume)).await;
        if let Outcome::Answer(response, guard) = outcome
            && response.status().is_success()
        {
            let body = response.into_body();
            return Ok(Resumed { body, guard, tries });
        }
    }
    Err("the route allows no more attempts")
}

/// Waits for a target that can resume a stream, until `until` at the latest, and takes the repeated send
/// for it from the budget.
async fn await_target(
    requests: &Rc<Requests>,
    call: &Call,
    tries: &Tries,
    until: Instant,
) -> Result<Chosen, &'static str> {
    loop {
        if let Some(refusal) = permit::refusal(requests, call) {
            return Err(refusal.why);
        }
        let why = if requests.may_spend(&call.service) {
            match choose(requests, call, tries) {
                Ok(chosen) if requests.spend(&call.service) => return Ok(chosen),
                Ok(_) => OUT_OF_BUDGET,
                Err(refusal) => refusal.why,
            }
        } else {
            OUT_OF_BUDGET
        };
        if Instant::now() + CHECK_INTERVAL > until {
            return Err(why);
        }
        sleep(CHECK_INTERVAL).await;
    }
}
