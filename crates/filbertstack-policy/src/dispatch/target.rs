//! One target as an entry sees it: its last report, the entry's own requests there, its health.

use std::collections::VecDeque;
use std::sync::Arc;

use filbertstack_core::Millis;
use filbertstack_core::serving::EngineModel;

use super::Sharers;
use super::engine::prefill_ms;
use super::engine::slot_wait_ms;
use super::engine::start_ms;
use super::millis_f64;
use crate::outlier::Health;
use crate::outlier::Outlier;
use crate::units::millis;
use crate::units::secs;

/// The most own requests that are remembered as not counted, at a target that reports nothing.
const UNCOUNTED: usize = 64;

/// A report older than this says nothing: its engine or agent is silent.
const STALE: Millis = Millis::secs(2);

/// After which silence an engine that reported before gets no work: seven usual reports, and the
/// time after which a voter that is silent is left.
const SILENT: Millis = Millis(700);

/// How often a silent engine is probed with one request by all entries that use it, where nobody else
/// can take it. An engine that serves though its agent has ended is found, and of those that
/// are frozen few callers learn.
const PROBE: Millis = Millis::secs(1);

/// The age of a report when it arrives: the way over a voter that gathers rows. What was sent
/// since then is not in it.
const LAG: Millis = Millis(70);

/// What a plain call is taken to last before one was seen, in milliseconds.
const FIRST_CALL_MS: f64 = 30.0;

/// The weight of the latest call in the mean time of calls: some ten calls count.
const CALL_WEIGHT: f64 = 0.1;

/// A target's identity: the address and the instance there.
pub type TargetId = Arc<str>;

/// What is known of a target before any request is sent there.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetSpec {
    /// Its identity.
    pub id: TargetId,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Requests that it processes at once.
    pub slots: u32,
    /// Whether it is in the entry's zone.
    pub local: bool,
    /// Who shares its places.
    pub sharers: Sharers,
    /// How its engine computes, if it is one.
    pub engine: Option<Arc<EngineModel>>,
    /// Whether it takes new work.
    pub accepts_work: bool,
}

/// The load of an engine as its agent reports it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// How many times slower than usual the engine is.
    pub pace: f64,
}

/// How a request at a target ended, as far as the target's health goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// With an answer, after this time.
    Answered(Millis),
    /// The target had no room; it is well.
    Refused,
    /// Without an answer.
    Failed,
    /// The caller left; this says nothing of the target.
    CallerLeft,
}

#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) spec: TargetSpec,
    own: u32,
    /// Prompt tokens sent that have not led to a first event yet.
    unread: f64,
    load: Option<(Millis, Load)>,
    /// When anything was heard of it last: a report, or bytes of an answer.
    heard: Millis,
    /// When a request was sent there last.
    tried: Millis,
    /// When own requests were sent that the last report may not count yet.
    sent: VecDeque<Millis>,
    /// Drawn for each report: whether the broken part of this entry's share of the room counts.
    lot: f64,
    call_ms: f64,
    outlier: Outlier,
    /// Until when the target takes nothing, as it said itself.
    suspended_until: Millis,
}

impl Target {
    pub(super) fn new(spec: TargetSpec) -> Self {
        Self {
            spec,
            own: 0,
            unread: 0.0,
            load: None,
            heard: Millis::ZERO,
            tried: Millis::ZERO,
            sent: VecDeque::new(),
            lot: 0.0,
            call_ms: FIRST_CALL_MS,
            outlier: Outlier::default(),
            suspended_until: Millis::ZERO,
        }
    }

    pub(super) fn takes_work(&self, now: Millis) -> bool {
        let well = match self.outlier.health() {
            Health::Healthy => true,
            Health::Ejected { .. } => self.outlier.probe_due(now),
            Health::Probing => false,
        };
        self.spec.accepts_work && well && now >= self.suspended_until
    }

    /// Takes in a load report; `lot`, of 0 to 1, is drawn for it.
    pub(super) fn record_load(&mut self, now: Millis, load: Load, lot: f64) {
        self.load = Some((now, load));
        self.heard = now;
        let taken = Millis(now.0.saturating_sub(LAG.0));
        self.sent.retain(|sent| *sent > taken);
        self.lot = lot;
    }

    /// Notes that bytes of an answer came.
    pub(super) fn record_activity(&mut self, now: Millis) {
        self.heard = now;
    }

    /// Takes it out until `until`.
    pub(super) fn suspend(&mut self, until: Millis) {
        self.suspended_until = until;
    }

    /// Counts a request that is sent there.
    pub(super) fn count_sent(&mut self, now: Millis, prompt: u32) {
        if self.outlier.probe_due(now) {
            self.outlier.start_probe();
        }
        self.own += 1;
        self.tried = now;
        self.sent.push_back(now);
        if self.sent.len() > UNCOUNTED {
            self.sent.pop_front();
        }
        self.unread += f64::from(prompt);
    }

    /// Counts a prompt as read, or as given up.
    pub(super) fn count_read(&mut self, prompt: u32) {
        self.unread = (self.unread - f64::from(prompt)).max(0.0);
    }

