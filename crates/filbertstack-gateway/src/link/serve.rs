//! The accepting side of links: it answers questions and handles notifications.

use std::rc::Rc;

use filbertstack_policy::connections::Phase;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::spawn_local;

use crate::link::Sender;
use crate::link::frames::Frames;
use crate::link::messages::Answer;
use crate::link::messages::Body;
use crate::link::messages::Notification;
use crate::link::messages::Question;
use crate::link::messages::Reply;
use crate::link::start_link;
use crate::room::Room;
use crate::slots::Slot;
use crate::slots::Slots;

/// The reply of a [`Handler`], and the slot that it holds until it has been written.
pub struct HandlerReply {
    reply: Reply,
    slot: Option<OwnedSemaphorePermit>,
}

impl HandlerReply {
    /// Creates a long reply, which holds `slot` while it is written.
    pub fn with_slot(reply: Reply, slot: OwnedSemaphorePermit) -> Self {
        let slot = Some(slot);
        Self { reply, slot }
    }
}

impl From<Reply> for HandlerReply {
    fn from(reply: Reply) -> Self {
        Self { reply, slot: None }
    }
}

/// Handles the messages from the peers of a node.
pub trait Handler: 'static {
    /// Answers a question.
    fn answer(self: Rc<Self>, question: Question) -> impl Future<Output = HandlerReply>;

    /// Handles a notification. `sender` sends to the peer that it came from.
    fn receive(self: Rc<Self>, notification: Notification, sender: &Sender);
}

/// Where links are accepted.
#[derive(Debug)]
pub struct Listener {
    /// The listening socket.
    pub socket: TcpListener,
    /// The links, of which there are only so many.
    pub slots: Slots,
    /// The memory for frames, until they are answered.
    pub room: Room,
}

/// Accepts links until the process ends and passes their messages to `handler`.
pub async fn serve<H: Handler>(listener: Listener, handler: Rc<H>) {
    let Listener {
        socket,
        slots,
        room,
    } = listener;
    loop {
        match socket.accept().await {
            Ok((stream, _)) => {
                let Some(slot) = slots.admit().await else {
                    continue;
                };
                let (handler, room) = (handler.clone(), room.clone());
                spawn_local(serve_link(stream, handler, room, slot));
            }
            Err(error) => {
                spdlog::warn!("link not accepted", kv: { error = error.to_string() });
                tokio::time::sleep(crate::ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_link<H: Handler>(stream: TcpStream, handler: Rc<H>, room: Room, slot: Slot) {
    let (sender, reader) = start_link(stream);
    let mut frames = Frames::new(reader, room);
    loop {
        let next = tokio::select! {
            next = frames.next() => next,
            () = slot.closed() => None,
        };
        let Some((frame, share)) = next else {
            break;
        };
        // A link that has sent a frame is closed for another only after those that have not.
        slot.enter(Phase::Idle);
        match frame.body {
            Some(Body::Tell(tell)) => {
                if let Some(notification) = tell.notification {
                    handler.clone().receive(notification, &sender);
                }
            }
            Some(Body::Ask(ask)) => {
                let Some(question) = ask.question else {
                    continue;
                };
                let (handler, sender) = (handler.clone(), sender.clone());
                spawn_local(async move {
                    let HandlerReply { reply, slot } = handler.answer(question).await;
                    drop(share);
                    let reply = Some(reply);
                    sender.send(frame.id, Body::Answer(Answer { reply }));
                    if slot.is_some() {
                        sender.all_written().await;
                    }
                });
            }
            Some(Body::Answer(_)) | None => {}
        }
    }
    sender.mark_ended();
}
