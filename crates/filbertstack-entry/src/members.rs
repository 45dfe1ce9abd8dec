//! The targets that this entry knows from the rows of the gossip.

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

use crate::gossip::encoding::decode_announce;

/// The time for which `status` still lists a target that is gone.
const LOST_RETENTION: Duration = Duration::from_secs(600);

/// A version that a target has announced as held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldVersion {
    /// The deployment that wants it.
    pub deployment: String,
    /// The version.
    pub version: Digest,
    /// The stage that the target has reached with it.
    pub stage: Stage,
    /// The number of chunks held.
    pub chunks: u32,
    /// The last problem; empty if there was none.
    pub trouble: String,
}

/// A target in the state of its last announcement.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Its instance name.
    pub name: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The address of its agent's links.
    pub addr: SocketAddr,
    /// Its labels.
    pub labels: Labels,
    /// Its memory for weights, in bytes.
    pub memory: u64,
    /// A number that grows with each start of the agent.
    pub incarnation: u64,
    /// A number that grows with each announcement.
    pub version: u64,
    /// The versions that it holds.
    pub held: Vec<HeldVersion>,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether it is a plain service.
    pub service: bool,
    /// The number of requests that it runs at once.
    pub slots: u32,
    /// The highest fencing number it has accepted.
    pub fence: Option<Fence>,
}

impl Member {
    /// Reads an announcement. Returns `None` if it is malformed.
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
            held: announce.copies.iter().filter_map(held_version).collect(),
            leaving: announce.leaving,
            service: announce.service,
            slots: announce.slots,
            fence: announce.fence,
        })
    }

    /// Returns whether the target holds every chunk of `version`.
    pub fn holds(&self, version: Digest) -> bool {
        let complete =
            |held: &HeldVersion| held.version == version && held.stage >= Stage::Verified;
        self.held.iter().any(complete)
    }

    /// Returns the version of `deployment` from which the target serves.
    pub fn serving(&self, deployment: &str) -> Option<Digest> {
        let serving =
            |held: &&HeldVersion| held.stage == Stage::Serving && held.deployment == deployment;
        self.held.iter().find(serving).map(|held| held.version)
    }

    /// Returns whether anything but the announcement's number differs.
    fn differs(&self, other: &Self) -> bool {
        let other = Self {
            version: self.version,
            ..other.clone()
        };
        *self != other
    }
}

fn held_version(copy: &Copy) -> Option<HeldVersion> {
    Some(HeldVersion {
        deployment: copy.deployment.clone(),
        version: Digest::from_slice(&copy.digest)?,
        stage: copy.stage(),
        chunks: copy.chunks,
        trouble: copy.trouble.clone(),
    })
}

#[derive(Clone, Debug)]
struct KnownTarget {
    member: Member,
    /// The time at which the target was reported gone.
    gone_since: Option<Instant>,
}

#[derive(Debug, Default)]
struct TargetTable {
    rows: BTreeMap<InstanceName, KnownTarget>,
    /// The number of changes so far.
    changes: u64,
}

/// The targets that the gossip knows, and those that left a short time ago.
#[derive(Debug, Default)]
pub struct Members {
    table: Mutex<TargetTable>,
}

impl Members {
    /// Stores a target's row. The gossip passes on only rows that are newer than the last one.
    pub fn update(&self, row: &Row) {
        let Some(member) = decode_announce(row)
            .as_ref()
            .and_then(Member::from_announce)
        else {
            return;
        };
        let mut table = self.lock();
        let known = table.rows.get(&member.name);
        let changed = known.is_none_or(|known| {
            known.member.differs(&member) || known.gone_since.is_some() != row.is_gone()
        });
        let gone_since = row.is_gone().then(Instant::now);
        table.changes += u64::from(changed);
        let known = KnownTarget { member, gone_since };
        table.rows.insert(row.name.clone(), known);
    }

    /// Removes a target that the gossip no longer knows.
    pub fn remove(&self, name: &InstanceName) {
        let mut table = self.lock();
        let known = table.rows.remove(name);
        table.changes += u64::from(known.is_some());
    }

    /// Returns the live targets, including those that are leaving.
    pub fn live(&self) -> Vec<Member> {
        let table = self.lock();
        let live = table
            .rows
            .values()
            .filter(|known| known.gone_since.is_none());
        live.map(|known| known.member.clone()).collect()
    }

    /// Returns the live target of this name.
    pub fn get(&self, name: &str) -> Option<Member> {
        let table = self.lock();
        let known = table
            .rows
            .get(name)
            .filter(|known| known.gone_since.is_none())?;
        Some(known.member.clone())
    }

    /// Returns the targets that are gone and still listed.
    pub fn lost(&self) -> Vec<Member> {
        let table = self.lock();
        let lost = table
            .rows
            .values()
            .filter(|known| known.gone_since.is_some());
        lost.map(|known| known.member.clone()).collect()
    }

    /// Removes targets that have been gone for `LOST_RETENTION`, and returns the number of changes so far.
    /// Two calls return the same number if nothing changed that placement or routing depends on.
    pub fn sweep(&self) -> u64 {
        let mut table = self.lock();
        let is_expired = |since: Instant| since.elapsed() >= LOST_RETENTION;
        table
            .rows
            .retain(|_, known| !known.gone_since.is_some_and(is_expired));
        table.changes
    }

    fn lock(&self) -> MutexGuard<'_, TargetTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
