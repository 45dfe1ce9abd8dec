//! This module keeps one target's state at an entry: its last report, the entry's own requests there
//! and its health.

use std::collections::VecDeque;
use std::sync::Arc;

use filbertstack_core::Millis;
use filbertstack_core::serving::EngineModel;

use super::Sharers;
use super::calls;
use super::calls::CallTimes;
use super::engine::first_event_ms;
use super::engine::mean_pass_ms;
use super::engine::pass_ms;
use super::engine::prefill_ms;
use super::engine::slot_wait_ms;
use super::pace::Pace;
use super::pace::USUAL_BELOW;
use crate::begin;
use crate::begin::Expected;
use crate::begin::Grant;
use crate::begin::Replaced;
use crate::begin::Work;
use crate::cold;
use crate::cold::Bucket;
use crate::handover::Sign;
use crate::handover::Weights;
use crate::outlier::Health;
use crate::outlier::Outlier;
use crate::permit::Obstacle;
use crate::quota::Quota;
use crate::units::millis;
use crate::units::millis_f64;
use crate::units::secs;

/// The maximum number of own requests that are remembered as not yet reported, at a target without
/// reports.
const MAX_UNREPORTED: usize = 64;

/// The age from which a report is ignored: its engine or agent is silent.
const STALE_AFTER: Millis = Millis::secs(2);

/// The silence after which an engine that reported before gets no work: seven usual report intervals,
/// and the same time after which an entry leaves a silent voter.
const SILENT_AFTER: Millis = Millis(700);

/// The interval at which all entries that use a silent engine together probe it with one request, if no
/// other target can take that request. The probe finds an engine that serves although its agent has
/// ended, and few callers are affected by engines that are frozen.
const PROBE_INTERVAL: Millis = Millis::secs(1);

/// The age of a report when it arrives, as it passes through a voter that batches reports. It does not
/// include requests sent since it was measured.
const REPORT_LAG: Millis = Millis(70);

/// How long a target that turned a request away gets none: some steps of a full batch. The pause doubles with
/// each further request that it turns away in a row, as an engine in need that takes nothing looks the freest
/// by its reports.
const TURNED_AWAY_PAUSE: Millis = Millis(60);

/// The number of times that the pause doubles. With a pause of a second at most, an engine that has recovered
/// soon gets work again.
const MAX_DOUBLINGS: u32 = 4;

/// A target's identity: one start of the instance at an address.
pub type TargetId = Arc<str>;

/// The properties of a target that are known before any request is sent to it.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetSpec {
    /// The target's identity.
    pub id: TargetId,
    /// The service that the target belongs to.
    pub service: Arc<str>,
    /// The number of requests that the target processes at once.
    pub slots: u32,
    /// Whether the target is in the entry's zone.
    pub local: bool,
    /// The entries that share the target's slots.
    pub sharers: Sharers,
    /// The published figures of the engine; `None` for a plain service.
    pub engine: Option<Arc<EngineModel>>,
    /// Whether the target takes new work.
    pub accepts_work: bool,
    /// The region of the target; `None` if it is not known.
    pub region: Option<Arc<str>>,
    /// Whether the target is in an availability zone that is evacuated.
    pub evacuated: bool,
    /// Until when the target may begin requests, if a newer version replaces its weights.
    pub replaced: Option<Replaced>,
}

/// The load of an engine as its agent reports it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// The number of running requests.
    pub running: u32,
    /// The number of waiting requests.
    pub waiting: u32,
    /// The factor by which the engine is slower than usual.
    pub pace: f64,
}

impl Load {
    /// Returns the number of requests at the engine.
    fn present(self) -> f64 {
        f64::from(self.running + self.waiting)
    }
}

/// The end of an attempt at a target, as far as it concerns the target's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The target answered after this time.
    Answered(Millis),
    /// The target turned the request away.
    TurnedAway,
    /// The request was not sent, or the target failed it without being lost; it is healthy.
    Refused,
    /// The target gave no answer.
    Failed,
    /// The caller left; this says nothing about the target.
    CallerLeft,
    /// Another target gives the answer; this says nothing about the target.
    Superseded,
}

