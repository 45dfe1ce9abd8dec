//! Delivery of an answer to the caller: small answers are buffered, others are streamed.
//!
//! A small answer is sent once it is complete, so that the answer of another attempt can still
//! replace it. An event stream is sent as its parts arrive; its end is sent only once the answer is
//! known to be complete.

use std::io;

use filbertstack_core::Digest;
use filbertstack_wire::messages::Head;
use filbertstack_wire::messages::Header;
use tiny_http::Request;

use crate::claims::MAX_STORED_ANSWER;
use crate::claims::StoredAnswer;
use crate::http;
use crate::http::HeaderField;
use crate::http::OUTCOME_HEADER;
use crate::http::StreamedAnswer;
use crate::http::TARGET_HEADER;
use crate::http::VERSION_HEADER;
use crate::table::Endpoint;

/// The largest answer, in bytes, that is buffered whole if it is not an event stream.
const MAX_BUFFERED: usize = 256 << 10;

/// The approximate size of a generated token, in bytes.
const BYTES_PER_TOKEN: usize = 4;

/// The prefix of the line that begins an event in a stream.
const EVENT_PREFIX: &[u8] = b"data:";

/// The state of the delivery to the caller.
enum Output {
    /// Nothing has been sent.
    Buffered(Request),
    /// The head has been sent.
    Streaming(StreamedAnswer),
    /// The caller has left.
    CallerLeft,
}

/// An answer that is buffered or streamed to the caller.
pub struct Answer {
    output: Output,
    status: u16,
    fields: Vec<HeaderField>,
    content_type: String,
    version: String,
    body: Vec<u8>,
    size: usize,
    events: u32,
    hasher: blake3::Hasher,
}

impl Answer {
    /// Creates an empty answer to `request`.
    pub fn new(request: Request) -> Self {
        Self {
            output: Output::Buffered(request),
            status: 0,
            fields: Vec::new(),
            content_type: String::new(),
            version: String::new(),
            body: Vec::new(),
            size: 0,
            events: 0,
            hasher: blake3::Hasher::new(),
        }
    }

    /// Starts the answer with the head that the target sent.
    pub fn set_head(&mut self, head: &Head, place: &Endpoint) {
        self.reset();
        self.status = u16::try_from(head.status).unwrap_or(502);
        self.fields = vec![
            HeaderField::new(OUTCOME_HEADER, "ran"),
            HeaderField::new(TARGET_HEADER, place.name.as_str()),
        ];
        if let Some(version) = place.version {
            self.version = version.to_string();
            self.fields
                .push(HeaderField::new(VERSION_HEADER, &self.version));
        }
        for Header { name, value } in &head.headers {
            if name.eq_ignore_ascii_case("content-type") {
                self.content_type.clone_from(value);
            }
            self.fields.push(HeaderField::new(name, value));
        }
    }

    /// Appends bytes to the body, and sends them if the answer is streamed.
    ///
    /// # Errors
    /// Returns an error if the caller has left.
    pub fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.hasher.update(bytes);
        self.size += bytes.len();
        self.events += count_events(bytes);
        if self.body.len() <= MAX_BUFFERED {
            self.body.extend_from_slice(bytes);
        }
        let is_stream = self.content_type.starts_with("text/event-stream");
        if bytes.is_empty() {
            return Ok(());
        }
        if let Output::Streaming(streamed) = &mut self.output {
            return streamed.write(bytes);
        }
        if is_stream || self.size > MAX_BUFFERED {
            return self.start_stream();
        }
        Ok(())
    }

    fn start_stream(&mut self) -> io::Result<()> {
        let Output::Buffered(request) = std::mem::replace(&mut self.output, Output::CallerLeft)
        else {
            return Ok(());
        };
        let mut streamed = StreamedAnswer::start(request, self.status, &self.fields)?;
        streamed.write(&self.body)?;
        self.output = Output::Streaming(streamed);
        Ok(())
    }

    /// Discards the answer of an attempt of which nothing has been sent.
    pub fn reset(&mut self) {
        self.status = 0;
        self.fields.clear();
        self.content_type.clear();
        self.version.clear();
        self.body.clear();
        self.size = 0;
        self.events = 0;
        self.hasher = blake3::Hasher::new();
    }

    /// Returns whether a part of the answer has been sent, or the caller has left.
    pub const fn has_begun(&self) -> bool {
        !matches!(self.output, Output::Buffered(_))
    }

    /// Returns the request if nothing of the answer has been sent.
    pub fn into_request(self) -> Option<Request> {
        match self.output {
            Output::Buffered(request) => Some(request),
            Output::Streaming(_) | Output::CallerLeft => None,
        }
    }

    /// Returns the HTTP status.
    pub const fn status(&self) -> u16 {
        self.status
    }

    /// Returns the digest of the body.
    pub fn digest(&self) -> Digest {
        Digest::from_slice(self.hasher.finalize().as_bytes()).unwrap_or_else(|| Digest::of(&[]))
    }

    /// Returns the approximate number of generated tokens: one per event, or by the size of the body if
    /// it has no events.
    pub fn tokens(&self) -> u32 {
        let estimate = u32::try_from(self.size / BYTES_PER_TOKEN).unwrap_or(u32::MAX);
        if self.events > 0 {
            self.events
        } else {
            estimate
        }
    }

    /// Returns the answer in the form that is stored for a resend of the request, if it is small enough.
    pub fn kept(&self) -> Option<StoredAnswer> {
        (self.size <= MAX_STORED_ANSWER).then(|| StoredAnswer {
            media: self.content_type.clone(),
            body: self.body.clone(),
            version: self.version.clone(),
        })
    }

    /// Sends a buffered answer, or the end of a streamed one.
    ///
    /// # Errors
    /// Returns an error if the caller has left.
    pub fn finish(self) -> io::Result<()> {
        match self.output {
            Output::Buffered(request) => {
                http::respond(request, self.status, &self.fields, &self.body)
            }
            Output::Streaming(streamed) => streamed.finish(),
            Output::CallerLeft => Ok(()),
        }
    }
}

fn count_events(bytes: &[u8]) -> u32 {
    let events = bytes
        .split(|byte| *byte == b'\n')
        .filter(|line| line.starts_with(EVENT_PREFIX));
    u32::try_from(events.count()).unwrap_or(u32::MAX)
}
