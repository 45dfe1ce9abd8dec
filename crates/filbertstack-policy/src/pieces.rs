//! This module decides which nodes a node asks for each piece of a version, and in which order.
//!
//! *Load pattern*: a version is named, and every agent wants all its pieces at once, through an origin
//! whose link carries a copy in one to two seconds. The agents' links are narrower still and also carry
//! the events of live streams. If each agent asked the origin, N copies would pass through that one
//! link. If agents passed pieces on to each other, each would carry one copy in and one out beside its
//! callers' events. The entries have wide links and therefore keep the pieces. Each piece has one
//! primary owner among all entries, which alone fetches it from the origin, and one owner in each zone,
//! which fetches it from the primary owner and passes it to the agents there. An agent's link carries
//! one copy in, one copy crosses each boundary between zones, and an entry keeps only its share of a
//! version.
//!
//! The owners follow from the list of entries alone, without coordination. Each piece ranks the entries
//! in its own order and goes to the first one that has room for it, so that an entry that leaves or
//! joins moves few pieces of the others. A cache that is asked for other pieces than before is an empty
//! cache.
//!
//! The origin may fail soon after a version is named, so a piece must not wait for an owner that is
//! frozen or has just ended. A second entry, the backup owner, fetches it from the origin after the
//! time that a copy takes.

use std::collections::BTreeMap;
use std::sync::Arc;

use filbertstack_core::Millis;

use crate::subset::hash;
use crate::subset::mix;

/// The maximum number of agents with engines that hold a version that are asked for one piece: one,
/// and another in case the first has just ended.
const MAX_HOLDERS: usize = 2;

/// A node that may own or hold pieces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The node's id.
    pub id: Arc<str>,
    /// The node's availability zone.
    pub zone: Arc<str>,
}

/// The time after the start of a fetch when the backup owner may ask the origin for a piece. A copy
/// passes the origin's link in 1.3 s, so that the primary owner of a piece still missing then makes no
/// progress.
const BACKUP_ORIGIN_AFTER: Millis = Millis(1_000);

/// The time after the start of a fetch when any node may ask the origin: by then neither owner has
/// obtained the piece, and other nodes have not passed it on.
const READER_ORIGIN_AFTER: Millis = Millis(3_500);

/// The time for which a primary owner asks agents whose engines hold the version before it asks the
/// origin, whose every byte is paid for. It is enough for two requests that time out.
const HELD_ORIGIN_AFTER: Millis = Millis(1_500);

/// The time after the start of a fetch when a node asks other zones for a piece that an entry in its
/// own zone owns. With less, all nodes of a zone would fetch from outside what one of them is about to
/// pass on, and the links between zones would carry a copy for each.
const FALLBACK_AFTER: Millis = Millis(2_000);

/// The number of pieces above an even share that an entry may own. With none, an entry that ends also
/// moves many pieces of the others. Without a limit, the busiest entry owns twice its share, and the
/// links of small entries carry a share to dozens of agents.
const MAX_EXTRA_PIECES: usize = 1;

/// The number of owners in other zones that are asked for a piece before its primary owner asks the
/// origin: an owner that has restarted has lost the piece, while they still have it.
const MAX_OTHER_ZONE_OWNERS: usize = 2;

/// The sources from which a node gets one piece.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// The nodes to ask at once, best first.
    pub first: Vec<Arc<str>>,
    /// The nodes to ask later, best first.
    pub fallback: Vec<Arc<str>>,
    /// The time after the start of the fetch when the later nodes are asked, unless none of the first
    /// answers.
    pub fallback_after: Millis,
    /// The time after the start of the fetch when the origin may be asked.
    pub origin_after: Millis,
    /// The nodes that may have the piece. The origin is asked only if none of them has it.
    pub likely_holders: Vec<Arc<str>>,
}

/// A node that is asked for a piece.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Asked {
    /// The node.
    pub id: Arc<str>,
    /// Whether it may answer only when it has received the piece.
    pub waits: bool,
}

