//! The declared state as one node holds it: it only moves forward.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use filbertstack_control::document::Document;
use filbertstack_control::document::Weights;
use filbertstack_core::Millis;
use filbertstack_core::serving::Catalogue;
use filbertstack_platform::catalogue;
use spdlog::info;
use spdlog::warn;
use tokio::sync::watch;

use crate::clock::Clock;

/// A version of weights and when this node learned of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Named {
    /// The version.
    pub version: u64,
    /// When it was learned. A version that was there when the process began may have been named
    /// long before, and counts as if it had.
    pub at: Millis,
}

/// The newest document and versions that this node knows.
#[derive(Debug)]
pub struct DeclaredState {
    clock: Clock,
    document: RefCell<Document>,
    catalogue: RefCell<Rc<Catalogue>>,
    weights: RefCell<BTreeMap<Arc<str>, Named>>,
    /// Whether a voter has told all that is declared since the process began.
    known: Cell<bool>,
    news: watch::Sender<u64>,
}

impl DeclaredState {
    /// A state in which nothing is declared yet.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            document: RefCell::default(),
            catalogue: RefCell::default(),
            weights: RefCell::default(),
            known: Cell::new(false),
            news: watch::channel(0).0,
        }
    }

    /// The document in force; its version is 0 if there is none.
    pub fn document(&self) -> Document {
        self.document.borrow().clone()
    }

    /// The document's version.
    pub fn version(&self) -> u64 {
        self.document.borrow().version
    }

    /// The document in force, read and arranged.
    pub fn catalogue(&self) -> Rc<Catalogue> {
        self.catalogue.borrow().clone()
    }

    /// The newest version of each model's weights.
    pub fn weights(&self) -> BTreeMap<Arc<str>, Named> {
        self.weights.borrow().clone()
    }

    /// The newest version of a model's weights.
    pub fn named(&self, model: &str) -> Option<Named> {
        self.weights.borrow().get(model).copied()
    }

    /// Whether requests can be judged: a document has come.
    pub fn is_known(&self) -> bool {
        self.known.get() && self.version() > 0
    }

    /// Told whenever something changes.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.news.subscribe()
    }

    /// Takes in what a voter says. A lower version than the one held is left out: within one life
    /// of the process no request may see a document that another has replaced.
    pub fn take(&self, document: Option<Document>, weights: Vec<Weights>) {
        let began = !self.known.replace(true);
        let newer = document.filter(|d| d.version > self.version());
        let mut changed = newer.is_some();
        if let Some(document) = newer {
            self.put(document);
        }
        let now = if began { Millis::ZERO } else { self.clock.now() };
        let mut held = self.weights.borrow_mut();
        for weights in weights {
            let known = held.get(weights.model.as_str()).map_or(0, |n| n.version);
            if weights.version > known {
                let (version, at) = (weights.version, now);
                held.insert(weights.model.into(), Named { version, at });
                changed = true;
            }
        }
        drop(held);
        if changed {
            self.news.send_modify(|count| *count += 1);
        }
    }

    fn put(&self, document: Document) {
        let parts = catalogue::read(&document.body);
        let built = parts
            .map_err(|e| e.to_string())
            .and_then(|p| Catalogue::build(p).map_err(|e| e.to_string()));
        match built {
            Ok(built) => {
                info!("configuration in force", kv: { version = document.version });
                *self.catalogue.borrow_mut() = Rc::new(built);
                *self.document.borrow_mut() = document;
            }
            // Documents are checked before they are committed: this is one that another release
            // of the program accepted. What is in force stays, and a read tells the truth.
            Err(error) => warn!("configuration not understood; the one before stays in force",
                kv: { version = document.version, error = error }),
        }
    }
}
