//! Starts and stops an agent.

use std::fs;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use filbertstack_telemetry::Telemetry;
use filbertstack_weights::Store;
use filbertstack_weights::copy::UploadSlots;
use filbertstack_weights::store::StoreError;
use filbertstack_wire::Dialer;
use filbertstack_wire::Listener;
use filbertstack_wire::WireError;
use spdlog::warn;
use thiserror::Error;

use crate::announce::Announcer;
use crate::announce::incarnation;
use crate::copying::NetworkFetcher;
use crate::gate::Gate;
use crate::mesh::Mesh;
use crate::pacing::FirstByteTimes;
use crate::pacing::Pacer;
use crate::reconciler::Reconciler;
use crate::scrape::Scrape;
use crate::serve::CallHandler;
use crate::serve::MAX_UPLOADS;
use crate::settings::Settings;
use crate::settings::TargetKind;
use crate::shared::SharedState;
use crate::target::Target;

/// How long calls that occupy no slot of the target, such as uploads to other agents, may take when the
/// process stops: one second of waiting for an upload slot, and the upload itself.
const LAST_CALLS_TIMEOUT: Duration = Duration::from_secs(2);

/// An error at the start of an agent.
#[derive(Debug, Error)]
pub enum StartError {
    /// The agent can't use the data folder.
    #[error("{path}: {source}; give a folder in [agent] data that this process may write")]
    Folder {
        /// The folder.
        path: std::path::PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The address for links or metrics is in use or not an address of this instance.
    #[error("{addr}: {source}; give a free address of this instance in [agent] links and metrics")]
    Bind {
        /// The address.
        addr: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The agent can't open the chunk store.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The agent can't serve links.
    #[error(transparent)]
    Wire(#[from] WireError),
}

/// A running agent.
#[derive(Debug)]
pub struct Agent {
    _scrape: Option<Scrape>,
    settings: Arc<Settings>,
    listener: Listener,
    gate: Gate,
    shared: Arc<SharedState>,
    announcer: Arc<Announcer>,
    mesh: Arc<Mesh>,
    stopped: Arc<AtomicBool>,
}

impl Agent {
    /// Starts an agent and its threads.
    ///
    /// # Errors
    /// Returns [`StartError`], which names the setting to change.
    pub fn start(mut settings: Settings, telemetry: Arc<Telemetry>) -> Result<Self, StartError> {
        let addr = settings.links;
        let bind = |source| StartError::Bind { addr, source };
        let socket = TcpListener::bind(addr).map_err(bind)?;
        settings.links = socket.local_addr().map_err(bind)?;
        let store = Arc::new(open_store(&settings)?);
        let settings = Arc::new(settings);
        let gate = match settings.kind {
            TargetKind::Engine => Gate::engine(settings.slots),
            TargetKind::Service => Gate::service(settings.slots),
        };
        let target = Target::new(&settings.url);
        let shared = Arc::new(SharedState::new());
        let term = Arc::new(AtomicU64::new(0));
        let scrape = start_scrape(&settings, &telemetry, &gate, &shared)?;
        let first_byte_times = FirstByteTimes::default();
        let call_handler = Arc::new(CallHandler {
            gate: gate.clone(),
            target: target.clone(),
            store: store.clone(),
            uploads: UploadSlots::new(MAX_UPLOADS),
            shared: shared.clone(),
            term: term.clone(),
            telemetry,
            first_byte_times: first_byte_times.clone(),
        });
        let name = settings.name.as_str();
        let dialer = Arc::new(Dialer::new(
            name,
            settings.keys.clone(),
            call_handler.clone(),
        ));
        let listener = Listener::start(socket, name, settings.keys.clone(), call_handler)?;
        let mesh = Mesh::start(name, dialer.clone(), store.clone(), shared.clone());
        let network = NetworkFetcher { mesh: mesh.clone() };
        let files = settings.data.join("files");
        let reconciler =
            Reconciler::new(shared.clone(), gate.clone(), target, store, files, network);
        thread::spawn(move || reconciler.run());
        let stopped = Arc::new(AtomicBool::new(false));
        let pacer = Pacer {
            link_rate: settings.link,
            first_byte_times,
            gate: gate.clone(),
            shared: shared.clone(),
            mesh: mesh.clone(),
            stopped: stopped.clone(),
        };
        thread::spawn(move || pacer.run());
        let announcer = Arc::new(Announcer {
            settings: settings.clone(),
            dialer,
            gate: gate.clone(),
            shared: shared.clone(),
            term,
            stopped: stopped.clone(),
            incarnation: incarnation(),
            last_version: AtomicU64::new(0),
            accepted_fence: Mutex::default(),
            order_gate: Mutex::default(),
            last_orders: Mutex::default(),
            current_entries: Mutex::default(),
        });
        let announcing = announcer.clone();
        thread::spawn(move || announcing.run());
        Ok(Self {
            _scrape: scrape,
            settings,
            listener,
            gate,
            shared,
            announcer,
            mesh,
            stopped,
        })
    }

    /// Returns the address that accepts links.
    pub const fn links(&self) -> SocketAddr {
        self.listener.addr()
    }

    /// Refuses new requests and waits until those in progress have ended and their answers are being
    /// sent. Returns false if some had not ended when the stop timeout ran out.
    pub fn stop(self) -> bool {
        self.gate.leave();
        self.announcer.announce_once();
        let idle = self.gate.wait_idle(self.settings.stop_timeout.into());
        if idle {
            self.listener.finish(LAST_CALLS_TIMEOUT);
        } else {
            let requests = self.gate.running();
            warn!("stop timeout ran out, requests break off", kv: { requests });
            self.listener.finish(Duration::ZERO);
        }
        idle
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.shared.stop();
        self.mesh.stop();
    }
}

fn start_scrape(
    settings: &Settings,
    telemetry: &Arc<Telemetry>,
    gate: &Gate,
    shared: &Arc<SharedState>,
) -> Result<Option<Scrape>, StartError> {
    let Some(addr) = settings.metrics else {
        return Ok(None);
    };
    let (gate, shared) = (gate.clone(), shared.clone());
    let scrape = Scrape::start(addr, telemetry.clone(), move |telemetry| {
        let metrics = &telemetry.metrics;
        metrics.agent.in_flight.set(gate.running().into());
        metrics.weights.copying.set(i64::from(shared.is_copying()));
    });
    let scrape = scrape.map_err(|source| StartError::Bind { addr, source })?;
    Ok(Some(scrape))
}

fn open_store(settings: &Settings) -> Result<Store, StartError> {
    if settings.kind == TargetKind::Service {
        return Ok(Store::memory(0));
    }
    for folder in ["chunks", "files"] {
        let path = settings.data.join(folder);
        let created = fs::create_dir_all(&path);
        created.map_err(|source| StartError::Folder { path, source })?;
    }
    Ok(Store::open(&settings.data.join("chunks"), settings.store)?)
}
