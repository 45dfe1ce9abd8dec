//! These tests run placement and rolling over many rounds; each instance follows its orders at its
//! own pace.

#[path = "placement_roll/drift.rs"]
mod drift;
mod placement_common;

use std::collections::BTreeSet;

use filbertstack_core::Millis;
use filbertstack_policy::placement::Assignment;
use filbertstack_policy::placement::Assignments;
use filbertstack_policy::placement::DeploymentSpec;
use filbertstack_policy::placement::Duty;
use filbertstack_policy::placement::Health;
use filbertstack_policy::placement::Member;
use filbertstack_policy::placement::REBALANCE_UPTIME;
use filbertstack_policy::placement::Stage;
use filbertstack_policy::placement::UNREACHABLE_GRACE;
use filbertstack_policy::placement::UnmetReason;
use filbertstack_policy::placement::VersionState;
use filbertstack_policy::placement::status;
use placement_common::GIB;
use placement_common::START;
use placement_common::World;
use placement_common::apply_orders;
use placement_common::fleet;
use placement_common::name;
use placement_common::spec;
use placement_common::version;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestCaseError;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn rng(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed)
}

fn case_count() -> u32 {
    let given = std::env::var("FILBERTSTACK_FUZZ_CASES");
    given.ok().and_then(|n| n.parse().ok()).unwrap_or(256)
}

fn test_runner() -> TestRunner {
    let config = Config {
        cases: case_count(),
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]);
    TestRunner::new_with_rng(config, rng)
}

/// A generated case: instances, zones, memory in GiB, deployments as (replicas, GiB), and the seed.
type Case = (usize, usize, u64, Vec<(usize, u64)>, u64);

fn case() -> impl Strategy<Value = Case> {
    let deployments = proptest::collection::vec((1..8_usize, 1..4_u64), 1..4);
    (8..40_usize, 1..5_usize, 2..8_u64, deployments, 0..1000_u64)
}

fn specs_of(case: &Case, first: u8) -> Vec<DeploymentSpec> {
    let specs = case.3.iter().zip(0_u8..);
    specs
        .map(|((replicas, gib), i)| spec(&format!("d{i}"), first + i, *replicas, gib * GIB))
        .collect()
}

