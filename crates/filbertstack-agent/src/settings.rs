//! The settings of an agent, which are read and checked once at start.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::str::FromStr;

use filbertstack_core::Labels;
use filbertstack_core::error::ValueError;
use filbertstack_core::ini::Document;
use filbertstack_core::ini::Problems;
use filbertstack_core::ini::Section;
use filbertstack_core::ini::parse_count;
use filbertstack_core::names::InstanceName;
use filbertstack_core::names::RegionName;
use filbertstack_core::names::ZoneName;
use filbertstack_core::settings;
use filbertstack_core::settings::SettingsError;
use filbertstack_core::settings::parse_addr;
use filbertstack_core::settings::parse_addrs;
use filbertstack_core::settings::require_section;
use filbertstack_core::time::Millis;
use filbertstack_core::time::parse_size;
use filbertstack_telemetry::settings::TelemetrySettings;
use filbertstack_wire::Key;
use filbertstack_wire::Keyring;

/// The default time that a stop waits for requests in progress: the default timeout of a rule.
pub const DEFAULT_STOP_TIMEOUT: Millis = Millis::secs(60);

/// The default number of requests that run at once: the size of an engine's batch.
pub const DEFAULT_SLOTS: u32 = 32;

/// The default size of the chunk store, in bytes.
pub const DEFAULT_STORE_SIZE: u64 = 512 << 30;

/// The default capacity of an instance's link, in bytes per second: 10 Gbit/s.
pub const DEFAULT_LINK_RATE: u64 = 1_250_000_000;

/// The kind of target behind an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetKind {
    /// A model engine, which loads weights.
    Engine,
    /// A plain service, which has no weights.
    Service,
}

impl FromStr for TargetKind {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self, ValueError> {
        match text {
            "engine" => Ok(Self::Engine),
            "service" => Ok(Self::Service),
            _ => Err(ValueError::Choice {
                text: text.into(),
                allowed: "engine or service",
            }),
        }
    }
}

/// The settings of an agent.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The target's instance name.
    pub name: InstanceName,
    /// The target's availability zone.
    pub zone: ZoneName,
    /// The target's region.
    pub region: RegionName,
    /// The address that accepts links.
    pub links: SocketAddr,
    /// The address of `/metrics`, which is not served without it.
    pub metrics: Option<SocketAddr>,
    /// The link addresses of the entries that receive the first announcements.
    pub entries: Vec<SocketAddr>,
    /// The target's further labels.
    pub labels: Labels,
    /// The folder of the chunks and of the files that the engine loads.
    pub data: PathBuf,
    /// The size of the chunk store, in bytes.
    pub store: u64,
    /// The target's memory for weights, in bytes.
    pub memory: u64,
    /// The capacity of the instance's link, in bytes per second.
    pub link: u64,
    /// How long a stop waits for requests in progress.
    pub stop_timeout: Millis,
    /// The kind of target.
    pub kind: TargetKind,
    /// The URL of the target's HTTP API, as `http://IP:port`.
    pub url: String,
    /// How many requests the target runs at once.
    pub slots: u32,
    /// The keys that authenticate links.
    pub keys: Keyring,
    /// The settings of logs, metrics and traces.
    pub telemetry: TelemetrySettings,
}

impl Settings {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    /// Returns every problem of the file.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let document = settings::read_document(path)?;
        Ok(Self::from_document(document)?)
    }

    /// Checks `document`. Relative paths start at the folder of its file.
    ///
    /// # Errors
    /// Returns every problem of the document.
    pub fn from_document(mut document: Document) -> Result<Self, Problems> {
        let mut problems = Problems::default();
        let folder = settings::folder(&document);
        let agent = require_section(&mut document, "agent", &mut problems);
        let agent = agent.and_then(|mut section| read_agent(&mut section, &folder, &mut problems));
        let target = require_section(&mut document, "target", &mut problems);
        let target = target.and_then(|mut section| read_target(&mut section, &mut problems));
        let keys = require_section(&mut document, "keys", &mut problems);
        let keys = keys.and_then(|mut section| read_keys(&mut section, &folder, &mut problems));
        let telemetry = TelemetrySettings::take(&mut document, &folder, &mut problems);
        document.finish(&mut problems);
        match assemble(agent, target, keys, telemetry) {
            Some(settings) => problems.into_result(settings),
            None => Err(problems),
        }
    }

    /// Returns every label of the target: those of the settings, its availability zone, region and name.
    pub fn all_labels(&self) -> Labels {
        let mut labels = self.labels.clone();
        // The names were checked, so they are valid as label values.
        let _ = labels.set("zone", self.zone.as_str());
        let _ = labels.set("region", self.region.as_str());
        let _ = labels.set("instance", self.name.as_str());
        labels
    }
}

