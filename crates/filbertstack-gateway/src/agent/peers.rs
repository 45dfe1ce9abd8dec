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
use crate::link::Handler;
use crate::link::Sender;
use crate::link::messages::AgentRow;
use crate::link::messages::Kind;
use crate::link::messages::Manifest;
use crate::link::messages::News;
use crate::link::messages::PieceName;
use crate::link::messages::Question;
use crate::link::messages::Reply;
use crate::link::messages::addr;

/// How long an owner that has a piece under way lets others wait for it. Its asker's patience is
/// a little longer, so that it learns that it is not there yet.
pub const OWNER_WAIT: Duration = Duration::from_millis(1_800);

/// The most pieces that are handed out at once: beyond it they wait their turn, or the pieces in
/// memory for slow links would pile up.
const UPLOADS: usize = 6;

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
    uploads: Semaphore,
}

impl PieceServer {
    /// A server of what `agent` holds.
    pub fn new(agent: Rc<Agent>) -> Self {
        Self {
            agent,
            uploads: Semaphore::new(UPLOADS),
        }
    }

    async fn piece(&self, name: PieceName) -> Reply {
        let weights = holding(&name.weights);
        let found = match self.agent.shelf.find(&weights) {
            Some(set) => await_piece(&set, name.number).await,
            None => self.staged(&weights, name.number).await,
        };
        let Ok(_slot) = self.uploads.acquire().await else {
            return Reply::Failed("the agent ends; ask another".into());
        };
        match found {
            Some(bytes) => Reply::Piece(bytes),
            None => Reply::Failed("the piece is not here yet; ask another agent".into()),
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

async fn await_piece(set: &Rc<Set>, number: u32) -> Option<Bytes> {
    let mut news = set.watch();
    let wait = async {
        loop {
            if let Some(bytes) = set.piece(number) {
                return Some(bytes);
            }
            news.changed().await.ok()?;
        }
    };
    timeout(OWNER_WAIT, wait).await.ok()?
}

fn holding(weights: &filbertstack_control::document::Weights) -> Holding {
    Holding {
        model: weights.model.as_str().into(),
        version: weights.version,
    }
}

impl Handler for PieceServer {
    async fn answer(self: Rc<Self>, question: Question) -> Reply {
        match question {
            Question::Piece(name) => self.piece(name).await,
            Question::Manifest(weights) => self.manifest(&holding(&weights)),
            question => self.agent.node.clone().answer(question).await,
        }
    }

    fn take(self: Rc<Self>, news: News, sender: &Sender) {
        self.agent.node.clone().take(news, sender);
    }
}
