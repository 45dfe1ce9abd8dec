//! This module limits how much of the budget of repeated sends, which all entries share, one entry may
//! use.
//!
//! *Load pattern*: an engine fails, and everything in flight there fails at once, at every entry. If
//! each entry repeated freely, the repeats together would overload the remaining engines. The budget
//! counts repeats against requests over a window and over all entries, which do not coordinate. Each
//! entry takes its share of the fixed part and the part that its own requests earn, so that the sum
//! cannot exceed the whole budget.

use std::collections::BTreeMap;
use std::sync::Arc;

/// The part of the ratio and of the fixed allowance that is used. The rest covers requests that callers
/// count in another window than the entries do, and entries that do not know of each other yet.
const USED_SHARE: f64 = 0.6;

/// The budget of all entries together, for each service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// The number of repeats for each request.
    pub ratio: f64,
    /// The number of further repeats in a window. Once spent, they are earned back by requests alone,
    /// so that no window contains them twice.
    pub fixed: f64,
}

/// One entry's part of the budget.
#[derive(Clone, Debug)]
pub struct RepeatBudget {
    allowance: Allowance,
    entries: f64,
    saved: BTreeMap<Arc<str>, f64>,
}

impl RepeatBudget {
    /// Returns a full budget for one of `entries` entries.
    pub fn new(allowance: Allowance, entries: u32) -> Self {
        Self {
            allowance,
            entries: f64::from(entries.max(1)),
            saved: BTreeMap::new(),
        }
    }

    /// Sets the number of entries that share the budget.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = f64::from(entries.max(1));
    }

    fn max_saved(&self) -> f64 {
        (self.allowance.fixed * USED_SHARE / self.entries).max(1.0)
    }

    /// Counts a caller's request for `service`, which adds to the budget.
    pub fn earn(&mut self, service: &Arc<str>) {
        let max_saved = self.max_saved();
        let saved = self.saved.entry(service.clone()).or_insert(max_saved);
        *saved = (*saved + self.allowance.ratio * USED_SHARE).min(max_saved);
    }

    /// Returns whether a repeat for `service` is left.
    pub fn may_spend(&self, service: &Arc<str>) -> bool {
        let saved = self.saved.get(service).copied();
        saved.unwrap_or(self.max_saved()) >= 1.0
    }

    /// Takes one repeat for `service`. Returns `false` if none is left.
    pub fn spend(&mut self, service: &Arc<str>) -> bool {
        let max_saved = self.max_saved();
        let saved = self.saved.entry(service.clone()).or_insert(max_saved);
        if *saved < 1.0 {
            return false;
        }
        *saved -= 1.0;
        true
    }
}
