//! Continuous batching: which sequences run in a step and what the step yields.
//!
//! A sequence joins the batch as soon as a slot is free and leaves it with its last token; nothing
//! waits for a batch to fill or to drain. Waiting sequences join by priority, then in order of
//! arrival. Nothing here has a thread, a clock or a network.

use std::collections::BTreeMap;

/// Names a sequence in its batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SeqId(pub u64);

/// What a sequence needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sequence {
    /// The lower, the earlier it joins the batch, as engines have it.
    pub priority: i64,
    /// Steps before the first token.
    pub prefill: usize,
    /// The first token's index.
    pub next: usize,
    /// One past the last token's index.
    pub end: usize,
}

/// What a step yields.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Emit {
    /// The token at this index.
    Token(SeqId, usize),
    /// The sequence has given its last token and left the batch.
    End(SeqId),
}

/// The sequences of an engine.
#[derive(Debug, Default)]
pub struct Batch {
    slots: usize,
    room: usize,
    last: u64,
    running: BTreeMap<SeqId, Sequence>,
    waiting: BTreeMap<(i64, SeqId), Sequence>,
}

impl Batch {
    /// A batch of `slots` sequences with a queue of `room` more.
    pub fn new(slots: usize, room: usize) -> Self {
        Self {
            slots,
            room,
            ..Self::default()
        }
    }

    /// Queues a sequence; `None` if the queue is full.
    pub fn push(&mut self, sequence: Sequence) -> Option<SeqId> {
        if self.is_full() {
            return None;
        }
        self.last += 1;
        let id = SeqId(self.last);
        self.waiting.insert((sequence.priority, id), sequence);
        Some(id)
    }

    /// Whether the queue takes no more.
    pub fn is_full(&self) -> bool {
        self.waiting.len() >= self.room
    }

    /// Takes a sequence out, wherever it is.
    pub fn cancel(&mut self, id: SeqId) {
        self.running.remove(&id);
        self.waiting.retain(|(_, other), _| *other != id);
    }

    /// Runs one step: lets waiting sequences join, then moves each running one on.
    pub fn step(&mut self) -> Vec<Emit> {
        self.join();
        let mut emits = Vec::with_capacity(self.running.len());
        self.running
            .retain(|id, sequence| advance(*id, sequence, &mut emits));
        emits
    }

    fn join(&mut self) {
        while self.running.len() < self.slots {
            let Some(((_, id), sequence)) = self.waiting.pop_first() else {
                return;
            };
            self.running.insert(id, sequence);
        }
    }

    /// The sequences that the next step would run.
    pub fn width(&self) -> usize {
        (self.running.len() + self.waiting.len()).min(self.slots)
    }

    /// The sequences in the batch.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// The sequences that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
}

/// Moves one sequence on; `false` once it has given its last token.
fn advance(id: SeqId, sequence: &mut Sequence, emits: &mut Vec<Emit>) -> bool {
    if sequence.prefill > 0 {
        sequence.prefill -= 1;
        return true;
    }
    if sequence.next < sequence.end {
        emits.push(Emit::Token(id, sequence.next));
        sequence.next += 1;
    }
    if sequence.next < sequence.end {
        return true;
    }
    emits.push(Emit::End(id));
    false
}