impl Plan {
    /// Returns the nodes to ask `elapsed` after the start of the fetch, best first. `is_slow` returns whether
    /// a node did not answer lately.
    ///
    /// *Load pattern*: the origin fails for seconds, and all agents have come to ask other zones as well. If
    /// they waited there, each of them would fetch a piece from another zone at the moment its primary owner
    /// receives it, beside the owner in their own zone. They wait for that owner alone, unless it is silent.
    pub fn nodes_to_ask(self, elapsed: Millis, is_slow: impl Fn(&str) -> bool) -> Vec<Asked> {
        let first = self.first.into_iter().filter(|id| !is_slow(id));
        let mut nodes: Vec<Asked> = first.map(|id| Asked { id, waits: true }).collect();
        let waits = nodes.is_empty();
        if waits || elapsed >= self.fallback_after {
            let fallback = self.fallback.into_iter().filter(|id| !is_slow(id));
            nodes.extend(fallback.map(|id| Asked { id, waits }));
        }
        nodes
    }
}

/// The owners of a version's pieces, computed once for all of them.
#[derive(Clone, Debug)]
pub struct OwnerMap {
    own: Ranked,
    /// The primary and the backup owner of each piece.
    all: Vec<[Arc<str>; 2]>,
    /// The owner of each piece in each zone.
    zones: BTreeMap<Arc<str>, Vec<[Arc<str>; 2]>>,
    zone: Arc<str>,
    /// The agents whose engines hold the version: those of the zone or, if it has none, all.
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
    /// Returns the owners of `pieces` pieces as the node `own` in `zone` sees them. `entries` may
    /// include the node; `holders` are the agents whose engines hold the version.
    pub fn new(own: &str, zone: &str, entries: &[Peer], holders: &[Peer], pieces: u32) -> Self {
        let mut zones: BTreeMap<Arc<str>, Vec<Ranked>> = BTreeMap::new();
        for entry in entries {
            let there = zones.entry(entry.zone.clone()).or_default();
            there.push(Ranked::new(&entry.id));
        }
        let all: Vec<Ranked> = entries.iter().map(|peer| Ranked::new(&peer.id)).collect();
        let zones = zones.into_iter();
        let zones = zones.map(|(zone, there)| (zone, assign_owners(&there, pieces)));
        let ranked = |peer: &Peer| Ranked::new(&peer.id);
        let here = holders.iter().filter(|peer| &*peer.zone == zone);
        let mut held: Vec<Ranked> = here.map(ranked).collect();
        if held.is_empty() {
            held = holders.iter().map(ranked).collect();
        }
        Self {
            own: Ranked::new(&own.into()),
            all: assign_owners(&all, pieces),
            zones: zones.collect(),
            zone: zone.into(),
            holders: held,
        }
    }

    /// Returns the sources from which the node gets a piece.
    pub fn plan(&self, piece: u32) -> Plan {
        let owners = self.owners(piece);
        let holders = self.holders_of(piece);
        if self.is_primary(piece) {
            let held = !holders.is_empty();
            let other_zone_owners = self.other_zone_owners(piece).into_iter();
            let likely = owners.into_iter().chain(other_zone_owners);
            return Plan {
                first: holders,
                origin_after: if held {
                    HELD_ORIGIN_AFTER
                } else {
                    Millis::ZERO
                },
                likely_holders: self.distinct_others(likely, &[]),
                ..Plan::default()
            };
        }
        let zone_owner = self.zone_owner(piece);
        let alone = zone_owner.as_ref().is_none_or(|id| *id == self.own.id);
        let is_backup = owners.last().is_some_and(|id| *id == self.own.id);
        let first = self.distinct_others(zone_owner.into_iter(), &[]);
        let fallback = owners.iter().cloned().chain(holders);
        Plan {
            fallback: self.distinct_others(fallback, &first),
            first,
            fallback_after: if alone { Millis::ZERO } else { FALLBACK_AFTER },
            origin_after: if is_backup {
                BACKUP_ORIGIN_AFTER
            } else {
                READER_ORIGIN_AFTER
            },
            likely_holders: self.distinct_others(owners.into_iter(), &[]),
        }
    }

