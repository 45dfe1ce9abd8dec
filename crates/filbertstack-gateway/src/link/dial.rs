//! The dialling side of links: keeps one link to each peer and dials again when it has ended.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout;

use crate::link::LinkError;
use crate::link::Sender;
use crate::link::messages::Body;
use crate::link::messages::Notification;
use crate::link::messages::Question;
use crate::link::messages::Reply;
use crate::link::next_frame;
use crate::link::start_link;

/// How long a connection may take to open: some hundred round trips between regions, and less than any
/// caller waits.
const DIAL_TIMEOUT: Duration = Duration::from_millis(500);

/// The sending end of a channel for notifications that arrive on a dialled link.
pub type NotificationSender = mpsc::UnboundedSender<Notification>;

/// Keeps one link to each peer. Clones share the links.
#[derive(Clone, Debug, Default)]
pub struct Dialer {
    links: Rc<RefCell<HashMap<SocketAddr, Sender>>>,
    /// The peers that are being dialled to send a notification.
    dialling: Rc<RefCell<HashSet<SocketAddr>>>,
}

impl Dialer {
    /// Returns the link to `peer` and dials it if there is none.
    ///
    /// # Errors
    /// [`LinkError::Broken`] if the peer can't be dialled in time.
    pub async fn link(&self, peer: SocketAddr) -> Result<Sender, LinkError> {
        let existing = self.links.borrow().get(&peer).cloned();
        if let Some(link) = existing.filter(|l| !l.is_closed()) {
            return Ok(link);
        }
        let link = dial(peer, None).await?;
        self.links.borrow_mut().insert(peer, link.clone());
        Ok(link)
    }

    /// Asks `peer` and waits for its answer. If no answer arrives in time, the link is no longer used:
    /// its connection may be broken without having been closed.
    ///
    /// # Errors
    /// [`LinkError`]; see [`Sender::ask`].
    pub async fn ask(
        &self,
        peer: SocketAddr,
        question: Question,
        max_wait: Duration,
    ) -> Result<Reply, LinkError> {
        let link = self.link(peer).await?;
        let answer = link.ask(question, max_wait).await;
        if matches!(answer, Err(LinkError::Timeout | LinkError::Ended)) {
            self.links.borrow_mut().remove(&peer);
        }
        answer
    }

    /// Asks `peer` as [`Dialer::ask`] does, but stops waiting sooner if the link receives no frame for
    /// `max_silence`. The link is kept: other answers may still arrive on it.
    ///
    /// # Errors
    /// [`LinkError`]; see [`Sender::ask`].
    pub async fn ask_until_silent(
        &self,
        peer: SocketAddr,
        question: Question,
        max_wait: Duration,
        max_silence: Duration,
    ) -> Result<Reply, LinkError> {
        let link = self.link(peer).await?;
        let asked = Instant::now();
        let answer = link.ask(question, max_wait);
        let mut answer = std::pin::pin!(answer);
        loop {
            let silent_since = link.last_received().max(asked);
            tokio::select! {
                answer = &mut answer => return answer,
                () = sleep_until(silent_since + max_silence) => {
                    if link.last_received() <= silent_since {
                        return Err(LinkError::Timeout);
                    }
                }
            }
        }
    }

    /// Sends a notification to `peer`. If there is no link, it dials one in the background and sends the
    /// notification then; while a dial to the peer is in progress, it drops the notification.
    pub fn tell(&self, peer: SocketAddr, notification: Notification) {
        let existing = self.links.borrow().get(&peer).cloned();
        if let Some(link) = existing.filter(|l| !l.is_closed()) {
            link.tell(notification);
            return;
        }
        if !self.dialling.borrow_mut().insert(peer) {
            return;
        }
        let dialer = self.clone();
        tokio::task::spawn_local(async move {
            if let Ok(link) = dialer.link(peer).await {
                link.tell(notification);
            }
            dialer.dialling.borrow_mut().remove(&peer);
        });
    }

    /// Dials a new link, whose notifications go to `notifications`. The link ends when the peer ends it
    /// or the receiving end of `notifications` is dropped.
    ///
    /// # Errors
    /// [`LinkError::Broken`] if the peer can't be dialled in time.
    pub async fn subscribe(
        peer: SocketAddr,
        notifications: NotificationSender,
    ) -> Result<Sender, LinkError> {
        dial(peer, Some(notifications)).await
    }
}

async fn dial(
    peer: SocketAddr,
    notifications: Option<NotificationSender>,
) -> Result<Sender, LinkError> {
    let broken = |source| LinkError::Broken { peer, source };
    let stream = timeout(DIAL_TIMEOUT, TcpStream::connect(peer)).await;
    let stream = stream.map_err(|_| broken(io::ErrorKind::TimedOut.into()))?;
    let (sender, mut reader) = start_link(stream.map_err(broken)?);
    let pending = sender.pending.clone();
    let receiving = sender.clone();
    tokio::task::spawn_local(async move {
        while let Some(frame) = next_frame(&mut reader).await {
            receiving.note_received();
            match frame.body {
                Some(Body::Answer(answer)) => {
                    let asker = pending.borrow_mut().remove(&frame.id);
                    if let Some(asker) = asker {
                        // The asker may have stopped waiting.
                        let _ = asker.send(answer);
                    }
                }
                Some(Body::Tell(tell)) => {
                    let forwarded = tell.notification.zip(notifications.as_ref());
                    if forwarded.is_some_and(|(n, to)| to.send(n).is_err()) {
                        break;
                    }
                }
                Some(Body::Ask(_)) | None => {}
            }
        }
        // Drops the channels of the askers that still wait, which tells them that the link has ended.
        pending.borrow_mut().clear();
        receiving.mark_ended();
    });
    Ok(sender)
}
