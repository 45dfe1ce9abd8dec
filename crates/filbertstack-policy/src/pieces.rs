//! Whom one agent asks for each piece of a version, in which order.
//!
//! *Load pattern*: a version is named and every agent wants all its pieces at once, through an
//! origin whose link carries a copy in a second or two, and agents' links not much wider. Were
//! each to ask the origin, N copies would go through that link one after the other. So each piece
//! has one owner among all agents, who alone fetches it from the origin, and one in each zone, who
//! fetches it from the owner and passes it on there. Every agent is the owner of an even share of
//! the pieces, so that all links carry about one copy in and one out, and one copy crosses each
//! boundary between zones.
//!
//! The owners follow from the list of agents alone; nobody assigns them. An owner that is dead or
//! slow is passed over after a while: the next source is asked, and at last the origin.

use std::sync::Arc;

use crate::subset::hash;
use crate::subset::mix;

/// The most holders of a whole version that are asked for one piece: one to ask, one more in case
/// it has just ended.
const HOLDERS: usize = 2;

/// An agent as the choice sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its id.
    pub id: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Whether it holds the whole version.
    pub holds: bool,
}

/// Where a piece may come from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// Another agent.
    Peer(Arc<str>),
    /// The origin of weights.
    Origin,
}

/// The sources of one piece, best first; the origin is always the last.
pub fn sources(own: &str, zone: &str, peers: &[Peer], piece: u32) -> Vec<Source> {
    let mut sources: Vec<Source> = Vec::new();
    let mut add = |id: &Arc<str>| {
        let source = Source::Peer(id.clone());
        if &**id != own && !sources.contains(&source) {
            sources.push(source);
        }
    };
    let near: Vec<&Peer> = peers.iter().filter(|p| &*p.zone == zone).collect();
    let all: Vec<&Peer> = peers.iter().collect();
    for holder in holders(own, &near, piece) {
        add(&holder.id);
    }
    let own_here = |owner: Option<&&Peer>| owner.is_some_and(|o| &*o.id == own);
    let (here, there) = (owner(&near, piece), owner(&all, piece));
    if !own_here(here.as_ref()) {
        here.iter().for_each(|peer| add(&peer.id));
    }
    for holder in holders(own, &all, piece) {
        add(&holder.id);
    }
    if !own_here(there.as_ref()) {
        there.iter().for_each(|peer| add(&peer.id));
    }
    sources.push(Source::Origin);
    sources
}

/// Those that hold the whole version, in an order that spreads the askers over them.
fn holders<'a>(own: &str, peers: &[&'a Peer], piece: u32) -> Vec<&'a Peer> {
    let mut holders: Vec<&Peer> = peers.iter().copied().filter(|p| p.holds).collect();
    let turn = hash(own) ^ u64::from(piece);
    holders.sort_by_key(|p| mix(hash(&p.id) ^ mix(turn)));
    holders.truncate(HOLDERS);
    holders
}

/// The owner of a piece: agents in the order of their hashes take turns.
fn owner<'a>(peers: &[&'a Peer], piece: u32) -> Option<&'a Peer> {
    let mut ranked: Vec<&Peer> = peers.to_vec();
    ranked.sort_by_key(|p| hash(&p.id));
    let count = ranked.len().max(1);
    ranked.get(usize::try_from(piece).unwrap_or(0) % count).copied()
}

/// The order in which an agent asks for the pieces: those that it owns for all come first, as the
/// others wait for them, then those of its zone, then the rest from a place of its own, so that
/// agents do not all ask the same owner first.
pub fn order(own: &str, zone: &str, peers: &[Peer], pieces: u32) -> Vec<u32> {
    let near: Vec<&Peer> = peers.iter().filter(|p| &*p.zone == zone).collect();
    let all: Vec<&Peer> = peers.iter().collect();
    let is_own = |owner: Option<&Peer>| owner.is_some_and(|o| &*o.id == own);
    let start = hash(own) % u64::from(pieces.max(1));
    let rank = |piece: &u32| {
        let turn = (u64::from(*piece) + u64::from(pieces) - start) % u64::from(pieces.max(1));
        let class = match (is_own(owner(&all, *piece)), is_own(owner(&near, *piece))) {
            (true, _) => 0,
            (false, true) => 1,
            (false, false) => 2,
        };
        (class, turn)
    };
    let mut order: Vec<u32> = (0..pieces).collect();
    order.sort_by_key(rank);
    order
}