    /// Counts the end of a request; `unread` is its prompt if no event had come.
    pub(super) fn count_end(&mut self, now: Millis, unread: u32, ended: AttemptEnd) {
        self.own = self.own.saturating_sub(1);
        self.count_read(unread);
        match ended {
            AttemptEnd::Answered(took) => self.succeed(took),
            AttemptEnd::Failed => {
                let out = self.outlier.is_ejected();
                if self.outlier.record_failure() || out {
                    self.outlier.eject_lost(now);
                }
            }
            AttemptEnd::Refused => {
                self.sent.pop_back();
                self.withdraw(now);
            }
            AttemptEnd::CallerLeft => self.withdraw(now),
        }
    }

    fn succeed(&mut self, took: Millis) {
        self.call_ms += (millis_f64(took) - self.call_ms) * CALL_WEIGHT;
        self.outlier.record_success();
        if self.outlier.is_ejected() {
            self.outlier.readmit();
        }
    }

    /// Takes a probe back that says nothing of the target's health.
    fn withdraw(&mut self, now: Millis) {
        if self.outlier.health() == Health::Probing {
            self.outlier.cancel_probe(now);
        }
    }

    /// Whether it ever reported a load.
    pub(super) fn has_reported(&self) -> bool {
        self.load.is_some()
    }

    /// The age of the last report, if it still says something.
    pub(super) fn age(&self, now: Millis) -> Option<Millis> {
        self.fresh(now).map(|(at, _)| now.since(at) + LAG)
    }

    /// Whether it reported before and is not heard any more.
    pub(super) fn is_silent(&self, now: Millis) -> bool {
        self.load.is_some() && now.since(self.heard) > SILENT
    }

    /// Whether a silent one may be probed: by each entry at another time, by lot.
    pub(super) fn may_probe(&self, now: Millis) -> bool {
        let turn = 0.5 + self.lot;
        let pause = millis(secs(PROBE) * self.spec.sharers.users() * turn);
        self.own == 0 && now.since(self.tried.max(self.heard)) >= pause
    }

    /// The last report, if it still says something.
    fn fresh(&self, now: Millis) -> Option<(Millis, Load)> {
        self.load.filter(|(at, _)| now.since(*at) < STALE)
    }

    /// Requests there, as far as this entry can know.
    fn occupancy(&self, now: Millis) -> f64 {
        let reported = self.fresh(now).map(|(_, load)| load.running + load.waiting);
        let there = reported.map_or(0, |reported| reported + self.uncounted());
        f64::from(self.own.max(there))
    }

    /// Own requests that the last report does not count yet.
    fn uncounted(&self) -> u32 {
        u32::try_from(self.sent.len()).unwrap_or(u32::MAX)
    }

    fn pace(&self, now: Millis) -> f64 {
        self.fresh(now).map_or(1.0, |(_, load)| load.pace.max(1.0))
    }

    fn slots(&self) -> f64 {
        f64::from(self.spec.slots.max(1))
    }

    /// Milliseconds to the first event, or to the answer of a plain call.
    pub(super) fn predict(&self, now: Millis, prompt: f64) -> f64 {
        let ahead = self.occupancy(now);
        let Some(engine) = &self.spec.engine else {
            let rounds = ((ahead + 1.0) / self.slots()).max(1.0);
            return self.call_ms * rounds;
        };
        let wait = (ahead + 1.0 - self.slots()).max(0.0) * slot_wait_ms(engine);
        let read = self.unread / engine.read_rate;
        (wait + start_ms(engine, ahead, prompt) + read) * self.pace(now)
    }

    /// Milliseconds that a first event is later than predicted, in the mean, by what other entries have
    /// sent: one prompt that is read before. Little of it goes to a target beside this entry.
    pub(super) fn unseen_ms(&self) -> f64 {
        match &self.spec.engine {
            Some(engine) if self.spec.sharers.preferred_by == 0 => {
                prefill_ms(engine, engine.prompt)
            }
            _ => 0.0,
        }
    }

    /// Requests that find a place for first events within `limit` milliseconds: those of the last report
    /// and those that have come free since; `None` without a report that still says something.
    pub(super) fn room(&self, now: Millis, limit: f64) -> Option<f64> {
        let engine = self.spec.engine.as_deref()?;
        let (at, load) = self.fresh(now)?;
        let pace = load.pace.max(1.0);
        let turn = slot_wait_ms(engine) * pace;
        let start = start_ms(engine, self.slots(), engine.prompt) * pace;
        let queue = ((limit - start) / turn).max(0.0);
        let there = f64::from(load.running + load.waiting);
        let ended = millis_f64(now.since(at) + LAG) / turn * (there / self.slots()).min(1.0);
        Some((self.slots() + queue - there + ended).max(0.0))
    }

    /// Whether this entry, which may take `share` of the room, may send another request before the
    /// next report.
    pub(super) fn has_room(&self, now: Millis, limit: f64, share: f64) -> bool {
        if self.spec.engine.is_none() {
            return true;
        }
        let Some(room) = self.room(now, limit) else {
            // Nobody tells what others have there: an even share of its slots.
            let slots = self.spec.sharers.part(self.slots());
            return f64::from(self.own) < (slots + self.lot).floor().max(1.0);
        };
        f64::from(self.uncounted()) < (room * share + self.lot).floor()
    }
}
