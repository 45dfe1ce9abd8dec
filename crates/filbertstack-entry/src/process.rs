//! The lifecycle of an entry: it starts the listeners and threads, serves requests and stops.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use filbertstack_guard::Guard;
use filbertstack_guard::Limits;
use filbertstack_log::StartError as LogError;
use filbertstack_policy::flow;
use filbertstack_policy::intake::SHORT_BYTES;
use filbertstack_telemetry::Telemetry;
use filbertstack_wire::Dialer;
use filbertstack_wire::Listener;
use filbertstack_wire::WireError;
use rand::Rng;
use serde_json::json;
use spdlog::info;
use spdlog::warn;
use thiserror::Error;
use tiny_http::Method;
use tiny_http::Request;
use tiny_http::Server;

use crate::claims::Claims;
use crate::follow::ControlFollower;
use crate::gossip::Membership;
use crate::http;
use crate::http::HeaderField;
use crate::http::Refusal;
use crate::http::Refuser;
use crate::lead::Leader;
use crate::lease::Leases;
use crate::ledger::Ledger;
use crate::links::DeferredHandler;
use crate::links::LinkHandler;
use crate::machine::ControlMachine;
use crate::machine::SharedState;
use crate::members::Members;
use crate::operators;
use crate::operators::Operators;
use crate::request::RequestHandler;
use crate::settings::Settings;
use crate::spread::Spread;
use crate::traffic::Traffic;
use crate::view::Position;
use crate::view::Views;
use crate::voter::Voter;
use crate::voter::VoterConfig;

/// The interval at which the entry checks whether the routing table must be rebuilt.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// The time before the end of a stop in which answers are written to callers.
const ANSWER_TIME: Duration = Duration::from_millis(500);

/// The interval at which [`Entry::stop`] checks whether it may go on.
const STOP_POLL: Duration = Duration::from_millis(20);

/// The time that calls from peers get to finish when the entry stops. The voter has stopped by then, so
/// proposals have their outcome and long polls have been answered.
const CALL_DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// The part of the memory that bodies of callers share: 1 / `ROOM_DIVISOR`. A body is copied up to three times while it
/// is sent to an agent, and the threads of connections take memory, too.
const ROOM_DIVISOR: usize = 8;

/// The stack size of a request's thread, in bytes.
const REQUEST_STACK_SIZE: usize = 512 << 10;

