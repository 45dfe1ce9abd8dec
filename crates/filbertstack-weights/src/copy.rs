//! The copier: brings the chunks of declared versions into the store.
//!
//! [`Core`] decides (which chunk next, from whom, what a failure means) and reads no clock;
//! [`Copier`] runs its decisions on a few threads, since a [`crate::Source`] blocks. The agent
//! tells the copier what peers announce and what the leader grants, and reads [`CopyEvent`]s.
//!
//! What the agent does with its links:
//!
//! - [`Copier::add_version`] a manifest, then ask the upstreams for their chunks of it and pass each
//!   answer to [`Copier::announce`]; pass on its own landed chunks from [`CopyEvent::ChunkStored`].
//! - On [`CopyEvent::Complete`] verify the version; if chunks were damaged, [`Copier::mark_missing`].
//! - On [`CopyEvent::Escalate`] ask the leader; pass its grant to [`Copier::grant`].

mod catalogue;
mod core;
mod pool;
mod uploads;

use filbertstack_core::Digest;

use filbertstack_policy::spread::pull::Fault;
use filbertstack_policy::spread::pull::NeighbourKey;

pub use core::Core;
pub use core::Job;
pub use pool::Copier;
pub use pool::CopyConfig;
pub use uploads::UploadSlot;
pub use uploads::UploadSlots;

/// What the agent is to know or to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CopyEvent {
    /// A chunk has come: announce it downstream; if a grant brought it, report it to the leader.
    ChunkStored {
        /// The chunk.
        chunk: Digest,
        /// Whether it came by a grant.
        granted: bool,
    },
    /// All chunks of a version are in the store: verify it.
    Complete {
        /// The version.
        root: Digest,
    },
    /// No upstream has this chunk: ask the leader for it.
    Escalate {
        /// The chunk.
        chunk: Digest,
    },
    /// All sources of a grant failed: give it back to the leader.
    GrantFailed {
        /// The chunk.
        chunk: Digest,
        /// What the last source did.
        fault: Fault,
    },
    /// An upstream failed so often that another is wanted from the leader.
    UpstreamFailing {
        /// The upstream.
        peer: NeighbourKey,
    },
    /// The store took no chunk: no room or a failing disk. The copy goes on when it does.
    StoreFailed {
        /// The chunk.
        chunk: Digest,
    },
}

/// How far the copy of a version is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// The chunks in the store.
    pub held: usize,
    /// All chunks.
    pub total: usize,
}
