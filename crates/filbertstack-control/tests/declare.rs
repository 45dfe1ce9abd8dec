//! Tests declarations: compare-and-set, resends, validation and the deltas for followers.

mod common;

use common::START_MS;
use common::apply;
use common::full_declarations;
use common::populated_state;
use common::reasons;
use common::revision;
use common::run;
use filbertstack_control::ControlState;
use filbertstack_control::Limits;
use filbertstack_control::command::Apply;
use filbertstack_control::command::Body;
use filbertstack_control::command::Kind;
use filbertstack_control::command::Object;
use filbertstack_control::command::Retire;
use filbertstack_control::outcome::Reply;
use filbertstack_control::view::DeltaError;
use filbertstack_control::view::Follower;

fn declare(state: &mut ControlState, apply: Apply) -> filbertstack_control::outcome::Outcome {
    run(state, START_MS, Body::Apply(apply))
}

/// Guards against a lost update when two operators change the same revision. The later change in the log
/// gets a conflict that names the accepted change, and no part of the later change is in force.
#[test]
fn concurrent_changes_of_one_revision_accept_only_one() {
    let mut state = populated_state();
    let won = declare(&mut state, apply("a", Some(0), &full_declarations(1, 2)));
    let mut late = apply("b", Some(0), &full_declarations(1, 3));
    late.operator = "bob".into();
    let lost = declare(&mut state, late);
    assert_eq!(revision(&won), Some(1));
    let Some(Reply::Conflict(conflict)) = lost.reply else {
        panic!("{lost:?}");
    };
    let winner = conflict.won.expect("the winner is known");
    assert_eq!((conflict.current, winner.operator.as_str()), (1, "ann"));
    assert_eq!(winner.request, "a");
    let deployment = state.declared().current().deployments.values().next();
    assert_eq!(deployment.map(|d| d.replicas), Some(2));
}

/// Guards against applying a resend twice. The operator does not get the answer, and the new leader starts
/// from a snapshot. The resend gets the first outcome.
#[test]
fn resend_gets_first_outcome_after_snapshot() {
    let mut state = populated_state();
    let first = declare(&mut state, apply("a", None, &full_declarations(1, 2)));
    declare(&mut state, apply("b", Some(1), &full_declarations(1, 3)));
    let mut other = ControlState::default();
    other.restore(&state.snapshot()).expect("a good snapshot");
    let again = declare(&mut other, apply("a", None, &full_declarations(1, 2)));
    assert_eq!(first, again);
    assert_eq!(other.declared().revision(), 2);
    let reused = declare(&mut other, apply("a", None, &full_declarations(1, 1)));
    insta::assert_snapshot!(reasons(&reused), @"this request identifier was used for another change: draw a new one");
}

/// Guards against a resend that undoes a later change. It arrives after its identifier was forgotten, and it
/// gives no expected revision, so only its own time shows that it is old.
#[test]
fn forgotten_request_never_applies_again() {
    let limits = Limits {
        requests: 2,
        ..Limits::DEFAULT
    };
    let mut state = ControlState::with_limits(limits);
    let pool = |labels: &str| format!("[pool halls]\nlabels = {labels}\ninstances = role=llm\n");
    for (request, labels) in [("a", "v=1"), ("b", "v=2"), ("c", "v=3")] {
        let outcome = declare(&mut state, apply(request, None, &pool(labels)));
        // All requests have the same time, so forgetting one makes the state refuse the others as old.
        assert!(
            revision(&outcome).is_some() || request == "c",
            "{outcome:?}"
        );
    }
    let again = declare(&mut state, apply("a", None, &pool("v=1")));
    assert!(
        reasons(&again).starts_with("the request is older"),
        "{again:?}"
    );
    let conditional = declare(&mut state, apply("a", Some(0), &pool("v=1")));
    assert!(
        matches!(conditional.reply, Some(Reply::Conflict(_))),
        "{conditional:?}"
    );
}

/// Guards against a client whose clock runs a day ahead. Once its request is forgotten, its time would make
/// all requests with a correct time look old.
#[test]
fn request_with_a_future_time_is_refused() {
    let mut state = populated_state();
    let mut ahead = apply("a", None, &full_declarations(1, 2));
    ahead.issued = START_MS + 86_400_000;
    let outcome = declare(&mut state, ahead);
    assert!(reasons(&outcome).contains("set the client's clock"));
}

#[test]
fn all_reasons_are_returned_at_once() {
    let mut state = populated_state();
    let text = "[deployment a]\nlabels = team=x\nmodel = draft\n\
         version = 0000000000000000000000000000000000000000000000000000000000000000\n\
         replicas = 9\nmemory = 32GiB\npools = tier=large\n\
         [deployment b]\nmodel = draft\n\
         version = 0000000000000000000000000000000000000000000000000000000000000000\n\
         replicas = 1\npools = teir=large\n\
         [pool halls]\nlabels = tier=large\ninstances = role=llm, zone notin (calgary-hall)\n\
         [pool odd]\nlabels = tier=odd\ninstances = rack=r1\n\
         [rule none]\nrequests = model=other\ndeployments = team=x\n\
         [rule service]\nrequests = model=other, kind=y\ninstances = role=dsk\n\
         [rule odd]\norder = 3\nrequests = model=a, model=b\ninstances = role=desk\n";
    let mut change = apply("a", None, text);
    change.removals = vec![
        Object::new(Kind::Pool, "none"),
        Object::new(Kind::Pool, "odd"),
    ];
    let first = declare(&mut state, change);
    insta::assert_snapshot!("removals", reasons(&first));
    let second = declare(&mut state, apply("b", None, text));
    insta::assert_snapshot!("reasons", reasons(&second));
    assert_eq!(state.declared().revision(), 0);
}

