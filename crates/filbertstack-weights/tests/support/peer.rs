//! A peer in memory, which simulates faults of a peer.

use std::sync::Arc;
use std::sync::Mutex;

use bytes::Bytes;
use thiserror::Error;

use filbertstack_weights::Source;
use filbertstack_weights::Store;
use filbertstack_weights::fetch::Fault;
use filbertstack_weights::fetch::SourceError;
use filbertstack_weights::manifest::ChunkLocation;

/// The behaviour of the peer on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Returns the chunk.
    Good,
    /// Returns the chunk with one bit flipped.
    Corrupt,
    /// Returns an error with this fault.
    Fails(Fault),
}

/// A peer that holds all chunks of a version.
pub struct MemoryPeer {
    chunks: Vec<Bytes>,
    pub behaviour: Mutex<Behaviour>,
    pub asked: Mutex<Vec<u32>>,
}

#[derive(Debug, Error)]
#[error("the peer failed: {0:?}")]
pub struct PeerError(pub Fault);

impl SourceError for PeerError {
    fn fault(&self) -> Fault {
        self.0
    }
}

impl MemoryPeer {
    pub fn new(chunks: &[Bytes]) -> Self {
        Self {
            chunks: chunks.to_vec(),
            behaviour: Mutex::new(Behaviour::Good),
            asked: Mutex::default(),
        }
    }

    pub fn with(chunks: &[Bytes], behaviour: Behaviour) -> Self {
        let peer = Self::new(chunks);
        *peer.behaviour.lock().unwrap() = behaviour;
        peer
    }

    pub fn count(&self) -> usize {
        self.asked.lock().unwrap().len()
    }
}

impl Source for MemoryPeer {
    type Error = PeerError;

    fn fetch(&self, location: &ChunkLocation) -> Result<Bytes, PeerError> {
        self.asked.lock().unwrap().push(location.index);
        let chunk = self.chunks[location.index as usize].clone();
        match *self.behaviour.lock().unwrap() {
            Behaviour::Good => Ok(chunk),
            Behaviour::Corrupt => Ok(flip(&chunk)),
            Behaviour::Fails(fault) => Err(PeerError(fault)),
        }
    }
}

/// Returns `bytes` with one bit of the first byte flipped.
pub fn flip(bytes: &[u8]) -> Bytes {
    let mut bytes = bytes.to_vec();
    bytes[0] ^= 1;
    bytes.into()
}

/// A peer that serves the chunks of a store.
pub struct StorePeer(pub Arc<Store>);

impl Source for StorePeer {
    type Error = PeerError;

    fn fetch(&self, location: &ChunkLocation) -> Result<Bytes, PeerError> {
        let held = self.0.get(location.chunk.digest);
        held.ok().flatten().ok_or(PeerError(Fault::Missing))
    }
}
