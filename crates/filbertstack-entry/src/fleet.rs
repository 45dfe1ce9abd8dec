//! The fleet in the form that placement reads, derived from announcements and the register.
//!
//! An engine holds one version at a time: an agent loads the next version once no request runs on the last.

use std::collections::BTreeMap;

use filbertstack_control::register::Register;
use filbertstack_core::Digest;
use filbertstack_core::Millis;
use filbertstack_core::names::InstanceName;
use filbertstack_policy::placement::Fleet;
use filbertstack_policy::placement::Health;
use filbertstack_policy::placement::Member as Placed;
use filbertstack_policy::placement::PLACEMENT_UPTIME;
use filbertstack_policy::placement::Stage;
use filbertstack_policy::placement::VersionState;
use filbertstack_wire::messages::Stage as ReportedStage;

use crate::members::HeldVersion;
use crate::members::Member;

/// The time at which the tracker's clock starts. It is above zero so that earlier times can be expressed.
pub const CLOCK_START: Millis = Millis::secs(3600);

/// The last observed state of an instance.
#[derive(Clone, Debug)]
struct Observation {
    health: Health,
    holds: BTreeMap<Digest, VersionState>,
}

/// Tracks since when each instance has been in its current state.
#[derive(Clone, Debug, Default)]
pub struct FleetTracker {
    observations: BTreeMap<InstanceName, Observation>,
}

impl FleetTracker {
    /// Returns the fleet at `now`. A registered instance without an announcement counts as away since the
    /// first observation that lacked it. So a new leader, which has no announcements yet, moves nothing.
    pub fn observe(
        &mut self,
        now: Millis,
        live: &[Member],
        register: &Register,
        chunks: impl Fn(&Digest) -> u32,
    ) -> Fleet {
        let mut fleet = Fleet::new();
        for member in live.iter().filter(|member| !member.service) {
            let observation = self.observe_live(now, member, &chunks);
            let mut placed = Placed::new(member.labels.clone(), member.memory, observation.health);
            placed.versions.clone_from(&observation.holds);
            placed.single_version = true;
            fleet.insert(member.name.clone(), placed);
        }
        for (name, facts) in register.iter().filter(|(_, facts)| facts.memory > 0) {
            if fleet.contains_key(name) {
                continue;
            }
            let health = self.observe_missing(now, name);
            let placed = Placed::new(facts.labels.clone(), facts.memory, health);
            fleet.insert(name.clone(), placed);
        }
        self.observations.retain(|name, _| fleet.contains_key(name));
        fleet
    }

    fn observe_live(
        &mut self,
        now: Millis,
        member: &Member,
        chunks: &impl Fn(&Digest) -> u32,
    ) -> &Observation {
        let observation = self
            .observations
            .entry(member.name.clone())
            .or_insert_with(|| Observation {
                // An instance that was never away does not flap, so it may get work at once.
                health: Health::Up(now - PLACEMENT_UPTIME),
                holds: BTreeMap::new(),
            });
        observation.health = match observation.health {
            _ if member.leaving => Health::Leaving,
            Health::Up(since) => Health::Up(since),
            Health::Unreachable(_) | Health::Leaving => Health::Up(now),
        };
        let previous = std::mem::take(&mut observation.holds);
        for held in &member.held {
            let Some(stage) = placement_stage(held, chunks(&held.version)) else {
                continue;
            };
            let unchanged = previous.get(&held.version).filter(|old| old.stage == stage);
            let since = unchanged.map_or(now, |old| old.since);
            observation.holds.insert(
                held.version,
                VersionState {
                    stage,
                    since,
                    memory: member.memory,
                },
            );
        }
        observation
    }

    fn observe_missing(&mut self, now: Millis, name: &InstanceName) -> Health {
        let away = Observation {
            health: Health::Unreachable(now),
            holds: BTreeMap::new(),
        };
        let observation = self.observations.entry(name.clone()).or_insert(away);
        if !matches!(observation.health, Health::Unreachable(_)) {
            observation.health = Health::Unreachable(now);
        }
        observation.holds.clear();
        observation.health
    }
}

fn placement_stage(held: &HeldVersion, chunks: u32) -> Option<Stage> {
    let percent = held.chunks.saturating_mul(100) / chunks.max(1);
    Some(match held.stage {
        ReportedStage::Absent => return None,
        ReportedStage::Fetching => Stage::Fetched(u8::try_from(percent.min(99)).unwrap_or(99)),
        ReportedStage::Verified => Stage::Fetched(100),
        ReportedStage::Loading => Stage::Loading,
        ReportedStage::Serving => Stage::Serving,
        ReportedStage::Draining => Stage::Draining,
        ReportedStage::Failed => Stage::Failed,
    })
}
