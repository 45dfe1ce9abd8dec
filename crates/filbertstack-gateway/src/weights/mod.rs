//! Pieces of weights on their way from the origin to the engines.
//!
//! Entries keep the pieces that they own in a [`cache`]; they and the agents get pieces by the same
//! [`fetch`].

pub mod cache;
pub mod fetch;
pub mod served;
pub mod stock;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use filbertstack_control::document::KeptList;
use filbertstack_control::document::Weights;
use filbertstack_platform::engine::Holding;
use filbertstack_platform::engine::PieceList;
use filbertstack_policy::pieces::Layout;
use filbertstack_policy::pieces::Peer;
use sha2::Digest as _;
use sha2::Sha256;

use crate::control::node::Node;
use crate::link::messages::AgentRow;
use crate::link::messages::EntryRow;
use crate::link::messages::Kind;
use crate::link::messages::Manifest;
use crate::link::messages::Reply;
use crate::link::messages::addr;

/// The version of weights that were there before any was named.
pub const FIRST_VERSION: u64 = 1;

/// How many of the latest versions are gathered at once: an origin keeps two.
pub const GATHERED: usize = 2;

/// The digest of a piece.
pub type PieceDigest = [u8; 32];

/// The digest of `bytes`.
pub fn digest(bytes: &[u8]) -> PieceDigest {
    Sha256::digest(bytes).into()
}

/// Whether `digest` is that of the piece `number` of a version.
pub fn is_piece(list: &PieceList, number: u32, digest: &PieceDigest) -> bool {
    list.digests.get(number as usize) == Some(digest)
}

/// Whether `bytes` are the piece `number` of a version.
pub fn fits(list: &PieceList, number: u32, bytes: &[u8]) -> bool {
    is_piece(list, number, &digest(bytes))
}

/// How many pieces a version has.
pub fn count(list: &PieceList) -> u32 {
    u32::try_from(list.digests.len()).unwrap_or(u32::MAX)
}

/// The agents that are there, with their ids.
pub fn agents(node: &Node) -> Vec<(Arc<str>, AgentRow)> {
    let rows = node.people.present().into_iter();
    let agents = rows.filter_map(|(id, kind, _)| match &*kind {
        Kind::Agent(row) => Some((id, row.clone())),
        _ => None,
    });
    agents.collect()
}

/// The entries that stay, with their ids.
pub fn entries(node: &Node) -> Vec<(Arc<str>, EntryRow)> {
    let rows = node.people.present().into_iter();
    let entries = rows.filter_map(|(id, kind, _)| match &*kind {
        Kind::Entry(row) if !row.leaving => Some((id, row.clone())),
        _ => None,
    });
    entries.collect()
}

/// Whether the entries hold all pieces of a version between them.
pub fn is_here(node: &Node, weights: &Holding) -> bool {
    let named = wire_name(weights);
    let entries = entries(node);
    let holds = |row: &EntryRow| row.holds.contains(&named);
    !entries.is_empty() && entries.iter().all(|(_, row)| holds(row))
}

/// Who asks whom for the pieces of `weights`, as the node `own` sees it.
fn layout(node: &Node, own: &str, weights: &Holding, pieces: u32) -> Layout {
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
    Layout::new(own, &node.settings.node.zone, &entries, &holders, pieces)
}

/// Where a node is asked for pieces.
fn place(node: &Node, id: &str) -> Option<SocketAddr> {
    let (kind, _, gone) = node.people.find(id)?;
    match &*kind {
        Kind::Agent(row) if !gone => addr(&row.link),
        Kind::Entry(row) if !gone => addr(&row.link),
        _ => None,
    }
}

/// What links call a version.
pub fn wire_name(weights: &Holding) -> Weights {
    Weights {
        model: weights.model.to_string(),
        version: weights.version,
    }
}

/// What is meant by a version's name on a link.
pub fn holding(weights: &Weights) -> Holding {
    Holding {
        model: weights.model.as_str().into(),
        version: weights.version,
    }
}

/// A list of pieces as the voters keep it.
fn packed(list: &PieceList) -> KeptList {
    KeptList {
        weights: wire_name(&list.weights),
        bytes: list.bytes,
        digests: list.digests.concat().into(),
    }
}

/// A list of pieces that the voters keep.
pub fn unpacked(list: &KeptList) -> PieceList {
    PieceList {
        weights: holding(&list.weights),
        bytes: list.bytes,
        digests: digests(&list.digests),
    }
}

fn digests(bytes: &[u8]) -> Vec<PieceDigest> {
    let digests = bytes.chunks_exact(size_of::<PieceDigest>());
    digests
        .filter_map(|digest| digest.try_into().ok())
        .collect()
}

/// The answer to who asks for a list of pieces.
pub fn manifest(list: Option<Rc<PieceList>>) -> Reply {
    let Some(list) = list else {
        return Reply::Failed("the list of pieces is not here; ask another node".into());
    };
    Reply::Manifest(Manifest {
        bytes: list.bytes,
        digests: list.digests.concat().into(),
    })
}

/// The answer of who does not have a piece.
pub fn not_here() -> Reply {
    Reply::Failed("the piece is not here; ask another node".into())
}
