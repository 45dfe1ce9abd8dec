//! Late, crossed and lost statements about processes.

use std::sync::Arc;

use filbertstack_core::Millis;
use filbertstack_policy::registry::Applied;
use filbertstack_policy::registry::Registry;
use filbertstack_policy::registry::Stamp;
use filbertstack_policy::registry::UNLISTED_TTL;

fn at(born: u64, sequence: u64) -> Stamp {
    Stamp { born, sequence }
}

fn id(text: &str) -> Arc<str> {
    text.into()
}

/// A target drains; a statement from before, delayed by a partition, arrives after that and says
/// "ready". Taken, requests would be sent to a target that ends, and be lost with it.
#[test]
fn a_late_statement_does_not_undo_a_drain() {
    let mut registry = Registry::default();
    let now = Millis(0);
    registry.apply(&id("i"), at(1, 4), "ready", false, now);
    registry.apply(&id("i"), at(1, 6), "draining", false, now);
    let late = registry.apply(&id("i"), at(1, 5), "ready", false, now);
    assert_eq!(late, Applied::Stale);
    assert_eq!(
        registry.get("i").map(|(value, _, _)| *value),
        Some("draining")
    );
}

/// A target crashes and starts again under its id; its counts start anew. A statement of its
/// first life arrives last. The second life's must win though its sequence is lower.
#[test]
fn a_second_start_goes_before_the_first() {
    let mut registry = Registry::default();
    registry.apply(&id("i"), at(1, 90), "first", false, Millis(0));
    let second = registry.apply(&id("i"), at(2, 1), "second", false, Millis(1));
    assert_eq!(second, Applied::Changed);
    let crossed = registry.apply(&id("i"), at(1, 91), "first", false, Millis(2));
    assert_eq!(crossed, Applied::Stale);
}

/// A target says goodbye, and a statement that it sent before arrives after that. It must not
/// come back by it; a new start under the same id must.
#[test]
fn what_has_left_comes_back_only_by_a_new_start() {
    let mut registry = Registry::default();
    registry.apply(&id("i"), at(1, 1), "a", false, Millis(0));
    assert!(registry.remove("i", Millis(1)));
    assert!(!registry.remove("i", Millis(1)), "it has left already");
    assert_eq!(
        registry.apply(&id("i"), at(1, 2), "a", false, Millis(2)),
        Applied::Stale
    );
    assert_eq!(registry.present().count(), 0);
    let again = registry.apply(&id("i"), at(2, 1), "a", false, Millis(3));
    assert_eq!(again, Applied::Changed);
    assert_eq!(registry.present().count(), 1);
}

/// A target is silent for longer than its patience and then goes on, under the same start: a
/// freeze. It is taken out, and must come back with its next statement.
#[test]
fn a_silent_process_comes_back_with_its_next_statement() {
    let mut registry = Registry::default();
    registry.apply(&id("i"), at(1, 1), "a", false, Millis(0));
    let patience = |_: &&str| Millis(100);
    assert_eq!(registry.expire(Millis(100), patience).len(), 0);
    assert_eq!(registry.expire(Millis(101), patience).len(), 1);
    assert_eq!(registry.present().count(), 0);
    let back = registry.apply(&id("i"), at(1, 2), "a", false, Millis(150));
    assert_eq!(back, Applied::Changed);
}

/// All voters have just started and list nobody. A follower that took their list as the truth
/// would refuse every request until all targets have reported again.
#[test]
fn an_empty_list_does_not_empty_the_registry_at_once() {
    let mut registry = Registry::default();
    registry.apply(&id("i"), at(1, 1), "a", false, Millis(0));
    registry.begin_listing(Millis(10));
    assert!(!registry.prune(Millis(10) + UNLISTED_TTL));
    assert_eq!(registry.present().count(), 1);
    registry.apply(&id("i"), at(1, 2), "a", false, Millis(20));
    assert!(!registry.prune(Millis(60_000)), "it was listed since");
    registry.begin_listing(Millis(60_000));
    assert!(
        registry.prune(Millis(60_001) + UNLISTED_TTL),
        "it never was"
    );
}

#[test]
fn the_same_again_is_no_change() {
    let mut registry = Registry::default();
    registry.apply(&id("i"), at(1, 1), "a", false, Millis(0));
    let again = registry.apply(&id("i"), at(1, 2), "a", false, Millis(1));
    assert_eq!(again, Applied::Refreshed);
}

/// A voter is frozen for five seconds, with all that it knows. When it wakes, the last statement of
/// every process is five seconds old: taken for silence, callers would be refused until each target
/// has reported again. Who is silent from then on is taken out as before.
#[test]
fn a_node_that_could_hear_nobody_takes_nobody_out() {
    let mut registry = Registry::default();
    registry.apply(&id("i"), at(1, 1), "a", false, Millis(0));
    let patience = |_: &&str| Millis(100);
    registry.extend_deadlines(Millis(5_000));
    assert_eq!(registry.expire(Millis(5_100), patience).len(), 0);
    assert_eq!(registry.present().count(), 1);
    assert_eq!(registry.expire(Millis(5_101), patience).len(), 1);
}
