//! The far end's calls in progress.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Instant;

/// How many calls of the far end may be in progress at once.
const MAX_CALLS: usize = 4096;

/// Why a call is not taken.
#[derive(Clone, Copy, Debug)]
pub enum NotTaken {
    /// Too many are in progress.
    Full,
    /// This process ends.
    Ending,
}

#[derive(Debug, Default)]
struct State {
    /// The calls, each with the flag that says whether it was withdrawn.
    calls: HashMap<u64, Arc<AtomicBool>>,
    /// The highest number of a call that was taken.
    last: u64,
    ending: bool,
}

/// The far end's calls in progress.
#[derive(Debug, Default)]
pub struct Incoming {
    state: Mutex<State>,
    ended: Condvar,
}

impl Incoming {
    /// Notes that the call `stream` begins; `cancelled` turns true when it is withdrawn.
    pub fn begin(&self, stream: u64, cancelled: Arc<AtomicBool>) -> Result<(), NotTaken> {
        let mut state = self.lock();
        if state.ending {
            return Err(NotTaken::Ending);
        }
        if state.calls.len() >= MAX_CALLS {
            return Err(NotTaken::Full);
        }
        state.calls.insert(stream, cancelled);
        state.last = state.last.max(stream);
        Ok(())
    }

    /// Notes that the call `stream` has its last reply.
    pub fn end(&self, stream: u64) {
        self.lock().calls.remove(&stream);
        self.ended.notify_all();
    }

    /// Withdraws the call `stream`.
    pub fn cancel(&self, stream: u64) {
        if let Some(flag) = self.lock().calls.get(&stream) {
            flag.store(true, Ordering::Relaxed);
        }
    }

    /// Withdraws every call.
    pub fn cancel_all(&self) {
        for (_, flag) in self.lock().calls.drain() {
            flag.store(true, Ordering::Relaxed);
        }
        self.ended.notify_all();
    }

    /// The highest number of a call that was taken; 0 if none was.
    pub fn last(&self) -> u64 {
        self.lock().last
    }

    /// Takes no call from here on.
    pub fn refuse_new(&self) {
        self.lock().ending = true;
    }

    /// Waits until none is in progress, until `until` at most.
    pub fn await_none(&self, until: Instant) {
        let mut state = self.lock();
        while !state.calls.is_empty() {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            let waited = self.ended.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
