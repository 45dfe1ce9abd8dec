//! The state that the engine's threads share, and its step loop.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::mpsc::Sender;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::answer;
use crate::engine::batch::Batch;
use crate::engine::batch::Sequence;
use crate::engine::batch::SequenceId;
use crate::engine::batch::StepEvent;
use crate::engine::cache::PrefixCache;
use crate::engine::config::EngineConfig;
use crate::engine::config::EngineFaults;
use crate::engine::config::Pace;
use crate::engine::load_report::LoadReport;
use crate::engine::load_report::LoadSample;
use crate::engine::weights::EngineState;
use crate::engine::weights::Phase;
use crate::engine::weights::Role;
use crate::runs::RunLog;

/// How often a thread that waits for a token checks whether its caller has closed the connection.
const HANGUP_POLL: Duration = Duration::from_millis(20);

/// One output of a sequence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// The token at an index.
    Token(usize, String),
    /// The last token was generated.
    End,
    /// The weights were unloaded while the sequence ran.
    Unloaded,
}

/// The reason why a request was not queued; nothing ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The engine does not serve the model.
    NoModel,
    /// The queue is full.
    QueueFull,
}

struct Job {
    model: String,
    prompt: Arc<str>,
    outputs: Sender<Output>,
}

/// The state that changes while the engine runs.
pub struct SharedState {
    /// The loaded weights and the state of the load.
    pub weights: EngineState,
    /// The number of accepted orders, so that the result of a load is discarded after a later order.
    pub order_count: u64,
    /// The injected faults.
    pub faults: EngineFaults,
    /// The cached prefixes.
    pub cache: PrefixCache,
    /// The load report, which is delayed.
    pub load_report: LoadReport,
    batch: Batch,
    jobs: BTreeMap<SequenceId, Job>,
    closing: bool,
}

/// The settings and the state that the engine's threads share.
pub struct Core {
    /// The settings.
    pub config: EngineConfig,
    /// The counts of runs.
    pub runs: RunLog,
    started: Instant,
    shared: Mutex<SharedState>,
    wake: Condvar,
}

impl Core {
    /// Creates an engine without weights.
    pub fn new(config: EngineConfig) -> Self {
        let shared = SharedState {
            weights: EngineState::default(),
            order_count: 0,
            faults: config.faults.clone(),
            cache: PrefixCache::new(config.cache_blocks, config.event_gap),
            load_report: LoadReport::new(config.lag),
            batch: Batch::new(config.slots, config.queue),
            jobs: BTreeMap::new(),
            closing: false,
        };
        Self {
            config,
            runs: RunLog::default(),
            started: Instant::now(),
            shared: Mutex::new(shared),
            wake: Condvar::new(),
        }
    }

    /// Locks the shared state.
    pub fn lock(&self) -> MutexGuard<'_, SharedState> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time since the engine started.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Wakes the step loop after a change of the shared state.
    pub fn wake(&self) {
        self.wake.notify_all();
    }

    /// Ends the step loop.
    pub fn close(&self) {
        self.lock().closing = true;
        if let Pace::Gated(gate) = &self.config.pace {
            gate.open();
        }
        self.wake();
    }

    /// Queues a sequence; the number of prefill steps depends on the cached prefix of the prompt.
    ///
    /// # Errors
    /// Returns the reason for the refusal; nothing ran.
    pub fn submit(
        self: &Arc<Self>,
        model: &str,
        prompt: &str,
        mut sequence: Sequence,
    ) -> Result<QueuedSequence, Refusal> {
        let (outputs, receiver) = mpsc::channel();
        let mut shared = self.lock();
        if shared.weights.answer_digest(model).is_none() {
            return Err(Refusal::NoModel);
        }
        if shared.batch.is_full() {
            return Err(Refusal::QueueFull);
        }
        let lookup = shared.cache.admit(prompt, self.now());
        let missing = lookup.blocks - lookup.hits;
        sequence.prefill_steps = missing.div_ceil(self.config.prefill_blocks.max(1)).max(1);
        if shared.weights.role == Role::Prefill {
            sequence.end = sequence.next;
        }
        let id = shared.batch.push(sequence).ok_or(Refusal::QueueFull)?;
        let job = Job {
            model: model.to_owned(),
            prompt: prompt.into(),
            outputs,
        };
        shared.jobs.insert(id, job);
        shared.record_load(self.now());
        drop(shared);
        self.wake();
        Ok(QueuedSequence {
            core: self.clone(),
            id,
            outputs: receiver,
            ended: false,
        })
    }

