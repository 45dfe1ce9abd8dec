//! Upload slots: who of those that ask for chunks is served next.

use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use slab::Slab;

use filbertstack_policy::spread::serve;
use filbertstack_policy::spread::serve::UploadRequest;

/// The upload slots of an agent.
#[derive(Debug)]
pub struct UploadSlots {
    state: Mutex<State>,
    wake: Condvar,
}

#[derive(Debug)]
struct State {
    free: usize,
    asks: Slab<UploadRequest>,
}

/// A slot; dropping it lets the next requester in.
#[derive(Debug)]
pub struct UploadSlot {
    uploads: Arc<UploadSlots>,
}

impl UploadSlots {
    /// So many uploads at a time.
    pub fn new(slots: usize) -> Arc<Self> {
        let state = State {
            free: slots,
            asks: Slab::new(),
        };
        Arc::new(Self {
            state: Mutex::new(state),
            wake: Condvar::new(),
        })
    }

    /// Waits for a slot for at most `wait`; `None` if others went first, and the requester is to
    /// be told that this instance is busy.
    pub fn acquire(self: &Arc<Self>, ask: UploadRequest, wait: Duration) -> Option<UploadSlot> {
        let end = Instant::now() + wait;
        let mut state = self.lock();
        let key = state.asks.insert(ask);
        loop {
            if state.free > 0 && state.first() == Some(key) {
                state.free -= 1;
                state.asks.remove(key);
                // With a second free slot the next one need not wait for a drop.
                self.wake.notify_all();
                return Some(UploadSlot {
                    uploads: self.clone(),
                });
            }
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                state.asks.remove(key);
                self.wake.notify_all();
                return None;
            }
            let waited = self.wake.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// How many wait for a slot.
    pub fn waiting(&self) -> usize {
        self.lock().asks.len()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn first(&self) -> Option<usize> {
        let (keys, asks): (Vec<_>, Vec<_>) = self.asks.iter().map(|(key, ask)| (key, *ask)).unzip();
        serve::next_upload(&asks).map(|at| keys[at])
    }
}

impl Drop for UploadSlot {
    fn drop(&mut self) {
        self.uploads.lock().free += 1;
        self.uploads.wake.notify_all();
    }
}
