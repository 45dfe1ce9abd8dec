//! This module decides how many targets one request is sent to.
//!
//! *Load pattern*: engines in need turn requests away at once, and each entry finds out by itself which of them
//! do. If a request that was turned away counted like one that an engine ran, two such engines would use up
//! the attempts that its route allows, and its caller would be refused though other engines have room. A
//! target that turns a request away has done no work for it, so only those that may have run it count against
//! the route's limit. Without limits of their own for the others, a request would ask all targets of a service
//! that is overloaded or cut off as a whole.

/// The number of targets that turn a request away after which it is refused. When a third of the targets do,
/// one request in eighty meets four of them in a row.
const MAX_TURNED_AWAY: u32 = 4;

/// The number of targets that could not be reached after which a request is refused.
const MAX_UNREACHED: u32 = 6;

/// The attempts of one request so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Attempts {
    sent: u32,
    turned_away: u32,
    unreached: u32,
}

impl Attempts {
    /// Returns the number of targets that the request was sent to.
    pub fn sent(&self) -> u32 {
        self.sent
    }

    /// Counts a target that the request is sent to. It counts as one that may run it.
    pub fn count_sent(&mut self) {
        self.sent += 1;
    }

    /// Counts the last target that the request was sent to as one that turned it away.
    pub fn count_turned_away(&mut self) {
        self.turned_away += 1;
    }

    /// Counts a target that the request could not be sent to.
    pub fn count_unreached(&mut self) {
        self.unreached += 1;
    }

    /// Returns whether the next target is the last that may run the request, if `limit` targets may.
    pub fn is_last(&self, limit: u32) -> bool {
        self.sent.saturating_sub(self.turned_away) + 1 >= limit
    }

    /// Returns whether the request may be sent to another target, if `limit` targets may run it.
    pub fn may_continue(&self, limit: u32) -> bool {
        self.sent.saturating_sub(self.turned_away) < limit
            && self.turned_away < MAX_TURNED_AWAY
            && self.unreached < MAX_UNREACHED
    }
}
