//! Keeps the pieces of weights that an entry serves to other nodes.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use filbertstack_control::document::Weights;
use filbertstack_core::Millis;
use filbertstack_platform::engine::WeightsVersion;
use filbertstack_policy::pieces;
use filbertstack_policy::pieces::Yields;
use spdlog::info;
use spdlog::warn;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::control::node::Node;
use crate::link::Handler;
use crate::link::HandlerReply;
use crate::link::Sender;
use crate::link::messages::Empty;
use crate::link::messages::Notification;
use crate::link::messages::PieceName;
use crate::link::messages::Question;
use crate::link::messages::Reply;
use crate::weights;
use crate::weights::FIRST_VERSION;
use crate::weights::LATEST_VERSIONS;
use crate::weights::piece_set::PieceSet;

/// A node that is fetching a piece lets other nodes wait for it for this long, before it replies that the
/// piece is not there yet.
pub const OWNER_WAIT: Duration = Duration::from_millis(700);

/// The cache checks at this interval which pieces it should hold.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// At most this many pieces are sent at once: a frame of each is held in memory until it has been sent, 0.4
/// MB in all at the current piece size.
const MAX_UPLOADS: usize = 8;

/// `Cache` holds the pieces that an entry keeps.
pub struct Cache {
    node: Rc<Node>,
    own: Arc<str>,
    sets: RefCell<Vec<Rc<PieceSet>>>,
    /// The versions of which the entry has all pieces that it asks the origin for.
    held: watch::Sender<Vec<Weights>>,
    uploads: Arc<Semaphore>,
}

impl Cache {
    /// Creates an empty cache of the entry with the id `own`.
    pub fn new(node: Rc<Node>, own: &str) -> Self {
        Self {
            node,
            own: own.into(),
            sets: RefCell::default(),
            held: watch::channel(Vec::new()).0,
            uploads: Arc::new(Semaphore::new(MAX_UPLOADS)),
        }
    }

    /// Returns a receiver of the versions of which the entry has its share, notified as they change.
    pub fn held(&self) -> watch::Receiver<Vec<Weights>> {
        self.held.subscribe()
    }

    /// Fetches the pieces that this entry should keep, until the process ends.
    pub async fn keep(self: Rc<Self>) {
        let mut declared = self.node.declared.watch();
        loop {
            for weights in self.needed() {
                if let Some(set) = self.piece_set(&weights) {
                    set.gather();
                }
            }
            self.update_sets();
            tokio::select! {
                _ = declared.changed() => {}
                () = sleep(CHECK_INTERVAL) => {}
            }
        }
    }

    /// Returns the latest versions that some engine does not serve yet.
    fn needed(&self) -> Vec<WeightsVersion> {
        let agents = weights::agents(&self.node);
        let mut needed = Vec::new();
        for (model, named) in self.node.declared.all_weight_versions() {
            let latest = named.len().saturating_sub(LATEST_VERSIONS);
            for named in &named[latest..] {
                let lacks = |row: &str, version| {
                    row.is_empty() || (row == &*model && version < named.version)
                };
                if agents.iter().any(|(_, row)| lacks(&row.model, row.version)) {
                    needed.push(WeightsVersion {
                        model: model.clone(),
                        version: named.version,
                    });
                }
            }
        }
        needed
    }

    /// Updates the piece sets, and publishes which versions the entry holds.
    fn update_sets(&self) {
        self.replace_mismatched();
        self.share_origin();
        self.publish_held();
    }

    /// Replaces the sets whose pieces do not match their list by sets with another list.
    fn replace_mismatched(&self) {
        for set in self.sets.borrow_mut().iter_mut() {
            if set.is_mismatched() {
                warn!("pieces do not match their list, fetching the list again",
                    kv: { version = set.version() });
                set.stop();
                *set = PieceSet::replace(self.node.clone(), &self.own, set);
            }
        }
    }

    /// Stops and removes the piece sets for which `keep` returns false.
    fn retain(&self, keep: impl Fn(&PieceSet) -> bool) {
        self.sets.borrow_mut().retain(|set| {
            let kept = keep(set);
            if !kept {
                set.stop();
            }
            kept
        });
    }

    /// Leaves the origin to one of two versions of a model.
    fn share_origin(&self) {
        let sets = self.sets.borrow();
        let mut paused: Vec<bool> = vec![false; sets.len()];
        for (o, older) in sets.iter().enumerate() {
            for (n, newer) in sets.iter().enumerate() {
                if !newer.is_newer(older) {
                    continue;
                }
                let ages = (self.age(older.weights()), self.age(newer.weights()));
                match pieces::which_yields(
                    ages.0,
                    ages.1,
                    older.has_share(),
                    newer.is_progressing(),
                ) {
                    Yields::Older => paused[o] = true,
                    Yields::Newer => paused[n] = true,
                    Yields::None => {}
                }
            }
        }
        for (set, pauses) in sets.iter().zip(paused) {
            set.set_origin_paused(pauses);
        }
    }

    /// Returns how long ago a version was named; the maximum for one that never was.
    fn age(&self, weights: &WeightsVersion) -> Millis {
        let named = self.node.declared.weight_versions(&weights.model);
        let named = named.iter().find(|named| named.version == weights.version);
        let now = self.node.clock.now();
        named.map_or(Millis(u64::MAX), |named| now.since(named.at))
    }

