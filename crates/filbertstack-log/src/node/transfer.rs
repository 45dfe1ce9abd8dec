//! Planned transfer of the leadership.

use std::time::Duration;

use crate::ids::NodeId;
use crate::membership::ChangeError;
use crate::message::Body;
use crate::message::Campaign;
use crate::node::Accepted;
use crate::node::Node;
use crate::node::Refusal;
use crate::node::Role;
use crate::node::Ticket;
use crate::node::persist::Durability;

/// A leadership transfer in progress.
#[derive(Debug)]
pub(super) struct Transfer {
    to: NodeId,
    deadline: Duration,
    sent: bool,
}

impl Node {
    pub(super) fn on_transfer(&mut self, ticket: Ticket, to: Option<NodeId>) {
        let result = self.begin_transfer(to);
        self.answer(ticket, result.map(|()| Accepted::Transferring));
        self.advance_transfer();
    }

    /// Transfers the leadership from a learner, which was elected as the last resort, to a voter.
    pub(super) fn yield_leadership(&mut self) {
        if self.begin_transfer(None).is_ok() {
            self.advance_transfer();
        }
    }

    fn begin_transfer(&mut self, to: Option<NodeId>) -> Result<(), Refusal> {
        let membership = self.membership();
        let deadline = self.now + self.config.timing.election_min;
        let refusal = self.not_leader();
        let Role::Leader(leader) = &mut self.role else {
            return Err(refusal);
        };
        if leader.transfer.is_some() {
            return Err(Refusal::Transferring);
        }
        let voters = leader
            .peers
            .iter()
            .filter(|(id, _)| membership.is_voter(**id));
        let best = voters
            .max_by_key(|(_, peer)| peer.match_index)
            .map(|(id, _)| *id);
        let to = to.or(best).ok_or(Refusal::NoOtherVoter)?;
        if !membership.is_voter(to) || !leader.peers.contains_key(&to) {
            return Err(ChangeError::Unknown { node: to }.into());
        }
        leader.transfer = Some(Transfer {
            to,
            deadline,
            sent: false,
        });
        Ok(())
    }

    /// Tells the chosen voter to campaign once it holds the whole log.
    pub(super) fn advance_transfer(&mut self) {
        let last = self.log.last().index;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(transfer) = &mut leader.transfer else {
            return;
        };
        let to = transfer.to;
        let ready = leader.peers.get(&to).is_some_and(|p| p.match_index == last);
        if transfer.sent || !ready {
            return;
        }
        transfer.sent = true;
        // Voters grant their vote to the chosen voter although they heard this leader recently, and
        // the message may be delayed for long. From here on the lease protects no read.
        leader.lease_void |= self.config.safeguards.transfer_lease;
        self.send(to, Durability::Nothing, Body::Campaign(Campaign {}));
    }

    /// Cancels a transfer that did not complete in time, so that proposals are accepted again.
    pub(super) fn expire_transfer(&mut self) {
        let now = self.now;
        if let Role::Leader(leader) = &mut self.role
            && leader.transfer.as_ref().is_some_and(|t| now >= t.deadline)
        {
            leader.transfer = None;
        }
    }
}
