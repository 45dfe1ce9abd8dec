//! The settings of an entry. They are read and checked as a whole, once at the start.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use filbertstack_core::ini::Document;
use filbertstack_core::ini::Problems;
use filbertstack_core::ini::Section;
use filbertstack_core::ini::parse_count;
use filbertstack_core::names::InstanceName;
use filbertstack_core::names::OrgName;
use filbertstack_core::names::RegionName;
use filbertstack_core::names::ZoneName;
use filbertstack_core::settings;
use filbertstack_core::settings::Credential;
use filbertstack_core::settings::SettingsError;
use filbertstack_core::settings::parse_addr;
use filbertstack_core::settings::parse_addrs;
use filbertstack_core::settings::parse_credentials;
use filbertstack_core::settings::require_section;
use filbertstack_core::time::Millis;
use filbertstack_core::time::parse_size;
use filbertstack_policy::gossip::SEEN_WITHIN;
use filbertstack_telemetry::settings::TelemetrySettings;
use filbertstack_wire::Key;
use filbertstack_wire::Keyring;
use filbertstack_wire::frame::MAX_BODY;

/// The default time for which callers keep an entry's address.
pub const DEFAULT_MAX_AGE: Millis = Millis::secs(30);

/// The default time limit of a stop. It covers the 6 s until every entry knows of the stop, the default
/// `max-age`, the default timeout of a rule, and a few seconds in reserve.
pub const DEFAULT_STOP_TIMEOUT: Millis = Millis::secs(100);

/// The default limit of a request body, in bytes. It is many times the size of a long prompt.
pub const DEFAULT_MAX_BODY: u64 = 4 << 20;

/// The default limit of callers' connections to an entry.
pub const DEFAULT_MAX_CONNECTIONS: u32 = 2048;

/// The default memory of an entry, in bytes: that of a small instance.
pub const DEFAULT_MEMORY: u64 = 256 << 20;

/// A voter as listed in the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterAddr {
    /// Its instance name.
    pub name: InstanceName,
    /// Its address for links.
    pub addr: SocketAddr,
}

/// The secrets that authenticate callers or operators, with their organisations.
#[derive(Clone, Default)]
pub struct Callers(HashMap<blake3::Hash, OrgName>);

impl std::fmt::Debug for Callers {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Callers({})", self.0.len())
    }
}

impl Callers {
    /// Stores the secrets as hashes, so that a lookup takes the same time for every caller.
    fn from_credentials(credentials: Vec<Credential>) -> Result<Self, String> {
        let mut callers = HashMap::new();
        for Credential { name, secret } in credentials {
            let org: OrgName = name.parse().map_err(|error| format!("{error}"))?;
            callers.insert(blake3::hash(secret.as_bytes()), org);
        }
        Ok(Self(callers))
    }

    /// Returns the organisation that the secret belongs to.
    pub fn find(&self, secret: &str) -> Option<&OrgName> {
        self.0.get(&blake3::hash(secret.as_bytes()))
    }
}

/// The settings of an entry.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The instance's name.
    pub name: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// The address for callers and operators.
    pub listen: SocketAddr,
    /// The address for links of entries and agents.
    pub links: SocketAddr,
    /// The time for which callers may keep its address.
    pub max_age: Millis,
    /// The time limit of a stop, which waits for requests in progress.
    pub stop_timeout: Millis,
    /// The limit of a request body, in bytes.
    pub max_body: usize,
    /// The limit of concurrent connections of callers.
    pub max_connections: usize,
    /// The memory that the process may use, in bytes. An eighth of it is for bodies of callers' requests.
    pub memory: usize,
    /// The voters that form the group at the first start.
    pub voters: Vec<VoterAddr>,
    /// The link addresses of entries with which the gossip starts.
    pub seeds: Vec<SocketAddr>,
    /// The data folder; only a voter has one.
    pub data: Option<PathBuf>,
    /// The keys that authenticate links.
    pub keys: Keyring,
    /// The secrets of callers.
    pub callers: Callers,
    /// The secrets of operators.
    pub operators: Callers,
    /// The settings of logs, metrics and traces.
    pub telemetry: TelemetrySettings,
}

