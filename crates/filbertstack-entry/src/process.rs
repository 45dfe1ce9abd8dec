//! One entry, from its start to its end.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use filbertstack_log::StartError as LogError;
use filbertstack_policy::flow;
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
use crate::follow::Follow;
use crate::gossip::Membership;
use crate::guard;
use crate::guard::Guard;
use crate::http;
use crate::http::HeaderField;
use crate::http::Refusal;
use crate::lead::Leader;
use crate::lease::Leases;
use crate::ledger::Ledger;
use crate::links::DeferredHandler;
use crate::links::LinkHandler;
use crate::machine::Control;
use crate::machine::ControlMachine;
use crate::members::Members;
use crate::operators;
use crate::operators::Operators;
use crate::request::RequestHandler;
use crate::settings::Settings;
use crate::spread::Spread;
use crate::traffic::Traffic;
use crate::view::Reached;
use crate::view::Views;
use crate::voter::Voter;
use crate::voter::VoterConfig;

/// How often the routing table is brought up to date while nothing changes.
const REFRESH: Duration = Duration::from_millis(100);

/// How often a stop looks whether it is over.
const STOP_POLL: Duration = Duration::from_millis(20);

/// How long what peers have asked may take when the entry ends. Its voter has ended by then, so that
/// proposals have their outcome, and questions that are held are answered.
const LAST_CALLS: Duration = Duration::from_secs(1);

/// The stack of a request's thread, in bytes.
const STACK: usize = 512 << 10;

