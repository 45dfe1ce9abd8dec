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
//! The owners follow from the list of agents alone; nobody assigns them. The origin may fail soon
//! after a version is named, so a piece whose owner is frozen or has a narrow link must not wait
//! for it: a second agent fetches it from the origin when a copy has had time to pass.

use std::sync::Arc;

use filbertstack_core::Millis;

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

/// How long after it began an agent may ask the origin for a piece that another owns first. A
/// copy passes the origin's link in 1.3 s today; the pieces still missing by then have an owner
/// that does not get on.
const SECOND_AFTER: Millis = Millis(1_000);

/// How long after it began any agent may ask the origin: by then neither owner has brought the
/// piece, and other agents have not passed it on.
const ANY_AFTER: Millis = Millis(3_500);

/// How long after it began an agent asks other zones for a piece that one in its own zone owns.
/// Sooner, all of a zone would fetch from outside what one of them is about to pass on, and the
/// links between zones would carry a copy for each.
const FAR_AFTER: Millis = Millis(2_000);

/// Where an agent gets one piece.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The agents of its zone to ask, best first.
    pub near: Vec<Arc<str>>,
    /// Those elsewhere, best first.
    pub far: Vec<Arc<str>>,
    /// How long after the fetch began those elsewhere are asked, unless nobody near answers.
    pub far_after: Millis,
    /// How long after the fetch began the origin may be asked, if no owner has the piece by then.
    pub origin_after: Millis,
    /// Those that ask the origin sooner, and whether they got it is asked first.
    pub owners: Vec<Arc<str>>,
}

/// The agents in the order that their ownership follows from, ranked once for all pieces.
#[derive(Clone, Debug)]
pub struct Layout {
    own: Ranked,
    near: Vec<Ranked>,
    all: Vec<Ranked>,
}

#[derive(Clone, Debug)]
struct Ranked {
    id: Arc<str>,
    rank: u64,
    holds: bool,
}

impl Layout {
    /// The layout as the agent `own` in `zone` sees it; `peers` may list it as well.
    pub fn new(own: &str, zone: &str, peers: &[Peer]) -> Self {
        let ranked = |peer: &Peer| Ranked {
            id: peer.id.clone(),
            rank: hash(&peer.id),
            holds: peer.holds,
        };
        let mut all: Vec<Ranked> = peers.iter().map(ranked).collect();
        let near = peers.iter().filter(|peer| &*peer.zone == zone);
        let mut near: Vec<Ranked> = near.map(ranked).collect();
        all.sort_by_key(|peer| peer.rank);
        near.sort_by_key(|peer| peer.rank);
        let own = Ranked {
            id: own.into(),
            rank: hash(own),
            holds: false,
        };
        Self { own, near, all }
    }

    /// Where the agent gets a piece.
    pub fn plan(&self, piece: u32) -> Plan {
        let owner_here = owner(&self.near, piece);
        let owners = [owner(&self.all, piece), second_owner(&self.all, piece)];
        let (first, second) = (self.is_own(owners[0]), self.is_own(owners[1]));
        let (origin_after, sooner) = match (first, second) {
            (true, _) => (Millis::ZERO, 0),
            (false, true) => (SECOND_AFTER, 1),
            (false, false) => (ANY_AFTER, 2),
        };
        let before = owners[..sooner].iter().flatten();
        let before = before.map(|peer| peer.id.clone()).collect();
        let near = self.holders(&self.near, piece).into_iter();
        let near = self.others(near.chain(owner_here), &[]);
        let far = self.holders(&self.all, piece).into_iter();
        let far = self.others(far.chain(owners.into_iter().flatten()), &near);
        let alone = self.is_own(owner_here) || near.is_empty();
        Plan {
            far_after: if alone { Millis::ZERO } else { FAR_AFTER },
            near,
            far,
            origin_after,
            owners: before,
        }
    }

    fn is_own(&self, peer: Option<&Ranked>) -> bool {
        peer.is_some_and(|peer| peer.id == self.own.id)
    }

