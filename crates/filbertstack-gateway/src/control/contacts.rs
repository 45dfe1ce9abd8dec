//! When each voter was last heard, as seen by another voter.
//!
//! *Failure*: a voter is lost, and a leader that was elected later has never heard it. If the leader counted its
//! silence from the election on, the lost voter would remain a member for as much longer. So each voter hears the
//! heartbeats of all others also while it follows. A leader counts messages of the log alone, as a process whose
//! disk hangs sends heartbeats and can't vote.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use filbertstack_log::NodeId;

/// The contacts of one voter with the others.
#[derive(Clone, Debug)]
pub struct Contacts {
    started: Instant,
    heard: BTreeMap<NodeId, Instant>,
}

impl Contacts {
    /// Creates the contacts of a voter whose process starts at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            started: now,
            heard: BTreeMap::new(),
        }
    }

    /// Records a sign of a node.
    pub fn record_sign(&mut self, node: NodeId, now: Instant) {
        self.heard.insert(node, now);
    }

    /// Returns how long a member has been silent. That of one that was never heard counts from the start of the
    /// process.
    pub fn silence(&self, node: NodeId, now: Instant) -> Duration {
        let heard = self.last_heard(node).unwrap_or(self.started);
        now.saturating_duration_since(heard)
    }

    /// Returns when a member was last heard, or `None` if it never was.
    pub fn last_heard(&self, node: NodeId) -> Option<Instant> {
        self.heard.get(&node).copied()
    }
}
