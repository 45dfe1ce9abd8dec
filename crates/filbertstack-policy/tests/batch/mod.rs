//! A simulated model engine in virtual time, from its published figures: passes over a batch, prompts
//! that are prefilled between them, and a queue behind the slots.

use std::collections::VecDeque;
use std::sync::LazyLock;

use filbertstack_core::serving::EngineModel;
use filbertstack_policy::dispatch::pass_ms;
use filbertstack_policy::dispatch::prefill_ms;

/// The reference engine with 16 slots.
pub static SIXTEEN_SLOTS: LazyLock<EngineModel> = LazyLock::new(|| EngineModel {
    slots: 16,
    stride: 6,
    step_ms: 6.73,
    request_ms: 0.0219,
    context_ms: 0.0068,
    read_rate: 30.6,
    pairs_ms: 0.647,
    prompt: 964.0,
    answer: 119.0,
    pieces: 48,
    piece_bytes: 49_152,
    models: vec!["m".into()],
});

/// An engine with fewer slots and longer passes, as used in the largest deployment.
pub static EIGHT_SLOTS: LazyLock<EngineModel> = LazyLock::new(|| EngineModel {
    slots: 8,
    stride: 7,
    step_ms: 10.1,
    request_ms: 0.0328,
    context_ms: 0.0102,
    read_rate: 20.4,
    pairs_ms: 0.971,
    answer: 91.0,
    ..SIXTEEN_SLOTS.clone()
});

/// An engine whose prompts take half of a goal to read when its slots fill up at once.
pub static TWELVE_SLOTS: LazyLock<EngineModel> = LazyLock::new(|| EngineModel {
    slots: 12,
    stride: 5,
    step_ms: 9.27,
    request_ms: 0.0232,
    context_ms: 0.0322,
    read_rate: 20.7,
    pairs_ms: 1.18,
    answer: 96.0,
    ..SIXTEEN_SLOTS.clone()
});

/// One request at the engine.
#[derive(Clone, Copy, Debug)]
struct Request {
    sent: u64,
    entry: usize,
    prompt: u32,
    /// 0 is the highest urgency.
    urgency: u8,
    passes_left: u32,
    last_event: u64,
}

/// An event of a request.
#[derive(Clone, Copy, Debug)]
pub struct EngineEvent {
    /// The time when the request was sent, in milliseconds.
    pub sent: u64,
    /// The entry that sent it.
    pub entry: usize,
    /// The number of its prompt tokens.
    pub prompt: u32,
    /// Whether this is the request's first event.
    pub first: bool,
    /// Whether this is the request's last event.
    pub last: bool,
    /// The milliseconds since the request's event before, or since it was sent.
    pub gap: u64,
}

/// A simulated engine.
pub struct Engine {
    model: &'static EngineModel,
    /// The factor by which the engine is slower than usual.
    pub pace: f64,
    batch: Vec<Request>,
    queue: VecDeque<Request>,
    pass_ends_at: u64,
    /// The numbers of running and waiting requests, for each millisecond.
    history: Vec<(u32, u32)>,
}

impl Engine {
    /// Returns an engine without work.
    pub fn new(model: &'static EngineModel, pace: f64) -> Self {
        Self {
            model,
            pace,
            batch: Vec::new(),
            queue: VecDeque::new(),
            pass_ends_at: 0,
            history: Vec::new(),
        }
    }

    /// Adds a request to the queue.
    pub fn enqueue(&mut self, now: u64, entry: usize, prompt: u32) {
        self.enqueue_urgent(now, entry, prompt, 5);
    }

    /// Adds a request to the queue, before the waiting ones with a higher number of `urgency`.
    pub fn enqueue_urgent(&mut self, now: u64, entry: usize, prompt: u32, urgency: u8) {
        let place = self.queue.partition_point(|r| r.urgency <= urgency);
        let request = Request {
            sent: now,
            entry,
            prompt,
            urgency,
            passes_left: self.passes(),
            last_event: now,
        };
        self.queue.insert(place, request);
    }

    /// Returns the number of passes for an answer of the usual length.
    fn passes(&self) -> u32 {
        let passes = self.model.answer / f64::from(self.model.stride);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "some twenty"
        )]
        let passes = passes.round() as u32;
        passes
    }

    /// Returns the load at a millisecond.
    pub fn load_at(&self, at: u64) -> (u32, u32) {
        let at = usize::try_from(at).expect("short");
        self.history.get(at).copied().unwrap_or_default()
    }

    /// Advances the engine by a millisecond and returns the events of that time.
    pub fn advance(&mut self, now: u64) -> Vec<EngineEvent> {
        let mut events = Vec::new();
        if now >= self.pass_ends_at {
            self.end_pass(now, &mut events);
            self.begin_pass(now);
        }
        let count = |n: usize| u32::try_from(n).expect("few");
        self.history
            .push((count(self.batch.len()), count(self.queue.len())));
        events
    }

    fn end_pass(&mut self, now: u64, events: &mut Vec<EngineEvent>) {
        let passes = self.passes();
        for request in &mut self.batch {
            let first = request.passes_left == passes;
            request.passes_left -= 1;
            events.push(EngineEvent {
                sent: request.sent,
                entry: request.entry,
                prompt: request.prompt,
                first,
                last: request.passes_left == 0,
                gap: now - request.last_event,
            });
            request.last_event = now;
        }
        self.batch.retain(|request| request.passes_left > 0);
    }

    fn begin_pass(&mut self, now: u64) {
        let mut prefill = 0.0;
        while self.batch.len() < self.model.slots as usize
            && let Some(request) = self.queue.pop_front()
        {
            prefill += prefill_ms(self.model, f64::from(request.prompt));
            self.batch.push(request);
        }
        if self.batch.is_empty() {
            return;
        }
        let batch_size = u32::try_from(self.batch.len()).expect("few");
        let span = (pass_ms(self.model, f64::from(batch_size)) + prefill) * self.pace;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "some hundred milliseconds"
        )]
        let span = span.round() as u64;
        self.pass_ends_at = now + span;
    }
}
