//! Rows: what is known of one instance, and which of two rows is the newer.

use std::sync::Arc;

use filbertstack_core::names::InstanceName;
use filbertstack_core::names::RegionName;

/// What an instance is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RowKind {
    /// An entry: it takes part in the gossip.
    Entry,
    /// A target: its homes speak for it.
    Target,
}

/// How an instance describes itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// It takes work.
    Up,
    /// It finishes what it has and takes nothing new.
    Leaving,
    /// It is gone; this process never comes back.
    Left,
}

/// What others think of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Liveness {
    /// It answers.
    Alive,
    /// It was silent; it may still answer.
    Suspect,
    /// It did not answer in time.
    Dead,
}

/// What an instance says of itself besides its state: addresses and versions held, as bytes that
/// the gossip does not read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Facts(pub Arc<[u8]>);

/// What is known of one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The name, which stays over restarts.
    pub name: InstanceName,
    /// What it is.
    pub kind: RowKind,
    /// Its region.
    pub region: RegionName,
    /// The process: greater at each start.
    pub incarnation: u64,
    /// Raised by the instance itself at each change and to answer a doubt.
    pub version: u64,
    /// How it describes itself.
    pub state: State,
    /// What others think of this version.
    pub liveness: Liveness,
    /// What else it says of itself.
    pub facts: Facts,
}

/// The bytes of a row besides its texts: incarnation, version, kind, state, doubt and lengths.
const ROW_HEAD: usize = 20;

impl Row {
    /// Whether this row is newer than `other`, a row of the same instance.
    ///
    /// A doubt weighs only within one version: whatever the instance says next is newer.
    pub fn is_newer(&self, other: &Self) -> bool {
        self.rank() > other.rank()
    }

    fn rank(&self) -> (u64, u64, Liveness) {
        (self.incarnation, self.version, self.liveness)
    }

    /// Whether the instance takes new work, as far as is known.
    pub fn takes_work(&self) -> bool {
        self.state == State::Up && self.liveness != Liveness::Dead
    }

    /// Whether the instance is gone.
    pub fn is_gone(&self) -> bool {
        self.state == State::Left || self.liveness == Liveness::Dead
    }

    /// About how many bytes the row takes in a message.
    pub fn size(&self) -> usize {
        ROW_HEAD + self.name.as_str().len() + self.region.as_str().len() + self.facts.0.len()
    }
}

/// What a target tells its homes, again and again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Its own row, without doubt.
    pub row: Row,
}

/// Something that changed in an entry's table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A new or newer row.
    Updated(Row),
    /// A row that is no longer kept.
    Removed(InstanceName),
    /// Another process runs under this entry's name with a greater incarnation: this one must
    /// stop, or start anew with a greater one.
    NameTaken {
        /// The other process's incarnation.
        incarnation: u64,
    },
}
