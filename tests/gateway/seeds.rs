//! Tests seeds that change while the system runs: whatever nodes they name, a lost disk is repaired and nodes
//! without a disk find the voters.

use crate::cluster::Cluster;
use crate::cluster::document;
use crate::cluster::wait_until;

/// The seeds are replaced by entries without a disk. Then a voter loses its disk and comes back: its seeds
/// know the voters, but none of them leads. The leader must still accept it, or the loss of another disk
/// loses acknowledged changes.
#[test]
fn a_lost_disk_is_repaired_when_the_seeds_have_no_disk() {
    let mut cluster = Cluster::start(3, 3);
    cluster.put_document(&[0], &document(5));
    cluster.set_seeds(&[3, 4, 5], 3);
    for n in [2, 0] {
        cluster.replace_disk(n);
    }
    cluster.put_document(&[0, 1, 2], &document(6));
    for n in 0..6 {
        wait_until("it is read back", || cluster.version(n) == Some(6));
    }
}

/// Two of the seeds of a voter with a new disk are gone for good, and the third has no disk.
#[test]
fn a_lost_disk_is_repaired_when_one_seed_is_left() {
    let mut cluster = Cluster::start(3, 3);
    cluster.put_document(&[0], &document(5));
    cluster.set_seeds(&[4, 5, 3], 3);
    cluster.kill(4);
    cluster.kill(5);
    cluster.replace_disk(1);
    cluster.put_document(&[0, 1, 2], &document(6));
    wait_until("it is read back", || cluster.version(1) == Some(6));
}

/// The only seed is an entry that has just restarted with only itself as a seed, and knows no voter yet. The
/// voters reload their settings and announce themselves to it, so that it can name them to the voter with a
/// new disk.
#[test]
fn voters_announce_themselves_to_new_seeds() {
    let mut cluster = Cluster::start(3, 1);
    cluster.put_document(&[3], &document(5));
    cluster.kill(3);
    cluster.set_seeds(&[3], 3);
    cluster.launch(3);
    wait_until("the new seed serves", || cluster.version(3) == Some(5));
    cluster.replace_disk(2);
}

/// The seed is frozen when a voter with a new disk comes back, and resumes some seconds later. Until then the
/// voter logs which nodes it asked and with what result.
#[test]
fn a_lost_disk_is_repaired_once_its_seed_resumes() {
    let mut cluster = Cluster::start(3, 1);
    cluster.put_document(&[0], &document(5));
    cluster.set_seeds(&[3], 3);
    // Until then the voters keep announcing themselves to the wiped one, as one of their seeds.
    wait_until("the voters know the new seeds", || {
        (0..2).all(|n| cluster.has_logged(n, "seeds taken over"))
    });
    cluster.signal(3, "STOP");
    cluster.lose_disk(2);
    wait_until("it logs why it is not a voter", || {
        cluster.has_logged(2, "no leader takes this node in")
            && cluster.has_logged(2, ": not reached")
    });
    assert!(!cluster.is_voter(2), "no node could name the group to it");
    cluster.signal(3, "CONT");
    wait_until("it is a voter again", || cluster.is_voter(2));
}

/// A replaced voter is an old seed that names its former group. After two changes of the seeds all processes
/// restart at once, and find each other by the last seeds alone.
#[test]
fn all_processes_restart_after_the_seeds_changed_twice() {
    let mut cluster = Cluster::start(3, 3);
    cluster.put_document(&[4], &document(5));
    cluster.set_seeds(&[1, 4, 5], 3);
    cluster.replace_disk(0);
    cluster.set_seeds(&[3, 5], 3);
    for n in 0..6 {
        cluster.kill(n);
    }
    for n in 0..6 {
        cluster.launch(n);
    }
    for n in 0..6 {
        wait_until("it is read back", || cluster.version(n) == Some(5));
    }
    cluster.replace_disk(1);
}

/// One of three voters is gone for good. All requests are served as before, but the next loss would lose
/// acknowledged changes. The leader reports it in its metrics and logs it once.
#[test]
fn a_group_short_of_voters_reports_it() {
    let mut cluster = Cluster::start(3, 0);
    cluster.put_document(&[0], &document(5));
    cluster.kill(2);
    let short = |n: usize| {
        let metrics = cluster.metrics(n);
        let line = |count: &str, value: &str| {
            let mut lines = metrics.lines();
            lines.any(|l| l.contains("control_voters") && l.contains(count) && l.ends_with(value))
        };
        line("declared", " 3") && line("holding", " 2")
    };
    wait_until("the metrics show it", || (0..2).any(short));
    wait_until("the log says it", || {
        (0..2).any(|n| cluster.has_logged(n, "fewer voters hold the log"))
    });
}

/// Two changes of the settings are followed by SIGHUP. The process takes over changed seeds, and refuses a
/// change of an address that is bound at the start, naming its section.
#[test]
fn a_hangup_signal_applies_new_seeds_and_refuses_other_changes() {
    let mut cluster = Cluster::start(1, 1);
    cluster.put_document(&[0], &document(1));
    cluster.set_seeds(&[1], 1);
    cluster.signal(0, "HUP");
    wait_until("the seeds are taken over", || {
        cluster.has_logged(0, "seeds taken over")
    });
    cluster.set_metrics_port(0, 8_011);
    cluster.signal(0, "HUP");
    wait_until("the change is refused by name", || {
        cluster.has_logged(0, "not taken over") && cluster.has_logged(0, "[listen]")
    });
}
