//! This module decides which requests are refused because they crash the targets that run them.
//!
//! *Load pattern*: one request crashes each engine that begins to run it, and its callers repeat it at
//! every entry. Each repeat has an id and attempts of its own, so that without a common record it takes
//! down one engine after another, with all the other requests that run there, until none is left.
//!
//! An entry records each request under which a target was lost by the digest of the request, and the
//! voters collect the records of all entries. A request that lost [`CRASH_LIMIT`] targets is refused at
//! every entry. Requests that merely ran beside it are lost as well, but each of them is answered once
//! it runs elsewhere. Two observations refute a loss: the target sends something later, so only its
//! connection broke; or the same request is answered with success, so it does not crash targets.
//!
//! Many callers may send the same request, and some of its copies are at several targets of a rack that
//! is lost. So a refused request is probed: one entry, the [`prober`], sends it once after a pause, and
//! a success clears it. A probe counts as a loss until it is answered, so that no other follows at once,
//! and there are as many probes as [`PROBE_PAUSES`] has entries.
//!
//! Decisions depend only on the time and the observations passed in. They use no clock, network or
//! thread.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use filbertstack_core::Millis;
use filbertstack_core::RequestDigest;

use crate::dispatch::TargetId;
use crate::subset::hash;
use crate::subset::mix;

/// The number of lost targets from which a request is refused. A request that runs beside a crashing
/// one is often lost twice, as both may be sent to the same next target.
pub const CRASH_LIMIT: usize = 3;

/// The pauses before the first, second and further probes of a refused request. The first is short, as
/// most requests that are refused wrongly lost their targets to one incident.
pub const PROBE_PAUSES: [Millis; 3] = [Millis::secs(5), Millis::secs(60), Millis::secs(600)];

/// How long a loss counts.
pub const LOSS_TTL: Millis = Millis::secs(24 * 3_600);

/// The time after which a request's first loss is reported to others. Until then a sign of life of the
/// target or an answer to the request discards it, which keeps interrupted connections from being
/// reported. A second loss is reported at once, with the first: each moment may cost another target.
const REPORT_DELAY: Millis = Millis(300);

/// The time after a loss from which bytes of the target show that it is alive. Bytes that it sent before
/// it crashed may be queued on the way.
const LIFE_DELAY: Millis = Millis(500);

/// How long a refuted loss is kept, so that a report of the loss that arrives later does not count.
const REFUTED_TTL: Millis = Millis::secs(60);

/// The most requests that are recorded: all requests in progress at a hundred engines that are lost
/// together, and room for those of earlier failures.
const MAX_REQUESTS: usize = 4_096;

/// The most losses that are recorded of one request.
const MAX_LOSSES: usize = 16;

/// One request's loss of one target, as entries report it to each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The request.
    pub request: RequestDigest,
    /// The target.
    pub target: TargetId,
    /// Whether the request was sent there as a probe.
    pub probe: bool,
    /// Whether the loss has turned out not to be a crash by the request.
    pub refuted: bool,
}

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may be sent.
    Allowed,
    /// It may be sent once, as a probe.
    Probe,
    /// It is refused.
    Refused {
        /// The time until it may be probed.
        retry_after: Millis,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// This entry lost the target and has not reported it yet.
    Suspected,
    /// The loss is reported, or was reported by another entry.
    Reported,
    /// The loss is no crash by the request, which others are told.
    Refuted,
    /// The loss was refuted before it was reported.
    Dismissed,
}

#[derive(Clone, Copy, Debug)]
struct Loss {
    state: State,
    probe: bool,
    /// The time of the loss, or when this process learned of it.
    at: Millis,
    /// The time of the latest change of the state.
    changed_at: Millis,
}

impl Loss {
    fn counts(&self) -> bool {
        matches!(self.state, State::Suspected | State::Reported)
    }

    /// Refutes the loss, and returns whether it counted. Others are told if it was reported to them.
    fn refute(&mut self, now: Millis) -> bool {
        let state = match self.state {
            State::Suspected => State::Dismissed,
            State::Reported => State::Refuted,
            State::Refuted | State::Dismissed => return false,
        };
        self.state = state;
        self.changed_at = now;
        true
    }
}

type Losses = BTreeMap<TargetId, Loss>;

/// The requests under which targets were lost, as one process knows them.
#[derive(Clone, Debug, Default)]
pub struct Crashes {
    requests: BTreeMap<RequestDigest, Losses>,
    /// The requests that each target was lost under.
    targets: BTreeMap<TargetId, BTreeSet<RequestDigest>>,
}

