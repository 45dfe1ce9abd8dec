//! This module defines the rows of the membership table and which of two rows is newer.

use std::sync::Arc;

use filbertstack_core::names::InstanceName;
use filbertstack_core::names::RegionName;

/// The kind of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RowKind {
    /// An entry, which takes part in the gossip.
    Entry,
    /// A target; its home entries announce it to the others.
    Target,
}

/// The state that an instance declares for itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// The instance accepts work.
    Up,
    /// The instance finishes its requests and accepts no new ones.
    Leaving,
    /// The instance is gone; this process never returns.
    Left,
}

/// What the other entries believe about an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Liveness {
    /// The instance answers.
    Alive,
    /// The instance was silent for too long; it may still refute the suspicion.
    Suspect,
    /// The instance did not answer in time.
    Dead,
}

/// What an instance says about itself besides its state, such as addresses and versions held. The
/// gossip does not read these bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Facts(pub Arc<[u8]>);

/// What is known about one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The instance's name, which is the same after a restart.
    pub name: InstanceName,
    /// The kind of the instance.
    pub kind: RowKind,
    /// The instance's region.
    pub region: RegionName,
    /// The incarnation of the process; it grows with each start.
    pub incarnation: u64,
    /// The version of the row; the instance itself raises it with each change and to refute a
    /// suspicion.
    pub version: u64,
    /// The state that the instance declares.
    pub state: State,
    /// What the other entries believe about this version.
    pub liveness: Liveness,
    /// What else the instance says about itself.
    pub facts: Facts,
}

/// The size of a row without its texts: incarnation, version, kind, state, liveness and lengths.
const ROW_OVERHEAD_BYTES: usize = 20;

impl Row {
    /// Returns whether this row is newer than `other`, a row of the same instance.
    ///
    /// Liveness counts only within one version: whatever the instance says next is newer.
    pub fn is_newer(&self, other: &Self) -> bool {
        self.rank() > other.rank()
    }

    fn rank(&self) -> (u64, u64, Liveness) {
        (self.incarnation, self.version, self.liveness)
    }

    /// Returns whether the instance accepts new work, as far as is known.
    pub fn takes_work(&self) -> bool {
        self.state == State::Up && self.liveness != Liveness::Dead
    }

    /// Returns whether the instance is gone.
    pub fn is_gone(&self) -> bool {
        self.state == State::Left || self.liveness == Liveness::Dead
    }

    /// Returns the approximate size of the row in a message in bytes.
    pub fn size(&self) -> usize {
        ROW_OVERHEAD_BYTES
            + self.name.as_str().len()
            + self.region.as_str().len()
            + self.facts.0.len()
    }
}

/// The message that a target sends to its home entries at regular intervals.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// The target's own row; its liveness is [`Liveness::Alive`].
    pub row: Row,
}

/// A change in an entry's table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A row was added or replaced by a newer one.
    Updated(Row),
    /// A row was removed.
    Removed(InstanceName),
    /// Another process runs under this entry's name with a higher incarnation. This process must
    /// stop or restart with a higher incarnation.
    NameTaken {
        /// The other process's incarnation.
        incarnation: u64,
    },
}
