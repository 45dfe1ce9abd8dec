//! Tests voters that are gone for good and replaced at other addresses.

use std::sync::Mutex;
use std::sync::mpsc;
use std::thread;
use std::thread::sleep;
use std::time::Duration;

use crate::cluster::Cluster;
use crate::cluster::document;
use crate::cluster::exchange;
use crate::cluster::get;
use crate::cluster::wait_until;
use crate::engine::Engine;
use crate::engine::answer;

/// How long after the loss of a voter its successor starts: longer than a leader needs to notice the silence, and
/// shorter than it waits before it replaces a silent voter.
const SUCCESSOR_DELAY: Duration = Duration::from_secs(1);

/// Guards against a lost voter that counts beside its successor: a majority of four needs three logs, and the loss
/// of one disk with the power of all others leaves two.
#[test]
fn a_lost_disk_after_a_replacement_loses_nothing() {
    let mut cluster = Cluster::start(3, 0);
    cluster.put_document(&[0], &document(5));
    cluster.kill(0);
    sleep(SUCCESSOR_DELAY);
    let successor = cluster.start_successor();
    wait_until("the successor is a voter", || cluster.is_voter(successor));
    for n in 1..=successor {
        cluster.kill(n);
    }
    cluster.delete_disk(1);
    for n in 1..=successor {
        cluster.launch(n);
    }
    for n in 1..=successor {
        wait_until("it is read back", || cluster.version(n) == Some(5));
    }
    cluster.put_document(&[1], &document(6));
    wait_until("the disk is replaced", || {
        cluster.are_voters(&[1, 2, successor])
    });
}

/// Guards against a voter that is gone, and whose address is used by an entry without a disk: it must not be taken
/// for the voter, and its successor, an entry until then, must be followed as one.
#[test]
fn an_entry_takes_the_place_of_a_voter() {
    let mut cluster = Cluster::start(3, 1);
    cluster.put_document(&[0], &document(5));
    cluster.remove_voter(1);
    cluster.add_disk(3);
    cluster.ensure_running(1);
    wait_until("it votes", || cluster.are_voters(&[0, 2, 3]));
    cluster.put_document(&[1], &document(6));
    for n in 0..4 {
        wait_until("it is read back", || cluster.version(n) == Some(6));
    }
}

/// Guards against a voter that stops for good and counts beside its successor while its last requests are answered,
/// and for seconds after.
#[test]
fn a_stopping_voter_is_replaced_before_its_process_ends() {
    let (release, held) = mpsc::channel::<()>();
    let held = Mutex::new(held);
    let engine = Engine::start(Box::new(move |received| {
        if received.header("x-filbertstack-attempt-id") == "held" {
            // Ends with the test.
            let _ = held.lock().expect("not poisoned").recv();
        }
        answer(received, "200 OK", "whole")
    }));
    let mut cluster = Cluster::start(3, 0);
    cluster.put_document(&[0], &document(5));
    cluster.register(0, "i-1", "once", engine.addr);
    cluster.await_service(0, "/once/");
    let successor = cluster.start_successor();
    wait_until("the successor is a voter", || cluster.is_voter(successor));
    let front = cluster.front_addr(0);
    let call = thread::spawn(move || exchange(&front, &get("/once/", "held", "")));
    wait_until("the request is in progress", || {
        cluster.has_logged(0, "\"request\":\"held\"")
    });
    cluster.signal(0, "TERM");
    let removed = |n: usize| {
        let log = cluster.logged(n);
        let mut changes = log.lines().filter(|l| l.contains("membership changed"));
        changes.any(|l| l.contains("\"change\":\"Remove"))
    };
    wait_until("it is removed", || (1..=successor).any(removed));
    assert!(!cluster.has_ended(0), "it still answers its last request");
    drop(release);
    call.join().expect("the caller");
}

/// Guards against an outage in which no log tells which voters are counted and which of them are missing.
#[test]
fn a_voter_without_a_leader_logs_which_voters_are_silent() {
    let mut cluster = Cluster::start(3, 0);
    cluster.put_document(&[0], &document(5));
    cluster.kill(1);
    cluster.kill(2);
    wait_until("it logs how many voters it needs", || {
        let log = cluster.logged(0);
        let mut lines = log.lines();
        lines.any(|line| {
            line.contains("no leader takes this node in")
                && line.contains("\"voters\":3,\"needed\":2")
                && line.matches(" for ").count() + line.matches("since the start").count() == 2
        })
    });
}
