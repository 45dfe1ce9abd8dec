//! The declared state that one node holds. It only moves forward: an older version never replaces a
//! newer one.

use std::cell::Cell;
use std::cell::Ref;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use filbertstack_control::document::Document;
use filbertstack_control::document::KEPT_VERSIONS;
use filbertstack_control::document::ZoneState;
use filbertstack_core::Millis;
use filbertstack_core::serving::Catalogue;
use filbertstack_core::serving::EngineModel;
use filbertstack_platform::catalogue;
use filbertstack_policy::rollout::NamedVersion;
use filbertstack_policy::rollout::record_version;
use spdlog::info;
use spdlog::warn;
use tokio::sync::watch;

use crate::clock::Clock;
use crate::control::evacuations::Evacuations;
use crate::control::parts::Assembly;
use crate::control::parts::PartError;
use crate::control::parts::split_document;
use crate::link::messages::Declared;
use crate::link::messages::DocumentPart;
use crate::link::messages::Interest;
use crate::link::messages::NamedWeights;
use crate::link::messages::Notification;
use crate::link::messages::ServedModel;
use crate::link::messages::WithdrawnZone;
use crate::link::messages::decode_addr;

/// The newest document and the latest versions of weights known to this node.
#[derive(Debug)]
pub struct DeclaredState {
    clock: Clock,
    /// How long engines may still answer with an older version of weights after a newer one is named.
    rollout: Millis,
    document: RefCell<Document>,
    /// The document split into parts, for followers.
    parts: RefCell<Rc<[DocumentPart]>>,
    /// The parts of a newer document that have arrived so far.
    assembly: RefCell<Assembly>,
    catalogue: RefCell<Rc<Catalogue>>,
    /// The latest versions of each model, in ascending order.
    weights: RefCell<BTreeMap<Arc<str>, Vec<NamedVersion>>>,
    origins: RefCell<Vec<SocketAddr>>,
    models: RefCell<Vec<ServedModel>>,
    evacuations: RefCell<Evacuations>,
    /// Whether a complete state has arrived since the process started.
    complete: Cell<bool>,
    changes: watch::Sender<u64>,
}

