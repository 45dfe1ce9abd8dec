//! Tests of a single node with handmade inputs: leases, bounds and invalid messages.

use std::time::Duration;

use bytes::Bytes;
use filbertstack_log::Accepted;
use filbertstack_log::Append;
use filbertstack_log::AppendReply;
use filbertstack_log::Body;
use filbertstack_log::Change;
use filbertstack_log::ChangeError;
use filbertstack_log::DurableState;
use filbertstack_log::Entry;
use filbertstack_log::HardState;
use filbertstack_log::Input;
use filbertstack_log::Limits;
use filbertstack_log::Member;
use filbertstack_log::Membership;
use filbertstack_log::Message;
use filbertstack_log::Node;
use filbertstack_log::NodeConfig;
use filbertstack_log::NodeId;
use filbertstack_log::Output;
use filbertstack_log::Refusal;
use filbertstack_log::RoleName;
use filbertstack_log::Safeguards;
use filbertstack_log::Snapshot;
use filbertstack_log::Ticket;
use filbertstack_log::Timing;
use filbertstack_log::Vote;
use filbertstack_log::VoteReply;

const CLUSTER: u64 = 5;
const LEADER: u64 = 1;
const OTHER: u64 = 3;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn member(node: u64) -> Member {
    Member {
        node,
        name: format!("entry-{node}"),
        address: format!("entry-{node}:1"),
    }
}

/// Returns the durable state of node 2 in a group of nodes 1, 2 and 3, in term 4.
fn saved_state() -> DurableState {
    let membership = Membership {
        voters: (1..=3).map(member).collect(),
        learners: Vec::new(),
        forming: 0,
    };
    DurableState {
        hard: HardState {
            term: 4,
            vote: 0,
            cluster: CLUSTER,
        },
        snapshot: Some(Snapshot {
            index: 1,
            term: 1,
            membership,
            cluster: CLUSTER,
            data: Bytes::new(),
        }),
        entries: Vec::new(),
    }
}

fn node() -> Node {
    let config = NodeConfig {
        id: NodeId(2),
        seed: 7,
        timing: Timing::default(),
        limits: Limits {
            uncommitted_bytes: 10_000,
            command_bytes: 4_000,
            append_bytes: 100,
            inflight_appends: 3,
            ..Limits::default()
        },
        safeguards: Safeguards::default(),
    };
    let mut node = Node::new(config, saved_state(), Duration::ZERO);
    node.output();
    node
}

fn message(from: u64, term: u64, body: Body) -> Input {
    Input::Message(Message {
        cluster: CLUSTER,
        from,
        to: 2,
        term,
        body: Some(body),
    })
}

fn heartbeat(term: u64) -> Input {
    let append = Append {
        prev_index: 1,
        prev_term: 1,
        round: 1,
        ..Append::default()
    };
    message(LEADER, term, Body::Append(append))
}

fn vote(term: u64) -> Input {
    let vote = Vote {
        last_index: 9,
        last_term: 4,
        pre: false,
        transfer: false,
    };
    message(OTHER, term, Body::Vote(vote))
}

/// Steps the node with an input, completes its writes, and returns the first output and all
/// messages sent.
fn step_durably(node: &mut Node, at: Duration, input: Input) -> (Output, Vec<Message>) {
    node.step(at, input);
    let first = node.output();
    let mut sent = first.messages.clone();
    let mut write = first.write.clone();
    while let Some(done) = write {
        node.step(at, Input::Written { seq: done.seq });
        let next = node.output();
        sent.extend(next.messages);
        write = next.write;
    }
    (first, sent)
}

fn grants_vote(sent: &[Message]) -> bool {
    let granted = |m: &Message| matches!(&m.body, Some(Body::VoteReply(r)) if r.granted);
    sent.iter().any(granted)
}

