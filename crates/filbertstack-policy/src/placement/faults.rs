//! This module records loads that failed or hung. They are retried with growing backoffs and then
//! placed elsewhere.

use std::collections::BTreeMap;

use filbertstack_core::Digest;
use filbertstack_core::Millis;
use filbertstack_core::names::InstanceName;

use super::fleet::Fleet;
use super::fleet::Stage;
use super::fleet::VersionState;

/// The backoff after the first failure. Each further backoff is four times as long.
const FIRST_BACKOFF: Millis = Millis::secs(2);

/// The number of consecutive failures after which the instance is excluded for that version.
///
/// The backoffs of 2 and 8 s distinguish a short disturbance from a broken engine within a minute.
const MAX_FAILURES: u32 = 3;

/// How long an instance is excluded for a version that it could not load.
const EXCLUSION: Millis = Millis::secs(600);

/// A load that takes longer than this has hung. The limit is four times what an engine's start and
/// a link that carries two copies in one window take at the sizes that the product is designed for.
const LOAD_TIMEOUT: Millis = Millis::secs(600);

/// Whether an instance may be ordered to load a version, given its earlier failures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryState {
    /// The load may be ordered now.
    Ready,
    /// The last load failed; the next one may be ordered at the given time.
    Backoff(Millis),
    /// The load failed too often; another instance must hold the version until the given time.
    Excluded(Millis),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LoadFailure {
    count: u32,
    retry_at: Millis,
    /// The time of the failure that was counted last; it prevents counting a failure twice.
    counted_at: Millis,
}

/// The recent load failures by instance and version. A new leader starts with an empty record and
/// fills it from the reports; at worst, a broken engine gets three more tries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadFailures {
    failures: BTreeMap<InstanceName, BTreeMap<Digest, LoadFailure>>,
}

impl LoadFailures {
    /// Returns whether `instance` may be ordered to load `version`.
    pub fn retry_state(
        &self,
        instance: &InstanceName,
        version: &Digest,
        now: Millis,
    ) -> RetryState {
        let of_instance = self.failures.get(instance);
        match of_instance.and_then(|failures| failures.get(version)) {
            Some(failure) if failure.retry_at <= now => RetryState::Ready,
            Some(failure) if failure.count >= MAX_FAILURES => {
                RetryState::Excluded(failure.retry_at)
            }
            Some(failure) => RetryState::Backoff(failure.retry_at),
            None => RetryState::Ready,
        }
    }

    pub(super) fn is_excluded(&self, name: &InstanceName, version: &Digest, now: Millis) -> bool {
        matches!(
            self.retry_state(name, version, now),
            RetryState::Excluded(_)
        )
    }

    /// Updates the record from the agents' reports: each failure counts once, a success clears the
    /// count.
    pub fn observe(&mut self, fleet: &Fleet, now: Millis) {
        for (name, member) in fleet {
            for (version, state) in &member.versions {
                if state.stage == Stage::Serving {
                    self.clear(name, version);
                } else if has_failed(state, now) {
                    self.record(name, version, state.since, now);
                }
            }
        }
        self.failures.retain(|name, _| fleet.contains_key(name));
    }

    fn clear(&mut self, name: &InstanceName, version: &Digest) {
        if let Some(failures) = self.failures.get_mut(name) {
            failures.remove(version);
            if failures.is_empty() {
                self.failures.remove(name);
            }
        }
    }

    fn record(&mut self, name: &InstanceName, version: &Digest, failed_at: Millis, now: Millis) {
        let failures = self.failures.entry(name.clone()).or_default();
        let previous = failures.get(version);
        if previous.is_some_and(|failure| failure.counted_at == failed_at) {
            return;
        }
        let previous_count = previous.map_or(0, |failure| failure.count);
        // The count starts again after an exclusion has ended.
        let count = if previous_count >= MAX_FAILURES {
            1
        } else {
            previous_count + 1
        };
        let backoff = if count >= MAX_FAILURES {
            EXCLUSION
        } else {
            Millis(FIRST_BACKOFF.0 << (2 * (count - 1)))
        };
        let failure = LoadFailure {
            count,
            retry_at: now + backoff,
            counted_at: failed_at,
        };
        failures.insert(*version, failure);
    }
}

fn has_failed(state: &VersionState, now: Millis) -> bool {
    match state.stage {
        Stage::Failed => true,
        Stage::Loading => now.since(state.since) > LOAD_TIMEOUT,
        Stage::Fetched(_) | Stage::Serving | Stage::Draining => false,
    }
}