    /// The ids of those ranked, each once, without the agent itself and those `known`.
    fn others<'a>(
        &self,
        ranked: impl Iterator<Item = &'a Ranked>,
        known: &[Arc<str>],
    ) -> Vec<Arc<str>> {
        let mut ids: Vec<Arc<str>> = Vec::new();
        for peer in ranked {
            let new = !ids.contains(&peer.id) && !known.contains(&peer.id);
            if peer.id != self.own.id && new {
                ids.push(peer.id.clone());
            }
        }
        ids
    }

    /// Some that hold the whole version, spread so that askers and pieces meet different ones.
    fn holders<'a>(&self, peers: &'a [Ranked], piece: u32) -> Vec<&'a Ranked> {
        let turn = mix(self.own.rank ^ u64::from(piece));
        let mut holders: Vec<&Ranked> = peers.iter().filter(|p| p.holds).collect();
        holders.sort_by_key(|p| mix(p.rank ^ turn));
        holders.truncate(HOLDERS);
        holders
    }

    /// The order in which the agent asks for the pieces: those that it owns for all come first, as
    /// the others wait for them, then those of its zone, then the rest from a place of its own, so
    /// that agents do not all ask the same owner first.
    pub fn order(&self, pieces: u32) -> Vec<u32> {
        let count = u64::from(pieces.max(1));
        let start = self.own.rank % count;
        let rank = |piece: &u32| {
            let turn = (u64::from(*piece) + count - start) % count;
            let first = self.is_own(owner(&self.all, *piece));
            let second = self.is_own(owner(&self.near, *piece));
            (!first, !second, turn)
        };
        let mut order: Vec<u32> = (0..pieces).collect();
        order.sort_by_key(rank);
        order
    }
}

/// The owner of a piece: agents in the order of their ranks take turns.
fn owner(peers: &[Ranked], piece: u32) -> Option<&Ranked> {
    turn(peers, piece, 0)
}

/// Who fetches a piece if its owner does not get on: another about half way round, so that the
/// pieces of one lost owner go to several.
fn second_owner(peers: &[Ranked], piece: u32) -> Option<&Ranked> {
    let count = peers.len().max(1);
    let lap = usize::try_from(piece).unwrap_or(0) / count;
    turn(
        peers,
        piece,
        1 + (count / 2 + lap) % count.saturating_sub(1).max(1),
    )
}

fn turn(peers: &[Ranked], piece: u32, shift: usize) -> Option<&Ranked> {
    let place = usize::try_from(piece).unwrap_or(0) + shift;
    peers.get(place % peers.len().max(1))
}

/// The most pieces under way to one agent: enough to fill its link. More would only wait in its
/// queue, before events of live streams and the reports of the engine's load: with three, and two
/// on their way out, 340 of 1,300 streams were late in the seconds of a rollout on an else calm
/// day, which was worth 0.711; with two and one out it was worth 0.736.
const MOST: u32 = 2;

/// A piece that came so soon after the one before, or after it was asked for, came over a link with
/// room: today's link carries one in 42 ms, beside live requests.
const QUICK: Millis = Millis(200);

/// A piece that came so late kept live requests to the engine on the same link waiting as long: they
/// come behind it. Callers' first events are due within 300 ms.
const SLOW: Millis = Millis(400);

/// How many pieces may be under way to one agent.
///
/// *Load pattern*: a link turns narrow while weights come in. Every piece that is under way waits
/// in the link's queue, and with four of them a request to the engine arrives a second or more
/// after it was sent, when its caller has left or another version is due. So the window shrinks
/// to one piece as soon as one is slow, and grows again by one for each that is quick.
#[derive(Clone, Debug)]
pub struct Window {
    size: u32,
    last: Millis,
}

impl Default for Window {
    fn default() -> Self {
        Self {
            size: 2,
            last: Millis::ZERO,
        }
    }
}

impl Window {
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
            self.size = (self.size + 1).min(MOST);
        }
    }

    /// Counts a piece that did not come in time.
    pub fn stalled(&mut self) {
        self.size = 1;
    }
}
