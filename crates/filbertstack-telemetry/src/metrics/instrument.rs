//! Instruments whose number of label values is bounded.
//!
//! Callers often determine the value of a label, such as the name of an organisation. Each instrument keeps
//! the first [`MAX_VALUES`] values that it sees and counts all others under [`OTHER`]. Without this limit,
//! callers could make the memory of the process and its `/metrics` grow without bound.

use std::collections::HashMap;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;

/// The maximum number of values of one label: twice the number of large organisations and targets that an
/// entry handles.
pub const MAX_VALUES: usize = 64;

/// The label value that stands for all values beyond the limit.
pub const OTHER: &str = "other";

/// The bucket bounds of histograms, in seconds. They are fine around an engine's step of 7 ms and around the
/// required 52 ms between tokens and 0.37 s to the first token.
pub const BOUNDS_SECS: [f64; 20] = [
    0.001, 0.002, 0.004, 0.007, 0.01, 0.015, 0.025, 0.04, 0.052, 0.075, 0.1, 0.15, 0.25, 0.37, 0.5,
    1.0, 2.5, 5.0, 15.0, 60.0,
];

/// One label of an instrument and the values that it has taken.
#[derive(Debug)]
struct Label {
    key: &'static str,
    known: RwLock<HashMap<String, [KeyValue; 1]>>,
}

impl Label {
    fn new(key: &'static str) -> Self {
        let known = RwLock::default();
        Self { key, known }
    }

    fn attribute(&self, value: &str) -> [KeyValue; 1] {
        let known = self.known.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(attribute) = known.get(value) {
            return attribute.clone();
        }
        drop(known);
        let mut known = self.known.write().unwrap_or_else(PoisonError::into_inner);
        if known.len() >= MAX_VALUES && !known.contains_key(value) {
            return [KeyValue::new(self.key, OTHER)];
        }
        let attribute = [KeyValue::new(self.key, value.to_owned())];
        known.entry(value.to_owned()).or_insert(attribute).clone()
    }
}

/// A counter without labels.
#[derive(Debug)]
pub struct PlainCounter(Counter<u64>);

impl PlainCounter {
    pub(super) fn new(meter: &Meter, name: &'static str, description: &'static str) -> Self {
        Self(
            meter
                .u64_counter(name)
                .with_description(description)
                .build(),
        )
    }

    /// Adds `n` to the counter.
    pub fn add(&self, n: u64) {
        self.0.add(n, &[]);
    }
}

/// A counter with one label.
#[derive(Debug)]
pub struct LabelledCounter {
    counter: Counter<u64>,
    label: Label,
}

impl LabelledCounter {
    pub(super) fn new(
        meter: &Meter,
        name: &'static str,
        key: &'static str,
        description: &'static str,
    ) -> Self {
        Self {
            counter: meter
                .u64_counter(name)
                .with_description(description)
                .build(),
            label: Label::new(key),
        }
    }

    /// Adds `n` to the counter of the label `value`.
    pub fn add(&self, value: &str, n: u64) {
        self.counter.add(n, &self.label.attribute(value));
    }
}

/// A gauge without labels.
#[derive(Debug)]
pub struct PlainGauge(Gauge<i64>);

impl PlainGauge {
    pub(super) fn new(meter: &Meter, name: &'static str, description: &'static str) -> Self {
        Self(meter.i64_gauge(name).with_description(description).build())
    }

    /// Sets the gauge to `value`.
    pub fn set(&self, value: i64) {
        self.0.record(value, &[]);
    }
}

/// A gauge with one label.
#[derive(Debug)]
pub struct LabelledGauge {
    gauge: Gauge<i64>,
    label: Label,
}

impl LabelledGauge {
    pub(super) fn new(
        meter: &Meter,
        name: &'static str,
        key: &'static str,
        description: &'static str,
    ) -> Self {
        Self {
            gauge: meter.i64_gauge(name).with_description(description).build(),
            label: Label::new(key),
        }
    }

    /// Sets the gauge of `label` to `value`.
    pub fn set(&self, label: &str, value: i64) {
        self.gauge.record(value, &self.label.attribute(label));
    }
}

fn histogram(meter: &Meter, name: &'static str, description: &'static str) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_unit("s")
        .with_description(description)
        .with_boundaries(BOUNDS_SECS.to_vec())
        .build()
}

/// A histogram of durations without labels.
#[derive(Debug)]
pub struct PlainTimer(Histogram<f64>);

impl PlainTimer {
    pub(super) fn new(meter: &Meter, name: &'static str, description: &'static str) -> Self {
        Self(histogram(meter, name, description))
    }

    /// Records one duration.
    pub fn record(&self, duration: Duration) {
        self.0.record(duration.as_secs_f64(), &[]);
    }
}

/// A histogram of durations with one label.
#[derive(Debug)]
pub struct LabelledTimer {
    histogram: Histogram<f64>,
    label: Label,
}

impl LabelledTimer {
    pub(super) fn new(
        meter: &Meter,
        name: &'static str,
        key: &'static str,
        description: &'static str,
    ) -> Self {
        Self {
            histogram: histogram(meter, name, description),
            label: Label::new(key),
        }
    }

    /// Records one duration for the label `value`.
    pub fn record(&self, value: &str, duration: Duration) {
        self.histogram
            .record(duration.as_secs_f64(), &self.label.attribute(value));
    }
}
