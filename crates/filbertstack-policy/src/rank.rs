//! This module decides which requests yield to which under a shortage of engines.
//!
//! *Load pattern*: demand is 1.3 to 2.5 times what the engines serve, and the requests differ in urgency. If each
//! request is admitted by its own goal alone, those with the longest goal fill the engines' queues to a depth that
//! no urgent request accepts: the most urgent ones are refused and the least urgent ones served. With strict
//! priorities a flood of urgent requests would starve all others for as long as it lasts.
//!
//! Each request has a [`Rank`] among those of its service. A request may use an engine only
//!
//! - as deep as the shortest goal of the higher ranks allows, so that its queue does not keep them out;
//! - if room is left for the requests of higher ranks that are expected there before the next load report. Their
//!   rate is the mean of [all entries](demand). An entry that does not know it takes that of its own requests, and
//!   assumes that other entries receive as many.
//!
//! Below saturation some engine always has that room, and ranks change nothing. A group of requests (one priority
//! of routes, the large requests among them, one organisation) that is served less than half as often as all
//! together is admitted without leaving room, so that none starves. An organisation that has received its even part
//! of what is served counts as one rank lower with what it asks for beyond.
//!
//! Decisions depend only on the time and the requests passed in. They use no clock, network or thread.

pub mod demand;
mod groups;
mod order;
mod status;

use std::collections::BTreeMap;
use std::sync::Arc;

use filbertstack_core::Millis;

use self::demand::Demand;
use self::demand::KnownDemand;
use self::demand::MeanRates;
use self::demand::RankDemand;
use self::demand::RankRates;
use self::groups::Groups;
pub use self::order::RankOrders;
pub use self::status::RankRate;
use crate::rate::Rate;
use crate::units::millis;
use crate::units::millis_f64;

/// The span from a request to the load report that includes it: the interval between two reports and the age of a
/// report when it arrives. No entry sees what the others send within it.
const REPORT_WINDOW_MS: f64 = 170.0;

/// The expected number of requests below which no room is kept for them: five times in six none of them arrives.
const RARE: f64 = 0.17;

/// The number of standard deviations of the expected requests for which room is kept. Two of them cover 97 in 100
/// spans between two reports; with one, an urgent request in six would find its room taken.
const DEVIATIONS: f64 = 2.0;

/// The rate of requests per millisecond, at all entries as far as it is known, below which a rank does not limit the
/// depth of lower ones: one in ten seconds.
const QUIET_PER_MS: f64 = 0.0001;

/// The shortest time after which a refused caller may retry, in milliseconds: a place at an engine becomes free
/// within it.
const MIN_RETRY_MS: f64 = 60.0;

/// The place of a request among all priorities of its service. 0 is the highest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank(pub u8);

/// A request that competes with others for the engines of its service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Contender {
    /// Its rank.
    pub rank: Rank,
    /// The priority of its route.
    pub route: u8,
    /// The priority of its organisation, or of its route if the organisation has none.
    pub tier: u8,
    /// Its organisation.
    pub organisation: Option<Arc<str>>,
    /// Whether its prompt is much longer than the mean prompt of its service.
    pub large: bool,
    /// Whether its caller was refused before, as far as its time limit shows.
    pub returns: bool,
    /// The longest delay that its caller accepts before a retry.
    pub patience: Millis,
}

/// The depth to which a request may use the engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// The goal that the prediction for it must meet.
    pub goal: Millis,
    /// The rate of requests that go before it at one entry, in requests per millisecond.
    ahead: f64,
    /// The rate of requests that share the engines with it at one entry, in requests per millisecond.
    pub demand: f64,
}

impl Claim {
    /// Returns the number of requests for which room must be left at an engine that is shared by `entries` entries
    /// for each engine. The number of arrivals varies by its square root.
    pub fn reserve(&self, entries: f64) -> f64 {
        let expected = self.ahead * entries * REPORT_WINDOW_MS;
        if expected < RARE {
            0.0
        } else {
            expected + DEVIATIONS * expected.sqrt()
        }
    }
}

/// What one entry knows of the requests of all ranks.
#[derive(Clone, Debug, Default)]
pub struct Ranks {
    services: BTreeMap<Arc<str>, Contest>,
    /// The demand at all entries.
    known: KnownDemand,
}

/// The ranks of one service.
#[derive(Clone, Debug, Default)]
struct Contest {
    ranks: BTreeMap<Rank, RankState>,
    groups: Groups,
}

#[derive(Clone, Copy, Debug, Default)]
struct RankState {
    /// The requests of callers that were refused before.
    returning: Rate,
    /// The other requests of organisations within their even part.
    new: Rate,
    /// The other requests of organisations beyond it.
    excess: Rate,
    admitted: Rate,
    /// The goal of the latest request.
    goal: Millis,
    /// The time to which retries of refused callers are spread.
    booked: Millis,
}

impl RankState {
    fn rates(&self, now: Millis) -> RankRates {
        RankRates {
            returning: self.returning.per_ms(now),
            new: self.new.per_ms(now),
            excess: self.excess.per_ms(now),
        }
    }
}

impl Ranks {
    /// Drops what is known of services that are not in use.
    pub fn retain(&mut self, is_used: impl Fn(&str) -> bool) {
        self.services.retain(|service, _| is_used(service));
    }

