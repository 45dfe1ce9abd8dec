//! Which version an engine may have been ordered to load by an agent that has ended.
//!
//! *Load pattern*: all processes are killed while versions follow each other, and an order of one of
//! them has no answer. An engine loads what lies there when it begins an order, so that the agent that
//! starts in the place of the one killed must stage nothing over what was ordered. Only what lies whole
//! is ever ordered, and only after the list of its pieces was kept by the voters.

/// How the pieces that lie at an engine fit a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionMatch {
    /// The version.
    pub version: u64,
    /// How many pieces it has.
    pub pieces: usize,
    /// How many of them lie in their place.
    pub matching: usize,
}

impl VersionMatch {
    fn is_whole(&self) -> bool {
        self.matching == self.pieces
    }
}

/// The places at an engine in which no piece of a known version lies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Unmatched {
    /// Places with nothing in them.
    pub empty: usize,
    /// Places with something that fits no known version.
    pub unknown: usize,
}

/// What is known of the orders of an agent that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InheritedOrder {
    /// No order may yet be begun.
    Nothing,
    /// An order to load this version may yet be begun.
    Order(u64),
    /// An order of a version that is not known may yet be begun.
    Unknown,
}

/// Judges what lies at an engine that serves the version `served`, 0 if none.
///
/// - What lies whole and is newer than what is served may be ordered.
/// - Where a place is empty, nothing lies whole since the engine lost its power.
/// - Where all places hold pieces of known versions, one was being staged over another, whose outcome
///   was known.
/// - A piece that fits nothing may have turned bad: the others tell which version it belonged to. Fit
///   they none that is newer than what is served, the version may be one whose list is not kept any
///   more.
pub fn inherited_order(served: u64, fits: &[VersionMatch], others: Unmatched) -> InheritedOrder {
    let whole = fits.iter().filter(|fit| fit.is_whole());
    if let Some(version) = whole.map(|fit| fit.version).max() {
        return ordered_if_newer(served, version).unwrap_or(InheritedOrder::Nothing);
    }
    if others.empty > 0 || others.unknown == 0 {
        return InheritedOrder::Nothing;
    }
    let begun = fits.iter().filter(|fit| fit.matching > 0);
    let likeliest = begun.max_by_key(|fit| (fit.matching, fit.version));
    likeliest
        .and_then(|fit| ordered_if_newer(served, fit.version))
        .unwrap_or(InheritedOrder::Unknown)
}

fn ordered_if_newer(served: u64, version: u64) -> Option<InheritedOrder> {
    (version > served).then_some(InheritedOrder::Order(version))
}
