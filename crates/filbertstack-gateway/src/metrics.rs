//! The HTTP server for the metrics of a process.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use filbertstack_telemetry::Metrics;
use filbertstack_telemetry::metrics::CONTENT_TYPE;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::sync::watch;
use tokio::task::spawn_local;

use crate::entry::EntryError;
use crate::entry::server;
use crate::entry::server::ActiveConnections;
use crate::entry::server::Service;
use crate::request::answer::AnswerBody;

/// The path that serves the metrics.
const METRICS_PATH: &str = "/metrics";

/// The longest head of a request for metrics, in bytes.
const HEAD_LIMIT: usize = 8 << 10;

/// How long a connection may stay idle between two reads: collectors read every few seconds.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Answers with the metrics as text.
struct MetricsService(Rc<Metrics>);

impl Service for MetricsService {
    type Body = AnswerBody;

    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Response<AnswerBody> {
        let found = request.uri().path() == METRICS_PATH;
        let text = if found {
            self.0.render()
        } else {
            String::new()
        };
        let body = AnswerBody::whole(Full::new(Bytes::from(text)));
        let mut response = Response::new(body);
        if !found {
            *response.status_mut() = StatusCode::NOT_FOUND;
        }
        let kind = HeaderValue::from_static(CONTENT_TYPE);
        response.headers_mut().insert(header::CONTENT_TYPE, kind);
        response
    }

    fn head_limit(&self) -> usize {
        HEAD_LIMIT
    }

    fn idle_timeout(&self) -> Duration {
        IDLE_TIMEOUT
    }
}

/// Serves the metrics at `addr`, or does nothing if there is none.
///
/// # Errors
/// [`EntryError::Bind`] if the address can't be served.
pub fn serve(addr: Option<SocketAddr>, metrics: &Rc<Metrics>) -> Result<(), EntryError> {
    let Some(addr) = addr else {
        return Ok(());
    };
    let listener = server::bind(addr).map_err(|source| EntryError::Bind { addr, source })?;
    let never_leaving = watch::channel(false).1;
    spawn_local(server::serve(
        listener,
        Rc::new(MetricsService(metrics.clone())),
        never_leaving,
        ActiveConnections::default(),
    ));
    Ok(())
}
