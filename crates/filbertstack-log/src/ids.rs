//! Identities of clusters and of the replicas in them.

use std::fmt;

/// The identity of one replica's memory: drawn at random when its data folder is first used.
///
/// A replica whose disk was lost comes back under another `NodeId`, so that no vote is ever asked
/// of a memory that has forgotten what it promised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub u64);

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The identity of a cluster: drawn at random when it is created; 0 is no cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClusterId(pub u64);

impl fmt::Display for ClusterId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A place in the log: two entries at one place are the same entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// The term of the leader that appended the entry.
    pub term: u64,
    /// The entry's index; the first is 1, and 0 stands before it.
    pub index: u64,
}
