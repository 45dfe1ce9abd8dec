//! The way of a caller's request: [`Requests`] takes it in, finds its route and its caller's
//! organisation, and [`attempt`] sends it to one target after another until there is an answer
//! that may go back, which [`relay`] carries to the caller.

pub mod answer;
pub mod attempt;
mod connect;
pub mod events;
pub mod pool;
pub mod relay;
pub mod targets;
mod waiting;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use filbertstack_core::serving::Catalogue;
use filbertstack_core::serving::Repeat;
use filbertstack_core::serving::Route;
use filbertstack_platform::request::CallHead;
use filbertstack_platform::request::own_answer;
use filbertstack_policy::dispatch::Dispatcher;
use filbertstack_policy::recovery::Recovery;
use filbertstack_policy::repeats::Allowance;
use filbertstack_policy::repeats::Repeats;
use filbertstack_telemetry::Metrics;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http::header;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::control::node::Node;
use crate::entry::server::Service;
use crate::request::answer::AnswerBody;
use crate::request::answer::Refusal;
use crate::request::pool::Pool;
use crate::request::targets::Targets;

/// What a caller waits that does not say so: as long as the route allows.
const NO_PATIENCE: Duration = Duration::MAX;

/// For how long callers wait for the next event of a stream, the first included: this long, or so many
/// goals or pauses of the route if that is longer. Callers agree on it with the operators.
const GAP: Duration = Duration::from_secs(2);
const GAP_GOALS: u32 = 4;
const GAP_PAUSES: u32 = 8;

/// For how long a leaving entry takes streams: callers were told other entries two seconds ago by
/// then, and what is taken later would be cut off by the end of the process when its engine is slow.
const TAKES: Duration = Duration::from_millis(2_800);

/// When to come back who met a leaving entry: at once, as others are there.
const ELSEWHERE: Duration = Duration::from_millis(50);

/// Callers' requests at one entry.
pub struct Requests {
    node: Rc<Node>,
    targets: Targets,
    repeats: RefCell<Repeats>,
    pool: Pool,
    rng: RefCell<ChaCha8Rng>,
    under_way: Rc<Cell<usize>>,
    recovery: RefCell<Recovery>,
    /// How many requests wait for a service to come back.
    waiting: Rc<Cell<usize>>,
    /// From when on a leaving entry takes no streams, and when it ends.
    leaving: Cell<Option<(Instant, Instant)>>,
    metrics: Rc<Metrics>,
}

/// One request, taken in whole.
pub struct Call {
    /// What its headers say.
    pub head: CallHead,
    /// Its method.
    pub method: Method,
    /// Its path and query, unchanged.
    pub target: Uri,
    /// Its headers, unchanged.
    pub headers: HeaderMap,
    /// Its body, whole.
    pub body: Bytes,
    /// The route that it takes.
    pub route: Arc<Route>,
    /// The service that it goes to.
    pub service: Arc<str>,
    /// The caller's organisation, if the route wants one.
    pub organisation: Option<Arc<str>>,
    /// When it came.
    pub came: Instant,
    /// Whether it waited until it was known what is declared.
    pub waited: bool,
    /// When it must have its final answer.
    pub deadline: Instant,
    /// Counts it among those that are being served.
    pub under_way: UnderWay,
}

/// Counts one request for as long as it lives.
pub struct UnderWay(Rc<Cell<usize>>);

impl UnderWay {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Call {
    /// The time left to its deadline.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// How long its caller waits for the first bytes of an answer before it leaves.
    pub fn gap(&self) -> Duration {
        let route = &self.route;
        let pauses = route
            .pause
            .map_or(Duration::ZERO, |pause| pause * GAP_PAUSES);
        GAP.max(route.goal * GAP_GOALS).max(pauses)
    }

    /// Prompt tokens to be read; 0 for a plain call.
    pub fn prompt(&self) -> u32 {
        self.head.tokens.map_or(0, |(prompt, _)| prompt)
    }

    /// Whether it may run again when it is not known whether it ran.
    pub fn may_repeat(&self) -> bool {
        self.route.repeat != Repeat::Once
    }
}

impl Requests {
    /// Requests of callers of `node`.
    pub fn new(node: Rc<Node>, metrics: Rc<Metrics>) -> Rc<Self> {
        let bounds = node.settings.bounds;
        let allowance = Allowance {
            ratio: bounds.ratio,
            fixed: bounds.fixed,
        };
        let mut rng = ChaCha8Rng::seed_from_u64(rand::rng().random());
        let dispatcher = Dispatcher::new(ChaCha8Rng::from_rng(&mut rng));
        Rc::new(Self {
            targets: Targets::new(node.clone(), dispatcher),
            repeats: RefCell::new(Repeats::new(allowance, 1)),
            pool: Pool::default(),
            rng: RefCell::new(rng),
            under_way: Rc::default(),
            recovery: RefCell::new(Recovery::new(node.clock.now())),
            waiting: Rc::default(),
            leaving: Cell::new(None),
            metrics,
            node,
        })
    }

    /// The targets, to be kept in line with the registry.
    pub fn targets(&self) -> &Targets {
        &self.targets
    }

    /// Learns how many entries share the budget of repeated sends.
    pub fn share(&self, entries: u32) {
        self.repeats.borrow_mut().share(entries);
    }

    /// Notes that the process ends within `grace`.
    pub fn leave(&self, grace: Duration) {
        let now = Instant::now();
        self.leaving.set(Some((now + TAKES, now + grace)));
    }

    /// Whether the process ends before a request that comes now and may last until `deadline`.
    fn ends_before(&self, deadline: Instant) -> bool {
        let leaving = self.leaving.get();
        leaving.is_some_and(|(takes, ends)| Instant::now() >= takes && deadline > ends)
    }

