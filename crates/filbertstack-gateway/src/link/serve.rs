//! The accepting side of links: it answers questions and handles notifications.

use std::rc::Rc;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;

use crate::link::Sender;
use crate::link::messages::Answer;
use crate::link::messages::Body;
use crate::link::messages::Notification;
use crate::link::messages::Question;
use crate::link::messages::Reply;
use crate::link::next_frame;
use crate::link::start_link;

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

/// Accepts links until the process ends and passes their messages to `handler`.
pub async fn serve<H: Handler>(listener: TcpListener, handler: Rc<H>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve_link(stream, handler.clone()));
            }
            Err(error) => {
                spdlog::warn!("link not accepted", kv: { error = error.to_string() });
                tokio::time::sleep(crate::ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_link<H: Handler>(stream: TcpStream, handler: Rc<H>) {
    let (sender, mut reader) = start_link(stream);
    while let Some(frame) = next_frame(&mut reader).await {
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
                tokio::task::spawn_local(async move {
                    let HandlerReply { reply, slot } = handler.answer(question).await;
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
