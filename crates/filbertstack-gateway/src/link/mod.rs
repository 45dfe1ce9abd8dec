//! Links between the system's processes: frames over TCP, questions with answers, and news.
//!
//! One link carries many questions at once. Whoever dials may ask; both sides may tell.

mod dial;
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
pub use serve::serve;

use crate::link::messages::Answer;
use crate::link::messages::Ask;
use crate::link::messages::Body;
use crate::link::messages::Frame;
use crate::link::messages::Notification;
use crate::link::messages::Question;
use crate::link::messages::Reply;
use crate::link::messages::Tell;

/// The longest frame: a document of 4 MiB and what surrounds it.
const MAX_FRAME: usize = 6 << 20;

/// How many frames may wait to be written; beyond it a peer that does not read loses its link.
const QUEUE: usize = 1_024;

/// How long sent bytes may stay without an acknowledgement. A partition leaves a connection open
/// and silent: without this bound its writer would wait for minutes.
pub const SILENCE: Duration = Duration::from_millis(2_500);

/// Why a question got no answer.
#[derive(Debug, Error)]
pub enum LinkError {
    /// No connection, or it broke.
    #[error("no link to {peer}: {source}; it is dialled again")]
    Broken {
        /// The peer.
        peer: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// No answer came in time.
    #[error("the peer did not answer in time; ask another")]
    Timeout,
    /// The link ended while an answer was awaited.
    #[error("the link ended before the answer came; ask again")]
    Ended,
    /// The peer could not do it.
    #[error("{0}")]
    Failed(String),
    /// The answer is to another question.
    #[error("the peer answered something else; check that both run compatible versions")]
    UnexpectedReply,
}

/// Sets what every connection between instances needs.
pub fn tune(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    // Each fails only where the system lacks it, and then the questions' timeouts still hold.
    let _ = socket.set_tcp_nodelay(true);
    let _ = socket.set_tcp_user_timeout(Some(SILENCE));
}

type Waiting = Rc<RefCell<HashMap<u64, oneshot::Sender<Answer>>>>;

/// The sending side of a link.
#[derive(Clone, Debug)]
pub struct Sender {
    frames: mpsc::Sender<Frame>,
    waiting: Waiting,
    next: Rc<Cell<u64>>,
    ended: Rc<Cell<bool>>,
    heard: Rc<Cell<Instant>>,
    /// Frames that were handed to the writer and have not gone out.
    unsent: watch::Receiver<usize>,
    added: Rc<watch::Sender<usize>>,
}

impl Sender {
    /// Sends news, or drops them if the peer does not keep up.
    pub fn tell(&self, news: Notification) -> bool {
        self.send(
            0,
            Body::Tell(Tell {
                notification: Some(news),
            }),
        )
    }

    /// Whether the link has ended.
    pub fn is_closed(&self) -> bool {
        self.ended.get() || self.frames.is_closed()
    }

    /// Whether both lead over the same link.
    pub fn is_same(&self, other: &Self) -> bool {
        Rc::ptr_eq(&self.ended, &other.ended)
    }

    /// How many frames wait to be written.
    pub fn backlog(&self) -> usize {
        *self.unsent.borrow()
    }

    /// When the peer was last heard.
    fn heard(&self) -> Instant {
        self.heard.get()
    }

    fn hear(&self) {
        self.heard.set(Instant::now());
    }

    fn end(&self) {
        self.ended.set(true);
    }

    fn send(&self, id: u64, body: Body) -> bool {
        let body = Some(body);
        let sent = self.frames.try_send(Frame { id, body }).is_ok();
        if sent {
            self.added.send_modify(|count| *count += 1);
        }
        sent
    }

    /// Waits until all that was sent so far has gone out, or the link has ended.
    async fn drained(&self) {
        let mut unsent = self.unsent.clone();
        // An error means that the writer has ended, and nothing more goes out.
        let _ = unsent.wait_for(|count| *count == 0).await;
    }

    /// Asks and waits for the answer.
    ///
    /// # Errors
    /// [`LinkError`]; whether the peer did what was asked is then unknown, unless it said so.
    pub async fn ask(&self, question: Question, patience: Duration) -> Result<Reply, LinkError> {
        let id = self.next.get() + 1;
        self.next.set(id);
        let (reply, answer) = oneshot::channel();
        self.waiting.borrow_mut().insert(id, reply);
        let forget = Forget(self.waiting.clone(), id);
        let question = Some(question);
        if !self.send(id, Body::Ask(Ask { question })) {
            return Err(LinkError::Ended);
        }
        let answer = tokio::time::timeout(patience, answer).await;
        drop(forget);
        let answer = answer.map_err(|_| LinkError::Timeout)?;
        let answer = answer.map_err(|_| LinkError::Ended)?;
        match answer.reply {
            Some(Reply::Failed(why)) => Err(LinkError::Failed(why)),
            Some(reply) => Ok(reply),
            None => Err(LinkError::UnexpectedReply),
        }
    }
}

/// Forgets a question when its asker stops waiting, so that the table can't grow.
struct Forget(Waiting, u64);

impl Drop for Forget {
    fn drop(&mut self) {
        self.0.borrow_mut().remove(&self.1);
    }
}

type Reader = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;

/// Starts a link on a connection: frames given to the sender are written by a task of its own.
fn open(stream: TcpStream) -> (Sender, Reader) {
    tune(&stream);
    let (read, write) = stream.into_split();
    let (frames, queue) = mpsc::channel(QUEUE);
    let (added, unsent) = watch::channel(0);
    let added = Rc::new(added);
    tokio::task::spawn_local(write_frames(write, queue, added.clone()));
    let sender = Sender {
        frames,
        waiting: Waiting::default(),
        next: Rc::default(),
        ended: Rc::default(),
        heard: Rc::new(Cell::new(Instant::now())),
        unsent,
        added,
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
        // Frames that wait together share one write.
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

/// The next frame; `None` when the link has ended or the peer breaks the format.
async fn next(reader: &mut Reader) -> Option<Frame> {
    let bytes = reader.next().await?.ok()?;
    Frame::decode(bytes).ok()
}
