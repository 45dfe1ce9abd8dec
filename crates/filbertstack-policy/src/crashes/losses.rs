//! The losses of targets under one suspect.

use std::collections::BTreeMap;

use filbertstack_core::Millis;

use super::LOSS_TTL;
use super::PROBE_PAUSES;
use crate::dispatch::TargetId;

/// The most losses that are recorded of one suspect.
const MAX_LOSSES: usize = 16;

/// The time within which losses count as one incident. A rack or a zone that is lost takes along all its
/// targets within moments.
const INCIDENT_SPAN: Millis = Millis(250);

/// How long a refuted loss is kept, so that a report of the loss that arrives later does not count.
const REFUTED_TTL: Millis = Millis::secs(60);

/// What is known of a loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// This entry lost the target and has not reported it yet.
    Suspected,
    /// The loss is reported, or was reported by another entry.
    Reported,
    /// The loss is no crash by the suspect, which others are told.
    Refuted,
    /// The loss was refuted before it was reported.
    Dismissed,
}

/// The loss of one target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Loss {
    pub(super) state: State,
    pub(super) probe: bool,
    /// The time of the loss.
    pub(super) at: Millis,
    /// The time of the latest change of the state.
    pub(super) changed_at: Millis,
}

impl Loss {
    pub(super) fn counts(&self) -> bool {
        matches!(self.state, State::Suspected | State::Reported)
    }

    /// Refutes the loss, and returns whether it counted. Others are told if it was reported to them.
    pub(super) fn refute(&mut self, now: Millis) -> bool {
        let state = match self.state {
            State::Suspected => State::Dismissed,
            State::Reported => State::Refuted,
            State::Refuted | State::Dismissed => return false,
        };
        self.state = state;
        self.changed_at = now;
        true
    }

    fn is_kept(&self, now: Millis) -> bool {
        match self.state {
            State::Refuted | State::Dismissed => now.since(self.changed_at) < REFUTED_TTL,
            State::Suspected | State::Reported => now.since(self.at) < LOSS_TTL,
        }
    }
}

/// The losses under one suspect, by target.
#[derive(Clone, Debug, Default)]
pub(super) struct Losses(BTreeMap<TargetId, Loss>);

impl Losses {
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(super) fn contains(&self, target: &str) -> bool {
        self.0.contains_key(target)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&TargetId, &Loss)> {
        self.0.iter()
    }

    pub(super) fn values_mut(&mut self) -> impl Iterator<Item = &mut Loss> {
        self.0.values_mut()
    }

    pub(super) fn get(&self, target: &str) -> Option<&Loss> {
        self.0.get(target)
    }

    pub(super) fn get_mut(&mut self, target: &str) -> Option<&mut Loss> {
        self.0.get_mut(target)
    }

    /// Returns the losses that count.
    pub(super) fn counted(&self) -> impl Iterator<Item = (&TargetId, &Loss)> {
        self.0.iter().filter(|(_, loss)| loss.counts())
    }

    /// Returns whether the loss of `target` counts.
    pub(super) fn counts(&self, target: &str) -> bool {
        self.get(target).is_some_and(Loss::counts)
    }

    /// Inserts a loss unless it is known or there are too many that count. Returns whether it was inserted.
    pub(super) fn insert(&mut self, target: &TargetId, loss: Loss) -> bool {
        if self.contains(target) {
            return false;
        }
        if self.0.len() >= MAX_LOSSES && !loss.probe && !self.drop_refuted() {
            return false;
        }
        self.0.insert(target.clone(), loss);
        true
    }

    /// Drops the loss that was refuted first. Returns whether there was one.
    fn drop_refuted(&mut self) -> bool {
        let refuted = self.0.iter().filter(|(_, loss)| !loss.counts());
        let first = refuted.min_by_key(|(_, loss)| loss.changed_at);
        let Some(target) = first.map(|(target, _)| target.clone()) else {
            return false;
        };
        self.0.remove(&target).is_some()
    }

    /// Drops the losses that no longer matter. Returns whether there were any.
    pub(super) fn prune(&mut self, now: Millis) -> bool {
        let before = self.0.len();
        self.0.retain(|_, loss| loss.is_kept(now));
        self.0.len() < before
    }

    /// Returns the time of the latest change of any loss.
    pub(super) fn changed_at(&self) -> Millis {
        let times = self.0.values().map(|loss| loss.changed_at);
        times.max().unwrap_or_default()
    }

    /// Returns the time from which the suspect may be probed, if it may be at all, and when all is over if not.
    pub(super) fn probe_at(&self) -> Result<Millis, Millis> {
        let times = self.counted().map(|(_, loss)| loss.at);
        let last = times.max().unwrap_or_default();
        let probes = self.counted().filter(|(_, loss)| loss.probe).count();
        let pause = PROBE_PAUSES.get(probes);
        pause.map(|pause| last + *pause).ok_or(last + LOSS_TTL)
    }
}

/// Returns the number of incidents that losses at these times belong to.
pub(super) fn count_incidents(times: impl Iterator<Item = Millis>) -> usize {
    let mut times: Vec<Millis> = times.collect();
    times.sort_unstable();
    let mut incidents = 0;
    let mut began: Option<Millis> = None;
    for at in times {
        if began.is_none_or(|began| at.since(began) >= INCIDENT_SPAN) {
            incidents += 1;
            began = Some(at);
        }
    }
    incidents
}
