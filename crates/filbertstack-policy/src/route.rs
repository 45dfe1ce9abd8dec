//! Chooses a target for each request.
//!
//! *Load pattern*: requests differ widely in length, targets differ in speed, load reports are about a second
//! old, and other entries choose at the same time. Round robin keeps sending to a slow target until that
//! target holds most of the work. Always taking the least loaded target sends the next requests of every
//! entry to the one target whose report looks best. Choosing the better of two random targets with room
//! avoids both: an entry's own in-flight counts are exact, and an old report only shifts the choice.

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
    /// Identifies a target at this entry.
    pub struct TargetKey;
    /// Identifies a set of targets that serve requests of one kind.
    pub struct GroupKey;
    /// Identifies one attempt of a request at one target.
    pub struct AttemptKey;
}

/// The penalty for a target in another zone: such a target is chosen only if it is a tenth less full. A
/// request to another zone takes 1 to 3 ms longer, which a batch that is a tenth less full makes up for.
const ZONE_PENALTY: f64 = 0.1;

/// The bonus for a prompt that is cached completely, as a share of a target's room. A hot prefix fills its
/// targets a quarter more than the others, and then moves to further targets, which cache it too.
const CACHE_BONUS: f64 = 0.25;

/// A request is long if its work exceeds the group's mean by this factor. In a mix where one request in
/// twenty is 50 times longer, the mean is 3.5 short requests, so the 50-fold requests are long and the usual
/// variation is not.
const LONG_FACTOR: f64 = 4.0;

/// The largest share of a group's limit that long requests may use. A long request can hold its slot fifty
/// times as long as a short one: if long requests held all slots, short ones would wait for seconds.
/// Reserving a quarter for short requests is enough, because they release a slot within a second.
pub const LONG_MAX_SHARE: f64 = 0.75;

/// The share of a group's limit up to which long requests are served in the same order as short ones. Above
/// it, an organisation's short requests go first. Under overload, long requests, which tolerate waiting, are
/// therefore reduced to half of the limit before a short request waits.
pub const LONG_EQUAL_SHARE: f64 = 0.5;

/// The queueing delay that is accepted at an engine to keep its batch full: about two waiting requests at an
/// engine with 32 slots and requests of one second.
const ACCEPTED_DELAY: Millis = Millis(60);

/// The queueing delay that is accepted at a plain service, as a multiple of the mean answer time of an
/// unloaded service. With one answer time's worth of work queued, a service that handles many calls at once
/// is never idle.
const DELAY_FACTOR: f64 = 1.0;

/// The number of first answers of a service that count as unloaded, because the limit starts at two.
const WARMUP_ANSWERS: u32 = 20;

/// The time for which a due probe waits for an idempotent request before any other request may be the probe.
const PROBE_WAIT: Millis = Millis::secs(5);

/// The weight of one answer in a group's long-term means.
const LASTING_WEIGHT: f64 = 1.0 / 64.0;

/// The kind of targets in a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupKind {
    /// Model engines. Their queueing delay shows in the time to first token.
    Engines,
    /// Plain services. Their answer times vary without any load, so a target's recent mean is compared with
    /// the mean of calls that were sent while the group was at most half full.
    Service,
}

/// The criteria for the choice of a target.
#[derive(Clone, Debug, Default)]
pub struct Criteria {
    /// The expected cost of the request.
    pub cost: Cost,
    /// The hashes of the prompt's leading blocks. Each hash covers all blocks before it.
    pub prefix: Vec<u64>,
    /// Whether the request may run twice.
    pub idempotent: bool,
    /// The targets to which the request was already sent.
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

/// The purpose of an attempt apart from serving its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Regular,
    /// The attempt's answer decides whether an ejected target is readmitted.
    Probe,
}

/// The fill level of the group when an attempt was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fill {
    /// At most half of the limit was used: the answer time is the target's own time without queueing.
    Low,
    Medium,
    /// No room was left, so the limits may be too low.
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

