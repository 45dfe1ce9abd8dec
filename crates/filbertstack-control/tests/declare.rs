//! Declarations: compare-and-set, resends, validation and what followers get.

mod common;

use common::START;
use common::apply;
use common::furnished;
use common::reasons;
use common::revision;
use common::run;
use common::whole;
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
    run(state, START, Body::Apply(apply))
}

/// Two operators change the same revision. The log puts one first; the other is told who won
/// under which request, and nothing of its change is in force.
#[test]
fn race_under_one_number_has_one_winner() {
    let mut state = furnished();
    let won = declare(&mut state, apply("a", Some(0), &whole(1, 2)));
    let mut late = apply("b", Some(0), &whole(1, 3));
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

/// The operator loses the answer, the leader changes, the new one starts from a snapshot, and the
/// operator asks again: the first outcome comes back and nothing applies twice.
#[test]
fn resend_gets_first_outcome_after_snapshot() {
    let mut state = furnished();
    let first = declare(&mut state, apply("a", None, &whole(1, 2)));
    declare(&mut state, apply("b", Some(1), &whole(1, 3)));
    let mut other = ControlState::default();
    other.restore(&state.snapshot()).expect("a good snapshot");
    let again = declare(&mut other, apply("a", None, &whole(1, 2)));
    assert_eq!(first, again);
    assert_eq!(other.declared().revision(), 2);
    let reused = declare(&mut other, apply("a", None, &whole(1, 1)));
    insta::assert_snapshot!(reasons(&reused), @"this request identifier was used for another change: draw a new one");
}

/// A resend arrives after its identifier was forgotten and after another change. Without a
/// revision only the request's own time can tell: it is refused instead of undoing that change.
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
        // The requests of one moment: the mark of a forgotten one takes its fellows along.
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
    let held = declare(&mut state, apply("a", Some(0), &pool("v=1")));
    assert!(matches!(held.reply, Some(Reply::Conflict(_))), "{held:?}");
}

/// A client's clock runs a day ahead. Taking its stamp would make all honest ones look old once
/// it is forgotten, so it is refused.
#[test]
fn stamp_from_the_future_is_refused() {
    let mut state = furnished();
    let mut ahead = apply("a", None, &whole(1, 2));
    ahead.issued = START + 86_400_000;
    let outcome = declare(&mut state, ahead);
    assert!(reasons(&outcome).contains("set the client's clock"));
}

#[test]
fn every_reason_is_told_at_once() {
    let mut state = furnished();
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

/// Two deployments hold two versions of one model and one rule selects both: which version
/// answers would be left to chance. Apart by labels, both may stand.
#[test]
fn mixed_versions_behind_one_rule_are_refused() {
    let mut state = furnished();
    let second = whole(2, 1).replace("[deployment drafting]", "[deployment canary]");
    let both = whole(1, 1) + second.split("[pool").next().expect("the deployment");
    let mixed = declare(&mut state, apply("a", None, &both));
    assert!(reasons(&mixed).contains("several versions"), "{mixed:?}");
    let apart = both.replacen("team=drafting", "team=old", 1);
    let good = declare(&mut state, apply("b", None, &apart));
    assert_eq!(revision(&good), Some(1), "{good:?}");
}

/// The instances leave for good. A change of something else must still go in, and one that needs
/// the instances is refused.
#[test]
fn lost_instances_block_only_what_needs_them() {
    let mut state = furnished();
    declare(&mut state, apply("a", None, &whole(1, 3)));
    let gone = filbertstack_control::command::Register {
        instances: Vec::new(),
        gone: vec!["calgary-hall".into()],
    };
    run(&mut state, START, Body::Register(gone));
    let other = "[rule desk]\norder = 5\npath = /desk\ninstances = role=desk\n";
    assert_eq!(
        revision(&declare(&mut state, apply("b", None, other))),
        Some(2)
    );
    let same = declare(&mut state, apply("c", None, &whole(1, 3)));
    assert_eq!(revision(&same), Some(2), "no change takes no revision");
    let more = declare(&mut state, apply("d", None, &whole(2, 3)));
    assert!(reasons(&more).contains("3 replicas"), "{more:?}");
}

#[test]
fn declared_version_is_not_retired() {
    let mut state = furnished();
    declare(&mut state, apply("a", None, &whole(1, 2)));
    let retire = |n| {
        Body::Retire(Retire {
            root: common::version(n).to_vec(),
        })
    };
    let used = run(&mut state, START, retire(1));
    assert!(reasons(&used).contains("[deployment drafting]"));
    run(&mut state, START, retire(2));
    assert_eq!(state.catalogue().len(), 1);
}

/// A follower hears voters that lag, an old leader and a delta with a hole: it moves only
/// forward and ends with exactly what was accepted.
#[test]
fn follower_moves_only_forward() {
    let mut state = furnished();
    let mut follower = Follower::default();
    declare(&mut state, apply("a", None, &whole(1, 2)));
    let old = state.delta(0);
    declare(&mut state, apply("b", None, &whole(2, 2)));
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
    declare(&mut state, apply("d", None, &whole(1, 1)));
    let delta = state.delta(follower.revision());
    assert_eq!(delta.written.len(), 2, "the pool did not change");
    assert_eq!(follower.apply(&delta), Ok(true));
    assert_eq!(follower.declared(), state.declared().current());
}

/// An operator sends a value of a quarter of a megabyte. The refusal quotes only its beginning: the
/// state remembers thousands of refusals.
#[test]
fn refusals_are_short() {
    let mut state = furnished();
    let text = format!("[pool halls]\ninstances = {}\n", "?".repeat(200_000));
    let outcome = declare(&mut state, apply("a", None, &text));
    assert!(reasons(&outcome).chars().count() <= 600);
    let text = format!("{text}{}", "#".repeat(100_000));
    let outcome = declare(&mut state, apply("b", None, &text));
    assert!(reasons(&outcome).contains("more than 262144 bytes"));
}

/// A snapshot with a flipped bit or cut short is refused, and the state stays as it was.
#[test]
fn damaged_snapshot_changes_nothing() {
    let mut state = furnished();
    declare(&mut state, apply("a", None, &whole(1, 2)));
    let good = state.snapshot();
    for at in (0..good.len()).step_by(7) {
        let mut bad = good.clone();
        bad[at] ^= 0x40;
        let restored = state.restore(&bad);
        // What decodes and is canonical is another state, which the log's checksum tells apart.
        if restored.is_ok() {
            assert_eq!(state.snapshot(), bad);
            state.restore(&good).expect("the good one");
        }
        assert_eq!(state.snapshot(), good);
        assert!(state.restore(&good[..at]).is_err() || at == 0);
        state.restore(&good).expect("the good one");
    }
}
