//! One caller's request, from its arrival to the end of its answer.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::RecvTimeoutError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use filbertstack_core::Digest;
use filbertstack_core::Labels;
use filbertstack_core::Millis;
use filbertstack_core::declare::Priority;
use filbertstack_core::names::OrgName;
use filbertstack_policy::admission;
use filbertstack_policy::cost::Cost;
use filbertstack_policy::flow::Ended;
use filbertstack_policy::flow::Offer;
use filbertstack_policy::retry::NotRun;
use filbertstack_policy::retry::Outcome;
use filbertstack_policy::route::AttemptKey;
use filbertstack_policy::route::Kind;
use filbertstack_policy::route::Need;
use filbertstack_policy::route::TargetKey;
use filbertstack_wire::Dialer;
use filbertstack_wire::messages::Dispatch;
use filbertstack_wire::messages::Head;
use filbertstack_wire::messages::Header;
use filbertstack_wire::messages::Payload;
use filbertstack_wire::messages::Tell;
use tiny_http::Request;

use crate::answer::Answer;
use crate::attempt::Attempt;
use crate::claims::Claims;
use crate::claims::Granted;
use crate::claims::MAX_KEY;
use crate::claims::NotGranted;
use crate::claims::Wanted;
use crate::guard::Gone;
use crate::guard::Guard;
use crate::http;
use crate::http::Field;
use crate::http::OUTCOME;
use crate::http::Refusal;
use crate::lease::Leases;
use crate::prompt::Prompt;
use crate::race::Race;
use crate::settings::Callers;
use crate::table::Asked;
use crate::table::Chosen;
use crate::table::Place;
use crate::table::SharedTable;
use crate::traffic::Ticket;
use crate::traffic::Traffic;
use crate::traffic::Turn;

/// How often a waiting request looks whether its caller has left.
const LOOK: Duration = Duration::from_millis(50);

/// The paths of the model API.
const MODEL_PATHS: &str = "/v1/";

/// The header by which a caller allows less time than the rule, in milliseconds.
const TIMEOUT_HEADER: &str = "x-filbertstack-timeout-ms";

/// Headers that end at the entry: the caller's key is no business of a target.
const OWN_HEADERS: [&str; 2] = ["authorization", TIMEOUT_HEADER];

/// Answers callers' requests.
#[derive(Debug)]
pub struct Calls {
    /// Who may call.
    pub callers: Callers,
    /// The requests in progress.
    pub traffic: Traffic,
    /// Claims of idempotency keys.
    pub claims: Claims,
    /// Links to agents.
    pub dialer: Arc<Dialer>,
    /// This entry's config lease.
    pub leases: Arc<Leases>,
    /// The largest body, in bytes.
    pub max_body: usize,
    /// Numbers attempts; begins at a random number, so that no two processes share one.
    pub attempts: AtomicU64,
}

/// A request that has been read and routed.
struct Job {
    org: OrgName,
    chosen: Chosen,
    table: SharedTable,
    need: Need,
    dispatch: Dispatch,
    deadline: Instant,
    timeout: Millis,
    gone: Gone,
}

impl Calls {
    /// Whose key the request bears.
    ///
    /// # Errors
    /// A 401 if it bears none that is known.
    pub fn authenticate(&self, request: &Request) -> Result<OrgName, Refusal> {
        let secret = bearer(request);
        let org = secret.and_then(|secret| self.callers.find(secret));
        let text = "no known key: send 'Authorization: Bearer KEY' with your organisation's key";
        org.cloned().ok_or_else(|| Refusal::not_run(401, text))
    }

    /// Answers one request.
    pub fn answer(&self, mut request: Request, guard: &Guard) {
        let arrived = Instant::now();
        let job = match self.read(&mut request, guard, arrived) {
            Ok(job) => job,
            Err(refusal) => {
                let _ = http::refuse(request, &refusal);
                return;
            }
        };
        let claim = match self.claim(&request, &job) {
            Ok(claim) => claim,
            Err(not_granted) => {
                let _ = answer_not_granted(request, not_granted);
                return;
            }
        };
        self.serve(request, &job, claim);
    }

