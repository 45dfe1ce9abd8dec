//! Forwarding of callers' requests: [`Requests`] reads a request and finds its route and its caller's
//! organisation, [`attempt`] sends it to one target after another until one gives an answer that may
//! be returned, and [`relay`] streams that answer to the caller, from one
//! target after another if the first is lost or another takes over.

pub mod answer;
pub mod attempt;
mod classify;
pub mod cold;
mod connect;
mod cut;
pub mod events;
pub mod guard;
mod handover;
mod permit;
pub mod pool;
mod registered;
pub mod relay;
pub mod residency;
mod resume;
pub mod state;
mod takeover;
pub mod targets;
mod waiting;

use std::cell::Cell;
use std::cell::OnceCell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use filbertstack_core::ContentDigest;
use filbertstack_core::Millis;
use filbertstack_core::serving::Catalogue;
use filbertstack_core::serving::Organisation;
use filbertstack_core::serving::Repeat;
use filbertstack_core::serving::Route;
use filbertstack_platform::request::CallHead;
use filbertstack_platform::request::set_answer_headers;
use filbertstack_policy::begin::Work;
use filbertstack_policy::crashes::Suspect;
use filbertstack_policy::dispatch::Dispatcher;
use filbertstack_policy::leaving::Leaving;
use filbertstack_policy::rank::Contender;
use filbertstack_policy::rank::Rank;
use filbertstack_policy::rank::RankOrders;
use filbertstack_policy::rank::demand::Demand;
use filbertstack_policy::recovery::Recovery;
use filbertstack_policy::repeats::Allowance;
use filbertstack_policy::repeats::RepeatBudget;
use filbertstack_telemetry::Metrics;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http::header;
use http_body_util::Full;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::control::node::Node;
use crate::entry::server::Caller;
use crate::entry::server::Service;
use crate::meter::ReadError;
use crate::meter::Received;
use crate::request::answer::AnswerBody;
use crate::request::answer::Refusal;
use crate::request::attempt::Tries;
use crate::request::pool::Pool;
use crate::request::residency::CallResidency;
use crate::request::targets::Targets;
use crate::room::Room;
use crate::room::Share;

/// The feature that switches on the estimates of the targets' paces.
const PACE_FEATURE: &str = "health";

/// The time after which a caller may return whose body found no room: messages that do not move on have lost theirs.
const ROOM_RETRY: Duration = Duration::from_millis(300);

/// The memory that a header field takes beside its text, in bytes.
const FIELD_BYTES: usize = 100;

/// The timeout of a request that names none: the timeout of its route applies.
const NO_TIMEOUT: Duration = Duration::MAX;

/// The least time that callers wait for the next event of a stream, the first included. They wait for
/// [`GAP_GOALS`] times the route's goal or [`GAP_PAUSES`] of its pauses if that is longer. Callers and
/// operators agree on these values.
const MIN_GAP: Duration = Duration::from_secs(2);
const GAP_GOALS: u32 = 4;
const GAP_PAUSES: u32 = 8;

/// The lowest rank that targets tell apart.
const LOWEST_RANK: u8 = 8;

/// The factor by which a prompt is longer than the mean prompt of its service if it counts as large. About a tenth
/// of all prompts are.
const LARGE_PROMPT: f64 = 2.0;

/// The part of the time left up to which callers wait before a retry. Callers and operators agree on it.
const PATIENCE_DIVISOR: u32 = 3;

/// The part of the goal within which a refused caller returns. One that is admitted then may still be on time; a
/// later one never is.
const RETRY_GOAL_DIVISOR: u32 = 2;

/// How much shorter than the time limit of its route a caller's time is if the caller was refused before. The
/// shortest retry delay is longer.
const MIN_RETURN_TIME: Duration = Duration::from_millis(30);

/// Handles the requests of callers at one entry.
pub struct Requests {
    node: Rc<Node>,
    targets: Targets,
    repeats: RefCell<RepeatBudget>,
    pool: Pool,
    rng: RefCell<ChaCha8Rng>,
    in_flight: Rc<Cell<usize>>,
    /// The memory for heads and bodies of requests in progress.
    room: Room,
    recovery: RefCell<Recovery>,
    /// The ranks that a version of the configuration declares.
    ranks: RefCell<(u64, Rc<RankOrders>)>,
    /// The number of requests that wait for a service to become available.
    waiting: Rc<Cell<usize>>,
    /// The stop of the process, once it was told to.
    leaving: Cell<Option<Leaving>>,
    /// Whether the process ends so soon that requests without an answer get one from this entry.
    ending: watch::Sender<bool>,
    stopped: Cell<bool>,
    metrics: Rc<Metrics>,
}

