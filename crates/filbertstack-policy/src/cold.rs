//! This module decides until when a target is cold, and when an entry may send it a request until then.
//!
//! *Load pattern*: the targets of an availability zone come back together after an outage, while callers
//! ask for more than the other zones can serve. A cold target processes a few requests a second and crashes
//! under many more. It reports the lowest load of all, so that every entry would send to it first. A
//! single entry can't keep the rate, as 39 to 340 entries send at the same time and none sees what the
//! others send.
//!
//! So the target's rate is divided among a few entries, which all entries rank alike without coordination.
//! Each of them keeps a token bucket of depth 1, and there are no more buckets than requests that the bound
//! allows in one second. Whatever the phases of the buckets, the target gets no more than the bound. An
//! entry that gets a place first waits for as long as the bound counts, because the entry that had the
//! place before may have used it.
//!
//! Decisions depend only on the time and the observations passed in. They use no clock, network or
//! thread.

use std::collections::BTreeMap;
use std::sync::Arc;

use filbertstack_core::Millis;
use filbertstack_core::serving::ColdStart;

use crate::quota;
use crate::quota::Sender;
use crate::registry::Stamp;
use crate::units::len_f64;
use crate::units::millis;
use crate::units::secs;

/// The span in which one bucket sends no more than its part of the bound: the second for which the bound
/// is stated, and 100 ms because requests of one entry take different times to reach the target.
const WINDOW: Millis = Millis(1_100);

/// The time after its registration from which an entry sends to cold targets: the others learn of it within
/// 200 ms, and the one whose place it takes has sent its last request [`WINDOW`] before.
pub const SETTLE_TIME: Millis = Millis(1_300);

/// The longest time for which a report counts as cold, in spans of a cold start. A target that reports
/// years would otherwise be limited until it starts again.
const MAX_SPANS: u64 = 10;

/// The longest time for which a target counts as cold by one report, whatever its service declares.
const MAX_COLD: Millis = Millis::secs(60);

/// What a cold target takes from all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// The requests a second that it takes on average.
    per_s: f64,
    /// The most requests that may be sent to it in any second.
    most: f64,
}

impl Rate {
    /// Returns the rate of a service's cold targets, of which entries may send `factor` times as much and
    /// `allowance` requests more within one second.
    pub fn new(cold_start: &ColdStart, factor: f64, allowance: f64) -> Self {
        Self {
            per_s: cold_start.per_s,
            most: (cold_start.per_s * factor + allowance).floor().max(0.0),
        }
    }

    /// Returns the least time between two requests of one of `users` entries, in seconds. It is infinite
    /// if the bound does not allow each of them a request.
    fn gap_s(self, users: usize) -> f64 {
        let users = len_f64(users);
        let each = (self.most / users).floor();
        (users / self.per_s).max(secs(WINDOW) / each)
    }

    /// Returns the number of entries that share the target: the one, up to `limit`, with which the target
    /// gets the most requests. Of several such numbers it is the largest, because an entry without callers
    /// then leaves the least unused.
    fn users(self, limit: usize) -> usize {
        let thousandths = |users: usize| (len_f64(users) / self.gap_s(users) * 1_000.0).round();
        let allowed = (1..=limit).filter(|users| len_f64(*users) <= self.most);
        let best = allowed.max_by(|a, b| thousandths(*a).total_cmp(&thousandths(*b)));
        best.unwrap_or(0)
    }
}

/// One entry's share of the rate of a cold target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// The least time between two of its requests.
    pub gap: Millis,
    /// The delay of its first request. The entries' delays differ, so that their requests do not arrive
    /// together.
    pub phase: Millis,
}

/// Returns the share that the entry `own` has of a cold target; `None` if it may send nothing there. At
/// most `limit` of the `senders` share the target.
pub fn share(
    own: &str,
    target: &str,
    senders: &[Sender<'_>],
    limit: usize,
    rate: Rate,
) -> Option<Share> {
    let place = quota::place(own, target, senders)?;
    let users = rate.users(limit.min(senders.len()));
    if place >= users {
        return None;
    }
    let gap = rate.gap_s(users);
    Some(Share {
        // Rounded up, as spans are whole milliseconds.
        gap: millis(gap) + Millis(1),
        phase: millis(gap * len_f64(place) / len_f64(users)),
    })
}

/// What an entry may send to a cold target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// The time until which the target is cold.
    pub until: Millis,
    /// This entry's share; `None` if it may send nothing.
    pub share: Option<Share>,
    /// The time from which this entry may use its share.
    pub from: Millis,
}

/// One entry's token bucket of depth 1 for a cold target.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    limit: Limit,
    since: Millis,
    first_at: Millis,
    last_sent: Option<Millis>,
}

