//! Tests the evacuated zones in the state machine.

use filbertstack_control::document::Change;
use filbertstack_control::document::Documents;
use filbertstack_control::document::Effect;
use filbertstack_control::document::Kind;
use filbertstack_control::document::ZoneChange;
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

fn state(revision: u64, zones: &[&str]) -> ZoneState {
    ZoneState {
        revision,
        zones: zones.iter().map(ToString::to_string).collect(),
    }
}

/// Returns a state in which `a` and `b` are evacuated, `b` by the command at index 7.
fn two_evacuated() -> Documents {
    let mut documents = Documents::default();
    documents.apply(4, &change("a", true, None));
    documents.apply(7, &change("b", true, None));
    documents
}

/// Guards against a resend that undoes a change or makes it look new, and against a withdrawal that readmits
/// another zone.
#[test]
fn repeated_calls_change_nothing_and_zones_are_independent() {
    let mut documents = two_evacuated();
    assert_eq!(
        documents.apply(8, &change("a", true, None)),
        Effect::Superseded
    );
    assert_eq!(documents.zones().state(), state(7, &["a", "b"]));
    assert_eq!(
        documents.apply(9, &change("a", false, None)),
        Effect::InForce
    );
    assert_eq!(documents.zones().state(), state(9, &["b"]));
    assert_eq!(
        documents.apply(10, &change("a", false, None)),
        Effect::Superseded
    );
    assert_eq!(documents.zones().state(), state(9, &["b"]));
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
    assert_eq!(restarted.zones().state(), state(7, &["a", "b"]));
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
    let known = state(900, &["a", "b"]);
    let command = change("c", true, Some(known.clone()));
    assert_eq!(documents.apply(3, &command), Effect::InForce);
    assert_eq!(documents.zones().state(), state(901, &["a", "b", "c"]));
    assert_eq!(
        documents.apply(4, &change("a", false, Some(known))),
        Effect::InForce
    );
    assert_eq!(documents.zones().state(), state(902, &["b", "c"]));
}
