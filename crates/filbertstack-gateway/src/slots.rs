//! The connections of a listener, of which there are only so many.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use filbertstack_core::Millis;
use filbertstack_policy::connections::ConnectionKey;
use filbertstack_policy::connections::Connections;
use filbertstack_policy::connections::Phase;
use slotmap::SecondaryMap;
use spdlog::warn;
use tokio::sync::Notify;

use crate::clock::Clock;

/// How often a full listener is logged at most.
const LOG_INTERVAL: Millis = Millis::secs(10);

/// How many connections may be being closed, as a part of the limit: 1 / `CLOSING_DIVISOR`.
const CLOSING_DIVISOR: usize = 8;

/// The connections of one listener. Clones share them.
#[derive(Clone, Debug)]
pub struct Slots(Rc<State>);

#[derive(Debug)]
struct State {
    listener: &'static str,
    clock: Clock,
    connections: RefCell<Connections>,
    /// Tells connections that they are closed for others.
    closings: RefCell<SecondaryMap<ConnectionKey, Rc<Notify>>>,
    /// How many connections are open, those included that are being closed.
    open: Cell<usize>,
    /// The most that may be.
    most_open: usize,
    /// Tells that one has ended.
    ended: Notify,
    /// How many connections were closed for others or not taken since the last log line.
    closed: Cell<usize>,
    logged: Cell<Millis>,
}

impl Slots {
    /// Creates the connections of a listener that may have `limit` open. The log names it `listener`.
    pub fn new(listener: &'static str, limit: usize, clock: Clock) -> Self {
        Self(Rc::new(State {
            listener,
            clock,
            connections: RefCell::new(Connections::new(limit)),
            closings: RefCell::default(),
            open: Cell::default(),
            most_open: limit + limit / CLOSING_DIVISOR,
            ended: Notify::new(),
            closed: Cell::default(),
            logged: Cell::default(),
        }))
    }

    /// Takes a connection that was accepted; `None` if it is to be closed. It waits while too many are being closed for
    /// others, as these have their descriptors until their tasks have run.
    pub async fn admit(&self) -> Option<Slot> {
        let now = self.0.clock.now();
        let admitted = self.0.connections.borrow_mut().admit(now);
        let closes = admitted.and_then(|admitted| admitted.closes);
        if closes.is_some() || admitted.is_none() {
            self.0.log_full(now);
        }
        let key = admitted?.key;
        let other = closes.and_then(|closes| self.0.closings.borrow_mut().remove(closes));
        if let Some(other) = other {
            other.notify_one();
        }
        // The new connection may use the place of the other in the map.
        let closing = Rc::new(Notify::new());
        self.0.closings.borrow_mut().insert(key, closing.clone());
        self.0.open.set(self.0.open.get() + 1);
        let slot = Slot {
            slots: self.clone(),
            key,
            closing,
            phase: Cell::new(Phase::New),
            unread: Cell::new(false),
        };
        while self.0.open.get() > self.0.most_open {
            self.0.ended.notified().await;
        }
        Some(slot)
    }
}

impl State {
    fn log_full(&self, now: Millis) {
        self.closed.set(self.closed.get() + 1);
        if now.since(self.logged.get()) < LOG_INTERVAL {
            return;
        }
        self.logged.set(now);
        warn!("listener is full, closing connections", kv: {
            listener = self.listener, closed = self.closed.take()
        });
    }
}

/// One connection of a listener. Dropping it makes room for another.
#[derive(Debug)]
pub struct Slot {
    slots: Slots,
    key: ConnectionKey,
    closing: Rc<Notify>,
    phase: Cell<Phase>,
    /// Whether the last body was answered before it had arrived.
    unread: Cell<bool>,
}

impl Slot {
    /// Records what the connection does from now on.
    pub fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        let now = self.slots.0.clock.now();
        self.slots
            .0
            .connections
            .borrow_mut()
            .enter(self.key, phase, now);
    }

    /// Records whether the last body was answered before it had arrived whole.
    pub fn set_unread(&self, unread: bool) {
        self.unread.set(unread);
    }

    /// Returns whether the last body was answered before it had arrived whole.
    pub fn has_unread(&self) -> bool {
        self.unread.get()
    }

    /// Returns whether the connection waits for its next request.
    pub fn is_idle(&self) -> bool {
        self.phase.get() == Phase::Idle
    }

    /// Waits until the connection is closed for another.
    pub async fn closed(&self) {
        self.closing.notified().await;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.slots.0.connections.borrow_mut().remove(self.key);
        self.slots.0.closings.borrow_mut().remove(self.key);
        self.slots.0.open.set(self.slots.0.open.get() - 1);
        self.slots.0.ended.notify_one();
    }
}
