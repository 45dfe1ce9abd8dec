//! What the keeper shares with the agent's other threads: orders go in, what is held comes out.

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

/// What the keeper shows to the agent's other threads.
#[derive(Debug, Default)]
struct Board {
    orders: Orders,
    copies: Vec<Copy>,
    manifests: BTreeMap<Digest, Arc<Manifest>>,
}

/// The part that other threads share with the keeper.
#[derive(Debug)]
pub struct Desk {
    board: Mutex<Board>,
    woken: Condvar,
    stopped: AtomicBool,
}

impl Desk {
    /// An empty desk.
    pub fn new() -> Self {
        Self {
            board: Mutex::default(),
            woken: Condvar::new(),
            stopped: AtomicBool::new(false),
        }
    }

    /// Lays down new orders, which stand for all of what the target is to hold.
    pub fn order(&self, orders: Orders) {
        self.lock().orders = orders;
        self.woken.notify_all();
    }

    /// What the target holds.
    pub fn copies(&self) -> Vec<Copy> {
        self.lock().copies.clone()
    }

    /// The versions ordered.
    pub fn ordered(&self) -> Vec<Digest> {
        let board = self.lock();
        let serve = board.orders.serve.iter();
        serve
            .filter_map(|assignment| Digest::from_slice(&assignment.digest))
            .collect()
    }

    /// Where the leader is, as the last orders say; empty if they do not.
    pub fn leader(&self) -> String {
        self.lock().orders.leader.clone()
    }

    /// Whether a version is being copied or is about to be.
    pub fn is_copying(&self) -> bool {
        let board = self.lock();
        let mut copies = board.copies.iter();
        copies.any(|copy| copy.stage() <= Stage::Fetching)
    }

    /// The manifest of `version`, if it is known here.
    pub fn manifest(&self, version: Digest) -> Option<Arc<Manifest>> {
        self.lock().manifests.get(&version).cloned()
    }

    /// Notes a manifest, which peers may then ask for.
    pub(crate) fn learn(&self, manifest: &Arc<Manifest>) {
        let mut board = self.lock();
        board.manifests.insert(manifest.root(), manifest.clone());
    }

    /// Shows what the target holds, and forgets the manifests that are not `known` any more.
    pub(crate) fn show(&self, copies: Vec<Copy>, known: impl Fn(&Digest) -> bool) {
        let mut board = self.lock();
        board.copies = copies;
        board.manifests.retain(|version, _| known(version));
    }

    /// Ends the keeper.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.woken.notify_all();
    }

    /// Whether the keeper is to end.
    pub(crate) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Waits for new orders, at most for `tick`; the orders that stand.
    pub(crate) fn wait(&self, tick: Duration) -> Orders {
        let board = self.lock();
        let waited = self.woken.wait_timeout(board, tick);
        waited
            .unwrap_or_else(PoisonError::into_inner)
            .0
            .orders
            .clone()
    }

    fn lock(&self) -> MutexGuard<'_, Board> {
        self.board.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for Desk {
    fn default() -> Self {
        Self::new()
    }
}
