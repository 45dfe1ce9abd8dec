//! Entries, engines and callers in virtual time, to judge decisions by what callers receive.
//!
//! Not a model of the network or of processes: messages take a fixed time, and only what a
//! decision depends on is there.

pub mod brain;
pub mod engine;
pub mod report;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::time::Duration;

use filbertstack_core::Millis;
use filbertstack_core::names::OrgName;
use filbertstack_policy::cost::Cost;
use filbertstack_policy::prefix::CacheEvent;
use filbertstack_policy::retry::NotRun;
use filbertstack_policy::retry::Outcome;
use filbertstack_policy::target::LoadReport;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use brain::Act;
use brain::Brain;
use brain::Filbert;
use brain::Plain;
use brain::cost;
use engine::Engine;
use engine::Micros;
use engine::Sent;
use engine::Sequence;
use engine::Token;
use report::End;
use report::Report;

const SECOND: Micros = 1_000_000;
const HOP: Micros = 2_000;
const TICK: Micros = 20_000;
const REPORT_EVERY: Micros = 500_000;
const REPORT_LATE: Micros = 300_000;
const LINK_LOST_AFTER: Micros = 200_000;
const GONE_AFTER: Micros = 3 * SECOND;

/// A call of a caller, as it is generated.
#[derive(Clone, Debug)]
pub struct Call {
    pub org: OrgName,
    pub stream: usize,
    pub at: Micros,
    pub entry: usize,
    pub patience: Millis,
    pub prompt: u32,
    pub output: u32,
    pub expected: Cost,
    pub prefix: Option<(u64, u32)>,
    pub idempotent: bool,
    pub returns: u32,
}

/// Calls of one kind at a steady rate.
#[derive(Clone, Debug)]
pub struct Stream {
    pub org: &'static str,
    pub rate: f64,
    pub from: u64,
    pub to: u64,
    pub prompt: u32,
    pub output: (u32, u32),
    pub prefix: Option<(u64, u32)>,
    pub patience: Millis,
    pub returns: u32,
    pub idempotent: bool,
}

/// What happens to the entries and engines, at a second.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    Slow { engine: usize, factor: u64 },
    Lose { engine: usize },
    Restart { entry: usize },
}

#[derive(Clone, Debug)]
pub struct Scenario {
    pub entries: usize,
    pub engines: usize,
    pub seconds: u64,
    pub warm: u64,
    pub streams: Vec<Stream>,
    pub faults: Vec<(u64, Fault)>,
    /// Whether engines tell their slots and their load.
    pub tells: bool,
    pub seed: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    Filbert,
    Plain,
}

#[derive(Debug)]
enum Happening {
    Arrive(usize),
    Deadline(usize),
    Deliver { engine: usize, sequence: Sequence },
    Withdraw { engine: usize, sent: Sent },
    Step(usize),
    First(Sent),
    Done(Sent, Outcome),
    Tick(usize),
    Measure(usize),
    Load(usize, LoadReport),
    Cache(usize, CacheEvent),
    Gone(usize),
    Fault(Fault),
}

struct At(Micros, u64, Happening);

impl PartialEq for At {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for At {}

impl PartialOrd for At {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for At {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

pub struct Sim {
    scenario: Scenario,
    policy: Policy,
    now: Micros,
    order: u64,
    queue: BinaryHeap<Reverse<At>>,
    brains: Vec<Box<dyn Brain>>,
    serving: Vec<usize>,
    engines: Vec<Engine>,
    events: Vec<u64>,
    calls: Vec<Call>,
    open: Vec<Option<Open>>,
    runs: Vec<u32>,
    unfinished: usize,
    places: HashMap<(usize, u64), (usize, Sent)>,
    rng: ChaCha8Rng,
    report: Report,
}

#[derive(Clone, Copy)]
struct Open {
    brain: usize,
    sent: Option<Micros>,
}

/// Runs the scenario under a policy.
pub fn run(scenario: &Scenario, policy: Policy) -> Report {
    let mut sim = Sim::new(scenario.clone(), policy);
    sim.start();
    while let Some(Reverse(At(now, _, happening))) = sim.queue.pop() {
        if now > (scenario.seconds + 60) * SECOND {
            break;
        }
        sim.now = now;
        sim.happen(happening);
        if sim.calls_over() {
            break;
        }
    }
    sim.report
}

impl Sim {
    fn new(scenario: Scenario, policy: Policy) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed);
        let calls = generate(&scenario, &mut rng);
        Self {
            report: Report::new(&scenario),
            policy,
            now: 0,
            order: 0,
            queue: BinaryHeap::new(),
            brains: Vec::new(),
            serving: Vec::new(),
            engines: (0..scenario.engines).map(|_| Engine::new()).collect(),
            events: vec![0; scenario.engines],
            open: vec![None; calls.len()],
            runs: vec![0; calls.len()],
            unfinished: calls.len(),
            calls,
            places: HashMap::new(),
            rng,
            scenario,
        }
    }