/// One request, with its whole body.
pub struct Call {
    /// The product's own headers, parsed.
    pub head: CallHead,
    /// The method.
    pub method: Method,
    /// The path and query, unchanged.
    pub target: Uri,
    /// The headers, unchanged.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// The route.
    pub route: Arc<Route>,
    /// The service to which the route sends it.
    pub service: Arc<str>,
    /// The organisation that holds the caller's key. `None` without a known key, as only public routes
    /// and configurations without keys allow.
    pub organisation: Option<Arc<str>>,
    /// The time at which it arrived.
    pub arrived_at: Instant,
    /// Its rank among the requests of its service; `None` if they do not differ in rank.
    pub contender: Option<Contender>,
    /// Whether it had to wait until this entry knew the declared state.
    pub waited: bool,
    /// The time by which its answer must be complete.
    pub deadline: Instant,
    /// The address of its caller, as the log names it for the connection.
    pub caller: Option<SocketAddr>,
    /// Counts it among the requests in progress.
    pub in_flight: InFlight,
    /// What it takes of the memory for requests.
    pub share: Share,
    /// What it holds that may crash targets, once that was needed.
    suspects: OnceCell<Vec<Suspect>>,
    /// Where it may be served.
    residency: CallResidency,
    /// Whether it was sent to a target that has not said that it did not run it.
    may_run: Cell<bool>,
}

/// Counts one request until it is dropped.
pub struct InFlight(Rc<Cell<usize>>);

impl InFlight {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Call {
    /// Returns the time left until its deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns how long its caller waits for the next event before it disconnects.
    pub fn event_gap(&self) -> Duration {
        let route = &self.route;
        let pauses = route
            .pause
            .map_or(Duration::ZERO, |pause| pause * GAP_PAUSES);
        MIN_GAP.max(route.goal * GAP_GOALS).max(pauses)
    }

    /// Returns the number of tokens of its prompt; 0 for a request without a prompt.
    pub fn prompt(&self) -> u32 {
        self.head.tokens.map_or(0, |(prompt, _)| prompt)
    }

    /// Returns what this request holds that may crash targets: the request itself first, and the parts of its
    /// prompt that other requests may share in their order.
    pub fn suspects(&self) -> &[Suspect] {
        self.suspects.get_or_init(|| {
            let path = self.target.path_and_query();
            let path = path.map_or("", |path| path.as_str());
            let organisation = self.organisation.as_deref();
            let request = ContentDigest::of_request(path, organisation, &self.body);
            let parts = self.head.shared_parts.iter();
            let parts = parts.map(|part| Suspect::Part(ContentDigest::of_part(part)));
            std::iter::once(Suspect::Request(request))
                .chain(parts)
                .collect()
        })
    }

    /// Returns the digest that all repeats of this request share, for logs.
    pub fn digest(&self) -> String {
        self.suspects()[0].digest().to_string()
    }

    /// Returns its urgency at its target: 0 is the highest, and `None` is the target's default. One that can't meet
    /// its goal any more comes after those of its rank that can.
    pub fn urgency(&self) -> Option<u8> {
        let contender = self.contender.as_ref()?;
        let is_late = contender.returns || self.arrived_at.elapsed() >= self.route.goal;
        Some(contender.rank.0.min(LOWEST_RANK) + u8::from(is_late))
    }

    /// Returns what decides whether a target whose weights are replaced may begin it next.
    fn work(&self, tries: &Tries) -> Work {
        let most = self.head.tokens.map(|(_, most)| most);
        let expected = self.head.expected;
        let lasted = tries.begun_at.map_or(Duration::ZERO, |at| at.elapsed());
        Work {
            time_left: Millis::from(self.time_left()),
            answer: [expected, most].into_iter().flatten().min(),
            lasted: Millis::from(lasted),
            movable: self.may_repeat() && !tries.attempts.is_last(self.route.attempts),
            successor: false,
        }
    }