    /// Returns whether the node keeps a piece for others, either for all entries or for its zone.
    pub fn is_owner(&self, piece: u32) -> bool {
        let zone_owner = self.zone_owner(piece);
        self.is_primary(piece) || zone_owner.is_some_and(|id| id == self.own.id)
    }

    /// Returns whether the node is the primary owner of a piece, which asks the origin for it.
    pub fn is_primary(&self, piece: u32) -> bool {
        self.owners(piece)
            .first()
            .is_some_and(|id| *id == self.own.id)
    }

    /// Returns the node's role for a piece.
    pub fn role(&self, piece: u32) -> PieceRole {
        let owners = self.owners(piece);
        match owners.iter().position(|id| *id == self.own.id) {
            Some(0) => PieceRole::Primary,
            Some(_) => PieceRole::Backup,
            None => PieceRole::Reader,
        }
    }

    /// Returns the primary and the backup owner of a piece.
    fn owners(&self, piece: u32) -> Vec<Arc<str>> {
        let owners = self.all.get(piece as usize);
        owners.map(|owners| owners.to_vec()).unwrap_or_default()
    }

    fn zone_owner(&self, piece: u32) -> Option<Arc<str>> {
        let here = self.zones.get(&self.zone)?;
        here.get(piece as usize).map(|[first, _]| first.clone())
    }

    /// Returns the owners of a piece in other zones.
    fn other_zone_owners(&self, piece: u32) -> Vec<Arc<str>> {
        let elsewhere = self.zones.iter().filter(|(zone, _)| **zone != self.zone);
        let other_zone_owners = elsewhere.filter_map(|(_, owners)| owners.get(piece as usize));
        let other_zone_owners = other_zone_owners.map(|[first, _]| first.clone());
        other_zone_owners.take(MAX_OTHER_ZONE_OWNERS).collect()
    }

    /// Returns the given ids, each once, without the node itself and without those in `excluded`.
    fn distinct_others(
        &self,
        ids: impl Iterator<Item = Arc<str>>,
        excluded: &[Arc<str>],
    ) -> Vec<Arc<str>> {
        let mut distinct_others: Vec<Arc<str>> = Vec::new();
        for id in ids {
            let new = !distinct_others.contains(&id) && !excluded.contains(&id);
            if id != self.own.id && new {
                distinct_others.push(id);
            }
        }
        distinct_others
    }

    /// Returns a few agents whose engines hold the version, in an order that differs between pieces and
    /// nodes.
    fn holders_of(&self, piece: u32) -> Vec<Arc<str>> {
        let salt = mix(self.own.rank ^ u64::from(piece));
        let mut holders: Vec<&Ranked> = self.holders.iter().collect();
        holders.sort_by_key(|p| mix(p.rank ^ salt));
        holders.truncate(MAX_HOLDERS);
        holders.into_iter().map(|p| p.id.clone()).collect()
    }

    /// Returns the order in which the node asks for the pieces. Those that it asks the origin for come
    /// first, because other nodes wait for them, then those that it keeps for its zone. The rest begins
    /// at a position that differs between nodes, so that agents do not all ask the same owner first.
    pub fn order(&self, pieces: u32) -> Vec<u32> {
        let count = u64::from(pieces.max(1));
        let start = self.own.rank % count;
        let rank = |piece: &u32| {
            let distance = (u64::from(*piece) + count - start) % count;
            (!self.is_primary(*piece), !self.is_owner(*piece), distance)
        };
        let mut order: Vec<u32> = (0..pieces).collect();
        order.sort_by_cached_key(rank);
        order
    }
}

