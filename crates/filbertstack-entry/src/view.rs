//! An entry's copy of a part of the control state: declarations, orders and published versions.
//!
//! A voter reads it from its own replica; another entry polls a voter for the changes. In both cases the copy
//! only moves forward.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use filbertstack_control::ControlState;
use filbertstack_control::command::Publish;
use filbertstack_control::view::Delta;
use filbertstack_control::view::DeltaError;
use filbertstack_control::view::Follower;
use filbertstack_control::view::TargetOrder;
use filbertstack_core::Declarations;
use filbertstack_core::Digest;
use filbertstack_core::names::InstanceName;
use prost::Message;

/// The position of a follower: the declarations' revision and the orders' sequence.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Position {
    /// The revision of the declarations.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// The sequence of the orders.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
}

/// The changes since a follower's [`Position`].
#[derive(Clone, PartialEq, Message)]
pub struct Update {
    /// The changes of the declarations.
    #[prost(message, required, tag = "1")]
    pub delta: Delta,
    /// The orders given since that position.
    #[prost(message, repeated, tag = "2")]
    pub orders: Vec<TargetOrder>,
    /// The sequence after these orders.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// The published versions that these orders name.
    #[prost(message, repeated, tag = "4")]
    pub versions: Vec<Publish>,
    /// The voters' addresses.
    #[prost(string, repeated, tag = "5")]
    pub voters: Vec<String>,
}

/// The part of the control state that an entry follows.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    follower: Follower,
    orders: BTreeMap<InstanceName, TargetOrder>,
    sequence: u64,
    versions: BTreeMap<Digest, Publish>,
}

impl View {
    /// Returns the declarations.
    pub fn declared(&self) -> &Declarations {
        self.follower.declared()
    }

    /// Returns the revision of the declarations.
    pub fn revision(&self) -> u64 {
        self.follower.revision()
    }

    /// Returns the highest term seen.
    pub fn term(&self) -> u64 {
        self.follower.term()
    }

    /// Returns the position of this view.
    pub fn position(&self) -> Position {
        Position {
            revision: self.revision(),
            sequence: self.sequence,
        }
    }

    /// Returns the current order for `target`.
    pub fn order(&self, target: &InstanceName) -> Option<&TargetOrder> {
        self.orders.get(target)
    }

    /// Returns all current orders, by target.
    pub fn orders(&self) -> &BTreeMap<InstanceName, TargetOrder> {
        &self.orders
    }

    /// Returns the facts of a published version that some order names.
    pub fn version(&self, version: Digest) -> Option<&Publish> {
        self.versions.get(&version)
    }

    /// Applies an update as a whole, or not at all.
    ///
    /// # Errors
    /// Returns a [`DeltaError`] if the update is behind this view or starts after its position.
    pub fn apply(&mut self, update: Update) -> Result<(), DeltaError> {
        self.follower.apply(&update.delta)?;
        for order in update.orders {
            if let Ok(target) = order.target.parse() {
                self.orders.insert(target, order);
            }
        }
        self.sequence = self.sequence.max(update.sequence);
        for version in update.versions {
            if let Some(root) = Digest::from_slice(&version.root) {
                self.versions.insert(root, version);
            }
        }
        Ok(())
    }
}

/// Returns the changes of `state` since `position`.
pub fn update_since(state: &ControlState, position: Position) -> Update {
    let orders = state.orders();
    let changed: Vec<TargetOrder> = orders
        .since(position.sequence)
        .filter_map(|(target, _)| state.target_order(target))
        .collect();
    let mut versions = BTreeMap::new();
    for hold in changed.iter().flat_map(|order| &order.holds) {
        let root = Digest::from_slice(&hold.version);
        if let Some((root, version)) =
            root.and_then(|root| Some((root, state.catalogue().published(&root)?)))
        {
            versions.insert(root, version);
        }
    }
    Update {
        delta: state.delta(position.revision),
        orders: changed,
        sequence: orders.sequence(),
        versions: versions.into_values().collect(),
        voters: Vec::new(),
    }
}

/// The newest view, shared by an entry's threads.
#[derive(Debug, Default)]
pub struct Views {
    newest: Mutex<Arc<View>>,
    changed: Condvar,
    /// Set when the entry stops; no thread waits for a change from then on.
    ending: AtomicBool,
}

impl Views {
    /// Returns the newest view.
    pub fn get(&self) -> Arc<View> {
        self.lock().clone()
    }

    /// Applies an update to the newest view and wakes the waiting threads if the view changed.
    ///
    /// # Errors
    /// Returns the same errors as [`View::apply`].
    pub fn apply(&self, update: Update) -> Result<(), DeltaError> {
        let mut newest = self.lock();
        let mut view = View::clone(&newest);
        view.apply(update)?;
        if **newest != view {
            *newest = Arc::new(view);
            self.changed.notify_all();
        }
        Ok(())
    }

    /// Waits until the view's position differs from `position` or its term from `term`, at most for `wait`.
    pub fn wait_beyond(&self, position: Position, term: u64, wait: Duration) -> Arc<View> {
        let until = Instant::now() + wait;
        let mut newest = self.lock();
        while newest.position() == position
            && newest.term() == term
            && !self.ending.load(Ordering::SeqCst)
        {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let waited = self.changed.wait_timeout(newest, left);
            newest = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        newest.clone()
    }

    /// Ends all current and future waits for a change. The entry calls this when it stops; the waiting
    /// threads return the current view.
    pub fn end_waits(&self) {
        // The lock ensures that no thread starts to wait between its check of the flag and the wake-up.
        let _newest = self.lock();
        self.ending.store(true, Ordering::SeqCst);
        self.changed.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, Arc<View>> {
        self.newest.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
