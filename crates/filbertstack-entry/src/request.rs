//! The handling of a caller's request, from its arrival to the end of its answer.

use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use filbertstack_core::Digest;
use filbertstack_core::Labels;
use filbertstack_core::Millis;
use filbertstack_core::declare::Priority;
use filbertstack_core::names::OrgName;
use filbertstack_guard::CallerLeft;
use filbertstack_guard::Guard;
use filbertstack_guard::Share;
use filbertstack_policy::admission;
use filbertstack_policy::cost::Cost;
use filbertstack_policy::flow::Offer;
use filbertstack_policy::route::Criteria;
use filbertstack_policy::route::GroupKind;
use filbertstack_telemetry::Span;
use filbertstack_telemetry::Telemetry;
use filbertstack_telemetry::traces as trace;
use filbertstack_telemetry::traces::Hop;
use filbertstack_telemetry::traces::Parent;
use filbertstack_wire::Dialer;
use filbertstack_wire::messages::Dispatch;
use filbertstack_wire::messages::Header;
use tiny_http::Request;

use crate::claims::ClaimRequest;
use crate::claims::Claims;
use crate::claims::Granted;
use crate::claims::MAX_KEY;
use crate::claims::NotGranted;
use crate::http;
use crate::http::HeaderField;
use crate::http::Kept;
use crate::http::OUTCOME_HEADER;
use crate::http::Refusal;
use crate::http::Refuser;
use crate::lease::Leases;
use crate::process::leaving_refusal;
use crate::prompt::Prompt;
use crate::run::ActiveRequest;
use crate::run::RequestEnd;
use crate::settings::Callers;
use crate::table::RequestInfo;
use crate::table::RouteMatch;
use crate::table::SharedTable;
use crate::traffic::Traffic;

/// The prefix of the paths of the model API.
const MODEL_PATHS: &str = "/v1/";

/// The request header with a timeout in milliseconds. It can only shorten the timeout of the rule.
const TIMEOUT_HEADER: &str = "x-filbertstack-timeout-ms";

/// Request headers that are not forwarded: a target must not see the caller's key, and the timeout is
/// sent to it in the dispatch.
const ENTRY_HEADERS: [&str; 2] = ["authorization", TIMEOUT_HEADER];

/// Handles callers' requests.
pub struct RequestHandler {
    /// The callers' keys.
    pub callers: Callers,
    /// The requests in progress.
    pub traffic: Traffic,
    /// The claims of idempotency keys.
    pub claims: Claims,
    /// The links to agents.
    pub dialer: Arc<Dialer>,
    /// This entry's configuration lease.
    pub leases: Arc<Leases>,
    /// The metrics and traces.
    pub telemetry: Arc<Telemetry>,
    /// The largest body of a request, in bytes.
    pub max_body: usize,
    /// Answers refused requests.
    pub refuser: Refuser,
    /// When requests without an answer get one from this entry, once it was told to stop.
    pub ends: OnceLock<Instant>,
    /// The number of the next attempt. It begins at a random number, so that no two processes use the
    /// same numbers.
    pub attempts: AtomicU64,
}

/// A request that has been read and matched to a rule.
pub(crate) struct RoutedRequest {
    pub(crate) org: OrgName,
    pub(crate) chosen: RouteMatch,
    pub(crate) table: SharedTable,
    pub(crate) need: Criteria,
    pub(crate) dispatch: Dispatch,
    pub(crate) deadline: Instant,
    pub(crate) timeout: Millis,
    pub(crate) caller_left: CallerLeft,
    /// What its body takes of the memory for bodies.
    _share: Share,
}

impl RequestHandler {
    /// Returns the organisation whose key the request carries.
    ///
    /// # Errors
    /// Returns a 401 refusal if the request carries no known key.
    pub fn authenticate(&self, request: &Request) -> Result<OrgName, Refusal> {
        let secret = bearer_token(request);
        let org = secret.and_then(|secret| self.callers.find(secret));
        let text = "no known key: send 'Authorization: Bearer KEY' with your organisation's key";
        org.cloned().ok_or_else(|| Refusal::not_run(401, text))
    }

