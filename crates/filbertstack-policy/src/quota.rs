//! This module decides how many requests each entry sends to a target that names a limit for all
//! entries together.
//!
//! *Load pattern*: a target in need names in its answers how many requests a second it takes, and each
//! entry sees only the answers that it gets itself. Without a common rule each entry sends by the load
//! that the target reports, which is low just because it needs rest. If each entry kept the limit by
//! itself, a hundred entries would send a hundred times as much. With even shares of a small limit, each
//! entry saves up a request while it is idle, and all of them may send theirs at the same moment.
//!
//! So a few entries share a limited target, one for each request a second and two more, and the others
//! send nothing there. All entries rank each other alike, without coordination, and learn of limits from
//! each other. A user's answers show when the limit ends, which the other entries are told.
//!
//! Decisions depend only on the time and the observations passed in. They use no clock, network or
//! thread.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use filbertstack_core::Millis;

use crate::dispatch::TargetId;
use crate::subset::rank;
use crate::units::secs;

/// The number of entries that share a target beyond one for each request a second. Two keep a target in
/// use when one of them has no callers.
const EXTRA_USERS: f64 = 2.0;

/// The span of its share that an entry may save up, beside one request. With it, all users together send
/// at most five and a half times the limit and 2 requests in four seconds, however they coincide.
const SAVED_S: f64 = 0.5;

/// The lowest limit that is kept, in requests a second. Without any request no answer would show that
/// the limit has ended.
const MIN_LIMIT: f64 = 0.2;

/// The part by which a limit must differ from the known one to count as changed. A target that names a
/// slightly different limit in each answer would make every entry tell all others.
const CHANGE_PART: f64 = 0.1;

/// An entry that may send to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sender<'a> {
    /// The name of the entry.
    pub name: &'a str,
    /// Whether it is in the target's zone.
    pub local: bool,
}

/// Returns the requests a second that the entry `own` may send to `target`, which takes `limit` from all
/// `senders`.
pub fn share(own: &str, target: &str, senders: &[Sender<'_>], limit: f64) -> f64 {
    let limit = limit.max(MIN_LIMIT);
    let users = (limit.floor() + EXTRA_USERS).min(count(senders.len()));
    match place(own, target, senders) {
        Some(before) if count(before) < users => limit / users,
        _ => 0.0,
    }
}

/// Returns the number of `senders` that use `target` before the entry `own`; `None` if it is none of them.
pub(crate) fn place(own: &str, target: &str, senders: &[Sender<'_>]) -> Option<usize> {
    // Entries of a large system use only some targets, those for which they rank high.
    let order = |s: &Sender<'_>| Reverse((s.local, rank(s.name, target)));
    let own = order(senders.iter().find(|s| s.name == own)?);
    Some(senders.iter().filter(|s| order(s) < own).count())
}

fn count(number: usize) -> f64 {
    u32::try_from(number).map_or(f64::MAX, f64::from)
}

/// One entry's share of a limit, as a token bucket that is empty at first.
#[derive(Clone, Copy, Debug)]
pub struct Quota {
    per_s: f64,
    saved: f64,
    filled_at: Millis,
}

impl Quota {
    /// Returns a quota of `per_s` requests a second.
    pub fn new(now: Millis, per_s: f64) -> Self {
        Self {
            per_s,
            saved: 0.0,
            filled_at: now,
        }
    }

    /// Changes the rate and keeps what was saved.
    pub fn set_rate(&mut self, now: Millis, per_s: f64) {
        self.saved = self.saved_at(now);
        self.filled_at = now;
        self.per_s = per_s;
    }

    fn saved_at(&self, now: Millis) -> f64 {
        let most = 1.0 + self.per_s * SAVED_S;
        (self.saved + secs(now.since(self.filled_at)) * self.per_s).min(most)
    }

    /// Returns whether a request may be sent.
    pub fn may_send(&self, now: Millis) -> bool {
        self.per_s > 0.0 && self.saved_at(now) >= 1.0
    }

    /// Counts a request that is sent, whether or not it was within the quota.
    pub fn take(&mut self, now: Millis) {
        self.saved = self.saved_at(now) - 1.0;
        self.filled_at = now;
    }
}

/// A target's limit, as entries tell it each other.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitReport {
    /// The target.
    pub target: TargetId,
    /// The requests a second that it takes from all entries; `None` once it names no limit any more.
    pub per_s: Option<f64>,
    /// The number of changes of this limit so far.
    pub version: u64,
}

#[derive(Clone, Copy, Debug)]
struct Named {
    per_s: Option<f64>,
    version: u64,
    changed_at: Millis,
}

impl Named {
    /// Returns whether a report replaces this value. Of two at the same version, the lower limit counts:
    /// the next answer corrects it if it has ended.
    fn is_before(&self, report: &LimitReport) -> bool {
        let limit = |per_s: Option<f64>| per_s.unwrap_or(f64::INFINITY);
        report.version > self.version
            || (report.version == self.version && limit(report.per_s) < limit(self.per_s))
    }
}

/// The limits of targets, as one process knows them.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    targets: BTreeMap<TargetId, Named>,
}

impl Limits {
    /// Returns whether no target has ever named a limit.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Returns the requests a second that a target takes from all entries together.
    pub fn limit(&self, target: &str) -> Option<f64> {
        self.targets.get(target)?.per_s
    }

    /// Records the limit in an answer of `target` to a request that was sent at `sent_at`. Returns whether
    /// the limit has changed.
    pub fn observe(
        &mut self,
        now: Millis,
        target: &TargetId,
        per_s: Option<f64>,
        sent_at: Millis,
    ) -> bool {
        let known = self.targets.get(target).copied();
        let before = known.and_then(|named| named.per_s);
        let changed = match (before, per_s) {
            (None, None) => false,
            // An earlier answer may arrive after the one that named the limit.
            (Some(_), None) => known.is_some_and(|named| sent_at >= named.changed_at),
            (Some(before), Some(per_s)) => (per_s - before).abs() > before * CHANGE_PART,
            (None, Some(_)) => true,
        };
        if changed {
            let named = Named {
                per_s,
                version: known.map_or(0, |named| named.version) + 1,
                changed_at: now,
            };
            self.targets.insert(target.clone(), named);
        }
        changed
    }

    /// Merges a report of another process. Returns whether it says something new.
    pub fn merge(&mut self, now: Millis, report: &LimitReport) -> bool {
        let known = self.targets.get(&report.target);
        let changed = known.is_none_or(|named| named.is_before(report));
        if changed {
            let named = Named {
                per_s: report.per_s,
                version: report.version,
                changed_at: now,
            };
            self.targets.insert(report.target.clone(), named);
        }
        changed
    }

    /// Returns the limits that have changed since `since`, ended ones included.
    pub fn reports_since(&self, since: Millis) -> Vec<LimitReport> {
        let changed = self.targets.iter().filter(|(_, n)| n.changed_at >= since);
        let reports = changed.map(|(target, named)| LimitReport {
            target: target.clone(),
            per_s: named.per_s,
            version: named.version,
        });
        reports.collect()
    }

    /// Drops the limits of targets that are gone.
    pub fn retain(&mut self, is_present: impl Fn(&str) -> bool) {
        self.targets.retain(|target, _| is_present(target));
    }
}