    fn read(&self, request: &mut Request, guard: &Guard, arrived: Instant) -> Result<Job, Refusal> {
        let org = self.authenticate(request)?;
        self.leases.check().map_err(|expired| {
            Refusal::not_run(503, expired.to_string()).after_ms(expired.retry.0)
        })?;
        let gone = guard.gone(request.remote_addr());
        let body = http::read_body(request, guard, self.max_body)?;
        let target = request.url().to_owned();
        let path = target.split('?').next().unwrap_or_default();
        let is_model = path.starts_with(MODEL_PATHS);
        let prompt = is_model.then(|| Prompt::read(&body)).transpose();
        let prompt = prompt.map_err(|error| Refusal::not_run(400, error.to_string()))?;
        let method = request.method().as_str().to_owned();
        let asked = Asked {
            labels: request_labels(&org, prompt.as_ref(), &method),
            path,
            model: prompt.as_ref().map(|prompt| &prompt.model),
        };
        let table = self.traffic.table();
        let chosen = table.find(&asked);
        let chosen = chosen.map_err(|error| Refusal::not_run(404, error.to_string()))?;
        let timeout = timeout_of(request, chosen.timeout);
        let need = need_of(&chosen, prompt);
        let dispatch = Dispatch {
            method,
            path: target,
            headers: passed_headers(request),
            body: Bytes::from(body),
            organisation: org.to_string(),
            priority: priority_number(chosen.priority),
            ..Dispatch::default()
        };
        let deadline = arrived + Duration::from(timeout);
        Ok(Job {
            org,
            chosen,
            table,
            need,
            dispatch,
            deadline,
            timeout,
            gone,
        })
    }

    /// Claims the key of a request that must not run twice.
    fn claim(&self, request: &Request, job: &Job) -> Result<Option<Granted>, NotGranted> {
        if job.chosen.idempotent {
            return Ok(None);
        }
        let key = http::field(request, "idempotency-key").unwrap_or_default();
        if key.is_empty() || key.len() > MAX_KEY {
            let text = format!(
                "this request must not run twice: send an Idempotency-Key of 1 to {MAX_KEY} \
                 characters, the same in every resend"
            );
            return Err(NotGranted::Refused(Refusal::not_run(400, text)));
        }
        let Dispatch {
            method, path, body, ..
        } = &job.dispatch;
        let whole = [method.as_bytes(), b" ", path.as_bytes(), b"\n", body].concat();
        let wanted = Wanted {
            org: &job.org,
            key,
            digest: Digest::of(&whole),
            attempt: self.next_attempt(),
            timeout: job.timeout,
        };
        self.claims.claim(&wanted).map(Some)
    }

    fn serve(&self, request: Request, job: &Job, claim: Option<Granted>) {
        let left = job.deadline.saturating_duration_since(Instant::now());
        let offer = Offer {
            group: job.chosen.group,
            org: job.org.clone(),
            priority: job.chosen.priority,
            deadline: self.traffic.now() + left.into(),
            need: job.need.clone(),
        };
        let end = match self.traffic.offer(offer) {
            Ok(ticket) => Run::new(self, job, ticket, request).follow(),
            Err(refusal) => End::Refused {
                request,
                refusal: refusal_of(&refusal),
            },
        };
        conclude(end, claim);
    }

    fn next_attempt(&self) -> u64 {
        self.attempts.fetch_add(1, Ordering::Relaxed)
    }
}

/// How a request ends for its caller.
enum End {
    /// It did not run.
    Refused { request: Request, refusal: Refusal },
    /// Nobody knows whether it ran, and no byte of an answer went out.
    Unknown { request: Request, refusal: Refusal },
    /// An answer has begun and breaks off, or the caller has left.
    Cut { ran: bool },
    /// The answer is whole, its end not yet sent.
    Whole(Box<Answer>),
}

/// Settles the claim, then tells the caller.
///
/// In this order: a caller that sees the end of an answer and sends its request again gets the
/// same answer, not "in progress".
fn conclude(end: End, claim: Option<Granted>) {
    match end {
        End::Refused { request, refusal } => {
            if let Some(claim) = claim {
                claim.release();
            }
            let _ = http::refuse(request, &refusal);
        }
        End::Unknown { request, refusal } => {
            if let Some(claim) = claim {
                claim.settle_unknown();
            }
            let _ = http::refuse(request, &refusal);
        }
        End::Cut { ran: false } => {
            if let Some(claim) = claim {
                claim.release();
            }
        }
        End::Cut { ran: true } => {
            if let Some(claim) = claim {
                claim.settle_unknown();
            }
        }
        End::Whole(answer) => {
            if let Some(claim) = claim {
                claim.settle(answer.status(), answer.digest(), answer.kept().as_ref());
            }
            let _ = answer.finish();
        }
    }
}

/// An attempt in progress and where it goes.
struct Live {
    key: AttemptKey,
    number: u64,
    place: Place,
    _sending: Attempt,
}

