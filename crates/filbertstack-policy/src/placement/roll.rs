//! This module moves the fleet from what runs to what is placed without dropping below the declared
//! replicas.
//!
//! New versions are loaded at once on every instance where they fit beside the old ones. An old
//! version is drained only if the new one serves on the same instance or if more instances serve
//! than are declared. An instance too small for both versions is swapped: the old version is
//! drained first, which needs a spare instance for the duration of the swap.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use filbertstack_core::Digest;
use filbertstack_core::names::DeploymentName;
use filbertstack_core::names::InstanceName;

use super::faults::RetryState;
use super::fleet::Assignment;
use super::fleet::Assignments;
use super::fleet::DeploymentSpec;
use super::fleet::Duty;
use super::fleet::Fleet;
use super::fleet::Health;
use super::fleet::Member;
use super::fleet::VersionState;
use super::place::Placement;
use super::place::Round;

/// The divisor that limits the spare instances of a deployment during a change of version.
///
/// Each spare instance lets one small instance swap at a time. With an eighth, a change ends in
/// about eight rounds of loading and leaves most of the spare memory to other deployments.
const SURGE_DIVISOR: usize = 8;

/// Returns how many spare instances each deployment needs now: one for each instance that serves
/// another version and has no room for the declared one beside it, at most one in eight replicas,
/// but always at least one if any is needed.
pub(super) fn surges(fleet: &Fleet, current: &Assignments, specs: &[DeploymentSpec]) -> Vec<usize> {
    let index = specs.iter().enumerate();
    let index: BTreeMap<_, _> = index.map(|(i, spec)| (&spec.deployment, i)).collect();
    let mut swaps = vec![0; specs.len()];
    for (name, assignments) in current {
        let Some(member) = fleet.get(name) else {
            continue;
        };
        let old = |one: &&Assignment| {
            let spec = index.get(&one.deployment).map(|i| &specs[*i]);
            spec.is_some_and(|spec| {
                serves_other_version(one, spec, member) && !has_room(member, spec)
            })
        };
        let deployments = assignments.iter().filter(old).map(|one| &one.deployment);
        for deployment in deployments.collect::<BTreeSet<_>>() {
            swaps[index[deployment]] += 1;
        }
    }
    let most = |spec: &DeploymentSpec| (spec.replicas / SURGE_DIVISOR).max(1);
    let pairs = swaps.into_iter().zip(specs);
    pairs.map(|(swaps, spec)| swaps.min(most(spec))).collect()
}

/// Returns whether the declared version is in the engine's memory or fits beside the versions
/// there.
fn has_room(member: &Member, spec: &DeploymentSpec) -> bool {
    takes_memory(member, &spec.version) || memory_used(member, None) + spec.memory <= member.memory
}

fn serves_other_version(assignment: &Assignment, spec: &DeploymentSpec, member: &Member) -> bool {
    assignment.deployment == spec.deployment
        && assignment.duty == Duty::Serve
        && assignment.version != spec.version
        && member.serves(&assignment.version)
}

fn takes_memory(member: &Member, version: &Digest) -> bool {
    let state = member.versions.get(version);
    state.is_some_and(|state| state.stage.takes_memory())
}

/// Returns the engine's memory in use, without the memory of `version`.
fn memory_used(member: &Member, version: Option<&Digest>) -> u64 {
    let others = member
        .versions
        .iter()
        .filter(|(held, _)| Some(*held) != version);
    let others = others.map(|(_, state)| state);
    others
        .filter(|state| state.stage.takes_memory())
        .map(|state| member.memory_for(state.memory))
        .sum()
}

/// The result of one rolling step.
#[derive(Debug, Default)]
pub(super) struct Rolled {
    pub(super) orders: Assignments,
    /// The deployments that cannot proceed without another instance.
    pub(super) blocked: BTreeSet<DeploymentName>,
}

/// Returns the next orders of all targets.
pub(super) fn roll(round: Round, specs: &[DeploymentSpec], placement: &Placement) -> Rolled {
    let specs: BTreeMap<_, _> = specs.iter().map(|spec| (&spec.deployment, spec)).collect();
    let mut roller = Roller::new(round, specs, placement);
    roller.sort_current();
    roller.load();
    roller.drain();
    roller.finish()
}

/// A current assignment that the placement or the declared version no longer calls for.
struct Obsolete<'a> {
    name: &'a InstanceName,
    member: &'a Member,
    version: Digest,
}

struct Roller<'a> {
    round: Round<'a>,
    specs: BTreeMap<&'a DeploymentName, &'a DeploymentSpec>,
    placement: &'a Placement,
    orders: BTreeMap<&'a InstanceName, BTreeSet<Assignment>>,
    reserved_memory: BTreeMap<&'a InstanceName, u64>,
    obsolete: BTreeMap<&'a DeploymentName, Vec<Obsolete<'a>>>,
    blocked: BTreeSet<DeploymentName>,
}