/// A voter answers a heartbeat, and the leader serves reads under the lease that the answer
/// confirms. The voter restarts and forgets the heartbeat. It must grant no vote until the lease is
/// over.
#[test]
fn a_restarted_voter_respects_the_lease() {
    let mut node = node();
    let (_, sent) = step_durably(&mut node, ms(10), vote(5));
    assert!(!grants_vote(&sent));
    let (_, sent) = step_durably(&mut node, ms(990), vote(5));
    assert!(!grants_vote(&sent));
    let (_, sent) = step_durably(&mut node, ms(1_000), vote(5));
    assert!(grants_vote(&sent));
}

/// A voter that answered a heartbeat learns of a higher term through a message other than a vote
/// request. In that term, too, it must grant no vote until the lease that it confirmed is over.
#[test]
fn a_raised_term_respects_the_lease() {
    let mut node = node();
    step_durably(&mut node, ms(2_000), heartbeat(4));
    let rejected = VoteReply {
        granted: false,
        pre: true,
    };
    step_durably(
        &mut node,
        ms(2_010),
        message(OTHER, 6, Body::VoteReply(rejected)),
    );
    assert_eq!(node.status().term, 6);
    let (_, sent) = step_durably(&mut node, ms(2_020), vote(6));
    assert!(!grants_vote(&sent));
    let (_, sent) = step_durably(&mut node, ms(3_000), vote(6));
    assert!(grants_vote(&sent));
}

/// Messages of another cluster, for another replica, or with a gap change nothing.
#[test]
fn invalid_messages_are_dropped() {
    let mut node = node();
    let Input::Message(sound) = heartbeat(9) else {
        return;
    };
    let mut foreign = sound.clone();
    foreign.cluster = 6;
    let mut misaddressed = sound.clone();
    misaddressed.to = 8;
    let mut echo = sound.clone();
    echo.from = 2;
    for invalid in [foreign, misaddressed, echo] {
        let (_, sent) = step_durably(&mut node, ms(10), Input::Message(invalid));
        assert!(sent.is_empty());
        assert_eq!(node.status().term, 4);
    }
    let gap = Append {
        prev_index: 1,
        prev_term: 1,
        entries: vec![Entry {
            index: 3,
            term: 4,
            ..Entry::default()
        }],
        ..Append::default()
    };
    step_durably(&mut node, ms(10), message(LEADER, 4, Body::Append(gap)));
    assert_eq!(node.status().last, 1);
}

/// Returns the node as leader of term 5, with its first entry committed.
fn leader() -> Node {
    let mut node = node();
    step_durably(&mut node, ms(3_000), Input::Tick);
    let reply = |pre| VoteReply { granted: true, pre };
    step_durably(
        &mut node,
        ms(3_010),
        message(OTHER, 5, Body::VoteReply(reply(true))),
    );
    step_durably(
        &mut node,
        ms(3_020),
        message(OTHER, 5, Body::VoteReply(reply(false))),
    );
    assert_eq!(node.status().role, RoleName::Leader);
    step_durably(&mut node, ms(3_030), acknowledge(2));
    assert_eq!(node.status().commit, 2);
    node
}

fn acknowledge(index: u64) -> Input {
    let reply = AppendReply {
        index,
        prev_index: 1,
        round: 1,
        reject: false,
    };
    message(OTHER, 5, Body::AppendReply(reply))
}

fn propose(node: &mut Node, length: usize) -> Result<Accepted, Refusal> {
    let command = Bytes::from(vec![0; length]);
    let ticket = Ticket(1);
    let (output, _) = step_durably(node, ms(3_040), Input::Propose { ticket, command });
    output.answers[0].result.clone()
}

/// Commands arrive faster than followers acknowledge them. Beyond a bound they are refused as not
/// run, and the number of messages in flight to a follower stays within its own bound.
#[test]
fn a_leader_under_overload_refuses() {
    let mut node = leader();
    let long = propose(&mut node, 4_001).unwrap_err();
    assert_eq!(
        long,
        Refusal::TooLong {
            length: 4_001,
            most: 4_000
        }
    );
    let mut entries = 0;
    let refusal = loop {
        match propose(&mut node, 1_000) {
            Ok(_) => entries += 1,
            Err(refusal) => break refusal,
        }
    };
    assert_eq!((refusal, entries), (Refusal::Busy, 9));
    node.step(ms(3_050), Input::Tick);
    let under_way = node
        .output()
        .messages
        .iter()
        .filter(|m| m.to == OTHER)
        .count();
    assert!(under_way <= 3);
    let last = node.status().last;
    step_durably(&mut node, ms(3_060), acknowledge(last));
    assert!(propose(&mut node, 1_000).is_ok());
}

