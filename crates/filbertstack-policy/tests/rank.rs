//! Replays of callers of different rank who compete for too few engines, judged by what they receive.

#[expect(dead_code, reason = "other tests use other engines")]
mod batch;

use std::sync::Arc;

use filbertstack_core::Millis;
use filbertstack_core::serving::Catalogue;
use filbertstack_core::serving::Organisation;
use filbertstack_core::serving::Parts;
use filbertstack_core::serving::Repeat;
use filbertstack_core::serving::Residency;
use filbertstack_core::serving::Route;
use filbertstack_core::serving::Service;
use filbertstack_core::serving::WeightedService;
use filbertstack_policy::dispatch::AttemptEnd;
use filbertstack_policy::dispatch::Dispatcher;
use filbertstack_policy::dispatch::Load;
use filbertstack_policy::dispatch::Sharers;
use filbertstack_policy::dispatch::TargetRequest;
use filbertstack_policy::dispatch::TargetSpec;
use filbertstack_policy::rank::Contender;
use filbertstack_policy::rank::Rank;
use filbertstack_policy::rank::RankOrders;
use filbertstack_policy::rank::demand::DemandReports;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::batch::Engine;
use crate::batch::TWELVE_SLOTS;

/// The age of a report when it arrives, and the interval between two reports.
const REPORT_LAG_MS: u64 = 70;
const REPORT_INTERVAL_MS: u64 = 100;

/// How often the entries learn the demand at all of them.
const DEMAND_INTERVAL_MS: u64 = 500;

/// The time limit of the callers.
const CALLER_TIME_MS: u64 = 6_000;

/// How long the replay goes on after the last caller. Callers of the last moments would else count as asked, but
/// their answers would not.
const DRAIN_MS: u64 = 2_000;

/// The part of the common chance to be served that every group has at least.
const FLOOR: f64 = 0.5;

/// Callers of one rank.
#[derive(Clone, Copy)]
struct Kind {
    rank: u8,
    organisation: &'static str,
    goal: Millis,
    per_s: f64,
}

#[derive(Clone, Copy)]
struct Scene {
    kinds: &'static [Kind],
    entries: usize,
    engines: usize,
    seconds: u64,
    /// Whether the requests tell their ranks.
    ranked: bool,
    /// Whether the entries know the demand at all of them.
    shared: bool,
}

/// What the callers of one kind received.
#[derive(Clone, Copy, Debug, Default)]
struct Received {
    asked: u32,
    on_time: u32,
    served: u32,
}

impl Received {
    fn on_time(self) -> f64 {
        f64::from(self.on_time) / f64::from(self.asked)
    }

    fn served(self) -> f64 {
        f64::from(self.served) / f64::from(self.asked)
    }
}

struct Caller {
    kind: usize,
    arrived: u64,
    due: u64,
    prompt: u32,
    returns: bool,
}

/// A request that an engine has: its kind and its arrival. Prompts tell the requests of one millisecond apart.
type Sent = ((u64, usize, u32), (usize, u64));

/// Describes the engine `n` to an entry. Entries and engines lie on one line, and an entry prefers the engines beside
/// it.
fn spec(scene: &Scene, entry: usize, n: usize) -> TargetSpec {
    let count = |n: usize| u32::try_from(n).expect("few");
    let is_beside = n * scene.entries / scene.engines == entry;
    TargetSpec {
        id: format!("e{n}").into(),
        service: "llm".into(),
        slots: TWELVE_SLOTS.slots,
        local: true,
        sharers: Sharers {
            entries: count(scene.entries),
            targets: count(scene.engines),
            used: count(scene.engines),
            preferred_by: u32::from(is_beside),
        },
        engine: Some(TWELVE_SLOTS.clone().into()),
        accepts_work: true,
        region: None,
        evacuated: false,
        replaced: None,
    }
}

/// Tells all entries the demand at all of them, as one voter would.
fn share_demand(now: Millis, entries: &mut [Dispatcher]) {
    let mut reports = DemandReports::default();
    for (n, entry) in entries.iter().enumerate() {
        reports.record_entry(now, &n.to_string().into(), entry.demand(now));
    }
    let total = reports.total(now);
    for entry in entries {
        entry.set_total_demand(now, &total);
    }
}

