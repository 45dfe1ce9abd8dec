//! How a group comes to be: once, by one replica, and never again from an empty folder.

use crate::ids::ClusterId;
use crate::ids::NodeId;
use crate::membership::Change;
use crate::membership::Member;
use crate::membership::Membership;

/// What a replica tells the others listed in the settings before it belongs to a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// The name of its instance, as the settings list it.
    pub name: String,
    /// Where it is reached.
    pub address: String,
    /// Its identity.
    pub node: NodeId,
    /// The group that it belongs to, if any.
    pub cluster: Option<ClusterId>,
}

/// What a replica without a group does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Formation {
    /// Create the group: this is the first listed, and none of the listed has a group.
    Create,
    /// Wait for the announcements of these.
    Wait {
        /// The names listed that have not been heard.
        missing: Vec<String>,
    },
    /// Wait to be added to a group as a learner.
    Join,
}

impl Formation {
    /// Decides for the replica called `name`, given the listed names and what was heard of each.
    ///
    /// Only the first listed creates, and only after every other listed replica said that it has
    /// no group. A first replica that lost its disk thus finds the group that it was in, and does
    /// not create a second one beside it. Whoever cannot be reached is waited for.
    pub fn decide(name: &str, listed: &[String], heard: &[Announcement]) -> Self {
        let grouped = heard.iter().any(|a| a.cluster.is_some());
        if grouped || listed.first().map(String::as_str) != Some(name) {
            return Self::Join;
        }
        let known = |wanted: &String| heard.iter().any(|a| a.name == *wanted);
        let missing = listed.iter().filter(|l| *l != name && !known(l));
        let missing: Vec<String> = missing.cloned().collect();
        if missing.is_empty() {
            return Self::Create;
        }
        Self::Wait { missing }
    }

    /// The next change that brings the listed replicas into a group that is still forming.
    ///
    /// The leader proposes it again until it returns `None`; a promotion that is refused because
    /// the learner is behind is proposed again later.
    pub fn next(now: &Membership, listed: &[String], heard: &[Announcement]) -> Option<Change> {
        if now.forming == 0 {
            return None;
        }
        if let Some(learner) = now.learners.iter().find(|m| listed.contains(&m.name)) {
            return Some(Change::Promote(learner.id()));
        }
        let known = |a: &Announcement| now.members().any(|m| m.name == a.name);
        let fresh = heard
            .iter()
            .find(|a| listed.contains(&a.name) && !known(a))?;
        Some(Change::AddLearner(Member {
            node: fresh.node.0,
            name: fresh.name.clone(),
            address: fresh.address.clone(),
        }))
    }
}
