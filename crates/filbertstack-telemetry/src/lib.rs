//! Structured logs, metrics and traces, set up in one place.
//!
//! [`Telemetry::start`] reads [`TelemetrySettings`] and gives a guard: `logs` have become the
//! process's default logger, `metrics.render()` is the body of `/metrics`, and `tracer` makes a
//! span for each hop. Dropping the guard flushes all of them.
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

/// All three, kept for the life of the process.
pub struct Telemetry {
    /// The process's logger.
    pub logs: Logs,
    /// The process's metrics.
    pub metrics: Metrics,
    /// The process's traces.
    pub traces: Traces,
}

impl Telemetry {
    /// Starts all three and makes `logs` the default logger.
    ///
    /// # Errors
    /// A log or trace file that cannot be opened, an endpoint that is none.
    pub fn start(
        settings: &TelemetrySettings,
        identity: &Identity,
    ) -> Result<Self, TelemetryError> {
        let logs = Logs::start(settings, identity)?;
        logs.make_default();
        let metrics = Metrics::new(identity)?;
        let traces = Traces::start(settings, identity)?;
        metrics.watch(traces.stats());
        Ok(Self {
            logs,
            metrics,
            traces,
        })
    }

    /// Makes spans.
    pub fn tracer(&self) -> &Tracer {
        self.traces.tracer()
    }
}
