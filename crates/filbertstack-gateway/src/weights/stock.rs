//! The pieces of one version at one entry.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use filbertstack_platform::engine::Holding;
use filbertstack_platform::engine::PieceList;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::control::node::Node;
use crate::weights;
use crate::weights::fetch::Fetch;

/// The most pieces under way from other entries at once. Their links carry a piece in 10 ms or
/// less; the bound is for memory, 0.4 MB today.
const DOWNLOADS: u32 = 8;

/// A version to which nothing came for this long does not get on: its source has failed. Pieces of
/// one that does come in each 100 ms.
const STILL: Duration = Duration::from_millis(700);

/// The pieces of one version that are here, and those under way.
pub struct Stock {
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

    /// Begins a stock for the entry with the id `own`: fetches the list, then what it owns.
    pub fn begin(node: Rc<Node>, own: &str, weights: Holding) -> Rc<Self> {
        let begun = Rc::new(Self::new(node, own, weights));
        let stock = begun.clone();
        begun.tasks.borrow_mut().spawn_local(async move {
            let list = stock.fetch.list().await;
            stock.list.send_replace(Some(Rc::new(list)));
            stock.gather();
        });
        begun
    }

    /// Whose pieces.
    pub fn weights(&self) -> &Holding {
        self.fetch.weights()
    }

    /// Their version.
    pub fn version(&self) -> u64 {
        self.weights().version
    }

    /// Whether it is of a newer version of the same model.
    pub fn is_newer(&self, other: &Self) -> bool {
        self.weights().model == other.weights().model && self.version() > other.version()
    }

    /// The list of its pieces, once it came.
    pub fn list(&self) -> Option<Rc<PieceList>> {
        self.list.borrow().clone()
    }

    /// Whether its list is wrong.
    pub fn is_spoilt(&self) -> bool {
        self.spoilt.get()
    }

    /// Leaves the origin to a newer version, or takes it back.
    pub fn set_yields(&self, yields: bool) {
        self.fetch.set_yields(yields);
    }

    /// Ends all that is under way.
    pub fn stop(&self) {
        self.tasks.borrow_mut().abort_all();
    }

    /// Fetches what this entry owns, unless that is under way already.
    pub fn gather(self: &Rc<Self>) {
        let Some(list) = self.list() else {
            return;
        };
        let layout = self.fetch.layout(&list);
        let order = layout.order(weights::count(&list)).into_iter();
        for number in order.take_while(|number| layout.is_owner(*number)) {
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

    /// One piece, if it is here.
    pub fn piece(&self, number: u32) -> Option<Bytes> {
        self.pieces.borrow().get(&number).cloned()
    }

    /// Waits for the list of its pieces.
    pub async fn await_list(&self) -> Option<Rc<PieceList>> {
        let mut lists = self.list.subscribe();
        let list = lists.wait_for(Option::is_some).await.ok()?;
        list.clone()
    }

    /// Waits for a piece; false if there is none of that number.
    pub async fn await_piece(self: &Rc<Self>, number: u32) -> bool {
        let Some(list) = self.await_list().await else {
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
    pub fn is_held(&self) -> bool {
        let Some(list) = self.list() else {
            return false;
        };
        let layout = self.fetch.layout(&list);
        let pieces = self.pieces.borrow();
        let mut led = (0..weights::count(&list)).filter(|number| layout.is_primary(*number));
        led.all(|number| pieces.contains_key(&number))
    }

    /// Whether a piece came lately and more are under way.
    pub fn is_moving(&self) -> bool {
        let lately = self.grown.get().is_some_and(|at| at.elapsed() < STILL);
        lately && self.pieces.borrow().len() < self.wanted.borrow().len()
    }
}
