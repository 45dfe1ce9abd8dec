//! How much of the budget of repeated sends, which all entries share, one entry may use.
//!
//! *Load pattern*: an engine fails and everything in flight there fails at once, at every entry.
//! If each entry repeated freely, the repeats of all would overload the engines left. The budget
//! counts repeats against requests over a window and over all entries, which do not talk to each
//! other about it: each takes a share of the fixed part, and of the rest what its own requests
//! earn, so that the sum can't pass the whole.

use std::collections::BTreeMap;
use std::sync::Arc;

/// The part of the ratio and of the fixed allowance that is used. The rest covers requests that
/// callers count in another window than we do, and entries that have not heard of each other.
const USED: f64 = 0.6;

/// The budget of all entries together, for each service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// RepeatBudget for each request.
    pub ratio: f64,
    /// RepeatBudget in a window beside those. It is used once: what is spent of it is earned back by
    /// requests alone, so that no window sees it twice.
    pub fixed: f64,
}

/// One entry's budget.
#[derive(Clone, Debug)]
pub struct RepeatBudget {
    allowance: Allowance,
    entries: f64,
    saved: BTreeMap<Arc<str>, f64>,
}

impl RepeatBudget {
    /// A full budget for one of `entries` entries.
    pub fn new(allowance: Allowance, entries: u32) -> Self {
        Self {
            allowance,
            entries: f64::from(entries.max(1)),
            saved: BTreeMap::new(),
        }
    }

    /// Learns how many entries share the budget.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = f64::from(entries.max(1));
    }

    fn most(&self) -> f64 {
        (self.allowance.fixed * USED / self.entries).max(1.0)
    }

    /// Counts a caller's request for `service`.
    pub fn earn(&mut self, service: &Arc<str>) {
        let most = self.most();
        let saved = self.saved.entry(service.clone()).or_insert(most);
        *saved = (*saved + self.allowance.ratio * USED).min(most);
    }

    /// Whether a repeat for `service` is left.
    pub fn may_spend(&self, service: &Arc<str>) -> bool {
        let saved = self.saved.get(service).copied();
        saved.unwrap_or(self.most()) >= 1.0
    }

    /// Takes one repeat for `service`; false if there is none left.
    pub fn spend(&mut self, service: &Arc<str>) -> bool {
        let most = self.most();
        let saved = self.saved.entry(service.clone()).or_insert(most);
        if *saved < 1.0 {
            return false;
        }
        *saved -= 1.0;
        true
    }
}