    /// Returns whether it may run again when it is unknown whether it ran.
    pub fn may_repeat(&self) -> bool {
        self.route.repeat != Repeat::Once
    }
}

impl Requests {
    /// Creates the handler for the requests at `node`.
    pub fn new(node: Rc<Node>, metrics: Rc<Metrics>) -> Rc<Self> {
        let bounds = node.settings.bounds;
        let allowance = Allowance {
            ratio: bounds.repeat_ratio,
            fixed: bounds.repeat_allowance,
        };
        let mut rng = ChaCha8Rng::seed_from_u64(rand::rng().random());
        let mut dispatcher = Dispatcher::new(ChaCha8Rng::from_rng(&mut rng));
        if node.settings.features.has(PACE_FEATURE) {
            dispatcher.estimate_paces();
        }
        Rc::new(Self {
            targets: Targets::new(node.clone(), dispatcher),
            repeats: RefCell::new(RepeatBudget::new(allowance, 1)),
            pool: Pool::default(),
            rng: RefCell::new(rng),
            in_flight: Rc::default(),
            room: Room::new(node.settings.limits.callers_room(), node.clock),
            recovery: RefCell::new(Recovery::new(node.clock.now())),
            ranks: RefCell::default(),
            waiting: Rc::default(),
            leaving: Cell::new(None),
            ending: watch::channel(false).0,
            stopped: Cell::new(false),
            metrics,
            node,
        })
    }

    /// Returns whether the targets' paces are estimated.
    pub fn estimates_paces(&self) -> bool {
        self.node.settings.features.has(PACE_FEATURE)
    }

    /// Returns the targets, which the caller refreshes from the registry.
    pub fn targets(&self) -> &Targets {
        &self.targets
    }

    /// Replaces the targets by those of the current registry and declared state.
    pub fn refresh_targets(&self) {
        self.targets.refresh();
        let cold = i64::try_from(self.targets.cold_count()).unwrap_or(i64::MAX);
        self.metrics.entry.cold.set(cold);
    }

    /// Returns the demand by rank at this entry, or `None` if no service has ranks.
    pub fn demand(&self) -> Option<Demand> {
        let ranks = self.ranks(&self.node.declared.catalogue());
        (!ranks.is_empty()).then(|| self.targets.demand())
    }

    /// Records at how many entries the demand is known; 0 if it is unknown.
    pub fn record_demand_entries(&self, entries: u32) {
        self.metrics.entry.demand_entries.set(entries.into());
    }

    /// Sets how many entries share the budget of repeated sends.
    pub fn set_entries(&self, entries: u32) {
        self.repeats.borrow_mut().set_entries(entries);
    }

    /// Sets the metric of the evacuated zones.
    pub fn count_evacuated(&self, zones: usize) {
        let zones = i64::try_from(zones).unwrap_or(i64::MAX);
        self.metrics.entry.evacuated_zones.set(zones);
    }

    /// Records that the process ends within `grace`.
    pub fn leave(&self, grace: Duration) {
        let now = self.node.clock.now();
        self.leaving.set(Some(Leaving::new(now, grace.into())));
    }

    /// Returns the refusal of a request with this deadline that was sent to no target, if the process may end before
    /// it.
    fn leaves_before(&self, deadline: Instant, route: &Route) -> Option<Refusal> {
        let leaving = self.leaving.get()?;
        let time_left = deadline.saturating_duration_since(Instant::now());
        let may_repeat = route.repeat != Repeat::Once;
        let now = self.node.clock.now();
        leaving
            .refuses(now, time_left.into(), may_repeat)
            .then(Refusal::leaving)
    }

    /// Returns the refusal of a request that no target may have run, if the process may end before its deadline.
    fn leaves_before_sent(&self, call: &Call) -> Option<Refusal> {
        if call.may_run.get() {
            return None;
        }
        self.leaves_before(call.deadline, &call.route)
    }

    /// Gives requests that wait for an answer one of this entry if the process ends soon.
    pub fn answer_before_end(&self) {
        let now = self.node.clock.now();
        if self.leaving.get().is_some_and(|l| now >= l.answers_by()) {
            self.ending.send_replace(true);
        }
    }

    /// Waits for `work` until the process ends; `None` if it does before.
    async fn until_end<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        let mut ending = self.ending.subscribe();
        tokio::select! {
            biased;
            Ok(_) = ending.wait_for(|ending| *ending) => None,
            done = work => Some(done),
        }
    }

    /// Records that the process ends now, so that answers in progress are cut.
    pub fn stop(&self) {
        self.stopped.set(true);
    }

