//! A bounded queue between requests and the exporter. Spans that do not fit are dropped and counted.
//!
//! Without a bound, a collector that hangs would block the requests that end their spans, or fill the memory
//! with spans. The SDK's batch thread takes spans from the queue; this module enforces the bound and keeps
//! the counts, because the SDK only logs the spans that it drops.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use opentelemetry::Context;
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::trace::BatchConfigBuilder;
use opentelemetry_sdk::trace::BatchSpanProcessor;
use opentelemetry_sdk::trace::Span;
use opentelemetry_sdk::trace::SpanData;
use opentelemetry_sdk::trace::SpanExporter;
use opentelemetry_sdk::trace::SpanProcessor;

/// The maximum number of spans that wait for the exporter: some seconds of an entry's spans at 2 requests per
/// second and node with 5 hops each, and room for a burst of a hundred times as many.
pub const SPAN_QUEUE_SIZE: usize = 4096;

/// The maximum number of spans in one export: about 200 KB of OTLP.
const BATCH_SIZE: usize = 512;

/// The longest time that an ended span waits for others before an export.
const EXPORT_DELAY: Duration = Duration::from_secs(1);

/// Counts the spans that ended, by what happened to them.
#[derive(Debug, Default)]
pub struct SpanStats {
    queued: AtomicUsize,
    dropped: AtomicU64,
    exported: AtomicU64,
    failed: AtomicU64,
}

impl SpanStats {
    /// Returns the number of spans that were dropped because the queue was full.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Returns the number of exported spans.
    pub fn exported(&self) -> u64 {
        self.exported.load(Ordering::Relaxed)
    }

    /// Returns the number of spans that could not be exported.
    pub fn failed(&self) -> u64 {
        self.failed.load(Ordering::Relaxed)
    }

    /// Reserves a place in the queue; returns false and counts a dropped span if the queue is full.
    fn reserve(&self) -> bool {
        let next = |queued| (queued < SPAN_QUEUE_SIZE).then_some(queued + 1);
        let reserved = self
            .queued
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, next)
            .is_ok();
        if !reserved {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        reserved
    }

    /// Releases the places of exported or failed spans and counts them.
    fn release(&self, spans: usize, exported: bool) {
        self.queued.fetch_sub(spans, Ordering::AcqRel);
        let count = if exported {
            &self.exported
        } else {
            &self.failed
        };
        count.fetch_add(spans as u64, Ordering::Relaxed);
    }
}

/// Creates a processor that passes spans to `exporter` from a separate thread.
pub(super) fn processor<E>(exporter: E, stats: &Arc<SpanStats>) -> impl SpanProcessor + use<E>
where
    E: SpanExporter + 'static,
{
    let counting = CountingExporter {
        exporter,
        stats: stats.clone(),
    };
    let config = BatchConfigBuilder::default()
        .with_max_queue_size(SPAN_QUEUE_SIZE + BATCH_SIZE)
        .with_max_export_batch_size(BATCH_SIZE)
        .with_scheduled_delay(EXPORT_DELAY)
        .build();
    BoundedProcessor {
        batches: BatchSpanProcessor::new(counting, config),
        stats: stats.clone(),
    }
}

/// Limits the number of spans in the queue.
#[derive(Debug)]
struct BoundedProcessor {
    batches: BatchSpanProcessor,
    stats: Arc<SpanStats>,
}

impl SpanProcessor for BoundedProcessor {
    fn on_start(&self, span: &mut Span, context: &Context) {
        self.batches.on_start(span, context);
    }

    fn on_end(&self, span: SpanData) {
        if span.span_context.is_sampled() && self.stats.reserve() {
            self.batches.on_end(span);
        }
    }

    fn force_flush(&self) -> OTelSdkResult {
        self.batches.force_flush()
    }

    fn shutdown_with_timeout(&self, timeout: Duration) -> OTelSdkResult {
        self.batches.shutdown_with_timeout(timeout)
    }

    fn set_resource(&mut self, resource: &Resource) {
        self.batches.set_resource(resource);
    }
}

/// Counts the spans that the inner exporter exports or fails to export.
#[derive(Debug)]
struct CountingExporter<E> {
    exporter: E,
    stats: Arc<SpanStats>,
}

impl<E: SpanExporter> SpanExporter for CountingExporter<E> {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        let spans = batch.len();
        let result = self.exporter.export(batch).await;
        self.stats.release(spans, result.is_ok());
        result
    }

    fn shutdown_with_timeout(&self, timeout: Duration) -> OTelSdkResult {
        self.exporter.shutdown_with_timeout(timeout)
    }

    fn set_resource(&mut self, resource: &Resource) {
        self.exporter.set_resource(resource);
    }
}
