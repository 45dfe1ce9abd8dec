//! Settings of a process for small instances: the sections `[node]`, `[listen]`, `[target]`, `[bounds]`,
//! `[limits]`, `[regions]` and `[features]` of an INI file.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use filbertstack_core::ini::Document;
use filbertstack_core::ini::Problems;
use filbertstack_core::ini::Section;
use filbertstack_core::settings::SettingsError;
use filbertstack_core::settings::parse_addr;
use filbertstack_core::settings::parse_addrs;
use filbertstack_core::settings::read_document;
use filbertstack_core::settings::require_section;
use filbertstack_policy::connections::Shares;
use rustix::process::Resource;
use rustix::process::getrlimit;

/// The memory of a process whose settings name none, in bytes.
const DEFAULT_MEMORY: usize = 256 * MEGABYTE;

/// The descriptors of a process where the system sets no limit.
const DEFAULT_DESCRIPTORS: usize = 4_096;

/// How many of the descriptors of an instance the system keeps for files.
const SYSTEM_DESCRIPTORS: usize = 200;

const MEGABYTE: usize = 1_000_000;

/// All settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The identity and location of the process.
    pub node: Node,
    /// The addresses that it serves.
    pub listen: Listen,
    /// The engine beside it, if it is an agent.
    pub target: Target,
    /// The limits that the operator guarantees.
    pub bounds: Bounds,
    /// What the process may use of its instance.
    pub limits: Limits,
    /// The region of each availability zone.
    pub regions: BTreeMap<Arc<str>, Arc<str>>,
    /// What the operator has switched on.
    pub features: Features,
}

/// Parts of the system that an operator switches on. Names that this release does not know are ignored.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Features(BTreeSet<String>);

impl Features {
    /// Returns whether the operator has switched `name` on.
    pub fn has(&self, name: &str) -> bool {
        self.0.contains(name)
    }
}

/// The identity and location of a process.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Its address for links to other processes of the system.
    pub link: SocketAddr,
    /// The addresses for links of nodes that may know the group of voters.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time, so that a group of voters may be created.
    pub first_start: bool,
    /// The directory for durable state. An entry that has one is a voter.
    pub data: Option<PathBuf>,
}

/// The addresses that a process serves. Each may be absent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listen {
    /// The address for callers' requests.
    pub front: Option<SocketAddr>,
    /// The address for readiness checks.
    pub ready: Option<SocketAddr>,
    /// The address for operators and for heartbeats of targets.
    pub control: Option<SocketAddr>,
    /// The address where callers look up the entries.
    pub directory: Option<SocketAddr>,
    /// The address for the metrics of the process.
    pub metrics: Option<SocketAddr>,
}

/// The engine that an agent runs beside.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Target {
    /// The engine's address.
    pub engine: Option<SocketAddr>,
    /// The service that the engine belongs to.
    pub service: String,
}

/// The limits that the operator guarantees to callers and the platform.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The time from SIGTERM to the end of the process.
    pub grace: Duration,
    /// How long callers may keep the addresses of entries that they looked up.
    pub keep: Duration,
    /// The time from the acknowledgement of a version of the weights to the last request that an older
    /// one serves.
    pub rollout: Duration,
    /// How many repeated sends the entries may make for each request.
    pub repeat_ratio: f64,
    /// How many repeated sends all entries together may make beside those.
    pub repeat_allowance: f64,
    /// The factor by which all entries together may exceed the rate of a cold target within one second.
    pub cold_factor: f64,
    /// How many requests all entries together may send to a cold target within one second beside those.
    pub cold_allowance: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            grace: Duration::from_secs(8),
            keep: Duration::from_secs(5),
            rollout: Duration::from_secs(8),
            repeat_ratio: 0.2,
            repeat_allowance: 50.0,
            cold_factor: 1.0,
            cold_allowance: 1.0,
        }
    }
}

/// What a process may use of its instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Its memory, in bytes.
    pub memory: usize,
    /// How many descriptors it may have open.
    pub descriptors: usize,
}

impl Default for Limits {
    /// Returns the memory of a small instance, and the limit of descriptors that the system sets.
    fn default() -> Self {
        let system = getrlimit(Resource::Nofile).current;
        let system = system.and_then(|limit| usize::try_from(limit).ok());
        Self {
            memory: DEFAULT_MEMORY,
            descriptors: system.unwrap_or(DEFAULT_DESCRIPTORS),
        }
    }
}

impl Limits {
    /// Returns how much memory all listeners together may keep of what they receive, in bytes. The rest is for the
    /// process itself, weights, and the buffers of connections.
    const fn room(&self) -> usize {
        self.memory / 8 * 3
    }

    /// Returns the room for bodies of callers.
    pub const fn callers_room(&self) -> usize {
        self.room() / 8 * 5
    }

    /// Returns the room for calls of operators and targets.
    pub const fn control_room(&self) -> usize {
        self.room() / 8
    }

    /// Returns the room for frames on links.
    pub const fn links_room(&self) -> usize {
        self.room() / 4
    }

    /// Returns the most connections of each listener.
    pub fn shares(&self) -> Shares {
        Shares::new(self.descriptors, self.memory)
    }
}

impl Settings {
    /// Returns the region of an availability zone, if it is known.
    pub fn region(&self, zone: &str) -> Option<&Arc<str>> {
        self.regions.get(zone)
    }

