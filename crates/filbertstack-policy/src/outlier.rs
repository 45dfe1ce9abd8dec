//! This module ejects targets that fail or are slow, so that they get no work for a while.
//!
//! *Load pattern*: one target among many is slow or fails. Without ejection, each request that goes
//! there misses its deadline, and as the target answers late, its own signals are late too. An ejected
//! target returns after one successful probe, so that one or two callers are affected by the test and
//! not all.

use filbertstack_core::Millis;

/// The number of consecutive failures that eject a target. One or two are common when a process
/// restarts.
const FAILURES_TO_EJECT: u32 = 3;

/// The shortest ejection: about three times the longest answer of an engine to short requests, so that
/// the probe finds the target in another state than the one for which it was ejected.
const FIRST_EJECTION: Millis = Millis::secs(10);

/// The ejection of a target without a link: about the time in which a process restarts. If the target
/// has ended for good, gossip reports it within seconds.
const LOST_EJECTION: Millis = Millis::secs(2);

/// The longest ejection. Without this limit to the doubling, a target that recovers after hours would
/// stay ejected.
const MAX_EJECTION: Millis = Millis::secs(160);

/// The maximum share of a group's targets that may be ejected. If more of them look bad, the likely
/// cause is the load or the entry itself, and sending all requests to the remaining few would overload
/// those too.
pub const MAX_EJECTED_SHARE: f64 = 0.5;

/// The state that decides whether a target gets work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// The target gets work.
    #[default]
    Healthy,
    /// The target gets no work until the given time, and one probe after that.
    Ejected {
        /// The end of the ejection.
        until: Millis,
    },
    /// One probe is in progress.
    Probing,
}

/// One target's record of failures and ejections.
#[derive(Clone, Debug, Default)]
pub struct Outlier {
    health: Health,
    failures: u32,
    ejections: u32,
}

impl Outlier {
    /// Returns the state that decides whether the target gets work.
    pub fn health(&self) -> Health {
        self.health
    }

    /// Returns whether the target is ejected or awaiting its probe's answer.
    pub fn is_ejected(&self) -> bool {
        self.health != Health::Healthy
    }

    /// Returns whether a probe is due.
    pub fn probe_due(&self, now: Millis) -> bool {
        matches!(self.health, Health::Ejected { until } if until <= now)
    }

    /// Counts a failure. Returns `true` if the target should be ejected for it.
    pub fn record_failure(&mut self) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.failures >= FAILURES_TO_EJECT
    }

    /// Counts a good answer.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Ejects the target for twice as long as the last time.
    pub fn eject(&mut self, now: Millis) {
        let span = FIRST_EJECTION.0 << self.ejections.min(8);
        let until = now + Millis(span.min(MAX_EJECTION.0));
        self.ejections = self.ejections.saturating_add(1);
        self.health = Health::Ejected { until };
    }

    /// Ejects the target because it has no link.
    pub fn eject_lost(&mut self, now: Millis) {
        self.health = Health::Ejected {
            until: now + LOST_EJECTION,
        };
    }

    /// Records that a probe was sent.
    pub fn start_probe(&mut self) {
        self.health = Health::Probing;
    }

    /// Records that the probe ended without a result. The next one may be sent at once.
    pub fn cancel_probe(&mut self, now: Millis) {
        self.health = Health::Ejected { until: now };
    }

    /// Readmits the target after a successful probe. The number of ejections is kept for the next
    /// ejection.
    pub fn readmit(&mut self) {
        self.health = Health::Healthy;
        self.failures = 0;
    }
}
