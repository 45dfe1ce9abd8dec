//! The pieces of weights that an entry keeps for others.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use filbertstack_control::document::Weights;
use filbertstack_core::Millis;
use filbertstack_platform::engine::Holding;
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
use crate::weights::GATHERED;
use crate::weights::stock::Stock;

/// How long a node that has a piece under way lets others wait for it, before it says that the
/// piece is not there yet.
pub const OWNER_WAIT: Duration = Duration::from_millis(700);

/// How often it is looked which pieces should be here.
const LOOK: Duration = Duration::from_millis(200);

/// The most pieces that go out at once: a frame of each is held until it has gone out, 0.4 MB in
/// all today.
const UPLOADS: usize = 8;

/// The pieces that an entry keeps.
pub struct Cache {
    node: Rc<Node>,
    own: Arc<str>,
    stocks: RefCell<Vec<Rc<Stock>>>,
    /// The versions of which all pieces that this entry asks the origin for are here.
    held: watch::Sender<Vec<Weights>>,
    uploads: Arc<Semaphore>,
}

impl Cache {
    /// An empty cache of the entry with the id `own`.
    pub fn new(node: Rc<Node>, own: &str) -> Self {
        Self {
            node,
            own: own.into(),
            stocks: RefCell::default(),
            held: watch::channel(Vec::new()).0,
            uploads: Arc::new(Semaphore::new(UPLOADS)),
        }
    }

    /// The versions that are here, as far as this entry is their source; told as they change.
    pub fn held(&self) -> watch::Receiver<Vec<Weights>> {
        self.held.subscribe()
    }

    /// Gathers what this entry should keep, until the process ends.
    pub async fn keep(self: Rc<Self>) {
        let mut declared = self.node.declared.watch();
        loop {
            for weights in self.needed() {
                if let Some(stock) = self.stock(&weights) {
                    stock.gather();
                }
            }
            self.look_after();
            tokio::select! {
                _ = declared.changed() => {}
                () = sleep(LOOK) => {}
            }
        }
    }

    /// The latest versions that some engine does not serve yet.
    fn needed(&self) -> Vec<Holding> {
        let agents = weights::agents(&self.node);
        let mut needed = Vec::new();
        for (model, named) in self.node.declared.all_weight_versions() {
            let latest = named.len().saturating_sub(GATHERED);
            for named in &named[latest..] {
                let lacks = |row: &str, version| {
                    row.is_empty() || (row == &*model && version < named.version)
                };
                if agents.iter().any(|(_, row)| lacks(&row.model, row.version)) {
                    needed.push(Holding {
                        model: model.clone(),
                        version: named.version,
                    });
                }
            }
        }
        needed
    }

    /// Brings stocks into line with each other, and tells what is whole.
    fn look_after(&self) {
        self.drop_spoilt();
        self.yield_to_each_other();
        self.tell_held();
    }

    fn drop_spoilt(&self) {
        self.retain(|stock| {
            if stock.is_spoilt() {
                warn!("pieces do not fit their list, which is fetched again",
                    kv: { version = stock.version() });
            }
            !stock.is_spoilt()
        });
    }

    /// Ends the stocks that are not to be kept.
    fn retain(&self, keep: impl Fn(&Stock) -> bool) {
        self.stocks.borrow_mut().retain(|stock| {
            let kept = keep(stock);
            if !kept {
                stock.stop();
            }
            kept
        });
    }

    /// Leaves the origin to one of two versions of a model.
    fn yield_to_each_other(&self) {
        let stocks = self.stocks.borrow();
        let mut waiting: Vec<bool> = vec![false; stocks.len()];
        for (o, older) in stocks.iter().enumerate() {
            for (n, newer) in stocks.iter().enumerate() {
                if !newer.is_newer(older) {
                    continue;
                }
                let ages = (self.age(older.weights()), self.age(newer.weights()));
                match pieces::which_yields(ages.0, ages.1, older.is_held(), newer.is_moving()) {
                    Yields::Older => waiting[o] = true,
                    Yields::Newer => waiting[n] = true,
                    Yields::None => {}
                }
            }
        }
        for (stock, waits) in stocks.iter().zip(waiting) {
            stock.set_yields(waits);
        }
    }