/// One admitted request, until its end.
struct Run<'a> {
    calls: &'a Calls,
    job: &'a Job,
    ticket: Ticket,
    live: Vec<Live>,
    race: Race<AttemptKey>,
    answer: Answer,
    sent: bool,
    /// A claimed request that was sent runs to its end also when its caller leaves: the caller
    /// comes back with the same key, and then gets the answer instead of "unknown".
    claimed: bool,
}

impl<'a> Run<'a> {
    fn new(calls: &'a Calls, job: &'a Job, ticket: Ticket, request: Request) -> Self {
        let answer = Answer::new(request);
        let claimed = !job.chosen.idempotent;
        Self {
            calls,
            job,
            ticket,
            live: Vec::new(),
            race: Race::new(),
            answer,
            sent: false,
            claimed,
        }
    }

    fn follow(mut self) -> End {
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
                Turn::Unknown => Next::Unknown("no further attempt can be made in time".into()),
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
        let number = self.calls.next_attempt();
        let left = self.job.deadline.saturating_duration_since(Instant::now());
        let dispatch = Dispatch {
            attempt: number,
            digest: place.version.map(Digest::to_vec).unwrap_or_default(),
            timeout: Millis::from(left).0,
            ..self.job.dispatch.clone()
        };
        let (dialer, turns) = (self.calls.dialer.clone(), &self.ticket.sender);
        let sending = Attempt::start(dialer, &place, key, dispatch, self.job.deadline, turns);
        self.sent = true;
        self.live.push(Live {
            key,
            number,
            place,
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
                let place = live.place.clone();
                if self.race.head(key) {
                    self.ticket.first_token(key);
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
        self.live.retain(|live| live.key != key);
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
        if self.live.is_empty() {
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

fn refusal_of(refusal: &admission::Refusal) -> Refusal {
    let status = match refusal.reason {
        admission::Reason::OrgQueue | admission::Reason::Queue => 429,
        _ => 503,
    };
    Refusal::not_run(status, refusal.reason.to_string()).after_ms(refusal.retry_after.0)
}

fn answer_not_granted(request: Request, not_granted: NotGranted) -> std::io::Result<()> {
    let (status, kept) = match not_granted {
        NotGranted::Refused(refusal) => return http::refuse(request, &refusal),
        NotGranted::Ran { status, kept } => (status, kept),
    };
    let Some(kept) = kept else {
        let text = "the request with this key ran; its answer was too large to keep";
        return http::refuse(request, &Refusal::unknown(409, text));
    };
    let mut fields = vec![
        Field::new("content-type", &kept.media),
        Field::new(OUTCOME, "ran"),
        Field::new("idempotent-replayed", "true"),
    ];
    if !kept.version.is_empty() {
        fields.push(Field::new(http::VERSION, &kept.version));
    }
    http::respond(request, status, &fields, &kept.body)
}

/// The secret that a request bears.
pub fn bearer(request: &Request) -> Option<&str> {
    http::field(request, "authorization")?
        .strip_prefix("Bearer ")
        .map(str::trim)
}

fn request_labels(org: &OrgName, prompt: Option<&Prompt>, method: &str) -> Labels {
    let mut labels = Labels::default();
    // Names and methods are checked before, so these can't fail.
    let _ = labels.set("organisation", org.as_str());
    let _ = labels.set("method", method);
    if let Some(prompt) = prompt {
        let _ = labels.set("model", prompt.model.as_str());
    }
    labels
}

/// The rule's timeout, or less if the caller allows less.
fn timeout_of(request: &Request, rule: Millis) -> Millis {
    let asked = http::field(request, TIMEOUT_HEADER).and_then(|text| text.parse().ok());
    asked.map_or(rule, |asked| rule.min(Millis(asked)))
}

fn need_of(chosen: &Chosen, prompt: Option<Prompt>) -> Need {
    let (cost, prefix) = match prompt {
        Some(prompt) if chosen.kind == Kind::Engines => (prompt.cost, prompt.prefix),
        _ => (Cost::CALL, Vec::new()),
    };
    Need {
        cost,
        prefix,
        idempotent: chosen.idempotent,
        tried: Vec::new(),
    }
}

const fn priority_number(priority: Priority) -> u32 {
    match priority {
        Priority::Low => 0,
        Priority::Normal => 1,
        Priority::High => 2,
    }
}

fn passed_headers(request: &Request) -> Vec<Header> {
    let headers = request.headers().iter().map(|header| Header {
        name: header.field.as_str().as_str().to_ascii_lowercase(),
        value: header.value.as_str().into(),
    });
    headers
        .filter(|header| !OWN_HEADERS.contains(&header.name.as_str()))
        .collect()
}