    fn publish_held(&self) {
        let sets = self.sets.borrow();
        let held = sets.iter().filter(|set| set.has_share());
        let held = held.map(|set| weights::to_wire(set.weights()));
        let held: Vec<Weights> = held.collect();
        self.held.send_if_modified(|before| {
            let changed = *before != held;
            if changed {
                info!("versions held", kv: { versions = held.len() });
                *before = held;
            }
            changed
        });
    }

    /// Returns the piece set of `weights`, and creates it if the version may be asked for. The cache keeps
    /// the newest two: no engine may be moved to an older version, and the origin keeps no more.
    fn piece_set(&self, weights: &WeightsVersion) -> Option<Rc<PieceSet>> {
        let existing = self.find(weights);
        if existing.is_some() || !self.is_known(weights) {
            return existing;
        }
        let oldest = self.oldest_kept(weights);
        if weights.version < oldest {
            return None;
        }
        self.retain(|set| set.weights().model != weights.model || set.version() >= oldest);
        info!("fetching pieces", kv: { version = weights.version });
        let set = PieceSet::begin(self.node.clone(), &self.own, weights.clone());
        self.sets.borrow_mut().push(set.clone());
        Some(set)
    }

    fn find(&self, weights: &WeightsVersion) -> Option<Rc<PieceSet>> {
        let sets = self.sets.borrow();
        let mut found = sets.iter().filter(|set| set.weights() == weights);
        found.next().cloned()
    }

    /// Returns the oldest version of the model that the cache keeps once it keeps `weights`.
    fn oldest_kept(&self, weights: &WeightsVersion) -> u64 {
        let sets = self.sets.borrow();
        let same = sets.iter().filter(|s| s.weights().model == weights.model);
        let mut versions: Vec<u64> = same.map(|set| set.version()).collect();
        versions.push(weights.version);
        versions.sort_unstable();
        versions[versions.len().saturating_sub(LATEST_VERSIONS)]
    }

    /// Returns whether a version was named or is served by an engine, so that no node can fill the memory
    /// with others.
    fn is_known(&self, weights: &WeightsVersion) -> bool {
        let declared = &self.node.declared;
        let named = declared.weight_versions(&weights.model);
        let agents = weights::agents(&self.node);
        weights.version == FIRST_VERSION
            || named.iter().any(|named| named.version == weights.version)
            || agents
                .iter()
                .any(|(_, row)| *row.model == *weights.model && row.version == weights.version)
    }

    async fn piece(&self, name: &PieceName) -> HandlerReply {
        let set = self.piece_set(&weights::from_wire(&name.weights));
        let found = set.and_then(|set| set.piece(name.number));
        let slot = self.uploads.clone().acquire_owned().await;
        match found.zip(slot.ok()) {
            Some((bytes, slot)) => HandlerReply::with_slot(Reply::Piece(bytes), slot),
            None => weights::missing_piece().into(),
        }
    }

    /// Returns whether the entry has a piece or receives it within `wait`. It fetches one that it does not
    /// have.
    async fn has(&self, name: &PieceName, wait: Duration) -> Reply {
        let Some(set) = self.piece_set(&weights::from_wire(&name.weights)) else {
            return weights::missing_piece();
        };
        match timeout(wait, set.await_piece(name.number)).await {
            Ok(true) => Reply::Done(Empty {}),
            Ok(false) | Err(_) => weights::missing_piece(),
        }
    }

    fn has_now(&self, name: &PieceName) -> Reply {
        let set = self.piece_set(&weights::from_wire(&name.weights));
        if set.is_some_and(|set| set.piece(name.number).is_some()) {
            return Reply::Done(Empty {});
        }
        weights::missing_piece()
    }

    /// Returns whether a version is newer than all that were named to this entry: what names it may be on its way.
    fn is_ahead(&self, weights: &WeightsVersion) -> bool {
        let named = self.node.declared.weight_versions(&weights.model);
        named.iter().all(|named| named.version < weights.version)
    }

    /// Returns the list of pieces of a version, if the entry has it or receives it within `wait`.
    async fn manifest(&self, named: &Weights, wait: Duration) -> Reply {
        let named = weights::from_wire(named);
        let Some(set) = self.piece_set(&named) else {
            return if self.is_ahead(&named) {
                weights::manifest_reply(None)
            } else {
                Reply::NotKept(Empty {})
            };
        };
        let list = timeout(wait, set.await_list()).await;
        weights::manifest_reply(list.ok().flatten())
    }
}

impl Handler for Cache {
    async fn answer(self: Rc<Self>, question: Question) -> HandlerReply {
        match question {
            Question::Piece(name) => self.piece(&name).await,
            Question::Has(name) => self.has(&name, OWNER_WAIT).await.into(),
            Question::HasNow(name) => self.has_now(&name).into(),
            Question::Manifest(weights) => self.manifest(&weights, OWNER_WAIT).await.into(),
            question => self.node.clone().answer(question).await,
        }
    }

    fn receive(self: Rc<Self>, news: Notification, sender: &Sender) {
        self.node.clone().receive(news, sender);
    }
}
