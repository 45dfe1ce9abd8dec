//! Makes one request: sends it to an entry, reads the answer as it arrives and classifies it.

use std::io::BufRead;
use std::io::BufReader;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use ureq::Agent;
use ureq::Body;
use ureq::http;

use crate::load::check;
use crate::load::check::Class;
use crate::load::check::Expected;
use crate::load::check::Received;
use crate::load::config::LoadConfig;
use crate::load::entry_list::EntryList;
use crate::load::plan::Request;
use crate::load::sse;
use crate::load::sse::Line;

/// The longest wait before a retry, whatever the answer's `Retry-After` says.
const MAX_RETRY_WAIT: Duration = Duration::from_secs(30);

/// The most idle connections that the callers keep open to one entry.
const IDLE_CONNECTIONS: usize = 256;

/// The result of one request, all attempts included.
#[derive(Clone, Debug, Default)]
pub struct CallResult {
    /// The class of the last attempt's answer.
    pub class: Option<Class>,
    /// The number of attempts.
    pub attempts: u64,
    /// The number of failed connections to entries.
    pub unreached: u64,
    /// The number of "not run" refusals without a `Retry-After` header.
    pub no_return_time: u64,
    /// The time from the due time to the end of the request.
    pub total: Duration,
    /// The time from the due time to the first token.
    pub first_token: Option<Duration>,
    /// The times between consecutive tokens.
    pub gaps: Vec<Duration>,
    /// The answer's length: tokens of a stream, bytes otherwise.
    pub received: usize,
    /// The reason for a class other than exact.
    pub detail: Option<String>,
}

/// The result of one attempt.
struct Attempt {
    class: Class,
    retry_after: Option<Duration>,
    first_token_at: Option<Instant>,
    gaps: Vec<Duration>,
    received: usize,
    detail: Option<String>,
}

impl Attempt {
    fn failed(class: Class, detail: impl Into<String>) -> Self {
        Self {
            class,
            retry_after: None,
            first_token_at: None,
            gaps: Vec::new(),
            received: 0,
            detail: Some(detail.into()),
        }
    }
}

/// Sends requests; all callers share the settings and connections.
pub struct Caller {
    config: LoadConfig,
    agent: Agent,
}

impl Caller {
    /// Creates a caller with the settings of a run.
    pub fn new(config: &LoadConfig) -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .max_idle_connections(4 * IDLE_CONNECTIONS)
            .max_idle_connections_per_host(IDLE_CONNECTIONS)
            .build()
            .new_agent();
        Self {
            config: config.clone(),
            agent,
        }
    }

    /// Makes a request and repeats it after "not run" as often as the settings allow.
    pub fn perform(&self, request: &Request, entry_list: &EntryList, due: Instant) -> CallResult {
        let mut result = CallResult::default();
        loop {
            result.attempts += 1;
            let attempt = self.try_entries(request, entry_list, due, &mut result.unreached);
            let retry = attempt.class == Class::NotRun
                && result.attempts <= u64::from(self.config.retries)
                && due.elapsed() < self.config.deadline;
            if attempt.class == Class::NotRun && attempt.retry_after.is_none() {
                result.no_return_time += 1;
            }
            if retry {
                thread::sleep(attempt.retry_after.unwrap_or_default().min(MAX_RETRY_WAIT));
                continue;
            }
            result.class = Some(attempt.class);
            result.total = due.elapsed();
            result.first_token = attempt
                .first_token_at
                .map(|at| at.saturating_duration_since(due));
            result.gaps = attempt.gaps;
            result.received = attempt.received;
            result.detail = attempt.detail;
            return result;
        }
    }

    /// Tries the entries in turn until a connection to one succeeds.
    fn try_entries(
        &self,
        request: &Request,
        entry_list: &EntryList,
        due: Instant,
        unreached: &mut u64,
    ) -> Attempt {
        let addrs = entry_list.addrs();
        // Requests start at different entries, so that the load spreads over them.
        let start = short_hash(&request.id) % addrs.len().max(1);
        for step in 0..addrs.len() {
            let addr = addrs[(start + step) % addrs.len()];
            match self.attempt(request, addr, due) {
                Ok(attempt) => return attempt,
                Err(Unreached) => *unreached += 1,
            }
        }
        Attempt::failed(Class::Error, "no entry could be connected to")
    }

    fn attempt(
        &self,
        request: &Request,
        addr: SocketAddr,
        due: Instant,
    ) -> Result<Attempt, Unreached> {
        let remaining = self.config.deadline.saturating_sub(due.elapsed());
        match self.send(request, addr, remaining.max(Duration::from_millis(1))) {
            Ok(response) => Ok(self.receive(request, response)),
            Err(error) if is_unreached(&error) => Err(Unreached),
            Err(error) => Ok(Attempt::failed(Class::Unknown, error.to_string())),
        }
    }

    fn send(
        &self,
        request: &Request,
        addr: SocketAddr,
        timeout: Duration,
    ) -> Result<http::Response<Body>, ureq::Error> {
        let key = &self.config.organisations[request.organisation].key;
        let mut builder = http::Request::builder()
            .method(request.method)
            .uri(format!("http://{addr}{}", request.path))
            .header("Authorization", format!("Bearer {key}"))
            .header("x-request-id", &request.id);
        if let Some(key) = &request.key {
            builder = builder.header("Idempotency-Key", key);
        }
        if !request.body.is_empty() {
            builder = builder.header("Content-Type", "application/json");
        }
        let message = builder.body(request.body.clone())?;
        let message = self
            .agent
            .configure_request(message)
            .timeout_global(Some(timeout))
            .build();
        self.agent.run(message)
    }

    fn receive(&self, request: &Request, response: http::Response<Body>) -> Attempt {
        let header = |name| header(&response, name);
        if response.status().as_u16() != 200 {
            let outcome = header("x-filbertstack-outcome");
            let retry_after = header("Retry-After").and_then(|text| text.parse().ok());
            let class = check::classify_refusal(outcome.as_deref());
            let status = response.status();
            let text = response.into_body().read_to_string().unwrap_or_default();
            let mut attempt = Attempt::failed(class, format!("{status}: {text}"));
            attempt.retry_after = retry_after.map(Duration::from_secs);
            return attempt;
        }
        let version = header("x-filbertstack-version");
        let streamed = matches!(request.expected, Expected::Answer { stream: true, .. });
        let mut attempt = Attempt::failed(Class::Unknown, "");
        let mut received = if streamed {
            read_stream(response, &mut attempt)
        } else {
            read_whole(response, &request.expected, &mut attempt)
        };
        received.version = version;
        attempt.class = check::classify(&request.expected, &self.config.versions, &received);
        if attempt.class == Class::Exact {
            attempt.detail = None;
        } else if attempt.detail.as_deref() == Some("") {
            attempt.detail = Some(format!("the answer of {:?}", received.version));
        }
        attempt
    }
}

