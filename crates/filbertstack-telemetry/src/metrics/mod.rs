//! Metrics: every instrument in one place, read as Prometheus text.

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

/// The media type of [`Metrics::render`].
pub const CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// The prefix of every metric's name.
const NAMESPACE: &str = "filbertstack";

/// A process's metrics. Parts that a role does not use stay out of the text.
#[derive(Debug)]
pub struct Metrics {
    /// The way of a request through an entry.
    pub entry: EntryMetrics,
    /// The gate and the target of an agent.
    pub agent: AgentMetrics,
    /// The moves of weights.
    pub weights: WeightMetrics,
    /// The replicated log and the configuration in force.
    pub control: ControlMetrics,
    meter: Meter,
    registry: Registry,
    /// Collects for as long as it lives.
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// The metrics of a process, all at nothing.
    ///
    /// # Errors
    /// [`TelemetryError::Metrics`] is a defect of the program.
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

    /// Shows the counts of spans too.
    pub fn watch(&self, stats: &Arc<SpanStats>) {
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

    /// The text for `/metrics`, of media type [`CONTENT_TYPE`].
    pub fn render(&self) -> String {
        let families = self.registry.gather();
        // The encoder refuses only a family without metrics, which a registry never gathers.
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_default()
    }
}
