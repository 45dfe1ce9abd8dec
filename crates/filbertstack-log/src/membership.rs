//! Who votes, who follows, and which change of that is allowed.

use crate::ids::NodeId;

/// The most voters that a group may have.
pub const MAX_VOTERS: usize = 8;

/// One replica as the others know it.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Member {
    /// The replica's [`NodeId`].
    #[prost(fixed64, tag = "1")]
    pub node: u64,
    /// The name of its instance.
    #[prost(string, tag = "2")]
    pub name: String,
    /// Where it is reached.
    #[prost(string, tag = "3")]
    pub address: String,
}

impl Member {
    /// The replica's identity.
    pub fn id(&self) -> NodeId {
        NodeId(self.node)
    }
}

/// The members of a group.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Membership {
    /// Those whose acknowledgement and vote count.
    #[prost(message, repeated, tag = "1")]
    pub voters: Vec<Member>,
    /// Those that only copy the log.
    #[prost(message, repeated, tag = "2")]
    pub learners: Vec<Member>,
    /// How many voters the group must once have had before it takes commands; 0 when it has.
    ///
    /// A group starts as one voter. A command accepted then would be lost with that one disk.
    #[prost(uint32, tag = "3")]
    pub forming: u32,
}

/// A change of membership: one at a time, one member each.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Adds a member that copies the log and does not count.
    AddLearner(Member),
    /// Makes a learner that holds everything committed a voter.
    Promote(NodeId),
    /// Removes a voter or a learner.
    Remove(NodeId),
    /// Gives a member another name or address.
    Move(Member),
}

/// Why a change of membership is refused; nothing was changed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// An earlier change is not committed yet.
    #[error("another change of membership is not committed yet; try again when it is")]
    Pending,
    /// The leader has not committed an entry of its term yet.
    #[error("the leader has only just been elected; try again in a second")]
    NewLeader,
    /// There is no such member.
    #[error("no member {node}; `status` lists the members")]
    Unknown {
        /// The member asked for.
        node: NodeId,
    },
    /// The member is there already.
    #[error("member {node} is there already; `status` lists the members")]
    Present {
        /// The member asked for.
        node: NodeId,
    },
    /// The learner does not hold everything that is committed.
    #[error("learner {node} is {behind} entries behind; promote it when it holds everything")]
    Behind {
        /// The learner.
        node: NodeId,
        /// How many committed entries it lacks.
        behind: u64,
    },
    /// The leader is not removed while it leads.
    #[error("member {node} leads; transfer the leadership first, then remove it")]
    Leads {
        /// The leader.
        node: NodeId,
    },
    /// Too few of the voters that there would be answer now.
    #[error("only {answer} of the {voters} voters then would answer now; bring one back first")]
    NoQuorum {
        /// How many answer, this leader included.
        answer: usize,
        /// How many there would be.
        voters: usize,
    },
    /// The group would have too many voters.
    #[error("a group has at most {MAX_VOTERS} voters; remove one first")]
    TooMany,
}

impl Membership {
    /// A group of one voter that takes commands once it has had `wanted` voters.
    #[must_use]
    pub fn first(voter: Member, wanted: u32) -> Self {
        Self {
            voters: vec![voter],
            learners: Vec::new(),
            forming: if wanted > 1 { wanted } else { 0 },
        }
    }

    /// Whether the member counts.
    pub fn is_voter(&self, node: NodeId) -> bool {
        self.voters.iter().any(|m| m.node == node.0)
    }

    /// Whether the member only copies.
    pub fn is_learner(&self, node: NodeId) -> bool {
        self.learners.iter().any(|m| m.node == node.0)
    }

    /// Voters, then learners.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.voters.iter().chain(&self.learners)
    }

    /// How many voters make a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// The greatest value that a majority of the voters has reached, given each one's value.
    pub fn reached<T: Copy + Ord>(&self, value: impl Fn(NodeId) -> T) -> Option<T> {
        let mut values: Vec<T> = self.voters.iter().map(|m| value(m.id())).collect();
        values.sort_unstable();
        values.len().checked_sub(self.quorum()).map(|i| values[i])
    }

    /// The membership after `change`.
    ///
    /// # Errors
    /// [`ChangeError`] if the change does not fit this membership.
    pub fn after(&self, change: &Change) -> Result<Self, ChangeError> {
        let mut next = self.clone();
        match change {
            Change::AddLearner(member) => next.add(member)?,
            Change::Promote(node) => next.promote(*node)?,
            Change::Remove(node) => next.remove(*node)?,
            Change::Move(member) => next.relocate(member)?,
        }
        Ok(next)
    }

    fn add(&mut self, member: &Member) -> Result<(), ChangeError> {
        let node = member.id();
        if self.members().any(|m| m.node == member.node) {
            return Err(ChangeError::Present { node });
        }
        self.learners.push(member.clone());
        Ok(())
    }

    fn promote(&mut self, node: NodeId) -> Result<(), ChangeError> {
        if self.is_voter(node) {
            return Err(ChangeError::Present { node });
        }
        if self.voters.len() == MAX_VOTERS {
            return Err(ChangeError::TooMany);
        }
        let place = self.learners.iter().position(|m| m.node == node.0);
        let place = place.ok_or(ChangeError::Unknown { node })?;
        let member = self.learners.remove(place);
        self.voters.push(member);
        if self.voters.len() >= self.forming as usize {
            self.forming = 0;
        }
        Ok(())
    }

    fn relocate(&mut self, member: &Member) -> Result<(), ChangeError> {
        let mut all = self.voters.iter_mut().chain(&mut self.learners);
        let found = all.find(|m| m.node == member.node);
        let node = member.id();
        *found.ok_or(ChangeError::Unknown { node })? = member.clone();
        Ok(())
    }

    fn remove(&mut self, node: NodeId) -> Result<(), ChangeError> {
        let before = self.members().count();
        self.voters.retain(|m| m.node != node.0);
        self.learners.retain(|m| m.node != node.0);
        if self.members().count() == before {
            return Err(ChangeError::Unknown { node });
        }
        Ok(())
    }
}
