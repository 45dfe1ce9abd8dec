//! Orders to which the engine gave no answer.

use std::time::Instant;

use filbertstack_core::Digest;
use filbertstack_core::Millis;
use filbertstack_policy::rollout::MAX_CALL_DELAY;

/// An order to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Load a version.
    Load(Digest),
    /// Drop the loaded weights.
    Unload,
}

/// The orders that got no answer and that the engine may still carry out.
///
/// An engine that ignores fencing numbers may carry out such an order after a later one. The agent
/// would then admit requests for the version of the later order while the engine answers them from
/// the earlier one. Therefore no different order is sent while an unanswered one may still be carried
/// out. The same order may be repeated, because it changes nothing.
#[derive(Debug, Default)]
pub struct UnansweredOrders {
    sent: Vec<(Order, Instant)>,
}

impl UnansweredOrders {
    /// Records an order that got no answer.
    pub fn record(&mut self, order: Order, now: Instant) {
        self.sent
            .retain(|(known, sent)| *known != order && may_still_run(*sent, now));
        self.sent.push((order, now));
    }

    /// Returns whether `order` may be sent now.
    pub fn allows(&self, order: Order, now: Instant) -> bool {
        let mut others = self.sent.iter().filter(|(known, _)| *known != order);
        !others.any(|(_, sent)| may_still_run(*sent, now))
    }
}

/// Returns whether an unanswered order sent at `sent` may still be carried out.
fn may_still_run(sent: Instant, now: Instant) -> bool {
    Millis::from(now.saturating_duration_since(sent)) < MAX_CALL_DELAY
}
