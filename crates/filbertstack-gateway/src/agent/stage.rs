//! Which pieces lie staged at the engine, as far as its agent knows.
//!
//! The engine keeps one copy of a model's pieces, beside the version that it serves. The agent keeps
//! none itself: what others need of it, it reads back from there.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

use filbertstack_core::Millis;
use filbertstack_platform::engine::Holding;
use filbertstack_platform::engine::PieceList;
use filbertstack_policy::rollout::LATE_CALL;
use slotmap::SlotMap;
use slotmap::new_key_type;
use tokio::sync::Notify;

use crate::agent::visit::Progress;
use crate::weights::piece_count;

new_key_type! {
    /// Names a put whose outcome is not known.
    pub struct PutKey;
}

/// The pieces staged.
#[derive(Debug, Default)]
pub struct Stage {
    staged: RefCell<Option<Staged>>,
    /// The order to load them whose outcome is not known.
    order: RefCell<Option<OpenOrder>>,
    /// Puts of pieces whose outcome is not known.
    puts: RefCell<SlotMap<PutKey, OpenPut>>,
    /// Told when all pieces of a version lie there.
    whole: Notify,
}

/// An order whose outcome is not known. Until it is, nothing else may be staged: the engine loads what
/// lies there when it begins the order, and was seen to begin one 2 to 12 s after it was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenOrder {
    /// What it orders to load.
    pub weights: Holding,
    /// What the engine had begun when the order was made; once it has begun anything else, it
    /// refuses the order.
    pub made: Progress,
    /// How often the order was sent; 0 where only an earlier process may have sent it.
    pub sent: u32,
    /// When it was first noted.
    pub noted: Millis,
}

/// A put of a piece whose outcome is not known. Carried out after another version was read back, it
/// would lie over one of its pieces when the engine begins to load them.
#[derive(Debug)]
struct OpenPut {
    weights: Holding,
    /// The start of the engine that it was sent to. It is sent on the connection that the reports come
    /// on, which ends with that start.
    born: u64,
    sent: Millis,
}

impl OpenPut {
    /// Whether the engine started at `born` may yet carry it out.
    fn may_come(&self, born: u64, now: Millis) -> bool {
        self.born == born && now.since(self.sent) < LATE_CALL
    }
}

#[derive(Debug)]
struct Staged {
    list: Rc<PieceList>,
    there: BTreeSet<u32>,
}

impl Staged {
    fn is_whole(&self) -> bool {
        self.there.len() == piece_count(&self.list) as usize
    }
}

impl Stage {
    /// Begins to stage a version over whatever lies there, unless it is the one.
    pub fn begin(&self, list: Rc<PieceList>) {
        if self.weights().as_ref() != Some(&list.weights) {
            let there = BTreeSet::new();
            *self.staged.borrow_mut() = Some(Staged { list, there });
        }
    }

    /// Forgets everything that lies there, so that the list is fetched anew.
    pub fn forget(&self) {
        *self.staged.borrow_mut() = None;
    }

    /// The version that is being staged, or was last.
    pub fn weights(&self) -> Option<Holding> {
        let staged = self.staged.borrow();
        staged.as_ref().map(|staged| staged.list.weights.clone())
    }

    /// The list of the pieces of `weights`, if it came.
    pub fn list(&self, weights: &Holding) -> Option<Rc<PieceList>> {
        let staged = self.staged.borrow();
        let found = staged.as_ref().map(|staged| &staged.list);
        found.filter(|list| list.weights == *weights).cloned()
    }

    /// The order to load what lies there whose outcome is not known.
    pub fn open_order(&self) -> Option<OpenOrder> {
        self.order.borrow().clone()
    }

    /// Notes the order whose outcome is not known, or that there is none.
    pub fn set_open_order(&self, order: Option<OpenOrder>) {
        *self.order.borrow_mut() = order;
    }

    /// Notes that a piece of `weights` is being put at the engine started at `born`. Puts of earlier
    /// starts, and those too old to be carried out, are forgotten.
    pub fn open_put(&self, weights: &Holding, born: u64, now: Millis) -> PutKey {
        let put = OpenPut {
            weights: weights.clone(),
            born,
            sent: now,
        };
        let mut puts = self.puts.borrow_mut();
        puts.retain(|_, put| put.may_come(born, now));
        puts.insert(put)
    }

    /// Notes that the outcome of a put is known.
    pub fn settle_put(&self, put: PutKey) {
        self.puts.borrow_mut().remove(put);
    }

    /// Whether a put of another version than `weights` may yet be carried out by the engine started at
    /// `born`.
    pub fn may_be_overwritten(&self, weights: &Holding, born: u64, now: Millis) -> bool {
        let puts = self.puts.borrow();
        let mut others = puts.values().filter(|put| put.weights != *weights);
        others.any(|put| put.may_come(born, now))
    }

    /// Notes that a piece lies there and was right.
    pub fn put(&self, number: u32) {
        if let Some(staged) = self.staged.borrow_mut().as_mut() {
            staged.there.insert(number);
            if staged.is_whole() {
                self.whole.notify_one();
            }
        }
    }

    /// Notes that a piece is not there or turned bad.
    pub fn lose(&self, number: u32) {
        if let Some(staged) = self.staged.borrow_mut().as_mut() {
            staged.there.remove(&number);
        }
    }

    /// Whether a piece of the version lies there.
    pub fn has(&self, number: u32) -> bool {
        let staged = self.staged.borrow();
        staged.as_ref().is_some_and(|s| s.there.contains(&number))
    }

    /// The version of which all pieces lie there, with its list.
    pub fn whole(&self) -> Option<Rc<PieceList>> {
        let staged = self.staged.borrow();
        let whole = staged.as_ref().filter(|staged| staged.is_whole());
        whole.map(|staged| staged.list.clone())
    }

    /// Ends when all pieces of a version lie there that did not before.
    pub async fn becomes_whole(&self) {
        self.whole.notified().await;
    }
}
