//! The targets, as the gossip's rows tell of them.

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
use filbertstack_policy::gossip::Row;
use filbertstack_wire::messages::Announce;
use filbertstack_wire::messages::Copy;
use filbertstack_wire::messages::Fence;
use filbertstack_wire::messages::Stage;

use crate::gossip::encoding::announced;

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
    pub fn from_announce(announce: &Announce) -> Option<Self> {
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
struct Known {
    member: Member,
    /// Since when it is gone.
    gone: Option<Instant>,
}

#[derive(Debug, Default)]
struct Table {
    rows: BTreeMap<InstanceName, Known>,
    changes: u64,
}

/// The targets that some entry heard of.
#[derive(Debug, Default)]
pub struct Members {
    table: Mutex<Table>,
}

impl Members {
    /// Takes a target's row, which is newer than any before.
    pub fn take(&self, row: &Row) {
        let Some(member) = announced(row).as_ref().and_then(Member::from_announce) else {
            return;
        };
        let mut table = self.lock();
        let known = table.rows.get(&member.name);
        let news = known.is_none_or(|known| {
            known.member.differs(&member) || known.gone.is_some() != row.is_gone()
        });
        let gone = row.is_gone().then(Instant::now);
        table.changes += u64::from(news);
        let known = Known { member, gone };
        table.rows.insert(row.name.clone(), known);
    }

    /// Drops a target that the gossip no longer knows.
    pub fn forget(&self, name: &InstanceName) {
        let mut table = self.lock();
        let known = table.rows.remove(name);
        table.changes += u64::from(known.is_some());
    }

    /// The targets that are there, those that leave among them.
    pub fn live(&self) -> Vec<Member> {
        let table = self.lock();
        let live = table.rows.values().filter(|known| known.gone.is_none());
        live.map(|known| known.member.clone()).collect()
    }

    /// The target of this name, if it is there.
    pub fn get(&self, name: &str) -> Option<Member> {
        let table = self.lock();
        let known = table.rows.get(name).filter(|known| known.gone.is_none())?;
        Some(known.member.clone())
    }

    /// The targets that are gone, not yet forgotten.
    pub fn lost(&self) -> Vec<Member> {
        let table = self.lock();
        let lost = table.rows.values().filter(|known| known.gone.is_some());
        lost.map(|known| known.member.clone()).collect()
    }

    /// Forgets what is long gone, and returns a number that changes with what decisions rest on.
    pub fn sweep(&self) -> u64 {
        let mut table = self.lock();
        let is_old = |gone: Instant| gone.elapsed() >= REMEMBERED;
        table
            .rows
            .retain(|_, known| !known.gone.is_some_and(is_old));
        table.changes
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
