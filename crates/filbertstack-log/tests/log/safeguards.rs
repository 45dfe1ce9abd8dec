//! Tests that the checker detects a replica without one of its safeguards.
//!
//! Each test switches one safeguard off and searches, or plays a scenario, until the checker
//! reports the violation that the safeguard prevents. It then plays the scenario with the safeguard
//! on. Without these tests, the search in `fuzz` could pass because the checker detects nothing.

use std::time::Duration;

use filbertstack_log::Change;
use filbertstack_log::Safeguards;
use proptest::strategy::Strategy as _;
use proptest::strategy::ValueTree as _;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use crate::support::checker::Violation;
use crate::support::steps::script;
use crate::support::world::Variant;
use crate::support::world::World;

/// The number of scripts that a search tries.
const TRIES: usize = 1_000;
/// The number of seeds that a scenario is played with.
const SEEDS: u64 = 40;

fn without(switch: impl FnOnce(&mut Safeguards)) -> Variant {
    let mut variant = Variant::default();
    switch(&mut variant.safeguards);
    variant
}

/// Returns the first wanted violation that a search finds; any other violation only ends its
/// script.
fn search(variant: Variant, wanted: fn(&Violation) -> bool) -> Option<Violation> {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    (0..TRIES).find_map(|_| {
        let (seed, voters, steps) = script().new_tree(&mut runner).unwrap().current();
        let found = World::new(seed, voters, variant).play(&steps).err();
        found.filter(wanted)
    })
}

fn assert_found(variant: Variant, wanted: fn(&Violation) -> bool) {
    assert_ne!(search(variant, wanted), None, "the broken replica passed");
}

/// Plays a scenario with several seeds and returns the first violation.
fn play(scenario: fn(&mut World), voters: usize, variant: Variant) -> Option<Violation> {
    (0..SEEDS).find_map(|seed| {
        let mut world = World::new(seed, voters, variant);
        scenario(&mut world);
        world.checker.violation.clone()
    })
}

