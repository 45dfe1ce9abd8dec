//! The parts of the demo's system, each started as its process would start it.

use std::fs;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use filbertstack_agent::Agent;
use filbertstack_core::Digest;
use filbertstack_entry::Entry;
use filbertstack_entry::operators::ApplyRequest;
use filbertstack_entry::operators::PublishRequest;
use filbertstack_standins::Engine;
use filbertstack_standins::EngineConfig;
use filbertstack_standins::Origin;
use filbertstack_standins::OriginConfig;
use filbertstack_standins::Rate;
use filbertstack_standins::Service;
use filbertstack_standins::ServiceConfig;
use filbertstack_standins::answer::weights_digest;
use filbertstack_telemetry::Identity;
use filbertstack_telemetry::Logs;
use filbertstack_telemetry::Metrics;
use filbertstack_telemetry::Role;
use filbertstack_telemetry::Telemetry;
use filbertstack_telemetry::TelemetrySettings;
use filbertstack_telemetry::Traces;
use filbertstack_weights::Manifest;
use filbertstack_weights::manifest::manifest_name;
use serde_json::Value;
use tempfile::TempDir;

use super::DemoError;
use super::MODEL;
use crate::client::Client;
use crate::client::message;

/// The key of the demo's callers.
pub const CALLER_KEY: &str = "the-demo-callers-key";

/// The plain service.
pub const SERVICE: &str = "move-in-desk";

const OPERATOR_KEY: &str = "the-demo-operators-key";
const ENTRIES: usize = 3;
const ZONES: [&str; 3] = ["regina-hall", "winnipeg-hall", "calgary-hall"];

/// The size of the demo's model, in bytes: small enough for a laptop, many chunks all the same.
const MODEL_SIZE: usize = 8 << 20;
const CHUNK: u32 = 128 << 10;

/// The origin's link carries eight copies a second.
const ORIGIN_RATE: u64 = 64 << 20;

/// A step of the demo's engines.
const STEP: Duration = Duration::from_millis(2);

/// The demo's system; dropped, all of it stops.
pub struct World {
    entries: Vec<Entry>,
    _agents: Vec<Agent>,
    _engines: Vec<Engine>,
    _service: Service,
    origin: Origin,
    clients: Vec<Client>,
    weights: Digest,
    dir: TempDir,
}

impl World {
    /// Starts everything.
    pub fn start(targets: u32) -> Result<Self, DemoError> {
        spdlog::default_logger()
            .set_level_filter(spdlog::LevelFilter::MoreSevereEqual(spdlog::Level::Error));
        let dir = tempfile::tempdir().map_err(|error| failed("folder", &error))?;
        let weights = prepare(dir.path()).map_err(|error| failed("folder", &error))?;
        let mut config = OriginConfig::new(dir.path().join("origin"));
        config.rate = Some(Rate {
            bytes: ORIGIN_RATE,
            burst: ORIGIN_RATE / 8,
        });
        let origin = Origin::start(config).map_err(|error| failed("origin", &error))?;
        let entries = start_entries(dir.path())?;
        let links: Vec<SocketAddr> = entries.iter().map(Entry::links).collect();
        let service = Service::start(ServiceConfig::new(SERVICE));
        let service = service.map_err(|error| failed("service", &error))?;
        let mut agents = vec![start_agent(
            dir.path(),
            0,
            "service",
            service.addr(),
            &links,
        )?];
        let mut engines = Vec::new();
        for n in 1..=targets {
            let config = EngineConfig {
                step: STEP,
                ..EngineConfig::default()
            };
            let engine = Engine::start(config).map_err(|error| failed("engine", &error))?;
            agents.push(start_agent(dir.path(), n, "engine", engine.addr(), &links)?);
            engines.push(engine);
        }
        let key = dir.path().join("operators.keys");
        let client = |entry: &Entry| Client::new(vec![entry.addr()], Some(key.clone()));
        let clients: Result<Vec<_>, _> = entries.iter().map(client).collect();
        let clients = clients.map_err(|error| failed("client", &error))?;
        Ok(Self {
            entries,
            _agents: agents,
            _engines: engines,
            _service: service,
            origin,
            clients,
            weights,
            dir,
        })
    }

