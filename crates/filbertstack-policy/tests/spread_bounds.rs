//! Tests of the copy against its goals in the round model: the time relative to the floor, and the
//! number of copies from the origin.

mod spread_model;

use spread_model::Faults;
use spread_model::Setting;
use spread_model::mesh;
use spread_model::mesh::MeshConfig;

fn check_goal(targets: usize, faults: Faults, ratio: f64, origin: f64) {
    for shared in [false, true] {
        let setting = Setting::new(targets, shared, faults);
        let outcome = mesh::run(MeshConfig::chosen(), &setting, &[]);
        assert!(outcome.ratio <= ratio, "{setting:?}: {outcome:?}");
        assert!(outcome.origin_copies <= origin, "{setting:?}: {outcome:?}");
        // A link at a tenth of its speed needs five windows for one copy.
        let slow = outcome
            .time_with_slow
            .expect("the slow targets get the version too");
        assert!(slow <= 1.25 * 5.0, "{setting:?}: {outcome:?}");
    }
}

#[test]
fn ten_targets_reach_the_goal() {
    check_goal(10, Faults::None, 1.10, 1.05);
}

#[test]
fn a_hundred_targets_reach_the_goal() {
    check_goal(100, Faults::None, 1.10, 1.05);
}

#[test]
fn three_hundred_targets_reach_the_goal() {
    check_goal(300, Faults::None, 1.10, 1.05);
}

#[test]
fn a_thousand_targets_reach_the_goal() {
    check_goal(1000, Faults::None, 1.10, 1.05);
}

// One in twenty instances is lost midway, one in a hundred chunks arrives corrupted and one in
// twenty links has a tenth of its speed. The survivors at full speed must finish within 1.5 times
// the floor.
#[test]
fn ten_targets_reach_the_goal_with_faults() {
    check_goal(10, Faults::Mixed, 1.5, 1.2);
}

#[test]
fn a_hundred_targets_reach_the_goal_with_faults() {
    check_goal(100, Faults::Mixed, 1.5, 1.2);
}

#[test]
fn three_hundred_targets_reach_the_goal_with_faults() {
    check_goal(300, Faults::Mixed, 1.5, 1.2);
}

#[test]
fn a_thousand_targets_reach_the_goal_with_faults() {
    check_goal(1000, Faults::Mixed, 1.5, 1.2);
}