impl Settings {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    /// Returns all problems of the file.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let document = settings::read_document(path)?;
        Ok(Self::from_document(document)?)
    }

    /// Checks `document`. Relative paths in it are relative to its file's folder.
    ///
    /// # Errors
    /// Returns all problems of the document.
    pub fn from_document(mut document: Document) -> Result<Self, Problems> {
        let mut problems = Problems::default();
        let folder = settings::folder(&document);
        let entry = require_section(&mut document, "entry", &mut problems);
        let entry = entry.and_then(|mut section| read_entry(&mut section, &mut problems));
        let control = require_section(&mut document, "control", &mut problems);
        let control = control.and_then(|mut section| read_control(&mut section, &mut problems));
        let disk = document.take("disk");
        let data = disk.and_then(|mut section| read_disk(&mut section, &folder, &mut problems));
        let keys = require_section(&mut document, "keys", &mut problems);
        let keys = keys.and_then(|mut section| read_keys(&mut section, &folder, &mut problems));
        let telemetry = TelemetrySettings::take(&mut document, &folder, &mut problems);
        document.finish(&mut problems);
        let settings = assemble(entry, control, data, keys, telemetry);
        match settings {
            Some(settings) => problems.into_result(settings),
            None => Err(problems
                .into_result(())
                .expect_err("a missing part adds a problem")),
        }
    }

    /// Returns whether this entry is a voter.
    pub const fn is_voter(&self) -> bool {
        self.data.is_some()
    }
}

struct EntrySection {
    name: InstanceName,
    zone: ZoneName,
    region: RegionName,
    listen: SocketAddr,
    links: SocketAddr,
    max_age: Millis,
    stop_timeout: Millis,
    max_body: usize,
    max_connections: usize,
    memory: usize,
}

struct ControlSection {
    voters: Vec<VoterAddr>,
    seeds: Vec<SocketAddr>,
}

struct KeysSection {
    keys: Keyring,
    callers: Callers,
    operators: Callers,
}

fn assemble(
    entry: Option<EntrySection>,
    control: Option<ControlSection>,
    data: Option<PathBuf>,
    keys: Option<KeysSection>,
    telemetry: TelemetrySettings,
) -> Option<Settings> {
    let (entry, control, keys) = (entry?, control?, keys?);
    Some(Settings {
        name: entry.name,
        zone: entry.zone,
        region: entry.region,
        listen: entry.listen,
        links: entry.links,
        max_age: entry.max_age,
        stop_timeout: entry.stop_timeout,
        max_body: entry.max_body,
        max_connections: entry.max_connections,
        memory: entry.memory,
        voters: control.voters,
        seeds: control.seeds,
        data,
        keys: keys.keys,
        callers: keys.callers,
        operators: keys.operators,
        telemetry,
    })
}

fn read_entry(section: &mut Section, problems: &mut Problems) -> Option<EntrySection> {
    let name = section.require("name", problems);
    let zone = section.require("zone", problems);
    let region = section.require("region", problems);
    let listen = read_addr(section, "listen", problems);
    let links = read_addr(section, "links", problems);
    let max_age = section.read("max-age", problems);
    let stop_timeout = section.read("stop-timeout", problems);
    let max_body = section.read_with("max-body", problems, parse_size);
    let max_connections = section.read_with("max-connections", problems, parse_count);
    let memory = section.read_with("memory", problems, parse_size);
    let memory = usize::try_from(memory.unwrap_or(DEFAULT_MEMORY)).unwrap_or(usize::MAX);
    let max_age = max_age.unwrap_or(DEFAULT_MAX_AGE);
    let stop_timeout = stop_timeout.unwrap_or(DEFAULT_STOP_TIMEOUT);
    if stop_timeout < max_age + SEEN_WITHIN {
        let what = format!(
            "stop-timeout {stop_timeout} ends before callers have let go of this entry's address: \
             give at least max-age and {SEEN_WITHIN}"
        );
        problems.0.push(section.problem(section.line, what));
    }
    let max_body = usize::try_from(max_body.unwrap_or(DEFAULT_MAX_BODY)).unwrap_or(usize::MAX);
    if max_body > MAX_BODY {
        let what = format!(
            "max-body is more than links carry: give at most {}MiB",
            MAX_BODY >> 20
        );
        problems.0.push(section.problem(section.line, what));
    }
    section.finish(problems);
    Some(EntrySection {
        name: name?,
        zone: zone?,
        region: region?,
        listen: listen?,
        links: links?,
        max_age,
        stop_timeout,
        max_body,
        max_connections: max_connections.unwrap_or(DEFAULT_MAX_CONNECTIONS) as usize,
        memory,
    })
}

