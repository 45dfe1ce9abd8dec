//! Tests the declared document under kills, lost disks and resends.

use serde_json::json;

use crate::cluster::Cluster;
use crate::cluster::document;
use crate::cluster::wait_until;

/// Three voters and an entry without a disk form a group from three seeds. Every node that an operator asks
/// reads back exactly the accepted document.
#[test]
fn any_node_reads_back_what_any_node_accepted() {
    let cluster = Cluster::start(3, 1);
    cluster.put_document(&[3], &document(7));
    for n in 0..4 {
        wait_until("it is read back", || cluster.version(n) == Some(7));
    }
}

/// An operator's answer is lost and the same document is sent again, another operator uses the same number
/// for other content, and an older change arrives late. All are acknowledged, and the first accepted document
/// remains.
#[test]
fn resends_and_older_versions_change_nothing() {
    let cluster = Cluster::start(3, 0);
    cluster.put_document(&[0], &document(7));
    let mut other = document(7);
    other["routes"] = json!([]);
    for n in 0..3 {
        cluster.put_document(&[n], &document(7));
        cluster.put_document(&[n], &other);
        cluster.put_document(&[n], &document(3));
    }
    let read = cluster.control(1, "GET", "/config", "").expect("an answer");
    assert_eq!(read.body, document(7).to_string());
}

#[test]
fn an_invalid_document_is_refused_with_the_reason() {
    let cluster = Cluster::start(1, 0);
    cluster.put_document(&[0], &document(1));
    let mut invalid = document(2);
    invalid["routes"][0]["service"] = json!("gone");
    let answer = cluster.control(0, "PUT", "/config", &invalid.to_string());
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 400);
    assert!(
        answer.body.contains("which is not declared"),
        "{}",
        answer.body
    );
    assert_eq!(cluster.version(0), Some(1));
}

/// Two of three voters are killed right after an acknowledgement. The remaining one can't know the newest
/// document and must say so. When the others are back, all read the acknowledged document.
#[test]
fn without_a_majority_nothing_is_read() {
    let mut cluster = Cluster::start(3, 0);
    cluster.put_document(&[0], &document(4));
    cluster.kill(1);
    cluster.kill(2);
    wait_until("the last one refuses", || {
        let answer = cluster.control(0, "GET", "/config", "");
        answer.is_some_and(|a| a.status == 503)
    });
    cluster.launch(1);
    cluster.launch(2);
    for n in 0..3 {
        wait_until("it is read back", || cluster.version(n) == Some(4));
    }
}

/// All processes are killed at once right after an acknowledgement, and start again.
#[test]
fn an_acknowledged_document_survives_a_restart_of_all_processes() {
    let mut cluster = Cluster::start(3, 1);
    cluster.put_document(&[3], &document(9));
    for n in 0..4 {
        cluster.kill(n);
    }
    for n in 0..4 {
        cluster.launch(n);
    }
    for n in 0..4 {
        wait_until("it is read back", || cluster.version(n) == Some(9));
    }
}

/// A voter loses its disk and comes back empty. It must not vote with an empty log, and rejoins under a new
/// identity, so that the loss of a second disk loses nothing either.
#[test]
fn a_lost_disk_is_replaced_before_a_second_is_lost() {
    let mut cluster = Cluster::start(3, 0);
    cluster.put_document(&[0], &document(5));
    for n in [2, 0] {
        cluster.replace_disk(n);
    }
    cluster.put_document(&[0, 1, 2], &document(6));
    for n in 0..3 {
        wait_until("it is read back", || cluster.version(n) == Some(6));
    }
}