    fn start(&mut self) {
        for entry in 0..self.scenario.entries {
            self.serving.push(0);
            self.restart(entry);
        }
        for call in 0..self.calls.len() {
            self.push(self.calls[call].at, Happening::Arrive(call));
        }
        for engine in 0..self.engines.len() {
            let offset = u64::try_from(engine).unwrap() * 31_000 % REPORT_EVERY;
            self.push(offset, Happening::Measure(engine));
        }
        for (second, fault) in self.scenario.faults.clone() {
            self.push(second * SECOND, Happening::Fault(fault));
        }
    }

    /// The old process serves what it has; a new one without any state takes the new calls.
    fn restart(&mut self, entry: usize) {
        let index = self.brains.len();
        let seed = self.scenario.seed + u64::try_from(index).unwrap();
        let brain: Box<dyn Brain> = match self.policy {
            Policy::Plain => Box::new(Plain::new(self.engines.len(), entry)),
            Policy::Filbert => Box::new(Filbert::new(
                Millis(self.now / 1000),
                &format!("entry-{entry}"),
                self.engines.len(),
                self.scenario.entries,
                self.scenario.tells,
                seed,
            )),
        };
        self.brains.push(brain);
        self.serving[entry] = index;
        let tick = TICK * u64::try_from(index % 7).unwrap() / 7;
        self.push(self.now + tick, Happening::Tick(index));
    }

    fn push(&mut self, at: Micros, happening: Happening) {
        self.order += 1;
        self.queue.push(Reverse(At(at, self.order, happening)));
    }

    fn calls_over(&self) -> bool {
        self.now > self.scenario.seconds * SECOND && self.unfinished == 0
    }

    fn happen(&mut self, happening: Happening) {
        let now = Millis(self.now / 1000);
        match happening {
            Happening::Arrive(call) => self.arrive(call),
            Happening::Deadline(call) => self.deadline(call),
            Happening::Deliver { engine, sequence } => self.deliver(engine, sequence),
            Happening::Withdraw { engine, sent } => self.engines[engine].withdraw(sent),
            Happening::Step(engine) => self.step(engine),
            Happening::First(sent) => {
                let acts = self.brains[sent.brain].first(now, sent.handle);
                self.act(sent.brain, acts);
            }
            Happening::Done(sent, outcome) => {
                let acts = self.brains[sent.brain].finish(now, sent.handle, outcome);
                self.act(sent.brain, acts);
            }
            Happening::Tick(brain) => {
                let acts = self.brains[brain].poll(now);
                self.act(brain, acts);
                self.push(self.now + TICK, Happening::Tick(brain));
            }
            Happening::Measure(engine) => self.measure(engine),
            Happening::Load(engine, report) => {
                self.brains
                    .iter_mut()
                    .for_each(|b| b.load(now, engine, report));
            }
            Happening::Cache(engine, event) => {
                self.brains
                    .iter_mut()
                    .for_each(|b| b.cache(now, engine, &event));
            }
            Happening::Gone(engine) => self.brains.iter_mut().for_each(|b| b.gone(engine)),
            Happening::Fault(fault) => self.fault(fault),
        }
    }

    fn arrive(&mut self, call: usize) {
        let what = self.calls[call].clone();
        let brain = self.serving[what.entry];
        self.open[call] = Some(Open { brain, sent: None });
        self.report.offered(&what);
        let deadline = self.now + what.patience.0 * 1000;
        self.push(deadline, Happening::Deadline(call));
        let acts = self.brains[brain].offer(Millis(self.now / 1000), call, &what);
        self.act(brain, acts);
    }

    fn deadline(&mut self, call: usize) {
        let Some(open) = self.open[call] else {
            return;
        };
        let acts = self.brains[open.brain].leave(Millis(self.now / 1000), call);
        self.act(open.brain, acts);
        self.end(call, End::Missed);
        self.come_back(call, Millis::ZERO);
    }

    fn act(&mut self, brain: usize, acts: Vec<Act>) {
        for act in acts {
            match act {
                Act::Send {
                    call,
                    target,
                    handle,
                } => self.send(
                    Sent {
                        brain,
                        handle,
                        call,
                    },
                    target,
                ),
                Act::Withdraw { handle } => self.withdraw(brain, handle),
                Act::Refuse { call, after } => {
                    self.end(call, End::Refused);
                    self.come_back(call, after);
                }
                Act::Fail { call } => self.end(call, End::Failed),
                Act::Whole { call } => self.end(call, End::Whole),
            }
        }
    }

    fn send(&mut self, sent: Sent, target: usize) {
        let call = &self.calls[sent.call];
        let sequence = Sequence {
            sent,
            prompt: call.prompt,
            prefix: call.prefix,
            output: call.output,
        };
        self.report.sent(call);
        if let Some(open) = &mut self.open[sent.call] {
            open.sent.get_or_insert(self.now);
        }
        let engine = target;
        self.places
            .insert((sent.brain, sent.handle), (engine, sent));
        self.push(self.now + HOP, Happening::Deliver { engine, sequence });
    }

