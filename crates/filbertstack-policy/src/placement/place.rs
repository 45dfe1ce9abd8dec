//! This module chooses the instances of each deployment. An even spread comes first, then as few
//! moves as the spread allows.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use filbertstack_core::Millis;
use filbertstack_core::names::DeploymentName;
use filbertstack_core::names::InstanceName;

use super::faults::LoadFailures;
use super::fleet::Assignments;
use super::fleet::DeploymentSpec;
use super::fleet::Duty;
use super::fleet::Fleet;
use super::fleet::Health;
use super::fleet::Member;
use crate::gossip::rendezvous_hash;

/// How long an instance that does not answer keeps its replicas.
///
/// An agent's restart or a stalled link takes seconds, a copy of the weights minutes. If instances
/// were replaced at once, each of the day's 530 restarts would cost a copy. 30 s covers a restart;
/// the other replicas carry the load meanwhile.
pub const UNREACHABLE_GRACE: Millis = Millis::secs(30);

/// How long an instance must have been up before it gets a new replica.
///
/// Without this delay an instance that comes and goes would get new work each time it returns.
pub const PLACEMENT_UPTIME: Millis = Millis::secs(10);

/// How long an instance must have been up before replicas move to it from other instances for a
/// more even spread.
///
/// A zone that returns often fails again soon. Five minutes of uptime show that it is stable; until
/// then, the replicas elsewhere serve.
pub const REBALANCE_UPTIME: Millis = Millis::secs(300);

/// The instances of each deployment.
pub type Placement = BTreeMap<DeploymentName, BTreeSet<InstanceName>>;

/// A deployment that could not be placed in full.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shortfall {
    /// The deployment.
    pub deployment: DeploymentName,
    /// How many instances are missing.
    pub missing: usize,
    /// How many instances its pools have that could serve it if they were free.
    pub eligible: usize,
}

/// The result of placing all deployments.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Placed {
    pub(super) placement: Placement,
    pub(super) shortfalls: Vec<Shortfall>,
}

/// The inputs that are the same for all deployments of one round.
#[derive(Clone, Copy)]
pub(super) struct Round<'a> {
    pub(super) fleet: &'a Fleet,
    pub(super) current: &'a Assignments,
    pub(super) failures: &'a LoadFailures,
    pub(super) now: Millis,
}

/// Places the deployments of `specs`; `surge` holds the number of instances that each of them gets
/// beyond the declared replicas.
pub(super) fn place(round: Round, specs: &[DeploymentSpec], surge: &[usize]) -> Placed {
    let mut planner = Planner::new(round);
    // The largest deployments are placed first; small ones fit into the gaps that remain.
    let mut order: Vec<_> = (0..specs.len()).collect();
    order.sort_by_key(|i| (u64::MAX - specs[*i].memory, &specs[*i].deployment));
    let mut selections: Vec<_> = specs.iter().map(|_| Selection::default()).collect();
    for i in &order {
        selections[*i] = planner.keep_current(&specs[*i], specs[*i].replicas + surge[*i]);
    }
    let mut placed = Placed::default();
    for i in order {
        let spec = &specs[i];
        planner.fill(spec, spec.replicas + surge[i], &mut selections[i]);
        planner.rebalance(spec, &mut selections[i]);
        placed.shortfalls.extend(shortfall(spec, &selections[i]));
        let names = selections[i]
            .chosen
            .iter()
            .map(|index| planner.instances[*index].name.clone());
        placed
            .placement
            .insert(spec.deployment.clone(), names.collect());
    }
    placed
        .shortfalls
        .sort_by(|a, b| a.deployment.cmp(&b.deployment));
    placed
}

fn shortfall(spec: &DeploymentSpec, selection: &Selection) -> Option<Shortfall> {
    let missing = spec.replicas.saturating_sub(selection.chosen.len());
    (missing > 0).then(|| Shortfall {
        deployment: spec.deployment.clone(),
        missing,
        eligible: selection.eligible,
    })
}

/// An instance with the capacity that is left on it.
struct InstanceUsage<'a> {
    name: &'a InstanceName,
    member: &'a Member,
    free_memory: u64,
    /// The number of deployments placed on the instance.
    deployment_count: usize,
}

/// The instances chosen for a deployment, counted by zone and rack.
#[derive(Default)]
struct Selection {
    chosen: BTreeSet<usize>,
    zones: BTreeMap<Arc<str>, usize>,
    racks: BTreeMap<(Arc<str>, Arc<str>), usize>,
    eligible: usize,
}

/// Why a deployment gets another instance; this determines the uptime that the instance must have.
#[derive(Clone, Copy, PartialEq)]
enum Purpose {
    /// The deployment lacks a replica: [`PLACEMENT_UPTIME`] is required.
    Fill,
    /// A replica moves for a more even spread: [`REBALANCE_UPTIME`] is required.
    Rebalance,
}

