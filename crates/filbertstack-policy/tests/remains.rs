//! What an agent that starts takes for ordered, by what lies at its engine.

use filbertstack_policy::remains::Fit;
use filbertstack_policy::remains::Others;
use filbertstack_policy::remains::Remains;
use filbertstack_policy::remains::remains;

const PIECES: usize = 48;

fn fit(version: u64, fitting: usize) -> Fit {
    Fit {
        version,
        pieces: PIECES,
        fitting,
    }
}

fn strange(strange: usize) -> Others {
    Others { empty: 0, strange }
}

/// Guards against staging over an ordered version, whatever else is known.
#[test]
fn what_lies_whole_and_is_newer_may_be_ordered() {
    let known = [fit(2, 0), fit(3, PIECES), fit(9, 0)];
    let judged = remains(2, &known, Others::default());
    assert_eq!(judged, Remains::Ordered(3));
    assert_eq!(remains(0, &known, Others::default()), Remains::Ordered(3));
    assert_eq!(remains(3, &known, Others::default()), Remains::Nothing);
}

/// Guards against staging over a version of which nobody has the list any more.
#[test]
fn what_fits_no_known_version_may_be_ordered() {
    let known = [fit(8, 0), fit(9, 0)];
    assert_eq!(remains(2, &known, strange(PIECES)), Remains::Unknown);
    assert_eq!(remains(2, &[], strange(PIECES)), Remains::Unknown);
}

/// Guards against an engine kept out of use after a restart, though nothing may be ordered.
#[test]
fn what_was_never_whole_is_not_ordered() {
    let over = [fit(2, PIECES / 2), fit(3, PIECES / 2)];
    assert_eq!(remains(2, &over, Others::default()), Remains::Nothing);
    let empty = Others {
        empty: 1,
        strange: 0,
    };
    assert_eq!(remains(2, &[fit(3, PIECES - 1)], empty), Remains::Nothing);
    let nothing = Others {
        empty: PIECES,
        strange: 0,
    };
    assert_eq!(remains(0, &[], nothing), Remains::Nothing);
}

/// Guards against a piece that turned bad and hides which version is ordered.
#[test]
fn the_other_pieces_tell_which_version_is_ordered() {
    let known = [fit(2, 0), fit(3, PIECES - 1), fit(4, 1)];
    assert_eq!(remains(2, &known, strange(1)), Remains::Ordered(3));
    let served = [fit(2, PIECES - 1), fit(3, 0)];
    assert_eq!(remains(2, &served, strange(1)), Remains::Unknown);
}

/// Guards against a version that shares pieces with a newer one and is taken for half of each.
#[test]
fn a_version_that_shares_pieces_with_a_newer_one_is_known() {
    let known = [fit(2, 10), fit(3, PIECES), fit(4, 30)];
    let judged = remains(2, &known, Others::default());
    assert_eq!(judged, Remains::Ordered(3));
}
