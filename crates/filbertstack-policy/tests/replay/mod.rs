//! Entries that do not talk to each other before engines, in virtual time.

use std::collections::BTreeMap;
use std::sync::LazyLock;

use filbertstack_core::Millis;
use filbertstack_core::serving::EngineModel;
use filbertstack_policy::dispatch::AttemptEnd;
use filbertstack_policy::dispatch::ChooseError;
use filbertstack_policy::dispatch::Dispatcher;
use filbertstack_policy::dispatch::Load;
use filbertstack_policy::dispatch::Sharers;
use filbertstack_policy::dispatch::TargetId;
use filbertstack_policy::dispatch::TargetRequest;
use filbertstack_policy::dispatch::TargetSpec;
use filbertstack_policy::subset;
use filbertstack_policy::subset::Candidate;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::batch::Engine;
use crate::batch::MODEL;

/// How long callers wait for a first event.
const PATIENCE: u64 = 2_000;

/// How old a report is when it arrives, and how often one comes.
const LAG: u64 = 70;
const PERIOD: u64 = 100;

/// Who chooses the engine of a request.
#[derive(Clone, Copy, PartialEq)]
pub enum Way {
    /// Each entry takes the engines in turn and refuses nobody.
    Turns,
    /// The dispatcher.
    Dispatcher,
}

#[derive(Clone, Copy)]
pub struct Replay {
    pub way: Way,
    pub model: &'static LazyLock<EngineModel>,
    /// In which time a first event is on time.
    pub goal: Millis,
    pub engines: usize,
    pub entries: usize,
    /// Availability zones, over which entries and engines are spread in turn.
    pub zones: usize,
    /// The share of the requests that come to the entries of the first zone, beside an even one.
    pub busy: f64,
    pub per_second: f64,
    /// How many times slower the first engine is.
    pub slow: f64,
    /// From when on each engine is there.
    pub there_from: fn(usize) -> u64,
    /// Whether an engine stands still at a millisecond, and its agent with it.
    pub frozen: fn(usize, u64) -> bool,
    /// Whether the entries hear nothing of any engine's load at a millisecond.
    pub deaf: fn(u64) -> bool,
    pub seconds: u64,
}

#[derive(Debug, Default, PartialEq)]
pub struct Received {
    pub asked: u32,
    pub on_time: u32,
    pub late: u32,
    pub refused: u32,
    /// Sent to an engine of another zone.
    pub crossed: u32,
    /// Answers whose first event came after [`PATIENCE`]: callers have left by then.
    pub left: u32,
}

pub fn offered(n: usize, accepts_work: bool) -> TargetSpec {
    TargetSpec {
        id: format!("e{n}").into(),
        service: "llm".into(),
        slots: MODEL.slots,
        local: true,
        sharers: Sharers {
            entries: 1,
            targets: 1,
            used: 1,
            preferred_by: 0,
        },
        engine: Some(MODEL.clone().into()),
        accepts_work,
    }
}

pub fn replay(replay: &Replay) -> Received {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut entries: Vec<Dispatcher> = (0..replay.entries)
        .map(|_| Dispatcher::new(ChaCha8Rng::from_rng(&mut rng)))
        .collect();
    let mut engines: Vec<Engine> = (0..replay.engines)
        .map(|n| Engine::new(replay.model, if n == 0 { replay.slow } else { 1.0 }))
        .collect();
    let mut received = Received::default();
    let mut turns = vec![0_usize; replay.entries];
    for now in 0..replay.seconds * 1_000 {
        for (n, engine) in engines.iter_mut().enumerate() {
            if (replay.frozen)(n, now) {
                continue;
            }
            for done in engine.advance(now) {
                let entry = &mut entries[done.entry];
                let id = format!("e{n}");
                if done.first {
                    entry.count_first_event(Millis(now), &id, done.prompt);
                    received.left += u32::from(now - done.sent > PATIENCE);
                    let on_time = now - done.sent <= replay.goal.0;
                    received.on_time += u32::from(on_time);
                    received.late += u32::from(!on_time);
                } else {
                    let took = Millis(now - done.sent);
                    entry.count_end(Millis(now), &id, 0, AttemptEnd::Answered(took));
                }
            }
        }
        if now % PERIOD == 0 && !(replay.deaf)(now) {
            tell(replay, now, &engines, &mut entries);
        }
        let mut due = replay.per_second / 1_000.0;
        while due > 0.0 {
            let comes = rng.random_bool(due.min(1.0));
            due -= 1.0;
            if !comes {
                continue;
            }
            received.asked += 1;
            let mut from = rng.random_range(0..replay.entries);
            if rng.random_bool(replay.busy) {
                from -= from % replay.zones;
            }
            let prompt = rng.random_range(100..1_800);
            let there = |n: usize| (replay.there_from)(n) <= now;
            let chosen = if replay.way == Way::Turns {
                turns[from] += 1;
                let open: Vec<usize> = (0..replay.engines).filter(|n| there(*n)).collect();
                Ok(open[(turns[from] + from) % open.len()])
            } else {
                choose_within(&mut entries[from], now, prompt, replay.goal)
            };
            match chosen {
                Ok(n) => {
                    received.crossed += u32::from(n % replay.zones != from % replay.zones);
                    entries[from].count_sent(Millis(now), &format!("e{n}"), prompt);
                    engines[n].send(now, from, prompt);
                }
                Err(_) => received.refused += 1,
            }
        }
    }
    received
}

