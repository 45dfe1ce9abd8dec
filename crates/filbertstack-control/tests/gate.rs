//! The agent's gate across restarts, old leaders and delayed messages.

use std::collections::BTreeSet;

use filbertstack_control::gate::ArmedGate;
use filbertstack_control::gate::Arming;
use filbertstack_control::gate::Delivery;
use filbertstack_control::gate::NotRun;
use filbertstack_control::gate::OrderStatus;
use filbertstack_control::gate::Refusal;
use filbertstack_control::gate::UnarmedGate;
use filbertstack_control::gate::Versions;
use filbertstack_control::gate::VoterReport;
use filbertstack_core::Digest;

fn word(voter: &str, term: u64, config: u64, voters: &[&str]) -> VoterReport {
    let name = |text: &&str| text.parse().expect("a name");
    VoterReport {
        voter: name(&voter),
        term,
        config_index: config,
        voters: voters.iter().map(name).collect::<BTreeSet<_>>(),
    }
}

fn armed(heard: Arming) -> ArmedGate {
    match heard {
        Arming::Armed(armed) => armed,
        Arming::Waiting(_) => panic!("still waiting"),
    }
}

fn waiting(heard: Arming) -> UnarmedGate {
    match heard {
        Arming::Waiting(newborn) => newborn,
        Arming::Armed(armed) => panic!("armed too early: {armed:?}"),
    }
}

const fn order(incarnation: u64, term: u64, sequence: u64) -> Delivery {
    Delivery {
        incarnation,
        term,
        sequence,
    }
}

const ABC: [&str; 3] = ["a", "b", "c"];

/// The leader of term 4 freezes; term 5 orders version 2. The agent restarts without a disk, and
/// the old leader wakes and orders version 1 first. Engines that ignore fences would load it; the
/// gate has heard of term 5 from a majority and refuses.
#[test]
fn restarted_agent_refuses_the_leader_that_slept() {
    let newborn = UnarmedGate::new(2);
    // The old leader is a voter too and believes in its own term.
    let newborn = waiting(newborn.add_report(word("a", 4, 1, &ABC)));
    let mut gate = armed(newborn.add_report(word("b", 5, 1, &ABC)));
    let stale = gate.accept(&order(2, 4, 10));
    assert_eq!(stale, Err(Refusal::OldTerm { given: 4, seen: 5 }));
    assert_eq!(gate.accept(&order(2, 5, 11)), Ok(OrderStatus::New));
    // Broken on purpose: a gate that believes the first voter takes the old order.
    let mut early = armed(UnarmedGate::new(2).add_report(word("a", 4, 1, &["a"])));
    assert_eq!(early.accept(&order(2, 4, 10)), Ok(OrderStatus::New));
}

/// Two voters were replaced while they were cut off. They still hold the old set for true and
/// would make a majority of it; the one that knows the new set decides.
#[test]
fn replaced_voters_are_no_majority() {
    let newborn = waiting(UnarmedGate::new(1).add_report(word("a", 3, 1, &ABC)));
    let newborn = waiting(newborn.add_report(word("c", 7, 9, &["c", "d", "e"])));
    let gate = armed(newborn.add_report(word("d", 8, 9, &["c", "d", "e"])));
    assert_eq!(gate.term(), 8);
}

/// One voter answers twice: that is still one voter.
#[test]
fn one_voter_twice_is_no_majority() {
    let newborn = waiting(UnarmedGate::new(1).add_report(word("a", 3, 1, &ABC)));
    waiting(newborn.add_report(word("a", 3, 1, &ABC)));
}

/// The network holds an order back until the agent has restarted. It is of the present term, and
/// would be the first to arrive; but it names the process before.
#[test]
fn delayed_order_for_the_process_before_is_refused() {
    let newborn = waiting(UnarmedGate::new(3).add_report(word("a", 5, 1, &ABC)));
    let mut gate = armed(newborn.add_report(word("b", 5, 1, &ABC)));
    let delayed = gate.accept(&order(2, 5, 10));
    assert_eq!(delayed, Err(Refusal::OtherProcess { given: 2, own: 3 }));
    assert_eq!(gate.sequence(), 0);
}

/// Orders arrive twice and crossed; the latest stands, also under a new leader who sends it again.
#[test]
fn crossed_orders_never_go_back() {
    let newborn = waiting(UnarmedGate::new(1).add_report(word("a", 5, 1, &ABC)));
    let mut gate = armed(newborn.add_report(word("b", 5, 1, &ABC)));
    assert_eq!(gate.accept(&order(1, 5, 12)), Ok(OrderStatus::New));
    assert_eq!(
        gate.accept(&order(1, 5, 11)),
        Err(Refusal::OldOrder {
            given: 11,
            seen: 12
        })
    );
    assert_eq!(gate.accept(&order(1, 6, 12)), Ok(OrderStatus::Repeated));
    assert!(gate.accept(&order(1, 5, 13)).is_err());
    gate.observe_term(9);
    assert!(gate.accept(&order(1, 8, 13)).is_err());
}

/// A request passes only while exactly its version serves; a draining version ends what it has.
#[test]
fn request_passes_only_for_the_version_that_serves() {
    let (old, new) = (Digest::of(b"old"), Digest::of(b"new"));
    let mut versions = Versions::default();
    assert_eq!(versions.admit(&old), Err(NotRun::Absent));
    versions.load(old);
    assert_eq!(versions.admit(&old), Err(NotRun::Loading));
    assert!(versions.serve(&old));
    let passed = versions.admit(&old).expect("it serves");
    assert_eq!(versions.admit(&new), Err(NotRun::Absent));
    assert!(versions.drain(&old));
    assert!(
        !versions.serve(&old),
        "a drained version never serves again"
    );
    assert_eq!(versions.admit(&old), Err(NotRun::Draining));
    assert!(!versions.unload(&old));
    versions.finish(&passed);
    assert!(versions.unload(&old));
}
