//! Fetches one chunk from one source and verifies it before it is stored.

mod http;

use std::error::Error;
use std::fmt;

use bytes::Bytes;
use thiserror::Error as ThisError;

use filbertstack_core::Digest;

use crate::manifest::ChunkLocation;
use crate::store::PutOutcome;
use crate::store::Store;
use crate::store::StoreError;

pub use filbertstack_policy::spread::pull::Fault;

pub use http::HttpConfig;
pub use http::HttpError;
pub use http::HttpSource;

/// An error of a source that can be classified as a kind of fault.
pub trait SourceError: Error + Send + Sync + 'static {
    /// Returns the kind of fault.
    fn fault(&self) -> Fault;
}

/// A source of chunks: a peer, the weight store or the origin.
///
/// A source need not verify the bytes that it returns; [`fetch_into`] does.
pub trait Source: Send + Sync {
    /// The error type of the source.
    type Error: SourceError;

    /// Fetches the bytes of one chunk. The call blocks until they arrive or a time limit of the source
    /// expires; every source must have such a limit.
    ///
    /// # Errors
    /// Returns the error of the connection to the source.
    fn fetch(&self, location: &ChunkLocation) -> Result<Bytes, Self::Error>;
}

/// The reason why a fetch stored no chunk.
#[derive(Debug, ThisError)]
pub enum FetchError {
    /// The source failed.
    #[error("{error}")]
    Source {
        /// The kind of fault.
        fault: Fault,
        /// The source's error.
        error: Box<dyn Error + Send + Sync>,
    },
    /// The bytes from the source do not match the chunk's digest.
    #[error("the bytes from the source do not match chunk {digest}: another source will be tried")]
    Corrupt {
        /// The chunk.
        digest: Digest,
    },
    /// The store rejected the chunk.
    #[error(transparent)]
    Store(StoreError),
}

impl FetchError {
    /// Returns the fault of the source; `None` if the failure lies with this instance.
    pub fn fault(&self) -> Option<Fault> {
        match self {
            Self::Source { fault, .. } => Some(*fault),
            Self::Corrupt { .. } => Some(Fault::Corrupt),
            Self::Store(_) => None,
        }
    }
}

/// Fetches one chunk and stores it if it matches the digest in the manifest.
///
/// # Errors
/// Returns the reason why the chunk is not in the store.
pub fn fetch_into<S: Source + ?Sized>(
    source: &S,
    location: &ChunkLocation,
    store: &Store,
) -> Result<PutOutcome, FetchError> {
    if store.has(location.chunk.digest) {
        return Ok(PutOutcome::Held);
    }
    let fetched = source.fetch(location);
    let bytes = fetched.map_err(|error| FetchError::Source {
        fault: error.fault(),
        error: Box::new(error),
    })?;
    match store.put(location.chunk.digest, bytes) {
        Err(StoreError::Corrupt { digest }) => Err(FetchError::Corrupt { digest }),
        put => put.map_err(FetchError::Store),
    }
}

/// A source of any error type, for collections that hold several kinds of sources.
pub trait AnySource: Send + Sync {
    /// Fetches one chunk and stores it if it matches the digest in the manifest.
    ///
    /// # Errors
    /// Returns the reason why the chunk is not in the store.
    fn fetch_into(&self, location: &ChunkLocation, store: &Store)
    -> Result<PutOutcome, FetchError>;
}

impl<S: Source> AnySource for S {
    fn fetch_into(
        &self,
        location: &ChunkLocation,
        store: &Store,
    ) -> Result<PutOutcome, FetchError> {
        fetch_into(self, location, store)
    }
}

impl fmt::Debug for dyn AnySource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("AnySource")
    }
}
