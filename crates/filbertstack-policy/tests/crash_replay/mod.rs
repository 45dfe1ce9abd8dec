//! A replay in virtual time of entries and engines, and of what crashes these: one request that is repeated,
//! requests that share a part of their prompts, or the loss of a rack.

use std::collections::VecDeque;

use filbertstack_core::ContentDigest;
use filbertstack_core::Millis;
use filbertstack_policy::crashes::CRASH_LIMIT;
use filbertstack_policy::crashes::CrashReport;
use filbertstack_policy::crashes::Crashes;
use filbertstack_policy::crashes::Suspect;
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

/// The number of kinds of requests, each of which begins with a part of its own.
const KINDS: u32 = 3;

/// The number of subjects of a kind. A subject's part follows the first one.
const SUBJECTS: u32 = 30;

/// What crashes engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// A request that its callers repeat.
    Request,
    /// A part of prompts. No two requests with it are alike.
    Part,
    /// Their racks: so many engines end, each this long after the one before.
    Racks(usize, Millis),
}

/// A replay.
pub struct Replay {
    /// The seed.
    pub seed: u64,
    /// Whether entries record what crashes engines.
    pub records: bool,
    /// What crashes engines.
    pub cause: Cause,
}

/// The time at which racks are lost.
const RACKS_LOST_AT: Millis = Millis::secs(20);

/// Callers are served as before from this time after the last crash on: engines start again, and entries learn
/// what they may send.
const RECOVERY_TIME: Millis = Millis::secs(6);

/// What callers received.
#[derive(Debug, Default)]
pub struct Received {
    /// The requests that crash no engine.
    pub requests: usize,
    /// Those of them that were answered.
    pub served: usize,
    /// How often requests that crash engines reached them after the time to learn of their crashes.
    pub late_retries: usize,
    /// The engines that crashed.
    pub crashed: usize,
    /// How often a request was refused for what it holds.
    pub refused: usize,
    /// The requests that crash no engine and came after the recovery from the known crashes.
    pub late_requests: usize,
    /// Those of them that an engine began at once.
    pub late_begun: usize,
    /// Those of them that were refused for what they hold.
    pub late_refused: usize,
}

#[derive(Clone)]
struct Running {
    entry: usize,
    suspects: Vec<Suspect>,
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
    cause: Cause,
    engines: Vec<Engine>,
    entries: Vec<Crashes>,
    voter: Crashes,
    to_voter: VecDeque<(Millis, Vec<CrashReport>)>,
    to_entries: VecDeque<(Millis, Vec<CrashReport>)>,
    /// The time of the crash from which entries must know the cause.
    known_crash: Option<Millis>,
    received: Received,
}

impl Cause {
    /// Returns the number of the crash from which entries must know the cause.
    fn known_crash(self) -> usize {
        match self {
            Self::Request => CRASH_LIMIT,
            Self::Part => 5,
            Self::Racks(count, _) => count,
        }
    }
}

impl Replay {
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            records: true,
            cause: Cause::Request,
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
            cause: self.cause,
            engines: engines.collect(),
            entries: vec![Crashes::default(); ENTRIES.len()],
            voter: Crashes::default(),
            to_voter: VecDeque::new(),
            to_entries: VecDeque::new(),
            known_crash: None,
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
        self.lose_racks();
        let by_requests = !matches!(self.cause, Cause::Racks(..));
        for crashes in [true, false] {
            if crashes && !by_requests {
                continue;
            }
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
        let running = Running {
            entry: self.rng.random_range(0..ENTRIES.len()),
            suspects: self.draw_suspects(crashes),
            crashes,
            attempts: 0,
            ends_at: Millis::ZERO,
        };
        let is_late = !crashes && self.has_recovered();
        self.received.late_requests += usize::from(is_late);
        let refused = self.received.refused;
        let begun = self.send(running);
        self.received.late_begun += usize::from(is_late && begun);
        if is_late {
            self.received.late_refused += self.received.refused - refused;
        }
    }

