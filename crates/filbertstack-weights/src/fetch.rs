//! Fetching one chunk from one source, verified before it is stored.

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

/// An error of a source, which says what kind of fault it is.
pub trait SourceError: Error + Send + Sync + 'static {
    /// The kind of fault.
    fn fault(&self) -> Fault;
}

/// Where chunks come from: a peer, the weight store or the origin.
///
/// A source need not verify what it gives; [`fetch_into`] does.
pub trait Source: Send + Sync {
    /// What goes wrong.
    type Error: SourceError;

    /// Fetches the bytes of one chunk; blocks until they are there or a limit of the source is
    /// reached. A source must bound its own wait.
    ///
    /// # Errors
    /// What the source's kind of link reports.
    fn fetch(&self, location: &ChunkLocation) -> Result<Bytes, Self::Error>;
}

/// A fetch that brought no chunk into the store.
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
    /// The source sent other bytes.
    #[error("the source sent other bytes for chunk {digest}: it is marked, another is asked")]
    Corrupt {
        /// The chunk.
        digest: Digest,
    },
    /// The store did not take the chunk.
    #[error(transparent)]
    Store(StoreError),
}

impl FetchError {
    /// The source's fault; `None` if the fault is this instance's own.
    pub fn fault(&self) -> Option<Fault> {
        match self {
            Self::Source { fault, .. } => Some(*fault),
            Self::Corrupt { .. } => Some(Fault::Corrupt),
            Self::Store(_) => None,
        }
    }
}

/// Fetches one chunk and stores it if it is what the manifest names.
///
/// # Errors
/// Why the chunk is not in the store.
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

/// Any source, for collections of several kinds.
pub trait AnySource: Send + Sync {
    /// Fetches one chunk and stores it if it is what the manifest names.
    ///
    /// # Errors
    /// Why the chunk is not in the store.
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
