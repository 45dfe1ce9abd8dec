//! Overload scenarios, judged by what callers receive, in comparison with a simple baseline policy.

mod sim;

use std::sync::OnceLock;

use filbertstack_core::Millis;

use sim::Fault;
use sim::Policy;
use sim::Scenario;
use sim::Stream;
use sim::report::Report;
use sim::report::header;
use sim::run;

const ENTRIES: usize = 11;
const ENGINES: usize = 14;
const ORGS: [&str; 10] = [
    "alder", "birch", "cedar", "dogwood", "elm", "fir", "gum", "hazel", "iris", "juniper",
];
const SHORT: (u32, u32) = (50, 150);

fn stream(org: &'static str, rate: f64, seconds: u64) -> Stream {
    Stream {
        org,
        rate,
        from: 0,
        to: seconds,
        prompt: 400,
        output: SHORT,
        prefix: None,
        timeout: Millis::secs(6),
        returns: 0,
        idempotent: false,
    }
}

fn scenario(load: f64, seconds: u64) -> Scenario {
    let rate = load * capacity().1 / 10.0;
    Scenario {
        entries: ENTRIES,
        engines: ENGINES,
        seconds,
        warm_up: 10,
        streams: ORGS.iter().map(|org| stream(org, rate, seconds)).collect(),
        faults: Vec::new(),
        reports_load: true,
        seed: 42,
    }
}

/// Returns the throughput of the engines with batches that are always full, in tokens and answers a second.
fn capacity() -> (f64, f64) {
    static CAPACITY: OnceLock<(f64, f64)> = OnceLock::new();
    *CAPACITY.get_or_init(|| {
        let streams = vec![Stream {
            timeout: Millis::secs(3600),
            ..stream("alder", 700.0, 40)
        }];
        let full = Scenario {
            entries: ENTRIES,
            engines: ENGINES,
            seconds: 40,
            warm_up: 10,
            streams,
            faults: Vec::new(),
            reports_load: true,
            seed: 1,
        };
        let report = run(&full, Policy::Baseline);
        let tokens = report.goodput(&report.all());
        (tokens, tokens / 100.0)
    })
}

/// The reports of both policies under one scenario, and the lines of its result table.
struct Trial {
    filbert: Report,
    baseline: Report,
    lines: Vec<String>,
}

impl Trial {
    fn new(scenario: &Scenario) -> Self {
        let filbert = run(scenario, Policy::Filbert);
        let baseline = run(scenario, Policy::Baseline);
        let mut trial = Self {
            filbert,
            baseline,
            lines: vec![header()],
        };
        trial.add_lines("all", |_| true);
        trial
    }

    fn add_lines(&mut self, name: &str, pick: impl Fn(usize) -> bool) {
        for (policy, report) in [("filbert", &self.filbert), ("baseline", &self.baseline)] {
            let received = report.of_streams(&pick);
            let line = report.line(&format!("{policy} {name}"), &received);
            self.lines.push(line);
        }
    }

    fn table(&self) -> String {
        self.lines.join("\n")
    }
}

/// Returns the goodput of complete answers that arrived in time, relative to the engines' capacity.
fn goodput(report: &Report) -> f64 {
    report.goodput(&report.all()) / capacity().0
}

fn complete(report: &Report) -> u64 {
    report.all().complete
}

#[test]
fn overload_of_three_times_the_capacity() {
    // Callers send three times what the engines can do, for half a minute. Without bounds the queues grow
    // until every answer comes after its deadline, so that nobody is served while all engines are full. With
    // admission control, two in three calls are refused at once with a time to come back.
    let trial = Trial::new(&scenario(3.0, 40));
    insta::assert_snapshot!(trial.table());
    let filbert = trial.filbert.all();
    assert!(goodput(&trial.filbert) >= 0.95);
    assert!(filbert.p99() < 6000);
    assert!(
        filbert.refused_late * 1000 <= filbert.refused,
        "{} calls refused late",
        filbert.refused_late
    );
    assert!(
        goodput(&trial.baseline) < 0.1,
        "the baseline no longer collapses"
    );
}

#[test]
fn overload_with_returning_callers() {
    // As above, but refused callers come back twice, at the time given; the baseline's callers send again as
    // soon as their deadline has passed. The repeated calls must not displace first calls.
    let mut overload = scenario(3.0, 25);
    for stream in &mut overload.streams {
        stream.returns = 2;
    }
    let trial = Trial::new(&overload);
    insta::assert_snapshot!(trial.table());
    assert!(goodput(&trial.filbert) >= 0.95);
    assert!(trial.filbert.all().attempts_per_call() <= 1.0);
}

