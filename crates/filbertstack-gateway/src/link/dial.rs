//! The dialling side of links: one a peer, kept, and dialled again when it broke.

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
use crate::link::next;
use crate::link::open;

/// How long a connection may take to open: some hundred times the distance between regions, and
/// less than any caller's patience.
const DIAL: Duration = Duration::from_millis(500);

/// News that came on a dialled link.
pub type NotificationSender = mpsc::UnboundedSender<Notification>;

/// Keeps one link to each peer.
#[derive(Clone, Debug, Default)]
pub struct Dialer {
    links: Rc<RefCell<HashMap<SocketAddr, Sender>>>,
    /// Peers that are being dialled for news.
    dialling: Rc<RefCell<HashSet<SocketAddr>>>,
}

impl Dialer {
    /// The link to `peer`, dialled if there is none.
    ///
    /// # Errors
    /// [`LinkError::Broken`] if it can't be dialled in time.
    pub async fn link(&self, peer: SocketAddr) -> Result<Sender, LinkError> {
        let kept = self.links.borrow().get(&peer).cloned();
        if let Some(link) = kept.filter(|l| !l.is_closed()) {
            return Ok(link);
        }
        let link = dial(peer, None).await?;
        self.links.borrow_mut().insert(peer, link.clone());
        Ok(link)
    }

    /// Asks `peer` and waits for its answer. A link that did not answer in time is given up: it
    /// may be one that went silent without an end.
    ///
    /// # Errors
    /// [`LinkError`]; see [`Sender::ask`].
    pub async fn ask(
        &self,
        peer: SocketAddr,
        question: Question,
        patience: Duration,
    ) -> Result<Reply, LinkError> {
        let link = self.link(peer).await?;
        let answer = link.ask(question, patience).await;
        if matches!(answer, Err(LinkError::Timeout | LinkError::Ended)) {
            self.links.borrow_mut().remove(&peer);
        }
        answer
    }

    /// Asks `peer` as [`Dialer::ask`] does, but gives up sooner if nothing at all comes from it
    /// for `silent`. The link is kept: other answers may be on their way.
    ///
    /// # Errors
    /// [`LinkError`]; see [`Sender::ask`].
    pub async fn ask_until_silent(
        &self,
        peer: SocketAddr,
        question: Question,
        patience: Duration,
        silent: Duration,
    ) -> Result<Reply, LinkError> {
        let link = self.link(peer).await?;
        let asked = Instant::now();
        let answer = link.ask(question, patience);
        let mut answer = std::pin::pin!(answer);
        loop {
            let since = link.heard().max(asked);
            tokio::select! {
                answer = &mut answer => return answer,
                () = sleep_until(since + silent) => {
                    if link.heard() <= since {
                        return Err(LinkError::Timeout);
                    }
                }
            }
        }
    }

    /// Sends news to `peer` if there is a link; else drops them and begins to dial.
    pub fn tell(&self, peer: SocketAddr, news: Notification) {
        let kept = self.links.borrow().get(&peer).cloned();
        if let Some(link) = kept.filter(|l| !l.is_closed()) {
            link.tell(news);
            return;
        }
        if !self.dialling.borrow_mut().insert(peer) {
            return;
        }
        let dialer = self.clone();
        tokio::task::spawn_local(async move {
            if let Ok(link) = dialer.link(peer).await {
                link.tell(news);
            }
            dialer.dialling.borrow_mut().remove(&peer);
        });
    }

    /// A link of its own whose news go to `news`; it ends when either side ends.
    ///
    /// # Errors
    /// [`LinkError::Broken`].
    pub async fn subscribe(
        peer: SocketAddr,
        news: NotificationSender,
    ) -> Result<Sender, LinkError> {
        dial(peer, Some(news)).await
    }
}

async fn dial(peer: SocketAddr, news: Option<NotificationSender>) -> Result<Sender, LinkError> {
    let broken = |source| LinkError::Broken { peer, source };
    let stream = timeout(DIAL, TcpStream::connect(peer)).await;
    let stream = stream.map_err(|_| broken(io::ErrorKind::TimedOut.into()))?;
    let (sender, mut reader) = open(stream.map_err(broken)?);
    let waiting = sender.waiting.clone();
    let closing = sender.clone();
    tokio::task::spawn_local(async move {
        while let Some(frame) = next(&mut reader).await {
            closing.hear();
            match frame.body {
                Some(Body::Answer(answer)) => {
                    let asker = waiting.borrow_mut().remove(&frame.id);
                    if let Some(asker) = asker {
                        // Whoever asked may have stopped waiting.
                        let _ = asker.send(answer);
                    }
                }
                Some(Body::Tell(tell)) => {
                    let told = tell.notification.zip(news.as_ref());
                    if told.is_some_and(|(n, to)| to.send(n).is_err()) {
                        break;
                    }
                }
                Some(Body::Ask(_)) | None => {}
            }
        }
        // Whoever still waits learns that the link has ended.
        waiting.borrow_mut().clear();
        closing.end();
    });
    Ok(sender)
}
