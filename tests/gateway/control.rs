//! What is declared, under kills, lost disks and resends.

use serde_json::json;

use crate::cluster::Cluster;
use crate::cluster::document;
use crate::cluster::wait_until;

/// Three voters and an entry without a disk form a group from three seeds. Whatever node an
/// operator asks, it reads back exactly what was accepted.
#[test]
fn any_node_reads_back_what_any_node_accepted() {
    let world = Cluster::start(3, 1);
    world.put(&[3], &document(7));
    for n in 0..4 {
        wait_until("it is read back", || world.version(n) == Some(7));
    }
}

/// An operator's answer is lost and the same document is sent again; another operator uses the
/// same number for other content; an older change arrives late. All are acknowledged, and what
/// was accepted first stays.
#[test]
fn resends_and_older_versions_change_nothing() {
    let world = Cluster::start(3, 0);
    world.put(&[0], &document(7));
    let mut other = document(7);
    other["routes"] = json!([]);
    for n in 0..3 {
        world.put(&[n], &document(7));
        world.put(&[n], &other);
        world.put(&[n], &document(3));
    }
    let read = world.control(1, "GET", "/config", "").expect("an answer");
    assert_eq!(read.body, document(7).to_string());
}

#[test]
fn an_invalid_document_is_refused_with_the_reason() {
    let world = Cluster::start(1, 0);
    world.put(&[0], &document(1));
    let mut invalid = document(2);
    invalid["routes"][0]["service"] = json!("gone");
    let answer = world.control(0, "PUT", "/config", &invalid.to_string());
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 400);
    assert!(
        answer.body.contains("which is not declared"),
        "{}",
        answer.body
    );
    assert_eq!(world.version(0), Some(1));
}

/// Two of three voters are killed right after an acknowledgement. The one that is left can't know
/// what is newest and must say so; when the others are back, all read what was acknowledged.
#[test]
fn without_a_majority_nothing_is_read() {
    let mut world = Cluster::start(3, 0);
    world.put(&[0], &document(4));
    world.kill(1);
    world.kill(2);
    wait_until("the last one refuses", || {
        let answer = world.control(0, "GET", "/config", "");
        answer.is_some_and(|a| a.status == 503)
    });
    world.launch(1);
    world.launch(2);
    for n in 0..3 {
        wait_until("it is read back", || world.version(n) == Some(4));
    }
}

/// All processes are killed at once right after an acknowledgement, and start again.
#[test]
fn what_was_acknowledged_outlives_all_processes() {
    let mut world = Cluster::start(3, 1);
    world.put(&[3], &document(9));
    for n in 0..4 {
        world.kill(n);
    }
    for n in 0..4 {
        world.launch(n);
    }
    for n in 0..4 {
        wait_until("it is read back", || world.version(n) == Some(9));
    }
}

/// A voter loses its disk and comes back empty. It must not vote from emptiness, and takes its
/// place again under a new identity: then the loss of a second disk loses nothing either.
#[test]
fn a_lost_disk_is_replaced_before_a_second_is_lost() {
    let mut world = Cluster::start(3, 0);
    world.put(&[0], &document(5));
    for n in [2, 0] {
        world.wipe(n);
    }
    world.put(&[0, 1, 2], &document(6));
    for n in 0..3 {
        wait_until("it is read back", || world.version(n) == Some(6));
    }
}