    /// How many requests are being served.
    pub fn under_way(&self) -> usize {
        self.under_way.get()
    }

    /// Closes kept connections that have been idle for too long.
    pub fn prune(&self) {
        self.pool.prune();
    }

    /// Takes one repeated send for `service` from the budget; false if there is none left.
    fn spend(&self, service: &Arc<str>) -> bool {
        self.repeats.borrow_mut().spend(service)
    }

    /// Whether a repeated send for `service` is left in the budget.
    fn may_spend(&self, service: &Arc<str>) -> bool {
        self.repeats.borrow().may_spend(service)
    }

    async fn handle(
        self: &Rc<Self>,
        request: Request<Incoming>,
        head: CallHead,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let came = Instant::now();
        let under_way = UnderWay::new(&self.under_way);
        let waited = !self.node.declared.is_loaded();
        if waited {
            waiting::declared(self, came, head.patience).await?;
        }
        let catalogue = self.node.declared.catalogue();
        let (parts, body) = request.into_parts();
        let route = find_route(&catalogue, &parts.headers, &parts.uri)?;
        let organisation = find_organisation(&catalogue, &route, &head)?;
        let service = self.split(&route);
        let patience = head.patience.unwrap_or(NO_PATIENCE).min(route.timeout);
        let deadline = came + patience;
        if self.ends_before(deadline) {
            return Err(Refusal::busy("this entry is leaving", ELSEWHERE));
        }
        let body = read_body(body, catalogue.limits().body, deadline).await?;
        self.repeats.borrow_mut().earn(&service);
        let call = Rc::new(Call {
            head,
            method: parts.method,
            target: parts.uri,
            headers: parts.headers,
            body,
            route,
            service,
            organisation,
            came,
            waited,
            deadline,
            under_way,
        });
        let answer = timeout_at(deadline, attempt::run(self, &call)).await;
        answer.unwrap_or(Err(Refusal::late()))
    }

    /// The service of a route that splits its requests, by weight.
    fn split(&self, route: &Route) -> Arc<str> {
        let all: u32 = route.backends.iter().map(|b| b.weight).sum();
        let mut drawn = self.rng.borrow_mut().random_range(0..all.max(1));
        for backend in &route.backends {
            if drawn < backend.weight {
                return backend.service.clone();
            }
            drawn -= backend.weight;
        }
        // Not reached: a catalogue holds no route whose weights add up to 0.
        route.backends[0].service.clone()
    }
}

fn find_route(
    catalogue: &Catalogue,
    headers: &HeaderMap,
    uri: &Uri,
) -> Result<Arc<Route>, Refusal> {
    let host = headers.get(header::HOST).and_then(|h| h.to_str().ok());
    let host = host.or(uri.host()).unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    let route = catalogue.route(host, uri.path());
    route.cloned().ok_or(Refusal::own(
        StatusCode::NOT_FOUND,
        "no route takes this host and path",
    ))
}

/// Whose request it is. The key decides alone: what the caller says of its organisation does not.
fn find_organisation(
    catalogue: &Catalogue,
    route: &Route,
    head: &CallHead,
) -> Result<Option<Arc<str>>, Refusal> {
    if !catalogue.keyed() {
        return Ok(None);
    }
    let holder = head.key.as_deref().and_then(|key| catalogue.holder(key));
    match holder {
        Some(holder) => Ok(Some(holder.name.clone())),
        None if route.public => Ok(None),
        None => Err(Refusal::own(
            StatusCode::UNAUTHORIZED,
            "the key is none that is in force",
        )),
    }
}

/// Reads the whole body first: an attempt can then be repeated, and a target that answers before
/// it has read a long body still gets the rest of that body, and nothing else, on its connection.
async fn read_body(body: Incoming, limit: usize, deadline: Instant) -> Result<Bytes, Refusal> {
    let read = timeout_at(deadline, Limited::new(body, limit).collect()).await;
    let read = read.map_err(|_| Refusal::own(StatusCode::REQUEST_TIMEOUT, "the body is late"))?;
    read.map(http_body_util::Collected::to_bytes)
        .map_err(|error| {
            let long = error.is::<LengthLimitError>();
            let status = if long {
                StatusCode::PAYLOAD_TOO_LARGE
            } else {
                StatusCode::BAD_REQUEST
            };
            Refusal::own(status, "the body is too long or broke off")
        })
}

impl Service for Requests {
    type Body = AnswerBody;

    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Response<AnswerBody> {
        let head = CallHead::read(request.headers());
        let (attempt, id) = (head.attempt.clone(), head.id().to_owned());
        let prompt = head.tokens.map_or(0, |(prompt, _)| prompt);
        let answer = self.handle(request, head).await;
        let under_way = i64::try_from(self.under_way()).unwrap_or(i64::MAX);
        self.metrics.entry.in_flight.set(under_way);
        match answer {
            Ok(response) => response,
            Err(refusal) => {
                refusal.log(&id, prompt, self.node.declared.version());
                self.metrics.entry.requests.add("own answer", 1);
                self.metrics.entry.refusals.add(refusal.why, 1);
                let body = AnswerBody::whole(Full::new(refusal.body()));
                let mut response = Response::new(body);
                *response.status_mut() = refusal.status;
                own_answer(response.headers_mut(), attempt.as_ref(), refusal.after);
                response
            }
        }
    }

    fn head_limit(&self) -> usize {
        self.node.declared.catalogue().limits().head
    }

    /// Kept connections stay open as long as callers may leave them idle; a head that is slower
    /// than that ends its connection.
    fn idle(&self) -> Duration {
        self.node.declared.catalogue().limits().idle
    }
}