/// Every entry is told the load that each engine of its subset had a while ago.
fn tell(replay: &Replay, now: u64, engines: &[Engine], entries: &mut [Dispatcher]) {
    let there: Vec<usize> = (0..engines.len())
        .filter(|n| (replay.there_from)(*n) <= now)
        .collect();
    for (e, entry) in entries.iter_mut().enumerate() {
        let beside = beside(replay, e, &there);
        let used = used(replay, e, &there, &beside);
        let near = |n: usize| n % replay.zones == e % replay.zones;
        let counted = |of: &[usize], is: bool| {
            let count = of.iter().filter(|n| !is || near(**n)).count();
            u32::try_from(count).expect("few")
        };
        let all: Vec<usize> = (0..replay.entries).collect();
        let offered = |n: &usize| {
            let is = near(*n);
            TargetSpec {
                local: is,
                sharers: Sharers {
                    entries: counted(&all, is),
                    targets: counted(&there, is),
                    used: counted(&used, is),
                    preferred_by: beside.get(n).copied().unwrap_or(0),
                },
                slots: replay.model.slots,
                engine: Some((*replay.model).clone().into()),
                ..offered(*n, true)
            }
        };
        entry.set_targets(used.iter().map(offered).collect());
        for n in used.into_iter().filter(|n| !(replay.frozen)(*n, now)) {
            let (running, waiting) = engines[n].load_at(now.saturating_sub(LAG));
            let pace = engines[n].pace;
            let load = Load {
                running,
                waiting,
                pace,
            };
            entry.record_load(Millis(now), &format!("e{n}"), load);
        }
    }
}

/// The engines beside an entry, and for each how many entries are.
fn beside(replay: &Replay, entry: usize, there: &[usize]) -> BTreeMap<usize, u32> {
    let near = |n: &usize| n % replay.zones == entry % replay.zones;
    let entries: Vec<String> = (0..replay.entries)
        .filter(near)
        .map(|n| format!("entry-{n}"))
        .collect();
    let engines: Vec<usize> = there.iter().copied().filter(near).collect();
    let targets: Vec<String> = engines.iter().map(|n| format!("engine-{n}")).collect();
    let entries: Vec<&str> = entries.iter().map(String::as_str).collect();
    let targets: Vec<&str> = targets.iter().map(String::as_str).collect();
    let met = subset::preferred(&format!("entry-{entry}"), &entries, &targets);
    let met = met
        .into_iter()
        .map(|met| (engines[met.target], met.entries));
    met.collect()
}

/// The engines that an entry uses.
fn used(
    replay: &Replay,
    entry: usize,
    there: &[usize],
    beside: &BTreeMap<usize, u32>,
) -> Vec<usize> {
    let zone = |n: usize| format!("zone-{}", n % replay.zones);
    let named: Vec<_> = there
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
        beside.contains_key(&n)
    })
}

pub fn choose(entry: &mut Dispatcher, now: u64, prompt: u32) -> Result<usize, ChooseError> {
    choose_within(entry, now, prompt, FULL.goal)
}

fn choose_within(
    entry: &mut Dispatcher,
    now: u64,
    prompt: u32,
    goal: Millis,
) -> Result<usize, ChooseError> {
    let wanted = TargetRequest {
        service: "llm",
        prompt,
        goal,
        tried: &[],
    };
    entry.count_request(Millis(now), &"llm".into());
    let id: TargetId = entry.choose(Millis(now), &wanted)?;
    Ok(id[1..].parse().expect("a number"))
}

pub const FULL: Replay = Replay {
    way: Way::Dispatcher,
    model: &MODEL,
    goal: Millis(400),
    engines: 12,
    entries: 11,
    zones: 1,
    busy: 0.0,
    per_second: 100.0,
    slow: 1.0,
    there_from: |_| 0,
    frozen: |_, _| false,
    deaf: |_| false,
    seconds: 20,
};

pub fn by_turns(replay: Replay) -> Replay {
    Replay {
        way: Way::Turns,
        ..replay
    }
}
