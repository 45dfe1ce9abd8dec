//! Pure decisions of the search for the leader of the group, which asks nodes in several steps.
//!
//! *Failure*: the seeds in a newcomer's settings may have no disk, may predate the group, may be down or
//! cut off. If only the seeds are asked, none of them may name a leader. A node that lost its disk then
//! waits for ever, and the group tolerates one failure less. So the search also asks each node that an
//! asked node names as a voter, until one of them names the leader. This finds the leader if any asked
//! node is in contact with the group, because such a node knows the voters. A search asks at most
//! [`MAX_ASKED`] nodes, however large the system is.

use std::collections::VecDeque;
use std::fmt::Write as _;
use std::net::SocketAddr;

use filbertstack_log::MAX_VOTERS;

use crate::link::messages::NodeStatus;
use crate::link::messages::decode_addr;

/// The most nodes that one search asks: three seeds, the voters of a full group, and as many former
/// voters.
pub const MAX_ASKED: usize = 3 + 2 * MAX_VOTERS;

/// What a node answered.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Answer {
    /// It has not answered yet.
    Pending,
    /// It was not reached, for this reason.
    Unreached(String),
    /// It knows no group.
    NoGroup,
    /// It knows this many voters, and no leader.
    NoLeader(usize),
    /// It named this leader.
    Leader(SocketAddr),
}

/// One search for the leader.
#[derive(Clone, Debug)]
pub struct LeaderSearch {
    own: SocketAddr,
    asked: Vec<(SocketAddr, Answer)>,
    queue: VecDeque<SocketAddr>,
    /// The leaders that nodes named, each with the identities of the members of its group.
    leaders: Vec<(SocketAddr, Vec<u64>)>,
    voters: Vec<SocketAddr>,
}

impl LeaderSearch {
    /// Creates a search by the node at `own` that asks `starts` first.
    pub fn new(own: SocketAddr, starts: impl IntoIterator<Item = SocketAddr>) -> Self {
        let mut search = Self {
            own,
            asked: Vec::new(),
            queue: VecDeque::new(),
            leaders: Vec::new(),
            voters: Vec::new(),
        };
        starts.into_iter().for_each(|start| search.add(start));
        search
    }

    fn add(&mut self, node: SocketAddr) {
        let known = self.asked.iter().any(|(asked, _)| *asked == node);
        let full = self.asked.len() + self.queue.len() >= MAX_ASKED;
        if node != self.own && !known && !full && !self.queue.contains(&node) {
            self.queue.push_back(node);
        }
    }

    /// Takes out the nodes to ask now.
    pub fn take_next(&mut self) -> Vec<SocketAddr> {
        let next: Vec<SocketAddr> = self.queue.drain(..).collect();
        let waiting = next.iter().map(|node| (*node, Answer::Pending));
        self.asked.extend(waiting);
        next
    }

    /// Records the answer of a node.
    pub fn record_answer(&mut self, node: SocketAddr, standing: &NodeStatus) {
        let voters: Vec<SocketAddr> = standing
            .voters
            .iter()
            .filter_map(|v| decode_addr(v))
            .collect();
        let answer = match decode_addr(&standing.leader) {
            // A removed voter may still name this node as its leader.
            Some(leader) if leader != self.own => {
                if self.leaders.is_empty() {
                    // A node in contact with the leader has the most recent list of voters.
                    self.voters.clone_from(&voters);
                }
                self.leaders.push((leader, standing.members.clone()));
                Answer::Leader(leader)
            }
            _ if voters.is_empty() => Answer::NoGroup,
            _ => Answer::NoLeader(voters.len()),
        };
        self.set_answer(node, answer);
        for voter in voters {
            if self.leaders.is_empty() && !self.voters.contains(&voter) {
                self.voters.push(voter);
            }
            self.add(voter);
        }
    }

    /// Records that a node was not reached.
    pub fn record_failure(&mut self, node: SocketAddr, why: String) {
        self.set_answer(node, Answer::Unreached(why));
    }

    fn set_answer(&mut self, node: SocketAddr, answer: Answer) {
        let asked = self.asked.iter_mut().find(|(asked, _)| *asked == node);
        if let Some(asked) = asked {
            asked.1 = answer;
        }
    }

    /// Returns the leader, once a node has named it.
    pub fn leader(&self) -> Option<SocketAddr> {
        self.leaders.first().map(|(leader, _)| *leader)
    }

    /// Returns the leader of a group of which the replica `own` is not a member.
    pub fn leader_without(&self, own: u64) -> Option<SocketAddr> {
        let group = self
            .leaders
            .iter()
            .find(|(_, members)| !members.contains(&own));
        group.map(|(leader, _)| *leader)
    }

    /// Returns the voters that nodes named. If a node in contact with a leader named voters, these alone
    /// are returned.
    pub fn voters(&self) -> &[SocketAddr] {
        &self.voters
    }

    /// Returns a summary for the log: the nodes that were asked, and the answer of each.
    pub fn summary(&self) -> String {
        let mut text = String::new();
        for (node, answer) in &self.asked {
            let answer = match answer {
                Answer::Pending => "no answer yet".to_owned(),
                Answer::Unreached(why) => format!("not reached ({why})"),
                Answer::NoGroup => "knows no group".to_owned(),
                Answer::NoLeader(count) => format!("knows {count} voters and no leader"),
                Answer::Leader(leader) => format!("names {leader} as leader"),
            };
            let gap = if text.is_empty() { "" } else { "; " };
            // Writing to a string can't fail.
            let _ = write!(text, "{gap}{node}: {answer}");
        }
        if text.is_empty() {
            text.push_str("nobody: the settings name no other node as a seed");
        }
        text
    }
}
