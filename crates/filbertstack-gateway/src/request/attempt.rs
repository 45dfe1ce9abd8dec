//! The attempts of a request: it is sent to one target, and to another one if that is allowed.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use filbertstack_core::Millis;
use filbertstack_core::serving::Repeat;
use filbertstack_platform::request::ForwardHeaders;
use filbertstack_platform::request::set_forward_headers;
use filbertstack_platform::request::strip_hop_headers;
use filbertstack_policy::attempts::Attempts;
use filbertstack_policy::begin::Grant;
use filbertstack_policy::begin::Work;
use filbertstack_policy::dispatch::AttemptEnd;
use filbertstack_policy::dispatch::ChooseError;
use filbertstack_policy::dispatch::TargetId;
use filbertstack_policy::dispatch::TargetRequest;
use filbertstack_policy::handover::Handover;
use filbertstack_policy::handover::Sign;
use filbertstack_policy::permit::Way;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::header;
use spdlog::info;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use crate::client::RequestBody;
use crate::meter::Received;
use crate::meter::is_invalid;
use crate::request::Call;
use crate::request::Requests;
use crate::request::answer::AnswerBody;
use crate::request::answer::Refusal;
use crate::request::classify::classify_answer;
use crate::request::connect::Connected;
use crate::request::guard::AttemptGuard;
use crate::request::handover::Held;
use crate::request::handover::Waited;
use crate::request::handover::await_called;
use crate::request::permit;
use crate::request::relay::Framing;
use crate::request::relay::Relay;
use crate::request::residency::NO_REGION;
use crate::request::targets::Chosen;
use crate::request::targets::instance_of;
use crate::request::waiting;

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

/// The share of the time that callers wait for the next event after which an attempt without one is
/// ended. A later answer would find no caller. Ended now, the target stops its work in time and the caller
/// may retry; when the caller disconnects by itself, the work of the target is wasted.
const GIVE_UP_SHARE: f64 = 0.9;

/// How often a waiting attempt checks whether to ask another target: one may become free, or the target
/// asked may fall silent, at any time. It equals the interval of load reports.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The time left until the deadline below which nothing is sent any more: no answer could arrive in it.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);

/// Why an attempt ends without an answer: the target holds an older version, which may no longer begin.
const MAY_NOT_BEGIN: &str = "the weights may no longer begin";

/// Why an attempt ends without an answer: its caller receives no event for so long that it is about to disconnect.
const CALLER_LEAVES: &str = "the caller is about to leave";

/// Why an attempt ends before its target has the whole request.
const NOT_READ: &str = "the target does not show that it reads";

/// The head of a target's answer, or the error of the connection.
pub type HeadResult = Result<Response<Received>, hyper::Error>;

/// The outcome of one attempt.
pub enum Outcome {
    /// The target gave an answer to return to the caller.
    Answer(Response<Received>, AttemptGuard),
    /// The request certainly did not run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request ran and failed at the target; another target may be asked.
    Failed(Response<Received>, AttemptGuard),
}

impl Outcome {
    /// Returns whether a target answered in a way that may be returned to the caller.
    fn is_answer(&self) -> bool {
        matches!(self, Self::Answer(..))
    }
}

