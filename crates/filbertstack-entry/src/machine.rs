//! The control state as the machine of the replicated log.

use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::RwLockReadGuard;

use filbertstack_control::ControlState;
use filbertstack_control::RestoreError;
use filbertstack_control::outcome::Outcome;
use filbertstack_log::Machine;

use crate::view::Position;
use crate::view::Views;
use crate::view::update_since;

/// The control state, read by many threads and changed by the log alone.
#[derive(Clone, Debug, Default)]
pub struct SharedState {
    state: Arc<RwLock<ControlState>>,
}

impl SharedState {
    /// The state as it is now.
    pub fn read(&self) -> RwLockReadGuard<'_, ControlState> {
        self.state.read().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Applies the log's commands and passes what followers see on to the [`Views`].
#[derive(Debug)]
pub struct ControlMachine {
    control: SharedState,
    views: Arc<Views>,
    shown: (Position, u64),
}

impl ControlMachine {
    /// A machine whose state others read through `control`.
    pub fn new(control: SharedState, views: Arc<Views>) -> Self {
        Self {
            control,
            views,
            shown: (Position::default(), 0),
        }
    }

    fn show(&mut self) {
        let state = self.control.read();
        let reached = Position {
            revision: state.declared().revision(),
            sequence: state.orders().sequence(),
        };
        let now = (reached, state.orders().term());
        if now == self.shown {
            return;
        }
        let update = update_since(&state, self.shown.0);
        drop(state);
        // The log only moves forward, so its own updates always fit.
        if self.views.take(update).is_ok() {
            self.shown = now;
        }
    }
}

impl Machine for ControlMachine {
    type Outcome = Outcome;
    type RestoreError = RestoreError;

    fn apply(&mut self, index: u64, command: &[u8]) -> Outcome {
        let mut state = self
            .control
            .state
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        let outcome = state.apply(index, command);
        drop(state);
        self.show();
        outcome
    }

    fn snapshot(&self) -> Vec<u8> {
        self.control.read().snapshot()
    }

    fn restore(&mut self, bytes: &[u8]) -> Result<(), RestoreError> {
        let mut state = self
            .control
            .state
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        state.restore(bytes)?;
        drop(state);
        self.show();
        Ok(())
    }
}
