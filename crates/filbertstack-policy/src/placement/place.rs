//! Where each deployment stands: spread first, then as little movement as that allows.

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
use crate::gossip::weight;

/// How long an instance that does not answer keeps its place.
///
/// An agent's restart or a stalled link takes seconds, a copy of the weights minutes: replaced at
/// once, each of the day's 530 restarts would cost a copy. 30 s covers a restart; the other
/// replicas carry the load meanwhile.
pub const HOLD_DOWN: Millis = Millis::secs(30);

/// How long an instance must have answered before it gets something new.
///
/// One that comes and goes would otherwise be given work each time it comes.
pub const PLACEMENT_UPTIME: Millis = Millis::secs(10);

/// How long an instance must have answered before others' replicas move to it for the spread.
///
/// A zone that comes back often goes away again; five minutes let it prove itself, and the
/// replicas elsewhere serve meanwhile.
pub const MOVE_AFTER: Millis = Millis::secs(300);

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

/// What placing came to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Placed {
    pub(super) placement: Placement,
    pub(super) short: Vec<Shortfall>,
}

/// What stays the same for all deployments of one round.
#[derive(Clone, Copy)]
pub(super) struct Round<'a> {
    pub(super) fleet: &'a Fleet,
    pub(super) standing: &'a Assignments,
    pub(super) faults: &'a LoadFailures,
    pub(super) now: Millis,
}

/// Places `wants`; `extra` tells how many more instances than declared each of them gets.
pub(super) fn place(round: Round, wants: &[DeploymentSpec], extra: &[usize]) -> Placed {
    let mut table = Table::new(round);
    // The largest first: what is small fits into the gaps that are left.
    let mut order: Vec<_> = (0..wants.len()).collect();
    order.sort_by_key(|i| (u64::MAX - wants[*i].memory, &wants[*i].deployment));
    let mut seats: Vec<_> = wants.iter().map(|_| Seats::default()).collect();
    for i in &order {
        seats[*i] = table.keep(&wants[*i], wants[*i].replicas + extra[*i]);
    }
    let mut placed = Placed::default();
    for i in order {
        let want = &wants[i];
        table.fill(want, want.replicas + extra[i], &mut seats[i]);
        table.level(want, &mut seats[i]);
        placed.short.extend(shortfall(want, &seats[i]));
        let names = seats[i]
            .taken
            .iter()
            .map(|slot| table.slots[*slot].name.clone());
        placed
            .placement
            .insert(want.deployment.clone(), names.collect());
    }
    placed.short.sort_by(|a, b| a.deployment.cmp(&b.deployment));
    placed
}

fn shortfall(want: &DeploymentSpec, seats: &Seats) -> Option<Shortfall> {
    let missing = want.replicas.saturating_sub(seats.taken.len());
    (missing > 0).then(|| Shortfall {
        deployment: want.deployment.clone(),
        missing,
        eligible: seats.eligible,
    })
}

/// One instance with what is left of it.
struct Slot<'a> {
    name: &'a InstanceName,
    member: &'a Member,
    free: u64,
    /// How many deployments it has.
    load: usize,
}

/// The instances that a deployment has, counted by zone and rack.
#[derive(Default)]
struct Seats {
    taken: BTreeSet<usize>,
    zones: BTreeMap<Arc<str>, usize>,
    racks: BTreeMap<(Arc<str>, Arc<str>), usize>,
    eligible: usize,
}

/// What an instance must be to get a replica that it does not have.
#[derive(Clone, Copy, PartialEq)]
enum Need {
    /// Something is missing: one that has settled will do.
    Missing,
    /// Only the spread is at stake: it must have proved itself.
    Spread,
}

struct Table<'a> {
    round: Round<'a>,
    slots: Vec<Slot<'a>>,
    by_name: BTreeMap<&'a InstanceName, usize>,
    standing: BTreeMap<&'a DeploymentName, Vec<usize>>,
}

