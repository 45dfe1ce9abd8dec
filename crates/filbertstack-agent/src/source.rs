//! Fetches chunks and manifests from other agents over links.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use filbertstack_core::Digest;
use filbertstack_core::Millis;
use filbertstack_weights::Source;
use filbertstack_weights::fetch::Fault;
use filbertstack_weights::fetch::SourceError;
use filbertstack_weights::manifest::ChunkLocation;
use filbertstack_wire::Dialer;
use filbertstack_wire::Role;
use filbertstack_wire::WireError;
use filbertstack_wire::messages::Ask;
use filbertstack_wire::messages::Digested;
use filbertstack_wire::messages::Payload;
use filbertstack_wire::messages::Tell;
use thiserror::Error;

/// How long a peer may take to send the next piece.
///
/// A piece has 256 KiB. At 64 KiB/s, the lowest rate that helps a copy, it takes 4 s.
pub const PIECE_TIMEOUT: Duration = Duration::from_secs(4);

/// Another agent as a source of chunks.
#[derive(Clone, Debug)]
pub struct PeerSource {
    dialer: Arc<Dialer>,
    addr: SocketAddr,
}

/// An error of a fetch from a peer.
#[derive(Debug, Error)]
#[error("peer {addr}: {error}")]
pub struct PeerError {
    /// The peer.
    pub addr: SocketAddr,
    /// The error of the link.
    pub error: WireError,
}

impl SourceError for PeerError {
    fn fault(&self) -> Fault {
        match &self.error {
            WireError::Refused { after: 0, .. } => Fault::Missing,
            WireError::Refused { after, .. } => Fault::Busy {
                after: Millis(*after),
            },
            WireError::Timeout => Fault::Stalled,
            WireError::Overflow | WireError::Protocol(_) => Fault::Wrong,
            _ => Fault::Down,
        }
    }
}

impl PeerSource {
    /// Creates a source for the agent that accepts links at `addr`.
    pub const fn new(dialer: Arc<Dialer>, addr: SocketAddr) -> Self {
        Self { dialer, addr }
    }

    /// Returns the address of the peer.
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the encoded manifest of `version`.
    ///
    /// # Errors
    /// Returns [`PeerError`] if the peer does not have it or can't be reached.
    pub fn manifest(&self, version: Digest) -> Result<Bytes, PeerError> {
        self.receive(Ask::Manifest(Digested {
            digest: version.to_vec(),
        }))
    }

    fn receive(&self, ask: Ask) -> Result<Bytes, PeerError> {
        let addr = self.addr;
        self.receive_pieces(ask)
            .map_err(|error| PeerError { addr, error })
    }

    fn receive_pieces(&self, ask: Ask) -> Result<Bytes, WireError> {
        let link = self.dialer.link(self.addr, Role::Agent)?;
        let mut replies = link.call(ask)?;
        let mut bytes = BytesMut::new();
        while let Some(tell) = replies.next(Instant::now() + PIECE_TIMEOUT)? {
            match tell {
                Tell::Piece(Payload { body }) => bytes.extend_from_slice(&body),
                _ => return Err(WireError::Protocol("no piece of a chunk")),
            }
        }
        Ok(bytes.freeze())
    }
}

impl Source for PeerSource {
    type Error = PeerError;

    fn fetch(&self, want: &ChunkLocation) -> Result<Bytes, PeerError> {
        self.receive(Ask::Chunk(Digested {
            digest: want.chunk.digest.to_vec(),
        }))
    }
}
