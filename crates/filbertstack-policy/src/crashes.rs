//! This module decides which requests are refused because they crash the targets that run them.
//!
//! *Load pattern*: one request, or any request whose prompt holds a certain part, crashes each engine that
//! begins to answer it, and callers send such requests at every entry. Each of them has an id and attempts of
//! its own, so that without a common record they take down one engine after another, with all the other
//! requests that run there, until none is left.
//!
//! An entry records under which [suspects](Suspect) a target was lost: the request, by the digest that its
//! repeats share, and each part of its prompt that other requests may share. The voters collect the records of
//! all entries. A request is refused at every entry while one of its suspects is [blamed](Crashes::is_blamed):
//! while [`CRASH_LIMIT`] lost targets count for it. Requests that merely ran beside a crashing one, and their
//! parts, lose targets as well. What keeps them from being refused:
//!
//! - Two observations refute a loss: the target sends something later, so only its connection broke; or the
//!   suspect is answered with success, so it does not crash targets.
//! - A target is lost to one crash. Its loss counts for the suspect that lost the most targets, and not for
//!   those that it was lost with.
//! - Of a part that was answered before, only losses in separate incidents count. A rack or a zone that is lost
//!   takes along many targets under the parts that most prompts share.
//!
//! Many callers may send the same request, and some of its copies are at several targets of a rack that
//! is lost. So a blamed suspect is probed: one entry, the [`prober`], sends one request with it after a pause,
//! and a success clears it. A probe counts as a loss until it is answered, so that no other follows at once,
//! and there are as many probes as [`PROBE_PAUSES`] has entries.
//!
//! Decisions depend only on the time and the observations passed in. They use no clock, network or
//! thread.

mod answers;
mod losses;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use filbertstack_core::ContentDigest;
use filbertstack_core::Millis;

use self::answers::Answers;
use self::losses::Loss;
use self::losses::Losses;
use self::losses::State;
use self::losses::count_incidents;
use crate::dispatch::TargetId;
use crate::subset::hash;
use crate::subset::mix;

/// The number of lost targets from which a request is refused. A request that runs beside a crashing
/// one is often lost twice, as both may be sent to the same next target.
pub const CRASH_LIMIT: usize = 3;

/// The pauses before the first, second and further probes of a suspect. The first is short, as most suspects
/// that are blamed wrongly lost their targets to one incident.
pub const PROBE_PAUSES: [Millis; 3] = [Millis::secs(5), Millis::secs(60), Millis::secs(600)];

/// How long a loss counts.
pub const LOSS_TTL: Millis = Millis::secs(24 * 3_600);

/// The time after which a suspect's first loss is reported to others. Until then a sign of life of the
/// target or an answer discards it, which keeps interrupted connections from being reported. A second loss is
/// reported at once, with the first: each moment may cost another target.
const REPORT_DELAY: Millis = Millis(300);

/// The time after a loss from which a request must have been sent so that its answer shows that the target is alive. Processes
/// learn of a loss at different times.
const LIFE_DELAY: Millis = Millis(500);

/// The time after which it is known whether a target was lost: this entry sees at once that its connections
/// broke, and others report it.
const LOSS_KNOWN_AFTER: Millis = Millis(600);

/// The most suspects that are recorded: all requests in progress at a hundred engines that are lost
/// together with the parts of their prompts, and room for those of earlier failures.
const MAX_SUSPECTS: usize = 4_096;

/// How many suspects are dropped at once when there are too many.
const DROPPED_SUSPECTS: usize = 256;

/// What a request holds that may crash targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Suspect {
    /// The request as a whole, which its repeats share.
    Request(ContentDigest),
    /// A part of its prompt, which other requests share.
    Part(ContentDigest),
}

impl Suspect {
    /// Returns the digest of the request or part.
    pub fn digest(&self) -> &ContentDigest {
        match self {
            Self::Request(digest) | Self::Part(digest) => digest,
        }
    }
}

/// The loss of one target under one suspect, as entries report it to each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The suspect.
    pub suspect: Suspect,
    /// The target.
    pub target: TargetId,
    /// The time of the loss, by the clock of the process that holds the report.
    pub at: Millis,
    /// Whether the request was sent there as a probe.
    pub probe: bool,
    /// Whether the loss has turned out not to be a crash by the suspect.
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
        /// What it is refused for.
        suspect: Suspect,
    },
}

