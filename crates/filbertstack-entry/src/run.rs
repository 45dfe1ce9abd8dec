//! An admitted request: its attempts, and the delivery of the answer of one of them.

use std::sync::mpsc::RecvTimeoutError;
use std::time::Duration;
use std::time::Instant;

use filbertstack_core::Digest;
use filbertstack_core::Millis;
use filbertstack_core::status::is_final;
use filbertstack_policy::admission;
use filbertstack_policy::cost::Cost;
use filbertstack_policy::flow::Ended;
use filbertstack_policy::retry::NotRun;
use filbertstack_policy::retry::Outcome;
use filbertstack_policy::route::AttemptKey;
use filbertstack_policy::route::GroupKind;
use filbertstack_policy::route::TargetKey;
use filbertstack_policy::target::LoadReport;
use filbertstack_telemetry::Span;
use filbertstack_telemetry::traces::Field;
use filbertstack_telemetry::traces::Hop;
use filbertstack_wire::messages::Dispatch;
use filbertstack_wire::messages::Head;
use filbertstack_wire::messages::Payload;
use filbertstack_wire::messages::Tell;
use tiny_http::Request;

use crate::answer::Answer;
use crate::attempt::Attempt;
use crate::claims::Granted;
use crate::http;
use crate::http::Refusal;
use crate::race::Race;
use crate::request::RequestHandler;
use crate::request::RoutedRequest;
use crate::request::refusal_of;
use crate::table::Endpoint;
use crate::traffic::RequestEvent;
use crate::traffic::Ticket;

/// The interval at which a waiting request checks whether its caller has left.
const CALLER_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How a request ends for its caller.
pub(crate) enum RequestEnd {
    /// The request did not run.
    Refused { request: Request, refusal: Refusal },
    /// Whether the request ran is not known, and no byte of an answer has been sent.
    Unknown { request: Request, refusal: Refusal },
    /// The answer broke off after a part of it was sent, or the caller has left.
    Cut { ran: bool },
    /// The answer is complete; its end has not been sent yet.
    Whole(Box<Answer>),
}

impl RequestEnd {
    /// Settles or releases the claim, then sends the rest of the answer, and returns the outcome.
    ///
    /// The claim is settled first so that a caller that sees the end of an answer and resends its
    /// request gets the same answer instead of "in progress".
    pub(crate) fn conclude(self, claim: Option<Granted>) -> &'static str {
        match self {
            Self::Refused { request, refusal } => {
                claim.into_iter().for_each(Granted::release);
                let _ = http::refuse(request, &refusal);
                "not-run"
            }
            Self::Unknown { request, refusal } => {
                claim.into_iter().for_each(Granted::settle_unknown);
                let _ = http::refuse(request, &refusal);
                "unknown"
            }
            Self::Cut { ran: false } => {
                claim.into_iter().for_each(Granted::release);
                "left"
            }
            Self::Cut { ran: true } => {
                claim.into_iter().for_each(Granted::settle_unknown);
                "cut"
            }
            Self::Whole(answer) => {
                if let Some(claim) = claim {
                    claim.settle(answer.status(), answer.digest(), answer.kept().as_ref());
                }
                let _ = answer.finish();
                "ran"
            }
        }
    }
}

/// An attempt in progress and its target.
struct LiveAttempt {
    key: AttemptKey,
    number: u64,
    target: TargetKey,
    place: Endpoint,
    span: Span,
    _attempt: Attempt,
}

/// An admitted request that has not ended.
pub(crate) struct ActiveRequest<'a> {
    handler: &'a RequestHandler,
    routed: &'a RoutedRequest,
    ticket: Ticket,
    live: Vec<LiveAttempt>,
    race: Race<AttemptKey>,
    answer: Answer,
    span: &'a Span,
    admission_span: Option<Span>,
    started: Instant,
    sent: bool,
    /// Whether an attempt ended without its outcome being known.
    outcome_unknown: bool,
    /// Whether the request has claimed an idempotency key. Once sent, such a request runs to its end
    /// even if its caller leaves, so that the caller gets the answer instead of "unknown" when it
    /// resends the request under the same key.
    claimed: bool,
}

