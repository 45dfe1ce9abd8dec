//! The search for the leader: whom it asks, and what it says of a search in vain.

use std::net::SocketAddr;

use filbertstack_gateway::control::search::MOST;
use filbertstack_gateway::control::search::Search;
use filbertstack_gateway::link::messages::NodeStatus;

fn addr(n: usize) -> SocketAddr {
    format!("10.0.0.{n}:7700").parse().expect("an address")
}

fn knows(voters: &[usize], leader: Option<usize>) -> NodeStatus {
    NodeStatus {
        voters: voters.iter().map(|n| addr(*n).to_string()).collect(),
        leader: leader.map_or(String::new(), |n| addr(n).to_string()),
        members: voters.iter().map(|n| *n as u64).collect(),
        ..NodeStatus::default()
    }
}

/// The seeds have no disk and know the voters, one of which knows the leader.
#[test]
fn voters_that_seeds_name_are_asked_in_turn() {
    let mut search = Search::new(addr(1), [addr(7), addr(8)]);
    assert_eq!(search.take_next(), [addr(7), addr(8)]);
    search.miss(addr(7), "timed out".into());
    search.hear(addr(8), &knows(&[1, 2, 3], None));
    assert_eq!(
        search.take_next(),
        [addr(2), addr(3)],
        "not this node itself"
    );
    search.hear(addr(3), &knows(&[2, 3, 4], Some(2)));
    assert_eq!(search.leader(), Some(addr(2)));
    assert_eq!(search.voters(), [addr(2), addr(3), addr(4)]);
    assert_eq!(search.leader_without(1), Some(addr(2)));
    assert_eq!(search.leader_without(4), None, "it belongs to that group");
}

/// Nodes name ever more nodes, as a damaged one may. The search ends all the same.
#[test]
fn a_search_asks_a_bounded_number_of_nodes() {
    let mut search = Search::new(addr(1), [addr(2)]);
    let mut asked = 0;
    for round in 0..100 {
        for node in search.take_next() {
            asked += 1;
            let named: Vec<usize> = (0..8).map(|n| 10 + (round * 8 + n) % 200).collect();
            search.hear(node, &knows(&named, None));
        }
    }
    assert_eq!(asked, MOST);
}

/// What stands in the log while a newcomer can't get in.
#[test]
fn a_search_in_vain_says_whom_it_asked() {
    let mut search = Search::new(addr(1), [addr(2), addr(3), addr(4)]);
    search.take_next();
    search.miss(
        addr(2),
        "the peer did not answer in time; ask another".into(),
    );
    search.hear(addr(3), &knows(&[], None));
    search.hear(addr(4), &knows(&[1], None));
    insta::assert_snapshot!(search.account(), @"10.0.0.2:7700: not reached (the peer did not answer in time; ask another); 10.0.0.3:7700: knows no group; 10.0.0.4:7700: knows 1 voters and no leader");
    let alone = Search::new(addr(1), [addr(1)]);
    insta::assert_snapshot!(alone.account(), @"nobody: the settings name no other node as a seed");
}
