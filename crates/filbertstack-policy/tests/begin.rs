//! Tests until when a request may be sent to a target whose weights a newer version replaces, and the time limit that
//! the target is told.

use std::time::Duration;

use filbertstack_core::Millis;
use filbertstack_policy::begin::Expected;
use filbertstack_policy::begin::Grant;
use filbertstack_policy::begin::Replaced;
use filbertstack_policy::begin::Work;
use filbertstack_policy::begin::grant as grant_at;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::proptest;

/// The time for which an older version may begin requests.
const BOUND: Millis = Millis(8_000);

/// The target must have begun by then.
const REPLACED: Replaced = Replaced {
    begin_by: Millis(7_600),
    bound: BOUND,
};

/// Returns what a target gets that begins requests at once.
fn grant(now: Millis, replaced: Option<Replaced>, work: Work, ms: f64) -> Option<Grant> {
    let at_once = true;
    grant_at(now, replaced, work, Expected { ms, at_once })
}

fn millis(expected: f64) -> u64 {
    Millis::from(Duration::from_secs_f64(expected / 1_000.0)).0
}

fn works() -> impl Strategy<Value = Work> {
    let flag = proptest::bool::ANY;
    let fields = (0_u64..60_000, 0_u64..20_000, flag, flag);
    fields.prop_map(|(time_left, lasted, movable, successor)| Work {
        time_left: Millis(time_left),
        answer: None,
        lasted: Millis(lasted),
        movable,
        successor,
    })
}

proptest! {
    /// Guards against a request that begins after the bound at a target that keeps it in a queue until its time limit
    /// and does not notice that its connection closes. Only just after the naming does a target keep the time of a request
    /// that it would have to cut and that no other could continue.
    #[test]
    fn a_target_is_told_no_more_than_the_time_until_the_bound(
        now in 0_u64..8_000, work in works(), expected in 0.0..20_000.0
    ) {
        let left = REPLACED.begin_by.since(Millis(now));
        let granted = grant(Millis(now), Some(REPLACED), work, expected);
        if let Some(granted) = granted {
            prop_assert!(granted.limit <= work.time_left);
            let lost = !work.movable && millis(expected).max(work.lasted.0) >= left.0;
            prop_assert!(granted.limit <= left || (left.0 * 2 >= BOUND.0 && lost), "{granted:?}");
        }
    }

    /// Guards against a stream that is cut by the limit on its begin: it is expected to end before, and in half of the
    /// time if no other target could continue it. Just after the naming, others will be there before the limit ends.
    #[test]
    fn no_limit_is_shorter_than_the_work(
        now in 0_u64..8_000, work in works(), expected in 0.0..20_000.0
    ) {
        let granted = grant(Millis(now), Some(REPLACED), work, expected);
        if let Some(granted) = granted.filter(|granted| granted.limit < work.time_left) {
            let early = granted.limit.0 * 2 >= BOUND.0;
            let margin = if early || (work.movable && work.successor) { 1 } else { 2 };
            let ends = millis(expected).max(work.lasted.0) * margin <= granted.limit.0;
            prop_assert!(ends || (early && work.movable), "{granted:?}");
        }
    }

    /// Guards against callers who are refused just after the naming, while all targets are of the older version.
    #[test]
    fn no_caller_is_refused_just_after_the_naming(
        now in 0_u64..3_600, work in works(), expected in 0.0..20_000.0
    ) {
        prop_assert!(grant(Millis(now), Some(REPLACED), work, expected).is_some());
    }

    /// Guards against a newer version that keeps requests from targets which hold it.
    #[test]
    fn a_target_with_the_newest_weights_gets_all_the_time(now in 0_u64..60_000, work in works()) {
        let granted = grant(Millis(now), None, work, 1e9).expect("it may begin");
        prop_assert!(granted.limit == work.time_left && granted.begin_within.is_none());
    }
}

/// Guards against callers who are refused just after a naming, when no target has the newer version yet.
#[test]
fn a_long_request_is_served_just_after_the_naming() {
    let once = Work {
        time_left: Millis(50_000),
        ..Work::default()
    };
    let movable = Work {
        movable: true,
        ..once
    };
    let granted = |now, work, expected| grant(Millis(now), Some(REPLACED), work, expected);
    let limit = |work, expected| granted(1_000, work, expected).expect("it may begin").limit;
    assert_eq!(limit(movable, 20_000.0), Millis(6_600));
    assert_eq!(limit(once, 6_000.0), Millis(6_600));
    assert_eq!(limit(once, 20_000.0), once.time_left);
    let queued = Expected {
        ms: 20_000.0,
        at_once: false,
    };
    assert_eq!(grant_at(Millis(1_000), Some(REPLACED), once, queued), None);
    assert_eq!(granted(4_000, once, 20_000.0), None);
    assert_eq!(granted(4_000, movable, 20_000.0), None);
}

/// Guards against a target that is given up before its word arrives that a request has not run.
#[test]
fn an_entry_waits_for_the_refusal_of_what_has_not_begun() {
    let work = Work {
        time_left: Millis(5_000),
        ..Work::default()
    };
    let granted = grant(Millis(5_600), Some(REPLACED), work, 500.0).expect("it may begin");
    assert_eq!(granted.limit, Millis(2_000));
    assert!(granted.begin_within > Some(granted.limit), "{granted:?}");
    assert!(Millis(5_600) + granted.begin_within.expect("limited") < BOUND);
}
