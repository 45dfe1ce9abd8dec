//! These tests run the membership protocol in a small simulated network and check which entries
//! learn what, how soon and with how many bytes sent.

#[path = "gossip_net/net.rs"]
mod net;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Write;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use filbertstack_core::Millis;
use filbertstack_policy::gossip::Announcement;
use filbertstack_policy::gossip::Change;
use filbertstack_policy::gossip::Departure;
use filbertstack_policy::gossip::Facts;
use filbertstack_policy::gossip::Gossip;
use filbertstack_policy::gossip::Liveness;
use filbertstack_policy::gossip::Message;
use filbertstack_policy::gossip::MessageKind;
use filbertstack_policy::gossip::Row;
use filbertstack_policy::gossip::RowKind;
use filbertstack_policy::gossip::SEEN_WITHIN;
use filbertstack_policy::gossip::Settings;
use filbertstack_policy::gossip::State;
use filbertstack_policy::gossip::entries_for_caller;
use filbertstack_policy::gossip::home_entries;
use net::Net;
use net::name;
use net::row;

const MAX_ROUNDS: usize = 12;

/// An entry announces that it is leaving. At any fleet size and with message loss, all other
/// entries must see this within [`MAX_ROUNDS`]; the number of links per entry stays bounded.
#[test]
fn leaving_entry_is_seen_by_all_within_max_rounds() {
    let mut table = String::new();
    for entries in [11, 50, 340] {
        let mut net = Net::settled(entries, 0, 0.0, Settings::DEFAULT);
        for (leaving_entry, loss) in [(5, 0.0), (6, 0.1), (7, 0.3)] {
            net.loss = loss;
            let leaving_entry = name('e', leaving_entry);
            let now = net.now;
            let node = net.nodes.get_mut(&leaving_entry).expect("known instance");
            node.set_own_state(State::Leaving, Facts::default(), now);
            let rounds = net.rounds_until(&leaving_entry, 100, |row| !row.takes_work());
            let rounds = rounds.expect("seen by all");
            writeln!(table, "{entries} entries, loss {loss}: {rounds} rounds")
                .expect("writing to a string succeeds");
            assert!(rounds <= MAX_ROUNDS, "{table}");
            let links = net.links.values().map(BTreeSet::len).max();
            assert!(links <= Some(40), "{links:?} of {entries}");
        }
    }
    println!("{table}");
    let max_time = Millis(MAX_ROUNDS as u64 * Settings::DEFAULT.round_interval.0);
    assert!(max_time <= SEEN_WITHIN);
}

/// Deliberately broken variant: each row is sent once and tables are never compared. An update that
/// is lost must stay lost.
#[test]
fn updates_sent_once_without_comparison_are_lost() {
    let settings = Settings {
        fanout: 1,
        max_sends: 1,
        compare_rounds: u64::MAX,
        ..Settings::DEFAULT
    };
    let mut net = Net::settled(50, 0, 0.3, settings);
    let leaving_entry = name('e', 5);
    let now = net.now;
    let node = net.nodes.get_mut(&leaving_entry).expect("known instance");
    node.set_own_state(State::Leaving, Facts::default(), now);
    assert_eq!(
        net.rounds_until(&leaving_entry, 100, |row| !row.takes_work()),
        None
    );
}

