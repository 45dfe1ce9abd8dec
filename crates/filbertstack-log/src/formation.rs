//! Formation of a group: one replica creates it once, and an empty data folder never creates a
//! second one.

use crate::ids::ClusterId;
use crate::ids::NodeId;
use crate::membership::Change;
use crate::membership::Member;
use crate::membership::Membership;

/// A replica announces itself to the other replicas listed in the settings before it belongs to a
/// group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// The name of its instance, as listed in the settings.
    pub name: String,
    /// The address at which it receives messages.
    pub address: String,
    /// Its identity.
    pub node: NodeId,
    /// The group that it belongs to, if any.
    pub cluster: Option<ClusterId>,
}

/// The next step of a replica that belongs to no group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Formation {
    /// The replica creates the group: it is the first one listed, and none of the listed replicas
    /// has a group.
    Create,
    /// The replica waits for the announcements of other replicas.
    Wait {
        /// The listed names whose announcements have not arrived.
        missing: Vec<String>,
    },
    /// The replica waits until a leader adds it to a group as a learner.
    Join,
}

impl Formation {
    /// Decides the next step of the replica called `name`, given the listed names and the
    /// announcements that arrived.
    ///
    /// Only the first listed replica creates a group, and only after every other listed replica
    /// announced that it has none. A first replica that lost its disk therefore finds its old group
    /// and does not create a second one beside it. It waits for replicas that cannot be reached.
    pub fn decide(name: &str, listed: &[String], announcements: &[Announcement]) -> Self {
        let grouped = announcements.iter().any(|a| a.cluster.is_some());
        if grouped || listed.first().map(String::as_str) != Some(name) {
            return Self::Join;
        }
        let known = |wanted: &String| announcements.iter().any(|a| a.name == *wanted);
        let missing = listed.iter().filter(|l| *l != name && !known(l));
        let missing: Vec<String> = missing.cloned().collect();
        if missing.is_empty() {
            return Self::Create;
        }
        Self::Wait { missing }
    }

    /// Returns the next change that brings the listed replicas into a group that is still forming.
    ///
    /// The leader proposes it again until this function returns `None`. A promotion that is refused
    /// because the learner lags is proposed again later.
    pub fn next_change(
        membership: &Membership,
        listed: &[String],
        announcements: &[Announcement],
    ) -> Option<Change> {
        if membership.forming == 0 {
            return None;
        }
        if let Some(learner) = membership
            .learners
            .iter()
            .find(|m| listed.contains(&m.name))
        {
            return Some(Change::Promote(learner.id()));
        }
        let known = |a: &Announcement| membership.members().any(|m| m.name == a.name);
        let fresh = announcements
            .iter()
            .find(|a| listed.contains(&a.name) && !known(a))?;
        Some(Change::AddLearner(Member {
            node: fresh.node.0,
            name: fresh.name.clone(),
            address: fresh.address.clone(),
        }))
    }

    /// Returns the next change that replaces a listed voter which came back under a new identity.
    ///
    /// The disk of the old identity is gone, so the old identity can never vote again. The new one copies the log as
    /// a learner, and the old one is removed before the new one votes: a newcomer that dies beside it would leave a
    /// majority of four to two voters.
    pub fn next_replacement(
        membership: &Membership,
        listed: &[String],
        announcements: &[Announcement],
    ) -> Option<Change> {
        let fresh = announcements.iter().filter(|a| listed.contains(&a.name));
        for fresh in fresh {
            let stale = |m: &&Member| m.name == fresh.name && m.id() != fresh.node;
            let stale_voter = membership.voters.iter().find(stale);
            let stale_learner = membership.learners.iter().find(stale);
            if membership.is_learner(fresh.node) {
                let change = stale_voter.map(|m| Change::Remove(m.id()));
                return Some(change.unwrap_or(Change::Promote(fresh.node)));
            }
            if membership.is_voter(fresh.node) {
                if let Some(stale) = membership.members().find(stale) {
                    return Some(Change::Remove(stale.id()));
                }
                continue;
            }
            if let Some(stale) = stale_learner {
                return Some(Change::Remove(stale.id()));
            }
            if fresh.cluster.is_none() || stale_voter.is_none() {
                return Some(Change::AddLearner(Member {
                    node: fresh.node.0,
                    name: fresh.name.clone(),
                    address: fresh.address.clone(),
                }));
            }
        }
        None
    }
}