    /// An engine that does not have it passes the withdrawal over, so all may be told.
    fn withdraw(&mut self, brain: usize, handle: u64) {
        for engine in 0..self.engines.len() {
            let call = 0;
            let sent = Sent {
                brain,
                handle,
                call,
            };
            self.push(self.now + HOP, Happening::Withdraw { engine, sent });
        }
    }

    fn deliver(&mut self, engine: usize, sequence: Sequence) {
        if !self.engines[engine].alive {
            let outcome = Outcome::NotRun(NotRun::Unreachable);
            self.push(self.now + HOP, Happening::Done(sequence.sent, outcome));
            return;
        }
        self.runs[sequence.sent.call] += 1;
        if self.runs[sequence.sent.call] > 1 && !self.calls[sequence.sent.call].idempotent {
            self.report.doubled += 1;
        }
        self.engines[engine].push(sequence);
        if !self.engines[engine].stepping {
            self.step(engine);
        }
    }

    fn step(&mut self, engine: usize) {
        let Some((span, tokens)) = self.engines[engine].step() else {
            self.engines[engine].stepping = false;
            return;
        };
        self.engines[engine].stepping = true;
        let end = self.now + span;
        for (sent, token) in tokens {
            let happening = match token {
                Token::First => Happening::First(sent),
                Token::Last => {
                    let call = &self.calls[sent.call];
                    let cost = cost(call.prompt, call.output);
                    Happening::Done(sent, Outcome::Ran { cost })
                }
            };
            self.push(end + HOP, happening);
        }
        self.push(end, Happening::Step(engine));
    }

    fn measure(&mut self, engine: usize) {
        self.push(self.now + REPORT_EVERY, Happening::Measure(engine));
        if !self.engines[engine].alive || !self.scenario.tells {
            return;
        }
        let late = self.now + REPORT_LATE;
        let report = self.engines[engine].report();
        self.push(late, Happening::Load(engine, report));
        for change in self.engines[engine].take_changes() {
            self.events[engine] += 1;
            let seq = self.events[engine];
            let lost = self.rng.random_bool(0.1);
            if !lost {
                self.push(late, Happening::Cache(engine, CacheEvent { seq, change }));
            }
        }
    }

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Slow { engine, factor } => self.engines[engine].slowdown = factor,
            Fault::Restart { entry } => self.restart(entry),
            Fault::Lose { engine } => {
                for sent in self.engines[engine].lose() {
                    let done = Happening::Done(sent, Outcome::Unknown);
                    self.push(self.now + LINK_LOST_AFTER, done);
                }
                self.push(self.now + GONE_AFTER, Happening::Gone(engine));
            }
        }
    }

    fn end(&mut self, call: usize, end: End) {
        let Some(open) = self.open[call].take() else {
            panic!("call {call} ended twice");
        };
        self.unfinished -= 1;
        let what = &self.calls[call];
        let sent = open.sent.unwrap_or(self.now);
        self.report
            .ended(what, end, sent - what.at, self.now - what.at);
    }

    /// A caller that was refused returns when told; one that waited in vain asks again at once.
    fn come_back(&mut self, call: usize, after: Millis) {
        let what = self.calls[call].clone();
        if what.returns == 0 {
            return;
        }
        let again = Call {
            at: self.now + after.0 * 1000,
            returns: what.returns - 1,
            entry: self.rng.random_range(0..self.scenario.entries),
            ..what
        };
        self.push(again.at, Happening::Arrive(self.calls.len()));
        self.calls.push(again);
        self.open.push(None);
        self.runs.push(0);
        self.unfinished += 1;
    }
}

fn generate(scenario: &Scenario, rng: &mut ChaCha8Rng) -> Vec<Call> {
    let mut calls = Vec::new();
    for (index, stream) in scenario.streams.iter().enumerate() {
        let mut at = real(stream.from);
        loop {
            at -= (1.0 - rng.random::<f64>()).ln() / stream.rate;
            if at >= real(stream.to) {
                break;
            }
            calls.push(stream.call(index, at, scenario.entries, rng));
        }
    }
    calls.sort_by_key(|call| call.at);
    calls
}

impl Stream {
    fn call(&self, stream: usize, at: f64, entries: usize, rng: &mut ChaCha8Rng) -> Call {
        let output = rng.random_range(self.output.0..=self.output.1);
        let guess = output * rng.random_range(70..130) / 100;
        Call {
            org: self.org.parse().unwrap(),
            stream,
            at: micros(at),
            entry: rng.random_range(0..entries),
            patience: self.patience,
            prompt: self.prompt,
            output,
            expected: cost(self.prompt, guess),
            prefix: self.prefix,
            idempotent: self.idempotent,
            returns: self.returns,
        }
    }
}

/// A count as a number to divide by.
pub fn real(n: u64) -> f64 {
    f64::from(u32::try_from(n).unwrap())
}

fn micros(seconds: f64) -> Micros {
    Micros::try_from(Duration::from_secs_f64(seconds).as_micros()).unwrap()
}
