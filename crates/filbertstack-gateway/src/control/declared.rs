//! The declared state as one node holds it: it only moves forward.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use filbertstack_control::document::Document;
use filbertstack_control::document::KEPT_VERSIONS;
use filbertstack_core::Millis;
use filbertstack_core::serving::Catalogue;
use filbertstack_platform::catalogue;
use filbertstack_policy::rollout::Named;
use filbertstack_policy::rollout::remember;
use spdlog::info;
use spdlog::warn;
use tokio::sync::watch;

use crate::clock::Clock;
use crate::control::parts::Assembly;
use crate::control::parts::PartError;
use crate::control::parts::split;
use crate::link::messages::Declared;
use crate::link::messages::DocumentPart;
use crate::link::messages::Interest;
use crate::link::messages::NamedWeights;
use crate::link::messages::News;
use crate::link::messages::ServedModel;
use crate::link::messages::addr;

/// The newest document and the latest versions of weights that this node knows.
#[derive(Debug)]
pub struct DeclaredState {
    clock: Clock,
    /// For how long an older version of weights may answer once a newer is named.
    rollout: Millis,
    document: RefCell<Document>,
    /// The document in parts, for followers.
    parts: RefCell<Rc<[DocumentPart]>>,
    /// The parts of a newer document that have come.
    assembly: RefCell<Assembly>,
    catalogue: RefCell<Rc<Catalogue>>,
    /// By model, the latest versions in their order.
    weights: RefCell<BTreeMap<Arc<str>, Vec<Named>>>,
    origins: RefCell<Vec<SocketAddr>>,
    models: RefCell<Vec<ServedModel>>,
    /// Whether all that is declared has been told since the process began.
    known: Cell<bool>,
    news: watch::Sender<u64>,
}

impl DeclaredState {
    /// A state in which nothing is declared yet.
    pub fn new(clock: Clock, rollout: Millis) -> Self {
        Self {
            clock,
            rollout,
            document: RefCell::default(),
            parts: RefCell::new(Rc::new([])),
            assembly: RefCell::default(),
            catalogue: RefCell::default(),
            weights: RefCell::default(),
            origins: RefCell::default(),
            models: RefCell::default(),
            known: Cell::new(false),
            news: watch::channel(0).0,
        }
    }

