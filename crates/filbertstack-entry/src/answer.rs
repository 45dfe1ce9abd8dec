//! An answer on its way to the caller: kept back while it is small, streamed otherwise.
//!
//! A short answer goes out once it is whole, so that it can still be replaced by another
//! attempt's. A stream of events goes out piece by piece, and its end only once it is known to be
//! whole.

use std::io;

use filbertstack_core::Digest;
use filbertstack_wire::messages::Head;
use filbertstack_wire::messages::Header;
use tiny_http::Request;

use crate::claims::Kept;
use crate::claims::MAX_KEPT;
use crate::http;
use crate::http::HeaderField;
use crate::http::OUTCOME;
use crate::http::SERVED_BY;
use crate::http::Streamed;
use crate::http::VERSION;
use crate::table::Place;

/// How much of an answer that is no stream is kept back, in bytes.
const MAX_BACK: usize = 256 << 10;

/// The bytes of a generated token, about.
const TOKEN_BYTES: usize = 4;

/// What begins each event of a stream.
const EVENT: &[u8] = b"data:";

/// Where the bytes go.
enum Way {
    /// Nothing has gone out.
    Back(Request),
    /// The head has gone out.
    Out(Streamed),
    /// The caller is gone.
    Lost,
}

/// An answer on its way to the caller.
pub struct Answer {
    way: Way,
    status: u16,
    fields: Vec<HeaderField>,
    media: String,
    version: String,
    body: Vec<u8>,
    size: usize,
    events: u32,
    hasher: blake3::Hasher,
}

impl Answer {
    /// The answer to `request`, empty yet.
    pub fn new(request: Request) -> Self {
        Self {
            way: Way::Back(request),
            status: 0,
            fields: Vec::new(),
            media: String::new(),
            version: String::new(),
            body: Vec::new(),
            size: 0,
            events: 0,
            hasher: blake3::Hasher::new(),
        }
    }

    /// Takes the head of the target's answer.
    pub fn head(&mut self, head: &Head, place: &Place) {
        self.reset();
        self.status = u16::try_from(head.status).unwrap_or(502);
        self.fields = vec![
            HeaderField::new(OUTCOME, "ran"),
            HeaderField::new(SERVED_BY, place.name.as_str()),
        ];
        if let Some(version) = place.version {
            self.version = version.to_string();
            self.fields.push(HeaderField::new(VERSION, &self.version));
        }
        for Header { name, value } in &head.headers {
            if name.eq_ignore_ascii_case("content-type") {
                self.media.clone_from(value);
            }
            self.fields.push(HeaderField::new(name, value));
        }
    }

    /// Takes the next bytes of the body.
    ///
    /// # Errors
    /// If the caller has left.
    pub fn piece(&mut self, piece: &[u8]) -> io::Result<()> {
        self.hasher.update(piece);
        self.size += piece.len();
        self.events += count_events(piece);
        if self.body.len() <= MAX_BACK {
            self.body.extend_from_slice(piece);
        }
        let is_stream = self.media.starts_with("text/event-stream");
        if piece.is_empty() {
            return Ok(());
        }
        if let Way::Out(streamed) = &mut self.way {
            return streamed.write(piece);
        }
        if is_stream || self.size > MAX_BACK {
            return self.go_out();
        }
        Ok(())
    }

    fn go_out(&mut self) -> io::Result<()> {
        let Way::Back(request) = std::mem::replace(&mut self.way, Way::Lost) else {
            return Ok(());
        };
        let mut streamed = Streamed::start(request, self.status, &self.fields)?;
        streamed.write(&self.body)?;
        self.way = Way::Out(streamed);
        Ok(())
    }

    /// Forgets an attempt's answer of which nothing has gone out.
    pub fn reset(&mut self) {
        self.status = 0;
        self.fields.clear();
        self.media.clear();
        self.version.clear();
        self.body.clear();
        self.size = 0;
        self.events = 0;
        self.hasher = blake3::Hasher::new();
    }

    /// Whether the caller has seen a part of it.
    pub const fn has_begun(&self) -> bool {
        !matches!(self.way, Way::Back(_))
    }

    /// The request, if the caller has seen nothing.
    pub fn into_request(self) -> Option<Request> {
        match self.way {
            Way::Back(request) => Some(request),
            Way::Out(_) | Way::Lost => None,
        }
    }

    /// The HTTP status.
    pub const fn status(&self) -> u16 {
        self.status
    }

    /// The digest of the whole body.
    pub fn digest(&self) -> Digest {
        Digest::from_slice(self.hasher.finalize().as_bytes()).unwrap_or_else(|| Digest::of(&[]))
    }

    /// The tokens generated, about: one an event, or by the body's size.
    pub fn tokens(&self) -> u32 {
        let by_size = u32::try_from(self.size / TOKEN_BYTES).unwrap_or(u32::MAX);
        if self.events > 0 {
            self.events
        } else {
            by_size
        }
    }

    /// The answer as it is kept for a resend, if it is small enough.
    pub fn kept(&self) -> Option<Kept> {
        (self.size <= MAX_KEPT).then(|| Kept {
            media: self.media.clone(),
            body: self.body.clone(),
            version: self.version.clone(),
        })
    }

    /// Sends the end.
    ///
    /// # Errors
    /// If the caller has left.
    pub fn finish(self) -> io::Result<()> {
        match self.way {
            Way::Back(request) => http::respond(request, self.status, &self.fields, &self.body),
            Way::Out(streamed) => streamed.finish(),
            Way::Lost => Ok(()),
        }
    }
}

fn count_events(piece: &[u8]) -> u32 {
    let events = piece
        .split(|byte| *byte == b'\n')
        .filter(|line| line.starts_with(EVENT));
    u32::try_from(events.count()).unwrap_or(u32::MAX)
}
