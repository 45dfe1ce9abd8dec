//! What can go wrong while a stand-in starts or runs.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use thiserror::Error;

/// A stand-in that cannot go on.
#[derive(Debug, Error)]
pub enum StandinError {
    /// The address cannot be listened on.
    #[error("cannot listen on {addr}: {source}; give a free loopback address or port 0")]
    Bind {
        /// The address asked for.
        addr: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// A directory or file cannot be read.
    #[error("cannot read {path}: {source}; check that it exists and is readable")]
    Read {
        /// The path.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A directory holds no weights.
    #[error("{path} holds no files: give the directory of a published version")]
    Empty {
        /// The path.
        path: PathBuf,
    },
}
