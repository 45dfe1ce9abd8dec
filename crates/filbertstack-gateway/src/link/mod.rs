//! Links between the processes of the system: frames over TCP that carry questions, answers and
//! notifications.
//!
//! One link carries many questions at once. Only the dialling side asks questions; both sides send
//! notifications.

mod dial;
mod frames;
pub mod messages;
mod serve;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt as _;
use prost::Message as _;
use socket2::SockRef;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::codec::FramedRead;
use tokio_util::codec::FramedWrite;
use tokio_util::codec::LengthDelimitedCodec;

pub use dial::Dialer;
pub use serve::Handler;
pub use serve::HandlerReply;
pub use serve::Listener;
pub use serve::serve;

use crate::link::messages::Answer;
use crate::link::messages::Ask;
use crate::link::messages::Body;
use crate::link::messages::Frame;
use crate::link::messages::Notification;
use crate::link::messages::Question;
use crate::link::messages::Reply;
use crate::link::messages::Tell;

/// The longest frame, in bytes: a document of 4 MiB and its envelope.
const MAX_FRAME: usize = 6 << 20;

/// How many frames may wait to be written. Frames beyond that are dropped, as the peer does not read fast
/// enough.
const QUEUE_FRAMES: usize = 1_024;

/// How long sent bytes may stay unacknowledged before the connection is closed. A network partition
/// leaves a connection open and silent: without this limit its writer would wait for minutes.
pub const ACK_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The reason why a question has no answer.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The connection could not be opened.
    #[error("no link to {peer}: {source}; it is dialled again")]
    Broken {
        /// The peer.
        peer: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// No answer arrived in time.
    #[error("the peer did not answer in time; ask another")]
    Timeout,
    /// The link ended before the answer arrived.
    #[error("the link ended before the answer came; ask again")]
    Ended,
    /// The peer could not do what was asked.
    #[error("{0}")]
    Failed(String),
    /// The answer is of a kind that does not fit the question.
    #[error("the peer answered something else; check that both run compatible versions")]
    UnexpectedReply,
}

/// Sets the socket options of connections between instances and to targets.
pub fn set_socket_options(stream: &TcpStream) {
    set_ack_timeout(stream, ACK_TIMEOUT);
}

/// Sets the socket options of a connection whose sent bytes may stay unacknowledged for `timeout`.
pub fn set_ack_timeout(stream: &TcpStream, timeout: Duration) {
    let socket = SockRef::from(stream);
    // An option fails only where the system lacks it; other timeouts still hold then.
    let _ = socket.set_tcp_nodelay(true);
    let _ = socket.set_tcp_user_timeout(Some(timeout));
}

/// The askers that wait for answers, by the id of the question.
type Pending = Rc<RefCell<HashMap<u64, oneshot::Sender<Answer>>>>;

/// The sending side of a link. Clones share the link.
#[derive(Clone, Debug)]
pub struct Sender {
    frames: mpsc::Sender<Frame>,
    pending: Pending,
    next_id: Rc<Cell<u64>>,
    ended: Rc<Cell<bool>>,
    last_received: Rc<Cell<Instant>>,
    /// The number of frames that were queued and are not written yet.
    unsent: watch::Receiver<usize>,
    /// The sending end of `unsent`.
    unsent_count: Rc<watch::Sender<usize>>,
}

impl Sender {
    /// Sends a notification. Returns false if it was dropped, as the peer does not read fast enough or the
    /// link has ended.
    pub fn tell(&self, notification: Notification) -> bool {
        self.send(
            0,
            Body::Tell(Tell {
                notification: Some(notification),
            }),
        )
    }

    /// Returns whether the link has ended.
    pub fn is_closed(&self) -> bool {
        self.ended.get() || self.frames.is_closed()
    }

    /// Returns whether both send over the same link.
    pub fn is_same(&self, other: &Self) -> bool {
        Rc::ptr_eq(&self.ended, &other.ended)
    }

    /// Returns how many frames wait to be written.
    pub fn backlog(&self) -> usize {
        *self.unsent.borrow()
    }