#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) spec: TargetSpec,
    in_flight: u32,
    /// The prompt tokens of requests that had no first event yet.
    pending_tokens: f64,
    load: Option<(Millis, Load)>,
    /// The number of prompts that the engine had not read at the last report, by the change of its load.
    unread: f64,
    /// The time when the last report or the last bytes of an answer arrived.
    last_heard: Millis,
    /// The time when the last request was sent.
    last_sent: Millis,
    /// The times of own requests that the last report may not include.
    unreported_sends: VecDeque<Millis>,
    /// A random number from 0 to 1, drawn for each report, that decides whether the fractional part of
    /// this entry's share of the free slots is rounded up.
    rounding: f64,
    calls: CallTimes,
    /// The mean duration of a call to the targets of the service, in milliseconds, where paces are estimated.
    usual_call_ms: Option<f64>,
    /// The pace that this entry observes.
    pub(super) pace: Pace,
    outlier: Outlier,
    /// The time until which the target takes nothing, as it announced itself.
    suspended_until: Millis,
    /// The number of pauses in a row, as the target turned requests away and took none in between.
    pauses: u32,
    /// This entry's share of the limit that the target names, if it names one.
    quota: Option<Quota>,
    /// This entry's tokens while the target is cold, if it was ever cold.
    cold: Option<Bucket>,
    /// How the target shows that it reads.
    pub(super) sign: Sign,
}

impl Target {
    pub(super) fn new(spec: TargetSpec) -> Self {
        Self {
            spec,
            in_flight: 0,
            pending_tokens: 0.0,
            load: None,
            unread: 0.0,
            last_heard: Millis::ZERO,
            last_sent: Millis::ZERO,
            unreported_sends: VecDeque::new(),
            rounding: 0.0,
            calls: CallTimes::default(),
            usual_call_ms: None,
            pace: Pace::default(),
            outlier: Outlier::default(),
            suspended_until: Millis::ZERO,
            pauses: 0,
            quota: None,
            cold: None,
            sign: Sign::default(),
        }
    }

    /// Returns why the target gets no request now, as far as its state at this entry says.
    pub(super) fn obstacle(&self, now: Millis) -> Option<Obstacle> {
        let healthy = match self.outlier.health() {
            Health::Healthy => true,
            Health::Ejected { .. } => self.outlier.probe_due(now),
            Health::Probing => false,
        };
        if self.spec.evacuated {
            Some(Obstacle::Evacuated)
        } else if !self.spec.accepts_work {
            Some(Obstacle::TakesNoWork)
        } else if !healthy {
            Some(Obstacle::Ejected)
        } else if now < self.suspended_until {
            Some(Obstacle::Paused)
        } else if self.quota.is_some_and(|quota| !quota.may_send(now)) {
            Some(Obstacle::LimitReached)
        } else {
            self.cold_obstacle(now)
        }
    }

    /// Returns whether the target is cold and this entry may send it nothing now.
    pub(super) fn cold_obstacle(&self, now: Millis) -> Option<Obstacle> {
        let cold = self.cold.filter(|cold| !cold.may_send(now));
        cold.map(|cold| Obstacle::Cold(cold.next_at()))
    }

    /// Returns what this entry may send while the target is cold; `None` if it is not.
    pub(super) fn cold_limit(&self, now: Millis) -> Option<cold::Limit> {
        let cold = self.cold.filter(|cold| cold.is_cold(now));
        cold.map(|cold| cold.limit())
    }

    /// Returns whether the target failed requests and is ejected, or is being probed.
    pub(super) fn is_ejected(&self) -> bool {
        self.outlier.is_ejected()
    }

    /// Returns whether a request for which the target was chosen at `chosen_at` has taken a token, if the
    /// target is cold.
    pub(super) fn has_token(&self, chosen_at: Millis) -> bool {
        self.cold.is_none_or(|cold| cold.has_token(chosen_at))
    }

    /// Takes this entry's token for a cold target.
    pub(super) fn take_cold(&mut self, now: Millis) {
        if let Some(cold) = &mut self.cold {
            cold.record_sent(now);
        }
    }

    /// Sets what this entry may send while the target is cold; `None` if it is not.
    pub(super) fn set_cold(&mut self, now: Millis, limit: Option<cold::Limit>) {
        match (&mut self.cold, limit) {
            (Some(cold), Some(limit)) => cold.update(now, limit),
            (cold, limit) => *cold = limit.map(|limit| Bucket::new(now, limit)),
        }
    }

