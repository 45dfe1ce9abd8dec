//! Which of two statements about a process is the newer, and for how long one counts.
//!
//! *Load pattern*: targets come, drain, crash and come back under the same id, and what they say
//! of themselves arrives late, twice or crossed. Without an order of statements, one that was
//! delayed by a partition makes a dead target look alive, or one that is draining look ready, and
//! requests are sent there until they time out.
//!
//! The order is `(born, sequence)`: a later start goes before an earlier one, and within a start
//! a later statement before an earlier one. What has left stays known for a while, so that a late
//! statement can't bring it back.

use std::collections::BTreeMap;
use std::sync::Arc;

use filbertstack_core::Millis;

/// For how long what has left stays known: longer than any statement is delayed, as links between
/// instances give up after seconds.
pub const REMOVED_TTL: Millis = Millis::secs(60);

/// For how long a row is kept that the present source does not list: a source that has just
/// started knows nothing, and hears of every target within two of their heartbeats.
pub const UNLISTED_TTL: Millis = Millis::secs(4);

/// Where a statement stands among those about the same process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Stamp {
    /// The Unix millisecond of the process's start.
    pub born: u64,
    /// Grows with each statement since that start.
    pub sequence: u64,
}

/// What became of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// It is the newest, and says something new.
    Changed,
    /// It is the newest, and says what was known.
    Refreshed,
    /// A newer one is known.
    Stale,
}

#[derive(Clone, Debug)]
struct Row<T> {
    stamp: Stamp,
    value: T,
    gone: bool,
    heard: Millis,
    /// Since when the present source has not listed it.
    unlisted: Option<Millis>,
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
    /// Takes a statement in.
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
        // What has left starts again only with a later birth.
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
            heard: now,
            unlisted: None,
        };
        self.rows.insert(id.clone(), row);
    }

    /// Marks a process as gone, whatever it says under its present birth; false if there is
    /// nothing to mark.
    pub fn remove(&mut self, id: &str, now: Millis) -> bool {
        let row = self.rows.get_mut(id);
        let Some(row) = row.filter(|row| !row.gone) else {
            return false;
        };
        row.gone = true;
        row.heard = now;
        row.stamp.sequence = u64::MAX;
        true
    }

    /// The present value and stamp of `id`, gone or not.
    pub fn get(&self, id: &str) -> Option<(&T, Stamp, bool)> {
        let row = self.rows.get(id);
        row.map(|row| (&row.value, row.stamp, row.gone))
    }

    /// Those that have not left.
    pub fn present(&self) -> impl Iterator<Item = (&Arc<str>, &T, Stamp)> {
        let rows = self.rows.iter().filter(|(_, row)| !row.gone);
        rows.map(|(id, row)| (id, &row.value, row.stamp))
    }

    /// All rows, those that have left included.
    pub fn all(&self) -> impl Iterator<Item = (&Arc<str>, &T, Stamp, bool)> {
        let rows = self.rows.iter();
        rows.map(|(id, row)| (id, &row.value, row.stamp, row.gone))
    }

    /// Marks every row as not listed by a source that begins to tell all that it knows.
    pub fn begin_listing(&mut self, now: Millis) {
        for row in self.rows.values_mut() {
            row.unlisted.get_or_insert(now);
        }
    }

    /// Drops rows that the source does not list, and forgets what left long ago.
    /// Returns whether one that had not left was dropped.
    pub fn prune(&mut self, now: Millis) -> bool {
        let mut dropped = false;
        self.rows.retain(|_, row| {
            let unlisted = row.unlisted.is_some_and(|at| now.since(at) > UNLISTED_TTL);
            let keep = if row.gone {
                now.since(row.heard) < REMOVED_TTL
            } else {
                !unlisted
            };
            dropped |= !keep && !row.gone;
            keep
        });
        dropped
    }

    /// Forgets those not heard of for longer than `patience`, and returns who they were.
    /// One that was only silent comes back with its next statement.
    pub fn expire(
        &mut self,
        now: Millis,
        patience: impl Fn(&T) -> Millis,
    ) -> Vec<(Arc<str>, Stamp)> {
        let silent = self
            .rows
            .iter()
            .filter(|(_, row)| !row.gone && now.since(row.heard) > patience(&row.value));
        let silent: Vec<_> = silent.map(|(id, row)| (id.clone(), row.stamp)).collect();
        for (id, _) in &silent {
            self.rows.remove(id);
        }
        self.prune(now);
        silent
    }

    /// Does not count a span in which nobody could be heard: the node itself was frozen or cut off.
    /// Counted, it would take out every process there is, and refuse all requests, until each has
    /// made its next statement.
    pub fn extend_deadlines(&mut self, span: Millis) {
        for row in self.rows.values_mut() {
            row.heard = row.heard + span;
        }
    }

    /// Forgets a process as if it had never been heard of; false if it wasn't known.
    pub fn forget(&mut self, id: &str) -> bool {
        self.rows.remove(id).is_some_and(|row| !row.gone)
    }
}
