//! Identities of clusters and of the replicas in them.

use std::fmt;

/// Identifies the durable state of one replica. It is drawn at random when the data folder is first
/// used.
///
/// A replica whose disk was lost comes back under another `NodeId`, so that no vote is requested
/// from a replica that has forgotten its earlier votes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub u64);

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifies a cluster. It is drawn at random when the cluster is created; 0 stands for no
/// cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClusterId(pub u64);

impl fmt::Display for ClusterId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Names a position in the log: two entries at the same position are the same entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// The term of the leader that appended the entry.
    pub term: u64,
    /// The index of the entry; the first entry has index 1, and 0 is the position before it.
    pub index: u64,
}
