//! The upstreams of each target. The leader assigns a few per target, at a cost of O(1) each.
//!
//! The targets of a region form a ring. The upstreams of a target are the targets at fixed strides
//! before it, so it serves the targets at the same strides after it. Each target uploads as much as
//! it downloads, and only a few others send requests to an instance. The strides are powers of two
//! below the length of the ring, so that a chunk reaches the whole ring in a logarithmic number of
//! hops. If a region has several zones and traffic between zones is expensive, each zone has its
//! own ring, which is preferred to the region's ring.

mod ring;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use slotmap::SlotMap;
use slotmap::new_key_type;

use filbertstack_core::names::InstanceName;
use filbertstack_core::names::RegionName;
use filbertstack_core::names::ZoneName;

use crate::spread::pull::Proximity;
use crate::spread::pull::RingPosition;

use ring::Ring;

pub use ring::strides;

new_key_type! {
    /// The key of a target in the leader's plan.
    pub struct TargetKey;
}

/// The name and location of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The name of the target.
    pub name: InstanceName,
    /// The availability zone of the target.
    pub zone: ZoneName,
    /// The region of the target.
    pub region: RegionName,
}

/// The parameters of the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlanConfig {
    /// The number of upstreams of a target in one ring.
    pub fanout: usize,
    /// Whether each zone has its own ring, which is preferred to the region's ring.
    pub zone_first: bool,
}

impl Default for PlanConfig {
    /// Returns a fanout of 12: with twelve strides, a chunk crosses a ring of 1,000 targets in
    /// three or four hops, and an agent sends 12 announcements per chunk.
    fn default() -> Self {
        Self {
            fanout: 12,
            zone_first: false,
        }
    }
}

/// An upstream that the leader assigns to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AssignedUpstream {
    /// The upstream.
    pub target: TargetKey,
    /// The position of the upstream in its ring.
    pub position: RingPosition,
}

/// The result of adding a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Joined {
    /// The key of the new target.
    pub key: TargetKey,
    /// The other targets that need new upstreams. These are about a dozen targets that have the new
    /// one as an upstream, or all targets of a ring whose strides changed. The latter happens when
    /// the length of the ring passes a power of two.
    pub relink: Vec<TargetKey>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum RingName {
    Zone(RegionName, ZoneName),
    Region(RegionName),
}

/// The targets of one deployment and their rings.
#[derive(Debug)]
pub struct Plan {
    config: PlanConfig,
    targets: SlotMap<TargetKey, Target>,
    rings: BTreeMap<RingName, Ring>,
}

impl Plan {
    /// Creates a plan without targets.
    pub fn new(config: PlanConfig) -> Self {
        Self {
            config,
            targets: SlotMap::with_key(),
            rings: BTreeMap::new(),
        }
    }

    /// Adds a target.
    pub fn join(&mut self, target: Target) -> Joined {
        let names = self.ring_names(&target);
        let key = self.targets.insert(target);
        let mut relink = BTreeSet::new();
        for name in names {
            let ring = self.rings.entry(name).or_default();
            let before = strides(ring.len(), self.config.fanout);
            ring.join(key);
            if strides(ring.len(), self.config.fanout) != before {
                relink.extend(ring.members());
            }
        }
        relink.extend(self.downstreams(key));
        relink.remove(&key);
        let relink = relink.into_iter().collect();
        Joined { key, relink }
    }

    /// Removes a target. Returns the targets that had it as an upstream and need new ones.
    pub fn leave(&mut self, key: TargetKey) -> Vec<TargetKey> {
        let orphans = self.downstreams(key);
        if let Some(target) = self.targets.remove(key) {
            for name in self.ring_names(&target) {
                self.rings.entry(name).or_default().leave(key);
            }
        }
        orphans
    }

    fn ring_names(&self, target: &Target) -> Vec<RingName> {
        let region = RingName::Region(target.region.clone());
        let zone = RingName::Zone(target.region.clone(), target.zone.clone());
        if self.config.zone_first {
            vec![zone, region]
        } else {
            vec![region]
        }
    }

    /// Returns the target with a key.
    pub fn target(&self, key: TargetKey) -> Option<&Target> {
        self.targets.get(key)
    }

    /// Returns the upstreams of a target, the nearest first.
    pub fn upstreams(&self, key: TargetKey) -> Vec<AssignedUpstream> {
        let mut seen = BTreeSet::new();
        let mut links = self.links(key, Ring::before);
        links.retain(|link| seen.insert(link.target));
        links
    }

    /// Returns the targets that have `key` as an upstream.
    pub fn downstreams(&self, key: TargetKey) -> Vec<TargetKey> {
        let links = self.links(key, Ring::after);
        let unique: BTreeSet<_> = links.into_iter().map(|link| link.target).collect();
        let is_upstream = |of: &TargetKey| self.upstreams(*of).iter().any(|l| l.target == key);
        unique.into_iter().filter(is_upstream).collect()
    }

    fn links(
        &self,
        key: TargetKey,
        side: fn(&Ring, TargetKey, usize) -> Vec<RingLink>,
    ) -> Vec<AssignedUpstream> {
        let Some(target) = self.targets.get(key) else {
            return Vec::new();
        };
        let names = self.ring_names(target).into_iter();
        let rings = names.filter_map(|name| Some((proximity(&name), self.rings.get(&name)?)));
        let assigned = rings.flat_map(|(proximity, ring)| {
            let ring_links = side(ring, key, self.config.fanout).into_iter();
            ring_links.map(move |link| link.assign(proximity))
        });
        assigned.collect()
    }
}

fn proximity(name: &RingName) -> Proximity {
    match name {
        RingName::Zone(..) => Proximity::Zone,
        RingName::Region(_) => Proximity::Region,
    }
}

/// A target at a stride from another target in one ring.
#[derive(Clone, Copy, Debug)]
struct RingLink {
    target: TargetKey,
    place: u32,
    places: u32,
}

impl RingLink {
    fn assign(self, proximity: Proximity) -> AssignedUpstream {
        let position = RingPosition {
            proximity,
            place: self.place,
            places: self.places,
        };
        let target = self.target;
        AssignedUpstream { target, position }
    }
}
