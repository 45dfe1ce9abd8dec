//! How the fleet gets from what runs to what is placed, without dropping under what is declared.
//!
//! New versions are loaded everywhere they fit beside the old ones, all at once. An old version
//! is drained only where the new one answers on the same instance, or where more instances answer
//! than are declared. An instance too small for both versions is swapped: the old one goes first,
//! which takes a spare instance for as long as it lasts.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use filbertstack_core::Digest;
use filbertstack_core::names::DeploymentName;
use filbertstack_core::names::InstanceName;

use super::faults::Verdict;
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

/// One in so many replicas may stand on spare instances during a change of version.
///
/// Each spare instance lets one small instance swap at a time. An eighth ends a change in about
/// eight rounds of loading and leaves most of the spare memory to others.
const SURGE_PART: usize = 8;

/// How many spare instances each deployment needs now: as many as serve another version and have no
/// room for the declared one beside it, at most one in eight and at least one.
pub(super) fn surges(
    fleet: &Fleet,
    standing: &Assignments,
    wants: &[DeploymentSpec],
) -> Vec<usize> {
    let index = wants.iter().enumerate();
    let index: BTreeMap<_, _> = index.map(|(i, want)| (&want.deployment, i)).collect();
    let mut swaps = vec![0; wants.len()];
    for (name, assignments) in standing {
        let Some(member) = fleet.get(name) else {
            continue;
        };
        let old = |one: &&Assignment| {
            let want = index.get(&one.deployment).map(|i| &wants[*i]);
            want.is_some_and(|want| is_old(one, want, member) && !has_room(member, want))
        };
        let deployments = assignments.iter().filter(old).map(|one| &one.deployment);
        for deployment in deployments.collect::<BTreeSet<_>>() {
            swaps[index[deployment]] += 1;
        }
    }
    let most = |want: &DeploymentSpec| (want.replicas / SURGE_PART).max(1);
    let pairs = swaps.into_iter().zip(wants);
    pairs.map(|(swaps, want)| swaps.min(most(want))).collect()
}

/// Whether the declared version is in the engine's memory or fits beside what is there.
fn has_room(member: &Member, want: &DeploymentSpec) -> bool {
    takes_memory(member, &want.version) || memory_used(member, None) + want.memory <= member.memory
}

fn is_old(assignment: &Assignment, want: &DeploymentSpec, member: &Member) -> bool {
    assignment.deployment == want.deployment
        && assignment.duty == Duty::Serve
        && assignment.version != want.version
        && member.serves(&assignment.version)
}

fn takes_memory(member: &Member, version: &Digest) -> bool {
    let holding = member.versions.get(version);
    holding.is_some_and(|holding| holding.stage.takes_memory())
}

/// The engine's memory in use, without that of `version`.
fn memory_used(member: &Member, version: Option<&Digest>) -> u64 {
    let others = member
        .versions
        .iter()
        .filter(|(held, _)| Some(*held) != version);
    let others = others.map(|(_, holding)| holding);
    others
        .filter(|holding| holding.stage.takes_memory())
        .map(|holding| member.takes(holding.memory))
        .sum()
}

/// What rolling came to.
#[derive(Debug, Default)]
pub(super) struct Rolled {
    pub(super) orders: Assignments,
    /// The deployments that cannot go on without another instance.
    pub(super) blocked: BTreeSet<DeploymentName>,
}

/// The next orders of all targets.
pub(super) fn roll(round: Round, wants: &[DeploymentSpec], placement: &Placement) -> Rolled {
    let wants: BTreeMap<_, _> = wants.iter().map(|w| (&w.deployment, w)).collect();
    let mut roller = Roller::new(round, wants, placement);
    roller.keep();
    roller.load();
    roller.drain();
    roller.finish()
}

/// An assignment that stands without being wanted there.
struct Leaving<'a> {
    name: &'a InstanceName,
    member: &'a Member,
    version: Digest,
}

struct Roller<'a> {
    round: Round<'a>,
    wants: BTreeMap<&'a DeploymentName, &'a DeploymentSpec>,
    placement: &'a Placement,
    orders: BTreeMap<&'a InstanceName, BTreeSet<Assignment>>,
    used: BTreeMap<&'a InstanceName, u64>,
    leaving: BTreeMap<&'a DeploymentName, Vec<Leaving<'a>>>,
    blocked: BTreeSet<DeploymentName>,
}

