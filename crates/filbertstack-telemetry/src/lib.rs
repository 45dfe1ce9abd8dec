//! This crate sets up structured logs, metrics and traces.
//!
//! [`Telemetry::start`] takes [`TelemetrySettings`] and returns a guard: `logs` is the default logger of the
//! process, `metrics.render()` returns the body of `/metrics`, and `tracer` creates a span for each hop.
//! Dropping the guard flushes all three.
//!
//! ```
//! use filbertstack_telemetry::Identity;
//! use filbertstack_telemetry::Metrics;
//! use filbertstack_telemetry::Role;
//! use filbertstack_telemetry::Traces;
//! use filbertstack_telemetry::TelemetrySettings;
//! use filbertstack_telemetry::traces::Field;
//! use filbertstack_telemetry::traces::Hop;
//! use filbertstack_telemetry::traces::Parent;
//!
//! let identity = Identity::new(Role::Entry, "entry-1");
//! let traces = Traces::start(&TelemetrySettings::default(), &identity)?;
//! let metrics = Metrics::new(&identity)?;
//!
//! let parent = Parent::parse(None, None); // The caller's traceparent and tracestate headers.
//! let request = traces.tracer().span(Hop::EntryRequest, &parent);
//! request.text(Field::Organisation, "acme");
//! let dispatch = traces.tracer().span(Hop::EntryDispatch, &request.parent());
//! let for_the_agent = dispatch.traceparent();
//! # assert_eq!(for_the_agent.len(), 55);
//! metrics.entry.requests.add("ran", 1);
//! # Ok::<(), filbertstack_telemetry::TelemetryError>(())
//! ```

pub mod error;
pub mod identity;
pub mod logs;
pub mod metrics;
pub mod queue;
pub mod secret;
pub mod settings;
pub mod traces;

pub use error::TelemetryError;
pub use identity::Identity;
pub use identity::Role;
pub use logs::Logs;
pub use metrics::Metrics;
pub use secret::Secret;
pub use settings::TelemetrySettings;
pub use traces::Span;
pub use traces::Tracer;
pub use traces::Traces;

/// Holds the logs, metrics and traces for the lifetime of the process.
pub struct Telemetry {
    /// The logger of the process.
    pub logs: Logs,
    /// The metrics of the process.
    pub metrics: Metrics,
    /// The traces of the process.
    pub traces: Traces,
}

impl Telemetry {
    /// Starts logs, metrics and traces, and makes `logs` the default logger.
    ///
    /// # Errors
    /// Returns an error if a log or trace file cannot be opened or the endpoint is invalid.
    pub fn start(
        settings: &TelemetrySettings,
        identity: &Identity,
    ) -> Result<Self, TelemetryError> {
        let logs = Logs::start(settings, identity)?;
        logs.make_default();
        let metrics = Metrics::new(identity)?;
        let traces = Traces::start(settings, identity)?;
        metrics.observe_spans(traces.stats());
        Ok(Self {
            logs,
            metrics,
            traces,
        })
    }

    /// Returns the tracer, which creates spans.
    pub fn tracer(&self) -> &Tracer {
        self.traces.tracer()
    }
}