impl Crashes {
    /// Returns whether no request is recorded.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns how many targets were lost under a request.
    pub fn count(&self, request: &RequestDigest) -> usize {
        self.requests.get(request).map_or(0, count)
    }

    /// Returns whether a request may be sent. `is_prober` tells whether this entry is its [`prober`].
    pub fn verdict(&self, now: Millis, request: &RequestDigest, is_prober: bool) -> Verdict {
        let losses = self.requests.get(request);
        let Some(losses) = losses.filter(|losses| count(losses) >= CRASH_LIMIT) else {
            return Verdict::Allowed;
        };
        let counted = losses.values().filter(|loss| loss.counts());
        let last = counted.clone().map(|loss| loss.at).max();
        let last = last.unwrap_or_default();
        let probes = counted.filter(|loss| loss.probe).count();
        let pause = PROBE_PAUSES.get(probes).copied();
        let probe_at = last + pause.unwrap_or(LOSS_TTL);
        if is_prober && now >= probe_at && pause.is_some() {
            return Verdict::Probe;
        }
        // The prober may get its next copy of the request a little later.
        let retry_after = probe_at.since(now).max(PROBE_PAUSES[0]);
        Verdict::Refused { retry_after }
    }

    /// Records that `target` was lost while it ran a request.
    pub fn record_loss(&mut self, now: Millis, request: RequestDigest, target: &TargetId) {
        let loss = Loss {
            state: State::Suspected,
            probe: false,
            at: now,
            changed_at: now,
        };
        self.insert(request, target, loss);
    }

    /// Records that a probe of a request is sent to `target`.
    ///
    /// Returns false if the request was lost there before: then it may not be sent.
    pub fn record_probe(&mut self, now: Millis, request: RequestDigest, target: &TargetId) -> bool {
        let loss = Loss {
            state: State::Reported,
            probe: true,
            at: now,
            changed_at: now,
        };
        self.insert(request, target, loss)
    }

    /// Records that a request was answered completely and with success: none of its losses was a crash.
    ///
    /// Returns the number of losses that no longer count.
    pub fn record_answer(&mut self, now: Millis, request: &RequestDigest) -> usize {
        let losses = self.requests.get_mut(request);
        let losses = losses.into_iter().flat_map(BTreeMap::values_mut);
        losses.map(|loss| usize::from(loss.refute(now))).sum()
    }

    /// Records that bytes arrived from `target`, so that its earlier losses were no crashes.
    ///
    /// Returns the number of losses that no longer count.
    pub fn record_life(&mut self, now: Millis, target: &str) -> usize {
        let Some(requests) = self.targets.get(target) else {
            return 0;
        };
        let mut refuted = 0;
        for request in requests {
            let losses = self.requests.get_mut(request);
            let loss = losses.and_then(|losses| losses.get_mut(target));
            if let Some(loss) = loss.filter(|l| !l.probe && now.since(l.at) >= LIFE_DELAY) {
                refuted += usize::from(loss.refute(now));
            }
        }
        refuted
    }

    /// Merges a report of another process. Returns whether it says something new.
    pub fn merge(&mut self, now: Millis, report: &CrashReport) -> bool {
        let losses = self.requests.get_mut(&report.request);
        let known = losses.and_then(|losses| losses.get_mut(&report.target));
        let Some(known) = known else {
            let state = if report.refuted {
                State::Refuted
            } else {
                State::Reported
            };
            let loss = Loss {
                state,
                probe: report.probe,
                at: now,
                changed_at: now,
            };
            return self.insert(report.request, &report.target, loss);
        };
        let state = match known.state {
            State::Suspected if !report.refuted => State::Reported,
            State::Suspected | State::Reported | State::Dismissed if report.refuted => {
                State::Refuted
            }
            // The reporting process does not know yet that the target is alive.
            State::Dismissed => State::Refuted,
            unchanged => unchanged,
        };
        let changed = state != known.state;
        if changed {
            known.state = state;
            known.changed_at = now;
        }
        changed
    }

    /// Reports the losses that have been suspected for long enough, and drops the old ones.
    pub fn update(&mut self, now: Millis) {
        self.prune(now);
        for losses in self.requests.values_mut() {
            let repeated = count(losses) > 1;
            for loss in losses.values_mut() {
                let due = repeated || now.since(loss.at) >= REPORT_DELAY;
                if loss.state == State::Suspected && due {
                    loss.state = State::Reported;
                    loss.changed_at = now;
                }
            }
        }
    }

