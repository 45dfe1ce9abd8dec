//! What is known of a target's prefix cache: a hint, never more.
//!
//! *Load pattern*: many requests share the start of their prompts, and an engine that has it
//! cached skips its prefill. Cache events come late and with gaps. Without hints each engine
//! computes each prefix; with hints taken for truth, one hot prefix would draw its whole load to
//! one engine. So a hint ages, is doubted after a gap, and only weighs against load in
//! [`crate::route`].

use std::collections::HashMap;

use filbertstack_core::Millis;

/// How long a hint counts without news: an engine with limited memory under load has replaced
/// its cache in about a minute.
const HINT_TTL: Millis = Millis::secs(60);

/// How long a hint still counts after a gap in the events, in which its removal may have been.
const GAP_TTL: Millis = Millis::secs(5);

/// The hints kept a generation, two generations a target: 48 targets then take about 3 MB.
const GENERATION_SIZE: usize = 1024;

/// One event of an engine's prefix cache; prefixes are named by the hash of their blocks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// The event's number at its engine, rising by one.
    pub seq: u64,
    /// What changed.
    pub change: CacheChange,
}

/// A change of a prefix cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CacheChange {
    /// The prefixes are cached.
    Stored(Vec<u64>),
    /// The prefixes are no longer cached.
    Removed(Vec<u64>),
    /// The cache is empty.
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
    /// Learns from an event; one that comes late, after a younger, is passed over.
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

    /// Notes that the target holds `prefix`, as after a request with it ran there.
    pub fn store(&mut self, now: Millis, prefix: u64) {
        if self.current.len() >= GENERATION_SIZE {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(prefix, now);
    }

    /// How many leading blocks of `prefix` the target is thought to hold.
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
