//! An exporter that sends spans to a collector by OTLP over HTTP, with `ureq` as the client.

use std::future;
use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use opentelemetry_http::HttpClient;
use opentelemetry_http::HttpError;
use opentelemetry_otlp::Protocol;
use opentelemetry_otlp::SpanExporter;
use opentelemetry_otlp::WithExportConfig;
use opentelemetry_otlp::WithHttpConfig;
use ureq::Agent;

use crate::error::TelemetryError;
use crate::settings::Endpoint;

/// The maximum time that one export waits for the collector.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// The maximum size of a collector's response, in bytes.
const MAX_RESPONSE_BYTES: u64 = 64 * 1024;

pub(super) fn exporter(endpoint: &Endpoint) -> Result<SpanExporter, TelemetryError> {
    let built = SpanExporter::builder()
        .with_http()
        .with_http_client(UreqClient::new())
        .with_protocol(Protocol::HttpBinary)
        .with_endpoint(endpoint.as_str())
        .with_timeout(EXPORT_TIMEOUT)
        .build();
    built.map_err(|e| TelemetryError::Endpoint {
        endpoint: endpoint.to_string(),
        cause: e.to_string(),
    })
}

/// Adapts `ureq` to the exporter. Its calls block, but only the batch thread makes them.
#[derive(Debug)]
struct UreqClient(Agent);

impl UreqClient {
    fn new() -> Self {
        let config = Agent::config_builder()
            .timeout_global(Some(EXPORT_TIMEOUT))
            .http_status_as_error(false)
            .build();
        Self(config.new_agent())
    }

    fn send(&self, request: Request<Bytes>) -> Result<Response<Bytes>, HttpError> {
        let (parts, body) = request.into_parts();
        let request = Request::from_parts(parts, body.to_vec());
        let (parts, mut body) = self.0.run(request)?.into_parts();
        let content = body.with_config().limit(MAX_RESPONSE_BYTES).read_to_vec()?;
        Ok(Response::from_parts(parts, Bytes::from(content)))
    }
}

type ResponseFuture<'f> =
    Pin<Box<dyn Future<Output = Result<Response<Bytes>, HttpError>> + Send + 'f>>;

impl HttpClient for UreqClient {
    fn send_bytes<'s, 'f>(&'s self, request: Request<Bytes>) -> ResponseFuture<'f>
    where
        's: 'f,
        Self: 'f,
    {
        Box::pin(future::ready(self.send(request)))
    }
}
