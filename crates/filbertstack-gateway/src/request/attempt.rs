//! The attempts of a request: it is sent to one target, and to another one if that is allowed.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use filbertstack_core::Millis;
use filbertstack_core::serving::Repeat;
use filbertstack_platform::request::ForwardHeaders;
use filbertstack_platform::request::ReplyHead;
use filbertstack_platform::request::set_forward_headers;
use filbertstack_platform::request::strip_hop_headers;
use filbertstack_policy::attempts::Attempts;
use filbertstack_policy::crashes::Suspect;
use filbertstack_policy::crashes::Verdict;
use filbertstack_policy::dispatch::AttemptEnd;
use filbertstack_policy::dispatch::ChooseError;
use filbertstack_policy::dispatch::TargetId;
use filbertstack_policy::dispatch::TargetRequest;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
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
use crate::request::relay::Framing;
use crate::request::relay::Relay;
use crate::request::targets::Chosen;
use crate::request::targets::instance_of;
use crate::request::waiting;

/// How long a target is excluded after it has answered that it is another instance or has other weights.
/// Within this time the registry learns what is at its address.
const MISDIRECTED_EXCLUSION: Millis = Millis(400);

/// How many times the route's goal the first event may take before another target is asked. Before that,
/// the engine may only be busy, and a repeat would make two engines read the prompt.
const SILENT_GOALS: u32 = 2;

/// The least time that the first event may take before another target is asked.
const MIN_SILENCE: Duration = Duration::from_millis(300);

/// The time within which the next target must begin to answer a request that was sent before. It is longer
/// than the goal for a new request, which no target may meet any more. A late answer is worth more to the
/// caller, who disconnects after two seconds without an event, than one that breaks off or never comes
/// from a frozen target.
const RETRY_GOAL: Duration = Duration::from_millis(1_200);

/// The time after which a request or stream at a target that is silent to all requests is abandoned, even
/// if no other target can take it. Callers disconnect after two seconds; one that is answered before that
/// may still retry.
pub const ABANDON_AFTER: Duration = Duration::from_millis(1_600);

/// The share of the time that callers wait for the next event after which an attempt without one is
/// ended. A later answer would find no caller. Ended now, the target stops its work in time and the caller
/// may retry; when the caller disconnects by itself, the work of the target is wasted.
const GIVE_UP_SHARE: f64 = 0.9;

/// How often a waiting attempt checks whether to ask another target: one may become free, or the target
/// asked may fall silent, at any time. It equals the interval of load reports.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The time left until the deadline below which nothing is sent any more: no answer could arrive in it.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);

/// The head of a target's answer, or the error of the connection.
type HeadResult = Result<Response<Incoming>, hyper::Error>;

/// The outcome of one attempt.
pub enum Outcome {
    /// The target gave an answer to return to the caller.
    Answer(Response<Incoming>, AttemptGuard),
    /// The request certainly did not run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request ran and failed at the target; another target may be asked.
    Failed(Response<Incoming>, AttemptGuard),
}

/// An attempt in progress at a target. Dropping it ends the attempt: the target's slot counts as free, and
/// the connection closes unless it went back to the pool, so that the target stops work for a caller who
/// has disconnected.
pub struct AttemptGuard {
    requests: Rc<Requests>,
    call: Rc<Call>,
    id: TargetId,
    addr: SocketAddr,
    connection: Option<Connection>,
    idle_limit: Option<Duration>,
    closes_connection: bool,
    /// Whether the end of the connection is all that marks the end of the answer.
    ends_with_connection: bool,
    /// The number of tokens of the prompt; 0 once the target has sent an event, as it has then read the
    /// prompt to the end.
    unread_prompt: u32,
    sent_at: Instant,
    /// The last time that the dispatcher was notified of bytes from the target.
    notified_at: Instant,
    /// The time to the first bytes of the answer's body; `None` until they arrive.
    first_bytes: Option<Duration>,
    /// The status of the target's answer; 0 until it arrives.
    status: u16,
    ended: AttemptEnd,
}

