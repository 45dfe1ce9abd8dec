//! Updates limits, latencies and ejections of targets from the results of attempts.

use filbertstack_core::Millis;

use super::ACCEPTED_DELAY;
use super::Attempt;
use super::AttemptKey;
use super::Fill;
use super::Group;
use super::GroupKey;
use super::GroupKind;
use super::LASTING_WEIGHT;
use super::Router;
use super::TargetKey;
use crate::cost::Cost;
use crate::limit::Sample;
use crate::outlier::Health;
use crate::outlier::MAX_EJECTED_SHARE;
use crate::retry::NotRun;
use crate::target::Target;
use crate::units::len_f64;
use crate::units::millis;
use crate::units::secs;
use crate::window::Mean;

/// The factor by which a target's mean must exceed its group's median to be ejected as slow. Cached and
/// uncached prompts, and full and partly filled batches, account for differences of up to three times.
const SLOW_FACTOR: f64 = 4.0;

/// The smallest number of answers from which a target is judged.
const MIN_ANSWERS: u32 = 3;

/// The smallest number of other targets whose means give a median.
const MIN_PEERS: usize = 3;

/// The prompt tokens that an engine processes in a second at least. The time that a prompt takes at this rate
/// does not count as queueing delay.
const PREFILL_RATE: f64 = 10_000.0;

