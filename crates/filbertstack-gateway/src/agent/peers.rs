//! What an agent gives to other nodes: pieces that lie at its engine.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use filbertstack_platform::engine::Holding;
use filbertstack_platform::engine::read_staged;
use tokio::sync::Semaphore;

use crate::agent::Agent;
use crate::link::Given;
use crate::link::Handler;
use crate::link::Sender;
use crate::link::messages::News;
use crate::link::messages::Nothing;
use crate::link::messages::PieceName;
use crate::link::messages::Question;
use crate::link::messages::Reply;
use crate::weights::from_wire;
use crate::weights::manifest_reply;
use crate::weights::missing_piece;

/// The most pieces that go out at once: events of live streams wait behind one piece only, 42 ms
/// on today's links, where callers count those that come 120 ms late.
const UPLOADS: usize = 1;

/// Answers other nodes.
pub struct PieceServer {
    agent: Rc<Agent>,
    uploads: Arc<Semaphore>,
}

impl PieceServer {
    /// A server of what lies at the engine of `agent`.
    pub fn new(agent: Rc<Agent>) -> Self {
        Self {
            agent,
            uploads: Arc::new(Semaphore::new(UPLOADS)),
        }
    }

    async fn piece(&self, name: &PieceName) -> Given {
        let weights = from_wire(&name.weights);
        let Ok(slot) = self.uploads.clone().acquire_owned().await else {
            return missing_piece().into();
        };
        match self.staged(&weights, name.number).await {
            Some(bytes) => Given::slowly(Reply::Piece(bytes), slot),
            None => missing_piece().into(),
        }
    }

    /// A piece as it lies at the engine. Whoever asked checks it against its digest.
    async fn staged(&self, weights: &Holding, number: u32) -> Option<Bytes> {
        if !self.agent.lies_at_engine(weights, number) {
            return None;
        }
        let staged = self.agent.engine.call(read_staged(&weights.model, number));
        staged.await.ok()
    }

    fn has(&self, name: &PieceName) -> Reply {
        if self
            .agent
            .lies_at_engine(&from_wire(&name.weights), name.number)
        {
            return Reply::Done(Nothing {});
        }
        missing_piece()
    }
}

impl Handler for PieceServer {
    async fn answer(self: Rc<Self>, question: Question) -> Given {
        match question {
            Question::Piece(name) => self.piece(&name).await,
            Question::Has(name) | Question::HasNow(name) => self.has(&name).into(),
            Question::Manifest(weights) => {
                manifest_reply(self.agent.stage.list(&from_wire(&weights))).into()
            }
            question => self.agent.node.clone().answer(question).await,
        }
    }

    fn take(self: Rc<Self>, news: News, sender: &Sender) {
        self.agent.node.clone().take(news, sender);
    }
}
