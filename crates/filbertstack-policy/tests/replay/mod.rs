//! A replay in virtual time of entries that send to engines without coordination.

pub mod uneven;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::LazyLock;

use filbertstack_core::Millis;
use filbertstack_core::serving::EngineModel;
use filbertstack_core::serving::Residency;
use filbertstack_policy::attempts::Attempts;
use filbertstack_policy::begin::Work;
use filbertstack_policy::dispatch::AttemptEnd;
use filbertstack_policy::dispatch::ChooseError;
use filbertstack_policy::dispatch::Dispatcher;
use filbertstack_policy::dispatch::Load;
use filbertstack_policy::dispatch::Sharers;
use filbertstack_policy::dispatch::TargetId;
use filbertstack_policy::dispatch::TargetRequest;
use filbertstack_policy::dispatch::TargetSpec;
use filbertstack_policy::recovery::Recovery;
use filbertstack_policy::subset;
use filbertstack_policy::subset::Candidate;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::batch::Engine;
use crate::batch::EngineEvent;
use crate::batch::SIXTEEN_SLOTS;
use crate::replay::uneven::Draws;
use crate::replay::uneven::observe;

/// The time for which callers wait for a first event.
const PATIENCE_MS: u64 = 2_000;

/// The time limit of a caller, and the interval at which an entry looks for a target for one that waits.
const CALLER_TIME_MS: u64 = 6_000;
const CHECK_INTERVAL_MS: u64 = 100;

/// The age of a report when it arrives, and the interval between two reports.
const REPORT_LAG_MS: u64 = 70;
const REPORT_INTERVAL_MS: u64 = 100;

/// The rest that an engine asks for when it turns a request away, and the time after which an entry must
/// keep it.
const REST_MS: u64 = 3_000;
const REST_KEPT_AFTER_MS: u64 = 500;

/// How long an engine without room at the moment is suspended.
const SUSPENDED: Millis = Millis(60);

/// The number of engines that may run a request.
const ATTEMPTS: u32 = 2;

/// The way in which the engine of a request is chosen.
#[derive(Clone, Copy, PartialEq)]
pub enum Strategy {
    /// Each entry takes the engines in turn and refuses no request.
    RoundRobin,
    /// The dispatcher chooses the engine.
    Dispatcher,
}

/// What entries learn when an engine turns a request away.
#[derive(Clone, Copy, PartialEq)]
pub enum Heeds {
    /// That it has no room at the moment.
    Moment,
    /// That it turns requests away.
    Refusal,
    /// For how long it wants none.
    Rest,
}

#[derive(Clone, Copy)]
pub struct Replay {
    pub strategy: Strategy,
    pub model: &'static LazyLock<EngineModel>,
    /// The time within which a first event is on time.
    pub goal: Millis,
    pub engines: usize,
    pub entries: usize,
    /// The number of availability zones, to which entries and engines are assigned in turn.
    pub zones: usize,
    /// Whether the callers of an entry are bound to the first zone, as each zone is a region.
    pub bound: fn(usize) -> bool,
    /// The share of the requests that go to entries of the first zone in addition to an even share.
    pub first_zone_share: f64,
    pub requests_per_second: f64,
    /// The factor by which the first engine is slower.
    pub slowdown: f64,
    /// The time when each engine joins.
    pub joins_at_ms: fn(usize) -> u64,
    /// The time from which an engine that has joined takes work.
    pub serves_from_ms: fn(usize) -> u64,
    /// Whether an engine and its agent are frozen at a millisecond.
    pub frozen: fn(usize, u64) -> bool,
    /// Whether an engine turns requests away at a millisecond and asks for rest.
    pub turns_away: fn(usize, u64) -> bool,
    /// Whether some engines, drawn anew again and again, are slower without reporting it.
    pub uneven: bool,
    /// Whether the entries estimate the engines' paces.
    pub observes: bool,
    /// The factor by which the events of an entry seem further apart to it, as its own link is slow.
    pub link: fn(usize) -> u64,
    /// What entries learn from it.
    pub heeds: Heeds,
    /// Whether the entries receive no load reports at a millisecond.
    pub cut_off: fn(u64) -> bool,
    /// Whether a refused caller comes back once, after the delay that it was told.
    pub returns: bool,
    /// The time from which the answers to new requests are counted.
    pub counted_from_ms: u64,
    pub seconds: u64,
}

