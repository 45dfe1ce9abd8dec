//! Other agents, and what they are given.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use filbertstack_platform::engine::Holding;
use filbertstack_platform::engine::read_staged;
use filbertstack_policy::pieces::Peer;
use tokio::sync::Semaphore;
use tokio::time::timeout;

use crate::agent::Agent;
use crate::agent::shelf::Set;
use crate::control::node::Node;
use crate::link::Given;
use crate::link::Handler;
use crate::link::Sender;
use crate::link::messages::AgentRow;
use crate::link::messages::Kind;
use crate::link::messages::Manifest;
use crate::link::messages::News;
use crate::link::messages::Nothing;
use crate::link::messages::PieceName;
use crate::link::messages::Question;
use crate::link::messages::Reply;
use crate::link::messages::addr;

/// How long an owner that has a piece under way lets others wait for it, before it says that the
/// piece is not there yet.
pub const OWNER_WAIT: Duration = Duration::from_millis(700);

/// The most pieces that go out at once. One after the other, the first can be passed on while the
/// next is on its way; and events of live streams wait behind one piece only, 42 ms on today's
/// links, where callers count those that come 120 ms late.
const UPLOADS: usize = 1;

/// The agents that are there, with their ids.
pub fn agents(node: &Node) -> Vec<(Arc<str>, AgentRow)> {
    let rows = node.people.present().into_iter();
    let agents = rows.filter_map(|(id, kind, _)| match kind {
        Kind::Agent(row) => Some((id, row)),
        _ => None,
    });
    agents.collect()
}

/// The agents as the choice of sources sees them, for one version.
pub fn peers(node: &Node, weights: &Holding) -> Vec<Peer> {
    let agents = agents(node).into_iter();
    let peers = agents.map(|(id, row)| Peer {
        id,
        zone: row.zone.as_str().into(),
        holds: row.holds == weights.version && *row.model == *weights.model,
    });
    peers.collect()
}

/// Where an agent is reached.
pub fn place(node: &Node, id: &str) -> Option<SocketAddr> {
    match node.people.find(id) {
        Some((Kind::Agent(row), _, false)) => addr(&row.link),
        _ => None,
    }
}

/// Answers other agents.
pub struct PieceServer {
    agent: Rc<Agent>,
    uploads: Arc<Semaphore>,
}

impl PieceServer {
    /// A server of what `agent` holds.
    pub fn new(agent: Rc<Agent>) -> Self {
        Self {
            agent,
            uploads: Arc::new(Semaphore::new(UPLOADS)),
        }
    }

    async fn piece(&self, name: PieceName) -> Given {
        let weights = holding(&name.weights);
        let found = match self.agent.shelf.find(&weights) {
            Some(set) => set.piece(name.number),
            None => self.staged(&weights, name.number).await,
        };
        let slot = self.uploads.clone().acquire_owned().await;
        match found.zip(slot.ok()) {
            Some((bytes, slot)) => Given::slowly(Reply::Piece(bytes), slot),
            None => Reply::Failed("the piece is not here; ask another agent".into()).into(),
        }
    }

    /// A piece that only the engine holds, as it was there from the start. Whoever asked checks
    /// it against its digest.
    async fn staged(&self, weights: &Holding, number: u32) -> Option<Bytes> {
        if self.agent.engine.holding().as_ref() != Some(weights) {
            return None;
        }
        let staged = self.agent.engine.call(read_staged(&weights.model, number));
        staged.await.ok()
    }

    /// Whether a piece is here, or comes while the asker waits.
    async fn has(&self, name: &PieceName, wait: Duration) -> Reply {
        let weights = holding(&name.weights);
        let here = match self.agent.shelf.find(&weights) {
            Some(set) => await_piece(&set, name.number, wait).await,
            None => self.agent.engine.holding().as_ref() == Some(&weights),
        };
        if here {
            return Reply::Done(Nothing {});
        }
        Reply::Failed("the piece is not here; ask another agent".into())
    }

    fn manifest(&self, weights: &Holding) -> Reply {
        let Some(set) = self.agent.shelf.find(weights) else {
            return Reply::Failed("the list of pieces is not here; ask another agent".into());
        };
        Reply::Manifest(Manifest {
            bytes: set.list.bytes,
            digests: set.list.digests.concat().into(),
        })
    }
}

async fn await_piece(set: &Rc<Set>, number: u32, span: Duration) -> bool {
    let mut news = set.watch();
    let wait = async {
        while set.piece(number).is_none() {
            if news.changed().await.is_err() {
                return;
            }
        }
    };
    timeout(span, wait).await.is_ok()
}

fn holding(weights: &filbertstack_control::document::Weights) -> Holding {
    Holding {
        model: weights.model.as_str().into(),
        version: weights.version,
    }
}

impl Handler for PieceServer {
    async fn answer(self: Rc<Self>, question: Question) -> Given {
        match question {
            Question::Piece(name) => self.piece(name).await,
            Question::Has(name) => self.has(&name, OWNER_WAIT).await.into(),
            Question::HasNow(name) => self.has(&name, Duration::ZERO).await.into(),
            Question::Manifest(weights) => self.manifest(&holding(&weights)).into(),
            question => self.agent.node.clone().answer(question).await,
        }
    }

    fn take(self: Rc<Self>, news: News, sender: &Sender) {
        self.agent.node.clone().take(news, sender);
    }
}
