//! The evacuated zones as one node knows them.
//!
//! A node may come to follow a voter that lags behind the one that it followed before. A state with a lower
//! revision than the known one is therefore ignored; it would send requests to a zone whose evacuation was
//! acknowledged.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use filbertstack_control::document::ZoneState;
use filbertstack_core::Millis;
use spdlog::info;

use crate::link::messages::WithdrawnZone;

/// How long the end of an evacuation is remembered: longer than any target stays cold after its zone returned.
const KEPT_WITHDRAWN: Millis = Millis::secs(600);

/// The evacuated zones, and those whose evacuation was withdrawn lately.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// The newest state that arrived.
    state: ZoneState,
    zones: BTreeSet<Arc<str>>,
    /// When this node learned that the evacuation was withdrawn.
    withdrawn: BTreeMap<Arc<str>, Millis>,
}

impl Evacuations {
    /// Takes over `state` unless its revision is known. `withdrawn` are the zones that the sender knows to be
    /// withdrawn lately. Returns whether the state is newer.
    pub fn update(&mut self, now: Millis, state: &ZoneState, withdrawn: &[WithdrawnZone]) -> bool {
        if state.revision <= self.state.revision {
            return false;
        }
        let newer: BTreeSet<Arc<str>> = state.evacuated().map(Arc::from).collect();
        self.withdrawn
            .retain(|zone, at| !newer.contains(zone) && now.since(*at) < KEPT_WITHDRAWN);
        for told in withdrawn.iter().filter(|w| !newer.contains(&*w.zone)) {
            let at = Millis(now.0.saturating_sub(told.age_ms));
            let known = self
                .withdrawn
                .entry(told.zone.as_str().into())
                .or_insert(at);
            *known = at.max(*known);
        }
        for zone in self.zones.difference(&newer) {
            info!("evacuation withdrawn", kv: {
                zone = zone.to_string(), revision = state.revision
            });
            self.withdrawn.insert(zone.clone(), now);
        }
        for zone in newer.difference(&self.zones) {
            info!("zone evacuated", kv: { zone = zone.to_string(), revision = state.revision });
        }
        self.zones = newer;
        self.state = state.clone();
        true
    }

    /// Returns whether a zone is evacuated.
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.contains(zone)
    }

    /// Returns the number of evacuated zones.
    pub fn count(&self) -> usize {
        self.zones.len()
    }

    /// Returns when this node learned that the evacuation of a zone was withdrawn. `None` if the zone is evacuated,
    /// or was not evacuated lately as far as this node knows.
    pub fn withdrawn_at(&self, zone: &str) -> Option<Millis> {
        self.withdrawn.get(zone).copied()
    }

    /// Returns the state as messages and proposals carry it.
    pub fn state(&self) -> &ZoneState {
        &self.state
    }

    /// Returns the zones whose evacuation was withdrawn lately, as messages carry them.
    pub fn withdrawn(&self, now: Millis) -> Vec<WithdrawnZone> {
        let lately = self.withdrawn.iter().map(|(zone, at)| WithdrawnZone {
            zone: zone.to_string(),
            age_ms: now.since(*at).0,
        });
        lately.filter(|w| w.age_ms < KEPT_WITHDRAWN.0).collect()
    }
}