impl DeclaredState {
    /// Creates a state in which nothing is declared yet.
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
            evacuations: RefCell::default(),
            complete: Cell::new(false),
            changes: watch::channel(0).0,
        }
    }

    /// Returns the document's version, or 0 if there is no document.
    pub fn version(&self) -> u64 {
        self.document.borrow().version
    }

    /// Returns the parsed form of the document in force.
    pub fn catalogue(&self) -> Rc<Catalogue> {
        self.catalogue.borrow().clone()
    }

    /// Returns the latest versions of a model's weights, in ascending order.
    pub fn weight_versions(&self, model: &str) -> Vec<NamedVersion> {
        self.weights
            .borrow()
            .get(model)
            .cloned()
            .unwrap_or_default()
    }

    /// Returns the latest versions of the weights of each model, in ascending order.
    pub fn all_weight_versions(&self) -> Vec<(Arc<str>, Vec<NamedVersion>)> {
        let weights = self.weights.borrow().clone();
        weights.into_iter().collect()
    }

    /// Returns the addresses of the origins of weights.
    pub fn origins(&self) -> Vec<SocketAddr> {
        self.origins.borrow().clone()
    }

    /// Returns the time in which an origin's link carries one copy of a model's weights, if its rate is
    /// published.
    pub fn copy_time(&self, model: &str) -> Option<Millis> {
        let catalogue = self.catalogue();
        let origin = catalogue.services().find_map(|service| service.origin)?;
        let engine = find_engine(&catalogue, model)?;
        let bytes = u64::from(engine.pieces) * u64::from(engine.piece_bytes);
        origin.transfer_time(bytes).map(Millis::from)
    }

    /// Returns the number of pieces in one version of a model's weights, if it is declared.
    pub fn pieces(&self, model: &str) -> Option<u32> {
        let catalogue = self.catalogue();
        let pieces = find_engine(&catalogue, model)?.pieces;
        (pieces > 0).then_some(pieces)
    }

    /// Returns the model that the engines of `service` serve.
    pub fn model(&self, service: &str) -> Option<Arc<str>> {
        let models = self.models.borrow();
        let served = models.iter().find(|m| m.service == service)?;
        Some(served.model.as_str().into())
    }

    /// Returns the evacuated zones and those whose evacuation was withdrawn lately.
    pub fn evacuations(&self) -> Ref<'_, Evacuations> {
        self.evacuations.borrow()
    }

    /// Returns when this node learned that the evacuation of a zone was withdrawn, if that was lately.
    pub fn withdrawn_at(&self, zone: &str) -> Option<Millis> {
        self.evacuations().withdrawn_at(zone)
    }

    /// Returns whether a document and the state declared beside it have arrived, so that requests can
    /// be routed.
    pub fn is_loaded(&self) -> bool {
        self.complete.get() && self.version() > 0
    }

    /// Returns a receiver that is notified of each change.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns the messages that bring a follower with the document `version` up to date, in the order
    /// in which they must be sent. There are none before a complete state has arrived: a follower would take an
    /// incomplete one for the whole, and route requests without the evacuations.
    pub fn updates_since(&self, version: u64, interest: Interest) -> Vec<Notification> {
        let mut news = Vec::new();
        if !self.complete.get() {
            return news;
        }
        if interest == Interest::All && self.version() > version {
            news.extend(self.parts().iter().cloned().map(Notification::Part));
        }
        news.push(Notification::Declared(self.declared()));
        news
    }

    /// Returns the parts of the document, which are made once for all followers.
    fn parts(&self) -> Rc<[DocumentPart]> {
        let document = self.document.borrow();
        let mut parts = self.parts.borrow_mut();
        if parts.first().is_none_or(|p| p.version != document.version) {
            match split_document(&document) {
                Ok(made) => *parts = made.into(),
                Err(error) => warn!("configuration could not be compressed", kv: {
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
        let evacuations = self.evacuations();
        Declared {
            weights,
            origins: origins.iter().map(ToString::to_string).collect(),
            models: self.models.borrow().clone(),
            zones: Some(evacuations.state().clone()),
            withdrawn: evacuations.withdrawn(now),
        }
    }

    /// Applies the declared state that the followed voter sent.
    pub fn apply_declared(&self, declared: Declared) {
        let origins = declared.origins.iter().filter_map(|o| decode_addr(o));
        let origins: Vec<SocketAddr> = origins.collect();
        if !origins.is_empty() {
            *self.origins.borrow_mut() = origins;
        }
        if !declared.models.is_empty() {
            *self.models.borrow_mut() = declared.models;
        }
        if let Some(zones) = &declared.zones {
            self.update_zones(zones, &declared.withdrawn);
        }
        self.update(None, declared.weights);
    }

    /// Updates the evacuated zones. A lower revision than the current one is ignored.
    pub fn update_zones(&self, zones: &ZoneState, withdrawn: &[WithdrawnZone]) {
        let now = self.clock.now();
        let newer = self.evacuations.borrow_mut().update(now, zones, withdrawn);
        if newer {
            self.changes.send_modify(|count| *count += 1);
        }
    }

    /// Adds a part of the document that the followed voter sent. A document alone does not make the
    /// state complete; the state declared beside it must arrive as well.
    ///
    /// # Errors
    /// [`PartError`] if the document can't be assembled from the parts on this link.
    pub fn apply_part(&self, part: DocumentPart) -> Result<(), PartError> {
        if part.version <= self.version() {
            return Ok(());
        }
        let document = self.assembly.borrow_mut().add(part)?;
        if let Some(document) = document {
            self.set_document(document);
            self.changes.send_modify(|count| *count += 1);
        }
        Ok(())
    }

    /// Updates the document and the versions of weights. A lower version than the current one is
    /// ignored: while the process runs, no request may see a document that was replaced.
    pub fn update(&self, document: Option<Document>, weights: Vec<NamedWeights>) {
        self.complete.set(true);
        let newer = document.filter(|d| d.version > self.version());
        let mut changed = newer.is_some();
        if let Some(document) = newer {
            self.set_document(document);
        }
        for named in weights {
            changed |= self.add_weights(&named);
        }
        if changed {
            self.changes.send_modify(|count| *count += 1);
        }
    }

    fn add_weights(&self, named: &NamedWeights) -> bool {
        let now = self.clock.now();
        let at = Millis(now.0.saturating_sub(named.age_ms));
        let mut held = self.weights.borrow_mut();
        let versions = held.entry(named.model.as_str().into()).or_default();
        let version = named.version;
        if versions.last().is_some_and(|last| last.version >= version) {
            return false;
        }
        info!("version of weights named", kv: {
            model = named.model.clone(), version = version, age_ms = named.age_ms
        });
        record_version(
            versions,
            NamedVersion { version, at },
            KEPT_VERSIONS,
            now,
            self.rollout,
        );
        true
    }

    fn set_document(&self, document: Document) {
        let parts = catalogue::read(&document.body);
        let built = parts
            .map_err(|e| e.to_string())
            .and_then(|p| Catalogue::build(p).map_err(|e| e.to_string()));
        match built {
            Ok(built) => {
                info!("configuration in force", kv: { version = document.version });
                let origins = built.services().filter_map(|s| s.origin.map(|o| o.addr));
                *self.origins.borrow_mut() = origins.collect();
                *self.models.borrow_mut() = served_models(&built);
                *self.catalogue.borrow_mut() = Rc::new(built);
                *self.document.borrow_mut() = document;
            }
            // Documents are validated before they are committed, so another release of the program
            // accepted this one. The previous document stays in force, and reads return it.
            Err(error) => warn!("configuration can't be parsed; the previous one stays in force",
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
        })
    });
    models.collect()
}

/// Returns how the engines that serve a model work.
fn find_engine<'a>(catalogue: &'a Catalogue, model: &str) -> Option<&'a EngineModel> {
    let engines = catalogue
        .services()
        .filter_map(|service| service.engine.as_ref());
    let mut engines = engines.filter(|engine| engine.models.iter().any(|m| &**m == model));
    engines.next()
}
