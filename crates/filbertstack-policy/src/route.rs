//! Which target gets a request.
//!
//! *Load pattern*: work of very unequal length, targets of unequal speed, load reports that lag
//! by a second, and other entries that choose at the same time. Round robin keeps sending to a
//! slow target until it holds most of the work; always taking the least loaded sends every
//! entry's next requests to the one target whose report looks best. Two choices at random among
//! those with room avoid both: own in-flight counts are exact, and a late report only tilts.

mod learn;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slotmap::SlotMap;
use slotmap::new_key_type;

use filbertstack_core::Millis;
use filbertstack_core::names::InstanceName;
use filbertstack_core::names::ZoneName;

use crate::cost::Cost;
use crate::fair::LongPriority;
use crate::prefix::CacheEvent;
use crate::retry::Outcome;
use crate::subset;
use crate::subset::Candidate;
use crate::target::LoadReport;
use crate::target::Target;
use crate::target::TargetInfo;
use crate::units::len_f64;
use crate::units::millis;
use crate::units::secs;
use crate::window::Mean;
use crate::window::SlidingMin;
use crate::window::Window;

new_key_type! {
    /// A target at this entry.
    pub struct TargetKey;
    /// A set of targets that requests of one kind may go to.
    pub struct GroupKey;
    /// One request at one target.
    pub struct AttemptKey;
}

/// What the zone weighs: a target in another zone is taken if it is a tenth less full. The way
/// there costs 1 to 3 ms, which a tenth less of a batch brings back.
const ZONE_PENALTY: f64 = 0.1;

/// What a wholly cached prompt weighs: a quarter of a target's room. A hot prefix fills its
/// targets by a quarter more than the others and then goes to further ones, which cache it too.
const CACHE_BONUS: f64 = 0.25;

/// A request is long beyond this many times the mean. In a mix with one in twenty 50 times longer
/// the mean is 3.5 short requests, so that the 50 are long and the usual spread is not.
const LONG_FACTOR: f64 = 4.0;

/// The share of a group's room that long requests may hold. They keep a place fifty times as
/// long: once they hold all, short ones wait for seconds. A quarter for the short alone suffices,
/// as a place that short requests use is free again within a second.
pub const LONG_MAX_SHARE: f64 = 0.75;

/// Up to this share of a group's room long requests take their turn like short ones; beyond it
/// an organisation's short requests go first. So a mix that asks for more than there is cuts the
/// long ones, which can wait, down to half of the room before a short one waits.
pub const LONG_EQUAL_SHARE: f64 = 0.5;

/// The queueing at an engine that is accepted for a full batch: about two requests waiting at an
/// engine with 32 places of one second each.
const ACCEPTED_DELAY: Millis = Millis(60);

/// The queueing accepted at a plain service, in mean answers of an unloaded one: with as much
/// again in its queue a service that works on many calls at once is never idle.
const DELAY_FACTOR: f64 = 1.0;

/// The first answers of a service all count as unloaded, as the limit begins at two.
const WARMUP_ANSWERS: u32 = 20;

/// How long a due probe waits for an idempotent request, before any request may be the probe.
const PROBE_WAIT: Millis = Millis::secs(5);

/// The weight of an answer in a group's long-term means.
const LASTING_WEIGHT: f64 = 1.0 / 64.0;

/// What a group's targets are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupKind {
    /// Model engines: the first token's time tells of the queue.
    Engines,
    /// Plain services, whose answers take unequal time of themselves: a target's recent mean
    /// against the mean of calls sent while it was at most half full tells.
    Service,
}

/// What a choice of target rests on.
#[derive(Clone, Debug, Default)]
pub struct Criteria {
    /// What the request is expected to cost.
    pub cost: Cost,
    /// Hashes of the prompt's leading blocks, each covering all before it.
    pub prefix: Vec<u64>,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// The targets that already had it.
    pub tried: Vec<TargetKey>,
}