/// The system during a replay.
struct World<'a> {
    scene: &'a Scene,
    rng: ChaCha8Rng,
    entries: Vec<Dispatcher>,
    engines: Vec<Engine>,
    sent: Vec<Sent>,
    callers: Vec<Caller>,
    received: Vec<Received>,
}

fn play(scene: &Scene) -> Vec<Received> {
    let mut world = World::new(scene);
    let ends_at = scene.seconds * 1_000;
    for now in 0..ends_at + DRAIN_MS {
        world.run_engines(now);
        if now % REPORT_INTERVAL_MS == 0 {
            world.report_loads(now);
        }
        if scene.shared && now % DEMAND_INTERVAL_MS == 0 {
            share_demand(Millis(now), &mut world.entries);
        }
        if now < ends_at {
            world.add_callers(now);
        }
        let due = world.callers.extract_if(.., |caller| caller.due <= now);
        for caller in due.collect::<Vec<_>>() {
            world.ask(now, caller);
        }
    }
    world.received
}

impl<'a> World<'a> {
    fn new(scene: &'a Scene) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(11);
        let entries = (0..scene.entries).map(|e| {
            let mut entry = Dispatcher::new(ChaCha8Rng::from_rng(&mut rng));
            entry.set_targets((0..scene.engines).map(|n| spec(scene, e, n)).collect());
            entry
        });
        let entries = entries.collect();
        let engines = (0..scene.engines).map(|_| Engine::new(&TWELVE_SLOTS, 1.0));
        Self {
            scene,
            rng,
            entries,
            engines: engines.collect(),
            sent: Vec::new(),
            callers: Vec::new(),
            received: vec![Received::default(); scene.kinds.len()],
        }
    }

    fn run_engines(&mut self, now: u64) {
        for (n, engine) in self.engines.iter_mut().enumerate() {
            let id = format!("e{n}");
            for event in engine.advance(now) {
                let entry = &mut self.entries[event.entry];
                if event.last {
                    let took = Millis(now - event.sent);
                    entry.count_end(Millis(now), &id, 0, AttemptEnd::Answered(took));
                }
                if !event.first {
                    continue;
                }
                entry.count_first_event(Millis(now), &id, event.prompt);
                let key = (event.sent, event.entry, event.prompt);
                let known = self.sent.iter().position(|(of, _)| *of == key);
                let (_, (kind, arrived)) = self.sent.swap_remove(known.expect("it was sent"));
                let on_time = now - arrived <= self.scene.kinds[kind].goal.0;
                self.received[kind].on_time += u32::from(on_time);
                self.received[kind].served += 1;
            }
        }
    }

    fn report_loads(&mut self, now: u64) {
        for entry in &mut self.entries {
            for (n, engine) in self.engines.iter().enumerate() {
                let (running, waiting) = engine.load_at(now.saturating_sub(REPORT_LAG_MS));
                let load = Load {
                    running,
                    waiting,
                    pace: 1.0,
                };
                entry.record_load(Millis(now), &format!("e{n}"), load);
            }
        }
    }

    fn add_callers(&mut self, now: u64) {
        for (kind, declared) in self.scene.kinds.iter().enumerate() {
            let arrivals = (0..10).filter(|_| self.rng.random_bool(declared.per_s / 10_000.0));
            let arrivals = arrivals.count();
            for _ in 0..arrivals {
                self.received[kind].asked += 1;
                self.callers.push(Caller {
                    kind,
                    arrived: now,
                    due: now,
                    prompt: self.rng.random_range(200..1_700),
                    returns: false,
                });
            }
        }
    }

    /// Lets a caller ask a random entry. One that is refused returns once.
    fn ask(&mut self, now: u64, mut caller: Caller) {
        let from = self.rng.random_range(0..self.scene.entries);
        let kind = &self.scene.kinds[caller.kind];
        let left = CALLER_TIME_MS - (now - caller.arrived);
        let contender = Contender {
            rank: Rank(kind.rank),
            route: kind.rank,
            tier: 1,
            organisation: Some(kind.organisation.into()),
            large: false,
            returns: caller.returns,
            patience: Millis((left / 3).min(kind.goal.0 / 2)),
        };
        let service: Arc<str> = "llm".into();
        let entry = &mut self.entries[from];
        entry.count_request(Millis(now), &service);
        if self.scene.ranked {
            entry.count_contender(Millis(now), &service, &contender, kind.goal);
        }
        let wanted = TargetRequest {
            service: &service,
            prompt: caller.prompt,
            goal: kind.goal,
            contender: self.scene.ranked.then_some(&contender),
            ..TargetRequest::default()
        };
        match entry.choose(Millis(now), &wanted) {
            Ok(id) => {
                let n: usize = id[1..].parse().expect("a number");
                entry.count_sent(Millis(now), &id, caller.prompt);
                let urgency = if self.scene.ranked { kind.rank } else { 5 };
                let urgency = urgency + u8::from(caller.returns);
                self.engines[n].enqueue_urgent(now, from, caller.prompt, urgency);
                let key = (now, from, caller.prompt);
                self.sent.push((key, (caller.kind, caller.arrived)));
            }
            Err(refused) if !caller.returns => {
                caller.returns = true;
                caller.due = now + refused.retry_after().0.max(1);
                self.callers.push(caller);
            }
            Err(_) => {}
        }
    }
}

