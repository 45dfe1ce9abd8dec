//! The copier fetches the chunks of declared versions into the store.
//!
//! [`CopyScheduler`] chooses the next chunk and its source, handles failures and reads no clock.
//! [`Copier`] makes the fetches on a few threads, because a [`crate::Source`] blocks. The agent
//! passes the announcements of peers and the grants of the leader to the copier and handles its
//! [`CopyEvent`]s.
//!
//! The agent uses the copier as follows:
//!
//! - It adds a manifest with [`Copier::add_version`], requests the list of held chunks from each upstream
//!   and passes each answer to [`Copier::announce`].
//! - On [`CopyEvent::ChunkStored`] it announces the chunk to its downstream peers.
//! - On [`CopyEvent::Complete`] it verifies the version and passes damaged chunks to
//!   [`Copier::mark_missing`].
//! - On [`CopyEvent::Escalate`] it asks the leader for a grant and passes that to [`Copier::grant`].

mod catalogue;
mod pool;
mod scheduler;
mod uploads;

use filbertstack_core::Digest;

use filbertstack_policy::spread::pull::Fault;
use filbertstack_policy::spread::pull::NeighbourKey;

pub use pool::Copier;
pub use pool::CopyConfig;
pub use scheduler::CopyScheduler;
pub use scheduler::Job;
pub use uploads::UploadSlot;
pub use uploads::UploadSlots;

/// An event of the copier that the agent handles.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CopyEvent {
    /// A chunk is in the store. The agent announces it downstream, and reports it to the leader if it had
    /// a grant.
    ChunkStored {
        /// The chunk.
        chunk: Digest,
        /// Whether the leader had granted the chunk to this agent.
        granted: bool,
    },
    /// All chunks of a version are in the store. The agent verifies the version.
    Complete {
        /// The root digest of the version.
        root: Digest,
    },
    /// No upstream has this chunk. The agent asks the leader for a grant.
    Escalate {
        /// The chunk.
        chunk: Digest,
    },
    /// All sources of a grant failed. The agent returns the grant to the leader.
    GrantFailed {
        /// The chunk.
        chunk: Digest,
        /// The fault of the last source.
        fault: Fault,
    },
    /// An upstream fails so often that the agent needs another one from the leader.
    UpstreamFailing {
        /// The upstream.
        peer: NeighbourKey,
    },
    /// The store rejected a chunk because it is full or its disk fails. The copier retries the chunk.
    StoreFailed {
        /// The chunk.
        chunk: Digest,
    },
}

/// The progress of copying a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// The number of chunks in the store.
    pub held: usize,
    /// The number of all chunks of the version.
    pub total: usize,
}
