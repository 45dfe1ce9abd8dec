//! Continuous batching: it decides which sequences run in a step and which tokens the step generates.
//!
//! A sequence joins the batch as soon as a slot is free and leaves it with its last token; no sequence
//! waits for the batch to fill or to drain. Waiting sequences join by priority, then in order of
//! arrival. This module uses no thread, clock or network.

use std::collections::BTreeMap;

/// Identifies a sequence in its batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SequenceId(pub u64);

/// The work that a sequence has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sequence {
    /// The priority; a sequence with a lower value joins the batch earlier, as in common engines.
    pub priority: i64,
    /// The steps before the first token.
    pub prefill_steps: usize,
    /// The index of the next token.
    pub next: usize,
    /// The index after the last token.
    pub end: usize,
}

/// An event of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepEvent {
    /// The sequence generated the token at this index.
    Token(SequenceId, usize),
    /// The sequence has generated its last token and left the batch.
    End(SequenceId),
}

/// The running and waiting sequences of an engine.
#[derive(Debug, Default)]
pub struct Batch {
    slots: usize,
    queue_capacity: usize,
    last_id: u64,
    running: BTreeMap<SequenceId, Sequence>,
    waiting: BTreeMap<(i64, SequenceId), Sequence>,
}

impl Batch {
    /// Creates a batch of `slots` sequences with a queue for `queue_capacity` more.
    pub fn new(slots: usize, queue_capacity: usize) -> Self {
        Self {
            slots,
            queue_capacity,
            ..Self::default()
        }
    }

    /// Queues a sequence; returns `None` if the queue is full.
    pub fn push(&mut self, sequence: Sequence) -> Option<SequenceId> {
        if self.is_full() {
            return None;
        }
        self.last_id += 1;
        let id = SequenceId(self.last_id);
        self.waiting.insert((sequence.priority, id), sequence);
        Some(id)
    }

    /// Returns whether the queue is full.
    pub fn is_full(&self) -> bool {
        self.waiting.len() >= self.queue_capacity
    }

    /// Removes a sequence from the batch or the queue.
    pub fn cancel(&mut self, id: SequenceId) {
        self.running.remove(&id);
        self.waiting.retain(|(_, other), _| *other != id);
    }

    /// Runs one step: fills free slots with waiting sequences, then advances each running sequence.
    pub fn step(&mut self) -> Vec<StepEvent> {
        self.fill_slots();
        let mut events = Vec::with_capacity(self.running.len());
        self.running
            .retain(|id, sequence| advance(*id, sequence, &mut events));
        events
    }

    fn fill_slots(&mut self) {
        while self.running.len() < self.slots {
            let Some(((_, id), sequence)) = self.waiting.pop_first() else {
                return;
            };
            self.running.insert(id, sequence);
        }
    }

    /// Returns the number of sequences that the next step would run.
    pub fn width(&self) -> usize {
        (self.running.len() + self.waiting.len()).min(self.slots)
    }

    /// Returns the number of sequences in the batch.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of sequences that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
}

/// Advances one sequence by a step; returns `false` once it has generated its last token.
fn advance(id: SequenceId, sequence: &mut Sequence, events: &mut Vec<StepEvent>) -> bool {
    if sequence.prefill_steps > 0 {
        sequence.prefill_steps -= 1;
        return true;
    }
    if sequence.next < sequence.end {
        events.push(StepEvent::Token(id, sequence.next));
        sequence.next += 1;
    }
    if sequence.next < sequence.end {
        return true;
    }
    events.push(StepEvent::End(id));
    false
}
