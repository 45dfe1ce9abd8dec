//! This module chooses the target of a request, or refuses the request at once.
//!
//! *Load pattern*: demand stays above what the engines can process and arrives at many entries that do
//! not coordinate on each request. If requests are forwarded without a bound, they queue in the
//! engines, every first event is late, and callers leave while their work still runs. If only slots are
//! counted, an engine that prefills long prompts looks as full as one that prefills none. Each entry
//! therefore predicts the time to the first event at every target from the engine's published figures,
//! the load that its agent reports and the entry's own requests since that report. It takes the
//! earliest of a few targets sampled at random among those that meet the caller's goal. If no target
//! meets it, the request is refused at once, because waiting would only take the place of a request
//! that can still be served.
//!
//! Other entries send requests between two reports as well. If each entry took all the free slots that
//! a report shows, together they would overfill the few that become free at once. Each entry therefore
//! takes only its [share](Sharers) of an engine's free slots, rounded at random, until the next report.
//!
//! A frozen engine keeps the load of its last report, or has none once that report is stale, and so
//! looks idle. A request that is sent there waits until its caller leaves, and runs when the engine
//! resumes. An engine that has missed several reports therefore gets nothing but a probe, unless most
//! engines are silent: then it is the entry that receives no reports.
//!
//! A target that names a limit for all entries gets no more than this entry's [quota](crate::quota). It
//! counts as full beyond that, so that its callers are not told that the service is gone. A target that asked
//! this entry for [rest](crate::notices) counts as full until the rest ends, and one that leaves as gone. One
//! that is [cold](crate::cold) counts as full until this entry's next token.
//!
//! Operators evacuate a whole availability zone. Its targets get nothing on any path, while their streams end by
//! themselves. If all targets of a service are in such zones, its requests are refused at once: an evacuation lasts
//! longer than any caller waits.
//!
//! A request that is bound to regions counts on the targets there alone, and is refused at once if none is
//! registered: [`residency`](crate::residency) says why.
//!
//! A target whose weights a newer version replaces gets only what it may still [begin](crate::begin).
//!
//! Where that is switched on, the prediction also follows the pace that this entry itself [observes](PaceChange)
//! at a target.
//!
//! Decisions depend only on the time and the observations passed in. They use no clock, network or
//! thread.

mod calls;
mod choice;
mod engine;
mod observe;
mod pace;
mod share;
mod status;
mod target;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use filbertstack_core::Millis;
use filbertstack_core::serving::Residency;
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;

use crate::begin::Grant;
use crate::begin::Replaced;
use crate::begin::Work;
use crate::cold;
use crate::handover::Handover;
use crate::handover::Sign;
use crate::handover::handover;
use crate::notices::Notice;
use crate::notices::Notices;
use crate::permit::Obstacle;
use crate::permit::Way;
use crate::rank::Contender;
use crate::rank::Ranks;
use crate::rank::demand::Demand;
use crate::rate::Rate;
use crate::units::millis;
use crate::units::millis_f64;

use self::choice::Candidates;
pub use self::choice::ChooseError;
pub use self::choice::TargetRequest;
pub use self::engine::pass_ms;
pub use self::engine::prefill_ms;
pub use self::engine::slot_wait_ms;
use self::observe::Observations;
pub use self::pace::PaceChange;
use self::share::FreeSlots;
pub use self::share::Sharers;
pub use self::status::TargetState;
pub use self::status::TargetStatus;
pub use self::target::AttemptEnd;
pub use self::target::Load;
use self::target::Target;
pub use self::target::TargetId;
pub use self::target::TargetSpec;

/// The part of the goal that the predicted first event may take. The rest covers the transfer to the
/// caller and the prediction error of load reports, which arrive with a delay.
const GOAL_SHARE: f64 = 0.72;

/// The number of targets that are sampled at random for a choice: among the preferred targets, the
/// others of the local zone and those of other zones. With all targets, every entry would take the one
/// that was the freest in the last report, such as an engine that has just loaded, and its queue would
/// grow to a second before the next report. With three, no target gets more than three times its share,
/// and only one request in a thousand still goes to a full target.
const SAMPLED_TARGETS: usize = 3;

