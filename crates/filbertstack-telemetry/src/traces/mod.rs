//! Traces consist of a span for each hop of a request; W3C trace context connects them across processes.

mod file;
mod hop;
mod otlp;
mod queue;

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use opentelemetry::Context;
use opentelemetry::KeyValue;
use opentelemetry::propagation::TextMapPropagator;
use opentelemetry::trace::SpanBuilder;
use opentelemetry::trace::Status;
use opentelemetry::trace::TraceContextExt;
use opentelemetry::trace::Tracer as _;
use opentelemetry::trace::TracerProvider;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::Sampler;
use opentelemetry_sdk::trace::SdkTracer;
use opentelemetry_sdk::trace::SdkTracerProvider;

pub use hop::Field;
pub use hop::Hop;
pub use queue::SPAN_QUEUE_SIZE;
pub use queue::SpanStats;

use crate::error::TelemetryError;
use crate::identity::Identity;
use crate::settings::TelemetrySettings;

const TRACEPARENT: &str = "traceparent";
const TRACESTATE: &str = "tracestate";

/// The traces of a process; dropping them exports the remaining spans.
pub struct Traces {
    provider: SdkTracerProvider,
    tracer: Tracer,
    stats: Arc<SpanStats>,
}

impl Traces {
    /// Starts the exporter that the settings select. Without an exporter no span is recorded, but a caller's
    /// trace context still passes from hop to hop.
    ///
    /// # Errors
    /// Returns [`TelemetryError::TraceFile`] or [`TelemetryError::Endpoint`].
    pub fn start(
        settings: &TelemetrySettings,
        identity: &Identity,
    ) -> Result<Self, TelemetryError> {
        let stats = Arc::new(SpanStats::default());
        let mut builder = SdkTracerProvider::builder().with_resource(identity.resource());
        let mut root = Sampler::AlwaysOff;
        if let Some(path) = &settings.trace_file {
            let exporter = file::open(path, identity)?;
            builder = builder.with_span_processor(queue::processor(exporter, &stats));
            root = Sampler::TraceIdRatioBased(settings.sample.share());
        } else if let Some(endpoint) = &settings.endpoint {
            let exporter = otlp::exporter(endpoint)?;
            builder = builder.with_span_processor(queue::processor(exporter, &stats));
            root = Sampler::TraceIdRatioBased(settings.sample.share());
        }
        let sampler = Sampler::ParentBased(Box::new(root));
        let provider = builder.with_sampler(sampler).build();
        let tracer = Tracer(provider.tracer("filbertstack"));
        Ok(Self {
            provider,
            tracer,
            stats,
        })
    }

    /// Returns the tracer, which is cheap to clone.
    pub fn tracer(&self) -> &Tracer {
        &self.tracer
    }

    /// Returns the counts of exported, dropped and failed spans.
    pub fn stats(&self) -> &Arc<SpanStats> {
        &self.stats
    }

    /// Exports the spans that have ended.
    pub fn flush(&self) {
        // The stats count a failed export.
        let _ = self.provider.force_flush();
    }
}

impl Drop for Traces {
    fn drop(&mut self) {
        // The stats count a failed export.
        let _ = self.provider.shutdown();
    }
}

/// Creates spans.
#[derive(Clone)]
pub struct Tracer(SdkTracer);

impl Tracer {
    /// Starts the span of a hop below `parent`.
    pub fn span(&self, hop: Hop, parent: &Parent) -> Span {
        let builder = SpanBuilder::from_name(hop.name()).with_kind(hop.kind());
        let span = self.0.build_with_context(builder, &parent.0);
        Span {
            context: parent.0.with_span(span),
        }
    }
}

impl fmt::Debug for Tracer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Tracer")
    }
}

/// The parent of a span: another span, in this process or in another one, or none.
#[derive(Clone, Debug, Default)]
pub struct Parent(Context);

impl Parent {
    /// Returns the empty parent; its span starts a trace.
    pub fn root() -> Self {
        Self(Context::new())
    }

    /// Parses the parent from W3C headers; returns the empty parent if they are absent or invalid.
    pub fn parse(traceparent: Option<&str>, tracestate: Option<&str>) -> Self {
        let mut headers = HashMap::new();
        headers.extend(traceparent.map(|text| (TRACEPARENT.to_owned(), text.to_owned())));
        headers.extend(tracestate.map(|text| (TRACESTATE.to_owned(), text.to_owned())));
        let propagator = TraceContextPropagator::new();
        Self(propagator.extract_with_context(&Context::new(), &headers))
    }
}

/// A hop in progress; dropping it ends the hop.
#[derive(Debug)]
pub struct Span {
    context: Context,
}

impl Span {
    /// Returns this span as the parent of other spans, which may be on any thread.
    pub fn parent(&self) -> Parent {
        Parent(self.context.clone())
    }

    /// Returns the `traceparent` header for the next process.
    pub fn traceparent(&self) -> String {
        self.header(TRACEPARENT).unwrap_or_default()
    }

    /// Returns the `tracestate` header for the next process, if the caller sent one.
    pub fn tracestate(&self) -> Option<String> {
        self.header(TRACESTATE).filter(|text| !text.is_empty())
    }

    fn header(&self, name: &str) -> Option<String> {
        let mut headers = HashMap::new();
        TraceContextPropagator::new().inject_context(&self.context, &mut headers);
        headers.remove(name)
    }

    /// Returns the identifier of the trace in hexadecimal, for logs.
    pub fn trace_id(&self) -> String {
        self.context.span().span_context().trace_id().to_string()
    }

    /// Returns whether the span is exported.
    pub fn is_sampled(&self) -> bool {
        self.context.span().span_context().is_sampled()
    }

    /// Sets a text field.
    pub fn text(&self, field: Field, value: &str) {
        let pair = KeyValue::new(field.name(), value.to_owned());
        self.context.span().set_attribute(pair);
    }

    /// Sets a number field.
    pub fn number(&self, field: Field, value: i64) {
        let pair = KeyValue::new(field.name(), value);
        self.context.span().set_attribute(pair);
    }

    /// Records an event within the hop, such as the first token.
    pub fn event(&self, name: &'static str) {
        self.context.span().add_event(name, Vec::new());
    }

    /// Marks the hop as failed.
    pub fn fail(&self, why: &str) {
        self.context
            .span()
            .set_status(Status::error(why.to_owned()));
    }
}

impl Drop for Span {
    fn drop(&mut self) {
        self.context.span().end();
    }
}
