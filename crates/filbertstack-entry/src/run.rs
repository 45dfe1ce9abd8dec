//! One admitted request: its attempts, and the one that answers.

use std::sync::mpsc::RecvTimeoutError;
use std::time::Duration;
use std::time::Instant;

use filbertstack_core::Digest;
use filbertstack_core::Millis;
use filbertstack_policy::admission;
use filbertstack_policy::cost::Cost;
use filbertstack_policy::flow::Ended;
use filbertstack_policy::retry::NotRun;
use filbertstack_policy::retry::Outcome;
use filbertstack_policy::route::AttemptKey;
use filbertstack_policy::route::Kind;
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
use crate::call::Job;
use crate::call::RequestHandler;
use crate::call::refusal_of;
use crate::claims::Granted;
use crate::http;
use crate::http::Refusal;
use crate::race::Race;
use crate::table::Place;
use crate::traffic::Ticket;
use crate::traffic::Turn;

/// How often a waiting request looks whether its caller has left.
const LOOK: Duration = Duration::from_millis(50);

/// How a request ends for its caller.
pub(crate) enum End {
    /// It did not run.
    Refused { request: Request, refusal: Refusal },
    /// Nobody knows whether it ran, and no byte of an answer went out.
    Unknown { request: Request, refusal: Refusal },
    /// An answer has begun and breaks off, or the caller has left.
    Cut { ran: bool },
    /// The answer is whole, its end not yet sent.
    Whole(Box<Answer>),
}

impl End {
    /// Settles the claim, then tells the caller; returns how the request ended.
    ///
    /// In this order: a caller that sees the end of an answer and sends its request again gets the
    /// same answer, not "in progress".
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

/// An attempt in progress and where it goes.
struct Live {
    key: AttemptKey,
    number: u64,
    target: TargetKey,
    place: Place,
    span: Span,
    _sending: Attempt,
}

/// One admitted request, until its end.
pub(crate) struct Run<'a> {
    calls: &'a RequestHandler,
    job: &'a Job,
    ticket: Ticket,
    live: Vec<Live>,
    race: Race<AttemptKey>,
    answer: Answer,
    span: &'a Span,
    waiting: Option<Span>,
    began: Instant,
    sent: bool,
    /// An attempt ended without word whether it ran.
    unsure: bool,
    /// A claimed request that was sent runs to its end also when its caller leaves: the caller
    /// comes back with the same key, and then gets the answer instead of "unknown".
    claimed: bool,
}

impl<'a> Run<'a> {
    pub(crate) fn new(
        calls: &'a RequestHandler,
        job: &'a Job,
        ticket: Ticket,
        request: Request,
        span: &'a Span,
    ) -> Self {
        let answer = Answer::new(request);
        let tracer = calls.telemetry.tracer();
        let waiting = Some(tracer.span(Hop::EntryAdmission, &span.parent()));
        let claimed = !job.chosen.idempotent;
        Self {
            calls,
            job,
            ticket,
            live: Vec::new(),
            race: Race::new(),
            answer,
            span,
            waiting,
            began: Instant::now(),
            sent: false,
            unsure: false,
            claimed,
        }
    }

    pub(crate) fn follow(mut self) -> End {
        loop {
            if self.job.gone.is_set() && !(self.claimed && self.sent) {
                return End::Cut { ran: self.sent };
            }
            let turn = match self.ticket.turns.recv_timeout(LOOK) {
                Ok(turn) => turn,
                Err(RecvTimeoutError::Timeout) if Instant::now() < self.job.deadline => continue,
                Err(_) => return self.time_out(),
            };
            let next = match turn {
                Turn::Send { attempt, target } => self.send(attempt, target),
                Turn::Refused(refusal) => Next::Refused(refusal),
                Turn::Unknown => {
                    Next::Unknown("it may have run; no time is left to try again".into())
                }
                Turn::Part {
                    attempt,
                    tell,
                    last,
                } => self.part(attempt, tell, last),
                Turn::Failed {
                    attempt,
                    outcome,
                    text,
                } => self.failed(attempt, outcome, &text),
            };
            match next {
                Next::Go => {}
                Next::Refused(refusal) => return self.refuse(&refusal),
                Next::Unknown(text) => return self.unknown(502, text),
                Next::Cut => return End::Cut { ran: true },
                Next::Whole => return End::Whole(Box::new(self.answer)),
            }
        }
    }