/// 340 entries and 2,000 targets are at rest, then a zone is lost. The bytes sent must stay within
/// the budget of 8 KB per second for both directions, and all entries must learn which entries are
/// dead.
#[test]
fn sent_bytes_stay_within_budget() {
    let mut net = Net::settled(340, 2000, 0.0, Settings::DEFAULT);
    let per_second = |net: &Net, rounds: u64| {
        let most = net.sent_bytes.values().max().copied().unwrap_or(0) as u64;
        let sum = net.sent_bytes.values().sum::<usize>() as u64;
        let span = rounds * net.settings.round_interval.0;
        (
            most * 1000 / span,
            sum * 1000 / span / net.nodes.len() as u64,
        )
    };
    net.run_rounds(20);
    let idle = per_second(&net, 20);
    net.sent_bytes.clear();
    let lost: Vec<_> = (0..26).map(|n| name('e', n * 13)).collect();
    net.nodes.retain(|name, _| !lost.contains(name));
    net.targets.retain(|name, _| !name.as_str().ends_with("13"));
    let seen = net.rounds_until(&lost[25].clone(), 100, Row::is_gone);
    net.run_rounds(50 - seen.expect("seen").min(50));
    let burst = per_second(&net, 50);
    println!("bytes/s sent (most, mean): at rest {idle:?}, with a zone lost {burst:?}, {seen:?}");
    net.run_rounds(5);
    let dead = |node: &Gossip| lost.iter().all(|l| node.row(l).is_some_and(Row::is_gone));
    assert!(net.nodes.values().all(dead));
    assert!(idle.1 < 1000 && burst.1 < 4000, "{idle:?} {burst:?}");
}

/// A target leaves and its process is gone. An entry that was cut off during this time still has
/// the old row and spreads it when it returns: the target must not be revived. A new incarnation of
/// the target must be accepted at once.
#[test]
fn old_row_does_not_revive_departed_target() {
    for (tombstone_ttl, is_revived) in [(Settings::DEFAULT.tombstone_ttl, false), (Millis(1), true)]
    {
        let settings = Settings {
            tombstone_ttl,
            ..Settings::DEFAULT
        };
        let mut net = Net::settled(11, 4, 0.0, settings);
        let target = name('t', 1);
        let cut_off = name('e', 7);
        net.partitions.insert(cut_off.clone(), 1);
        let mut departed = net.targets.remove(&target).expect("known instance");
        let old_row = departed.clone();
        departed.version += 1;
        departed.state = State::Left;
        let now = net.now;
        let home = home_entries(
            &target,
            &departed.region,
            net.nodes.values().map(Gossip::own_row),
        );
        let home = home
            .iter()
            .find(|home| **home != cut_off)
            .expect("a reachable home entry");
        let home = net.nodes.get_mut(home).expect("known instance");
        home.receive_announcement(
            Announcement {
                row: departed.clone(),
            },
            now,
        );
        net.run_rounds(30);
        let message = Message {
            kind: MessageKind::Answer,
            rows: vec![old_row],
            summary: None,
        };
        let now = net.now;
        let node = net.nodes.get_mut(&name('e', 2)).expect("known instance");
        node.receive(&cut_off, message, now);
        let other_rows = net
            .nodes
            .values()
            .filter(|node| node.own_row().name != cut_off);
        let mut other_rows = other_rows.filter_map(|node| node.row(&target));
        // Deliberately broken variant: when the rows of gone instances are removed at once, the old
        // row is accepted.
        assert_eq!(other_rows.any(Row::takes_work), is_revived);
        let mut restarted = departed;
        restarted.incarnation += 1;
        restarted.version = 1;
        restarted.state = State::Up;
        net.targets.insert(target.clone(), restarted);
        assert!(
            net.rounds_until(&target, MAX_ROUNDS, Row::takes_work)
                .is_some()
        );
    }
}

/// Two regions lose contact and each declares the other dead. After the network has recovered, all
/// entries must consider each other alive again without any restart.
#[test]
fn partitioned_regions_rejoin() {
    let mut net = Net::settled(50, 30, 0.0, Settings::DEFAULT);
    for n in (0..50).step_by(6) {
        net.partitions.insert(name('e', n), 1);
    }
    net.run_rounds(400);
    let remote_row = net.nodes[&name('e', 1)]
        .row(&name('e', 6))
        .expect("a row of the remote entry");
    assert_eq!(remote_row.liveness, Liveness::Dead);
    net.partitions.clear();
    let healed = (0..150).find(|_| {
        net.round();
        net.not_alive_count() == 0
    });
    println!("healed after {healed:?} rounds");
    assert!(healed.is_some(), "{} rows not alive", net.not_alive_count());
}

