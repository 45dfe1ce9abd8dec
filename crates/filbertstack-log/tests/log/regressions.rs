//! Recorded scripts on which the random search found a fault.

use crate::support::steps::Step;
use crate::support::world::Variant;
use crate::support::world::World;

/// The steps of the first test's script.
const BLOCKED: &[Step] = include!("blocked.in");

/// A leader dies for good and leaves its last entry on a learner alone, while a voter holds an
/// uncommitted promotion of that learner. That voter needs the learner's vote and does not get it,
/// and no other voter can win. Unless learners may campaign as the last resort, the group is
/// unavailable although a majority is alive (`NoProgress`).
#[test]
fn a_learner_with_the_longest_log_does_not_block_the_voters() {
    let mut world = World::new(11_292_511_141_924_331_986, 2, Variant::default());
    assert_eq!(world.play(BLOCKED), Ok(()));
}
