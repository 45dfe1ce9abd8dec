//! Declarations survive kills, freezes and lost disks of voters.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde_json::Value;
use serde_json::json;

use crate::support::Process;
use crate::support::System;
use crate::support::TEST_TIMEOUT;
use crate::support::declarations;
use crate::support::post_operator;

/// The number of changes that are applied.
const CHANGES: usize = 500;

/// The number of pools that the changes write in turn.
const POOLS: usize = 20;

/// Applies change `n` and returns its revision.
fn apply(entries: &[SocketAddr], n: usize) -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("after 1970");
    let text = format!(
        "[pool p{}]\nlabels = n=v{n}\ninstances = zone=zone-1\n",
        n % POOLS
    );
    let body = json!({
        "request": format!("change-{n}"), "issued": u64::try_from(now.as_millis()).expect("fits"),
        "expected": null, "text": text,
    });
    let outcome = post_operator(entries, "apply", &body);
    outcome["accepted"]["revision"]
        .as_u64()
        .unwrap_or_else(|| panic!("change {n}: {outcome}"))
}

/// Returns the revision of an entry and the labels of its pools.
fn pools(addr: SocketAddr) -> Result<(u64, BTreeMap<String, String>), String> {
    let all = declarations(addr)?;
    let pools = all["declared"]["pools"].as_object().ok_or("no pools")?;
    let label = |pool: &Value| pool["labels"]["n"].as_str().unwrap_or_default().to_owned();
    let pools = pools
        .iter()
        .map(|(name, pool)| (name.clone(), label(pool)))
        .collect();
    Ok((all["revision"].as_u64().unwrap_or_default(), pools))
}