    /// Answers a request.
    pub fn answer(&self, mut request: Request, guard: &Guard) {
        let arrived = Instant::now();
        let parent = Parent::parse(
            http::header_value(&request, "traceparent"),
            http::header_value(&request, "tracestate"),
        );
        let span = self.telemetry.tracer().span(Hop::EntryRequest, &parent);
        let outcome = self.read_and_route(&mut request, guard, arrived);
        let outcome = match outcome {
            Ok(routed) => self.serve(request, &routed, &span),
            Err(refusal) => {
                span.fail(&refusal.text);
                let outcome = refusal.outcome.name();
                guard.end_body(request.remote_addr());
                self.refuser.refuse(request, refusal);
                outcome
            }
        };
        span.text(trace::Field::Outcome, outcome);
        let metrics = &self.telemetry.metrics.entry;
        metrics.requests.add(outcome, 1);
        metrics.duration.record(outcome, arrived.elapsed());
    }

    fn read_and_route(
        &self,
        request: &mut Request,
        guard: &Guard,
        arrived: Instant,
    ) -> Result<RoutedRequest, Refusal> {
        let org = self.authenticate(request)?;
        self.leases.check().map_err(|expired| {
            Refusal::not_run(503, expired.to_string()).retry_after_ms(expired.retry.0)
        })?;
        let caller_left = guard.caller_left(request.remote_addr());
        let Kept { bytes, share } =
            http::read_body(request, guard, guard.callers_room(), self.max_body)?;
        let target = request.url().to_owned();
        let path = target.split('?').next().unwrap_or_default();
        let is_model = path.starts_with(MODEL_PATHS);
        let prompt = is_model.then(|| Prompt::parse(&bytes)).transpose();
        let prompt = prompt.map_err(|error| Refusal::not_run(400, error.to_string()))?;
        let method = request.method().as_str().to_owned();
        let asked = RequestInfo {
            labels: request_labels(&org, prompt.as_ref(), &method),
            path,
            model: prompt.as_ref().map(|prompt| &prompt.model),
        };
        let table = self.traffic.table();
        let chosen = table.find(&asked);
        let chosen = chosen.map_err(|error| Refusal::not_run(404, error.to_string()))?;
        let timeout = effective_timeout(request, chosen.timeout);
        let need = need_of(&chosen, prompt);
        let dispatch = Dispatch {
            method,
            path: target,
            headers: forwarded_headers(request),
            body: bytes,
            organisation: org.to_string(),
            priority: priority_number(chosen.priority),
            ..Dispatch::default()
        };
        let deadline = arrived + Duration::from(timeout);
        // The end of the process would cut it off, and its caller could not know whether it ran.
        let outlasts = self.ends.get().is_some_and(|ends| deadline > *ends);
        if outlasts && !chosen.idempotent {
            return Err(leaving_refusal());
        }
        Ok(RoutedRequest {
            org,
            chosen,
            table,
            need,
            dispatch,
            deadline,
            timeout,
            caller_left,
            _share: share,
        })
    }

    /// Claims the idempotency key of a request that must not run twice.
    fn claim(
        &self,
        request: &Request,
        routed: &RoutedRequest,
    ) -> Result<Option<Granted>, NotGranted> {
        if routed.chosen.idempotent {
            return Ok(None);
        }
        let key = http::header_value(request, "idempotency-key").unwrap_or_default();
        if key.is_empty() || key.len() > MAX_KEY {
            let text = format!(
                "this request must not run twice: send an Idempotency-Key of 1 to {MAX_KEY} \
                 characters, the same in every resend"
            );
            return Err(NotGranted::Refused(Refusal::not_run(400, text)));
        }
        let Dispatch {
            method, path, body, ..
        } = &routed.dispatch;
        let hashed = [method.as_bytes(), b" ", path.as_bytes(), b"\n", body].concat();
        let wanted = ClaimRequest {
            org: &routed.org,
            key,
            digest: Digest::of(&hashed),
            attempt: self.next_attempt(),
            timeout: routed.timeout,
        };
        self.claims.claim(&wanted).map(Some)
    }

