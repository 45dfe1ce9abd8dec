//! These tests cover loads that fail and targets that do not follow their orders.

use std::collections::BTreeMap;

use filbertstack_core::Millis;
use filbertstack_policy::placement::DRIFT_GRACE;
use filbertstack_policy::placement::RetryState;
use filbertstack_policy::placement::Stage;
use filbertstack_policy::placement::VersionState;
use filbertstack_policy::placement::drifted;

use crate::placement_common::GIB;
use crate::placement_common::START;
use crate::placement_common::World;
use crate::placement_common::fleet;
use crate::placement_common::name;
use crate::placement_common::spec;
use crate::placement_common::version;
use crate::rng;

/// An engine cannot load a version. The load must be retried twice with growing backoffs; after the
/// third failure another instance must get the replica.
#[test]
fn failed_load_is_retried_then_placed_elsewhere() {
    let mut rng = rng(6);
    let mut world = World::new(fleet(4, 2, 8 * GIB), vec![spec("d", 1, 2, 6 * GIB)]);
    let first = world.decide();
    let broken = first.placement.values().flatten().next();
    let broken = broken.expect("an instance").clone();
    let mut backoffs = Vec::new();
    for _ in 0..100 {
        world.round(&mut rng);
        let now = world.now;
        let member = world.fleet.get_mut(&broken).expect("known instance");
        let state = member.versions.get_mut(&version(1));
        if let Some(state) = state.filter(|h| h.stage == Stage::Loading) {
            *state = VersionState {
                stage: Stage::Failed,
                since: now,
                ..*state
            };
            world.failures.observe(&world.fleet, now);
            backoffs.push(
                match world.failures.retry_state(&broken, &version(1), now) {
                    RetryState::Ready => Millis::ZERO,
                    RetryState::Backoff(until) | RetryState::Excluded(until) => until.since(now),
                },
            );
        }
    }
    let secs: Vec<_> = backoffs.iter().map(|backoff| backoff.0 / 1000).collect();
    assert_eq!(secs, [2, 8, 600]);
    let serving = world.serving(&world.specs[0]);
    assert_eq!(serving.len(), 2);
    assert!(!serving.contains(&&broken));
}

/// An engine serves a version that was not ordered. The target must be ordered again, but only
/// after [`DRIFT_GRACE`], and once more if that did not help.
#[test]
fn drifted_target_is_ordered_again() {
    let mut rng = rng(7);
    let mut world = World::new(fleet(3, 3, 8 * GIB), vec![spec("d", 1, 3, 6 * GIB)]);
    world.settle(&mut rng, 100).expect("the fleet settles");
    let unordered = VersionState {
        stage: Stage::Serving,
        since: START,
        memory: GIB,
    };
    let member = world.fleet.get_mut(&name(1)).expect("known instance");
    member.versions.insert(version(9), unordered);
    let mut since = BTreeMap::new();
    let mut reported_at = Vec::new();
    for second in 0..40 {
        let now = world.now + Millis::secs(second);
        if !drifted(&world.fleet, &world.assignments, &mut since, now).is_empty() {
            reported_at.push(second);
        }
    }
    let delay_secs = DRIFT_GRACE.0 / 1000 + 1;
    assert_eq!(reported_at, [delay_secs, 2 * delay_secs]);
}