    /// The document's version; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.document.borrow().version
    }

    /// The document in force, read and arranged.
    pub fn catalogue(&self) -> Rc<Catalogue> {
        self.catalogue.borrow().clone()
    }

    /// The latest versions of a model's weights, in their order.
    pub fn named(&self, model: &str) -> Vec<Named> {
        self.weights
            .borrow()
            .get(model)
            .cloned()
            .unwrap_or_default()
    }

    /// The latest versions of each model's weights that was named, in their order.
    pub fn all_named(&self) -> Vec<(Arc<str>, Vec<Named>)> {
        let weights = self.weights.borrow().clone();
        weights.into_iter().collect()
    }

    /// Where weights come from.
    pub fn origins(&self) -> Vec<SocketAddr> {
        self.origins.borrow().clone()
    }

    /// The model that the engines of `service` serve.
    pub fn model(&self, service: &str) -> Option<Arc<str>> {
        let models = self.models.borrow();
        let served = models.iter().find(|m| m.service == service)?;
        Some(served.model.as_str().into())
    }

    /// Whether requests can be judged: a document has come.
    pub fn is_known(&self) -> bool {
        self.known.get() && self.version() > 0
    }

    /// Whether all requests for a model may go on at another engine when they break off.
    pub fn may_break_off(&self, model: &str) -> bool {
        let models = self.models.borrow();
        let mut served = models.iter().filter(|m| m.model == model).peekable();
        served.peek().is_some() && served.all(|m| m.may_break)
    }

    /// Told whenever something changes.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.news.subscribe()
    }

    /// What a follower that holds the document `version` needs to be told, in this order.
    pub fn since(&self, version: u64, interest: Interest) -> Vec<News> {
        let mut news = Vec::new();
        if interest == Interest::All && self.version() > version {
            news.extend(self.parts().iter().cloned().map(News::Part));
        }
        news.push(News::Declared(self.declared()));
        news
    }

    /// The parts of the document, made once for all followers.
    fn parts(&self) -> Rc<[DocumentPart]> {
        let document = self.document.borrow();
        let mut parts = self.parts.borrow_mut();
        if parts.first().is_none_or(|p| p.version != document.version) {
            match split(&document) {
                Ok(made) => *parts = made.into(),
                Err(error) => warn!("configuration not compressed", kv: {
                    version = document.version, error = error.to_string()
                }),
            }
        }
        parts.clone()
    }

    fn declared(&self) -> Declared {
        let now = self.clock.now();
        let mut weights = Vec::new();
        for (model, versions) in self.weights.borrow().iter() {
            weights.extend(versions.iter().map(|named| NamedWeights {
                model: model.to_string(),
                version: named.version,
                age_ms: now.since(named.at).0,
            }));
        }
        let origins = self.origins.borrow();
        Declared {
            weights,
            origins: origins.iter().map(ToString::to_string).collect(),
            models: self.models.borrow().clone(),
        }
    }

    /// Takes in what the voter that is followed says.
    pub fn follow(&self, declared: Declared) {
        let origins = declared.origins.iter().filter_map(|o| addr(o));
        let origins: Vec<SocketAddr> = origins.collect();
        if !origins.is_empty() {
            *self.origins.borrow_mut() = origins;
        }
        if !declared.models.is_empty() {
            *self.models.borrow_mut() = declared.models;
        }
        self.take(None, declared.weights);
    }

    /// Takes in a part of the document from the voter that is followed. The document counts as told
    /// once what is declared beside it is.
    ///
    /// # Errors
    /// [`PartError`]: the document will not come on this link.
    pub fn follow_part(&self, part: DocumentPart) -> Result<(), PartError> {
        if part.version <= self.version() {
            return Ok(());
        }
        let document = self.assembly.borrow_mut().take(part)?;
        if let Some(document) = document {
            self.put(document);
            self.news.send_modify(|count| *count += 1);
        }
        Ok(())
    }

    /// Takes in a document and versions of weights. A lower version than the one held is left
    /// out: within one life of the process no request may see a document that was replaced.
    pub fn take(&self, document: Option<Document>, weights: Vec<NamedWeights>) {
        self.known.set(true);
        let newer = document.filter(|d| d.version > self.version());
        let mut changed = newer.is_some();
        if let Some(document) = newer {
            self.put(document);
        }
        for named in weights {
            changed |= self.name(&named);
        }
        if changed {
            self.news.send_modify(|count| *count += 1);
        }
    }

    fn name(&self, named: &NamedWeights) -> bool {
        let now = self.clock.now();
        let at = Millis(now.0.saturating_sub(named.age_ms));
        let mut held = self.weights.borrow_mut();
        let versions = held.entry(named.model.as_str().into()).or_default();
        let version = named.version;
        if versions.last().is_some_and(|last| last.version >= version) {
            return false;
        }
        info!("weights named", kv: {
            model = named.model.clone(), version = version, age_ms = named.age_ms
        });
        remember(
            versions,
            Named { version, at },
            KEPT_VERSIONS,
            now,
            self.rollout,
        );
        true
    }

    fn put(&self, document: Document) {
        let parts = catalogue::read(&document.body);
        let built = parts
            .map_err(|e| e.to_string())
            .and_then(|p| Catalogue::build(p).map_err(|e| e.to_string()));
        match built {
            Ok(built) => {
                info!("configuration in force", kv: { version = document.version });
                let origins = built.services().filter_map(|s| s.origin);
                *self.origins.borrow_mut() = origins.collect();
                *self.models.borrow_mut() = served_models(&built);
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

fn served_models(catalogue: &Catalogue) -> Vec<ServedModel> {
    let engines = catalogue
        .services()
        .filter_map(|s| Some((s, s.engine.as_ref()?)));
    let models = engines.flat_map(|(service, engine)| {
        engine.models.iter().map(|model| ServedModel {
            service: service.name.to_string(),
            model: model.to_string(),
            may_break: catalogue.may_break_off(&service.name),
        })
    });
    models.collect()
}
