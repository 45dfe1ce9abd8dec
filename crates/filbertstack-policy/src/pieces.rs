//! Whom a node asks for each piece of a version, in which order.
//!
//! *Load pattern*: a version is named and every agent wants all its pieces at once, through an
//! origin whose link carries a copy in a second or two. The agents' links are narrower still, and
//! events of live streams share them: were each agent to ask the origin, N copies would go through
//! that one link; were agents to pass pieces on to each other, each would carry one copy in and one
//! out beside its callers' events. So the entries, whose links are wide, keep the pieces: each piece
//! has one owner among all entries, who alone fetches it from the origin, and one in each zone, who
//! fetches it from the owner and gives it to the agents there. An agent's link carries one copy in,
//! one copy crosses each boundary between zones, and an entry keeps its share of a version only.
//! Over twelve days of mixed trouble the worth of what callers got rose from 6.06 to 7.76 by it.
//!
//! The owners follow from the list of entries alone; nobody assigns them. Each piece ranks the
//! entries in an order of its own and goes to the first that has room for its share, so that an
//! entry that ends or comes moves few pieces of the others: a cache that is asked for other pieces
//! than before is an empty one.
//!
//! The origin may fail soon after a version is named, so a piece whose owner is frozen or has just
//! ended must not wait for it: a second entry fetches it from the origin when a copy has had time
//! to pass.

use std::collections::BTreeMap;
use std::sync::Arc;

use filbertstack_core::Millis;

use crate::subset::hash;
use crate::subset::mix;

/// The most agents whose engines hold a version that are asked for one piece: one to ask, one more
/// in case it has just ended.
const HOLDERS: usize = 2;

/// A node as the choice sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its id.
    pub id: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
}

/// How long after it began an entry may ask the origin for a piece that another owns first. A
/// copy passes the origin's link in 1.3 s today; the pieces still missing by then have an owner
/// that does not get on.
const SECOND_AFTER: Millis = Millis(1_000);

/// How long after it began any node may ask the origin: by then neither owner has brought the
/// piece, and other nodes have not passed it on.
const ANY_AFTER: Millis = Millis(3_500);

/// How long an owner tries agents whose engines hold the version before it asks the origin, whose
/// every byte is paid for: two questions that time out.
const HELD_AFTER: Millis = Millis(1_500);

/// How long after it began a node asks other zones for a piece that an entry in its own zone owns.
/// Sooner, all of a zone would fetch from outside what one of them is about to pass on, and the
/// links between zones would carry a copy for each.
const FAR_AFTER: Millis = Millis(2_000);

/// How many pieces more than an even share an entry owns at most. With none, an entry that ends
/// moves many pieces of the others too; without a bound the busiest entry owns twice its share, and
/// the links of small entries carry a share to dozens of agents.
const SPARE_SHARE: usize = 1;

/// How many entries of other zones are asked whether they have a piece, before its owner asks the
/// origin: an owner that has started again has lost it, and others have it still.
const KEEPERS: usize = 2;

/// Where a node gets one piece.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Those to ask at once, best first.
    pub first: Vec<Arc<str>>,
    /// Those elsewhere, best first.
    pub fallback: Vec<Arc<str>>,
    /// How long after the fetch began those elsewhere are asked, unless nobody near answers.
    pub fallback_after: Millis,
    /// How long after the fetch began the origin may be asked.
    pub origin_after: Millis,
    /// Those that may have the piece; only if none has, the origin is asked.
    pub likely_holders: Vec<Arc<str>>,
}

/// Who owns which of a version's pieces, worked out once for all of them.
#[derive(Clone, Debug)]
pub struct OwnerMap {
    own: Ranked,
    /// The owner of each piece among all entries, and who stands in for it.
    all: Vec<[Arc<str>; 2]>,
    /// By zone, the owner of each piece there.
    zones: BTreeMap<Arc<str>, Vec<[Arc<str>; 2]>>,
    zone: Arc<str>,
    /// Agents whose engines hold the version: those of the zone, or else all.
    holders: Vec<Ranked>,
}

#[derive(Clone, Debug)]
struct Ranked {
    id: Arc<str>,
    rank: u64,
}

impl Ranked {
    fn new(id: &Arc<str>) -> Self {
        Self {
            id: id.clone(),
            rank: hash(id),
        }
    }
}

impl OwnerMap {
    /// The layout of `pieces` pieces as the node `own` in `zone` sees it. `entries` may list it;
    /// `holders` are the agents whose engines hold the version.
    pub fn new(own: &str, zone: &str, entries: &[Peer], holders: &[Peer], pieces: u32) -> Self {
        let mut zones: BTreeMap<Arc<str>, Vec<Ranked>> = BTreeMap::new();
        for entry in entries {
            let there = zones.entry(entry.zone.clone()).or_default();
            there.push(Ranked::new(&entry.id));
        }
        let all: Vec<Ranked> = entries.iter().map(|peer| Ranked::new(&peer.id)).collect();
        let zones = zones.into_iter();
        let zones = zones.map(|(zone, there)| (zone, assign(&there, pieces)));
        let ranked = |peer: &Peer| Ranked::new(&peer.id);
        let here = holders.iter().filter(|peer| &*peer.zone == zone);
        let mut held: Vec<Ranked> = here.map(ranked).collect();
        if held.is_empty() {
            held = holders.iter().map(ranked).collect();
        }
        Self {
            own: Ranked::new(&own.into()),
            all: assign(&all, pieces),
            zones: zones.collect(),
            zone: zone.into(),
            holders: held,
        }
    }

