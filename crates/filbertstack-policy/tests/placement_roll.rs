//! Placement and rolling over many rounds, with instances that follow their orders at their pace.

#[path = "placement_roll/drift.rs"]
mod drift;
mod placement_common;

use std::collections::BTreeSet;

use filbertstack_core::Millis;
use filbertstack_policy::placement::Assignment;
use filbertstack_policy::placement::Assignments;
use filbertstack_policy::placement::DeploymentSpec;
use filbertstack_policy::placement::Duty;
use filbertstack_policy::placement::HOLD_DOWN;
use filbertstack_policy::placement::Health;
use filbertstack_policy::placement::MOVE_AFTER;
use filbertstack_policy::placement::Member;
use filbertstack_policy::placement::Stage;
use filbertstack_policy::placement::VersionState;
use filbertstack_policy::placement::Why;
use filbertstack_policy::placement::status;
use placement_common::GIB;
use placement_common::START;
use placement_common::World;
use placement_common::fleet;
use placement_common::follow;
use placement_common::name;
use placement_common::version;
use placement_common::want;
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

fn cases() -> u32 {
    let given = std::env::var("FILBERTSTACK_FUZZ_CASES");
    given.ok().and_then(|n| n.parse().ok()).unwrap_or(256)
}

fn runner() -> TestRunner {
    let config = Config {
        cases: cases(),
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]);
    TestRunner::new_with_rng(config, rng)
}

/// A case: instances, zones, memory in units, and deployments as (replicas, units).
type Case = (usize, usize, u64, Vec<(usize, u64)>, u64);

fn case() -> impl Strategy<Value = Case> {
    let deployments = proptest::collection::vec((1..8_usize, 1..4_u64), 1..4);
    (8..40_usize, 1..5_usize, 2..8_u64, deployments, 0..1000_u64)
}

fn wants_of(case: &Case, first: u8) -> Vec<DeploymentSpec> {
    let wants = case.3.iter().zip(0_u8..);
    wants
        .map(|((replicas, units), i)| want(&format!("d{i}"), first + i, *replicas, units * GIB))
        .collect()
}

