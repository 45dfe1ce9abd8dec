//! What the callers received, in sums and percentiles.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;

use crate::load::call::CallResult;
use crate::load::check::Class;

/// The longest time that a histogram tells apart, in microseconds: ten minutes.
const MAX_MICROS: u64 = 600_000_000;

/// Significant digits of a histogram.
const DIGITS: u8 = 3;

/// The most examples of what was not exact.
const MAX_EXAMPLES: usize = 10;

/// Times in microseconds: whole numbers, so that a report reads back as it was written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Percentiles {
    /// The number of times.
    pub count: u64,
    /// Half are at most this.
    pub p50_us: u64,
    /// 95 in 100 are at most this.
    pub p95_us: u64,
    /// 99 in 100 are at most this.
    pub p99_us: u64,
    /// All are at most this.
    pub max_us: u64,
}

/// The counts of one organisation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ByOrganisation {
    /// Requests made.
    pub sent: u64,
    /// Whole answers, byte for byte.
    pub exact: u64,
    /// Refused as not run.
    pub not_run: u64,
    /// Everything else.
    pub other: u64,
}

/// What the callers received.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests made.
    pub sent: u64,
    /// Whole answers, byte for byte.
    pub exact: u64,
    /// Answers that were not the caller's own or not of the version that they name.
    pub wrong: u64,
    /// Answers that broke off.
    pub truncated: u64,
    /// Refused as not run.
    pub not_run: u64,
    /// Without word whether they ran.
    pub unknown: u64,
    /// Refused otherwise, or no entry could be connected to.
    pub errors: u64,
    /// Attempts, repeated ones included.
    pub attempts: u64,
    /// Entries that could not be connected to.
    pub unreached: u64,
    /// Refusals as not run without a time to come back.
    pub no_return_time: u64,
    /// Requests of an open loop that were not made because too many were in flight.
    pub overrun: u64,
    /// Tokens of streams that were exact.
    pub tokens: u64,
    /// The time of the run in milliseconds.
    pub spent_ms: u64,
    /// From due to the end, of exact answers.
    pub total: Percentiles,
    /// From due to the first token, of exact streams.
    pub first_token: Percentiles,
    /// Between the tokens of exact streams.
    pub token_gap: Percentiles,
    /// From due to the refusal, of requests refused as not run.
    pub refusal: Percentiles,
    /// By organisation.
    pub organisations: BTreeMap<String, ByOrganisation>,
    /// Some of what was not exact, in words.
    pub examples: Vec<String>,
}

/// Times in a histogram, made when the first comes.
#[derive(Default)]
struct Times(Option<Histogram<u64>>);

impl Times {
    fn add(&mut self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(MAX_MICROS);
        if self.0.is_none() {
            self.0 = Histogram::new_with_bounds(1, MAX_MICROS, DIGITS).ok();
        }
        if let Some(histogram) = &mut self.0 {
            histogram.saturating_record(micros.max(1));
        }
    }

    fn percentiles(&self) -> Percentiles {
        let Some(histogram) = &self.0 else {
            return Percentiles::default();
        };
        let at = |quantile| histogram.value_at_quantile(quantile);
        Percentiles {
            count: histogram.len(),
            p50_us: at(0.5),
            p95_us: at(0.95),
            p99_us: at(0.99),
            max_us: histogram.max(),
        }
    }
}

/// Sums up as results come in.
#[derive(Default)]
pub struct Tally {
    report: LoadReport,
    total: Times,
    first: Times,
    gap: Times,
    refusal: Times,
}

impl Tally {
    pub fn add(&mut self, organisation: &str, result: &CallResult) {
        let class = result.class.unwrap_or(Class::Error);
        let report = &mut self.report;
        report.sent += 1;
        report.attempts += result.attempts;
        report.unreached += result.unreached;
        report.no_return_time += result.no_return_time;
        let count = match class {
            Class::Exact => &mut report.exact,
            Class::Wrong => &mut report.wrong,
            Class::Truncated => &mut report.truncated,
            Class::NotRun => &mut report.not_run,
            Class::Unknown => &mut report.unknown,
            Class::Error => &mut report.errors,
        };
        *count += 1;
        self.add_organisation(organisation, class);
        self.add_example(class, result);
        match class {
            Class::Exact => self.add_times(result),
            Class::NotRun => self.refusal.add(result.total),
            _ => {}
        }
    }

    fn add_organisation(&mut self, name: &str, class: Class) {
        let entry = self.report.organisations.entry(name.to_owned());
        let counts = entry.or_default();
        counts.sent += 1;
        match class {
            Class::Exact => counts.exact += 1,
            Class::NotRun => counts.not_run += 1,
            _ => counts.other += 1,
        }
    }

    fn add_example(&mut self, class: Class, result: &CallResult) {
        let examples = &mut self.report.examples;
        if class != Class::Exact && examples.len() < MAX_EXAMPLES {
            let detail = result.detail.as_deref().unwrap_or("no detail");
            examples.push(format!("{class:?}: {detail}"));
        }
    }

    fn add_times(&mut self, result: &CallResult) {
        self.total.add(result.total);
        if let Some(first) = result.first {
            self.first.add(first);
            self.report.tokens += result.received as u64;
        }
        for gap in &result.gaps {
            self.gap.add(*gap);
        }
    }

    pub fn report(&self, spent: Duration, overrun: u64) -> LoadReport {
        LoadReport {
            overrun,
            spent_ms: u64::try_from(spent.as_millis()).unwrap_or(u64::MAX),
            total: self.total.percentiles(),
            first_token: self.first.percentiles(),
            token_gap: self.gap.percentiles(),
            refusal: self.refusal.percentiles(),
            ..self.report.clone()
        }
    }
}
