//! Tests the evacuated zones in the state machine.

use filbertstack_control::document::Change;
use filbertstack_control::document::Documents;
use filbertstack_control::document::Effect;
use filbertstack_control::document::Kind;
use filbertstack_control::document::ZoneChange;
use filbertstack_control::document::ZoneRow;
use filbertstack_control::document::ZoneState;
use prost::Message as _;

fn change(zone: &str, evacuated: bool, known: Option<ZoneState>) -> Vec<u8> {
    let zone = zone.to_owned();
    let kind = Some(Kind::Zone(ZoneChange {
        zone,
        evacuated,
        known,
    }));
    Change { kind }.encode_to_vec()
}

/// Returns a state whose evacuated zones changed at the given revisions.
fn state(revision: u64, zones: &[(&str, u64)]) -> ZoneState {
    let zones = zones.iter().map(|(zone, changed)| ZoneRow {
        zone: (*zone).to_owned(),
        evacuated: true,
        changed: *changed,
    });
    ZoneState {
        revision,
        zones: zones.collect(),
    }
}

/// Returns a state in which `a` and `b` are evacuated, `b` by the command at index 7.
fn two_evacuated() -> Documents {
    let mut documents = Documents::default();
    documents.apply(4, &change("a", true, None));
    documents.apply(7, &change("b", true, None));
    documents
}

/// Proposes a change with the state that is current.
fn propose(documents: &mut Documents, index: u64, zone: &str, evacuated: bool) -> Effect {
    let known = documents.zones().state();
    documents.apply(index, &change(zone, evacuated, Some(known)))
}

fn evacuated(documents: &Documents) -> Vec<String> {
    let state = documents.zones().state();
    state.evacuated().map(str::to_owned).collect()
}

/// Guards against a resend that undoes a change or makes it look new, and against a withdrawal that readmits
/// another zone.
#[test]
fn repeated_calls_change_nothing_and_zones_are_independent() {
    let mut documents = two_evacuated();
    assert_eq!(propose(&mut documents, 8, "a", true), Effect::Superseded);
    assert_eq!(documents, two_evacuated());
    assert_eq!(propose(&mut documents, 9, "a", false), Effect::InForce);
    assert_eq!(evacuated(&documents), ["b"]);
    assert_eq!(documents.zones().state().revision, 9);
    assert_eq!(propose(&mut documents, 10, "a", false), Effect::Superseded);
    assert_eq!(documents.zones().state().revision, 9);
}

/// Guards against a late copy of a call that undoes what was acknowledged since, while changes of other zones that
/// the proposer does not know stand in no call's way.
#[test]
fn a_call_from_before_the_last_change_of_its_zone_is_refused() {
    let mut documents = two_evacuated();
    let known = documents.zones().state();
    let late_readmission = change("a", false, Some(known.clone()));
    assert_eq!(propose(&mut documents, 9, "a", false), Effect::InForce);
    let late_evacuation = change("a", true, Some(known.clone()));
    assert_eq!(documents.apply(10, &late_evacuation), Effect::Outdated);
    assert_eq!(propose(&mut documents, 11, "a", true), Effect::InForce);
    assert_eq!(documents.apply(12, &late_readmission), Effect::Outdated);
    assert_eq!(evacuated(&documents), ["a", "b"]);
    let other = change("b", false, Some(known));
    assert_eq!(documents.apply(13, &other), Effect::InForce);
    assert_eq!(evacuated(&documents), ["a"]);
}

/// Guards against a state that grows with each name that was ever evacuated.
#[test]
fn zones_that_were_readmitted_long_ago_are_forgotten() {
    let mut documents = two_evacuated();
    for n in 0..1_000 {
        let zone = format!("z-{n}");
        assert_eq!(
            propose(&mut documents, 10 + 2 * n, &zone, true),
            Effect::InForce
        );
        assert_eq!(
            propose(&mut documents, 11 + 2 * n, &zone, false),
            Effect::InForce
        );
    }
    assert_eq!(evacuated(&documents), ["a", "b"]);
    assert_eq!(documents.zones().state().zones.len(), 2 + 64);
}

/// Guards against evacuations that are lost with the log entries before a snapshot, or by a snapshot that a voter
/// of an earlier release sends.
#[test]
fn evacuations_outlive_snapshots_of_this_and_the_earlier_release() {
    let documents = two_evacuated();
    let mut restarted = Documents::default();
    restarted
        .restore(&documents.snapshot())
        .expect("its own snapshot");
    assert_eq!(restarted, documents);
    // Tag 1 is the document, the only required field; the earlier release has no tag 4.
    let earlier = [0x0a, 0x00];
    restarted.restore(&earlier).expect("an earlier snapshot");
    assert_eq!(restarted.zones().state(), state(7, &[("a", 4), ("b", 7)]));
    let mut empty = Documents::default();
    empty.restore(&earlier).expect("an earlier snapshot");
    assert_eq!(empty.zones().state(), state(0, &[]));
    let without = Documents::default().snapshot();
    restarted.restore(&without).expect("a snapshot");
    assert_eq!(restarted.zones().state(), state(0, &[]));
}

/// Guards against acknowledging a command that this release can't read.
#[test]
fn unreadable_commands_change_nothing() {
    let mut documents = two_evacuated();
    let whole = change("c", true, None);
    // Field 6 of a change is unknown to this release.
    let later = [0x32, 0x03, 0x0a, 0x01, b'c'];
    let commands = [&whole[..whole.len() - 1], &later, &change("", true, None)];
    for (index, command) in (8..).zip(commands) {
        assert_eq!(documents.apply(index, command), Effect::Unreadable);
    }
    assert_eq!(documents, two_evacuated());
}

/// Guards against a group that lost the disks of a majority. Its log begins anew, while entries hold the earlier
/// state and ignore lower revisions: they would never obey the new group.
#[test]
fn a_group_without_its_disks_continues_from_the_state_of_the_proposer() {
    let mut documents = Documents::default();
    let known = state(900, &[("a", 4), ("b", 7)]);
    let command = change("c", true, Some(known.clone()));
    assert_eq!(documents.apply(3, &command), Effect::InForce);
    let adopted = state(901, &[("a", 4), ("b", 7), ("c", 901)]);
    assert_eq!(documents.zones().state(), adopted);
    let withdrawal = change("a", false, Some(known));
    assert_eq!(documents.apply(4, &withdrawal), Effect::InForce);
    assert_eq!(documents.zones().state().revision, 902);
    assert_eq!(evacuated(&documents), ["b", "c"]);
}
