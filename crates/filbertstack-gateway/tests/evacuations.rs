//! Tests the evacuated zones as one node knows them.

use filbertstack_control::document::ZoneRow;
use filbertstack_control::document::ZoneState;
use filbertstack_core::Millis;
use filbertstack_gateway::clock::Clock;
use filbertstack_gateway::control::declared::DeclaredState;
use filbertstack_gateway::control::evacuations::Evacuations;
use filbertstack_gateway::link::messages::Interest;
use filbertstack_gateway::link::messages::Notification;
use filbertstack_gateway::link::messages::WithdrawnZone;

fn state(revision: u64, zones: &[&str]) -> ZoneState {
    let zones = zones.iter().map(|zone| ZoneRow {
        zone: (*zone).to_owned(),
        evacuated: true,
        changed: revision,
    });
    ZoneState {
        revision,
        zones: zones.collect(),
    }
}

/// Guards against an entry that fails over to a voter that lags behind and sends to an evacuated zone again.
#[test]
fn a_lower_revision_is_ignored() {
    let mut known = Evacuations::default();
    assert!(known.update(Millis(1), &state(5, &["a"]), &[]));
    for lagging in [state(4, &[]), state(0, &[]), state(5, &["b"])] {
        assert!(!known.update(Millis(2), &lagging, &[]), "{lagging:?}");
    }
    assert!(known.contains("a") && !known.contains("b"));
    assert_eq!(known.withdrawn_at("a"), None);
}

/// Guards against targets that count as warm although their zone has just returned, also at an entry that starts
/// after the withdrawal and learns of it from a voter.
#[test]
fn the_end_of_an_evacuation_is_remembered_for_a_while() {
    let mut voter = Evacuations::default();
    voter.update(Millis(100), &state(5, &["a", "b"]), &[]);
    voter.update(Millis(400), &state(6, &["b"]), &[]);
    assert_eq!(voter.withdrawn_at("a"), Some(Millis(400)));
    assert_eq!(voter.withdrawn_at("b"), None);
    let mut started = Evacuations::default();
    let told = voter.withdrawn(Millis(900));
    started.update(Millis(2_000), voter.state(), &told);
    assert_eq!(started.withdrawn_at("a"), Some(Millis(1_500)));
    let old = [WithdrawnZone {
        zone: "a".into(),
        age_ms: u64::MAX,
    }];
    started.update(Millis(2_500), &state(7, &[]), &old);
    assert_eq!(started.withdrawn_at("a"), Some(Millis(1_500)), "the later");
    assert_eq!(started.withdrawn_at("b"), Some(Millis(2_500)));
    started.update(Millis(3_000), &state(8, &["a"]), &[]);
    assert_eq!(started.withdrawn_at("a"), None, "evacuated again");
    let later = Millis::secs(3_600);
    assert_eq!(voter.withdrawn(later), [], "too long ago");
}

/// Guards against a follower that takes the state of a voter without a state for the whole, and routes requests by
/// the document that arrives next before it knows the evacuations.
#[test]
fn a_voter_without_a_state_tells_followers_nothing() {
    let declared = DeclaredState::new(Clock::default(), Millis::secs(8));
    assert_eq!(declared.updates_since(0, Interest::All), []);
    declared.update_zones(&state(5, &["a"]), &[]);
    declared.update(None, Vec::new());
    let news = declared.updates_since(0, Interest::All);
    let [Notification::Declared(told)] = &news[..] else {
        panic!("{news:?}");
    };
    assert_eq!(told.zones, Some(state(5, &["a"])));
}
