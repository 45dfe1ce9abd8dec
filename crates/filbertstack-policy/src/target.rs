//! One target as one entry sees it: its limit, its load, its record.

use filbertstack_core::Millis;
use filbertstack_core::names::InstanceName;
use filbertstack_core::names::ZoneName;

use crate::limit::INITIAL_LIMIT;
use crate::limit::Limit;
use crate::outlier::Outlier;
use crate::prefix::Hints;
use crate::units::secs;
use crate::window::Mean;

/// How long a new target takes to its full share. Its caches are empty and every entry sees it
/// idle at once: without a ramp the first second's choices of all entries would land there.
const RAMP_SPAN: Millis = Millis::secs(5);

/// The share that a new target begins with.
const RAMP_START: f64 = 0.2;

/// The ceiling of a limit at a target that does not tell its slots.
const DEFAULT_CEILING: f64 = 64.0;

/// What a limit may exceed the slots by: a short queue in the engine keeps its batch full while
/// the next request is on its way.
const CEILING_FACTOR: f64 = 1.25;

/// The time after which what a report tells of others' work counts for a third. Requests of
/// about a second have mostly ended two seconds after.
const REPORT_DECAY_SECS: f64 = 2.0;

/// The weight of a new latency in a target's means: five answers make most of the mean, so that
/// a slowdown shows within a few requests and one slow answer does not eject.
const RECENT_WEIGHT: f64 = 0.3;

/// What is known of a target when it is announced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetInfo {
    /// Its name.
    pub name: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// How many requests it works on at once, if it tells.
    pub slots: Option<u32>,
}

/// A target's report of its load, already late when it comes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// The requests in its batch, from all entries.
    pub running: u32,
    /// The requests that wait for a place in the batch.
    pub waiting: u32,
    /// The places of the batch.
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
    /// A target; `new` if it came up just now, so that it starts slowly.
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

    /// What may be in flight now.
    pub fn allowed(&self, now: Millis) -> f64 {
        (self.limit.value() * self.ramp(now)).max(1.0)
    }

    /// The requests in flight from this entry.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether the target is out: ejected or awaiting its probe's answer.
    pub fn is_out(&self) -> bool {
        self.outlier.is_out()
    }

    /// Whether one more request may go there. Limits are rounded, not cut: eleven entries at 2.9
    /// each would else leave ten of a batch's 32 places empty.
    pub(crate) fn has_room(&self, now: Millis) -> bool {
        f64::from(self.in_flight) + 0.5 <= self.allowed(now)
    }

    pub(crate) fn takes_work(&self) -> bool {
        !self.leaving && !self.outlier.is_out()
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

    /// How full the target is with one more request: own work against the limit, and all work
    /// against the slots, of which the others' part is discounted by its age.
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

    /// Takes the target back: slowly, and with its latencies forgotten.
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
