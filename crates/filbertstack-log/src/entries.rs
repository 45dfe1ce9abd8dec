//! The part of the log that is kept in memory.

use std::collections::VecDeque;

use crate::ids::Position;
use crate::message::Entry;

/// Holds the entries after `base`, without a gap.
#[derive(Clone, Debug, Default)]
pub(crate) struct Entries {
    base: Position,
    list: VecDeque<Entry>,
    /// The total cost of all entries up to each entry, counted from the start of the process.
    sums: VecDeque<usize>,
}

impl Entries {
    pub(crate) fn new(base: Position, entries: Vec<Entry>) -> Self {
        let mut log = Self {
            base,
            ..Self::default()
        };
        for entry in entries {
            log.push(entry);
        }
        log
    }

    pub(crate) fn base(&self) -> Position {
        self.base
    }

    pub(crate) fn last(&self) -> Position {
        self.list.back().map_or(self.base, Entry::position)
    }

    pub(crate) fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.list.get(usize::try_from(offset).ok()?)
    }

    pub(crate) fn term(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|e| e.term)
    }

    pub(crate) fn holds(&self, place: Position) -> bool {
        self.term(place.index) == Some(place.term)
    }

    /// Returns the entries from `from` on whose total cost stays within `bytes`, but at least one
    /// if there is one.
    pub(crate) fn slice(&self, from: u64, bytes: usize) -> Vec<Entry> {
        let mut total = 0;
        let mut chosen = Vec::new();
        let mut index = from;
        while let Some(entry) = self.get(index) {
            total += entry.cost();
            if total > bytes && !chosen.is_empty() {
                break;
            }
            chosen.push(entry.clone());
            index += 1;
        }
        chosen
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last().index + 1);
        let sum = self.sums.back().copied().unwrap_or(0) + entry.cost();
        self.sums.push_back(sum);
        self.list.push_back(entry);
    }

    /// Drops the entry at `index` and all entries after it.
    pub(crate) fn truncate(&mut self, index: u64) {
        let kept = index.saturating_sub(self.base.index + 1);
        let kept = usize::try_from(kept).unwrap_or(usize::MAX);
        self.list.truncate(kept);
        self.sums.truncate(kept);
    }

    /// Drops the entries up to `index`, which becomes the base.
    pub(crate) fn compact(&mut self, index: u64) {
        let Some(term) = self.term(index) else { return };
        if index <= self.base.index {
            return;
        }
        let dropped = usize::try_from(index - self.base.index).unwrap_or(usize::MAX);
        let dropped = dropped.min(self.list.len());
        self.list.drain(..dropped);
        self.sums.drain(..dropped);
        self.base = Position { term, index };
    }

    /// Returns the first index of the run of entries that have the same term as the entry at
    /// `index`.
    pub(crate) fn run_start(&self, index: u64) -> u64 {
        let term = self.term(index);
        let mut start = index;
        while start > self.base.index + 1 && self.term(start - 1) == term {
            start -= 1;
        }
        start
    }

    /// Returns the memory used by the entries after `index`, in bytes.
    pub(crate) fn cost_after(&self, index: u64) -> usize {
        let skip = index.saturating_sub(self.base.index);
        let skip = usize::try_from(skip).unwrap_or(usize::MAX);
        let total = self.sums.back().copied().unwrap_or(0);
        let Some(first) = self.list.get(skip) else {
            return 0;
        };
        total - (self.sums[skip] - first.cost())
    }
}
