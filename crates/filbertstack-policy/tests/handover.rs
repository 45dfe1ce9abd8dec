//! Tests how a target shows that it reads before it gets the whole of a request.

use filbertstack_core::Millis;
use filbertstack_policy::begin::Replaced;
use filbertstack_policy::handover::Handover;
use filbertstack_policy::handover::Sign;
use filbertstack_policy::handover::handover;
use filbertstack_policy::rollout::begin_within;

const REPLACED: Option<Replaced> = Some(Replaced {
    begin_by: Millis(8_000),
    bound: Millis(10_000),
});

/// Guards against a round trip for each request at targets that may begin at any time.
#[test]
fn a_target_of_the_newest_version_gets_requests_at_once() {
    for sign in [Sign::Interim, Sign::Call] {
        assert_eq!(handover(None, sign, true), None);
        assert_eq!(handover(None, sign, false), None);
    }
}

/// Guards against a target that counts its limit from a moment at which the margin for the transfer is used up.
#[test]
fn head_and_body_together_take_no_longer_than_the_margin() {
    let bound = Millis::secs(10);
    let named = [(2, Millis::ZERO)].into_iter();
    let left = begin_within(named, 1, bound).expect("a newer version");
    let margin = bound.since(left);
    for sign in [Sign::Interim, Sign::Call] {
        let Handover { give_up, .. } = handover(REPLACED, sign, true).expect("replaced");
        assert!(give_up.0 * 2 <= margin.0, "{give_up:?} of {margin:?}");
    }
}

/// Guards against an engine that sends no interim answer and is asked for one with each request, and against a request
/// without a body that asks for one, which HTTP forbids.
#[test]
fn a_target_that_sends_no_interim_answer_is_called_at_once() {
    let called = Handover {
        interim: false,
        call_after: Millis::ZERO,
        give_up: Millis(200),
    };
    assert_eq!(handover(REPLACED, Sign::Call, true), Some(called));
    assert_eq!(handover(REPLACED, Sign::Interim, false), Some(called));
    let asked = handover(REPLACED, Sign::Interim, true).expect("replaced");
    assert!(asked.interim && asked.call_after > Millis::ZERO && asked.call_after < asked.give_up);
}
