//! Spans sent to a collector by OTLP over HTTP, with `ureq` as the client.

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

/// The longest that one export waits for the collector.
const TIMEOUT: Duration = Duration::from_secs(5);

/// The largest answer of a collector that is read, in bytes.
const MAX_ANSWER: u64 = 64 * 1024;

pub(super) fn exporter(endpoint: &Endpoint) -> Result<SpanExporter, TelemetryError> {
    let built = SpanExporter::builder()
        .with_http()
        .with_http_client(Client::new())
        .with_protocol(Protocol::HttpBinary)
        .with_endpoint(endpoint.as_str())
        .with_timeout(TIMEOUT)
        .build();
    built.map_err(|e| TelemetryError::Endpoint {
        endpoint: endpoint.to_string(),
        cause: e.to_string(),
    })
}

/// The exporter's view of `ureq`. It blocks, which only the batch thread feels.
#[derive(Debug)]
struct Client(Agent);

impl Client {
    fn new() -> Self {
        let config = Agent::config_builder()
            .timeout_global(Some(TIMEOUT))
            .http_status_as_error(false)
            .build();
        Self(config.new_agent())
    }

    fn send(&self, request: Request<Bytes>) -> Result<Response<Bytes>, HttpError> {
        let (parts, body) = request.into_parts();
        let request = Request::from_parts(parts, body.to_vec());
        let (parts, mut body) = self.0.run(request)?.into_parts();
        let answer = body.with_config().limit(MAX_ANSWER).read_to_vec()?;
        Ok(Response::from_parts(parts, Bytes::from(answer)))
    }
}

type Sending<'f> = Pin<Box<dyn Future<Output = Result<Response<Bytes>, HttpError>> + Send + 'f>>;

impl HttpClient for Client {
    fn send_bytes<'s, 'f>(&'s self, request: Request<Bytes>) -> Sending<'f>
    where
        's: 'f,
        Self: 'f,
    {
        Box::pin(future::ready(self.send(request)))
    }
}
