//! Loads that fail and targets that do not follow their orders.

use std::collections::BTreeMap;

use filbertstack_core::Millis;
use filbertstack_policy::placement::DRIFT_AFTER;
use filbertstack_policy::placement::Stage;
use filbertstack_policy::placement::Verdict;
use filbertstack_policy::placement::VersionState;
use filbertstack_policy::placement::drifted;

use crate::placement_common::GIB;
use crate::placement_common::START;
use crate::placement_common::World;
use crate::placement_common::fleet;
use crate::placement_common::name;
use crate::placement_common::version;
use crate::placement_common::want;
use crate::rng;

/// An engine cannot load a version. It is tried three times with growing waits, then another
/// instance gets the replica.
#[test]
fn failed_load_is_tried_again_then_elsewhere() {
    let mut rng = rng(6);
    let mut world = World::new(fleet(4, 2, 8 * GIB), vec![want("d", 1, 2, 6 * GIB)]);
    let first = world.decide();
    let broken = first.placement.values().flatten().next();
    let broken = broken.expect("an instance").clone();
    let mut waits = Vec::new();
    for _ in 0..100 {
        world.round(&mut rng);
        let now = world.now;
        let member = world.fleet.get_mut(&broken).expect("it");
        let held = member.versions.get_mut(&version(1));
        if let Some(holding) = held.filter(|h| h.stage == Stage::Loading) {
            *holding = VersionState {
                stage: Stage::Failed,
                since: now,
                ..*holding
            };
            world.faults.observe(&world.fleet, now);
            waits.push(match world.faults.verdict(&broken, &version(1), now) {
                Verdict::Fine => Millis::ZERO,
                Verdict::Waits(until) | Verdict::Barred(until) => until.since(now),
            });
        }
    }
    let secs: Vec<_> = waits.iter().map(|wait| wait.0 / 1000).collect();
    assert_eq!(secs, [2, 8, 600]);
    let serving = world.serving(&world.wants[0]);
    assert_eq!(serving.len(), 2);
    assert!(!serving.contains(&&broken));
}

/// An engine answers from a version that nobody ordered. After a while, and not at once, the
/// target is ordered again, and again if that did not help.
#[test]
fn drift_is_ordered_again() {
    let mut rng = rng(7);
    let mut world = World::new(fleet(3, 3, 8 * GIB), vec![want("d", 1, 3, 6 * GIB)]);
    world.settle(&mut rng, 100).expect("settles");
    let foreign = VersionState {
        stage: Stage::Serving,
        since: START,
        memory: GIB,
    };
    let member = world.fleet.get_mut(&name(1)).expect("it");
    member.versions.insert(version(9), foreign);
    let mut since = BTreeMap::new();
    let mut seen = Vec::new();
    for second in 0..40 {
        let now = world.now + Millis::secs(second);
        if !drifted(&world.fleet, &world.standing, &mut since, now).is_empty() {
            seen.push(second);
        }
    }
    let after = DRIFT_AFTER.0 / 1000 + 1;
    assert_eq!(seen, [after, 2 * after]);
}
