//! Tests of running replicas with threads, real time and an in-memory network.

use std::collections::BTreeMap;
use std::time::Duration;

use filbertstack_log::ProposeError;
use filbertstack_log::Refusal;
use filbertstack_log::RoleName;
use filbertstack_log::UnknownReason;

use crate::support::disk::DiskFaults;
use crate::support::machine::PANIC_KEY;
use crate::support::machine::Put;
use crate::support::network::Group;
use crate::support::network::deadline;
use crate::support::network::quick_settings;
use crate::support::network::wait_for;

/// Every voter in turn is killed and restarted during the proposals, then all voters at once. The
/// proposer resends after each error under the same request id. Every accepted command must be
/// applied exactly once on every replica, at the index returned to the proposer.
#[test]
fn accepted_commands_survive_kills_and_restarts() {
    let mut group = Group::form(3, quick_settings());
    let mut outcomes = BTreeMap::new();
    for request in 1..=60 {
        if request % 10 == 0 {
            let at = usize::try_from(request / 10).unwrap() % 3;
            group.kill(at);
            outcomes.insert(request, group.put(request));
            group.start(at);
        } else {
            outcomes.insert(request, group.put(request));
        }
    }
    for at in 0..3 {
        group.kill(at);
    }
    for at in 0..3 {
        group.start(at);
    }
    outcomes.insert(61, group.put(61));
    let state = group.wait_equal(61);
    assert_eq!(state.done, outcomes);
}

/// A leader that is cut off continues to receive proposals. Each must end as unknown when the
/// leader steps down, later ones as certainly refused; a proposal accepted by the others is never
/// replaced.
#[test]
fn an_isolated_leader_accepts_nothing() {
    let group = Group::form(3, quick_settings());
    group.put(1);
    let old = group.leader();
    let replica = group.slots[old].replica.clone().unwrap();
    group.network.cut(replica.status().id);
    let lost = replica.propose(
        Put {
            request: 2,
            key: 0,
            value: 9,
        }
        .encode(),
        deadline(),
    );
    assert!(!lost.unwrap_err().is_certain());
    let refused = replica.propose(bytes::Bytes::from_static(&[0; 24]), deadline());
    assert!(matches!(
        refused,
        Err(ProposeError::Refused(Refusal::NotLeader { .. }))
    ));
    assert!(replica.read_barrier(deadline()).is_err());
    group.put(3);
    group.network.heal();
    let state = group.wait_equal(2);
    assert!(state.done.contains_key(&1) && state.done.contains_key(&3));
}

/// A leader that is stopped on purpose transfers its leadership first. The election timeout of the
/// others is longer than the test waits, so a proposal is accepted only if one of them was told to
/// campaign.
#[test]
fn a_planned_stop_transfers_the_leadership() {
    let mut settings = quick_settings();
    settings.timing.election_min = Duration::from_secs(30);
    settings.timing.election_max = Duration::from_secs(60);
    let mut group = Group::form(1, quick_settings());
    group.settings = settings;
    let second = group.add_slot();
    group.join(second);
    let third = group.add_slot();
    group.join(third);
    group.put(1);
    let leader = group.leader();
    let replica = group.slots[leader].replica.clone().unwrap();
    replica.stop(Duration::from_secs(10));
    group.slots[leader].replica = None;
    group.put(2);
}

/// The log is compacted in a running group: the segments on disk stay bounded, and a replica that
/// was down for longer than the log reaches back receives a snapshot.
#[test]
fn a_replica_far_behind_gets_a_snapshot() {
    let mut settings = quick_settings();
    settings.snapshot_bytes = 4 << 10;
    settings.segment_bytes = 2 << 10;
    settings.limits.kept_entries = 8;
    settings.limits.piece_bytes = 512;
    let mut group = Group::form(3, settings);
    group.put(1);
    let behind = (group.leader() + 1) % 3;
    group.kill(behind);
    for request in 2..=300 {
        group.put(request);
    }
    group.start(behind);
    group.put(301);
    let state = group.wait_equal(301);
    assert_eq!(state.done.len(), 301);
    let replica = group.slots[behind].replica.clone().unwrap();
    assert!(replica.status().node.snapshot > 100);
    let segments = group.slots[behind].disk.files();
    assert!(segments.keys().filter(|n| n.starts_with("wal-")).count() < 12);
}

