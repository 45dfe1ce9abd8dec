//! The thread that reads a link's frames.

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
use crate::link::incoming::NotTaken;
use crate::link::lock;
use crate::messages::Call;
use crate::messages::Cause;
use crate::messages::Fault;
use crate::messages::Frame;
use crate::messages::Item;
use crate::messages::Reply;
use crate::stream::Responder;

/// When a far end with too many calls in progress may come back, in milliseconds: most take less.
const FULL_AFTER: u64 = 1000;

pub struct Reader {
    pub shared: Arc<Shared>,
    pub socket: TcpStream,
    pub opener: Opener,
    pub input: BytesMut,
    pub handler: Arc<dyn Handler>,
}

impl Reader {
    /// Takes what comes until the link ends.
    pub fn run(mut self) {
        let end = self.read_all();
        self.shared.close(&end);
    }

    /// Takes what comes, and says why no more does.
    fn read_all(&mut self) -> End {
        let mut buffer = vec![0; BUFFER];
        while !self.shared.has_ended() {
            if let Err(error) = self.take_frames() {
                return End::Frame(error);
            }
            if self.sends_on() {
                return End::Unread;
            }
            match self.socket.read(&mut buffer) {
                Ok(0) => return End::Left,
                Ok(n) => self.input.extend_from_slice(&buffer[..n]),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return error.into(),
            }
        }
        End::Closed
    }

    /// Whether the far end still sends although it should know by now that this end can't. One that
    /// keeps to the protocol hears no heartbeat and closes the link within [`SILENCE`]; one that
    /// does not would hold this thread, and the calls that wait for it, for as long as it likes.
    fn sends_on(&self) -> bool {
        let closed = self.shared.outbox.closed_at();
        closed.is_some_and(|at| at.elapsed() > SILENCE)
    }

    fn take_frames(&mut self) -> Result<(), WireError> {
        while let Some(frame) = self.opener.open(&mut self.input)? {
            self.take(frame);
        }
        Ok(())
    }

    fn take(&self, frame: Frame) {
        let Frame {
            stream,
            seq,
            last,
            item,
        } = frame;
        match item {
            Some(Item::Call(call)) => self.take_call(stream, call),
            Some(Item::Reply(reply)) => self.take_reply(stream, seq, last, reply),
            Some(Item::Fault(fault)) => self.take_fault(stream, fault),
            Some(Item::Cancel(_)) => self.shared.incoming.cancel(stream),
            Some(Item::Ending(ending)) => self.shared.far_end_ends(ending),
            Some(Item::Ping(_)) | None => {}
        }
    }

    fn take_call(&self, stream: u64, call: Call) {
        let cancelled = Arc::new(AtomicBool::new(false));
        let responder = Responder::new(self.shared.clone(), stream, cancelled.clone());
        if stream != 0 {
            match self.shared.incoming.begin(stream, cancelled) {
                Ok(()) => {}
                Err(NotTaken::Full) => {
                    return responder.refuse("too many calls on this link: come back", FULL_AFTER);
                }
                Err(NotTaken::Ending) => {
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

    /// A reply to a call that is no longer waited for is dropped here: it has no inbox.
    fn take_reply(&self, stream: u64, seq: u32, last: bool, reply: Reply) {
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

    fn take_fault(&self, stream: u64, fault: Fault) {
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
