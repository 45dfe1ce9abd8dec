//! Upload slots limit concurrent uploads and choose which peer's request is served next.

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
    requests: Slab<UploadRequest>,
}

/// An upload slot; dropping it releases the slot for the next request.
#[derive(Debug)]
pub struct UploadSlot {
    slots: Arc<UploadSlots>,
}

impl UploadSlots {
    /// Creates a set of `slots` slots, the number of concurrent uploads.
    pub fn new(slots: usize) -> Arc<Self> {
        let state = State {
            free: slots,
            requests: Slab::new(),
        };
        Arc::new(Self {
            state: Mutex::new(state),
            wake: Condvar::new(),
        })
    }

    /// Waits for a slot for at most `wait`. Returns `None` if other requests took the slots meanwhile; the
    /// caller then answers that this instance is busy.
    pub fn acquire(self: &Arc<Self>, request: UploadRequest, wait: Duration) -> Option<UploadSlot> {
        let end = Instant::now() + wait;
        let mut state = self.lock();
        let key = state.requests.insert(request);
        loop {
            if state.free > 0 && state.first_request() == Some(key) {
                state.free -= 1;
                state.requests.remove(key);
                // If another slot is free, the next request can take it at once.
                self.wake.notify_all();
                return Some(UploadSlot {
                    slots: self.clone(),
                });
            }
            let remaining = end.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                state.requests.remove(key);
                self.wake.notify_all();
                return None;
            }
            let waited = self.wake.wait_timeout(state, remaining);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Returns the number of requests that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.lock().requests.len()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn first_request(&self) -> Option<usize> {
        let (keys, requests): (Vec<_>, Vec<_>) = self
            .requests
            .iter()
            .map(|(key, request)| (key, *request))
            .unzip();
        serve::next_upload(&requests).map(|at| keys[at])
    }
}

impl Drop for UploadSlot {
    fn drop(&mut self) {
        self.slots.lock().free += 1;
        self.slots.wake.notify_all();
    }
}