    /// Takes a request from this entry's share of the target's limit, and its token while the target is cold.
    pub(super) fn take_quota(&mut self, now: Millis) {
        if let Some(quota) = &mut self.quota {
            quota.take(now);
        }
        self.take_cold(now);
    }

    /// Sets this entry's share of the target's limit, in requests a second.
    pub(super) fn set_quota(&mut self, now: Millis, per_s: Option<f64>) {
        match (&mut self.quota, per_s) {
            (Some(quota), Some(per_s)) => quota.set_rate(now, per_s),
            (quota, per_s) => *quota = per_s.map(|per_s| Quota::new(now, per_s)),
        }
    }

    /// Records a load report. `rounding`, from 0 to 1, is drawn at random for it.
    pub(super) fn record_load(&mut self, now: Millis, load: Load, rounding: f64) {
        self.unread = self.unread_after(now, load);
        self.load = Some((now, load));
        self.last_heard = now;
        let measured = Millis(now.0.saturating_sub(REPORT_LAG.0));
        self.unreported_sends.retain(|sent| *sent > measured);
        self.rounding = rounding;
    }

    /// Records that bytes of an answer came.
    pub(super) fn record_activity(&mut self, now: Millis) {
        self.last_heard = now;
    }

    /// Suspends the target until `until` at least.
    pub(super) fn suspend(&mut self, until: Millis) {
        self.suspended_until = self.suspended_until.max(until);
    }

    /// Suspends the target because it turned a request away. Requests that were on their way together count
    /// once.
    fn pause(&mut self, now: Millis) {
        if now < self.suspended_until {
            return;
        }
        let span = Millis(TURNED_AWAY_PAUSE.0 << self.pauses.min(MAX_DOUBLINGS));
        self.pauses += 1;
        self.suspend(now + span);
    }

    /// Records that the target took a request.
    pub(super) fn record_taken(&mut self) {
        self.pauses = 0;
    }

    /// Counts a request that is sent to the target.
    pub(super) fn count_sent(&mut self, now: Millis, prompt: u32) {
        if self.outlier.probe_due(now) {
            self.outlier.start_probe();
        }
        self.take_quota(now);
        self.in_flight += 1;
        self.last_sent = now;
        self.unreported_sends.push_back(now);
        if self.unreported_sends.len() > MAX_UNREPORTED {
            self.unreported_sends.pop_front();
        }
        self.pending_tokens += f64::from(prompt);
    }

    /// Counts a prompt as prefilled or abandoned.
    pub(super) fn count_prefilled(&mut self, prompt: u32) {
        self.pending_tokens = (self.pending_tokens - f64::from(prompt)).max(0.0);
    }

