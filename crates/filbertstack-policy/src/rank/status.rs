//! This module tells operators what ranks are decided by.

use filbertstack_core::Millis;

use super::Rank;
use super::RankState;
use super::Ranks;

/// The number of milliseconds in a second, as rates are kept per millisecond.
const MILLIS_PER_S: f64 = 1_000.0;

/// The requests of one rank at one entry.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RankRate {
    /// The requests that arrive, in requests per second.
    pub asked: f64,
    /// The requests for which a target is chosen, in requests per second. One that is sent again counts again.
    pub admitted: f64,
}

impl Ranks {
    /// Returns the rates of a rank of `service`. Both are 0 if no request of the rank is known.
    pub fn rate(&self, now: Millis, service: &str, rank: Rank) -> RankRate {
        let contest = self.services.get(service);
        let state = contest.and_then(|contest| contest.ranks.get(&rank));
        state.map_or(RankRate::default(), |state| state.rate(now))
    }

    /// Returns whether fewer requests of `service` are served lately than asked for.
    pub fn is_short(&self, now: Millis, service: &str) -> bool {
        let contest = self.services.get(service);
        contest.is_some_and(|contest| contest.groups.is_short(now))
    }
}

impl RankState {
    fn rate(&self, now: Millis) -> RankRate {
        let asked = [self.returning, self.new, self.excess];
        let asked: f64 = asked.iter().map(|rate| rate.per_ms(now)).sum();
        RankRate {
            asked: asked * MILLIS_PER_S,
            admitted: self.admitted.per_ms(now) * MILLIS_PER_S,
        }
    }
}