impl<'a> Table<'a> {
    fn new(round: Round<'a>) -> Self {
        let slots = round.fleet.iter().map(|(name, member)| Slot {
            name,
            member,
            free: member.memory,
            load: 0,
        });
        let slots: Vec<_> = slots.collect();
        let by_name = slots.iter().enumerate().map(|(i, slot)| (slot.name, i));
        let mut table = Self {
            round,
            by_name: by_name.collect(),
            slots,
            standing: BTreeMap::new(),
        };
        table.index_standing();
        table
    }

    fn index_standing(&mut self) {
        for (name, assignments) in self.round.standing {
            let Some(slot) = self.by_name.get(name).copied() else {
                continue;
            };
            for assignment in assignments.iter().filter(|a| a.duty == Duty::Serve) {
                let slots = self.standing.entry(&assignment.deployment).or_default();
                // Two versions of one deployment stand there while it is rolled.
                if slots.last() != Some(&slot) {
                    slots.push(slot);
                }
            }
        }
    }

    /// Keeps what a deployment has, as far as it still fits and is wanted.
    fn keep(&mut self, want: &DeploymentSpec, count: usize) -> Seats {
        let mut seats = Seats::default();
        let had = self.standing.get(&want.deployment).cloned();
        for slot in had.unwrap_or_default() {
            if self.may_stay(slot, want) {
                self.take(slot, want, &mut seats);
            }
        }
        while seats.taken.len() > count {
            let Some(slot) = self.least_needed(want, &seats) else {
                break;
            };
            self.give_back(slot, want, &mut seats);
        }
        seats
    }

    /// Adds instances until the deployment has `count`.
    fn fill(&mut self, want: &DeploymentSpec, count: usize, seats: &mut Seats) {
        if seats.taken.len() >= count {
            seats.eligible = seats.taken.len();
            return;
        }
        let mut candidates = self.candidates(want, seats, Need::Missing);
        seats.eligible = seats.taken.len() + candidates.count;
        while seats.taken.len() < count {
            let Some(slot) = candidates.next(seats) else {
                return;
            };
            self.take(slot, want, seats);
        }
    }

    /// Moves replicas out of zones that have two more than another zone could have.
    fn level(&mut self, want: &DeploymentSpec, seats: &mut Seats) {
        let least = seats.zones.values().min().copied().unwrap_or(0);
        let most = seats.zones.values().max().copied().unwrap_or(0);
        let zones = || self.slots.iter().map(|slot| &slot.member.zone);
        let even = most <= least + 1 && zones().all(|z| seats.zones.contains_key(z));
        if seats.taken.len() < 2 || (even || most < 2) {
            return;
        }
        let mut candidates = self.candidates(want, seats, Need::Spread);
        while let Some(slot) = candidates.next(seats) {
            let zone = &self.slots[slot].member.zone;
            let here = seats.zones.get(zone).copied().unwrap_or(0);
            let most = seats.zones.values().max().copied().unwrap_or(0);
            if most < here + 2 {
                return;
            }
            let Some(leaver) = self.least_needed(want, seats) else {
                return;
            };
            self.give_back(leaver, want, seats);
            self.take(slot, want, seats);
        }
    }

    fn may_stay(&self, slot: usize, want: &DeploymentSpec) -> bool {
        let Slot { name, member, .. } = &self.slots[slot];
        let now = self.round.now;
        let present = match member.health {
            Health::Up(_) => true,
            Health::Unreachable(since) => now.since(since) < HOLD_DOWN,
            Health::Leaving => false,
        };
        let barred = self.round.faults.is_barred(name, &want.version, now);
        present
            && !member.cordoned
            && !barred
            && want.admits(&member.labels)
            && self.slots[slot].free >= member.takes(want.memory)
    }

    fn may_join(&self, slot: usize, want: &DeploymentSpec, need: Need) -> bool {
        let Slot { name, member, .. } = &self.slots[slot];
        let now = self.round.now;
        let least = match need {
            Need::Missing => PLACEMENT_UPTIME,
            Need::Spread => MOVE_AFTER,
        };
        let settled = matches!(member.health, Health::Up(since) if now.since(since) >= least);
        settled
            && !member.cordoned
            && self.slots[slot].free >= member.takes(want.memory)
            && want.admits(&member.labels)
            && !self.round.faults.is_barred(name, &want.version, now)
    }