struct Planner<'a> {
    round: Round<'a>,
    instances: Vec<InstanceUsage<'a>>,
    by_name: BTreeMap<&'a InstanceName, usize>,
    current: BTreeMap<&'a DeploymentName, Vec<usize>>,
}

impl<'a> Planner<'a> {
    fn new(round: Round<'a>) -> Self {
        let instances = round.fleet.iter().map(|(name, member)| InstanceUsage {
            name,
            member,
            free_memory: member.memory,
            deployment_count: 0,
        });
        let instances: Vec<_> = instances.collect();
        let by_name = instances
            .iter()
            .enumerate()
            .map(|(i, usage)| (usage.name, i));
        let mut planner = Self {
            round,
            by_name: by_name.collect(),
            instances,
            current: BTreeMap::new(),
        };
        planner.index_current();
        planner
    }

    fn index_current(&mut self) {
        for (name, assignments) in self.round.current {
            let Some(index) = self.by_name.get(name).copied() else {
                continue;
            };
            for assignment in assignments.iter().filter(|a| a.duty == Duty::Serve) {
                let indices = self.current.entry(&assignment.deployment).or_default();
                // An instance holds two versions of one deployment while its version changes.
                if indices.last() != Some(&index) {
                    indices.push(index);
                }
            }
        }
    }

    /// Keeps the deployment's current instances as far as they still qualify, up to `count`.
    fn keep_current(&mut self, spec: &DeploymentSpec, count: usize) -> Selection {
        let mut selection = Selection::default();
        let previous = self.current.get(&spec.deployment).cloned();
        for index in previous.unwrap_or_default() {
            if self.can_stay(index, spec) {
                self.assign(index, spec, &mut selection);
            }
        }
        while selection.chosen.len() > count {
            let Some(index) = self.least_needed(spec, &selection) else {
                break;
            };
            self.release(index, spec, &mut selection);
        }
        selection
    }

    /// Adds instances until the deployment has `count` or no candidate is left.
    fn fill(&mut self, spec: &DeploymentSpec, count: usize, selection: &mut Selection) {
        if selection.chosen.len() >= count {
            selection.eligible = selection.chosen.len();
            return;
        }
        let mut candidates = self.candidates(spec, selection, Purpose::Fill);
        selection.eligible = selection.chosen.len() + candidates.count;
        while selection.chosen.len() < count {
            let Some(index) = candidates.next(selection) else {
                return;
            };
            self.assign(index, spec, selection);
        }
    }

    /// Moves replicas from the fullest zone to zones that have at least two fewer and a candidate
    /// for them.
    fn rebalance(&mut self, spec: &DeploymentSpec, selection: &mut Selection) {
        let least = selection.zones.values().min().copied().unwrap_or(0);
        let most = selection.zones.values().max().copied().unwrap_or(0);
        let zones = || self.instances.iter().map(|usage| &usage.member.zone);
        let even = most <= least + 1 && zones().all(|z| selection.zones.contains_key(z));
        if selection.chosen.len() < 2 || (even || most < 2) {
            return;
        }
        let mut candidates = self.candidates(spec, selection, Purpose::Rebalance);
        while let Some(index) = candidates.next(selection) {
            let zone = &self.instances[index].member.zone;
            let here = selection.zones.get(zone).copied().unwrap_or(0);
            let most = selection.zones.values().max().copied().unwrap_or(0);
            if most < here + 2 {
                return;
            }
            let Some(removed) = self.least_needed(spec, selection) else {
                return;
            };
            self.release(removed, spec, selection);
            self.assign(index, spec, selection);
        }
    }

    fn can_stay(&self, index: usize, spec: &DeploymentSpec) -> bool {
        let InstanceUsage { name, member, .. } = &self.instances[index];
        let now = self.round.now;
        let present = match member.health {
            Health::Up(_) => true,
            Health::Unreachable(since) => now.since(since) < UNREACHABLE_GRACE,
            Health::Leaving => false,
        };
        let excluded = self.round.failures.is_excluded(name, &spec.version, now);
        present
            && !member.cordoned
            && !excluded
            && spec.admits(&member.labels)
            && self.instances[index].free_memory >= member.memory_for(spec.memory)
    }