#[derive(Debug, Default, PartialEq)]
pub struct Received {
    pub requests: u32,
    pub on_time: u32,
    pub late: u32,
    pub refused: u32,
    /// The number of requests sent to an engine of another zone.
    pub other_zone: u32,
    /// The number of answers whose first event came after [`PATIENCE_MS`], when the callers have left.
    pub callers_left: u32,
    /// The most requests that reached an engine from one entry within one rest.
    pub most_in_rest: u32,
    /// The number of requests that engines turned away.
    pub turned_away: u32,
}

impl Received {
    /// Counts a first event.
    fn count(&mut self, replay: &Replay, now: u64, first: EngineEvent) {
        if first.sent < replay.counted_from_ms {
            return;
        }
        self.callers_left += u32::from(now - first.sent > PATIENCE_MS);
        let on_time = now - first.sent <= replay.goal.0;
        self.on_time += u32::from(on_time);
        self.late += u32::from(!on_time);
    }
}

pub fn spec(n: usize, accepts_work: bool) -> TargetSpec {
    TargetSpec {
        region: None,
        evacuated: false,
        replaced: None,
        id: format!("e{n}").into(),
        service: "llm".into(),
        slots: SIXTEEN_SLOTS.slots,
        local: true,
        sharers: Sharers {
            entries: 1,
            targets: 1,
            used: 1,
            preferred_by: 0,
        },
        engine: Some(SIXTEEN_SLOTS.clone().into()),
        accepts_work,
    }
}

pub fn replay(replay: &Replay) -> Received {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut entries: Vec<Dispatcher> = (0..replay.entries)
        .map(|_| Dispatcher::new(ChaCha8Rng::from_rng(&mut rng)))
        .collect();
    let mut engines: Vec<Engine> = (0..replay.engines)
        .map(|n| Engine::new(replay.model, if n == 0 { replay.slowdown } else { 1.0 }))
        .collect();
    let mut received = Received::default();
    let mut next_engine = vec![0_usize; replay.entries];
    let mut recoveries: Vec<Recovery> = vec![Recovery::new(Millis(0)); replay.entries];
    let mut callers: Vec<Caller> = Vec::new();
    let mut rests = Rests::default();
    let mut draws = Draws::new(replay, &mut entries);
    for now in 0..replay.seconds * 1_000 {
        draws.draw(now, &mut engines);
        for (n, engine) in engines.iter_mut().enumerate() {
            if (replay.frozen)(n, now) {
                continue;
            }
            for done in engine.advance(now) {
                let entry = &mut entries[done.entry];
                let id = format!("e{n}");
                observe(replay, entry, now, &id, done);
                if done.first {
                    entry.count_first_event(Millis(now), &id, done.prompt);
                    received.count(replay, now, done);
                } else if done.last {
                    let took = Millis(now - done.sent);
                    entry.count_end(Millis(now), &id, 0, AttemptEnd::Answered(took));
                }
            }
        }
        if now % REPORT_INTERVAL_MS == 0 && !(replay.cut_off)(now) {
            report_loads(replay, now, &engines, &mut entries);
        }
        let mut due = replay.requests_per_second / 1_000.0;
        while due > 0.0 {
            let arrives = rng.random_bool(due.min(1.0));
            due -= 1.0;
            if !arrives {
                continue;
            }
            received.requests += u32::from(now >= replay.counted_from_ms);
            callers.push(new_caller(replay, now, &mut rng));
        }
        let ask = callers.extract_if(.., |caller| caller.due <= now);
        for caller in ask.collect::<Vec<_>>() {
            let Caller { from, prompt, .. } = caller;
            let open =
                |n: usize| (replay.joins_at_ms)(n) <= now && (replay.serves_from_ms)(n) <= now;
            let chosen = if replay.strategy == Strategy::RoundRobin {
                next_engine[from] += 1;
                let open: Vec<usize> = (0..replay.engines).filter(|n| open(*n)).collect();
                Ok(open[(next_engine[from] + from) % open.len()])
            } else {
                ask_entry(
                    &mut entries[from],
                    &mut recoveries[from],
                    now,
                    replay.goal,
                    &caller,
                )
            };
            match chosen {
                Ok(n) => {
                    let Some(n) = place(replay, now, &caller, &mut entries[from], n, &mut rests)
                    else {
                        received.refused += u32::from(caller.arrived >= replay.counted_from_ms);
                        continue;
                    };
                    received.other_zone += u32::from(n % replay.zones != from % replay.zones);
                    engines[n].enqueue(caller.arrived, from, prompt);
                }
                Err(Turned::Waits) => callers.push(Caller {
                    due: now + CHECK_INTERVAL_MS,
                    ..caller
                }),
                Err(Turned::Refused(after)) if caller.returns => callers.push(Caller {
                    asked: now + after.0,
                    due: now + after.0,
                    from: rng.random_range(0..replay.entries),
                    returns: false,
                    ..caller
                }),
                Err(Turned::Refused(_)) => {
                    received.refused += u32::from(caller.arrived >= replay.counted_from_ms);
                }
            }
        }
    }
    received.most_in_rest = rests.most;
    received.turned_away = rests.turned_away;
    received
}