/// How likely a suspect is to have crashed a target: the number of its losses that count, and of two with as
/// many, whether it is no part that was answered before.
type Rank = (usize, bool);

/// The suspects under which targets were lost, as one process knows them.
#[derive(Clone, Debug, Default)]
pub struct Crashes {
    suspects: BTreeMap<Suspect, Losses>,
    /// The suspects that each target was lost under.
    targets: BTreeMap<TargetId, BTreeSet<Suspect>>,
    answers: Answers,
}

impl Crashes {
    /// Returns whether no loss is recorded.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns how many targets were lost under a suspect.
    pub fn count(&self, suspect: &Suspect) -> usize {
        let losses = self.suspects.get(suspect);
        losses.map_or(0, |losses| losses.counted().count())
    }

    /// Returns whether requests with a suspect are refused.
    pub fn is_blamed(&self, suspect: &Suspect) -> bool {
        self.find_blamed(suspect).is_some()
    }

    /// Returns whether a request with these suspects may be sent. `is_prober` tells whether this entry is the
    /// [`prober`] of one of them.
    pub fn verdict(
        &self,
        now: Millis,
        suspects: &[Suspect],
        is_prober: impl Fn(&Suspect) -> bool,
    ) -> Verdict {
        let mut blamed = None;
        let mut may_probe = true;
        let mut probe_at = Millis::ZERO;
        for suspect in suspects {
            let Some(losses) = self.find_blamed(suspect) else {
                continue;
            };
            let due_at = losses.probe_at();
            may_probe &= due_at.is_ok();
            probe_at = probe_at.max(due_at.unwrap_or_else(|over_at| over_at));
            // The last part is the one that the fewest other requests share.
            blamed = Some(*suspect);
        }
        let Some(suspect) = blamed else {
            return Verdict::Allowed;
        };
        if may_probe && now >= probe_at && is_prober(&suspect) {
            return Verdict::Probe;
        }
        // The prober may get its next request with the suspect a little later.
        let retry_after = probe_at.since(now).max(PROBE_PAUSES[0]);
        Verdict::Refused {
            retry_after,
            suspect,
        }
    }

    /// Returns the losses of a suspect if enough of them count for it.
    fn find_blamed(&self, suspect: &Suspect) -> Option<&Losses> {
        let losses = self.suspects.get(suspect)?;
        let rank = self.rank(suspect, losses);
        if rank.0 < CRASH_LIMIT {
            return None;
        }
        let own = losses
            .counted()
            .filter(|(target, _)| !self.is_explained(target, rank));
        let count = self.weigh(suspect, own.map(|(_, loss)| loss.at));
        (count >= CRASH_LIMIT).then_some(losses)
    }

    /// Returns whether a target was lost under a suspect of a higher rank as well.
    fn is_explained(&self, target: &str, rank: Rank) -> bool {
        let others = self.targets.get(target).into_iter().flatten();
        let mut others = others.filter_map(|other| Some((other, self.suspects.get(other)?)));
        others.any(|(other, losses)| losses.counts(target) && self.rank(other, losses) > rank)
    }

    fn rank(&self, suspect: &Suspect, losses: &Losses) -> Rank {
        let times = losses.counted().map(|(_, loss)| loss.at);
        (self.weigh(suspect, times), !self.was_answered(suspect))
    }

    /// Returns how many losses at these times count: all, or those in separate incidents for a part that was
    /// answered before.
    fn weigh(&self, suspect: &Suspect, times: impl Iterator<Item = Millis>) -> usize {
        if self.was_answered(suspect) {
            count_incidents(times)
        } else {
            times.count()
        }
    }

    /// Returns whether a suspect is a part that this entry saw answered with success.
    fn was_answered(&self, suspect: &Suspect) -> bool {
        self.answers.latest(suspect).is_some()
    }

    /// Records that `target` was lost while it ran a request with these suspects.
    pub fn record_loss(&mut self, now: Millis, suspects: &[Suspect], target: &TargetId) {
        let loss = Loss {
            state: State::Suspected,
            probe: false,
            at: now,
            changed_at: now,
        };
        for suspect in suspects {
            self.insert(*suspect, target, loss);
        }
    }

