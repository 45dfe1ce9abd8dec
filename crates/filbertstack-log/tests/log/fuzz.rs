//! The random search for faults: random steps, judged by the checker.

use std::cell::Cell;

use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestCaseError;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use crate::support::checker::Seen;
use crate::support::steps::script;
use crate::support::world::Variant;
use crate::support::world::World;

/// The number of runs in CI, of 100 to 200 steps each.
const CASES: u32 = 400;

fn number(variable: &str) -> Option<u32> {
    std::env::var(variable).ok()?.parse().ok()
}

/// Callers propose, resend and read while processes die at any write or freeze, disks are lost or
/// fill up, links fail in one or both directions, and the membership changes. No outcome returned
/// to a caller may be lost, duplicated or reverted, and no read may be stale.
///
/// The variable `FILBERTSTACK_FUZZ_CASES` sets another number of runs, `FILBERTSTACK_FUZZ_SEED`
/// another seed.
#[test]
fn nothing_accepted_is_lost_whatever_happens() {
    let config = Config {
        cases: number("FILBERTSTACK_FUZZ_CASES").unwrap_or(CASES),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    };
    let seed = number("FILBERTSTACK_FUZZ_SEED").unwrap_or(4);
    let mut bytes = [0; 32];
    bytes[..4].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let total = Cell::new(Seen::default());
    let run = runner.run(&script(), |(seed, voters, steps)| {
        let mut world = World::new(seed, voters, Variant::default());
        let played = world.play(&steps);
        let mut sum = total.get();
        sum += world.checker.seen(steps.len());
        total.set(sum);
        played.map_err(|violation| TestCaseError::fail(format!("{violation:?}")))
    });
    let sum = total.get();
    println!("{sum:?}");
    run.unwrap();
    let rare = [sum.installs, sum.promotions, sum.refusals, sum.disks];
    assert!(
        rare.iter().all(|n| *n > 50),
        "some things hardly happen: {sum:?}"
    );
}
