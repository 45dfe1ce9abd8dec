//! Running replicas: threads, real time, a network in memory.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use filbertstack_log::ProposeError;
use filbertstack_log::Refusal;

use crate::support::machine::Put;
use crate::support::network::Group;
use crate::support::network::quick;
use crate::support::network::soon;

/// Every voter in turn is killed and started again during the proposals, then all at once. The
/// proposer resends after each error under the same request id. What was accepted must be there
/// once, on every replica, at the index that the proposer was told.
#[test]
fn accepted_commands_survive_kills_and_restarts() {
    let mut group = Group::form(3, quick());
    let mut told = BTreeMap::new();
    for request in 1..=60 {
        if request % 10 == 0 {
            let at = usize::try_from(request / 10).unwrap() % 3;
            group.kill(at);
            told.insert(request, group.put(request));
            group.start(at);
        } else {
            told.insert(request, group.put(request));
        }
    }
    for at in 0..3 {
        group.kill(at);
    }
    for at in 0..3 {
        group.start(at);
    }
    told.insert(61, group.put(61));
    let state = group.settled(61);
    assert_eq!(state.done, told);
}

/// A leader that nobody hears goes on receiving proposals. Each must end with "unknown" when it
/// steps down, then with a certain refusal; a proposal accepted by the others is never replaced.
#[test]
fn an_isolated_leader_accepts_nothing() {
    let group = Group::form(3, quick());
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
        soon(),
    );
    assert!(!lost.unwrap_err().is_certain());
    let refused = replica.propose(bytes::Bytes::from_static(&[0; 24]), soon());
    assert!(matches!(
        refused,
        Err(ProposeError::Refused(Refusal::NotLeader { .. }))
    ));
    assert!(replica.read_barrier(soon()).is_err());
    group.put(3);
    group.network.heal();
    let state = group.settled(2);
    assert!(state.done.contains_key(&1) && state.done.contains_key(&3));
}

/// A planned stop of the leader passes the leadership on first: the next proposal is accepted by
/// another without an election timeout having run out.
#[test]
fn a_planned_stop_passes_the_leadership_on() {
    let mut settings = quick();
    settings.timing.election_min = Duration::from_secs(30);
    settings.timing.election_max = Duration::from_secs(60);
    let mut group = Group::form(1, quick());
    group.settings = settings;
    let second = group.add_slot();
    group.join(second);
    let third = group.add_slot();
    group.join(third);
    group.put(1);
    let leader = group.leader();
    let replica = group.slots[leader].replica.clone().unwrap();
    replica.stop(Duration::from_secs(10));
    let before = Instant::now();
    group.slots[leader].replica = None;
    group.put(2);
    assert!(before.elapsed() < Duration::from_secs(30));
}

/// Log compaction in a running group: the segments on disk stay bounded, and a replica that was
/// down for longer than the log reaches back gets a snapshot.
#[test]
fn a_replica_far_behind_gets_a_snapshot() {
    let mut settings = quick();
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
    let state = group.settled(301);
    assert_eq!(state.done.len(), 301);
    let replica = group.slots[behind].replica.clone().unwrap();
    assert!(replica.status().node.snapshot > 100);
    let segments = group.slots[behind].disk.files();
    assert!(segments.keys().filter(|n| n.starts_with("wal-")).count() < 12);
}
