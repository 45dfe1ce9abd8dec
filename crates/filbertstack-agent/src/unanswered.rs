//! Orders that the engine left without an answer.

use std::time::Instant;

use filbertstack_core::Digest;
use filbertstack_core::Millis;
use filbertstack_policy::rollout::LATE_CALL;

/// What an engine is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// To load a version.
    Load(Digest),
    /// To drop what it has.
    Unload,
}

/// The orders that the engine left without an answer and may yet carry out.
///
/// An engine that ignores fencing numbers carries such an order out whatever came after it. Its agent
/// lets requests pass for the later order's version, which then are answered from another. So no other
/// order is given while one may be carried out; the same one may, as it changes nothing.
#[derive(Debug, Default)]
pub struct Unanswered {
    sent: Vec<(Order, Instant)>,
}

impl Unanswered {
    /// Notes an order that got no answer.
    pub fn note(&mut self, order: Order, now: Instant) {
        self.sent.retain(|(known, _)| *known != order);
        self.sent.push((order, now));
    }

    /// Whether `order` may be given.
    pub fn allows(&self, order: Order, now: Instant) -> bool {
        let age = |sent: &Instant| Millis::from(now.saturating_duration_since(*sent));
        self.sent
            .iter()
            .all(|(known, sent)| *known == order || age(sent) >= LATE_CALL)
    }
}
