//! Handles the calls on the agent's links: requests for the target, and chunks for peers.

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

use crate::gate::Gate;
use crate::gate::Refusal;
use crate::pacing::FirstByteTimes;
use crate::shared::SharedState;
use crate::target::AnswerReader;
use crate::target::Target;
use crate::target::TargetError;
use crate::target::is_hop_header;

/// The size of a piece of a chunk, in bytes: small enough that the frame of a request never waits long
/// behind it, and large enough that the cost of its header is negligible.
const PIECE_SIZE: usize = 256 << 10;

/// When an entry may retry a full or closed target, in milliseconds: about the time of one answer.
const RETRY_AFTER_MS: u64 = 200;

/// How many chunks are sent in parallel. Each requester uses a few slots of a few agents; more parallel
/// uploads would slow each other down.
pub const MAX_UPLOADS: usize = 8;

/// How many requesters may wait for an upload slot; each occupies a thread.
const MAX_WAITING_UPLOADS: usize = 64;

/// How long a requester may wait for an upload slot: well under the time that it waits for a piece.
const MAX_UPLOAD_WAIT: Duration = Duration::from_secs(1);

/// When a requester that got no upload slot may retry, in milliseconds.
const BUSY_RETRY_MS: u64 = 100;

/// A requester without known properties; such requesters are served in the order of arrival.
const UNKNOWN_REQUESTER: Upload = Upload {
    chunk: 0,
    import: false,
    held: 0,
    last_served: Millis::ZERO,
    copies: 0,
};

const READ_BUFFER_SIZE: usize = 16 << 10;

/// Handles the calls that arrive on the agent's links.
pub struct CallHandler {
    /// The gate of the target.
    pub gate: Gate,
    /// The target.
    pub target: Target,
    /// The store of the chunks that peers request.
    pub store: Arc<Store>,
    /// The upload slots, which order the waiting peers.
    pub uploads: Arc<UploadSlots>,
    /// The state with the manifests that peers request.
    pub shared: Arc<SharedState>,
    /// The highest term accepted.
    pub term: Arc<AtomicU64>,
    /// Metrics and traces.
    pub telemetry: Arc<Telemetry>,
    /// The times to the first byte of the target's answers.
    pub first_byte_times: FirstByteTimes,
}