impl<'a> Roller<'a> {
    fn new(
        round: Round<'a>,
        wants: BTreeMap<&'a DeploymentName, &'a DeploymentSpec>,
        placement: &'a Placement,
    ) -> Self {
        let used = round.fleet.iter();
        let used = used.map(|(name, member)| (name, memory_used(member, None)));
        Self {
            round,
            wants,
            placement,
            orders: BTreeMap::new(),
            used: used.collect(),
            leaving: BTreeMap::new(),
            blocked: BTreeSet::new(),
        }
    }

    /// Sorts the standing assignments into those that stay and those that shall leave.
    fn keep(&mut self) {
        let round = self.round;
        for (name, assignments) in round.standing {
            // An instance that left for good has no agent to order.
            let Some(member) = round.fleet.get(name) else {
                continue;
            };
            self.orders.entry(name).or_default();
            for assignment in assignments {
                self.keep_one(name, member, assignment);
            }
        }
    }

    fn keep_one(&mut self, name: &'a InstanceName, member: &'a Member, one: &'a Assignment) {
        let want = self.wants.get(&one.deployment).copied();
        let away = matches!(member.health, Health::Unreachable(_));
        match (one.duty, want) {
            (Duty::Drain, _) => {
                if away || takes_memory(member, &one.version) {
                    self.put(name, one.clone());
                }
            }
            // Whether a version is to be fetched ahead is decided anew each time.
            (Duty::Fetch, _) => {}
            (Duty::Serve, None) => self.drain_one(name, member, &one.deployment, one.version),
            (Duty::Serve, Some(want)) => {
                let placed = self.is_placed(want, name);
                if placed && one.version == want.version {
                    self.serve(name, member, want);
                } else {
                    let leaving = self.leaving.entry(&one.deployment).or_default();
                    leaving.push(Leaving {
                        name,
                        member,
                        version: one.version,
                    });
                }
            }
        }
    }

    fn is_placed(&self, want: &DeploymentSpec, name: &InstanceName) -> bool {
        let placed = self.placement.get(&want.deployment);
        placed.is_some_and(|names| names.contains(name))
    }

    /// Orders the declared version, unless its last load failed just now.
    fn serve(&mut self, name: &'a InstanceName, member: &Member, want: &DeploymentSpec) {
        let verdict = self
            .round
            .faults
            .verdict(name, &want.version, self.round.now);
        if verdict != Verdict::Fine {
            return;
        }
        let assignment = assignment(&want.deployment, want.version, Duty::Serve);
        let orders = self.orders.entry(name).or_default();
        orders.remove(&Assignment {
            duty: Duty::Drain,
            ..assignment.clone()
        });
        let new = orders.insert(assignment);
        if new && !takes_memory(member, &want.version) {
            *self.used.entry(name).or_default() += member.takes(want.memory);
        }
    }

    /// Orders the declared version on every placed instance with room for it.
    fn load(&mut self) {
        let wants: Vec<_> = self.wants.values().copied().collect();
        for want in wants {
            let placed = self.placement.get(&want.deployment);
            for name in placed.into_iter().flatten() {
                let Some((name, member)) = self.round.fleet.get_key_value(name) else {
                    continue;
                };
                // What one that is away will hold when it is back is not known.
                if !matches!(member.health, Health::Up(_)) {
                    continue;
                }
                let used = self.used.get(name).copied().unwrap_or(0);
                let there = takes_memory(member, &want.version);
                if there || used + member.takes(want.memory) <= member.memory {
                    self.serve(name, member, want);
                } else if !self.is_ordered(want, name) {
                    // Its chunks come while the old version still answers: the swap then takes
                    // as long as a load, not as long as a copy.
                    self.put(
                        name,
                        assignment(&want.deployment, want.version, Duty::Fetch),
                    );
                }
            }
        }
    }

    /// Whether the declared version is to be served there.
    fn is_ordered(&self, want: &DeploymentSpec, name: &InstanceName) -> bool {
        let serve = assignment(&want.deployment, want.version, Duty::Serve);
        let orders = self.orders.get(name);
        orders.is_some_and(|orders| orders.contains(&serve))
    }

    /// Drains what shall leave, as long as enough instances answer.
    fn drain(&mut self) {
        let leaving = std::mem::take(&mut self.leaving);
        for (deployment, mut leaving) in leaving {
            let Some(want) = self.wants.get(deployment).copied() else {
                continue;
            };
            // Those that are not placed first: draining them needs no load afterwards.
            leaving.sort_by_key(|one| (self.is_placed(want, one.name), one.name));
            let mut alive = self.alive(want, &leaving);
            for one in &leaving {
                self.leave(want, one, &mut alive);
            }
            self.note_blocked(want, &leaving, alive.len());
        }
    }

