//! Distributes pieces of weights from the origin to the engines.
//!
//! Entries keep the pieces that they own in a [`cache`]. Entries and agents get pieces through the same
//! [`fetch`].

pub mod cache;
pub mod fetch;
pub mod piece_set;
pub mod served;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use filbertstack_control::document::KeptList;
use filbertstack_control::document::Weights;
use filbertstack_platform::engine::PieceList;
use filbertstack_platform::engine::WeightsVersion;
use filbertstack_policy::pieces::OwnerMap;
use filbertstack_policy::pieces::Peer;
use sha2::Digest as _;
use sha2::Sha256;

use crate::control::node::Node;
use crate::link::messages::AgentRow;
use crate::link::messages::EntryRow;
use crate::link::messages::Kind;
use crate::link::messages::Manifest;
use crate::link::messages::Reply;
use crate::link::messages::decode_addr;

/// Engines have this version of the weights before any version is named.
pub const FIRST_VERSION: u64 = 1;

/// Nodes fetch at most this many of the latest versions: an origin keeps two.
pub const LATEST_VERSIONS: usize = 2;

/// `PieceDigest` is the SHA-256 digest of a piece.
pub type PieceDigest = [u8; 32];

/// Returns the digest of `bytes`.
pub fn digest(bytes: &[u8]) -> PieceDigest {
    Sha256::digest(bytes).into()
}

/// Returns whether `digest` is that of the piece `number` of a version.
pub fn matches_digest(list: &PieceList, number: u32, digest: &PieceDigest) -> bool {
    list.digests.get(number as usize) == Some(digest)
}

/// Returns whether `bytes` are the piece `number` of a version.
pub fn matches_bytes(list: &PieceList, number: u32, bytes: &[u8]) -> bool {
    matches_digest(list, number, &digest(bytes))
}

/// Returns how many pieces a version has.
pub fn piece_count(list: &PieceList) -> u32 {
    u32::try_from(list.digests.len()).unwrap_or(u32::MAX)
}

/// Returns the agents that are present, with their ids.
pub fn agents(node: &Node) -> Vec<(Arc<str>, AgentRow)> {
    let rows = node.registry.present().into_iter();
    let agents = rows.filter_map(|(id, kind, _)| match &*kind {
        Kind::Agent(row) => Some((id, row.clone())),
        _ => None,
    });
    agents.collect()
}

/// Returns the entries that are present and not leaving, with their ids.
pub fn entries(node: &Node) -> Vec<(Arc<str>, EntryRow)> {
    let rows = node.registry.present().into_iter();
    let entries = rows.filter_map(|(id, kind, _)| match &*kind {
        Kind::Entry(row) if !row.leaving => Some((id, row.clone())),
        _ => None,
    });
    entries.collect()
}

/// Returns whether the entries together hold all pieces of a version.
pub fn is_at_entries(node: &Node, weights: &WeightsVersion) -> bool {
    let wire = to_wire(weights);
    let entries = entries(node);
    let holds = |row: &EntryRow| row.holds.contains(&wire);
    !entries.is_empty() && entries.iter().all(|(_, row)| holds(row))
}

/// Returns the layout that says which nodes the node `own` asks for the pieces of `weights`.
fn layout(node: &Node, own: &str, weights: &WeightsVersion, pieces: u32) -> OwnerMap {
    let peer = |id: Arc<str>, zone: &str| Peer {
        id,
        zone: zone.into(),
    };
    let entries = entries(node).into_iter();
    let entries: Vec<Peer> = entries.map(|(id, row)| peer(id, &row.zone)).collect();
    let holders = agents(node).into_iter();
    let holders = holders
        .filter(|(_, row)| row.holds == weights.version && *row.model == *weights.model)
        .map(|(id, row)| peer(id, &row.zone));
    let holders: Vec<Peer> = holders.collect();
    OwnerMap::new(own, &node.settings.node.zone, &entries, &holders, pieces)
}

/// Returns the link address at which a node is asked for pieces.
fn link_addr(node: &Node, id: &str) -> Option<SocketAddr> {
    let (kind, _, gone) = node.registry.find(id)?;
    match &*kind {
        Kind::Agent(row) if !gone => decode_addr(&row.link),
        Kind::Entry(row) if !gone => decode_addr(&row.link),
        _ => None,
    }
}

/// Converts a version to its form on links.
pub fn to_wire(weights: &WeightsVersion) -> Weights {
    Weights {
        model: weights.model.to_string(),
        version: weights.version,
    }
}

/// Converts a version from its form on links.
pub fn from_wire(weights: &Weights) -> WeightsVersion {
    WeightsVersion {
        model: weights.model.as_str().into(),
        version: weights.version,
    }
}

/// Converts a list of pieces to the form in which the voters keep it.
fn encode_list(list: &PieceList) -> KeptList {
    KeptList {
        weights: to_wire(&list.weights),
        bytes: list.bytes,
        digests: list.digests.concat().into(),
    }
}

/// Converts a list of pieces from the form in which the voters keep it.
pub fn decode_list(list: &KeptList) -> PieceList {
    PieceList {
        weights: from_wire(&list.weights),
        bytes: list.bytes,
        digests: split_digests(&list.digests),
    }
}

fn split_digests(bytes: &[u8]) -> Vec<PieceDigest> {
    let digests = bytes.chunks_exact(size_of::<PieceDigest>());
    digests
        .filter_map(|digest| digest.try_into().ok())
        .collect()
}

/// Returns the reply to a request for a list of pieces.
pub fn manifest_reply(list: Option<Rc<PieceList>>) -> Reply {
    let Some(list) = list else {
        return Reply::Failed("the list of pieces is not here; ask another node".into());
    };
    Reply::Manifest(Manifest {
        bytes: list.bytes,
        digests: list.digests.concat().into(),
    })
}

/// Returns the reply of a node that does not have a piece.
pub fn missing_piece() -> Reply {
    Reply::Failed("the piece is not here; ask another node".into())
}