    /// Claims, admits and dispatches a request, and returns its outcome.
    fn serve(&self, request: Request, routed: &RoutedRequest, span: &Span) -> &'static str {
        span.text(trace::Field::Organisation, routed.org.as_str());
        span.text(trace::Field::Rule, routed.chosen.rule.as_str());
        let claim_span = self
            .telemetry
            .tracer()
            .span(Hop::EntryClaim, &span.parent());
        let claimed = self.claim(&request, routed);
        drop(claim_span);
        let claim = match claimed {
            Ok(claim) => claim,
            Err(not_granted) => return self.answer_unclaimed(request, not_granted),
        };
        let remaining = routed.deadline.saturating_duration_since(Instant::now());
        let offer = Offer {
            group: routed.chosen.group,
            org: routed.org.clone(),
            priority: routed.chosen.priority,
            deadline: self.traffic.now() + remaining.into(),
            criteria: routed.need.clone(),
        };
        let end = match self.traffic.offer(offer) {
            Ok(ticket) => ActiveRequest::new(self, routed, ticket, request, span).run(),
            Err(refusal) => RequestEnd::Refused {
                request,
                refusal: refusal_of(&refusal),
            },
        };
        end.conclude(claim)
    }

    /// Answers a request whose idempotency key was not granted, and counts it.
    fn answer_unclaimed(&self, request: Request, not_granted: NotGranted) -> &'static str {
        let outcome = match &not_granted {
            NotGranted::Ran { .. } => "ran",
            NotGranted::Refused(refusal) => refusal.outcome.name(),
        };
        self.telemetry.metrics.entry.replays.add(outcome, 1);
        let _ = answer_not_granted(request, not_granted);
        outcome
    }

    pub(crate) fn next_attempt(&self) -> u64 {
        self.attempts.fetch_add(1, Ordering::Relaxed)
    }
}

pub(crate) fn refusal_of(refusal: &admission::Refusal) -> Refusal {
    let status = match refusal.reason {
        admission::Reason::OrgQueueFull | admission::Reason::QueueFull => 429,
        _ => 503,
    };
    Refusal::not_run(status, refusal.reason.to_string()).retry_after_ms(refusal.retry_after.0)
}

fn answer_not_granted(request: Request, not_granted: NotGranted) -> std::io::Result<()> {
    let (status, kept) = match not_granted {
        NotGranted::Refused(refusal) => return http::refuse(request, &refusal),
        NotGranted::Ran { status, kept } => (status, kept),
    };
    let Some(kept) = kept else {
        let text = "the request with this key ran; its answer was not kept";
        return http::refuse(request, &Refusal::unknown(409, text));
    };
    let mut fields = vec![
        HeaderField::new("content-type", &kept.media),
        HeaderField::new(OUTCOME_HEADER, "ran"),
        HeaderField::new("idempotent-replayed", "true"),
    ];
    if !kept.version.is_empty() {
        fields.push(HeaderField::new(http::VERSION_HEADER, &kept.version));
    }
    http::respond(request, status, &fields, &kept.body)
}

/// Returns the bearer token of a request.
pub fn bearer_token(request: &Request) -> Option<&str> {
    http::header_value(request, "authorization")?
        .strip_prefix("Bearer ")
        .map(str::trim)
}

fn request_labels(org: &OrgName, prompt: Option<&Prompt>, method: &str) -> Labels {
    let mut labels = Labels::default();
    // These cannot fail: names and methods have been checked before.
    let _ = labels.set("organisation", org.as_str());
    let _ = labels.set("method", method);
    if let Some(prompt) = prompt {
        let _ = labels.set("model", prompt.model.as_str());
    }
    labels
}

/// Returns the timeout of the rule, or that of the caller if it is shorter.
fn effective_timeout(request: &Request, rule: Millis) -> Millis {
    let requested = http::header_value(request, TIMEOUT_HEADER).and_then(|text| text.parse().ok());
    requested.map_or(rule, |requested| rule.min(Millis(requested)))
}

fn need_of(chosen: &RouteMatch, prompt: Option<Prompt>) -> Criteria {
    let (cost, prefix) = match prompt {
        Some(prompt) if chosen.kind == GroupKind::Engines => (prompt.cost, prompt.prefix),
        _ => (Cost::CALL, Vec::new()),
    };
    Criteria {
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

fn forwarded_headers(request: &Request) -> Vec<Header> {
    let headers = request.headers().iter().map(|header| Header {
        name: header.field.as_str().as_str().to_ascii_lowercase(),
        value: header.value.as_str().into(),
    });
    headers
        .filter(|header| !ENTRY_HEADERS.contains(&header.name.as_str()))
        .collect()
}
