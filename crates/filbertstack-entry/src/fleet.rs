//! The fleet as placement sees it, made from announcements and the register.
//!
//! An engine holds one version at a time: agents load the next once nothing runs on the last.

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
use filbertstack_wire::messages::Stage as Reported;

use crate::members::Held;
use crate::members::Member;

/// Where the watch's clock begins, so that moments before its start can be named.
pub const CLOCK_START: Millis = Millis::secs(3600);

#[derive(Clone, Debug)]
struct Seen {
    health: Health,
    holds: BTreeMap<Digest, VersionState>,
}

/// Remembers since when each instance has been as it is.
#[derive(Clone, Debug, Default)]
pub struct Watcher {
    seen: BTreeMap<InstanceName, Seen>,
}

impl Watcher {
    /// The fleet at `now`. An instance that is registered and not heard counts as away since it
    /// was first missed, so that a new leader, which has heard nobody yet, moves nothing.
    pub fn observe(
        &mut self,
        now: Millis,
        live: &[Member],
        register: &Register,
        chunks: impl Fn(&Digest) -> u32,
    ) -> Fleet {
        let mut fleet = Fleet::new();
        for member in live.iter().filter(|member| !member.service) {
            let seen = self.heard(now, member, &chunks);
            let mut placed = Placed::new(member.labels.clone(), member.memory, seen.health);
            placed.versions.clone_from(&seen.holds);
            placed.single_version = true;
            fleet.insert(member.name.clone(), placed);
        }
        for (name, facts) in register.iter().filter(|(_, facts)| facts.memory > 0) {
            if fleet.contains_key(name) {
                continue;
            }
            let health = self.missed(now, name);
            let placed = Placed::new(facts.labels.clone(), facts.memory, health);
            fleet.insert(name.clone(), placed);
        }
        self.seen.retain(|name, _| fleet.contains_key(name));
        fleet
    }

    fn heard(&mut self, now: Millis, member: &Member, chunks: &impl Fn(&Digest) -> u32) -> &Seen {
        let seen = self
            .seen
            .entry(member.name.clone())
            .or_insert_with(|| Seen {
                // One that was never seen away is no flapping instance: it may get work at once.
                health: Health::Up(now - PLACEMENT_UPTIME),
                holds: BTreeMap::new(),
            });
        seen.health = match seen.health {
            _ if member.leaving => Health::Leaving,
            Health::Up(since) => Health::Up(since),
            Health::Unreachable(_) | Health::Leaving => Health::Up(now),
        };
        let before = std::mem::take(&mut seen.holds);
        for held in &member.held {
            let Some(stage) = stage(held, chunks(&held.version)) else {
                continue;
            };
            let same = before.get(&held.version).filter(|old| old.stage == stage);
            let since = same.map_or(now, |old| old.since);
            seen.holds.insert(
                held.version,
                VersionState {
                    stage,
                    since,
                    memory: member.memory,
                },
            );
        }
        seen
    }

    fn missed(&mut self, now: Millis, name: &InstanceName) -> Health {
        let away = Seen {
            health: Health::Unreachable(now),
            holds: BTreeMap::new(),
        };
        let seen = self.seen.entry(name.clone()).or_insert(away);
        if !matches!(seen.health, Health::Unreachable(_)) {
            seen.health = Health::Unreachable(now);
        }
        seen.holds.clear();
        seen.health
    }
}

fn stage(held: &Held, chunks: u32) -> Option<Stage> {
    let percent = held.chunks.saturating_mul(100) / chunks.max(1);
    Some(match held.stage {
        Reported::Absent => return None,
        Reported::Fetching => Stage::Fetched(u8::try_from(percent.min(99)).unwrap_or(99)),
        Reported::Verified => Stage::Fetched(100),
        Reported::Loading => Stage::Loading,
        Reported::Serving => Stage::Serving,
        Reported::Draining => Stage::Draining,
        Reported::Failed => Stage::Failed,
    })
}
