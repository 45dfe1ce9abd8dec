//! The turns that all instances of a mesh take in step.
//!
//! If every instance asked any of its upstreams, a third of the upload slots would get no request
//! and others would get three. If all instances prefer the same place of the ring at the same time,
//! each instance gets one request. That takes agreement on the time, but no synchronised clocks:
//! each message carries the sender's mesh clock, and a receiver that is behind moves its own
//! forward. The fastest clock wins. It does no harm that this clock is wrong, because only
//! agreement matters.

use filbertstack_core::Millis;

/// A mesh clock, divided into turns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TurnClock {
    length: Millis,
    /// The lead of the mesh clock over the clock of this process.
    offset: Millis,
}

impl TurnClock {
    /// Creates a mesh clock that equals the clock of this process until a message carries a later
    /// one.
    pub fn new(length: Millis) -> Self {
        Self {
            length: length.max(Millis(1)),
            offset: Millis::ZERO,
        }
    }

    /// Moves the mesh clock forward to the clock in a neighbour's message. An earlier clock has no
    /// effect.
    pub fn observe(&mut self, clock: Millis, now: Millis) {
        self.offset = self.offset.max(clock.since(now));
    }

    /// Returns the mesh clock.
    pub fn clock(&self, now: Millis) -> Millis {
        now + self.offset
    }

    /// Returns the number of the current turn.
    pub fn turn(&self, now: Millis) -> u64 {
        self.clock(now).0 / self.length.0
    }
}