/// The leader's disk hangs: no write completes and none fails. Its heartbeats would keep the others
/// from electing a leader while its callers wait. It must step down, and must not campaign while
/// the disk hangs.
#[test]
fn a_leader_with_a_hung_disk_steps_down() {
    let mut node = leader();
    let ticket = Ticket(1);
    let command = Bytes::from_static(&[0; 8]);
    node.step(ms(3_040), Input::Propose { ticket, command });
    let hung = node.output().write.unwrap();
    let mut at = 3_040;
    while node.status().role == RoleName::Leader {
        at += 100;
        assert!(at < 6_000, "it still leads");
        node.step(ms(at), confirm_rounds(at));
        node.step(ms(at), Input::Tick);
        node.output();
    }
    assert_eq!(at, 5_040);
    node.step(ms(20_000), Input::Tick);
    assert_eq!(node.status().role, RoleName::Follower);
    node.step(ms(20_000), Input::Written { seq: hung.seq });
    node.step(ms(25_000), Input::Tick);
    assert_eq!(node.status().role, RoleName::PreCandidate);
}

/// Returns an input in which the other voter confirms every round until `at`.
fn confirm_rounds(at: u64) -> Input {
    let reply = AppendReply {
        index: 2,
        prev_index: 1,
        round: at,
        reject: false,
    };
    message(OTHER, 5, Body::AppendReply(reply))
}

/// Returns the number of messages that carry entries to node 1.
fn count_appends(sent: &[Message]) -> usize {
    let full = |m: &&Message| match &m.body {
        Some(Body::Append(append)) => m.to == LEADER && !append.entries.is_empty(),
        _ => false,
    };
    sent.iter().filter(full).count()
}

/// Guards against a frozen follower whose link fills with repeated copies of the same entries: once
/// awake, it would read all of them before anything new.
#[test]
fn a_silent_follower_gets_no_resends() {
    let mut node = leader();
    for _ in 0..3 {
        propose(&mut node, 1_000).expect("there is room");
    }
    let mut sent = Vec::new();
    for at in (3_050..11_000).step_by(50) {
        sent.extend(step_durably(&mut node, ms(at), confirm_rounds(at)).1);
        sent.extend(step_durably(&mut node, ms(at), Input::Tick).1);
    }
    assert_eq!(count_appends(&sent), 0, "the first message waits there");
    let awake = AppendReply {
        index: 1,
        prev_index: 1,
        round: 2,
        reject: false,
    };
    let awake = message(LEADER, 5, Body::AppendReply(awake));
    let (_, sent) = step_durably(&mut node, ms(11_000), awake);
    assert!(count_appends(&sent) > 0, "it answers and is sent nothing");
}

/// A voter's instance gets another address; the set of voters stays the same.
#[test]
fn a_member_changes_its_address() {
    let mut node = leader();
    let mut moved = member(OTHER);
    moved.address = "entry-30:1".into();
    let ticket = Ticket(9);
    let change = Change::Move(moved.clone());
    step_durably(&mut node, ms(3_050), Input::Change { ticket, change });
    let membership = node.membership();
    assert_eq!(membership.voters.len(), 3);
    assert!(membership.voters.contains(&moved));
}

/// An operator removes a voter although only one of the two remaining voters answers. The group
/// could commit neither this change nor anything after it.
#[test]
fn a_change_that_no_majority_could_commit_is_refused() {
    let mut node = leader();
    let ticket = Ticket(9);
    let change = Change::Remove(NodeId(OTHER));
    let (output, _) = step_durably(&mut node, ms(3_050), Input::Change { ticket, change });
    let expected = ChangeError::NoQuorum {
        answer: 1,
        voters: 2,
    };
    assert_eq!(output.answers[0].result, Err(Refusal::Change(expected)));
}
