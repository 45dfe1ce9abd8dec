//! The state of one target as one entry sees it: its limit, load, latencies and failures.

use filbertstack_core::Millis;
use filbertstack_core::names::InstanceName;
use filbertstack_core::names::ZoneName;

use crate::limit::INITIAL_LIMIT;
use crate::limit::Limit;
use crate::outlier::Outlier;
use crate::prefix::Hints;
use crate::units::secs;
use crate::window::Mean;

/// The time in which a new target's limit rises to its full value. The target's caches are empty, and every
/// entry sees it idle at once: without a ramp, all entries would choose it for the requests of the first
/// second.
const RAMP_SPAN: Millis = Millis::secs(5);

/// The share of the limit with which a new target starts.
const RAMP_START: f64 = 0.2;

/// The ceiling of the limit at a target that does not report its slots.
const DEFAULT_CEILING: f64 = 64.0;

/// The factor by which a limit may exceed the slots. A short queue in the engine keeps its batch full while
/// the next request is on its way.
const CEILING_FACTOR: f64 = 1.25;

/// The time in seconds after which the load of other entries in a report counts for a third. Most requests of
/// about a second have ended two seconds later.
const REPORT_DECAY_SECS: f64 = 2.0;

/// The weight of a new latency in a target's means. Five answers make up most of the mean, so that a slowdown
/// shows within a few requests while one slow answer does not eject the target.
const RECENT_WEIGHT: f64 = 0.3;

/// The properties of a target when it is announced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetInfo {
    /// The target's name.
    pub name: InstanceName,
    /// The target's availability zone.
    pub zone: ZoneName,
    /// The number of requests that the target processes at once, if it reports it.
    pub slots: Option<u32>,
}

/// A target's report of its load. It is already out of date when it arrives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// The number of requests in the target's batch, from all entries.
    pub running: u32,
    /// The number of requests that wait for a slot in the batch.
    pub waiting: u32,
    /// The number of slots of the batch.
    pub slots: u32,
}

#[derive(Clone, Copy, Debug)]
struct Reported {
    others: f64,
    slots: f64,
    at: Millis,
}

/// One target as one entry sees it.
#[derive(Clone, Debug)]
pub struct Target {
    pub(crate) info: TargetInfo,
    pub(crate) limit: Limit,
    pub(crate) outlier: Outlier,
    pub(crate) hints: Hints,
    pub(crate) in_flight: u32,
    pub(crate) leaving: bool,
    pub(crate) ttft: Mean,
    pub(crate) token_gap: Mean,
    ramp_start: Option<Millis>,
    reported: Option<Reported>,
}

impl Target {
    /// Creates a target. `new` marks a target that has just come up, whose limit is ramped up.
    pub(crate) fn new(now: Millis, info: TargetInfo, sharers: f64, new: bool) -> Self {
        let slots = info.slots.map(f64::from);
        let initial = slots.map_or(INITIAL_LIMIT, |slots| slots / sharers.max(1.0));
        let ceiling = slots.map_or(DEFAULT_CEILING, |slots| slots * CEILING_FACTOR);
        Self {
            info,
            limit: Limit::new(initial, ceiling),
            outlier: Outlier::default(),
            hints: Hints::default(),
            in_flight: 0,
            leaving: false,
            ttft: Mean::default(),
            token_gap: Mean::default(),
            ramp_start: new.then_some(now),
            reported: None,
        }
    }

    /// Returns the number of requests that may be in flight now.
    pub fn allowed(&self, now: Millis) -> f64 {
        (self.limit.value() * self.ramp(now)).max(1.0)
    }

    /// Returns the number of requests in flight from this entry.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns whether the target is ejected or waits for its probe's answer.
    pub fn is_out(&self) -> bool {
        self.outlier.is_ejected()
    }

    /// Returns whether one more request may be sent to the target. The limit is rounded and not truncated:
    /// with eleven entries at a limit of 2.9 each, truncation would leave ten of a batch's 32 slots empty.
    pub(crate) fn has_room(&self, now: Millis) -> bool {
        f64::from(self.in_flight) + 0.5 <= self.allowed(now)
    }

    pub(crate) fn takes_work(&self) -> bool {
        !self.leaving && !self.outlier.is_ejected()
    }

    pub(crate) fn observe_load(&mut self, now: Millis, report: LoadReport) {
        let total = f64::from(report.running) + f64::from(report.waiting);
        let slots = f64::from(report.slots.max(1));
        self.limit.set_ceiling(slots * CEILING_FACTOR);
        self.reported = Some(Reported {
            others: (total - f64::from(self.in_flight)).max(0.0),
            slots,
            at: now,
        });
    }

    /// Returns how full the target is with one more request: the mean of the entry's own requests against the
    /// limit and of all requests against the slots. The requests of other entries are discounted by the
    /// report's age.
    pub(crate) fn fullness(&self, now: Millis) -> f64 {
        let own = f64::from(self.in_flight) + 1.0;
        let share = own / self.allowed(now);
        let Some(reported) = self.reported else {
            return share;
        };
        let age = secs(now.since(reported.at));
        let others = reported.others * (-age / REPORT_DECAY_SECS).exp();
        f64::midpoint(share, (own + others) / reported.slots)
    }

    pub(crate) fn record_ttft(&mut self, ttft: Millis) {
        self.ttft.add(secs(ttft), RECENT_WEIGHT);
    }

    pub(crate) fn record_gap(&mut self, gap: f64) {
        self.token_gap.add(gap, RECENT_WEIGHT);
    }

    /// Readmits the target with [`INITIAL_LIMIT`], a new ramp and no recorded latencies.
    pub(crate) fn readmit(&mut self, now: Millis) {
        self.outlier.readmit();
        self.ttft = Mean::default();
        self.token_gap = Mean::default();
        self.limit.restart(INITIAL_LIMIT);
        self.ramp_start = Some(now);
    }

    fn ramp(&self, now: Millis) -> f64 {
        let Some(start) = self.ramp_start else {
            return 1.0;
        };
        (secs(now.since(start)) / secs(RAMP_SPAN)).clamp(RAMP_START, 1.0)
    }
}
