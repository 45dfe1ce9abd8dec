//! This module adds up the demand by rank that all entries observe.
//!
//! *Load pattern*: hundreds of entries share the engines, and each of them sees one urgent request every few
//! seconds. Its own rate of them is mostly noise: an entry that has just seen one leaves far too much room, and the
//! others leave none. The mean rate of all entries is steady, as it counts hundreds of requests.
//!
//! Each entry reports its rates to one voter. A voter adds up the latest reports of its own entry and its followers,
//! tells the other voters this sum, and adds the sums of the others to its own for the total. A sum contains no
//! sum of another voter, so that no entry is counted twice. An entry that changes its voter is counted by both until
//! its last report to the former one is dropped.
//!
//! Decisions depend only on the time and the reports passed in. They use no clock, network or thread.

use std::collections::BTreeMap;
use std::sync::Arc;

use filbertstack_core::Millis;

use super::Rank;

/// The age from which a report or a total is no longer used: four reports in a row are missing then.
pub const MAX_AGE: Millis = Millis(2_000);

/// The highest plausible rate of one entry, in requests per millisecond: more than all entries receive together at
/// the size that decides. A higher one is a fault of its sender, and would keep all room free.
const MAX_PER_MS: f64 = 1.0;

/// The most entries, senders and rates that are kept, so that no sender can fill the memory: ten times the entries
/// of the largest deployment, and some more rates than its services have ranks.
const MAX_ENTRIES: u32 = 4_096;
const MAX_SENDERS: usize = 4_096;
const MAX_RATES: usize = 1_024;

/// The rates of the requests of one rank, in requests per millisecond.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RankRates {
    /// The requests of callers that were refused before.
    pub returning: f64,
    /// The other requests of organisations within their even part.
    pub new: f64,
    /// The requests of organisations beyond it.
    pub excess: f64,
}

impl RankRates {
    /// Returns the rate of the requests of organisations within their even part.
    pub(super) fn within(&self) -> f64 {
        self.returning + self.new
    }

    /// Returns the rate of all requests.
    pub(super) fn all(&self) -> f64 {
        self.within() + self.excess
    }

    fn is_plausible(&self, entries: u32) -> bool {
        let limits = 0.0..=MAX_PER_MS * f64::from(entries);
        // A value that is not a number is in no range.
        let rates = [self.returning, self.new, self.excess];
        rates.iter().all(|rate| limits.contains(rate))
    }

    fn add(&mut self, other: &Self) {
        self.returning += other.returning;
        self.new += other.new;
        self.excess += other.excess;
    }

    fn divide(&self, entries: f64) -> Self {
        Self {
            returning: self.returning / entries,
            new: self.new / entries,
            excess: self.excess / entries,
        }
    }
}

/// The rates of the requests of one rank of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct RankDemand {
    /// The service.
    pub service: Arc<str>,
    /// The rank.
    pub rank: Rank,
    /// The rates.
    pub rates: RankRates,
}

/// The demand at some entries together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demand {
    /// The number of entries.
    pub entries: u32,
    /// The rates of each service and rank that has requests.
    pub ranks: Vec<RankDemand>,
}

impl Demand {
    fn is_plausible(&self) -> bool {
        (1..=MAX_ENTRIES).contains(&self.entries)
    }
}

/// The rates of the ranks of one service.
pub(super) type MeanRates = BTreeMap<Rank, RankRates>;

/// The rates of the ranks of all services.
type Sums = BTreeMap<Arc<str>, MeanRates>;

/// The latest reports of some senders, each with the time of its arrival.
#[derive(Clone, Debug, Default)]
struct Reports {
    senders: BTreeMap<Arc<str>, (Millis, Demand)>,
}

