//! The limits that targets name for all entries together, on one node.

use std::cell::RefCell;

use filbertstack_core::Millis;
use filbertstack_policy::dispatch::TargetId;
use filbertstack_policy::quota::LimitReport;
use filbertstack_policy::quota::Limits;
use spdlog::info;
use tokio::sync::watch;

use crate::control::node::Node;
use crate::link::messages::Interest;
use crate::link::messages::LimitRow;
use crate::link::messages::Limits as LimitsMessage;
use crate::link::messages::Notification;

/// The limits on one node, and who is notified of their changes.
pub struct TargetLimits {
    limits: RefCell<Limits>,
    changes: watch::Sender<u64>,
}

impl Default for TargetLimits {
    fn default() -> Self {
        Self {
            limits: RefCell::default(),
            changes: watch::channel(0).0,
        }
    }
}

impl TargetLimits {
    /// Returns a receiver that is notified when a limit changes.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns the requests a second that a target takes from all entries together.
    pub fn limit(&self, target: &str) -> Option<f64> {
        self.limits.borrow().limit(target)
    }

    fn notify(&self) {
        self.changes.send_modify(|count| *count += 1);
    }
}

impl Node {
    /// Records the limit that a target names in an answer, or that it names none. The request was sent at
    /// `sent_at`.
    pub fn record_limit(&self, target: &TargetId, per_s: Option<f64>, sent_at: Millis) {
        let mut limits = self.limits.limits.borrow_mut();
        if !limits.observe(self.clock.now(), target, per_s, sent_at) {
            return;
        }
        info!("target changed its limit", kv: {
            target = target.to_string(), requests_per_s = per_s.unwrap_or(-1.0)
        });
        self.limits.notify();
    }

    /// Merges the limits that another process knows.
    pub fn merge_limits(&self, message: &LimitsMessage) {
        let now = self.clock.now();
        let mut limits = self.limits.limits.borrow_mut();
        let mut changed = false;
        for report in message.rows.iter().map(decode) {
            changed |= limits.merge(now, &report);
        }
        if changed {
            self.limits.notify();
        }
    }

    /// Drops the limits of targets that have left.
    pub fn update_limits(&self) {
        let mut limits = self.limits.limits.borrow_mut();
        if !limits.is_empty() {
            limits.retain(|target| self.registry.find(target).is_some());
        }
    }

    /// Returns the changes since `since` for a peer with this interest; `None` if there are none.
    pub fn limits_since(&self, since: Millis, interest: Interest) -> Option<Notification> {
        if interest == Interest::Weights {
            return None;
        }
        let reports = self.limits.limits.borrow().reports_since(since);
        let rows = reports.iter().map(encode).collect();
        (!reports.is_empty()).then_some(Notification::Limits(LimitsMessage { rows }))
    }
}

fn encode(report: &LimitReport) -> LimitRow {
    LimitRow {
        target: report.target.to_string(),
        per_s: report.per_s,
        version: report.version,
    }
}

fn decode(row: &LimitRow) -> LimitReport {
    LimitReport {
        target: row.target.as_str().into(),
        per_s: row.per_s,
        version: row.version,
    }
}
