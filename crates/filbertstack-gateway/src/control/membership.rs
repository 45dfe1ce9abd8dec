//! Pure decisions on the group of voters: which node creates it, and which change of its members is next.

use std::net::SocketAddr;
use std::time::Duration;

use filbertstack_log::Change;
use filbertstack_log::MAX_VOTERS;
use filbertstack_log::Member;
use filbertstack_log::Membership;
use filbertstack_log::NodeId;

use crate::link::messages::NodeStatus;

/// How long a request to join the group is valid. A node that waits repeats the request several times in
/// this time.
pub const JOIN_VALIDITY: Duration = Duration::from_secs(2);

/// How long a voter is silent before it is removed in favour of a waiting newcomer. This is longer than an
/// election with its pauses, and shorter than the time within which the successor of a lost voter
/// must vote. A removed voter that comes back asks to join again.
pub const REPLACE_AFTER: Duration = Duration::from_millis(2_500);

/// How long a voter is silent before it is removed without a newcomer. Such a voter is surplus, because a
/// planned replacement adds the new voter first. This is longer than a restart and than a freeze of the
/// instance for seconds.
const REMOVE_AFTER: Duration = Duration::from_secs(9);

/// The fewest voters that remain when a silent one is removed without a newcomer.
const MIN_VOTERS: usize = 3;

/// A node with a disk that asks to join the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Newcomer {
    /// The identity of its log.
    pub node: NodeId,
    /// Its name.
    pub name: String,
    /// Its address for links.
    pub addr: SocketAddr,
}

/// Returns how many voters the group must once have had before it accepts commands, if the node at `own`
/// creates the group now.
///
/// Only the first seed that has a disk creates the group, and only in the first start of the whole
/// system: two groups would each accept changes that the other does not know. Every seed before it must
/// have answered that it has no disk, and no seed that answered may know a group. A node that lost its
/// disk is not in a first start, so it can't create a second group beside its own.
pub fn founding_size(
    first_start: bool,
    own: SocketAddr,
    seeds: &[SocketAddr],
    answers: &[NodeStatus],
) -> Option<u32> {
    // A seed without a disk is in no group, but may know one.
    let knows_group =
        |s: &NodeStatus| s.cluster != 0 || !s.leader.is_empty() || !s.voters.is_empty();
    let grouped = answers.iter().any(knows_group);
    if !first_start || grouped {
        return None;
    }
    let position = seeds.iter().position(|seed| *seed == own)?;
    let diskless = |seed: &SocketAddr| {
        let standing = answers.iter().find(|s| s.addr == seed.to_string());
        standing.is_some_and(|s| s.node_id == 0)
    };
    if !seeds[..position].iter().all(diskless) {
        return None;
    }
    let others = seeds[position + 1..].iter().filter(|seed| !diskless(seed));
    u32::try_from(others.count() + 1).ok()
}

/// Returns the next change of the group that `leader` leads. It depends on the newcomers that wait to
/// join, and on how long each voter has been silent.
pub fn next_change(
    leader: NodeId,
    current: &Membership,
    newcomers: &[Newcomer],
    silent: impl Fn(NodeId) -> Duration,
) -> Option<Change> {
    if let Some(learner) = current.learners.first() {
        return Some(learner_change(learner, newcomers, &silent));
    }
    let newcomer = newcomers
        .iter()
        .find(|n| !current.members().any(|m| m.id() == n.node));
    if let Some(newcomer) = newcomer {
        return admit(leader, current, newcomer, &silent);
    }
    let others = || current.voters.iter().filter(|m| m.id() != leader);
    let lost = others().find(|m| silent(m.id()) >= REMOVE_AFTER)?;
    let rest_heard = others().all(|m| m.id() == lost.id() || silent(m.id()) < REPLACE_AFTER);
    let surplus = current.forming == 0 && current.voters.len() > MIN_VOTERS;
    (surplus && rest_heard).then(|| Change::Remove(lost.id()))
}

/// Promotes a learner to a voter, or removes it if it lost its log or fell silent.
fn learner_change(
    learner: &Member,
    newcomers: &[Newcomer],
    silent: &impl Fn(NodeId) -> Duration,
) -> Change {
    let address = |n: &Newcomer| n.addr.to_string() == learner.address;
    let replaced = newcomers
        .iter()
        .any(|n| address(n) && n.node != learner.id());
    if replaced || silent(learner.id()) >= REPLACE_AFTER {
        return Change::Remove(learner.id());
    }
    Change::Promote(learner.id())
}

/// Removes a voter in favour of a newcomer, or adds the newcomer as a learner.
///
/// A voter at the newcomer's own address lost its disk and can never vote again. While it remains a
/// member, the group tolerates one failure less. The same applies to a silent voter.
fn admit(
    leader: NodeId,
    current: &Membership,
    newcomer: &Newcomer,
    silent: &impl Fn(NodeId) -> Duration,
) -> Option<Change> {
    let others = || current.voters.iter().filter(|m| m.id() != leader);
    let wiped = others().find(|m| m.address == newcomer.addr.to_string());
    let longest = others().max_by_key(|m| silent(m.id()));
    let lost = longest.filter(|m| silent(m.id()) >= REPLACE_AFTER && current.forming == 0);
    let room = current.voters.len() < MAX_VOTERS;
    if let Some(old) = wiped.or(lost) {
        return Some(Change::Remove(old.id()));
    }
    // A full group whose members all answer needs no other member.
    room.then(|| {
        Change::AddLearner(Member {
            node: newcomer.node.0,
            name: newcomer.name.clone(),
            address: newcomer.addr.to_string(),
        })
    })
}
