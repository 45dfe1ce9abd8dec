//! The HTTP server for the metrics of a process, and for the state of an entry.

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
use tokio::sync::watch;
use tokio::task::spawn_local;

use crate::clock::Clock;
use crate::entry::EntryError;
use crate::entry::server;
use crate::entry::server::ActiveConnections;
use crate::entry::server::Service;
use crate::meter::Received;
use crate::request::answer::AnswerBody;
use crate::settings::Settings;
use crate::slots::Slots;

/// The path that serves the metrics.
const METRICS_PATH: &str = "/metrics";

/// The path that serves what an entry decides by.
const STATE_PATH: &str = "/state";

/// The type of the state's text.
const STATE_TYPE: &str = "text/plain; charset=utf-8";

/// The longest head of a request for metrics, in bytes.
const HEAD_LIMIT: usize = 8 << 10;

/// How long a connection may stay idle between two reads: collectors read every few seconds.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the text of the state.
pub type StateText = Box<dyn Fn() -> String>;

/// Answers with the metrics, or with the state, as text.
struct MetricsService {
    metrics: Rc<Metrics>,
    /// `None` in an agent.
    state: Option<StateText>,
}

impl MetricsService {
    /// Returns the text at `path` and its type.
    fn text(&self, path: &str) -> Option<(String, &'static str)> {
        match path {
            METRICS_PATH => Some((self.metrics.render(), CONTENT_TYPE)),
            STATE_PATH => self.state.as_ref().map(|state| (state(), STATE_TYPE)),
            _ => None,
        }
    }
}

impl Service for MetricsService {
    type Body = AnswerBody;

    async fn answer(self: Rc<Self>, request: Request<Received>) -> Response<AnswerBody> {
        let found = self.text(request.uri().path());
        let is_found = found.is_some();
        let (text, kind) = found.unwrap_or((String::new(), CONTENT_TYPE));
        let body = AnswerBody::whole(Full::new(Bytes::from(text)));
        let mut response = Response::new(body);
        if !is_found {
            *response.status_mut() = StatusCode::NOT_FOUND;
        }
        let kind = HeaderValue::from_static(kind);
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

/// Serves the metrics, and the state if there is one, at the address that the settings name; does nothing without one.
///
/// # Errors
/// [`EntryError::Bind`] if the address can't be served.
pub fn serve(
    settings: &Settings,
    metrics: &Rc<Metrics>,
    state: Option<StateText>,
) -> Result<(), EntryError> {
    let Some(addr) = settings.listen.metrics else {
        return Ok(());
    };
    let listener = server::bind(addr).map_err(|source| EntryError::Bind { addr, source })?;
    let never_leaving = watch::channel(false).1;
    let service = MetricsService {
        metrics: metrics.clone(),
        state,
    };
    spawn_local(server::serve(
        listener,
        Rc::new(service),
        never_leaving,
        ActiveConnections::default(),
        Slots::new(
            "metrics",
            settings.limits.shares().metrics,
            Clock::default(),
        ),
    ));
    Ok(())
}
