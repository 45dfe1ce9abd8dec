//! Records what a target's prefix cache probably holds, as hints.
//!
//! *Load pattern*: many requests share the start of their prompts, and an engine that has this prefix cached
//! skips its prefill. Cache events arrive late and with gaps. Without hints each engine computes each prefix.
//! If hints were taken as certain, one hot prefix would draw its whole load to one engine. Therefore a hint
//! expires, is distrusted after a gap, and is only weighed against load in [`crate::route`].

use std::collections::HashMap;

use filbertstack_core::Millis;

/// The time for which a hint is valid without further events. An engine with limited memory under load
/// replaces its cache in about a minute.
const HINT_TTL: Millis = Millis::secs(60);

/// The time for which a hint stays valid after a gap in the events, which may have contained its removal.
const GAP_TTL: Millis = Millis::secs(5);

/// The number of hints per generation. With two generations a target, 48 targets take about 3 MB.
const GENERATION_SIZE: usize = 1024;

/// An event of an engine's prefix cache. A prefix is identified by the hash of its blocks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// The event's number at its engine, which increases by one.
    pub seq: u64,
    /// The change.
    pub change: CacheChange,
}

/// A change of a prefix cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CacheChange {
    /// The prefixes were cached.
    Stored(Vec<u64>),
    /// The prefixes are no longer cached.
    Removed(Vec<u64>),
    /// The cache was emptied.
    Cleared,
}

/// The hints of one target.
#[derive(Clone, Debug, Default)]
pub struct Hints {
    current: HashMap<u64, Millis>,
    previous: HashMap<u64, Millis>,
    seq: Option<u64>,
    last_gap: Option<Millis>,
}

impl Hints {
    /// Records an event. An event that arrives after a later one is ignored.
    pub fn observe(&mut self, now: Millis, event: &CacheEvent) {
        if self.seq.is_some_and(|seq| event.seq <= seq) {
            return;
        }
        if self.seq.is_some_and(|seq| event.seq > seq + 1) {
            self.last_gap = Some(now);
        }
        self.seq = Some(event.seq);
        match &event.change {
            CacheChange::Stored(prefixes) => prefixes.iter().for_each(|p| self.store(now, *p)),
            CacheChange::Removed(prefixes) => prefixes.iter().for_each(|p| self.forget(*p)),
            CacheChange::Cleared => self.clear(),
        }
    }

    /// Records that the target holds `prefix`, for example after a request with this prefix ran there.
    pub fn store(&mut self, now: Millis, prefix: u64) {
        if self.current.len() >= GENERATION_SIZE {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(prefix, now);
    }

    /// Returns the number of leading blocks of `prefix` that the target probably holds.
    pub fn cached_blocks(&self, now: Millis, prefix: &[u64]) -> usize {
        prefix
            .iter()
            .rposition(|block| self.is_cached(now, *block))
            .map_or(0, |last| last + 1)
    }

    fn is_cached(&self, now: Millis, block: u64) -> bool {
        let Some(stored) = self
            .current
            .get(&block)
            .or_else(|| self.previous.get(&block))
        else {
            return false;
        };
        let doubted = self
            .last_gap
            .is_some_and(|gap| *stored <= gap && now.since(gap) > GAP_TTL);
        !doubted && now.since(*stored) <= HINT_TTL
    }

    fn forget(&mut self, block: u64) {
        self.current.remove(&block);
        self.previous.remove(&block);
    }

    fn clear(&mut self) {
        self.current.clear();
        self.previous.clear();
    }
}