    /// The instances that answer for the deployment in any version.
    fn alive(&self, want: &DeploymentSpec, leaving: &[Leaving<'a>]) -> BTreeSet<&'a InstanceName> {
        let old = leaving.iter().filter(|one| one.member.serves(&one.version));
        let old = old.map(|one| one.name);
        let orders = self.orders.iter();
        let new = orders.filter(|(name, orders)| self.serves_new(want, name, orders));
        old.chain(new.map(|(name, _)| *name)).collect()
    }

    fn serves_new(
        &self,
        want: &DeploymentSpec,
        name: &InstanceName,
        orders: &BTreeSet<Assignment>,
    ) -> bool {
        let ordered = orders.contains(&assignment(&want.deployment, want.version, Duty::Serve));
        let member = self.round.fleet.get(name);
        ordered && member.is_some_and(|member| member.serves(&want.version))
    }

    fn leave(
        &mut self,
        want: &DeploymentSpec,
        one: &Leaving<'a>,
        alive: &mut BTreeSet<&'a InstanceName>,
    ) {
        let Leaving {
            name,
            member,
            version,
        } = *one;
        let orders = self.orders.get(name);
        let both = orders.is_some_and(|orders| self.serves_new(want, name, orders));
        let counts = member.serves(&version) && alive.contains(name) && !both;
        let spare = alive.len() > want.replicas;
        let pointless = self.is_pointless(want, one);
        let away = matches!(member.health, Health::Unreachable(_)) && self.is_placed(want, name);
        if away || pointless || (counts && !spare) {
            self.put(name, assignment(&want.deployment, version, Duty::Serve));
            return;
        }
        if counts {
            alive.remove(name);
        }
        self.drain_one(name, member, &want.deployment, version);
    }

    /// Whether draining the old version would not let the declared one in yet.
    fn is_pointless(&self, want: &DeploymentSpec, one: &Leaving) -> bool {
        let ordered = self.is_ordered(want, one.name);
        let loaded = takes_memory(one.member, &one.version);
        loaded && self.is_placed(want, one.name) && !ordered && !self.swap_helps(want, one)
    }

    /// Whether the declared version can be loaded once the old one is gone: its chunks are there and
    /// it fits.
    fn swap_helps(&self, want: &DeploymentSpec, one: &Leaving) -> bool {
        let held = one.member.versions.get(&one.version);
        let freed = held
            .filter(|h| h.stage.takes_memory())
            .map_or(0, |h| one.member.takes(h.memory));
        let wanted = one.member.takes(want.memory);
        let fetched = one.member.share(&want.version) == 100;
        let used = self.used.get(one.name).copied().unwrap_or(0);
        let waits = self
            .round
            .faults
            .verdict(one.name, &want.version, self.round.now);
        let fits = used.saturating_sub(freed) + wanted <= one.member.memory;
        fetched && fits && waits == Verdict::Fine
    }

    fn drain_one(
        &mut self,
        name: &'a InstanceName,
        member: &Member,
        deployment: &DeploymentName,
        version: Digest,
    ) {
        if takes_memory(member, &version) {
            self.put(name, assignment(deployment, version, Duty::Drain));
        }
    }

    /// A change that waits for a spare instance while nothing is on its way waits for ever.
    fn note_blocked(&mut self, want: &DeploymentSpec, leaving: &[Leaving], alive: usize) {
        let waits = |one: &&Leaving| {
            let used = self.used.get(one.name).copied().unwrap_or(0);
            let needed = used + one.member.takes(want.memory);
            self.is_placed(want, one.name)
                && one.member.serves(&one.version)
                && needed > one.member.memory
                && !takes_memory(one.member, &want.version)
        };
        let moving = self.orders.iter().any(|(name, _)| {
            let serves = self
                .round
                .fleet
                .get(*name)
                .is_some_and(|m| m.serves(&want.version));
            self.is_ordered(want, name) && !serves
        });
        if alive <= want.replicas && !moving && leaving.iter().any(|one| waits(&one)) {
            self.blocked.insert(want.deployment.clone());
        }
    }

    fn put(&mut self, name: &'a InstanceName, assignment: Assignment) {
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

/// Whether a holding answers.
pub(super) fn is_serving(holding: &VersionState) -> bool {
    holding.stage == super::Stage::Serving
}