    /// Returns the number of requests in progress.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Closes pooled connections that have been idle for too long.
    pub fn prune_idle(&self) {
        self.pool.prune_idle();
    }

    /// Takes one repeated send for `service` from the budget. Returns false if none is left.
    fn spend(&self, service: &Arc<str>) -> bool {
        self.repeats.borrow_mut().spend(service)
    }

    /// Returns whether a repeated send for `service` is left in the budget.
    fn may_spend(&self, service: &Arc<str>) -> bool {
        self.repeats.borrow().may_spend(service)
    }

    async fn handle(
        self: &Rc<Self>,
        request: Request<Received>,
        head: CallHead,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let arrived_at = Instant::now();
        let in_flight = InFlight::new(&self.in_flight);
        let waited = !self.node.declared.is_loaded();
        if waited {
            let declared = waiting::wait_declared(self, arrived_at, head.timeout);
            self.until_end(declared)
                .await
                .ok_or_else(Refusal::leaving)??;
        }
        let catalogue = self.node.declared.catalogue();
        let version = self.node.declared.version();
        let (parts, body) = request.into_parts();
        let route = find_route(&catalogue, &parts.headers, &parts.uri)?;
        let holder = find_organisation(&catalogue, &route, &head)?;
        let service = self.draw_service(&route);
        let contender = self.contender(&catalogue, &route, &service, holder.as_deref(), &head);
        let timeout = head.timeout.unwrap_or(NO_TIMEOUT).min(route.timeout);
        let deadline = arrived_at + timeout;
        if let Some(refusal) = self.leaves_before(deadline, &route) {
            return Err(refusal);
        }
        let caller = parts.extensions.get::<Caller>().map(|caller| caller.0);
        let share = self.room.begin();
        let head_bytes = head_bytes(&parts.headers, &parts.uri);
        let body = read_body(body, catalogue.limits().body, head_bytes, deadline, &share);
        let body = self.until_end(body).await.ok_or_else(Refusal::leaving)??;
        self.repeats.borrow_mut().earn(&service);
        let residency = CallResidency::new(version, &route, holder.as_deref());
        let call = Rc::new(Call {
            head,
            method: parts.method,
            target: parts.uri,
            headers: parts.headers,
            body,
            route,
            service,
            organisation: holder.map(|holder| holder.name.clone()),
            arrived_at,
            contender,
            waited,
            deadline,
            caller,
            in_flight,
            share,
            suspects: OnceCell::new(),
            residency,
            may_run: Cell::new(false),
        });
        let answer = timeout_at(deadline, attempt::run(self, &call));
        let answer = match self.until_end(answer).await {
            Some(answer) => answer.unwrap_or(Err(Refusal::late())),
            None if call.may_run.get() => Err(Refusal::unknown("this entry ends; it may have run")),
            None => Err(Refusal::leaving()),
        };
        answer.map_err(|refusal| call.name_rule(&self.node, refusal))
    }

    /// Returns the rank of a request among those of its service, if they differ in rank.
    fn contender(
        &self,
        catalogue: &Rc<Catalogue>,
        route: &Route,
        service: &Arc<str>,
        organisation: Option<&Organisation>,
        head: &CallHead,
    ) -> Option<Contender> {
        let declared = organisation.and_then(|organisation| organisation.priority);
        let rank = self.ranks(catalogue).rank(service, declared, route)?;
        let engine = catalogue.service(service)?.engine.as_ref()?;
        let prompt = head.tokens.map_or(0, |(prompt, _)| prompt);
        let timeout = head.timeout.unwrap_or(NO_TIMEOUT);
        Some(Contender {
            rank,
            route: route.priority,
            tier: declared.unwrap_or(route.priority),
            organisation: organisation.map(|organisation| organisation.name.clone()),
            large: f64::from(prompt) > LARGE_PROMPT * engine.prompt,
            returns: timeout.saturating_add(MIN_RETURN_TIME) < route.timeout,
            patience: (timeout.min(route.timeout) / PATIENCE_DIVISOR)
                .min(route.goal / RETRY_GOAL_DIVISOR)
                .into(),
        })
    }

    /// Counts a request of a rank by whether it was admitted when it arrived.
    fn count_ranked(&self, rank: Rank, admitted: bool) {
        let outcome = if admitted { "admitted" } else { "not admitted" };
        let label = format!("rank {} {outcome}", rank.0);
        self.metrics.entry.ranks.add(&label, 1);
    }