impl Router {
    /// Records attempts whose first token is overdue as slow ones, without waiting for their end.
    ///
    /// A target that is twenty times slower also reports its slowness twenty times later. Its open attempts
    /// are evidence as soon as the usual time has passed.
    pub fn mark_overdue(&mut self, now: Millis) {
        let late: Vec<_> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.first_token.is_none() && !attempt.overdue)
            .filter(|(_, attempt)| now.since(attempt.sent) > self.overdue_after(attempt))
            .map(|(key, attempt)| (key, attempt.target, attempt.group, attempt.sent))
            .collect();
        for (key, target, group, sent) in late {
            self.attempts[key].overdue = true;
            self.learn_ttft(now, key, now.since(sent));
            self.judge_ttft(now, group, target, key);
        }
    }

    fn overdue_after(&self, attempt: &Attempt) -> Millis {
        let group = self.groups.get(attempt.group);
        let accepted = group.map_or(ACCEPTED_DELAY, Group::accepted_delay);
        let median = group.and_then(|group| group.ttft.quantile(50));
        let typical = median.unwrap_or(Millis::secs(1));
        accepted + millis(secs(typical) * SLOW_FACTOR) + prefill_time(attempt.cost)
    }

    pub(super) fn learn_ttft(&mut self, now: Millis, key: AttemptKey, ttft: Millis) {
        let attempt = &self.attempts[key];
        let Some(group) = self.groups.get(attempt.group) else {
            return;
        };
        let Some(target) = self.targets.get_mut(attempt.target) else {
            return;
        };
        target.record_ttft(ttft);
        let queue_delay = match group.kind {
            GroupKind::Engines => {
                let unloaded = group.min_ttft.get().unwrap_or(ttft);
                ttft.since(unloaded + prefill_time(attempt.cost))
            }
            GroupKind::Service => {
                let recent = target.ttft.get(1).unwrap_or_default();
                millis(recent - group.unloaded_ttft.get(1).unwrap_or(recent))
            }
        };
        let sample = Sample {
            sent: attempt.sent,
            queue_delay,
            accepted_delay: group.accepted_delay(),
            service_time: millis(group.mean_elapsed.get(1).unwrap_or_default()),
            full: attempt.fill == Fill::Full,
        };
        target.limit.observe(now, sample);
        for block in &attempt.prefix {
            target.hints.store(now, *block);
        }
    }

    pub(super) fn learn_completion(&mut self, now: Millis, attempt: &Attempt, cost: Cost) {
        let elapsed = secs(now.since(attempt.sent));
        if let Some(group) = self.groups.get_mut(attempt.group) {
            group.mean_work.add(cost.work(), LASTING_WEIGHT);
            group.mean_elapsed.add(elapsed, LASTING_WEIGHT);
        }
        let Some(target) = self.targets.get_mut(attempt.target) else {
            return;
        };
        target.outlier.record_success();
        let streamed = secs(now.since(attempt.first_token.unwrap_or(now)));
        if cost.output > 1 {
            target.record_gap(streamed / f64::from(cost.output - 1));
        }
        self.judge_gap(now, attempt);
    }

    pub(super) fn learn_refusal(&mut self, now: Millis, attempt: &Attempt, reason: NotRun) {
        match reason {
            NotRun::Unreachable => self.learn_unreachable(now, attempt),
            NotRun::Leaving => self.mark_leaving(attempt.target),
            // The candidates are out of date. This says nothing about the target's load.
            NotRun::Absent => {}
            NotRun::Full => {
                if let Some(target) = self.targets.get_mut(attempt.target) {
                    target.limit.fail(now, attempt.sent);
                }
            }
        }
        self.reopen_probe(now, attempt);
    }

    /// Ejects a target again after its probe was refused. A refusal says nothing about the target's speed, so
    /// a later request has to probe it again.
    fn reopen_probe(&mut self, now: Millis, attempt: &Attempt) {
        if let Some(target) = self.targets.get_mut(attempt.target)
            && attempt.is_probe()
            && target.outlier.health() == Health::Probing
        {
            target.outlier.eject(now);
        }
    }

    /// Ejects a target without a link at once. Unlike a failed answer, a missing link is certain, and every
    /// further request sent there would need a retry.
    fn learn_unreachable(&mut self, now: Millis, attempt: &Attempt) {
        let can_eject = self.can_eject(attempt.group);
        if let Some(target) = self.targets.get_mut(attempt.target)
            && can_eject
            && !target.outlier.is_ejected()
        {
            target.limit.fail(now, attempt.sent);
            target.outlier.eject_lost(now);
        }
    }

    pub(super) fn learn_failure(&mut self, now: Millis, attempt: &Attempt) {
        let can_eject = self.can_eject(attempt.group);
        let Some(target) = self.targets.get_mut(attempt.target) else {
            return;
        };
        target.limit.fail(now, attempt.sent);
        let bad = target.outlier.record_failure();
        if attempt.is_probe() || (bad && can_eject && !target.outlier.is_ejected()) {
            target.outlier.eject(now);
        }
    }

    /// Ejects the target if its first tokens are too late, or if a probe's first token is overdue.
    pub(super) fn judge_ttft(
        &mut self,
        now: Millis,
        group: GroupKey,
        key: TargetKey,
        attempt: AttemptKey,
    ) {
        let probe = self.attempts[attempt].is_probe();
        if probe && self.attempts[attempt].overdue {
            self.eject(now, key);
            return;
        }
        let slack = self
            .groups
            .get(group)
            .map_or(ACCEPTED_DELAY, Group::accepted_delay);
        let slow = self.is_slow(group, key, secs(slack), |target| &target.ttft);
        if !probe && slow && self.can_eject(group) {
            self.eject_if_active(now, key);
        }
    }

    /// Judges a target by the mean time between tokens, which reveals a slow target whose queue is empty, and
    /// readmits or ejects a probed target.
    fn judge_gap(&mut self, now: Millis, attempt: &Attempt) {
        let slow = self.is_slow(attempt.group, attempt.target, 0.0, |target| {
            &target.token_gap
        });
        let can_eject = self.can_eject(attempt.group);
        let Some(target) = self.targets.get_mut(attempt.target) else {
            return;
        };
        let out = target.outlier.is_ejected();
        match (attempt.is_probe() && out, slow) {
            (true, false) if !attempt.overdue => target.readmit(now),
            (true, _) => target.outlier.eject(now),
            (false, true) if can_eject && !out => target.outlier.eject(now),
            (false, _) => {}
        }
    }

    fn eject(&mut self, now: Millis, key: TargetKey) {
        if let Some(target) = self.targets.get_mut(key) {
            target.outlier.eject(now);
        }
    }

    fn eject_if_active(&mut self, now: Millis, key: TargetKey) {
        let out = self.targets.get(key).is_some_and(Target::is_out);
        if !out {
            self.eject(now, key);
        }
    }

    /// Returns whether the target's mean exceeds [`SLOW_FACTOR`] times its peers' median by more than `slack`
    /// seconds, the accepted queueing delay.
    fn is_slow(
        &self,
        group: GroupKey,
        key: TargetKey,
        slack: f64,
        mean: fn(&Target) -> &Mean,
    ) -> bool {
        let Some(own) = self.targets.get(key).and_then(|t| mean(t).get(MIN_ANSWERS)) else {
            return false;
        };
        let others = self.members(group).iter().filter(|member| **member != key);
        let targets = others.filter_map(|member| self.targets.get(*member));
        let mut means: Vec<f64> = targets.filter_map(|t| mean(t).get(MIN_ANSWERS)).collect();
        if means.len() < MIN_PEERS {
            return false;
        }
        means.sort_by(f64::total_cmp);
        own > means[means.len() / 2] * SLOW_FACTOR + slack
    }

    /// Returns whether one more of the group's targets may be ejected.
    pub fn can_eject(&self, group: GroupKey) -> bool {
        let members = self.members(group);
        let is_out = |key: &&TargetKey| self.targets.get(**key).is_some_and(Target::is_out);
        let out = members.iter().filter(is_out).count() + 1;
        len_f64(out) <= len_f64(members.len()) * MAX_EJECTED_SHARE
    }
}

fn prefill_time(cost: Cost) -> Millis {
    millis(f64::from(cost.prompt) / PREFILL_RATE)
}
