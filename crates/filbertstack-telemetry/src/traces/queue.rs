//! The queue between requests and the exporter: bounded, and full means dropped and counted.
//!
//! A collector that hangs would otherwise hold up the requests that end their spans, or fill the
//! memory with them. The SDK's own batch thread takes spans from here; the bound and the counts
//! are kept on this side, since the SDK only logs what it drops.

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

/// The most spans that wait for the exporter: some seconds of an entry's spans at 2 requests a
/// second and node times 5 hops, with room for a burst of a hundred times as many.
pub const QUEUE: usize = 4096;

/// The most spans of one export: some 200 KB of OTLP.
const BATCH: usize = 512;

/// How long an ended span waits for others.
const DELAY: Duration = Duration::from_secs(1);

/// What became of the spans that ended.
#[derive(Debug, Default)]
pub struct SpanStats {
    queued: AtomicUsize,
    dropped: AtomicU64,
    exported: AtomicU64,
    failed: AtomicU64,
}

impl SpanStats {
    /// Spans dropped because the queue was full.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Spans written or sent.
    pub fn exported(&self) -> u64 {
        self.exported.load(Ordering::Relaxed)
    }

    /// Spans that could not be written or sent.
    pub fn failed(&self) -> u64 {
        self.failed.load(Ordering::Relaxed)
    }

    /// Takes a place in the queue, if there is one.
    fn enter(&self) -> bool {
        let free = |queued| (queued < QUEUE).then_some(queued + 1);
        let entered = self
            .queued
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, free)
            .is_ok();
        if !entered {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        entered
    }

    fn leave(&self, spans: usize, exported: bool) {
        self.queued.fetch_sub(spans, Ordering::AcqRel);
        let count = if exported {
            &self.exported
        } else {
            &self.failed
        };
        count.fetch_add(spans as u64, Ordering::Relaxed);
    }
}

/// A processor that hands spans to `exporter` from a thread of its own.
pub(super) fn processor<E>(exporter: E, stats: &Arc<SpanStats>) -> impl SpanProcessor + use<E>
where
    E: SpanExporter + 'static,
{
    let counted = Counted {
        exporter,
        stats: stats.clone(),
    };
    let config = BatchConfigBuilder::default()
        .with_max_queue_size(QUEUE + BATCH)
        .with_max_export_batch_size(BATCH)
        .with_scheduled_delay(DELAY)
        .build();
    Bounded {
        batches: BatchSpanProcessor::new(counted, config),
        stats: stats.clone(),
    }
}

#[derive(Debug)]
struct Bounded {
    batches: BatchSpanProcessor,
    stats: Arc<SpanStats>,
}

impl SpanProcessor for Bounded {
    fn on_start(&self, span: &mut Span, context: &Context) {
        self.batches.on_start(span, context);
    }

    fn on_end(&self, span: SpanData) {
        if span.span_context.is_sampled() && self.stats.enter() {
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

/// An exporter that counts.
#[derive(Debug)]
struct Counted<E> {
    exporter: E,
    stats: Arc<SpanStats>,
}

impl<E: SpanExporter> SpanExporter for Counted<E> {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        let spans = batch.len();
        let result = self.exporter.export(batch).await;
        self.stats.leave(spans, result.is_ok());
        result
    }

    fn shutdown_with_timeout(&self, timeout: Duration) -> OTelSdkResult {
        self.exporter.shutdown_with_timeout(timeout)
    }

    fn set_resource(&mut self, resource: &Resource) {
        self.exporter.set_resource(resource);
    }
}
