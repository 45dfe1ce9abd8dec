//! The parts of the demo's system. Each part starts in the same way as in a process of its own.

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
use crate::client::error_message;

/// The key of the demo's caller organisation.
pub const CALLER_KEY: &str = "the-demo-callers-key";

/// The name of the plain service.
pub const SERVICE: &str = "move-in-desk";

const OPERATOR_KEY: &str = "the-demo-operators-key";
const ENTRIES: usize = 3;
const ZONES: [&str; 3] = ["regina-hall", "winnipeg-hall", "calgary-hall"];

/// The size of the demo's model, in bytes: it is small enough for a laptop, but still has many chunks.
const MODEL_SIZE: usize = 8 << 20;

/// The size of a chunk, in bytes.
const CHUNK_SIZE: u32 = 128 << 10;

/// The rate limit of the origin, in bytes a second: it allows eight copies of the model a second.
const ORIGIN_RATE: u64 = 64 << 20;

/// The duration of a step of the demo's engines.
const ENGINE_STEP: Duration = Duration::from_millis(2);

/// The demo's system. All its parts stop when it is dropped.
pub struct System {
    entries: Vec<Entry>,
    _agents: Vec<Agent>,
    _engines: Vec<Engine>,
    _service: Service,
    origin: Origin,
    clients: Vec<Client>,
    weights: Digest,
    dir: TempDir,
}

impl System {
    /// Starts the origin, the entries, the service, `targets` engines and their agents.
    pub fn start(targets: u32) -> Result<Self, DemoError> {
        spdlog::default_logger()
            .set_level_filter(spdlog::LevelFilter::MoreSevereEqual(spdlog::Level::Error));
        let dir = tempfile::tempdir().map_err(|error| start_error("folder", &error))?;
        let weights = write_files(dir.path()).map_err(|error| start_error("folder", &error))?;
        let mut config = OriginConfig::new(dir.path().join("origin"));
        config.rate = Some(Rate {
            bytes: ORIGIN_RATE,
            burst: ORIGIN_RATE / 8,
        });
        let origin = Origin::start(config).map_err(|error| start_error("origin", &error))?;
        let entries = start_entries(dir.path())?;
        let links: Vec<SocketAddr> = entries.iter().map(Entry::links).collect();
        let service = Service::start(ServiceConfig::new(SERVICE));
        let service = service.map_err(|error| start_error("service", &error))?;
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
                step: ENGINE_STEP,
                ..EngineConfig::default()
            };
            let engine = Engine::start(config).map_err(|error| start_error("engine", &error))?;
            agents.push(start_agent(dir.path(), n, "engine", engine.addr(), &links)?);
            engines.push(engine);
        }
        let key = dir.path().join("operators.keys");
        let client = |entry: &Entry| Client::new(vec![entry.addr()], Some(key.clone()));
        let clients: Result<Vec<_>, _> = entries.iter().map(client).collect();
        let clients = clients.map_err(|error| start_error("client", &error))?;
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

    /// Returns the HTTP addresses of the entries.
    pub fn entry_addrs(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(Entry::addr).collect()
    }

    /// Returns the digest that engines compute over the model's files.
    pub const fn weights(&self) -> Digest {
        self.weights
    }

    /// Returns the number of targets that every entry knows.
    pub fn known_targets(&self) -> usize {
        self.min_count(|status| status["targets"].as_array().map_or(0, Vec::len))
    }

    /// Returns the number of replicas that serve according to every entry: a caller may use any entry.
    pub fn serving_replicas(&self) -> usize {
        self.min_count(|status| {
            let serving = status["deployments"][0]["serving"].as_u64().unwrap_or(0);
            usize::try_from(serving).unwrap_or(0)
        })
    }

    /// Returns the lowest count over the status of all entries; an entry that does not answer counts 0.
    fn min_count(&self, count: impl Fn(&Value) -> usize) -> usize {
        let counts = self.clients.iter().map(|client| {
            let status = client.get("status").map(|answer| answer.body);
            count(&status.unwrap_or_default())
        });
        counts.min().unwrap_or(0)
    }

    /// Returns the number of bytes that the origin sent, divided by the size of the model.
    pub fn origin_copies(&self) -> f64 {
        // Both numbers are far below 2^52, so the conversion is exact.
        #[expect(clippy::cast_precision_loss, reason = "sizes of a demo are small")]
        let copies = self.origin.stats().bytes as f64 / MODEL_SIZE as f64;
        copies
    }

    /// Publishes the model and returns its version.
    pub fn publish(&self) -> Result<String, DemoError> {
        let folder = self.dir.path().join("origin");
        let manifest = Manifest::from_dir(&folder, CHUNK_SIZE);
        let manifest = manifest.map_err(|error| start_error("manifest", &error))?;
        let encoded = manifest.encode();
        fs::write(folder.join(manifest_name(manifest.root())), &encoded)
            .map_err(|error| start_error("manifest", &error))?;
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

    /// Declares the model with `targets` replicas, and rules that route to it and to the service.
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

    fn post(&self, path: &str, body: &impl serde::Serialize) -> Result<(), DemoError> {
        let answer = self.clients[0].post(path, body);
        let answer = answer.map_err(|error| DemoError::Refused(error.to_string()))?;
        if answer.status == 200 {
            return Ok(());
        }
        Err(DemoError::Refused(error_message(&answer.body)))
    }
}