fn new_caller(replay: &Replay, now: u64, rng: &mut ChaCha8Rng) -> Caller {
    let mut from = rng.random_range(0..replay.entries);
    if rng.random_bool(replay.first_zone_share) {
        from -= from % replay.zones;
    }
    Caller {
        arrived: now,
        asked: now,
        from,
        prompt: rng.random_range(100..1_800),
        due: now,
        returns: replay.returns,
        bound: (replay.bound)(from),
    }
}

/// Counts the requests that reach engines within the rests that these have asked for.
#[derive(Default)]
struct Rests {
    /// When the engine last asked the entry for rest, and the requests within it, by entry and engine.
    asked: BTreeMap<(usize, usize), (u64, u32)>,
    most: u32,
    turned_away: u32,
}

impl Rests {
    /// Counts a request that an engine turns away.
    fn count(&mut self, now: u64, entry: usize, engine: usize) {
        self.turned_away += 1;
        let asked = self.asked.entry((entry, engine)).or_insert((now, 0));
        if now >= asked.0 + REST_MS {
            *asked = (now, 0);
        }
        asked.1 += u32::from(now >= asked.0 + REST_KEPT_AFTER_MS);
        self.most = self.most.max(asked.1);
    }
}

/// Sends a request to the engine `first`, and to another one if it is turned away. Returns the engine that
/// takes it.
fn place(
    replay: &Replay,
    now: u64,
    caller: &Caller,
    entry: &mut Dispatcher,
    first: usize,
    rests: &mut Rests,
) -> Option<usize> {
    let Caller { from, prompt, .. } = *caller;
    let mut tried: Vec<TargetId> = Vec::new();
    let mut attempts = Attempts::default();
    let mut n = first;
    loop {
        let id: TargetId = format!("e{n}").into();
        entry.count_sent(Millis(now), &id, prompt);
        if !(replay.turns_away)(n, now) {
            return Some(n);
        }
        rests.count(now, from, n);
        if replay.heeds == Heeds::Moment {
            entry.count_end(Millis(now), &id, prompt, AttemptEnd::Refused);
            entry.suspend(Millis(now), &id, SUSPENDED);
        } else {
            entry.count_end(Millis(now), &id, prompt, AttemptEnd::TurnedAway);
        }
        if replay.heeds == Heeds::Rest {
            entry.record_rest(Millis(now), &id, Millis(REST_MS));
        }
        tried.push(id);
        attempts.count_sent();
        attempts.count_turned_away();
        if !attempts.may_continue(ATTEMPTS) {
            return None;
        }
        n = choose_another(entry, now, prompt, replay.goal, caller.bound, &tried).ok()?;
    }
}