    /// Where callers ask for entries.
    pub fn callers_entries(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(Entry::addr).collect()
    }

    /// What engines make of the model's files.
    pub const fn weights(&self) -> Digest {
        self.weights
    }

    /// The targets that every entry knows.
    pub fn known(&self) -> usize {
        self.least(|status| status["targets"].as_array().map_or(0, Vec::len))
    }

    /// The replicas that every entry knows to serve: a caller may ask any of them.
    pub fn serving(&self) -> usize {
        self.least(|status| {
            let serving = status["deployments"][0]["serving"].as_u64().unwrap_or(0);
            usize::try_from(serving).unwrap_or(0)
        })
    }

    /// The least that any entry's status gives.
    fn least(&self, count: impl Fn(&Value) -> usize) -> usize {
        let counts = self.clients.iter().map(|client| {
            let status = client.get("status").map(|answer| answer.body);
            count(&status.unwrap_or_default())
        });
        counts.min().unwrap_or(0)
    }

    /// Bytes that left the origin over the model's size.
    pub fn origin_copies(&self) -> f64 {
        // Both are far under 2^52, so nothing is lost.
        #[expect(clippy::cast_precision_loss, reason = "sizes of a demo are small")]
        let copies = self.origin.stats().bytes as f64 / MODEL_SIZE as f64;
        copies
    }

    /// Publishes the model and returns its version.
    pub fn publish(&self) -> Result<String, DemoError> {
        let folder = self.dir.path().join("origin");
        let manifest = Manifest::of_dir(&folder, CHUNK);
        let manifest = manifest.map_err(|error| failed("manifest", &error))?;
        let encoded = manifest.encode();
        fs::write(folder.join(manifest_name(manifest.root())), &encoded)
            .map_err(|error| failed("manifest", &error))?;
        let request = PublishRequest {
            root: manifest.root(),
            model: MODEL.into(),
            weights: manifest.size(),
            manifest: encoded.len() as u64,
            chunks: u32::try_from(manifest.chunks().len()).unwrap_or(u32::MAX),
            origin: format!("http://{}", self.origin.addr()),
            store: String::new(),
        };
        self.post("publish", &request)?;
        Ok(manifest.root().to_string())
    }

    /// Declares the model on `targets` instances, and rules that lead to it and to the service.
    pub fn apply(&self, version: &str, targets: u32) -> Result<(), DemoError> {
        let text = format!(
            "[deployment drafting]\nlabels = team=drafting\nmodel = {MODEL}\n\
             version = {version}\nreplicas = {targets}\nmemory = 8MiB\npools = tier=large\n\
             [pool halls]\nlabels = tier=large\ninstances = role=engine\n\
             [rule drafting]\norder = 10\nrequests = model={MODEL}\n\
             deployments = team=drafting\nidempotent = true\ntimeout = 30s\n\
             [rule move-in]\norder = 20\npath = /move-in/\ninstances = role=service\n\
             idempotent = false\ntimeout = 10s\n"
        );
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let request = ApplyRequest {
            request: "demo".into(),
            expected: None,
            issued: u64::try_from(now.as_millis()).unwrap_or(u64::MAX),
            text,
            removals: Vec::new(),
        };
        self.post("apply", &request)
    }

    fn post(&self, what: &str, body: &impl serde::Serialize) -> Result<(), DemoError> {
        let answer = self.clients[0].post(what, body);
        let answer = answer.map_err(|error| DemoError::Refused(error.to_string()))?;
        if answer.status == 200 {
            return Ok(());
        }
        Err(DemoError::Refused(message(&answer.body)))
    }
}

fn failed(part: &'static str, error: &dyn std::fmt::Display) -> DemoError {
    DemoError::Start {
        part,
        text: error.to_string(),
    }
}

/// Writes keys and the model's files, and returns what engines make of the latter.
fn prepare(dir: &Path) -> std::io::Result<Digest> {
    fs::write(dir.join("peer.key"), "the demo's key between entries")?;
    fs::write(dir.join("agent.key"), "the demo's key on links with agents")?;
    fs::write(
        dir.join("callers.keys"),
        format!("prairie-homes {CALLER_KEY}\n"),
    )?;
    fs::write(
        dir.join("operators.keys"),
        format!("operator {OPERATOR_KEY}\n"),
    )?;
    let folder = dir.join("origin");
    fs::create_dir(&folder)?;
    let mut bytes = vec![0; MODEL_SIZE];
    rand::Rng::fill_bytes(&mut rand::rng(), &mut bytes);
    fs::write(folder.join("model.bin"), &bytes)?;
    weights_digest(&folder).map_err(std::io::Error::other)
}

