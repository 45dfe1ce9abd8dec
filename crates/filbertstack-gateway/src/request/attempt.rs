//! Sending a request to a target, and again to another where that is allowed.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use filbertstack_core::Millis;
use filbertstack_core::serving::Repeat;
use filbertstack_platform::request::Onward;
use filbertstack_platform::request::ReplyHead;
use filbertstack_platform::request::send_on;
use filbertstack_platform::request::strip;
use filbertstack_policy::dispatch::AttemptEnd;
use filbertstack_policy::dispatch::ChooseError;
use filbertstack_policy::dispatch::TargetId;
use filbertstack_policy::dispatch::TargetRequest;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use spdlog::info;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::client::Connection;
use crate::request::Call;
use crate::request::Requests;
use crate::request::answer::AnswerBody;
use crate::request::answer::Refusal;
use crate::request::connect::Connected;
use crate::request::relay::Relay;
use crate::request::targets::Chosen;
use crate::request::waiting;

/// For how long a target is left out that says it is another instance or holds other weights: the
/// registry tells within this what is there.
const MISDIRECTED: Millis = Millis(400);

/// For how long a target is left out that has no room: some turns of a full batch.
const FULL: Millis = Millis(60);

/// How many times its goal a first event may take before another target is asked. Below this an
/// engine may only be busy, and a repeat would read the prompt twice.
const SILENT_GOALS: u32 = 2;

/// The least of that time.
const SILENT: Duration = Duration::from_millis(300);

/// Within what another target must begin to answer a request that was at one before. Its caller has
/// waited and leaves after two seconds without an event: an answer that comes late is worth more than
/// one that breaks off, or that a frozen target gives to nobody, because no target would be as quick
/// as for a new request.
const AGAIN: Duration = Duration::from_millis(1_200);

/// After how long a request or stream at a target that nobody hears is given up, also where no other
/// can take it: callers leave after two seconds, and one that is told before can still come back.
pub const FORSAKEN: Duration = Duration::from_millis(1_600);

/// The part of the time that callers wait for the next event after which an attempt that brought none
/// is ended: what could come still would meet nobody. Told then, a caller may come back, and the
/// target stops work in time; one that leaves by itself has run its request for nothing.
const HOPELESS: f64 = 0.9;

/// How often it is looked whether another target is to be asked: one may come free, or the one asked
/// be missed, at any time. One load report.
pub const LOOK: Duration = Duration::from_millis(100);

/// The time left below which nothing is sent any more: no answer could come back in it.
const TOO_LATE: Duration = Duration::from_millis(5);

/// What a target sent first, or why nothing came.
type Reply = Result<Response<Incoming>, hyper::Error>;

/// What one attempt led to.
pub enum Outcome {
    /// An answer that goes back to the caller.
    Answer(Response<Incoming>, Lease),
    /// It certainly did not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran, and the target failed at it.
    Failed(Response<Incoming>, Lease),
}

/// A request's place at a target. Dropping it gives the place back; the connection closes with it
/// unless it was kept, so that the target stops work for a caller who has left.
pub struct Lease {
    requests: Rc<Requests>,
    call: Rc<Call>,
    id: TargetId,
    addr: SocketAddr,
    connection: Option<Connection>,
    idle: Option<Duration>,
    closes: bool,
    unread: u32,
    sent: Instant,
    /// When it was noted last that the target is heard.
    heard: Instant,
    /// The time to the first bytes of the answer's body; `None` until they came.
    first: Option<Duration>,
    /// The status of the target's answer; 0 until it came.
    status: u16,
    ended: AttemptEnd,
}

impl Lease {
    /// The requests that it is one of.
    pub fn requests(&self) -> Rc<Requests> {
        self.requests.clone()
    }

    /// The target.
    pub fn target(&self) -> &TargetId {
        &self.id
    }

    /// Notes that bytes of the answer came: the target is there.
    pub fn hear(&mut self) {
        self.began();
        if self.heard.elapsed() >= LOOK {
            self.heard = Instant::now();
            self.requests.targets.heard(&self.id);
        }
    }

    /// Notes that the first bytes of the answer's body came.
    fn began(&mut self) {
        if self.first.is_none() {
            let first = self.sent.elapsed();
            self.first = Some(first);
            self.requests.metrics.entry.first_token.record(first);
        }
        if self.unread > 0 {
            self.requests.targets.began(&self.id, self.unread);
            self.unread = 0;
        }
    }

