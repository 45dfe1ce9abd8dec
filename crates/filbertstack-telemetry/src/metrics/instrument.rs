//! Instruments whose labels cannot grow without bound.
//!
//! A label's value often comes from a caller, such as an organisation's name. Each instrument
//! keeps the first [`MAX_VALUES`] values that it sees and files the rest under [`OTHER`]: without
//! that, callers could make the process's memory and its `/metrics` grow for ever.

use std::collections::HashMap;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;

/// The most values of one label: twice the large organisations and targets that an entry meets.
pub const MAX_VALUES: usize = 64;

/// The value that further ones are filed under.
pub const OTHER: &str = "other";

/// Bounds of histograms, in seconds: fine around an engine's step of 7 ms, the 52 ms between
/// tokens and the 0.37 s to the first token that are asked for.
pub const BOUNDS: [f64; 20] = [
    0.001, 0.002, 0.004, 0.007, 0.01, 0.015, 0.025, 0.04, 0.052, 0.075, 0.1, 0.15, 0.25, 0.37, 0.5,
    1.0, 2.5, 5.0, 15.0, 60.0,
];

/// One label of an instrument and the values that it has had.
#[derive(Debug)]
struct Label {
    key: &'static str,
    seen: RwLock<HashMap<String, [KeyValue; 1]>>,
}

impl Label {
    fn new(key: &'static str) -> Self {
        let seen = RwLock::default();
        Self { key, seen }
    }

    fn pair(&self, value: &str) -> [KeyValue; 1] {
        let seen = self.seen.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(pair) = seen.get(value) {
            return pair.clone();
        }
        drop(seen);
        let mut seen = self.seen.write().unwrap_or_else(PoisonError::into_inner);
        if seen.len() >= MAX_VALUES && !seen.contains_key(value) {
            return [KeyValue::new(self.key, OTHER)];
        }
        let pair = [KeyValue::new(self.key, value.to_owned())];
        seen.entry(value.to_owned()).or_insert(pair).clone()
    }
}

/// A counter without labels.
#[derive(Debug)]
pub struct Total(Counter<u64>);

impl Total {
    pub(super) fn new(meter: &Meter, name: &'static str, about: &'static str) -> Self {
        Self(meter.u64_counter(name).with_description(about).build())
    }

    /// Counts `n` more.
    pub fn add(&self, n: u64) {
        self.0.add(n, &[]);
    }
}

/// A counter with one label.
#[derive(Debug)]
pub struct TotalBy {
    counter: Counter<u64>,
    label: Label,
}

impl TotalBy {
    pub(super) fn new(
        meter: &Meter,
        name: &'static str,
        key: &'static str,
        about: &'static str,
    ) -> Self {
        Self {
            counter: meter.u64_counter(name).with_description(about).build(),
            label: Label::new(key),
        }
    }

    /// Counts `n` more under `value`.
    pub fn add(&self, value: &str, n: u64) {
        self.counter.add(n, &self.label.pair(value));
    }
}

/// A value that goes up and down.
#[derive(Debug)]
pub struct Level(Gauge<i64>);

impl Level {
    pub(super) fn new(meter: &Meter, name: &'static str, about: &'static str) -> Self {
        Self(meter.i64_gauge(name).with_description(about).build())
    }

    /// Sets the value.
    pub fn set(&self, value: i64) {
        self.0.record(value, &[]);
    }
}

/// Values that go up and down, by one label.
#[derive(Debug)]
pub struct LevelBy {
    gauge: Gauge<i64>,
    label: Label,
}

impl LevelBy {
    pub(super) fn new(
        meter: &Meter,
        name: &'static str,
        key: &'static str,
        about: &'static str,
    ) -> Self {
        Self {
            gauge: meter.i64_gauge(name).with_description(about).build(),
            label: Label::new(key),
        }
    }

    /// Sets the value under `label`.
    pub fn set(&self, label: &str, value: i64) {
        self.gauge.record(value, &self.label.pair(label));
    }
}

fn histogram(meter: &Meter, name: &'static str, about: &'static str) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_unit("s")
        .with_description(about)
        .with_boundaries(BOUNDS.to_vec())
        .build()
}

/// How long something takes.
#[derive(Debug)]
pub struct Timing(Histogram<f64>);

impl Timing {
    pub(super) fn new(meter: &Meter, name: &'static str, about: &'static str) -> Self {
        Self(histogram(meter, name, about))
    }

    /// Records one span of time.
    pub fn record(&self, span: Duration) {
        self.0.record(span.as_secs_f64(), &[]);
    }
}

/// How long something takes, by one label.
#[derive(Debug)]
pub struct TimingBy {
    histogram: Histogram<f64>,
    label: Label,
}

impl TimingBy {
    pub(super) fn new(
        meter: &Meter,
        name: &'static str,
        key: &'static str,
        about: &'static str,
    ) -> Self {
        Self {
            histogram: histogram(meter, name, about),
            label: Label::new(key),
        }
    }

    /// Records one span of time under `value`.
    pub fn record(&self, value: &str, span: Duration) {
        self.histogram
            .record(span.as_secs_f64(), &self.label.pair(value));
    }
}
