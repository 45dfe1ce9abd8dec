//! An agent's record of one upstream.

use filbertstack_core::Millis;

use crate::spread::chunks::ChunkSet;
use crate::spread::pull::Fault;

/// The pause after a first fault. It doubles with each further fault.
///
/// One corrupted chunk in a hundred is normal on a bad day, so the first pause costs the upstream
/// only a turn or two.
const FIRST_PAUSE: Millis = Millis(500);

/// The upper limit of a pause.
const MAX_PAUSE: Millis = Millis::secs(60);

/// The number of strikes after which an upstream should be replaced.
const MAX_STRIKES: u32 = 4;

/// The number of good chunks in a row that cancels one strike.
const GOOD_PER_STRIKE: u32 = 4;

/// An upstream whose chunks take this many times the median is asked last.
const SLOW_FACTOR: u64 = 3;

/// The divisor of the moving average: the newest time of a chunk counts for one quarter.
const SMOOTHING: u64 = 4;

/// The distance of an upstream, nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Proximity {
    /// The upstream is in the same availability zone.
    Zone,
    /// The upstream is in another zone of the region.
    Region,
}

/// The position of an upstream among those of its ring. It is numbered alike on every instance.
///
/// In turn `t`, every instance prefers the upstream at place `t` modulo the number of places. All
/// upstreams with the same place are the same stride away round the ring, so each instance is
/// preferred by exactly one other, and no two instances ask the same upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RingPosition {
    /// The distance of the upstream.
    pub proximity: Proximity,
    /// The place: the index of the stride among the strides of the ring.
    pub place: u32,
    /// The number of places, which is the number of strides of the ring.
    pub places: u32,
}

impl RingPosition {
    /// Returns the number of turns until this place is preferred.
    fn turns_until(self, turn: u64) -> u64 {
        let places = u64::from(self.places.max(1));
        (u64::from(self.place) % places + places - turn % places) % places
    }
}

/// The sort key of upstreams. The lowest is asked first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    slow: bool,
    proximity: Proximity,
    turns_until: u64,
    last_request: u64,
}

#[derive(Debug)]
pub(super) struct Neighbour {
    position: RingPosition,
    /// The chunks that the upstream announced.
    pub(super) announced: ChunkSet,
    in_flight: u32,
    /// The agent's request count at the last request to this upstream.
    last_request: u64,
    /// The upstream is not asked before this time.
    paused_until: Millis,
    strikes: u32,
    good_chunks: u32,
    mean_time: Option<Millis>,
    slow: bool,
}

impl Neighbour {
    pub(super) fn new(position: RingPosition, announced: ChunkSet) -> Self {
        Self {
            position,
            announced,
            in_flight: 0,
            last_request: 0,
            paused_until: Millis::ZERO,
            strikes: 0,
            good_chunks: 0,
            mean_time: None,
            slow: false,
        }
    }

    pub(super) fn is_free(&self, now: Millis) -> bool {
        self.in_flight == 0 && self.paused_until <= now
    }

    /// Returns the sort key of the upstream: fast ones come first, then the nearest, then the one
    /// whose turn is next, then the one that was asked least recently.
    pub(super) fn rank(&self, turn: u64) -> Rank {
        let position = self.position;
        Rank {
            slow: self.slow,
            proximity: position.proximity,
            turns_until: position.turns_until(turn),
            last_request: self.last_request,
        }
    }

    pub(super) fn start_transfer(&mut self, last_request: u64) {
        self.last_request = last_request;
        self.in_flight += 1;
    }

    pub(super) fn end_transfer(&mut self) {
        self.in_flight -= 1;
    }

    pub(super) fn record_chunk(&mut self, took: Millis) {
        let mean_time = self.mean_time.unwrap_or(took).0;
        self.mean_time = Some(Millis((mean_time * (SMOOTHING - 1) + took.0) / SMOOTHING));
        self.good_chunks += 1;
        if self.good_chunks >= GOOD_PER_STRIKE {
            self.good_chunks = 0;
            self.strikes = self.strikes.saturating_sub(1);
        }
    }

    pub(super) fn record_fault(&mut self, fault: Fault, now: Millis) {
        let pause = match fault {
            Fault::Busy { after } => after,
            Fault::Missing => Millis::ZERO,
            Fault::Stalled | Fault::Down | Fault::Stale | Fault::Wrong | Fault::Corrupt => {
                self.strike()
            }
        };
        self.paused_until = now + pause;
    }

    fn strike(&mut self) -> Millis {
        let pause = Millis(FIRST_PAUSE.0 << self.strikes.min(10)).min(MAX_PAUSE);
        self.strikes += 1;
        self.good_chunks = 0;
        pause
    }

    pub(super) fn mean_time(&self) -> Option<Millis> {
        self.mean_time
    }

    pub(super) fn compare_speed(&mut self, median: Millis) {
        self.slow = self
            .mean_time
            .is_some_and(|mean_time| mean_time.0 > SLOW_FACTOR * median.0.max(1));
    }

    pub(super) fn is_slow(&self) -> bool {
        self.slow
    }

    pub(super) fn is_failing(&self) -> bool {
        self.strikes >= MAX_STRIKES
    }
}
