//! The target's own HTTP API: orders to an engine, and requests passed on.

use std::io::Read;
use std::path::Path;
use std::time::Duration;

use filbertstack_core::Digest;
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

/// How long an order or a question to the target may take.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a connection to the target may take: it is on the same instance.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Headers of one hop, which no hop passes on.
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

/// Whether a header belongs to one hop only.
pub fn is_hop_header(name: &str) -> bool {
    HOP_HEADERS.iter().any(|hop| name.eq_ignore_ascii_case(hop))
}

/// What went wrong between the agent and its target.
#[derive(Debug, Error)]
pub enum TargetError {
    /// Nothing was sent.
    #[error("the target can't be reached ({0}): check that it runs at the url in [target]")]
    Unreached(String),
    /// Something was sent, and no whole answer came.
    #[error("the target broke off ({0}); the outcome is unknown")]
    Broken(String),
    /// The engine refused an order.
    #[error("the engine refused an order with {0}: check its log")]
    Refused(u16),
}

/// How far an engine is with its weights.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// It has none.
    #[default]
    Empty,
    /// It reads some.
    Loading,
    /// It answers from them.
    Serving,
    /// It could not load them.
    Failed,
}

/// What an engine reports of itself.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Report {
    /// How far it is.
    pub state: Phase,
    /// The version as the order named it.
    pub digest: Option<String>,
    /// Why the last load failed.
    pub reason: Option<String>,
}

/// The target's HTTP API.
#[derive(Clone, Debug)]
pub struct Target {
    url: String,
    agent: Agent,
}

impl Target {
    /// The target at `url`.
    pub fn new(url: &str) -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .build()
            .new_agent();
        Self {
            url: url.into(),
            agent,
        }
    }

    /// Orders the engine to load the files below `dir` as `version` of `model`.
    ///
    /// # Errors
    /// If the engine can't be reached or refuses; after [`TargetError::Broken`] it may load.
    pub fn load(
        &self,
        model: &str,
        version: Digest,
        dir: &Path,
        fence: Fence,
    ) -> Result<(), TargetError> {
        let number = fence_number(fence);
        let order = json!({
            "model": model, "digest": version.to_string(), "dir": dir, "fence": number,
        });
        self.order("/admin/load", &order)
    }

    /// Orders the engine to drop its weights.
    ///
    /// # Errors
    /// If the engine can't be reached or refuses.
    pub fn unload(&self, fence: Fence) -> Result<(), TargetError> {
        self.order("/admin/unload", &json!({ "fence": fence_number(fence) }))
    }

    fn order(&self, path: &str, order: &serde_json::Value) -> Result<(), TargetError> {
        let call = self.agent.post(format!("{}{path}", self.url));
        let call = call.config().timeout_global(Some(ORDER_TIMEOUT)).build();
        let call = call.header("content-type", "application/json");
        let response = call
            .send(order.to_string().as_bytes())
            .map_err(|error| sending_error(&error))?;
        match response.status().as_u16() {
            200..300 => Ok(()),
            status => Err(TargetError::Refused(status)),
        }
    }

    /// Asks the engine what it serves.
    ///
    /// # Errors
    /// If the engine can't be reached or its answer does not read.
    pub fn report(&self) -> Result<Report, TargetError> {
        let call = self.agent.get(format!("{}/admin/state", self.url));
        let call = call.config().timeout_global(Some(ORDER_TIMEOUT)).build();
        let mut response = call.call().map_err(|error| unreached(&error))?;
        let text = response.body_mut().read_to_string();
        let text = text.map_err(|error| TargetError::Broken(error.to_string()))?;
        serde_json::from_str(&text).map_err(|error| TargetError::Broken(error.to_string()))
    }

    /// Passes a request on, and returns the head of the answer with its body unread.
    ///
    /// # Errors
    /// [`TargetError::Unreached`] only if the request certainly did not reach the target.
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
            .agent
            .configure_request(request)
            .timeout_global(Some(timeout))
            .build();
        self.agent
            .run(request)
            .map_err(|error| sending_error(&error))
    }
}

/// The engine's fencing number is one integer: the term above the sequence.
fn fence_number(fence: Fence) -> u64 {
    (fence.term << 32) | (fence.sequence & u64::from(u32::MAX))
}

fn unreached(error: &ureq::Error) -> TargetError {
    TargetError::Unreached(error.to_string())
}

/// Only what fails before a byte is sent is certain not to have run.
fn sending_error(error: &ureq::Error) -> TargetError {
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

/// The bytes of a streamed answer, and whether its end was marked.
pub struct Answer {
    reader: ureq::BodyReader<'static>,
    events: bool,
    tail: Vec<u8>,
}

/// What ends a stream of events.
const DONE: &[u8] = b"data: [DONE]";

impl Answer {
    /// The body of `response`.
    pub fn new(response: Response<Body>) -> Self {
        let kind = response.headers().get("content-type");
        let kind = kind.and_then(|kind| kind.to_str().ok()).unwrap_or_default();
        let events = kind.starts_with("text/event-stream");
        Self {
            reader: response.into_body().into_reader(),
            events,
            tail: Vec::new(),
        }
    }

    /// Reads the next bytes; zero at the end of a whole answer.
    ///
    /// # Errors
    /// [`TargetError::Broken`] if the answer was cut.
    pub fn read(&mut self, buffer: &mut [u8]) -> Result<usize, TargetError> {
        let read = self.reader.read(buffer);
        let n = read.map_err(|error| TargetError::Broken(error.to_string()))?;
        if n == 0 && self.events && !self.is_marked() {
            return Err(TargetError::Broken(
                "its stream of events has no end mark".into(),
            ));
        }
        self.tail.extend_from_slice(&buffer[..n]);
        let surplus = self.tail.len().saturating_sub(DONE.len() + 4);
        self.tail.drain(..surplus);
        Ok(n)
    }

    fn is_marked(&self) -> bool {
        self.tail.trim_ascii_end().ends_with(DONE)
    }
}