/// An entry is frozen for longer than its neighbours wait, then continues. It must become suspect,
/// refute that with a higher version, and never be declared dead. In the deliberately broken
/// variant it has no time to refute and is declared dead.
#[test]
fn suspect_entry_refutes_in_time() {
    for (suspect_timeout, is_declared_dead) in [
        (Settings::DEFAULT.suspect_timeout, false),
        (Millis(1), true),
    ] {
        let settings = Settings {
            suspect_timeout,
            ..Settings::DEFAULT
        };
        let mut net = Net::settled(50, 0, 0.1, settings);
        let frozen = name('e', 9);
        net.partitions.insert(frozen.clone(), 1);
        let rounds = settings.silence_timeout.0 / settings.round_interval.0 + 3;
        net.run_rounds(usize::try_from(rounds).expect("a small number of rounds"));
        net.partitions.clear();
        let mut suspected = false;
        let mut dead = false;
        for _ in 0..40 {
            let rows = net.nodes.values().filter_map(|node| node.row(&frozen));
            for row in rows {
                suspected |= row.liveness == Liveness::Suspect;
                dead |= row.liveness == Liveness::Dead;
            }
            net.round();
        }
        assert_eq!(
            (suspected || is_declared_dead, dead),
            (true, is_declared_dead)
        );
        let rows = net.nodes.values().filter_map(|node| node.row(&frozen));
        assert!(rows.into_iter().all(|row| row.liveness == Liveness::Alive));
    }
}

/// A target dies without notice. Its home entries must suspect it, then all entries must learn that
/// it is dead. With message loss no living target may be declared dead.
#[test]
fn only_the_silent_target_is_declared_dead() {
    let mut net = Net::settled(50, 120, 0.1, Settings::DEFAULT);
    let dead = name('t', 17);
    net.targets.remove(&dead);
    let rounds = net
        .rounds_until(&dead, 100, Row::is_gone)
        .expect("seen by all");
    println!("dead target seen by all after {rounds} rounds");
    net.run_rounds(200);
    let rows = net.nodes.values().flat_map(Gossip::rows);
    let wrongly_dead = rows.filter(|row| row.liveness == Liveness::Dead && row.name != dead);
    assert_eq!(wrongly_dead.count(), 0);
}

/// A new entry knows only the seeds. It must learn all rows, those of 61 entries and 2,000 targets,
/// within half a minute.
#[test]
fn new_entry_learns_all_rows() {
    let mut net = Net::settled(60, 2000, 0.0, Settings::DEFAULT);
    net.start(60, 1);
    let new_entry = name('e', 60);
    let rounds = (0..200).find(|_| {
        net.round();
        net.nodes[&new_entry].rows().count() == 2061
    });
    println!("the new entry knows all rows after {rounds:?} rounds");
    assert!(rounds.is_some_and(|rounds| rounds <= 75), "{rounds:?}");
}

/// A second process starts under a name that a process with a higher incarnation uses: the second
/// one must be notified.
#[test]
fn taken_name_is_reported() {
    let mut net = Net::settled(11, 0, 0.0, Settings::DEFAULT);
    net.start(4, 0);
    net.run_rounds(20);
    let second_process = net.nodes.get_mut(&name('e', 4)).expect("known instance");
    let taken = Change::NameTaken { incarnation: 1 };
    assert!(second_process.take_changes().contains(&taken));
}

/// Callers are spread over all entries, keep their entry when another one leaves, and are not told
/// about a leaving entry. The leaving entry serves until the last address given out has expired.
#[test]
fn callers_are_spread_and_leaving_entry_waits_for_max_age() {
    let net = Net::settled(11, 0, 0.0, Settings::DEFAULT);
    let mut rows: Vec<_> = net
        .nodes
        .values()
        .map(|node| node.own_row().clone())
        .collect();
    let first = |rows: &[Row], caller: usize| {
        entries_for_caller(&format!("caller-{caller}"), None, rows.iter(), 3)[0].clone()
    };
    let before: Vec<_> = (0..1100).map(|caller| first(&rows, caller)).collect();
    let mut counts = BTreeMap::<_, usize>::new();
    for entry in &before {
        *counts.entry(entry).or_default() += 1;
    }
    let (least, most) = (counts.values().min(), counts.values().max());
    assert!(least > Some(&70) && most < Some(&135), "{counts:?}");
    rows[4].state = State::Leaving;
    let leaving_entry = rows[4].name.clone();
    for (caller, entry) in before.iter().enumerate() {
        let after = first(&rows, caller);
        assert!(after != leaving_entry && (after == *entry || *entry == leaving_entry));
    }
    let departure = Departure::begin(Millis::secs(100), Millis::secs(30));
    let end = Millis::secs(130) + SEEN_WITHIN;
    assert!(!departure.is_over(end - Millis(1)));
    assert!(departure.is_over(end));
}

