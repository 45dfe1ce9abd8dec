//! The gate with which a test sets the pace of an engine's steps.

use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::PoisonError;

#[derive(Debug, Default)]
struct GateState {
    passes: u64,
    open: bool,
}

/// A gate that lets through one step for each pass, so that a test decides when each token is generated.
#[derive(Debug, Default)]
pub struct StepGate {
    state: Mutex<GateState>,
    changed: Condvar,
}

impl StepGate {
    /// Adds passes for `steps` steps.
    pub fn add_passes(&self, steps: u64) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.passes += steps;
        self.changed.notify_all();
    }

    /// Opens the gate: from now on, steps need no pass.
    pub fn open(&self) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.open = true;
        self.changed.notify_all();
    }

    /// Returns the number of passes that are left.
    pub fn passes(&self) -> u64 {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.passes
    }

    /// Waits for a pass and takes it.
    pub fn take_pass(&self) {
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
