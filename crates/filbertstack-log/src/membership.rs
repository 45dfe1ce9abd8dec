//! The voters and learners of a group, and the changes of membership that are allowed.

use crate::ids::NodeId;

/// The largest number of voters in a group.
pub const MAX_VOTERS: usize = 8;

/// Describes one replica to the other members.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Member {
    /// The replica's [`NodeId`].
    #[prost(fixed64, tag = "1")]
    pub node: u64,
    /// The name of its instance.
    #[prost(string, tag = "2")]
    pub name: String,
    /// The address at which it receives messages.
    #[prost(string, tag = "3")]
    pub address: String,
}

impl Member {
    /// Returns the identity of the replica.
    pub fn id(&self) -> NodeId {
        NodeId(self.node)
    }
}

/// Lists the members of a group.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Membership {
    /// The members whose acknowledgements and votes count.
    #[prost(message, repeated, tag = "1")]
    pub voters: Vec<Member>,
    /// The members that copy the log without counting towards a majority.
    #[prost(message, repeated, tag = "2")]
    pub learners: Vec<Member>,
    /// The number of voters that the group must reach before it takes commands; 0 once it has
    /// reached it.
    ///
    /// A group starts as one voter. A command accepted at that point would be lost with that one
    /// disk.
    #[prost(uint32, tag = "3")]
    pub forming: u32,
}

/// Changes the membership by one member; changes are made one at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Adds a member that copies the log without counting towards a majority.
    AddLearner(Member),
    /// Makes a learner that holds every committed entry a voter.
    Promote(NodeId),
    /// Removes a voter or a learner.
    Remove(NodeId),
    /// Gives a member another name or address.
    Move(Member),
}

/// The reason why a change of membership is refused; the membership is unchanged.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// An earlier change is not yet committed.
    #[error("another change of membership is not committed yet; try again when it is")]
    Pending,
    /// The leader has not yet committed an entry of its term.
    #[error("the leader has only just been elected; try again in a second")]
    NewLeader,
    /// The group has no such member.
    #[error("no member {node}; `status` lists the members")]
    Unknown {
        /// The member named in the change.
        node: NodeId,
    },
    /// The group already has the member, or the member already votes.
    #[error("member {node} is there already; `status` lists the members")]
    Present {
        /// The member named in the change.
        node: NodeId,
    },
    /// The learner does not hold every committed entry.
    #[error("learner {node} is {behind} entries behind; promote it when it holds everything")]
    Behind {
        /// The learner.
        node: NodeId,
        /// The number of committed entries that it lacks.
        behind: u64,
    },
    /// The member to remove is the leader.
    #[error("member {node} leads; transfer the leadership first, then remove it")]
    Leads {
        /// The leader.
        node: NodeId,
    },
    /// Too few voters of the changed membership answer now.
    #[error("only {answer} of the {voters} voters then would answer now; bring one back first")]
    NoQuorum {
        /// The number of voters that answer, this leader included.
        answer: usize,
        /// The number of voters after the change.
        voters: usize,
    },
    /// The group would have too many voters.
    #[error("a group has at most {MAX_VOTERS} voters; remove one first")]
    TooMany,
}

impl Membership {
    /// Returns the membership of a group of one voter that takes commands once it has had `voter_count`
    /// voters.
    #[must_use]
    pub fn initial(voter: Member, voter_count: u32) -> Self {
        Self {
            voters: vec![voter],
            learners: Vec::new(),
            forming: if voter_count > 1 { voter_count } else { 0 },
        }
    }

    /// Returns whether the member is a voter.
    pub fn is_voter(&self, node: NodeId) -> bool {
        self.voters.iter().any(|m| m.node == node.0)
    }

    /// Returns whether the member is a learner.
    pub fn is_learner(&self, node: NodeId) -> bool {
        self.learners.iter().any(|m| m.node == node.0)
    }

    /// Returns the voters, then the learners.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.voters.iter().chain(&self.learners)
    }

    /// Returns the number of voters that make a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns the greatest value that a majority of the voters has reached, given the value of
    /// each voter.
    pub fn quorum_value<T: Copy + Ord>(&self, value: impl Fn(NodeId) -> T) -> Option<T> {
        let mut values: Vec<T> = self.voters.iter().map(|m| value(m.id())).collect();
        values.sort_unstable();
        values.len().checked_sub(self.quorum()).map(|i| values[i])
    }

    /// Returns the membership after `change`.
    ///
    /// # Errors
    /// Returns [`ChangeError`] if the change does not fit this membership.
    pub fn with_change(&self, change: &Change) -> Result<Self, ChangeError> {
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
