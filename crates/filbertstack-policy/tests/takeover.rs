//! Tests when another target is asked to take over a stream.

use filbertstack_core::Millis;
use filbertstack_policy::takeover::Observed;
use filbertstack_policy::takeover::Reason;
use filbertstack_policy::takeover::find_reason;
use filbertstack_policy::takeover::is_held_back;
use filbertstack_policy::takeover::min_silence;

/// The longest pause between two events that the route declares.
const PAUSE: Millis = Millis(300);

/// Callers leave after this many pauses without an event.
const CALLER_PAUSES: u64 = 8;

fn observed(silence: u64) -> Observed {
    Observed {
        silence: Millis(silence),
        pause: PAUSE,
        unreachable: false,
        loading: None,
    }
}

/// Guards against a second prompt to read for each engine that reads many at once.
#[test]
fn a_target_that_pauses_for_a_while_is_left_alone() {
    assert_eq!(find_reason(&observed(2 * PAUSE.0)), None);
}

/// Guards against callers that leave before another target has read the prompt.
#[test]
fn another_target_is_asked_long_before_the_caller_leaves() {
    let first = (0..10_000).find(|ms| find_reason(&observed(*ms)) == Some(Reason::Silent));
    let first = first.expect("some time");
    assert!(first * 2 <= PAUSE.0 * CALLER_PAUSES, "{first} ms");
}

#[test]
fn a_target_that_is_silent_to_all_is_replaced_sooner() {
    let unreachable = |silence| Observed {
        unreachable: true,
        ..observed(silence)
    };
    let first = (0..10_000).find(|ms| find_reason(&unreachable(*ms)).is_some());
    let first = Millis(first.expect("some time"));
    assert_eq!(first, min_silence(PAUSE), "checks begin in time");
    assert_eq!(find_reason(&observed(first.0)), None);
}

/// Guards against an engine that is out of service until its longest stream has ended, and against streams that
/// are moved although they are about to end.
#[test]
fn streams_leave_an_engine_that_is_to_load_after_a_while() {
    let loading = |span| Observed {
        loading: Some(Millis(span)),
        ..observed(40)
    };
    assert_eq!(find_reason(&loading(100)), None);
    let first = (0..10_000).find(|ms| find_reason(&loading(*ms)) == Some(Reason::Loading));
    let first = first.expect("some time");
    assert!((300..=1_000).contains(&first), "{first} ms");
}

/// Guards against a caller that gets an event twice: the first target goes on while the other reads the prompt.
#[test]
fn events_are_held_back_while_a_stream_moves_from_an_engine_that_loads() {
    assert!(is_held_back(Reason::Loading, Millis(0)));
    assert!(is_held_back(Reason::Loading, Millis(300)));
}

/// Guards against a caller that leaves as its events are held back for a target that does not begin.
#[test]
fn events_are_held_back_for_less_time_than_callers_wait() {
    let released = (0..10_000).find(|ms| !is_held_back(Reason::Loading, Millis(*ms)));
    let released = released.expect("some time");
    assert!(released * 2 <= PAUSE.0 * CALLER_PAUSES, "{released} ms");
}

/// Guards against a caller that waits for another target although its own sends again.
#[test]
fn the_first_event_after_a_silence_is_passed_on() {
    assert!(!is_held_back(Reason::Silent, Millis(0)));
}