/// Returns the primary and the backup owner of each piece: the first entry in the piece's own order
/// that has room, and the next one after it. Returns an empty list without entries.
fn assign_owners(entries: &[Ranked], pieces: u32) -> Vec<[Arc<str>; 2]> {
    if entries.is_empty() {
        return Vec::new();
    }
    let max_pieces = (pieces as usize).div_ceil(entries.len()) + MAX_EXTRA_PIECES;
    let mut owned = vec![0; entries.len()];
    let assigned = (0..pieces).map(|piece| {
        let salt = mix(u64::from(piece) + 1);
        let mut order: Vec<usize> = (0..entries.len()).collect();
        order.sort_by_key(|n| mix(entries[*n].rank ^ salt));
        let chosen = order
            .iter()
            .position(|n| owned[*n] < max_pieces)
            .unwrap_or(0);
        owned[order[chosen]] += 1;
        let second = order[(chosen + 1) % order.len()];
        [
            entries[order[chosen]].id.clone(),
            entries[second].id.clone(),
        ]
    });
    assigned.collect()
}

/// The role of a node for a piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PieceRole {
    /// The node asks the origin for the piece.
    Primary,
    /// The node asks the origin if the primary owner makes no progress.
    Backup,
    /// The node asks other nodes.
    Reader,
}

/// How long the origin may send nothing of a piece at least, and where the rate of its link is not known.
const MIN_ORIGIN_SILENCE: Millis = Millis(2_500);

/// How long the origin may send nothing of a piece at most, whatever rate is published for its link.
const MAX_ORIGIN_SILENCE: Millis = Millis::secs(30);

/// The number of copies that the origin may send while nothing of a piece arrives: one of each version that
/// nodes fetch, as it may send the pieces one after another.
const COPIES_AHEAD: u64 = 2;

/// Returns how long a node waits for the next bytes of a piece from the origin, whose link carries a copy in
/// `copy`.
///
/// *Load pattern*: an origin returns, and dozens of owners ask it at once, each for a piece of one of two
/// versions. All pieces arrive towards the end. If the owners gave up sooner, what was sent of their pieces
/// would be lost, they would ask again, and the link would carry seven copies and none of them in time.
pub fn origin_silence(copy: Option<Millis>) -> Millis {
    let ahead = copy.map_or(0, |copy| copy.0.saturating_mul(COPIES_AHEAD));
    Millis(ahead).clamp(MIN_ORIGIN_SILENCE, MAX_ORIGIN_SILENCE)
}

/// What a node knows when it considers asking the origin for a piece that none of the asked nodes has.
#[derive(Clone, Copy, Debug)]
pub struct OriginCase {
    /// The node's role for the piece.
    pub role: PieceRole,
    /// Whether an owner that was asked has answered.
    pub owner_answers: bool,
    /// The time since the node began to fetch the piece.
    pub elapsed: Millis,
    /// The time since the origin last failed this node, if it did.
    pub since_failure: Option<Millis>,
}

/// Returns whether a node may ask the origin for a piece.
///
/// *Load pattern*: the origin's link is narrow, and all pieces arrive towards the end of a copy's time,
/// as they share the link. If the backup owners asked as soon as a piece is late, each piece would be
/// sent twice and arrive twice as late. If agents asked while the origin fails, dozens of copies would
/// be in transit when it returns: 9 copies were sent instead of one, and none was complete for six
/// seconds. An owner that answers is fetching its piece. While the origin fails, no owner makes progress,
/// and the backup owners must not take that for a fault of the owners: they would all ask at the moment the
/// origin returns.
pub fn may_ask_origin(case: OriginCase) -> bool {
    let answering = case.since_failure.unwrap_or(case.elapsed);
    match case.role {
        PieceRole::Primary => true,
        PieceRole::Backup => {
            !case.owner_answers || case.elapsed.min(answering) >= READER_ORIGIN_AFTER
        }
        PieceRole::Reader => !case.owner_answers,
    }
}

/// What the owners of a list of pieces answered together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnersAnswer {
    /// None of them answered.
    Silent,
    /// They no longer keep the version.
    NotKept,
    /// One of them will have the list.
    NotYet,
}