impl<'a> ActiveRequest<'a> {
    pub(crate) fn new(
        handler: &'a RequestHandler,
        routed: &'a RoutedRequest,
        ticket: Ticket,
        request: Request,
        span: &'a Span,
    ) -> Self {
        let answer = Answer::new(request);
        let tracer = handler.telemetry.tracer();
        let admission_span = Some(tracer.span(Hop::EntryAdmission, &span.parent()));
        let claimed = !routed.chosen.idempotent;
        Self {
            handler,
            routed,
            ticket,
            live: Vec::new(),
            race: Race::new(),
            answer,
            span,
            admission_span,
            started: Instant::now(),
            sent: false,
            outcome_unknown: false,
            claimed,
        }
    }

    pub(crate) fn run(mut self) -> RequestEnd {
        loop {
            if self.routed.caller_left.is_set() && !(self.claimed && self.sent) {
                return RequestEnd::Cut { ran: self.sent };
            }
            let event = match self.ticket.events.recv_timeout(CALLER_POLL_INTERVAL) {
                Ok(event) => event,
                Err(RecvTimeoutError::Timeout) if Instant::now() < self.answers_by() => continue,
                Err(_) => return self.time_out(),
            };
            let step = match event {
                RequestEvent::Send { attempt, target } => self.send(attempt, target),
                RequestEvent::Refused(refusal) => Step::Refused(refusal),
                RequestEvent::Unknown => {
                    Step::Unknown("it may have run; no time is left to try again".into())
                }
                RequestEvent::Part {
                    attempt,
                    reply,
                    is_last,
                } => self.handle_part(attempt, reply, is_last),
                RequestEvent::Failed {
                    attempt,
                    outcome,
                    text,
                } => self.handle_failure(attempt, outcome, &text),
            };
            match step {
                Step::Continue => {}
                Step::Refused(refusal) => return self.refuse(&refusal),
                Step::Unknown(text) => return self.unknown(502, text),
                Step::Cut => return RequestEnd::Cut { ran: true },
                Step::Whole => return RequestEnd::Whole(Box::new(self.answer)),
            }
        }
    }

    /// Returns when the caller gets an answer of this entry if no target has given one.
    fn answers_by(&self) -> Instant {
        let deadline = self.routed.deadline;
        let ends = self.handler.ends.get();
        ends.map_or(deadline, |ends| deadline.min(*ends))
    }

    /// Starts an attempt at a target.
    fn send(&mut self, key: AttemptKey, target: TargetKey) -> Step {
        if !self.race.add(key) {
            // The flow cancelled this attempt when another began to answer.
            return Step::Continue;
        }
        let table = self.handler.traffic.table();
        let group = self.routed.chosen.group;
        let place = table
            .endpoint(group, target)
            .or_else(|| self.routed.table.endpoint(group, target));
        let Some(place) = place.cloned() else {
            let outcome = Outcome::NotRun(NotRun::Absent);
            return self.handle_failure(
                key,
                outcome,
                "the target left before the request was sent",
            );
        };
        let metrics = &self.handler.telemetry.metrics.entry;
        if self.admission_span.take().is_some() {
            metrics.wait.record(self.started.elapsed());
        } else {
            metrics.retries.add("again", 1);
        }
        let span = self
            .handler
            .telemetry
            .tracer()
            .span(Hop::EntryDispatch, &self.span.parent());
        span.text(Field::Target, place.name.as_str());
        let number = self.handler.next_attempt();
        let remaining = self
            .routed
            .deadline
            .saturating_duration_since(Instant::now());
        let dispatch = Dispatch {
            attempt: number,
            digest: place.version.map(Digest::to_vec).unwrap_or_default(),
            timeout: Millis::from(remaining).0,
            trace: span.traceparent(),
            ..self.routed.dispatch.clone()
        };
        let (dialer, events) = (self.handler.dialer.clone(), &self.ticket.sender);
        let attempt = Attempt::start(dialer, &place, key, dispatch, self.routed.deadline, events);
        self.sent = true;
        self.live.push(LiveAttempt {
            key,
            number,
            target,
            place,
            span,
            _attempt: attempt,
        });
        Step::Continue
    }

