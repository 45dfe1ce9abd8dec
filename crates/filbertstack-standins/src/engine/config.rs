//! The settings and injected faults of an engine stand-in.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::engine::pace::StepGate;
use crate::http::ANY_ADDR;

/// The handling of an order whose fencing number is lower than one the engine has seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// The engine refuses the order with 409.
    #[default]
    Enforced,
    /// The engine carries the order out.
    Ignored,
}

/// The source of the pace of the engine's steps.
#[derive(Clone, Debug, Default)]
pub enum Pace {
    /// The clock: each step takes `step`, plus `growth` for each sequence beyond the first.
    #[default]
    Timed,
    /// A gate: each step takes one pass, which a test adds.
    Gated(Arc<StepGate>),
}

/// The settings of an [`Engine`](crate::Engine).
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// The address on which the engine listens.
    pub addr: SocketAddr,
    /// The source of the pace.
    pub pace: Pace,
    /// The time of a step with one sequence.
    pub step: Duration,
    /// The time that each further sequence adds to a step.
    pub growth: Duration,
    /// The most sequences in a batch.
    pub slots: usize,
    /// The most sequences that wait for a slot; the engine answers further requests with 429.
    pub queue: usize,
    /// The prefix cache's capacity, in blocks.
    pub cache_blocks: usize,
    /// The number of prompt blocks that one step prefills.
    pub prefill_blocks: usize,
    /// The delay before `/metrics` shows load figures and `/cache/events` shows cache events.
    pub lag: Duration,
    /// The engine drops one cache event out of this many; 0 drops none.
    pub event_gap: u64,
    /// The time that a load takes in addition to reading the files.
    pub load_time: Duration,
    /// The handling of orders with an old fencing number.
    pub fencing: Fencing,
    /// The faults that are injected from the start.
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
            cache_blocks: 1024,
            prefill_blocks: 8,
            lag: Duration::from_millis(500),
            event_gap: 0,
            load_time: Duration::from_millis(50),
            fencing: Fencing::default(),
            faults: EngineFaults::default(),
        }
    }
}

/// The faults that are injected into an engine; `POST /admin/faults` replaces them at any time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// The number of next loads that fail.
    pub fail_loads: u32,
    /// Loads never end.
    pub hang_loads: bool,
    /// The version that `/admin/state` reports instead of the one loaded.
    pub report: Option<String>,
    /// Steps take this many times longer; 0 and 1 change nothing.
    pub slow: u32,
    /// The engine answers requests with 503 before it runs anything.
    pub refuse: bool,
    /// The engine closes the connection of an answer after this many tokens.
    pub cut_after: Option<usize>,
    /// The engine sends nothing more after this many tokens of an answer and leaves the connection open.
    pub stall_after: Option<usize>,
}
