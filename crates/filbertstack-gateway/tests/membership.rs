//! Decisions on which node creates the group of voters, and on how its members change.

use std::net::SocketAddr;
use std::time::Duration;

use filbertstack_gateway::control::contacts::Contact;
use filbertstack_gateway::control::membership::Newcomer;
use filbertstack_gateway::control::membership::founding_size;
use filbertstack_gateway::control::membership::next_change;
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

fn no_silence(_: &Member) -> Contact {
    Contact::default()
}

fn silent_for(millis: u64) -> Contact {
    Contact {
        silence: Duration::from_millis(millis),
        leaving: false,
    }
}

/// Guards against two groups when all processes start at once with the same seeds. Each group would accept
/// changes that the other does not know.
#[test]
fn one_seed_creates_the_group() {
    let seeds = [addr(1), addr(2), addr(3)];
    let all = [standing(1, true), standing(2, true), standing(3, true)];
    let sizes: Vec<Option<u32>> = (1..=4)
        .map(|n| founding_size(true, addr(n), &seeds, &all))
        .collect();
    assert_eq!(sizes, [Some(3), None, None, None]);
    assert_eq!(
        founding_size(true, addr(1), &seeds, &[]),
        Some(3),
        "silent seeds count as future voters"
    );
}

#[test]
fn seeds_without_a_disk_do_not_create_the_group() {
    let seeds = [addr(1), addr(2), addr(3)];
    let answers = [standing(1, false), standing(3, false)];
    assert_eq!(founding_size(true, addr(2), &seeds, &answers), Some(1));
    assert_eq!(
        founding_size(true, addr(2), &seeds, &answers[1..]),
        None,
        "the first seed may have a disk"
    );
}

/// Guards against a second group, which the first seed could create after the loss of its disk, or while
/// another seed already belongs to a group.
#[test]
fn no_second_group_is_created() {
    let seeds = [addr(1), addr(2), addr(3)];
    assert_eq!(founding_size(false, addr(1), &seeds, &[]), None);
    let mut grouped = standing(2, true);
    grouped.cluster = 7;
    assert_eq!(founding_size(true, addr(1), &seeds, &[grouped]), None);
}

/// Guards against two lost logs that count as members at the same time. A voter comes back at its address
/// with an empty disk and a new identity; its old identity must be removed before the new one is added
/// and promoted.
#[test]
fn a_voter_with_a_lost_disk_is_replaced() {
    let current = group(&[(1, 1), (2, 2), (3, 3)]);
    let newcomers = [newcomer(9, 3)];
    let step = next_change(LEADER, &current, &newcomers, no_silence);
    assert_eq!(step, Some(Change::Remove(NodeId(3))));
    let current = group(&[(1, 1), (2, 2)]);
    let step = next_change(LEADER, &current, &newcomers, no_silence);
    assert_eq!(step, Some(Change::AddLearner(member(9, 3))));
    let mut current = current;
    current.learners.push(member(9, 3));
    assert_eq!(
        next_change(LEADER, &current, &newcomers, no_silence),
        Some(Change::Promote(NodeId(9)))
    );
}

/// Guards against a lost instance that remains a member while a new one waits at another address.
#[test]
fn a_silent_voter_is_removed_for_a_newcomer() {
    let current = group(&[(1, 1), (2, 2), (3, 3)]);
    let silent = |m: &Member| silent_for(if m.node == 3 { 3000 } else { 0 });
    let step = next_change(LEADER, &current, &[newcomer(9, 4)], silent);
    assert_eq!(step, Some(Change::Remove(NodeId(3))));
}

/// Guards against a lost voter that counts beside its successor: a majority of four needs three logs, and the loss of
/// one more disk leaves two.
#[test]
fn a_successor_waits_for_a_voter_in_doubt() {
    let mut current = group(&[(1, 1), (2, 2), (3, 3)]);
    current.learners.push(member(9, 4));
    let silent = |ms: u64| move |m: &Member| silent_for(if m.node == 3 { ms } else { 0 });
    let next = |ms: u64| next_change(LEADER, &current, &[], silent(ms));
    assert_eq!(next(100), Some(Change::Promote(NodeId(9))));
    assert_eq!(next(1_400), None, "it may be lost");
    assert_eq!(
        next(2_000),
        Some(Change::Remove(NodeId(3))),
        "it makes room"
    );
    let mut current = group(&[(1, 1), (2, 2)]);
    current.learners.push(member(9, 4));
    let step = next_change(LEADER, &current, &[], silent(0));
    assert_eq!(step, Some(Change::Promote(NodeId(9))));
}

/// Guards against a newcomer that dies while it copies the log and is promoted, or takes the place of a voter.
#[test]
fn a_silent_learner_takes_no_place() {
    let mut current = group(&[(1, 1), (2, 2), (3, 3)]);
    current.learners.push(member(9, 4));
    let silent = |m: &Member| silent_for(if m.node == 9 { 600 } else { 0 });
    assert_eq!(next_change(LEADER, &current, &[], silent), None);
    let both = |m: &Member| silent_for(if m.node >= 3 { 1_900 } else { 0 });
    assert_eq!(next_change(LEADER, &current, &[], both), None);
}

/// Guards against a voter that is lost right after its successor was promoted, and counts for seconds.
#[test]
fn an_even_group_removes_a_lost_voter_soon() {
    let current = group(&[(1, 1), (2, 2), (3, 3), (4, 4)]);
    let silent = |ms: u64| move |m: &Member| silent_for(if m.node == 3 { ms } else { 0 });
    let next = |group: &Membership, ms: u64| next_change(LEADER, group, &[], silent(ms));
    assert_eq!(next(&current, 1_900), None);
    assert_eq!(next(&current, 2_000), Some(Change::Remove(NodeId(3))));
    let odd = group(&[(1, 1), (2, 2), (3, 3), (4, 4), (5, 5)]);
    assert_eq!(next(&odd, 2_000), None, "it would gain nothing");
}

