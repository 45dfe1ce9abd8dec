//! A replay in virtual time of entries, engines and a request that crashes them.

use std::collections::VecDeque;

use filbertstack_core::Millis;
use filbertstack_core::RequestDigest;
use filbertstack_policy::crashes::CRASH_LIMIT;
use filbertstack_policy::crashes::CrashReport;
use filbertstack_policy::crashes::Crashes;
use filbertstack_policy::crashes::Verdict;
use filbertstack_policy::crashes::prober;
use filbertstack_policy::dispatch::TargetId;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

const ENTRIES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
const ENGINES: usize = 16;
const SLOTS: usize = 16;

/// The time step, and the times that requests take.
const STEP: Millis = Millis(10);
const ANSWER_TIME: Millis = Millis(600);
const CRASH_TIME: Millis = Millis(80);
const RESTART_TIME: Millis = Millis(4_000);
const DURATION: Millis = Millis::secs(60);

/// How long reports take from an entry to a voter, and from there to all entries.
const REPORT_TIME: Millis = Millis(100);

/// A machine must keep to the record from this time after the third crash on.
const LEARN_TIME: Millis = Millis::secs(3);

/// The requests a second.
const CRASHING_RATE: f64 = 5.0;
const OTHER_RATE: f64 = 150.0;

/// How often a request is sent to engines on behalf of one caller.
const ATTEMPTS: u32 = 4;

/// A replay.
pub struct Replay {
    /// The seed.
    pub seed: u64,
    /// Whether entries record the requests that crash engines.
    pub records: bool,
}

/// What callers received.
#[derive(Debug, Default)]
pub struct Received {
    /// The requests that crash no engine.
    pub requests: usize,
    /// Those of them that were answered.
    pub served: usize,
    /// How often the crashing request reached engines after the time to learn of its third crash.
    pub late_retries: usize,
    /// The engines that crashed.
    pub crashed: usize,
}

#[derive(Clone)]
struct Running {
    entry: usize,
    request: RequestDigest,
    crashes: bool,
    attempts: u32,
    ends_at: Millis,
}

struct Engine {
    id: TargetId,
    up_at: Millis,
    running: Vec<Running>,
}

struct World {
    rng: ChaCha8Rng,
    now: Millis,
    records: bool,
    engines: Vec<Engine>,
    entries: Vec<Crashes>,
    voter: Crashes,
    to_voter: VecDeque<(Millis, Vec<CrashReport>)>,
    to_entries: VecDeque<(Millis, Vec<CrashReport>)>,
    third_crash: Option<Millis>,
    received: Received,
}

impl Replay {
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            records: true,
        }
    }

    pub fn run(&self) -> Received {
        let engines = (0..ENGINES).map(|n| Engine {
            id: format!("i-{n}").into(),
            up_at: Millis::ZERO,
            running: Vec::new(),
        });
        let mut world = World {
            rng: ChaCha8Rng::seed_from_u64(self.seed),
            now: Millis::ZERO,
            records: self.records,
            engines: engines.collect(),
            entries: vec![Crashes::default(); ENTRIES.len()],
            voter: Crashes::default(),
            to_voter: VecDeque::new(),
            to_entries: VecDeque::new(),
            third_crash: None,
            received: Received::default(),
        };
        while world.now < DURATION {
            world.step();
        }
        world.received
    }
}

impl World {
    fn step(&mut self) {
        self.now = self.now + STEP;
        for crashes in [true, false] {
            let rate = if crashes { CRASHING_RATE } else { OTHER_RATE };
            let count = self.rng.random_bool((rate / 100.0).min(1.0));
            let extra = rate > 100.0 && self.rng.random_bool(rate / 100.0 - 1.0);
            for _ in 0..u32::from(count) + u32::from(extra) {
                self.arrive(crashes);
            }
        }
        self.advance_engines();
        self.share();
    }

