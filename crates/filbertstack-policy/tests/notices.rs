//! Tests of what targets ask for in their answers: rest, or no more requests as they leave.

mod plain;

use filbertstack_core::Millis;
use filbertstack_policy::crashes::Verdict;
use filbertstack_policy::dispatch::AttemptEnd;
use filbertstack_policy::dispatch::ChooseError;
use filbertstack_policy::dispatch::Dispatcher;
use filbertstack_policy::dispatch::TargetId;
use filbertstack_policy::notices::MAX_REST;
use filbertstack_policy::notices::Notice;
use filbertstack_policy::notices::Notices;
use filbertstack_policy::permit;
use filbertstack_policy::permit::Permit;
use filbertstack_policy::permit::Way;
use plain::choose;
use plain::dispatcher;
use plain::spec;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;

fn target() -> TargetId {
    "e0".into()
}

fn may_send(dispatcher: &Dispatcher, way: Way, now: Millis) -> bool {
    let obstacle = dispatcher.obstacle(now, "e0");
    permit::may_send_to(way, Verdict::Allowed, obstacle) == Permit::Send
}

/// Guards against callers that wait for a target in its rest, or come back while it lasts.
#[test]
fn callers_of_resting_targets_are_refused_until_the_first_rest_ends() {
    let mut dispatcher = dispatcher(&["e0", "e1"]);
    let now = Millis(1_000);
    dispatcher.record_rest(now, &target(), Millis(3_000));
    dispatcher.record_rest(now, &"e1".into(), Millis(1_200));
    for _ in 0..20 {
        let refused = choose(&mut dispatcher, now);
        let Err(ChooseError::Full { retry_after }) = refused else {
            panic!("{refused:?}");
        };
        assert!(retry_after >= Millis(1_200), "{retry_after:?}");
    }
    let after = Millis(2_200);
    assert_eq!(choose(&mut dispatcher, after), Ok("e1".into()));
    for way in [Way::New, Way::Retry, Way::Resume, Way::Resend] {
        assert!(!may_send(&dispatcher, way, Millis(3_999)), "{way:?}");
    }
    assert!(may_send(&dispatcher, Way::New, Millis(4_000)));
}

/// Guards against a target that asks for a year of rest and is never tried again, while its callers are told to
/// come back in a year.
#[test]
fn a_rest_is_bounded() {
    let mut dispatcher = dispatcher(&["e0"]);
    let now = Millis(1_000);
    dispatcher.record_rest(now, &target(), Millis::secs(31_536_000));
    assert!(!may_send(&dispatcher, Way::New, now + MAX_REST - Millis(1)));
    assert!(may_send(&dispatcher, Way::New, now + MAX_REST));
    dispatcher.record_rest(now, &target(), Millis(u64::MAX));
    let refused = choose(&mut dispatcher, now);
    let Err(ChooseError::Full { retry_after }) = refused else {
        panic!("{refused:?}");
    };
    assert!(retry_after <= MAX_REST + Millis::secs(1), "{retry_after:?}");
}

/// Guards against callers that wait because the only target, which has just turned a request away, seems gone.
#[test]
fn a_target_that_turns_away_and_rests_is_not_waited_for() {
    let mut dispatcher = dispatcher(&["e0"]);
    let now = Millis(1_000);
    dispatcher.count_sent(now, "e0", 0);
    dispatcher.record_rest(now, &target(), Millis(3_000));
    dispatcher.count_end(now, "e0", 0, AttemptEnd::TurnedAway);
    let refused = choose(&mut dispatcher, now);
    assert!(
        matches!(refused, Err(ChooseError::Full { .. })),
        "{refused:?}"
    );
}

/// Guards against a rest that is forgotten because the registry drops the target for a moment.
#[test]
fn a_target_that_comes_back_still_rests() {
    let mut dispatcher = dispatcher(&["e0"]);
    dispatcher.record_rest(Millis(0), &target(), Millis(3_000));
    dispatcher.set_targets(Vec::new());
    dispatcher.retain_notices(Millis(500), |_| false);
    dispatcher.set_targets(vec![spec("e0")]);
    assert!(choose(&mut dispatcher, Millis(1_000)).is_err());
    assert!(choose(&mut dispatcher, Millis(3_000)).is_ok());
}

/// Guards against a target that leaves and gets requests again once its next heartbeat says that it is ready.
#[test]
fn a_target_that_leaves_gets_no_request_while_it_is_known() {
    let mut dispatcher = dispatcher(&["e0", "e1"]);
    dispatcher.record_leaving(&target());
    dispatcher.record_rest(Millis(0), &target(), Millis(10));
    dispatcher.retain_notices(Millis(60_000), |_| true);
    for _ in 0..20 {
        assert_eq!(choose(&mut dispatcher, Millis(60_000)), Ok("e1".into()));
    }
    dispatcher.set_targets(vec![spec("e0")]);
    let refused = choose(&mut dispatcher, Millis(60_000));
    assert!(matches!(refused, Err(ChooseError::NoTarget { .. })));
}

/// Guards against records that grow with every target that ever left.
#[test]
fn a_target_that_has_left_is_forgotten() {
    let mut notices = Notices::default();
    notices.record_leaving(&target());
    notices.retain(Millis(0), |_| false);
    assert_eq!(notices.find(Millis(0), "e0"), None);
}

proptest! {
    /// Guards against a rest that ends early by another answer of the target, whatever their order.
    #[test]
    fn the_longest_rest_stands(
        asked in proptest::collection::vec((0..5_000_u64, 0..4_000_u64), 1..20),
        leaves in proptest::bool::ANY,
        now in 5_000..10_000_u64,
    ) {
        let mut asked = asked;
        asked.sort_unstable();
        let mut notices = Notices::default();
        if leaves {
            notices.record_leaving(&target());
        }
        for (at, rest) in &asked {
            notices.record_rest(Millis(*at), &target(), Millis(*rest));
        }
        let until = asked.iter().map(|(at, rest)| at + rest).max().unwrap_or(0);
        let found = notices.find(Millis(now), "e0");
        if leaves {
            prop_assert_eq!(found, Some(Notice::Leaving));
        } else if now < until {
            prop_assert_eq!(found, Some(Notice::Rest { until: Millis(until) }));
        } else {
            prop_assert!(found.is_none());
        }
    }

    /// Guards against a rest so long that the time at which it ends can't be told.
    #[test]
    fn a_rest_of_any_length_is_kept(rest in 1..=u64::MAX) {
        let mut notices = Notices::default();
        notices.record_rest(Millis(1), &target(), Millis(rest));
        prop_assert!(notices.find(Millis(1), "e0").is_some());
    }
}