/// A voter's disk is lost; it comes back empty, under a new identity, and joins as a learner. As
/// soon as it is a voter, a second voter's disk is lost. Every accepted command must still be
/// there, and the second voter is replaced in the same way.
#[test]
fn a_second_loss_right_after_a_repair_loses_nothing() {
    let mut group = Group::form(3, quick_settings());
    for request in 1..=40 {
        group.put(request);
    }
    for (lost, request) in [(0, 41), (1, 42), (2, 43)] {
        let old = group.slots[lost].id();
        group.lose_disk(lost);
        assert_ne!(group.slots[lost].id(), old);
        group.remove(old);
        group.join(lost);
        group.put(request);
    }
    let state = group.wait_equal(43);
    assert!((1..=43).all(|request| state.done.contains_key(&request)));
}

/// The leader's disk fills up. Another replica becomes leader and accepts commands; the replica
/// with the full disk refuses them with the remedy, and follows again once there is space.
#[test]
fn a_leader_with_a_full_disk_steps_down() {
    let group = Group::form(3, quick_settings());
    group.put(1);
    let full = group.leader();
    let slot = &group.slots[full];
    slot.disk.set_faults(DiskFaults {
        space: Some(10),
        ..DiskFaults::default()
    });
    let replica = slot.replica.clone().unwrap();
    let put = Put {
        request: 2,
        key: 0,
        value: 0,
    };
    assert!(replica.propose(put.encode(), deadline()).is_err());
    let refused = replica.propose(put.encode(), deadline()).unwrap_err();
    assert_eq!(refused, ProposeError::Refused(Refusal::DiskFull));
    insta::assert_snapshot!(refused);
    group.put(2);
    assert!(replica.status().node.full);
    slot.disk.set_faults(DiskFaults::default());
    group.put(3);
    group.wait_equal(3);
    assert!(!replica.status().node.full);
}

/// A sync fails at the leader, so it is unknown what its disk holds. The leader stops and reports
/// the reason; a waiting caller gets an unknown outcome, and the others continue.
#[test]
fn a_failed_sync_stops_only_that_replica() {
    let mut group = Group::form(3, quick_settings());
    group.put(1);
    let failed = group.leader();
    let replica = group.slots[failed].replica.clone().unwrap();
    group.slots[failed].disk.set_faults(DiskFaults {
        sync_fails: true,
        ..DiskFaults::default()
    });
    let put = Put {
        request: 2,
        key: 0,
        value: 0,
    };
    let ended = replica.propose(put.encode(), deadline());
    assert!(ended.is_ok() || ended == Err(ProposeError::Unknown(UnknownReason::Stopped)));
    wait_for("stop", || replica.status().failed);
    assert!(replica.read_barrier(deadline()).is_err());
    group.put(2);
    group.kill(failed);
    group.slots[failed].disk.set_faults(DiskFaults::default());
    group.start(failed);
    group.put(3);
    group.wait_equal(3);
}

/// The state machine panics at a command. The caller gets an unknown outcome, and the status
/// reports that the replica has stopped; otherwise callers would still be sent to a dead leader.
#[test]
fn a_state_machine_panic_is_reported() {
    let group = Group::form(1, quick_settings());
    group.put(1);
    let replica = group.slots[0].replica.clone().unwrap();
    let put = Put {
        request: 2,
        key: PANIC_KEY,
        value: 1,
    };
    let ended = replica.propose(put.encode(), deadline());
    assert_eq!(ended, Err(ProposeError::Unknown(UnknownReason::Stopped)));
    let why = wait_for("stop", || replica.status().failed);
    assert!(why.contains("panicked"));
    assert_ne!(replica.status().node.role, RoleName::Leader);
}

/// A read at the leader sees every command accepted before it, with and without a lease. Other
/// replicas refuse reads and name the leader.
#[test]
fn a_read_sees_what_was_accepted() {
    let group = Group::form(3, quick_settings());
    for request in 1..=20 {
        group.put(request);
        let seen = group.on_leader(|leader| leader.read_barrier(deadline()).ok());
        let leader = &group.slots[group.leader()];
        assert!(seen >= leader.map.state().done[&request]);
    }
    let leader = group.leader();
    let follower = &group.slots[(leader + 1) % 3];
    let refused = follower.replica.as_ref().unwrap().read_barrier(deadline());
    let hint = Some(group.slots[leader].id());
    assert_eq!(refused, Err(Refusal::NotLeader { leader: hint }.into()));
}
