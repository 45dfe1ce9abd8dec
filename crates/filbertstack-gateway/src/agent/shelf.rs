//! Pieces of weights in memory: every one was checked against its digest before it came here.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use filbertstack_platform::engine::Holding;
use filbertstack_platform::engine::PieceList;
use sha2::Digest as _;
use sha2::Sha256;
use tokio::sync::watch;

/// A set to which nothing came for this long does not get on: its source has failed. Pieces of a
/// set that does come in each 100 ms.
const STILL: Duration = Duration::from_millis(700);

/// The pieces of one version.
#[derive(Debug)]
pub struct Set {
    /// What the pieces must be.
    pub list: PieceList,
    pieces: RefCell<BTreeMap<u32, Bytes>>,
    news: watch::Sender<usize>,
    /// When the last piece came.
    grown: Cell<Option<Instant>>,
}

impl Set {
    /// A set without pieces.
    pub fn new(list: PieceList) -> Self {
        Self {
            list,
            pieces: RefCell::default(),
            news: watch::channel(0).0,
            grown: Cell::new(None),
        }
    }

    /// How many pieces a whole set has.
    pub fn count(&self) -> u32 {
        u32::try_from(self.list.digests.len()).unwrap_or(u32::MAX)
    }

    /// One piece.
    pub fn piece(&self, number: u32) -> Option<Bytes> {
        self.pieces.borrow().get(&number).cloned()
    }

    /// Whether all pieces are there.
    pub fn is_whole(&self) -> bool {
        self.pieces.borrow().len() == self.list.digests.len()
    }

    /// Whether `bytes` are the piece `number`.
    pub fn fits(&self, number: u32, bytes: &[u8]) -> bool {
        let digest = self.list.digests.get(number as usize);
        digest.is_some_and(|digest| Sha256::digest(bytes)[..] == digest[..])
    }

    /// Keeps a piece if it is what it must be; false otherwise.
    pub fn put(&self, number: u32, bytes: Bytes) -> bool {
        if !self.fits(number, &bytes) {
            return false;
        }
        let mut pieces = self.pieces.borrow_mut();
        pieces.insert(number, bytes);
        self.news.send_replace(pieces.len());
        self.grown.set(Some(Instant::now()));
        true
    }

    /// Whether a piece came lately and more are to come.
    fn is_moving(&self) -> bool {
        let lately = self.grown.get().is_some_and(|at| at.elapsed() < STILL);
        lately && !self.is_whole()
    }

    /// Told whenever a piece comes.
    pub fn watch(&self) -> watch::Receiver<usize> {
        self.news.subscribe()
    }
}

/// The newest whole set, and those newer ones that are being gathered.
#[derive(Default)]
pub struct Shelf {
    sets: RefCell<Vec<Rc<Set>>>,
}

impl Shelf {
    /// The newest whole set.
    pub fn newest(&self) -> Option<Rc<Set>> {
        let sets = self.sets.borrow();
        let whole = sets.iter().filter(|set| set.is_whole());
        whole.max_by_key(|set| set.list.weights.version).cloned()
    }

    /// The version of which all pieces are there.
    pub fn whole(&self) -> Option<Holding> {
        self.newest().map(|set| set.list.weights.clone())
    }

    /// The set of `weights`, whole or not.
    pub fn find(&self, weights: &Holding) -> Option<Rc<Set>> {
        let sets = self.sets.borrow();
        sets.iter()
            .find(|set| set.list.weights == *weights)
            .cloned()
    }

    /// Whether a version newer than `version` is being gathered and gets on.
    pub fn is_newer_moving(&self, version: u64) -> bool {
        let sets = self.sets.borrow();
        let mut newer = sets.iter().filter(|s| s.list.weights.version > version);
        newer.any(|set| set.is_moving())
    }

    /// Begins to gather a set, unless it is there.
    pub fn begin(&self, set: Rc<Set>) {
        if self.find(&set.list.weights).is_none() {
            self.sets.borrow_mut().push(set);
        }
    }

    /// Drops a set.
    pub fn forget(&self, weights: &Holding) {
        let mut sets = self.sets.borrow_mut();
        sets.retain(|set| set.list.weights != *weights);
    }

    /// Drops all sets that are older than one that has become whole.
    pub fn complete(&self, whole: &Set) {
        let version = whole.list.weights.version;
        let mut sets = self.sets.borrow_mut();
        sets.retain(|set| set.list.weights.version >= version);
    }
}
