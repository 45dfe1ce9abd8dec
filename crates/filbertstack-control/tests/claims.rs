//! Tests the claims of idempotency keys: their limits, their expiry and the decisions that callers get.

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

const START_MS: u64 = 1_700_000_000_000;
const HOUR_MS: u64 = 3_600_000;

fn run(state: &mut ControlState, now: u64, body: Body) -> Outcome {
    let index = state.index() + 1;
    state.apply(index, &Command::new(now, body).to_bytes())
}

fn small_state() -> ControlState {
    ControlState::with_limits(Limits {
        claims: 16,
        org_claims: 8,
        answer_bytes: 100,
        ..Limits::DEFAULT
    })
}

fn new_claim(organisation: &str, key: &str, issued: Option<u64>, now: u64) -> Claim {
    Claim {
        organisation: organisation.into(),
        key: key.into(),
        issued,
        body: vec![7; 32],
        entry: 1,
        attempt: now,
        until: now + 60_000,
        life: 24 * HOUR_MS,
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

fn expect_granted(decision: &Decision) -> u64 {
    match decision {
        Decision::Granted(fence) => *fence,
        other => panic!("{other:?}"),
    }
}

/// Guards against released claims that take room for hours. In overload, hundreds of requests are claimed,
/// refused as "not run" and released. The key whose request ran keeps its row, and new claims find room.
#[test]
fn released_claims_leave_room() {
    let mut state = small_state();
    let fence = expect_granted(&claim(
        &mut state,
        START_MS,
        new_claim("prairie", "ran", None, START_MS),
    ));
    settle(&mut state, START_MS, "ran", fence, 5);
    for n in 0..200 {
        let now = START_MS + n * 20_000;
        let key = format!("k{n}");
        let fence = expect_granted(&claim(
            &mut state,
            now,
            new_claim("prairie", &key, None, now),
        ));
        let release = Release {
            organisation: "prairie".into(),
            key,
            fence,
        };
        run(&mut state, now, Body::Release(release));
    }
    let now = START_MS + 2 * HOUR_MS;
    let again = claim(&mut state, now, new_claim("prairie", "ran", None, now));
    assert!(matches!(again, Decision::Ran(_)), "{again:?}");
}

/// Guards against forgetting plain keys, and against one organisation that takes the room of another. When
/// an organisation claims more keys than it may, further claims are refused with a time to retry.
#[test]
fn full_organisation_is_refused_and_keeps_plain_keys() {
    let mut state = small_state();
    for n in 0..8 {
        expect_granted(&claim(
            &mut state,
            START_MS,
            new_claim("loud", &format!("k{n}"), None, START_MS),
        ));
    }
    let full = claim(
        &mut state,
        START_MS,
        new_claim("loud", "k8", None, START_MS),
    );
    let Decision::Full(wait) = full else {
        panic!("{full:?}");
    };
    assert!(wait >= 1000);
    expect_granted(&claim(
        &mut state,
        START_MS,
        new_claim("quiet", "k0", None, START_MS),
    ));
    let known = claim(
        &mut state,
        START_MS + 1,
        new_claim("loud", "k0", None, START_MS + 1),
    );
    assert!(matches!(known, Decision::InProgress(_)), "{known:?}");
}

/// Guards against a second run of a key that was forgotten to make room for newer keys. Keys that contain
/// their time may be forgotten early; a resend of such a key is refused as expired.
#[test]
fn forgotten_timed_key_is_refused_as_expired() {
    let mut state = small_state();
    for n in 0..12 {
        let now = START_MS + n;
        let key = format!("k{n}");
        let fence = expect_granted(&claim(
            &mut state,
            now,
            new_claim("prairie", &key, Some(now), now),
        ));
        settle(&mut state, now, &key, fence, 5);
    }
    let now = START_MS + 100;
    let old = claim(
        &mut state,
        now,
        new_claim("prairie", "k0", Some(START_MS), now),
    );
    assert!(matches!(old, Decision::Expired(_)), "{old:?}");
    let new = claim(
        &mut state,
        now,
        new_claim("prairie", "k11", Some(START_MS + 11), now),
    );
    assert!(matches!(new, Decision::Ran(_)), "{new:?}");
}

/// Guards against forgetting a run together with its answer. Only the bytes of the answer are dropped: a
/// resend still gets the status and the digest.
#[test]
fn dropped_answer_keeps_its_digest() {
    let mut state = small_state();
    for key in ["a", "b", "c"] {
        let fence = expect_granted(&claim(
            &mut state,
            START_MS,
            new_claim("prairie", key, None, START_MS),
        ));
        settle(&mut state, START_MS, key, fence, 40);
    }
    let kept = ["a", "b", "c"].map(|key| {
        match claim(
            &mut state,
            START_MS + 1,
            new_claim("prairie", key, None, START_MS + 1),
        ) {
            Decision::Ran(answer) => (answer.bytes.map(|b| b.len()), answer.digest.len()),
            other => panic!("{other:?}"),
        }
    });
    assert_eq!(kept, [(None, 32), (Some(40), 32), (Some(40), 32)]);
    assert_eq!(state.claims().counts().answer_bytes, 80);
}

/// Guards against a second run of a key whose entry claims it and never settles it. After the request's
/// deadline the key is unknown. Only the attempt that holds the claim may still settle it.
#[test]
fn unsettled_claim_leaves_the_key_unknown() {
    let mut state = small_state();
    let fence = expect_granted(&claim(
        &mut state,
        START_MS,
        new_claim("prairie", "k", None, START_MS),
    ));
    let now = START_MS + 60_001;
    let unknown = claim(&mut state, now, new_claim("prairie", "k", None, now));
    assert!(matches!(unknown, Decision::Unknown(_)), "{unknown:?}");
    settle(&mut state, now, "k", fence, 5);
    let ran = claim(
        &mut state,
        now + 1,
        new_claim("prairie", "k", None, now + 1),
    );
    assert!(matches!(ran, Decision::Ran(_)), "{ran:?}");
}

/// Guards against a key that becomes unknown although nothing ran. The leader changes while a claim is on
/// its way; the entry has sent nothing to a target and abandons the claim. Whichever of the two commands is
/// applied first, the caller's resend is granted at once.
#[test]
fn abandoned_claim_frees_the_key_in_any_order() {
    for claim_first in [true, false] {
        let mut state = small_state();
        let lost = new_claim("prairie", "k", None, START_MS);
        if claim_first {
            expect_granted(&claim(&mut state, START_MS, lost.clone()));
        }
        run(&mut state, START_MS, Body::Abandon(lost.clone()));
        let late = claim(&mut state, START_MS, lost);
        assert!(!matches!(late, Decision::Granted(_)), "{late:?}");
        let resend = new_claim("prairie", "k", None, START_MS + 1);
        expect_granted(&claim(&mut state, START_MS + 1, resend));
    }
}
