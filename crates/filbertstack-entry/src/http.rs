//! Answers to callers and operators, on top of the HTTP library.
//!
//! The library buffers a chunked body until it ends, so answers are written through its raw writer,
//! and a stream is flushed after each write.

use std::io;
use std::io::Write;
use std::ops::Deref;
use std::ops::DerefMut;
use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use filbertstack_guard::Guard;
use filbertstack_guard::HELLO_ANSWER;
use filbertstack_guard::Room;
use filbertstack_guard::Share;
use filbertstack_policy::intake::Arrival;
use filbertstack_policy::intake::NoRoom;
use filbertstack_policy::intake::SHORT_BYTES;
use memmap2::MmapMut;
use serde::Serialize;
use serde_json::json;
use tiny_http::Request;

/// The longest time that the body of a request may take to arrive.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(20);

/// The time after which a caller may return whose body found no room.
const ROOM_RETRY_MS: u64 = 1_000;

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

/// Answers a request of the guard on the path [`HELLO`](filbertstack_guard::HELLO). The guard then uses the
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

/// Answers requests whose bodies were not read, on one thread.
///
/// The library allocates a buffer of the length of what is left of a body when it drops the request, and the
/// allocator keeps such memory for each thread apart: threads of many refused requests would keep many times the memory
/// for bodies.
#[derive(Clone, Debug)]
pub struct Refuser(Sender<(Request, Refusal)>);

impl Refuser {
    /// Starts the thread.
    ///
    /// # Errors
    /// Returns the error of the system if the thread cannot be started.
    pub fn start() -> io::Result<Self> {
        let (refusals, queue) = channel::<(Request, Refusal)>();
        let builder = thread::Builder::new().name("refusals".into());
        builder.spawn(move || {
            for (request, refusal) in queue {
                // A caller that has left needs no answer.
                let _ = refuse(request, &refusal);
            }
        })?;
        Ok(Self(refusals))
    }

    /// Refuses a request, whose body the guard has ended.
    pub fn refuse(&self, request: Request, refusal: Refusal) {
        // The thread ends only with the process.
        let _ = self.0.send((request, refusal));
    }
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

/// A request's body, and what it takes of the memory for bodies.
pub struct Kept {
    /// The body.
    pub bytes: Bytes,
    /// Gives the memory back when it is dropped.
    pub share: Share,
}

/// Reads a request's body, of at most `limit` bytes, into memory of `room`.
///
/// # Errors
/// Returns a [`Refusal`] if the body is too large, arrives too slowly, is incomplete or finds no room.
pub fn read_body(
    request: &mut Request,
    guard: &Guard,
    room: &Arc<Room>,
    limit: usize,
) -> Result<Kept, Refusal> {
    let too_large =
        || Refusal::not_run(413, format!("a body has at most {limit} bytes: send less"));
    let declared_length = request.body_length();
    if declared_length.is_some_and(|length| length > limit) {
        return Err(too_large());
    }
    let remote = request.remote_addr().copied();
    let timer = guard.limit_body_time(remote.as_ref(), BODY_TIMEOUT);
    let share = room.begin(remote);
    // One byte more than the body may have shows that it is longer.
    let most = declared_length.unwrap_or(limit + 1);
    let mut buffer = Buffer::new(most).map_err(|_| no_room())?;
    let mut length = 0;
    let failed = loop {
        let n = match request.as_reader().read(&mut buffer[length..]) {
            Ok(0) => break false,
            Ok(n) => n,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
            Err(_) => break true,
        };
        length += n;
        let arrival = if declared_length == Some(length) {
            Arrival::Whole
        } else {
            Arrival::Part(length)
        };
        share
            .keep(guard, length, arrival)
            .map_err(|NoRoom| no_room())?;
    };
    drop(timer);
    if length > limit {
        return Err(too_large());
    }
    // A body that has lost its room ends early.
    let arrival = Arrival::Part(length);
    share
        .keep(guard, length, arrival)
        .map_err(|NoRoom| no_room())?;
    let incomplete = declared_length.is_some_and(|declared| length < declared);
    if failed || incomplete {
        return Err(Refusal::not_run(
            408,
            "the body did not arrive whole within 20 s: send it again",
        ));
    }
    share
        .keep(guard, length, Arrival::Whole)
        .map_err(|NoRoom| no_room())?;
    let bytes = buffer.into_bytes(length);
    Ok(Kept { bytes, share })
}

fn no_room() -> Refusal {
    Refusal::not_run(503, "there is no room for the body: come back").retry_after_ms(ROOM_RETRY_MS)
}

/// The memory of a body that arrives.
enum Buffer {
    Short(Vec<u8>),
    /// Memory of its own, which the system has back when the body ends. The allocator keeps what its threads have
    /// freed, for each of them apart: after a crowd that is many times the memory for bodies.
    Long(MmapMut),
}

impl Buffer {
    fn new(bytes: usize) -> io::Result<Self> {
        if bytes <= SHORT_BYTES {
            return Ok(Self::Short(vec![0; bytes]));
        }
        MmapMut::map_anon(bytes).map(Self::Long)
    }

    fn into_bytes(self, length: usize) -> Bytes {
        let bytes = match self {
            Self::Short(bytes) => Bytes::from(bytes),
            Self::Long(map) => Bytes::from_owner(map),
        };
        bytes.slice(..length)
    }
}

impl Deref for Buffer {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        match self {
            Self::Short(bytes) => bytes,
            Self::Long(map) => map,
        }
    }
}

impl DerefMut for Buffer {
    fn deref_mut(&mut self) -> &mut [u8] {
        match self {
            Self::Short(bytes) => bytes,
            Self::Long(map) => map,
        }
    }
}

/// Returns the value of the request's header `name`.
pub fn header_value<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    let found = request
        .headers()
        .iter()
        .find(|h| h.field.as_str().as_str().eq_ignore_ascii_case(name));
    found.map(|h| h.value.as_str())
}