struct AgentSection {
    name: InstanceName,
    zone: ZoneName,
    region: RegionName,
    links: SocketAddr,
    metrics: Option<SocketAddr>,
    entries: Vec<SocketAddr>,
    labels: Labels,
    data: PathBuf,
    store: u64,
    memory: u64,
    link: u64,
    stop_timeout: Millis,
}

struct TargetSection {
    kind: TargetKind,
    url: String,
    slots: u32,
}

fn assemble(
    agent: Option<AgentSection>,
    target: Option<TargetSection>,
    keys: Option<Keyring>,
    telemetry: TelemetrySettings,
) -> Option<Settings> {
    let (agent, target) = (agent?, target?);
    Some(Settings {
        name: agent.name,
        zone: agent.zone,
        region: agent.region,
        links: agent.links,
        metrics: agent.metrics,
        entries: agent.entries,
        labels: agent.labels,
        data: agent.data,
        store: agent.store,
        memory: agent.memory,
        link: agent.link,
        stop_timeout: agent.stop_timeout,
        kind: target.kind,
        url: target.url,
        slots: target.slots,
        keys: keys?,
        telemetry,
    })
}

fn read_agent(
    section: &mut Section,
    folder: &Path,
    problems: &mut Problems,
) -> Option<AgentSection> {
    let name = section.require("name", problems);
    let zone = section.require("zone", problems);
    let region = section.require("region", problems);
    let links: Option<SocketAddr> = section.require_with("links", problems, parse_addr);
    let entries = section
        .read_with("entries", problems, parse_addrs)
        .unwrap_or_default();
    if entries.is_empty() {
        let what = "[agent] names no entries: add entries = IP:port, ...";
        problems.0.push(section.problem(section.line, what));
    }
    let metrics = section.read_with("metrics", problems, parse_addr);
    let labels = section.read("labels", problems);
    let data: Option<PathBuf> = section.require("data", problems);
    let store = section.read_with("store", problems, parse_size);
    let memory = section.read_with("memory", problems, parse_size);
    let link = section.read_with("link", problems, parse_size);
    let stop_timeout = section.read("stop-timeout", problems);
    section.finish(problems);
    Some(AgentSection {
        name: name?,
        zone: zone?,
        region: region?,
        links: links?,
        metrics,
        entries,
        labels: labels.unwrap_or_default(),
        data: folder.join(data?),
        store: store.unwrap_or(DEFAULT_STORE_SIZE),
        memory: memory.unwrap_or(0),
        link: link.unwrap_or(DEFAULT_LINK_RATE),
        stop_timeout: stop_timeout.unwrap_or(DEFAULT_STOP_TIMEOUT),
    })
}

fn read_target(section: &mut Section, problems: &mut Problems) -> Option<TargetSection> {
    let kind = section.require("kind", problems);
    let url = section.read_with("url", problems, parse_url);
    if !section.has("url") {
        let what = "[target] lacks the key 'url': add url = http://IP:port";
        problems.0.push(section.problem(section.line, what));
    }
    let slots = section.read_with("slots", problems, parse_count);
    section.finish(problems);
    Some(TargetSection {
        kind: kind?,
        url: url?,
        slots: slots.unwrap_or(DEFAULT_SLOTS),
    })
}

fn parse_url(text: &str) -> Result<String, String> {
    let addr = text
        .strip_prefix("http://")
        .map(|rest| rest.trim_end_matches('/'));
    if addr.is_some_and(|addr| addr.parse::<SocketAddr>().is_ok()) {
        return Ok(text.trim_end_matches('/').into());
    }
    Err(format!(
        "'{text}' is not a target's URL: write http://IP:port"
    ))
}

fn read_keys(section: &mut Section, folder: &Path, problems: &mut Problems) -> Option<Keyring> {
    if !section.has("agent") {
        let what = "[keys] lacks the key 'agent': add agent = FILE";
        problems.0.push(section.problem(section.line, what));
    }
    let text = settings::read_file(section, "agent", folder, problems);
    section.finish(problems);
    match Key::from_text(&text?) {
        Ok(key) => Some(Keyring {
            peer: None,
            agent: Some(key),
        }),
        Err(error) => {
            problems
                .0
                .push(section.problem(section.line, format_args!("agent: {error}")));
            None
        }
    }
}
