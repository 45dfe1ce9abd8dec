//! Simulates entries, engines and callers in virtual time, to judge decisions by what callers receive.
//!
//! The network and the processes are not modelled: messages take a fixed time, and only what affects a
//! decision is simulated.

pub mod engine;
pub mod process;
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

use engine::Attempt;
use engine::Engine;
use engine::Micros;
use engine::Sequence;
use engine::Token;
use process::Action;
use process::BaselineProcess;
use process::EntryProcess;
use process::FlowProcess;
use process::cost;
use report::End;
use report::Report;

const SECOND: Micros = 1_000_000;
const HOP_DELAY: Micros = 2_000;
const POLL_INTERVAL: Micros = 20_000;
const REPORT_INTERVAL: Micros = 500_000;
const REPORT_DELAY: Micros = 300_000;
const LINK_LOSS_DELAY: Micros = 200_000;
const REMOVAL_DELAY: Micros = 3 * SECOND;

/// A generated call.
#[derive(Clone, Debug)]
pub struct Call {
    pub org: OrgName,
    pub stream: usize,
    pub at: Micros,
    pub entry: usize,
    pub timeout: Millis,
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
    pub timeout: Millis,
    pub returns: u32,
    pub idempotent: bool,
}

/// A fault of an entry or an engine. A scenario gives the second at which it occurs.
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
    pub warm_up: u64,
    pub streams: Vec<Stream>,
    pub faults: Vec<(u64, Fault)>,
    /// Whether engines report their slots and their load.
    pub reports_load: bool,
    pub seed: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    Filbert,
    Baseline,
}

#[derive(Debug)]
enum SimEvent {
    Arrive(usize),
    Deadline(usize),
    Deliver { engine: usize, sequence: Sequence },
    Withdraw { engine: usize, attempt: Attempt },
    Step(usize),
    FirstToken(Attempt),
    Finished(Attempt, Outcome),
    Poll(usize),
    Measure(usize),
    Load(usize, LoadReport),
    Cache(usize, CacheEvent),
    Removed(usize),
    Fault(Fault),
}

struct Scheduled(Micros, u64, SimEvent);

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

pub struct Simulation {
    scenario: Scenario,
    policy: Policy,
    now: Micros,
    last_order: u64,
    queue: BinaryHeap<Reverse<Scheduled>>,
    processes: Vec<Box<dyn EntryProcess>>,
    serving: Vec<usize>,
    engines: Vec<Engine>,
    cache_events: Vec<u64>,
    calls: Vec<Call>,
    open: Vec<Option<Open>>,
    runs: Vec<u32>,
    unfinished: usize,
    attempt_engines: HashMap<(usize, u64), (usize, Attempt)>,
    rng: ChaCha8Rng,
    report: Report,
}

#[derive(Clone, Copy)]
struct Open {
    process: usize,
    first_sent: Option<Micros>,
}

/// Simulates a scenario under a policy and returns what callers received.
pub fn run(scenario: &Scenario, policy: Policy) -> Report {
    let mut sim = Simulation::new(scenario.clone(), policy);
    sim.start();
    while let Some(Reverse(Scheduled(now, _, event))) = sim.queue.pop() {
        if now > (scenario.seconds + 60) * SECOND {
            break;
        }
        sim.now = now;
        sim.handle(event);
        if sim.all_ended() {
            break;
        }
    }
    sim.report
}

