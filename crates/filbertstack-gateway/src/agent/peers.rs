//! Serves the pieces staged at the engine to other nodes.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use filbertstack_platform::engine::WeightsVersion;
use filbertstack_platform::engine::ask_staged;
use tokio::sync::Semaphore;

use crate::agent::Agent;
use crate::link::Handler;
use crate::link::HandlerReply;
use crate::link::Sender;
use crate::link::messages::Empty;
use crate::link::messages::Notification;
use crate::link::messages::PieceName;
use crate::link::messages::Question;
use crate::link::messages::Reply;
use crate::weights::from_wire;
use crate::weights::manifest_reply;
use crate::weights::missing_piece;

/// At most this many pieces are sent at once. Events of live streams then wait behind one piece only, 42 ms
/// on the current links; callers count events that are 120 ms late.
const MAX_UPLOADS: usize = 1;

/// `PieceServer` answers the questions of other nodes.
pub struct PieceServer {
    agent: Rc<Agent>,
    uploads: Arc<Semaphore>,
}

impl PieceServer {
    /// Creates a server of the pieces that the engine of `agent` holds.
    pub fn new(agent: Rc<Agent>) -> Self {
        Self {
            agent,
            uploads: Arc::new(Semaphore::new(MAX_UPLOADS)),
        }
    }

    async fn piece(&self, name: &PieceName) -> HandlerReply {
        let weights = from_wire(&name.weights);
        let Ok(slot) = self.uploads.clone().acquire_owned().await else {
            return missing_piece().into();
        };
        match self.read_piece(&weights, name.number).await {
            Some(bytes) => HandlerReply::with_slot(Reply::Piece(bytes), slot),
            None => missing_piece().into(),
        }
    }

    /// Reads a piece from the engine. The node that asked checks it against its digest.
    async fn read_piece(&self, weights: &WeightsVersion, number: u32) -> Option<Bytes> {
        if !self.agent.engine_holds(weights, number) {
            return None;
        }
        let staged = self.agent.engine.call(ask_staged(&weights.model, number));
        staged.await.ok()
    }

    fn has(&self, name: &PieceName) -> Reply {
        if self
            .agent
            .engine_holds(&from_wire(&name.weights), name.number)
        {
            return Reply::Done(Empty {});
        }
        missing_piece()
    }
}

impl Handler for PieceServer {
    async fn answer(self: Rc<Self>, question: Question) -> HandlerReply {
        match question {
            Question::Piece(name) => self.piece(&name).await,
            Question::Has(name) | Question::HasNow(name) => self.has(&name).into(),
            Question::Manifest(weights) => {
                manifest_reply(self.agent.stage.list(&from_wire(&weights))).into()
            }
            question => self.agent.node.clone().answer(question).await,
        }
    }

    fn receive(self: Rc<Self>, news: Notification, sender: &Sender) {
        self.agent.node.clone().receive(news, sender);
    }
}
