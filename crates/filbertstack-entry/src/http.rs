//! Answers to callers and operators, on top of the HTTP library.
//!
//! The library buffers a chunked body until it ends, so answers are written through its raw writer,
//! and a stream is flushed after each write.

use std::io;
use std::io::Read;
use std::io::Write;
use std::time::Duration;

use serde::Serialize;
use serde_json::json;
use tiny_http::Request;

use crate::guard::Guard;
use crate::guard::HELLO_ANSWER;

/// The longest time that the body of a request may take to arrive.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(20);

/// The header with the outcome of a request: `not-run`, `ran` or `unknown`.
pub const OUTCOME_HEADER: &str = "x-filbertstack-outcome";

/// The header with the version of the weights that answered.
pub const VERSION_HEADER: &str = "x-filbertstack-version";

/// The header with the name of the target that answered.
pub const TARGET_HEADER: &str = "x-filbertstack-target";

/// A header field of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderField {
    /// The name of the header.
    pub name: String,
    /// The value, without control characters.
    pub value: String,
}

impl HeaderField {
    /// Creates a header field; control characters are removed from the value.
    pub fn new(name: &str, value: &str) -> Self {
        let value = value.chars().filter(|c| !c.is_control()).collect();
        Self {
            name: name.into(),
            value,
        }
    }
}

/// The outcome of a request that no target answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Returns the name of the outcome in headers and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// An error answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The HTTP status.
    pub status: u16,
    /// The outcome of the request.
    pub outcome: Outcome,
    /// The reason, and what the caller can do.
    pub text: String,
    /// The value of the Retry-After header, in seconds.
    pub retry_after_s: Option<u64>,
}

impl Refusal {
    /// Creates the refusal of a request that did not run.
    pub fn not_run(status: u16, text: impl Into<String>) -> Self {
        Self {
            status,
            outcome: Outcome::NotRun,
            text: text.into(),
            retry_after_s: None,
        }
    }

    /// Creates the answer to a request that may have run.
    pub fn unknown(status: u16, text: impl Into<String>) -> Self {
        Self {
            status,
            outcome: Outcome::Unknown,
            text: text.into(),
            retry_after_s: None,
        }
    }

    /// Returns the refusal with a Retry-After header of `delay_ms` milliseconds, rounded up to seconds.
    #[must_use]
    pub fn retry_after_ms(mut self, delay_ms: u64) -> Self {
        self.retry_after_s = Some(delay_ms.div_ceil(1000).max(1));
        self
    }
}

/// The reason phrase of `status`.
pub const fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        204 => "No Content",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        411 => "Length Required",
        413 => "Content Too Large",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Answer",
    }
}

/// Writes a complete answer.
///
/// # Errors
/// Returns an error if the caller has left.
pub fn respond(
    request: Request,
    status: u16,
    fields: &[HeaderField],
    body: &[u8],
) -> io::Result<()> {
    let head_only = *request.method() == tiny_http::Method::Head;
    let mut writer = request.into_writer();
    write_head(&mut writer, status, fields)?;
    write!(writer, "content-length: {}\r\n\r\n", body.len())?;
    if !head_only {
        writer.write_all(body)?;
    }
    writer.flush()
}

/// Answers a request of the guard on the path [`HELLO`](crate::guard::HELLO). The guard then uses the
/// connection for the request of a caller.
///
/// # Errors
/// Returns an error if the guard has closed the connection.
pub fn answer_hello(request: Request) -> io::Result<()> {
    let mut writer = request.into_writer();
    writer.write_all(HELLO_ANSWER)?;
    writer.flush()
}

/// Writes `value` as a JSON answer.
///
/// # Errors
/// Returns an error if the caller has left.
pub fn respond_json(request: Request, status: u16, value: &impl Serialize) -> io::Result<()> {
    let body = serde_json::to_vec(value)?;
    respond(
        request,
        status,
        &[HeaderField::new("content-type", "application/json")],
        &body,
    )
}

