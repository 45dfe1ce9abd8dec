//! The errors of requests and of the start.

use crate::node::Refusal;
use crate::storage::StorageError;

/// Reports that a proposal or change returned no outcome.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// The request was not accepted: it has not run and will not run.
    #[error("not run: {0}")]
    Refused(#[from] Refusal),
    /// Another leader's entry replaced it: the request has not run and will not run.
    #[error("not run: another leader replaced it; try again")]
    Replaced,
    /// The request may have run, or may still run.
    #[error("it is not known whether it ran ({0}); ask again under the same request id")]
    Unknown(UnknownReason),
}

impl ProposeError {
    /// Returns whether it is certain that the request has not run and will not run.
    pub fn is_certain(&self) -> bool {
        !matches!(self, Self::Unknown(_))
    }
}

/// The reason why the outcome of a request is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnknownReason {
    /// The replica lost the leadership while the request was in progress.
    #[error("the leader changed")]
    LeaderLost,
    /// The deadline passed.
    #[error("the deadline passed")]
    Timeout,
    /// The replica stopped.
    #[error("the replica stopped")]
    Stopped,
}

/// Reports why a replica does not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The data folder cannot be used.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// The state machine cannot restore the snapshot.
    #[error("the state machine cannot restore its snapshot ({why}); run the version that wrote it")]
    Restore {
        /// The error of the state machine.
        why: String,
    },
    /// A thread cannot be started.
    #[error("cannot start a thread: {0}; raise the limit on threads")]
    Thread(std::io::Error),
}
