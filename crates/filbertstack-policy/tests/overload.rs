//! Decisions under load, judged by what callers receive, against a plain baseline.

mod sim;

use std::sync::OnceLock;

use filbertstack_core::Millis;

use sim::Fault;
use sim::Policy;
use sim::Scenario;
use sim::Stream;
use sim::report::Report;
use sim::report::head;
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
        patience: Millis::secs(6),
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
        warm: 10,
        streams: ORGS.iter().map(|org| stream(org, rate, seconds)).collect(),
        faults: Vec::new(),
        tells: true,
        seed: 42,
    }
}

/// What the engines do when their batches are always full: tokens and answers a second.
fn capacity() -> (f64, f64) {
    static CAPACITY: OnceLock<(f64, f64)> = OnceLock::new();
    *CAPACITY.get_or_init(|| {
        let streams = vec![Stream {
            patience: Millis::secs(3600),
            ..stream("alder", 700.0, 40)
        }];
        let full = Scenario {
            entries: ENTRIES,
            engines: ENGINES,
            seconds: 40,
            warm: 10,
            streams,
            faults: Vec::new(),
            tells: true,
            seed: 1,
        };
        let report = run(&full, Policy::Plain);
        let tokens = report.goodput(&report.all());
        (tokens, tokens / 100.0)
    })
}

/// Both policies under one scenario, and the lines of its table.
struct Trial {
    ours: Report,
    plain: Report,
    lines: Vec<String>,
}

impl Trial {
    fn new(scenario: &Scenario) -> Self {
        let ours = run(scenario, Policy::Filbert);
        let plain = run(scenario, Policy::Plain);
        let mut trial = Self {
            ours,
            plain,
            lines: vec![head()],
        };
        trial.line("all", |_| true);
        trial
    }

    fn line(&mut self, name: &str, pick: impl Fn(usize) -> bool) {
        for (policy, report) in [("filbert", &self.ours), ("plain", &self.plain)] {
            let received = report.of_streams(&pick);
            let line = report.line(&format!("{policy} {name}"), &received);
            self.lines.push(line);
        }
    }

    fn table(&self) -> String {
        self.lines.join("\n")
    }
}

/// The goodput of the whole answers that came in time, over the engines' capacity.
fn goodput(report: &Report) -> f64 {
    report.goodput(&report.all()) / capacity().0
}

fn whole(report: &Report) -> u64 {
    report.all().whole
}

#[test]
fn overload_of_three_times_the_capacity() {
    // Callers send three times what the engines can do, for half a minute. Without bounds the
    // queues grow until every answer comes after its deadline, so that nobody is served while
    // all engines are full. Here two in three are told at once when to come back.
    let trial = Trial::new(&scenario(3.0, 40));
    insta::assert_snapshot!(trial.table());
    let ours = trial.ours.all();
    assert!(goodput(&trial.ours) >= 0.95);
    assert!(ours.p99() < 6000);
    assert!(
        ours.late * 1000 <= ours.refused,
        "refused late: {}",
        ours.late
    );
    assert!(
        goodput(&trial.plain) < 0.1,
        "the baseline no longer collapses"
    );
}

#[test]
fn overload_whose_refused_callers_come_back() {
    // As above, and whoever is refused comes back twice, when told; the baseline's callers ask
    // again at once when their deadline has passed. The returns must not push out first calls.
    let mut overload = scenario(3.0, 25);
    for stream in &mut overload.streams {
        stream.returns = 2;
    }
    let trial = Trial::new(&overload);
    insta::assert_snapshot!(trial.table());
    assert!(goodput(&trial.ours) >= 0.95);
    assert!(trial.ours.all().sends() <= 1.0);
}

#[test]
fn overload_of_targets_that_tell_nothing() {
    // Engines that give neither slots nor load. Only their first tokens say that a batch is full:
    // limits that did not heed them would grow until the queues stand in the engines, where
    // nothing can be ordered or refused any more.
    let mut silent = scenario(3.0, 40);
    silent.tells = false;
    let trial = Trial::new(&silent);
    insta::assert_snapshot!(trial.table());
    assert!(goodput(&trial.ours) >= 0.95);
    assert!(trial.ours.all().p99() < 4000);
}

#[test]
fn load_about_the_capacity() {
    // The hardest place for an estimate: queues come and go by chance alone.
    for load in [0.9, 1.0, 1.5] {
        let trial = Trial::new(&scenario(load, 40));
        insta::assert_snapshot!(format!("load_{load}"), trial.table());
        assert!(goodput(&trial.ours) >= load.min(1.0) * 0.97);
    }
}

#[test]
fn burst_of_ten_times_in_one_second() {
    // Engines half full, then ten times the load for one second: five seconds' work at once. Who
    // is refused comes back when told, spread over the time it takes to work the burst off.
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
    trial.line("burst", |stream| stream >= 10);
    insta::assert_snapshot!(trial.table());
    assert!(
        whole(&trial.ours) >= whole(&trial.plain),
        "some never got an answer"
    );
    assert!(trial.ours.all().missed * 1000 <= whole(&trial.ours));
}

