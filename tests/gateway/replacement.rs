//! Tests voters that are gone for good and replaced at other addresses.

use crate::cluster::Cluster;
use crate::cluster::document;
use crate::cluster::wait_until;

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
