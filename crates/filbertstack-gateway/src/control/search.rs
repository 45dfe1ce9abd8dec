//! Whom to ask for the leader of the group: a search over more than one step. Pure decisions.
//!
//! *Failure*: the seeds that a newcomer is told may have no disk, may be older than the group, may be
//! down or cut off. Asked alone, they name no leader, and a node whose disk was lost waits for ever
//! while the group bears one loss less. So whoever a node names as voter is asked as well, and so on,
//! until somebody names the leader. That reaches it wherever any node asked is in touch with the
//! group, as those in touch know its voters; and no search asks more than [`MOST`] nodes, however
//! large the system is.

use std::collections::VecDeque;
use std::fmt::Write as _;
use std::net::SocketAddr;

use filbertstack_log::MAX_VOTERS;

use crate::link::messages::NodeStatus;
use crate::link::messages::decode_addr;

/// The most nodes that one search asks: the seeds, the voters of a full group, and as many that
/// such a group had before.
pub const MOST: usize = 3 + 2 * MAX_VOTERS;

/// What a node that was asked said.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Said {
    /// It has not answered yet.
    Nothing,
    /// It did not answer, for this reason.
    Unreached(String),
    /// It knows no group.
    NoGroup,
    /// It knows these voters, and no leader.
    Voters(usize),
    /// It named this leader.
    Leader(SocketAddr),
}

/// One search.
#[derive(Clone, Debug)]
pub struct Search {
    own: SocketAddr,
    asked: Vec<(SocketAddr, Said)>,
    next: VecDeque<SocketAddr>,
    /// Those who named a leader: its address, and the members of its group.
    named: Vec<(SocketAddr, Vec<u64>)>,
    voters: Vec<SocketAddr>,
}

impl Search {
    /// A search of the node at `own` that begins at `starts`.
    pub fn new(own: SocketAddr, starts: impl IntoIterator<Item = SocketAddr>) -> Self {
        let mut search = Self {
            own,
            asked: Vec::new(),
            next: VecDeque::new(),
            named: Vec::new(),
            voters: Vec::new(),
        };
        starts.into_iter().for_each(|start| search.add(start));
        search
    }

    fn add(&mut self, node: SocketAddr) {
        let known = self.asked.iter().any(|(asked, _)| *asked == node);
        let full = self.asked.len() + self.next.len() >= MOST;
        if node != self.own && !known && !full && !self.next.contains(&node) {
            self.next.push_back(node);
        }
    }

    /// Takes out the nodes that are to be asked now.
    pub fn take_next(&mut self) -> Vec<SocketAddr> {
        let next: Vec<SocketAddr> = self.next.drain(..).collect();
        let waiting = next.iter().map(|node| (*node, Said::Nothing));
        self.asked.extend(waiting);
        next
    }

    /// Notes what a node answered.
    pub fn hear(&mut self, node: SocketAddr, standing: &NodeStatus) {
        let voters: Vec<SocketAddr> = standing
            .voters
            .iter()
            .filter_map(|v| decode_addr(v))
            .collect();
        let said = match decode_addr(&standing.leader) {
            // One that was taken out may still name this node as its leader.
            Some(leader) if leader != self.own => {
                if self.named.is_empty() {
                    // Whoever is in touch with the leader knows best who votes.
                    self.voters.clone_from(&voters);
                }
                self.named.push((leader, standing.members.clone()));
                Said::Leader(leader)
            }
            _ if voters.is_empty() => Said::NoGroup,
            _ => Said::Voters(voters.len()),
        };
        self.note(node, said);
        for voter in voters {
            if self.named.is_empty() && !self.voters.contains(&voter) {
                self.voters.push(voter);
            }
            self.add(voter);
        }
    }

    /// Notes that a node did not answer.
    pub fn miss(&mut self, node: SocketAddr, why: String) {
        self.note(node, Said::Unreached(why));
    }

    fn note(&mut self, node: SocketAddr, said: Said) {
        let asked = self.asked.iter_mut().find(|(asked, _)| *asked == node);
        if let Some(asked) = asked {
            asked.1 = said;
        }
    }

    /// The leader, once somebody has named it.
    pub fn leader(&self) -> Option<SocketAddr> {
        self.named.first().map(|(leader, _)| *leader)
    }

    /// The leader of a group to which the replica `own` does not belong.
    pub fn leader_without(&self, own: u64) -> Option<SocketAddr> {
        let group = self
            .named
            .iter()
            .find(|(_, members)| !members.contains(&own));
        group.map(|(leader, _)| *leader)
    }

    /// The voters that were named: by those in touch with a leader, or else by anybody.
    pub fn voters(&self) -> &[SocketAddr] {
        &self.voters
    }

    /// Which nodes were asked and what each said, for a log line.
    pub fn account(&self) -> String {
        let mut text = String::new();
        for (node, said) in &self.asked {
            let said = match said {
                Said::Nothing => "no answer yet".to_owned(),
                Said::Unreached(why) => format!("not reached ({why})"),
                Said::NoGroup => "knows no group".to_owned(),
                Said::Voters(count) => format!("knows {count} voters and no leader"),
                Said::Leader(leader) => format!("names {leader} as leader"),
            };
            let gap = if text.is_empty() { "" } else { "; " };
            // Writing to a string can't fail.
            let _ = write!(text, "{gap}{node}: {said}");
        }
        if text.is_empty() {
            text.push_str("nobody: the settings name no other node as a seed");
        }
        text
    }
}