/// The minimum and maximum retry delay of a refused caller, in milliseconds. The minimum lets a slot
/// become free; the maximum leaves the caller time to receive the answer within its goal.
const RETRY_AFTER_MS: [f64; 2] = [60.0, 400.0];

/// The mean retry delay, in milliseconds, when no target takes work. Engines that lost their weights
/// serve again after some seconds, and callers retry only once. With an immediate retry the callers
/// would find no target again; a delay of more than a third of the callers' patience is not honoured,
/// as they return sooner anyway.
const NO_TARGET_RETRY_MS: f64 = 1_500.0;

/// One entry's view of the targets.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    targets: BTreeMap<TargetId, Target>,
    notices: Notices,
    /// The rate of requests that arrive at this entry, by service.
    demand: BTreeMap<Arc<str>, Rate>,
    ranks: Ranks,
    /// Until when targets may begin requests whose weights may have been replaced unnoticed.
    unnoticed: Option<Replaced>,
    /// What the targets' paces are compared with; `None` where they are not estimated.
    observations: Option<Observations>,
    rng: ChaCha8Rng,
}

impl Dispatcher {
    /// Returns a view without targets. `rng` randomises choices and retry delays.
    pub fn new(rng: ChaCha8Rng) -> Self {
        Self {
            targets: BTreeMap::new(),
            notices: Notices::default(),
            demand: BTreeMap::new(),
            ranks: Ranks::default(),
            unnoticed: None,
            observations: None,
            rng,
        }
    }

    /// Replaces the list of targets. The requests in flight and the health of known targets are kept.
    pub fn set_targets(&mut self, specs: Vec<TargetSpec>) {
        let mut targets = BTreeMap::new();
        for spec in specs {
            let known = self.targets.remove(&spec.id);
            let mut target = known.unwrap_or_else(|| Target::new(spec.clone()));
            target.spec = spec;
            targets.insert(target.spec.id.clone(), target);
        }
        self.targets = targets;
        let services = self.targets.values().map(|t| &t.spec.service);
        let services: BTreeSet<&Arc<str>> = services.collect();
        self.demand.retain(|service, _| services.contains(service));
        self.ranks
            .retain(|known| services.iter().any(|service| ***service == *known));
    }

    /// Counts a request for `service` that arrives. It is counted once, however often a target is
    /// chosen for it.
    pub fn count_request(&mut self, now: Millis, service: &Arc<str>) {
        self.demand.entry(service.clone()).or_default().count(now);
    }

    /// Counts the rank of a request for `service` that arrives, whose goal is `goal`.
    pub fn count_contender(
        &mut self,
        now: Millis,
        service: &Arc<str>,
        contender: &Contender,
        goal: Millis,
    ) {
        self.ranks.count_request(now, service, contender, goal);
    }

    /// Returns the demand at this entry of the services whose requests differ in rank.
    pub fn demand(&self, now: Millis) -> Demand {
        self.ranks.demand(now)
    }

    /// Takes over the demand at all entries, which became known at `at`.
    pub fn set_total_demand(&mut self, at: Millis, total: &Demand) {
        self.ranks.set_total(at, total);
    }

    /// Records a load report.
    pub fn record_load(&mut self, now: Millis, id: &str, load: Load) {
        if let Some(target) = self.targets.get_mut(id) {
            target.record_load(now, load, self.rng.random_range(0.0..1.0));
        }
    }