    /// Returns the reports that have changed since `since`.
    pub fn reports_since(&self, since: Millis) -> Vec<CrashReport> {
        self.reports(|_, loss| loss.changed_at >= since)
    }

    /// Returns the reports of the requests that entries must know, as they are refused or were until a
    /// loss was refuted. They are those of all requests that have changed since `since`.
    pub fn refused_since(&self, since: Millis) -> Vec<CrashReport> {
        self.reports(|losses, _| {
            let changed = losses.values().any(|loss| loss.changed_at >= since);
            changed && losses.len() >= CRASH_LIMIT
        })
    }

    fn reports(&self, selects: impl Fn(&Losses, &Loss) -> bool) -> Vec<CrashReport> {
        let rows = self.requests.iter().flat_map(|(request, losses)| {
            let selected = losses.iter().filter(|(_, loss)| selects(losses, loss));
            selected.filter_map(|(target, loss)| report(request, target, loss))
        });
        rows.collect()
    }

    /// Inserts a loss unless it is known. Returns whether it was inserted.
    fn insert(&mut self, request: RequestDigest, target: &TargetId, loss: Loss) -> bool {
        if !self.requests.contains_key(&request) && self.requests.len() >= MAX_REQUESTS {
            self.drop_least();
        }
        let losses = self.requests.entry(request).or_default();
        let full = losses.len() >= MAX_LOSSES && !loss.probe;
        if full || losses.contains_key(target) {
            return false;
        }
        losses.insert(target.clone(), loss);
        let requests = self.targets.entry(target.clone()).or_default();
        requests.insert(request);
        true
    }

    /// Drops the request with the fewest losses, and among those the one that was changed first.
    fn drop_least(&mut self) {
        let changed_at = |losses: &Losses| losses.values().map(|l| l.changed_at).max();
        let rank = |(_, losses): &(&RequestDigest, &Losses)| (count(losses), changed_at(losses));
        let least = self.requests.iter().min_by_key(rank);
        let Some(request) = least.map(|(request, _)| *request) else {
            return;
        };
        let losses = self.requests.remove(&request).unwrap_or_default();
        for target in losses.keys() {
            if let Some(lost_by) = self.targets.get_mut(target) {
                lost_by.remove(&request);
            }
        }
    }

    /// Drops the losses that no longer count.
    fn prune(&mut self, now: Millis) {
        let mut dropped = false;
        self.requests.retain(|_, losses| {
            let before = losses.len();
            losses.retain(|_, loss| match loss.state {
                State::Refuted | State::Dismissed => now.since(loss.changed_at) < REFUTED_TTL,
                State::Suspected | State::Reported => now.since(loss.at) < LOSS_TTL,
            });
            dropped |= losses.len() < before;
            !losses.is_empty()
        });
        if dropped {
            self.forget_targets();
        }
    }

    /// Drops the targets that no recorded request has lost.
    fn forget_targets(&mut self) {
        let requests = &self.requests;
        self.targets.retain(|target, lost_by| {
            lost_by.retain(|request| {
                let losses = requests.get(request);
                losses.is_some_and(|losses| losses.contains_key(target))
            });
            !lost_by.is_empty()
        });
    }
}

/// Returns how many targets count as lost.
fn count(losses: &Losses) -> usize {
    losses.values().filter(|loss| loss.counts()).count()
}

/// Returns the report of a loss, if others are to know it.
fn report(request: &RequestDigest, target: &TargetId, loss: &Loss) -> Option<CrashReport> {
    matches!(loss.state, State::Reported | State::Refuted).then(|| CrashReport {
        request: *request,
        target: target.clone(),
        probe: loss.probe,
        refuted: loss.state == State::Refuted,
    })
}

/// Returns the entry that probes a refused request: one of `entries`, which all entries determine alike
/// without coordination.
pub fn prober<'a>(
    request: &RequestDigest,
    entries: impl Iterator<Item = &'a str>,
) -> Option<&'a str> {
    let key = request
        .as_bytes()
        .iter()
        .fold(0_u64, |key, byte| key.rotate_left(8) ^ u64::from(*byte));
    entries.max_by_key(|entry| (mix(hash(entry) ^ key), *entry))
}