fn assert_detected(
    scenario: fn(&mut World),
    voters: usize,
    broken: Variant,
    wanted: fn(&Violation) -> bool,
) {
    let found = play(scenario, voters, broken);
    assert!(found.as_ref().is_some_and(wanted), "found {found:?}");
    assert_eq!(play(scenario, voters, Variant::default()), None);
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn stale_read(violation: &Violation) -> bool {
    matches!(violation, Violation::StaleRead { .. })
}

/// A voter answers before its term and vote are on disk, and dies. It comes back in an earlier
/// term, in which it may vote again.
#[test]
fn a_vote_that_is_not_durable_is_detected() {
    let back = |v: &Violation| {
        matches!(
            v,
            Violation::VotedTwice { .. } | Violation::TermDecreased { .. }
        )
    };
    assert_found(without(|s| s.durable_votes = false), back);
}

/// A follower acknowledges entries before they are on disk, and dies. Entries that callers were
/// told are committed are lost.
#[test]
fn an_entry_that_is_not_durable_is_detected() {
    let lost =
        |v: &Violation| matches!(v, Violation::Diverged { .. } | Violation::ProtocolBroken(_));
    assert_found(without(|s| s.durable_entries = false), lost);
}

/// The disk reports a sync as done without doing it.
#[test]
fn a_disk_that_does_not_sync_is_detected() {
    let unsynced = Variant {
        lying_disks: true,
        ..Variant::default()
    };
    let lost = |v: &Violation| {
        matches!(
            v,
            Violation::TermDecreased { .. } | Violation::VotedTwice { .. }
        )
    };
    assert_found(unsynced, lost);
}

/// A voter whose disk was lost comes back under its old identity and votes without its earlier
/// state.
#[test]
fn a_vote_without_saved_state_is_detected() {
    let mut stateless = without(|s| s.members_vote = false);
    stateless.keeps_identity = true;
    let unsafe_vote = |v: &Violation| {
        matches!(
            v,
            Violation::VotedTwice { .. } | Violation::TwoLeaders { .. }
        )
    };
    assert_found(stateless, unsafe_vote);
}

/// A learner becomes a voter before it holds every committed entry. If another voter is lost at
/// that moment, accepted entries are lost.
#[test]
fn an_early_promotion_is_detected() {
    let early = |v: &Violation| matches!(v, Violation::EarlyVoter { .. });
    assert_found(without(|s| s.caught_up = false), early);
}

/// A leader is cut off with a promotion that only the new voter received. Its successor removes the
/// old leader before an entry of its own term is committed. The two memberships differ by two
/// members and have disjoint majorities, so both commit.
#[test]
fn two_changes_at_once_are_detected() {
    fn scenario(world: &mut World) {
        const SPARE: usize = 4;
        let old = world.elect(&[0, 1, 2, 3]);
        world.run(ms(500));
        let spare = world.member(SPARE);
        world.change_at(old, Change::AddLearner(spare.clone()));
        world.run(ms(1_000));
        let rest: Vec<usize> = (0..4).filter(|at| *at != old).collect();
        world.cut(&[old, SPARE], &rest);
        world.cut(&rest, &[old, SPARE]);
        world.change_at(old, Change::Promote(spare.id()));
        world.run(ms(500));
        let new = world.elect(&rest);
        let outside: Vec<usize> = rest.iter().copied().filter(|at| *at != new).collect();
        world.isolate(outside[0]);
        world.run(ms(200));
        world.change_at(new, Change::Remove(world.member(old).id()));
        world.propose_at(new, None);
        world.run(ms(500));
        let pair = [new, outside[1]];
        world.heal();
        world.cut(&pair, &[old, outside[0], SPARE]);
        world.cut(&[old, outside[0], SPARE], &pair);
        world.run(ms(10_000));
    }
    let split = |v: &Violation| {
        matches!(
            v,
            Violation::Diverged { .. }
                | Violation::ProtocolBroken(_)
                | Violation::TwoLeaders { .. }
        )
    };
    assert_detected(scenario, 4, without(|s| s.one_change = false), split);
}

/// A new leader serves a read before it knows how far its predecessor committed.
#[test]
fn a_read_before_the_noop_is_detected() {
    assert_found(without(|s| s.read_after_noop = false), stale_read);
}

/// A leader freezes with answers to its heartbeats in its sockets, is replaced meanwhile, and reads
/// the answers when it wakes. They do not confirm that it still leads.
#[test]
fn a_lease_counted_from_receipt_is_detected() {
    fn scenario(world: &mut World) {
        let old = world.elect(&[0, 1, 2]);
        world.propose_at(old, None);
        world.run(ms(600));
        let round = world.status(old).lease;
        world.run_until(60, |w| w.status(old).lease != round);
        world.run(ms(170));
        world.freeze(old, 7_000);
        world.run(ms(100));
        world.isolate(old);
        let others: Vec<usize> = (0..3).filter(|at| *at != old).collect();
        let new = world.elect(&others);
        world.run(ms(300));
        world.propose_at(new, None);
        world.run(ms(300));
        world.read_at(old);
        world.run(ms(6_000));
    }
    assert_detected(
        scenario,
        3,
        without(|s| s.lease_from_send = false),
        stale_read,
    );
}

/// The instance of a leader is suspended, and its monotonic clock with it. By that clock the lease
/// still runs when it wakes, although the leader was replaced long ago.
#[test]
fn a_paused_clock_is_detected() {
    fn scenario(world: &mut World) {
        let old = world.elect(&[0, 1, 2]);
        world.propose_at(old, None);
        world.run(ms(600));
        world.suspend(old, 8_000);
        world.isolate(old);
        let others: Vec<usize> = (0..3).filter(|at| *at != old).collect();
        let new = world.elect(&others);
        world.run(ms(300));
        world.propose_at(new, None);
        world.run(ms(300));
        world.read_at(old);
        world.run(ms(8_000));
    }
    let trusting = Variant {
        trusts_clock: true,
        ..Variant::default()
    };
    assert_detected(scenario, 3, trusting, stale_read);
}

/// A follower that cannot hear the leader campaigns. Another follower, which hears the leader,
/// votes for it while the leader still serves reads under the lease that this voter confirmed.
#[test]
fn a_vote_during_the_lease_is_detected() {
    fn scenario(world: &mut World) {
        let old = world.elect(&[0, 1, 2]);
        world.propose_at(old, None);
        world.run(ms(600));
        let others: Vec<usize> = (0..3).filter(|at| *at != old).collect();
        let deaf = others[0];
        world.cut(&[old], &[deaf]);
        let term = world.status(old).term;
        world.run_until(300, |w| {
            w.status(deaf).term > term || !w.leaders().contains(&old)
        });
        world.cut(&others, &[old]);
        if world.run_until(100, |w| w.leaders().contains(&deaf)) {
            world.propose_at(deaf, None);
            world.run(ms(200));
            world.read_at(old);
            world.run(ms(100));
        }
    }
    assert_detected(
        scenario,
        3,
        without(|s| s.sticky_leader = false),
        stale_read,
    );
}

/// A leader that told a voter to campaign hears nothing of the new leader, and continues to serve
/// reads under a lease that its voters no longer respect.
#[test]
fn a_lease_after_a_transfer_is_detected() {
    fn scenario(world: &mut World) {
        let old = world.elect(&[0, 1, 2]);
        world.propose_at(old, None);
        world.run(ms(600));
        world.transfer_at(old);
        let others: Vec<usize> = (0..3).filter(|at| *at != old).collect();
        world.cut(&others, &[old]);
        let new = world.elect(&others);
        world.run(ms(150));
        world.propose_at(new, None);
        world.run(ms(150));
        world.read_at(old);
        world.run(ms(100));
    }
    assert_detected(
        scenario,
        3,
        without(|s| s.transfer_lease = false),
        stale_read,
    );
}

/// An entry of an earlier term reaches a majority, is counted as committed, and is then replaced by
/// the leader of a term in between.
#[test]
fn a_commit_of_an_earlier_term_by_count_is_detected() {
    fn scenario(world: &mut World) {
        let all = [0, 1, 2, 3, 4];
        let first = world.elect(&all);
        world.propose_at(first, None);
        world.run(ms(600));
        // The entry reaches one other replica.
        let rest: Vec<usize> = all.into_iter().filter(|at| *at != first).collect();
        world.cut(&[first], &rest[1..]);
        world.propose_at(first, None);
        world.run(ms(150));
        let contested = world.status(first).last;
        let pair = [first, rest[0]];
        // The others elect a leader whose own entry at that index reaches no other replica.
        world.isolate(first);
        world.isolate(rest[0]);
        let between = world.elect(&rest[1..]);
        world.isolate(between);
        world.run(ms(100));
        // One of the pair leads again and replicates the entry.
        world.heal();
        world.isolate(between);
        let again = world.elect(&pair);
        world.run_until(100, |w| w.status(again).commit >= contested);
        // The pair is cut off, and the leader of the term in between comes back.
        world.isolate(pair[0]);
        world.isolate(pair[1]);
        let late: Vec<usize> = rest[1..].to_vec();
        world.heal();
        world.cut(&pair, &late);
        world.cut(&late, &pair);
        world.elect(&late);
        world.run(ms(1_000));
    }
    let replaced =
        |v: &Violation| matches!(v, Violation::Diverged { .. } | Violation::ProtocolBroken(_));
    assert_detected(
        scenario,
        5,
        without(|s| s.commit_own_term = false),
        replaced,
    );
}

/// Returns the term of a group before a follower was cut off for long and after it came back.
fn term_after_return(variant: Variant) -> (u64, u64) {
    let mut world = World::new(1, 3, variant);
    let leader = world.elect(&[0, 1, 2]);
    world.run(ms(500));
    let before = world.status(leader).term;
    world.isolate((leader + 1) % 3);
    world.run(ms(20_000));
    world.heal();
    world.run(ms(5_000));
    (before, world.status(leader).term)
}

/// A follower that was cut off comes back with a term that it raised many times, and makes the
/// leader of the others step down.
#[test]
fn a_return_without_pre_vote_is_detected() {
    let (before, after) = term_after_return(without(|s| s.pre_vote = false));
    assert!(after > before);
    let (before, after) = term_after_return(Variant::default());
    assert_eq!(after, before);
}

/// Returns whether a leader that was cut off for long still considers itself the leader.
fn leads_isolated(variant: Variant) -> bool {
    let mut world = World::new(1, 3, variant);
    let old = world.elect(&[0, 1, 2]);
    world.isolate(old);
    world.run(ms(10_000));
    world.leaders().contains(&old)
}

/// A leader cut off by a partition continues to accept proposals that can never be committed.
#[test]
fn a_leader_without_check_quorum_is_detected() {
    assert!(leads_isolated(without(|s| s.check_quorum = false)));
    assert!(!leads_isolated(Variant::default()));
}
