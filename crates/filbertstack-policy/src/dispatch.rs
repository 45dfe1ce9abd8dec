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

mod share;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;

use filbertstack_core::Millis;
use filbertstack_core::serving::EngineModel;
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;

use crate::outlier::Health;
use crate::outlier::Outlier;
use crate::units::millis;

use self::share::Demand;
use self::share::Rooms;
pub use self::share::Sharers;

/// The part of the goal that a predicted first event may take. The rest covers the way to the
/// caller and the error of loads that are reported with a lag.
const GOAL_SHARE: f64 = 0.72;

/// What a target outside the entry's zone must be better by, in milliseconds: the way there and
/// back, and the price of prompts and events between zones.
const FAR_MS: f64 = 40.0;

/// How many passes a request lasts to its first event, its reading aside: the rest of the one that
/// is under way, which is half of one in the mean, and one of its own.
const PASSES: f64 = 1.5;

/// The most own requests that are remembered as not counted, at a target that reports nothing.
const UNCOUNTED: usize = 64;

/// How many targets, drawn at random, a choice is made among, in the entry's zone and elsewhere.
/// With all of them, every entry would take the one that was the freest in the last report, such as
/// one that has just loaded, and its queue would be a second long before the next. With three, none
/// gets more than three times its share, and a full one is still taken by one request in a thousand
/// only.
const CHOICES: usize = 3;

/// A report older than this says nothing: its engine or agent is silent.
const STALE: Millis = Millis::secs(2);

/// After which silence an engine that reported before gets no work: seven usual reports, and the
/// time after which a voter that is silent is left. With four of twelve engines frozen for three
/// seconds, 41 of 1,237 first events come late so and 23 callers leave; without it 89 and 34.
const SILENT: Millis = Millis(700);

/// How often a silent engine is probed with one request, where nobody else can take it.
const PROBE: Millis = Millis(500);

/// The age of a report when it arrives: the way over a voter that gathers rows. What was sent
/// since then is not in it.
const LAG: Millis = Millis(70);

/// What a plain call is taken to last before one was seen, in milliseconds.
const FIRST_CALL_MS: f64 = 30.0;

/// The weight of the latest call in the mean time of calls: some ten calls count.
const CALL_WEIGHT: f64 = 0.1;

/// The least and the most time after which a refused caller is told to come back. The least lets
/// a place become free, the most leaves the caller time for the answer within its goal.
const RETURN: [f64; 2] = [60.0, 400.0];

/// The mean time, in milliseconds, after which a caller returns who met no target at all: engines
/// that lost their weights serve again after some seconds, and callers ask once more only. Told to
/// come back at once, they would ask in vain; told more than a third of their patience, they
/// would come sooner all the same.
const NO_TARGET: f64 = 1_500.0;

/// A target's identity: the address and the instance there.
pub type TargetId = Arc<str>;

/// What is known of a target before any request is sent there.
#[derive(Clone, Debug, PartialEq)]
pub struct Offered {
    /// Its identity.
    pub id: TargetId,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Requests that it processes at once.
    pub slots: u32,
    /// Whether it is in the entry's zone.
    pub near: bool,
    /// Who shares its places.
    pub sharers: Sharers,
    /// How its engine computes, if it is one.
    pub engine: Option<Arc<EngineModel>>,
    /// Whether it takes new work.
    pub open: bool,
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

/// A request that needs a target.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
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
pub enum Refused {
    /// The service has no target that takes work.
    NoTarget {
        /// When to come back.
        after: Millis,
    },
    /// No target would answer within the goal.
    Full {
        /// When to come back.
        after: Millis,
    },
}

impl Refused {
    /// When the caller may come back.
    pub fn after(self) -> Millis {
        match self {
            Self::NoTarget { after } | Self::Full { after } => after,
        }
    }
}

/// How a request at a target ended, as far as the target's health goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// With an answer, after this time.
    Answered(Millis),
    /// The target had no room; it is well.
    Refused,
    /// Without an answer.
    Failed,
    /// The caller left; this says nothing of the target.
    Left,
}

