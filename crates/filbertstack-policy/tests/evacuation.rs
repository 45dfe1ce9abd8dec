//! Tests of an evacuated availability zone, judged by where requests go and what callers are told.

mod plain;

use filbertstack_core::Millis;
use filbertstack_policy::dispatch::AttemptEnd;
use filbertstack_policy::dispatch::ChooseError;
use filbertstack_policy::dispatch::Dispatcher;
use filbertstack_policy::dispatch::TargetSpec;
use filbertstack_policy::permit::Obstacle;
use plain::choose;
use plain::dispatcher;
use plain::spec;

fn place(dispatcher: &mut Dispatcher, evacuated: &[&str], others: &[&str]) {
    let evacuated = evacuated.iter().map(|id| TargetSpec {
        evacuated: true,
        replaced: None,
        ..spec(id)
    });
    let others = others.iter().map(|id| spec(id));
    dispatcher.set_targets(evacuated.chain(others).collect());
}

/// Guards against requests at targets of an evacuated zone: those that were known before, one that failed and is
/// due for a probe, and one that starts during the evacuation.
#[test]
fn targets_of_an_evacuated_zone_get_nothing() {
    let mut dispatcher = dispatcher(&["a-1", "a-2", "b-1"]);
    for _ in 0..50 {
        dispatcher.count_sent(Millis(1), "a-2", 0);
        dispatcher.count_end(Millis(1), "a-2", 0, AttemptEnd::Failed);
    }
    place(&mut dispatcher, &["a-1", "a-2", "a-3"], &["b-1"]);
    for now in 0..600 {
        let chosen = choose(&mut dispatcher, Millis(now * 100));
        assert_eq!(chosen.as_deref(), Ok("b-1"));
    }
    for id in ["a-1", "a-2", "a-3"] {
        let obstacle = dispatcher.obstacle(Millis(1), id);
        assert_eq!(obstacle, Some(Obstacle::Evacuated), "{id}");
    }
}

/// Guards against callers that wait for a target until they leave, although all are evacuated. They are told the
/// reason at once, and served as soon as one zone returns.
#[test]
fn callers_of_a_service_without_other_targets_are_refused_for_the_reason() {
    let mut dispatcher = dispatcher(&["a-1", "b-1"]);
    place(&mut dispatcher, &["a-1", "b-1"], &[]);
    let refused = choose(&mut dispatcher, Millis(1)).expect_err("all are evacuated");
    assert!(
        matches!(refused, ChooseError::Evacuated { .. }),
        "{refused:?}"
    );
    assert!(refused.retry_after() > Millis::ZERO);
    place(&mut dispatcher, &["a-1"], &["b-1"]);
    let chosen = choose(&mut dispatcher, Millis(2));
    assert_eq!(chosen.as_deref(), Ok("b-1"));
    place(&mut dispatcher, &[], &[]);
    let gone = choose(&mut dispatcher, Millis(3)).expect_err("none is known");
    assert!(matches!(gone, ChooseError::NoTarget { .. }), "{gone:?}");
}
