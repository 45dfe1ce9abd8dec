//! The engine's memory and its step loop.

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
use crate::engine::batch::Emit;
use crate::engine::batch::SeqId;
use crate::engine::batch::Sequence;
use crate::engine::cache::PrefixCache;
use crate::engine::config::EngineConfig;
use crate::engine::config::EngineFaults;
use crate::engine::config::Pace;
use crate::engine::late::LateLoad;
use crate::engine::late::Load;
use crate::engine::weights::EngineState;
use crate::engine::weights::Phase;
use crate::engine::weights::Role;
use crate::runs::RunLog;

/// How often a thread that waits for a token looks whether its caller is still there.
const LOOK: Duration = Duration::from_millis(20);

/// One piece of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// The token at an index.
    Token(usize, String),
    /// The last token has been given.
    End,
    /// The weights went away under the sequence.
    Lost,
}

/// Why a request did not get into the batch; nothing ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The engine does not serve the model.
    NoModel,
    /// The queue is full.
    Full,
}

struct Job {
    model: String,
    prompt: Arc<str>,
    pieces: Sender<Piece>,
}

/// What changes while the engine runs.
pub struct Memory {
    /// The weights.
    pub weights: EngineState,
    /// Counts the orders, so that a load that was overtaken is dropped.
    pub orders: u64,
    /// The faults.
    pub faults: EngineFaults,
    /// The cached prefixes.
    pub cache: PrefixCache,
    /// The load as it is reported.
    pub late: LateLoad,
    batch: Batch,
    jobs: BTreeMap<SeqId, Job>,
    closing: bool,
}

/// What the engine's threads share.
pub struct Core {
    /// The settings.
    pub config: EngineConfig,
    /// What ran.
    pub runs: RunLog,
    begin: Instant,
    memory: Mutex<Memory>,
    wake: Condvar,
}

impl Core {
    /// An engine without weights.
    pub fn new(config: EngineConfig) -> Self {
        let memory = Memory {
            weights: EngineState::default(),
            orders: 0,
            faults: config.faults.clone(),
            cache: PrefixCache::new(config.cache, config.event_gap),
            late: LateLoad::new(config.lag),
            batch: Batch::new(config.slots, config.queue),
            jobs: BTreeMap::new(),
            closing: false,
        };
        Self {
            config,
            runs: RunLog::default(),
            begin: Instant::now(),
            memory: Mutex::new(memory),
            wake: Condvar::new(),
        }
    }

    /// The memory, locked.
    pub fn memory(&self) -> MutexGuard<'_, Memory> {
        self.memory.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The time since the engine began.
    pub fn now(&self) -> Duration {
        self.begin.elapsed()
    }

    /// Wakes the step loop after a change of the memory.
    pub fn wake(&self) {
        self.wake.notify_all();
    }

    /// Ends the step loop.
    pub fn close(&self) {
        self.memory().closing = true;
        if let Pace::Gated(gate) = &self.config.pace {
            gate.open();
        }
        self.wake();
    }

    /// Queues a sequence; its prefill follows from what the cache holds of the prompt.
    ///
    /// # Errors
    /// Why it was refused; nothing ran.
    pub fn submit(
        self: &Arc<Self>,
        model: &str,
        prompt: &str,
        mut sequence: Sequence,
    ) -> Result<Ticket, Refusal> {
        let (pieces, receiver) = mpsc::channel();
        let mut memory = self.memory();
        if memory.weights.answers(model).is_none() {
            return Err(Refusal::NoModel);
        }
        if memory.batch.is_full() {
            return Err(Refusal::Full);
        }
        let lookup = memory.cache.admit(prompt, self.now());
        let missing = lookup.blocks - lookup.hits;
        sequence.prefill = missing.div_ceil(self.config.prefill.max(1)).max(1);
        if memory.weights.role == Role::Prefill {
            sequence.end = sequence.next;
        }
        let id = memory.batch.push(sequence).ok_or(Refusal::Full)?;
        let job = Job {
            model: model.to_owned(),
            prompt: prompt.into(),
            pieces,
        };
        memory.jobs.insert(id, job);
        memory.report(self.now());
        drop(memory);
        self.wake();
        Ok(Ticket {
            core: self.clone(),
            id,
            pieces: receiver,
            ended: false,
        })
    }

    /// Runs steps until [`Core::close`].
    pub fn run(&self) {
        while let Some(time) = self.await_work() {
            match &self.config.pace {
                Pace::Timed => thread::sleep(time),
                Pace::Gated(gate) => gate.pass(),
            }
            let mut memory = self.memory();
            memory.step();
            memory.report(self.now());
        }
    }

    /// Waits for something to run; gives the time of the next step, `None` at the end.
    fn await_work(&self) -> Option<Duration> {
        let mut memory = self.memory();
        loop {
            if memory.closing {
                return None;
            }
            let width = memory.batch.width();
            if width > 0 && memory.weights.state != Phase::Loading {
                return Some(self.step_time(width, memory.faults.slow));
            }
            memory = self
                .wake
                .wait(memory)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }

    fn step_time(&self, width: usize, slow: u32) -> Duration {
        let more = u32::try_from(width.saturating_sub(1)).unwrap_or(u32::MAX);
        let time = self.config.step + self.config.growth.saturating_mul(more);
        time.saturating_mul(slow.max(1))
    }
}

impl Memory {
    /// Notes the load for the reports.
    fn report(&mut self, now: Duration) {
        let load = Load {
            running: self.batch.running(),
            waiting: self.batch.waiting(),
            usage: self.cache.usage(),
        };
        self.late.push(now, load);
    }

    fn step(&mut self) {
        for emit in self.batch.step() {
            match emit {
                Emit::Token(id, index) => self.give(id, index),
                Emit::End(id) => self.end(id, Piece::End),
            }
        }
    }

    /// Makes a token from the weights that are in memory now: a sequence whose weights change
    /// under it gives a mixed answer, as the engines that this one stands in for do.
    fn give(&mut self, id: SeqId, index: usize) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let Some(digest) = self.weights.answers(&job.model).or(self.weights.weights) else {
            self.batch.cancel(id);
            self.end(id, Piece::Lost);
            return;
        };
        let text = answer::token(&digest, &job.prompt, index);
        // A receiver that is gone cancels the sequence itself.
        let _ = job.pieces.send(Piece::Token(index, text));
    }

    fn end(&mut self, id: SeqId, last: Piece) {
        if let Some(job) = self.jobs.remove(&id) {
            let _ = job.pieces.send(last);
        }
    }
}

/// A sequence's place; dropping it before the end cancels the sequence.
pub struct Ticket {
    core: Arc<Core>,
    id: SeqId,
    pieces: Receiver<Piece>,
    ended: bool,
}

impl Ticket {
    /// The next piece; `None` once `gone` says that the caller has hung up or the engine stopped.
    pub fn next(&mut self, gone: impl Fn() -> bool) -> Option<Piece> {
        loop {
            if gone() {
                return None;
            }
            match self.pieces.recv_timeout(LOOK) {
                Ok(piece) => {
                    self.ended |= !matches!(piece, Piece::Token(..));
                    return Some(piece);
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return None,
            }
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let mut memory = self.core.memory();
        memory.batch.cancel(self.id);
        memory.report(self.core.now());
        if memory.jobs.remove(&self.id).is_some() {
            self.core.runs.cancel();
        }
    }
}