    /// Chooses the target with the earliest predicted first event.
    ///
    /// # Errors
    /// Returns [`ChooseError`] with a retry delay if no target meets the goal.
    pub fn choose(
        &mut self,
        now: Millis,
        wanted: &TargetRequest<'_>,
    ) -> Result<TargetId, ChooseError> {
        if self.is_evacuated(wanted) {
            let retry_after = self.jitter(NO_TARGET_RETRY_MS);
            return Err(ChooseError::Evacuated { retry_after });
        }
        let prompt = f64::from(wanted.prompt);
        let claim = wanted.contender.map(|contender| {
            self.ranks
                .claim(now, wanted.service, contender, wanted.goal)
        });
        let goal = claim.map_or(wanted.goal, |claim| claim.goal);
        let limit = millis_f64(goal) * GOAL_SHARE;
        let mut candidates = Candidates::default();
        let cut_off = self.is_cut_off(now, wanted.service);
        let demand = self.demand.get(wanted.service);
        let demand = demand.map_or(0.0, Rate::per_ms_at_last);
        let demand = claim.map_or(demand, |claim| claim.demand);
        let free_slots = self.free_slots(now, wanted, limit, cut_off);
        let work = self.with_successor(wanted.work, wanted.service);
        let mut lowest = f64::INFINITY;
        let mut yields = false;
        let mut rest_end = None;
        for target in self.targets.values() {
            let id = &target.spec.id;
            let excluded = !wanted.concerns(target) || wanted.tried.contains(id);
            if excluded {
                continue;
            }
            let reserve = claim.map_or(0.0, |claim| {
                claim.reserve(target.spec.sharers.entries_per_target())
            });
            let predicted = target.predict_within(now, limit, prompt, reserve);
            match self.find_obstacle(now, target) {
                None => {}
                Some(Obstacle::Rests(until)) => {
                    rest_end = Some(rest_end.map_or(until, |end: Millis| end.min(until)));
                    continue;
                }
                // The caller may retry soon: the target serves others, or this entry again.
                Some(Obstacle::LimitReached) => {
                    lowest = lowest.min(predicted);
                    continue;
                }
                Some(Obstacle::Cold(until)) => {
                    let wait = millis_f64(until.since(now));
                    lowest = lowest.min(predicted.max(limit + wait));
                    continue;
                }
                Some(_) => continue,
            }
            if target.grant(now, prompt, work, 0, self.unnoticed).is_none() {
                continue;
            }
            if !cut_off && target.is_silent(now) {
                if target.may_probe(now) {
                    candidates.probes.push((predicted, id.clone()));
                }
                continue;
            }
            lowest = lowest.min(predicted);
            let TargetSpec {
                local: is_local,
                sharers,
                ..
            } = target.spec;
            let share = free_slots[usize::from(is_local)].share(sharers, is_local, demand);
            if predicted > limit || !target.has_room(now, limit, share, reserve) {
                yields |= reserve > 0.0
                    && target.predict(now, prompt) <= limit
                    && target.has_room(now, limit, share, 0.0);
                continue;
            }
            let expected = predicted * target.suspected(now) + target.unseen_delay_ms();
            candidates.add(&target.spec, expected);
        }
        if let Some(id) = self.pick(candidates) {
            if let Some(target) = self.targets.get_mut(&id) {
                target.record_chosen(now, limit, prompt);
            }
            if let Some(contender) = wanted.contender {
                self.ranks.count_admitted(now, wanted.service, contender);
            }
            return Ok(id);
        }
        if !self.is_registered(wanted) {
            let retry_after = self.jitter(NO_TARGET_RETRY_MS);
            return Err(ChooseError::NoRegion { retry_after });
        }
        let rest = rest_end.map(|end| end.since(now));
        let refused = self.refuse(lowest - limit, rest);
        Err(self.spread_retry(now, wanted, refused, yields))
    }

    /// Returns the best of the candidates that were sampled, or else a target to probe.
    fn pick(&mut self, candidates: Candidates) -> Option<TargetId> {
        let sampled = [
            self.sample_best(candidates.preferred),
            self.sample_best(candidates.local),
            self.sample_best(candidates.remote),
        ];
        let sampled = sampled.into_iter().flatten();
        let best = sampled.min_by(|a, b| a.0.total_cmp(&b.0));
        let best = best.or_else(|| self.sample_best(candidates.probes));
        best.map(|(_, id)| id)
    }

