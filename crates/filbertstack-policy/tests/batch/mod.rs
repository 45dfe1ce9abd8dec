//! A model engine in virtual time, by its published figures: passes over a batch, prompts read
//! between them, a queue behind the slots.

use std::collections::VecDeque;
use std::sync::LazyLock;

use filbertstack_core::serving::EngineModel;
use filbertstack_policy::dispatch::pass_ms;
use filbertstack_policy::dispatch::prefill_ms;

/// The users' engines of today.
pub static MODEL: LazyLock<EngineModel> = LazyLock::new(|| EngineModel {
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

/// The engines of the users' largest deployment: fewer requests at once, each pass longer.
pub static EIGHT: LazyLock<EngineModel> = LazyLock::new(|| EngineModel {
    slots: 8,
    stride: 7,
    step_ms: 10.1,
    request_ms: 0.0328,
    context_ms: 0.0102,
    read_rate: 20.4,
    pairs_ms: 0.971,
    answer: 91.0,
    ..MODEL.clone()
});

/// One request at the engine.
#[derive(Clone, Copy, Debug)]
struct Request {
    sent: u64,
    entry: usize,
    prompt: u32,
    left: u32,
}

/// A first event or the end of a request.
#[derive(Clone, Copy, Debug)]
pub struct Done {
    /// When it was sent.
    pub sent: u64,
    /// By which entry.
    pub entry: usize,
    /// Its prompt, in tokens.
    pub prompt: u32,
    /// Whether this is its first event.
    pub first: bool,
}

/// One engine.
pub struct Engine {
    model: &'static EngineModel,
    /// How many times slower than usual it is.
    pub pace: f64,
    batch: Vec<Request>,
    queue: VecDeque<Request>,
    pass_ends: u64,
    /// Running and waiting requests, by millisecond.
    history: Vec<(u32, u32)>,
}

impl Engine {
    /// An engine without work.
    pub fn new(model: &'static EngineModel, pace: f64) -> Self {
        Self {
            model,
            pace,
            batch: Vec::new(),
            queue: VecDeque::new(),
            pass_ends: 0,
            history: Vec::new(),
        }
    }

    /// A request comes.
    pub fn send(&mut self, now: u64, entry: usize, prompt: u32) {
        self.queue.push_back(Request {
            sent: now,
            entry,
            prompt,
            left: self.passes(),
        });
    }

    /// The passes of an answer of the usual length.
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

    /// The load that it had at a millisecond.
    pub fn load_at(&self, at: u64) -> (u32, u32) {
        let at = usize::try_from(at).expect("short");
        self.history.get(at).copied().unwrap_or_default()
    }

    /// Goes on by a millisecond.
    pub fn advance(&mut self, now: u64) -> Vec<Done> {
        let mut done = Vec::new();
        if now >= self.pass_ends {
            self.end_pass(&mut done);
            self.begin_pass(now);
        }
        let count = |n: usize| u32::try_from(n).expect("few");
        self.history
            .push((count(self.batch.len()), count(self.queue.len())));
        done
    }

    fn end_pass(&mut self, done: &mut Vec<Done>) {
        let passes = self.passes();
        for request in &mut self.batch {
            let first = request.left == passes;
            request.left -= 1;
            if first || request.left == 0 {
                done.push(Done {
                    sent: request.sent,
                    entry: request.entry,
                    prompt: request.prompt,
                    first,
                });
            }
        }
        self.batch.retain(|request| request.left > 0);
    }

    fn begin_pass(&mut self, now: u64) {
        let mut reading = 0.0;
        while self.batch.len() < self.model.slots as usize
            && let Some(request) = self.queue.pop_front()
        {
            reading += prefill_ms(self.model, f64::from(request.prompt));
            self.batch.push(request);
        }
        if self.batch.is_empty() {
            return;
        }
        let writers = u32::try_from(self.batch.len()).expect("few");
        let span = (pass_ms(self.model, f64::from(writers)) + reading) * self.pace;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "some hundred milliseconds"
        )]
        let span = span.round() as u64;
        self.pass_ends = now + span;
    }
}
