//! This module takes in what this entry observes of targets' paces, where that is switched on.

use std::collections::BTreeMap;
use std::sync::Arc;

use filbertstack_core::Millis;

use super::Dispatcher;
use super::millis_f64;
use super::pace::PaceChange;
use super::pace::usual_estimate;
use super::target::Target;
use super::target::TargetId;
use crate::window::Mean;

/// The time for which the comparison of all targets is kept. It is shorter than a pass, and with it an event
/// costs a few operations however many targets there are.
const COMPARED_FOR: Millis = Millis(20);

/// The weight of the latest call in the mean of a service's calls: some hundred calls, so that the slow part
/// of the targets weighs as much as it has members.
const CALL_WEIGHT: f64 = 0.01;

/// The number of calls from which their mean is compared with.
const MIN_CALLS: u32 = 10;

/// What an entry compares its targets with.
#[derive(Clone, Debug, Default)]
pub(super) struct Observations {
    services: BTreeMap<Arc<str>, Usual>,
    slow: Vec<TargetId>,
    changes: Vec<PaceChange>,
}

/// What is usual among the targets of a service.
#[derive(Clone, Copy, Debug, Default)]
struct Usual {
    compared_at: Option<Millis>,
    /// The estimate of most targets.
    estimate: f64,
    /// The mean duration of a plain call, in milliseconds.
    call_ms: Mean,
}

impl Dispatcher {
    /// Switches on the estimates of the targets' paces.
    pub fn estimate_paces(&mut self) {
        self.observations = Some(Observations::default());
    }

    /// Records that the last of `events` events of one stream, each of another pass, came `gap` after the event
    /// before them. Gaps in which the caller held the relay back must not be passed.
    pub fn observe_events(&mut self, now: Millis, id: &str, gap: Millis, events: u32) {
        self.observe(now, id, |target| target.observe_events(now, gap, events));
    }

    /// Records that the first event of a request came `took` after it was sent.
    pub fn observe_first_event(&mut self, now: Millis, id: &str, prompt: u32, took: Millis) {
        self.observe(now, id, |target| target.observe_first(now, prompt, took));
    }

    /// Records that a plain call was answered after `took`.
    pub fn observe_call(&mut self, now: Millis, id: &str, took: Millis) {
        let Some((observations, target)) = self.observations.as_mut().zip(self.targets.get(id))
        else {
            return;
        };
        if target.spec.engine.is_some() {
            return;
        }
        let service = target.spec.service.clone();
        let usual = &mut observations.services.entry(service).or_default().call_ms;
        usual.add(millis_f64(took), CALL_WEIGHT);
        if let Some(usual) = usual.get(MIN_CALLS) {
            self.observe(now, id, |target| target.observe_call(now, took, usual));
        }
    }

    /// Records an observation, and decides whether the target is slow now.
    fn observe(&mut self, now: Millis, id: &str, add: impl FnOnce(&mut Target) -> bool) {
        if self.observations.is_none() {
            return;
        }
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        if !add(target) {
            return;
        }
        let id = target.spec.id.clone();
        let usual = if target.pace.seems_slow(now) {
            let service = target.spec.service.clone();
            self.usual_estimate(now, &service)
        } else {
            1.0
        };
        let Some((observations, target)) =
            self.observations.as_mut().zip(self.targets.get_mut(&id))
        else {
            return;
        };
        let estimate = target.pace.judge(now, usual);
        let slow = target.pace.is_slow(now);
        observations.note(id, estimate, slow);
    }

    /// Returns the estimate of most targets of a service that were observed lately.
    fn usual_estimate(&mut self, now: Millis, service: &Arc<str>) -> f64 {
        let Some(observations) = &mut self.observations else {
            return 1.0;
        };
        let usual = observations.services.entry(service.clone()).or_default();
        let is_new = |at| now.since(at) < COMPARED_FOR;
        if usual.compared_at.is_some_and(is_new) {
            return usual.estimate;
        }
        let targets = self.targets.values().filter(|t| t.spec.service == *service);
        usual.estimate = usual_estimate(targets.filter_map(|t| t.pace.estimate(now)).collect());
        usual.compared_at = Some(now);
        usual.estimate
    }

    /// Returns the targets that turned slow, or are at their usual pace again, since this was last asked.
    pub fn take_pace_changes(&mut self, now: Millis) -> Vec<PaceChange> {
        let Some(observations) = &mut self.observations else {
            return Vec::new();
        };
        let is_slow = |id: &TargetId| self.targets.get(id).is_some_and(|t| t.pace.is_slow(now));
        let forgotten = observations.slow.extract_if(.., |id| !is_slow(id));
        let forgotten = forgotten.map(|target| PaceChange {
            target,
            estimate: 1.0,
            slow: false,
        });
        observations.changes.extend(forgotten);
        std::mem::take(&mut observations.changes)
    }
}

impl Observations {
    /// Notes whether a target is slow, and the change if it was not so before.
    fn note(&mut self, target: TargetId, estimate: f64, slow: bool) {
        let known = self.slow.iter().position(|id| *id == target);
        match (known, slow) {
            (None, true) => self.slow.push(target.clone()),
            (Some(at), false) => drop(self.slow.swap_remove(at)),
            (None, false) | (Some(_), true) => return,
        }
        self.changes.push(PaceChange {
            target,
            estimate,
            slow,
        });
    }
}
