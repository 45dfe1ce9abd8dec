//! Why a link ended.

use std::io;
use std::io::ErrorKind;

use thiserror::Error;

use crate::error::WireError;
use crate::link::SILENCE;

/// Why a link ended, as its log line says it.
#[derive(Debug, Error)]
pub enum End {
    #[error("this process closed it")]
    Closed,
    #[error("the far end closed it")]
    Left,
    #[error("the far end was silent for {SILENCE:?}")]
    Silent,
    #[error("reading failed: {0}")]
    Read(io::Error),
    #[error("writing failed: {0}")]
    Write(WireError),
    #[error("the far end sent on for {SILENCE:?} after writing failed")]
    Unread,
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
