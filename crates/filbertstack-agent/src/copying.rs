//! A copy in progress, as the keeper sees it.

use std::sync::Arc;

use filbertstack_core::Digest;
use filbertstack_weights::Manifest;
use filbertstack_wire::messages::Assignment;

use crate::keeper::Fetcher;
use crate::mesh::Mesh;

/// A copy in progress; dropped, it ends after the chunks now being fetched.
#[derive(Debug)]
pub struct Copying {
    mesh: Arc<Mesh>,
    root: Digest,
}

impl Copying {
    /// Whether every chunk is in the store.
    pub fn is_done(&self) -> bool {
        let progress = self.mesh.progress(self.root);
        progress.is_some_and(|progress| progress.held == progress.total)
    }

    /// How many chunks are in the store.
    pub fn held(&self) -> u32 {
        let held = self.mesh.progress(self.root).map(|progress| progress.held);
        held.map_or(0, |held| u32::try_from(held).unwrap_or(u32::MAX))
    }

    /// What last went wrong; empty if nothing did.
    pub fn trouble(&self) -> String {
        self.mesh.trouble(self.root)
    }
}

impl Drop for Copying {
    fn drop(&mut self) {
        self.mesh.end(self.root);
    }
}

/// Fetches from peers, and from outside what the leader grants.
#[derive(Clone, Debug)]
pub struct Network {
    /// The copies of this agent.
    pub mesh: Arc<Mesh>,
}

impl Fetcher for Network {
    fn manifest(&self, assignment: &Assignment) -> Result<Option<Arc<Manifest>>, String> {
        let root = Digest::from_slice(&assignment.digest).ok_or("an order without a digest")?;
        Ok(self.mesh.manifest(root, assignment))
    }

    fn copy(&self, manifest: &Arc<Manifest>, assignment: &Assignment) -> Copying {
        self.mesh.begin(manifest, assignment);
        let (mesh, root) = (self.mesh.clone(), manifest.root());
        Copying { mesh, root }
    }
}
