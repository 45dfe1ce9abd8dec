//! Errors that a stand-in returns while it starts.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use thiserror::Error;

/// The reason why a stand-in cannot start.
#[derive(Debug, Error)]
pub enum StandinError {
    /// Binding the listening address failed.
    #[error("cannot listen on {addr}: {source}; give a free loopback address or port 0")]
    Bind {
        /// The requested address.
        addr: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// Reading a directory or file failed.
    #[error("cannot read {path}: {source}; check that it exists and is readable")]
    Read {
        /// The path that cannot be read.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The directory contains no weight files.
    #[error("{path} holds no files: give the directory of a published version")]
    Empty {
        /// The empty directory.
        path: PathBuf,
    },
}