impl AttemptGuard {
    /// Returns the handler of the request.
    pub fn requests(&self) -> Rc<Requests> {
        self.requests.clone()
    }

    /// Returns the id of the target.
    pub fn target(&self) -> &TargetId {
        &self.id
    }

    /// Returns whether the end of the connection is all that marks the end of the answer.
    pub fn ends_with_connection(&self) -> bool {
        self.ends_with_connection
    }

    /// Records that bytes of the answer's body arrived, so the target is alive.
    pub fn record_bytes(&mut self) {
        self.record_first_bytes();
        if self.notified_at.elapsed() >= CHECK_INTERVAL {
            self.notified_at = Instant::now();
            self.requests.targets.record_bytes(&self.id);
            self.requests.node.record_life(&self.id);
        }
    }

    /// Records the first bytes of the answer's body.
    fn record_first_bytes(&mut self) {
        if self.first_bytes.is_none() {
            let first_bytes = self.sent_at.elapsed();
            self.first_bytes = Some(first_bytes);
            self.requests.metrics.entry.first_token.record(first_bytes);
        }
        if self.unread_prompt > 0 {
            self.requests
                .targets
                .record_first(&self.id, self.unread_prompt);
            self.unread_prompt = 0;
        }
    }

    /// Records that the target failed.
    pub fn fail(&mut self) {
        self.ended = AttemptEnd::Failed;
    }

    /// Records that the target was lost: its connection ended before the answer was complete.
    pub fn lose(&mut self) {
        self.fail();
        let node = &self.requests.node;
        node.record_crash(self.call.suspects(), &self.id);
    }

    /// Records that the answer is complete, and returns the connection to the pool if a later request may
    /// use it. The connections of requests that may run only once are closed: such requests always open new
    /// ones, and a target resets connections beyond its limit, idle ones included.
    pub fn finish(&mut self) {
        self.ended = AttemptEnd::Answered(Millis::from(self.sent_at.elapsed()));
        self.requests.node.record_life(&self.id);
        // A target may fail a request without running it.
        if StatusCode::from_u16(self.status).is_ok_and(|status| status.is_success()) {
            self.record_success();
        }
        let keep = !self.closes_connection && self.call.may_repeat();
        let kept = self.connection.take().filter(|_| keep);
        if let Some(connection) = kept {
            self.requests
                .pool
                .put(self.addr, connection, self.idle_limit);
        }
    }

