//! When each voter was last heard, and which voters leave, as seen by another voter.
//!
//! *Failure*: a voter is lost, and a leader that was elected later has never heard it. If the leader counted its
//! silence from the election on, the lost voter would remain a member for as much longer. So each voter hears the
//! heartbeats of all others also while it follows. A leader counts messages of the log alone, as a process whose
//! disk hangs sends heartbeats and can't vote.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use filbertstack_log::Member;
use filbertstack_log::NodeId;

/// What is known of a member of the group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Contact {
    /// How long it has been silent.
    pub silence: Duration,
    /// Whether it has announced that its process ends.
    pub leaving: bool,
}

/// The contacts of one voter with the others.
#[derive(Clone, Debug)]
pub struct Contacts {
    started: Instant,
    heard: BTreeMap<NodeId, Instant>,
    leaving: BTreeSet<SocketAddr>,
}

impl Contacts {
    /// Creates the contacts of a voter whose process starts at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            started: now,
            heard: BTreeMap::new(),
            leaving: BTreeSet::new(),
        }
    }

    /// Records a message of a member's log.
    pub fn record_message(&mut self, node: NodeId, now: Instant) {
        self.heard.insert(node, now);
    }

    /// Records that the node at `addr` asks to join the group, and so is present.
    pub fn record_join(&mut self, node: NodeId, addr: SocketAddr, now: Instant) {
        self.heard.insert(node, now);
        self.leaving.remove(&addr);
    }

    /// Records a heartbeat of the voter at `addr`, which counts as a sign of `node` unless this voter leads.
    pub fn record_heartbeat(
        &mut self,
        addr: SocketAddr,
        leaving: bool,
        node: Option<NodeId>,
        now: Instant,
    ) {
        if leaving {
            self.leaving.insert(addr);
        } else {
            self.leaving.remove(&addr);
        }
        if let Some(node) = node {
            self.heard.insert(node, now);
        }
    }

    /// Returns how long a node has been silent. The silence of one that was never heard counts from the start of
    /// the process.
    pub fn silence(&self, node: NodeId, now: Instant) -> Duration {
        let heard = self.last_heard(node).unwrap_or(self.started);
        now.saturating_duration_since(heard)
    }

    /// Returns what is known of a member.
    pub fn contact(&self, member: &Member, now: Instant) -> Contact {
        let addr: Option<SocketAddr> = member.address.parse().ok();
        Contact {
            silence: self.silence(member.id(), now),
            leaving: addr.is_some_and(|addr| self.leaving.contains(&addr)),
        }
    }

    /// Returns when a member was last heard, or `None` if it never was.
    pub fn last_heard(&self, node: NodeId) -> Option<Instant> {
        self.heard.get(&node).copied()
    }
}