    /// Spreads the retries of refused callers over what is served of their rank. `yields` says whether the request
    /// was refused for its rank alone.
    fn spread_retry(
        &mut self,
        now: Millis,
        wanted: &TargetRequest<'_>,
        refused: ChooseError,
        yields: bool,
    ) -> ChooseError {
        let (Some(contender), ChooseError::Full { retry_after }) = (wanted.contender, refused)
        else {
            return refused;
        };
        let draw = self.rng.random_range(0.0..1.0);
        let booked = self.ranks.book_retry(now, wanted.service, contender, draw);
        let retry_after = booked.unwrap_or(retry_after);
        if yields {
            ChooseError::Yields { retry_after }
        } else {
            ChooseError::Full { retry_after }
        }
    }

    /// Returns whether a target is registered that a request bound to regions may be sent to. A request that may
    /// be served everywhere is not asked for one, as it may wait for a target.
    fn is_registered(&self, wanted: &TargetRequest<'_>) -> bool {
        wanted.residency.is_none() || self.targets.values().any(|target| wanted.concerns(target))
    }

    /// Returns the refusal of a request whose earliest first event is `excess_ms` too late, infinite if no
    /// target takes work, while the first of the targets that rest does so for `rest`.
    fn refuse(&mut self, excess_ms: f64, rest: Option<Millis>) -> ChooseError {
        let after_rest = rest.map(|rest| rest + self.jitter(RETRY_AFTER_MS[1]));
        if excess_ms.is_finite() {
            let wait = self.jitter(excess_ms.clamp(RETRY_AFTER_MS[0], RETRY_AFTER_MS[1]));
            let retry_after = after_rest.map_or(wait, |rest| wait.min(rest));
            return ChooseError::Full { retry_after };
        }
        match after_rest {
            Some(retry_after) => ChooseError::Full { retry_after },
            None => ChooseError::NoTarget {
                retry_after: self.jitter(NO_TARGET_RETRY_MS),
            },
        }
    }

    /// Returns whether targets may serve the request, and all of them are in evacuated zones.
    fn is_evacuated(&self, wanted: &TargetRequest<'_>) -> bool {
        let mut targets = self
            .targets
            .values()
            .filter(|t| wanted.concerns(t))
            .peekable();
        targets.peek().is_some() && targets.all(|t| t.spec.evacuated)
    }

    /// Returns the free slots of the targets in other zones that a request may be sent to, and of those in the
    /// local zone.
    fn free_slots(
        &self,
        now: Millis,
        wanted: &TargetRequest<'_>,
        limit: f64,
        cut_off: bool,
    ) -> [FreeSlots; 2] {
        let mut free_slots = [FreeSlots::default(); 2];
        for target in self.targets.values() {
            if !wanted.concerns(target) {
                continue;
            }
            let is_heard = cut_off || !target.is_silent(now);
            let free = target.free_slots(now, limit);
            let is_usable = self.find_obstacle(now, target).is_none();
            let free = free.filter(|_| is_heard && is_usable);
            free_slots[usize::from(target.spec.local)].add(free, target.spec.sharers);
        }
        free_slots
    }

    /// Returns whether most engines of a service are silent. Then it is this entry that receives no
    /// reports, for example because its voter was lost, and the silence says nothing about the engines.
    fn is_cut_off(&self, now: Millis, service: &str) -> bool {
        let targets = self.targets.values();
        let mut balance = 0_i32;
        for target in targets.filter(|t| &*t.spec.service == service && t.has_reported()) {
            balance += if target.is_silent(now) { 1 } else { -1 };
        }
        balance > 0
    }

    /// Returns whether an engine is silent although others of its service are heard, or is unknown.
    pub fn is_silent(&self, now: Millis, id: &str) -> bool {
        let target = self.targets.get(id);
        target.is_none_or(|t| t.is_silent(now) && !self.is_cut_off(now, &t.spec.service))
    }

    /// Records that bytes of an answer came from `id`.
    pub fn record_activity(&mut self, now: Millis, id: &str) {
        if let Some(target) = self.targets.get_mut(id) {
            target.record_activity(now);
        }
    }

    /// Returns the basis for choosing `id`: the predicted milliseconds to the first event of a prompt,
    /// and the age of the load report unless it is missing or stale.
    pub fn prediction(&self, now: Millis, id: &str, prompt: u32) -> (f64, Option<Millis>) {
        let Some(target) = self.targets.get(id) else {
            return (0.0, None);
        };
        (
            target.predict(now, f64::from(prompt)),
            target.report_age(now),
        )
    }