    /// Records that a request with these suspects is sent to `target` as a probe of those that are blamed.
    ///
    /// Returns false if one of them was lost there before: then it may not be sent.
    pub fn record_probe(&mut self, now: Millis, suspects: &[Suspect], target: &TargetId) -> bool {
        let blamed = suspects.iter().filter(|suspect| self.is_blamed(suspect));
        let blamed: Vec<Suspect> = blamed.copied().collect();
        let was_lost = |suspect: &Suspect| {
            let losses = self.suspects.get(suspect);
            losses.is_some_and(|losses| losses.contains(target))
        };
        if blamed.iter().any(was_lost) {
            return false;
        }
        let loss = Loss {
            state: State::Reported,
            probe: true,
            at: now,
            changed_at: now,
        };
        for suspect in blamed {
            self.insert(suspect, target, loss);
        }
        true
    }

    /// Records that a request with these suspects was answered completely and with success: none of their
    /// losses so far was a crash by them.
    ///
    /// Returns the number of losses that no longer count.
    pub fn record_answer(&mut self, now: Millis, suspects: &[Suspect]) -> usize {
        self.clear(now, now, suspects)
    }

    /// Records an answer of `target` with success that its connection ended. If the target turns out to be lost
    /// at that time, the answer was cut and counts as a loss.
    pub fn record_unconfirmed(&mut self, now: Millis, suspects: &[Suspect], target: &TargetId) {
        self.answers.record_unconfirmed(now, target, suspects);
    }

    /// Refutes the losses up to the end of an answer at `ended_at`.
    fn clear(&mut self, now: Millis, ended_at: Millis, suspects: &[Suspect]) -> usize {
        let mut refuted = 0;
        for suspect in suspects {
            if let Suspect::Part(_) = suspect {
                self.answers.record(ended_at, *suspect);
            }
            let losses = self.suspects.get_mut(suspect);
            let losses = losses.into_iter().flat_map(Losses::values_mut);
            for loss in losses.filter(|loss| loss.at <= ended_at) {
                refuted += usize::from(loss.refute(now));
            }
        }
        refuted
    }

    /// Records that bytes of an answer arrived from `target`, whose request was sent at `sent_at`: losses before that were no
    /// crashes. Bytes of an earlier answer prove nothing, however late they arrive: they wait in the connection for as
    /// long as the caller makes no room for them.
    ///
    /// Returns the number of losses that no longer count.
    pub fn record_life(&mut self, now: Millis, sent_at: Millis, target: &str) -> usize {
        let mut refuted = 0;
        for suspect in self.targets.get(target).into_iter().flatten() {
            let losses = self.suspects.get_mut(suspect);
            let loss = losses.and_then(|losses| losses.get_mut(target));
            if let Some(loss) = loss.filter(|l| !l.probe && sent_at.since(l.at) >= LIFE_DELAY) {
                refuted += usize::from(loss.refute(now));
            }
        }
        refuted
    }

