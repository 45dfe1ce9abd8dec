//! The exchange of the demand by rank between this entry and the voters.

use std::rc::Rc;
use std::time::Duration;

use filbertstack_core::Millis;
use filbertstack_policy::rank::demand::MAX_AGE;
use spdlog::info;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

use crate::control::demand::TotalDemand;
use crate::control::node::Node;
use crate::request::Requests;

/// How often an entry tells its demand, and a voter the sums: a quarter of the time constant of the rates, in which
/// they change by a fifth at most.
const TELL_INTERVAL: Duration = Duration::from_millis(500);

/// What is known of the demand at all entries.
#[derive(Default)]
struct Known {
    at: Millis,
    /// The number of entries; 0 if the demand is unknown.
    entries: u32,
}

impl Known {
    fn update(&mut self, now: Millis, total: Option<&TotalDemand>) {
        let before = self.entries;
        if let Some(total) = total {
            self.at = total.at;
            self.entries = total.demand.entries;
        }
        if now.since(self.at) >= MAX_AGE {
            self.entries = 0;
        }
        match (before, self.entries) {
            (0, 1..) => {
                info!("demand of all entries known", kv: { entries = self.entries });
            }
            (1.., 0) => info!("demand of all entries unknown: own rates are used"),
            _ => {}
        }
    }
}

/// Tells the voters the demand at this entry and takes over that at all entries, until the process ends.
pub async fn share_demand(node: Rc<Node>, requests: Rc<Requests>) {
    let mut known = Known::default();
    let mut ticks = interval(TELL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => node.tell_demand(requests.demand()),
            () = node.demand.arrived() => {}
        }
        let total = node.demand.take_total();
        if let Some(total) = &total {
            requests.targets().set_total_demand(total);
        }
        known.update(node.clock.now(), total.as_ref());
        requests.record_demand_entries(known.entries);
    }
}