    fn record_success(&self) {
        let node = &self.requests.node;
        if self.ends_with_connection {
            node.record_unconfirmed(self.call.suspects(), &self.id);
        } else {
            node.record_answer(self.call.suspects());
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let outcome = match self.ended {
            AttemptEnd::Answered(_) => "answered",
            AttemptEnd::TurnedAway | AttemptEnd::Refused => "not taken",
            AttemptEnd::Failed => "failed",
            AttemptEnd::CallerLeft => "caller left",
        };
        let took = self.sent_at.elapsed();
        self.requests.metrics.entry.duration.record(outcome, took);
        info!("attempt ended", kv: {
            request = self.call.head.id(), target = instance_of(&self.id), outcome = outcome,
            status = self.status, took_ms = took.as_millis(),
            first_ms = self.first_bytes.map_or(-1, |first| i64::try_from(first.as_millis()).unwrap_or(-1))
        });
        self.requests
            .targets
            .record_end(&self.id, self.unread_prompt, self.ended);
    }
}

/// The attempts of one request so far.
#[derive(Default)]
pub struct Tries {
    /// The targets that were chosen for it, also those that could not be reached.
    pub targets: Vec<TargetId>,
    /// What became of it there.
    pub attempts: Attempts,
}

/// Sends a request to one target after another, until there is an answer for the caller.
///
/// # Errors
/// A [`Refusal`] that says whether the request may have run.
pub async fn run(
    requests: &Rc<Requests>,
    call: &Rc<Call>,
) -> Result<Response<AnswerBody>, Refusal> {
    let mut tries = Tries::default();
    let mut unknown = false;
    let mut failed = None;
    loop {
        let chosen = if let Some(refusal) = refuse_crashing(requests, call) {
            Err(refusal)
        } else if tries.targets.is_empty() {
            waiting::choose_first(requests, call)
                .await
                .map_err(to_refusal)
        } else {
            choose(requests, call, &tries)
        };
        let chosen = match chosen {
            Ok(chosen) => chosen,
            Err(refusal) => {
                return match failed {
                    Some((response, guard)) => Ok(relay(call, response, guard, tries)),
                    None if unknown => Err(Refusal::unknown("no answer came; it may have run")),
                    None => Err(refusal),
                };
            }
        };
        match send(requests, call, &chosen, &mut tries, None).await {
            Outcome::Answer(response, guard) => {
                requests.metrics.entry.requests.add("target's answer", 1);
                return Ok(relay(call, response, guard, tries));
            }
            Outcome::Failed(response, guard) => failed = Some((response, guard)),
            Outcome::NotRun => {}
            Outcome::Unknown if call.may_repeat() => unknown = true,
            Outcome::Unknown => {
                return Err(Refusal::unknown("the answer was lost; it may have run"));
            }
        }
        if !may_retry(requests, call, &tries) {
            return match failed {
                Some((response, guard)) => Ok(relay(call, response, guard, tries)),
                None if unknown => Err(Refusal::unknown("no answer came; it may have run")),
                None => Err(Refusal::busy(
                    "no target has room",
                    Duration::from_millis(150),
                )),
            };
        }
    }
}

/// Returns whether the request may be sent to another target. That costs one repeated send of the budget,
/// unless no target was reached yet.
fn may_retry(requests: &Rc<Requests>, call: &Call, tries: &Tries) -> bool {
    requests.metrics.entry.retries.add("attempt", 1);
    if is_caller_leaving(call, call.arrived_at) || !tries.attempts.may_continue(call.route.attempts)
    {
        return false;
    }
    tries.attempts.sent() == 0 || requests.spend(&call.service)
}

/// Chooses the next target for a request that was sent before: one that answers before the caller
/// disconnects.
///
/// # Errors
/// A [`Refusal`] with a time to retry, if there is none.
pub fn choose(requests: &Rc<Requests>, call: &Call, tries: &Tries) -> Result<Chosen, Refusal> {
    let goal = call.route.goal.max(RETRY_GOAL).min(call.time_left());
    let wanted = TargetRequest {
        service: &call.service,
        prompt: call.prompt(),
        goal: Millis::from(goal),
        tried: &tries.targets,
    };
    requests.targets.choose(&wanted).map_err(to_refusal)
}

fn to_refusal(refused: ChooseError) -> Refusal {
    let after = Duration::from(refused.retry_after());
    Refusal::busy("no target can serve it in time", after)
}

/// Returns the refusal of a request that crashes the targets that run it, unless it may be sent.
pub fn refuse_crashing(requests: &Requests, call: &Call) -> Option<Refusal> {
    match requests.node.crash_verdict(|| call.suspects()) {
        Verdict::Allowed | Verdict::Probe => None,
        Verdict::Refused {
            retry_after,
            suspect,
        } => {
            let why = match suspect {
                Suspect::Request(_) => "the request was lost with several targets that ran it",
                Suspect::Part(_) => {
                    "a part of the prompt was lost with several targets that read it"
                }
            };
            Some(Refusal::busy(why, retry_after.into()))
        }
    }
}

/// Returns whether the request may be sent to `target` now, and records a probe. What the target wants and
/// the verdict may have changed while the request waited for a target or for its connection.
fn may_send(requests: &Requests, call: &Call, target: &TargetId) -> bool {
    if !requests.targets.accepts(target) {
        return false;
    }
    match requests.node.crash_verdict(|| call.suspects()) {
        Verdict::Allowed => true,
        Verdict::Probe => requests.node.record_probe(call.suspects(), target),
        Verdict::Refused { .. } => false,
    }
}

/// Returns whether the request may be sent to the same target again, whose pooled connection was closed.
fn may_resend(requests: &Requests, call: &Call, target: &TargetId) -> bool {
    requests.targets.may_resend(target) && refuse_crashing(requests, call).is_none()
}

/// A stream that broke off and that another target is to resume.
#[derive(Clone, Copy, Debug)]
pub struct Resume {
    /// The id of the last event that the caller has; `None` if it has none.
    pub after: Option<u64>,
    /// The time at which the last bytes arrived for the caller.
    pub last_bytes_at: Instant,
}

/// Sends a request to one target, or asks it to resume a stream, and waits for the head of its answer.
pub async fn send(
    requests: &Rc<Requests>,
    call: &Rc<Call>,
    chosen: &Chosen,
    tries: &mut Tries,
    resume: Option<Resume>,
) -> Outcome {
    tries.targets.push(chosen.id.clone());
    let resume_after = resume.and_then(|resume| resume.after);
    let resume_after = resume_after.or(call.head.last_event);
    let last_bytes_at = resume.map_or(call.arrived_at, |resume| resume.last_bytes_at);
    let mut guard = AttemptGuard {
        requests: requests.clone(),
        call: call.clone(),
        id: chosen.id.clone(),
        addr: chosen.addr,
        connection: None,
        idle_limit: None,
        closes_connection: false,
        ends_with_connection: false,
        unread_prompt: call.prompt(),
        sent_at: Instant::now(),
        notified_at: Instant::now(),
        first_bytes: None,
        status: 0,
        ended: AttemptEnd::CallerLeft,
    };
    requests.targets.record_sent(&chosen.id, call.prompt());
    let mut connected = match Connected::to(requests, call, chosen.addr).await {
        Ok(connected) => connected,
        Err(error) => {
            info!("target not reached", kv: {
                request = call.head.id(), target = instance_of(&chosen.id), error = error.to_string()
            });
            guard.fail();
            tries.attempts.count_unreached();
            return Outcome::NotRun;
        }
    };
    let left = call
        .time_left()
        .min(chosen.time_limit.unwrap_or(Duration::MAX));
    if left < MIN_TIME_LEFT {
        tries.attempts.count_unreached();
        return Outcome::NotRun;
    }
    if !may_send(requests, call, &chosen.id) {
        guard.ended = AttemptEnd::Refused;
        tries.attempts.count_unreached();
        return Outcome::NotRun;
    }
    tries.attempts.count_sent();
    log_sent(requests, call, chosen, tries);
    let onward = ForwardHeaders {
        time_left: left,
        instance: instance_of(&chosen.id),
        organisation: call.organisation.as_deref(),
        version: chosen.version,
        resume_after,
    };
    let mut reply = {
        let sending = std::pin::pin!(connected.connection.send(build_request(call, &onward)));
        await_head(requests, call, chosen, tries, last_bytes_at, sending).await
    };
    let broken = matches!(reply, Some(Err(_)));
    if broken
        && connected.was_closed()
        && connected.replace(requests, call, chosen).await
        && may_resend(requests, call, &chosen.id)
    {
        requests.targets.record_resent(&chosen.id);
        let sending = std::pin::pin!(connected.connection.send(build_request(call, &onward)));
        reply = await_head(requests, call, chosen, tries, last_bytes_at, sending).await;
    }
    let Some(reply) = reply else {
        guard.fail();
        return Outcome::Unknown;
    };
    guard.connection = Some(connected.connection);
    match reply {
        Ok(response) => {
            let outcome = classify_answer(call, response, guard);
            if matches!(outcome, Outcome::NotRun) {
                tries.attempts.count_turned_away();
            }
            outcome
        }
        Err(error) => {
            info!("answer lost", kv: {
                request = call.head.id(), target = instance_of(&chosen.id),
                error = error.to_string(), digest = call.digest(),
                parts = call.head.shared_parts.join(",")
            });
            // A target that sends invalid answers has not crashed.
            if error.is_parse() {
                guard.fail();
            } else {
                guard.lose();
            }
            Outcome::Unknown
        }
    }
}

/// Waits for the head of an answer. Returns `None` if the attempt is to end, as the target has been silent
/// to this request for too long or is silent to all requests.
///
/// A silent target is given up as soon as another can take the request, which is checked repeatedly. If
/// none can for too long, the attempt ends as well and the caller gets an error. Otherwise the caller of a
/// frozen target would wait until it disconnects, and the target would run the request for nobody once it
/// resumes work.
async fn await_head(
    requests: &Rc<Requests>,
    call: &Call,
    chosen: &Chosen,
    tries: &Tries,
    last_bytes_at: Instant,
    mut sending: Pin<&mut impl Future<Output = HeadResult>>,
) -> Option<HeadResult> {
    if !call.may_repeat() {
        return Some(sending.await);
    }
    let began = Instant::now();
    loop {
        if let Ok(reply) = timeout(CHECK_INTERVAL, &mut sending).await {
            return Some(reply);
        }
        let waited = began.elapsed();
        let target_silent = waited >= call.route.goal && requests.targets.is_silent(&chosen.id);
        let abandoned =
            (target_silent && waited >= ABANDON_AFTER) || is_caller_leaving(call, last_bytes_at);
        let silent = target_silent || waited >= silence_limit(call);
        if abandoned || (silent && can_ask_another(requests, call, tries)) {
            info!("target silent, given up", kv: {
                request = call.head.id(), target = instance_of(&chosen.id),
                waited_ms = waited.as_millis(), forsaken = abandoned
            });
            return None;
        }
    }
}

/// Returns whether the caller of a stream is about to disconnect, as it has received nothing since
/// `last_bytes_at`. Before the first event that is the arrival of its request. A stream that is resumed
/// needs the time of its last event: counted from the arrival, the limit would already have passed, and
/// the next target would be given up before it could answer.
fn is_caller_leaving(call: &Call, last_bytes_at: Instant) -> bool {
    call.route.repeat == Repeat::Resumable
        && last_bytes_at.elapsed() >= call.event_gap().mul_f64(GIVE_UP_SHARE)
}

/// Logs the target of an attempt and the data behind the choice. An age of -1 means that there was no load
/// report; weights of 0 mean that any version may answer.
fn log_sent(requests: &Requests, call: &Call, chosen: &Chosen, tries: &Tries) {
    let age = chosen.report_age.and_then(|age| i64::try_from(age.0).ok());
    info!("sent", kv: {
        request = call.head.id(), target = instance_of(&chosen.id), attempt = tries.attempts.sent(),
        waited_ms = call.arrived_at.elapsed().as_millis(), prompt = call.prompt(),
        predicted_ms = chosen.predicted_ms.round(),
        report_age_ms = age.unwrap_or(-1),
        configuration = requests.node.declared.version(), weights = chosen.version.unwrap_or(0)
    });
}

/// Returns whether another target could take the request now, within the attempts and the budget.
fn can_ask_another(requests: &Rc<Requests>, call: &Call, tries: &Tries) -> bool {
    tries.attempts.may_continue(call.route.attempts)
        && requests.may_spend(&call.service)
        && choose(requests, call, tries).is_ok()
}

/// Returns how long a target may be silent to a request before another one is asked, although it answers
/// other requests.
fn silence_limit(call: &Call) -> Duration {
    (call.route.goal * SILENT_GOALS).max(MIN_SILENCE)
}

fn build_request(call: &Call, onward: &ForwardHeaders<'_>) -> Request<Full<bytes::Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.target.clone();
    *request.headers_mut() = call.headers.clone();
    set_forward_headers(request.headers_mut(), onward);
    request
}

/// Decides from the head of an answer what the outcome of the attempt is.
fn classify_answer(call: &Call, response: Response<Incoming>, mut guard: AttemptGuard) -> Outcome {
    let status = response.status();
    guard.status = status.as_u16();
    let head = ReplyHead::read(response.headers(), call.head.attempt.as_ref());
    guard.idle_limit = head.idle_timeout;
    guard.closes_connection = head.closes_connection;
    guard.ends_with_connection = head.ends_with_connection;
    // An answer of another instance says nothing about the target, and a limit ends only with an answer to
    // a request that the target served.
    let misdirected = status == StatusCode::MISDIRECTED_REQUEST;
    let served = head.sealed && status.is_success();
    if head.answers_attempt && !misdirected && (served || head.rate_limit.is_some()) {
        let node = &guard.requests.node;
        let sent_at = node.clock.now() - Millis::from(guard.sent_at.elapsed());
        node.record_limit(&instance_of(&guard.id).into(), head.rate_limit, sent_at);
    }
    if head.answers_attempt && !misdirected {
        record_notices(call, &guard, &head);
    }
    if head.answers_attempt && (head.not_run || misdirected) {
        guard.ended = AttemptEnd::TurnedAway;
        if misdirected {
            let targets = &guard.requests.targets;
            targets.exclude(&guard.id, MISDIRECTED_EXCLUSION);
        }
        return Outcome::NotRun;
    }
    // An answer without the target's seal, to another request, or with an encoding that was not asked for
    // is not an answer to this request.
    if !head.answers_attempt || !head.sealed || head.encoded {
        info!("answer rejected", kv: {
            request = call.head.id(), target = instance_of(&guard.id), status = status.as_u16(),
            ours = head.answers_attempt, sealed = head.sealed, encoded = head.encoded
        });
        guard.fail();
        return Outcome::Unknown;
    }
    if status.is_server_error() {
        guard.ended = AttemptEnd::Refused;
        let repeats = call.route.repeat == Repeat::Idempotent;
        if repeats {
            return Outcome::Failed(response, guard);
        }
    }
    Outcome::Answer(response, guard)
}

/// Records what the target wants from this entry, whether or not it answered the request.
fn record_notices(call: &Call, guard: &AttemptGuard, head: &ReplyHead) {
    let targets = &guard.requests.targets;
    let turned_away = guard.status == StatusCode::SERVICE_UNAVAILABLE.as_u16();
    if let Some(rest) = head.rest.filter(|_| turned_away) {
        info!("target asks for rest", kv: {
            request = call.head.id(), target = instance_of(&guard.id), rest_ms = rest.as_millis()
        });
        targets.record_rest(&guard.id, Millis::from(rest));
    }
    if head.leaving {
        info!("target says that it leaves", kv: {
            request = call.head.id(), target = instance_of(&guard.id)
        });
        targets.record_leaving(&guard.id);
    }
}

/// Returns an answer to the caller, whose body is passed on as it arrives.
fn relay(
    call: &Rc<Call>,
    response: Response<Incoming>,
    guard: AttemptGuard,
    tries: Tries,
) -> Response<AnswerBody> {
    let (mut head, body) = response.into_parts();
    strip_hop_headers(&mut head.headers);
    let framing = if !head.status.is_success() {
        Framing::Plain
    } else if call.route.repeat == Repeat::Resumable {
        Framing::Resumable
    } else if guard.ends_with_connection && is_event_stream(&head.headers) {
        Framing::Events
    } else {
        Framing::Plain
    };
    let relay = Relay::new(call.clone(), body, guard, tries, framing);
    Response::from_parts(head, AnswerBody::Relayed(Box::new(relay)))
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let kind = headers.get(header::CONTENT_TYPE);
    kind.is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"))
}

/// Creates the error of an answer that breaks off. The connection to the caller then closes in a way that
/// does not look like the end of a complete answer.
pub fn abort_error(why: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionAborted, why)
}