/// All versions of an arbitrary fleet change at once. Memory must never be exceeded, no deployment
/// may drop below its declared replicas, and the fleet must reach a state in which nothing changes
/// any more.
#[test]
fn rollout_keeps_declared_replicas_available() {
    let result = test_runner().run(&case(), |case| {
        let mut rng = rng(case.4);
        let mut world = World::new(fleet(case.0, case.1, case.2 * GIB), specs_of(&case, 1));
        world.settle(&mut rng, 200);
        let before: Vec<_> = world
            .specs
            .iter()
            .map(|spec| world.available(spec))
            .collect();
        world.declare(specs_of(&case, 100));
        for _ in 0..400 {
            let decision = world.round(&mut rng);
            prop_assert!(!world.exceeds_memory(), "memory exceeded");
            for (spec, before) in world.specs.iter().zip(&before) {
                let floor = spec.replicas.min(*before);
                prop_assert!(world.available(spec) >= floor, "{spec:?} below {floor}");
            }
            if world.is_settled() {
                let stuck = !decision.blocked.is_empty() || !decision.shortfalls.is_empty();
                let done = |spec: &DeploymentSpec| world.serving(spec).len() == spec.replicas;
                prop_assert!(stuck || world.specs.iter().all(done), "settled too early");
                return Ok(());
            }
        }
        prop_assert!(false, "never settled");
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
    println!("{} cases", case_count());
}

/// Instances come and go while versions change. No order may take an instance out of service unless
/// as many others serve as are declared, and the change must complete once all instances are back.
#[test]
fn rollout_with_failures_keeps_declared_replicas_available() {
    let result = test_runner().run(&case(), |case| roll_with_failures(&case));
    result.unwrap_or_else(|error| panic!("{error}"));
}

/// Regression cases that exceeded an engine's memory: an old version was kept for an instance that
/// served another one, and a new version was ordered on an unreachable target.
#[test]
fn rollout_with_failures_stays_within_memory() {
    for case in [
        (26, 1, 3, vec![(4, 2)], 501),
        (11, 1, 4, vec![(6, 1), (7, 3)], 315),
    ] {
        roll_with_failures(&case).unwrap_or_else(|error| panic!("{error}"));
    }
}

fn roll_with_failures(case: &Case) -> Result<(), TestCaseError> {
    let mut rng = rng(case.4);
    let mut world = World::new(fleet(case.0, case.1, case.2 * GIB), specs_of(case, 1));
    world.settle(&mut rng, 200);
    world.declare(specs_of(case, 100));
    for _ in 0..80 {
        world.disturb_instance(&mut rng);
        let before: Vec<_> = world
            .specs
            .iter()
            .map(|spec| world.available(spec))
            .collect();
        world.assignments = world.decide().orders;
        for (spec, before) in world.specs.iter().zip(before) {
            let floor = spec.replicas.min(before);
            prop_assert!(world.available(spec) >= floor, "{spec:?} below {floor}");
        }
        world.round(&mut rng);
        prop_assert!(!world.exceeds_memory(), "memory exceeded");
    }
    world.restore_all();
    prop_assert!(world.settle(&mut rng, 400).is_some(), "never settled");
    Ok(())
}

/// A third of the fleet is unreachable for some seconds while the version changes. These instances
/// must not be ordered to drop the old version or to load the new one beside it, so that they serve
/// at once when they return.
#[test]
fn briefly_unreachable_instances_keep_their_version() {
    let mut rng = rng(9);
    let mut world = World::new(fleet(9, 3, 16 * GIB), vec![spec("d", 1, 9, 6 * GIB)]);
    world.settle(&mut rng, 100).expect("the fleet settles");
    world.declare(vec![spec("d", 2, 9, 6 * GIB)]);
    let unreachable = Health::Unreachable(world.now);
    let in_zone = |m: &&mut Member| &*m.zone == "z1";
    let members = world.fleet.values_mut().filter(in_zone);
    members.for_each(|member| member.health = unreachable);
    let before = world.assignments.clone();
    for _ in 0..5 {
        world.round(&mut rng);
    }
    for (name, member) in &world.fleet {
        if &*member.zone == "z1" {
            assert_eq!(world.assignments[name], before[name], "{name}");
        }
    }
}

/// A zone is lost and its replicas move to the other zones. When it returns, the spread must
/// recover, but only after [`REBALANCE_UPTIME`], and the declared replicas must serve throughout.
#[test]
fn returned_zone_regains_replicas_after_required_uptime() {
    let mut rng = rng(8);
    let mut world = World::new(fleet(60, 3, 8 * GIB), vec![spec("d", 1, 30, 6 * GIB)]);
    world.settle(&mut rng, 100).expect("the fleet settles");
    let set_zone_health = |world: &mut World, health: Health| {
        let mut lost = world.fleet.values_mut().filter(|m| &*m.zone == "z0");
        lost.by_ref().for_each(|m| {
            m.health = health;
            m.versions.clear();
        });
    };
    let now = world.now;
    set_zone_health(&mut world, Health::Unreachable(now));
    for _ in 0..60 {
        world.round(&mut rng);
    }
    assert_eq!(
        world.replicas_by_zone(&world.specs[0]).values().max(),
        Some(&15)
    );
    let now = world.now;
    set_zone_health(&mut world, Health::Up(now));
    let (mut least, mut first) = (usize::MAX, None);
    for _ in 0..400 {
        world.round(&mut rng);
        least = least.min(world.available(&world.specs[0]));
        if world.replicas_by_zone(&world.specs[0]).len() == 3 {
            first = first.or(Some(world.now.since(now)));
        }
    }
    assert_eq!(least, 30);
    assert!(
        first.is_some_and(|first| first >= REBALANCE_UPTIME),
        "{first:?}"
    );
    let replicas_by_zone: Vec<_> = world
        .replicas_by_zone(&world.specs[0])
        .into_values()
        .collect();
    assert_eq!(replicas_by_zone, [10, 10, 10]);
}

/// An operator cordons an instance before its repair: another instance must serve before this one
/// stops. In the second run the instance is told to leave at once and stops first.
#[test]
fn cordoned_instance_serves_until_replaced() {
    for is_cordoned in [true, false] {
        let mut rng = rng(10);
        let mut world = World::new(fleet(9, 3, 8 * GIB), vec![spec("d", 1, 6, 6 * GIB)]);
        world.settle(&mut rng, 100).expect("the fleet settles");
        let emptied = world.serving(&world.specs[0])[0].clone();
        let member = world.fleet.get_mut(&emptied).expect("known instance");
        member.cordoned = is_cordoned;
        if !is_cordoned {
            member.health = Health::Leaving;
        }
        let mut least = usize::MAX;
        for _ in 0..60 {
            world.round(&mut rng);
            least = least.min(world.available(&world.specs[0]));
        }
        assert_eq!(least, if is_cordoned { 6 } else { 5 });
        let serving = world.serving(&world.specs[0]);
        assert!(serving.len() == 6 && !serving.contains(&&emptied));
    }
}

/// Among the free instances of a zone, the one that already holds the chunks must be chosen.
#[test]
fn instances_with_fetched_chunks_are_preferred() {
    let mut world = World::new(fleet(30, 3, 8 * GIB), vec![spec("d", 1, 3, 6 * GIB)]);
    let prefetched = [name(9), name(10), name(11)];
    for one in &prefetched {
        let state = VersionState {
            stage: Stage::Fetched(80),
            since: START,
            memory: 0,
        };
        let member = world.fleet.get_mut(one).expect("known instance");
        member.versions.insert(version(1), state);
    }
    // All instances share one rack, so that the spread over racks decides nothing.
    for member in world.fleet.values_mut() {
        member.rack = "same".into();
    }
    let decision = world.decide();
    let placed = decision.placement.values().next().expect("placed");
    assert!(placed.iter().eq(prefetched.iter()), "{placed:?}");
}

/// Deliberately broken variant: all targets are ordered to load the new version at once, as a plain
/// declaration of the desired state would do. The availability check of the other tests must detect
/// that service stops.
#[test]
fn ordering_all_instances_at_once_stops_service() {
    let mut rng = rng(1);
    let mut world = World::new(fleet(12, 3, 8 * GIB), vec![spec("d", 1, 12, 6 * GIB)]);
    world.settle(&mut rng, 100).expect("the fleet settles");
    let new = spec("d", 2, 12, 6 * GIB);
    world.declare(vec![new.clone()]);
    for orders in world.assignments.values_mut().flatten() {
        orders.version = new.version;
    }
    for (name, member) in &mut world.fleet {
        apply_orders(member, &world.assignments[name], &world.sizes, world.now);
    }
    assert_eq!(world.available(&new), 0);
}

/// Twelve engines have room for one version each. With ten replicas the two spare instances let the
/// others swap two at a time. With twelve replicas no instance is spare, and the status must say
/// so.
#[test]
fn small_instances_swap_through_spare_instances() {
    let mut rng = rng(2);
    let mut world = World::new(fleet(12, 3, 8 * GIB), vec![spec("d", 1, 10, 6 * GIB)]);
    world.settle(&mut rng, 100).expect("the fleet settles");
    world.declare(vec![spec("d", 2, 10, 6 * GIB)]);
    let mut least = usize::MAX;
    for _ in 0..200 {
        world.round(&mut rng);
        least = least.min(world.available(&world.specs[0]));
    }
    assert_eq!((least, world.serving(&world.specs[0]).len()), (10, 10));
    world.declare(vec![spec("d", 2, 12, 6 * GIB)]);
    world.settle(&mut rng, 100).expect("the fleet settles");
    world.declare(vec![spec("d", 3, 12, 6 * GIB)]);
    let decision = world.round(&mut rng);
    let status = status(
        &world.fleet,
        &world.specs,
        &decision,
        &world.failures,
        world.now,
    );
    assert!(!status[0].is_met());
    assert_eq!(status[0].reasons[0], UnmetReason::NoSpare);
    let counts = format!("{:?}", status[0].counts);
    insta::assert_snapshot!(counts, @"ReplicaCounts { declared: 12, serving: 0, other_version: 12 }");
}

/// Replicas must spread over zones as evenly as the free memory allows, in any fleet.
#[test]
fn zones_differ_by_at_most_one_replica() {
    let result = test_runner().run(&case(), |case| {
        let mut rng = rng(case.4);
        let specs = specs_of(&case, 1)[..1].to_vec();
        let mut world = World::new(fleet(case.0, case.1, case.2 * GIB), specs);
        world.settle(&mut rng, 100);
        let spec = &world.specs[0];
        let replicas_by_zone = world.replicas_by_zone(spec);
        let most = replicas_by_zone.values().max().copied().unwrap_or(0);
        for zone in 0..case.1 {
            let label = format!("z{zone}");
            let here = replicas_by_zone.get(&label).copied().unwrap_or(0);
            let mut free = world.fleet.iter().filter(|(name, member)| {
                *member.zone == *label
                    && member.memory >= spec.memory
                    && !world.serving(spec).contains(name)
            });
            prop_assert!(
                most <= here + 1 || free.next().is_none(),
                "{replicas_by_zone:?}"
            );
        }
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}

fn moved_replicas(before: &Assignments, after: &Assignments) -> usize {
    let pairs = |assignments: &Assignments| {
        let mut pairs = BTreeSet::new();
        for (name, orders) in assignments {
            let serve = orders.iter().filter(|one| one.duty == Duty::Serve);
            pairs.extend(serve.map(|one| (name.clone(), one.clone())));
        }
        pairs
    };
    pairs(after).difference(&pairs(before)).count()
}

/// One instance of 300 is lost. Only the replicas that it held may move. Placement by hash alone,
/// run for comparison, moves most of the fleet.
#[test]
fn lost_instance_moves_only_its_own_replicas() {
    let mut rng = rng(4);
    let specs: Vec<_> = (0..10)
        .map(|i| spec(&format!("d{i}"), i, 20, 3 * GIB))
        .collect();
    let mut world = World::new(fleet(300, 3, 8 * GIB), specs);
    world.settle(&mut rng, 200).expect("the fleet settles");
    let before = world.assignments.clone();
    let lost = before.iter().find(|(_, orders)| !orders.is_empty());
    let (lost, held_count) = lost
        .map(|(n, o)| (n.clone(), o.len()))
        .expect("an instance with orders");
    world.fleet.remove(&lost);
    let after = world.decide().orders;
    let placed_by_hash = |count: usize| -> Assignments {
        let all = world
            .specs
            .iter()
            .flat_map(|w| (0..w.replicas).map(move |r| (w, r)));
        let mut assignments = Assignments::new();
        for (i, (spec, _)) in all.enumerate() {
            let one = Assignment {
                deployment: spec.deployment.clone(),
                version: spec.version,
                duty: Duty::Serve,
            };
            let place = i * 7919 % count;
            assignments.entry(name(place)).or_default().push(one);
        }
        assignments
    };
    let by_hash = moved_replicas(&placed_by_hash(300), &placed_by_hash(299));
    println!(
        "moved {} of 200, by hash alone {by_hash}",
        moved_replicas(&before, &after)
    );
    assert_eq!(moved_replicas(&before, &after), held_count);
    assert!(by_hash > 100);
}

/// An agent restarts within seconds ten times: nothing may move. When it stays unreachable, its
/// replica must move once, and its return must move nothing back.
#[test]
fn flapping_instance_moves_no_replicas() {
    let mut rng = rng(5);
    let mut world = World::new(fleet(9, 3, 8 * GIB), vec![spec("d", 1, 6, 6 * GIB)]);
    world.settle(&mut rng, 100).expect("the fleet settles");
    let placed = world.serving(&world.specs[0])[0].clone();
    for _ in 0..10 {
        let unreachable = Health::Unreachable(world.now);
        world.fleet.get_mut(&placed).expect("known instance").health = unreachable;
        world.now = world.now + Millis(UNREACHABLE_GRACE.0 - 1);
        assert!(world.decide().changed.is_empty());
        let up = Health::Up(world.now);
        world.fleet.get_mut(&placed).expect("known instance").health = up;
        assert!(world.decide().changed.is_empty());
    }
    world.fleet.get_mut(&placed).expect("known instance").health = Health::Unreachable(world.now);
    world.now = world.now + UNREACHABLE_GRACE;
    let before = world.assignments.clone();
    let after = world.decide().orders;
    assert_eq!(moved_replicas(&before, &after), 1);
    for _ in 0..40 {
        world.round(&mut rng);
    }
    let returned = world.fleet.get_mut(&placed).expect("known instance");
    returned.health = Health::Up(world.now);
    returned.versions.clear();
    let settled = world.assignments.clone();
    world.now = world.now + Millis::secs(1000);
    world.settle(&mut rng, 100).expect("the fleet settles");
    assert_eq!(moved_replicas(&settled, &world.assignments), 0);
}

/// Engines hold one version at a time, with memory for two. An instance must serve the old version
/// until all chunks of the new one are fetched, so that a swap costs a load and not a copy. If it
/// were drained first, it would serve nothing for as long as its link takes for a copy.
#[test]
fn single_version_engines_fetch_before_swapping() {
    let mut rng = rng(5);
    let mut all = fleet(12, 3, 64 * GIB);
    for member in all.values_mut() {
        member.single_version = true;
    }
    let mut world = World::new(all, vec![spec("d", 1, 10, 6 * GIB)]);
    world.settle(&mut rng, 100).expect("the fleet settles");
    world.declare(vec![spec("d", 2, 10, 6 * GIB)]);
    let (mut drained, mut least) = (0, usize::MAX);
    for _ in 0..200 {
        let before = world.assignments.clone();
        let decision = world.decide();
        for name in &decision.changed {
            let is_drain = |a: &&Assignment| a.duty == Duty::Drain;
            let new_drains = decision.orders[name].iter().filter(is_drain);
            let fresh = new_drains.filter(|a| !before[name].contains(a)).count();
            let placed = decision.placement[&world.specs[0].deployment].contains(name);
            let state = world.fleet[name].versions.get(&version(2));
            let fetched = state.is_some_and(|state| state.stage == Stage::Fetched(100));
            assert!(
                fresh == 0 || !placed || fetched,
                "{name} drained before its chunks were fetched"
            );
            drained += fresh;
        }
        world.round(&mut rng);
        least = least.min(world.available(&world.specs[0]));
    }
    let serving = world.serving(&world.specs[0]).len();
    // Ten swaps, and the spare instance that stood in for them is drained at the end.
    assert_eq!((drained, least, serving), (11, 10, 10));
}
