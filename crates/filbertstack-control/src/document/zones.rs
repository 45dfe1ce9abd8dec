//! This module keeps the availability zones that are evacuated.

use std::collections::BTreeSet;

/// A zone is evacuated, or its evacuation is withdrawn.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct ZoneChange {
    /// The zone.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// Whether the zone is evacuated from now on.
    #[prost(bool, tag = "2")]
    pub evacuated: bool,
    /// The state that the proposer knows. It is taken over if it is newer than that of the log, which has then
    /// lost its state with the disks of a majority.
    #[prost(message, optional, tag = "3")]
    pub known: Option<ZoneState>,
}

/// The evacuated zones, as snapshots and messages carry them.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct ZoneState {
    /// The revision, or 0 before the first change.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// The names of the zones.
    #[prost(string, repeated, tag = "2")]
    pub zones: Vec<String>,
}

/// The evacuated zones and the revision of their set.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuatedZones {
    revision: u64,
    zones: BTreeSet<String>,
}

impl EvacuatedZones {
    /// Applies the change at `index` of the log. Returns whether anything changed.
    ///
    /// The revision is the index, so that a replica that missed earlier changes under another release arrives at
    /// the revision of the others. It exceeds each revision that the proposer knows: nodes ignore a lower one.
    pub(super) fn apply(&mut self, index: u64, change: ZoneChange) -> bool {
        let known = change.known.unwrap_or_default();
        let adopted = known.revision > self.revision;
        if adopted {
            *self = known.into();
        }
        let changed = if change.evacuated {
            self.zones.insert(change.zone)
        } else {
            self.zones.remove(&change.zone)
        };
        if changed {
            self.revision = index.max(self.revision + 1);
        }
        changed || adopted
    }

    /// Returns the state as snapshots and messages carry it.
    pub fn state(&self) -> ZoneState {
        ZoneState {
            revision: self.revision,
            zones: self.zones.iter().cloned().collect(),
        }
    }
}

impl From<ZoneState> for EvacuatedZones {
    fn from(state: ZoneState) -> Self {
        Self {
            revision: state.revision,
            zones: state.zones.into_iter().collect(),
        }
    }
}
