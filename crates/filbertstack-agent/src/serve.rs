//! The calls that arrive on the agent's links: requests for the target, chunks for peers.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use filbertstack_core::Digest;
use filbertstack_core::Millis;
use filbertstack_policy::spread::serve::UploadRequest as Upload;
use filbertstack_telemetry::Telemetry;
use filbertstack_telemetry::traces::Field;
use filbertstack_telemetry::traces::Hop;
use filbertstack_telemetry::traces::Parent;
use filbertstack_weights::Store;
use filbertstack_weights::copy::UploadSlots;
use filbertstack_wire::Handler;
use filbertstack_wire::Remote;
use filbertstack_wire::Responder;
use filbertstack_wire::WireError;
use filbertstack_wire::link::STACK;
use filbertstack_wire::messages::Ask;
use filbertstack_wire::messages::Cause;
use filbertstack_wire::messages::Digested;
use filbertstack_wire::messages::Dispatch;
use filbertstack_wire::messages::Head;
use filbertstack_wire::messages::Header;
use filbertstack_wire::messages::Payload;
use filbertstack_wire::messages::Tell;
use filbertstack_wire::messages::TermReport;
use filbertstack_wire::stream::payload;

use crate::desk::Desk;
use crate::gate::Closed;
use crate::gate::Gate;
use crate::pacing::FirstBytes;
use crate::target::Answer;
use crate::target::Target;
use crate::target::TargetError;
use crate::target::is_hop_header;

/// The size of a piece of a chunk, in bytes: small enough that a request's frame never waits long
/// behind it, large enough that its head costs nothing.
const PIECE: usize = 256 << 10;

/// When an entry may come back to a full or closed target, in milliseconds: about one answer.
const COME_BACK: u64 = 200;

/// How many chunks are sent at once: each asker has a few of the slots of a few agents, and more
/// at once would all be slow together.
pub const UPLOADS: usize = 8;

/// How many may wait for an upload; each takes a thread.
const MAX_WAITING: usize = 64;

/// How long one may wait for an upload: well under what askers wait for a piece.
const UPLOAD_WAIT: Duration = Duration::from_secs(1);

/// When one that got no upload may come back, in milliseconds.
const BUSY: u64 = 100;

/// A requester of whom nothing is known: such are served in the order of arrival.
const ANYBODY: Upload = Upload {
    chunk: 0,
    import: false,
    held: 0,
    last_served: Millis::ZERO,
    copies: 0,
};

const READ_BUFFER: usize = 16 << 10;

/// Takes the calls that arrive on the agent's links.
pub struct Calls {
    /// What may reach the target.
    pub gate: Gate,
    /// The target.
    pub target: Target,
    /// Chunks for peers.
    pub store: Arc<Store>,
    /// Who of the peers gets the next chunk.
    pub uploads: Arc<UploadSlots>,
    /// Manifests for peers.
    pub desk: Arc<Desk>,
    /// The highest term accepted.
    pub term: Arc<AtomicU64>,
    /// Metrics and traces.
    pub telemetry: Arc<Telemetry>,
    /// How fast the target begins to answer.
    pub firsts: FirstBytes,
}

impl Handler for Calls {
    fn handle(&self, _: &Remote, ask: Ask, responder: Responder) {
        match ask {
            Ask::Dispatch(dispatch) => self.dispatch(dispatch, responder),
            Ask::Chunk(Digested { digest }) => self.chunk(&digest, responder),
            Ask::Manifest(Digested { digest }) => self.manifest(&digest, responder),
            Ask::Have(Digested { digest }) => self.have(&digest, responder),
            Ask::Term(_) => {
                let term = self.term.load(Ordering::Relaxed);
                let report = TermReport {
                    term,
                    ..TermReport::default()
                };
                let _ = responder.finish(Tell::Term(report));
            }
            Ask::Drain(_) => {
                self.gate.leave();
                let _ = responder.finish(payload(Vec::new()));
            }
            _ => responder.refuse("an agent does not serve this call: ask an entry", 0),
        }
    }
}

impl Calls {
    fn dispatch(&self, dispatch: Dispatch, responder: Responder) {
        let version = Digest::from_slice(&dispatch.digest);
        if version.is_none() && !dispatch.digest.is_empty() {
            return responder.refuse("a version that is no digest: route the request again", 0);
        }
        let pass = match self.gate.pass(version) {
            Ok(pass) => pass,
            Err(closed) => {
                self.telemetry.metrics.agent.gate.add(closed.name(), 1);
                return responder.refuse_as(cause_of(closed), &closed.to_string(), COME_BACK);
            }
        };
        self.telemetry.metrics.agent.gate.add("pass", 1);
        let (target, gate) = (self.target.clone(), self.gate.clone());
        let telemetry = self.telemetry.clone();
        let firsts = self.firsts.clone();
        let builder = thread::Builder::new()
            .name("dispatch".into())
            .stack_size(STACK);
        // A thread that can't be started drops the responder, and the entry hears "unknown";
        // nothing ran, but saying so needs the responder, which is gone with the closure.
        let _ = builder.spawn(move || {
            let _pass = pass;
            let begun = Instant::now();
            let first = || firsts.note(begun.elapsed());
            pass_on(&target, &gate, &telemetry, dispatch, responder, first);
            telemetry
                .metrics
                .agent
                .call
                .record("ended", begun.elapsed());
        });
    }

