//! Who founds the group of voters, and how its members change.

use std::net::SocketAddr;
use std::time::Duration;

use filbertstack_gateway::control::membership::Newcomer;
use filbertstack_gateway::control::membership::founder;
use filbertstack_gateway::control::membership::next;
use filbertstack_gateway::link::messages::NodeStatus;
use filbertstack_log::Change;
use filbertstack_log::Member;
use filbertstack_log::Membership;
use filbertstack_log::NodeId;

fn addr(n: u64) -> SocketAddr {
    format!("10.0.0.{n}:7700").parse().expect("an address")
}

fn standing(n: u64, disk: bool) -> NodeStatus {
    NodeStatus {
        name: format!("node-{n}"),
        addr: addr(n).to_string(),
        node_id: if disk { n } else { 0 },
        ..NodeStatus::default()
    }
}

fn member(node: u64, at: u64) -> Member {
    Member {
        node,
        name: format!("node-{at}"),
        address: addr(at).to_string(),
    }
}

fn group(members: &[(u64, u64)]) -> Membership {
    Membership {
        voters: members
            .iter()
            .map(|(node, at)| member(*node, *at))
            .collect(),
        learners: Vec::new(),
        forming: 0,
    }
}

fn newcomer(node: u64, at: u64) -> Newcomer {
    Newcomer {
        node: NodeId(node),
        name: format!("node-{at}"),
        addr: addr(at),
    }
}

const LEADER: NodeId = NodeId(1);

fn heard(_: NodeId) -> Duration {
    Duration::ZERO
}

/// All processes start at once with the same seeds. Exactly one may found the group: two groups
/// would each accept changes that the other does not know.
#[test]
fn one_seed_founds_the_group() {
    let seeds = [addr(1), addr(2), addr(3)];
    let all = [standing(1, true), standing(2, true), standing(3, true)];
    let founders: Vec<Option<u32>> = (1..=4)
        .map(|n| founder(true, addr(n), &seeds, &all))
        .collect();
    assert_eq!(founders, [Some(3), None, None, None]);
    assert_eq!(
        founder(true, addr(1), &seeds, &[]),
        Some(3),
        "silent seeds are waited for"
    );
}

#[test]
fn seeds_without_a_disk_are_passed_over() {
    let seeds = [addr(1), addr(2), addr(3)];
    let heard = [standing(1, false), standing(3, false)];
    assert_eq!(founder(true, addr(2), &seeds, &heard), Some(1));
    assert_eq!(
        founder(true, addr(2), &seeds, &heard[1..]),
        None,
        "the first may have one"
    );
}

/// The first seed comes back with an empty disk, or one of the others already has a group. It
/// must not found a second one.
#[test]
fn nobody_founds_beside_a_group() {
    let seeds = [addr(1), addr(2), addr(3)];
    assert_eq!(founder(false, addr(1), &seeds, &[]), None);
    let mut grouped = standing(2, true);
    grouped.cluster = 7;
    assert_eq!(founder(true, addr(1), &seeds, &[grouped]), None);
}

/// A voter comes back empty at its address, under a new identity. Its old one goes first, then
/// the new one is added and made a voter: at no point may two lost memories count.
#[test]
fn a_lost_disk_makes_room_for_its_successor() {
    let now = group(&[(1, 1), (2, 2), (3, 3)]);
    let fresh = [newcomer(9, 3)];
    let step = next(LEADER, &now, &fresh, heard);
    assert_eq!(step, Some(Change::Remove(NodeId(3))));
    let now = group(&[(1, 1), (2, 2)]);
    let step = next(LEADER, &now, &fresh, heard);
    assert_eq!(step, Some(Change::AddLearner(member(9, 3))));
    let mut now = now;
    now.learners.push(member(9, 3));
    assert_eq!(
        next(LEADER, &now, &fresh, heard),
        Some(Change::Promote(NodeId(9)))
    );
}

/// A machine is gone for good and another comes at a new address. The silent one makes room.
#[test]
fn a_silent_voter_makes_room_for_a_newcomer() {
    let now = group(&[(1, 1), (2, 2), (3, 3)]);
    let silent = |node: NodeId| Duration::from_secs(if node.0 == 3 { 3 } else { 0 });
    let step = next(LEADER, &now, &[newcomer(9, 4)], silent);
    assert_eq!(step, Some(Change::Remove(NodeId(3))));
}

/// A voter restarts and is silent for seconds. Nobody waits for its place, so it keeps it.
#[test]
fn a_short_silence_costs_no_place() {
    let now = group(&[(1, 1), (2, 2), (3, 3)]);
    let silent = |node: NodeId| Duration::from_secs(if node.0 == 3 { 60 } else { 0 });
    assert_eq!(
        next(LEADER, &now, &[], silent),
        None,
        "three are the fewest"
    );
    let now = group(&[(1, 1), (2, 2), (3, 3), (4, 4)]);
    let step = next(LEADER, &now, &[], silent);
    assert_eq!(
        step,
        Some(Change::Remove(NodeId(3))),
        "a planned successor came first"
    );
    let both = |node: NodeId| Duration::from_secs(if node.0 >= 3 { 60 } else { 0 });
    assert_eq!(
        next(LEADER, &now, &[], both),
        None,
        "with two gone it is an outage"
    );
}

/// Eight voters, all heard, and a ninth node with a disk. Nobody is thrown out for it.
#[test]
fn a_full_group_takes_nobody_in() {
    let members: Vec<(u64, u64)> = (1..=8).map(|n| (n, n)).collect();
    let now = group(&members);
    assert_eq!(next(LEADER, &now, &[newcomer(9, 9)], heard), None);
}

/// A node that is being taken in loses its disk once more. Its first identity can't catch up.
#[test]
fn a_learner_that_lost_its_memory_is_dropped() {
    let mut now = group(&[(1, 1), (2, 2)]);
    now.learners.push(member(8, 3));
    let step = next(LEADER, &now, &[newcomer(9, 3)], heard);
    assert_eq!(step, Some(Change::Remove(NodeId(8))));
}
