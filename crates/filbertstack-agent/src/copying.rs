//! Handles of copies in progress, and the fetcher that starts copies from the network.

use std::sync::Arc;

use filbertstack_core::Digest;
use filbertstack_weights::Manifest;
use filbertstack_wire::messages::Assignment;

use crate::mesh::Mesh;
use crate::reconciler::Fetcher;

/// A copy in progress. Dropping the handle ends the copy after the chunks that are being fetched.
#[derive(Debug)]
pub struct CopyHandle {
    mesh: Arc<Mesh>,
    root: Digest,
}

impl CopyHandle {
    /// Returns whether every chunk is in the store.
    pub fn is_done(&self) -> bool {
        let progress = self.mesh.progress(self.root);
        progress.is_some_and(|progress| progress.held == progress.total)
    }

    /// Returns how many chunks are in the store.
    pub fn stored_chunks(&self) -> u32 {
        let held = self.mesh.progress(self.root).map(|progress| progress.held);
        held.map_or(0, |held| u32::try_from(held).unwrap_or(u32::MAX))
    }

    /// Returns the last error of the copy; empty if there was none.
    pub fn last_error(&self) -> String {
        self.mesh.last_error(self.root)
    }
}

impl Drop for CopyHandle {
    fn drop(&mut self) {
        self.mesh.end_copy(self.root);
    }
}

/// Fetches chunks from peers and, where the leader grants it, from the store or the origin.
#[derive(Clone, Debug)]
pub struct NetworkFetcher {
    /// The copies of this agent.
    pub mesh: Arc<Mesh>,
}

impl Fetcher for NetworkFetcher {
    fn manifest(&self, assignment: &Assignment) -> Result<Option<Arc<Manifest>>, String> {
        let root = Digest::from_slice(&assignment.digest).ok_or("an order without a digest")?;
        Ok(self.mesh.manifest(root, assignment))
    }

    fn start_copy(&self, manifest: &Arc<Manifest>, assignment: &Assignment) -> CopyHandle {
        self.mesh.start_copy(manifest, assignment);
        let (mesh, root) = (self.mesh.clone(), manifest.root());
        CopyHandle { mesh, root }
    }
}
