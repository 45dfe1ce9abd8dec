//! Summarises the results of a run as counts and percentiles.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;

use crate::load::call::CallResult;
use crate::load::check::Class;

/// The longest time that a histogram records, in microseconds: ten minutes.
const MAX_MICROS: u64 = 600_000_000;

/// The number of significant digits of a histogram.
const DIGITS: u8 = 3;

/// The most examples of results that were not exact.
const MAX_EXAMPLES: usize = 10;

/// Percentiles of times in microseconds, as integers, so that a report survives a JSON round trip.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Percentiles {
    /// The number of recorded times.
    pub count: u64,
    /// The median.
    pub p50_us: u64,
    /// The 95th percentile.
    pub p95_us: u64,
    /// The 99th percentile.
    pub p99_us: u64,
    /// The maximum.
    pub max_us: u64,
}

/// The counts of one organisation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ByOrganisation {
    /// Requests made.
    pub sent: u64,
    /// Answers that were whole and correct byte for byte.
    pub exact: u64,
    /// Requests refused as not run.
    pub not_run: u64,
    /// Requests with any other result.
    pub other: u64,
}

/// The report of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests made.
    pub sent: u64,
    /// Answers that were whole and correct byte for byte.
    pub exact: u64,
    /// Answers that were not the expected ones or not of the version that they name.
    pub wrong: u64,
    /// Answers that ended early.
    pub truncated: u64,
    /// Requests refused as not run.
    pub not_run: u64,
    /// Requests for which it is unknown whether they ran.
    pub unknown: u64,
    /// Requests refused otherwise, or made while no entry could be connected to.
    pub errors: u64,
    /// Attempts, retries included.
    pub attempts: u64,
    /// Failed connections to entries.
    pub unreached: u64,
    /// Refusals as not run without a `Retry-After` header.
    pub no_return_time: u64,
    /// Requests of an open loop that were not made because too many were in flight.
    pub overrun: u64,
    /// Tokens of streams that were exact.
    pub tokens: u64,
    /// The duration of the run in milliseconds.
    pub spent_ms: u64,
    /// The time from the due time to the end of exact answers.
    pub total: Percentiles,
    /// The time from the due time to the first token of exact streams.
    pub first_token: Percentiles,
    /// The time between consecutive tokens of exact streams.
    pub token_gap: Percentiles,
    /// The time from the due time to the refusal of requests refused as not run.
    pub refusal: Percentiles,
    /// The counts of each organisation.
    pub organisations: BTreeMap<String, ByOrganisation>,
    /// Descriptions of the first results that were not exact.
    pub examples: Vec<String>,
}

/// A histogram of times, allocated when the first time is added.
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

/// Adds up results as they arrive.
#[derive(Default)]
pub struct Tally {
    report: LoadReport,
    total: Times,
    first_token: Times,
    token_gap: Times,
    refusal: Times,
}

impl Tally {
    /// Adds the result of one request.
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
        if let Some(time) = result.first_token {
            self.first_token.add(time);
            self.report.tokens += result.received as u64;
        }
        for gap in &result.gaps {
            self.token_gap.add(*gap);
        }
    }

    /// Returns the report of a run that took `elapsed` and skipped `overrun` requests.
    pub fn report(&self, elapsed: Duration, overrun: u64) -> LoadReport {
        LoadReport {
            overrun,
            spent_ms: u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
            total: self.total.percentiles(),
            first_token: self.first_token.percentiles(),
            token_gap: self.token_gap.percentiles(),
            refusal: self.refusal.percentiles(),
            ..self.report.clone()
        }
    }
}
