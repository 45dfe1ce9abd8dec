//! Claims of idempotency keys: room, windows and what callers are told.

use filbertstack_control::ControlState;
use filbertstack_control::Limits;
use filbertstack_control::command::Answer;
use filbertstack_control::command::Body;
use filbertstack_control::command::Claim;
use filbertstack_control::command::Command;
use filbertstack_control::command::Release;
use filbertstack_control::command::Settle;
use filbertstack_control::outcome::Decision;
use filbertstack_control::outcome::Outcome;
use filbertstack_control::outcome::Reply;

const START: u64 = 1_700_000_000_000;
const HOUR: u64 = 3_600_000;

fn run(state: &mut ControlState, now: u64, body: Body) -> Outcome {
    let index = state.index() + 1;
    state.apply(index, &Command::new(now, body).to_bytes())
}

fn small() -> ControlState {
    ControlState::with_limits(Limits {
        claims: 16,
        org_claims: 8,
        answers: 100,
        ..Limits::DEFAULT
    })
}

fn claim_of(organisation: &str, key: &str, issued: Option<u64>, now: u64) -> Claim {
    Claim {
        organisation: organisation.into(),
        key: key.into(),
        issued,
        body: vec![7; 32],
        entry: 1,
        attempt: now,
        until: now + 60_000,
        life: 24 * HOUR,
    }
}

fn claim(state: &mut ControlState, now: u64, claim: Claim) -> Decision {
    match run(state, now, Body::Claim(claim)).reply {
        Some(Reply::Claimed(claimed)) => claimed.decision.expect("a decision"),
        other => panic!("{other:?}"),
    }
}

fn settle(state: &mut ControlState, now: u64, key: &str, fence: u64, len: usize) {
    let answer = Answer {
        status: 200,
        digest: vec![1; 32],
        bytes: Some(vec![9; len]),
    };
    let settle = Settle {
        organisation: "prairie".into(),
        key: key.into(),
        fence,
        answer: Some(answer),
    };
    run(state, now, Body::Settle(settle));
}

fn granted(decision: &Decision) -> u64 {
    match decision {
        Decision::Granted(fence) => *fence,
        other => panic!("{other:?}"),
    }
}

/// In overload hundreds of requests are claimed, refused as "not run" and given back. They must
/// not fill the room for hours: what ran keeps its row, and a new booking finds room.
#[test]
fn claims_given_back_leave_room() {
    let mut state = small();
    let fence = granted(&claim(
        &mut state,
        START,
        claim_of("prairie", "ran", None, START),
    ));
    settle(&mut state, START, "ran", fence, 5);
    for n in 0..200 {
        let now = START + n * 20_000;
        let key = format!("k{n}");
        let fence = granted(&claim(
            &mut state,
            now,
            claim_of("prairie", &key, None, now),
        ));
        let release = Release {
            organisation: "prairie".into(),
            key,
            fence,
        };
        run(&mut state, now, Body::Release(release));
    }
    let now = START + 2 * HOUR;
    let again = claim(&mut state, now, claim_of("prairie", "ran", None, now));
    assert!(matches!(again, Decision::Ran(_)), "{again:?}");
}

/// One organisation claims more keys than it has room for. Plain ones are refused with a time to
/// come back and none is forgotten; another organisation is not touched by it.
#[test]
fn full_room_refuses_and_forgets_no_plain_key() {
    let mut state = small();
    for n in 0..8 {
        granted(&claim(
            &mut state,
            START,
            claim_of("loud", &format!("k{n}"), None, START),
        ));
    }
    let full = claim(&mut state, START, claim_of("loud", "k8", None, START));
    let Decision::Full(wait) = full else {
        panic!("{full:?}");
    };
    assert!(wait >= 1000);
    granted(&claim(
        &mut state,
        START,
        claim_of("quiet", "k0", None, START),
    ));
    let known = claim(
        &mut state,
        START + 1,
        claim_of("loud", "k0", None, START + 1),
    );
    assert!(matches!(known, Decision::InProgress(_)), "{known:?}");
}

/// Keys with a time make room for newer ones. A resend of a forgotten key is told that it is too
/// old, and never runs again.
#[test]
fn forgotten_key_with_a_time_is_expired() {
    let mut state = small();
    for n in 0..12 {
        let now = START + n;
        let key = format!("k{n}");
        let fence = granted(&claim(
            &mut state,
            now,
            claim_of("prairie", &key, Some(now), now),
        ));
        settle(&mut state, now, &key, fence, 5);
    }
    let now = START + 100;
    let old = claim(&mut state, now, claim_of("prairie", "k0", Some(START), now));
    assert!(matches!(old, Decision::Expired(_)), "{old:?}");
    let new = claim(
        &mut state,
        now,
        claim_of("prairie", "k11", Some(START + 11), now),
    );
    assert!(matches!(new, Decision::Ran(_)), "{new:?}");
}

/// Answers are dropped before rows: a resend still learns that it ran, and with which digest.
#[test]
fn dropped_answer_keeps_its_digest() {
    let mut state = small();
    for key in ["a", "b", "c"] {
        let fence = granted(&claim(
            &mut state,
            START,
            claim_of("prairie", key, None, START),
        ));
        settle(&mut state, START, key, fence, 40);
    }
    let kept = ["a", "b", "c"].map(|key| {
        match claim(
            &mut state,
            START + 1,
            claim_of("prairie", key, None, START + 1),
        ) {
            Decision::Ran(answer) => (answer.bytes.map(|b| b.len()), answer.digest.len()),
            other => panic!("{other:?}"),
        }
    });
    assert_eq!(kept, [(None, 32), (Some(40), 32), (Some(40), 32)]);
    assert_eq!(state.claims().counts().answers, 80);
}

/// An entry claims, then says nothing more. Once the request's deadline has passed the key is
/// unknown, and stays so; only the attempt itself may still say how it ended.
#[test]
fn silent_attempt_leaves_the_key_unknown() {
    let mut state = small();
    let fence = granted(&claim(
        &mut state,
        START,
        claim_of("prairie", "k", None, START),
    ));
    let now = START + 60_001;
    let unknown = claim(&mut state, now, claim_of("prairie", "k", None, now));
    assert!(matches!(unknown, Decision::Unknown(_)), "{unknown:?}");
    settle(&mut state, now, "k", fence, 5);
    let ran = claim(&mut state, now + 1, claim_of("prairie", "k", None, now + 1));
    assert!(matches!(ran, Decision::Ran(_)), "{ran:?}");
}

/// An entry's claim is under way when the leader changes, and the entry gives up: nothing was sent
/// to a target. It abandons the attempt, which holds whichever of the two arrives first, and the
/// caller's resend runs at once instead of finding the key unknown.
#[test]
fn abandoned_attempt_frees_the_key_in_any_order() {
    for claim_first in [true, false] {
        let mut state = small();
        let lost = claim_of("prairie", "k", None, START);
        if claim_first {
            granted(&claim(&mut state, START, lost.clone()));
        }
        run(&mut state, START, Body::Abandon(lost.clone()));
        let late = claim(&mut state, START, lost);
        assert!(!matches!(late, Decision::Granted(_)), "{late:?}");
        let resend = claim_of("prairie", "k", None, START + 1);
        granted(&claim(&mut state, START + 1, resend));
    }
}
