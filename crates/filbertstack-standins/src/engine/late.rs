//! The load report, which tells how things stood a while ago.

use std::collections::VecDeque;
use std::fmt::Write;
use std::time::Duration;

/// The samples of one lag.
const SAMPLES: u32 = 32;

/// How busy the engine was at a moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Sequences in the batch.
    pub running: usize,
    /// Sequences that waited for a slot.
    pub waiting: usize,
    /// The share of the cache in use, in thousandths.
    pub usage: usize,
}

impl Load {
    /// The Prometheus text, with the names that common engines give these figures.
    pub fn render(&self, model: &str) -> String {
        let mut text = String::new();
        let whole = self.usage / 1000;
        let usage = format!("{whole}.{:03}", self.usage % 1000);
        let figures = [
            ("vllm:num_requests_running", self.running.to_string()),
            ("vllm:num_requests_waiting", self.waiting.to_string()),
            ("vllm:kv_cache_usage_perc", usage),
        ];
        for (name, value) in figures {
            // Writing to a string does not fail.
            let _ = writeln!(text, "# TYPE {name} gauge");
            let _ = writeln!(text, "{name}{{model_name=\"{model}\"}} {value}");
        }
        text
    }
}

/// Samples of the load, of which a reader sees only those that are old enough.
#[derive(Clone, Debug)]
pub struct LateLoad {
    lag: Duration,
    samples: VecDeque<(Duration, Load)>,
}

impl LateLoad {
    /// A report that is at least `lag` old.
    pub fn new(lag: Duration) -> Self {
        let samples = VecDeque::new();
        Self { lag, samples }
    }

    /// Notes the load at `now`.
    pub fn push(&mut self, now: Duration, load: Load) {
        match self.samples.back_mut() {
            // Samples close together are one, so that their number is bounded.
            Some((at, last)) if now < *at + self.lag / SAMPLES => *last = load,
            _ => self.samples.push_back((now, load)),
        }
        while self.is_over(now) {
            self.samples.pop_front();
        }
    }

    /// Whether no reader will see the oldest sample any more.
    fn is_over(&self, now: Duration) -> bool {
        let second = self.samples.get(1);
        second.is_some_and(|(at, _)| *at + self.lag <= now)
    }

    /// The load as a reader sees it at `now`.
    pub fn read(&self, now: Duration) -> Load {
        let old = |(at, _): &&(Duration, Load)| *at + self.lag <= now;
        let newest = self.samples.iter().rev().find(old);
        newest.map(|(_, load)| *load).unwrap_or_default()
    }
}
