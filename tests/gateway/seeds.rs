//! Seeds that change while the system runs: whoever they name, a lost disk is repaired and nodes
//! without a disk find the voters.

use crate::cluster::Cluster;
use crate::cluster::document;
use crate::cluster::wait_until;

/// The seeds are exchanged for entries without a disk. Then a voter loses its disk and comes back:
/// its seeds know the voters, but none of them leads. It must be taken in all the same, or the loss
/// of another disk takes what was acknowledged with it.
#[test]
fn a_lost_disk_is_repaired_when_the_seeds_have_no_disk() {
    let mut world = Cluster::start(3, 3);
    world.put(&[0], &document(5));
    world.name_seeds(&[3, 4, 5], 3);
    for n in [2, 0] {
        world.wipe(n);
    }
    world.put(&[0, 1, 2], &document(6));
    for n in 0..6 {
        wait_until("it is read back", || world.version(n) == Some(6));
    }
}

/// Of the seeds that a wiped voter is told two are gone for good, and one has no disk.
#[test]
fn a_lost_disk_is_repaired_when_one_seed_is_left() {
    let mut world = Cluster::start(3, 3);
    world.put(&[0], &document(5));
    world.name_seeds(&[4, 5, 3], 3);
    world.kill(4);
    world.kill(5);
    world.wipe(1);
    world.put(&[0, 1, 2], &document(6));
    wait_until("it is read back", || world.version(1) == Some(6));
}

/// The only seed is an entry that started again a moment ago with nobody but itself as a seed, and
/// knows no voter yet. The voters read their settings again and tell it of themselves, so that it
/// can tell the wiped one.
#[test]
fn voters_tell_seeds_that_were_named_after_their_start() {
    let mut world = Cluster::start(3, 1);
    world.put(&[3], &document(5));
    world.kill(3);
    world.name_seeds(&[3], 3);
    world.launch(3);
    wait_until("the new seed serves", || world.version(3) == Some(5));
    world.wipe(2);
}

/// The seed is frozen when a wiped voter comes back, and wakes some seconds later. Until then the
/// newcomer says whom it asked and what came of it.
#[test]
fn a_lost_disk_is_repaired_once_its_seed_wakes() {
    let mut world = Cluster::start(3, 1);
    world.put(&[0], &document(5));
    world.name_seeds(&[3], 3);
    // Until then the voters go on telling the wiped one of themselves, as one of their seeds.
    wait_until("the voters know the new seeds", || {
        (0..2).all(|n| world.has_logged(n, "seeds taken over"))
    });
    world.signal(3, "STOP");
    let before = world.lose_disk(2);
    wait_until("it explains itself", || {
        world.has_logged(2, "no leader takes this node in") && world.has_logged(2, ": not reached")
    });
    assert_eq!(
        world.promotions(2),
        before,
        "nobody could tell it of the group"
    );
    world.signal(3, "CONT");
    wait_until("it is a voter again", || world.promotions(2) > before);
}

/// An old seed: a voter that was replaced names the group it knew. Two changes of the seeds later
/// all processes start again at once, and find each other by the last seeds alone.
#[test]
fn all_start_again_after_the_seeds_changed_twice() {
    let mut world = Cluster::start(3, 3);
    world.put(&[4], &document(5));
    world.name_seeds(&[1, 4, 5], 3);
    world.wipe(0);
    world.name_seeds(&[3, 5], 3);
    for n in 0..6 {
        world.kill(n);
    }
    for n in 0..6 {
        world.launch(n);
    }
    for n in 0..6 {
        wait_until("it is read back", || world.version(n) == Some(5));
    }
    world.wipe(1);
}

/// One of three voters is gone for good. Everything is served as before, and the next loss would
/// take what was acknowledged with it: the leader shows it in its metrics and says it once.
#[test]
fn a_group_that_is_short_of_voters_shows_it() {
    let mut world = Cluster::start(3, 0);
    world.put(&[0], &document(5));
    world.kill(2);
    let short = |n: usize| {
        let metrics = world.metrics(n);
        let line = |count: &str, value: &str| {
            let mut lines = metrics.lines();
            lines.any(|l| l.contains("control_voters") && l.contains(count) && l.ends_with(value))
        };
        line("declared", " 3") && line("holding", " 2")
    };
    wait_until("the metrics show it", || (0..2).any(short));
    wait_until("the log says it", || {
        (0..2).any(|n| world.has_logged(n, "fewer voters hold the log"))
    });
}

/// An operator's change and a change of the seeds come with SIGHUP. The seeds are taken over; a
/// change of what is bound at the start is refused by its name.
#[test]
fn a_hangup_takes_over_what_may_change_and_refuses_the_rest() {
    let mut world = Cluster::start(1, 1);
    world.put(&[0], &document(1));
    world.name_seeds(&[1], 1);
    world.signal(0, "HUP");
    wait_until("the seeds are taken over", || {
        world.has_logged(0, "seeds taken over")
    });
    world.move_metrics(0, 8_011);
    world.signal(0, "HUP");
    wait_until("the change is refused by name", || {
        world.has_logged(0, "not taken over") && world.has_logged(0, "[listen]")
    });
}
