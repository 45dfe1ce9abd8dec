//! This module determines which version an earlier agent process may have ordered its engine to load.
//!
//! *Load pattern*: all processes are killed while versions follow each other, and an order to load one
//! of them is unanswered. An engine loads what is staged when it begins an order, so the agent that
//! replaces the killed one must not stage anything over the ordered version. A version is ordered only
//! when all of its pieces are staged, and only after the voters have stored its piece list.

/// The match between the pieces that are staged at an engine and one version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionMatch {
    /// The version.
    pub version: u64,
    /// The number of pieces of the version.
    pub pieces: usize,
    /// The number of these pieces that are staged in their place.
    pub matching: usize,
}

impl VersionMatch {
    fn is_complete(&self) -> bool {
        self.matching == self.pieces
    }
}

/// The places at an engine that contain no piece of a known version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Unmatched {
    /// The number of empty places.
    pub empty: usize,
    /// The number of places whose content matches no known version.
    pub unknown: usize,
}

/// The conclusion about the orders of an agent process that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InheritedOrder {
    /// The engine can no longer begin an order.
    Nothing,
    /// The engine may still begin an order to load this version.
    Order(u64),
    /// The engine may still begin an order to load an unknown version.
    Unknown,
}

/// Returns the order that may be open, judging by what is staged at an engine that serves the version
/// `served`, or 0 if it serves none.
///
/// - A complete version that is newer than the served one may be ordered.
/// - If a place is empty, nothing has been complete since the engine lost its power.
/// - If all places contain pieces of known versions, one version was being staged over another whose
///   order had a known outcome.
/// - A piece that matches no version may be corrupt: the other pieces show which version it belonged
///   to. If they match none that is newer than the served one, it may be a version whose list is no
///   longer kept.
pub fn inherited_order(
    served: u64,
    matches: &[VersionMatch],
    unmatched: Unmatched,
) -> InheritedOrder {
    let complete = matches.iter().filter(|found| found.is_complete());
    if let Some(version) = complete.map(|found| found.version).max() {
        return ordered_if_newer(served, version).unwrap_or(InheritedOrder::Nothing);
    }
    if unmatched.empty > 0 || unmatched.unknown == 0 {
        return InheritedOrder::Nothing;
    }
    let partial = matches.iter().filter(|found| found.matching > 0);
    let best_match = partial.max_by_key(|found| (found.matching, found.version));
    best_match
        .and_then(|found| ordered_if_newer(served, found.version))
        .unwrap_or(InheritedOrder::Unknown)
}

fn ordered_if_newer(served: u64, version: u64) -> Option<InheritedOrder> {
    (version > served).then_some(InheritedOrder::Order(version))
}
