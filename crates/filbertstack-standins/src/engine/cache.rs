//! The cache of prompt prefixes in limited memory, and the events that tell of it.
//!
//! A prompt is cut into blocks of [`BLOCK_WORDS`] words. A block's id stands for all words up to
//! its end, so that a block is of use only behind the blocks before it. What was used longest ago
//! makes room. Nothing here has a clock: time is passed in.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// The words of a block.
pub const BLOCK_WORDS: usize = 16;

/// The most events that are kept for readers.
const MAX_EVENTS: usize = 4096;

/// Names a block by all words up to its end.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BlockId(pub u64);

impl fmt::Debug for BlockId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The blocks of a prompt; words that fill no block are never cached.
pub fn blocks(prompt: &str) -> Vec<BlockId> {
    let words: Vec<&str> = prompt.split_whitespace().collect();
    let mut hasher = blake3::Hasher::new();
    let full = words.chunks_exact(BLOCK_WORDS);
    let id = |block: &[&str]| {
        for word in block {
            hasher.update(word.as_bytes());
            hasher.update(b" ");
        }
        let hash = hasher.finalize();
        let first = hash.as_bytes().first_chunk().copied();
        BlockId(u64::from_le_bytes(first.unwrap_or_default()))
    };
    full.map(id).collect()
}

/// What happened to a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind", content = "block")]
pub enum Change {
    /// It was stored.
    Stored(BlockId),
    /// It made room.
    Removed(BlockId),
    /// All were dropped, because the weights changed.
    Cleared,
}

/// A change and its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Counts the changes from 1; a reader sees from a gap that it missed some.
    pub seq: u64,
    /// The change.
    #[serde(flatten)]
    pub change: Change,
}

/// What `GET /cache/events?after=SEQ` answers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The events behind `after`, in order.
    pub events: Vec<CacheEvent>,
}

/// How a prompt met the cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lookup {
    /// The prompt's blocks.
    pub blocks: usize,
    /// Those at its beginning that were in the cache.
    pub hits: usize,
}

/// The cached blocks and the latest changes.
#[derive(Debug, Default)]
pub struct PrefixCache {
    capacity: usize,
    gap: u64,
    tick: u64,
    seq: u64,
    used: HashMap<BlockId, u64>,
    order: BTreeMap<u64, BlockId>,
    events: VecDeque<(Duration, CacheEvent)>,
}

impl PrefixCache {
    /// A cache of `capacity` blocks that loses every `gap`th event; 0 loses none.
    pub fn new(capacity: usize, gap: u64) -> Self {
        Self {
            capacity,
            gap,
            ..Self::default()
        }
    }

    /// Looks a prompt's blocks up and stores those that are missing.
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

    /// How many of `blocks` are cached, counted from the first to the first that is not.
    pub fn cached(&self, blocks: &[BlockId]) -> usize {
        let cached = |block: &&BlockId| self.used.contains_key(block);
        blocks.iter().take_while(cached).count()
    }

    /// Stores a block or notes its use.
    pub fn store(&mut self, block: BlockId, now: Duration) {
        self.tick += 1;
        match self.used.insert(block, self.tick) {
            Some(before) => {
                self.order.remove(&before);
            }
            None => self.publish(Change::Stored(block), now),
        }
        self.order.insert(self.tick, block);
        while self.used.len() > self.capacity {
            let Some((_, oldest)) = self.order.pop_first() else {
                return;
            };
            self.used.remove(&oldest);
            self.publish(Change::Removed(oldest), now);
        }
    }

    /// Drops everything.
    pub fn clear(&mut self, now: Duration) {
        self.used.clear();
        self.order.clear();
        self.publish(Change::Cleared, now);
    }

    fn publish(&mut self, change: Change, now: Duration) {
        self.seq += 1;
        if self.gap > 0 && self.seq.is_multiple_of(self.gap) {
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        let seq = self.seq;
        self.events.push_back((now, CacheEvent { seq, change }));
    }

    /// The events behind `after` that happened at `until` or before.
    pub fn events(&self, after: u64, until: Duration) -> CacheEvents {
        let old = |(at, event): &&(Duration, CacheEvent)| *at <= until && event.seq > after;
        let events = self.events.iter().filter(old).map(|(_, event)| *event);
        CacheEvents {
            events: events.collect(),
        }
    }

    /// The share of the capacity in use, in thousandths.
    pub fn usage(&self) -> usize {
        self.used.len() * 1000 / self.capacity.max(1)
    }
}
