//! This module decides which of two statements about a process is the newer, and how long one is valid.
//!
//! *Load pattern*: targets start, drain, crash and restart under the same id, and their statements
//! about themselves arrive late, twice or out of order. Without an order of statements, one that a
//! partition delayed makes a dead target look alive or a draining one look ready, and requests are sent
//! there until they time out.
//!
//! Statements are ordered by `(born, sequence)`: a later start supersedes an earlier one, and within
//! one start a later statement supersedes an earlier one. A removed process stays known for a while, so
//! that a late statement cannot restore it.

use std::collections::BTreeMap;
use std::sync::Arc;

use filbertstack_core::Millis;

/// The time for which a removed process stays known. It is longer than any statement is delayed, as
/// links between instances time out after seconds.
pub const REMOVED_TTL: Millis = Millis::secs(60);

/// The time for which a row is kept that the current source does not list. A source that has just
/// started knows nothing, and learns of every target within two of the targets' heartbeats.
pub const UNLISTED_TTL: Millis = Millis::secs(4);

/// The position of a statement among those about the same process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Stamp {
    /// The start of the process in Unix milliseconds.
    pub born: u64,
    /// The number of the statement, which grows with each one since that start.
    pub sequence: u64,
}

/// The result of applying a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The statement is the newest and changes the known value.
    Changed,
    /// The statement is the newest and confirms the known value.
    Refreshed,
    /// A newer statement is known.
    Stale,
}

#[derive(Clone, Debug)]
struct Row<T> {
    stamp: Stamp,
    value: T,
    gone: bool,
    last_heard: Millis,
    /// The time since which the current source has not listed the process.
    unlisted_since: Option<Millis>,
}

/// The newest statement about each process.
#[derive(Clone, Debug)]
pub struct Registry<T> {
    rows: BTreeMap<Arc<str>, Row<T>>,
}

impl<T> Default for Registry<T> {
    fn default() -> Self {
        Self {
            rows: BTreeMap::new(),
        }
    }
}

impl<T: Clone + PartialEq> Registry<T> {
    /// Applies a statement unless a newer one is known.
    pub fn apply(
        &mut self,
        id: &Arc<str>,
        stamp: Stamp,
        value: T,
        gone: bool,
        now: Millis,
    ) -> Applied {
        let known = self.rows.get_mut(id);
        let Some(known) = known else {
            self.insert(id, stamp, value, gone, now);
            return Applied::Changed;
        };
        if stamp < known.stamp {
            return Applied::Stale;
        }
        // Only a later start restores a removed process.
        if known.gone && stamp.born == known.stamp.born && !gone {
            return Applied::Stale;
        }
        let same = known.value == value && known.gone == gone && known.stamp.born == stamp.born;
        self.insert(id, stamp, value, gone, now);
        if same {
            Applied::Refreshed
        } else {
            Applied::Changed
        }
    }

    fn insert(&mut self, id: &Arc<str>, stamp: Stamp, value: T, gone: bool, now: Millis) {
        let row = Row {
            stamp,
            value,
            gone,
            last_heard: now,
            unlisted_since: None,
        };
        self.rows.insert(id.clone(), row);
    }

    /// Marks a process as removed, whatever it states under its current start. Returns `false` if the
    /// process is unknown or already removed.
    pub fn remove(&mut self, id: &str, now: Millis) -> bool {
        let row = self.rows.get_mut(id);
        let Some(row) = row.filter(|row| !row.gone) else {
            return false;
        };
        row.gone = true;
        row.last_heard = now;
        row.stamp.sequence = u64::MAX;
        true
    }

    /// Returns the current value and stamp of `id`, and whether it was removed.
    pub fn get(&self, id: &str) -> Option<(&T, Stamp, bool)> {
        let row = self.rows.get(id);
        row.map(|row| (&row.value, row.stamp, row.gone))
    }

    /// Returns the processes that were not removed.
    pub fn present(&self) -> impl Iterator<Item = (&Arc<str>, &T, Stamp)> {
        let rows = self.rows.iter().filter(|(_, row)| !row.gone);
        rows.map(|(id, row)| (id, &row.value, row.stamp))
    }

    /// Returns all processes, including removed ones.
    pub fn all(&self) -> impl Iterator<Item = (&Arc<str>, &T, Stamp, bool)> {
        let rows = self.rows.iter();
        rows.map(|(id, row)| (id, &row.value, row.stamp, row.gone))
    }

    /// Marks every row as not listed by a source that starts to send all that it knows.
    pub fn begin_listing(&mut self, now: Millis) {
        for row in self.rows.values_mut() {
            row.unlisted_since.get_or_insert(now);
        }
    }

    /// Drops rows that the source does not list, and removed ones that have expired. Returns whether a
    /// row that was not removed was dropped.
    pub fn prune(&mut self, now: Millis) -> bool {
        let mut dropped = false;
        self.rows.retain(|_, row| {
            let unlisted = row
                .unlisted_since
                .is_some_and(|at| now.since(at) > UNLISTED_TTL);
            let keep = if row.gone {
                now.since(row.last_heard) < REMOVED_TTL
            } else {
                !unlisted
            };
            dropped |= !keep && !row.gone;
            keep
        });
        dropped
    }

    /// Drops processes that have been silent for longer than `timeout`, and returns them. The next
    /// statement of a process that was only silent restores it.
    pub fn expire(
        &mut self,
        now: Millis,
        timeout: impl Fn(&T) -> Millis,
    ) -> Vec<(Arc<str>, Stamp)> {
        let silent = self
            .rows
            .iter()
            .filter(|(_, row)| !row.gone && now.since(row.last_heard) > timeout(&row.value));
        let silent: Vec<_> = silent.map(|(id, row)| (id.clone(), row.stamp)).collect();
        for (id, _) in &silent {
            self.rows.remove(id);
        }
        self.prune(now);
        silent
    }

    /// Excludes a span from all timeouts in which no statement could be received, because the node
    /// itself was frozen or cut off. Otherwise every process would be dropped and all requests refused
    /// until each process has sent its next statement.
    pub fn extend_deadlines(&mut self, span: Millis) {
        for row in self.rows.values_mut() {
            row.last_heard = row.last_heard + span;
        }
    }

    /// Drops a process as if it had never been known. Returns `false` if it was unknown or already
    /// removed.
    pub fn forget(&mut self, id: &str) -> bool {
        self.rows.remove(id).is_some_and(|row| !row.gone)
    }
}