impl Bucket {
    /// Returns the bucket for a target that is known to be cold from now on.
    pub fn new(now: Millis, limit: Limit) -> Self {
        Self {
            limit,
            since: now,
            first_at: first_at(now.max(limit.from), limit),
            last_sent: None,
        }
    }

    /// Changes the limit of a target that is still cold, or has become cold again.
    pub fn update(&mut self, now: Millis, limit: Limit) {
        if !self.is_cold(now) {
            let last_sent = self.last_sent;
            *self = Self::new(now, limit);
            self.last_sent = last_sent;
            return;
        }
        if self.limit.share.is_none() && limit.share.is_some() {
            self.first_at = first_at((now + WINDOW).max(limit.from), limit);
        }
        self.limit = limit;
    }

    /// Returns the limit that is kept.
    pub fn limit(&self) -> Limit {
        self.limit
    }

    /// Returns whether the target is cold.
    pub fn is_cold(&self, now: Millis) -> bool {
        now < self.limit.until
    }

    /// Returns the time from which this entry may send again: that of its next token, or the end of the
    /// cold time.
    pub fn next_at(&self) -> Millis {
        let until = self.limit.until;
        let next = self.limit.share.map(|share| {
            let refilled = self.last_sent.map(|last| last + share.gap);
            refilled.map_or(self.first_at, |at| at.max(self.first_at))
        });
        next.map_or(until, |next| next.min(until))
    }

    /// Returns whether a request may be sent.
    pub fn may_send(&self, now: Millis) -> bool {
        now >= self.next_at()
    }

    /// Returns whether a request that was chosen at `chosen_at` has taken a token: the target was known to
    /// be cold then.
    pub fn has_token(&self, chosen_at: Millis) -> bool {
        chosen_at > self.since
    }

    /// Takes the token for a request that is sent.
    pub fn record_sent(&mut self, now: Millis) {
        self.last_sent = Some(now);
    }
}

/// Returns when an entry that may use its share from `start` on sends its first request.
fn first_at(start: Millis, limit: Limit) -> Millis {
    start + limit.share.map_or(Millis::ZERO, |share| share.phase)
}

#[derive(Clone, Copy, Debug)]
struct Report {
    stamp: Stamp,
    received_at: Millis,
    remaining: Millis,
    /// When the first report of this start arrived, if an earlier start was known then.
    restarted_at: Option<Millis>,
}

/// The latest cold time that each instance reported, counted from when this node received it. A report may
/// arrive late, and the clocks of two instances differ.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    instances: BTreeMap<Arc<str>, Report>,
}

impl Reports {
    /// Records that an instance stays cold for `remaining`. The same or an earlier report changes nothing.
    pub fn record(&mut self, now: Millis, id: &Arc<str>, stamp: Stamp, remaining: Millis) {
        let known = self.instances.get(id);
        if known.is_some_and(|known| known.stamp >= stamp) {
            return;
        }
        let restarted_at = known.and_then(|known| {
            let same_start = known.stamp.born == stamp.born;
            if same_start {
                known.restarted_at
            } else {
                Some(now)
            }
        });
        let report = Report {
            stamp,
            received_at: now,
            remaining,
            restarted_at,
        };
        self.instances.insert(id.clone(), report);
    }

    /// Returns the time from which entries may use their shares of an instance that has started again. Before it
    /// was known to have started, it got requests that were meant for the earlier start.
    pub fn restart_wait(&self, id: &str) -> Millis {
        let report = self.instances.get(id);
        let restarted_at = report.and_then(|report| report.restarted_at);
        restarted_at.map_or(Millis::ZERO, |at| at + WINDOW)
    }

    /// Returns the time until which an instance is cold; [`Millis::ZERO`] if it has not reported. `readmitted`
    /// is when the latest evacuation of its zone ended: the instance counts as cold from then on, unless a
    /// later report says otherwise.
    pub fn until(&self, id: &str, cold_start: &ColdStart, readmitted: Option<Millis>) -> Millis {
        let span = Millis::from(cold_start.span).min(MAX_COLD);
        let longest = Millis(span.0 * MAX_SPANS).min(MAX_COLD);
        let report = self.instances.get(id);
        let reported = report.map(|report| report.received_at + report.remaining.min(longest));
        let reported = reported.unwrap_or(Millis::ZERO);
        let readmitted = readmitted.filter(|at| report.is_none_or(|r| r.received_at <= *at));
        readmitted.map_or(reported, |at| reported.max(at + span))
    }

    /// Returns whether no instance has reported.
    pub fn is_empty(&self) -> bool {
        self.instances.is_empty()
    }

    /// Drops the reports of instances that are gone.
    pub fn retain(&mut self, is_present: impl Fn(&str) -> bool) {
        self.instances.retain(|id, _| is_present(id));
    }
}
