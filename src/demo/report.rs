//! What the demo found.

use std::time::Duration;

use filbertstack_standins::load::LoadReport;
use serde::Serialize;

use super::Plan;

/// What the demo found; the JSON that `--json` prints on the last line.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Model engines.
    pub targets: u32,
    /// From the change accepted to every replica serving, in seconds.
    pub time_to_replicas_s: f64,
    /// Bytes that left the origin over the model's size.
    pub origin_copies: f64,
    /// Requests made.
    pub requests: u64,
    /// Whole answers, each its caller's own, byte for byte.
    pub answers_exact: u64,
    /// Refused as not run.
    pub not_run: u64,
    /// Everything else.
    pub errors: u64,
    /// Half of the exact answers took at most this, in milliseconds.
    pub p50_ms: f64,
    /// 99 in 100 of the exact answers took at most this, in milliseconds.
    pub p99_ms: f64,
    /// Some of what was not exact, in words.
    #[serde(skip)]
    pub examples: Vec<String>,
}

impl Report {
    /// The report of one run.
    pub fn new(plan: Plan, time: Duration, copies: f64, load: &LoadReport) -> Self {
        Self {
            targets: plan.targets,
            time_to_replicas_s: time.as_secs_f64(),
            origin_copies: copies,
            requests: load.sent,
            answers_exact: load.exact,
            not_run: load.not_run,
            errors: load.sent - load.exact - load.not_run,
            p50_ms: millis(load.total.p50_us),
            p99_ms: millis(load.total.p99_us),
            examples: load.examples.clone(),
        }
    }

    /// Whether every request got its own whole answer.
    pub const fn is_clean(&self) -> bool {
        self.answers_exact == self.requests
    }
}

fn millis(micros: u64) -> f64 {
    Duration::from_micros(micros).as_secs_f64() * 1000.0
}

impl std::fmt::Display for Report {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        writeln!(
            f,
            "time to {} replicas  {:.2} s",
            self.targets, self.time_to_replicas_s
        )?;
        writeln!(f, "copies from the origin {:.2}", self.origin_copies)?;
        writeln!(f, "requests  {}", self.requests)?;
        writeln!(f, "  exact   {}", self.answers_exact)?;
        writeln!(f, "  not run {}", self.not_run)?;
        writeln!(f, "  errors  {}", self.errors)?;
        for example in &self.examples {
            writeln!(f, "  not exact: {example}")?;
        }
        write!(
            f,
            "answers   p50 {:.1} ms, p99 {:.1} ms",
            self.p50_ms, self.p99_ms
        )
    }
}
