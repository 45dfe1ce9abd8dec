//! Tests of the order that a starting agent inherits, judged by the pieces at its engine.

use filbertstack_policy::inherited::InheritedOrder;
use filbertstack_policy::inherited::Unmatched;
use filbertstack_policy::inherited::VersionMatch;
use filbertstack_policy::inherited::inherited_order;

const PIECES: usize = 48;

fn matched(version: u64, matching: usize) -> VersionMatch {
    VersionMatch {
        version,
        pieces: PIECES,
        matching,
    }
}

fn unknown(unknown: usize) -> Unmatched {
    Unmatched { empty: 0, unknown }
}

/// Guards against staging over an ordered version, whatever other versions are known.
#[test]
fn a_complete_newer_version_may_be_ordered() {
    let known = [matched(2, 0), matched(3, PIECES), matched(9, 0)];
    let order = inherited_order(2, &known, Unmatched::default());
    assert_eq!(order, InheritedOrder::Order(3));
    assert_eq!(
        inherited_order(0, &known, Unmatched::default()),
        InheritedOrder::Order(3)
    );
    assert_eq!(
        inherited_order(3, &known, Unmatched::default()),
        InheritedOrder::Nothing
    );
}

/// Guards against staging over a version whose list is no longer kept.
#[test]
fn pieces_of_no_known_version_may_be_ordered() {
    let known = [matched(8, 0), matched(9, 0)];
    assert_eq!(
        inherited_order(2, &known, unknown(PIECES)),
        InheritedOrder::Unknown
    );
    assert_eq!(
        inherited_order(2, &[], unknown(PIECES)),
        InheritedOrder::Unknown
    );
}

/// Guards against an engine that is kept out of use after a restart although nothing can be ordered.
#[test]
fn an_incomplete_version_is_not_ordered() {
    let mixed = [matched(2, PIECES / 2), matched(3, PIECES / 2)];
    assert_eq!(
        inherited_order(2, &mixed, Unmatched::default()),
        InheritedOrder::Nothing
    );
    let empty = Unmatched {
        empty: 1,
        unknown: 0,
    };
    assert_eq!(
        inherited_order(2, &[matched(3, PIECES - 1)], empty),
        InheritedOrder::Nothing
    );
    let nothing = Unmatched {
        empty: PIECES,
        unknown: 0,
    };
    assert_eq!(inherited_order(0, &[], nothing), InheritedOrder::Nothing);
}

/// Guards against a corrupt piece that hides which version is ordered.
#[test]
fn a_corrupt_piece_does_not_hide_the_ordered_version() {
    let known = [matched(2, 0), matched(3, PIECES - 1), matched(4, 1)];
    assert_eq!(
        inherited_order(2, &known, unknown(1)),
        InheritedOrder::Order(3)
    );
    let served_pieces = [matched(2, PIECES - 1), matched(3, 0)];
    assert_eq!(
        inherited_order(2, &served_pieces, unknown(1)),
        InheritedOrder::Unknown
    );
}

/// Guards against a version that shares pieces with a newer one and is taken for half of each.
#[test]
fn a_version_that_shares_pieces_with_a_newer_one_is_recognised() {
    let known = [matched(2, 10), matched(3, PIECES), matched(4, 30)];
    let order = inherited_order(2, &known, Unmatched::default());
    assert_eq!(order, InheritedOrder::Order(3));
}