    fn chunk(&self, digest: &[u8], responder: Responder) {
        let held = Digest::from_slice(digest).filter(|digest| self.store.has(*digest));
        let Some(digest) = held else {
            return responder.refuse("this agent does not hold the chunk: ask another", 0);
        };
        if self.uploads.waiting() >= MAX_WAITING {
            return responder.refuse("too many ask for chunks: come back", BUSY);
        }
        let (store, uploads) = (self.store.clone(), self.uploads.clone());
        let builder = thread::Builder::new()
            .name("chunk".into())
            .stack_size(STACK);
        let _ = builder.spawn(move || {
            let Some(_slot) = uploads.acquire(ANYBODY, UPLOAD_WAIT) else {
                return responder.refuse("others were served first: come back", BUSY);
            };
            match store.get(digest) {
                Ok(Some(bytes)) => send_pieces(&bytes, responder),
                Ok(None) => responder.refuse("the chunk was evicted: ask another", 0),
                Err(error) => responder.refuse(&error.to_string(), 0),
            }
        });
    }

    fn manifest(&self, digest: &[u8], responder: Responder) {
        let manifest = Digest::from_slice(digest).and_then(|root| self.desk.manifest(root));
        match manifest {
            Some(manifest) => send_pieces(&manifest.encode(), responder),
            None => responder.refuse("this agent does not know the version: ask another", 0),
        }
    }

    fn have(&self, digest: &[u8], responder: Responder) {
        let manifest = Digest::from_slice(digest).and_then(|root| self.desk.manifest(root));
        let Some(manifest) = manifest else {
            return responder.refuse("this agent does not know the version: ask another", 0);
        };
        let mut bits = vec![0_u8; manifest.chunks().len().div_ceil(8)];
        for (index, chunk) in manifest.chunks().iter().enumerate() {
            if self.store.has(chunk.digest) {
                bits[index / 8] |= 1 << (index % 8);
            }
        }
        let _ = responder.finish(payload(bits));
    }
}

/// What an entry can do about a closed gate.
const fn cause_of(closed: Closed) -> Cause {
    match closed {
        Closed::Version => Cause::Absent,
        Closed::Leaving => Cause::Leaving,
        Closed::Full => Cause::Full,
    }
}

fn send_pieces(bytes: &bytes::Bytes, mut responder: Responder) {
    let mut pieces = bytes.chunks(PIECE).peekable();
    while let Some(piece) = pieces.next() {
        let tell = Tell::Piece(Payload {
            body: bytes.slice_ref(piece),
        });
        if pieces.peek().is_none() {
            let _ = responder.finish(tell);
            return;
        }
        if responder.is_cancelled() || responder.send(tell).is_err() {
            return;
        }
    }
}

/// Passes one request to the target and its answer back, frame by frame.
fn pass_on(
    target: &Target,
    gate: &Gate,
    telemetry: &Telemetry,
    mut dispatch: Dispatch,
    mut responder: Responder,
    first: impl FnOnce(),
) {
    if responder.is_cancelled() {
        return responder.refuse("the caller left before the request began", 0);
    }
    let parent = Parent::parse(Some(&dispatch.trace), None);
    let passed = telemetry.tracer().span(Hop::AgentGate, &parent);
    passed.text(Field::Organisation, &dispatch.organisation);
    let hop = if dispatch.digest.is_empty() {
        Hop::AgentService
    } else {
        Hop::AgentEngine
    };
    let span = telemetry.tracer().span(hop, &passed.parent());
    set_header(&mut dispatch.headers, "traceparent", span.traceparent());
    let response = match target.dispatch(&dispatch) {
        Ok(response) => response,
        Err(error @ TargetError::Unreached(_)) => {
            span.fail(&error.to_string());
            return responder.refuse_as(Cause::Unreachable, &error.to_string(), COME_BACK);
        }
        Err(error) => {
            span.fail(&error.to_string());
            return responder.fail(&error.to_string());
        }
    };
    first();
    let head = Head {
        running: gate.running(),
        slots: gate.slots(),
        ..head_of(&response, &dispatch)
    };
    if responder.send(Tell::Head(head)).is_err() {
        return;
    }
    if let Err(error) = pass_body(Answer::new(response), &mut responder) {
        span.fail(&error.to_string());
        return responder.fail(&error.to_string());
    }
    // The end is a frame of its own: an answer without it is not whole.
    let _ = responder.finish(Tell::Piece(Payload::default()));
}

fn set_header(headers: &mut Vec<Header>, name: &str, value: String) {
    headers.retain(|header| !header.name.eq_ignore_ascii_case(name));
    headers.push(Header {
        name: name.into(),
        value,
    });
}

fn head_of(response: &ureq::http::Response<ureq::Body>, dispatch: &Dispatch) -> Head {
    let headers = response.headers().iter();
    let headers = headers.filter(|(name, _)| !is_hop_header(name.as_str()));
    let headers = headers.filter_map(|(name, value)| {
        let value = value.to_str().ok()?.to_owned();
        Some(Header {
            name: name.as_str().into(),
            value,
        })
    });
    Head {
        status: response.status().as_u16().into(),
        headers: headers.collect(),
        attempt: dispatch.attempt,
        digest: dispatch.digest.clone(),
        ..Head::default()
    }
}

fn pass_body(mut answer: Answer, responder: &mut Responder) -> Result<(), TargetError> {
    let mut buffer = vec![0; READ_BUFFER];
    loop {
        let n = answer.read(&mut buffer)?;
        if n == 0 {
            return Ok(());
        }
        let body = bytes::Bytes::copy_from_slice(&buffer[..n]);
        let sent = responder.send(Tell::Piece(Payload { body }));
        if sent.is_err() || responder.is_cancelled() {
            return Err(TargetError::Broken(cancelled(&sent)));
        }
    }
}

fn cancelled(sent: &Result<(), WireError>) -> String {
    match sent {
        Ok(()) => "the caller left".into(),
        Err(error) => error.to_string(),
    }
}