/// Writes `refusal` as a JSON answer.
///
/// # Errors
/// Returns an error if the caller has left.
pub fn refuse(request: Request, refusal: &Refusal) -> io::Result<()> {
    let outcome = refusal.outcome.name();
    let kind = match refusal.outcome {
        Outcome::NotRun => "not_run",
        Outcome::Unknown => "unknown",
    };
    let mut fields = vec![
        HeaderField::new("content-type", "application/json"),
        HeaderField::new(OUTCOME_HEADER, outcome),
    ];
    if let Some(seconds) = refusal.retry_after_s {
        fields.push(HeaderField::new("retry-after", &seconds.to_string()));
    }
    let body = json!({ "error": { "message": refusal.text, "type": kind } });
    respond(
        request,
        refusal.status,
        &fields,
        body.to_string().as_bytes(),
    )
}

fn write_head(writer: &mut impl Write, status: u16, fields: &[HeaderField]) -> io::Result<()> {
    write!(writer, "HTTP/1.1 {status} {}\r\n", reason_phrase(status))?;
    for HeaderField { name, value } in fields {
        write!(writer, "{name}: {value}\r\n")?;
    }
    writer.write_all(b"connection: close\r\n")
}

/// An answer whose body is written in parts.
///
/// If it is dropped before [`StreamedAnswer::finish`], it lacks the final chunk of the chunked encoding, so
/// that the caller cannot mistake the partial answer for the whole.
pub struct StreamedAnswer {
    writer: Box<dyn Write + Send>,
}

impl StreamedAnswer {
    /// Writes the head.
    ///
    /// # Errors
    /// Returns an error if the caller has left.
    pub fn start(request: Request, status: u16, fields: &[HeaderField]) -> io::Result<Self> {
        let mut writer = request.into_writer();
        write_head(&mut writer, status, fields)?;
        writer.write_all(b"transfer-encoding: chunked\r\n\r\n")?;
        writer.flush()?;
        Ok(Self { writer })
    }

    /// Writes and flushes a part of the body.
    ///
    /// # Errors
    /// Returns an error if the caller has left.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        if bytes.is_empty() {
            return Ok(());
        }
        write!(self.writer, "{:x}\r\n", bytes.len())?;
        self.writer.write_all(bytes)?;
        self.writer.write_all(b"\r\n")?;
        self.writer.flush()
    }

    /// Writes the final chunk, which marks the answer as complete.
    ///
    /// # Errors
    /// Returns an error if the caller has left.
    pub fn finish(mut self) -> io::Result<()> {
        self.writer.write_all(b"0\r\n\r\n")?;
        self.writer.flush()
    }
}

/// Reads a request's body.
///
/// # Errors
/// Returns a [`Refusal`] if the body is too large, arrives too slowly or is incomplete.
pub fn read_body(request: &mut Request, guard: &Guard, limit: usize) -> Result<Vec<u8>, Refusal> {
    let too_large =
        || Refusal::not_run(413, format!("a body has at most {limit} bytes: send less"));
    let declared_length = request.body_length();
    if declared_length.is_some_and(|length| length > limit) {
        return Err(too_large());
    }
    let remote = request.remote_addr().copied();
    let timer = guard.limit_body_time(remote.as_ref(), BODY_TIMEOUT);
    let mut body = Vec::new();
    let read = request
        .as_reader()
        .take(limit as u64 + 1)
        .read_to_end(&mut body);
    drop(timer);
    if body.len() > limit {
        return Err(too_large());
    }
    let incomplete = declared_length.is_some_and(|length| body.len() < length);
    if read.is_err() || incomplete {
        return Err(Refusal::not_run(
            408,
            "the body did not arrive whole within 20 s: send it again",
        ));
    }
    Ok(body)
}

/// Returns the value of the request's header `name`.
pub fn header_value<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    let found = request
        .headers()
        .iter()
        .find(|h| h.field.as_str().as_str().eq_ignore_ascii_case(name));
    found.map(|h| h.value.as_str())
}
