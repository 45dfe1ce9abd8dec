//! Holds the pieces of one version at one entry.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use filbertstack_platform::engine::PieceList;
use filbertstack_platform::engine::WeightsVersion;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::control::node::Node;
use crate::weights;
use crate::weights::fetch::Fetch;

/// At most this many pieces are downloaded from other entries at once. Their links carry a piece in 10 ms or
/// less; the limit bounds memory, 0.4 MB at the current piece size.
const MAX_DOWNLOADS: u32 = 8;

/// A version that has received no piece for this long does not progress: its source has failed. A version
/// that progresses receives pieces every 100 ms.
const STALL_TIMEOUT: Duration = Duration::from_millis(700);

/// `PieceSet` holds the pieces of one version that the entry has, and the tasks that fetch others.
pub struct PieceSet {
    fetch: Fetch,
    list: watch::Sender<Option<Rc<PieceList>>>,
    pieces: RefCell<BTreeMap<u32, Bytes>>,
    /// The number of pieces, sent whenever one arrives.
    arrivals: watch::Sender<usize>,
    requested: RefCell<BTreeSet<u32>>,
    tasks: RefCell<JoinSet<()>>,
    /// When the last piece arrived.
    last_arrival: Cell<Option<Instant>>,
    /// Whether fetched pieces do not match the list.
    mismatched: Cell<bool>,
}

impl PieceSet {
    fn new(node: Rc<Node>, own: &str, weights: WeightsVersion) -> Self {
        Self {
            fetch: Fetch::new(node, own, weights, MAX_DOWNLOADS),
            list: watch::channel(None).0,
            pieces: RefCell::default(),
            arrivals: watch::channel(0).0,
            requested: RefCell::default(),
            tasks: RefCell::default(),
            last_arrival: Cell::new(None),
            mismatched: Cell::new(false),
        }
    }

    /// Creates the set of the entry with the id `own`, and starts to fetch the list and then the pieces that
    /// the entry owns.
    pub fn begin(node: Rc<Node>, own: &str, weights: WeightsVersion) -> Rc<Self> {
        let created = Rc::new(Self::new(node, own, weights));
        let set = created.clone();
        created.tasks.borrow_mut().spawn_local(async move {
            let list = set.fetch.list().await;
            set.list.send_replace(Some(Rc::new(list)));
            set.gather();
        });
        created
    }

    /// Creates the set that takes the place of `wrong`, whose list its pieces do not match: another list is fetched,
    /// and those of its pieces that match that one are kept.
    pub fn replace(node: Rc<Node>, own: &str, wrong: &Rc<Self>) -> Rc<Self> {
        let weights = wrong.weights().clone();
        let Some(wrong_list) = wrong.list() else {
            return Self::begin(node, own, weights);
        };
        let created = Rc::new(Self::new(node, own, weights));
        let (set, wrong) = (created.clone(), wrong.clone());
        created.tasks.borrow_mut().spawn_local(async move {
            let list = Rc::new(set.fetch.list_instead_of(&wrong_list).await);
            for (number, bytes) in &*wrong.pieces.borrow() {
                if weights::matches_bytes(&list, *number, bytes) {
                    set.requested.borrow_mut().insert(*number);
                    set.insert(*number, bytes);
                }
            }
            set.list.send_replace(Some(list));
            set.gather();
        });
        created
    }

    /// Returns the version of the pieces, with its model.
    pub fn weights(&self) -> &WeightsVersion {
        self.fetch.weights()
    }

    /// Returns the number of the version.
    pub fn version(&self) -> u64 {
        self.weights().version
    }

    /// Returns whether this set is of a newer version of the same model.
    pub fn is_newer(&self, other: &Self) -> bool {
        self.weights().model == other.weights().model && self.version() > other.version()
    }

    /// Returns the list of pieces, once it has arrived.
    pub fn list(&self) -> Option<Rc<PieceList>> {
        self.list.borrow().clone()
    }

    /// Returns whether fetched pieces do not match the list.
    pub fn is_mismatched(&self) -> bool {
        self.mismatched.get()
    }

    /// Sets whether the origin is left to another version.
    pub fn set_origin_paused(&self, paused: bool) {
        self.fetch.set_origin_paused(paused);
    }

    /// Stops all fetches.
    pub fn stop(&self) {
        self.tasks.borrow_mut().abort_all();
    }

    /// Fetches the pieces that this entry owns, unless it is fetching them already.
    pub fn gather(self: &Rc<Self>) {
        let Some(list) = self.list() else {
            return;
        };
        let layout = self.fetch.layout(&list);
        let order = layout.order(weights::piece_count(&list)).into_iter();
        for number in order.take_while(|number| layout.is_owner(*number)) {
            self.request(&list, number);
        }
    }

    /// Fetches a piece, unless the entry has it or is fetching it already.
    fn request(self: &Rc<Self>, list: &Rc<PieceList>, number: u32) {
        if number >= weights::piece_count(list) || !self.requested.borrow_mut().insert(number) {
            return;
        }
        let (set, list) = (self.clone(), list.clone());
        self.tasks.borrow_mut().spawn_local(async move {
            match set.fetch.piece(&list, number).await {
                Some(bytes) => set.insert(number, &bytes),
                None => set.mismatched.set(true),
            }
        });
    }

    fn insert(&self, number: u32, bytes: &[u8]) {
        // Copied, as the received bytes are part of the longer buffer that they were read into.
        let bytes = Bytes::copy_from_slice(bytes);
        let mut pieces = self.pieces.borrow_mut();
        pieces.insert(number, bytes);
        self.last_arrival.set(Some(Instant::now()));
        self.arrivals.send_replace(pieces.len());
    }

    /// Returns a piece, if the entry has it.
    pub fn piece(&self, number: u32) -> Option<Bytes> {
        self.pieces.borrow().get(&number).cloned()
    }

    /// Waits for the list of pieces.
    pub async fn await_list(&self) -> Option<Rc<PieceList>> {
        let mut lists = self.list.subscribe();
        let list = lists.wait_for(Option::is_some).await.ok()?;
        list.clone()
    }

    /// Waits for a piece; returns false if the version has none of that number.
    pub async fn await_piece(self: &Rc<Self>, number: u32) -> bool {
        let Some(list) = self.await_list().await else {
            return false;
        };
        self.request(&list, number);
        if number >= weights::piece_count(&list) {
            return false;
        }
        let mut arrivals = self.arrivals.subscribe();
        while self.piece(number).is_none() {
            if arrivals.changed().await.is_err() {
                return false;
            }
        }
        true
    }

    /// Returns whether the entry has all pieces that it asks the origin for.
    pub fn has_share(&self) -> bool {
        let Some(list) = self.list() else {
            return false;
        };
        let layout = self.fetch.layout(&list);
        let pieces = self.pieces.borrow();
        let mut led = (0..weights::piece_count(&list)).filter(|number| layout.is_primary(*number));
        led.all(|number| pieces.contains_key(&number))
    }

    /// Returns whether a piece arrived recently and more are being fetched.
    pub fn is_progressing(&self) -> bool {
        let recent = self
            .last_arrival
            .get()
            .is_some_and(|at| at.elapsed() < STALL_TIMEOUT);
        recent && self.pieces.borrow().len() < self.requested.borrow().len()
    }
}
