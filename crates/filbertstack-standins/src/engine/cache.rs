//! The prefix cache, which holds a limited number of prompt blocks, and the events of its changes.
//!
//! A prompt is divided into blocks of [`BLOCK_WORDS`] words. A block's id is a hash of all words up to
//! its end, so that a block matches only after the same preceding blocks. The cache evicts the least recently
//! used block. This module reads no clock: callers pass the time.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// The number of words in a block.
pub const BLOCK_WORDS: usize = 16;

/// The most events that are kept for readers.
const MAX_EVENTS: usize = 4096;

/// Identifies a block by a hash of all words up to its end.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BlockId(pub u64);

impl fmt::Debug for BlockId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Returns the blocks of a prompt; words at the end that do not fill a block are never cached.
pub fn blocks(prompt: &str) -> Vec<BlockId> {
    let words: Vec<&str> = prompt.split_whitespace().collect();
    let mut hasher = blake3::Hasher::new();
    let full_blocks = words.chunks_exact(BLOCK_WORDS);
    let id = |block: &[&str]| {
        for word in block {
            hasher.update(word.as_bytes());
            hasher.update(b" ");
        }
        let hash = hasher.finalize();
        let prefix = hash.as_bytes().first_chunk().copied();
        BlockId(u64::from_le_bytes(prefix.unwrap_or_default()))
    };
    full_blocks.map(id).collect()
}

/// A change of the cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind", content = "block")]
pub enum Change {
    /// The block was stored.
    Stored(BlockId),
    /// The block was evicted.
    Removed(BlockId),
    /// All blocks were removed because the weights changed.
    Cleared,
}

/// A change of the cache and its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The number of the change, counted from 1; a reader detects missed events by a gap in the numbers.
    pub seq: u64,
    /// The change.
    #[serde(flatten)]
    pub change: Change,
}

/// The answer of `GET /cache/events?after=SEQ`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The events after number `after`, in order.
    pub events: Vec<CacheEvent>,
}

/// The result of looking a prompt up in the cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lookup {
    /// The number of blocks of the prompt.
    pub blocks: usize,
    /// The number of blocks at its beginning that were in the cache.
    pub hits: usize,
}

/// The cached blocks and the latest events.
#[derive(Debug, Default)]
pub struct PrefixCache {
    capacity: usize,
    drop_every: u64,
    tick: u64,
    seq: u64,
    last_used: HashMap<BlockId, u64>,
    by_last_use: BTreeMap<u64, BlockId>,
    events: VecDeque<(Duration, CacheEvent)>,
}

impl PrefixCache {
    /// Creates a cache of `capacity` blocks that drops every `drop_every`th event; 0 drops none.
    pub fn new(capacity: usize, drop_every: u64) -> Self {
        Self {
            capacity,
            drop_every,
            ..Self::default()
        }
    }

    /// Looks up a prompt's blocks and stores the missing ones.
    pub fn admit(&mut self, prompt: &str, now: Duration) -> Lookup {
        let blocks = blocks(prompt);
        let hits = self.cached(&blocks);
        for block in &blocks {
            self.store(*block, now);
        }
        Lookup {
            blocks: blocks.len(),
            hits,
        }
    }

    /// Returns how many of `blocks` are cached, counted from the first block to the first missing one.
    pub fn cached(&self, blocks: &[BlockId]) -> usize {
        let cached = |block: &&BlockId| self.last_used.contains_key(block);
        blocks.iter().take_while(cached).count()
    }

    /// Stores a block or, if it is cached already, marks it as used.
    pub fn store(&mut self, block: BlockId, now: Duration) {
        self.tick += 1;
        match self.last_used.insert(block, self.tick) {
            Some(previous) => {
                self.by_last_use.remove(&previous);
            }
            None => self.publish(Change::Stored(block), now),
        }
        self.by_last_use.insert(self.tick, block);
        while self.last_used.len() > self.capacity {
            let Some((_, oldest)) = self.by_last_use.pop_first() else {
                return;
            };
            self.last_used.remove(&oldest);
            self.publish(Change::Removed(oldest), now);
        }
    }

    /// Removes all blocks.
    pub fn clear(&mut self, now: Duration) {
        self.last_used.clear();
        self.by_last_use.clear();
        self.publish(Change::Cleared, now);
    }

    fn publish(&mut self, change: Change, now: Duration) {
        self.seq += 1;
        if self.drop_every > 0 && self.seq.is_multiple_of(self.drop_every) {
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        let seq = self.seq;
        self.events.push_back((now, CacheEvent { seq, change }));
    }

    /// Returns the events after number `after` that happened at `until` or before.
    pub fn events(&self, after: u64, until: Duration) -> CacheEvents {
        let visible = |(at, event): &&(Duration, CacheEvent)| *at <= until && event.seq > after;
        let events = self.events.iter().filter(visible).map(|(_, event)| *event);
        CacheEvents {
            events: events.collect(),
        }
    }

    /// Returns the share of the capacity in use, in thousandths.
    pub fn usage(&self) -> usize {
        self.last_used.len() * 1000 / self.capacity.max(1)
    }
}
