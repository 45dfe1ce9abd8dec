//! A model engine in virtual time, with continuous batching, chunked prefill and a small prefix cache.

use std::collections::VecDeque;

use filbertstack_policy::prefix::CacheChange;
use filbertstack_policy::target::LoadReport;

/// Microseconds of virtual time.
pub type Micros = u64;

pub const SLOTS: usize = 32;
const STEP_TIME: Micros = 7_000;
const SEQUENCE_TIME: Micros = 50;
const PREFILL_TIME: Micros = 20;
const PREFILL_CHUNK: u32 = 512;
const CACHED_PREFIXES: usize = 6;

/// One attempt of a call at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    pub process: usize,
    pub handle: u64,
    pub call: usize,
}

#[derive(Clone, Debug)]
pub struct Sequence {
    pub attempt: Attempt,
    pub prompt: u32,
    pub prefix: Option<(u64, u32)>,
    pub output: u32,
}

/// The token that a step produced for a sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Token {
    First,
    Last,
}

pub struct Engine {
    pub slowdown: u64,
    pub alive: bool,
    pub stepping: bool,
    batch: Vec<Sequence>,
    waiting: VecDeque<Sequence>,
    cache: VecDeque<u64>,
    stored: Vec<u64>,
    removed: Vec<u64>,
}

impl Engine {
    pub fn new() -> Self {
        Self {
            slowdown: 1,
            alive: true,
            stepping: false,
            batch: Vec::new(),
            waiting: VecDeque::new(),
            cache: VecDeque::new(),
            stored: Vec::new(),
            removed: Vec::new(),
        }
    }

    pub fn push(&mut self, sequence: Sequence) {
        self.waiting.push_back(sequence);
    }

    pub fn withdraw(&mut self, attempt: Attempt) {
        let matches = |sequence: &Sequence| {
            (sequence.attempt.process, sequence.attempt.handle) == (attempt.process, attempt.handle)
        };
        if let Some(place) = self.batch.iter().position(matches) {
            self.batch.remove(place);
        }
        if let Some(place) = self.waiting.iter().position(matches) {
            self.waiting.remove(place);
        }
    }

    pub fn report(&self) -> LoadReport {
        LoadReport {
            running: u32::try_from(self.batch.len()).unwrap(),
            waiting: u32::try_from(self.waiting.len()).unwrap(),
            slots: u32::try_from(SLOTS).unwrap(),
        }
    }

    /// Returns the prefixes cached and removed since the last call.
    pub fn take_changes(&mut self) -> [CacheChange; 2] {
        let cached = |prefix: &u64| self.cache.contains(prefix);
        self.stored.retain(cached);
        self.removed.retain(|prefix| !cached(prefix));
        [
            CacheChange::Stored(std::mem::take(&mut self.stored)),
            CacheChange::Removed(std::mem::take(&mut self.removed)),
        ]
    }

    /// Stops the engine and returns the attempts that it held, all of which are lost.
    pub fn fail(&mut self) -> Vec<Attempt> {
        self.alive = false;
        let waiting = self.waiting.drain(..);
        let lost = self.batch.drain(..).chain(waiting);
        lost.map(|sequence| sequence.attempt).collect()
    }

    /// Runs one step of the batch. Returns its duration and the tokens it produced, or `None` if there is no
    /// work.
    pub fn step(&mut self) -> Option<(Micros, Vec<(Attempt, Token)>)> {
        self.fill_batch();
        if self.batch.is_empty() {
            return None;
        }
        let mut budget = PREFILL_CHUNK;
        let mut results = Vec::new();
        for sequence in &mut self.batch {
            let read = sequence.prompt.min(budget);
            let reading = sequence.prompt > 0;
            sequence.prompt -= read;
            budget -= read;
            if sequence.prompt > 0 {
                continue;
            }
            sequence.output -= 1;
            if reading {
                results.push((sequence.attempt, Token::First));
            }
            if sequence.output == 0 {
                results.push((sequence.attempt, Token::Last));
            }
        }
        let read = Micros::from(PREFILL_CHUNK - budget) * PREFILL_TIME;
        let batch_len = Micros::try_from(self.batch.len()).unwrap();
        self.batch.retain(|sequence| sequence.output > 0);
        let span = (STEP_TIME + batch_len * SEQUENCE_TIME + read) * self.slowdown;
        Some((span, results))
    }

    fn fill_batch(&mut self) {
        while self.batch.len() < SLOTS
            && let Some(mut sequence) = self.waiting.pop_front()
        {
            if let Some((prefix, tokens)) = sequence.prefix
                && self.use_prefix(prefix)
            {
                sequence.prompt -= tokens;
            }
            sequence.prompt = sequence.prompt.max(1);
            self.batch.push(sequence);
        }
    }

    /// Adds the prefix to the cache and returns whether it was cached before.
    fn use_prefix(&mut self, prefix: u64) -> bool {
        let place = self.cache.iter().position(|cached| *cached == prefix);
        if let Some(place) = place {
            self.cache.remove(place);
        } else {
            self.stored.push(prefix);
        }
        self.cache.push_back(prefix);
        if self.cache.len() > CACHED_PREFIXES {
            self.removed.extend(self.cache.pop_front());
        }
        place.is_some()
    }
}