    /// Returns how long `id` has sent neither a report nor bytes of an answer; `None` if it never did.
    pub fn silence(&self, now: Millis, id: &str) -> Option<Millis> {
        self.targets.get(id)?.silence(now)
    }

    /// Returns the best of a few targets sampled at random.
    fn sample_best(&mut self, mut candidates: Vec<(f64, TargetId)>) -> Option<(f64, TargetId)> {
        let mut best: Option<(f64, TargetId)> = None;
        for _ in 0..SAMPLED_TARGETS.min(candidates.len()) {
            let (score, id) = candidates.swap_remove(self.rng.random_range(0..candidates.len()));
            if best.as_ref().is_none_or(|(lowest, _)| score < *lowest) {
                best = Some((score, id));
            }
        }
        best
    }

    /// Returns a retry delay around `mean`, randomised so that callers refused at the same moment do
    /// not all return at the same moment.
    fn jitter(&mut self, mean: f64) -> Millis {
        millis(mean * self.rng.random_range(0.6..1.4) / 1_000.0)
    }

    /// Counts a request that is sent to `id`.
    pub fn count_sent(&mut self, now: Millis, id: &str, prompt: u32) {
        if let Some(target) = self.targets.get_mut(id) {
            target.count_sent(now, prompt);
        }
    }

    /// Counts the first event of a request at `id`.
    pub fn count_first_event(&mut self, now: Millis, id: &str, prompt: u32) {
        if let Some(target) = self.targets.get_mut(id) {
            target.record_activity(now);
            target.record_taken();
            target.count_prefilled(prompt);
        }
    }

    /// Counts the end of a request at `id`. `unread` is its prompt length if no event arrived, else 0.
    pub fn count_end(&mut self, now: Millis, id: &str, unread: u32, ended: AttemptEnd) {
        if let Some(target) = self.targets.get_mut(id) {
            target.count_end(now, unread, ended);
        }
    }

    /// Sets this entry's share of the limit that a target names, in requests a second; `None` if it names
    /// none.
    pub fn set_quota(&mut self, now: Millis, id: &str, per_s: Option<f64>) {
        if let Some(target) = self.targets.get_mut(id) {
            target.set_quota(now, per_s);
        }
    }

    /// Sets what this entry may send to a target that is cold; `None` if it is not.
    pub fn set_cold(&mut self, now: Millis, id: &str, limit: Option<cold::Limit>) {
        if let Some(target) = self.targets.get_mut(id) {
            target.set_cold(now, limit);
        }
    }

    /// Records that a request for which `id` was chosen is written now, after the wait for its connection.
    pub fn record_written(&mut self, now: Millis, id: &str) {
        if let Some(target) = self.targets.get_mut(id) {
            target.take_cold(now);
        }
    }

    /// Returns why a request that is to be sent by `way` now, and for which `id` was chosen at `chosen_at`,
    /// may not be sent there. A target may have become cold since, and one that was cold has given it a place
    /// for one send. The regions where the request may be served, `None` if everywhere, may have been replaced.
    pub fn send_obstacle(
        &self,
        now: Millis,
        id: &str,
        chosen_at: Millis,
        way: Way,
        residency: Option<&Residency>,
    ) -> Option<Obstacle> {
        let target = self.targets.get(id);
        let bound = target.zip(residency);
        if bound.is_some_and(|(t, r)| !r.allows(t.spec.region.as_deref())) {
            return Some(Obstacle::NotAllowed);
        }
        let cold = target.and_then(|target| target.cold_obstacle(now));
        let has_place = |t: &Target| way != Way::Resend && t.has_token(chosen_at);
        let cold = cold.filter(|_| !target.is_some_and(has_place));
        let other = self.obstacle(now, id);
        cold.or(other.filter(|other| !matches!(other, Obstacle::Cold(_))))
    }