    /// Where the node gets a piece.
    pub fn plan(&self, piece: u32) -> Plan {
        let owners = self.owners(piece);
        let holders = self.holders_of(piece);
        if self.is_primary(piece) {
            let held = !holders.is_empty();
            let keepers = self.keepers(piece).into_iter();
            let before = owners.into_iter().chain(keepers);
            return Plan {
                first: holders,
                origin_after: if held { HELD_AFTER } else { Millis::ZERO },
                likely_holders: self.others(before, &[]),
                ..Plan::default()
            };
        }
        let owner_here = self.owner_here(piece);
        let alone = owner_here.as_ref().is_none_or(|id| *id == self.own.id);
        let stands_in = owners.last().is_some_and(|id| *id == self.own.id);
        let near = self.others(owner_here.into_iter(), &[]);
        let far = owners.iter().cloned().chain(holders);
        Plan {
            fallback: self.others(far, &near),
            first: near,
            fallback_after: if alone { Millis::ZERO } else { FAR_AFTER },
            origin_after: if stands_in { SECOND_AFTER } else { ANY_AFTER },
            likely_holders: self.others(owners.into_iter(), &[]),
        }
    }

    /// Whether the node keeps a piece for others: for all, or for its zone.
    pub fn is_owner(&self, piece: u32) -> bool {
        let here = self.owner_here(piece);
        self.is_primary(piece) || here.is_some_and(|id| id == self.own.id)
    }

    /// Whether the node is the one that asks the origin for a piece.
    pub fn is_primary(&self, piece: u32) -> bool {
        self.owners(piece)
            .first()
            .is_some_and(|id| *id == self.own.id)
    }

    /// What the node does for a piece.
    pub fn role(&self, piece: u32) -> PieceRole {
        let owners = self.owners(piece);
        match owners.iter().position(|id| *id == self.own.id) {
            Some(0) => PieceRole::Primary,
            Some(_) => PieceRole::Backup,
            None => PieceRole::Reader,
        }
    }

    /// The owner of a piece among all entries, and who stands in for it.
    fn owners(&self, piece: u32) -> Vec<Arc<str>> {
        let owners = self.all.get(piece as usize);
        owners.map(|owners| owners.to_vec()).unwrap_or_default()
    }

    fn owner_here(&self, piece: u32) -> Option<Arc<str>> {
        let here = self.zones.get(&self.zone)?;
        here.get(piece as usize).map(|[first, _]| first.clone())
    }

    /// Entries that keep a piece for other zones.
    fn keepers(&self, piece: u32) -> Vec<Arc<str>> {
        let elsewhere = self.zones.iter().filter(|(zone, _)| **zone != self.zone);
        let keepers = elsewhere.filter_map(|(_, owners)| owners.get(piece as usize));
        let keepers = keepers.map(|[first, _]| first.clone());
        keepers.take(KEEPERS).collect()
    }

    /// The ids given, each once, without the node itself and those `known`.
    fn others(&self, ids: impl Iterator<Item = Arc<str>>, known: &[Arc<str>]) -> Vec<Arc<str>> {
        let mut others: Vec<Arc<str>> = Vec::new();
        for id in ids {
            let new = !others.contains(&id) && !known.contains(&id);
            if id != self.own.id && new {
                others.push(id);
            }
        }
        others
    }

    /// Some agents whose engines hold the version, spread so that pieces meet different ones.
    fn holders_of(&self, piece: u32) -> Vec<Arc<str>> {
        let turn = mix(self.own.rank ^ u64::from(piece));
        let mut holders: Vec<&Ranked> = self.holders.iter().collect();
        holders.sort_by_key(|p| mix(p.rank ^ turn));
        holders.truncate(HOLDERS);
        holders.into_iter().map(|p| p.id.clone()).collect()
    }

    /// The order in which the node asks for the pieces: those that it asks the origin for come
    /// first, as others wait for them, then those that it keeps for its zone, then the rest from a
    /// place of its own, so that agents do not all ask the same owner first.
    pub fn order(&self, pieces: u32) -> Vec<u32> {
        let count = u64::from(pieces.max(1));
        let start = self.own.rank % count;
        let rank = |piece: &u32| {
            let turn = (u64::from(*piece) + count - start) % count;
            (!self.is_primary(*piece), !self.is_owner(*piece), turn)
        };
        let mut order: Vec<u32> = (0..pieces).collect();
        order.sort_by_cached_key(rank);
        order
    }
}

