//! An answer on its way from a target to the caller.
//!
//! Bytes go on as they come. A stream that may be resumed goes on by whole events: when its
//! target is lost, another goes on after the last event that the caller has, and nothing of a
//! half event of the first must have gone out before.

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
use crate::request::attempt::FORSAKEN;
use crate::request::attempt::Lease;
use crate::request::attempt::Outcome;
use crate::request::attempt::Resume;
use crate::request::attempt::Tries;
use crate::request::attempt::broken;
use crate::request::attempt::choose;
use crate::request::attempt::send;
use crate::request::events::Events;
use crate::request::targets::Chosen;

/// How many of the route's pauses a stream may be silent before another target goes on with it.
/// Callers leave after eight; an engine that reads many prompts at once is silent for two.
const SILENT_PAUSES: u32 = 4;

/// The same where nobody hears the target any more: it is frozen or cut off.
const MISSED_PAUSES: u32 = 2;

/// How often it is looked again whether another target can go on with a stream: some reports.
const LOOK: Duration = Duration::from_millis(150);

/// How long after its last event a stream waits for a target that goes on with it. Its caller leaves
/// after two seconds, and the next event comes some hundred milliseconds after a target was found.
const WAIT: Duration = Duration::from_millis(1_800);

/// Why a stream is not resumed that would cost more repeated sends than there are.
const OUT_OF_BUDGET: &str = "the budget of repeated sends is used up";

/// The pause of a route that names none.
const USUAL_PAUSE: Duration = Duration::from_millis(300);

/// The time left below which a stream isn't resumed: reading the prompt anew takes it.
const TOO_LATE: Duration = Duration::from_millis(150);

/// What a poll leads to: bytes, the end (`None`) or the break of the answer.
type Step = Option<Result<Frame<Bytes>, io::Error>>;

/// Another target goes on, or why none does.
type Resuming = Pin<Box<dyn Future<Output = Result<Resumed, &'static str>>>>;

struct Resumed {
    body: Incoming,
    lease: Lease,
    tries: Tries,
}

enum Source {
    /// A target is answering.
    Target(Incoming, Lease),
    /// Another target is being asked to go on.
    Resuming(Resuming),
    /// Nothing more comes.
    Ended,
}

/// Whether a poll can end.
enum Next {
    /// It ends with this.
    Ready(Step),
    /// What came can't go on yet: the source is polled again.
    Again,
}

/// The body of an answer that is being relayed.
pub struct Relay {
    call: Rc<Call>,
    requests: Rc<Requests>,
    source: Source,
    tries: Tries,
    events: Option<Events>,
    deadline: Pin<Box<Sleep>>,
    /// When the last bytes came.
    heard: Instant,
    /// Ends when it is to be looked whether the target is silent.
    silence: Option<Pin<Box<Sleep>>>,
}

impl Relay {
    /// Relays `body` from the target that `lease` is a place at.
    pub fn new(
        call: Rc<Call>,
        body: Incoming,
        lease: Lease,
        tries: Tries,
        resumable: bool,
    ) -> Self {
        let requests = lease.requests();
        let deadline = Box::pin(sleep_until(call.deadline));
        let heard = Instant::now();
        let silence =
            resumable.then(|| Box::pin(sleep_until(heard + pauses(&call, MISSED_PAUSES))));
        Self {
            events: resumable.then(|| Events::after(call.head.resumes)),
            requests,
            source: Source::Target(body, lease),
            tries,
            deadline,
            heard,
            silence,
            call,
        }
    }

    /// The next bytes for the caller.
    pub fn poll_frame(&mut self, cx: &mut Context<'_>) -> Poll<Step> {
        if self.deadline.as_mut().poll(cx).is_ready() {
            self.source = Source::Ended;
            return Poll::Ready(Some(Err(broken("the time has run out"))));
        }
        loop {
            let step = match &mut self.source {
                Source::Ended => return Poll::Ready(None),
                Source::Resuming(resuming) => {
                    let resumed = std::task::ready!(resuming.as_mut().poll(cx));
                    self.go_on(resumed)
                }
                Source::Target(body, _) => match Pin::new(body).poll_frame(cx) {
                    Poll::Ready(frame) => self.take(frame),
                    Poll::Pending => std::task::ready!(self.poll_silence(cx)),
                },
            };
            if let Next::Ready(step) = step {
                return Poll::Ready(step);
            }
        }
    }

    /// Takes what the target sent.
    fn take(&mut self, frame: Option<Result<Frame<Bytes>, hyper::Error>>) -> Next {
        match frame {
            Some(Ok(frame)) => {
                // Trailers end here: they concern one connection only.
                let Ok(data) = frame.into_data() else {
                    return Next::Again;
                };
                if let Source::Target(_, lease) = &mut self.source {
                    lease.hear();
                }
                let data = self.pass(data);
                self.finish_if_whole();
                if data.is_empty() {
                    return Next::Again;
                }
                Next::Ready(Some(Ok(Frame::data(data))))
            }
            Some(Err(_)) => self.lost("the target broke off"),
            None if self.events.as_ref().is_some_and(Events::is_half) => {
                self.lost("the target ended in mid event")
            }
            None => {
                if let Source::Target(_, lease) = &mut self.source {
                    lease.finish();
                }
                self.source = Source::Ended;
                Next::Ready(None)
            }
        }
    }

    /// Ends with the last byte of an answer whose length is known. Whoever sends it on asks for
    /// nothing after that byte: left to the next poll, the connection would not be kept, and the
    /// target would count as left by its caller.
    fn finish_if_whole(&mut self) {
        let half = self.events.as_ref().is_some_and(Events::is_half);
        if let Source::Target(body, lease) = &mut self.source
            && body.is_end_stream()
            && !half
        {
            lease.finish();
            self.source = Source::Ended;
        }
    }

