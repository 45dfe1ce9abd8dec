//! The pieces of weights that an entry keeps for others.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use filbertstack_control::document::Weights;
use filbertstack_platform::engine::Holding;
use filbertstack_platform::engine::PieceList;
use spdlog::info;
use spdlog::warn;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::control::node::Node;
use crate::link::Given;
use crate::link::Handler;
use crate::link::Sender;
use crate::link::messages::News;
use crate::link::messages::Nothing;
use crate::link::messages::PieceName;
use crate::link::messages::Question;
use crate::link::messages::Reply;
use crate::weights;
use crate::weights::FIRST_VERSION;
use crate::weights::GATHERED;
use crate::weights::fetch::Fetch;

/// How long a node that has a piece under way lets others wait for it, before it says that the
/// piece is not there yet.
pub const OWNER_WAIT: Duration = Duration::from_millis(700);

/// How often it is looked which pieces should be here.
const LOOK: Duration = Duration::from_millis(200);

/// A version to which nothing came for this long does not get on: its source has failed. Pieces of
/// one that does come in each 100 ms.
const STILL: Duration = Duration::from_millis(700);

/// The most pieces under way from other entries at once. Their links carry a piece in 10 ms or
/// less; the bound is for memory, 0.4 MB today.
const DOWNLOADS: u32 = 8;

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
        for (model, named) in self.node.declared.all_named() {
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

    /// Drops what is spoilt, lets older versions wait for a newer that gets on, and notes what is
    /// whole.
    fn look_after(&self) {
        let mut stocks = self.stocks.borrow_mut();
        stocks.retain(|stock| {
            if stock.spoilt.get() {
                warn!("pieces do not fit their list, which is fetched again",
                    kv: { version = stock.version() });
                stock.stop();
            }
            !stock.spoilt.get()
        });
        for stock in stocks.iter() {
            let mut newer = stocks.iter().filter(|s| s.version() > stock.version());
            stock.fetch.set_yields(newer.any(|s| s.is_moving()));
        }
        let held = stocks.iter().filter(|s| s.is_held());
        let held: Vec<Weights> = held
            .map(|s| weights::wire_name(s.fetch.weights()))
            .collect();
        drop(stocks);
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
        let mut stocks = self.stocks.borrow_mut();
        if let Some(stock) = stocks.iter().find(|s| s.fetch.weights() == weights) {
            return Some(stock.clone());
        }
        if !self.may_be_asked(weights) {
            return None;
        }
        let own = stocks
            .iter()
            .filter(|s| s.fetch.weights().model == weights.model);
        let mut versions: Vec<u64> = own.map(|s| s.version()).collect();
        versions.push(weights.version);
        versions.sort_unstable();
        let oldest = versions[versions.len().saturating_sub(GATHERED)];
        if weights.version < oldest {
            return None;
        }
        stocks.retain(|stock| {
            let keep = stock.fetch.weights().model != weights.model || stock.version() >= oldest;
            if !keep {
                stock.stop();
            }
            keep
        });
        info!("pieces are gathered", kv: { version = weights.version });
        let stock = Rc::new(Stock::new(self.node.clone(), &self.own, weights.clone()));
        stock.begin();
        stocks.push(stock.clone());
        Some(stock)
    }

    /// Whether a version is one that was named or that an engine serves, so that nobody fills the
    /// memory with others.
    fn may_be_asked(&self, weights: &Holding) -> bool {
        let declared = &self.node.declared;
        let named = declared.named(&weights.model);
        let agents = weights::agents(&self.node);
        weights.version == FIRST_VERSION
            || named.iter().any(|named| named.version == weights.version)
            || agents
                .iter()
                .any(|(_, row)| *row.model == *weights.model && row.version == weights.version)
    }

    async fn piece(&self, name: &PieceName) -> Given {
        let stock = self.stock(&weights::holding(&name.weights));
        let found = stock.and_then(|stock| stock.piece(name.number));
        let slot = self.uploads.clone().acquire_owned().await;
        match found.zip(slot.ok()) {
            Some((bytes, slot)) => Given::slowly(Reply::Piece(bytes), slot),
            None => weights::not_here().into(),
        }
    }

    /// Whether a piece is here or comes within `wait`. One that is not here is fetched.
    async fn has(&self, name: &PieceName, wait: Duration) -> Reply {
        let Some(stock) = self.stock(&weights::holding(&name.weights)) else {
            return weights::not_here();
        };
        match timeout(wait, stock.await_piece(name.number)).await {
            Ok(true) => Reply::Done(Nothing {}),
            Ok(false) | Err(_) => weights::not_here(),
        }
    }

    fn has_now(&self, name: &PieceName) -> Reply {
        let stock = self.stock(&weights::holding(&name.weights));
        if stock.is_some_and(|stock| stock.piece(name.number).is_some()) {
            return Reply::Done(Nothing {});
        }
        weights::not_here()
    }

    fn manifest(&self, named: &Weights) -> Reply {
        let stock = self.stock(&weights::holding(named));
        weights::manifest(stock.and_then(|stock| stock.list.borrow().clone()))
    }
}