    /// Returns the ranks that the configuration declares.
    fn ranks(&self, catalogue: &Rc<Catalogue>) -> Rc<RankOrders> {
        let mut cached = self.ranks.borrow_mut();
        if cached.0 != catalogue.version() {
            *cached = (catalogue.version(), Rc::new(RankOrders::new(catalogue)));
        }
        cached.1.clone()
    }

    /// Draws the service for a request from those of its route, by their weights.
    fn draw_service(&self, route: &Route) -> Arc<str> {
        let total: u32 = route.weighted_services.iter().map(|b| b.weight).sum();
        let mut remaining = self.rng.borrow_mut().random_range(0..total.max(1));
        for backend in &route.weighted_services {
            if remaining < backend.weight {
                return backend.service.clone();
            }
            remaining -= backend.weight;
        }
        // Not reached: a catalogue has no route whose weights add up to 0.
        route.weighted_services[0].service.clone()
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

/// Returns the organisation of the caller. Only the key decides it, not the name that the caller sends.
fn find_organisation(
    catalogue: &Catalogue,
    route: &Route,
    head: &CallHead,
) -> Result<Option<Arc<Organisation>>, Refusal> {
    if !catalogue.requires_key() {
        return Ok(None);
    }
    let holder = head.key.as_deref().and_then(|key| catalogue.holder(key));
    match holder {
        Some(holder) => Ok(Some(holder.clone())),
        None if route.public => Ok(None),
        None => Err(Refusal::own(
            StatusCode::UNAUTHORIZED,
            "the key is none that is in force",
        )),
    }
}

/// Reads the whole body before the first attempt. An attempt can then be repeated, and a target that
/// answers before it has read a long body still receives the rest of that body, and nothing else, on its
/// connection.
async fn read_body(
    body: Received,
    limit: usize,
    head_bytes: usize,
    deadline: Instant,
    share: &Share,
) -> Result<Bytes, Refusal> {
    let read = timeout_at(deadline, body.read_kept(limit, head_bytes, share)).await;
    let read = read.map_err(|_| Refusal::own(StatusCode::REQUEST_TIMEOUT, "the body is late"))?;
    read.map_err(|error| match error {
        ReadError::TooLong(_) => {
            Refusal::own(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long")
        }
        ReadError::NoRoom => Refusal::busy("no room for the body", ROOM_RETRY),
        ReadError::Broken(_) => Refusal::own(StatusCode::BAD_REQUEST, "the body broke off"),
    })
}

/// Returns about how much memory the head of a request takes, in bytes.
fn head_bytes(headers: &HeaderMap, uri: &Uri) -> usize {
    let fields = headers.iter();
    let fields = fields.map(|(name, value)| name.as_str().len() + value.len() + FIELD_BYTES);
    fields.sum::<usize>() + uri.path().len() + uri.query().map_or(0, str::len)
}

impl Service for Requests {
    type Body = AnswerBody;

    async fn answer(self: Rc<Self>, request: Request<Received>) -> Response<AnswerBody> {
        let head = CallHead::read(request.headers());
        let (attempt, id) = (head.attempt.clone(), head.id().to_owned());
        let prompt = head.tokens.map_or(0, |(prompt, _)| prompt);
        let answer = self.handle(request, head).await;
        let in_flight = i64::try_from(self.in_flight()).unwrap_or(i64::MAX);
        self.metrics.entry.in_flight.set(in_flight);
        match answer {
            Ok(response) => response,
            Err(refusal) => {
                refusal.log(&id, prompt, self.node.declared.version());
                self.metrics.entry.requests.add("own answer", 1);
                self.metrics.entry.refusals.add(refusal.why, 1);
                let body = AnswerBody::whole(Full::new(refusal.body()));
                let mut response = Response::new(body);
                *response.status_mut() = refusal.status;
                set_answer_headers(
                    response.headers_mut(),
                    attempt.as_ref(),
                    refusal.retry_after,
                );
                response
            }
        }
    }

    fn head_limit(&self) -> usize {
        self.node.declared.catalogue().limits().head
    }

    /// Returns how long callers may leave connections idle. A request whose head takes longer ends its
    /// connection.
    fn idle_timeout(&self) -> Duration {
        self.node.declared.catalogue().limits().idle
    }
}
