//! A randomized soak test: real processes on loopback, injected faults, and guarantees that are checked
//! by callers, operators and engines.
//!
//! CI runs some fixed seeds. This command runs fifty others, four at a time:
//!
//!     SOAK_SEEDS=1000-1049 cargo test --test soak -- --nocapture
//!
//! With `SOAK_NAMES=6`, six versions of the weights are published in sequence instead of one.
//!
//! A seed determines the faults and their order, the changes of the operator and the requests of
//! callers; the scheduling of threads and processes is not determined. A failed seed is repeated unchanged,
//! and may pass.

mod callers;
#[allow(dead_code, reason = "shared with the tests of the gateway")]
#[path = "../gateway/cluster.rs"]
mod cluster;
#[allow(dead_code, reason = "shared with the tests of the gateway")]
#[path = "../gateway/engine.rs"]
mod engine;
mod evacuations;
mod faults;
mod fleet;
#[allow(dead_code, reason = "shared with the tests of the gateway")]
#[path = "../gateway/model.rs"]
mod model;
mod operator;
mod planned;
mod proxy;
mod replacements;
mod rollouts;

use std::thread;

use fleet::Fleet;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

/// The seeds that CI runs, each with the fault that it guards against.
const SEEDS: [u64; 6] = [
    // An engine closes an idle connection, and the agent treats that as corrupt pieces.
    1, 2,
    // The soak test itself waits for the exit of a process that another fault has restarted.
    2025,
    // An agent is killed while its order to load the first weights is unanswered; its successor stages the
    // next weights over them, and the engine loads both.
    3002,
    // An entry restarts, knows targets before it knows the evacuations, and sends one request to an evacuated zone.
    4002, 4013,
];

/// The seeds of planned work that CI runs.
const PLANNED_SEEDS: [u64; 2] = [1, 2];

/// The seeds of replacements that CI runs.
const REPLACEMENT_SEEDS: [u64; 2] = [1, 2];

/// The seeds of rollouts that CI runs. In the first, an agent starts while its engine still finishes streams before it
/// loads, by an order of the process before.
const ROLLOUT_SEEDS: [u64; 2] = [1, 2];

/// The number of seeds that run at a time; each runs eight processes.
const PARALLEL_SEEDS: usize = 4;

/// Runs a seed, with `version_count` versions of the weights published in sequence, and returns the
/// broken guarantees.
fn run_seed(seed: u64, version_count: u32) -> Vec<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let fleet = Fleet::start(seed, version_count);
    let _end = EndOnDrop(fleet.clone());
    let callers = callers::start(&fleet, seed);
    let operator = operator::start(&fleet, seed);
    let evacuations = evacuations::start(&fleet, seed);
    let delaying = faults::delay_orders(&fleet, seed);
    let faults = faults::inject(&fleet, &mut rng);
    fleet.end_faults();
    delaying.join().expect("the delays end");
    let mut violations = operator.finish(&fleet);
    violations.extend(evacuations.finish(&fleet));
    violations.extend(callers.finish(&fleet));
    violations.extend(fleet.wrong_loads());
    println!("seed {seed}: {faults:?}; {}", callers::summary(&fleet));
    violations
        .into_iter()
        .map(|violation| format!("seed {seed}: {violation}"))
        .collect()
}

/// Ends all processes of a run on drop, also when the run panics while threads still hold its fleet. Prints their state
/// before if the run panics.
struct EndOnDrop(Fleet);

impl Drop for EndOnDrop {
    fn drop(&mut self) {
        if thread::panicking() {
            println!("{}", self.0.describe());
        }
        self.0.end();
    }
}

/// Runs the seeds, some at a time, and returns the broken guarantees.
fn run_seeds(
    seeds: &[u64],
    run: impl Fn(u64) -> Vec<String> + Copy + Send + 'static,
) -> Vec<String> {
    let mut violations = Vec::new();
    for group in seeds.chunks(PARALLEL_SEEDS) {
        let runs = group.iter().map(|seed| {
            let seed = *seed;
            thread::spawn(move || run(seed))
        });
        let runs: Vec<_> = runs.collect();
        for run in runs {
            violations.extend(
                run.join()
                    .unwrap_or_else(|_| vec!["a run ended early".into()]),
            );
        }
    }
    violations
}

/// Returns the number of versions that `SOAK_NAMES` sets, 1 by default.
fn version_count() -> u32 {
    let count = std::env::var("SOAK_NAMES").ok();
    count.map_or(1, |n| n.parse().expect("SOAK_NAMES=COUNT"))
}

