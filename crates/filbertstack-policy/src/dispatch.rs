//! Which target gets a request now, or whether it is refused at once.
//!
//! *Load pattern*: demand stays above what the engines can read and write, and arrives at many
//! entries that do not talk to each other on each request. Sent on without a bound, requests wait
//! in the engines' queues, every first event comes late, and callers leave while their work still
//! runs. Bounded by slots alone, an engine that reads long prompts is as full as one that reads
//! none. So each entry predicts the first event at every target from the published figures of the
//! engine, the load that its agent reports and its own requests since, and takes the earliest of
//! some drawn by lot from those that meet the caller's goal. If none does, the request is refused
//! at once, as waiting would only take the place of one that can be served.
//!
//! Between two reports other entries send as well. If each took what room a report shows, all of
//! them would fill the few places that come free at once. So each entry takes its [share](Sharers)
//! of an engine's room, rounded by lot, and no more before the next report.
//!
//! An engine that freezes keeps the load of its last report, or none once that is old, and looks the
//! idlest of all: whatever is sent there waits until its caller leaves, and runs when it wakes. So
//! one that is not heard for some reports gets nothing but a probe, unless most are silent: then it
//! is the entry that hears nothing.
//!
//! Decisions take the time and what was observed; they have no clock, network or thread.

mod engine;
mod share;
mod target;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use filbertstack_core::Millis;
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;

use crate::units::millis;

pub use self::engine::pass_ms;
pub use self::engine::prefill_ms;
pub use self::engine::slot_wait_ms;
use self::share::Demand;
use self::share::Rooms;
pub use self::share::Sharers;
pub use self::target::AttemptEnd;
pub use self::target::Load;
use self::target::Target;
pub use self::target::TargetId;
pub use self::target::TargetSpec;

/// The part of the goal that a predicted first event may take. The rest covers the way to the
/// caller and the error of loads that are reported with a lag.
const GOAL_SHARE: f64 = 0.72;

/// What a target outside the entry's zone must be better by, in milliseconds: the way there and
/// back, and the price of prompts and events between zones.
const FAR_MS: f64 = 40.0;

/// How many targets, drawn at random, a choice is made among, in the entry's zone and elsewhere.
/// With all of them, every entry would take the one that was the freest in the last report, such as
/// one that has just loaded, and its queue would be a second long before the next. With three, none
/// gets more than three times its share, and a full one is still taken by one request in a thousand
/// only.
const CHOICES: usize = 3;

/// The least and the most time after which a refused caller is told to come back. The least lets
/// a place become free, the most leaves the caller time for the answer within its goal.
const RETURN: [f64; 2] = [60.0, 400.0];

/// The mean time, in milliseconds, after which a caller returns who met no target at all: engines
/// that lost their weights serve again after some seconds, and callers ask once more only. Told to
/// come back at once, they would ask in vain; told more than a third of their patience, they
/// would come sooner all the same.
const NO_TARGET: f64 = 1_500.0;

/// A request that needs a target.
#[derive(Clone, Copy, Debug)]
pub struct TargetRequest<'a> {
    /// The service.
    pub service: &'a str,
    /// Prompt tokens; 0 for a plain call.
    pub prompt: u32,
    /// The time left in which its first event is worth most.
    pub goal: Millis,
    /// Targets that it was sent to already.
    pub tried: &'a [TargetId],
}

/// Why a request gets no target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChooseError {
    /// The service has no target that takes work.
    NoTarget {
        /// When to come back.
        retry_after: Millis,
    },
    /// No target would answer within the goal.
    Full {
        /// When to come back.
        retry_after: Millis,
    },
}

impl ChooseError {
    /// When the caller may come back.
    pub fn retry_after(self) -> Millis {
        match self {
            Self::NoTarget { retry_after } | Self::Full { retry_after } => retry_after,
        }
    }
}

/// One entry's view of the targets.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    targets: BTreeMap<TargetId, Target>,
    /// By service, the requests that come to this entry.
    demand: BTreeMap<Arc<str>, Demand>,
    rng: ChaCha8Rng,
}

impl Dispatcher {
    /// A view without targets; `rng` spreads choices and returns.
    pub fn new(rng: ChaCha8Rng) -> Self {
        Self {
            targets: BTreeMap::new(),
            demand: BTreeMap::new(),
            rng,
        }
    }

    /// Replaces what is known of the targets; requests under way and health are kept.
    pub fn set_targets(&mut self, spec: Vec<TargetSpec>) {
        let mut targets = BTreeMap::new();
        for spec in spec {
            let known = self.targets.remove(&spec.id);
            let mut target = known.unwrap_or_else(|| Target::new(spec.clone()));
            target.spec = spec;
            targets.insert(target.spec.id.clone(), target);
        }
        self.targets = targets;
        let services = self.targets.values().map(|t| &t.spec.service);
        let services: BTreeSet<&Arc<str>> = services.collect();
        self.demand.retain(|service, _| services.contains(service));
    }

    /// Counts a request for `service` that comes, once however often a target is chosen for it.
    pub fn count_request(&mut self, now: Millis, service: &Arc<str>) {
        self.demand.entry(service.clone()).or_default().count(now);
    }

    /// Takes in a load report.
    pub fn record_load(&mut self, now: Millis, id: &str, load: Load) {
        if let Some(target) = self.targets.get_mut(id) {
            target.record_load(now, load, self.rng.random_range(0.0..1.0));
        }
    }