#[derive(Debug)]
struct Group {
    kind: GroupKind,
    members: Vec<TargetKey>,
    min_ttft: SlidingMin,
    ttft: Window,
    unloaded_ttft: Mean,
    mean_work: Mean,
    mean_elapsed: Mean,
    long_in_flight: u32,
    in_flight: u32,
}

impl Group {
    fn new(kind: GroupKind) -> Self {
        Self {
            kind,
            members: Vec::new(),
            min_ttft: SlidingMin::default(),
            ttft: Window::default(),
            unloaded_ttft: Mean::default(),
            mean_work: Mean::default(),
            mean_elapsed: Mean::default(),
            long_in_flight: 0,
            in_flight: 0,
        }
    }

    fn accepted_delay(&self) -> Millis {
        match self.kind {
            GroupKind::Engines => ACCEPTED_DELAY,
            GroupKind::Service => {
                let mean = self.unloaded_ttft.get(1).unwrap_or_default();
                ACCEPTED_DELAY.max(millis(mean * DELAY_FACTOR))
            }
        }
    }
}

/// What an attempt is for, beside its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Regular,
    /// Its answer decides whether the target comes back.
    Probe,
}

/// How full the group was when an attempt was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fill {
    /// At most half: what the answer took is the target's own time.
    Low,
    Medium,
    /// No room was left: the limits may be too low.
    Full,
}

#[derive(Debug)]
struct Attempt {
    target: TargetKey,
    group: GroupKey,
    cost: Cost,
    prefix: Vec<u64>,
    sent: Millis,
    first_token: Option<Millis>,
    role: Role,
    fill: Fill,
    long: bool,
    overdue: bool,
}

impl Attempt {
    fn is_probe(&self) -> bool {
        self.role == Role::Probe
    }
}

/// The targets of one entry and what is in flight there.
#[derive(Debug)]
pub struct Router {
    name: InstanceName,
    zone: ZoneName,
    sharers: f64,
    targets: SlotMap<TargetKey, Target>,
    groups: SlotMap<GroupKey, Group>,
    attempts: SlotMap<AttemptKey, Attempt>,
    rng: ChaCha8Rng,
}

