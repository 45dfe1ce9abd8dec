//! The state machine that applies the commands of the log.

use std::error::Error;

/// Applies commands deterministically: the same commands give the same state on every replica.
pub trait StateMachine: Send + 'static {
    /// The result of one command, returned to its proposer.
    type Outcome: Send + 'static;
    /// The error for a snapshot that cannot be restored.
    type RestoreError: Error + Send + Sync + 'static;

    /// Applies a committed command. The result must not depend on a clock or on randomness.
    fn apply(&mut self, index: u64, command: &[u8]) -> Self::Outcome;

    /// Returns the whole state as bytes.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the whole state with that of a snapshot.
    ///
    /// # Errors
    /// Fails if the bytes are not a snapshot that this version reads; the replica then stops.
    fn restore(&mut self, bytes: &[u8]) -> Result<(), Self::RestoreError>;
}
