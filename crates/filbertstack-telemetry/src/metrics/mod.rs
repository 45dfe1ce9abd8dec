//! This module defines the metrics of a process and renders them as Prometheus text.

pub mod groups;
pub mod instrument;

use std::sync::Arc;

use opentelemetry::metrics::Meter;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::error::TelemetryError;
use crate::identity::Identity;
use crate::metrics::groups::AgentMetrics;
use crate::metrics::groups::ControlMetrics;
use crate::metrics::groups::EntryMetrics;
use crate::metrics::groups::WeightMetrics;
use crate::traces::SpanStats;

/// The media type of the text that [`Metrics::render`] returns.
pub const CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// The prefix of the names of all metrics.
const NAMESPACE: &str = "filbertstack";

/// The metrics of a process. The rendered text omits groups that the role does not use.
#[derive(Debug)]
pub struct Metrics {
    /// The metrics of the requests that an entry handles.
    pub entry: EntryMetrics,
    /// The metrics of an agent's gate and target.
    pub agent: AgentMetrics,
    /// The metrics of the distribution of weights.
    pub weights: WeightMetrics,
    /// The metrics of the replicated log and of the configuration in force.
    pub control: ControlMetrics,
    meter: Meter,
    registry: Registry,
    /// The provider; it collects metrics until it is dropped.
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Creates the metrics of a process without any recorded values.
    ///
    /// # Errors
    /// Returns [`TelemetryError::Metrics`], which indicates a defect of the program.
    pub fn new(identity: &Identity) -> Result<Self, TelemetryError> {
        let registry = Registry::new();
        let reader = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace(NAMESPACE)
            .scope_info_enabled(false)
            .build()
            .map_err(|e| TelemetryError::Metrics(e.to_string()))?;
        let provider = SdkMeterProvider::builder()
            .with_reader(reader)
            .with_resource(identity.resource())
            .build();
        let meter = provider.meter(NAMESPACE);
        Ok(Self {
            entry: EntryMetrics::new(&meter),
            agent: AgentMetrics::new(&meter),
            weights: WeightMetrics::new(&meter),
            control: ControlMetrics::new(&meter),
            meter,
            registry,
            _provider: provider,
        })
    }

    /// Adds the counts of dropped and failed spans to the metrics.
    pub fn observe_spans(&self, stats: &Arc<SpanStats>) {
        let dropped = stats.clone();
        self.meter
            .u64_observable_counter("trace_spans_dropped")
            .with_description("Spans dropped because the queue was full")
            .with_callback(move |observer| observer.observe(dropped.dropped(), &[]))
            .build();
        let failed = stats.clone();
        self.meter
            .u64_observable_counter("trace_spans_failed")
            .with_description("Spans that could not be written or sent")
            .with_callback(move |observer| observer.observe(failed.failed(), &[]))
            .build();
    }

    /// Returns the text for `/metrics`, whose media type is [`CONTENT_TYPE`].
    pub fn render(&self) -> String {
        let families = self.registry.gather();
        // The encoder rejects only a family without metrics, and a registry never gathers one.
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_default()
    }
}