/// The attempts of one request so far.
#[derive(Clone, Default)]
pub struct Tries {
    /// The targets that were chosen for it, also those that could not be reached.
    pub targets: Vec<TargetId>,
    /// What became of it there.
    pub attempts: Attempts,
    /// When the first answer began that was passed on; `None` before.
    pub begun_at: Option<Instant>,
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
        let chosen = if let Some(refusal) = permit::refusal(requests, call) {
            Err(refusal)
        } else if tries.targets.is_empty() {
            waiting::choose_first(requests, call)
                .await
                .map_err(to_refusal)
        } else {
            choose(requests, call, &tries)
        };
        // The process may have been told to stop while the request waited for a target.
        let leaves = requests.leaves_before_sent(call);
        let chosen = match leaves.map_or(chosen, Err) {
            Ok(chosen) => chosen,
            Err(refusal) => {
                return match failed {
                    Some((response, guard)) => Ok(relay(call, response, guard, tries)),
                    None if unknown => Err(Refusal::unknown("no answer came; it may have run")),
                    None => Err(refusal),
                };
            }
        };
        let sender = Sender::new(requests, call, None);
        match sender.send(&chosen, &mut tries).await {
            Outcome::Answer(response, guard) => {
                requests.metrics.entry.requests.add("target's answer", 1);
                return Ok(relay(call, response, guard, tries));
            }
            Outcome::Failed(response, guard) => failed = Some((response, guard)),
            Outcome::NotRun => call.may_run.set(unknown || failed.is_some()),
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
    let residency = call.residency(&requests.node);
    let wanted = TargetRequest {
        // It was admitted before, and has its place among the others.
        contender: None,
        residency: residency.as_ref(),
        service: &call.service,
        prompt: call.prompt(),
        goal: Millis::from(goal),
        tried: &tries.targets,
        work: call.work(tries),
    };
    requests.targets.choose(&wanted).map_err(to_refusal)
}

fn to_refusal(refused: ChooseError) -> Refusal {
    let why = match refused {
        ChooseError::Yields { .. } => "room is kept for requests of higher rank",
        ChooseError::Evacuated { .. } => "all targets are in evacuated zones",
        ChooseError::NoRegion { .. } => NO_REGION,
        ChooseError::NoTarget { .. } | ChooseError::Full { .. } => "no target can serve it in time",
    };
    Refusal::busy(why, refused.retry_after().into())
}

/// A stream that another target is to continue.
#[derive(Clone, Copy, Debug)]
pub struct Resume {
    /// The id of the last event that the caller has; `None` if it has none.
    pub after: Option<u64>,
    /// The time at which the last bytes arrived for the caller.
    pub last_bytes_at: Instant,
    /// Whether the first target still gives the answer.
    pub first_serves: bool,
}

/// How the wait for the head of an answer ended.
enum Awaited {
    /// The target sent it, or its connection failed.
    Head(HeadResult),
    /// Another target, which was asked as well, gives the answer.
    Beside(Box<Outcome>),
    /// The caller is about to leave, or the target may no longer begin.
    GivenUp,
    /// The target did not get the whole request, so that it can't run it.
    NotHandedOver,
}

/// Sends a request to targets, or asks them to resume its stream. All targets that are asked for one answer get the
/// same resume point: one without it would start the stream again from its first event.
#[derive(Clone, Copy)]
pub struct Sender<'a> {
    requests: &'a Rc<Requests>,
    call: &'a Rc<Call>,
    /// Where the stream is resumed; `None` if it has not begun.
    resume: Option<Resume>,
}

impl<'a> Sender<'a> {
    /// Creates the sender of a request whose stream is resumed at `resume`.
    pub fn new(requests: &'a Rc<Requests>, call: &'a Rc<Call>, resume: Option<Resume>) -> Self {
        Self {
            requests,
            call,
            resume,
        }
    }

    fn way(&self, tries: &Tries) -> Way {
        if self.resume.is_some() {
            Way::Resume
        } else if tries.attempts.sent() > 0 {
            Way::Retry
        } else {
            Way::New
        }
    }

    /// Returns the id of the last event that the caller has.
    fn resume_after(&self) -> Option<u64> {
        let after = self.resume.and_then(|resume| resume.after);
        after.or(self.call.head.last_event)
    }

    /// Returns when the last bytes arrived for the caller, or its request.
    fn last_bytes_at(&self) -> Instant {
        let resume = self.resume.as_ref();
        resume.map_or(self.call.arrived_at, |resume| resume.last_bytes_at)
    }

