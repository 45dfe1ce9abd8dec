//! How an engine stand-in behaves.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::engine::pace::Gate;
use crate::http::ANY_ADDR;

/// What the engine does with an order that carries a fencing number lower than one it has seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// Refuses the order with 409.
    #[default]
    Enforced,
    /// Carries the order out.
    Ignored,
}

/// What sets the pace of the engine's steps.
#[derive(Clone, Debug, Default)]
pub enum Pace {
    /// The clock: each step takes `step` and `growth` for each sequence beyond the first.
    #[default]
    Timed,
    /// Whoever holds the gate: each step needs one pass.
    Gated(Arc<Gate>),
}

/// The settings of an [`Engine`](crate::Engine).
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Where it listens.
    pub addr: SocketAddr,
    /// What sets the pace.
    pub pace: Pace,
    /// The time of a step with one sequence.
    pub step: Duration,
    /// The time that each further sequence adds to a step.
    pub growth: Duration,
    /// The sequences of a batch.
    pub slots: usize,
    /// The sequences that may wait for a slot; beyond them the engine answers 429.
    pub queue: usize,
    /// The prefix cache's capacity, in blocks.
    pub cache: usize,
    /// The blocks of a prompt that are prefilled in one step.
    pub prefill: usize,
    /// The age of the load figures at `/metrics` and of the cache events.
    pub lag: Duration,
    /// Every so many cache events one is lost; 0 loses none.
    pub event_gap: u64,
    /// The time that loading takes besides the reading.
    pub load_time: Duration,
    /// What it does with old orders.
    pub fencing: Fencing,
    /// What it does wrong from the start.
    pub faults: EngineFaults,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            addr: ANY_ADDR,
            pace: Pace::default(),
            step: Duration::from_millis(7),
            growth: Duration::from_micros(50),
            slots: 16,
            queue: 256,
            cache: 1024,
            prefill: 8,
            lag: Duration::from_millis(500),
            event_gap: 0,
            load_time: Duration::from_millis(50),
            fencing: Fencing::default(),
            faults: EngineFaults::default(),
        }
    }
}

/// What an engine does wrong; each can be set at any time with `POST /admin/faults`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// The next loads fail, this many of them.
    pub fail_loads: u32,
    /// Loads never end.
    pub hang_loads: bool,
    /// The version that `/admin/state` reports instead of the one loaded.
    pub report: Option<String>,
    /// Steps take this many times longer; 0 and 1 change nothing.
    pub slow: u32,
    /// Requests get 503 before anything runs.
    pub refuse: bool,
    /// Answers are cut after this many tokens.
    pub cut_after: Option<usize>,
    /// Answers stop coming after this many tokens, with the connection left open.
    pub stall_after: Option<usize>,
}
