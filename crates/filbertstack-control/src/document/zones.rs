//! This module keeps the availability zones that are evacuated.

use std::collections::BTreeMap;

use super::Effect;

/// The number of zones that are not evacuated and whose last change is remembered. A call that took effect late
/// is compared with that change. No deployment has as many zones.
const KEPT_READMITTED: usize = 64;

/// A zone is evacuated, or its evacuation is withdrawn.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct ZoneChange {
    /// The zone.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// Whether the zone is evacuated from now on.
    #[prost(bool, tag = "2")]
    pub evacuated: bool,
    /// The state that the proposer knew when the call arrived.
    #[prost(message, optional, tag = "3")]
    pub known: Option<ZoneState>,
}

/// All zones that were ever evacuated, as snapshots and messages carry them.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct ZoneState {
    /// The revision, or 0 before the first change.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// The zones.
    #[prost(message, repeated, tag = "2")]
    pub zones: Vec<ZoneRow>,
}

impl ZoneState {
    /// Returns the names of the evacuated zones.
    pub fn evacuated(&self) -> impl Iterator<Item = &str> {
        let evacuated = self.zones.iter().filter(|row| row.evacuated);
        evacuated.map(|row| row.zone.as_str())
    }
}

/// A zone that is evacuated or was readmitted.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct ZoneRow {
    /// The zone.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// Whether it is evacuated.
    #[prost(bool, tag = "2")]
    pub evacuated: bool,
    /// The revision of its last change.
    #[prost(uint64, tag = "3")]
    pub changed: u64,
}

/// The evacuated zones and the revision of their set.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuatedZones {
    revision: u64,
    zones: BTreeMap<String, Zone>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Zone {
    evacuated: bool,
    changed: u64,
}

impl EvacuatedZones {
    /// Applies the change at `index` of the log.
    ///
    /// The revision is the index, so that a replica that missed earlier changes under another release arrives at
    /// the revision of the others. It exceeds each revision that the proposer knows, because nodes ignore a lower
    /// one. If the proposer knows a higher one than the log, the log lost its state with the disks of a majority,
    /// and takes over that of the proposer.
    ///
    /// A change whose proposer did not know the zone's last change may be a late copy of a call that was repeated
    /// meanwhile. It would undo what was acknowledged since.
    pub(super) fn apply(&mut self, index: u64, change: ZoneChange) -> Effect {
        let known = change.known.unwrap_or_default();
        let known_revision = known.revision;
        let adopted = known_revision > self.revision;
        if adopted {
            *self = known.into();
        }
        let held = self.zones.get(&change.zone).copied().unwrap_or_default();
        if held.evacuated == change.evacuated {
            return if adopted {
                Effect::InForce
            } else {
                Effect::Superseded
            };
        }
        if held.changed > known_revision {
            return Effect::Outdated;
        }
        self.revision = index.max(self.revision + 1);
        let zone = Zone {
            evacuated: change.evacuated,
            changed: self.revision,
        };
        self.zones.insert(change.zone, zone);
        self.forget_readmitted();
        Effect::InForce
    }

    /// Forgets the zones that were readmitted the longest ago, beyond the number that is kept.
    fn forget_readmitted(&mut self) {
        let readmitted = self.zones.values().filter(|zone| !zone.evacuated);
        let mut changes: Vec<u64> = readmitted.map(|zone| zone.changed).collect();
        changes.sort_unstable_by(|a, b| b.cmp(a));
        if let Some(latest) = changes.get(KEPT_READMITTED) {
            self.zones
                .retain(|_, zone| zone.evacuated || zone.changed > *latest);
        }
    }

    /// Returns the state as snapshots and messages carry it.
    pub fn state(&self) -> ZoneState {
        let zones = self.zones.iter().map(|(name, zone)| ZoneRow {
            zone: name.clone(),
            evacuated: zone.evacuated,
            changed: zone.changed,
        });
        ZoneState {
            revision: self.revision,
            zones: zones.collect(),
        }
    }
}

impl From<ZoneState> for EvacuatedZones {
    fn from(state: ZoneState) -> Self {
        let zones = state.zones.into_iter().map(|row| {
            let zone = Zone {
                evacuated: row.evacuated,
                changed: row.changed,
            };
            (row.zone, zone)
        });
        Self {
            revision: state.revision,
            zones: zones.collect(),
        }
    }
}
