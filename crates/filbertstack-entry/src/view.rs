//! What an entry follows of the control state: declarations, orders and published versions.
//!
//! Voters take it from their own replica; other entries pull what changed from a voter. Either
//! way it only moves forward.

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

/// How far a follower is: the declarations' revision and the orders' sequence.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Position {
    /// The revision of the declarations.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// The sequence of the orders.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
}

/// What changed since a follower's [`Position`].
#[derive(Clone, PartialEq, Message)]
pub struct Update {
    /// The declarations' changes.
    #[prost(message, required, tag = "1")]
    pub delta: Delta,
    /// The orders given since.
    #[prost(message, repeated, tag = "2")]
    pub orders: Vec<TargetOrder>,
    /// The sequence that they lead to.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// The versions that those orders name.
    #[prost(message, repeated, tag = "4")]
    pub versions: Vec<Publish>,
    /// The voters' addresses.
    #[prost(string, repeated, tag = "5")]
    pub voters: Vec<String>,
}

/// What an entry follows of the control state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    follower: Follower,
    orders: BTreeMap<InstanceName, TargetOrder>,
    sequence: u64,
    versions: BTreeMap<Digest, Publish>,
}

impl View {
    /// The declarations in force.
    pub fn declared(&self) -> &Declarations {
        self.follower.declared()
    }

    /// The revision of the declarations.
    pub fn revision(&self) -> u64 {
        self.follower.revision()
    }

    /// The highest term heard of.
    pub fn term(&self) -> u64 {
        self.follower.term()
    }

    /// How far this view is.
    pub fn reached(&self) -> Position {
        Position {
            revision: self.revision(),
            sequence: self.sequence,
        }
    }

    /// The order that stands for `target`.
    pub fn order(&self, target: &InstanceName) -> Option<&TargetOrder> {
        self.orders.get(target)
    }

    /// Every order, by target.
    pub fn orders(&self) -> &BTreeMap<InstanceName, TargetOrder> {
        &self.orders
    }

    /// The facts of a published version that some order names.
    pub fn version(&self, version: Digest) -> Option<&Publish> {
        self.versions.get(&version)
    }

    /// Takes an update: all of it, or nothing.
    ///
    /// # Errors
    /// [`DeltaError`] if it is behind or starts too late.
    pub fn take(&mut self, update: Update) -> Result<(), DeltaError> {
        self.follower.take(&update.delta)?;
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

/// What changed in `state` since `reached`.
pub fn update_since(state: &ControlState, reached: Position) -> Update {
    let orders = state.orders();
    let changed: Vec<TargetOrder> = orders
        .since(reached.sequence)
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
        delta: state.delta(reached.revision),
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
    /// Whether this entry ends, so that nobody is to wait for a change here.
    ending: AtomicBool,
}

impl Views {
    /// The newest view.
    pub fn get(&self) -> Arc<View> {
        self.lock().clone()
    }

    /// Takes an update into the newest view.
    ///
    /// # Errors
    /// As [`View::take`].
    pub fn take(&self, update: Update) -> Result<(), DeltaError> {
        let mut newest = self.lock();
        let mut view = View::clone(&newest);
        view.take(update)?;
        if **newest != view {
            *newest = Arc::new(view);
            self.changed.notify_all();
        }
        Ok(())
    }

    /// Waits until the view is further than `reached` or has another term, or `wait` is over.
    pub fn wait_beyond(&self, reached: Position, term: u64, wait: Duration) -> Arc<View> {
        let until = Instant::now() + wait;
        let mut newest = self.lock();
        while newest.reached() == reached
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

    /// Ends every wait for a change, and those to come: this entry ends, and whoever waits is told
    /// what there is.
    pub fn end_waits(&self) {
        // Under the lock, so that no wait begins between its look at the flag and the wake-up.
        let _newest = self.lock();
        self.ending.store(true, Ordering::SeqCst);
        self.changed.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, Arc<View>> {
        self.newest.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