/// The reason why an entry did not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// An address is in use or does not belong to this instance.
    #[error("{addr}: {source}; give a free address of this instance in [entry] {key}")]
    Bind {
        /// The key in the settings.
        key: &'static str,
        /// The address.
        addr: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The HTTP library did not start.
    #[error("the HTTP server did not start: {0}")]
    Http(String),
    /// The log did not start.
    #[error(transparent)]
    Log(#[from] LogError),
    /// The listener for links did not start.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// The operating system refused a thread or socket.
    #[error("the system refused a thread or socket: {0}; raise the process's limits")]
    Io(#[from] std::io::Error),
}

/// A running entry.
pub struct Entry {
    inner: Arc<Inner>,
    guard: Arc<Guard>,
    listener: Listener,
    server: Arc<Server>,
}

struct Inner {
    settings: Settings,
    telemetry: Arc<Telemetry>,
    calls: RequestHandler,
    operators: Operators,
    refuser: Refuser,
    views: Arc<Views>,
    members: Arc<Members>,
    membership: Arc<Membership>,
    traffic: Traffic,
    voter: Option<Arc<Voter>>,
    stopped: Arc<AtomicBool>,
    leaving: AtomicBool,
    active_requests: AtomicUsize,
}

impl Entry {
    /// Starts an entry.
    ///
    /// # Errors
    /// Returns a [`StartError`] that names what to change.
    pub fn start(mut settings: Settings, telemetry: Arc<Telemetry>) -> Result<Self, StartError> {
        let links_socket = bind("links", settings.links)?;
        let http_socket = bind("listen", settings.listen)?;
        settings.links = links_socket.local_addr()?;
        settings.listen = http_socket.local_addr()?;
        let name = settings.name.to_string();
        let late = DeferredHandler::default();
        let handler = Arc::new(late.clone());
        let dialer = Arc::new(Dialer::new(&name, settings.keys.clone(), handler.clone()));
        let listener = Listener::start(links_socket, &name, settings.keys.clone(), handler)?;
        let (control, views) = (SharedState::default(), Arc::new(Views::default()));
        let voter = start_voter(&settings, &control, &views, &dialer)?;
        let voters = settings.voters.iter().map(|voter| voter.addr).collect();
        let ledger = Arc::new(Ledger::new(
            name.clone(),
            dialer.clone(),
            voter.clone(),
            voters,
        ));
        let members = Arc::new(Members::default());
        let membership = Arc::new(Membership::new(
            &settings,
            dialer.clone(),
            members.clone(),
            telemetry.clone(),
        ));
        let inner = Arc::new(Inner::new(
            settings, telemetry, dialer, ledger, views, membership, voter,
        )?);
        let spread = Arc::new(Spread::new(inner.members.clone()));
        late.set(Arc::new(inner.links(&control, spread.clone())));
        inner.start_threads(&control, spread);
        let (guard, server) = inner.start_http(http_socket)?;
        Ok(Self {
            inner,
            guard,
            listener,
            server,
        })
    }

    /// Returns the address for callers and operators.
    pub fn addr(&self) -> SocketAddr {
        self.guard.addr()
    }

    /// Returns the address for links.
    pub fn links(&self) -> SocketAddr {
        self.inner.settings.links
    }

    /// Takes the entry out of service and waits for the requests in progress. Returns false if some were
    /// still in progress when the stop timeout expired.
    ///
    /// Callers cache the entry's address for `max_age`, so the entry serves for that long after every other
    /// entry has stopped listing it. After that it refuses new requests.
    pub fn stop(self) -> bool {
        let inner = &self.inner;
        let deadline = Instant::now() + Duration::from(inner.settings.stop_timeout);
        let ends = deadline.checked_sub(ANSWER_TIME).unwrap_or(deadline);
        inner.calls.ends.get_or_init(|| ends);
        let departure = inner.membership.announce_leaving();
        while !departure.is_over(inner.membership.now()) && Instant::now() < deadline {
            thread::sleep(STOP_POLL);
        }
        inner.leaving.store(true, Ordering::SeqCst);
        while inner.active_requests.load(Ordering::SeqCst) > 0 && Instant::now() < deadline {
            thread::sleep(STOP_POLL);
        }
        let passed_on = self.guard.await_answers(deadline);
        let requests = inner.active_requests.load(Ordering::SeqCst);
        if requests > 0 || !passed_on {
            warn!("stop timeout ran out, requests break off", kv: { requests, passed_on });
        }
        if let Some(voter) = &inner.voter {
            voter.stop();
        }
        inner.membership.announce_left();
        inner.views.end_waits();
        self.listener.finish(CALL_DRAIN_TIMEOUT);
        requests == 0 && passed_on
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.inner.stopped.store(true, Ordering::Relaxed);
        self.inner.traffic.stop();
        self.server.unblock();
        if let Some(voter) = &self.inner.voter {
            voter.halt();
        }
    }
}

impl Inner {
    fn new(
        settings: Settings,
        telemetry: Arc<Telemetry>,
        dialer: Arc<Dialer>,
        ledger: Arc<Ledger>,
        views: Arc<Views>,
        membership: Arc<Membership>,
        voter: Option<Arc<Voter>>,
    ) -> std::io::Result<Self> {
        let members = membership.members().clone();
        let refuser = Refuser::start()?;
        let mut rng = rand::rng();
        let flow =
            flow::Settings::new(settings.name.clone(), settings.zone.clone(), rng.next_u64());
        let traffic = Traffic::new(flow);
        let leases = Arc::new(Leases::new(
            settings.name.clone(),
            voter.clone(),
            ledger.clone(),
            traffic.clone(),
            views.clone(),
        ));
        let calls = RequestHandler {
            callers: settings.callers.clone(),
            traffic: traffic.clone(),
            claims: Claims::new(ledger.clone(), rng.next_u64()),
            dialer: dialer.clone(),
            leases: leases.clone(),
            telemetry: telemetry.clone(),
            max_body: settings.max_body,
            refuser: refuser.clone(),
            ends: OnceLock::new(),
            attempts: AtomicU64::new(rng.next_u64() >> 1),
        };
        let operators = Operators {
            operators: settings.operators.clone(),
            ledger,
            views: views.clone(),
            members: members.clone(),
            dialer,
            leases,
            max_body: settings.max_body,
            refuser: refuser.clone(),
        };
        Ok(Self {
            settings,
            telemetry,
            calls,
            operators,
            refuser,
            views,
            members,
            membership,
            traffic,
            voter,
            stopped: Arc::new(AtomicBool::new(false)),
            leaving: AtomicBool::new(false),
            active_requests: AtomicUsize::new(0),
        })
    }

    fn links(&self, control: &SharedState, spread: Arc<Spread>) -> LinkHandler {
        LinkHandler {
            spread,
            voter: self.voter.clone(),
            control: control.clone(),
            views: self.views.clone(),
            members: self.members.clone(),
            membership: self.membership.clone(),
            ledger: self.operators.ledger.clone(),
            leases: self.calls.leases.clone(),
        }
    }

    fn start_threads(self: &Arc<Self>, control: &SharedState, spread: Arc<Spread>) {
        let refresher = self.clone();
        thread::spawn(move || refresher.refresh());
        let gossiper = self.clone();
        thread::spawn(move || gossiper.membership.run(&gossiper.stopped));
        let (leases, stopped) = (self.calls.leases.clone(), self.stopped.clone());
        thread::spawn(move || leases.run(&stopped));
        if let Some(voter) = &self.voter {
            let leader = Leader {
                voter: voter.clone(),
                control: control.clone(),
                views: self.views.clone(),
                members: self.members.clone(),
                ledger: self.operators.ledger.clone(),
                spread,
                stopped: self.stopped.clone(),
            };
            thread::spawn(move || leader.run());
            return;
        }
        let follower = ControlFollower {
            name: self.settings.name.to_string(),
            ledger: self.operators.ledger.clone(),
            views: self.views.clone(),
            stopped: self.stopped.clone(),
        };
        thread::spawn(move || follower.run());
    }

    /// Rebuilds the routing table whenever the declarations or the targets change.
    fn refresh(&self) {
        let mut applied = None;
        let mut shared_by = 0;
        while !self.stopped.load(Ordering::Relaxed) {
            let entries = self.membership.live_entries();
            if shared_by != entries {
                self.traffic.set_entries(entries);
                shared_by = entries;
            }
            let view = self.views.get();
            let current: (Position, u64) = (view.position(), self.members.sweep());
            if applied != Some(current) {
                self.traffic.update(&view, &self.members.live());
                applied = Some(current);
            }
            thread::sleep(REFRESH_INTERVAL);
        }
    }

    fn start_http(
        self: &Arc<Self>,
        socket: TcpListener,
    ) -> Result<(Arc<Guard>, Arc<Server>), StartError> {
        let inner_socket = TcpListener::bind("127.0.0.1:0")?;
        filbertstack_guard::set_nodelay(&inner_socket)?;
        let inner_addr = inner_socket.local_addr()?;
        let server = Server::from_listener(inner_socket, None);
        let server = Arc::new(server.map_err(|error| StartError::Http(error.to_string()))?);
        let Settings {
            max_body,
            max_connections,
            memory,
            ..
        } = self.settings;
        let limits = Limits {
            body: max_body,
            connections: max_connections,
            memory: memory / ROOM_DIVISOR,
        };
        let guard = Arc::new(Guard::start(socket, inner_addr, limits)?);
        let (inner, accepting, guarding) = (self.clone(), server.clone(), guard.clone());
        thread::Builder::new().name("http".into()).spawn(move || {
            for request in accepting.incoming_requests() {
                inner.clone().dispatch(request, guarding.clone());
            }
        })?;
        info!("entry {} listens on {}", self.settings.name, guard.addr());
        Ok((guard, server))
    }

    fn dispatch(self: Arc<Self>, request: Request, guard: Arc<Guard>) {
        if request.url() == filbertstack_guard::HELLO {
            let _ = http::answer_hello(request);
            return;
        }
        let builder = thread::Builder::new()
            .name("request".into())
            .stack_size(REQUEST_STACK_SIZE);
        // The request is counted before its thread reads `leaving`: once `Entry::stop` has set the flag and
        // seen a count of zero, no further request runs.
        self.active_requests.fetch_add(1, Ordering::SeqCst);
        let inner = self.clone();
        let started = builder.spawn(move || {
            let _active = ActiveRequest(&inner.active_requests);
            if inner.leaving.load(Ordering::SeqCst) {
                guard.end_body(request.remote_addr());
                inner.refuser.refuse(request, leaving_refusal());
                return;
            }
            inner.answer(request, &guard);
        });
        if started.is_err() {
            self.active_requests.fetch_sub(1, Ordering::SeqCst);
        }
    }

    fn answer(&self, request: Request, guard: &Guard) {
        let path = request
            .url()
            .split('?')
            .next()
            .unwrap_or_default()
            .to_owned();
        let get = *request.method() == Method::Get;
        if get {
            guard.end_body(request.remote_addr());
        }
        if get && request.body_length().is_some_and(|n| n > SHORT_BYTES) {
            let text = "a GET has no body: send none";
            self.refuser.refuse(request, Refusal::not_run(400, text));
            return;
        }
        let _ = match path.as_str() {
            "/health" => http::respond(request, 200, &[], b"ok\n"),
            "/metrics" => self.metrics(request),
            "/v1/entries" if get => self.entries(request),
            "/v1/models" if get => self.models(request),
            path if path.starts_with(operators::PREFIX) => {
                self.operators.answer(request, guard);
                Ok(())
            }
            _ => {
                self.calls.answer(request, guard);
                Ok(())
            }
        };
    }

    fn metrics(&self, request: Request) -> std::io::Result<()> {
        self.update_gauges();
        let text = self.telemetry.metrics.render();
        let fields = [HeaderField::new(
            "content-type",
            "text/plain; version=0.0.4",
        )];
        http::respond(request, 200, &fields, text.as_bytes())
    }

    /// Updates the gauges that are computed when metrics are scraped.
    fn update_gauges(&self) {
        let metrics = &self.telemetry.metrics;
        let from_count = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        metrics.entry.in_flight.set(from_count(self.traffic.open()));
        metrics
            .entry
            .targets
            .set("live", from_count(self.members.live().len()));
        metrics
            .entry
            .targets
            .set("lost", from_count(self.members.lost().len()));
        let view = self.views.get();
        let from_number = |number: u64| i64::try_from(number).unwrap_or(i64::MAX);
        metrics.control.revision.set(from_number(view.revision()));
        metrics.control.term.set(from_number(view.term()));
        let leads = self
            .voter
            .as_ref()
            .is_some_and(|voter| voter.leading_term().is_some());
        metrics.control.leader.set(i64::from(leads));
    }

    fn entries(&self, request: Request) -> std::io::Result<()> {
        let organisation = match self.calls.authenticate(&request) {
            Ok(organisation) => organisation,
            Err(refusal) => return http::refuse(request, &refusal),
        };
        // A new random suffix for each call spreads the callers of one organisation over the entries.
        let caller = format!("{organisation}/{}", rand::random::<u32>());
        let listed = self.membership.entries_for_caller(&caller);
        let entries: Vec<_> = listed
            .iter()
            .map(|entry| json!({ "addr": entry.http, "zone": entry.zone }))
            .collect();
        let max_age = self.settings.max_age.ceil_secs();
        http::respond_json(
            request,
            200,
            &json!({ "entries": entries, "max_age_s": max_age }),
        )
    }

    fn models(&self, request: Request) -> std::io::Result<()> {
        if let Err(refusal) = self.calls.authenticate(&request) {
            return http::refuse(request, &refusal);
        }
        let table = self.traffic.table();
        let models = table.models().iter();
        let data: Vec<_> = models
            .map(|model| json!({ "id": model, "object": "model" }))
            .collect();
        http::respond_json(request, 200, &json!({ "object": "list", "data": data }))
    }
}

/// Counts a request as active until it is dropped.
struct ActiveRequest<'a>(&'a AtomicUsize);

impl Drop for ActiveRequest<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

fn bind(key: &'static str, addr: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(addr).map_err(|source| StartError::Bind { key, addr, source })
}

fn start_voter(
    settings: &Settings,
    control: &SharedState,
    views: &Arc<Views>,
    dialer: &Arc<Dialer>,
) -> Result<Option<Arc<Voter>>, StartError> {
    let Some(data) = &settings.data else {
        return Ok(None);
    };
    let config = VoterConfig {
        name: settings.name.to_string(),
        addr: settings.links,
        listed: settings.voters.clone(),
    };
    let machine = ControlMachine::new(control.clone(), views.clone());
    Ok(Some(Voter::start(data, config, machine, dialer.clone())?))
}

/// Returns the refusal that every path sends while the entry is leaving.
pub fn leaving_refusal() -> Refusal {
    Refusal::not_run(
        503,
        "this entry is leaving: ask GET /v1/entries for another",
    )
    .retry_after_ms(1000)
}