impl Handler for CallHandler {
    fn handle(&self, _: &Remote, ask: Ask, responder: Responder) {
        match ask {
            Ask::Dispatch(dispatch) => self.dispatch(dispatch, responder),
            Ask::Chunk(Digested { digest }) => self.chunk(&digest, responder),
            Ask::Manifest(Digested { digest }) => self.manifest(&digest, responder),
            Ask::Have(Digested { digest }) => self.held_chunks(&digest, responder),
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

impl CallHandler {
    fn dispatch(&self, dispatch: Dispatch, responder: Responder) {
        let version = Digest::from_slice(&dispatch.digest);
        if version.is_none() && !dispatch.digest.is_empty() {
            return responder.refuse("a version that is no digest: route the request again", 0);
        }
        let permit = match self.gate.admit(version) {
            Ok(permit) => permit,
            Err(refusal) => {
                self.telemetry
                    .metrics
                    .agent
                    .gate
                    .add(refusal.metric_name(), 1);
                return responder.refuse_as(
                    refusal_cause(refusal),
                    &refusal.to_string(),
                    RETRY_AFTER_MS,
                );
            }
        };
        self.telemetry.metrics.agent.gate.add("pass", 1);
        let (target, gate) = (self.target.clone(), self.gate.clone());
        let telemetry = self.telemetry.clone();
        let first_byte_times = self.first_byte_times.clone();
        let builder = thread::Builder::new()
            .name("dispatch".into())
            .stack_size(STACK);
        // If the thread can't be started, the responder is dropped with the closure and the outcome is
        // unknown to the entry. Nothing ran, but there is no responder left to report that.
        let _ = builder.spawn(move || {
            let _permit = permit;
            let started_at = Instant::now();
            let on_first_byte = || first_byte_times.record(started_at.elapsed());
            forward(
                &target,
                &gate,
                &telemetry,
                dispatch,
                responder,
                on_first_byte,
            );
            telemetry
                .metrics
                .agent
                .call
                .record("ended", started_at.elapsed());
        });
    }

    fn chunk(&self, digest: &[u8], responder: Responder) {
        let held = Digest::from_slice(digest).filter(|digest| self.store.has(*digest));
        let Some(digest) = held else {
            return responder.refuse("this agent does not hold the chunk: ask another", 0);
        };
        if self.uploads.waiting() >= MAX_WAITING_UPLOADS {
            return responder.refuse("too many ask for chunks: come back", BUSY_RETRY_MS);
        }
        let (store, uploads) = (self.store.clone(), self.uploads.clone());
        let builder = thread::Builder::new()
            .name("chunk".into())
            .stack_size(STACK);
        let _ = builder.spawn(move || {
            let Some(_slot) = uploads.acquire(UNKNOWN_REQUESTER, MAX_UPLOAD_WAIT) else {
                return responder.refuse("others were served first: come back", BUSY_RETRY_MS);
            };
            match store.get(digest) {
                Ok(Some(bytes)) => send_pieces(&bytes, responder),
                Ok(None) => responder.refuse("the chunk was evicted: ask another", 0),
                Err(error) => responder.refuse(&error.to_string(), 0),
            }
        });
    }

    fn manifest(&self, digest: &[u8], responder: Responder) {
        let manifest = Digest::from_slice(digest).and_then(|root| self.shared.manifest(root));
        match manifest {
            Some(manifest) => send_pieces(&manifest.encode(), responder),
            None => responder.refuse("this agent does not know the version: ask another", 0),
        }
    }

    fn held_chunks(&self, digest: &[u8], responder: Responder) {
        let manifest = Digest::from_slice(digest).and_then(|root| self.shared.manifest(root));
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

/// Returns the cause that tells the entry how to handle a refusal of the gate.
const fn refusal_cause(refusal: Refusal) -> Cause {
    match refusal {
        Refusal::Version => Cause::Absent,
        Refusal::Leaving => Cause::Leaving,
        Refusal::Full => Cause::Full,
    }
}

fn send_pieces(bytes: &bytes::Bytes, mut responder: Responder) {
    let mut pieces = bytes.chunks(PIECE_SIZE).peekable();
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

/// Forwards one request to the target, and its answer back to the entry frame by frame.
fn forward(
    target: &Target,
    gate: &Gate,
    telemetry: &Telemetry,
    mut dispatch: Dispatch,
    mut responder: Responder,
    on_first_byte: impl FnOnce(),
) {
    if responder.is_cancelled() {
        return responder.refuse("the caller left before the request began", 0);
    }
    let parent = Parent::parse(Some(&dispatch.trace), None);
    let gate_span = telemetry.tracer().span(Hop::AgentGate, &parent);
    gate_span.text(Field::Organisation, &dispatch.organisation);
    let hop = if dispatch.digest.is_empty() {
        Hop::AgentService
    } else {
        Hop::AgentEngine
    };
    let span = telemetry.tracer().span(hop, &gate_span.parent());
    set_header(&mut dispatch.headers, "traceparent", span.traceparent());
    let response = match target.dispatch(&dispatch) {
        Ok(response) => response,
        Err(error @ TargetError::Unreached(_)) => {
            span.fail(&error.to_string());
            return responder.refuse_as(Cause::Unreachable, &error.to_string(), RETRY_AFTER_MS);
        }
        Err(error) => {
            span.fail(&error.to_string());
            return responder.fail(&error.to_string());
        }
    };
    on_first_byte();
    let head = Head {
        running: gate.running(),
        slots: gate.slots(),
        ..response_head(&response, &dispatch)
    };
    if responder.send(Tell::Head(head)).is_err() {
        return;
    }
    if let Err(error) = forward_body(AnswerReader::new(response), &mut responder) {
        span.fail(&error.to_string());
        return responder.fail(&error.to_string());
    }
    // A frame of its own marks the end: an answer without it is incomplete.
    let _ = responder.finish(Tell::Piece(Payload::default()));
}

fn set_header(headers: &mut Vec<Header>, name: &str, value: String) {
    headers.retain(|header| !header.name.eq_ignore_ascii_case(name));
    headers.push(Header {
        name: name.into(),
        value,
    });
}

fn response_head(response: &ureq::http::Response<ureq::Body>, dispatch: &Dispatch) -> Head {
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

fn forward_body(mut answer: AnswerReader, responder: &mut Responder) -> Result<(), TargetError> {
    let mut buffer = vec![0; READ_BUFFER_SIZE];
    loop {
        let n = answer.read(&mut buffer)?;
        if n == 0 {
            return Ok(());
        }
        let body = bytes::Bytes::copy_from_slice(&buffer[..n]);
        let sent = responder.send(Tell::Piece(Payload { body }));
        if sent.is_err() || responder.is_cancelled() {
            return Err(TargetError::Broken(cancel_reason(&sent)));
        }
    }
}

fn cancel_reason(sent: &Result<(), WireError>) -> String {
    match sent {
        Ok(()) => "the caller left".into(),
        Err(error) => error.to_string(),
    }
}
