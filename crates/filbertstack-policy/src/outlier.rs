//! Which targets get no work for a while.
//!
//! *Load pattern*: one target among many is slow or fails. Without ejection each request that
//! lands there misses its deadline, and as the target answers late its own signals come late. An
//! ejected target returns by one probe, so that a caller or two pay for the test and not all.

use filbertstack_core::Millis;

/// Failures in a row that eject: one or two are a restarting process's usual loss.
const FAILURES: u32 = 3;

/// The shortest ejection: about three times the longest answer that an engine gives to short
/// requests, so that the probe meets another state than the one ejected.
const FIRST_SPAN: Millis = Millis::secs(10);

/// The ejection of a target without a link: about the time of a process's restart. Gossip brings
/// the news of a real end within seconds.
const LOST_SPAN: Millis = Millis::secs(2);

/// The longest ejection. Doubling stops here, or a target mended after hours would stay out.
const LONGEST_SPAN: Millis = Millis::secs(160);

/// At most this share of a group's targets is out: if more look bad, the cause is likely the load
/// or the entry itself, and sending everything to the few left would fell those too.
pub const MAX_EJECTED_SHARE: f64 = 0.5;

/// Whether a target gets work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// It gets work.
    #[default]
    Healthy,
    /// It gets none until then, and one probe after that.
    Ejected {
        /// The end of the ejection.
        until: Millis,
    },
    /// One probe is on its way.
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
    /// Whether the target gets work.
    pub fn health(&self) -> Health {
        self.health
    }

    /// Whether the target is out: ejected or awaiting its probe's answer.
    pub fn is_ejected(&self) -> bool {
        self.health != Health::Healthy
    }

    /// Whether a probe is due.
    pub fn probe_due(&self, now: Millis) -> bool {
        matches!(self.health, Health::Ejected { until } if until <= now)
    }

    /// Counts a failure; `true` if the target should be ejected for it.
    pub fn record_failure(&mut self) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.failures >= FAILURES
    }

    /// Counts a good answer.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Ejects the target, for twice as long as the last time.
    pub fn eject(&mut self, now: Millis) {
        let span = FIRST_SPAN.0 << self.ejections.min(8);
        let until = now + Millis(span.min(LONGEST_SPAN.0));
        self.ejections = self.ejections.saturating_add(1);
        self.health = Health::Ejected { until };
    }

    /// Ejects the target for having no link.
    pub fn eject_lost(&mut self, now: Millis) {
        self.health = Health::Ejected {
            until: now + LOST_SPAN,
        };
    }

    /// Notes that a probe was sent.
    pub fn start_probe(&mut self) {
        self.health = Health::Probing;
    }

    /// Notes that the probe was withdrawn before it told anything: another may go at once.
    pub fn cancel_probe(&mut self, now: Millis) {
        self.health = Health::Ejected { until: now };
    }

    /// Takes the target back after a good probe. The count of ejections stays for the next one.
    pub fn readmit(&mut self) {
        self.health = Health::Healthy;
        self.failures = 0;
    }
}
