//! Tests of the number of targets that one request is sent to.

use filbertstack_policy::attempts::Attempts;

fn turned_away(times: u32) -> Attempts {
    let mut attempts = Attempts::default();
    for _ in 0..times {
        attempts.count_sent();
        attempts.count_turned_away();
    }
    attempts
}

/// Guards against a request that runs at more targets than its route allows.
#[test]
fn a_request_runs_at_no_more_targets_than_its_route_allows() {
    let mut attempts = turned_away(1);
    attempts.count_sent();
    assert!(attempts.may_continue(2));
    attempts.count_sent();
    assert!(!attempts.may_continue(2));
    assert_eq!(attempts.sent(), 3);
}

/// Guards against a request that asks all targets of a service which is overloaded or cut off as a whole.
#[test]
fn a_request_does_not_ask_all_targets() {
    assert!(turned_away(3).may_continue(1));
    assert!(!turned_away(4).may_continue(8));
    let mut cut_off = Attempts::default();
    for _ in 0..6 {
        assert!(cut_off.may_continue(1));
        cut_off.count_unreached();
    }
    assert!(!cut_off.may_continue(8));
}

/// Guards against limits on an answer that no other target may continue, because an attempt is thought to be left.
#[test]
fn the_last_attempt_is_known_as_such() {
    assert!(Attempts::default().is_last(1));
    let mut attempts = turned_away(2);
    assert!(
        !attempts.is_last(2),
        "those that turned it away do not count"
    );
    attempts.count_sent();
    assert!(attempts.is_last(2));
}
