//! The search for the leader: the nodes that it asks, and the summary of a failed search.

use std::net::SocketAddr;

use filbertstack_gateway::control::search::LeaderSearch;
use filbertstack_gateway::control::search::MAX_ASKED;
use filbertstack_gateway::link::messages::NodeStatus;

fn addr(n: usize) -> SocketAddr {
    format!("10.0.0.{n}:7700").parse().expect("an address")
}

fn answer(voters: &[usize], leader: Option<usize>) -> NodeStatus {
    NodeStatus {
        voters: voters.iter().map(|n| addr(*n).to_string()).collect(),
        leader: leader.map_or(String::new(), |n| addr(n).to_string()),
        members: voters.iter().map(|n| *n as u64).collect(),
        ..NodeStatus::default()
    }
}

/// Guards against a search that ends at the seeds. The seeds here have no disk and know the voters, one of
/// which knows the leader.
#[test]
fn the_search_asks_voters_that_seeds_name() {
    let mut search = LeaderSearch::new(addr(1), [addr(7), addr(8)]);
    assert_eq!(search.take_next(), [addr(7), addr(8)]);
    search.record_failure(addr(7), "timed out".into());
    search.record_answer(addr(8), &answer(&[1, 2, 3], None));
    assert_eq!(
        search.take_next(),
        [addr(2), addr(3)],
        "not this node itself"
    );
    search.record_answer(addr(3), &answer(&[2, 3, 4], Some(2)));
    assert_eq!(search.leader(), Some(addr(2)));
    assert_eq!(search.voters(), [addr(2), addr(3), addr(4)]);
    assert_eq!(search.leader_without(1), Some(addr(2)));
    assert_eq!(
        search.leader_without(4),
        None,
        "it is a member of that group"
    );
}

/// Guards against a search without end when faulty nodes name ever more nodes.
#[test]
fn a_search_asks_a_bounded_number_of_nodes() {
    let mut search = LeaderSearch::new(addr(1), [addr(2)]);
    let mut asked = 0;
    for round in 0..100 {
        for node in search.take_next() {
            asked += 1;
            let named: Vec<usize> = (0..8).map(|n| 10 + (round * 8 + n) % 200).collect();
            search.record_answer(node, &answer(&named, None));
        }
    }
    assert_eq!(asked, MAX_ASKED);
}

/// Checks the text that is logged while a newcomer can't join the group.
#[test]
fn the_summary_of_a_failed_search_names_the_asked_nodes() {
    let mut search = LeaderSearch::new(addr(1), [addr(2), addr(3), addr(4)]);
    search.take_next();
    search.record_failure(
        addr(2),
        "the peer did not answer in time; ask another".into(),
    );
    search.record_answer(addr(3), &answer(&[], None));
    search.record_answer(addr(4), &answer(&[1], None));
    insta::assert_snapshot!(search.summary(), @"10.0.0.2:7700: not reached (the peer did not answer in time; ask another); 10.0.0.3:7700: knows no group; 10.0.0.4:7700: knows 1 voters and no leader");
    let alone = LeaderSearch::new(addr(1), [addr(1)]);
    insta::assert_snapshot!(alone.summary(), @"nobody: the settings name no other node as a seed");
}
