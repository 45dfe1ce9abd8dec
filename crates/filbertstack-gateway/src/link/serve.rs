//! The accepting side of links.

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
use crate::link::next;
use crate::link::open;

/// An answer, and the slot that it holds until it has gone out.
pub struct HandlerReply {
    reply: Reply,
    slot: Option<OwnedSemaphorePermit>,
}

impl HandlerReply {
    /// An answer that is long: while it goes out, it holds a slot.
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

/// What a node does with what its peers say.
pub trait Handler: 'static {
    /// Answers a question.
    fn answer(self: Rc<Self>, question: Question) -> impl Future<Output = HandlerReply>;

    /// Takes news; `sender` leads back to the peer.
    fn receive(self: Rc<Self>, news: Notification, sender: &Sender);
}

/// Accepts links until the process ends.
pub async fn serve<H: Handler>(listener: TcpListener, handler: Rc<H>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(attend(stream, handler.clone()));
            }
            Err(error) => {
                spdlog::warn!("link not accepted", kv: { error = error.to_string() });
                tokio::time::sleep(crate::ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn attend<H: Handler>(stream: TcpStream, handler: Rc<H>) {
    let (sender, mut reader) = open(stream);
    while let Some(frame) = next(&mut reader).await {
        match frame.body {
            Some(Body::Tell(tell)) => {
                if let Some(news) = tell.notification {
                    handler.clone().receive(news, &sender);
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
                        sender.drained().await;
                    }
                });
            }
            Some(Body::Answer(_)) | None => {}
        }
    }
    sender.end();
}
