//! Tests of late, reordered and lost statements about processes.

use std::sync::Arc;

use filbertstack_core::Millis;
use filbertstack_policy::registry::Applied;
use filbertstack_policy::registry::REMOVED_TTL;
use filbertstack_policy::registry::Registry;
use filbertstack_policy::registry::Stamp;
use filbertstack_policy::registry::UNLISTED_TTL;

fn stamp(born: u64, sequence: u64) -> Stamp {
    Stamp { born, sequence }
}

fn id(text: &str) -> Arc<str> {
    text.into()
}

/// Guards against an earlier "ready" statement, delayed by a partition, that arrives after the target
/// began to drain. Requests would be sent to a target that ends, and be lost.
#[test]
fn a_late_statement_does_not_undo_a_drain() {
    let mut registry = Registry::default();
    let now = Millis(0);
    registry.apply(&id("i"), stamp(1, 4), "ready", false, now);
    registry.apply(&id("i"), stamp(1, 6), "draining", false, now);
    let late = registry.apply(&id("i"), stamp(1, 5), "ready", false, now);
    assert_eq!(late, Applied::Stale);
    assert_eq!(
        registry.get("i").map(|(value, _, _)| *value),
        Some("draining")
    );
}

/// Guards against a late statement from before a crash. The target restarts under its id with a new
/// count, so that its statements supersede earlier ones with a higher sequence.
#[test]
fn a_second_start_supersedes_the_first() {
    let mut registry = Registry::default();
    registry.apply(&id("i"), stamp(1, 90), "first", false, Millis(0));
    let second = registry.apply(&id("i"), stamp(2, 1), "second", false, Millis(1));
    assert_eq!(second, Applied::Changed);
    let late = registry.apply(&id("i"), stamp(1, 91), "first", false, Millis(2));
    assert_eq!(late, Applied::Stale);
}

/// Guards against an earlier statement that restores a removed target. Only a new start under the same
/// id restores it.
#[test]
fn a_removed_process_returns_only_with_a_new_start() {
    let mut registry = Registry::default();
    registry.apply(&id("i"), stamp(1, 1), "a", false, Millis(0));
    assert!(registry.remove("i", Millis(1)));
    assert!(!registry.remove("i", Millis(1)), "it has left already");
    assert_eq!(
        registry.apply(&id("i"), stamp(1, 2), "a", false, Millis(2)),
        Applied::Stale
    );
    assert_eq!(registry.present().count(), 0);
    let again = registry.apply(&id("i"), stamp(2, 1), "a", false, Millis(3));
    assert_eq!(again, Applied::Changed);
    assert_eq!(registry.present().count(), 1);
}

/// Guards against a target that stays removed after a freeze. It is dropped after its timeout and
/// returns with its next statement, under the same start.
#[test]
fn a_silent_process_returns_with_its_next_statement() {
    let mut registry = Registry::default();
    registry.apply(&id("i"), stamp(1, 1), "a", false, Millis(0));
    let timeout = |_: &&str| Millis(100);
    assert_eq!(registry.expire(Millis(100), timeout).len(), 0);
    assert_eq!(registry.expire(Millis(101), timeout).len(), 1);
    assert_eq!(registry.present().count(), 0);
    let back = registry.apply(&id("i"), stamp(1, 2), "a", false, Millis(150));
    assert_eq!(back, Applied::Changed);
}

/// Guards against the empty list of voters that have just started. A follower that applied it at once
/// would refuse every request until all targets have reported again.
#[test]
fn an_empty_list_does_not_empty_the_registry_at_once() {
    let mut registry = Registry::default();
    registry.apply(&id("i"), stamp(1, 1), "a", false, Millis(0));
    registry.begin_listing(Millis(10));
    assert!(!registry.prune(Millis(10) + UNLISTED_TTL));
    assert_eq!(registry.present().count(), 1);
    registry.apply(&id("i"), stamp(1, 2), "a", false, Millis(20));
    assert!(!registry.prune(Millis(60_000)), "it was listed since");
    registry.begin_listing(Millis(60_000));
    assert!(
        registry.prune(Millis(60_001) + UNLISTED_TTL),
        "it never was"
    );
}

