//! Which upstreams each target gets: a few, from the leader, O(1) for each target.
//!
//! The targets of a region stand in a ring. Each has as upstreams the targets at fixed strides
//! before it, and so serves the ones at the same strides after it: everybody uploads as much as
//! they download, and no instance is asked by more than a few. The strides are powers of two
//! below the ring's length, so that a chunk reaches all of it in logarithmically many hops.
//! When regions have several zones and links between zones are dear, each zone has a ring of its
//! own before the region's.

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
    /// A target in the leader's plan.
    pub struct TargetKey;
}

/// A target's place in the world.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Its name.
    pub name: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
}

/// The shape of the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlanConfig {
    /// The upstreams of a target in one ring.
    pub fanout: usize,
    /// Whether each zone has a ring of its own, preferred to the region's.
    pub zone_first: bool,
}

impl Default for PlanConfig {
    /// Twelve strides keep a ring of 1,000 within three or four hops, and an agent's announcements
    /// at 12 a chunk.
    fn default() -> Self {
        Self {
            fanout: 12,
            zone_first: false,
        }
    }
}

/// An upstream as the leader names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AssignedUpstream {
    /// The upstream.
    pub target: TargetKey,
    /// Where it stands among the upstreams.
    pub position: RingPosition,
}

/// What came of a target's joining.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Joined {
    /// The target.
    pub key: TargetKey,
    /// The targets that are to get new links, beside the new one: a dozen that have it as an
    /// upstream, or all of a ring whose strides changed, which happens when its length passes a
    /// power of two.
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
    /// A plan without targets.
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

    /// Removes a target; the targets that had it as an upstream need new links.
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

    /// The target of a key.
    pub fn target(&self, key: TargetKey) -> Option<&Target> {
        self.targets.get(key)
    }

    /// The upstreams of a target, the near ones first.
    pub fn upstreams(&self, key: TargetKey) -> Vec<AssignedUpstream> {
        let mut seen = BTreeSet::new();
        let mut links = self.links(key, Ring::before);
        links.retain(|link| seen.insert(link.target));
        links
    }

    /// The targets that have `key` as an upstream.
    pub fn downstreams(&self, key: TargetKey) -> Vec<TargetKey> {
        let links = self.links(key, Ring::after);
        let unique: BTreeSet<_> = links.into_iter().map(|link| link.target).collect();
        let is_upstream = |of: &TargetKey| self.upstreams(*of).iter().any(|l| l.target == key);
        unique.into_iter().filter(is_upstream).collect()
    }

    fn links(
        &self,
        key: TargetKey,
        side: fn(&Ring, TargetKey, usize) -> Vec<Seated>,
    ) -> Vec<AssignedUpstream> {
        let Some(target) = self.targets.get(key) else {
            return Vec::new();
        };
        let names = self.ring_names(target).into_iter();
        let rings = names.filter_map(|name| Some((proximity(&name), self.rings.get(&name)?)));
        let seated = rings.flat_map(|(proximity, ring)| {
            let seats = side(ring, key, self.config.fanout).into_iter();
            seats.map(move |seated| seated.link(proximity))
        });
        seated.collect()
    }
}

fn proximity(name: &RingName) -> Proximity {
    match name {
        RingName::Zone(..) => Proximity::Zone,
        RingName::Region(_) => Proximity::Region,
    }
}

/// A target at a stride from another in one ring.
#[derive(Clone, Copy, Debug)]
struct Seated {
    target: TargetKey,
    place: u32,
    places: u32,
}

impl Seated {
    fn link(self, proximity: Proximity) -> AssignedUpstream {
        let position = RingPosition {
            proximity,
            place: self.place,
            places: self.places,
        };
        let target = self.target;
        AssignedUpstream { target, position }
    }
}