/// An entry's link flaps ten times: down for as long as it takes to become suspect, then up for as
/// long. The entry must never be declared dead, and in the end nobody may suspect it.
#[test]
fn flapping_entry_is_never_declared_dead() {
    let mut net = Net::settled(50, 0, 0.0, Settings::DEFAULT);
    let flapping = name('e', 9);
    for turn in 0..20 {
        net.partitions.insert(flapping.clone(), 1 - turn % 2);
        for _ in 0..12 {
            net.round();
            let mut rows = net.nodes.values().filter_map(|node| node.row(&flapping));
            assert!(
                rows.all(|row| row.liveness != Liveness::Dead),
                "turn {turn}"
            );
        }
    }
    net.run_rounds(30);
    assert_eq!(net.not_alive_count(), 0);
}

/// Rows of three instances arrive in any order and more than once: all tables must be equal in the
/// end.
#[test]
fn arrival_order_does_not_matter() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    for _ in 0..500 {
        let mut rows = Vec::new();
        for _ in 0..12 {
            let mut one = row(&name('t', rng.random_range(0..3)), RowKind::Target, 0, 1);
            one.incarnation = rng.random_range(1..3);
            one.version = rng.random_range(1..4);
            let levels = [Liveness::Alive, Liveness::Suspect, Liveness::Dead];
            one.liveness = levels[rng.random_range(0..3)];
            rows.push(one);
        }
        let mut tables = Vec::new();
        for n in 0..3 {
            let me = row(&name('e', n), RowKind::Entry, 0, 1);
            let mut node = Gossip::new(me, Vec::new(), Settings::DEFAULT, 1);
            // All instances are known from the start, because an entry keeps no row of a gone
            // instance that it does not know.
            let mut order: Vec<_> = (0..3)
                .map(|t| row(&name('t', t), RowKind::Target, 0, 0))
                .collect();
            let mut rest = [rows.clone(), rows.clone()].concat();
            while !rest.is_empty() {
                order.push(rest.swap_remove(rng.random_range(0..rest.len())));
            }
            for one in order {
                let message = Message {
                    kind: MessageKind::Answer,
                    rows: vec![one],
                    summary: None,
                };
                node.receive(&name('x', 0), message, Millis::ZERO);
            }
            let targets = node.rows().filter(|row| row.kind == RowKind::Target);
            tables.push(targets.cloned().collect::<Vec<_>>());
        }
        assert!(
            tables.windows(2).all(|pair| pair[0] == pair[1]),
            "{tables:?}"
        );
    }
}

/// A target that does not know the entries well yet announces itself to an entry that is not one of
/// its home entries. That entry must not monitor it, so the target's later silence must not make it
/// suspect.
#[test]
fn only_home_entries_suspect_a_target() {
    let mut net = Net::settled(11, 4, 0.0, Settings::DEFAULT);
    let target = net.targets[&name('t', 1)].clone();
    let homes = home_entries(
        &target.name,
        &target.region,
        net.nodes.values().map(Gossip::own_row),
    );
    let now = net.now;
    let non_home = net
        .nodes
        .values_mut()
        .find(|node| !homes.contains(&node.own_row().name));
    let non_home = non_home.expect("an entry that is not a home entry");
    non_home.receive_announcement(Announcement { row: target }, now);
    for _ in 0..40 {
        net.round();
        assert_eq!(net.not_alive_count(), 0);
    }
}