/// So many different addresses that are free now: held until all are chosen, as a port that was
/// let go may be handed out again.
fn free_addrs(count: usize) -> Result<Vec<SocketAddr>, DemoError> {
    let bind = |_| TcpListener::bind("127.0.0.1:0");
    let sockets: Result<Vec<_>, _> = (0..count).map(bind).collect();
    let sockets = sockets.map_err(|error| failed("port", &error))?;
    let addrs: Result<Vec<_>, _> = sockets.iter().map(TcpListener::local_addr).collect();
    addrs.map_err(|error| failed("port", &error))
}

fn start_entries(dir: &Path) -> Result<Vec<Entry>, DemoError> {
    let addrs = free_addrs(2 * ENTRIES)?;
    let places: Vec<_> = addrs
        .chunks_exact(2)
        .enumerate()
        .map(|(n, pair)| {
            (
                format!("entry-{n}"),
                pair[0],
                pair[1],
                ZONES[n % ZONES.len()],
            )
        })
        .collect();
    let voters: Vec<String> = places
        .iter()
        .map(|(name, _, links, _)| format!("{name}@{links}"))
        .collect();
    let voters = voters.join(", ");
    places
        .iter()
        .map(|(name, listen, links, zone)| {
            let text = format!(
                "[entry]\nname = {name}\nzone = {zone}\nregion = prairie\nlisten = {listen}\n\
                 links = {links}\n[control]\nvoters = {voters}\n[disk]\ndata = data-{name}\n\
                 [keys]\npeer = peer.key\nagent = agent.key\ncallers = callers.keys\n\
                 operators = operators.keys\n"
            );
            let path = dir.join(format!("{name}.ini"));
            fs::write(&path, text).map_err(|error| failed("entry", &error))?;
            let settings = filbertstack_entry::Settings::read(&path);
            let settings = settings.map_err(|error| failed("entry", &error))?;
            let telemetry = telemetry(&Identity::new(Role::Entry, name.as_str()))?;
            Entry::start(settings, telemetry).map_err(|error| failed("entry", &error))
        })
        .collect()
}

fn start_agent(
    dir: &Path,
    n: u32,
    kind: &str,
    url: SocketAddr,
    links: &[SocketAddr],
) -> Result<Agent, DemoError> {
    let name = format!("{kind}-{n}");
    let zone = ZONES[n as usize % ZONES.len()];
    let entries: Vec<String> = links.iter().map(ToString::to_string).collect();
    let text = format!(
        "[agent]\nname = {name}\nzone = {zone}\nregion = prairie\nlinks = 127.0.0.1:0\n\
         labels = role={kind}\nentries = {}\ndata = data-{name}\nmemory = 16MiB\n\
         [target]\nkind = {kind}\nurl = http://{url}\nslots = 16\n[keys]\nagent = agent.key\n",
        entries.join(", ")
    );
    let path = dir.join(format!("{name}.ini"));
    fs::write(&path, text).map_err(|error| failed("agent", &error))?;
    let settings = filbertstack_agent::Settings::read(&path);
    let settings = settings.map_err(|error| failed("agent", &error))?;
    let telemetry = telemetry(&Identity::new(Role::Agent, name.as_str()))?;
    Agent::start(settings, telemetry).map_err(|error| failed("agent", &error))
}

fn telemetry(identity: &Identity) -> Result<Arc<Telemetry>, DemoError> {
    let settings = TelemetrySettings::default();
    let start = |error: filbertstack_telemetry::TelemetryError| failed("telemetry", &error);
    Ok(Arc::new(Telemetry {
        logs: Logs::start(&settings, identity).map_err(start)?,
        metrics: Metrics::new(identity).map_err(start)?,
        traces: Traces::start(&settings, identity).map_err(start)?,
    }))
}
