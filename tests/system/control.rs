//! Declarations survive what happens to the voters.

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

use crate::support::PATIENCE;
use crate::support::Process;
use crate::support::System;
use crate::support::declarations;
use crate::support::operate_json;

/// How many changes are applied.
const CHANGES: usize = 500;

/// How many pools they write, over and over.
const POOLS: usize = 20;

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
    let outcome = operate_json(entries, "apply", &body);
    outcome["accepted"]["revision"]
        .as_u64()
        .unwrap_or_else(|| panic!("change {n}: {outcome}"))
}

/// The pools' labels and the revision, as an entry has them.
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

fn wait_for(done: &AtomicUsize, count: usize) {
    let until = Instant::now() + PATIENCE;
    while done.load(Ordering::Relaxed) < count {
        assert!(
            Instant::now() < until,
            "no progress beyond {}",
            done.load(Ordering::Relaxed)
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// The entry that leads, by its place in `system`.
fn leader(system: &System) -> usize {
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

// The operator sees each of 500 changes accepted once, at a revision of its own, and reads exactly
// those afterwards from every entry.
// Each voter is killed in turn and started again while changes go on; the leader is frozen for
// longer than its lease and wakes; at the end all are killed at once and started again. A change
// whose answer was lost is sent again under its id. What was acknowledged was synced on two disks,
// and the id's first outcome is part of the state, so nothing is lost and nothing counts twice.
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
                    // Each change begins at another entry.
                    let mut addrs = addrs.clone();
                    addrs.rotate_left(n % 3);
                    let revision = apply(&addrs, n);
                    done.fetch_add(1, Ordering::Relaxed);
                    revision
                })
                .collect::<Vec<u64>>()
        });
        for (n, process) in processes.iter_mut().enumerate() {
            wait_for(&done, 60 * (n + 1));
            process.kill();
            wait_for(&done, 60 * (n + 1) + 25);
            *process = system.start_entry(n);
        }
        wait_for(&done, 300);
        let frozen = leader(&system);
        processes[frozen].signal("STOP");
        wait_for(&done, 312);
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
        let until = Instant::now() + PATIENCE;
        let mut seen = pools(addr);
        while seen.as_ref().map(|(revision, _)| *revision) != Ok(last) {
            assert!(
                Instant::now() < until,
                "{addr} has {seen:?}, accepted was {last}"
            );
            std::thread::sleep(Duration::from_millis(50));
            seen = pools(addr);
        }
        assert_eq!(seen, Ok((last, expected.clone())));
    }
}

// One of two operators sees its change accepted; the other is told which one won.
// Both saw revision 1 and send their change on that base at the same moment, to two entries.
#[test]
fn of_two_changes_on_one_base_exactly_one_wins() {
    let system = System::new(3);
    let _processes = system.start_entries();
    let addrs: Vec<SocketAddr> = system.entries.iter().map(|entry| entry.http).collect();
    let first = apply(&addrs, 0);
    for round in 0..10_u64 {
        let base = first + round;
        let outcomes: Vec<Value> = std::thread::scope(|scope| {
            let racers: Vec<_> = (0..2)
                .map(|who| {
                    let addrs = &addrs[who..];
                    scope.spawn(move || race(addrs, base, who))
                })
                .collect();
            racers
                .into_iter()
                .map(|racer| racer.join().expect("an outcome"))
                .collect()
        });
        let won = outcomes
            .iter()
            .filter(|o| o["accepted"]["revision"] == base + 1)
            .count();
        let told = outcomes
            .iter()
            .filter(|o| o["conflict"]["current"] == base + 1)
            .count();
        assert_eq!((won, told), (1, 1), "{outcomes:?}");
    }
}

fn race(addrs: &[SocketAddr], base: u64, who: usize) -> Value {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("after 1970");
    let body = json!({
        "request": format!("race-{base}-{who}"),
        "issued": u64::try_from(now.as_millis()).expect("fits"), "expected": base,
        "text": format!("[pool race]\nlabels = by=w{who}-{base}\ninstances = zone=zone-1\n"),
    });
    operate_json(addrs, "apply", &body)
}

// The operator who runs the client again under one request id gets the first outcome; another
// change under that id is refused, with exit code 1.
#[test]
fn a_client_run_again_under_its_id_gets_the_first_outcome() {
    let system = System::new(1);
    let _processes = system.start_entries();
    let file = system.dir.path().join("pools.ini");
    let path = file.to_str().expect("UTF-8").to_owned();
    let write = |label: &str| {
        let text = format!("[pool all]\nlabels = n={label}\ninstances = zone=zone-1\n");
        std::fs::write(&file, text).expect("written");
    };
    write("one");
    let first = system.operate(&["apply", &path, "--request-id", "mine"]);
    write("two");
    system.operate(&["apply", &path, "--request-id", "another"]);
    write("one");
    let again = system.operate(&["apply", &path, "--request-id", "mine"]);
    assert_eq!(again, first);
    let pools = system.operate(&["get", "pools"]);
    assert!(
        pools.contains("\"two\""),
        "the resend applied again: {pools}"
    );
    write("three");
    let reused = system.client(&["apply", &path, "--request-id", "mine"]);
    assert_eq!(reused.status.code(), Some(1));
}

/// The identity in the log of the entry `n`.
fn node_of(system: &System, n: usize) -> String {
    let name = &system.entries[n].name;
    let find = |status: &Value| -> Option<String> {
        let voters = status["control"]["voters"].as_array()?;
        let voter = voters.iter().find(|voter| voter["name"] == name.as_str())?;
        Some(voter["node"].as_str()?.to_owned())
    };
    let status = system.wait_status("the voter", |status| find(status).is_some());
    find(&status).expect("found")
}

// The operator reads everything that was accepted, although one voter's disk was lost and, as
// soon as it had been replaced, another's too.
// A voter whose folder is empty comes back under a new identity. It may not vote from an empty
// memory: it copies the log first, votes once it holds everything, and only then is the old
// identity removed. So the group is whole again before the second disk goes.
#[test]
fn two_disks_lost_one_after_the_other_lose_nothing() {
    let system = System::new(3);
    let mut processes = system.start_entries();
    let addrs: Vec<SocketAddr> = system.entries.iter().map(|entry| entry.http).collect();
    let mut last = 0;
    for n in 0..40 {
        last = apply(&addrs, n);
    }
    for lost in [2, 1] {
        let old = node_of(&system, lost);
        processes[lost].kill();
        let data = system.dir.path().join(format!("data-entry-{lost}"));
        std::fs::remove_dir_all(data).expect("removed");
        processes[lost] = system.start_entry(lost);
        system.wait_status("the lost voter replaced", |status| {
            let voters = status["control"]["voters"]
                .as_array()
                .cloned()
                .unwrap_or_default();
            let fresh = voters.iter().all(|voter| voter["node"] != old.as_str());
            voters.len() == 3 && fresh && status["control"]["learners"] == json!([])
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
        let until = Instant::now() + PATIENCE;
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