    /// How long ago a version was named; as long as can be for one that never was.
    fn age(&self, weights: &Holding) -> Millis {
        let named = self.node.declared.weight_versions(&weights.model);
        let named = named.iter().find(|named| named.version == weights.version);
        let now = self.node.clock.now();
        named.map_or(Millis(u64::MAX), |named| now.since(named.at))
    }

    fn tell_held(&self) {
        let stocks = self.stocks.borrow();
        let held = stocks.iter().filter(|stock| stock.is_held());
        let held = held.map(|stock| weights::wire_name(stock.weights()));
        let held: Vec<Weights> = held.collect();
        self.held.send_if_modified(|before| {
            let changed = *before != held;
            if changed {
                info!("pieces kept", kv: { versions = held.len() });
                *before = held;
            }
            changed
        });
    }

    /// The stock of `weights`, begun if it is one that may be asked for. The newest two are kept:
    /// nobody may be brought to an older one, and the origin keeps no more.
    fn stock(&self, weights: &Holding) -> Option<Rc<Stock>> {
        let begun = self.find(weights);
        if begun.is_some() || !self.may_be_asked(weights) {
            return begun;
        }
        let oldest = self.oldest_kept(weights);
        if weights.version < oldest {
            return None;
        }
        self.retain(|stock| stock.weights().model != weights.model || stock.version() >= oldest);
        info!("pieces are gathered", kv: { version = weights.version });
        let stock = Stock::begin(self.node.clone(), &self.own, weights.clone());
        self.stocks.borrow_mut().push(stock.clone());
        Some(stock)
    }

    fn find(&self, weights: &Holding) -> Option<Rc<Stock>> {
        let stocks = self.stocks.borrow();
        let mut found = stocks.iter().filter(|stock| stock.weights() == weights);
        found.next().cloned()
    }

    /// The oldest version of the model that is kept once `weights` are.
    fn oldest_kept(&self, weights: &Holding) -> u64 {
        let stocks = self.stocks.borrow();
        let same = stocks.iter().filter(|s| s.weights().model == weights.model);
        let mut versions: Vec<u64> = same.map(|stock| stock.version()).collect();
        versions.push(weights.version);
        versions.sort_unstable();
        versions[versions.len().saturating_sub(GATHERED)]
    }

    /// Whether a version is one that was named or that an engine serves, so that nobody fills the
    /// memory with others.
    fn may_be_asked(&self, weights: &Holding) -> bool {
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
        let stock = self.stock(&weights::holding(&name.weights));
        let found = stock.and_then(|stock| stock.piece(name.number));
        let slot = self.uploads.clone().acquire_owned().await;
        match found.zip(slot.ok()) {
            Some((bytes, slot)) => HandlerReply::with_slot(Reply::Piece(bytes), slot),
            None => weights::not_here().into(),
        }
    }

    /// Whether a piece is here or comes within `wait`. One that is not here is fetched.
    async fn has(&self, name: &PieceName, wait: Duration) -> Reply {
        let Some(stock) = self.stock(&weights::holding(&name.weights)) else {
            return weights::not_here();
        };
        match timeout(wait, stock.await_piece(name.number)).await {
            Ok(true) => Reply::Done(Empty {}),
            Ok(false) | Err(_) => weights::not_here(),
        }
    }

    fn has_now(&self, name: &PieceName) -> Reply {
        let stock = self.stock(&weights::holding(&name.weights));
        if stock.is_some_and(|stock| stock.piece(name.number).is_some()) {
            return Reply::Done(Empty {});
        }
        weights::not_here()
    }

    /// The list of a version's pieces, if it is here or comes within `wait`.
    async fn manifest(&self, named: &Weights, wait: Duration) -> Reply {
        let Some(stock) = self.stock(&weights::holding(named)) else {
            return Reply::NotKept(Empty {});
        };
        let list = timeout(wait, stock.await_list()).await;
        weights::manifest(list.ok().flatten())
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
