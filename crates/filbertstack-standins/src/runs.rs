//! Counts of what really ran, so that a test can assert that a call ran at most once.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;

use serde::Deserialize;
use serde::Serialize;

/// The most ids that are counted each; later ones go into the total only.
const MAX_IDS: usize = 1_000_000;

/// How often each request ran.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runs {
    /// Runs in all.
    pub total: u64,
    /// Runs that gave their whole answer.
    pub completed: u64,
    /// Runs that ended because the caller hung up.
    pub cancelled: u64,
    /// Runs by `x-request-id`.
    pub by_request: BTreeMap<String, u32>,
    /// Runs by `Idempotency-Key`.
    pub by_key: BTreeMap<String, u32>,
}

impl Runs {
    /// The most runs of one idempotency key; above 1, something ran twice.
    pub fn most_by_key(&self) -> u32 {
        self.by_key.values().copied().max().unwrap_or(0)
    }
}

/// The counts of a running stand-in.
#[derive(Debug, Default)]
pub struct RunLog(Mutex<Runs>);

impl RunLog {
    /// Counts a run that begins.
    pub fn begin(&self, request: Option<&str>, key: Option<&str>) {
        let mut runs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        runs.total += 1;
        count(&mut runs.by_request, request);
        count(&mut runs.by_key, key);
    }

    /// Counts a run that gave its whole answer.
    pub fn complete(&self) {
        let mut runs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        runs.completed += 1;
    }

    /// Counts a run whose caller hung up.
    pub fn cancel(&self) {
        let mut runs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        runs.cancelled += 1;
    }

    /// The counts so far.
    pub fn read(&self) -> Runs {
        let runs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        runs.clone()
    }
}

fn count(by: &mut BTreeMap<String, u32>, id: Option<&str>) {
    let Some(id) = id else { return };
    if let Some(runs) = by.get_mut(id) {
        *runs += 1;
    } else if by.len() < MAX_IDS {
        by.insert(id.to_owned(), 1);
    }
}