    /// Merges a report of another process. Returns whether it says something new.
    pub fn merge(&mut self, now: Millis, report: &CrashReport) -> bool {
        let answered_at = self.answers.latest(&report.suspect);
        let refuted = report.refuted || answered_at.is_some_and(|at| at >= report.at);
        let losses = self.suspects.get_mut(&report.suspect);
        let known = losses.and_then(|losses| losses.get_mut(&report.target));
        let Some(known) = known else {
            let state = if refuted {
                State::Refuted
            } else {
                State::Reported
            };
            let loss = Loss {
                state,
                probe: report.probe,
                at: report.at,
                changed_at: now,
            };
            return self.insert(report.suspect, &report.target, loss);
        };
        let state = match known.state {
            State::Suspected if !refuted => State::Reported,
            State::Suspected | State::Reported | State::Dismissed if refuted => State::Refuted,
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
        self.judge_unconfirmed(now);
        for losses in self.suspects.values_mut() {
            let repeated = losses.counted().count() > 1;
            for loss in losses.values_mut() {
                let due = repeated || now.since(loss.at) >= REPORT_DELAY;
                if loss.state == State::Suspected && due {
                    loss.state = State::Reported;
                    loss.changed_at = now;
                }
            }
        }
    }

    /// Counts the answers that their connection ended as answers, or as losses if their target was lost then.
    fn judge_unconfirmed(&mut self, now: Millis) {
        for answer in self.answers.take_due(now) {
            let lost_since = answer.ended_at - LOSS_KNOWN_AFTER;
            if self.was_lost(&answer.target, lost_since) {
                self.record_loss(answer.ended_at, &answer.suspects, &answer.target);
            } else {
                self.clear(now, answer.ended_at, &answer.suspects);
            }
        }
    }

    /// Returns whether a target was lost since `since`.
    fn was_lost(&self, target: &str, since: Millis) -> bool {
        let suspects = self.targets.get(target).into_iter().flatten();
        let mut losses = suspects.filter_map(|suspect| self.suspects.get(suspect)?.get(target));
        losses.any(|loss| loss.counts() && loss.at >= since)
    }

    /// Returns the reports that have changed since `since`.
    pub fn reports_since(&self, since: Millis) -> Vec<CrashReport> {
        self.reports(|_, loss| loss.changed_at >= since)
    }

    /// Returns the reports of the suspects that entries must know, as they are refused or were until a
    /// loss was refuted. They are those of all suspects that have changed since `since`.
    pub fn refused_since(&self, since: Millis) -> Vec<CrashReport> {
        self.reports(|losses, _| losses.changed_at() >= since && losses.len() >= CRASH_LIMIT)
    }

    fn reports(&self, selects: impl Fn(&Losses, &Loss) -> bool) -> Vec<CrashReport> {
        let rows = self.suspects.iter().flat_map(|(suspect, losses)| {
            let selected = losses.iter().filter(|(_, loss)| selects(losses, loss));
            selected.filter_map(|(target, loss)| report(suspect, target, loss))
        });
        rows.collect()
    }

    /// Inserts a loss unless it is known. Returns whether it was inserted.
    fn insert(&mut self, suspect: Suspect, target: &TargetId, loss: Loss) -> bool {
        if !self.suspects.contains_key(&suspect) && self.suspects.len() >= MAX_SUSPECTS {
            self.drop_least();
        }
        let losses = self.suspects.entry(suspect).or_default();
        let inserted = losses.insert(target, loss);
        if inserted {
            let suspects = self.targets.entry(target.clone()).or_default();
            suspects.insert(suspect);
        }
        inserted
    }

    /// Drops the suspects with the fewest losses, and among those the ones that were changed first.
    fn drop_least(&mut self) {
        let rank = |losses: &Losses| (losses.counted().count(), losses.changed_at());
        let ranked = self.suspects.iter().map(|(s, losses)| (rank(losses), *s));
        let mut ranked: Vec<_> = ranked.collect();
        ranked.sort_unstable();
        for (_, suspect) in ranked.into_iter().take(DROPPED_SUSPECTS) {
            self.suspects.remove(&suspect);
        }
        self.forget_targets();
    }

    /// Drops the losses that no longer matter.
    fn prune(&mut self, now: Millis) {
        let mut dropped = false;
        self.suspects.retain(|_, losses| {
            dropped |= losses.prune(now);
            !losses.is_empty()
        });
        if dropped {
            self.forget_targets();
        }
    }

    /// Drops the targets that were lost under no recorded suspect.
    fn forget_targets(&mut self) {
        let suspects = &self.suspects;
        self.targets.retain(|target, lost_by| {
            lost_by.retain(|suspect| {
                let losses = suspects.get(suspect);
                losses.is_some_and(|losses| losses.contains(target))
            });
            !lost_by.is_empty()
        });
    }
}

/// Returns the report of a loss, if others are to know it.
fn report(suspect: &Suspect, target: &TargetId, loss: &Loss) -> Option<CrashReport> {
    matches!(loss.state, State::Reported | State::Refuted).then(|| CrashReport {
        suspect: *suspect,
        target: target.clone(),
        at: loss.at,
        probe: loss.probe,
        refuted: loss.state == State::Refuted,
    })
}

/// Returns the entry that probes a suspect: one of `entries`, which all entries determine alike without
/// coordination.
pub fn prober<'a>(suspect: &Suspect, entries: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let key = suspect
        .digest()
        .as_bytes()
        .iter()
        .fold(0_u64, |key, byte| key.rotate_left(8) ^ u64::from(*byte));
    entries.max_by_key(|entry| (mix(hash(entry) ^ key), *entry))
}