impl Router {
    /// The router of the entry `name` in `zone`; `seed` rules its random choices.
    pub fn new(name: InstanceName, zone: ZoneName, seed: u64) -> Self {
        let seed = subset::mix(seed ^ subset::hash(name.as_str()));
        Self {
            name,
            zone,
            sharers: 1.0,
            targets: SlotMap::with_key(),
            groups: SlotMap::with_key(),
            attempts: SlotMap::with_key(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Sets how many entries use one target in the mean: the first limit is a target's slots
    /// shared among them.
    pub fn set_sharers(&mut self, sharers: u32) {
        self.sharers = f64::from(sharers.max(1));
    }

    /// Adds a target; `new` if it came up just now and must start slowly.
    pub fn add_target(&mut self, now: Millis, info: TargetInfo, new: bool) -> TargetKey {
        let target = Target::new(now, info, self.sharers, new);
        self.targets.insert(target)
    }

    /// Gives the target no new work from now on.
    pub fn mark_leaving(&mut self, key: TargetKey) {
        if let Some(target) = self.targets.get_mut(key) {
            target.leaving = true;
        }
    }

    /// Forgets the target; attempts there still have to be finished.
    pub fn remove_target(&mut self, key: TargetKey) {
        self.targets.remove(key);
        for (_, group) in &mut self.groups {
            group.members.retain(|member| *member != key);
        }
    }

    /// Adds a group without targets.
    pub fn add_group(&mut self, kind: GroupKind) -> GroupKey {
        self.groups.insert(Group::new(kind))
    }

    /// Removes a group; its attempts still have to be finished.
    pub fn remove_group(&mut self, group: GroupKey) {
        self.groups.remove(group);
    }

    /// Sets the targets that a group's requests may go to; the entry uses its subset of them.
    pub fn set_candidates(&mut self, group: GroupKey, candidates: &[TargetKey]) {
        let targets = &self.targets;
        let known: Vec<_> = candidates
            .iter()
            .filter_map(|key| targets.get(*key).map(|target| (*key, &target.info)))
            .map(|(key, info)| Candidate {
                key,
                name: info.name.as_str(),
                zone: info.zone.as_str(),
            })
            .collect();
        let members = subset::choose(self.name.as_str(), self.zone.as_str(), &known);
        if let Some(group) = self.groups.get_mut(group) {
            group.members = members;
        }
    }

    /// Learns from a target's load report, which came just now.
    pub fn observe_load(&mut self, now: Millis, key: TargetKey, report: LoadReport) {
        if let Some(target) = self.targets.get_mut(key) {
            target.observe_load(now, report);
        }
    }

    /// Learns from a target's cache event.
    pub fn observe_cache(&mut self, now: Millis, key: TargetKey, event: &CacheEvent) {
        if let Some(target) = self.targets.get_mut(key) {
            target.hints.observe(now, event);
        }
    }

    /// The target as this entry sees it.
    pub fn target(&self, key: TargetKey) -> Option<&Target> {
        self.targets.get(key)
    }

    /// The targets of the group that this entry uses.
    pub fn members(&self, group: GroupKey) -> &[TargetKey] {
        self.groups.get(group).map_or(&[], |group| &group.members)
    }

    /// What may be in flight in the group: the sum of the limits of targets that take work.
    pub fn group_limit(&self, now: Millis, group: GroupKey) -> f64 {
        let takes = |target: &&Target| target.takes_work();
        let members = self.members(group).iter();
        let targets = members.filter_map(|key| self.targets.get(*key));
        targets
            .filter(takes)
            .map(|target| target.allowed(now))
            .sum()
    }

    /// The work that one place of the group's targets does in a second; `None` until measured.
    pub fn slot_rate(&self, group: GroupKey) -> Option<f64> {
        let group = self.groups.get(group)?;
        let elapsed = group.mean_elapsed.get(1)?;
        Some(group.mean_work.get(1)? / elapsed.max(0.001))
    }

    /// The time below which `percent` of the group's first tokens came.
    pub fn ttft_quantile(&self, group: GroupKey, percent: usize) -> Option<Millis> {
        self.groups.get(group)?.ttft.quantile(percent)
    }

    /// Whether a request of this cost is long in its group.
    pub fn is_long(&self, group: GroupKey, cost: Cost) -> bool {
        let mean = self
            .groups
            .get(group)
            .and_then(|group| group.mean_work.get(1));
        mean.is_some_and(|mean| cost.work() > mean * LONG_FACTOR)
    }

    /// How another long request stands to short ones. One may always be sent, so that none
    /// starves.
    pub fn long_priority(&self, now: Millis, group: GroupKey) -> LongPriority {
        let in_flight = self.long_in_flight(group);
        let limit = self.group_limit(now, group);
        let next = f64::from(in_flight) + 1.0;
        if in_flight == 0 || next <= limit * LONG_EQUAL_SHARE {
            LongPriority::Equal
        } else if next <= limit * LONG_MAX_SHARE {
            LongPriority::Lower
        } else {
            LongPriority::Blocked
        }
    }

    /// The long requests in flight in the group.
    pub fn long_in_flight(&self, group: GroupKey) -> u32 {
        self.groups
            .get(group)
            .map_or(0, |group| group.long_in_flight)
    }

    /// The requests in flight in the group.
    pub fn in_flight(&self, group: GroupKey) -> u32 {
        self.groups.get(group).map_or(0, |group| group.in_flight)
    }

    /// Chooses a target with room; `None` if there is none now.
    pub fn choose(
        &mut self,
        now: Millis,
        group: GroupKey,
        criteria: &Criteria,
    ) -> Option<TargetKey> {
        if let Some(due) = self.probe_target(now, group, criteria) {
            return Some(due);
        }
        let free = self.free_targets(now, group, criteria);
        let shortlist = self.shortlist(now, &free, criteria);
        shortlist
            .into_iter()
            .map(|key| (self.score(now, key, criteria), key))
            .min_by(|(a, _), (b, _)| a.total_cmp(b))
            .map(|(_, key)| key)
    }

    /// The targets with room. One that had the request before is taken only if no other works.
    fn free_targets(&self, now: Millis, group: GroupKey, criteria: &Criteria) -> Vec<TargetKey> {
        let works = |key: &TargetKey| self.targets.get(*key).is_some_and(Target::takes_work);
        let untried = |key: &TargetKey| !criteria.tried.contains(key);
        let members = self.members(group);
        let other = members.iter().any(|key| works(key) && untried(key));
        let members = members.iter().copied();
        members
            .filter(|key| self.is_free(now, *key) && (untried(key) || !other))
            .collect()
    }

    /// Whether any target of the group takes work or waits for its probe.
    pub fn has_target(&self, now: Millis, group: GroupKey) -> bool {
        self.members(group).iter().any(|key| {
            let target = self.targets.get(*key);
            target.is_some_and(|t| t.takes_work() || !t.leaving && t.outlier.probe_due(now))
        })
    }

    /// The target of an attempt.
    pub fn target_of(&self, attempt: AttemptKey) -> Option<TargetKey> {
        self.attempts.get(attempt).map(|attempt| attempt.target)
    }

    /// How long an attempt has waited for its first token; `None` once that came.
    pub fn unanswered_for(&self, now: Millis, attempt: AttemptKey) -> Option<Millis> {
        let attempt = self.attempts.get(attempt)?;
        attempt
            .first_token
            .is_none()
            .then_some(now.since(attempt.sent))
    }

    /// Two at random, and those thought to hold some of the prefix.
    fn shortlist(
        &mut self,
        now: Millis,
        free: &[TargetKey],
        criteria: &Criteria,
    ) -> Vec<TargetKey> {
        if free.is_empty() {
            return Vec::new();
        }
        let mut shortlist: Vec<_> = (0..2)
            .map(|_| free[self.rng.random_range(0..free.len())])
            .collect();
        let holders = free
            .iter()
            .filter(|key| self.cached_blocks(now, **key, criteria) > 0);
        shortlist.extend(holders);
        shortlist
    }

    fn probe_target(&self, now: Millis, group: GroupKey, criteria: &Criteria) -> Option<TargetKey> {
        if self.is_long(group, criteria.cost) {
            return None;
        }
        let wait = if criteria.idempotent {
            Millis::ZERO
        } else {
            PROBE_WAIT
        };
        let cutoff = now.since(wait);
        let due = |key: &TargetKey| {
            let target = self.targets.get(*key);
            target.is_some_and(|target| !target.leaving && target.outlier.probe_due(cutoff))
        };
        let mut members = self.members(group).iter().copied();
        members.find(|key| due(key) && !criteria.tried.contains(key))
    }

    fn is_free(&self, now: Millis, key: TargetKey) -> bool {
        let target = self.targets.get(key);
        target.is_some_and(|target| target.takes_work() && target.has_room(now))
    }

    fn cached_blocks(&self, now: Millis, key: TargetKey, criteria: &Criteria) -> usize {
        let target = self.targets.get(key);
        target.map_or(0, |target| {
            target.hints.cached_blocks(now, &criteria.prefix)
        })
    }

    /// How bad a choice the target is.
    fn score(&self, now: Millis, key: TargetKey, criteria: &Criteria) -> f64 {
        let Some(target) = self.targets.get(key) else {
            return f64::INFINITY;
        };
        let penalty = if target.info.zone == self.zone {
            0.0
        } else {
            ZONE_PENALTY
        };
        let bonus = if criteria.prefix.is_empty() {
            0.0
        } else {
            CACHE_BONUS * len_f64(self.cached_blocks(now, key, criteria))
                / len_f64(criteria.prefix.len())
        };
        target.fullness(now) + penalty - bonus
    }

    /// Notes that the request was sent to `key`, which [`Self::choose`] gave.
    pub fn start_attempt(
        &mut self,
        now: Millis,
        group: GroupKey,
        key: TargetKey,
        criteria: &Criteria,
    ) -> AttemptKey {
        let long = self.is_long(group, criteria.cost);
        let mut attempt = Attempt {
            target: key,
            group,
            cost: criteria.cost,
            prefix: criteria.prefix.clone(),
            sent: now,
            first_token: None,
            fill: Fill::Medium,
            long,
            role: Role::Regular,
            overdue: false,
        };
        if let Some(target) = self.targets.get_mut(key) {
            target.in_flight += 1;
            if target.outlier.is_out() {
                attempt.role = Role::Probe;
                target.outlier.probe();
            }
        }
        if let Some(group) = self.groups.get_mut(group) {
            group.long_in_flight += u32::from(long);
            group.in_flight += 1;
        }
        attempt.fill = self.fill(now, group);
        self.attempts.insert(attempt)
    }

    /// Limits grow for want of room in the group: growth of a single full target, while others have
    /// room, would only move the queue into that one.
    fn fill(&self, now: Millis, group: GroupKey) -> Fill {
        let in_flight = f64::from(self.in_flight(group));
        let limit = self.group_limit(now, group);
        if in_flight + 1.5 > limit {
            Fill::Full
        } else if in_flight * 2.0 <= limit {
            Fill::Low
        } else {
            Fill::Medium
        }
    }

    /// Notes that the first token or byte came.
    pub fn first_token(&mut self, now: Millis, key: AttemptKey) {
        let Some(attempt) = self.attempts.get_mut(key) else {
            return;
        };
        if attempt.first_token.is_some() {
            return;
        }
        attempt.first_token = Some(now);
        let ttft = now.since(attempt.sent);
        let (target, group, fill) = (attempt.target, attempt.group, attempt.fill);
        if let Some(group) = self.groups.get_mut(group) {
            group.ttft.add(ttft);
            group.min_ttft.add(now, ttft);
            // A lasting overload must not pass for the usual latency: the goal would follow the
            // queue up, and the limit with it to its ceiling.
            if fill == Fill::Low || group.unloaded_ttft.get(WARMUP_ANSWERS).is_none() {
                group.unloaded_ttft.add(secs(ttft), LASTING_WEIGHT);
            }
        }
        self.learn_ttft(now, key, ttft);
        self.judge_ttft(now, group, target, key);
    }

    /// Ends an attempt with its outcome.
    pub fn finish_attempt(&mut self, now: Millis, key: AttemptKey, outcome: Outcome) {
        if matches!(outcome, Outcome::Ran { .. }) {
            self.first_token(now, key);
        }
        let Some(attempt) = self.remove_attempt(key) else {
            return;
        };
        match outcome {
            Outcome::Ran { cost } => self.learn_completion(now, &attempt, cost),
            Outcome::NotRun(reason) => self.learn_refusal(now, &attempt, reason),
            Outcome::Unknown => self.learn_failure(now, &attempt),
        }
    }

    /// Ends an attempt that was withdrawn and tells nothing of its target.
    pub fn cancel_attempt(&mut self, now: Millis, key: AttemptKey) {
        let Some(attempt) = self.remove_attempt(key) else {
            return;
        };
        if let Some(target) = self.targets.get_mut(attempt.target)
            && attempt.is_probe()
            && target.outlier.is_out()
        {
            target.outlier.withdraw(now);
        }
    }

    fn remove_attempt(&mut self, key: AttemptKey) -> Option<Attempt> {
        let attempt = self.attempts.remove(key)?;
        if let Some(target) = self.targets.get_mut(attempt.target) {
            target.in_flight -= 1;
        }
        if let Some(group) = self.groups.get_mut(attempt.group) {
            group.long_in_flight -= u32::from(attempt.long);
            group.in_flight -= 1;
        }
        Some(attempt)
    }
}
