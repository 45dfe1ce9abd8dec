//! Errors of links and of calls on them.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

use crate::frame::MAX_FRAME;
use crate::messages::Cause;

/// A failure of a link or of a call on it.
///
/// After [`WireError::Lost`], [`WireError::Timeout`] and [`WireError::Overflow`] it is unknown whether the
/// far end acted on the call. [`WireError::not_run`] tells for which errors it certainly did not.
#[derive(Debug, Error)]
pub enum WireError {
    /// No connection could be made.
    #[error("no link to {addr}: {source}; check that the process runs and the address is right")]
    Connect {
        /// The address of the far end.
        addr: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The far end failed the handshake.
    #[error("the far end is not who it should be ({0}); check that both ends have the same key")]
    Handshake(&'static str),
    /// The link ended before the far end accepted the call.
    #[error("the link ended before the call was taken; it did not run: make it again")]
    Unsent,
    /// The link was closed before the call's last reply.
    #[error("the link was lost before the last reply; the outcome is unknown")]
    Lost,
    /// No reply came in time.
    #[error("no reply within the deadline; the outcome is unknown")]
    Timeout,
    /// A call or reply is larger than a frame may be. It is not sent, and the link stays open.
    #[error("a frame of {size} bytes is over the limit of {MAX_FRAME}: send less at once")]
    TooLarge {
        /// Its size, in bytes.
        size: usize,
    },
    /// Replies came faster than the caller read them.
    #[error("replies came faster than they were read; read them faster or ask for less")]
    Overflow,
    /// The far end refused the call and did not act on it.
    #[error("refused: {text}")]
    Refused {
        /// The reason and remedy, from the far end.
        text: String,
        /// The time after which a retry makes sense, in milliseconds; zero if none does.
        after: u64,
        /// The kind of refusal.
        cause: Cause,
    },
    /// A frame broke the protocol or its authentication.
    #[error("a frame broke the protocol ({0}); both ends must run the same release")]
    Protocol(&'static str),
    /// The socket failed.
    #[error("the socket failed: {0}")]
    Io(#[from] io::Error),
}

impl WireError {
    /// Returns whether the far end certainly did not act on the call.
    pub const fn not_run(&self) -> bool {
        matches!(
            self,
            Self::Connect { .. }
                | Self::Handshake(_)
                | Self::Refused { .. }
                | Self::TooLarge { .. }
                | Self::Unsent
        )
    }
}