#[derive(Clone, Debug)]
struct Target {
    offered: Offered,
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
    shut: Millis,
}

impl Target {
    fn new(offered: Offered) -> Self {
        Self {
            offered,
            own: 0,
            unread: 0.0,
            load: None,
            heard: Millis::ZERO,
            tried: Millis::ZERO,
            sent: VecDeque::new(),
            lot: 0.0,
            call_ms: FIRST_CALL_MS,
            outlier: Outlier::default(),
            shut: Millis::ZERO,
        }
    }

    fn takes_work(&self, now: Millis) -> bool {
        let well = match self.outlier.health() {
            Health::Well => true,
            Health::Ejected { .. } => self.outlier.probe_due(now),
            Health::Probed => false,
        };
        self.offered.open && well && now >= self.shut
    }

    /// Whether it reported before and is not heard any more.
    fn is_silent(&self, now: Millis) -> bool {
        self.load.is_some() && now.since(self.heard) > SILENT
    }

    /// Whether a silent one may be probed.
    fn may_probe(&self, now: Millis) -> bool {
        self.own == 0 && now.since(self.tried) >= PROBE
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
        f64::from(self.offered.slots.max(1))
    }

    /// Milliseconds to the first event, or to the answer of a plain call.
    fn predict(&self, now: Millis, prompt: f64) -> f64 {
        let ahead = self.occupancy(now);
        let Some(engine) = &self.offered.engine else {
            let rounds = ((ahead + 1.0) / self.slots()).max(1.0);
            return self.call_ms * rounds;
        };
        let wait = (ahead + 1.0 - self.slots()).max(0.0) * turn_ms(engine);
        let read = self.unread / engine.read_rate;
        (wait + start_ms(engine, ahead, prompt) + read) * self.pace(now)
    }

    /// Requests that find a place for first events within `limit` milliseconds: those of the last report
    /// and those that have come free since; `None` without a report that still says something.
    fn room(&self, now: Millis, limit: f64) -> Option<f64> {
        let engine = self.offered.engine.as_deref()?;
        let (at, load) = self.fresh(now)?;
        let pace = load.pace.max(1.0);
        let turn = turn_ms(engine) * pace;
        let start = start_ms(engine, self.slots(), engine.prompt) * pace;
        let queue = ((limit - start) / turn).max(0.0);
        let there = f64::from(load.running + load.waiting);
        let ended = millis_f64(now.since(at) + LAG) / turn * (there / self.slots()).min(1.0);
        Some((self.slots() + queue - there + ended).max(0.0))
    }

    /// Whether this entry, which may take `share` of the room, may send another request before the
    /// next report.
    fn has_room(&self, now: Millis, limit: f64, share: f64) -> bool {
        if self.offered.engine.is_none() {
            return true;
        }
        let Some(room) = self.room(now, limit) else {
            // Nobody tells what others have there: an even share of its slots.
            let slots = self.offered.sharers.part(self.slots());
            return f64::from(self.own) < (slots + self.lot).floor().max(1.0);
        };
        f64::from(self.uncounted()) < (room * share + self.lot).floor()
    }
}

/// Milliseconds of one pass over a batch of `batch` writers.
pub fn pass_ms(engine: &EngineModel, batch: f64) -> f64 {
    let context = (engine.prompt + engine.answer) / 1_000.0 * engine.context_ms;
    let step = engine.step_ms + batch * (engine.request_ms + context);
    step * f64::from(engine.stride)
}

/// Milliseconds that reading a prompt takes, the attention between its tokens included.
pub fn read_ms(engine: &EngineModel, prompt: f64) -> f64 {
    let pairs = prompt * prompt / 2.0 / 1e6;
    prompt / engine.read_rate + pairs * engine.pairs_ms
}