    fn pass(&mut self, data: Bytes) -> Bytes {
        let Some(events) = &mut self.events else {
            return data;
        };
        self.heard = Instant::now();
        if let Some(silence) = &mut self.silence {
            let look = self.heard + pauses(&self.call, MISSED_PAUSES);
            silence.as_mut().reset(look);
        }
        events.push(data)
    }

    /// Gives up a target that is silent for too long, once another can go on.
    fn poll_silence(&mut self, cx: &mut Context<'_>) -> Poll<Next> {
        let Some(silence) = &mut self.silence else {
            return Poll::Pending;
        };
        std::task::ready!(silence.as_mut().poll(cx));
        if self.is_forsaken() || (self.is_given_up() && self.can_go_on()) {
            return Poll::Ready(self.lost("the target is silent"));
        }
        // The target may still go on, or another come free.
        if let Some(silence) = &mut self.silence {
            silence.as_mut().reset(Instant::now() + LOOK);
        }
        self.poll_silence(cx)
    }

    /// Whether nothing has come for so long that another target should go on.
    fn is_given_up(&self) -> bool {
        let Source::Target(_, lease) = &self.source else {
            return false;
        };
        self.heard.elapsed() >= pauses(&self.call, SILENT_PAUSES)
            || self.requests.targets().is_silent(lease.target())
    }

    /// Whether nobody hears the target any more, and the caller is about to leave.
    fn is_forsaken(&self) -> bool {
        let Source::Target(_, lease) = &self.source else {
            return false;
        };
        self.heard.elapsed() >= FORSAKEN && self.requests.targets().is_silent(lease.target())
    }

    /// Whether another target could go on now, within attempts and budget.
    fn can_go_on(&self) -> bool {
        self.tries.sent < self.call.route.attempts
            && self.requests.may_spend(&self.call.service)
            && choose(&self.requests, &self.call, &self.tries).is_ok()
    }

    /// Goes on without the target: another resumes the stream, or it ends without looking whole.
    fn lost(&mut self, why: &'static str) -> Next {
        let source = std::mem::replace(&mut self.source, Source::Ended);
        if let Source::Target(body, mut lease) = source {
            info!("answer broke off", kv: {
                request = self.call.head.id(), target = lease.target().to_string(), why = why,
                resumable = self.events.is_some()
            });
            lease.fail();
            drop((body, lease));
        }
        let Some(events) = &mut self.events else {
            return Next::Ready(Some(Err(broken(why))));
        };
        events.drop_half();
        let resuming = resume(
            self.requests.clone(),
            self.call.clone(),
            std::mem::take(&mut self.tries),
            Resume {
                after: events.last(),
                heard: self.heard,
            },
        );
        self.source = Source::Resuming(Box::pin(resuming));
        Next::Again
    }

    fn go_on(&mut self, resumed: Result<Resumed, &'static str>) -> Next {
        let resumed = match resumed {
            Ok(resumed) => resumed,
            Err(why) => {
                info!("stream not resumed", kv: { request = self.call.head.id(), why = why });
                self.source = Source::Ended;
                return Next::Ready(Some(Err(broken(why))));
            }
        };
        self.requests.metrics.entry.retries.add("resumed", 1);
        info!("stream resumed", kv: {
            request = self.call.head.id(), target = resumed.lease.target().to_string(),
            after = self.events.as_ref().and_then(Events::last).unwrap_or(0)
        });
        self.tries = resumed.tries;
        self.source = Source::Target(resumed.body, resumed.lease);
        self.heard = Instant::now();
        if let Some(silence) = &mut self.silence {
            let look = self.heard + pauses(&self.call, MISSED_PAUSES);
            silence.as_mut().reset(look);
        }
        Next::Again
    }
}

/// So many of the longest pauses between two events that are on time.
fn pauses(call: &Call, count: u32) -> Duration {
    call.route.pause.unwrap_or(USUAL_PAUSE) * count
}

/// Asks one target after another to go on with a stream. Where none can at once, as when
/// all engines load new weights together, it is looked again for a while: their work is over within
/// about a second, and callers still wait then.
async fn resume(
    requests: Rc<Requests>,
    call: Rc<Call>,
    mut tries: Tries,
    resume: Resume,
) -> Result<Resumed, &'static str> {
    let until = (resume.heard + WAIT).min(call.deadline - TOO_LATE);
    while tries.sent < call.route.attempts {
        let chosen = await_target(&requests, &call, &tries, until).await?;
        let outcome = send(&requests, &call, &chosen, &mut tries, Some(resume)).await;
        if let Outcome::Answer(response, lease) = outcome
            && response.status().is_success()
        {
            let body = response.into_body();
            return Ok(Resumed { body, lease, tries });
        }
    }
    Err("the route allows no more attempts")
}

/// A target that can go on with a stream, and the repeated send for it, by `until`.
async fn await_target(
    requests: &Rc<Requests>,
    call: &Call,
    tries: &Tries,
    until: Instant,
) -> Result<Chosen, &'static str> {
    loop {
        let why = if requests.may_spend(&call.service) {
            match choose(requests, call, tries) {
                Ok(chosen) if requests.spend(&call.service) => return Ok(chosen),
                Ok(_) => OUT_OF_BUDGET,
                Err(refusal) => refusal.why,
            }
        } else {
            OUT_OF_BUDGET
        };
        if Instant::now() + LOOK > until {
            return Err(why);
        }
        sleep(LOOK).await;
    }
}