/// The targets of one entry and the attempts in flight at them.
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
    /// Creates the router of the entry `name` in `zone`. The random choices are seeded with `seed`.
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

    /// Sets the mean number of entries that use one target. The initial limit is a target's slots divided by
    /// this number.
    pub fn set_sharers(&mut self, sharers: u32) {
        self.sharers = f64::from(sharers.max(1));
    }

    /// Adds a target. `new` marks a target that has just come up, whose limit is ramped up.
    pub fn add_target(&mut self, now: Millis, info: TargetInfo, new: bool) -> TargetKey {
        let target = Target::new(now, info, self.sharers, new);
        self.targets.insert(target)
    }

    /// Marks a target as leaving. It gets no further requests.
    pub fn mark_leaving(&mut self, key: TargetKey) {
        if let Some(target) = self.targets.get_mut(key) {
            target.leaving = true;
        }
    }

    /// Removes a target. Its attempts still have to be finished.
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

    /// Removes a group. Its attempts still have to be finished.
    pub fn remove_group(&mut self, group: GroupKey) {
        self.groups.remove(group);
    }

    /// Sets the targets that a group's requests may use. The entry uses its own subset of them.
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

    /// Records a target's load report, which arrived just now.
    pub fn observe_load(&mut self, now: Millis, key: TargetKey, report: LoadReport) {
        if let Some(target) = self.targets.get_mut(key) {
            target.observe_load(now, report);
        }
    }

    /// Records a target's cache event.
    pub fn observe_cache(&mut self, now: Millis, key: TargetKey, event: &CacheEvent) {
        if let Some(target) = self.targets.get_mut(key) {
            target.hints.observe(now, event);
        }
    }

    /// Returns the state of a target as this entry sees it.
    pub fn target(&self, key: TargetKey) -> Option<&Target> {
        self.targets.get(key)
    }

    /// Returns the targets of the group that this entry uses.
    pub fn members(&self, group: GroupKey) -> &[TargetKey] {
        self.groups.get(group).map_or(&[], |group| &group.members)
    }

    /// Returns the number of requests that may be in flight in the group: the sum of the limits of targets
    /// that take work.
    pub fn group_limit(&self, now: Millis, group: GroupKey) -> f64 {
        let takes = |target: &&Target| target.takes_work();
        let members = self.members(group).iter();
        let targets = members.filter_map(|key| self.targets.get(*key));
        targets
            .filter(takes)
            .map(|target| target.allowed(now))
            .sum()
    }

    /// Returns the work that one slot of the group's targets completes in a second, or `None` before any
    /// answer was measured.
    pub fn slot_rate(&self, group: GroupKey) -> Option<f64> {
        let group = self.groups.get(group)?;
        let elapsed = group.mean_elapsed.get(1)?;
        Some(group.mean_work.get(1)? / elapsed.max(0.001))
    }

    /// Returns the TTFT below which `percent` of the group's recent first tokens arrived.
    pub fn ttft_quantile(&self, group: GroupKey, percent: usize) -> Option<Millis> {
        self.groups.get(group)?.ttft.quantile(percent)
    }

    /// Returns whether a request of this cost is long for its group.
    pub fn is_long(&self, group: GroupKey, cost: Cost) -> bool {
        let mean = self
            .groups
            .get(group)
            .and_then(|group| group.mean_work.get(1));
        mean.is_some_and(|mean| cost.work() > mean * LONG_FACTOR)
    }

    /// Returns the priority of the next long request against short ones. One long request may always be sent,
    /// so that long requests never starve.
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

    /// Returns the number of long requests in flight in the group.
    pub fn long_in_flight(&self, group: GroupKey) -> u32 {
        self.groups
            .get(group)
            .map_or(0, |group| group.long_in_flight)
    }

    /// Returns the number of requests in flight in the group.
    pub fn in_flight(&self, group: GroupKey) -> u32 {
        self.groups.get(group).map_or(0, |group| group.in_flight)
    }

    /// Chooses a target with room, or returns `None` if no target has room now.
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

    /// Returns the targets with room. A target that already had the request is included only if no other
    /// target of the group takes work.
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

    /// Returns whether any target of the group takes work or is due for a probe.
    pub fn has_target(&self, now: Millis, group: GroupKey) -> bool {
        self.members(group).iter().any(|key| {
            let target = self.targets.get(*key);
            target.is_some_and(|t| t.takes_work() || !t.leaving && t.outlier.probe_due(now))
        })
    }

    /// Returns the target of an attempt.
    pub fn target_of(&self, attempt: AttemptKey) -> Option<TargetKey> {
        self.attempts.get(attempt).map(|attempt| attempt.target)
    }

    /// Returns the time that an attempt has waited for its first token, or `None` once the token has arrived.
    pub fn unanswered_for(&self, now: Millis, attempt: AttemptKey) -> Option<Millis> {
        let attempt = self.attempts.get(attempt)?;
        attempt
            .first_token
            .is_none()
            .then_some(now.since(attempt.sent))
    }

    /// Returns two random targets and those that are expected to have part of the prefix cached.
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

    /// Returns the score of a target; the target with the lowest score is chosen.
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

    /// Records that a request is sent to `key`, which [`Self::choose`] returned, and returns the new attempt.
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
            if target.outlier.is_ejected() {
                attempt.role = Role::Probe;
                target.outlier.start_probe();
            }
        }
        if let Some(group) = self.groups.get_mut(group) {
            group.long_in_flight += u32::from(long);
            group.in_flight += 1;
        }
        attempt.fill = self.fill(now, group);
        self.attempts.insert(attempt)
    }

    /// Returns the fill level of the group. Limits grow only if the whole group is full: if a single full
    /// target's limit grew while others had room, the queue would merely move into that target.
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

    /// Records that an attempt's first token or byte arrived.
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
            // The unloaded TTFT must not include a lasting overload: the accepted delay would grow with the
            // queue, and the limit would grow to its ceiling.
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

    /// Ends an attempt that was withdrawn. Its end says nothing about the target.
    pub fn cancel_attempt(&mut self, now: Millis, key: AttemptKey) {
        let Some(attempt) = self.remove_attempt(key) else {
            return;
        };
        if let Some(target) = self.targets.get_mut(attempt.target)
            && attempt.is_probe()
            && target.outlier.is_ejected()
        {
            target.outlier.cancel_probe(now);
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