    fn candidates(&self, want: &DeploymentSpec, seats: &Seats, need: Need) -> Candidates {
        let mut candidates = Candidates::default();
        for slot in 0..self.slots.len() {
            if !seats.taken.contains(&slot) && self.may_join(slot, want, need) {
                candidates.add(&self.slots[slot], slot, want);
            }
        }
        candidates.sort();
        candidates
    }

    /// The replica whose loss costs least: from the fullest zone and rack, not serving, the last
    /// by name.
    fn least_needed(&self, want: &DeploymentSpec, seats: &Seats) -> Option<usize> {
        seats.taken.iter().copied().max_by_key(|slot| {
            let member = self.slots[*slot].member;
            let zone = seats.zones.get(&member.zone).copied();
            let rack = seats.racks.get(&place_of(member)).copied();
            (zone, rack, !member.serves(&want.version), *slot)
        })
    }

    fn take(&mut self, slot: usize, want: &DeploymentSpec, seats: &mut Seats) {
        let member = self.slots[slot].member;
        self.slots[slot].free -= member.takes(want.memory);
        self.slots[slot].load += 1;
        seats.taken.insert(slot);
        *seats.zones.entry(member.zone.clone()).or_default() += 1;
        *seats.racks.entry(place_of(member)).or_default() += 1;
    }

    fn give_back(&mut self, slot: usize, want: &DeploymentSpec, seats: &mut Seats) {
        let member = self.slots[slot].member;
        self.slots[slot].free += member.takes(want.memory);
        self.slots[slot].load -= 1;
        seats.taken.remove(&slot);
        if let Some(count) = seats.zones.get_mut(&member.zone) {
            *count -= 1;
        }
        if let Some(count) = seats.racks.get_mut(&place_of(member)) {
            *count -= 1;
        }
    }
}

fn place_of(member: &Member) -> (Arc<str>, Arc<str>) {
    (member.zone.clone(), member.rack.clone())
}

/// How well an instance suits, the best last: few deployments, much of the version, then a hash,
/// so that deployments do not all start at the first name.
type Suits = (std::cmp::Reverse<usize>, u8, u64, usize);

/// The instances that a deployment could take, by zone and rack.
#[derive(Default)]
struct Candidates {
    zones: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Vec<Suits>>>,
    count: usize,
}

impl Candidates {
    fn add(&mut self, slot: &Slot, index: usize, want: &DeploymentSpec) {
        let member = slot.member;
        let share = member.share(&want.version);
        let hash = weight(want.deployment.as_str(), slot.name.as_str());
        let suits = (std::cmp::Reverse(slot.load), share, hash, index);
        let racks = self.zones.entry(member.zone.clone()).or_default();
        racks.entry(member.rack.clone()).or_default().push(suits);
        self.count += 1;
    }

    fn sort(&mut self) {
        for rack in self.zones.values_mut().flat_map(BTreeMap::values_mut) {
            rack.sort_unstable();
        }
    }

    /// Takes out the best of the emptiest rack of the emptiest zone.
    fn next(&mut self, seats: &Seats) -> Option<usize> {
        let in_zone = |zone: &Arc<str>| seats.zones.get(zone).copied().unwrap_or(0);
        let zone = self.zones.keys().min_by_key(|zone| in_zone(zone))?.clone();
        let racks = self.zones.get_mut(&zone)?;
        let in_rack = |rack: &Arc<str>| {
            let place = (zone.clone(), rack.clone());
            seats.racks.get(&place).copied().unwrap_or(0)
        };
        let best = |suits: &[Suits]| std::cmp::Reverse(suits.last().copied());
        let rack = racks
            .iter()
            .min_by_key(|(rack, suits)| (in_rack(rack), best(suits)));
        let rack = rack?.0.clone();
        let suits = racks.get_mut(&rack)?;
        let (_, _, _, slot) = suits.pop()?;
        if suits.is_empty() {
            racks.remove(&rack);
        }
        if racks.is_empty() {
            self.zones.remove(&zone);
        }
        Some(slot)
    }
}