/// Returns the seeds that `SOAK_SEEDS` sets, or else `ours`.
fn seeds_or(ours: &[u64]) -> Vec<u64> {
    let Ok(range) = std::env::var("SOAK_SEEDS") else {
        return ours.to_vec();
    };
    let (first, last) = range.split_once('-').expect("SOAK_SEEDS=FIRST-LAST");
    let bound = |text: &str| text.parse().expect("SOAK_SEEDS=FIRST-LAST, two numbers");
    (bound(first)..=bound(last)).collect()
}

/// Processes are killed, frozen, stopped and restarted, disks are lost, connections are delayed, reset or
/// lose bytes in one or both directions, engines crash and lose their weights, or execute orders late and
/// without an answer, and versions and configurations change. Every caller gets its own whole answer or
/// can tell that it did not, acknowledged changes and evacuations are kept, and all services are served after the faults.
#[test]
fn guarantees_hold_under_random_faults() {
    let violations = run_seeds(&seeds_or(&SEEDS), |seed| run_seed(seed, version_count()));
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// Runs planned work alone and returns the broken guarantees.
fn run_planned(seed: u64) -> Vec<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let fleet = Fleet::with_long_streams(seed);
    let _end = EndOnDrop(fleet.clone());
    let callers = callers::start(&fleet, seed);
    let operator = operator::start(&fleet, seed);
    let work = planned::carry_out(&fleet, &mut rng);
    fleet.end_faults();
    let mut violations = operator.finish(&fleet);
    violations.extend(callers.finish_without_faults(&fleet));
    violations.extend(fleet.wrong_loads());
    println!("seed {seed}: {work:?}; {}", callers::summary(&fleet));
    violations
        .into_iter()
        .map(|violation| format!("seed {seed}: {violation}"))
        .collect()
}

/// New weights are rolled out one after the other, documents change, and processes are told to read their settings
/// again or to stop, while streams run for more than a second. What a target ran is answered to its end.
#[test]
fn planned_work_cuts_no_answer() {
    let violations = run_seeds(&seeds_or(&PLANNED_SEEDS), run_planned);
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// Replaces voters among callers and operators, and returns the broken guarantees.
fn run_replacements(seed: u64) -> Vec<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let fleet = Fleet::start(seed, 1);
    let _end = EndOnDrop(fleet.clone());
    let callers = callers::start(&fleet, seed);
    let operator = operator::start(&fleet, seed);
    let rounds = replacements::carry_out(&fleet, &mut rng);
    fleet.end_faults();
    let mut violations = operator.finish(&fleet);
    violations.extend(callers.finish(&fleet));
    violations.extend(fleet.wrong_loads());
    println!("seed {seed}: {rounds:?}; {}", callers::summary(&fleet));
    violations
        .into_iter()
        .map(|violation| format!("seed {seed}: {violation}"))
        .collect()
}

/// Voters are gone for good, one after the other, and replaced at other addresses, while others stand still; after each
/// replacement one disk is lost with the power of all. Acknowledged changes are kept, and all services are served again.
#[test]
fn replaced_voters_lose_nothing() {
    let violations = run_seeds(&seeds_or(&REPLACEMENT_SEEDS), run_replacements);
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// Rolls weights out to engines in trouble, and returns the broken guarantees.
fn run_rollouts(seed: u64) -> Vec<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let fleet = Fleet::with_many_attempts(seed);
    let _end = EndOnDrop(fleet.clone());
    let callers = callers::start(&fleet, seed);
    let rounds = rollouts::carry_out(&fleet, &mut rng);
    fleet.end_faults();
    let mut violations = callers.finish(&fleet);
    violations.extend(fleet.wrong_answers());
    if !violations.is_empty() {
        println!("{}", fleet.describe());
    }
    println!("seed {seed}: {rounds:?}; {}", callers::summary(&fleet));
    violations
        .into_iter()
        .map(|violation| format!("seed {seed}: {violation}"))
        .collect()
}

/// Versions of the weights follow each other while an engine is slow to read its pieces, loses some of them or carries out
/// writes late, the origin sends wrong lists, and agents are killed, stopped or frozen. No caller is answered from
/// wrong weights, events come once and in order, and all engines get the newest version.
#[test]
fn no_caller_is_answered_from_wrong_weights() {
    let violations = run_seeds(&seeds_or(&ROLLOUT_SEEDS), run_rollouts);
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// Guards against staging a newer version over one that an engine may still get an order to load.
#[test]
fn an_ordered_version_is_not_overwritten() {
    let violations = run_seed(5000, 1);
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// Guards against staging over an ordered version after six newer versions and a restart of all processes.
#[test]
fn an_ordered_version_is_not_overwritten_after_six_others() {
    let violations = run_seed(7024, 6);
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}
