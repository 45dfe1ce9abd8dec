//! Loads that failed or hung: tried again with growing waits, then elsewhere.

use std::collections::BTreeMap;

use filbertstack_core::Digest;
use filbertstack_core::Millis;
use filbertstack_core::names::InstanceName;

use super::fleet::Fleet;
use super::fleet::Stage;
use super::fleet::VersionState;

/// The wait after the first failure; each further one waits four times as long.
const FIRST_WAIT: Millis = Millis::secs(2);

/// After so many failures in a row the instance is left alone with that version.
///
/// Three waits of 2, 8 and 32 s tell a short hiccup from a broken engine within a minute.
const MAX_TRIES: u32 = 3;

/// How long an instance is left alone with a version that it could not load.
const BAR: Millis = Millis::secs(600);

/// A load that takes longer than this has hung: four times what a link's two copies in a window
/// and an engine's start take at the sizes the product is made for.
const LOAD_LIMIT: Millis = Millis::secs(600);

/// What is thought of one version on one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may be ordered.
    Fine,
    /// It failed and is tried again at the given moment.
    Waits(Millis),
    /// It failed too often; another instance shall hold it until the given moment.
    Barred(Millis),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Fault {
    tries: u32,
    again: Millis,
    /// The failure that was counted last, by its moment.
    counted: Millis,
}

/// The loads that failed lately. A new leader starts with none and learns them anew: at worst a
/// broken engine gets three more tries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadFailures {
    faults: BTreeMap<InstanceName, BTreeMap<Digest, Fault>>,
}

impl LoadFailures {
    /// What is thought of `version` on `instance`.
    pub fn verdict(&self, instance: &InstanceName, version: &Digest, now: Millis) -> Verdict {
        let of_instance = self.faults.get(instance);
        match of_instance.and_then(|faults| faults.get(version)) {
            Some(fault) if fault.again <= now => Verdict::Fine,
            Some(fault) if fault.tries >= MAX_TRIES => Verdict::Barred(fault.again),
            Some(fault) => Verdict::Waits(fault.again),
            None => Verdict::Fine,
        }
    }

    pub(super) fn is_barred(&self, name: &InstanceName, version: &Digest, now: Millis) -> bool {
        matches!(self.verdict(name, version, now), Verdict::Barred(_))
    }

    /// Takes in what the agents report: each failure counts once, a success clears the count.
    pub fn observe(&mut self, fleet: &Fleet, now: Millis) {
        for (name, member) in fleet {
            for (version, holding) in &member.versions {
                if holding.stage == Stage::Serving {
                    self.clear(name, version);
                } else if has_failed(holding, now) {
                    self.count(name, version, holding.since, now);
                }
            }
        }
        self.faults.retain(|name, _| fleet.contains_key(name));
    }

    fn clear(&mut self, name: &InstanceName, version: &Digest) {
        if let Some(faults) = self.faults.get_mut(name) {
            faults.remove(version);
            if faults.is_empty() {
                self.faults.remove(name);
            }
        }
    }

    fn count(&mut self, name: &InstanceName, version: &Digest, at: Millis, now: Millis) {
        let faults = self.faults.entry(name.clone()).or_default();
        let known = faults.get(version);
        if known.is_some_and(|fault| fault.counted == at) {
            return;
        }
        let before = known.map_or(0, |fault| fault.tries);
        // After a bar has run out the count starts again.
        let tries = if before >= MAX_TRIES { 1 } else { before + 1 };
        let wait = if tries >= MAX_TRIES {
            BAR
        } else {
            Millis(FIRST_WAIT.0 << (2 * (tries - 1)))
        };
        let fault = Fault {
            tries,
            again: now + wait,
            counted: at,
        };
        faults.insert(*version, fault);
    }
}

fn has_failed(holding: &VersionState, now: Millis) -> bool {
    match holding.stage {
        Stage::Failed => true,
        Stage::Loading => now.since(holding.since) > LOAD_LIMIT,
        Stage::Fetched(_) | Stage::Serving | Stage::Draining => false,
    }
}
