//! Records which pieces are staged at the engine, as far as its agent knows.
//!
//! The engine keeps one staged copy of a model's pieces, beside the version that it serves. The agent keeps
//! none itself: it reads the pieces that other nodes ask for back from the engine.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

use filbertstack_core::Millis;
use filbertstack_platform::engine::PieceList;
use filbertstack_platform::engine::WeightsVersion;
use filbertstack_policy::rollout::MAX_CALL_DELAY;
use slotmap::SlotMap;
use slotmap::new_key_type;
use tokio::sync::Notify;

use crate::agent::session::Progress;
use crate::weights::piece_count;

new_key_type! {
    /// `PutKey` identifies a write of a piece whose outcome is unknown.
    pub struct PutKey;
}

/// `Stage` records the staged pieces, and the calls of the engine whose outcome is unknown.
#[derive(Debug, Default)]
pub struct Stage {
    staged: RefCell<Option<Staged>>,
    /// The order to load them whose outcome is unknown.
    order: RefCell<Option<PendingOrder>>,
    /// Writes of pieces whose outcome is unknown.
    puts: RefCell<SlotMap<PutKey, PendingPut>>,
    /// Notified when all pieces of a version are staged.
    completed: Notify,
}

/// `PendingOrder` is an order whose outcome is unknown. Until it is known, no other version may be staged:
/// the engine loads what is staged when it begins the order, and engines began orders 2 to 12 s after they
/// were sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingOrder {
    /// The version to load.
    pub weights: WeightsVersion,
    /// The engine's progress when the order was made. The engine refuses the order once it has begun another
    /// one.
    pub progress: Progress,
    /// How often the order was sent; 0 where only an earlier process may have sent it.
    pub send_count: u32,
    /// When the agent first recorded the order.
    pub recorded: Millis,
    /// Whether a piece of the version was written since. What is staged then says nothing about what the engine
    /// has loaded if it began the order before.
    pub rewritten: bool,
}

/// `PendingPut` is a write of a piece whose outcome is unknown. If the engine carried it out after another
/// version was read back, it would overwrite one of that version's pieces before the engine loads them.
#[derive(Debug)]
struct PendingPut {
    weights: WeightsVersion,
    /// The start of the engine that the write was sent to. It is sent on the connection that carries the
    /// reports, which ends with that start.
    born: u64,
    sent_at: Millis,
}

impl PendingPut {
    /// Returns whether the engine started at `born` may still carry the write out.
    fn may_run(&self, born: u64, now: Millis) -> bool {
        self.born == born && now.since(self.sent_at) < MAX_CALL_DELAY
    }
}

#[derive(Debug)]
struct Staged {
    list: Rc<PieceList>,
    present: BTreeSet<u32>,
}

impl Staged {
    fn is_complete(&self) -> bool {
        self.present.len() == piece_count(&self.list) as usize
    }
}

impl Stage {
    /// Begins to stage a version over any other; does nothing if it is the staged one.
    pub fn begin(&self, list: Rc<PieceList>) {
        if self.weights().as_ref() != Some(&list.weights) {
            let present = BTreeSet::new();
            *self.staged.borrow_mut() = Some(Staged { list, present });
        }
    }

    /// Forgets all staged pieces and their list, so that the list is fetched again.
    pub fn clear(&self) {
        *self.staged.borrow_mut() = None;
    }

    /// Returns the version that is being staged or was staged last.
    pub fn weights(&self) -> Option<WeightsVersion> {
        let staged = self.staged.borrow();
        staged.as_ref().map(|staged| staged.list.weights.clone())
    }

    /// Returns the list of the pieces of `weights`, if it is known.
    pub fn list(&self, weights: &WeightsVersion) -> Option<Rc<PieceList>> {
        let staged = self.staged.borrow();
        let found = staged.as_ref().map(|staged| &staged.list);
        found.filter(|list| list.weights == *weights).cloned()
    }

    /// Returns the order whose outcome is unknown.
    pub fn pending_order(&self) -> Option<PendingOrder> {
        self.order.borrow().clone()
    }

    /// Sets the order whose outcome is unknown, or that there is none.
    pub fn set_pending_order(&self, order: Option<PendingOrder>) {
        *self.order.borrow_mut() = order;
    }

    /// Records that a piece of `weights` is being written to the engine started at `born`. Writes to earlier
    /// starts, and those too old to be carried out, are removed.
    pub fn begin_put(&self, weights: &WeightsVersion, born: u64, now: Millis) -> PutKey {
        let put = PendingPut {
            weights: weights.clone(),
            born,
            sent_at: now,
        };
        if let Some(order) = self.order.borrow_mut().as_mut()
            && order.weights == *weights
        {
            order.rewritten = true;
        }
        let mut puts = self.puts.borrow_mut();
        puts.retain(|_, put| put.may_run(born, now));
        puts.insert(put)
    }

    /// Records that the outcome of a write is known.
    pub fn end_put(&self, put: PutKey) {
        self.puts.borrow_mut().remove(put);
    }

    /// Returns whether the engine started at `born` may still carry out a write of another version than
    /// `weights`.
    pub fn may_be_overwritten(&self, weights: &WeightsVersion, born: u64, now: Millis) -> bool {
        let puts = self.puts.borrow();
        let mut others = puts.values().filter(|put| put.weights != *weights);
        others.any(|put| put.may_run(born, now))
    }

    /// Records that a piece is staged and matches its digest.
    pub fn add_piece(&self, number: u32) {
        if let Some(staged) = self.staged.borrow_mut().as_mut() {
            staged.present.insert(number);
            if staged.is_complete() {
                self.completed.notify_one();
            }
        }
    }

    /// Records that a piece is missing or corrupt.
    pub fn remove_piece(&self, number: u32) {
        if let Some(staged) = self.staged.borrow_mut().as_mut() {
            staged.present.remove(&number);
        }
    }

    /// Returns whether a piece of the staged version is there.
    pub fn has(&self, number: u32) -> bool {
        let staged = self.staged.borrow();
        staged.as_ref().is_some_and(|s| s.present.contains(&number))
    }

    /// Returns the list of the staged version if all its pieces are there.
    pub fn complete_list(&self) -> Option<Rc<PieceList>> {
        let staged = self.staged.borrow();
        let complete = staged.as_ref().filter(|staged| staged.is_complete());
        complete.map(|staged| staged.list.clone())
    }

    /// Waits until all pieces of a version are staged that was incomplete before.
    pub async fn await_complete(&self) {
        self.completed.notified().await;
    }
}