    /// Sends to one target and waits for the head of its answer.
    pub async fn send(&self, chosen: &Chosen, tries: &mut Tries) -> Outcome {
        let Self {
            requests,
            call,
            resume,
        } = *self;
        tries.targets.push(chosen.id.clone());
        let mut guard = AttemptGuard::new(requests, call, chosen);
        if resume.is_some_and(|resume| resume.first_serves) {
            guard.ended = AttemptEnd::Superseded;
        }
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
        let Some(grant) = self.grant(chosen, tries) else {
            tries.attempts.count_unreached();
            return Outcome::NotRun;
        };
        if !permit::may_send_to(requests, call, chosen, self.way(tries)) {
            guard.ended = AttemptEnd::Refused;
            tries.attempts.count_unreached();
            return Outcome::NotRun;
        }
        let work = call.work(tries);
        tries.attempts.count_sent();
        log_sent(requests, call, chosen, tries, grant);
        call.may_run.set(true);
        guard.set_limit(grant, work);
        let mut reply = self
            .exchange(&mut connected, chosen, &mut guard, tries, grant)
            .await;
        let broken = matches!(reply, Awaited::Head(Err(_)));
        if broken && connected.was_closed() && connected.replace(requests, call, chosen).await {
            // Time has passed since the first send, and the attempt is counted already.
            let work = Work {
                time_left: Millis::from(call.time_left()),
                ..work
            };
            let grant = requests.targets.grant(chosen, call.prompt(), work);
            if let Some(grant) = grant
                && permit::may_send_to(requests, call, chosen, Way::Resend)
            {
                requests.targets.record_resent(&chosen.id);
                guard.set_limit(grant, work);
                reply = self
                    .exchange(&mut connected, chosen, &mut guard, tries, grant)
                    .await;
            }
        }
        let reply = match reply {
            Awaited::Head(reply) => reply,
            Awaited::Beside(outcome) => {
                guard.fail();
                return *outcome;
            }
            Awaited::GivenUp => {
                guard.fail();
                return Outcome::Unknown;
            }
            Awaited::NotHandedOver => {
                guard.ended = AttemptEnd::TurnedAway;
                tries.attempts.count_turned_away();
                return Outcome::NotRun;
            }
        };
        guard.connection = Some(Box::new(connected.connection));
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
                if is_invalid(&error) {
                    guard.fail();
                } else {
                    guard.lose();
                }
                Outcome::Unknown
            }
        }
    }

    /// Returns the time that a target gets for the request as the next of its attempts; `None` if that is too short, or
    /// the target may not begin it any more.
    fn grant(&self, chosen: &Chosen, tries: &Tries) -> Option<Grant> {
        let Self { requests, call, .. } = *self;
        let work = call.work(tries);
        let grant = requests.targets.grant(chosen, call.prompt(), work);
        grant.filter(|grant| Duration::from(grant.limit) >= MIN_TIME_LEFT)
    }

    /// Writes the request to a connection and waits for the head of its answer.
    async fn exchange(
        &self,
        connected: &mut Connected,
        chosen: &Chosen,
        guard: &mut AttemptGuard,
        tries: &mut Tries,
        grant: Grant,
    ) -> Awaited {
        let Self { requests, call, .. } = *self;
        let sent_at = Instant::now();
        let begin_by = grant.begin_within.map(|within| sent_at + within.into());
        let has_body = !call.body.is_empty();
        let handover = requests.targets.handover(&chosen.id, has_body);
        if let Some(handover) = handover.filter(|_| !has_body) {
            // Without a body, the head is the whole request.
            let patience = self.lose_patience(chosen, tries, handover);
            tokio::select! {
                biased;
                () = await_called(chosen.addr) => {}
                () = patience => return self.not_handed_over(chosen, sent_at),
            }
            if !self.may_hand_over(chosen, guard, handover, sent_at) {
                return self.not_handed_over(chosen, sent_at);
            }
        }
        let onward = ForwardHeaders {
            time_left: Duration::from(grant.limit).saturating_sub(sent_at.elapsed()),
            instance: instance_of(&chosen.id),
            organisation: call.organisation.as_deref(),
            version: chosen.version,
            resume_after: self.resume_after(),
            priority: call.urgency(),
        };
        let request = build_request(call, &onward);
        if let Some(handover) = handover.filter(|_| has_body) {
            let (held, request) = Held::new(chosen.addr, handover, request, call.body.clone());
            let held = (handover, held, request);
            return self
                .hand_over(connected, chosen, guard, tries, begin_by, held)
                .await;
        }
        let request = request.map(|()| RequestBody::new(call.body.clone()));
        let sending = std::pin::pin!(connected.connection.send(request));
        self.await_head(chosen, tries, begin_by, sending).await
    }

    /// Writes a request whose body is held back until its target has shown that it reads, and waits for the head of
    /// its answer.
    async fn hand_over(
        &self,
        connected: &mut Connected,
        chosen: &Chosen,
        guard: &mut AttemptGuard,
        tries: &mut Tries,
        begin_by: Option<Instant>,
        (handover, held, request): (Handover, Held, Request<RequestBody>),
    ) -> Awaited {
        let sent_at = Instant::now();
        let stale_until = connected.stale_until();
        let mut sending = std::pin::pin!(connected.connection.send(request));
        let patience = self.lose_patience(chosen, tries, handover);
        match held.await_sign(sending.as_mut(), patience).await {
            Waited::Reads(sign, release) => {
                self.requests.targets.record_sign(&chosen.id, sign);
                if !self.may_hand_over(chosen, guard, handover, sent_at) {
                    return self.not_handed_over(chosen, sent_at);
                }
                release.release();
                self.await_head(chosen, tries, begin_by, sending).await
            }
            // A pooled connection may have been closed by the target, and the request is sent on another then.
            Waited::Head(Err(_)) if stale_until.is_none_or(|until| Instant::now() >= until) => {
                self.not_handed_over(chosen, sent_at)
            }
            Waited::Head(reply) => Awaited::Head(reply),
            Waited::Unexpected => {
                self.requests.targets.record_sign(&chosen.id, Sign::Call);
                self.not_handed_over(chosen, sent_at)
            }
            Waited::Silent => self.not_handed_over(chosen, sent_at),
        }
    }

    /// Waits until a target is given up that does not show that it reads. While no newer version is known, that is when
    /// another target may get the request, or its caller is about to leave.
    async fn lose_patience(&self, chosen: &Chosen, tries: &Tries, handover: Handover) {
        let Self { requests, call, .. } = *self;
        if let Some(give_up) = handover.give_up {
            sleep(give_up.into()).await;
            return;
        }
        let began = Instant::now();
        loop {
            sleep(CHECK_INTERVAL).await;
            let waited = began.elapsed();
            let target_silent = waited >= call.route.goal && requests.targets.is_silent(&chosen.id);
            let is_late = target_silent || waited >= silence_limit(call);
            if is_late && may_ask_other(requests, call, tries)
                || is_caller_leaving(call, self.last_bytes_at())
            {
                return;
            }
        }
    }

    /// Records that a target has shown that it reads the request whose head was sent at `sent_at`. Returns whether it may
    /// get the whole of it now.
    fn may_hand_over(
        &self,
        chosen: &Chosen,
        guard: &mut AttemptGuard,
        handover: Handover,
        sent_at: Instant,
    ) -> bool {
        let waited = sent_at.elapsed();
        guard.record_sign(waited);
        match handover.give_up {
            // This entry may have stood still itself since the head was sent.
            Some(give_up) => waited < give_up.into(),
            // A newer version may have been named since then.
            None => !self
                .requests
                .targets
                .outlasts_weights(&chosen.id, guard.limit),
        }
    }

    /// Logs and counts that a target did not get the whole of a request.
    fn not_handed_over(&self, chosen: &Chosen, sent_at: Instant) -> Awaited {
        self.give_up(chosen, sent_at, NOT_READ);
        Awaited::NotHandedOver
    }

    /// Waits for the head of an answer. A target that is silent to this request for too long, or to all requests,
    /// keeps it: another is asked as well, and the first answer counts. If the first target were given up for one
    /// that turns the request away, its caller would get an error in place of the answer that is under way.
    ///
    /// The attempt ends without an answer only if the caller is about to leave, as it would run for nobody, or if
    /// the target may no longer begin, as its weights are too old.
    ///
    /// `begin_by` is the time by which the target must have begun, if there is such a limit.
    async fn await_head(
        &self,
        chosen: &Chosen,
        tries: &mut Tries,
        begin_by: Option<Instant>,
        mut sending: Pin<&mut impl Future<Output = HeadResult>>,
    ) -> Awaited {
        let Self { requests, call, .. } = *self;
        if !call.may_repeat() {
            let Some(begin_by) = begin_by else {
                return Awaited::Head(sending.await);
            };
            let sent_at = Instant::now();
            return match timeout_at(begin_by, sending).await {
                Ok(reply) => Awaited::Head(reply),
                Err(_) => self.give_up(chosen, sent_at, MAY_NOT_BEGIN),
            };
        }
        let began = Instant::now();
        loop {
            let check_at = Instant::now() + CHECK_INTERVAL;
            let check_at = begin_by.map_or(check_at, |until| until.min(check_at));
            if let Ok(reply) = timeout_at(check_at, &mut sending).await {
                return Awaited::Head(reply);
            }
            let waited = began.elapsed();
            if begin_by.is_some_and(|until| Instant::now() >= until) {
                return self.give_up(chosen, began, MAY_NOT_BEGIN);
            }
            if is_caller_leaving(call, self.last_bytes_at()) {
                return self.give_up(chosen, began, CALLER_LEAVES);
            }
            let target_silent = waited >= call.route.goal && requests.targets.is_silent(&chosen.id);
            if !target_silent && waited < silence_limit(call) {
                continue;
            }
            let Some(other) = find_other(requests, call, tries) else {
                continue;
            };
            info!("target silent, another is asked", kv: {
                request = call.head.id(), target = instance_of(&chosen.id),
                waited_ms = waited.as_millis(), other = instance_of(&other.id)
            });
            if let Some(awaited) = self.race(&other, tries, sending.as_mut()).await {
                return awaited;
            }
        }
    }

    /// Logs and counts that an attempt which was sent at `sent_at` ends without an answer.
    fn give_up(&self, chosen: &Chosen, sent_at: Instant, why: &'static str) -> Awaited {
        let Self { requests, call, .. } = *self;
        info!("target silent, given up", kv: {
            request = call.head.id(), target = instance_of(&chosen.id),
            waited_ms = sent_at.elapsed().as_millis(), forsaken = true, why = why
        });
        requests.metrics.entry.give_ups.add(why, 1);
        Awaited::GivenUp
    }

    /// Sends a request to another target while the first is silent. Returns `None` if the other does not answer it,
    /// so that the first alone is left.
    async fn race(
        &self,
        other: &Chosen,
        tries: &mut Tries,
        mut sending: Pin<&mut impl Future<Output = HeadResult>>,
    ) -> Option<Awaited> {
        let beside: Pin<Box<dyn Future<Output = Outcome> + '_>> = Box::pin(self.send(other, tries));
        let mut beside = beside;
        let reply = tokio::select! {
            reply = &mut sending => reply,
            outcome = &mut beside => return outcome.is_answer().then_some(Awaited::Beside(Box::new(outcome))),
        };
        // An answer that may be returned need not wait for the other.
        if reply
            .as_ref()
            .is_ok_and(|response| response.status().is_success())
        {
            return Some(Awaited::Head(reply));
        }
        let outcome = beside.await;
        if outcome.is_answer() {
            return Some(Awaited::Beside(Box::new(outcome)));
        }
        Some(Awaited::Head(reply))
    }
}