#[test]
fn a_repeated_value_is_no_change() {
    let mut registry = Registry::default();
    registry.apply(&id("i"), stamp(1, 1), "a", false, Millis(0));
    let again = registry.apply(&id("i"), stamp(1, 2), "a", false, Millis(1));
    assert_eq!(again, Applied::Refreshed);
}

/// Guards against a voter that drops all processes after it was frozen for five seconds. The last
/// statement of every process is then five seconds old, and callers would be refused until each target
/// has reported again. Processes that are silent from then on are dropped as usual.
#[test]
fn a_node_that_was_cut_off_drops_no_process() {
    let mut registry = Registry::default();
    registry.apply(&id("i"), stamp(1, 1), "a", false, Millis(0));
    let timeout = |_: &&str| Millis(100);
    registry.extend_deadlines(Millis(5_000));
    assert_eq!(registry.expire(Millis(5_100), timeout).len(), 0);
    assert_eq!(registry.present().count(), 1);
    assert_eq!(registry.expire(Millis(5_101), timeout).len(), 1);
}

/// Guards against a process that has said that it leaves and is restored by a later statement of the same start.
#[test]
fn a_process_that_left_returns_only_with_a_new_start() {
    let mut registry = Registry::default();
    registry.apply(&id("i"), stamp(1, 4), "a", true, Millis(0));
    let later = registry.apply(&id("i"), stamp(1, 5), "a", false, Millis(1));
    assert_eq!(later, Applied::Stale);
    assert_eq!(registry.present().count(), 0);
}

/// Guards against a removed process that stays known at a node which has heard a later statement of it.
#[test]
fn a_removal_supersedes_all_statements_of_its_start() {
    let mut first = Registry::default();
    first.apply(&id("i"), stamp(1, 1), "a", false, Millis(0));
    first.remove("i", Millis(1));
    let mut second = Registry::default();
    second.apply(&id("i"), stamp(1, 9), "a", false, Millis(0));
    for (id, value, stamp, gone) in first.all() {
        assert_eq!(
            second.apply(id, stamp, *value, gone, Millis(2)),
            Applied::Changed
        );
    }
    assert_eq!(second.present().count(), 0);
}

/// Guards against a late statement that restores a removed process, and against removed ones that are kept for ever.
#[test]
fn a_removed_process_is_known_for_a_minute() {
    let mut registry = Registry::default();
    registry.apply(&id("i"), stamp(1, 1), "a", false, Millis(0));
    registry.remove("i", Millis(0));
    registry.prune(REMOVED_TTL - Millis(1));
    assert!(registry.get("i").is_some());
    registry.prune(REMOVED_TTL);
    assert!(registry.get("i").is_none());
    assert!(
        REMOVED_TTL >= Millis::secs(60),
        "links hold statements back for seconds"
    );
}

/// Guards against a process that no source lists and that is kept, as the node changes its source again and again.
#[test]
fn a_second_listing_does_not_extend_the_time_of_an_unlisted_process() {
    let mut registry = Registry::default();
    registry.apply(&id("i"), stamp(1, 1), "a", false, Millis(0));
    for listing in 1..5 {
        registry.begin_listing(Millis::secs(listing));
    }
    assert!(registry.prune(Millis::secs(1) + UNLISTED_TTL + Millis(1)));
}

/// Guards against a restart that nobody is told of, as the process states the same as before.
#[test]
fn a_new_start_is_a_change() {
    let mut registry = Registry::default();
    registry.apply(&id("i"), stamp(1, 9), "a", false, Millis(0));
    let again = registry.apply(&id("i"), stamp(2, 1), "a", false, Millis(1));
    assert_eq!(again, Applied::Changed);
}
