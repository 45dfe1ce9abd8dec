//! Statistics of what callers received.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use super::Call;
use super::Scenario;
use super::engine::Micros;
use super::to_f64;

/// The end of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Complete,
    Missed,
    Refused,
    Failed,
}

/// The statistics of one stream's calls after the warm-up.
pub struct StreamStats {
    pub offered: u64,
    pub sent: u64,
    pub complete: u64,
    pub missed: u64,
    pub refused: u64,
    pub failed: u64,
    /// The number of generated tokens of complete answers.
    pub tokens: u64,
    pub wait_times: Histogram<u64>,
    pub total_times: Histogram<u64>,
    /// The number of calls refused after a wait of more than half a second.
    pub refused_late: u64,
}

impl StreamStats {
    fn new() -> Self {
        Self {
            offered: 0,
            sent: 0,
            complete: 0,
            missed: 0,
            refused: 0,
            failed: 0,
            tokens: 0,
            wait_times: Histogram::new(3).unwrap(),
            total_times: Histogram::new(3).unwrap(),
            refused_late: 0,
        }
    }

    fn add(&mut self, other: &Self) {
        self.offered += other.offered;
        self.sent += other.sent;
        self.complete += other.complete;
        self.missed += other.missed;
        self.refused += other.refused;
        self.failed += other.failed;
        self.tokens += other.tokens;
        self.wait_times.add(&other.wait_times).unwrap();
        self.total_times.add(&other.total_times).unwrap();
        self.refused_late += other.refused_late;
    }
}

/// The statistics of all calls by stream.
pub struct Report {
    from: Micros,
    to: Micros,
    span: f64,
    streams: BTreeMap<usize, StreamStats>,
    /// The number of calls that may run only once and reached a second engine.
    pub run_twice: u64,
}

impl Report {
    pub fn new(scenario: &Scenario) -> Self {
        Self {
            from: scenario.warm_up * 1_000_000,
            to: scenario.seconds * 1_000_000,
            span: to_f64(scenario.seconds - scenario.warm_up),
            streams: BTreeMap::new(),
            run_twice: 0,
        }
    }

    fn stats_mut(&mut self, call: &Call) -> &mut StreamStats {
        self.streams
            .entry(call.stream)
            .or_insert_with(StreamStats::new)
    }

    fn in_window(&self, call: &Call) -> bool {
        (self.from..self.to).contains(&call.at)
    }

    pub fn record_offered(&mut self, call: &Call) {
        if self.in_window(call) {
            self.stats_mut(call).offered += 1;
        }
    }

    pub fn record_sent(&mut self, call: &Call) {
        if self.in_window(call) {
            self.stats_mut(call).sent += 1;
        }
    }

    pub fn record_ended(&mut self, call: &Call, end: End, wait: Micros, total: Micros) {
        let counted = self.in_window(call);
        // Goodput counts calls that end within the window, regardless of when they were offered.
        let within = (self.from..self.to).contains(&(call.at + total));
        let stats = self.stats_mut(call);
        if end == End::Complete && within {
            stats.tokens += u64::from(call.output);
        }
        if !counted {
            return;
        }
        match end {
            End::Complete => stats.complete += 1,
            End::Missed => stats.missed += 1,
            End::Failed => stats.failed += 1,
            End::Refused => {
                stats.refused += 1;
                stats.refused_late += u64::from(total > 500_000);
                return;
            }
        }
        stats.wait_times.record(wait / 1000).unwrap();
        stats.total_times.record(total / 1000).unwrap();
    }

    /// Returns the combined statistics of the selected streams.
    pub fn of_streams(&self, pick: impl Fn(usize) -> bool) -> StreamStats {
        let mut all = StreamStats::new();
        let selected = self.streams.iter().filter(|(stream, _)| pick(**stream));
        selected.for_each(|(_, stats)| all.add(stats));
        all
    }

    pub fn all(&self) -> StreamStats {
        self.of_streams(|_| true)
    }

    /// Returns the generated tokens a second of complete answers that came in time.
    pub fn goodput(&self, stats: &StreamStats) -> f64 {
        to_f64(stats.tokens) / self.span
    }

    /// Returns one line of a result table.
    pub fn line(&self, name: &str, stats: &StreamStats) -> String {
        let quantile = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q);
        format!(
            "{name:<22} {:>8.0} {:>8} {:>8} {:>7} {:>7} {:>7} {:>6} {:>6} {:>6} {:>6} {:>6.3} {:>6}",
            self.goodput(stats),
            stats.offered,
            stats.complete,
            stats.missed,
            stats.refused,
            stats.failed,
            quantile(&stats.wait_times, 0.5),
            quantile(&stats.wait_times, 0.99),
            quantile(&stats.total_times, 0.5),
            quantile(&stats.total_times, 0.99),
            stats.attempts_per_call(),
            stats.refused_late,
        )
    }
}

impl StreamStats {
    /// Returns the 99th percentile of the time to a complete answer or to the deadline, in milliseconds.
    pub fn p99(&self) -> u64 {
        self.total_times.value_at_quantile(0.99)
    }

    /// Returns the number of attempts for each call that was offered.
    pub fn attempts_per_call(&self) -> f64 {
        to_f64(self.sent) / to_f64(self.offered.max(1))
    }
}

/// Returns the header of a result table.
pub fn header() -> String {
    format!(
        "{:<22} {:>8} {:>8} {:>8} {:>7} {:>7} {:>7} {:>6} {:>6} {:>6} {:>6} {:>6} {:>6}",
        "",
        "tok/s",
        "offered",
        "complete",
        "missed",
        "refused",
        "failed",
        "w50",
        "w99",
        "t50",
        "t99",
        "sends",
        "late"
    )
}
