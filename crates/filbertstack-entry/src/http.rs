//! Answers to callers and operators, on top of the HTTP library.
//!
//! The library buffers a chunked body until it ends, so answers are written through its raw
//! writer, and a stream is flushed after each piece.

use std::io;
use std::io::Read;
use std::io::Write;
use std::time::Duration;

use serde::Serialize;
use serde_json::json;
use tiny_http::Request;

use crate::guard::Guard;
use crate::guard::HELLO_ANSWER;

/// How long a body may take to arrive.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(20);

/// The header that says what became of a call: `not-run`, `ran` or `unknown`.
pub const OUTCOME: &str = "x-filbertstack-outcome";

/// The header that names the version of weights that answered.
pub const VERSION: &str = "x-filbertstack-version";

/// The header with the instance that answered.
pub const SERVED_BY: &str = "x-filbertstack-target";

/// A header of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderField {
    /// Its name.
    pub name: String,
    /// Its value, without line ends.
    pub value: String,
}

impl HeaderField {
    /// A header; line ends are taken out of the value.
    pub fn new(name: &str, value: &str) -> Self {
        let value = value.chars().filter(|c| !c.is_control()).collect();
        Self {
            name: name.into(),
            value,
        }
    }
}

/// What became of a call that is not answered by a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It certainly did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Outcome {
    /// The outcome as headers and metrics name it.
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
    /// What became of the call.
    pub outcome: Outcome,
    /// The reason and its remedy.
    pub text: String,
    /// When to come back, in seconds.
    pub after: Option<u64>,
}

impl Refusal {
    /// A refusal of a call that did not run.
    pub fn not_run(status: u16, text: impl Into<String>) -> Self {
        Self {
            status,
            outcome: Outcome::NotRun,
            text: text.into(),
            after: None,
        }
    }

    /// A call whose outcome nobody knows.
    pub fn unknown(status: u16, text: impl Into<String>) -> Self {
        Self {
            status,
            outcome: Outcome::Unknown,
            text: text.into(),
            after: None,
        }
    }

    /// The same with a time to come back, in milliseconds, rounded up to seconds.
    #[must_use]
    pub fn retry_after_ms(mut self, after: u64) -> Self {
        self.after = Some(after.div_ceil(1000).max(1));
        self
    }
}

/// The reason phrase of `status`.
pub const fn reason(status: u16) -> &'static str {
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

/// Writes a whole answer.
///
/// # Errors
/// If the caller has left.
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

/// Answers the guard itself, which goes on to use the connection.
///
/// # Errors
/// If the guard has left.
pub fn answer_hello(request: Request) -> io::Result<()> {
    let mut writer = request.into_writer();
    writer.write_all(HELLO_ANSWER)?;
    writer.flush()
}

/// Writes `value` as a JSON answer.
///
/// # Errors
/// If the caller has left.
pub fn respond_json(request: Request, status: u16, value: &impl Serialize) -> io::Result<()> {
    let body = serde_json::to_vec(value)?;
    respond(
        request,
        status,
        &[HeaderField::new("content-type", "application/json")],
        &body,
    )
}

/// Writes `refusal`.
///
/// # Errors
/// If the caller has left.
pub fn refuse(request: Request, refusal: &Refusal) -> io::Result<()> {
    let outcome = refusal.outcome.name();
    let kind = match refusal.outcome {
        Outcome::NotRun => "not_run",
        Outcome::Unknown => "unknown",
    };
    let mut fields = vec![
        HeaderField::new("content-type", "application/json"),
        HeaderField::new(OUTCOME, outcome),
    ];
    if let Some(after) = refusal.after {
        fields.push(HeaderField::new("retry-after", &after.to_string()));
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
    write!(writer, "HTTP/1.1 {status} {}\r\n", reason(status))?;
    for HeaderField { name, value } in fields {
        write!(writer, "{name}: {value}\r\n")?;
    }
    writer.write_all(b"connection: close\r\n")
}

/// An answer whose body is written piece by piece.
///
/// Dropped before [`Streamed::finish`], it lacks its final chunk, so that the caller can't take
/// what it has for the whole.
pub struct Streamed {
    writer: Box<dyn Write + Send>,
}

impl Streamed {
    /// Writes the head.
    ///
    /// # Errors
    /// If the caller has left.
    pub fn start(request: Request, status: u16, fields: &[HeaderField]) -> io::Result<Self> {
        let mut writer = request.into_writer();
        write_head(&mut writer, status, fields)?;
        writer.write_all(b"transfer-encoding: chunked\r\n\r\n")?;
        writer.flush()?;
        Ok(Self { writer })
    }

    /// Writes a piece at once.
    ///
    /// # Errors
    /// If the caller has left.
    pub fn write(&mut self, piece: &[u8]) -> io::Result<()> {
        if piece.is_empty() {
            return Ok(());
        }
        write!(self.writer, "{:x}\r\n", piece.len())?;
        self.writer.write_all(piece)?;
        self.writer.write_all(b"\r\n")?;
        self.writer.flush()
    }

    /// Marks the answer as whole.
    ///
    /// # Errors
    /// If the caller has left.
    pub fn finish(mut self) -> io::Result<()> {
        self.writer.write_all(b"0\r\n\r\n")?;
        self.writer.flush()
    }
}

/// Reads a request's body.
///
/// # Errors
/// A [`Refusal`] if it is too large, too slow or cut short.
pub fn read_body(request: &mut Request, guard: &Guard, limit: usize) -> Result<Vec<u8>, Refusal> {
    let too_large =
        || Refusal::not_run(413, format!("a body has at most {limit} bytes: send less"));
    let announced = request.body_length();
    if announced.is_some_and(|length| length > limit) {
        return Err(too_large());
    }
    let remote = request.remote_addr().copied();
    let timer = guard.time_body(remote.as_ref(), BODY_TIMEOUT);
    let mut body = Vec::new();
    let read = request
        .as_reader()
        .take(limit as u64 + 1)
        .read_to_end(&mut body);
    drop(timer);
    if body.len() > limit {
        return Err(too_large());
    }
    let short = announced.is_some_and(|length| body.len() < length);
    if read.is_err() || short {
        return Err(Refusal::not_run(
            408,
            "the body did not arrive whole within 20 s: send it again",
        ));
    }
    Ok(body)
}

/// The value of the request's header `name`.
pub fn field<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    let found = request
        .headers()
        .iter()
        .find(|h| h.field.as_str().as_str().eq_ignore_ascii_case(name));
    found.map(|h| h.value.as_str())
}
