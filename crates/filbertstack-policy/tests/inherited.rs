//! What an agent that starts takes for ordered, by what lies at its engine.

use filbertstack_policy::inherited::InheritedOrder;
use filbertstack_policy::inherited::Unmatched;
use filbertstack_policy::inherited::VersionMatch;
use filbertstack_policy::inherited::inherited_order;

const PIECES: usize = 48;

fn fit(version: u64, matching: usize) -> VersionMatch {
    VersionMatch {
        version,
        pieces: PIECES,
        matching,
    }
}

fn unknown(unknown: usize) -> Unmatched {
    Unmatched { empty: 0, unknown }
}

/// Guards against staging over an ordered version, whatever else is known.
#[test]
fn what_lies_whole_and_is_newer_may_be_ordered() {
    let known = [fit(2, 0), fit(3, PIECES), fit(9, 0)];
    let judged = inherited_order(2, &known, Unmatched::default());
    assert_eq!(judged, InheritedOrder::Order(3));
    assert_eq!(
        inherited_order(0, &known, Unmatched::default()),
        InheritedOrder::Order(3)
    );
    assert_eq!(
        inherited_order(3, &known, Unmatched::default()),
        InheritedOrder::Nothing
    );
}

/// Guards against staging over a version of which nobody has the list any more.
#[test]
fn what_fits_no_known_version_may_be_ordered() {
    let known = [fit(8, 0), fit(9, 0)];
    assert_eq!(
        inherited_order(2, &known, unknown(PIECES)),
        InheritedOrder::Unknown
    );
    assert_eq!(
        inherited_order(2, &[], unknown(PIECES)),
        InheritedOrder::Unknown
    );
}

/// Guards against an engine kept out of use after a restart, though nothing may be ordered.
#[test]
fn what_was_never_whole_is_not_ordered() {
    let over = [fit(2, PIECES / 2), fit(3, PIECES / 2)];
    assert_eq!(
        inherited_order(2, &over, Unmatched::default()),
        InheritedOrder::Nothing
    );
    let empty = Unmatched {
        empty: 1,
        unknown: 0,
    };
    assert_eq!(
        inherited_order(2, &[fit(3, PIECES - 1)], empty),
        InheritedOrder::Nothing
    );
    let nothing = Unmatched {
        empty: PIECES,
        unknown: 0,
    };
    assert_eq!(inherited_order(0, &[], nothing), InheritedOrder::Nothing);
}

/// Guards against a piece that turned bad and hides which version is ordered.
#[test]
fn the_other_pieces_tell_which_version_is_ordered() {
    let known = [fit(2, 0), fit(3, PIECES - 1), fit(4, 1)];
    assert_eq!(
        inherited_order(2, &known, unknown(1)),
        InheritedOrder::Order(3)
    );
    let served = [fit(2, PIECES - 1), fit(3, 0)];
    assert_eq!(
        inherited_order(2, &served, unknown(1)),
        InheritedOrder::Unknown
    );
}

/// Guards against a version that shares pieces with a newer one and is taken for half of each.
#[test]
fn a_version_that_shares_pieces_with_a_newer_one_is_known() {
    let known = [fit(2, 10), fit(3, PIECES), fit(4, 30)];
    let judged = inherited_order(2, &known, Unmatched::default());
    assert_eq!(judged, InheritedOrder::Order(3));
}
