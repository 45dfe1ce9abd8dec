//! Traces: a span for each hop of a request, joined over processes by W3C trace context.

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
pub use queue::QUEUE;
pub use queue::SpanStats;

use crate::error::TelemetryError;
use crate::identity::Identity;
use crate::settings::TelemetrySettings;

const TRACEPARENT: &str = "traceparent";
const TRACESTATE: &str = "tracestate";

/// A process's traces; dropping it writes what is left.
pub struct Traces {
    provider: SdkTracerProvider,
    tracer: Tracer,
    stats: Arc<SpanStats>,
}

impl Traces {
    /// Starts the exporter that the settings name. Without one spans go nowhere, but a caller's
    /// trace context still passes from hop to hop.
    ///
    /// # Errors
    /// [`TelemetryError::TraceFile`] and [`TelemetryError::Endpoint`].
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

    /// Makes spans; cheap to clone.
    pub fn tracer(&self) -> &Tracer {
        &self.tracer
    }

    /// What became of the spans.
    pub fn stats(&self) -> &Arc<SpanStats> {
        &self.stats
    }

    /// Writes or sends the spans that have ended.
    pub fn flush(&self) {
        // A failed export is in the counts.
        let _ = self.provider.force_flush();
    }
}

impl Drop for Traces {
    fn drop(&mut self) {
        // A failed export is in the counts.
        let _ = self.provider.shutdown();
    }
}

/// Makes spans.
#[derive(Clone)]
pub struct Tracer(SdkTracer);

impl Tracer {
    /// Starts the span of a hop.
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

/// What a span stands below: another span, here or in another process, or nothing.
#[derive(Clone, Debug, Default)]
pub struct Parent(Context);

impl Parent {
    /// Nothing: the span begins a trace.
    pub fn root() -> Self {
        Self(Context::new())
    }

    /// The parent that W3C headers name; nothing if they are absent or do not read.
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
    /// This span as the parent of others, on any thread.
    pub fn parent(&self) -> Parent {
        Parent(self.context.clone())
    }

    /// The `traceparent` header for the next process.
    pub fn traceparent(&self) -> String {
        self.header(TRACEPARENT).unwrap_or_default()
    }

    /// The `tracestate` header for the next process, if the caller gave one.
    pub fn tracestate(&self) -> Option<String> {
        self.header(TRACESTATE).filter(|text| !text.is_empty())
    }

    fn header(&self, name: &str) -> Option<String> {
        let mut headers = HashMap::new();
        TraceContextPropagator::new().inject_context(&self.context, &mut headers);
        headers.remove(name)
    }

    /// The trace's id in hexadecimal, for logs.
    pub fn trace_id(&self) -> String {
        self.context.span().span_context().trace_id().to_string()
    }

    /// Whether the span is to be exported.
    pub fn is_sampled(&self) -> bool {
        self.context.span().span_context().is_sampled()
    }

    /// Notes a text.
    pub fn text(&self, field: Field, value: &str) {
        let pair = KeyValue::new(field.name(), value.to_owned());
        self.context.span().set_attribute(pair);
    }

    /// Notes a number.
    pub fn number(&self, field: Field, value: i64) {
        let pair = KeyValue::new(field.name(), value);
        self.context.span().set_attribute(pair);
    }

    /// Notes a moment within the hop, such as the first token.
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