    /// Returns the demand at this entry.
    pub fn demand(&self, now: Millis) -> Demand {
        let ranks = self.services.iter().flat_map(|(service, contest)| {
            contest.ranks.iter().map(|(rank, state)| RankDemand {
                service: service.clone(),
                rank: *rank,
                rates: state.rates(now),
            })
        });
        Demand {
            entries: 1,
            ranks: ranks.filter(|row| row.rates.all() > 0.0).collect(),
        }
    }

    /// Takes over the demand at all entries, which became known at `at`. It is used until it is older than
    /// [`demand::MAX_AGE`].
    pub fn set_total(&mut self, at: Millis, total: &Demand) {
        self.known = KnownDemand::new(at, total);
    }

    /// Counts a request that arrives. It is counted once, however often a target is chosen for it.
    pub fn count_request(
        &mut self,
        now: Millis,
        service: &Arc<str>,
        contender: &Contender,
        goal: Millis,
    ) {
        let contest = self.services.entry(service.clone()).or_default();
        let is_excess = contest.groups.is_excess(now, contender);
        let state = contest.ranks.entry(contender.rank).or_default();
        match (contender.returns, is_excess) {
            (_, true) => state.excess.count(now),
            (true, false) => state.returning.count(now),
            (false, false) => state.new.count(now),
        }
        state.goal = goal;
        contest.groups.count_asked(now, contender);
    }

    /// Counts a request for which a target was chosen.
    pub fn count_admitted(&mut self, now: Millis, service: &str, contender: &Contender) {
        let Some(contest) = self.services.get_mut(service) else {
            return;
        };
        let state = contest.ranks.entry(contender.rank).or_default();
        state.admitted.count(now);
        contest.groups.count_admitted(now, contender);
    }

    /// Returns how deep a request may use the engines of its service.
    pub fn claim(&self, now: Millis, service: &str, contender: &Contender, goal: Millis) -> Claim {
        let Some(contest) = self.services.get(service) else {
            return Claim {
                goal,
                ahead: 0.0,
                demand: 0.0,
            };
        };
        let known = self.known.fresh(now);
        let means = known.and_then(|known| known.means(service));
        let entries = known.map_or(1.0, KnownDemand::entries);
        contest.claim(now, contender, goal, (means, entries))
    }

    /// Returns the delay after which a refused caller may retry, and books it. Callers of one rank return at the
    /// rate at which that rank was admitted lately, or within their patience if that takes longer. `draw` is a random
    /// number from 0 to 1.
    pub fn book_retry(
        &mut self,
        now: Millis,
        service: &str,
        contender: &Contender,
        draw: f64,
    ) -> Option<Millis> {
        let contest = self.services.get_mut(service)?;
        let state = contest.ranks.get_mut(&contender.rank)?;
        let interval = 1.0 / state.admitted.per_ms(now).max(f64::MIN_POSITIVE);
        let booked = millis_f64(state.booked.since(now)) + interval.min(1e6);
        let patience = millis_f64(contender.patience);
        // Callers who were refused at the same moment must not all return at the same moment.
        let delay = if booked <= patience {
            state.booked = now + millis(booked / 1_000.0);
            booked * (0.6 + 0.8 * draw)
        } else {
            patience * (0.5 + 0.5 * draw)
        };
        Some(millis(delay.max(MIN_RETRY_MS) / 1_000.0))
    }
}

impl Contest {
    /// Returns how deep a request may use the engines. `means` are the mean rates of all entries, if they are known,
    /// and `entries` is the number of entries that they stand for.
    fn claim(
        &self,
        now: Millis,
        contender: &Contender,
        goal: Millis,
        (means, entries): (Option<&MeanRates>, f64),
    ) -> Claim {
        let is_excess = self.groups.is_excess(now, contender);
        let is_starved = self.groups.is_starved(now, contender);
        let mut claim = Claim {
            goal,
            ahead: 0.0,
            demand: 0.0,
        };
        for (rank, rates) in self.rates(now, contender.rank, means) {
            let (within, all) = (rates.within(), rates.all());
            if rank < contender.rank {
                claim.demand += all;
                claim.ahead += all;
                let state = self.ranks.get(&rank);
                if let Some(state) = state.filter(|_| all * entries >= QUIET_PER_MS) {
                    claim.goal = claim.goal.min(state.goal);
                }
            } else if is_excess {
                claim.demand += all;
                claim.ahead += within;
            } else {
                claim.demand += within;
                let returning = rates.returning;
                claim.ahead += if contender.returns { 0.0 } else { returning };
            }
        }
        if is_starved && !is_excess {
            claim.ahead = 0.0;
        }
        claim
    }

    /// Returns the rates of the ranks up to `last`. Those of this entry stand for ranks that `means` does not
    /// contain: their first requests have just arrived.
    fn rates(&self, now: Millis, last: Rank, means: Option<&MeanRates>) -> MeanRates {
        let own = self.ranks.range(..=last);
        let mut rates: MeanRates = own.map(|(r, state)| (*r, state.rates(now))).collect();
        let means = means.into_iter().flat_map(|means| means.range(..=last));
        rates.extend(means.map(|(rank, mean)| (*rank, *mean)));
        rates
    }
}
