//! A client of the target's HTTP API, for orders to an engine and for forwarded requests.

use std::io::Read;
use std::path::Path;
use std::time::Duration;

use filbertstack_core::Digest;
use filbertstack_core::status::is_final;
use filbertstack_weights::metered;
use filbertstack_wire::messages::Dispatch;
use filbertstack_wire::messages::Fence;
use filbertstack_wire::messages::Header;
use serde::Deserialize;
use serde_json::json;
use thiserror::Error;
use ureq::Agent;
use ureq::Body;
use ureq::http::Request;
use ureq::http::Response;

/// How long an order to the target or a query of its state may take.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a connection to the target, which runs on the same instance, may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The hop-by-hop headers, which are not forwarded.
const HOP_HEADERS: [&str; 9] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns whether a header is hop-by-hop.
pub fn is_hop_header(name: &str) -> bool {
    HOP_HEADERS.iter().any(|hop| name.eq_ignore_ascii_case(hop))
}

/// An error of a call to the target.
#[derive(Debug, Error)]
pub enum TargetError {
    /// No byte of the request was sent.
    #[error("the target can't be reached ({0}): check that it runs at the url in [target]")]
    Unreached(String),
    /// The request was sent at least in part, and no complete answer was received.
    #[error("the target broke off ({0}); the outcome is unknown")]
    Broken(String),
    /// The engine refused an order.
    #[error("the engine refused an order with {0}: check its log")]
    Refused(u16),
}

/// The state of the weights in an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// The engine has no weights.
    #[default]
    Empty,
    /// The engine loads weights.
    Loading,
    /// The engine serves its weights.
    Serving,
    /// The engine failed to load weights.
    Failed,
}

/// The state that an engine reports.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Report {
    /// The state of the weights.
    pub state: Phase,
    /// The version, as the order named it.
    pub digest: Option<String>,
    /// The reason why the last load failed.
    pub reason: Option<String>,
}

/// A client of the target's HTTP API.
#[derive(Clone, Debug)]
pub struct Target {
    url: String,
    client: Agent,
}

impl Target {
    /// Creates a client for the target at `url`.
    pub fn new(url: &str) -> Self {
        let client = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .build();
        Self {
            url: url.into(),
            client: metered::agent(client),
        }
    }

    /// Orders the engine to load the files below `dir` as `version` of `model`.
    ///
    /// # Errors
    /// Returns [`TargetError`] if the engine can't be reached or refuses. After [`TargetError::Broken`] the
    /// engine may still load the version.
    pub fn load(
        &self,
        model: &str,
        version: Digest,
        dir: &Path,
        fence: Fence,
    ) -> Result<(), TargetError> {
        let number = encode_fence(fence);
        let order = json!({
            "model": model, "digest": version.to_string(), "dir": dir, "fence": number,
        });
        self.order("/admin/load", &order)
    }

    /// Orders the engine to drop its weights.
    ///
    /// # Errors
    /// Returns [`TargetError`] if the engine can't be reached or refuses.
    pub fn unload(&self, fence: Fence) -> Result<(), TargetError> {
        self.order("/admin/unload", &json!({ "fence": encode_fence(fence) }))
    }

    fn order(&self, path: &str, order: &serde_json::Value) -> Result<(), TargetError> {
        let call = self.client.post(format!("{}{path}", self.url));
        let call = call.config().timeout_global(Some(ORDER_TIMEOUT)).build();
        let call = call.header("content-type", "application/json");
        metered::restart();
        let response = call
            .send(order.to_string().as_bytes())
            .map_err(|error| classify_error(&error))?;
        match response.status().as_u16() {
            200..300 => Ok(()),
            status => Err(TargetError::Refused(status)),
        }
    }

    /// Returns the state that the engine reports.
    ///
    /// # Errors
    /// Returns [`TargetError`] if the engine can't be reached or its answer can't be parsed.
    pub fn report(&self) -> Result<Report, TargetError> {
        let call = self.client.get(format!("{}/admin/state", self.url));
        let call = call.config().timeout_global(Some(ORDER_TIMEOUT)).build();
        metered::restart();
        let mut response = call.call().map_err(|error| unreached_error(&error))?;
        let text = response.body_mut().read_to_string();
        let text = text.map_err(|error| TargetError::Broken(error.to_string()))?;
        serde_json::from_str(&text).map_err(|error| TargetError::Broken(error.to_string()))
    }

