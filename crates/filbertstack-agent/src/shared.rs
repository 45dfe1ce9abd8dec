//! State that the reconciler shares with the agent's other threads: the orders and the held versions.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use filbertstack_core::Digest;
use filbertstack_weights::Manifest;
use filbertstack_wire::messages::Copy;
use filbertstack_wire::messages::Orders;
use filbertstack_wire::messages::Stage;

/// The values behind the lock.
#[derive(Debug, Default)]
struct State {
    orders: Orders,
    copies: Vec<Copy>,
    manifests: BTreeMap<Digest, Arc<Manifest>>,
}

/// The orders for the target and the versions that it holds, shared between the agent's threads.
#[derive(Debug)]
pub struct SharedState {
    state: Mutex<State>,
    changed: Condvar,
    stopped: AtomicBool,
}

impl SharedState {
    /// Creates a state without orders and versions.
    pub fn new() -> Self {
        Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            stopped: AtomicBool::new(false),
        }
    }

    /// Replaces the orders; they list every version that the target is to hold.
    pub fn set_orders(&self, orders: Orders) {
        self.lock().orders = orders;
        self.changed.notify_all();
    }

    /// Returns the versions that the target holds, with their stages.
    pub fn copies(&self) -> Vec<Copy> {
        self.lock().copies.clone()
    }

    /// Returns the versions that the orders assign.
    pub fn assigned_versions(&self) -> Vec<Digest> {
        let state = self.lock();
        let serve = state.orders.serve.iter();
        serve
            .filter_map(|assignment| Digest::from_slice(&assignment.digest))
            .collect()
    }

    /// Returns the leader's address from the last orders; empty if they name none.
    pub fn leader_addr(&self) -> String {
        self.lock().orders.leader.clone()
    }

    /// Returns whether a version is being copied or its copy is about to start.
    pub fn is_copying(&self) -> bool {
        let state = self.lock();
        let mut copies = state.copies.iter();
        copies.any(|copy| copy.stage() <= Stage::Fetching)
    }

    /// Returns the manifest of `version`, if the agent has it.
    pub fn manifest(&self, version: Digest) -> Option<Arc<Manifest>> {
        self.lock().manifests.get(&version).cloned()
    }

    /// Adds a manifest, which peers may then request.
    pub(crate) fn add_manifest(&self, manifest: &Arc<Manifest>) {
        let mut state = self.lock();
        state.manifests.insert(manifest.root(), manifest.clone());
    }

    /// Replaces the held versions and drops the manifests for which `known` returns false.
    pub(crate) fn set_copies(&self, copies: Vec<Copy>, known: impl Fn(&Digest) -> bool) {
        let mut state = self.lock();
        state.copies = copies;
        state.manifests.retain(|version, _| known(version));
    }

    /// Stops the reconciler.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.changed.notify_all();
    }

    /// Returns whether the reconciler is to stop.
    pub(crate) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Waits for new orders for at most `timeout` and returns the current orders.
    pub(crate) fn wait_orders(&self, timeout: Duration) -> Orders {
        let state = self.lock();
        let waited = self.changed.wait_timeout(state, timeout);
        waited
            .unwrap_or_else(PoisonError::into_inner)
            .0
            .orders
            .clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for SharedState {
    fn default() -> Self {
        Self::new()
    }
}