/// Guards against a voter that stops for good and counts beside its successor until its silence is noticed.
#[test]
fn a_stopping_voter_makes_room_for_its_successor() {
    let leaving = |node: u64| {
        move |m: &Member| Contact {
            leaving: m.node == node,
            ..Contact::default()
        }
    };
    let mut current = group(&[(1, 1), (2, 2), (3, 3)]);
    let next = |group: &Membership| next_change(LEADER, group, &[], leaving(3));
    assert_eq!(next(&current), None, "it may only restart");
    let step = next_change(LEADER, &current, &[newcomer(9, 4)], leaving(3));
    assert_eq!(step, Some(Change::AddLearner(member(9, 4))));
    current.learners.push(member(9, 4));
    assert_eq!(next(&current), Some(Change::Remove(NodeId(3))));
    let even = group(&[(1, 1), (2, 2), (3, 3), (4, 4)]);
    assert_eq!(next(&even), Some(Change::Remove(NodeId(3))));
}

/// Guards against the removal of silent voters that leaves fewer than three, or that happens in an outage
/// of several voters.
#[test]
fn without_a_newcomer_only_a_surplus_voter_is_removed() {
    let current = group(&[(1, 1), (2, 2), (3, 3)]);
    let silent = |m: &Member| silent_for(if m.node == 3 { 60000 } else { 0 });
    assert_eq!(
        next_change(LEADER, &current, &[], silent),
        None,
        "a group keeps at least three voters"
    );
    let current = group(&[(1, 1), (2, 2), (3, 3), (4, 4)]);
    let step = next_change(LEADER, &current, &[], silent);
    assert_eq!(
        step,
        Some(Change::Remove(NodeId(3))),
        "a successor was added before"
    );
    let both = |m: &Member| silent_for(if m.node >= 3 { 60000 } else { 0 });
    assert_eq!(
        next_change(LEADER, &current, &[], both),
        None,
        "two silent voters are an outage"
    );
}

/// Guards against the removal of a healthy voter of a full group when a further node with a disk asks to
/// join.
#[test]
fn a_full_group_admits_no_newcomer() {
    let members: Vec<(u64, u64)> = (1..=8).map(|n| (n, n)).collect();
    let current = group(&members);
    assert_eq!(
        next_change(LEADER, &current, &[newcomer(9, 9)], no_silence),
        None
    );
}

/// Guards against a learner that can never catch up, because its node lost its disk again while it copied
/// the log.
#[test]
fn a_learner_that_lost_its_log_is_removed() {
    let mut current = group(&[(1, 1), (2, 2)]);
    current.learners.push(member(8, 3));
    let step = next_change(LEADER, &current, &[newcomer(9, 3)], no_silence);
    assert_eq!(step, Some(Change::Remove(NodeId(8))));
}

/// Guards against the removal of a voter that is frozen for seconds from a group that gains nothing by it, and against
/// a lost one that stays a member.
#[test]
fn a_surplus_voter_of_an_odd_group_is_removed_after_nine_seconds() {
    let odd = group(&[(1, 1), (2, 2), (3, 3), (4, 4), (5, 5)]);
    let silent = |ms: u64| move |m: &Member| silent_for(if m.node == 3 { ms } else { 0 });
    let next = |ms: u64| next_change(LEADER, &odd, &[], silent(ms));
    assert_eq!(next(8_999), None);
    assert_eq!(next(9_000), Some(Change::Remove(NodeId(3))));
}

/// Guards against the removal of a voter in an outage of several, after which the group tolerates fewer losses.
#[test]
fn no_surplus_voter_is_removed_while_another_is_silent() {
    let odd = group(&[(1, 1), (2, 2), (3, 3), (4, 4), (5, 5)]);
    let silent = |m: &Member| match m.node {
        3 => silent_for(60_000),
        4 => silent_for(2_000),
        _ => Contact::default(),
    };
    assert_eq!(next_change(LEADER, &odd, &[], silent), None);
}

/// Guards against a learner that is lost for good and keeps all other nodes out of the group.
#[test]
fn a_learner_that_stays_silent_is_removed() {
    let mut current = group(&[(1, 1), (2, 2), (3, 3)]);
    current.learners.push(member(9, 4));
    let silent = |ms: u64| move |m: &Member| silent_for(if m.node == 9 { ms } else { 0 });
    let next = |ms: u64| next_change(LEADER, &current, &[], silent(ms));
    assert_eq!(next(1_999), None);
    assert_eq!(next(2_000), Some(Change::Remove(NodeId(9))));
}

/// Guards against a group that forms and removes a voter which is silent, as each counts that it has had.
#[test]
fn a_forming_group_removes_no_silent_voter() {
    let mut current = group(&[(1, 1), (2, 2), (3, 3)]);
    current.forming = 5;
    let silent = |m: &Member| silent_for(if m.node == 3 { 3_000 } else { 0 });
    let step = next_change(LEADER, &current, &[newcomer(9, 4)], silent);
    assert_eq!(step, Some(Change::AddLearner(member(9, 4))));
}

/// Guards against a group that never forms, as one of its voters is in doubt.
#[test]
fn a_forming_group_promotes_beside_a_voter_in_doubt() {
    let mut current = group(&[(1, 1), (2, 2), (3, 3)]);
    current.forming = 5;
    current.learners.push(member(9, 4));
    let silent = |m: &Member| silent_for(if m.node == 3 { 600 } else { 0 });
    let step = next_change(LEADER, &current, &[], silent);
    assert_eq!(step, Some(Change::Promote(NodeId(9))));
}