    fn can_join(&self, index: usize, spec: &DeploymentSpec, purpose: Purpose) -> bool {
        let InstanceUsage { name, member, .. } = &self.instances[index];
        let now = self.round.now;
        let min_uptime = match purpose {
            Purpose::Fill => PLACEMENT_UPTIME,
            Purpose::Rebalance => REBALANCE_UPTIME,
        };
        let settled = matches!(member.health, Health::Up(since) if now.since(since) >= min_uptime);
        settled
            && !member.cordoned
            && self.instances[index].free_memory >= member.memory_for(spec.memory)
            && spec.admits(&member.labels)
            && !self.round.failures.is_excluded(name, &spec.version, now)
    }

    fn candidates(
        &self,
        spec: &DeploymentSpec,
        selection: &Selection,
        purpose: Purpose,
    ) -> Candidates {
        let mut candidates = Candidates::default();
        for index in 0..self.instances.len() {
            if !selection.chosen.contains(&index) && self.can_join(index, spec, purpose) {
                candidates.add(&self.instances[index], index, spec);
            }
        }
        candidates.sort();
        candidates
    }

    /// Returns the instance whose loss costs least: one in the fullest zone and rack, not serving
    /// if possible, the last by name.
    fn least_needed(&self, spec: &DeploymentSpec, selection: &Selection) -> Option<usize> {
        selection.chosen.iter().copied().max_by_key(|index| {
            let member = self.instances[*index].member;
            let zone = selection.zones.get(&member.zone).copied();
            let rack = selection.racks.get(&rack_key(member)).copied();
            (zone, rack, !member.serves(&spec.version), *index)
        })
    }

    fn assign(&mut self, index: usize, spec: &DeploymentSpec, selection: &mut Selection) {
        let member = self.instances[index].member;
        self.instances[index].free_memory -= member.memory_for(spec.memory);
        self.instances[index].deployment_count += 1;
        selection.chosen.insert(index);
        *selection.zones.entry(member.zone.clone()).or_default() += 1;
        *selection.racks.entry(rack_key(member)).or_default() += 1;
    }

    fn release(&mut self, index: usize, spec: &DeploymentSpec, selection: &mut Selection) {
        let member = self.instances[index].member;
        self.instances[index].free_memory += member.memory_for(spec.memory);
        self.instances[index].deployment_count -= 1;
        selection.chosen.remove(&index);
        if let Some(count) = selection.zones.get_mut(&member.zone) {
            *count -= 1;
        }
        if let Some(count) = selection.racks.get_mut(&rack_key(member)) {
            *count -= 1;
        }
    }
}

fn rack_key(member: &Member) -> (Arc<str>, Arc<str>) {
    (member.zone.clone(), member.rack.clone())
}

/// How well an instance suits a deployment: first by fewer deployments on it, then by a greater
/// part of the version already fetched, then by a hash, so that not all deployments start with the
/// first name. The best preference sorts last.
type Preference = (std::cmp::Reverse<usize>, u8, u64, usize);

/// The instances that a deployment could use, by zone and rack.
#[derive(Default)]
struct Candidates {
    zones: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Vec<Preference>>>,
    count: usize,
}

impl Candidates {
    fn add(&mut self, usage: &InstanceUsage, index: usize, spec: &DeploymentSpec) {
        let member = usage.member;
        let fetched_percent = member.fetched_percent(&spec.version);
        let hash = rendezvous_hash(spec.deployment.as_str(), usage.name.as_str());
        let preference = (
            std::cmp::Reverse(usage.deployment_count),
            fetched_percent,
            hash,
            index,
        );
        let racks = self.zones.entry(member.zone.clone()).or_default();
        racks
            .entry(member.rack.clone())
            .or_default()
            .push(preference);
        self.count += 1;
    }

    fn sort(&mut self) {
        for rack in self.zones.values_mut().flat_map(BTreeMap::values_mut) {
            rack.sort_unstable();
        }
    }

    /// Removes and returns the best instance of the emptiest rack in the emptiest zone.
    fn next(&mut self, selection: &Selection) -> Option<usize> {
        let in_zone = |zone: &Arc<str>| selection.zones.get(zone).copied().unwrap_or(0);
        let zone = self.zones.keys().min_by_key(|zone| in_zone(zone))?.clone();
        let racks = self.zones.get_mut(&zone)?;
        let in_rack = |rack: &Arc<str>| {
            let key = (zone.clone(), rack.clone());
            selection.racks.get(&key).copied().unwrap_or(0)
        };
        let best = |preferences: &[Preference]| std::cmp::Reverse(preferences.last().copied());
        let rack = racks
            .iter()
            .min_by_key(|(rack, preferences)| (in_rack(rack), best(preferences)));
        let rack = rack?.0.clone();
        let preferences = racks.get_mut(&rack)?;
        let (_, _, _, index) = preferences.pop()?;
        if preferences.is_empty() {
            racks.remove(&rack);
        }
        if racks.is_empty() {
            self.zones.remove(&zone);
        }
        Some(index)
    }
}
