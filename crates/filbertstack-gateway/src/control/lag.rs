//! Detects that a voter lags behind the other voters.
//!
//! *Load pattern*: a voter resumes after a pause of seconds while documents change in quick succession.
//! It finds a leader again at once, and its followers return to it because it is the nearest. It then
//! receives the documents that it missed one by one, which takes seconds, and its followers are late
//! by the same time.

use std::collections::VecDeque;

use filbertstack_core::Millis;

/// How long a voter may lack a document that another voter holds: the same time after which followers
/// leave a silent voter.
const MAX_LAG: Millis = Millis(700);

/// The most missing documents that are recorded. Only the oldest ones decide whether the voter lags.
const MAX_AWAITED: usize = 64;

/// The documents that a voter lacks and other voters hold.
#[derive(Clone, Debug, Default)]
pub struct Lag {
    /// The version of each missing document, and since when another voter is known to hold it.
    awaited: VecDeque<(u64, Millis)>,
}

impl Lag {
    /// Records that another voter holds the document `latest`, while this one holds `held`.
    pub fn observe(&mut self, now: Millis, held: u64, latest: u64) {
        self.awaited.retain(|(version, _)| *version > held);
        let newest = self.awaited.back().map_or(held, |(version, _)| *version);
        if latest > newest && self.awaited.len() < MAX_AWAITED {
            self.awaited.push_back((latest, now));
        }
    }

    /// Returns whether a voter that holds the document `held` has lacked a newer one for too long.
    pub fn is_behind(&self, now: Millis, held: u64) -> bool {
        let mut lacking = self.awaited.iter().filter(|(version, _)| *version > held);
        lacking.any(|(_, since)| now.since(*since) > MAX_LAG)
    }
}