/// A change of every version at once, over any fleet: memory is never exceeded, no deployment
/// drops under what is declared, and the fleet ends where nothing changes any more.
#[test]
fn rolling_never_drops_under_the_declared_number() {
    let result = runner().run(&case(), |case| {
        let mut rng = rng(case.4);
        let mut world = World::new(fleet(case.0, case.1, case.2 * GIB), wants_of(&case, 1));
        world.settle(&mut rng, 200);
        let before: Vec<_> = world.wants.iter().map(|w| world.alive(w)).collect();
        world.declare(wants_of(&case, 100));
        for _ in 0..400 {
            let decision = world.round(&mut rng);
            prop_assert!(!world.is_over_memory(), "memory exceeded");
            for (want, before) in world.wants.iter().zip(&before) {
                let floor = want.replicas.min(*before);
                prop_assert!(world.alive(want) >= floor, "{want:?} under {floor}");
            }
            if world.is_settled() {
                let stuck = !decision.blocked.is_empty() || !decision.short.is_empty();
                let done = |w: &DeploymentSpec| world.serving(w).len() == w.replicas;
                prop_assert!(stuck || world.wants.iter().all(done), "settled too early");
                return Ok(());
            }
        }
        prop_assert!(false, "never settled");
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
    println!("{} cases", cases());
}

/// Instances come and go while versions change: no order takes an instance out of service unless
/// as many others answer as are declared, and once all are back the change ends.
#[test]
fn rolling_under_faults_takes_no_more_away() {
    let result = runner().run(&case(), |case| roll_under_faults(&case));
    result.unwrap_or_else(|error| panic!("{error}"));
}

/// Two cases that once failed: an old version kept for an instance that answers from another, and
/// a new version ordered for a target that was away.
#[test]
fn cases_that_once_exceeded_memory() {
    for case in [
        (26, 1, 3, vec![(4, 2)], 501),
        (11, 1, 4, vec![(6, 1), (7, 3)], 315),
    ] {
        roll_under_faults(&case).unwrap_or_else(|error| panic!("{error}"));
    }
}

fn roll_under_faults(case: &Case) -> Result<(), TestCaseError> {
    let mut rng = rng(case.4);
    let mut world = World::new(fleet(case.0, case.1, case.2 * GIB), wants_of(case, 1));
    world.settle(&mut rng, 200);
    world.declare(wants_of(case, 100));
    for _ in 0..80 {
        world.flip(&mut rng);
        let before: Vec<_> = world.wants.iter().map(|w| world.alive(w)).collect();
        world.standing = world.decide().orders;
        for (want, before) in world.wants.iter().zip(before) {
            let floor = want.replicas.min(before);
            prop_assert!(world.alive(want) >= floor, "{want:?} under {floor}");
        }
        world.round(&mut rng);
        prop_assert!(!world.is_over_memory(), "memory exceeded");
    }
    world.heal();
    prop_assert!(world.settle(&mut rng, 400).is_some(), "never settled");
    Ok(())
}

/// A third of the fleet is away for some seconds while the version changes. It is not told to
/// drop the old version, nor ordered the new one beside it: back again, it answers at once.
#[test]
fn away_for_seconds_keeps_the_old_version() {
    let mut rng = rng(9);
    let mut world = World::new(fleet(9, 3, 16 * GIB), vec![want("d", 1, 9, 6 * GIB)]);
    world.settle(&mut rng, 100).expect("settles");
    world.declare(vec![want("d", 2, 9, 6 * GIB)]);
    let gone = Health::Unreachable(world.now);
    let away = |m: &&mut Member| &*m.zone == "z1";
    let members = world.fleet.values_mut().filter(away);
    members.for_each(|member| member.health = gone);
    let before = world.standing.clone();
    for _ in 0..5 {
        world.round(&mut rng);
    }
    for (name, member) in &world.fleet {
        if &*member.zone == "z1" {
            assert_eq!(world.standing[name], before[name], "{name}");
        }
    }
}

/// A zone is lost: its replicas move to the others. It returns: the spread comes back, but only
/// after it has proved itself, and nobody is missed meanwhile.
#[test]
fn returned_zone_gets_its_share_back_in_time() {
    let mut rng = rng(8);
    let mut world = World::new(fleet(60, 3, 8 * GIB), vec![want("d", 1, 30, 6 * GIB)]);
    world.settle(&mut rng, 100).expect("settles");
    let zone = |world: &mut World, health: Health| {
        let mut lost = world.fleet.values_mut().filter(|m| &*m.zone == "z0");
        lost.by_ref().for_each(|m| {
            m.health = health;
            m.versions.clear();
        });
    };
    let now = world.now;
    zone(&mut world, Health::Unreachable(now));
    for _ in 0..60 {
        world.round(&mut rng);
    }
    assert_eq!(world.zones(&world.wants[0]).values().max(), Some(&15));
    let now = world.now;
    zone(&mut world, Health::Up(now));
    let (mut least, mut first) = (usize::MAX, None);
    for _ in 0..400 {
        world.round(&mut rng);
        least = least.min(world.alive(&world.wants[0]));
        if world.zones(&world.wants[0]).len() == 3 {
            first = first.or(Some(world.now.since(now)));
        }
    }
    assert_eq!(least, 30);
    assert!(first.is_some_and(|first| first >= MOVE_AFTER), "{first:?}");
    let zones: Vec<_> = world.zones(&world.wants[0]).into_values().collect();
    assert_eq!(zones, [10, 10, 10]);
}

/// An operator empties an instance before its repair. Another one serves before it stops; told to
/// leave at once, as in the second run, it stops first.
#[test]
fn emptied_instance_serves_until_it_is_replaced() {
    for planned in [true, false] {
        let mut rng = rng(10);
        let mut world = World::new(fleet(9, 3, 8 * GIB), vec![want("d", 1, 6, 6 * GIB)]);
        world.settle(&mut rng, 100).expect("settles");
        let emptied = world.serving(&world.wants[0])[0].clone();
        let member = world.fleet.get_mut(&emptied).expect("it");
        member.cordoned = planned;
        if !planned {
            member.health = Health::Leaving;
        }
        let mut least = usize::MAX;
        for _ in 0..60 {
            world.round(&mut rng);
            least = least.min(world.alive(&world.wants[0]));
        }
        assert_eq!(least, if planned { 6 } else { 5 });
        let serving = world.serving(&world.wants[0]);
        assert!(serving.len() == 6 && !serving.contains(&&emptied));
    }
}

/// Of the free instances of a zone, the one that already holds the chunks is taken.
#[test]
fn chunks_at_hand_are_preferred() {
    let mut world = World::new(fleet(30, 3, 8 * GIB), vec![want("d", 1, 3, 6 * GIB)]);
    let warm = [name(9), name(10), name(11)];
    for one in &warm {
        let holding = VersionState {
            stage: Stage::Fetched(80),
            since: START,
            memory: 0,
        };
        let member = world.fleet.get_mut(one).expect("it");
        member.versions.insert(version(1), holding);
    }
    // All of one rack, so that the spread over racks decides nothing.
    for member in world.fleet.values_mut() {
        member.rack = "same".into();
    }
    let decision = world.decide();
    let placed = decision.placement.values().next().expect("placed");
    assert!(placed.iter().eq(warm.iter()), "{placed:?}");
}

/// The broken variant: every target is ordered to the new version at once, as a plain
/// declaration of state would do. The same check must see the drop.
#[test]
fn ordering_all_at_once_is_seen_to_drop() {
    let mut rng = rng(1);
    let mut world = World::new(fleet(12, 3, 8 * GIB), vec![want("d", 1, 12, 6 * GIB)]);
    world.settle(&mut rng, 100).expect("settles");
    let new = want("d", 2, 12, 6 * GIB);
    world.declare(vec![new.clone()]);
    for orders in world.standing.values_mut().flatten() {
        orders.version = new.version;
    }
    for (name, member) in &mut world.fleet {
        follow(member, &world.standing[name], &world.sizes, world.now);
    }
    assert_eq!(world.alive(&new), 0);
}

/// Twelve engines with room for one version each, ten replicas: the two spare ones let the rest
/// swap two at a time. With twelve replicas there is no spare, and the status says so.
#[test]
fn small_instances_swap_through_spare_ones() {
    let mut rng = rng(2);
    let mut world = World::new(fleet(12, 3, 8 * GIB), vec![want("d", 1, 10, 6 * GIB)]);
    world.settle(&mut rng, 100).expect("settles");
    world.declare(vec![want("d", 2, 10, 6 * GIB)]);
    let mut least = usize::MAX;
    for _ in 0..200 {
        world.round(&mut rng);
        least = least.min(world.alive(&world.wants[0]));
    }
    assert_eq!((least, world.serving(&world.wants[0]).len()), (10, 10));
    world.declare(vec![want("d", 2, 12, 6 * GIB)]);
    world.settle(&mut rng, 100).expect("settles");
    world.declare(vec![want("d", 3, 12, 6 * GIB)]);
    let decision = world.round(&mut rng);
    let status = status(
        &world.fleet,
        &world.wants,
        &decision,
        &world.faults,
        world.now,
    );
    assert!(!status[0].is_met());
    assert_eq!(status[0].reasons[0], Why::NoSpare);
    let counts = format!("{:?}", status[0].counts);
    insta::assert_snapshot!(counts, @"Difference { declared: 12, serving: 0, other_version: 12 }");
}

/// Replicas spread over zones as evenly as room allows, whatever the fleet.
#[test]
fn zones_differ_by_one_at_most() {
    let result = runner().run(&case(), |case| {
        let mut rng = rng(case.4);
        let wants = wants_of(&case, 1)[..1].to_vec();
        let mut world = World::new(fleet(case.0, case.1, case.2 * GIB), wants);
        world.settle(&mut rng, 100);
        let want = &world.wants[0];
        let zones = world.zones(want);
        let most = zones.values().max().copied().unwrap_or(0);
        for zone in 0..case.1 {
            let label = format!("z{zone}");
            let here = zones.get(&label).copied().unwrap_or(0);
            let mut free = world.fleet.iter().filter(|(name, member)| {
                *member.zone == *label
                    && member.memory >= want.memory
                    && !world.serving(want).contains(name)
            });
            prop_assert!(most <= here + 1 || free.next().is_none(), "{zones:?}");
        }
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}

fn moved(before: &Assignments, after: &Assignments) -> usize {
    let pairs = |standing: &Assignments| {
        let mut pairs = BTreeSet::new();
        for (name, orders) in standing {
            let serve = orders.iter().filter(|one| one.duty == Duty::Serve);
            pairs.extend(serve.map(|one| (name.clone(), one.clone())));
        }
        pairs
    };
    pairs(after).difference(&pairs(before)).count()
}

/// One instance of 300 dies. Only what it held moves; placing by hash alone, the plain way,
/// moves most of the fleet in the same run.
#[test]
fn a_lost_instance_moves_only_its_own() {
    let mut rng = rng(4);
    let wants: Vec<_> = (0..10)
        .map(|i| want(&format!("d{i}"), i, 20, 3 * GIB))
        .collect();
    let mut world = World::new(fleet(300, 3, 8 * GIB), wants);
    world.settle(&mut rng, 200).expect("settles");
    let before = world.standing.clone();
    let lost = before.iter().find(|(_, orders)| !orders.is_empty());
    let (lost, held) = lost.map(|(n, o)| (n.clone(), o.len())).expect("one");
    world.fleet.remove(&lost);
    let after = world.decide().orders;
    let plain = |count: usize| -> Assignments {
        let all = world
            .wants
            .iter()
            .flat_map(|w| (0..w.replicas).map(move |r| (w, r)));
        let mut standing = Assignments::new();
        for (i, (want, _)) in all.enumerate() {
            let one = Assignment {
                deployment: want.deployment.clone(),
                version: want.version,
                duty: Duty::Serve,
            };
            let place = i * 7919 % count;
            standing.entry(name(place)).or_default().push(one);
        }
        standing
    };
    let by_hash = moved(&plain(300), &plain(299));
    println!(
        "moved {} of 200, by hash alone {by_hash}",
        moved(&before, &after)
    );
    assert_eq!(moved(&before, &after), held);
    assert!(by_hash > 100);
}

/// An agent restarts within seconds, ten times over: nothing moves. When it stays away, its
/// replica moves once, and its return moves nothing back.
#[test]
fn flapping_instance_moves_nothing() {
    let mut rng = rng(5);
    let mut world = World::new(fleet(9, 3, 8 * GIB), vec![want("d", 1, 6, 6 * GIB)]);
    world.settle(&mut rng, 100).expect("settles");
    let placed = world.serving(&world.wants[0])[0].clone();
    for _ in 0..10 {
        let away = Health::Unreachable(world.now);
        world.fleet.get_mut(&placed).expect("it").health = away;
        world.now = world.now + Millis(HOLD_DOWN.0 - 1);
        assert!(world.decide().changed.is_empty());
        let up = Health::Up(world.now);
        world.fleet.get_mut(&placed).expect("it").health = up;
        assert!(world.decide().changed.is_empty());
    }
    world.fleet.get_mut(&placed).expect("it").health = Health::Unreachable(world.now);
    world.now = world.now + HOLD_DOWN;
    let before = world.standing.clone();
    let after = world.decide().orders;
    assert_eq!(moved(&before, &after), 1);
    for _ in 0..40 {
        world.round(&mut rng);
    }
    let gone = world.fleet.get_mut(&placed).expect("it");
    gone.health = Health::Up(world.now);
    gone.versions.clear();
    let stood = world.standing.clone();
    world.now = world.now + Millis::secs(1000);
    world.settle(&mut rng, 100).expect("settles");
    assert_eq!(moved(&stood, &world.standing), 0);
}

/// Engines that hold one version at a time, with memory for two: an instance keeps answering
/// from the old version until the new one's chunks are all there, so that a swap costs a load and
/// not a copy. Drained first, it would answer nothing for as long as its link takes for a copy.
#[test]
fn single_engines_fetch_before_they_swap() {
    let mut rng = rng(5);
    let mut all = fleet(12, 3, 64 * GIB);
    for member in all.values_mut() {
        member.single_version = true;
    }
    let mut world = World::new(all, vec![want("d", 1, 10, 6 * GIB)]);
    world.settle(&mut rng, 100).expect("settles");
    world.declare(vec![want("d", 2, 10, 6 * GIB)]);
    let (mut drained, mut least) = (0, usize::MAX);
    for _ in 0..200 {
        let before = world.standing.clone();
        let decision = world.decide();
        for name in &decision.changed {
            let is_drain = |a: &&Assignment| a.duty == Duty::Drain;
            let new_drains = decision.orders[name].iter().filter(is_drain);
            let fresh = new_drains.filter(|a| !before[name].contains(a)).count();
            let placed = decision.placement[&world.wants[0].deployment].contains(name);
            let held = world.fleet[name].versions.get(&version(2));
            let there = held.is_some_and(|held| held.stage == Stage::Fetched(100));
            assert!(fresh == 0 || !placed || there, "{name} drained unfetched");
            drained += fresh;
        }
        world.round(&mut rng);
        least = least.min(world.alive(&world.wants[0]));
    }
    let serving = world.serving(&world.wants[0]).len();
    // Ten swaps, and the spare instance that stood in for them in the end.
    assert_eq!((drained, least, serving), (11, 10, 10));
}