fn served_of_all(received: &[Received]) -> f64 {
    let sum = |of: fn(&Received) -> u32| received.iter().map(of).sum::<u32>();
    f64::from(sum(|r| r.served)) / f64::from(sum(|r| r.asked))
}

const URGENT: Kind = Kind {
    rank: 0,
    organisation: "a",
    goal: Millis(400),
    per_s: 60.0,
};

/// Callers with time to wait, who ask for more than eighteen engines serve: some 150 requests a second.
const PATIENT: Kind = Kind {
    rank: 2,
    organisation: "b",
    goal: Millis(1_000),
    per_s: 240.0,
};

const SCENE: Scene = Scene {
    kinds: &[URGENT, PATIENT],
    entries: 12,
    engines: 18,
    seconds: 10,
    ranked: true,
    shared: false,
};

/// Guards against urgent callers who are refused because callers with a longer goal fill the engines' queues.
#[test]
fn a_burst_of_the_lowest_rank_does_not_displace_urgent_callers() {
    let plain = play(&Scene {
        ranked: false,
        ..SCENE
    });
    assert!(
        plain[0].on_time() < plain[1].on_time(),
        "without ranks the less urgent callers are served first: {plain:?}"
    );
    let ranked = play(&SCENE);
    assert!(ranked[0].on_time() > 0.9, "{ranked:?}");
    let least = FLOOR * served_of_all(&ranked);
    assert!(ranked[1].served() >= least, "{ranked:?}");
}

/// Guards against a shared view of the shortage that holds only among few entries: each of many sees a request of
/// each rank every few seconds.
#[test]
fn ranks_hold_among_hundreds_of_entries() {
    const MANY: &[Kind] = &[
        Kind {
            per_s: 600.0,
            ..URGENT
        },
        Kind {
            per_s: 2_400.0,
            ..PATIENT
        },
    ];
    let ranked = play(&Scene {
        kinds: MANY,
        entries: 120,
        engines: 180,
        seconds: 4,
        shared: true,
        ..SCENE
    });
    assert!(ranked[0].on_time() > 0.9, "{ranked:?}");
    assert!(ranked[0].on_time() > ranked[1].on_time(), "{ranked:?}");
    let least = FLOOR * served_of_all(&ranked);
    assert!(ranked[1].served() >= least, "{ranked:?}");
}

/// Guards against entries that take the noise of their few urgent requests for the demand of all: those that have
/// seen none for a while fill the engines, and those that have just seen one leave far too much room.
#[test]
fn few_urgent_callers_among_many_entries_are_served() {
    const FEW: &[Kind] = &[
        Kind {
            per_s: 10.0,
            ..URGENT
        },
        Kind {
            per_s: 300.0,
            ..PATIENT
        },
    ];
    let scene = Scene {
        kinds: FEW,
        entries: 120,
        engines: 24,
        ..SCENE
    };
    let own = play(&scene);
    let shared = play(&Scene {
        shared: true,
        ..scene
    });
    assert!(shared[0].on_time() > 0.9, "{shared:?}");
    assert!(shared[0].on_time() > own[0].on_time(), "{shared:?} {own:?}");
    assert!(
        served_of_all(&shared) >= served_of_all(&own),
        "{shared:?} {own:?}"
    );
}

