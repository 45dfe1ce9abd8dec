//! What callers received.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use super::Call;
use super::Scenario;
use super::engine::Micros;
use super::real;

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Whole,
    Missed,
    Refused,
    Failed,
}

/// What the callers of one stream received after the warm-up.
pub struct Received {
    pub offered: u64,
    pub sent: u64,
    pub whole: u64,
    pub missed: u64,
    pub refused: u64,
    pub failed: u64,
    /// Generated tokens of whole answers.
    pub tokens: u64,
    pub waits: Histogram<u64>,
    pub totals: Histogram<u64>,
    /// Refused after a wait of more than half a second.
    pub late: u64,
}

impl Received {
    fn new() -> Self {
        Self {
            offered: 0,
            sent: 0,
            whole: 0,
            missed: 0,
            refused: 0,
            failed: 0,
            tokens: 0,
            waits: Histogram::new(3).unwrap(),
            totals: Histogram::new(3).unwrap(),
            late: 0,
        }
    }

    fn add(&mut self, other: &Self) {
        self.offered += other.offered;
        self.sent += other.sent;
        self.whole += other.whole;
        self.missed += other.missed;
        self.refused += other.refused;
        self.failed += other.failed;
        self.tokens += other.tokens;
        self.waits.add(&other.waits).unwrap();
        self.totals.add(&other.totals).unwrap();
        self.late += other.late;
    }
}

/// What all callers received, by stream.
pub struct Report {
    from: Micros,
    to: Micros,
    span: f64,
    streams: BTreeMap<usize, Received>,
    /// Calls that may run once and reached a second engine.
    pub doubled: u64,
}

impl Report {
    pub fn new(scenario: &Scenario) -> Self {
        Self {
            from: scenario.warm * 1_000_000,
            to: scenario.seconds * 1_000_000,
            span: real(scenario.seconds - scenario.warm),
            streams: BTreeMap::new(),
            doubled: 0,
        }
    }

    fn of(&mut self, call: &Call) -> &mut Received {
        self.streams
            .entry(call.stream)
            .or_insert_with(Received::new)
    }

    fn counts(&self, call: &Call) -> bool {
        (self.from..self.to).contains(&call.at)
    }

    pub fn offered(&mut self, call: &Call) {
        if self.counts(call) {
            self.of(call).offered += 1;
        }
    }

    pub fn sent(&mut self, call: &Call) {
        if self.counts(call) {
            self.of(call).sent += 1;
        }
    }

    pub fn ended(&mut self, call: &Call, end: End, wait: Micros, total: Micros) {
        let counts = self.counts(call);
        // Goodput counts what ends within the window, whenever it was offered.
        let within = (self.from..self.to).contains(&(call.at + total));
        let received = self.of(call);
        if end == End::Whole && within {
            received.tokens += u64::from(call.output);
        }
        if !counts {
            return;
        }
        match end {
            End::Whole => received.whole += 1,
            End::Missed => received.missed += 1,
            End::Failed => received.failed += 1,
            End::Refused => {
                received.refused += 1;
                received.late += u64::from(total > 500_000);
                return;
            }
        }
        received.waits.record(wait / 1000).unwrap();
        received.totals.record(total / 1000).unwrap();
    }

    /// What the callers of these streams received together.
    pub fn of_streams(&self, pick: impl Fn(usize) -> bool) -> Received {
        let mut all = Received::new();
        let picked = self.streams.iter().filter(|(stream, _)| pick(**stream));
        picked.for_each(|(_, received)| all.add(received));
        all
    }

    pub fn all(&self) -> Received {
        self.of_streams(|_| true)
    }

    /// Generated tokens a second in whole answers that came in time.
    pub fn goodput(&self, received: &Received) -> f64 {
        real(received.tokens) / self.span
    }

    /// One line of a result table.
    pub fn line(&self, name: &str, received: &Received) -> String {
        let ms = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q);
        format!(
            "{name:<22} {:>8.0} {:>8} {:>8} {:>7} {:>7} {:>7} {:>6} {:>6} {:>6} {:>6} {:>6.3} {:>6}",
            self.goodput(received),
            received.offered,
            received.whole,
            received.missed,
            received.refused,
            received.failed,
            ms(&received.waits, 0.5),
            ms(&received.waits, 0.99),
            ms(&received.totals, 0.5),
            ms(&received.totals, 0.99),
            received.sends(),
            received.late,
        )
    }
}

impl Received {
    /// The 99th percentile of the time to a whole answer or the deadline, in milliseconds.
    pub fn p99(&self) -> u64 {
        self.totals.value_at_quantile(0.99)
    }

    /// The sendings to targets for each call that was offered.
    pub fn sends(&self) -> f64 {
        real(self.sent) / real(self.offered.max(1))
    }
}

/// The head of a result table.
pub fn head() -> String {
    format!(
        "{:<22} {:>8} {:>8} {:>8} {:>7} {:>7} {:>7} {:>6} {:>6} {:>6} {:>6} {:>6} {:>6}",
        "",
        "tok/s",
        "offered",
        "whole",
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
