//! Tests of the one question that each way to a target asks.

use filbertstack_core::ContentDigest;
use filbertstack_core::Millis;
use filbertstack_policy::crashes::Suspect;
use filbertstack_policy::crashes::Verdict;
use filbertstack_policy::permit::Obstacle;
use filbertstack_policy::permit::Permit;
use filbertstack_policy::permit::Way;
use filbertstack_policy::permit::may_send;
use filbertstack_policy::permit::may_send_to;

const WAYS: [Way; 4] = [Way::New, Way::Retry, Way::Resume, Way::Resend];

fn refused() -> Verdict {
    Verdict::Refused {
        retry_after: Millis::secs(5),
        suspect: Suspect::Part(ContentDigest::of_part("p")),
    }
}

/// Guards against a way to a target by which a request that crashes targets still gets there.
#[test]
fn a_refused_request_is_sent_nowhere_by_any_way() {
    for way in WAYS {
        for obstacle in [None, Some(Obstacle::Leaves)] {
            let permit = may_send_to(way, refused(), obstacle);
            assert!(matches!(permit, Permit::Nowhere { .. }), "{way:?}");
            let why = permit.denial().expect("a denial");
            assert!(why.contains("a part of the prompt"), "{why}");
        }
    }
    assert_eq!(may_send(refused()), may_send_to(Way::New, refused(), None));
}

/// Guards against a way to a target by which requests reach it although it wants none.
#[test]
fn what_a_target_wants_holds_on_every_way() {
    let wishes = [
        Obstacle::Evacuated,
        Obstacle::Leaves,
        Obstacle::Rests(Millis::secs(9)),
        Obstacle::TakesNoWork,
        Obstacle::Cold(Millis::secs(2)),
    ];
    for way in WAYS {
        for wish in wishes {
            let permit = may_send_to(way, Verdict::Allowed, Some(wish));
            assert_eq!(permit, Permit::NotThere(wish), "{way:?}");
            let probe = may_send_to(way, Verdict::Probe, Some(wish));
            assert_eq!(probe, Permit::NotThere(wish), "a probe asks as well");
        }
    }
}

/// Guards against a request that is denied the place in a limit, or the probe, for which its target was chosen,
/// and against one that is sent once more without a place.
#[test]
fn what_was_weighed_in_the_choice_holds_for_a_resend_only() {
    for way in WAYS {
        let limit = may_send_to(way, Verdict::Allowed, Some(Obstacle::LimitReached));
        assert_eq!(limit == Permit::Send, way != Way::Resend, "{way:?}");
        for chosen in [Obstacle::Ejected, Obstacle::Paused] {
            let permit = may_send_to(way, Verdict::Allowed, Some(chosen));
            assert_eq!(permit, Permit::Send, "{way:?}");
        }
    }
}

/// Guards against denials that logs and metrics cannot tell apart.
#[test]
fn each_denial_names_its_own_reason() {
    let obstacles = [
        Obstacle::Evacuated,
        Obstacle::TakesNoWork,
        Obstacle::Leaves,
        Obstacle::Rests(Millis(1)),
        Obstacle::Ejected,
        Obstacle::Paused,
        Obstacle::LimitReached,
        Obstacle::Cold(Millis(1)),
        Obstacle::NotAllowed,
    ];
    let mut names: Vec<&str> = obstacles.iter().map(|o| o.name()).collect();
    names.extend(may_send(refused()).denial());
    let count = names.len();
    names.sort_unstable();
    names.dedup();
    assert_eq!((names.len(), count), (10, 10));
    assert_eq!(Permit::Send.denial().or(Permit::Probe.denial()), None);
    let ways: std::collections::BTreeSet<&str> = WAYS.iter().map(|way| way.name()).collect();
    assert_eq!(ways.len(), WAYS.len());
}
