//! Who founds the group of voters, and which change of it comes next. Pure decisions.

use std::net::SocketAddr;
use std::time::Duration;

use filbertstack_log::Change;
use filbertstack_log::MAX_VOTERS;
use filbertstack_log::Member;
use filbertstack_log::Membership;
use filbertstack_log::NodeId;

use crate::link::messages::NodeStatus;

/// For how long a request to be taken in counts: some rounds in which it is made again.
pub const NEWCOMER: Duration = Duration::from_secs(2);

/// After which silence a voter makes room for a newcomer that waits. Above an election with its
/// pauses, below the time in which a replaced voter must count again. One that comes back asks
/// to be taken in again.
pub const REPLACED: Duration = Duration::from_millis(2_500);

/// After which silence a voter is taken out without a newcomer, as it was one too many: a planned
/// replacement adds the new one first. Above a restart and above a machine frozen for seconds.
const LEFT: Duration = Duration::from_secs(9);

/// The fewest voters that a group keeps when it takes a silent one out for no newcomer.
const FEWEST: usize = 3;

/// A node with a disk that asks to be taken in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Newcomer {
    /// The identity of its memory.
    pub node: NodeId,
    /// Its name.
    pub name: String,
    /// Its address for links.
    pub addr: SocketAddr,
}

/// Whether the node at `own` founds the group now, and how many voters the group must have had
/// before it takes commands.
///
/// Only in the first start of the whole system, and only the first seed that has a disk: two
/// groups would each accept changes that the other does not know. Every seed before it must have
/// said that it has no disk, and every seed that answers that it knows no group. A node whose disk
/// was lost is not in a first start, so that it can't found a second group beside its own.
pub fn founder(
    first: bool,
    own: SocketAddr,
    seeds: &[SocketAddr],
    heard: &[NodeStatus],
) -> Option<u32> {
    // A seed without a disk is in no group, but may know one.
    let knows = |s: &NodeStatus| s.cluster != 0 || !s.leader.is_empty() || !s.voters.is_empty();
    let grouped = heard.iter().any(knows);
    if !first || grouped {
        return None;
    }
    let place = seeds.iter().position(|seed| *seed == own)?;
    let diskless = |seed: &SocketAddr| {
        let standing = heard.iter().find(|s| s.addr == seed.to_string());
        standing.is_some_and(|s| s.node_id == 0)
    };
    if !seeds[..place].iter().all(diskless) {
        return None;
    }
    let others = seeds[place + 1..].iter().filter(|seed| !diskless(seed));
    u32::try_from(others.count() + 1).ok()
}

/// The next change of the group that `leader` leads, given who waits to be taken in and for how
/// long each voter has been silent.
pub fn next(
    leader: NodeId,
    now: &Membership,
    newcomers: &[Newcomer],
    silent: impl Fn(NodeId) -> Duration,
) -> Option<Change> {
    if let Some(learner) = now.learners.first() {
        return Some(learner_step(learner, newcomers, &silent));
    }
    let fresh = newcomers
        .iter()
        .find(|n| !now.members().any(|m| m.id() == n.node));
    if let Some(fresh) = fresh {
        return take_in(leader, now, fresh, &silent);
    }
    let others = || now.voters.iter().filter(|m| m.id() != leader);
    let lost = others().find(|m| silent(m.id()) >= LEFT)?;
    let rest_heard = others().all(|m| m.id() == lost.id() || silent(m.id()) < REPLACED);
    let spare = now.forming == 0 && now.voters.len() > FEWEST;
    (spare && rest_heard).then(|| Change::Remove(lost.id()))
}

/// A learner is made a voter, or dropped when it lost its memory or fell silent.
fn learner_step(
    learner: &Member,
    newcomers: &[Newcomer],
    silent: &impl Fn(NodeId) -> Duration,
) -> Change {
    let address = |n: &Newcomer| n.addr.to_string() == learner.address;
    let replaced = newcomers
        .iter()
        .any(|n| address(n) && n.node != learner.id());
    if replaced || silent(learner.id()) >= REPLACED {
        return Change::Remove(learner.id());
    }
    Change::Promote(learner.id())
}

/// Makes room for a newcomer, then adds it.
///
/// A voter at the newcomer's own address lost its disk and can never vote again; while it counts,
/// the group bears one loss less. The same goes for one that is silent.
fn take_in(
    leader: NodeId,
    now: &Membership,
    fresh: &Newcomer,
    silent: &impl Fn(NodeId) -> Duration,
) -> Option<Change> {
    let others = || now.voters.iter().filter(|m| m.id() != leader);
    let wiped = others().find(|m| m.address == fresh.addr.to_string());
    let longest = others().max_by_key(|m| silent(m.id()));
    let lost = longest.filter(|m| silent(m.id()) >= REPLACED && now.forming == 0);
    let room = now.voters.len() < MAX_VOTERS;
    if let Some(old) = wiped.or(lost) {
        return Some(Change::Remove(old.id()));
    }
    // A full group in which everybody is heard needs no other member.
    room.then(|| {
        Change::AddLearner(Member {
            node: fresh.node.0,
            name: fresh.name.clone(),
            address: fresh.addr.to_string(),
        })
    })
}
