//! The control state as the state machine of the replicated log.

use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::RwLockReadGuard;

use filbertstack_control::ControlState;
use filbertstack_control::RestoreError;
use filbertstack_control::outcome::Outcome;
use filbertstack_log::StateMachine;

use crate::view::Position;
use crate::view::Views;
use crate::view::update_since;

/// The control state, shared by many readers; only the log changes it.
#[derive(Clone, Debug, Default)]
pub struct SharedState {
    state: Arc<RwLock<ControlState>>,
}

impl SharedState {
    /// Locks the current state for reading.
    pub fn read(&self) -> RwLockReadGuard<'_, ControlState> {
        self.state.read().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Applies the log's commands and publishes what followers see to the [`Views`].
#[derive(Debug)]
pub struct ControlMachine {
    control: SharedState,
    views: Arc<Views>,
    /// The position and the term last published to the views.
    published: (Position, u64),
}

impl ControlMachine {
    /// Creates a machine whose state other threads read through `control`.
    pub fn new(control: SharedState, views: Arc<Views>) -> Self {
        Self {
            control,
            views,
            published: (Position::default(), 0),
        }
    }

    fn publish(&mut self) {
        let state = self.control.read();
        let position = Position {
            revision: state.declared().revision(),
            sequence: state.orders().sequence(),
        };
        let now = (position, state.orders().term());
        if now == self.published {
            return;
        }
        let update = update_since(&state, self.published.0);
        drop(state);
        // The log only moves forward, so an update from it always continues the last one.
        if self.views.apply(update).is_ok() {
            self.published = now;
        }
    }
}

impl StateMachine for ControlMachine {
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
        self.publish();
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
        self.publish();
        Ok(())
    }
}