impl<'a> Roller<'a> {
    fn new(
        round: Round<'a>,
        specs: BTreeMap<&'a DeploymentName, &'a DeploymentSpec>,
        placement: &'a Placement,
    ) -> Self {
        let reserved_memory = round.fleet.iter();
        let reserved_memory =
            reserved_memory.map(|(name, member)| (name, memory_used(member, None)));
        Self {
            round,
            specs,
            placement,
            orders: BTreeMap::new(),
            reserved_memory: reserved_memory.collect(),
            obsolete: BTreeMap::new(),
            blocked: BTreeSet::new(),
        }
    }

    /// Sorts the current assignments into those that stay and those that are obsolete.
    fn sort_current(&mut self) {
        let round = self.round;
        for (name, assignments) in round.current {
            // An instance that has left has no agent that could receive orders.
            let Some(member) = round.fleet.get(name) else {
                continue;
            };
            self.orders.entry(name).or_default();
            for assignment in assignments {
                self.sort_assignment(name, member, assignment);
            }
        }
    }

    fn sort_assignment(&mut self, name: &'a InstanceName, member: &'a Member, one: &'a Assignment) {
        let spec = self.specs.get(&one.deployment).copied();
        let is_unreachable = matches!(member.health, Health::Unreachable(_));
        match (one.duty, spec) {
            (Duty::Drain, _) => {
                if is_unreachable || takes_memory(member, &one.version) {
                    self.add_order(name, one.clone());
                }
            }
            // Each round decides again whether a version is fetched ahead of its load.
            (Duty::Fetch, _) => {}
            (Duty::Serve, None) => self.drain_version(name, member, &one.deployment, one.version),
            (Duty::Serve, Some(spec)) => {
                let placed = self.is_placed(spec, name);
                if placed && one.version == spec.version {
                    self.serve(name, member, spec);
                } else {
                    let obsolete = self.obsolete.entry(&one.deployment).or_default();
                    obsolete.push(Obsolete {
                        name,
                        member,
                        version: one.version,
                    });
                }
            }
        }
    }

    fn is_placed(&self, spec: &DeploymentSpec, name: &InstanceName) -> bool {
        let placed = self.placement.get(&spec.deployment);
        placed.is_some_and(|names| names.contains(name))
    }

    /// Orders the instance to serve the declared version, unless a failed load is still in its
    /// backoff.
    fn serve(&mut self, name: &'a InstanceName, member: &Member, spec: &DeploymentSpec) {
        let retry_state = self
            .round
            .failures
            .retry_state(name, &spec.version, self.round.now);
        if retry_state != RetryState::Ready {
            return;
        }
        let assignment = assignment(&spec.deployment, spec.version, Duty::Serve);
        let orders = self.orders.entry(name).or_default();
        orders.remove(&Assignment {
            duty: Duty::Drain,
            ..assignment.clone()
        });
        let new = orders.insert(assignment);
        if new && !takes_memory(member, &spec.version) {
            *self.reserved_memory.entry(name).or_default() += member.memory_for(spec.memory);
        }
    }

    /// Orders the declared version on every placed instance that has room for it.
    fn load(&mut self) {
        let specs: Vec<_> = self.specs.values().copied().collect();
        for spec in specs {
            let placed = self.placement.get(&spec.deployment);
            for name in placed.into_iter().flatten() {
                let Some((name, member)) = self.round.fleet.get_key_value(name) else {
                    continue;
                };
                // The versions that an unreachable instance will hold on its return are unknown.
                if !matches!(member.health, Health::Up(_)) {
                    continue;
                }
                let reserved_memory = self.reserved_memory.get(name).copied().unwrap_or(0);
                let loaded = takes_memory(member, &spec.version);
                if loaded || reserved_memory + member.memory_for(spec.memory) <= member.memory {
                    self.serve(name, member, spec);
                } else if !self.is_ordered(spec, name) {
                    // The chunks are fetched while the old version still serves, so that the swap
                    // takes only as long as a load and not as long as a copy.
                    self.add_order(
                        name,
                        assignment(&spec.deployment, spec.version, Duty::Fetch),
                    );
                }
            }
        }
    }

    /// Returns whether the instance is ordered to serve the declared version.
    fn is_ordered(&self, spec: &DeploymentSpec, name: &InstanceName) -> bool {
        let serve = assignment(&spec.deployment, spec.version, Duty::Serve);
        let orders = self.orders.get(name);
        orders.is_some_and(|orders| orders.contains(&serve))
    }

    /// Drains obsolete assignments as long as enough instances serve.
    fn drain(&mut self) {
        let obsolete = std::mem::take(&mut self.obsolete);
        for (deployment, mut obsolete) in obsolete {
            let Some(spec) = self.specs.get(deployment).copied() else {
                continue;
            };
            // Instances outside the placement come first: draining them needs no load afterwards.
            obsolete.sort_by_key(|one| (self.is_placed(spec, one.name), one.name));
            let mut available = self.available(spec, &obsolete);
            for one in &obsolete {
                self.drain_or_keep(spec, one, &mut available);
            }
            self.record_blocked(spec, &obsolete, available.len());
        }
    }

