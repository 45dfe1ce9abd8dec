//! Fuzzes the control state with random commands and compares it with a simple oracle.
//!
//! Every case runs on two replicas. One applies all commands; the other restarts from a snapshot of any
//! earlier moment and replays the tail of the log. Each [`Flaw`] is a deliberate fault of the callers or of
//! the recovery, which the same oracle must detect under the same seed.
//!
//! `FILBERTSTACK_FUZZ_CASES=10000` runs longer.

#[path = "fuzz/oracle.rs"]
mod oracle;
#[path = "fuzz/plan.rs"]
mod plan;
#[path = "fuzz/world.rs"]
mod world;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;

use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestCaseError;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use proptest_state_machine::ReferenceStateMachine;

use plan::Plan;
use world::Flaw;
use world::World;

const CASES: u32 = 160;
const STEPS: usize = 200;
const SEED: [u8; 32] = [7; 32];

fn cases() -> u32 {
    let given = std::env::var("FILBERTSTACK_FUZZ_CASES");
    given.ok().and_then(|n| n.parse().ok()).unwrap_or(CASES)
}

/// The outcomes that the cases must produce for the test to be meaningful.
const OUTCOMES: [&str; 11] = [
    "Accepted",
    "Conflict",
    "Rejected",
    "Granted",
    "InProgress",
    "Ran",
    "Unknown",
    "BodyDiffers",
    "Expired",
    "Full",
    "Refused",
];

/// The result of a run.
#[derive(Debug)]
struct Report {
    steps: usize,
    tally: BTreeMap<String, u32>,
}

/// Runs the cases of the plan. Returns the steps and outcomes, or what the oracle found.
fn fuzz(flaw: Flaw, cases: u32) -> Result<Report, String> {
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: if flaw == Flaw::None { 4096 } else { 0 },
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = Cell::new(0);
    let tally = RefCell::new(BTreeMap::<String, u32>::new());
    let strategy = Plan::sequential_strategy(STEPS / 2..STEPS);
    let result = runner.run(&strategy, |((), ops, seen)| {
        let mut world = World::new(flaw);
        for op in &ops {
            // This tells the shrinker which steps were reached. It does not run for a flaw.
            if let Some(count) = seen.as_ref().filter(|_| flaw == Flaw::None) {
                count.fetch_add(1, Ordering::SeqCst);
            }
            world.step(op).map_err(TestCaseError::fail)?;
            steps.set(steps.get() + 1);
        }
        for (what, count) in world.tally {
            *tally.borrow_mut().entry(what).or_default() += count;
        }
        Ok(())
    });
    result
        .map(|()| Report {
            steps: steps.get(),
            tally: tally.take(),
        })
        .map_err(|e| e.to_string())
}

/// Guards against accepted changes that are lost or reverted, and against keys that run twice. Operators
/// race and resend, callers repeat their keys, entries end, and voters restart from snapshots.
#[test]
fn replicas_agree_with_the_oracle() {
    let report = fuzz(Flaw::None, cases()).unwrap_or_else(|found| panic!("{found}"));
    println!("{} cases, {} steps", cases(), report.steps);
    println!("{:?}", report.tally);
    assert!(report.steps > cases() as usize * STEPS / 4);
    for outcome in OUTCOMES {
        assert!(report.tally.contains_key(outcome), "{outcome} was not met");
    }
}

/// Guards against an oracle that detects nothing: it must detect each flaw, by the expected symptom.
#[test]
fn every_flaw_is_found() {
    for (flaw, symptom) in Flaw::ALL {
        let found = fuzz(flaw, CASES).expect_err(&format!("{flaw:?} was not found"));
        println!("{flaw:?}: {}", found.lines().next().unwrap_or_default());
        assert!(found.contains(symptom), "{flaw:?}: {found}");
    }
}