/// For each piece its owner and who stands in for it: the first of the piece's own order of the
/// entries that has room, and the next after it. Nobody for no entries.
fn assign(entries: &[Ranked], pieces: u32) -> Vec<[Arc<str>; 2]> {
    if entries.is_empty() {
        return Vec::new();
    }
    let most = (pieces as usize).div_ceil(entries.len()) + SPARE_SHARE;
    let mut owned = vec![0; entries.len()];
    let assigned = (0..pieces).map(|piece| {
        let turn = mix(u64::from(piece) + 1);
        let mut order: Vec<usize> = (0..entries.len()).collect();
        order.sort_by_key(|n| mix(entries[*n].rank ^ turn));
        let room = order.iter().position(|n| owned[*n] < most).unwrap_or(0);
        owned[order[room]] += 1;
        let second = order[(room + 1) % order.len()];
        [entries[order[room]].id.clone(), entries[second].id.clone()]
    });
    assigned.collect()
}

/// What a node does for a piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PieceRole {
    /// It is the one that asks the origin.
    Primary,
    /// It asks the origin if the one that leads does not get on.
    Backup,
    /// It asks others.
    Reader,
}

/// Whether a node asks the origin for a piece that nobody asked has, `spent` after it began.
/// `owner_answers` tells whether an owner that was asked answered.
///
/// *Load pattern*: the origin's link is narrow, and all pieces come at the end of a copy's time, as
/// they share it. Did who stands in ask as soon as a piece is late, each would be sent twice, and all
/// of them come twice as late; did agents ask while the origin fails, dozens of copies would be on
/// their way when it is back: 9 were sent for one, and none was whole for six seconds. An owner that
/// answers is fetching its piece.
pub fn may_ask_origin(part: PieceRole, owner_answers: bool, spent: Millis) -> bool {
    match part {
        PieceRole::Primary => true,
        PieceRole::Backup => !owner_answers || spent >= ANY_AFTER,
        PieceRole::Reader => !owner_answers,
    }
}

/// How long before a newer one a version must have been named to be finished first: about half of a
/// copy's way through the origin's link, 1.3 to 2.1 s today.
const BEGUN: Millis = Millis(1_000);

/// How long after it was named an older version may hold up a newer one. One that is not here by
/// then has met an origin that fails.
const FINISHED: Millis = Millis(3_000);

/// Which of two versions of a model leaves the origin's link to the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Yields {
    /// Neither.
    None,
    /// The older.
    Older,
    /// The newer.
    Newer,
}

/// Which of two versions waits for the other at the origin, given how long ago each was named,
/// whether the older is `held` here already, and whether pieces of the newer come in (`moving`).
///
/// *Load pattern*: a second version is named while the first is on its way, and the origin fails
/// right after. Fetched side by side, or the newer first, the first lacks its last pieces then and
/// no version is whole until the origin is back: all engines were out of use for six seconds, as
/// none could be brought to a version that may still answer. So what is more than half here is
/// finished; what was begun a moment ago gives way, as its engines would load twice.
pub fn which_yields(older: Millis, newer: Millis, held: bool, moving: bool) -> Yields {
    if held {
        return Yields::None;
    }
    if older.since(newer) >= BEGUN && older < FINISHED {
        return Yields::Newer;
    }
    if moving { Yields::Older } else { Yields::None }
}

/// A piece that came so soon after the one before, or after it was asked for, came over a link with
/// room: today's link carries one in 42 ms, beside live requests.
const QUICK: Millis = Millis(100);

/// A piece that came so late keeps live requests to the engine on the same link waiting as long, and two
/// at once twice as long. Callers' first events are due within 300 ms.
const SLOW: Millis = Millis(150);

/// How many pieces may be under way to one node.
///
/// *Load pattern*: a link turns narrow while weights come in. Every piece that is under way waits
/// in the link's queue, and with four of them a request to the engine arrives a second or more
/// after it was sent, when its caller has left or another version is due. So the window shrinks
/// to one piece as soon as one is slow, and grows again by one for each that is quick.
#[derive(Clone, Debug)]
pub struct Window {
    size: u32,
    most: u32,
    last: Millis,
}

impl Window {
    /// A window of at most `most` pieces, open as wide.
    pub fn new(most: u32) -> Self {
        Self {
            size: most,
            most,
            last: Millis::ZERO,
        }
    }

    /// How many may be under way.
    pub fn size(&self) -> u32 {
        self.size
    }

    /// Counts a piece that came at `now` and was asked for at `asked`. What counts is the time
    /// since the one before it: with several under way each alone takes long on any link.
    pub fn arrived(&mut self, asked: Millis, now: Millis) {
        let took = now.since(asked.max(self.last));
        self.last = now;
        if took > SLOW {
            self.size = 1;
        } else if took < QUICK {
            self.size = (self.size + 1).min(self.most);
        }
    }

    /// Counts a piece that did not come in time.
    pub fn stalled(&mut self) {
        self.size = 1;
    }
}