    /// Forwards a request and returns the answer, whose body has not been read.
    ///
    /// # Errors
    /// Returns [`TargetError::Unreached`] only if the request certainly did not reach the target.
    pub fn dispatch(&self, dispatch: &Dispatch) -> Result<Response<Body>, TargetError> {
        let mut builder = Request::builder()
            .method(dispatch.method.as_str())
            .uri(format!("{}{}", self.url, dispatch.path));
        for Header { name, value } in &dispatch.headers {
            if !is_hop_header(name) {
                builder = builder.header(name, value);
            }
        }
        let request = builder.body(dispatch.body.to_vec());
        let request = request.map_err(|error| TargetError::Unreached(error.to_string()))?;
        let timeout = Duration::from_millis(dispatch.timeout.max(1));
        let request = self
            .client
            .configure_request(request)
            .timeout_global(Some(timeout))
            .build();
        metered::restart();
        let answer = self.client.run(request);
        let answer = answer.map_err(|error| classify_error(&error))?;
        let status = answer.status().as_u16();
        if !is_final(status.into()) {
            let text = format!("status {status} ends no answer");
            return Err(TargetError::Broken(text));
        }
        Ok(answer)
    }
}

/// Encodes the fencing number as the one integer that engines take: the term in the upper half, the
/// sequence in the lower.
fn encode_fence(fence: Fence) -> u64 {
    (fence.term << 32) | (fence.sequence & u64::from(u32::MAX))
}

fn unreached_error(error: &ureq::Error) -> TargetError {
    TargetError::Unreached(error.to_string())
}

/// Classifies a failed call: only one that failed before a byte was sent certainly did not run.
fn classify_error(error: &ureq::Error) -> TargetError {
    let text = error.to_string();
    let refused = |kind| matches!(kind, std::io::ErrorKind::ConnectionRefused);
    match error {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::BadUri(_)
        | ureq::Error::Timeout(ureq::Timeout::Connect) => TargetError::Unreached(text),
        ureq::Error::Io(error) if refused(error.kind()) => TargetError::Unreached(text),
        _ => TargetError::Broken(text),
    }
}

/// Reads a streamed answer and checks that its end is marked.
pub struct AnswerReader {
    reader: ureq::BodyReader<'static>,
    is_event_stream: bool,
    tail: Vec<u8>,
}

/// The mark at the end of a stream of events.
const END_MARK: &[u8] = b"data: [DONE]";

impl AnswerReader {
    /// Creates a reader of the body of `response`.
    pub fn new(response: Response<Body>) -> Self {
        let kind = response.headers().get("content-type");
        let kind = kind.and_then(|kind| kind.to_str().ok()).unwrap_or_default();
        let is_event_stream = kind.starts_with("text/event-stream");
        Self {
            reader: response.into_body().into_reader(),
            is_event_stream,
            tail: Vec::new(),
        }
    }

    /// Reads the next bytes; returns zero at the end of a complete answer.
    ///
    /// # Errors
    /// Returns [`TargetError::Broken`] if the answer was cut off.
    pub fn read(&mut self, buffer: &mut [u8]) -> Result<usize, TargetError> {
        metered::restart();
        let read = self.reader.read(buffer);
        let n = read.map_err(|error| TargetError::Broken(error.to_string()))?;
        if n == 0 && self.is_event_stream && !self.has_end_mark() {
            return Err(TargetError::Broken(
                "its stream of events has no end mark".into(),
            ));
        }
        self.tail.extend_from_slice(&buffer[..n]);
        let surplus = self.tail.len().saturating_sub(END_MARK.len() + 4);
        self.tail.drain(..surplus);
        Ok(n)
    }

    fn has_end_mark(&self) -> bool {
        self.tail.trim_ascii_end().ends_with(END_MARK)
    }
}
