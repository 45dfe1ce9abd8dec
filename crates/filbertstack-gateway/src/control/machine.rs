//! The document machine behind the replicated log, and who watches it.

use std::sync::Arc;

use filbertstack_control::document::Documents;
use filbertstack_control::document::Effect;
use filbertstack_control::document::SnapshotError;
use filbertstack_log::Machine;
use tokio::sync::watch;

/// Applies the log's commands and shows each new state to those who watch.
#[derive(Debug)]
pub struct DocumentMachine {
    documents: Documents,
    shown: watch::Sender<Arc<Documents>>,
}

impl DocumentMachine {
    /// A machine without a document, and the state as others see it.
    pub fn new() -> (Self, watch::Receiver<Arc<Documents>>) {
        let (shown, seen) = watch::channel(Arc::default());
        let documents = Documents::default();
        (Self { documents, shown }, seen)
    }

    fn show(&self) {
        self.shown.send_replace(Arc::new(self.documents.clone()));
    }
}

impl Machine for DocumentMachine {
    type Outcome = Effect;
    type RestoreError = SnapshotError;

    fn apply(&mut self, _index: u64, command: &[u8]) -> Effect {
        let effect = self.documents.apply(command);
        if effect == Effect::InForce {
            self.show();
        }
        effect
    }

    fn snapshot(&self) -> Vec<u8> {
        self.documents.snapshot()
    }

    fn restore(&mut self, bytes: &[u8]) -> Result<(), SnapshotError> {
        self.documents.restore(bytes)?;
        self.show();
        Ok(())
    }
}
