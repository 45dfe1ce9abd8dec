//! The load report, which shows the engine's load after a delay.

use std::collections::VecDeque;
use std::fmt::Write;
use std::time::Duration;

/// The most samples that are kept for the span of one lag.
const SAMPLES_PER_LAG: u32 = 32;

/// A sample of the engine's load at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadSample {
    /// The sequences in the batch.
    pub running: usize,
    /// The sequences that waited for a slot.
    pub waiting: usize,
    /// The share of the cache in use, in thousandths.
    pub usage: usize,
}

impl LoadSample {
    /// Returns the Prometheus text, with the metric names of common engines.
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

/// The samples of the load; a reader sees only those that are at least one lag old.
#[derive(Clone, Debug)]
pub struct LoadReport {
    lag: Duration,
    samples: VecDeque<(Duration, LoadSample)>,
}

impl LoadReport {
    /// Creates a report whose figures are at least `lag` old.
    pub fn new(lag: Duration) -> Self {
        let samples = VecDeque::new();
        Self { lag, samples }
    }

    /// Adds a sample of the load at `now`.
    pub fn push(&mut self, now: Duration, load: LoadSample) {
        match self.samples.back_mut() {
            // Samples that are close together are merged, so that their number is bounded.
            Some((at, last)) if now < *at + self.lag / SAMPLES_PER_LAG => *last = load,
            _ => self.samples.push_back((now, load)),
        }
        while self.is_superseded(now) {
            self.samples.pop_front();
        }
    }

    /// Returns whether no reader sees the oldest sample any more.
    fn is_superseded(&self, now: Duration) -> bool {
        let second = self.samples.get(1);
        second.is_some_and(|(at, _)| *at + self.lag <= now)
    }

    /// Returns the load that a reader sees at `now`.
    pub fn read(&self, now: Duration) -> LoadSample {
        let visible = |(at, _): &&(Duration, LoadSample)| *at + self.lag <= now;
        let newest = self.samples.iter().rev().find(visible);
        newest.map(|(_, load)| *load).unwrap_or_default()
    }
}
