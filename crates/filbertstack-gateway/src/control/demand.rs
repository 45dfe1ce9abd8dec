//! The demand by rank at all entries, on one node.
//!
//! An entry tells the voter that it follows what arrives at it. Each voter tells the other voters the sum for the
//! entries that report to it, and its followers the total. Nothing is sent while no service has ranks.

use std::cell::RefCell;
use std::sync::Arc;

use filbertstack_core::Millis;
use filbertstack_policy::rank::Rank;
use filbertstack_policy::rank::demand::Demand;
use filbertstack_policy::rank::demand::DemandReports;
use filbertstack_policy::rank::demand::RankDemand;
use filbertstack_policy::rank::demand::RankRates;
use tokio::sync::Notify;

use crate::control::node::Node;
use crate::link::messages::Demand as DemandMessage;
use crate::link::messages::Interest;
use crate::link::messages::Notification;
use crate::link::messages::RankDemand as RankRow;
use crate::link::messages::ServiceDemand;

/// The unit of rates in messages: one request per 1,000 s, in requests per millisecond. With it the rate of an entry
/// takes two or three bytes, and the highest one of all entries fits in 32 bits.
const PER_MS: f64 = 1e-6;

/// The demand at all entries, and the time since which this node knows it.
#[derive(Clone, Debug)]
pub struct TotalDemand {
    /// The time since which it is known.
    pub at: Millis,
    /// The demand.
    pub demand: Demand,
}

/// The demand on one node.
#[derive(Debug, Default)]
pub struct SharedDemand {
    /// The reports that reached the voter in this process.
    reports: RefCell<DemandReports>,
    /// The latest total that this process has not taken out yet.
    total: RefCell<Option<TotalDemand>>,
    arrivals: Notify,
}

impl SharedDemand {
    /// Waits until a total has arrived that this process has not taken out.
    pub async fn arrived(&self) {
        self.arrivals.notified().await;
    }

    /// Takes out the latest total, if one has arrived since the last call.
    pub fn take_total(&self) -> Option<TotalDemand> {
        self.total.take()
    }

    fn set_total(&self, at: Millis, demand: Demand) {
        *self.total.borrow_mut() = Some(TotalDemand { at, demand });
        self.arrivals.notify_one();
    }
}

impl Node {
    /// Takes over the demand at an entry that follows the voter in this process.
    pub fn merge_entry_demand(&self, message: &DemandMessage) {
        let (now, name) = (self.clock.now(), message.name.as_str().into());
        let mut reports = self.demand.reports.borrow_mut();
        reports.record_entry(now, &name, decode(message));
    }

    /// Takes over the demand at the entries that report to another voter.
    pub fn merge_voter_demand(&self, message: &DemandMessage) {
        let (now, name) = (self.clock.now(), message.name.as_str().into());
        let mut reports = self.demand.reports.borrow_mut();
        reports.record_voter(now, &name, decode(message));
    }

    /// Takes over the demand at all entries from the followed voter.
    pub fn set_total_demand(&self, message: &DemandMessage) {
        self.demand.set_total(self.clock.now(), decode(message));
    }

    /// Tells others the demand at this entry, which is `None` if no service has ranks, and what it is part of.
    pub fn tell_demand(&self, own: Option<Demand>) {
        let name = &self.settings.node.name;
        if self.voter.is_some() {
            self.tell_sums(name, own);
        } else if let (Some(own), Some(voter)) = (own, self.followed()) {
            self.dialer.tell(voter, encode(name, &own));
        }
    }

    /// Tells the other voters the demand at the entries that report to this one, and the followers that at all.
    fn tell_sums(&self, name: &str, own: Option<Demand>) {
        let now = self.clock.now();
        let mut reports = self.demand.reports.borrow_mut();
        if let Some(own) = own {
            reports.record_entry(now, &name.into(), own);
        }
        let (sum, total) = (reports.sum(now), reports.total(now));
        if total.entries == 0 {
            return;
        }
        // A sum without entries ends the earlier one at the other voters.
        let (for_voters, for_entries) = (encode(name, &sum), encode("", &total));
        self.registry.notify(|interest| match interest {
            Interest::Registered => Some(for_voters.clone()),
            Interest::All => Some(for_entries.clone()),
            Interest::Weights => None,
        });
        self.demand.set_total(now, total);
    }
}

fn encode(name: &str, demand: &Demand) -> Notification {
    let mut services: Vec<ServiceDemand> = Vec::new();
    for row in &demand.ranks {
        let place = services.iter().position(|s| *s.service == *row.service);
        let place = place.unwrap_or_else(|| {
            services.push(ServiceDemand {
                service: row.service.to_string(),
                ranks: Vec::new(),
            });
            services.len() - 1
        });
        services[place].ranks.push(RankRow {
            rank: row.rank.0.into(),
            returning: pack(row.rates.returning),
            new: pack(row.rates.new),
            excess: pack(row.rates.excess),
        });
    }
    Notification::Demand(DemandMessage {
        name: name.into(),
        entries: demand.entries,
        services,
    })
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates"
)]
fn pack(per_ms: f64) -> u32 {
    (per_ms / PER_MS).round() as u32
}

/// Decodes a message. Ranks that are out of range, as a later release may have, are left out.
fn decode(message: &DemandMessage) -> Demand {
    let mut ranks = Vec::new();
    for service in &message.services {
        let name: Arc<str> = service.service.as_str().into();
        let rows = service.ranks.iter().filter_map(|row| {
            Some(RankDemand {
                service: name.clone(),
                rank: Rank(u8::try_from(row.rank).ok()?),
                rates: RankRates {
                    returning: f64::from(row.returning) * PER_MS,
                    new: f64::from(row.new) * PER_MS,
                    excess: f64::from(row.excess) * PER_MS,
                },
            })
        });
        ranks.extend(rows);
    }
    Demand {
        entries: message.entries,
        ranks,
    }
}