/// Milliseconds from a request's turn to its first event, beside `ahead` others.
fn start_ms(engine: &EngineModel, ahead: f64, prompt: f64) -> f64 {
    let slots = f64::from(engine.slots.max(1));
    // The engine reads what others send in the same passes: at a full batch as much as it ends.
    let reading = read_ms(engine, engine.prompt) / turn_ms(engine) * (ahead / slots).min(1.0);
    let passes = PASSES * pass_ms(engine, ahead.min(slots));
    passes / (1.0 - reading) + read_ms(engine, prompt)
}

/// Milliseconds between two requests' ends at a full batch: how long one place is waited for.
pub fn turn_ms(engine: &EngineModel) -> f64 {
    let slots = f64::from(engine.slots.max(1));
    let passes = (engine.answer / f64::from(engine.stride)).max(1.0);
    passes * pass_ms(engine, slots) / slots + read_ms(engine, engine.prompt)
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
    pub fn offer(&mut self, offered: Vec<Offered>) {
        let mut targets = BTreeMap::new();
        for offered in offered {
            let known = self.targets.remove(&offered.id);
            let mut target = known.unwrap_or_else(|| Target::new(offered.clone()));
            target.offered = offered;
            targets.insert(target.offered.id.clone(), target);
        }
        self.targets = targets;
        let services = self.targets.values().map(|t| &t.offered.service);
        let services: BTreeSet<&Arc<str>> = services.collect();
        self.demand.retain(|service, _| services.contains(service));
    }

    /// Takes in a load report.
    pub fn report(&mut self, now: Millis, id: &str, load: Load) {
        if let Some(target) = self.targets.get_mut(id) {
            target.load = Some((now, load));
            target.heard = now;
            let taken = Millis(now.0.saturating_sub(LAG.0));
            target.sent.retain(|sent| *sent > taken);
            target.lot = self.rng.random_range(0.0..1.0);
        }
    }

    /// Chooses the target with the earliest predicted first event.
    ///
    /// # Errors
    /// [`Refused`], with the time after which the caller may come back.
    pub fn choose(&mut self, now: Millis, wanted: &Wanted<'_>) -> Result<TargetId, Refused> {
        let prompt = f64::from(wanted.prompt);
        let limit = millis_f64(wanted.goal) * GOAL_SHARE;
        let mut near: Vec<(f64, TargetId)> = Vec::new();
        let mut far: Vec<(f64, TargetId)> = Vec::new();
        let mut probes: Vec<(f64, TargetId)> = Vec::new();
        let deaf = self.is_deaf(now, wanted.service);
        let demand = self.count(now, wanted.service);
        let rooms = self.rooms(now, wanted.service, limit, deaf);
        let mut least = f64::INFINITY;
        for target in self.targets.values() {
            let id = &target.offered.id;
            let other = &*target.offered.service != wanted.service || wanted.tried.contains(id);
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
            let Offered {
                near: is_near,
                sharers,
                ..
            } = target.offered;
            let share = rooms[usize::from(is_near)].share(sharers, is_near, demand);
            if predicted <= limit && target.has_room(now, limit, share) {
                if is_near {
                    near.push((predicted, id.clone()));
                } else {
                    far.push((predicted + FAR_MS, id.clone()));
                }
            }
        }
        let drawn = [self.draw(near), self.draw(far)];
        let best = drawn
            .into_iter()
            .flatten()
            .min_by(|a, b| a.0.total_cmp(&b.0));
        let best = best.or_else(|| self.draw(probes));
        best.map(|(_, id)| id).ok_or_else(|| {
            if least.is_infinite() {
                let after = self.spread(NO_TARGET);
                return Refused::NoTarget { after };
            }
            let wait = (least - limit).clamp(RETURN[0], RETURN[1]);
            let after = self.spread(wait);
            Refused::Full { after }
        })
    }

    /// Counts a request for `service`, and returns how many come.
    fn count(&mut self, now: Millis, service: &str) -> Demand {
        let Some(demand) = self.demand.get_mut(service) else {
            let mut demand = Demand::default();
            demand.count(now);
            self.demand.insert(service.into(), demand);
            return demand;
        };
        demand.count(now);
        *demand
    }

    /// The room of a service's targets elsewhere, and of those near.
    fn rooms(&self, now: Millis, service: &str, limit: f64, deaf: bool) -> [Rooms; 2] {
        let mut rooms = [Rooms::default(); 2];
        for target in self.targets.values() {
            let serves = &*target.offered.service == service && target.takes_work(now);
            if !serves || (!deaf && target.is_silent(now)) {
                continue;
            }
            if let Some(room) = target.room(now, limit) {
                rooms[usize::from(target.offered.near)].add(room, target.offered.sharers);
            }
        }
        rooms
    }

    /// Whether most of a service's engines are silent: then it is this entry that hears nothing, as
    /// when its voter was lost, and their silence says nothing of them.
    fn is_deaf(&self, now: Millis, service: &str) -> bool {
        let targets = self.targets.values();
        let mut balance = 0_i32;
        for target in targets.filter(|t| &*t.offered.service == service && t.load.is_some()) {
            balance += if target.is_silent(now) { 1 } else { -1 };
        }
        balance > 0
    }

    /// Whether an engine is silent though others of its service are heard.
    pub fn is_silent(&self, now: Millis, id: &str) -> bool {
        let target = self.targets.get(id);
        target.is_none_or(|t| t.is_silent(now) && !self.is_deaf(now, &t.offered.service))
    }

    /// Notes that bytes of an answer came from `id`.
    pub fn hear(&mut self, now: Millis, id: &str) {
        if let Some(target) = self.targets.get_mut(id) {
            target.heard = now;
        }
    }

    /// What a choice of `id` rests on: the predicted milliseconds to the first event of a prompt,
    /// and the age of the load report, if there is one that still says something.
    pub fn grounds(&self, now: Millis, id: &str, prompt: u32) -> (f64, Option<Millis>) {
        let Some(target) = self.targets.get(id) else {
            return (0.0, None);
        };
        let age = target.fresh(now).map(|(at, _)| now.since(at) + LAG);
        (target.predict(now, f64::from(prompt)), age)
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
    pub fn sent(&mut self, now: Millis, id: &str, prompt: u32) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        if target.outlier.probe_due(now) {
            target.outlier.probe();
        }
        target.own += 1;
        target.tried = now;
        target.sent.push_back(now);
        if target.sent.len() > UNCOUNTED {
            target.sent.pop_front();
        }
        target.unread += f64::from(prompt);
    }

    /// Counts the first event of a request at `id`.
    pub fn began(&mut self, now: Millis, id: &str, prompt: u32) {
        if let Some(target) = self.targets.get_mut(id) {
            target.heard = now;
            target.unread = (target.unread - f64::from(prompt)).max(0.0);
        }
    }

    /// Counts the end of a request at `id`; `unread` is its prompt if no event had come.
    pub fn ended(&mut self, now: Millis, id: &str, unread: u32, ended: Ended) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        target.own = target.own.saturating_sub(1);
        if ended == Ended::Refused {
            target.sent.pop_back();
        }
        target.unread = (target.unread - f64::from(unread)).max(0.0);
        match ended {
            Ended::Answered(took) => {
                target.call_ms += (millis_f64(took) - target.call_ms) * CALL_WEIGHT;
                target.outlier.succeed();
                if target.outlier.is_out() {
                    target.outlier.readmit();
                }
            }
            Ended::Failed => {
                let out = target.outlier.is_out();
                if target.outlier.fail() || out {
                    target.outlier.lose(now);
                }
            }
            Ended::Refused | Ended::Left => {
                if target.outlier.health() == Health::Probed {
                    target.outlier.withdraw(now);
                }
            }
        }
    }

    /// Takes a target out for `span`, as it refused for a reason that will not pass at once.
    pub fn shut(&mut self, now: Millis, id: &str, span: Millis) {
        if let Some(target) = self.targets.get_mut(id) {
            target.shut = now + span;
        }
    }
}

fn millis_f64(span: Millis) -> f64 {
    u32::try_from(span.0).map_or(f64::MAX, f64::from)
}