    fn arrive(&mut self, crashes: bool) {
        let name = if crashes {
            "crashing".to_owned()
        } else {
            self.received.requests += 1;
            format!("other {}", self.received.requests)
        };
        let running = Running {
            entry: self.rng.random_range(0..ENTRIES.len()),
            request: RequestDigest::of(&name, None, b""),
            crashes,
            attempts: 0,
            ends_at: Millis::ZERO,
        };
        self.send(running);
    }

    fn send(&mut self, mut running: Running) {
        if running.attempts >= ATTEMPTS {
            return;
        }
        running.attempts += 1;
        let now = self.now;
        let free: Vec<usize> = (0..ENGINES)
            .filter(|n| self.engines[*n].up_at <= now && self.engines[*n].running.len() < SLOTS)
            .collect();
        if free.is_empty() {
            return;
        }
        let engine = free[self.rng.random_range(0..free.len())];
        if self.records && !self.may_send(&running, engine) {
            return;
        }
        let learned = self.third_crash.is_some_and(|at| now > at + LEARN_TIME);
        if running.crashes && learned {
            self.received.late_retries += 1;
        }
        let time = if running.crashes {
            CRASH_TIME
        } else {
            ANSWER_TIME
        };
        running.ends_at = now + time;
        self.engines[engine].running.push(running);
    }

    fn may_send(&mut self, running: &Running, engine: usize) -> bool {
        let is_prober =
            prober(&running.request, ENTRIES.into_iter()) == Some(ENTRIES[running.entry]);
        let entry = &mut self.entries[running.entry];
        match entry.verdict(self.now, &running.request, is_prober) {
            Verdict::Allowed => true,
            Verdict::Probe => {
                entry.record_probe(self.now, running.request, &self.engines[engine].id)
            }
            Verdict::Refused { .. } => false,
        }
    }

    fn advance_engines(&mut self) {
        for n in 0..ENGINES {
            let now = self.now;
            let running = &mut self.engines[n].running;
            let (ended, left): (Vec<_>, Vec<_>) = running
                .drain(..)
                .partition(|running| running.ends_at <= now);
            *running = left;
            if ended.iter().any(|running| running.crashes) {
                self.crash(n, ended);
                continue;
            }
            for running in ended {
                self.received.served += 1;
                self.entries[running.entry].record_answer(now, &running.request);
            }
        }
    }

    fn crash(&mut self, n: usize, ended: Vec<Running>) {
        self.received.crashed += 1;
        if self.received.crashed == CRASH_LIMIT {
            self.third_crash = Some(self.now);
        }
        let engine = &mut self.engines[n];
        let id = engine.id.clone();
        engine.id = format!("{id}'").into();
        engine.up_at = self.now + RESTART_TIME;
        let lost: Vec<Running> = engine.running.drain(..).chain(ended).collect();
        for running in &lost {
            self.entries[running.entry].record_loss(self.now, running.request, &id);
        }
        for running in lost {
            self.send(running);
        }
    }

    /// Passes reports on, each a few times.
    fn share(&mut self) {
        let now = self.now;
        let recent = now - Millis(200);
        for entry in &mut self.entries {
            entry.update(now);
            let reports = entry.reports_since(recent);
            self.to_voter.push_back((now + REPORT_TIME, reports));
        }
        for report in take_due(&mut self.to_voter, now) {
            self.voter.merge(now, &report);
        }
        self.to_entries
            .push_back((now + REPORT_TIME, self.voter.refused_since(recent)));
        for report in take_due(&mut self.to_entries, now) {
            for entry in &mut self.entries {
                entry.merge(now, &report);
            }
        }
    }
}

/// Takes the reports that have arrived out of a queue.
fn take_due(queue: &mut VecDeque<(Millis, Vec<CrashReport>)>, now: Millis) -> Vec<CrashReport> {
    let arrived = queue.iter().take_while(|(at, _)| *at <= now).count();
    queue
        .drain(..arrived)
        .flat_map(|(_, reports)| reports)
        .collect()
}