    /// Counts the end of a request. `unread` is its prompt length if no event arrived, else 0.
    pub(super) fn count_end(&mut self, now: Millis, unread: u32, ended: AttemptEnd) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.count_prefilled(unread);
        match ended {
            AttemptEnd::Answered(took) => self.record_success(now, took),
            AttemptEnd::Failed => {
                let out = self.outlier.is_ejected();
                if self.outlier.record_failure() || out {
                    self.outlier.eject_lost(now);
                }
            }
            AttemptEnd::TurnedAway => {
                self.unreported_sends.pop_back();
                self.cancel_probe(now);
                self.pause(now);
            }
            AttemptEnd::Refused => {
                self.unreported_sends.pop_back();
                self.cancel_probe(now);
            }
            AttemptEnd::CallerLeft | AttemptEnd::Superseded => self.cancel_probe(now),
        }
    }

    fn record_success(&mut self, now: Millis, took: Millis) {
        self.calls.record_answer(now, took);
        self.record_taken();
        self.outlier.record_success();
        if self.outlier.is_ejected() {
            self.outlier.readmit();
        }
    }

    /// Cancels a probe whose outcome says nothing about the target's health.
    fn cancel_probe(&mut self, now: Millis) {
        if self.outlier.health() == Health::Probing {
            self.outlier.cancel_probe(now);
        }
    }

    /// Returns whether the target ever reported a load.
    pub(super) fn has_reported(&self) -> bool {
        self.load.is_some()
    }

    /// Returns the age of the last report, unless it is stale.
    pub(super) fn report_age(&self, now: Millis) -> Option<Millis> {
        self.fresh_load(now)
            .map(|(at, _)| now.since(at) + REPORT_LAG)
    }

    /// Returns how long the target has not been heard; `None` if it never was.
    pub(super) fn silence(&self, now: Millis) -> Option<Millis> {
        (self.last_heard > Millis::ZERO).then(|| now.since(self.last_heard))
    }

    /// Returns whether the target reported before but is no longer heard.
    pub(super) fn is_silent(&self, now: Millis) -> bool {
        self.load.is_some() && now.since(self.last_heard) > SILENT_AFTER
    }

    /// Returns whether a silent target may be probed. The interval is randomised so that the entries do
    /// not probe at the same time.
    pub(super) fn may_probe(&self, now: Millis) -> bool {
        let jitter = 0.5 + self.rounding;
        let pause = millis(secs(PROBE_INTERVAL) * self.spec.sharers.users() * jitter);
        self.in_flight == 0 && now.since(self.last_sent.max(self.last_heard)) >= pause
    }

    /// Returns the last report, unless it is stale.
    fn fresh_load(&self, now: Millis) -> Option<(Millis, Load)> {
        self.load.filter(|(at, _)| now.since(*at) < STALE_AFTER)
    }

    /// Returns the number of requests at the target, as far as this entry can know.
    fn occupancy(&self, now: Millis) -> f64 {
        let reported = self
            .fresh_load(now)
            .map(|(_, load)| load.running + load.waiting);
        let present = reported.map_or(0, |reported| reported + self.unreported());
        f64::from(self.in_flight.max(present))
    }

    /// Returns the number of own requests that the last report does not include yet.
    fn unreported(&self) -> u32 {
        u32::try_from(self.unreported_sends.len()).unwrap_or(u32::MAX)
    }

    /// Returns the factor by which the target is slower than usual: the larger of the reported and the observed
    /// one.
    fn slowness(&self, now: Millis) -> f64 {
        let reported = self.fresh_load(now).map_or(1.0, |(_, load)| load.pace);
        reported.max(self.pace.factor(now))
    }

    /// Records the gap between two events of a stream with `events` passes in it. Returns whether it counts.
    pub(super) fn observe_events(&mut self, now: Millis, gap: Millis, events: u32) -> bool {
        let Some(engine) = &self.spec.engine else {
            return false;
        };
        let pass = mean_pass_ms(engine, self.batch(now));
        let usual = pass * f64::from(events);
        let distinct = millis(pass / 4_000.0);
        self.pace.observe(now, millis_f64(gap), usual, distinct)
    }

    /// Records the time to a first event. Returns whether it counts.
    pub(super) fn observe_first(&mut self, now: Millis, prompt: u32, took: Millis) -> bool {
        let Some(engine) = &self.spec.engine else {
            return false;
        };
        let ahead = (self.occupancy(now) - 1.0).max(0.0);
        let usual = self.queue_ms(engine, ahead)
            + first_event_ms(engine, ahead, f64::from(prompt))
            + self.unseen_delay_ms();
        let distinct = millis(pass_ms(engine, ahead) / 4_000.0);
        self.pace.observe(now, millis_f64(took), usual, distinct)
    }

    /// Records the duration of a plain call that takes `usual` milliseconds in the mean. Returns whether it counts.
    pub(super) fn observe_call(&mut self, now: Millis, took: Millis, usual: f64) -> bool {
        self.usual_call_ms = Some(usual);
        self.pace
            .observe(now, millis_f64(took), usual, Millis::ZERO)
    }

    /// Returns the expected duration of a plain call, in milliseconds. The mean of a target's own calls is ten
    /// calls old, which may be minutes. It must not keep calls away from a target that was slow once.
    fn call_ms(&self, now: Millis) -> f64 {
        let mean = self.calls.mean_ms();
        let factor = self.pace.factor(now);
        match self.usual_call_ms {
            Some(usual) if factor > 1.0 => mean.max(usual * factor),
            Some(usual) => mean.min(usual * USUAL_BELOW),
            None => mean,
        }
    }

    /// Returns whether the mean call time is outdated, and no call is in flight that will tell the present one.
    fn is_outdated(&self, now: Millis) -> bool {
        self.spec.engine.is_none()
            && self.in_flight == 0
            && self.calls.is_outdated(now, self.last_sent, self.call_ttl())
    }

    /// Returns how long the mean call time counts.
    fn call_ttl(&self) -> Millis {
        let crowding = self.spec.sharers.users() / self.slots();
        calls::ttl(crowding, &self.spec.id, self.last_sent)
    }

    /// Returns the number of requests that the engine runs, as far as this entry can know.
    fn batch(&self, now: Millis) -> f64 {
        let reported = self.fresh_load(now).map_or(0, |(_, load)| load.running);
        f64::from(reported.max(self.in_flight)).clamp(1.0, self.slots())
    }

    /// Returns the milliseconds for which a request waits behind `ahead` others.
    fn queue_ms(&self, engine: &EngineModel, ahead: f64) -> f64 {
        (ahead + 1.0 - self.slots()).max(0.0) * slot_wait_ms(engine)
    }

    fn slots(&self) -> f64 {
        f64::from(self.spec.slots.max(1))
    }

    /// Returns the predicted milliseconds to the first event, or to the answer of a plain call.
    pub(super) fn predict(&self, now: Millis, prompt: f64) -> f64 {
        self.predict_behind(now, prompt, 0.0)
    }

    /// Returns the milliseconds to the first event, or to the answer of a plain call, by which a request with a limit of
    /// `limit` milliseconds is decided on.
    ///
    /// *Load pattern*: the targets of a plain service stall for some seconds. By their mean call times every later call
    /// would miss its goal and be refused, and none would show that the targets are fast again. A target that seems too
    /// slow by an outdated mean therefore counts as one that nothing is known about, for one call at a time.
    pub(super) fn predict_within(&self, now: Millis, limit: f64, prompt: f64, reserve: f64) -> f64 {
        let predicted = self.predict_behind(now, prompt, reserve);
        if predicted > limit && self.is_outdated(now) {
            calls::INITIAL_MS
        } else {
            predicted
        }
    }

    /// Records that a request with a limit of `limit` milliseconds is to be sent here, which may be one by an outdated
    /// mean.
    pub(super) fn record_chosen(&mut self, now: Millis, limit: f64, prompt: f64) {
        let trial = self.spec.engine.is_none() && self.predict(now, prompt) > limit;
        self.calls.set_trial(trial);
    }

    /// Returns the same for a request that comes after `reserve` others which are not sent yet.
    pub(super) fn predict_behind(&self, now: Millis, prompt: f64, reserve: f64) -> f64 {
        let ahead = self.occupancy(now) + reserve;
        let Some(engine) = &self.spec.engine else {
            let rounds = ((ahead + 1.0) / self.slots()).max(1.0);
            return self.call_ms(now) * rounds;
        };
        let wait = self.queue_ms(engine, ahead);
        let backlog = self.pending_tokens / engine.read_rate;
        (wait + first_event_ms(engine, ahead, prompt) + backlog) * self.slowness(now)
    }

    /// Returns the time that the target gets now for a request with a prompt of `prompt` tokens; `None` if it may not
    /// begin the request. `counted` is 1 if the request counts as sent already, or else 0.
    pub(super) fn grant(
        &self,
        now: Millis,
        prompt: f64,
        work: Work,
        counted: u32,
        unnoticed: Option<Replaced>,
    ) -> Option<Grant> {
        let engine = self.spec.engine.as_deref().zip(work.answer);
        let writing = engine.map_or(f64::INFINITY, |(engine, answer)| {
            let passes = f64::from(answer) / f64::from(engine.stride.max(1));
            passes * mean_pass_ms(engine, self.batch(now)) * self.slowness(now)
        });
        let expected = Expected {
            ms: self.predict(now, prompt) + writing,
            at_once: self.begins_at_once(now, counted),
        };
        begin::grant(now, self.replaced(unnoticed), work, expected)
    }

    /// Returns until when the target may begin requests, if its weights are replaced, or may have been unnoticed.
    pub(super) fn replaced(&self, unnoticed: Option<Replaced>) -> Option<Replaced> {
        let unnoticed = unnoticed.filter(|_| self.spec.engine.is_some());
        self.spec.replaced.or(unnoticed)
    }

    /// Returns what is known of the target's weights.
    pub(super) fn weights(&self) -> Weights {
        if self.spec.replaced.is_some() {
            Weights::Replaced
        } else if self.spec.engine.is_some() {
            Weights::Newest
        } else {
            Weights::Unversioned
        }
    }

    /// Returns whether the target begins a request at once: it has a free place and no queue, by its last report.
    fn begins_at_once(&self, now: Millis, counted: u32) -> bool {
        let Some((_, load)) = self.fresh_load(now) else {
            return false;
        };
        let own = self.in_flight.saturating_sub(counted);
        let present = load.running + self.unreported().saturating_sub(counted);
        load.waiting == 0 && f64::from(own.max(present)) < self.slots()
    }

    /// Returns the factor by which the target may be slower than [`Self::predict`] assumes. It orders the targets
    /// that are in time, and excludes none.
    pub(super) fn suspected(&self, now: Millis) -> f64 {
        (self.pace.suspected(now) / self.slowness(now)).max(1.0)
    }

    /// Returns the mean milliseconds by which other entries' unreported requests delay a first event:
    /// the prefill of one prompt. Preferred targets get little such work.
    pub(super) fn unseen_delay_ms(&self) -> f64 {
        match &self.spec.engine {
            Some(engine) if self.spec.sharers.preferred_by == 0 => {
                prefill_ms(engine, engine.prompt)
            }
            _ => 0.0,
        }
    }

    /// Returns the number of prompts that the engine has not read when `load` is reported. The reports do
    /// not say it: what they show more than expected has arrived since, and the engine reads one prompt
    /// after the other.
    fn unread_after(&self, now: Millis, load: Load) -> f64 {
        let Some((engine, (at, before))) = self.spec.engine.as_deref().zip(self.fresh_load(now))
        else {
            return 0.0;
        };
        let elapsed = millis_f64(now.since(at)) / self.slowness(now);
        let arrived = load.present() - before.present() + self.ended(engine, before, elapsed);
        let read = elapsed / prefill_ms(engine, engine.prompt);
        (self.unread + arrived - read).max(0.0)
    }

    /// Returns the number of requests of `load` that are expected to have ended after `elapsed` milliseconds
    /// of an engine at its usual pace.
    fn ended(&self, engine: &EngineModel, load: Load, elapsed: f64) -> f64 {
        elapsed / slot_wait_ms(engine) * (load.present() / self.slots()).min(1.0)
    }

    /// Returns the number of prompts that the engine can read in addition to those sent to it before, so
    /// that the last of them has its first event within `limit` milliseconds.
    fn readable(&self, engine: &EngineModel, since_report: f64, limit: f64) -> f64 {
        let prefill = prefill_ms(engine, engine.prompt);
        let unread = (self.unread - since_report / prefill).max(0.0);
        let reading = limit - first_event_ms(engine, 0.0, 0.0);
        (reading / prefill).max(1.0) - unread
    }

    /// Returns the number of requests that can still have a first event within `limit` milliseconds:
    /// the free slots and queue places of the last report and those that became free since. Returns
    /// `None` without a report or if it is stale.
    ///
    /// *Load pattern*: engines return from an outage empty, while callers have gathered. Each of their
    /// slots would be filled at once, each with a prompt to read, and the last of a dozen prompts is read
    /// long after its goal. An engine therefore gets no more than it reads within the goal.
    pub(super) fn free_slots(&self, now: Millis, limit: f64) -> Option<f64> {
        let engine = self.spec.engine.as_deref()?;
        let (at, load) = self.fresh_load(now)?;
        let pace = self.slowness(now);
        let slot_wait = slot_wait_ms(engine) * pace;
        let first_event = first_event_ms(engine, self.slots(), engine.prompt) * pace;
        let queue = ((limit - first_event) / slot_wait).max(0.0);
        let elapsed = millis_f64(now.since(at) + REPORT_LAG) / pace;
        let ended = self.ended(engine, load, elapsed);
        let readable = self.readable(engine, millis_f64(now.since(at)) / pace, limit / pace);
        let free = self.slots() + queue - load.present() + ended;
        Some(free.min(readable).max(0.0))
    }

    /// Returns whether this entry, which may take `share` of the free slots but `reserve` of them, may send
    /// another request before the next report.
    pub(super) fn has_room(&self, now: Millis, limit: f64, share: f64, reserve: f64) -> bool {
        if self.spec.engine.is_none() {
            return true;
        }
        let Some(free) = self.free_slots(now, limit) else {
            // The other entries' requests are unknown, so the entry takes an even share of the slots.
            let slots = (self.slots() - reserve).max(0.0);
            let slots = self.spec.sharers.even_part(slots);
            return f64::from(self.in_flight) < (slots + self.rounding).floor().max(1.0);
        };
        let free = (free - reserve).max(0.0);
        f64::from(self.unreported()) < (free * share + self.rounding).floor()
    }
}
