//! Counts of the runs of a stand-in, so that a test can assert that a call ran at most once.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;

use serde::Deserialize;
use serde::Serialize;

/// The most ids that are counted one by one; runs of further ids count in the total only.
const MAX_IDS: usize = 1_000_000;

/// The number of runs, in all and of each request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runs {
    /// All runs.
    pub total: u64,
    /// Runs that completed their answer.
    pub completed: u64,
    /// Runs that ended because the caller closed the connection.
    pub cancelled: u64,
    /// Runs by `x-request-id`.
    pub by_request: BTreeMap<String, u32>,
    /// Runs by `Idempotency-Key`.
    pub by_key: BTreeMap<String, u32>,
}

impl Runs {
    /// Returns the most runs of one idempotency key; above 1, a request ran more than once.
    pub fn most_by_key(&self) -> u32 {
        self.by_key.values().copied().max().unwrap_or(0)
    }
}

/// The run counts of a running stand-in, shared between its threads.
#[derive(Debug, Default)]
pub struct RunLog(Mutex<Runs>);

impl RunLog {
    /// Counts a run that starts.
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

    /// Counts a run whose caller closed the connection.
    pub fn cancel(&self) {
        let mut runs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        runs.cancelled += 1;
    }

    /// Returns the counts so far.
    pub fn read(&self) -> Runs {
        let runs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        runs.clone()
    }
}

fn count(counts: &mut BTreeMap<String, u32>, id: Option<&str>) {
    let Some(id) = id else { return };
    if let Some(runs) = counts.get_mut(id) {
        *runs += 1;
    } else if counts.len() < MAX_IDS {
        counts.insert(id.to_owned(), 1);
    }
}
