//! What part of an engine's free places one entry may take between two reports.
//!
//! *Load pattern*: hundreds of entries send to the same engines and do not talk to each other. In an
//! overload each must keep to its share of the few places, or all of them fill each place many times
//! over. Below capacity the same shares refuse callers for nothing: of a place for 150 entries each
//! has one in 150, whether the others have a caller at that moment or not. So a share is widened by
//! as much as there are more places than callers: the others leave the rest free.
//!
//! Of hundreds of engines an entry uses a few, most of them in its zone, so that an engine is used by
//! few of the entries elsewhere. Its places are shared among those that use it: counted for all
//! entries, the places that a zone may spill over to would stay free.
//!
//! What others have sent since the last report is read before the next prompt, and nobody sees it. So each
//! entry has a few engines beside it, which it takes first and the others last: what goes to
//! these is mostly its own and known to it.
//!
//! Most of an engine's places are shared by the entries of its zone, and a part by all, so that a
//! zone with too few engines can spill over though prompts and events stay near by default.

use filbertstack_core::Millis;

use super::millis_f64;

/// The part of an engine's room that the entries beside it take between two reports. What is sent just
/// before a report is not in it yet, and the next would find more room than there is if all of it
/// were taken: the parts add up to the room.
const BESIDE_TAKEN: f64 = 0.4;

/// The part that all entries of its zone take in addition.
const NEAR_TAKEN: f64 = 0.3;

/// The part that entries of all zones take in addition.
const FAR_TAKEN: f64 = 0.3;

/// For how long sends go by one report: the time between two, and the age of one when it comes.
const WINDOW: Millis = Millis(170);

/// Over which time the rate of an entry's requests is taken.
const MEAN: Millis = Millis(2_000);

/// Who shares a target's places: those of `entries` that use it, as each uses `used` of `targets`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sharers {
    /// The entries: those of its zone if the target is near, else all.
    pub entries: u32,
    /// The targets of its service that these share.
    pub targets: u32,
    /// How many of these one entry uses.
    pub used: u32,
    /// The entries [beside](crate::subset::preferred) the target, if this one is; else 0.
    pub preferred_by: u32,
}

impl Sharers {
    /// Entries for each target.
    fn crowd(self) -> f64 {
        f64::from(self.entries) / f64::from(self.targets.max(1))
    }

    /// The entries that use the target, in the mean.
    pub(super) fn users(self) -> f64 {
        (self.crowd() * f64::from(self.used)).max(1.0)
    }

    /// One entry's even part of `places`.
    pub(super) fn part(self, places: f64) -> f64 {
        places / self.users()
    }
}

/// How many requests come to this entry, as a mean over the last seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Demand {
    per_ms: f64,
    last: Millis,
}

impl Demand {
    /// Counts a request.
    pub(super) fn count(&mut self, now: Millis) {
        let mean = millis_f64(MEAN);
        let faded = (-millis_f64(now.since(self.last)) / mean).exp();
        self.per_ms = self.per_ms * faded + 1.0 / mean;
        self.last = now;
    }
}

/// The room of the targets of one service, those near or those elsewhere.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Rooms {
    sum: f64,
    count: f64,
    crowd: f64,
}

impl Rooms {
    /// Counts a target with `room` free places.
    pub(super) fn add(&mut self, room: f64, sharers: Sharers) {
        self.sum += room;
        self.count += 1.0;
        self.crowd = sharers.crowd();
    }

    /// The part of a target's room that an entry with this demand may take, if others have as much.
    pub(super) fn share(&self, sharers: Sharers, near: bool, demand: Demand) -> f64 {
        let wanted = demand.per_ms * self.crowd * millis_f64(WINDOW);
        let mean = self.sum / self.count.max(1.0);
        let spare = ((BESIDE_TAKEN + NEAR_TAKEN) * mean / wanted).max(1.0);
        let taken = if near { NEAR_TAKEN } else { FAR_TAKEN };
        let beside = match sharers.preferred_by {
            0 => 0.0,
            beside => BESIDE_TAKEN / f64::from(beside),
        };
        (sharers.part(taken).max(beside) * spare).min(1.0)
    }
}