fn start_error(part: &'static str, error: &dyn std::fmt::Display) -> DemoError {
    DemoError::Start {
        part,
        text: error.to_string(),
    }
}

/// Writes the keys and the model's files, and returns the digest that engines compute over the model.
fn write_files(dir: &Path) -> std::io::Result<Digest> {
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

/// Returns `count` different free addresses. All sockets stay open until all ports are chosen, because
/// the operating system may assign a released port again.
fn free_addrs(count: usize) -> Result<Vec<SocketAddr>, DemoError> {
    let bind = |_| TcpListener::bind("127.0.0.1:0");
    let sockets: Result<Vec<_>, _> = (0..count).map(bind).collect();
    let sockets = sockets.map_err(|error| start_error("port", &error))?;
    let addrs: Result<Vec<_>, _> = sockets.iter().map(TcpListener::local_addr).collect();
    addrs.map_err(|error| start_error("port", &error))
}

fn start_entries(dir: &Path) -> Result<Vec<Entry>, DemoError> {
    let addrs = free_addrs(2 * ENTRIES)?;
    let nodes: Vec<_> = addrs
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
    let voters: Vec<String> = nodes
        .iter()
        .map(|(name, _, links, _)| format!("{name}@{links}"))
        .collect();
    let voters = voters.join(", ");
    nodes
        .iter()
        .map(|(name, listen, links, zone)| {
            let text = format!(
                "[entry]\nname = {name}\nzone = {zone}\nregion = prairie\nlisten = {listen}\n\
                 links = {links}\n[control]\nvoters = {voters}\n[disk]\ndata = data-{name}\n\
                 [keys]\npeer = peer.key\nagent = agent.key\ncallers = callers.keys\n\
                 operators = operators.keys\n"
            );
            let path = dir.join(format!("{name}.ini"));
            fs::write(&path, text).map_err(|error| start_error("entry", &error))?;
            let settings = filbertstack_entry::Settings::read(&path);
            let settings = settings.map_err(|error| start_error("entry", &error))?;
            let telemetry = start_telemetry(&Identity::new(Role::Entry, name.as_str()))?;
            Entry::start(settings, telemetry).map_err(|error| start_error("entry", &error))
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
    fs::write(&path, text).map_err(|error| start_error("agent", &error))?;
    let settings = filbertstack_agent::Settings::read(&path);
    let settings = settings.map_err(|error| start_error("agent", &error))?;
    let telemetry = start_telemetry(&Identity::new(Role::Agent, name.as_str()))?;
    Agent::start(settings, telemetry).map_err(|error| start_error("agent", &error))
}

fn start_telemetry(identity: &Identity) -> Result<Arc<Telemetry>, DemoError> {
    let settings = TelemetrySettings::default();
    let to_error = |error: filbertstack_telemetry::TelemetryError| start_error("telemetry", &error);
    Ok(Arc::new(Telemetry {
        logs: Logs::start(&settings, identity).map_err(to_error)?,
        metrics: Metrics::new(identity).map_err(to_error)?,
        traces: Traces::start(&settings, identity).map_err(to_error)?,
    }))
}
