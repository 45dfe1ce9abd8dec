//! Tests of the formation of a group: an empty data folder never creates a second one.

use filbertstack_log::Announcement;
use filbertstack_log::Change;
use filbertstack_log::ClusterId;
use filbertstack_log::Formation;
use filbertstack_log::Member;
use filbertstack_log::Membership;
use filbertstack_log::NodeId;
use filbertstack_log::ProposeError;
use filbertstack_log::Refusal;
use filbertstack_log::open_backup;

use crate::support::machine::Put;
use crate::support::network::Group;
use crate::support::network::deadline;
use crate::support::network::quick_settings;

fn listed() -> Vec<String> {
    ["a", "b", "c"].map(String::from).to_vec()
}

fn announced(name: &str, cluster: Option<u64>) -> Announcement {
    Announcement {
        name: name.into(),
        address: format!("{name}:1"),
        node: NodeId(u64::from(name.as_bytes()[0])),
        cluster: cluster.map(ClusterId),
    }
}

/// The first listed replica creates the group once every other one has announced that it has none.
#[test]
fn the_first_listed_creates_once_all_are_heard() {
    let heard = [announced("b", None)];
    let waits = Formation::decide("a", &listed(), &heard);
    let missing = vec!["c".to_owned()];
    assert_eq!(waits, Formation::Wait { missing });
    let heard = [announced("b", None), announced("c", None)];
    assert_eq!(Formation::decide("a", &listed(), &heard), Formation::Create);
    assert_eq!(Formation::decide("b", &listed(), &heard), Formation::Join);
}

/// The first listed replica lost its disk and starts with an empty folder. If it created a group
/// again, there would be two, and commands accepted by the old one would appear lost.
#[test]
fn a_first_replica_that_lost_its_disk_joins() {
    let heard = [announced("b", Some(9)), announced("c", None)];
    assert_eq!(Formation::decide("a", &listed(), &heard), Formation::Join);
    let unheard = [announced("c", None)];
    let decided = Formation::decide("a", &listed(), &unheard);
    assert!(matches!(decided, Formation::Wait { .. }));
}

/// The leader of a forming group adds and promotes the listed replicas one by one.
#[test]
fn a_group_forms_one_change_at_a_time() {
    let heard = [
        announced("c", None),
        announced("x", None),
        announced("b", None),
    ];
    let member = |name: &str| Member {
        node: u64::from(name.as_bytes()[0]),
        name: name.into(),
        address: format!("{name}:1"),
    };
    let mut membership = Membership::initial(member("a"), 3);
    let mut changes = Vec::new();
    while let Some(change) = Formation::next_change(&membership, &listed(), &heard) {
        membership = membership.with_change(&change).unwrap();
        changes.push(change);
    }
    let expected = [
        Change::AddLearner(member("c")),
        Change::Promote(NodeId(99)),
        Change::AddLearner(member("b")),
        Change::Promote(NodeId(98)),
    ];
    assert_eq!(changes, expected);
    assert_eq!(membership.forming, 0);
}

/// All disks are lost at once. A new group is created from a backup and holds the state in it; a
/// truncated or changed backup is refused.
#[test]
fn a_new_group_starts_from_a_backup() {
    let group = Group::form(1, quick_settings());
    group.put(5);
    let first = group.slots[0].replica.clone().unwrap();
    let backup = first.backup(deadline()).unwrap();
    let state = open_backup(&backup).unwrap();
    assert!(open_backup(&backup[..backup.len() - 1]).is_err());
    let mut changed = backup.to_vec();
    changed[30] ^= 1;
    assert!(open_backup(&changed).is_err());
    let mut fresh = Group::form(1, quick_settings());
    let at = fresh.add_slot();
    let replica = fresh.slots[at].replica.clone().unwrap();
    let member = fresh.slots[at].member();
    replica.create(member, 1, Some(state), deadline()).unwrap();
    assert_eq!(fresh.slots[at].map.state(), group.slots[0].map.state());
}

/// A group that has not yet reached its first number of voters refuses commands: an accepted
/// command would be on a single disk. The replica refuses to create a group a second time.
#[test]
fn a_forming_group_refuses_commands() {
    let mut group = Group::form(1, quick_settings());
    let at = group.add_slot();
    let replica = group.slots[at].replica.clone().unwrap();
    let member = group.slots[at].member();
    replica.create(member.clone(), 3, None, deadline()).unwrap();
    let again = replica.create(member, 3, None, deadline());
    assert_eq!(again, Err(ProposeError::Refused(Refusal::AlreadyGrouped)));
    let put = Put {
        request: 1,
        key: 1,
        value: 1,
    };
    let refused = crate::support::network::wait_for("refusal", || {
        let error = replica.propose(put.encode(), deadline()).unwrap_err();
        (error == ProposeError::Refused(Refusal::Forming)).then_some(error)
    });
    assert!(refused.is_certain());
}

/// Guards against a lost identity that counts beside its successor: a newcomer that dies then leaves two of four voters.
#[test]
fn a_lost_identity_is_removed_before_its_successor_votes() {
    let member = |node: u64, name: &str| Member {
        node,
        name: name.into(),
        address: format!("{name}:1"),
    };
    let mut membership = Membership::initial(member(97, "a"), 1);
    membership.voters.extend([member(98, "b"), member(99, "c")]);
    let mut back = announced("c", None);
    back.node = NodeId(7);
    let heard = [announced("b", Some(1)), back];
    let mut changes = Vec::new();
    while let Some(change) = Formation::next_replacement(&membership, &listed(), &heard) {
        membership = membership.with_change(&change).unwrap();
        changes.push(change);
    }
    let expected = [
        Change::AddLearner(member(7, "c")),
        Change::Remove(NodeId(99)),
        Change::Promote(NodeId(7)),
    ];
    assert_eq!(changes, expected);
}