    /// Notes that the target failed.
    pub fn fail(&mut self) {
        self.ended = AttemptEnd::Failed;
    }

    /// Notes that the answer is whole, and keeps the connection if a later request may use it:
    /// those that may run once only go on new ones, and a target resets connections beyond the
    /// number that it takes, idle ones included.
    pub fn finish(&mut self) {
        self.ended = AttemptEnd::Answered(Millis::from(self.sent.elapsed()));
        let keep = !self.closes && self.call.may_repeat();
        let kept = self.connection.take().filter(|_| keep);
        if let Some(connection) = kept {
            self.requests.pool.put(self.addr, connection, self.idle);
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let outcome = match self.ended {
            AttemptEnd::Answered(_) => "answered",
            AttemptEnd::Refused => "not taken",
            AttemptEnd::Failed => "failed",
            AttemptEnd::CallerLeft => "caller left",
        };
        let took = self.sent.elapsed();
        self.requests.metrics.entry.duration.record(outcome, took);
        info!("attempt ended", kv: {
            request = self.call.head.id(), target = self.id.to_string(), outcome = outcome,
            status = self.status, took_ms = took.as_millis(),
            first_ms = self.first.map_or(-1, |first| i64::try_from(first.as_millis()).unwrap_or(-1))
        });
        self.requests
            .targets
            .ended(&self.id, self.unread, self.ended);
    }
}

/// The attempts of one request so far.
#[derive(Default)]
pub struct Tries {
    /// The targets that it was sent to or could not be sent to.
    pub targets: Vec<TargetId>,
    /// How many targets it was handed to.
    pub sent: u32,
}

/// Serves a request: one target after another, until there is an answer for the caller.
///
/// # Errors
/// A [`Refusal`] that says truly whether the request may have run.
pub async fn run(
    requests: &Rc<Requests>,
    call: &Rc<Call>,
) -> Result<Response<AnswerBody>, Refusal> {
    let mut tries = Tries::default();
    let mut unknown = false;
    let mut failed = None;
    loop {
        let chosen = if tries.targets.is_empty() {
            waiting::first(requests, call).await.map_err(refuse)
        } else {
            choose(requests, call, &tries)
        };
        let chosen = match chosen {
            Ok(chosen) => chosen,
            Err(refusal) => {
                return match failed {
                    Some((response, lease)) => Ok(relay(call, response, lease, tries)),
                    None if unknown => Err(Refusal::unknown("no answer came; it may have run")),
                    None => Err(refusal),
                };
            }
        };
        match send(requests, call, &chosen, &mut tries, None).await {
            Outcome::Answer(response, lease) => {
                requests.metrics.entry.requests.add("target's answer", 1);
                return Ok(relay(call, response, lease, tries));
            }
            Outcome::Failed(response, lease) => failed = Some((response, lease)),
            Outcome::NotRun => {}
            Outcome::Unknown if call.may_repeat() => unknown = true,
            Outcome::Unknown => {
                return Err(Refusal::unknown("the answer was lost; it may have run"));
            }
        }
        if !again(requests, call, &tries) {
            return match failed {
                Some((response, lease)) => Ok(relay(call, response, lease, tries)),
                None if unknown => Err(Refusal::unknown("no answer came; it may have run")),
                None => Err(Refusal::busy(
                    "no target has room",
                    Duration::from_millis(150),
                )),
            };
        }
    }
}

/// Whether the request may be sent to another target. A target that was never reached costs
/// nothing of the budget.
fn again(requests: &Rc<Requests>, call: &Call, tries: &Tries) -> bool {
    let most = call.route.attempts;
    requests.metrics.entry.retries.add("attempt", 1);
    // Targets that were not reached are tried past the most, but not all of a large service.
    if is_hopeless(call, call.came)
        || tries.sent >= most
        || tries.targets.len() >= 4 + most as usize
    {
        return false;
    }
    tries.sent == 0 || requests.spend(&call.service)
}

/// Chooses the next target for a request that was at another before: one that answers before its caller
/// leaves.
///
/// # Errors
/// A [`Refusal`] that says when to come back.
pub fn choose(requests: &Rc<Requests>, call: &Call, tries: &Tries) -> Result<Chosen, Refusal> {
    let goal = call.route.goal.max(AGAIN).min(call.left());
    let wanted = TargetRequest {
        service: &call.service,
        prompt: call.prompt(),
        goal: Millis::from(goal),
        tried: &tries.targets,
    };
    requests.targets.choose(&wanted).map_err(refuse)
}

fn refuse(refused: ChooseError) -> Refusal {
    let after = Duration::from(refused.retry_after());
    Refusal::busy("no target can serve it in time", after)
}

/// A stream that broke off, and that another target is to go on with.
#[derive(Clone, Copy, Debug)]
pub struct Resume {
    /// The last event that the caller holds; `None` if it has none.
    pub after: Option<u64>,
    /// When the caller last heard something.
    pub heard: Instant,
}

/// Sends a request to one target and waits for the head of its answer.
pub async fn send(
    requests: &Rc<Requests>,
    call: &Rc<Call>,
    chosen: &Chosen,
    tries: &mut Tries,
    resume: Option<Resume>,
) -> Outcome {
    tries.targets.push(chosen.id.clone());
    let resume_after = resume.and_then(|resume| resume.after);
    let resume_after = resume_after.or(call.head.resumes);
    let heard = resume.map_or(call.came, |resume| resume.heard);
    let mut lease = Lease {
        requests: requests.clone(),
        call: call.clone(),
        id: chosen.id.clone(),
        addr: chosen.addr,
        connection: None,
        idle: None,
        closes: false,
        unread: call.prompt(),
        sent: Instant::now(),
        heard: Instant::now(),
        first: None,
        status: 0,
        ended: AttemptEnd::CallerLeft,
    };
    requests.targets.sent(&chosen.id, call.prompt());
    let mut connected = match Connected::to(requests, call, chosen.addr).await {
        Ok(connected) => connected,
        Err(error) => {
            info!("target not reached", kv: {
                request = call.head.id(), target = chosen.id.to_string(), error = error.to_string()
            });
            lease.fail();
            return Outcome::NotRun;
        }
    };
    let left = call.left().min(chosen.patience.unwrap_or(Duration::MAX));
    if left < TOO_LATE {
        return Outcome::NotRun;
    }
    tries.sent += 1;
    log_sent(requests, call, chosen, tries);
    let onward = Onward {
        left,
        instance: &chosen.id,
        organisation: call.organisation.as_deref(),
        version: chosen.version,
        resume_after,
    };
    let mut reply = {
        let sending = std::pin::pin!(connected.connection.send(prepare(call, &onward)));
        await_head(requests, call, chosen, tries, heard, sending).await
    };
    let broken = matches!(reply, Some(Err(_)));
    if broken && connected.was_closed() && connected.replace(requests, call, chosen).await {
        let sending = std::pin::pin!(connected.connection.send(prepare(call, &onward)));
        reply = await_head(requests, call, chosen, tries, heard, sending).await;
    }
    let Some(reply) = reply else {
        lease.fail();
        return Outcome::Unknown;
    };
    lease.connection = Some(connected.connection);
    match reply {
        Ok(response) => judge(call, response, lease),
        Err(error) => {
            info!("answer lost", kv: {
                request = call.head.id(), target = chosen.id.to_string(), error = error.to_string()
            });
            lease.fail();
            Outcome::Unknown
        }
    }
}

/// Waits for the head of an answer. `None` if another target is to be asked in place of this one: it
/// has been silent to this request for too long, or it is to everybody. Whether another can take the
/// request is looked at again and again: where none could, a caller waited at a frozen target until
/// it left, and the request ran for nobody when the target woke. So where none can for long, the
/// caller is told.
async fn await_head(
    requests: &Rc<Requests>,
    call: &Call,
    chosen: &Chosen,
    tries: &Tries,
    heard: Instant,
    mut sending: Pin<&mut impl Future<Output = Reply>>,
) -> Option<Reply> {
    if !call.may_repeat() {
        return Some(sending.await);
    }
    let began = Instant::now();
    loop {
        if let Ok(reply) = timeout(LOOK, &mut sending).await {
            return Some(reply);
        }
        let waited = began.elapsed();
        let missed = waited >= call.route.goal && requests.targets.is_silent(&chosen.id);
        let forsaken = (missed && waited >= FORSAKEN) || is_hopeless(call, heard);
        let silent = missed || waited >= silence(call);
        if forsaken || (silent && can_ask_another(requests, call, tries)) {
            info!("target silent, given up", kv: {
                request = call.head.id(), target = chosen.id.to_string(),
                waited_ms = waited.as_millis(), forsaken = forsaken
            });
            return None;
        }
    }
}

/// Whether the caller of a stream, who last `heard` something then, is about to leave. Until the first
/// event, that is when its request came. Counted from there for a stream that is resumed, the time would
/// be over at once, and its next target given up before it could answer.
fn is_hopeless(call: &Call, heard: Instant) -> bool {
    call.route.repeat == Repeat::Resumable && heard.elapsed() >= call.gap().mul_f64(HOPELESS)
}

/// Tells where a request goes and what that rests on. An age of -1 means that there was no load
/// report, weights of 0 that any version may answer.
fn log_sent(requests: &Requests, call: &Call, chosen: &Chosen, tries: &Tries) {
    let age = chosen.report_age.and_then(|age| i64::try_from(age.0).ok());
    info!("sent", kv: {
        request = call.head.id(), target = chosen.id.to_string(), attempt = tries.sent,
        waited_ms = call.came.elapsed().as_millis(), prompt = call.prompt(),
        predicted_ms = chosen.predicted.round(),
        report_age_ms = age.unwrap_or(-1),
        configuration = requests.node.declared.version(), weights = chosen.version.unwrap_or(0)
    });
}

/// Whether another target could take the request now, within its attempts.
fn can_ask_another(requests: &Rc<Requests>, call: &Call, tries: &Tries) -> bool {
    tries.sent < call.route.attempts
        && requests.may_spend(&call.service)
        && choose(requests, call, tries).is_ok()
}

/// After which silence of a target another is asked, though others hear it.
fn silence(call: &Call) -> Duration {
    (call.route.goal * SILENT_GOALS).max(SILENT)
}

fn prepare(call: &Call, onward: &Onward<'_>) -> Request<Full<bytes::Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.target.clone();
    *request.headers_mut() = call.headers.clone();
    send_on(request.headers_mut(), onward);
    request
}

/// What the head of an answer means for the request.
fn judge(call: &Call, response: Response<Incoming>, mut lease: Lease) -> Outcome {
    let status = response.status();
    lease.status = status.as_u16();
    let head = ReplyHead::read(response.headers(), call.head.attempt.as_ref());
    lease.idle = head.idle;
    lease.closes = head.closes;
    if head.ours && (head.not_run || status == StatusCode::MISDIRECTED_REQUEST) {
        let misdirected = status == StatusCode::MISDIRECTED_REQUEST;
        let span = if misdirected { MISDIRECTED } else { FULL };
        lease.ended = AttemptEnd::Refused;
        lease.requests.targets.shut(&lease.id, span);
        return Outcome::NotRun;
    }
    // Without the target's seal, for another request or with an encoding that nobody asked for,
    // it is no answer to this one.
    if !head.ours || !head.sealed || head.encoded {
        info!("answer not taken", kv: {
            request = call.head.id(), target = lease.id.to_string(), status = status.as_u16(),
            ours = head.ours, sealed = head.sealed, encoded = head.encoded
        });
        lease.fail();
        return Outcome::Unknown;
    }
    if status.is_server_error() {
        lease.ended = AttemptEnd::Refused;
        let repeats = call.route.repeat == Repeat::Idempotent;
        if repeats {
            return Outcome::Failed(response, lease);
        }
    }
    Outcome::Answer(response, lease)
}

/// Gives an answer back to the caller as it comes.
fn relay(
    call: &Rc<Call>,
    response: Response<Incoming>,
    lease: Lease,
    tries: Tries,
) -> Response<AnswerBody> {
    let (mut head, body) = response.into_parts();
    strip(&mut head.headers);
    let resumable = call.route.repeat == Repeat::Resumable && head.status.is_success();
    let relay = Relay::new(call.clone(), body, lease, tries, resumable);
    Response::from_parts(head, AnswerBody::Relayed(Box::new(relay)))
}

/// The error of an answer that breaks off: the connection to the caller closes without an end
/// that looks complete.
pub fn broken(why: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionAborted, why)
}