    /// Handles a part of an answer if it belongs to an attempt that may still answer.
    fn handle_part(&mut self, key: AttemptKey, reply: Tell, is_last: bool) -> Step {
        let Some(live) = self.live.iter().find(|live| live.key == key) else {
            return Step::Continue;
        };
        match reply {
            Tell::Head(head) => {
                let version = live.place.version.map(Digest::to_vec).unwrap_or_default();
                if head.attempt != live.number || head.digest != version {
                    let text = "the target answered another request or from another version";
                    return self.handle_failure(key, Outcome::Unknown, text);
                }
                if !is_final(head.status) {
                    let text = "the target answered without a status of HTTP";
                    return self.handle_failure(key, Outcome::Unknown, text);
                }
                if self.is_engine_full(&head) {
                    let outcome = Outcome::NotRun(NotRun::Full);
                    return self.handle_failure(key, outcome, "the engine had no room");
                }
                let (place, target) = (live.place.clone(), live.target);
                self.ticket.observe_load(target, load_report(&head));
                if self.race.begin_answer(key) {
                    self.ticket.first_token(key);
                    let metrics = &self.handler.telemetry.metrics.entry;
                    metrics.first_token.record(self.started.elapsed());
                    self.live.retain(|live| live.key == key);
                    self.answer.set_head(&head, &place);
                }
                Step::Continue
            }
            Tell::Piece(Payload { body }) if self.race.may_pass(key) => {
                self.handle_bytes(key, &body, is_last)
            }
            Tell::Piece(_) => Step::Continue,
            _ => self.handle_failure(key, Outcome::Unknown, "the agent told something else"),
        }
    }

    /// Returns whether an engine had no room for the request. An engine that answers 429 or 503 has not
    /// begun the request; a plain service may mean anything by these statuses.
    fn is_engine_full(&self, head: &Head) -> bool {
        self.routed.chosen.kind == GroupKind::Engines && matches!(head.status, 429 | 503)
    }

    fn handle_bytes(&mut self, key: AttemptKey, body: &[u8], is_last: bool) -> Step {
        if self.answer.append(body).is_err() && !self.claimed {
            return Step::Cut;
        }
        if !is_last {
            return Step::Continue;
        }
        let cost = Cost {
            prompt: self.routed.need.cost.prompt,
            output: self.answer.tokens(),
        };
        self.ticket.finish(key, Outcome::Ran { cost });
        Step::Whole
    }

    fn handle_failure(&mut self, key: AttemptKey, outcome: Outcome, text: &str) -> Step {
        if let Some(live) = self.live.iter().find(|live| live.key == key) {
            live.span.fail(text);
        }
        self.live.retain(|live| live.key != key);
        self.outcome_unknown |= outcome == Outcome::Unknown;
        let was_answering = self.race.may_pass(key);
        self.race.remove(key);
        match self.ticket.finish(key, outcome) {
            _ if was_answering && self.answer.has_begun() => Step::Cut,
            Ended::Retry | Ended::Pending | Ended::Stale => {
                if was_answering {
                    self.answer.reset();
                }
                Step::Continue
            }
            Ended::Refused(refusal) => Step::Refused(refusal),
            Ended::Unknown | Ended::Complete => Step::Unknown(text.into()),
        }
    }

    fn refuse(self, refusal: &admission::Refusal) -> RequestEnd {
        match self.answer.into_request() {
            Some(request) => RequestEnd::Refused {
                request,
                refusal: refusal_of(refusal),
            },
            None => RequestEnd::Cut { ran: true },
        }
    }

    fn unknown(self, status: u16, text: String) -> RequestEnd {
        match self.answer.into_request() {
            Some(request) => RequestEnd::Unknown {
                request,
                refusal: Refusal::unknown(status, text),
            },
            None => RequestEnd::Cut { ran: true },
        }
    }

    fn time_out(self) -> RequestEnd {
        if self.live.is_empty() && !self.outcome_unknown {
            let reason = admission::Reason::Deadline;
            let retry_after = Millis::secs(1);
            return self.refuse(&admission::Refusal {
                reason,
                retry_after,
            });
        }
        let text = "no whole answer by the deadline: allow more time, or ask again if it may run \
                    twice";
        self.unknown(504, text.into())
    }
}

/// The step that follows an event of the request.
enum Step {
    Continue,
    Refused(admission::Refusal),
    Unknown(String),
    Cut,
    Whole,
}

/// Returns the load that a target reported with its answer. The agent counts the requests in progress,
/// so none are waiting at the target.
fn load_report(head: &Head) -> LoadReport {
    LoadReport {
        running: head.running,
        waiting: 0,
        slots: head.slots,
    }
}
