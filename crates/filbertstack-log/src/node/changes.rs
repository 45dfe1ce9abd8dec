//! Changes of the membership, one at a time.

use prost::Message as _;

use crate::ids::NodeId;
use crate::membership::Change;
use crate::membership::ChangeError;
use crate::membership::Membership;
use crate::message::EntryKind;
use crate::node::Accepted;
use crate::node::Node;
use crate::node::Refusal;
use crate::node::Role;
use crate::node::Ticket;
use crate::node::leader::Leader;

impl Node {
    pub(super) fn on_change(&mut self, ticket: Ticket, change: &Change) {
        let result = self.check_change(change).map(|next| {
            let data = next.encode_to_vec().into();
            let place = self.append_own(EntryKind::Membership, data);
            self.refresh_peers();
            self.advance_commit();
            Accepted::Appended(place)
        });
        self.answer(ticket, result);
    }

    fn check_change(&self, change: &Change) -> Result<Membership, Refusal> {
        if self.disk.full_until.is_some() {
            return Err(Refusal::DiskFull);
        }
        let Role::Leader(leader) = &self.role else {
            return Err(self.not_leader());
        };
        if leader.transfer.is_some() {
            return Err(Refusal::Transferring);
        }
        let next = self.membership().with_change(change)?;
        if self.config.safeguards.one_change {
            self.check_previous(leader.noop_index)?;
        }
        match change {
            Change::Promote(_) if !self.config.safeguards.caught_up => {}
            Change::Promote(node) => {
                let match_index = leader.peers.get(node).map_or(0, |p| p.match_index);
                let behind = self.commit.saturating_sub(match_index);
                if behind > 0 {
                    return Err(ChangeError::Behind {
                        node: *node,
                        behind,
                    }
                    .into());
                }
            }
            Change::Remove(node) if self.leads(*node) => {
                return Err(ChangeError::Leads { node: *node }.into());
            }
            Change::AddLearner(_) | Change::Remove(_) | Change::Move(_) => {}
        }
        self.check_quorum(leader, &next)?;
        Ok(next)
    }

    /// Refuses a change after which no majority answers: it could be neither committed nor undone,
    /// and the group would be unavailable for good.
    fn check_quorum(&self, leader: &Leader, next: &Membership) -> Result<(), ChangeError> {
        let timeout = self.config.timing.election_min;
        let answers = |node: NodeId| match leader.peers.get(&node) {
            Some(peer) => self.now < peer.heard_at + timeout,
            None => node == self.config.id,
        };
        let answer = next.voters.iter().filter(|m| answers(m.id())).count();
        let voters = next.voters.len();
        if answer < next.quorum() {
            return Err(ChangeError::NoQuorum { answer, voters });
        }
        Ok(())
    }

    /// Refuses a change before the previous one is committed, or before the leader has committed an
    /// entry of its own term.
    ///
    /// Two memberships in force at once share a majority only if they differ by one member and the
    /// earlier one is committed. A leader that has not committed in its own term may hold a change
    /// that the other replicas never received.
    fn check_previous(&self, noop_index: u64) -> Result<(), ChangeError> {
        if self.commit < noop_index {
            return Err(ChangeError::NewLeader);
        }
        let latest = self.memberships.last().map_or(0, |(at, _)| *at);
        if latest > self.commit {
            return Err(ChangeError::Pending);
        }
        Ok(())
    }
}