#[test]
fn one_hot_organisation() {
    // Nine organisations take two thirds of the capacity; a tenth sends ten times its usual load.
    // First in, first out lets everyone wait in its queue until all deadlines have passed.
    let others = |stream: usize| stream > 0;
    let mut calm = scenario(0.7, 40);
    calm.streams[0].rate = 0.01;
    let alone = run(&calm, Policy::Filbert);
    let mut flood = scenario(0.7, 40);
    flood.streams[0].rate *= 10.0;
    let mut trial = Trial::new(&flood);
    trial.line("others", others);
    trial.line("hot", |stream| stream == 0);
    let alone = alone.of_streams(others);
    trial
        .lines
        .push(trial.ours.line("filbert others alone", &alone));
    insta::assert_snapshot!(trial.table());
    let ours = trial.ours.of_streams(others);
    let (p99, p99_alone) = (sim::real(ours.p99()), sim::real(alone.p99()));
    assert!(p99 <= p99_alone * 1.2, "{p99} against {p99_alone} alone");
    assert_eq!(ours.refused + ours.missed, 0);
    let hot = trial.ours.of_streams(|stream| stream == 0);
    assert!(trial.ours.goodput(&hot) >= capacity().0 * 0.2);
}

#[test]
fn one_hot_prefix() {
    // Two calls in five share a prompt's start of 3,900 tokens, the others twenty more such. An
    // engine holds six. All on the engine that has the hot one would overload it; hints that
    // count for nothing would have each engine read each prefix.
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
    trial.line("hot", |stream| stream < 10);
    insta::assert_snapshot!(trial.table());
    assert!(trial.ours.all().p99() * 2 <= trial.plain.all().p99());
    assert!(trial.ours.all().refused * 100 <= trial.ours.all().offered);
}

#[test]
fn one_target_twenty_times_slower() {
    // One engine of fourteen turns twenty times slower and stays so. Round robin gives it a
    // fourteenth of the calls, and all of them miss. What it held when it slowed down is lost to
    // any policy; after that a few answers must be enough to leave it.
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
            .push(trial.ours.line("filbert without", &without));
        insta::assert_snapshot!(format!("slow_idempotent_{idempotent}"), trial.table());
        let ours = trial.ours.all();
        assert!(sim::real(ours.p99()) <= sim::real(without.p99()) * 1.3);
        assert!(ours.missed * 1000 <= ours.offered * 6, "{}", ours.missed);
        assert!(ours.sends() <= 1.1);
        assert_eq!(trial.ours.doubled, 0);
    }
}

#[test]
fn one_job_in_twenty_fifty_times_longer() {
    // One call in twenty writes fifty times as much: 72% of all work. With the engines nearly
    // full, long jobs get hold of every place and short ones wait for the end of a long one.
    for load in [0.9, 1.2] {
        let mut mixed = scenario(load * 20.0 / 69.0, 150);
        mixed.warm = 60;
        for short in mixed.streams.clone() {
            mixed.streams.push(Stream {
                rate: short.rate / 19.0,
                output: (2500, 7500),
                patience: Millis::secs(180),
                ..short
            });
        }
        let mut trial = Trial::new(&mixed);
        trial.line("short", |stream| stream < 10);
        trial.line("long", |stream| stream >= 10);
        insta::assert_snapshot!(format!("long_{load}"), trial.table());
        let ours = trial.ours.of_streams(|stream| stream < 10);
        let plain = trial.plain.of_streams(|stream| stream < 10);
        assert!(ours.p99() * 4 <= plain.p99() * 3);
        assert!(ours.whole > plain.whole);
        let long = trial.ours.of_streams(|stream| stream >= 10);
        assert!(long.whole * 100 >= long.offered * 95);
    }
}

#[test]
fn half_of_the_targets_lost() {
    // Seven of fourteen engines die at once, with what they had. Gossip says so three seconds
    // later; until then calls sent there are known not to have run. Free retries would add their
    // load to the half that is left, which at 0.6 is already more than that can do.
    for load in [0.4, 0.6] {
        let mut lost = scenario(load, 40);
        for stream in &mut lost.streams[..5] {
            stream.idempotent = true;
        }
        let dies = |i: usize| (20, Fault::Lose { engine: i * 2 });
        lost.faults = (0..7).map(dies).collect();
        let trial = Trial::new(&lost);
        insta::assert_snapshot!(format!("half_lost_{load}"), trial.table());
        let ours = trial.ours.all();
        assert!(ours.sends() <= 1.1);
        assert!(ours.missed * 100 <= ours.offered);
        assert_eq!(trial.ours.doubled, 0);
    }
}

#[test]
fn all_entries_restarted_in_turn() {
    // Every two seconds an entry is replaced by a new process that knows no limit, no pace and no
    // load. Limits too low would waste the engines; too high ones would fill their queues.
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
        assert!(goodput(&trial.ours) >= load.min(1.0) * 0.95);
        assert!(trial.ours.all().missed * 1000 <= whole(&trial.ours));
    }
}

#[test]
fn overload_at_forty_entries_and_240_engines() {
    // Each entry uses 48 of the engines, each engine is shared by eight entries.
    let mut large = scenario(2.0, 8);
    large.warm = 4;
    large.entries = 40;
    large.engines = 240;
    let times = 240.0 / sim::real(u64::try_from(ENGINES).unwrap());
    for stream in &mut large.streams {
        stream.rate *= times;
    }
    let trial = Trial::new(&large);
    insta::assert_snapshot!(trial.table());
    assert!(goodput(&trial.ours) >= 0.95 * times);
    assert!(trial.ours.all().p99() < 6000);
}
