//! Why a link ended.

use std::io;
use std::io::ErrorKind;

use thiserror::Error;

use crate::error::WireError;
use crate::link::SILENCE;

/// Why a link ended or stopped sending. The text is the `cause` of the log record.
#[derive(Debug, Error)]
pub enum End {
    #[error("this process closed it")]
    ClosedHere,
    #[error("the far end closed it")]
    ClosedRemotely,
    #[error("the far end was silent for {SILENCE:?}")]
    Silent,
    #[error("reading failed: {0}")]
    Read(io::Error),
    #[error("writing failed: {0}")]
    Write(WireError),
    #[error("the far end kept sending for {SILENCE:?} after writing failed")]
    KeptSending,
    #[error("{0}")]
    Frame(WireError),
}

impl From<io::Error> for End {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            ErrorKind::WouldBlock | ErrorKind::TimedOut => Self::Silent,
            _ => Self::Read(error),
        }
    }
}
