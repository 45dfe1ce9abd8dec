//! Scripts that the search once failed on, unchanged.

use crate::support::steps::Step;
use crate::support::world::Variant;
use crate::support::world::World;

/// What happened in the script of the first test.
const BLOCKED: &[Step] = include!("blocked.in");

/// A leader dies for good and leaves its last entry on a learner alone, while a voter holds a
/// promotion of that learner that was never committed. The voter needs the learner's vote and does
/// not get it, nobody else can win: the group stood still with a majority alive (`NoProgress`)
/// until learners were let campaign as the last resort.
#[test]
fn a_learner_that_holds_most_does_not_block_the_voters() {
    let mut world = World::new(11_292_511_141_924_331_986, 2, Variant::default());
    assert_eq!(world.play(BLOCKED), Ok(()));
}
