//! Orders that the engine left without an answer.

use std::time::Instant;

use filbertstack_core::Digest;
use filbertstack_core::Millis;
use filbertstack_policy::rollout::MAX_CALL_DELAY;

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
        self.sent
            .retain(|(known, sent)| *known != order && may_come(*sent, now));
        self.sent.push((order, now));
    }

    /// Whether `order` may be given.
    pub fn allows(&self, order: Order, now: Instant) -> bool {
        let mut others = self.sent.iter().filter(|(known, _)| *known != order);
        !others.any(|(_, sent)| may_come(*sent, now))
    }
}

/// Whether an order without an answer, sent then, may yet be carried out.
fn may_come(sent: Instant, now: Instant) -> bool {
    Millis::from(now.saturating_duration_since(sent)) < MAX_CALL_DELAY
}
