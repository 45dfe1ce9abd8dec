//! Leader election: pre-votes, votes, and when a voter refuses them.

use std::collections::BTreeSet;

use crate::ids::NodeId;
use crate::ids::Position;
use crate::message::AppendReply;
use crate::message::Body;
use crate::message::Vote;
use crate::message::VoteReply;
use crate::node::Node;
use crate::node::Role;
use crate::node::persist::Durability;

/// The number of longest election timeouts that a learner waits before it campaigns: any voter that
/// can win has won by then.
const LEARNER_TIMEOUTS: u32 = 4;

impl Node {
    /// Returns whether a leader was heard so recently that its lease may still run.
    pub(super) fn heard_leader(&self) -> bool {
        if !self.config.safeguards.sticky_leader {
            return false;
        }
        if matches!(self.role, Role::Leader(_)) {
            return true;
        }
        let timeout = self.config.timing.election_min;
        self.leader_heard_at
            .is_some_and(|at| self.now < at + timeout)
    }

    /// Makes the node a follower in `term`, of `leader` if one is known.
    pub(super) fn become_follower(&mut self, term: u64, leader: Option<NodeId>) {
        self.fail_reads();
        if term > self.hard.term {
            self.hard.term = term;
            self.hard.vote = 0;
            self.disk.hard_dirty = true;
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.reset_election();
    }

    pub(super) fn start_election(&mut self) {
        self.reset_election();
        self.leader = None;
        if !self.may_campaign() || self.installing || self.disk_hangs() {
            return;
        }
        if !self.config.safeguards.pre_vote {
            self.campaign(false);
            return;
        }
        // A voter that is cut off would raise its term again and again, and on its return force the
        // leader of the others to step down. A pre-vote costs one round trip and raises no term.
        let votes = BTreeSet::from([self.config.id]);
        self.role = Role::PreCandidate { votes };
        self.request_votes(true, false);
        self.count_pre_votes();
    }

    /// Returns whether this node may campaign: a voter always, a learner as the last resort.
    ///
    /// A leader that dies for good may leave its last entries on one learner alone, while a voter
    /// holds an uncommitted promotion of that learner. That voter then needs the learner's vote,
    /// which the learner refuses because the voter's log is shorter, and no other voter can win.
    /// The group would be unavailable although a majority of the voters is alive. Once elected by
    /// the voters, the learner replicates its entries to them and transfers the leadership.
    fn may_campaign(&self) -> bool {
        let membership = self.membership();
        let timeout = self.config.timing.election_max * LEARNER_TIMEOUTS;
        let silent = self.now >= self.leader_heard_at.unwrap_or_default() + timeout;
        membership.is_voter(self.config.id) || (silent && membership.is_learner(self.config.id))
    }

    pub(super) fn campaign(&mut self, transfer: bool) {
        self.become_follower(self.hard.term + 1, None);
        self.hard.vote = self.config.id.0;
        self.disk.hard_dirty = true;
        let votes = BTreeSet::new();
        self.role = Role::Candidate { votes };
        self.request_votes(false, transfer);
    }

    fn request_votes(&mut self, pre: bool, transfer: bool) {
        let last = self.log.last();
        let term = self.hard.term + u64::from(pre);
        let vote = Vote {
            last_index: last.index,
            last_term: last.term,
            pre,
            transfer,
        };
        for member in &self.membership().voters {
            if member.id() != self.config.id {
                self.send_at(member.id(), Durability::HardState, term, Body::Vote(vote));
            }
        }
    }

    pub(super) fn on_vote(&mut self, from: NodeId, term: u64, vote: Vote) {
        let theirs = Position {
            term: vote.last_term,
            index: vote.last_index,
        };
        // A replica that belongs to no group has no log to compare with.
        let member = !self.memberships.is_empty() || !self.config.safeguards.members_vote;
        let eligible = theirs >= self.log.last() && member;
        let may_vote = self.hard.vote == 0 || self.hard.vote == from.0;
        let granted = if vote.pre {
            eligible && term > self.hard.term && !self.heard_leader()
        } else {
            eligible && may_vote && (vote.transfer || !self.heard_leader())
        };
        if granted && !vote.pre {
            self.disk.hard_dirty |= self.hard.vote != from.0;
            self.hard.vote = from.0;
            self.reset_election();
        }
        let term = if granted { term } else { self.hard.term };
        let pre = vote.pre;
        let reply = VoteReply { granted, pre };
        self.send_at(from, Durability::HardState, term, Body::VoteReply(reply));
    }

    pub(super) fn on_vote_reply(&mut self, from: NodeId, term: u64, reply: VoteReply) {
        if !reply.granted {
            return;
        }
        match &mut self.role {
            Role::PreCandidate { votes } if reply.pre && term == self.hard.term + 1 => {
                votes.insert(from);
                self.count_pre_votes();
            }
            Role::Candidate { votes } if !reply.pre && term == self.hard.term => {
                votes.insert(from);
                self.count_votes();
            }
            _ => {}
        }
    }

    fn count_pre_votes(&mut self) {
        let Role::PreCandidate { votes } = &self.role else {
            return;
        };
        if self.has_majority(votes) {
            self.campaign(false);
        }
    }

    pub(super) fn count_votes(&mut self) {
        let Role::Candidate { votes } = &self.role else {
            return;
        };
        if self.has_majority(votes) {
            self.become_leader();
        }
    }

    /// Counts the candidate's own vote once it is durable, as any other vote.
    pub(super) fn count_own_vote(&mut self) {
        let own = self.config.id;
        let durable = self.disk.written >= self.disk.hard_seq && !self.disk.hard_dirty;
        if let Role::Candidate { votes } = &mut self.role
            && durable
            && votes.insert(own)
        {
            self.count_votes();
        }
    }

    fn has_majority(&self, votes: &BTreeSet<NodeId>) -> bool {
        let membership = self.membership();
        let counted = votes.iter().filter(|id| membership.is_voter(**id)).count();
        counted >= membership.quorum()
    }

    /// Answers a message of an earlier term, so that its sender, a superseded leader or candidate,
    /// learns of the current term. Without the answer, a replica whose term is ahead of its
    /// leader's would never follow that leader.
    pub(super) fn reply_stale(&mut self, from: NodeId, body: &Body) {
        let reply = match body {
            Body::Append(_) | Body::Piece(_) => Body::AppendReply(AppendReply {
                reject: true,
                ..AppendReply::default()
            }),
            Body::Vote(vote) => Body::VoteReply(VoteReply {
                granted: false,
                pre: vote.pre,
            }),
            _ => return,
        };
        self.send(from, Durability::HardState, reply);
    }

    pub(super) fn on_campaign(&mut self) {
        let leads = matches!(self.role, Role::Leader(_));
        if self.is_voter() && !leads && !self.installing {
            self.campaign(true);
        }
    }
}
