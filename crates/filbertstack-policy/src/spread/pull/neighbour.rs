//! What an agent knows of one upstream.

use filbertstack_core::Millis;

use crate::spread::chunks::ChunkSet;
use crate::spread::pull::Fault;

/// The first rest after a fault; it doubles with each further one.
///
/// One corrupted chunk in a hundred is ordinary on a bad day, so that the first rest only costs
/// the upstream a turn or two.
const REST: Millis = Millis(500);

/// The longest rest.
const MAX_REST: Millis = Millis::secs(60);

/// Strikes after which an upstream is to be replaced.
const WORN: u32 = 4;

/// Good chunks in a row that take one strike back.
const FORGIVE: u32 = 4;

/// An upstream that takes this many times the median of all is asked last.
const SLOW: u64 = 3;

/// The weight of the newest time of a chunk: one in four.
const SMOOTH: u64 = 4;

/// How far an upstream is, nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Proximity {
    /// In the same availability zone.
    Zone,
    /// In another zone of the region.
    Region,
}

/// Where an upstream stands among those of its ring, the same place at every instance.
///
/// At turn `t` every instance prefers the upstream at place `t` modulo the number of places. All
/// upstreams at one place are one stride away round the ring, so that each instance is preferred
/// by exactly one other and no two ask the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RingPosition {
    /// How far it is.
    pub proximity: Proximity,
    /// Its place.
    pub place: u32,
    /// The number of places in the ring.
    pub places: u32,
}

impl RingPosition {
    /// The turns until this place is preferred.
    fn wait(self, turn: u64) -> u64 {
        let places = u64::from(self.places.max(1));
        (u64::from(self.place) % places + places - turn % places) % places
    }
}

/// The order of upstreams, the lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    slow: bool,
    proximity: Proximity,
    wait: u64,
    asked: u64,
}

#[derive(Debug)]
pub(super) struct Neighbour {
    position: RingPosition,
    /// The chunks it announced.
    pub(super) view: ChunkSet,
    flying: u32,
    /// The count of requests at its last one.
    asked: u64,
    /// It is not asked before.
    rest: Millis,
    strikes: u32,
    good: u32,
    pace: Option<Millis>,
    slow: bool,
}

impl Neighbour {
    pub(super) fn new(position: RingPosition, view: ChunkSet) -> Self {
        Self {
            position,
            view,
            flying: 0,
            asked: 0,
            rest: Millis::ZERO,
            strikes: 0,
            good: 0,
            pace: None,
            slow: false,
        }
    }

    pub(super) fn is_free(&self, now: Millis) -> bool {
        self.flying == 0 && self.rest <= now
    }

    /// The order in which upstreams are asked: those at speed first, the near before the far,
    /// then by the turn, then the one asked longest ago.
    pub(super) fn rank(&self, turn: u64) -> Rank {
        let position = self.position;
        Rank {
            slow: self.slow,
            proximity: position.proximity,
            wait: position.wait(turn),
            asked: self.asked,
        }
    }

    pub(super) fn depart(&mut self, asked: u64) {
        self.asked = asked;
        self.flying += 1;
    }

    pub(super) fn arrive(&mut self) {
        self.flying -= 1;
    }

    pub(super) fn served(&mut self, took: Millis) {
        let pace = self.pace.unwrap_or(took).0;
        self.pace = Some(Millis((pace * (SMOOTH - 1) + took.0) / SMOOTH));
        self.good += 1;
        if self.good >= FORGIVE {
            self.good = 0;
            self.strikes = self.strikes.saturating_sub(1);
        }
    }

    pub(super) fn failed(&mut self, fault: Fault, now: Millis) {
        let rest = match fault {
            Fault::Busy { after } => after,
            Fault::Missing => Millis::ZERO,
            Fault::Stalled | Fault::Down | Fault::Stale | Fault::Wrong | Fault::Corrupt => {
                self.strike()
            }
        };
        self.rest = now + rest;
    }

    fn strike(&mut self) -> Millis {
        let rest = Millis(REST.0 << self.strikes.min(10)).min(MAX_REST);
        self.strikes += 1;
        self.good = 0;
        rest
    }

    pub(super) fn pace(&self) -> Option<Millis> {
        self.pace
    }

    pub(super) fn compare(&mut self, median: Millis) {
        self.slow = self
            .pace
            .is_some_and(|pace| pace.0 > SLOW * median.0.max(1));
    }

    pub(super) fn is_slow(&self) -> bool {
        self.slow
    }

    pub(super) fn is_failing(&self) -> bool {
        self.strikes >= WORN
    }
}
