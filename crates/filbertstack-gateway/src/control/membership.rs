//! Pure decisions on the group of voters: which node creates it, and which change of its members is next.

use std::net::SocketAddr;
use std::time::Duration;

use filbertstack_log::Change;
use filbertstack_log::MAX_VOTERS;
use filbertstack_log::Member;
use filbertstack_log::Membership;
use filbertstack_log::NodeId;

use crate::control::contacts::Contact;
use crate::link::messages::NodeStatus;

/// How long a request to join the group is valid. A node that waits repeats the request several times in
/// this time.
pub const JOIN_VALIDITY: Duration = Duration::from_secs(2);

/// How long a voter is silent before it is removed, where the group tolerates as many failures without it. The group
/// must tolerate the loss of a disk again 3 s after the last event at its instances. An interval of maintenance and the
/// commits of the changes also fit into this time. A removed voter that comes back asks to join again.
pub const REPLACE_AFTER: Duration = Duration::from_secs(2);

/// How long a member is silent before it is in doubt whether it is lost: some heartbeats.
const SUSPECT_AFTER: Duration = Duration::from_millis(500);

/// How long a voter is silent before it is removed although the group gains nothing by it. This is longer than a restart
/// and than a freeze of the instance for seconds.
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
/// join, and on the contact with each member.
///
/// *Failure*: a voter that is gone for good counts beside its successor. A majority of four needs three logs, and
/// the loss of one more disk leaves two. So no change lowers the number of failures that the group still
/// tolerates, which is the number of answering voters less a majority:
///
/// - A group with an even number of voters gains by each change of one voter. It promotes a learner at once, and
///   removes a lost voter as soon as it is certain of the loss.
/// - A group with an odd number loses nothing by the removal of a lost voter, and gains nothing by a promotion.
///   It promotes a learner only if all members answer. A lost voter first makes room.
pub fn next_change(
    leader: NodeId,
    current: &Membership,
    newcomers: &[Newcomer],
    contact: impl Fn(&Member) -> Contact,
) -> Option<Change> {
    let group = Group {
        leader,
        current,
        newcomers,
        contact,
    };
    if !group.has_majority() {
        return None;
    }
    if let Some(learner) = current.learners.first() {
        return group.change_learner(learner);
    }
    let newcomer = newcomers
        .iter()
        .find(|n| !current.members().any(|m| m.id() == n.node));
    newcomer
        .and_then(|n| group.admit(n))
        .or_else(|| group.remove_surplus())
}

/// A group as its leader sees it.
struct Group<'a, F> {
    leader: NodeId,
    current: &'a Membership,
    newcomers: &'a [Newcomer],
    contact: F,
}

impl<F: Fn(&Member) -> Contact> Group<'_, F> {
    fn others(&self) -> impl Iterator<Item = &Member> {
        let leader = self.leader;
        self.current.voters.iter().filter(move |m| m.id() != leader)
    }

    fn is_even(&self) -> bool {
        self.current.voters.len().is_multiple_of(2)
    }

    fn is_silent(&self, member: &Member, limit: Duration) -> bool {
        (self.contact)(member).silence >= limit
    }

    /// Returns whether a node with another identity asks to join from the member's address. The member has lost its
    /// log and can never vote again.
    fn is_replaced(&self, member: &Member) -> bool {
        let same = |n: &Newcomer| n.addr.to_string() == member.address;
        self.newcomers
            .iter()
            .any(|n| same(n) && n.node != member.id())
    }

    /// Returns a voter on whose vote the group can't count: it lost its log, leaves, or is silent.
    fn find_lost(&self) -> Option<&Member> {
        let replaced = self.others().find(|m| self.is_replaced(m));
        let leaving = || self.others().find(|m| (self.contact)(m).leaving);
        let silent = || {
            let longest = self.others().max_by_key(|m| (self.contact)(m).silence);
            longest.filter(|m| self.is_silent(m, REPLACE_AFTER))
        };
        replaced.or_else(leaving).or_else(silent)
    }

    /// Returns whether more than half of the voters answer. A leader that was cut off itself changes nothing.
    fn has_majority(&self) -> bool {
        let silent = self.others().filter(|m| self.is_silent(m, REPLACE_AFTER));
        self.current.voters.len() - silent.count() >= self.current.quorum()
    }

    /// Promotes a learner, makes room for it, or removes it if it lost its log or fell silent.
    fn change_learner(&self, learner: &Member) -> Option<Change> {
        if self.is_replaced(learner) || self.is_silent(learner, REPLACE_AFTER) {
            return Some(Change::Remove(learner.id()));
        }
        if self.current.forming != 0 || self.is_even() {
            return Some(Change::Promote(learner.id()));
        }
        if self.is_silent(learner, SUSPECT_AFTER) {
            return None;
        }
        if let Some(lost) = self.find_lost() {
            return Some(Change::Remove(lost.id()));
        }
        let doubtful = self.others().any(|m| self.is_silent(m, SUSPECT_AFTER));
        (!doubtful).then(|| Change::Promote(learner.id()))
    }

    /// Removes a lost voter in favour of a newcomer, or adds the newcomer as a learner.
    fn admit(&self, newcomer: &Newcomer) -> Option<Change> {
        let wiped = self
            .others()
            .find(|m| m.address == newcomer.addr.to_string());
        // While a group forms, each voter that it has had counts. One that leaves votes until a learner can take its place.
        let is_removable = |m: &&Member| self.current.forming == 0 && !(self.contact)(m).leaving;
        let lost = || self.find_lost().filter(is_removable);
        if let Some(old) = wiped.or_else(lost) {
            return Some(Change::Remove(old.id()));
        }
        // A full group whose members all answer needs no other member.
        let room = self.current.voters.len() < MAX_VOTERS;
        room.then(|| {
            Change::AddLearner(Member {
                node: newcomer.node.0,
                name: newcomer.name.clone(),
                address: newcomer.addr.to_string(),
            })
        })
    }

    /// Removes a lost voter although no newcomer waits.
    fn remove_surplus(&self) -> Option<Change> {
        let surplus = self.current.forming == 0 && self.current.voters.len() > MIN_VOTERS;
        if !surplus {
            return None;
        }
        if self.is_even() {
            return self.find_lost().map(|m| Change::Remove(m.id()));
        }
        let lost = self.others().find(|m| self.is_silent(m, REMOVE_AFTER))?;
        let mut rest = self.others().filter(|m| m.id() != lost.id());
        let rest_answers = rest.all(|m| !self.is_silent(m, REPLACE_AFTER));
        rest_answers.then(|| Change::Remove(lost.id()))
    }
}