/// A caller who has no engine yet.
#[derive(Clone, Copy)]
struct Caller {
    /// The time of its first attempt.
    arrived: u64,
    /// The time when it asked this entry.
    asked: u64,
    from: usize,
    prompt: u32,
    /// The time of its next attempt to get an engine.
    due: u64,
    /// Whether it comes back once it is refused.
    returns: bool,
    bound: bool,
}

/// The answer to a caller who gets no engine.
enum Turned {
    /// The caller waits at the entry.
    Waits,
    /// The caller is refused and told when to come back.
    Refused(Millis),
}

/// Asks an entry for an engine as the product does: on arrival, and again while the caller waits.
fn ask_entry(
    entry: &mut Dispatcher,
    recovery: &mut Recovery,
    now: u64,
    goal: Millis,
    caller: &Caller,
) -> Result<usize, Turned> {
    let service: Arc<str> = "llm".into();
    if caller.due == caller.asked {
        entry.count_request(Millis(now), &service);
    }
    let left = goal.0.saturating_sub(now - caller.asked);
    let is_late = left == 0;
    if is_late && !recovery.may_send_waiter(Millis(now)) {
        return Err(Turned::Waits);
    }
    let left = if is_late { goal } else { Millis(left) };
    match choose_another(entry, now, caller.prompt, left, caller.bound, &[]) {
        Ok(n) if is_late => {
            recovery.count_waiter_sent(Millis(now));
            Ok(n)
        }
        Ok(n) => {
            recovery.count_sent(Millis(now), &service);
            Ok(n)
        }
        Err(refused) => {
            let may_wait = now > caller.asked || matches!(refused, ChooseError::NoTarget { .. });
            let time = Millis(CALLER_TIME_MS);
            let limit = recovery.wait_limit(Millis(now), Some("llm"), time, 0);
            let waits = may_wait && limit.is_some_and(|limit| now < caller.asked + limit.0);
            if waits {
                return Err(Turned::Waits);
            }
            Err(Turned::Refused(refused.retry_after()))
        }
    }
}

/// Reports to every entry the earlier load of each engine that it uses.
fn report_loads(replay: &Replay, now: u64, engines: &[Engine], entries: &mut [Dispatcher]) {
    let present: Vec<usize> = (0..engines.len())
        .filter(|n| (replay.joins_at_ms)(*n) <= now)
        .collect();
    for (e, entry) in entries.iter_mut().enumerate() {
        let preferred = preferred_engines(replay, e, &present);
        let selected = selected(replay, e, &present, &preferred);
        let in_zone = |n: usize| n % replay.zones == e % replay.zones;
        let counted = |indices: &[usize], is_local: bool| {
            let count = indices.iter().filter(|n| !is_local || in_zone(**n)).count();
            u32::try_from(count).expect("few")
        };
        let all: Vec<usize> = (0..replay.entries).collect();
        let spec = |n: &usize| {
            let is_local = in_zone(*n);
            TargetSpec {
                local: is_local,
                region: Some(format!("region-{}", n % replay.zones).into()),
                sharers: Sharers {
                    entries: counted(&all, is_local),
                    targets: counted(&present, is_local),
                    used: counted(&selected, is_local),
                    preferred_by: preferred.get(n).copied().unwrap_or(0),
                },
                slots: replay.model.slots,
                engine: Some((*replay.model).clone().into()),
                ..spec(*n, (replay.serves_from_ms)(*n) <= now)
            }
        };
        entry.set_targets(selected.iter().map(spec).collect());
        for n in selected.into_iter().filter(|n| !(replay.frozen)(*n, now)) {
            let (running, waiting) = engines[n].load_at(now.saturating_sub(REPORT_LAG_MS));
            let pace = if replay.uneven { 1.0 } else { engines[n].pace };
            let load = Load {
                running,
                waiting,
                pace,
            };
            entry.record_load(Millis(now), &format!("e{n}"), load);
        }
    }
}

