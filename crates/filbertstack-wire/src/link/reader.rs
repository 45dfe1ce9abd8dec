//! The thread that reads the frames of a link.

use std::io::ErrorKind;
use std::io::Read;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use bytes::BytesMut;
use prost::Message;

use crate::error::WireError;
use crate::frame::Opener;
use crate::link::BUFFER;
use crate::link::Handler;
use crate::link::SILENCE;
use crate::link::Shared;
use crate::link::end::End;
use crate::link::incoming::Rejection;
use crate::link::lock;
use crate::messages::Call;
use crate::messages::Cause;
use crate::messages::Fault;
use crate::messages::Frame;
use crate::messages::Item;
use crate::messages::Reply;
use crate::stream::Responder;

/// The time after which a far end with too many calls in progress may retry; most calls end sooner.
const RETRY_MS: u64 = 1000;

/// Reads the frames of a link and passes them on.
pub struct Reader {
    pub shared: Arc<Shared>,
    pub socket: TcpStream,
    pub opener: Opener,
    pub input: BytesMut,
    pub handler: Arc<dyn Handler>,
}

impl Reader {
    /// Reads frames until the link ends.
    pub fn run(mut self) {
        let end = self.read_frames();
        self.shared.close(&end);
    }

    /// Reads frames until the link ends and returns why it ended.
    fn read_frames(&mut self) -> End {
        let mut buffer = vec![0; BUFFER];
        while !self.shared.has_ended() {
            if let Err(error) = self.handle_frames() {
                return End::Frame(error);
            }
            if self.keeps_sending() {
                return End::KeptSending;
            }
            match self.socket.read(&mut buffer) {
                Ok(0) => return End::ClosedRemotely,
                Ok(n) => self.input.extend_from_slice(&buffer[..n]),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return error.into(),
            }
        }
        End::ClosedHere
    }

    /// Returns whether the far end still sends long after this end stopped sending.
    ///
    /// A far end that follows the protocol receives no heartbeat and closes the link within [`SILENCE`].
    /// One that does not would block this thread, and the calls that wait for replies, without a limit.
    fn keeps_sending(&self) -> bool {
        let closed = self.shared.outbox.closed_at();
        closed.is_some_and(|at| at.elapsed() > SILENCE)
    }

    fn handle_frames(&mut self) -> Result<(), WireError> {
        while let Some(frame) = self.opener.open(&mut self.input)? {
            self.handle(frame);
        }
        Ok(())
    }

    fn handle(&self, frame: Frame) {
        let Frame {
            stream,
            seq,
            last,
            item,
        } = frame;
        match item {
            Some(Item::Call(call)) => self.handle_call(stream, call),
            Some(Item::Reply(reply)) => self.handle_reply(stream, seq, last, reply),
            Some(Item::Fault(fault)) => self.handle_fault(stream, fault),
            Some(Item::Cancel(_)) => self.shared.incoming.cancel(stream),
            Some(Item::Ending(ending)) => self.shared.note_ending(ending),
            Some(Item::Ping(_)) | None => {}
        }
    }

    fn handle_call(&self, stream: u64, call: Call) {
        let cancelled = Arc::new(AtomicBool::new(false));
        let responder = Responder::new(self.shared.clone(), stream, cancelled.clone());
        if stream != 0 {
            match self.shared.incoming.begin(stream, cancelled) {
                Ok(()) => {}
                Err(Rejection::Full) => {
                    return responder.refuse("too many calls on this link: come back", RETRY_MS);
                }
                Err(Rejection::Ending) => {
                    let text = "this process is ending: ask another";
                    return responder.refuse_as(Cause::Leaving, text, 0);
                }
            }
        }
        match call.ask {
            Some(ask) => self.handler.handle(&self.shared.remote, ask, responder),
            None => responder.refuse("a call of a later release: upgrade this end", 0),
        }
    }

    /// Passes a reply to its call; drops a reply whose call no longer has an inbox.
    fn handle_reply(&self, stream: u64, seq: u32, last: bool, reply: Reply) {
        let mut inboxes = lock(&self.shared.inboxes);
        let Some(inbox) = inboxes.get_mut(&stream) else {
            return;
        };
        let size = reply.encoded_len();
        let delivered = inbox.deliver(seq, last, reply, size);
        if let Err(error) = delivered {
            inbox.fail(error);
            inboxes.remove(&stream);
        } else if last {
            inboxes.remove(&stream);
        }
    }

    fn handle_fault(&self, stream: u64, fault: Fault) {
        let Some(inbox) = lock(&self.shared.inboxes).remove(&stream) else {
            return;
        };
        let cause = fault.cause();
        let Fault {
            text,
            after,
            not_run,
            ..
        } = fault;
        let error = if not_run {
            WireError::Refused { text, after, cause }
        } else {
            WireError::Lost
        };
        inbox.fail(error);
    }
}
