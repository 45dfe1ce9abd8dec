//! The state machine of documents behind the replicated log.

use std::sync::Arc;

use filbertstack_control::document::Documents;
use filbertstack_control::document::Effect;
use filbertstack_control::document::SnapshotError;
use filbertstack_log::StateMachine;
use tokio::sync::watch;

/// A state machine that applies the log's commands and publishes each new state.
#[derive(Debug)]
pub struct DocumentMachine {
    documents: Documents,
    published: watch::Sender<Arc<Documents>>,
}

impl DocumentMachine {
    /// Creates a state machine without a document, and a receiver of the states that it publishes.
    pub fn new() -> (Self, watch::Receiver<Arc<Documents>>) {
        let (published, receiver) = watch::channel(Arc::default());
        let documents = Documents::default();
        (
            Self {
                documents,
                published,
            },
            receiver,
        )
    }

    fn publish(&self) {
        self.published
            .send_replace(Arc::new(self.documents.clone()));
    }
}

impl StateMachine for DocumentMachine {
    type Outcome = Effect;
    type RestoreError = SnapshotError;

    fn apply(&mut self, index: u64, command: &[u8]) -> Effect {
        let effect = self.documents.apply(index, command);
        if effect == Effect::InForce {
            self.publish();
        }
        effect
    }

    fn snapshot(&self) -> Vec<u8> {
        self.documents.snapshot()
    }

    fn restore(&mut self, bytes: &[u8]) -> Result<(), SnapshotError> {
        self.documents.restore(bytes)?;
        self.publish();
        Ok(())
    }
}