#[test]
fn overload_without_load_reports() {
    // The engines report neither slots nor load. Only their first tokens show that a batch is full: limits
    // that ignored them would grow until the queues form in the engines, where requests can no longer be
    // ordered or refused.
    let mut silent = scenario(3.0, 40);
    silent.reports_load = false;
    let trial = Trial::new(&silent);
    insta::assert_snapshot!(trial.table());
    assert!(goodput(&trial.filbert) >= 0.95);
    assert!(trial.filbert.all().p99() < 4000);
}

#[test]
fn load_near_capacity() {
    // Estimates are hardest near the capacity, where queues come and go by chance alone.
    for load in [0.9, 1.0, 1.5] {
        let trial = Trial::new(&scenario(load, 40));
        insta::assert_snapshot!(format!("load_{load}"), trial.table());
        assert!(goodput(&trial.filbert) >= load.min(1.0) * 0.97);
    }
}

#[test]
fn one_second_burst_of_tenfold_load() {
    // The engines are half full, then ten times the load arrives for one second: five seconds' work at once.
    // Refused callers come back at the time given, spread over the time it takes to work off the burst.
    let mut burst = scenario(0.5, 40);
    for steady in burst.streams.clone() {
        burst.streams.push(Stream {
            rate: steady.rate * 9.0,
            from: 20,
            to: 21,
            ..steady
        });
    }
    for stream in &mut burst.streams {
        stream.returns = 2;
    }
    let mut trial = Trial::new(&burst);
    trial.add_lines("burst", |stream| stream >= 10);
    insta::assert_snapshot!(trial.table());
    assert!(
        complete(&trial.filbert) >= complete(&trial.baseline),
        "fewer answers than the baseline"
    );
    assert!(trial.filbert.all().missed * 1000 <= complete(&trial.filbert));
}

#[test]
fn one_hot_organisation() {
    // Nine organisations use two thirds of the capacity; a tenth sends ten times its usual load. In
    // first-in-first-out order, everyone waits behind it until all deadlines have passed.
    let others = |stream: usize| stream > 0;
    let mut calm = scenario(0.7, 40);
    calm.streams[0].rate = 0.01;
    let alone = run(&calm, Policy::Filbert);
    let mut flood = scenario(0.7, 40);
    flood.streams[0].rate *= 10.0;
    let mut trial = Trial::new(&flood);
    trial.add_lines("others", others);
    trial.add_lines("hot", |stream| stream == 0);
    let alone = alone.of_streams(others);
    trial
        .lines
        .push(trial.filbert.line("filbert others alone", &alone));
    insta::assert_snapshot!(trial.table());
    let filbert = trial.filbert.of_streams(others);
    let (p99, p99_alone) = (sim::to_f64(filbert.p99()), sim::to_f64(alone.p99()));
    assert!(
        p99 <= p99_alone * 1.2,
        "p99 is {p99} ms, {p99_alone} ms without the hot organisation"
    );
    assert_eq!(filbert.refused + filbert.missed, 0);
    let hot = trial.filbert.of_streams(|stream| stream == 0);
    assert!(trial.filbert.goodput(&hot) >= capacity().0 * 0.2);
}

#[test]
fn one_hot_prefix() {
    // Two calls in five share a prompt prefix of 3,900 tokens; the others share twenty more such prefixes. An
    // engine caches six. If all calls with the hot prefix went to the engine that caches it, that engine
    // would be overloaded; without hints, every engine would compute every prefix.
    let mut shared = scenario(0.7, 40);
    shared.streams = (0..30)
        .map(|i: usize| Stream {
            prompt: 4000,
            prefix: Some((u64::try_from(i.saturating_sub(9)).unwrap(), 3900)),
            rate: if i < 10 { 0.4 / 10.0 } else { 0.6 / 20.0 } * 180.0,
            ..stream(ORGS[i % 10], 0.0, 40)
        })
        .collect();
    let mut trial = Trial::new(&shared);
    trial.add_lines("hot", |stream| stream < 10);
    insta::assert_snapshot!(trial.table());
    assert!(trial.filbert.all().p99() * 2 <= trial.baseline.all().p99());
    assert!(trial.filbert.all().refused * 100 <= trial.filbert.all().offered);
}

