//! Tests which requests an entry takes that was told to stop.

use filbertstack_core::Millis;
use filbertstack_policy::leaving::Leaving;

const BEGAN: Millis = Millis(50_000);
const GRACE: Millis = Millis(7_300);

/// Replays requests with limits of 0.5 to 30 s, one each 100 ms of the grace period, and returns the times after the signal
/// of those that are taken and have more time than the entry.
fn outlasting(may_repeat: bool) -> Vec<u64> {
    let leaving = Leaving::new(BEGAN, GRACE);
    let times = (0..73).map(|n| n * 100);
    let requests = times.flat_map(|at| [500, 2_500, 6_000, 30_000].map(|limit| (at, limit)));
    let taken = requests
        .filter(|(at, limit)| !leaving.refuses(BEGAN + Millis(*at), Millis(*limit), may_repeat));
    let outlasting = taken.filter(|(at, limit)| at + limit > GRACE.0);
    outlasting.map(|(at, _)| at).collect()
}

/// Guards against a request that may run once and is cut off by the end of the entry that took it.
#[test]
fn no_request_that_may_run_once_outlasts_the_entry() {
    assert!(outlasting(false).is_empty());
}

/// Guards against an entry that refuses what may run again while its address is all that callers know, and against one that
/// takes it until its end.
#[test]
fn requests_that_may_run_again_are_taken_for_a_while() {
    let taken = outlasting(true);
    assert_eq!(taken.first(), Some(&0));
    assert!(
        taken
            .last()
            .is_some_and(|last| (2_000..3_000).contains(last))
    );
}

/// Guards against an entry that refuses what it has the time to answer.
#[test]
fn short_requests_are_taken_until_shortly_before_the_end() {
    let leaving = Leaving::new(BEGAN, GRACE);
    for may_repeat in [true, false] {
        assert!(!leaving.refuses(BEGAN + Millis(6_500), Millis(500), may_repeat));
    }
    assert!(leaving.answers_by() < BEGAN + GRACE);
}
