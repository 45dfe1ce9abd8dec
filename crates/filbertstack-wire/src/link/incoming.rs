//! Tracks the calls of the far end that are in progress.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Instant;

/// The largest number of the far end's calls in progress at once.
const MAX_CALLS: usize = 4096;

/// Why a call of the far end is not accepted.
#[derive(Clone, Copy, Debug)]
pub enum Rejection {
    /// Too many calls are in progress.
    Full,
    /// This process is ending.
    Ending,
}

#[derive(Debug, Default)]
struct State {
    /// The calls in progress, each with the flag that shows whether it was cancelled.
    calls: HashMap<u64, Arc<AtomicBool>>,
    /// The highest stream number of an accepted call; 0 if none was accepted.
    last_accepted: u64,
    /// Whether new calls are refused because this process is ending.
    ending: bool,
}

/// The far end's calls in progress.
#[derive(Debug, Default)]
pub struct Incoming {
    state: Mutex<State>,
    /// Wakes the threads that wait for the end of calls.
    ended: Condvar,
}

impl Incoming {
    /// Adds the call `stream`; sets `cancelled` when the call is cancelled.
    pub fn begin(&self, stream: u64, cancelled: Arc<AtomicBool>) -> Result<(), Rejection> {
        let mut state = self.lock();
        if state.ending {
            return Err(Rejection::Ending);
        }
        if state.calls.len() >= MAX_CALLS {
            return Err(Rejection::Full);
        }
        state.calls.insert(stream, cancelled);
        state.last_accepted = state.last_accepted.max(stream);
        Ok(())
    }

    /// Removes the call `stream`, which has its last reply.
    pub fn end(&self, stream: u64) {
        self.lock().calls.remove(&stream);
        self.ended.notify_all();
    }

    /// Sets the flag of the call `stream`, which its caller cancelled.
    pub fn cancel(&self, stream: u64) {
        if let Some(flag) = self.lock().calls.get(&stream) {
            flag.store(true, Ordering::Relaxed);
        }
    }

    /// Cancels and removes every call.
    pub fn cancel_all(&self) {
        for (_, flag) in self.lock().calls.drain() {
            flag.store(true, Ordering::Relaxed);
        }
        self.ended.notify_all();
    }

    /// Returns the highest stream number of an accepted call; 0 if none was accepted.
    pub fn last_accepted(&self) -> u64 {
        self.lock().last_accepted
    }

    /// Refuses every new call from now on.
    pub fn refuse_new(&self) {
        self.lock().ending = true;
    }

    /// Waits until no call is in progress, but not past `deadline`.
    pub fn await_idle(&self, deadline: Instant) {
        let mut state = self.lock();
        while !state.calls.is_empty() {
            let left = deadline.saturating_duration_since(Instant::now());
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