    /// Returns whether callers are to be served as before the crashes.
    fn has_recovered(&self) -> bool {
        let known = self.known_crash;
        known.is_some_and(|at| self.now > at + RECOVERY_TIME)
    }

    /// Draws a request and its parts. Half of the requests of a kind are about one of its first five subjects.
    fn draw_suspects(&mut self, crashes: bool) -> Vec<Suspect> {
        self.received.requests += usize::from(!crashes);
        if self.cause == Cause::Request {
            let other = format!("other {}", self.received.requests);
            return vec![request(if crashes { "crashing" } else { &other })];
        }
        let kind = self.rng.random_range(0..KINDS);
        let few = self.rng.random_bool(0.5);
        let subject = self.rng.random_range(0..if few { 5 } else { SUBJECTS });
        let number: u64 = self.rng.random();
        let mut suspects = vec![
            request(&format!("request {number}")),
            part(&format!("{kind}")),
            part(&format!("{kind} {subject}")),
        ];
        if crashes {
            suspects.push(part("crashing"));
        }
        suspects
    }

    /// Ends the engines of racks, one after the other, and once more after they have started again.
    fn lose_racks(&mut self) {
        let Cause::Racks(count, gap) = self.cause else {
            return;
        };
        for n in 0..count {
            let mut at = RACKS_LOST_AT;
            (0..n).for_each(|_| at = at + gap);
            if at <= self.now && self.now < at + STEP {
                self.crash(n, Vec::new());
            }
        }
    }

    /// Sends a request to an engine, and returns whether one takes it.
    fn send(&mut self, mut running: Running) -> bool {
        if running.attempts >= ATTEMPTS {
            return false;
        }
        running.attempts += 1;
        let now = self.now;
        let free: Vec<usize> = (0..ENGINES)
            .filter(|n| self.engines[*n].up_at <= now && self.engines[*n].running.len() < SLOTS)
            .collect();
        if free.is_empty() {
            return false;
        }
        let engine = free[self.rng.random_range(0..free.len())];
        if self.records && !self.may_send(&running, engine) {
            self.received.refused += 1;
            return false;
        }
        let learned = self.known_crash.is_some_and(|at| now > at + LEARN_TIME);
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
        true
    }

    fn may_send(&mut self, running: &Running, engine: usize) -> bool {
        let name = ENTRIES[running.entry];
        let is_prober = |suspect: &Suspect| prober(suspect, ENTRIES.into_iter()) == Some(name);
        let entry = &mut self.entries[running.entry];
        let suspects = &running.suspects;
        match entry.verdict(self.now, suspects, is_prober) {
            Verdict::Allowed => true,
            Verdict::Probe => entry.record_probe(self.now, suspects, &self.engines[engine].id),
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
                self.entries[running.entry].record_answer(now, &running.suspects);
            }
        }
    }

    fn crash(&mut self, n: usize, ended: Vec<Running>) {
        self.received.crashed += 1;
        if self.received.crashed == self.cause.known_crash() {
            self.known_crash = Some(self.now);
        }
        let engine = &mut self.engines[n];
        let id = engine.id.clone();
        engine.id = format!("{id}'").into();
        engine.up_at = self.now + RESTART_TIME;
        let lost: Vec<Running> = engine.running.drain(..).chain(ended).collect();
        for running in &lost {
            self.entries[running.entry].record_loss(self.now, &running.suspects, &id);
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

fn request(name: &str) -> Suspect {
    Suspect::Request(ContentDigest::of_request(name, None, b""))
}

fn part(id: &str) -> Suspect {
    Suspect::Part(ContentDigest::of_part(id))
}

/// Takes the reports that have arrived out of a queue.
fn take_due(queue: &mut VecDeque<(Millis, Vec<CrashReport>)>, now: Millis) -> Vec<CrashReport> {
    let arrived = queue.iter().take_while(|(at, _)| *at <= now).count();
    queue
        .drain(..arrived)
        .flat_map(|(_, reports)| reports)
        .collect()
}
