//! A model engine in virtual time: continuous batching, chunked prefill, a small prefix cache.

use std::collections::VecDeque;

use filbertstack_policy::prefix::CacheChange;
use filbertstack_policy::target::LoadReport;

/// Microseconds of virtual time.
pub type Micros = u64;

pub const SLOTS: usize = 32;
const STEP: Micros = 7_000;
const STEP_PER_SEQUENCE: Micros = 50;
const PREFILL_PER_TOKEN: Micros = 20;
const PREFILL_CHUNK: u32 = 512;
const CACHED_PREFIXES: usize = 6;

/// One sending of a call to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sent {
    pub brain: usize,
    pub handle: u64,
    pub call: usize,
}

#[derive(Clone, Debug)]
pub struct Sequence {
    pub sent: Sent,
    pub prompt: u32,
    pub prefix: Option<(u64, u32)>,
    pub output: u32,
}

/// What a step brought for a sequence.
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

    pub fn withdraw(&mut self, sent: Sent) {
        let it = |sequence: &Sequence| {
            (sequence.sent.brain, sequence.sent.handle) == (sent.brain, sent.handle)
        };
        if let Some(place) = self.batch.iter().position(it) {
            self.batch.remove(place);
        }
        if let Some(place) = self.waiting.iter().position(it) {
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

    /// The prefixes cached and those dropped since the last call.
    pub fn take_changes(&mut self) -> [CacheChange; 2] {
        let cached = |prefix: &u64| self.cache.contains(prefix);
        self.stored.retain(cached);
        self.removed.retain(|prefix| !cached(prefix));
        [
            CacheChange::Stored(std::mem::take(&mut self.stored)),
            CacheChange::Removed(std::mem::take(&mut self.removed)),
        ]
    }

    /// Everything on the engine is lost.
    pub fn lose(&mut self) -> Vec<Sent> {
        self.alive = false;
        let waiting = self.waiting.drain(..);
        let lost = self.batch.drain(..).chain(waiting);
        lost.map(|sequence| sequence.sent).collect()
    }

    /// One step of the batch: how long it takes and what it brings, `None` if there is no work.
    pub fn step(&mut self) -> Option<(Micros, Vec<(Sent, Token)>)> {
        self.fill();
        if self.batch.is_empty() {
            return None;
        }
        let mut chunk = PREFILL_CHUNK;
        let mut out = Vec::new();
        for sequence in &mut self.batch {
            let read = sequence.prompt.min(chunk);
            let reading = sequence.prompt > 0;
            sequence.prompt -= read;
            chunk -= read;
            if sequence.prompt > 0 {
                continue;
            }
            sequence.output -= 1;
            if reading {
                out.push((sequence.sent, Token::First));
            }
            if sequence.output == 0 {
                out.push((sequence.sent, Token::Last));
            }
        }
        let read = Micros::from(PREFILL_CHUNK - chunk) * PREFILL_PER_TOKEN;
        let length = Micros::try_from(self.batch.len()).unwrap();
        self.batch.retain(|sequence| sequence.output > 0);
        let span = (STEP + length * STEP_PER_SEQUENCE + read) * self.slowdown;
        Some((span, out))
    }

    fn fill(&mut self) {
        while self.batch.len() < SLOTS
            && let Some(mut sequence) = self.waiting.pop_front()
        {
            if let Some((prefix, tokens)) = sequence.prefix
                && self.touch(prefix)
            {
                sequence.prompt -= tokens;
            }
            sequence.prompt = sequence.prompt.max(1);
            self.batch.push(sequence);
        }
    }

    /// Whether the prefix was cached; it is afterwards.
    fn touch(&mut self, prefix: u64) -> bool {
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