    /// Runs steps until [`Core::close`].
    pub fn run(&self) {
        while let Some(time) = self.await_work() {
            match &self.config.pace {
                Pace::Timed => thread::sleep(time),
                Pace::Gated(gate) => gate.take_pass(),
            }
            let mut shared = self.lock();
            shared.step();
            shared.record_load(self.now());
        }
    }

    /// Waits until a sequence can run; returns the time of the next step, or `None` once the engine stops.
    fn await_work(&self) -> Option<Duration> {
        let mut shared = self.lock();
        loop {
            if shared.closing {
                return None;
            }
            let width = shared.batch.width();
            if width > 0 && shared.weights.state != Phase::Loading {
                return Some(self.step_time(width, shared.faults.slow));
            }
            shared = self
                .wake
                .wait(shared)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }

    fn step_time(&self, width: usize, slow: u32) -> Duration {
        let more = u32::try_from(width.saturating_sub(1)).unwrap_or(u32::MAX);
        let time = self.config.step + self.config.growth.saturating_mul(more);
        time.saturating_mul(slow.max(1))
    }
}

impl SharedState {
    /// Records the present load for the report.
    fn record_load(&mut self, now: Duration) {
        let load = LoadSample {
            running: self.batch.running(),
            waiting: self.batch.waiting(),
            usage: self.cache.usage(),
        };
        self.load_report.push(now, load);
    }

    fn step(&mut self) {
        for event in self.batch.step() {
            match event {
                StepEvent::Token(id, index) => self.generate(id, index),
                StepEvent::End(id) => self.finish(id, Output::End),
            }
        }
    }

    /// Generates a token from the weights that are loaded now: a sequence during which the weights change
    /// gives a mixed answer, as it does with the engines that this one stands in for.
    fn generate(&mut self, id: SequenceId, index: usize) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let Some(digest) = self
            .weights
            .answer_digest(&job.model)
            .or(self.weights.weights)
        else {
            self.batch.cancel(id);
            self.finish(id, Output::Unloaded);
            return;
        };
        let text = answer::token(&digest, &job.prompt, index);
        // A send fails once the `QueuedSequence` is dropped, and dropping it cancels the sequence.
        let _ = job.outputs.send(Output::Token(index, text));
    }

    fn finish(&mut self, id: SequenceId, last: Output) {
        if let Some(job) = self.jobs.remove(&id) {
            let _ = job.outputs.send(last);
        }
    }
}

/// A queued or running sequence, as its caller holds it; dropping it before the end cancels it.
pub struct QueuedSequence {
    core: Arc<Core>,
    id: SequenceId,
    outputs: Receiver<Output>,
    ended: bool,
}

impl QueuedSequence {
    /// Returns the next output; returns `None` once `gone` returns `true`, because the caller has closed
    /// the connection or the engine has stopped, or once the sequence has no more output.
    pub fn next(&mut self, gone: impl Fn() -> bool) -> Option<Output> {
        loop {
            if gone() {
                return None;
            }
            match self.outputs.recv_timeout(HANGUP_POLL) {
                Ok(output) => {
                    self.ended |= !matches!(output, Output::Token(..));
                    return Some(output);
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return None,
            }
        }
    }
}

impl Drop for QueuedSequence {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let mut shared = self.core.lock();
        shared.batch.cancel(self.id);
        shared.record_load(self.core.now());
        if shared.jobs.remove(&self.id).is_some() {
            self.core.runs.cancel();
        }
    }
}