#[test]
fn one_target_twenty_times_slower() {
    // One engine of fourteen becomes twenty times slower and stays so. Round robin gives it a fourteenth of
    // the calls, and all of them miss their deadline. The calls in progress there at the start are lost under
    // any policy; after that, a few answers must be enough to eject the engine.
    for idempotent in [false, true] {
        let mut slow = scenario(0.7, 40);
        for stream in &mut slow.streams {
            stream.idempotent = idempotent;
        }
        let without = run(&slow, Policy::Filbert).all();
        slow.faults = vec![(
            15,
            Fault::Slow {
                engine: 3,
                factor: 20,
            },
        )];
        let mut trial = Trial::new(&slow);
        trial
            .lines
            .push(trial.filbert.line("filbert without", &without));
        insta::assert_snapshot!(format!("slow_idempotent_{idempotent}"), trial.table());
        let filbert = trial.filbert.all();
        assert!(sim::to_f64(filbert.p99()) <= sim::to_f64(without.p99()) * 1.3);
        assert!(
            filbert.missed * 1000 <= filbert.offered * 6,
            "{}",
            filbert.missed
        );
        assert!(filbert.attempts_per_call() <= 1.1);
        assert_eq!(trial.filbert.run_twice, 0);
    }
}

#[test]
fn one_request_in_twenty_fifty_times_longer() {
    // One call in twenty generates fifty times as many tokens: 72% of all work. With the engines nearly full,
    // long requests occupy every slot, and short ones wait for the end of a long one.
    for load in [0.9, 1.2] {
        let mut mixed = scenario(load * 20.0 / 69.0, 150);
        mixed.warm_up = 60;
        for short in mixed.streams.clone() {
            mixed.streams.push(Stream {
                rate: short.rate / 19.0,
                output: (2500, 7500),
                timeout: Millis::secs(180),
                ..short
            });
        }
        let mut trial = Trial::new(&mixed);
        trial.add_lines("short", |stream| stream < 10);
        trial.add_lines("long", |stream| stream >= 10);
        insta::assert_snapshot!(format!("long_{load}"), trial.table());
        let filbert = trial.filbert.of_streams(|stream| stream < 10);
        let baseline = trial.baseline.of_streams(|stream| stream < 10);
        assert!(filbert.p99() * 4 <= baseline.p99() * 3);
        assert!(filbert.complete > baseline.complete);
        let long = trial.filbert.of_streams(|stream| stream >= 10);
        assert!(long.complete * 100 >= long.offered * 95);
    }
}

#[test]
fn half_of_the_targets_lost() {
    // Seven of fourteen engines fail at once, with their requests. Gossip reports it three seconds later;
    // until then calls sent there are known not to have run. Unlimited retries would add their load to the
    // remaining half, which is overloaded at 0.6 already.
    for load in [0.4, 0.6] {
        let mut lost = scenario(load, 40);
        for stream in &mut lost.streams[..5] {
            stream.idempotent = true;
        }
        let failure = |i: usize| (20, Fault::Lose { engine: i * 2 });
        lost.faults = (0..7).map(failure).collect();
        let trial = Trial::new(&lost);
        insta::assert_snapshot!(format!("half_lost_{load}"), trial.table());
        let filbert = trial.filbert.all();
        assert!(filbert.attempts_per_call() <= 1.1);
        assert!(filbert.missed * 100 <= filbert.offered);
        assert_eq!(trial.filbert.run_twice, 0);
    }
}

#[test]
fn all_entries_restarted_in_turn() {
    // Every two seconds an entry is replaced by a new process without any limit, rate or load report. Limits
    // that start too low would waste the engines; limits that start too high would fill their queues.
    for load in [0.8, 3.0] {
        let mut restarts = scenario(load, 40);
        let restart = |i: usize| {
            (
                12 + 2 * u64::try_from(i).unwrap(),
                Fault::Restart { entry: i },
            )
        };
        restarts.faults = (0..ENTRIES).map(restart).collect();
        let trial = Trial::new(&restarts);
        insta::assert_snapshot!(format!("restarts_{load}"), trial.table());
        assert!(goodput(&trial.filbert) >= load.min(1.0) * 0.95);
        assert!(trial.filbert.all().missed * 1000 <= complete(&trial.filbert));
    }
}

#[test]
fn overload_at_forty_entries_and_240_engines() {
    // Each entry uses 48 of the engines, and each engine is shared by eight entries.
    let mut large = scenario(2.0, 8);
    large.warm_up = 4;
    large.entries = 40;
    large.engines = 240;
    let times = 240.0 / sim::to_f64(u64::try_from(ENGINES).unwrap());
    for stream in &mut large.streams {
        stream.rate *= times;
    }
    let trial = Trial::new(&large);
    insta::assert_snapshot!(trial.table());
    assert!(goodput(&trial.filbert) >= 0.95 * times);
    assert!(trial.filbert.all().p99() < 6000);
}