fn wait_applied(done: &AtomicUsize, count: usize) {
    let until = Instant::now() + TEST_TIMEOUT;
    while done.load(Ordering::Relaxed) < count {
        assert!(
            Instant::now() < until,
            "no progress after {} changes",
            done.load(Ordering::Relaxed)
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Returns the index of the leader in `system`.
fn leader_index(system: &System) -> usize {
    let status = system.wait_status("a leader", |status| {
        let leader = status["leader"].as_str().unwrap_or_default().to_owned();
        system
            .entries
            .iter()
            .any(|entry| entry.links.to_string() == leader)
    });
    let leader = status["leader"].as_str().expect("an address").to_owned();
    let found = system
        .entries
        .iter()
        .position(|entry| entry.links.to_string() == leader);
    found.expect("an entry")
}

// Each of 500 changes is accepted once, at a revision of its own, and every entry returns exactly
// these changes afterwards.
// Each voter is killed and restarted in turn while changes go on; the leader is frozen for longer
// than its lease and resumes; at the end all are killed at once and restarted. A change whose answer
// was lost is sent again under its id. An acknowledged change is synced to two disks, and the first
// outcome of an id is part of the state, so no change is lost or applied twice.
#[test]
fn accepted_changes_survive_kills_freezes_and_a_full_restart() {
    let system = System::new(3);
    let mut processes = system.start_entries();
    let addrs: Vec<SocketAddr> = system.entries.iter().map(|entry| entry.http).collect();
    let done = AtomicUsize::new(0);
    let revisions = std::thread::scope(|scope| {
        let applying = scope.spawn(|| {
            (0..CHANGES)
                .map(|n| {
                    // Each change goes to another entry first.
                    let mut addrs = addrs.clone();
                    addrs.rotate_left(n % 3);
                    let revision = apply(&addrs, n);
                    done.fetch_add(1, Ordering::Relaxed);
                    revision
                })
                .collect::<Vec<u64>>()
        });
        for (n, process) in processes.iter_mut().enumerate() {
            wait_applied(&done, 60 * (n + 1));
            process.kill();
            wait_applied(&done, 60 * (n + 1) + 25);
            *process = system.start_entry(n);
        }
        wait_applied(&done, 300);
        let frozen = leader_index(&system);
        processes[frozen].signal("STOP");
        wait_applied(&done, 312);
        processes[frozen].signal("CONT");
        applying.join().expect("every change is accepted")
    });
    let distinct: std::collections::BTreeSet<_> = revisions.iter().collect();
    assert_eq!(distinct.len(), CHANGES, "two changes share a revision");
    assert!(
        revisions.is_sorted(),
        "a later change got an earlier revision"
    );

    processes.iter_mut().for_each(Process::kill);
    let _processes = system.start_entries();
    let last = *revisions.last().expect("some");
    let expected: BTreeMap<String, String> = (0..CHANGES)
        .map(|n| (format!("p{}", n % POOLS), format!("v{n}")))
        .collect();
    for addr in addrs {
        let until = Instant::now() + TEST_TIMEOUT;
        let mut seen = pools(addr);
        while seen.as_ref().map(|(revision, _)| *revision) != Ok(last) {
            assert!(
                Instant::now() < until,
                "{addr} has {seen:?}, but revision {last} was accepted"
            );
            std::thread::sleep(Duration::from_millis(50));
            seen = pools(addr);
        }
        assert_eq!(seen, Ok((last, expected.clone())));
    }
}

// Of two concurrent changes on one base revision, one is accepted and the other gets a conflict that
// names the accepted revision. Both are sent at the same time, to two entries.
#[test]
fn one_of_two_concurrent_changes_is_accepted() {
    let system = System::new(3);
    let _processes = system.start_entries();
    let addrs: Vec<SocketAddr> = system.entries.iter().map(|entry| entry.http).collect();
    let first = apply(&addrs, 0);
    for round in 0..10_u64 {
        let base = first + round;
        let outcomes: Vec<Value> = std::thread::scope(|scope| {
            let senders: Vec<_> = (0..2)
                .map(|operator| {
                    let addrs = &addrs[operator..];
                    scope.spawn(move || apply_on(addrs, base, operator))
                })
                .collect();
            senders
                .into_iter()
                .map(|sender| sender.join().expect("an outcome"))
                .collect()
        });
        let accepted = outcomes
            .iter()
            .filter(|o| o["accepted"]["revision"] == base + 1)
            .count();
        let conflicts = outcomes
            .iter()
            .filter(|o| o["conflict"]["current"] == base + 1)
            .count();
        assert_eq!((accepted, conflicts), (1, 1), "{outcomes:?}");
    }
}

/// Sends a change of one of two operators on the revision `base`.
fn apply_on(addrs: &[SocketAddr], base: u64, operator: usize) -> Value {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("after 1970");
    let body = json!({
        "request": format!("race-{base}-{operator}"),
        "issued": u64::try_from(now.as_millis()).expect("fits"), "expected": base,
        "text": format!("[pool race]\nlabels = by=w{operator}-{base}\ninstances = zone=zone-1\n"),
    });
    post_operator(addrs, "apply", &body)
}

// The client returns the first outcome when it runs again with the same request id; it exits with
// code 1 when the id is used for another change.
#[test]
fn a_repeated_request_id_gets_the_first_outcome() {
    let system = System::new(1);
    let _processes = system.start_entries();
    let file = system.dir.path().join("pools.ini");
    let path = file.to_str().expect("UTF-8").to_owned();
    let write = |label: &str| {
        let text = format!("[pool all]\nlabels = n={label}\ninstances = zone=zone-1\n");
        std::fs::write(&file, text).expect("written");
    };
    write("one");
    let first = system.run_command(&["apply", &path, "--request-id", "mine"]);
    write("two");
    system.run_command(&["apply", &path, "--request-id", "another"]);
    write("one");
    let again = system.run_command(&["apply", &path, "--request-id", "mine"]);
    assert_eq!(again, first);
    let pools = system.run_command(&["get", "pools"]);
    assert!(
        pools.contains("\"two\""),
        "the repeated change was applied again: {pools}"
    );
    write("three");
    let reused = system.try_command(&["apply", &path, "--request-id", "mine"]);
    assert_eq!(reused.status.code(), Some(1));
}

/// Returns the node id of entry `n` in the log.
fn node_id(system: &System, n: usize) -> String {
    let name = &system.entries[n].name;
    let find = |status: &Value| -> Option<String> {
        let voters = status["control"]["voters"].as_array()?;
        let voter = voters.iter().find(|voter| voter["name"] == name.as_str())?;
        Some(voter["node"].as_str()?.to_owned())
    };
    let status = system.wait_status("the voter", |status| find(status).is_some());
    find(&status).expect("found")
}

// All accepted changes can be read after one voter lost its disk and, as soon as it was replaced,
// another one too.
// A voter with an empty folder starts with a new node id. It must not vote without the log: it copies
// the log first, votes once it holds all of it, and only then the old node id is removed. So all
// three voters hold the log before the second disk is lost.
#[test]
fn no_change_is_lost_when_two_disks_fail_in_turn() {
    let system = System::new(3);
    let mut processes = system.start_entries();
    let addrs: Vec<SocketAddr> = system.entries.iter().map(|entry| entry.http).collect();
    let mut last = 0;
    for n in 0..40 {
        last = apply(&addrs, n);
    }
    for lost in [2, 1] {
        let old = node_id(&system, lost);
        processes[lost].kill();
        let data = system.dir.path().join(format!("data-entry-{lost}"));
        std::fs::remove_dir_all(data).expect("removed");
        processes[lost] = system.start_entry(lost);
        system.wait_status("the lost voter replaced", |status| {
            let voters = status["control"]["voters"]
                .as_array()
                .cloned()
                .unwrap_or_default();
            let replaced = voters.iter().all(|voter| voter["node"] != old.as_str());
            voters.len() == 3 && replaced && status["control"]["learners"] == json!([])
        });
        last = apply(&addrs, 40 + lost);
    }
    let expected: BTreeMap<String, String> = (0..POOLS)
        .map(|n| {
            (
                format!("p{n}"),
                format!("v{}", if n < 3 && n > 0 { 40 + n } else { 20 + n }),
            )
        })
        .collect();
    for addr in addrs {
        let until = Instant::now() + TEST_TIMEOUT;
        while pools(addr) != Ok((last, expected.clone())) {
            assert!(
                Instant::now() < until,
                "{addr} has {:?}, not {last} {expected:?}",
                pools(addr)
            );
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}