fn read_addr(section: &mut Section, key: &str, problems: &mut Problems) -> Option<SocketAddr> {
    let addr: Option<SocketAddr> = section.require_with(key, problems, parse_addr);
    let addr = addr?;
    if addr.ip().is_unspecified() {
        let what = format!("{key}: others are told this address: give the instance's own IP");
        problems.0.push(section.problem(section.line, what));
        return None;
    }
    Some(addr)
}

fn read_control(section: &mut Section, problems: &mut Problems) -> Option<ControlSection> {
    let voters = section.read_with("voters", problems, parse_voters);
    let seeds = section.read_with("seeds", problems, parse_addrs);
    section.finish(problems);
    let voters = voters.unwrap_or_default();
    if voters.is_empty() {
        let what = "[control] names no voters: add voters = NAME@IP:port, ...";
        problems.0.push(section.problem(section.line, what));
        return None;
    }
    Some(ControlSection {
        voters,
        seeds: seeds.unwrap_or_default(),
    })
}

fn parse_voters(text: &str) -> Result<Vec<VoterAddr>, String> {
    let parts = text
        .split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty());
    parts.map(parse_voter).collect()
}

fn parse_voter(text: &str) -> Result<VoterAddr, String> {
    let (name, addr) = text
        .split_once('@')
        .ok_or_else(|| format!("'{text}' is not a voter: write NAME@IP:port"))?;
    let name = name.parse().map_err(|error| format!("{error}"))?;
    let addr = parse_addr(addr).map_err(|error| error.to_string())?;
    Ok(VoterAddr { name, addr })
}

fn read_disk(section: &mut Section, folder: &Path, problems: &mut Problems) -> Option<PathBuf> {
    let data: Option<PathBuf> = section.require("data", problems);
    section.finish(problems);
    data.map(|data| folder.join(data))
}

fn read_keys(section: &mut Section, folder: &Path, problems: &mut Problems) -> Option<KeysSection> {
    let peer = read_key(section, "peer", folder, problems);
    let agent = read_key(section, "agent", folder, problems);
    let callers = read_callers(section, "callers", folder, problems);
    let operators = read_callers(section, "operators", folder, problems);
    section.finish(problems);
    let keys = Keyring {
        peer: Some(peer?),
        agent: Some(agent?),
    };
    Some(KeysSection {
        keys,
        callers: callers?,
        operators: operators?,
    })
}

fn read_key(
    section: &mut Section,
    key: &str,
    folder: &Path,
    problems: &mut Problems,
) -> Option<Key> {
    let text = require_file(section, key, folder, problems)?;
    match Key::from_text(&text) {
        Ok(key) => Some(key),
        Err(error) => {
            problems
                .0
                .push(section.problem(section.line, format_args!("{key}: {error}")));
            None
        }
    }
}

fn read_callers(
    section: &mut Section,
    key: &str,
    folder: &Path,
    problems: &mut Problems,
) -> Option<Callers> {
    let text = require_file(section, key, folder, problems)?;
    let credentials = parse_credentials(&text).map_err(|error| error.to_string());
    match credentials.and_then(Callers::from_credentials) {
        Ok(callers) => Some(callers),
        Err(error) => {
            problems
                .0
                .push(section.problem(section.line, format_args!("{key}: {error}")));
            None
        }
    }
}

fn require_file(
    section: &mut Section,
    key: &str,
    folder: &Path,
    problems: &mut Problems,
) -> Option<String> {
    if !section.has(key) {
        let what = format!("[{}] lacks the key '{key}': add it", section.header());
        problems.0.push(section.problem(section.line, what));
        return None;
    }
    settings::read_file(section, key, folder, problems)
}
