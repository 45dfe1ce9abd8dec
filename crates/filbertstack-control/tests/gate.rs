//! Tests the agent's gate with restarts, old leaders and delayed messages.

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

fn report(voter: &str, term: u64, config: u64, voters: &[&str]) -> VoterReport {
    let name = |text: &&str| text.parse().expect("a name");
    VoterReport {
        voter: name(&voter),
        term,
        config_index: config,
        voters: voters.iter().map(name).collect::<BTreeSet<_>>(),
    }
}

fn expect_armed(arming: Arming) -> ArmedGate {
    match arming {
        Arming::Armed(armed) => armed,
        Arming::Waiting(_) => panic!("still waiting"),
    }
}

fn expect_waiting(arming: Arming) -> UnarmedGate {
    match arming {
        Arming::Waiting(gate) => gate,
        Arming::Armed(armed) => panic!("armed too early: {armed:?}"),
    }
}

const fn delivery(incarnation: u64, term: u64, sequence: u64) -> Delivery {
    Delivery {
        incarnation,
        term,
        sequence,
    }
}

const ABC: [&str; 3] = ["a", "b", "c"];

/// Guards against a restarted agent that obeys an old leader. The leader of term 4 freezes, and the leader
/// of term 5 orders version 2. The agent, which has no disk, restarts, and the old leader resumes and orders
/// version 1 first. Engines that ignore fences would load it.
#[test]
fn restarted_agent_refuses_the_order_of_an_old_leader() {
    let gate = UnarmedGate::new(2);
    // The old leader is a voter too and reports its own term.
    let gate = expect_waiting(gate.add_report(report("a", 4, 1, &ABC)));
    let mut gate = expect_armed(gate.add_report(report("b", 5, 1, &ABC)));
    let stale = gate.accept(&delivery(2, 4, 10));
    assert_eq!(stale, Err(Refusal::OldTerm { given: 4, seen: 5 }));
    assert_eq!(gate.accept(&delivery(2, 5, 11)), Ok(OrderStatus::New));
    // A gate that trusts the first voter accepts the old order, so the majority is what prevents it.
    let mut trusting = expect_armed(UnarmedGate::new(2).add_report(report("a", 4, 1, &["a"])));
    assert_eq!(trusting.accept(&delivery(2, 4, 10)), Ok(OrderStatus::New));
}

/// Guards against a majority of an old set of voters. Two voters were replaced while they were cut off, and
/// they still report the old set, of which they are a majority. The voter that knows the new set decides.
#[test]
fn replaced_voters_do_not_form_a_majority() {
    let gate = expect_waiting(UnarmedGate::new(1).add_report(report("a", 3, 1, &ABC)));
    let gate = expect_waiting(gate.add_report(report("c", 7, 9, &["c", "d", "e"])));
    let gate = expect_armed(gate.add_report(report("d", 8, 9, &["c", "d", "e"])));
    assert_eq!(gate.term(), 8);
}

/// Guards against counting a voter that reports twice as two voters.
#[test]
fn repeated_reports_of_one_voter_do_not_form_a_majority() {
    let gate = expect_waiting(UnarmedGate::new(1).add_report(report("a", 3, 1, &ABC)));
    expect_waiting(gate.add_report(report("a", 3, 1, &ABC)));
}

/// Guards against an order that the network delays until the agent has restarted. Its term is the present
/// one and it arrives first, but it names the previous process.
#[test]
fn delayed_order_for_the_previous_process_is_refused() {
    let gate = expect_waiting(UnarmedGate::new(3).add_report(report("a", 5, 1, &ABC)));
    let mut gate = expect_armed(gate.add_report(report("b", 5, 1, &ABC)));
    let delayed = gate.accept(&delivery(2, 5, 10));
    assert_eq!(delayed, Err(Refusal::OtherProcess { given: 2, own: 3 }));
    assert_eq!(gate.sequence(), 0);
}

/// Guards against an older order that replaces a later one. Orders arrive repeatedly and out of order, and
/// a new leader sends the latest order again.
#[test]
fn reordered_orders_never_replace_a_later_one() {
    let gate = expect_waiting(UnarmedGate::new(1).add_report(report("a", 5, 1, &ABC)));
    let mut gate = expect_armed(gate.add_report(report("b", 5, 1, &ABC)));
    assert_eq!(gate.accept(&delivery(1, 5, 12)), Ok(OrderStatus::New));
    assert_eq!(
        gate.accept(&delivery(1, 5, 11)),
        Err(Refusal::OldOrder {
            given: 11,
            seen: 12
        })
    );
    assert_eq!(gate.accept(&delivery(1, 6, 12)), Ok(OrderStatus::Repeated));
    assert!(gate.accept(&delivery(1, 5, 13)).is_err());
    gate.observe_term(9);
    assert!(gate.accept(&delivery(1, 8, 13)).is_err());
}

/// Guards against a request that runs on another version, or on one that is loading or draining, and
/// against unloading a version with requests in progress.
#[test]
fn request_is_admitted_only_while_its_version_serves() {
    let (old, new) = (Digest::of(b"old"), Digest::of(b"new"));
    let mut versions = Versions::default();
    assert_eq!(versions.admit(&old), Err(NotRun::Absent));
    versions.load(old);
    assert_eq!(versions.admit(&old), Err(NotRun::Loading));
    assert!(versions.serve(&old));
    let admitted = versions.admit(&old).expect("it serves");
    assert_eq!(versions.admit(&new), Err(NotRun::Absent));
    assert!(versions.drain(&old));
    assert!(
        !versions.serve(&old),
        "a drained version never serves again"
    );
    assert_eq!(versions.admit(&old), Err(NotRun::Draining));
    assert!(!versions.unload(&old));
    versions.finish(&admitted);
    assert!(versions.unload(&old));
}
