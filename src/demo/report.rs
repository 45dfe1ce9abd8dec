//! The report of the demo.

use std::time::Duration;

use filbertstack_standins::load::LoadReport;
use serde::Serialize;

use super::Plan;

/// The result of the demo, as `--json` prints it on the last line.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// The number of model engines.
    pub targets: u32,
    /// The time from the start of the change until every replica serves, in seconds.
    pub time_to_replicas_s: f64,
    /// The number of bytes that the origin sent, divided by the size of the model.
    pub origin_copies: f64,
    /// The number of requests that were sent.
    pub requests: u64,
    /// The number of complete answers that match the expected answer byte for byte.
    pub answers_exact: u64,
    /// The number of requests that were refused as not run.
    pub not_run: u64,
    /// The number of all other requests.
    pub errors: u64,
    /// The median duration of the exact answers, in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile of the duration of the exact answers, in milliseconds.
    pub p99_ms: f64,
    /// Descriptions of some answers that were not exact.
    #[serde(skip)]
    pub examples: Vec<String>,
}

impl Report {
    /// Returns the report of one run.
    pub fn new(plan: Plan, time_to_replicas: Duration, copies: f64, load: &LoadReport) -> Self {
        Self {
            targets: plan.targets,
            time_to_replicas_s: time_to_replicas.as_secs_f64(),
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

    /// Returns whether every request got the complete expected answer.
    pub const fn all_exact(&self) -> bool {
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