    /// Returns when the last frame arrived.
    fn last_received(&self) -> Instant {
        self.last_received.get()
    }

    fn note_received(&self) {
        self.last_received.set(Instant::now());
    }

    fn mark_ended(&self) {
        self.ended.set(true);
    }

    fn send(&self, id: u64, body: Body) -> bool {
        let body = Some(body);
        let sent = self.frames.try_send(Frame { id, body }).is_ok();
        if sent {
            self.unsent_count.send_modify(|count| *count += 1);
        }
        sent
    }

    /// Waits until no frame waits to be written, or the link has ended.
    async fn all_written(&self) {
        let mut unsent = self.unsent.clone();
        // An error means that the writer has ended and nothing more is written.
        let _ = unsent.wait_for(|count| *count == 0).await;
    }

    /// Sends a question and waits for the answer.
    ///
    /// # Errors
    /// [`LinkError`]; whether the peer did what was asked is then unknown, unless the error is
    /// [`LinkError::Failed`] and its text says so.
    pub async fn ask(&self, question: Question, max_wait: Duration) -> Result<Reply, LinkError> {
        let id = self.next_id.get() + 1;
        self.next_id.set(id);
        let (reply, answer) = oneshot::channel();
        self.pending.borrow_mut().insert(id, reply);
        let guard = PendingGuard(self.pending.clone(), id);
        let question = Some(question);
        if !self.send(id, Body::Ask(Ask { question })) {
            return Err(LinkError::Ended);
        }
        let answer = tokio::time::timeout(max_wait, answer).await;
        drop(guard);
        let answer = answer.map_err(|_| LinkError::Timeout)?;
        let answer = answer.map_err(|_| LinkError::Ended)?;
        match answer.reply {
            Some(Reply::Failed(why)) => Err(LinkError::Failed(why)),
            Some(reply) => Ok(reply),
            None => Err(LinkError::UnexpectedReply),
        }
    }
}

/// Removes a question from the table when its asker stops waiting, so that the table can't grow.
struct PendingGuard(Pending, u64);

impl Drop for PendingGuard {
    fn drop(&mut self) {
        self.0.borrow_mut().remove(&self.1);
    }
}

type Reader = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;

/// Starts a link on a connection. A task of its own writes the frames that the sender queues.
fn start_link(stream: TcpStream) -> (Sender, Reader) {
    set_socket_options(&stream);
    let (read, write) = stream.into_split();
    let (frames, queue) = mpsc::channel(QUEUE_FRAMES);
    let (unsent_count, unsent) = watch::channel(0);
    let unsent_count = Rc::new(unsent_count);
    tokio::task::spawn_local(write_frames(write, queue, unsent_count.clone()));
    let sender = Sender {
        frames,
        pending: Pending::default(),
        next_id: Rc::default(),
        ended: Rc::default(),
        last_received: Rc::new(Cell::new(Instant::now())),
        unsent,
        unsent_count,
    };
    (sender, FramedRead::new(read, codec()))
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME)
        .new_codec()
}

async fn write_frames(
    write: OwnedWriteHalf,
    mut queue: mpsc::Receiver<Frame>,
    unsent: Rc<watch::Sender<usize>>,
) {
    let mut sink = FramedWrite::new(write, codec());
    while let Some(frame) = queue.recv().await {
        let mut count = 1;
        let mut sent = sink.feed(Bytes::from(frame.encode_to_vec())).await;
        // Frames that are queued at the same time share one write.
        while let (Ok(()), Ok(frame)) = (&sent, queue.try_recv()) {
            count += 1;
            sent = sink.feed(Bytes::from(frame.encode_to_vec())).await;
        }
        let flushed = SinkExt::<Bytes>::flush(&mut sink).await;
        if sent.is_err() || flushed.is_err() {
            unsent.send_replace(0);
            return;
        }
        unsent.send_modify(|left| *left = left.saturating_sub(count));
    }
}

/// Returns the next frame; `None` if the link has ended or a frame does not decode.
async fn next_frame(reader: &mut Reader) -> Option<Frame> {
    let bytes = reader.next().await?.ok()?;
    Frame::decode(bytes).ok()
}
