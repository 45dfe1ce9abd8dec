//! This module decides what part of an engine's free slots one entry may take between two reports.
//!
//! *Load pattern*: hundreds of entries send to the same engines and do not coordinate. In an overload
//! each entry must keep to its share of the few free slots, or together they fill each slot many times
//! over. Below capacity the same shares would refuse callers needlessly: each of 150 entries has 1/150
//! of a slot, whether the others have a caller at that moment or not. A share is therefore multiplied
//! by the ratio of free slots to callers when there are more slots than callers, as the others leave
//! the rest free.
//!
//! An entry uses a few of hundreds of engines, most of them in its own zone, so that an engine is used
//! by few entries of other zones. The slots are shared among the entries that use the engine: if all
//! entries were counted, the slots that are meant for overflow from other zones would stay free.
//!
//! An engine prefills whatever the other entries have sent since the last report before the next
//! prompt, and no entry sees that work. Each entry therefore has a few preferred engines, which it
//! takes first and other entries take last: the work sent there is mostly its own and thus known to it.
//!
//! Most of an engine's slots are shared by the entries of its zone, and a part by all entries. A zone
//! with too few engines can thus overflow to others, though prompts and events stay in the zone by
//! default.

use filbertstack_core::Millis;

use crate::units::millis_f64;

/// The part of an engine's free slots that the entries preferring it take between two reports. A report
/// does not include requests that were sent just before it, so the next report would overstate the free
/// slots if all of them were taken: the parts add up to all free slots.
const PREFERRED_PART: f64 = 0.4;

/// The additional part that all entries of the engine's zone take.
const LOCAL_PART: f64 = 0.3;

/// The additional part that entries of all zones take.
const ALL_ZONES_PART: f64 = 0.3;

/// The time during which requests are sent on the basis of one report: the interval between two reports
/// and the age of a report when it arrives.
const REPORT_WINDOW: Millis = Millis(170);

/// The entries that share a target's slots: those of `entries` that use it, as each uses `used` of
/// `targets`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sharers {
    /// The number of entries: those of the target's zone if the target is local, else all.
    pub entries: u32,
    /// The number of targets of the service that these entries share.
    pub targets: u32,
    /// The number of these targets that one entry uses.
    pub used: u32,
    /// The number of entries that [prefer](crate::subset::preferred) the target, if this entry does;
    /// else 0.
    pub preferred_by: u32,
}

impl Sharers {
    /// Returns the number of entries for each target.
    pub(super) fn entries_per_target(self) -> f64 {
        f64::from(self.entries) / f64::from(self.targets.max(1))
    }

    /// Returns the mean number of entries that use the target.
    pub(super) fn users(self) -> f64 {
        (self.entries_per_target() * f64::from(self.used)).max(1.0)
    }

    /// Returns one entry's even part of `places`.
    pub(super) fn even_part(self, places: f64) -> f64 {
        places / self.users()
    }
}

/// The free slots of the targets of one service, either in the local zone or in other zones.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FreeSlots {
    sum: f64,
    count: f64,
    /// The number of targets that the entry uses, those that take no work included.
    used: f64,
    entries_per_target: f64,
}

impl FreeSlots {
    /// Adds a target with `free` free slots; `None` if it takes no work.
    pub(super) fn add(&mut self, free: Option<f64>, sharers: Sharers) {
        self.used += 1.0;
        self.entries_per_target = sharers.entries_per_target();
        if let Some(free) = free {
            self.sum += free;
            self.count += 1.0;
        }
    }

    /// Returns the part of a target's free slots that an entry with this demand, in requests per millisecond,
    /// may take, assuming that other entries have the same demand.
    pub(super) fn share(&self, sharers: Sharers, local: bool, demand: f64) -> f64 {
        let per_target = self.entries_per_target * self.used / self.count.max(1.0);
        let expected = demand * per_target * millis_f64(REPORT_WINDOW);
        let mean = self.sum / self.count.max(1.0);
        let surplus = ((PREFERRED_PART + LOCAL_PART) * mean / expected).max(1.0);
        let part = if local { LOCAL_PART } else { ALL_ZONES_PART };
        let preferred = match sharers.preferred_by {
            0 => 0.0,
            preferred => PREFERRED_PART / f64::from(preferred),
        };
        (sharers.even_part(part).max(preferred) * surplus).min(1.0)
    }
}
