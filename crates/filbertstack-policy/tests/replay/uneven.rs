//! Targets that are slow for a while without reporting it, and what entries observe of it.

use filbertstack_core::Millis;
use filbertstack_policy::dispatch::Dispatcher;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use super::Replay;
use crate::batch::Engine;
use crate::batch::EngineEvent;

/// The interval at which the slow targets are drawn.
const DRAWN_MS: u64 = 600;

/// The share of the targets that are slow, and the factor by which they are slower.
const SLOW_SHARE: f64 = 0.15;
const SLOWER: f64 = 2.5;

/// Draws the slow targets.
pub struct Draws {
    rng: ChaCha8Rng,
    uneven: bool,
}

impl Draws {
    /// Returns the draws of a replay, whose entries estimate paces if they are to.
    pub(super) fn new(replay: &Replay, entries: &mut [Dispatcher]) -> Self {
        if replay.observes {
            entries.iter_mut().for_each(Dispatcher::estimate_paces);
        }
        Self::of_targets(replay.uneven)
    }

    /// Returns the draws of targets that are slow for a while if they are `uneven`.
    pub fn of_targets(uneven: bool) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(8);
        Self { rng, uneven }
    }

    /// Draws the engines that are slow until the next draw, if it is time.
    pub(super) fn draw(&mut self, now: u64, engines: &mut [Engine]) {
        if self.uneven && Self::is_due(now) {
            for engine in engines {
                engine.pace = self.pace();
            }
        }
    }

    /// Returns whether the slow targets are drawn anew.
    pub fn is_due(now: u64) -> bool {
        now.is_multiple_of(DRAWN_MS)
    }

    /// Returns the factor by which the next target is slower.
    pub fn pace(&mut self) -> f64 {
        let slow = self.uneven && self.rng.random_bool(SLOW_SHARE);
        if slow { SLOWER } else { 1.0 }
    }
}

/// Passes on an event of an engine as an entry observes it.
pub(super) fn observe(
    replay: &Replay,
    entry: &mut Dispatcher,
    now: u64,
    id: &str,
    event: EngineEvent,
) {
    let gap = Millis(event.gap * (replay.link)(event.entry));
    if event.first {
        entry.observe_first_event(Millis(now), id, event.prompt, gap);
    } else {
        entry.observe_events(Millis(now), id, gap, 1);
    }
}