impl Reports {
    /// Takes over a report in place of the sender's earlier one. One whose number of entries is 0 or implausible only
    /// ends the earlier one.
    fn record(&mut self, now: Millis, sender: &Arc<str>, mut demand: Demand) {
        demand.ranks.truncate(MAX_RATES);
        self.senders.retain(|_, (at, _)| is_fresh(now, *at));
        self.senders.remove(sender);
        if self.senders.len() < MAX_SENDERS && demand.is_plausible() {
            self.senders.insert(sender.clone(), (now, demand));
        }
    }

    fn fresh(&self, now: Millis) -> impl Iterator<Item = &Demand> {
        let senders = self.senders.values();
        let fresh = senders.filter(move |(at, _)| is_fresh(now, *at));
        fresh.map(|(_, demand)| demand)
    }
}

/// What one voter knows of the demand.
#[derive(Clone, Debug, Default)]
pub struct DemandReports {
    entries: Reports,
    voters: Reports,
}

impl DemandReports {
    /// Takes over the report of an entry: the voter's own, or one that follows it.
    pub fn record_entry(&mut self, now: Millis, name: &Arc<str>, demand: Demand) {
        let demand = Demand {
            entries: 1,
            ..demand
        };
        self.entries.record(now, name, demand);
    }

    /// Takes over the [sum](Self::sum) of another voter.
    pub fn record_voter(&mut self, now: Millis, name: &Arc<str>, demand: Demand) {
        self.voters.record(now, name, demand);
    }

    /// Returns the demand at the entries that report to this voter.
    pub fn sum(&self, now: Millis) -> Demand {
        add_up(self.entries.fresh(now))
    }

    /// Returns the demand at all entries.
    pub fn total(&self, now: Millis) -> Demand {
        add_up(self.entries.fresh(now).chain(self.voters.fresh(now)))
    }
}

/// The demand at all entries, as one entry knows it.
#[derive(Clone, Debug, Default)]
pub(super) struct KnownDemand {
    at: Millis,
    entries: f64,
    /// The mean rates per entry.
    means: Sums,
}

impl KnownDemand {
    pub(super) fn new(at: Millis, total: &Demand) -> Self {
        if !total.is_plausible() {
            return Self::default();
        }
        let entries = f64::from(total.entries);
        let mut means = sums([total]);
        let rates = means.values_mut().flat_map(BTreeMap::values_mut);
        rates.for_each(|rates| *rates = rates.divide(entries));
        Self { at, entries, means }
    }

    /// Returns the demand if it is known and recent enough to be used.
    pub(super) fn fresh(&self, now: Millis) -> Option<&Self> {
        (self.entries > 0.0 && is_fresh(now, self.at)).then_some(self)
    }

    /// Returns the number of entries.
    pub(super) fn entries(&self) -> f64 {
        self.entries
    }

    /// Returns the mean rates per entry of the ranks of a service.
    pub(super) fn means(&self, service: &str) -> Option<&MeanRates> {
        self.means.get(service)
    }
}

fn is_fresh(now: Millis, at: Millis) -> bool {
    now.since(at) < MAX_AGE
}

fn add_up<'a>(demands: impl Iterator<Item = &'a Demand>) -> Demand {
    let demands: Vec<&Demand> = demands.collect();
    let entries = demands.iter().map(|demand| demand.entries).sum();
    let ranks = sums(demands).into_iter().flat_map(|(service, ranks)| {
        ranks.into_iter().map(move |(rank, rates)| RankDemand {
            service: service.clone(),
            rank,
            rates,
        })
    });
    Demand {
        entries,
        ranks: ranks.collect(),
    }
}

/// Adds up the plausible rates.
fn sums<'a>(demands: impl IntoIterator<Item = &'a Demand>) -> Sums {
    let mut sums = Sums::new();
    for demand in demands {
        for row in &demand.ranks {
            if row.rates.is_plausible(demand.entries) {
                let ranks = sums.entry(row.service.clone()).or_default();
                ranks.entry(row.rank).or_default().add(&row.rates);
            }
        }
    }
    sums
}
