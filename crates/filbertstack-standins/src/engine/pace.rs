//! The pace of steps: by the clock or by a gate that a test holds.

use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::PoisonError;

#[derive(Debug, Default)]
struct GateState {
    passes: u64,
    open: bool,
}

/// Lets through one step for each pass, so that a test decides what has been made when.
#[derive(Debug, Default)]
pub struct Gate {
    state: Mutex<GateState>,
    changed: Condvar,
}

impl Gate {
    /// Adds passes for `steps` steps.
    pub fn allow(&self, steps: u64) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.passes += steps;
        self.changed.notify_all();
    }

    /// Lets everything through from now on.
    pub fn open(&self) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.open = true;
        self.changed.notify_all();
    }

    /// The passes that nobody has taken.
    pub fn passes(&self) -> u64 {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.passes
    }

    /// Waits for a pass and takes it.
    pub fn pass(&self) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        while state.passes == 0 && !state.open {
            state = self
                .changed
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
        state.passes = state.passes.saturating_sub(1);
    }
}