    /// Returns the instances that serve the deployment in any version.
    fn available(
        &self,
        spec: &DeploymentSpec,
        obsolete: &[Obsolete<'a>],
    ) -> BTreeSet<&'a InstanceName> {
        let old = obsolete
            .iter()
            .filter(|one| one.member.serves(&one.version));
        let old = old.map(|one| one.name);
        let orders = self.orders.iter();
        let new = orders.filter(|(name, orders)| self.serves_declared(spec, name, orders));
        old.chain(new.map(|(name, _)| *name)).collect()
    }

    fn serves_declared(
        &self,
        spec: &DeploymentSpec,
        name: &InstanceName,
        orders: &BTreeSet<Assignment>,
    ) -> bool {
        let ordered = orders.contains(&assignment(&spec.deployment, spec.version, Duty::Serve));
        let member = self.round.fleet.get(name);
        ordered && member.is_some_and(|member| member.serves(&spec.version))
    }

    fn drain_or_keep(
        &mut self,
        spec: &DeploymentSpec,
        one: &Obsolete<'a>,
        available: &mut BTreeSet<&'a InstanceName>,
    ) {
        let Obsolete {
            name,
            member,
            version,
        } = *one;
        let orders = self.orders.get(name);
        let has_declared = orders.is_some_and(|orders| self.serves_declared(spec, name, orders));
        let counts = member.serves(&version) && available.contains(name) && !has_declared;
        let spare = available.len() > spec.replicas;
        let useless = self.is_drain_useless(spec, one);
        let returns_here =
            matches!(member.health, Health::Unreachable(_)) && self.is_placed(spec, name);
        if returns_here || useless || (counts && !spare) {
            self.add_order(name, assignment(&spec.deployment, version, Duty::Serve));
            return;
        }
        if counts {
            available.remove(name);
        }
        self.drain_version(name, member, &spec.deployment, version);
    }

    /// Returns whether draining the old version would not make room for the declared one yet.
    fn is_drain_useless(&self, spec: &DeploymentSpec, one: &Obsolete) -> bool {
        let ordered = self.is_ordered(spec, one.name);
        let loaded = takes_memory(one.member, &one.version);
        loaded && self.is_placed(spec, one.name) && !ordered && !self.can_swap(spec, one)
    }

    /// Returns whether the declared version can be loaded once the old one is unloaded: its chunks
    /// are fetched and it fits.
    fn can_swap(&self, spec: &DeploymentSpec, one: &Obsolete) -> bool {
        let held = one.member.versions.get(&one.version);
        let freed = held
            .filter(|h| h.stage.takes_memory())
            .map_or(0, |h| one.member.memory_for(h.memory));
        let wanted = one.member.memory_for(spec.memory);
        let fetched = one.member.fetched_percent(&spec.version) == 100;
        let reserved_memory = self.reserved_memory.get(one.name).copied().unwrap_or(0);
        let retry_state = self
            .round
            .failures
            .retry_state(one.name, &spec.version, self.round.now);
        let fits = reserved_memory.saturating_sub(freed) + wanted <= one.member.memory;
        fetched && fits && retry_state == RetryState::Ready
    }

    fn drain_version(
        &mut self,
        name: &'a InstanceName,
        member: &Member,
        deployment: &DeploymentName,
        version: Digest,
    ) {
        if takes_memory(member, &version) {
            self.add_order(name, assignment(deployment, version, Duty::Drain));
        }
    }

    /// Records a deployment as blocked if its change waits for a spare instance and no load is in
    /// progress that could provide one: the change would wait for ever.
    fn record_blocked(&mut self, spec: &DeploymentSpec, obsolete: &[Obsolete], available: usize) {
        let waits = |one: &&Obsolete| {
            let reserved_memory = self.reserved_memory.get(one.name).copied().unwrap_or(0);
            let needed = reserved_memory + one.member.memory_for(spec.memory);
            self.is_placed(spec, one.name)
                && one.member.serves(&one.version)
                && needed > one.member.memory
                && !takes_memory(one.member, &spec.version)
        };
        let is_loading = self.orders.iter().any(|(name, _)| {
            let serves = self
                .round
                .fleet
                .get(*name)
                .is_some_and(|m| m.serves(&spec.version));
            self.is_ordered(spec, name) && !serves
        });
        if available <= spec.replicas && !is_loading && obsolete.iter().any(|one| waits(&one)) {
            self.blocked.insert(spec.deployment.clone());
        }
    }

    fn add_order(&mut self, name: &'a InstanceName, assignment: Assignment) {
        self.orders.entry(name).or_default().insert(assignment);
    }

    fn finish(self) -> Rolled {
        let orders = self.orders.into_iter();
        let orders = orders.map(|(name, set)| (name.clone(), set.into_iter().collect()));
        Rolled {
            orders: orders.collect(),
            blocked: self.blocked,
        }
    }
}

fn assignment(deployment: &DeploymentName, version: Digest, duty: Duty) -> Assignment {
    Assignment {
        deployment: deployment.clone(),
        version,
        duty,
    }
}

/// Returns whether the engine serves the version.
pub(super) fn is_serving(state: &VersionState) -> bool {
    state.stage == super::Stage::Serving
}