/// Returns the engines that an entry prefers, and for each the number of entries that prefer it.
fn preferred_engines(replay: &Replay, entry: usize, present: &[usize]) -> BTreeMap<usize, u32> {
    let in_zone = |n: &usize| n % replay.zones == entry % replay.zones;
    let entries: Vec<String> = (0..replay.entries)
        .filter(in_zone)
        .map(|n| format!("entry-{n}"))
        .collect();
    let engines: Vec<usize> = present.iter().copied().filter(in_zone).collect();
    let targets: Vec<String> = engines.iter().map(|n| format!("engine-{n}")).collect();
    let entries: Vec<&str> = entries.iter().map(String::as_str).collect();
    let targets: Vec<&str> = targets.iter().map(String::as_str).collect();
    let preferred = subset::preferred(&format!("entry-{entry}"), &entries, &targets);
    let preferred = preferred
        .into_iter()
        .map(|preferred| (engines[preferred.target], preferred.entries));
    preferred.collect()
}

/// Returns the engines that an entry uses.
fn selected(
    replay: &Replay,
    entry: usize,
    present: &[usize],
    preferred: &BTreeMap<usize, u32>,
) -> Vec<usize> {
    let zone = |n: usize| format!("zone-{}", n % replay.zones);
    let named: Vec<_> = present
        .iter()
        .map(|n| (*n, format!("engine-{n}"), zone(*n)))
        .collect();
    let candidates: Vec<_> = named
        .iter()
        .map(|(key, name, zone)| Candidate {
            key: *key,
            name,
            zone,
        })
        .collect();
    subset::select(&format!("entry-{entry}"), &zone(entry), &candidates, |n| {
        preferred.contains_key(&n)
    })
}

pub fn choose(entry: &mut Dispatcher, now: u64, prompt: u32) -> Result<usize, ChooseError> {
    choose_another(entry, now, prompt, BASELINE.goal, false, &[])
}

fn choose_another(
    entry: &mut Dispatcher,
    now: u64,
    prompt: u32,
    goal: Millis,
    bound: bool,
    tried: &[TargetId],
) -> Result<usize, ChooseError> {
    let first_region = Residency::declared(vec!["region-0".into()]);
    let wanted = TargetRequest {
        contender: None,
        residency: Some(&first_region).filter(|_| bound),
        service: "llm",
        prompt,
        goal,
        tried,
        work: Work::default(),
    };
    let id: TargetId = entry.choose(Millis(now), &wanted)?;
    Ok(id[1..].parse().expect("a number"))
}

pub const BASELINE: Replay = Replay {
    strategy: Strategy::Dispatcher,
    model: &SIXTEEN_SLOTS,
    goal: Millis(400),
    engines: 12,
    entries: 11,
    zones: 1,
    bound: |_| false,
    first_zone_share: 0.0,
    requests_per_second: 100.0,
    slowdown: 1.0,
    joins_at_ms: |_| 0,
    serves_from_ms: |_| 0,
    frozen: |_, _| false,
    turns_away: |_, _| false,
    uneven: false,
    observes: false,
    link: |_| 1,
    heeds: Heeds::Rest,
    cut_off: |_| false,
    returns: false,
    counted_from_ms: 0,
    seconds: 20,
};

pub fn round_robin(replay: Replay) -> Replay {
    Replay {
        strategy: Strategy::RoundRobin,
        ..replay
    }
}