/// Chooses another target for a request whose first is silent, within the attempts and the budget, of which it
/// takes one repeated send.
fn find_other(requests: &Rc<Requests>, call: &Call, tries: &Tries) -> Option<Chosen> {
    if !tries.attempts.may_continue(call.route.attempts) || !requests.may_spend(&call.service) {
        return None;
    }
    let chosen = choose(requests, call, tries).ok()?;
    requests.spend(&call.service).then_some(chosen)
}

/// Returns whether another target may get a request that its last target has turned away.
fn may_ask_other(requests: &Rc<Requests>, call: &Call, tries: &Tries) -> bool {
    let mut attempts = tries.attempts;
    attempts.count_turned_away();
    attempts.may_continue(call.route.attempts)
        && requests.may_spend(&call.service)
        && choose(requests, call, tries).is_ok()
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
/// report; weights of 0 mean that any version may answer; a rank of -1 means that its service has no ranks.
/// The version held is the one that the target is known to have. The time limit is the one that the target is told.
/// The time to begin is -1 if the target may begin within all of it, and the silence if the target was never heard.
/// The time since the weights were replaced is -1 as long as this entry knows of no newer version.
fn log_sent(requests: &Requests, call: &Call, chosen: &Chosen, tries: &Tries, grant: Grant) {
    let number = |n: Millis| i64::try_from(n.0).unwrap_or(i64::MAX);
    info!("sent", kv: {
        request = call.head.id(), target = instance_of(&chosen.id), attempt = tries.attempts.sent(),
        waited_ms = call.arrived_at.elapsed().as_millis(), prompt = call.prompt(),
        predicted_ms = chosen.predicted_ms.round(),
        report_age_ms = chosen.report_age.map_or(-1, number),
        configuration = requests.node.declared.version(), weights = chosen.version.unwrap_or(0),
        held = chosen.held,
        rank = call.contender.as_ref().map_or(-1, |contender| i32::from(contender.rank.0)),
        time_limit_ms = grant.limit.0, begin_within_ms = grant.begin_within.map_or(-1, number),
        silent_ms = requests.targets.silence(&chosen.id).map_or(-1, number),
        replaced_ms = requests.targets.replaced_since(&chosen.id).map_or(-1, number)
    });
}

/// Returns how long a target may be silent to a request before another one is asked as well, although it
/// answers other requests.
fn silence_limit(call: &Call) -> Duration {
    (call.route.goal * SILENT_GOALS).max(MIN_SILENCE)
}

fn build_request(call: &Call, onward: &ForwardHeaders<'_>) -> Request<()> {
    let mut request = Request::new(());
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.target.clone();
    *request.headers_mut() = call.headers.clone();
    set_forward_headers(request.headers_mut(), onward);
    request
}

/// Returns an answer to the caller, whose body is passed on as it arrives.
fn relay(
    call: &Rc<Call>,
    response: Response<Received>,
    guard: AttemptGuard,
    tries: Tries,
) -> Response<AnswerBody> {
    let (mut head, body) = response.into_parts();
    strip_hop_headers(&mut head.headers);
    let framing = if !head.status.is_success() {
        Framing::Plain
    } else if call.route.repeat == Repeat::Resumable {
        Framing::Resumable
    } else if !is_event_stream(&head.headers) {
        Framing::Plain
    } else if call.route.streams {
        Framing::Events
    } else if guard.ends_with_connection {
        Framing::EventEnd
    } else {
        Framing::Plain
    };
    // Comments between events are left out, and another target may continue a stream: its length is not that of the
    // first target's answer.
    if matches!(framing, Framing::Events | Framing::Resumable) {
        head.headers.remove(header::CONTENT_LENGTH);
    }
    let relay = Relay::new(call.clone(), body, guard, tries, framing);
    Response::from_parts(head, AnswerBody::Relayed(Box::new(relay)))
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let kind = headers.get(header::CONTENT_TYPE);
    let name = b"text/event-stream";
    let start = kind.and_then(|kind| kind.as_bytes().get(..name.len()));
    start.is_some_and(|start| start.eq_ignore_ascii_case(name))
}

/// Creates the error of an answer that breaks off. The connection to the caller then closes in a way that
/// does not look like the end of a complete answer.
pub fn abort_error(why: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionAborted, why)
}