/// Guards against a rule that selects two versions of one model, so that it is random which version answers.
/// With different labels, both deployments may be declared.
#[test]
fn mixed_versions_behind_one_rule_are_refused() {
    let mut state = populated_state();
    let second = full_declarations(2, 1).replace("[deployment drafting]", "[deployment canary]");
    let both = full_declarations(1, 1) + second.split("[pool").next().expect("the deployment");
    let mixed = declare(&mut state, apply("a", None, &both));
    assert!(reasons(&mixed).contains("several versions"), "{mixed:?}");
    let apart = both.replacen("team=drafting", "team=old", 1);
    let good = declare(&mut state, apply("b", None, &apart));
    assert_eq!(revision(&good), Some(1), "{good:?}");
}

/// Guards against instances that have left and block changes of other objects. A change that needs the
/// instances is refused.
#[test]
fn lost_instances_block_only_changes_that_need_them() {
    let mut state = populated_state();
    declare(&mut state, apply("a", None, &full_declarations(1, 3)));
    let gone = filbertstack_control::command::Register {
        instances: Vec::new(),
        gone: vec!["calgary-hall".into()],
    };
    run(&mut state, START_MS, Body::Register(gone));
    let other = "[rule desk]\norder = 5\npath = /desk\ninstances = role=desk\n";
    assert_eq!(
        revision(&declare(&mut state, apply("b", None, other))),
        Some(2)
    );
    let same = declare(&mut state, apply("c", None, &full_declarations(1, 3)));
    assert_eq!(revision(&same), Some(2), "no change takes no revision");
    let more = declare(&mut state, apply("d", None, &full_declarations(2, 3)));
    assert!(reasons(&more).contains("3 replicas"), "{more:?}");
}

#[test]
fn declared_version_is_not_retired() {
    let mut state = populated_state();
    declare(&mut state, apply("a", None, &full_declarations(1, 2)));
    let retire = |n| {
        Body::Retire(Retire {
            root: common::version(n).to_vec(),
        })
    };
    let used = run(&mut state, START_MS, retire(1));
    assert!(reasons(&used).contains("[deployment drafting]"));
    run(&mut state, START_MS, retire(2));
    assert_eq!(state.catalogue().len(), 1);
}

/// Guards against a follower that moves back to an older revision or skips changes. It gets an old delta and
/// one that starts too late, and ends with exactly the accepted declarations.
#[test]
fn follower_never_moves_back() {
    let mut state = populated_state();
    let mut follower = Follower::default();
    declare(&mut state, apply("a", None, &full_declarations(1, 2)));
    let old = state.delta(0);
    declare(&mut state, apply("b", None, &full_declarations(2, 2)));
    let mut removal = apply("c", None, "");
    removal.removals = vec![Object::new(Kind::Rule, "drafting")];
    declare(&mut state, removal);
    assert_eq!(
        follower.apply(&state.delta(2)),
        Err(DeltaError::Gap { from: 2, have: 0 })
    );
    assert_eq!(follower.apply(&state.delta(0)), Ok(true));
    assert_eq!(
        follower.apply(&old),
        Err(DeltaError::Behind { term: 0, to: 1 })
    );
    assert_eq!(follower.declared(), state.declared().current());
    declare(&mut state, apply("d", None, &full_declarations(1, 1)));
    let delta = state.delta(follower.revision());
    assert_eq!(delta.written.len(), 2, "the pool did not change");
    assert_eq!(follower.apply(&delta), Ok(true));
    assert_eq!(follower.declared(), state.declared().current());
}

/// Guards against refusals that fill the memory. The state remembers thousands of them, so the refusal of a
/// value of a quarter of a megabyte quotes only the beginning of the value.
#[test]
fn refusals_quote_only_the_beginning_of_a_value() {
    let mut state = populated_state();
    let text = format!("[pool halls]\ninstances = {}\n", "?".repeat(200_000));
    let outcome = declare(&mut state, apply("a", None, &text));
    assert!(reasons(&outcome).chars().count() <= 600);
    let text = format!("{text}{}", "#".repeat(100_000));
    let outcome = declare(&mut state, apply("b", None, &text));
    assert!(reasons(&outcome).contains("more than 262144 bytes"));
}

/// Guards against restoring a snapshot with a flipped bit or a truncated one. The state stays as it was.
#[test]
fn damaged_snapshot_changes_nothing() {
    let mut state = populated_state();
    declare(&mut state, apply("a", None, &full_declarations(1, 2)));
    let good = state.snapshot();
    for at in (0..good.len()).step_by(7) {
        let mut bad = good.clone();
        bad[at] ^= 0x40;
        let restored = state.restore(&bad);
        // A canonical snapshot that decodes is a valid other state; the log's checksum detects the change.
        if restored.is_ok() {
            assert_eq!(state.snapshot(), bad);
            state.restore(&good).expect("the good one");
        }
        assert_eq!(state.snapshot(), good);
        assert!(state.restore(&good[..at]).is_err() || at == 0);
        state.restore(&good).expect("the good one");
    }
}
