//! The state that the log's commands build.

use std::error::Error;

/// A deterministic state machine: the same commands give the same state on every replica.
pub trait Machine: Send + 'static {
    /// What one command led to, for whoever proposed it.
    type Outcome: Send + 'static;
    /// Why a snapshot cannot be read.
    type RestoreError: Error + Send + Sync + 'static;

    /// Applies a committed command. Neither a clock nor chance may enter here.
    fn apply(&mut self, index: u64, command: &[u8]) -> Self::Outcome;

    /// The whole state as bytes.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the whole state by that of a snapshot.
    ///
    /// # Errors
    /// When the bytes are not a snapshot that this version reads; the replica then stops.
    fn restore(&mut self, bytes: &[u8]) -> Result<(), Self::RestoreError>;
}
