//! One agent, from its start to its end.

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
use crate::copying::Network;
use crate::desk::Desk;
use crate::gate::Gate;
use crate::keeper::Keeper;
use crate::mesh::Mesh;
use crate::pacing::FirstBytes;
use crate::pacing::Pacer;
use crate::scrape::Scrape;
use crate::serve::Calls;
use crate::serve::UPLOADS;
use crate::settings::Kind;
use crate::settings::Settings;
use crate::target::Target;

/// How long calls that hold no place at the target may take when the process ends, such as pieces for
/// other agents: a wait of a second for the upload, and the upload.
const LAST_CALLS: Duration = Duration::from_secs(2);

/// Why an agent did not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The data folder can't be used.
    #[error("{path}: {source}; give a folder in [agent] data that this process may write")]
    Folder {
        /// The folder.
        path: std::path::PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The address for links is taken or not this instance's.
    #[error("{addr}: {source}; give a free address of this instance in [agent] links and metrics")]
    Bind {
        /// The address.
        addr: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The chunk store can't be opened.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The links can't be served.
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
    desk: Arc<Desk>,
    announcer: Arc<Announcer>,
    mesh: Arc<Mesh>,
    stopped: Arc<AtomicBool>,
}

impl Agent {
    /// Starts an agent.
    ///
    /// # Errors
    /// [`StartError`] names what to change.
    pub fn start(mut settings: Settings, telemetry: Arc<Telemetry>) -> Result<Self, StartError> {
        let addr = settings.links;
        let bind = |source| StartError::Bind { addr, source };
        let socket = TcpListener::bind(addr).map_err(bind)?;
        settings.links = socket.local_addr().map_err(bind)?;
        let store = Arc::new(open_store(&settings)?);
        let settings = Arc::new(settings);
        let gate = match settings.kind {
            Kind::Engine => Gate::engine(settings.slots),
            Kind::Service => Gate::service(settings.slots),
        };
        let target = Target::new(&settings.url);
        let desk = Arc::new(Desk::new());
        let term = Arc::new(AtomicU64::new(0));
        let scrape = start_scrape(&settings, &telemetry, &gate, &desk)?;
        let firsts = FirstBytes::default();
        let calls = Arc::new(Calls {
            gate: gate.clone(),
            target: target.clone(),
            store: store.clone(),
            uploads: UploadSlots::new(UPLOADS),
            desk: desk.clone(),
            term: term.clone(),
            telemetry,
            firsts: firsts.clone(),
        });
        let name = settings.name.as_str();
        let dialer = Arc::new(Dialer::new(name, settings.keys.clone(), calls.clone()));
        let listener = Listener::start(socket, name, settings.keys.clone(), calls)?;
        let mesh = Mesh::start(name, dialer.clone(), store.clone(), desk.clone());
        let network = Network { mesh: mesh.clone() };
        let files = settings.data.join("files");
        let keeper = Keeper::new(desk.clone(), gate.clone(), target, store, files, network);
        thread::spawn(move || keeper.run());
        let stopped = Arc::new(AtomicBool::new(false));
        let pacer = Pacer {
            link: settings.link,
            firsts,
            gate: gate.clone(),
            desk: desk.clone(),
            mesh: mesh.clone(),
            stopped: stopped.clone(),
        };
        thread::spawn(move || pacer.run());
        let announcer = Arc::new(Announcer {
            settings: settings.clone(),
            dialer,
            gate: gate.clone(),
            desk: desk.clone(),
            term,
            stopped: stopped.clone(),
            incarnation: incarnation(),
            version: AtomicU64::new(0),
            accepted: Mutex::default(),
            armed: Mutex::default(),
            heard: Mutex::default(),
            told: Mutex::default(),
        });
        let announcing = announcer.clone();
        thread::spawn(move || announcing.run());
        Ok(Self {
            _scrape: scrape,
            settings,
            listener,
            gate,
            desk,
            announcer,
            mesh,
            stopped,
        })
    }

    /// Where links connect.
    pub const fn links(&self) -> SocketAddr {
        self.listener.addr()
    }

    /// Takes nothing new, and returns when the requests in progress have ended and their answers are
    /// on their way; false if some had not ended when the stop timeout ran out.
    pub fn stop(self) -> bool {
        self.gate.leave();
        self.announcer.announce_once();
        let idle = self.gate.wait_idle(self.settings.stop_timeout.into());
        if idle {
            self.listener.finish(LAST_CALLS);
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
        self.desk.stop();
        self.mesh.stop();
    }
}

fn start_scrape(
    settings: &Settings,
    telemetry: &Arc<Telemetry>,
    gate: &Gate,
    desk: &Arc<Desk>,
) -> Result<Option<Scrape>, StartError> {
    let Some(addr) = settings.metrics else {
        return Ok(None);
    };
    let (gate, desk) = (gate.clone(), desk.clone());
    let scrape = Scrape::start(addr, telemetry.clone(), move |telemetry| {
        let metrics = &telemetry.metrics;
        metrics.agent.in_flight.set(gate.running().into());
        metrics.weights.copying.set(i64::from(desk.is_copying()));
    });
    let scrape = scrape.map_err(|source| StartError::Bind { addr, source })?;
    Ok(Some(scrape))
}

fn open_store(settings: &Settings) -> Result<Store, StartError> {
    if settings.kind == Kind::Service {
        return Ok(Store::memory(0));
    }
    for folder in ["chunks", "files"] {
        let path = settings.data.join(folder);
        let created = fs::create_dir_all(&path);
        created.map_err(|source| StartError::Folder { path, source })?;
    }
    Ok(Store::open(&settings.data.join("chunks"), settings.store)?)
}