    /// Sends the request to a target.
    fn send(&mut self, key: AttemptKey, target: TargetKey) -> Next {
        if !self.race.enter(key) {
            // The flow withdrew it when the other attempt began to answer.
            return Next::Go;
        }
        let table = self.calls.traffic.table();
        let group = self.job.chosen.group;
        let place = table
            .place(group, target)
            .or_else(|| self.job.table.place(group, target));
        let Some(place) = place.cloned() else {
            let outcome = Outcome::NotRun(NotRun::Absent);
            return self.failed(key, outcome, "the target left before the request was sent");
        };
        let metrics = &self.calls.telemetry.metrics.entry;
        if self.waiting.take().is_some() {
            metrics.wait.record(self.began.elapsed());
        } else {
            metrics.retries.add("again", 1);
        }
        let span = self
            .calls
            .telemetry
            .tracer()
            .span(Hop::EntryDispatch, &self.span.parent());
        span.text(Field::Target, place.name.as_str());
        let number = self.calls.next_attempt();
        let left = self.job.deadline.saturating_duration_since(Instant::now());
        let dispatch = Dispatch {
            attempt: number,
            digest: place.version.map(Digest::to_vec).unwrap_or_default(),
            timeout: Millis::from(left).0,
            trace: span.traceparent(),
            ..self.job.dispatch.clone()
        };
        let (dialer, turns) = (self.calls.dialer.clone(), &self.ticket.sender);
        let sending = Attempt::start(dialer, &place, key, dispatch, self.job.deadline, turns);
        self.sent = true;
        self.live.push(Live {
            key,
            number,
            target,
            place,
            span,
            _sending: sending,
        });
        Next::Go
    }

    /// Takes a part of an answer, if it belongs to an attempt that may still answer.
    fn part(&mut self, key: AttemptKey, tell: Tell, last: bool) -> Next {
        let Some(live) = self.live.iter().find(|live| live.key == key) else {
            return Next::Go;
        };
        match tell {
            Tell::Head(head) => {
                let version = live.place.version.map(Digest::to_vec).unwrap_or_default();
                if head.attempt != live.number || head.digest != version {
                    let text = "the target answered another request or from another version";
                    return self.failed(key, Outcome::Unknown, text);
                }
                if self.is_full(&head) {
                    let outcome = Outcome::NotRun(NotRun::Full);
                    return self.failed(key, outcome, "the engine had no room");
                }
                let (place, target) = (live.place.clone(), live.target);
                self.ticket.observe_load(target, load_of(&head));
                if self.race.head(key) {
                    self.ticket.first_token(key);
                    let metrics = &self.calls.telemetry.metrics.entry;
                    metrics.first_token.record(self.began.elapsed());
                    self.live.retain(|live| live.key == key);
                    self.answer.head(&head, &place);
                }
                Next::Go
            }
            Tell::Piece(Payload { body }) if self.race.may_pass(key) => {
                self.piece(key, &body, last)
            }
            Tell::Piece(_) => Next::Go,
            _ => self.failed(key, Outcome::Unknown, "the agent told something else"),
        }
    }

    /// An engine that says 429 or 503 has not begun; a plain service may mean anything by it.
    fn is_full(&self, head: &Head) -> bool {
        self.job.chosen.kind == Kind::Engines && matches!(head.status, 429 | 503)
    }

    fn piece(&mut self, key: AttemptKey, body: &[u8], last: bool) -> Next {
        if self.answer.piece(body).is_err() && !self.claimed {
            return Next::Cut;
        }
        if !last {
            return Next::Go;
        }
        let cost = Cost {
            prompt: self.job.need.cost.prompt,
            output: self.answer.tokens(),
        };
        self.ticket.finish(key, Outcome::Ran { cost });
        Next::Whole
    }

    fn failed(&mut self, key: AttemptKey, outcome: Outcome, text: &str) -> Next {
        if let Some(live) = self.live.iter().find(|live| live.key == key) {
            live.span.fail(text);
        }
        self.live.retain(|live| live.key != key);
        self.unsure |= outcome == Outcome::Unknown;
        let answered = self.race.may_pass(key);
        self.race.leave(key);
        match self.ticket.finish(key, outcome) {
            _ if answered && self.answer.has_begun() => Next::Cut,
            Ended::Again | Ended::Open | Ended::Late => {
                if answered {
                    self.answer.reset();
                }
                Next::Go
            }
            Ended::Refused(refusal) => Next::Refused(refusal),
            Ended::Unknown | Ended::Whole => Next::Unknown(text.into()),
        }
    }

    fn refuse(self, refusal: &admission::Refusal) -> End {
        match self.answer.into_request() {
            Some(request) => End::Refused {
                request,
                refusal: refusal_of(refusal),
            },
            None => End::Cut { ran: true },
        }
    }

    fn unknown(self, status: u16, text: String) -> End {
        match self.answer.into_request() {
            Some(request) => End::Unknown {
                request,
                refusal: Refusal::unknown(status, text),
            },
            None => End::Cut { ran: true },
        }
    }

    fn time_out(self) -> End {
        if self.live.is_empty() && !self.unsure {
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

/// What a turn means for the request.
enum Next {
    Go,
    Refused(admission::Refusal),
    Unknown(String),
    Cut,
    Whole,
}

/// What a target tells of its load: its agent counts what is in progress, so nothing waits there.
fn load_of(head: &Head) -> LoadReport {
    LoadReport {
        running: head.running,
        waiting: 0,
        slots: head.slots,
    }
}
