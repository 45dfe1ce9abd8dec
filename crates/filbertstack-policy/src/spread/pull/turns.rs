//! The turns that all instances of a mesh take together.
//!
//! If every instance asked any of its upstreams, a third of the upload slots would be asked by
//! nobody and others by three. When all prefer the same place of the ring at the same time, each
//! is asked by one. That takes a common idea of time, but no common clock: each message carries
//! the sender's mesh clock, and whoever is behind catches up. The fastest clock leads; that it is
//! wrong does no harm, for only agreement counts.

use filbertstack_core::Millis;

/// A mesh clock, cut into turns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turns {
    span: Millis,
    /// How far the mesh clock is ahead of this process's own.
    ahead: Millis,
}

impl Turns {
    /// A mesh clock that agrees with the process's own until another is heard.
    pub fn new(span: Millis) -> Self {
        Self {
            span: span.max(Millis(1)),
            ahead: Millis::ZERO,
        }
    }

    /// Takes note of the clock in a neighbour's message; one that is behind changes nothing.
    pub fn hear(&mut self, clock: Millis, now: Millis) {
        self.ahead = self.ahead.max(clock.since(now));
    }

    /// The mesh clock.
    pub fn clock(&self, now: Millis) -> Millis {
        now + self.ahead
    }

    /// The number of the turn.
    pub fn turn(&self, now: Millis) -> u64 {
        self.clock(now).0 / self.span.0
    }
}