/// The error of an attempt whose connection failed.
struct Unreached;

/// Returns whether the connection failed, so that no part of the request can have been sent.
fn is_unreached(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::ConnectionFailed | ureq::Error::Timeout(ureq::Timeout::Connect) => true,
        ureq::Error::Io(error) => error.kind() == ErrorKind::ConnectionRefused,
        _ => false,
    }
}

fn header(response: &http::Response<Body>, name: &str) -> Option<String> {
    let value = response.headers().get(name)?;
    Some(value.to_str().ok()?.to_owned())
}

/// Returns a 16-bit hash of `text`, which spreads requests over the entries.
fn short_hash(text: &str) -> usize {
    let hash = blake3::hash(text.as_bytes());
    usize::from(u16::from_le_bytes([hash.as_bytes()[0], hash.as_bytes()[1]]))
}

/// Reads a stream event by event up to the end of the body; it is whole if its last event came.
fn read_stream(response: http::Response<Body>, attempt: &mut Attempt) -> Received {
    let mut received = Received::default();
    let mut last: Option<Instant> = None;
    for line in BufReader::new(response.into_body().into_reader()).lines() {
        let line = match line {
            Ok(line) => line,
            Err(error) => {
                attempt.detail = Some(format!("after {} tokens: {error}", attempt.received));
                received.whole = false;
                return received;
            }
        };
        match sse::parse_line(&line) {
            Line::Text(text) if !text.is_empty() => {
                let now = Instant::now();
                attempt.first_token_at.get_or_insert(now);
                attempt.gaps.extend(last.map(|last| now - last));
                last = Some(now);
                attempt.received += 1;
                received.bytes.extend_from_slice(text.as_bytes());
            }
            Line::Done => received.whole = true,
            Line::Invalid => attempt.detail = Some(line),
            Line::Text(_) | Line::Other => {}
        }
    }
    received
}

fn read_whole(
    response: http::Response<Body>,
    expected: &Expected,
    attempt: &mut Attempt,
) -> Received {
    let mut received = Received::default();
    match response.into_body().read_to_vec() {
        Err(error) => attempt.detail = Some(error.to_string()),
        Ok(bytes) => {
            received.whole = true;
            attempt.received = bytes.len();
            received.bytes = match expected {
                Expected::Bytes(_) => bytes,
                Expected::Answer { .. } => {
                    sse::answer_text(&bytes).unwrap_or_default().into_bytes()
                }
            };
        }
    }
    received
}
