//! Tests voters that are gone for good and replaced at other addresses.

use std::thread::sleep;
use std::time::Duration;

use crate::cluster::Cluster;
use crate::cluster::document;
use crate::cluster::wait_until;

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
    let before = cluster.promotions(3);
    sleep(SUCCESSOR_DELAY);
    let successor = cluster.start_successor();
    wait_until("the successor is a voter", || {
        cluster.promotions(successor) > before
    });
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