impl Handler for Cache {
    async fn answer(self: Rc<Self>, question: Question) -> Given {
        match question {
            Question::Piece(name) => self.piece(&name).await,
            Question::Has(name) => self.has(&name, OWNER_WAIT).await.into(),
            Question::HasNow(name) => self.has_now(&name).into(),
            Question::Manifest(weights) => self.manifest(&weights).into(),
            question => self.node.clone().answer(question).await,
        }
    }

    fn take(self: Rc<Self>, news: News, sender: &Sender) {
        self.node.clone().take(news, sender);
    }
}

/// The pieces of one version that are here, and those under way.
struct Stock {
    fetch: Fetch,
    list: watch::Sender<Option<Rc<PieceList>>>,
    pieces: RefCell<BTreeMap<u32, Bytes>>,
    /// Told whenever a piece comes.
    news: watch::Sender<usize>,
    wanted: RefCell<BTreeSet<u32>>,
    tasks: RefCell<JoinSet<()>>,
    /// When the last piece came.
    grown: Cell<Option<Instant>>,
    /// Whether its list is wrong.
    spoilt: Cell<bool>,
}

impl Stock {
    fn new(node: Rc<Node>, own: &str, weights: Holding) -> Self {
        Self {
            fetch: Fetch::new(node, own, weights, DOWNLOADS),
            list: watch::channel(None).0,
            pieces: RefCell::default(),
            news: watch::channel(0).0,
            wanted: RefCell::default(),
            tasks: RefCell::default(),
            grown: Cell::new(None),
            spoilt: Cell::new(false),
        }
    }

    fn version(&self) -> u64 {
        self.fetch.weights().version
    }

    /// Begins to fetch the list.
    fn begin(self: &Rc<Self>) {
        let stock = self.clone();
        self.tasks.borrow_mut().spawn_local(async move {
            let list = stock.fetch.list().await;
            stock.list.send_replace(Some(Rc::new(list)));
            stock.gather();
        });
    }

    /// Ends all that is under way.
    fn stop(&self) {
        self.tasks.borrow_mut().abort_all();
    }

    /// Fetches what this entry owns, unless that is under way already.
    fn gather(self: &Rc<Self>) {
        let Some(list) = self.list.borrow().clone() else {
            return;
        };
        let layout = self.fetch.layout(&list);
        let order = layout.order(weights::count(&list)).into_iter();
        for number in order.take_while(|number| layout.owns(*number)) {
            self.want(&list, number);
        }
    }

    /// Fetches a piece, unless it is here or under way.
    fn want(self: &Rc<Self>, list: &Rc<PieceList>, number: u32) {
        if number >= weights::count(list) || !self.wanted.borrow_mut().insert(number) {
            return;
        }
        let (stock, list) = (self.clone(), list.clone());
        self.tasks.borrow_mut().spawn_local(async move {
            match stock.fetch.piece(&list, number).await {
                Some(bytes) => stock.put(number, &bytes),
                None => stock.spoilt.set(true),
            }
        });
    }

    fn put(&self, number: u32, bytes: &[u8]) {
        // A copy: what came is part of the longer buffer that it was read into.
        let bytes = Bytes::copy_from_slice(bytes);
        let mut pieces = self.pieces.borrow_mut();
        pieces.insert(number, bytes);
        self.grown.set(Some(Instant::now()));
        self.news.send_replace(pieces.len());
    }

    fn piece(&self, number: u32) -> Option<Bytes> {
        self.pieces.borrow().get(&number).cloned()
    }

    /// Waits for a piece; false if there is none of that number.
    async fn await_piece(self: &Rc<Self>, number: u32) -> bool {
        let mut lists = self.list.subscribe();
        let Ok(list) = lists.wait_for(Option::is_some).await else {
            return false;
        };
        let Some(list) = list.clone() else {
            return false;
        };
        self.want(&list, number);
        if number >= weights::count(&list) {
            return false;
        }
        let mut news = self.news.subscribe();
        while self.piece(number).is_none() {
            if news.changed().await.is_err() {
                return false;
            }
        }
        true
    }

    /// Whether all pieces are here that this entry asks the origin for.
    fn is_held(&self) -> bool {
        let Some(list) = self.list.borrow().clone() else {
            return false;
        };
        let layout = self.fetch.layout(&list);
        let pieces = self.pieces.borrow();
        let mut led = (0..weights::count(&list)).filter(|number| layout.leads(*number));
        led.all(|number| pieces.contains_key(&number))
    }

    /// Whether a piece came lately and more are under way.
    fn is_moving(&self) -> bool {
        let lately = self.grown.get().is_some_and(|at| at.elapsed() < STILL);
        lately && self.pieces.borrow().len() < self.wanted.borrow().len()
    }
}