/// Guards against a lowest rank that starves while a higher one alone asks for more than there is.
#[test]
fn a_flood_of_the_highest_rank_leaves_the_lowest_its_floor() {
    const FLOOD: &[Kind] = &[
        Kind {
            per_s: 250.0,
            ..URGENT
        },
        Kind {
            per_s: 60.0,
            ..PATIENT
        },
    ];
    let ranked = play(&Scene {
        kinds: FLOOD,
        ..SCENE
    });
    let least = FLOOR * served_of_all(&ranked);
    assert!(ranked[1].served() >= least, "{ranked:?}");
}

/// Guards against an organisation whose flood takes the places of others of its rank.
#[test]
fn a_flood_of_one_organisation_is_paid_for_by_itself() {
    const FLOOD: &[Kind] = &[
        Kind {
            organisation: "flood",
            per_s: 250.0,
            ..URGENT
        },
        Kind {
            organisation: "b",
            per_s: 30.0,
            ..URGENT
        },
        Kind {
            organisation: "c",
            per_s: 30.0,
            ..URGENT
        },
        Kind {
            organisation: "d",
            per_s: 5.0,
            ..PATIENT
        },
    ];
    let scene = Scene {
        kinds: FLOOD,
        ..SCENE
    };
    let plain = play(&Scene {
        ranked: false,
        ..scene
    });
    let ranked = play(&scene);
    for n in [1, 2] {
        assert!(ranked[n].on_time() > 0.85, "{ranked:?}");
        assert!(
            ranked[n].on_time() > plain[n].on_time(),
            "{ranked:?} {plain:?}"
        );
    }
}

/// Guards against callers who are refused for their rank although there is room for all.
#[test]
fn without_a_shortage_nobody_is_refused_for_a_rank() {
    const CALM: &[Kind] = &[
        Kind {
            per_s: 50.0,
            ..URGENT
        },
        Kind {
            per_s: 50.0,
            ..PATIENT
        },
    ];
    let ranked = play(&Scene {
        kinds: CALM,
        ..SCENE
    });
    for received in &ranked {
        assert!(received.on_time() > 0.97, "{ranked:?}");
    }
}

fn route(name: &str, priority: u8) -> Route {
    Route {
        name: name.into(),
        host: "h".into(),
        prefix: format!("/{name}/").into(),
        repeat: Repeat::Resumable,
        timeout: std::time::Duration::from_secs(6),
        goal: std::time::Duration::from_millis(400),
        streams: false,
        pause: None,
        priority,
        weighted_services: vec![WeightedService {
            service: "llm".into(),
            weight: 1,
        }],
        attempts: 2,
        public: false,
        residency: Residency::Anywhere,
    }
}

fn orders(priorities: &[u8], organisations: &[Option<u8>]) -> (RankOrders, Vec<Route>) {
    let routes = priorities.iter().enumerate();
    let routes: Vec<Route> = routes.map(|(n, p)| route(&format!("r{n}"), *p)).collect();
    let organisations = organisations.iter().enumerate().map(|(n, p)| Organisation {
        name: format!("o{n}").into(),
        keys: vec![format!("k{n}").into()],
        priority: *p,
        residency: Residency::Anywhere,
    });
    let catalogue = Catalogue::build(Parts {
        version: 1,
        routes: routes.clone(),
        services: vec![Service {
            name: "llm".into(),
            connections: 10,
            engine: Some(TWELVE_SLOTS.clone()),
            origin: None,
            cold_start: None,
        }],
        organisations: organisations.collect(),
        ..Parts::default()
    });
    (RankOrders::new(&catalogue.expect("valid")), routes)
}

/// Guards against an order in which the route's priority goes before the organisation's.
#[test]
fn the_organisation_is_compared_before_the_route() {
    let (orders, routes) = orders(&[0, 255], &[Some(0), Some(9), None]);
    let rank = |organisation, route: usize| orders.rank("llm", organisation, &routes[route]);
    let ranks = [
        rank(Some(0), 0),
        rank(Some(0), 1),
        rank(Some(9), 0),
        rank(Some(9), 1),
        rank(None, 1),
    ];
    assert!(ranks.is_sorted() && ranks[0] == Some(Rank(0)), "{ranks:?}");
    assert_eq!(rank(None, 0), rank(Some(0), 0), "the route's counts");
}

/// Guards against ranks in a deployment that declares one priority for its routes: it is served as before.
#[test]
fn routes_of_one_priority_have_no_ranks() {
    let (orders, routes) = orders(&[1, 1], &[Some(0), Some(1)]);
    assert_eq!(orders.rank("llm", Some(0), &routes[0]), None);
}
