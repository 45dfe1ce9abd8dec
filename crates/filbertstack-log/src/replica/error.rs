//! What became of a request, as far as it is known.

use crate::node::Refusal;
use crate::storage::StorageError;

/// Why a proposal or change brought no outcome.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// It was not accepted: it has not run and will not run.
    #[error("not run: {0}")]
    Refused(#[from] Refusal),
    /// Another leader's entry took its place: it has not run and will not run.
    #[error("not run: another leader replaced it; try again")]
    Replaced,
    /// It may have run, or may still run.
    #[error("it is not known whether it ran ({0}); ask again under the same request id")]
    Unknown(Doubt),
}

impl ProposeError {
    /// Whether it is certain that the request has not run and will not run.
    pub fn is_certain(&self) -> bool {
        !matches!(self, Self::Unknown(_))
    }
}

/// Why it is not known what became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Doubt {
    /// The replica stopped leading while the request was under way.
    #[error("the leader changed")]
    LeaderLost,
    /// The deadline passed.
    #[error("the deadline passed")]
    Timeout,
    /// The replica stopped.
    #[error("the replica stopped")]
    Stopped,
}

/// Why a replica does not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The data folder cannot be used.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// The machine does not read its snapshot.
    #[error("the machine does not read its snapshot ({why}); run the version that wrote it")]
    Restore {
        /// Why.
        why: String,
    },
    /// A thread cannot be started.
    #[error("cannot start a thread: {0}; raise the limit on threads")]
    Thread(std::io::Error),
}