/// Why an entry did not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// An address is taken or not this instance's.
    #[error("{addr}: {source}; give a free address of this instance in [entry] {key}")]
    Bind {
        /// The settings' key.
        key: &'static str,
        /// The address.
        addr: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The HTTP library did not start.
    #[error("the HTTP server did not start: {0}")]
    Http(String),
    /// The log did not start.
    #[error(transparent)]
    Log(#[from] LogError),
    /// The links can't be served.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// A thread or socket could not be made.
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
    views: Arc<Views>,
    members: Arc<Members>,
    membership: Arc<Membership>,
    traffic: Traffic,
    voter: Option<Arc<Voter>>,
    stopped: Arc<AtomicBool>,
    leaving: AtomicBool,
    serving: AtomicUsize,
}

impl Entry {
    /// Starts an entry.
    ///
    /// # Errors
    /// [`StartError`] names what to change.
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
        let (control, views) = (Control::default(), Arc::new(Views::default()));
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
        ));
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

    /// Where callers and operators connect.
    pub fn addr(&self) -> SocketAddr {
        self.guard.addr()
    }

    /// Where links connect.
    pub fn links(&self) -> SocketAddr {
        self.inner.settings.links
    }

    /// Leaves, and returns when the requests in progress have ended; false if some had not when
    /// the stop timeout ran out.
    ///
    /// Callers keep the entry's address for `max_age`, so it serves that long after every other
    /// entry has stopped giving it out; then it takes nothing new.
    pub fn stop(self) -> bool {
        let inner = &self.inner;
        let until = Instant::now() + Duration::from(inner.settings.stop_timeout);
        let departure = inner.membership.leave();
        while !departure.is_over(inner.membership.now()) && Instant::now() < until {
            thread::sleep(STOP_POLL);
        }
        inner.leaving.store(true, Ordering::SeqCst);
        while inner.serving.load(Ordering::SeqCst) > 0 && Instant::now() < until {
            thread::sleep(STOP_POLL);
        }
        let passed_on = self.guard.await_answers(until);
        let requests = inner.serving.load(Ordering::SeqCst);
        if requests > 0 || !passed_on {
            warn!("stop timeout ran out, requests break off", kv: { requests, passed_on });
        }
        if let Some(voter) = &inner.voter {
            voter.stop();
        }
        inner.membership.part();
        inner.views.end_waits();
        self.listener.finish(LAST_CALLS);
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
    ) -> Self {
        let members = membership.members().clone();
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
        };
        Self {
            settings,
            telemetry,
            calls,
            operators,
            views,
            members,
            membership,
            traffic,
            voter,
            stopped: Arc::new(AtomicBool::new(false)),
            leaving: AtomicBool::new(false),
            serving: AtomicUsize::new(0),
        }
    }

    fn links(&self, control: &Control, spread: Arc<Spread>) -> LinkHandler {
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

    fn start_threads(self: &Arc<Self>, control: &Control, spread: Arc<Spread>) {
        let refreshing = self.clone();
        thread::spawn(move || refreshing.refresh());
        let gossiping = self.clone();
        thread::spawn(move || gossiping.membership.run(&gossiping.stopped));
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
        let follow = Follow {
            name: self.settings.name.to_string(),
            ledger: self.operators.ledger.clone(),
            views: self.views.clone(),
            stopped: self.stopped.clone(),
        };
        thread::spawn(move || follow.run());
    }

    /// Keeps the routing table in step with the declarations and the targets.
    fn refresh(&self) {
        let mut seen = None;
        let mut sharers = 0;
        while !self.stopped.load(Ordering::Relaxed) {
            let entries = self.membership.live_entries();
            if sharers != entries {
                self.traffic.set_entries(entries);
                sharers = entries;
            }
            let view = self.views.get();
            let now: (Reached, u64) = (view.reached(), self.members.sweep());
            if seen != Some(now) {
                self.traffic.update(&view, &self.members.live());
                seen = Some(now);
            }
            thread::sleep(REFRESH);
        }
    }

    fn start_http(
        self: &Arc<Self>,
        socket: TcpListener,
    ) -> Result<(Arc<Guard>, Arc<Server>), StartError> {
        let inner_socket = TcpListener::bind("127.0.0.1:0")?;
        guard::set_nodelay(&inner_socket)?;
        let inner_addr = inner_socket.local_addr()?;
        let server = Server::from_listener(inner_socket, None);
        let server = Arc::new(server.map_err(|error| StartError::Http(error.to_string()))?);
        let Settings {
            max_body,
            max_connections,
            ..
        } = self.settings;
        let guard = Arc::new(Guard::start(socket, inner_addr, max_body, max_connections)?);
        let (serving, taking, guarding) = (self.clone(), server.clone(), guard.clone());
        thread::Builder::new().name("http".into()).spawn(move || {
            for request in taking.incoming_requests() {
                serving.clone().take(request, guarding.clone());
            }
        })?;
        info!("entry {} listens on {}", self.settings.name, guard.addr());
        Ok((guard, server))
    }

    fn take(self: Arc<Self>, request: Request, guard: Arc<Guard>) {
        if request.url() == guard::HELLO {
            let _ = http::answer_hello(request);
            return;
        }
        let builder = thread::Builder::new()
            .name("request".into())
            .stack_size(STACK);
        // Counted before it looks whether the entry leaves: a stop that has seen no request then
        // knows that none will run.
        self.serving.fetch_add(1, Ordering::SeqCst);
        let inner = self.clone();
        let started = builder.spawn(move || {
            let _serving = Serving(&inner.serving);
            if inner.leaving.load(Ordering::SeqCst) {
                let _ = http::refuse(request, &leaving());
                return;
            }
            inner.answer(request, &guard);
        });
        if started.is_err() {
            self.serving.fetch_sub(1, Ordering::SeqCst);
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
        self.measure();
        let text = self.telemetry.metrics.render();
        let fields = [HeaderField::new(
            "content-type",
            "text/plain; version=0.0.4",
        )];
        http::respond(request, 200, &fields, text.as_bytes())
    }

    /// Sets the levels that are read when they are asked for.
    fn measure(&self) {
        let metrics = &self.telemetry.metrics;
        let level = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        metrics.entry.in_flight.set(level(self.traffic.open()));
        metrics
            .entry
            .targets
            .set("live", level(self.members.live().len()));
        metrics
            .entry
            .targets
            .set("lost", level(self.members.lost().len()));
        let view = self.views.get();
        let whole = |number: u64| i64::try_from(number).unwrap_or(i64::MAX);
        metrics.control.revision.set(whole(view.revision()));
        metrics.control.term.set(whole(view.term()));
        let leads = self
            .voter
            .as_ref()
            .is_some_and(|voter| voter.leads().is_some());
        metrics.control.leader.set(i64::from(leads));
    }

    fn entries(&self, request: Request) -> std::io::Result<()> {
        let organisation = match self.calls.authenticate(&request) {
            Ok(organisation) => organisation,
            Err(refusal) => return http::refuse(request, &refusal),
        };
        // Drawn anew each time: an organisation's callers would otherwise all take one entry.
        let caller = format!("{organisation}/{}", rand::random::<u32>());
        let told = self.membership.entries_for(&caller);
        let entries: Vec<_> = told
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

/// Counts a request for as long as it is served.
struct Serving<'a>(&'a AtomicUsize);

impl Drop for Serving<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

fn bind(key: &'static str, addr: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(addr).map_err(|source| StartError::Bind { key, addr, source })
}

fn start_voter(
    settings: &Settings,
    control: &Control,
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

/// A refusal while the entry leaves; kept here so that every path says the same.
pub fn leaving() -> Refusal {
    Refusal::not_run(
        503,
        "this entry is leaving: ask GET /v1/entries for another",
    )
    .retry_after_ms(1000)
}