    /// Returns the time that a target gets now for a request with a prompt of `prompt` tokens that counts as sent to it;
    /// `None` if it may not begin the request, or is not known any more.
    pub fn grant(&self, now: Millis, id: &str, prompt: u32, work: Work) -> Option<Grant> {
        let target = self.targets.get(id)?;
        let work = self.with_successor(work, &target.spec.service);
        target.grant(now, f64::from(prompt), work, 1, self.unnoticed)
    }

    /// Returns how a request is handed over to a target; `None` if it is sent at once.
    pub fn handover(&self, id: &str, has_body: bool) -> Option<Handover> {
        let target = self.targets.get(id)?;
        handover(target.weights(), target.sign, has_body)
    }

    /// Returns whether a request that a target gets now with a time limit of `limit` may begin later than its weights may.
    pub fn outlasts_weights(&self, now: Millis, id: &str, limit: Millis) -> bool {
        let target = self.targets.get(id);
        let replaced = target.and_then(|target| target.replaced(self.unnoticed));
        replaced.is_some_and(|replaced| limit > replaced.begin_by.since(now))
    }

    /// Sets until when targets may begin requests whose weights may have been replaced unnoticed; `None` if all are known.
    pub fn set_unnoticed(&mut self, unnoticed: Option<Replaced>) {
        self.unnoticed = unnoticed;
    }

    /// Records how a target has shown that it reads.
    pub fn record_sign(&mut self, id: &str, sign: Sign) {
        if let Some(target) = self.targets.get_mut(id) {
            target.sign = sign;
        }
    }

    /// Returns `work` with whether a target of the service has the newest weights: without one, those that a limit ends
    /// would end with it.
    fn with_successor(&self, work: Work, service: &str) -> Work {
        let continues = |target: &Target| {
            let TargetSpec {
                service: served,
                accepts_work,
                replaced,
                ..
            } = &target.spec;
            **served == *service && *accepts_work && replaced.is_none()
        };
        Work {
            successor: work.movable && self.targets.values().any(continues),
            ..work
        }
    }

    /// Records that a target asks this entry for rest.
    pub fn record_rest(&mut self, now: Millis, id: &TargetId, rest: Millis) {
        self.notices.record_rest(now, id, rest);
    }

    /// Records that a target leaves.
    pub fn record_leaving(&mut self, id: &TargetId) {
        self.notices.record_leaving(id);
    }

    /// Returns why a target gets no request now.
    pub fn obstacle(&self, now: Millis, id: &str) -> Option<Obstacle> {
        match self.targets.get(id) {
            Some(target) => self.find_obstacle(now, target),
            None => self.noticed(now, id).or(Some(Obstacle::TakesNoWork)),
        }
    }

    fn find_obstacle(&self, now: Millis, target: &Target) -> Option<Obstacle> {
        let obstacle = target.obstacle(now);
        if let Some(Obstacle::Evacuated | Obstacle::TakesNoWork) = obstacle {
            return obstacle;
        }
        self.noticed(now, &target.spec.id).or(obstacle)
    }

    /// Returns what a target has asked for.
    fn noticed(&self, now: Millis, id: &str) -> Option<Obstacle> {
        self.notices.find(now, id).map(|notice| match notice {
            Notice::Rest { until } => Obstacle::Rests(until),
            Notice::Leaving => Obstacle::Leaves,
        })
    }

    /// Counts a request that is sent to the same target again. It is in flight already.
    pub fn count_resent(&mut self, now: Millis, id: &str) {
        if let Some(target) = self.targets.get_mut(id) {
            target.take_quota(now);
        }
    }

    /// Drops what no longer matters of what targets asked for. `is_known` returns whether an instance may
    /// still be, or become, a target.
    pub fn retain_notices(&mut self, now: Millis, is_known: impl Fn(&str) -> bool) {
        self.notices.retain(now, is_known);
    }

    /// Suspends a target for `span` at least, because it refused a request for a reason that will persist for
    /// a while.
    pub fn suspend(&mut self, now: Millis, id: &str, span: Millis) {
        if let Some(target) = self.targets.get_mut(id) {
            target.suspend(now + span);
        }
    }
}