/// Returns whether a node other than the primary owner may ask the origin for the list of a version's pieces.
///
/// *Load pattern*: a version is named on a busy machine. An entry hears of it before the owners of its list do, or they
/// take longer to answer than it waits. If it asked the origin at once, all entries would, and the agents after them.
/// Silent owners get the time that they get for a piece.
pub fn may_ask_for_list(answer: OwnersAnswer, case: OriginCase) -> bool {
    match (answer, case.role) {
        (OwnersAnswer::NotKept, _) | (_, PieceRole::Primary) => true,
        (OwnersAnswer::NotYet, _) => may_ask_origin(case),
        (OwnersAnswer::Silent, PieceRole::Backup) => case.elapsed >= BACKUP_ORIGIN_AFTER,
        (OwnersAnswer::Silent, PieceRole::Reader) => case.elapsed >= READER_ORIGIN_AFTER,
    }
}

/// The lead over a newer version that an older one needs to be finished first: about half of the time
/// in which a copy passes the origin's link, which is 1.3 to 2.1 s.
const MIN_HEAD_START: Millis = Millis(1_000);

/// The time after it was named during which an older version may delay a newer one. A version that is
/// not complete by then has met a failing origin.
const MAX_HOLD_UP: Millis = Millis(3_000);

/// The one of two versions of a model that leaves the origin's link to the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Yields {
    /// Neither version yields.
    None,
    /// The older version yields.
    Older,
    /// The newer version yields.
    Newer,
}

/// Returns which of two versions yields the origin to the other, given how long ago each was named,
/// whether the older is already `held` here, and whether pieces of the newer are `arriving`.
///
/// *Load pattern*: a second version is named while the first is being transferred, and the origin fails
/// right after. If both are fetched side by side, or the newer one first, the first version lacks its
/// last pieces, and no version is complete until the origin returns. All engines were out of use for
/// six seconds, as none could be brought to a version that was still allowed to answer. A version that
/// is more than half transferred is therefore finished. One that was begun a moment ago yields, as its
/// engines would load twice.
pub fn which_yields(older: Millis, newer: Millis, held: bool, arriving: bool) -> Yields {
    if held {
        return Yields::None;
    }
    if older.since(newer) >= MIN_HEAD_START && older < MAX_HOLD_UP {
        return Yields::Newer;
    }
    if arriving {
        Yields::Older
    } else {
        Yields::None
    }
}

/// The time between two pieces, or between the request and the piece, up to which the link has room.
/// The reference link carries a piece in 42 ms beside live requests.
const QUICK_ARRIVAL: Millis = Millis(100);

/// The time from which a piece delays live requests on the same link for as long, and two pieces at
/// once twice as long. Callers' first events are due within 300 ms.
const SLOW_ARRIVAL: Millis = Millis(150);

/// The number of pieces that may be in transit to one node.
///
/// *Load pattern*: a link becomes narrow while weights arrive. Every piece in transit waits in the
/// link's queue, and with four of them a request to the engine arrives a second or more after it was
/// sent, when its caller has left or another version is due. The window therefore shrinks to one piece
/// as soon as one is slow, and grows by one for each that is quick.
#[derive(Clone, Debug)]
pub struct Window {
    size: u32,
    max_pieces: u32,
    last_arrival: Millis,
}

impl Window {
    /// Returns a window of at most `max_pieces` pieces, which starts at this size.
    pub fn new(max_pieces: u32) -> Self {
        Self {
            size: max_pieces,
            max_pieces,
            last_arrival: Millis::ZERO,
        }
    }

    /// Returns how many pieces may be in transit.
    pub fn size(&self) -> u32 {
        self.size
    }

    /// Counts a piece that arrived at `now` and was requested at `asked`. Only the time since the
    /// previous piece counts, because with several in transit each one takes long on any link.
    pub fn arrived(&mut self, asked: Millis, now: Millis) {
        let took = now.since(asked.max(self.last_arrival));
        self.last_arrival = now;
        if took > SLOW_ARRIVAL {
            self.size = 1;
        } else if took < QUICK_ARRIVAL {
            self.size = (self.size + 1).min(self.max_pieces);
        }
    }

    /// Counts a piece that did not arrive in time.
    pub fn stalled(&mut self) {
        self.size = 1;
    }
}