    /// Reads the settings file at `path`.
    ///
    /// # Errors
    /// [`SettingsError`] with every faulty line.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        Ok(Self::parse(read_document(path)?)?)
    }

    /// Reads the settings from a parsed file.
    ///
    /// # Errors
    /// [`Problems`] with all faults of the file.
    pub fn parse(mut document: Document) -> Result<Self, Problems> {
        let mut problems = Problems::default();
        let node = require_section(&mut document, "node", &mut problems);
        let node = node.and_then(|s| read_node(s, &mut problems));
        let listen = document.take("listen");
        let listen = listen.map(|s| read_listen(s, &mut problems));
        let target = document.take("target").map(|mut section| {
            let engine = optional(&mut section, "engine", &mut problems);
            let service: Option<String> = optional(&mut section, "service", &mut problems);
            section.finish(&mut problems);
            Target {
                engine,
                service: service.unwrap_or_default(),
            }
        });
        let bounds = document.take("bounds");
        let bounds = bounds.map(|s| read_bounds(s, &mut problems));
        let limits = document.take("limits");
        let limits = limits.map(|s| read_limits(s, &mut problems));
        let regions = document.take("regions").map(read_regions);
        let features = document.take("features");
        let features = features.map(|s| read_features(s, &mut problems));
        document.finish(&mut problems);
        let Some(node) = node else {
            return Err(problems);
        };
        problems.into_result(Self {
            node,
            listen: listen.unwrap_or_default(),
            target: target.unwrap_or_default(),
            bounds: bounds.unwrap_or_default(),
            limits: limits.unwrap_or_default(),
            regions: regions.unwrap_or_default(),
            features: features.unwrap_or_default(),
        })
    }
}

fn read_node(mut section: Section, problems: &mut Problems) -> Option<Node> {
    let name = section.require::<String, _>("name", problems);
    let zone = section.require::<String, _>("zone", problems);
    let link: Option<SocketAddr> = section.require_with("link", problems, parse_addr);
    let seeds = section.read_with("seeds", problems, parse_addrs);
    let first_start: Option<bool> = optional(&mut section, "first-start", problems);
    let data: Option<PathBuf> = optional(&mut section, "data", problems);
    section.finish(problems);
    let link = link?;
    let seeds = seeds.unwrap_or_default();
    Some(Node {
        name: name?,
        zone: zone?,
        link,
        // The setting names the seeds by their addresses for operators. Links use the same port on
        // every node.
        seeds: seeds
            .iter()
            .map(|seed| SocketAddr::new(seed.ip(), link.port()))
            .collect(),
        first_start: first_start.unwrap_or(false),
        data,
    })
}

fn read_listen(mut section: Section, problems: &mut Problems) -> Listen {
    let listen = Listen {
        front: optional(&mut section, "front", problems),
        ready: optional(&mut section, "ready", problems),
        control: optional(&mut section, "control", problems),
        directory: optional(&mut section, "directory", problems),
        metrics: optional(&mut section, "metrics", problems),
    };
    section.finish(problems);
    listen
}

fn read_bounds(mut section: Section, problems: &mut Problems) -> Bounds {
    let defaults = Bounds::default();
    let mut seconds = |key: &str, unit_seconds: f64, default: Duration| {
        let value: Option<f64> = optional(&mut section, key, problems);
        let span = value.and_then(|v| Duration::try_from_secs_f64(v * unit_seconds).ok());
        span.unwrap_or(default)
    };
    let grace = seconds("grace-s", 1.0, defaults.grace);
    let keep = seconds("keep-s", 1.0, defaults.keep);
    let rollout = seconds("rollout-ms", 0.001, defaults.rollout);
    let bounds = Bounds {
        grace,
        keep,
        rollout,
        repeat_ratio: optional(&mut section, "repeat-ratio", problems)
            .unwrap_or(defaults.repeat_ratio),
        repeat_allowance: optional(&mut section, "repeat-allowance", problems)
            .unwrap_or(defaults.repeat_allowance),
        cold_factor: optional(&mut section, "cold-factor", problems)
            .unwrap_or(defaults.cold_factor),
        cold_allowance: optional(&mut section, "cold-allowance", problems)
            .unwrap_or(defaults.cold_allowance),
    };
    section.finish(problems);
    bounds
}

fn read_limits(mut section: Section, problems: &mut Problems) -> Limits {
    let defaults = Limits::default();
    let memory: Option<usize> = optional(&mut section, "memory-mb", problems);
    let descriptors: Option<usize> = optional(&mut section, "descriptors", problems);
    section.finish(problems);
    let reserved = |limit: usize| {
        limit
            .saturating_sub(SYSTEM_DESCRIPTORS)
            .min(defaults.descriptors)
    };
    Limits {
        memory: memory.map_or(defaults.memory, |mb| mb.saturating_mul(MEGABYTE)),
        descriptors: descriptors.map_or(defaults.descriptors, reserved),
    }
}

/// Reads the region of each availability zone. A zone with an empty value is in no region.
fn read_regions(mut section: Section) -> BTreeMap<Arc<str>, Arc<str>> {
    let zones = section.take_all().into_iter();
    zones
        .map(|(zone, region)| (zone.into(), region.trim().into()))
        .filter(|(_, region): &(_, Arc<str>)| !region.is_empty())
        .collect()
}

fn read_features(mut section: Section, problems: &mut Problems) -> Features {
    let enabled: Option<String> = optional(&mut section, "enabled", problems);
    section.finish(problems);
    let names = enabled.unwrap_or_default();
    let names = names.split(',').map(str::trim);
    Features(names.filter(|n| !n.is_empty()).map(str::to_owned).collect())
}

/// Reads a key that may be absent or empty. Templates write an empty value where there is none.
fn optional<T>(section: &mut Section, key: &str, problems: &mut Problems) -> Option<T>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    let (text, line) = section.take(key)?;
    if text.trim().is_empty() {
        return None;
    }
    match text.trim().parse() {
        Ok(value) => Some(value),
        Err(error) => {
            let what = format!("{key}: {error}; correct the value or remove the line");
            problems.0.push(section.problem(line, what));
            None
        }
    }
}