impl Simulation {
    fn new(scenario: Scenario, policy: Policy) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed);
        let calls = generate_calls(&scenario, &mut rng);
        Self {
            report: Report::new(&scenario),
            policy,
            now: 0,
            last_order: 0,
            queue: BinaryHeap::new(),
            processes: Vec::new(),
            serving: Vec::new(),
            engines: (0..scenario.engines).map(|_| Engine::new()).collect(),
            cache_events: vec![0; scenario.engines],
            open: vec![None; calls.len()],
            runs: vec![0; calls.len()],
            unfinished: calls.len(),
            calls,
            attempt_engines: HashMap::new(),
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
            self.push(self.calls[call].at, SimEvent::Arrive(call));
        }
        for engine in 0..self.engines.len() {
            let offset = u64::try_from(engine).unwrap() * 31_000 % REPORT_INTERVAL;
            self.push(offset, SimEvent::Measure(engine));
        }
        for (second, fault) in self.scenario.faults.clone() {
            self.push(second * SECOND, SimEvent::Fault(fault));
        }
    }

    /// Replaces an entry's process. The old process finishes its calls; a new one without any state gets the
    /// new calls.
    fn restart(&mut self, entry: usize) {
        let index = self.processes.len();
        let seed = self.scenario.seed + u64::try_from(index).unwrap();
        let process: Box<dyn EntryProcess> = match self.policy {
            Policy::Baseline => Box::new(BaselineProcess::new(self.engines.len(), entry)),
            Policy::Filbert => Box::new(FlowProcess::new(
                Millis(self.now / 1000),
                &format!("entry-{entry}"),
                self.engines.len(),
                self.scenario.entries,
                self.scenario.reports_load,
                seed,
            )),
        };
        self.processes.push(process);
        self.serving[entry] = index;
        let tick = POLL_INTERVAL * u64::try_from(index % 7).unwrap() / 7;
        self.push(self.now + tick, SimEvent::Poll(index));
    }

    fn push(&mut self, at: Micros, event: SimEvent) {
        self.last_order += 1;
        self.queue
            .push(Reverse(Scheduled(at, self.last_order, event)));
    }

    fn all_ended(&self) -> bool {
        self.now > self.scenario.seconds * SECOND && self.unfinished == 0
    }

    fn handle(&mut self, event: SimEvent) {
        let now = Millis(self.now / 1000);
        match event {
            SimEvent::Arrive(call) => self.arrive(call),
            SimEvent::Deadline(call) => self.deadline(call),
            SimEvent::Deliver { engine, sequence } => self.deliver(engine, sequence),
            SimEvent::Withdraw { engine, attempt } => self.engines[engine].withdraw(attempt),
            SimEvent::Step(engine) => self.step(engine),
            SimEvent::FirstToken(attempt) => {
                let actions = self.processes[attempt.process].first_token(now, attempt.handle);
                self.apply(attempt.process, actions);
            }
            SimEvent::Finished(attempt, outcome) => {
                let actions = self.processes[attempt.process].finish(now, attempt.handle, outcome);
                self.apply(attempt.process, actions);
            }
            SimEvent::Poll(process) => {
                let actions = self.processes[process].poll(now);
                self.apply(process, actions);
                self.push(self.now + POLL_INTERVAL, SimEvent::Poll(process));
            }
            SimEvent::Measure(engine) => self.measure(engine),
            SimEvent::Load(engine, report) => {
                self.processes
                    .iter_mut()
                    .for_each(|p| p.observe_load(now, engine, report));
            }
            SimEvent::Cache(engine, event) => {
                self.processes
                    .iter_mut()
                    .for_each(|p| p.observe_cache(now, engine, &event));
            }
            SimEvent::Removed(engine) => self
                .processes
                .iter_mut()
                .for_each(|p| p.remove_target(engine)),
            SimEvent::Fault(fault) => self.fault(fault),
        }
    }

    fn arrive(&mut self, call: usize) {
        let details = self.calls[call].clone();
        let process = self.serving[details.entry];
        self.open[call] = Some(Open {
            process,
            first_sent: None,
        });
        self.report.record_offered(&details);
        let deadline = self.now + details.timeout.0 * 1000;
        self.push(deadline, SimEvent::Deadline(call));
        let actions = self.processes[process].offer(Millis(self.now / 1000), call, &details);
        self.apply(process, actions);
    }

    fn deadline(&mut self, call: usize) {
        let Some(open) = self.open[call] else {
            return;
        };
        let actions = self.processes[open.process].cancel(Millis(self.now / 1000), call);
        self.apply(open.process, actions);
        self.end(call, End::Missed);
        self.return_later(call, Millis::ZERO);
    }

    fn apply(&mut self, process: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send {
                    call,
                    target,
                    handle,
                } => self.send(
                    Attempt {
                        process,
                        handle,
                        call,
                    },
                    target,
                ),
                Action::Withdraw { handle } => self.withdraw(process, handle),
                Action::Refuse { call, after } => {
                    self.end(call, End::Refused);
                    self.return_later(call, after);
                }
                Action::Fail { call } => self.end(call, End::Failed),
                Action::Complete { call } => self.end(call, End::Complete),
            }
        }
    }

    fn send(&mut self, attempt: Attempt, target: usize) {
        let call = &self.calls[attempt.call];
        let sequence = Sequence {
            attempt,
            prompt: call.prompt,
            prefix: call.prefix,
            output: call.output,
        };
        self.report.record_sent(call);
        if let Some(open) = &mut self.open[attempt.call] {
            open.first_sent.get_or_insert(self.now);
        }
        let engine = target;
        self.attempt_engines
            .insert((attempt.process, attempt.handle), (engine, attempt));
        self.push(self.now + HOP_DELAY, SimEvent::Deliver { engine, sequence });
    }

    /// Withdraws an attempt from all engines. An engine that does not hold it ignores the withdrawal.
    fn withdraw(&mut self, process: usize, handle: u64) {
        for engine in 0..self.engines.len() {
            let call = 0;
            let attempt = Attempt {
                process,
                handle,
                call,
            };
            self.push(self.now + HOP_DELAY, SimEvent::Withdraw { engine, attempt });
        }
    }

    fn deliver(&mut self, engine: usize, sequence: Sequence) {
        if !self.engines[engine].alive {
            let outcome = Outcome::NotRun(NotRun::Unreachable);
            self.push(
                self.now + HOP_DELAY,
                SimEvent::Finished(sequence.attempt, outcome),
            );
            return;
        }
        self.runs[sequence.attempt.call] += 1;
        if self.runs[sequence.attempt.call] > 1 && !self.calls[sequence.attempt.call].idempotent {
            self.report.run_twice += 1;
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
        for (attempt, token) in tokens {
            let event = match token {
                Token::First => SimEvent::FirstToken(attempt),
                Token::Last => {
                    let call = &self.calls[attempt.call];
                    let cost = cost(call.prompt, call.output);
                    SimEvent::Finished(attempt, Outcome::Ran { cost })
                }
            };
            self.push(end + HOP_DELAY, event);
        }
        self.push(end, SimEvent::Step(engine));
    }

    fn measure(&mut self, engine: usize) {
        self.push(self.now + REPORT_INTERVAL, SimEvent::Measure(engine));
        if !self.engines[engine].alive || !self.scenario.reports_load {
            return;
        }
        let arrival = self.now + REPORT_DELAY;
        let report = self.engines[engine].report();
        self.push(arrival, SimEvent::Load(engine, report));
        for change in self.engines[engine].take_changes() {
            self.cache_events[engine] += 1;
            let seq = self.cache_events[engine];
            let dropped = self.rng.random_bool(0.1);
            if !dropped {
                self.push(arrival, SimEvent::Cache(engine, CacheEvent { seq, change }));
            }
        }
    }

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Slow { engine, factor } => self.engines[engine].slowdown = factor,
            Fault::Restart { entry } => self.restart(entry),
            Fault::Lose { engine } => {
                for attempt in self.engines[engine].fail() {
                    let done = SimEvent::Finished(attempt, Outcome::Unknown);
                    self.push(self.now + LINK_LOSS_DELAY, done);
                }
                self.push(self.now + REMOVAL_DELAY, SimEvent::Removed(engine));
            }
        }
    }

    fn end(&mut self, call: usize, end: End) {
        let Some(open) = self.open[call].take() else {
            panic!("call {call} ended twice");
        };
        self.unfinished -= 1;
        let details = &self.calls[call];
        let first_sent = open.first_sent.unwrap_or(self.now);
        self.report
            .record_ended(details, end, first_sent - details.at, self.now - details.at);
    }

    /// Schedules the next call of a caller: after a refusal at the time given, after a missed deadline at
    /// once.
    fn return_later(&mut self, call: usize, after: Millis) {
        let details = self.calls[call].clone();
        if details.returns == 0 {
            return;
        }
        let retry = Call {
            at: self.now + after.0 * 1000,
            returns: details.returns - 1,
            entry: self.rng.random_range(0..self.scenario.entries),
            ..details
        };
        self.push(retry.at, SimEvent::Arrive(self.calls.len()));
        self.calls.push(retry);
        self.open.push(None);
        self.runs.push(0);
        self.unfinished += 1;
    }
}

fn generate_calls(scenario: &Scenario, rng: &mut ChaCha8Rng) -> Vec<Call> {
    let mut calls = Vec::new();
    for (index, stream) in scenario.streams.iter().enumerate() {
        let mut at = to_f64(stream.from);
        loop {
            at -= (1.0 - rng.random::<f64>()).ln() / stream.rate;
            if at >= to_f64(stream.to) {
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
        let estimate = output * rng.random_range(70..130) / 100;
        Call {
            org: self.org.parse().unwrap(),
            stream,
            at: micros(at),
            entry: rng.random_range(0..entries),
            timeout: self.timeout,
            prompt: self.prompt,
            output,
            expected: cost(self.prompt, estimate),
            prefix: self.prefix,
            idempotent: self.idempotent,
            returns: self.returns,
        }
    }
}

/// Converts a count to a floating-point number.
pub fn to_f64(n: u64) -> f64 {
    f64::from(u32::try_from(n).unwrap())
}

fn micros(seconds: f64) -> Micros {
    Micros::try_from(Duration::from_secs_f64(seconds).as_micros()).unwrap()
}