    /// Chooses the target with the earliest predicted first event.
    ///
    /// # Errors
    /// [`ChooseError`], with the time after which the caller may come back.
    pub fn choose(
        &mut self,
        now: Millis,
        wanted: &TargetRequest<'_>,
    ) -> Result<TargetId, ChooseError> {
        let prompt = f64::from(wanted.prompt);
        let limit = millis_f64(wanted.goal) * GOAL_SHARE;
        let mut beside: Vec<(f64, TargetId)> = Vec::new();
        let mut near: Vec<(f64, TargetId)> = Vec::new();
        let mut far: Vec<(f64, TargetId)> = Vec::new();
        let mut probes: Vec<(f64, TargetId)> = Vec::new();
        let deaf = self.is_deaf(now, wanted.service);
        let demand = self.demand.get(wanted.service).copied();
        let demand = demand.unwrap_or_default();
        let rooms = self.rooms(now, wanted.service, limit, deaf);
        let mut least = f64::INFINITY;
        for target in self.targets.values() {
            let id = &target.spec.id;
            let other = &*target.spec.service != wanted.service || wanted.tried.contains(id);
            if other || !target.takes_work(now) {
                continue;
            }
            let predicted = target.predict(now, prompt);
            if !deaf && target.is_silent(now) {
                if target.may_probe(now) {
                    probes.push((predicted, id.clone()));
                }
                continue;
            }
            least = least.min(predicted);
            let TargetSpec {
                local: is_near,
                sharers,
                ..
            } = target.spec;
            let share = rooms[usize::from(is_near)].share(sharers, is_near, demand);
            if predicted > limit || !target.has_room(now, limit, share) {
                continue;
            }
            let expected = predicted + target.unseen_ms();
            if sharers.preferred_by > 0 {
                beside.push((expected, id.clone()));
            } else if is_near {
                near.push((expected, id.clone()));
            } else {
                far.push((expected + FAR_MS, id.clone()));
            }
        }
        let drawn = [self.draw(beside), self.draw(near), self.draw(far)];
        let best = drawn
            .into_iter()
            .flatten()
            .min_by(|a, b| a.0.total_cmp(&b.0));
        let best = best.or_else(|| self.draw(probes));
        best.map(|(_, id)| id).ok_or_else(|| {
            if least.is_infinite() {
                let retry_after = self.spread(NO_TARGET);
                return ChooseError::NoTarget { retry_after };
            }
            let wait = (least - limit).clamp(RETURN[0], RETURN[1]);
            let retry_after = self.spread(wait);
            ChooseError::Full { retry_after }
        })
    }

    /// The room of a service's targets elsewhere, and of those near.
    fn rooms(&self, now: Millis, service: &str, limit: f64, deaf: bool) -> [Rooms; 2] {
        let mut rooms = [Rooms::default(); 2];
        for target in self.targets.values() {
            let serves = &*target.spec.service == service && target.takes_work(now);
            if !serves || (!deaf && target.is_silent(now)) {
                continue;
            }
            if let Some(room) = target.room(now, limit) {
                rooms[usize::from(target.spec.local)].add(room, target.spec.sharers);
            }
        }
        rooms
    }

    /// Whether most of a service's engines are silent: then it is this entry that hears nothing, as
    /// when its voter was lost, and their silence says nothing of them.
    fn is_deaf(&self, now: Millis, service: &str) -> bool {
        let targets = self.targets.values();
        let mut balance = 0_i32;
        for target in targets.filter(|t| &*t.spec.service == service && t.has_reported()) {
            balance += if target.is_silent(now) { 1 } else { -1 };
        }
        balance > 0
    }

    /// Whether an engine is silent though others of its service are heard.
    pub fn is_silent(&self, now: Millis, id: &str) -> bool {
        let target = self.targets.get(id);
        target.is_none_or(|t| t.is_silent(now) && !self.is_deaf(now, &t.spec.service))
    }

    /// Notes that bytes of an answer came from `id`.
    pub fn record_activity(&mut self, now: Millis, id: &str) {
        if let Some(target) = self.targets.get_mut(id) {
            target.record_activity(now);
        }
    }

    /// What a choice of `id` rests on: the predicted milliseconds to the first event of a prompt,
    /// and the age of the load report, if there is one that still says something.
    pub fn prediction(&self, now: Millis, id: &str, prompt: u32) -> (f64, Option<Millis>) {
        let Some(target) = self.targets.get(id) else {
            return (0.0, None);
        };
        (target.predict(now, f64::from(prompt)), target.age(now))
    }

    /// The best of some targets drawn at random.
    fn draw(&mut self, mut fit: Vec<(f64, TargetId)>) -> Option<(f64, TargetId)> {
        let mut best: Option<(f64, TargetId)> = None;
        for _ in 0..CHOICES.min(fit.len()) {
            let (score, id) = fit.swap_remove(self.rng.random_range(0..fit.len()));
            if best.as_ref().is_none_or(|(least, _)| score < *least) {
                best = Some((score, id));
            }
        }
        best
    }

    /// A return time around `mean`, spread so that those refused together do not come back
    /// together.
    fn spread(&mut self, mean: f64) -> Millis {
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
            target.count_read(prompt);
        }
    }

    /// Counts the end of a request at `id`; `unread` is its prompt if no event had come.
    pub fn count_end(&mut self, now: Millis, id: &str, unread: u32, ended: AttemptEnd) {
        if let Some(target) = self.targets.get_mut(id) {
            target.count_end(now, unread, ended);
        }
    }

    /// Takes a target out for `span`, as it refused for a reason that will not pass at once.
    pub fn suspend(&mut self, now: Millis, id: &str, span: Millis) {
        if let Some(target) = self.targets.get_mut(id) {
            target.suspend(now + span);
        }
    }
}

fn millis_f64(span: Millis) -> f64 {
    u32::try_from(span.0).map_or(f64::MAX, f64::from)
}
