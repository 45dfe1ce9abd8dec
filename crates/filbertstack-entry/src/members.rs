//! The targets that announced themselves, each under a lease.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use filbertstack_core::Digest;
use filbertstack_core::Labels;
use filbertstack_core::names::InstanceName;
use filbertstack_core::names::ZoneName;
use filbertstack_wire::messages::Announce;
use filbertstack_wire::messages::Copy;
use filbertstack_wire::messages::Fence;
use filbertstack_wire::messages::Stage;

/// How long an announcement holds: three may be lost before the target is taken for gone.
pub const LEASE: Duration = Duration::from_secs(4);

/// How long a target that is gone stays in `status`.
const REMEMBERED: Duration = Duration::from_secs(600);

/// A version on a target, as announced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// The deployment that wants it.
    pub deployment: String,
    /// The version.
    pub version: Digest,
    /// How far it is.
    pub stage: Stage,
    /// Chunks held.
    pub chunks: u32,
    /// What last went wrong; empty if nothing did.
    pub trouble: String,
}

/// A target as it last announced itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Its instance name.
    pub name: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where links to its agent lead.
    pub addr: SocketAddr,
    /// Its labels.
    pub labels: Labels,
    /// Its memory for weights, in bytes.
    pub memory: u64,
    /// Grows with each start of the agent.
    pub incarnation: u64,
    /// Grows with each announcement.
    pub version: u64,
    /// What it holds.
    pub held: Vec<Held>,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether it is a plain service.
    pub service: bool,
    /// How many requests it runs at once.
    pub slots: u32,
    /// The highest fencing number it has accepted.
    pub fence: Option<Fence>,
}

impl Member {
    /// Reads an announcement; `None` if it does not read.
    pub fn of(announce: &Announce) -> Option<Self> {
        let labels: Labels = announce.labels.parse().ok()?;
        let zone = labels.get("zone")?.parse().ok()?;
        Some(Self {
            name: announce.name.parse().ok()?,
            zone,
            addr: announce.addr.parse().ok()?,
            labels,
            memory: announce.memory,
            incarnation: announce.incarnation,
            version: announce.version,
            held: announce.copies.iter().filter_map(held).collect(),
            leaving: announce.leaving,
            service: announce.service,
            slots: announce.slots,
            fence: announce.fence,
        })
    }

    /// Whether it holds every chunk of `version`.
    pub fn holds(&self, version: Digest) -> bool {
        let whole = |held: &Held| held.version == version && held.stage >= Stage::Verified;
        self.held.iter().any(whole)
    }

    /// The version of `deployment` that it answers from now.
    pub fn serving(&self, deployment: &str) -> Option<Digest> {
        let serving = |held: &&Held| held.stage == Stage::Serving && held.deployment == deployment;
        self.held.iter().find(serving).map(|held| held.version)
    }

    fn order(&self) -> (u64, u64) {
        (self.incarnation, self.version)
    }

    /// Whether what decisions rest on differs, the announcement's number aside.
    fn differs(&self, other: &Self) -> bool {
        let other = Self {
            version: self.version,
            ..other.clone()
        };
        *self != other
    }
}

fn held(copy: &Copy) -> Option<Held> {
    Some(Held {
        deployment: copy.deployment.clone(),
        version: Digest::from_slice(&copy.digest)?,
        stage: copy.stage(),
        chunks: copy.chunks,
        trouble: copy.trouble.clone(),
    })
}

#[derive(Clone, Debug)]
struct Row {
    member: Member,
    heard: Instant,
}

#[derive(Debug, Default)]
struct Rows {
    rows: BTreeMap<InstanceName, Row>,
    changes: u64,
}

/// The targets that announced themselves.
#[derive(Debug, Default)]
pub struct Members {
    rows: Mutex<Rows>,
}

impl Members {
    /// Takes an announcement; false if it is older than what is known.
    ///
    /// An old row that comes late, after a restart or a leave, would bring back a target that is
    /// gone; its incarnation and version are lower, so it is dropped.
    pub fn announce(&self, member: Member) -> bool {
        let mut rows = self.lock();
        let known = rows.rows.get(&member.name);
        if known.is_some_and(|row| row.member.order() > member.order()) {
            return false;
        }
        let news = known.is_none_or(|row| row.member.differs(&member) || is_over(row));
        rows.changes += u64::from(news);
        let row = Row {
            heard: Instant::now(),
            member,
        };
        rows.rows.insert(row.member.name.clone(), row);
        true
    }

    /// The targets whose lease holds.
    pub fn live(&self) -> Vec<Member> {
        let rows = self.lock();
        let live = rows.rows.values().filter(|row| !is_over(row));
        live.map(|row| row.member.clone()).collect()
    }

    /// The target of this name, if its lease holds.
    pub fn get(&self, name: &str) -> Option<Member> {
        let rows = self.lock();
        let row = rows.rows.get(name).filter(|row| !is_over(row))?;
        Some(row.member.clone())
    }

    /// The targets whose lease is over, not yet forgotten.
    pub fn lost(&self) -> Vec<Member> {
        let rows = self.lock();
        let lost = rows.rows.values().filter(|row| is_over(row));
        lost.map(|row| row.member.clone()).collect()
    }

    /// Forgets what is long gone, and returns a number that changes with what decisions rest on.
    pub fn sweep(&self) -> u64 {
        let mut rows = self.lock();
        rows.rows
            .retain(|_, row| row.heard.elapsed() < LEASE + REMEMBERED);
        let over = rows.rows.values().filter(|row| is_over(row)).count();
        rows.changes.wrapping_mul(1 << 20).wrapping_add(over as u64)
    }

    fn lock(&self) -> MutexGuard<'_, Rows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_over(row: &Row) -> bool {
    row.heard.elapsed() >= LEASE
}
