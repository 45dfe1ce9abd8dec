//! Whether a voter lags behind the others.
//!
//! *Load pattern*: a voter wakes after seconds while documents come in quick succession. It has a
//! leader again at once, and its followers come back to it as to the nearest, but it is told the
//! documents that it missed one after the other for seconds, and they with it.

use std::collections::VecDeque;

use filbertstack_core::Millis;

/// How long a voter may lack a document that another voter holds: as long as followers bear silence.
const PATIENCE: Millis = Millis(700);

/// The most documents that are noted as lacking; of more, the oldest tell enough.
const MOST: usize = 64;

/// The documents that a voter lacks.
#[derive(Clone, Debug, Default)]
pub struct Lag {
    /// Their versions, and since when another voter is known to hold each.
    awaited: VecDeque<(u64, Millis)>,
}

impl Lag {
    /// Notes that another voter holds the document `told`, while this one holds `held`.
    pub fn observe(&mut self, now: Millis, held: u64, told: u64) {
        self.awaited.retain(|(version, _)| *version > held);
        let newest = self.awaited.back().map_or(held, |(version, _)| *version);
        if told > newest && self.awaited.len() < MOST {
            self.awaited.push_back((told, now));
        }
    }

    /// Whether a voter that holds the document `held` has lacked a newer one for too long.
    pub fn is_behind(&self, now: Millis, held: u64) -> bool {
        let mut lacking = self.awaited.iter().filter(|(version, _)| *version > held);
        lacking.any(|(_, since)| now.since(*since) > PATIENCE)
    }
}
