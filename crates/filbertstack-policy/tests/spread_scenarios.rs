//! Tests of events during a copy: regions and zones, a second version, a rollback, joins and the
//! loss of the leader. They also compare copies that weigh time with copies that weigh origin
//! bytes.

mod spread_model;

use filbertstack_core::declare::Weigh;

use spread_model::Faults;
use spread_model::Outcome;
use spread_model::Setting;
use spread_model::mesh;
use spread_model::mesh::Event;
use spread_model::mesh::MeshConfig;

fn run(targets: usize, mesh: MeshConfig, events: &[(u64, Event)]) -> Outcome {
    mesh::run(mesh, &Setting::new(targets, false, Faults::None), events)
}

// Six regions want a version at the same time. One copy leaves the origin and one crosses into each
// other region, in little more time than one region needs.
#[test]
fn one_copy_crosses_into_each_region() {
    let six_regions = MeshConfig {
        regions: 6,
        ..MeshConfig::chosen()
    };
    let outcome = run(300, six_regions, &[]);
    insta::assert_debug_snapshot!((outcome.time, outcome.origin_copies, outcome.region_copies));
    assert!(
        outcome.origin_copies <= 1.05 && outcome.region_copies <= 5.25,
        "{outcome:?}"
    );
    assert!(outcome.ratio <= 1.2, "{outcome:?}");
}

// A region has two zones. If each zone has its own ring, most chunks stay in their zone. Otherwise
// half of them cross.
#[test]
fn zone_first_keeps_chunks_in_their_zone() {
    let region_rings = MeshConfig {
        zones: 2,
        ..MeshConfig::chosen()
    };
    let zone_rings = MeshConfig {
        zone_first: true,
        ..region_rings
    };
    let outcomes = [region_rings, zone_rings].map(|mesh| run(300, mesh, &[]));
    let figures = outcomes.map(|outcome| (outcome.time, outcome.zone_copies / 300.0));
    insta::assert_debug_snapshot!(figures);
    assert!(
        outcomes[1].zone_copies <= 0.25 * outcomes[0].zone_copies,
        "{outcomes:?}"
    );
    assert!(outcomes[1].ratio <= 1.2, "{outcomes:?}");
}

// A second version, which shares half of its chunks with the first, is published after half of the
// first copy's time. Both copies finish as soon as their 384 distinct chunks allow, and each chunk
// is sent once.
#[test]
fn second_version_shares_common_chunks() {
    let events = [(128, Event::Publish(128..384))];
    let outcome = run(100, MeshConfig::chosen(), &events);
    insta::assert_debug_snapshot!((outcome.time, outcome.origin_copies));
    // The limit is three quarters of a window for one and a half times the chunks.
    assert!(
        outcome.time <= 1.10 * 0.75 && outcome.origin_copies <= 1.05 * 1.5,
        "{outcome:?}"
    );
}

// A second version is published and rolled back during the copy of the first. The first copy loses
// only the rounds that the second one took, and no target continues to fetch the second version.
#[test]
fn rollback_costs_only_its_own_rounds() {
    let events = [
        (64, Event::Publish(256..512)),
        (96, Event::Retire(256..512)),
    ];
    let outcome = run(100, MeshConfig::chosen(), &events);
    insta::assert_debug_snapshot!((outcome.time, outcome.origin_copies));
    let lost = 32.0 / 512.0;
    assert!(outcome.time <= 1.10 * (0.5 + lost), "{outcome:?}");
    assert!(
        outcome.origin_copies <= 1.0 + 2.0 * lost * 2.0 + 0.05,
        "{outcome:?}"
    );
}

// Fifty more targets join after half of the time. The other targets serve them without further
// bytes from the origin.
#[test]
fn joining_targets_add_no_origin_copies() {
    let outcome = run(100, MeshConfig::chosen(), &[(128, Event::Join(50))]);
    insta::assert_debug_snapshot!((outcome.time, outcome.origin_copies));
    assert!(outcome.origin_copies <= 1.05, "{outcome:?}");
    assert!(outcome.time <= 0.25 + 1.10 * 0.5, "{outcome:?}");
}

// The leader is lost for 50 rounds during a copy, and the next one does not know the earlier
// grants. The agents continue with the chunks that have left the origin, and no chunk leaves it a
// second time.
#[test]
fn copy_continues_without_a_leader() {
    let outcome = run(100, MeshConfig::chosen(), &[(40, Event::LoseLeader(50))]);
    insta::assert_debug_snapshot!((outcome.time, outcome.origin_copies));
    assert!(
        outcome.origin_copies <= 1.05 && outcome.ratio <= 1.25,
        "{outcome:?}"
    );
}

// Shortly before the origin has sent all chunks, one target in five slows down to a sixtieth of its
// speed, and some of these hold grants. If time weighs more, their chunks are soon imported again.
// If origin bytes weigh more, the leader waits longer and fewer chunks are imported twice.
#[test]
fn weigh_trades_time_for_origin_bytes() {
    let figures = [Weigh::Time, Weigh::Origin].map(|weigh| {
        let mesh = MeshConfig {
            weigh,
            ..MeshConfig::chosen()
        };
        let outcome = run(100, mesh, &[(110, Event::SlowDown(5, 60))]);
        (weigh, outcome.time, outcome.origin_copies)
    });
    insta::assert_debug_snapshot!(figures);
    assert!(
        figures[0].1 < figures[1].1 && figures[0].2 > figures[1].2,
        "{figures:?}"
    );
}

// The model misses its goal if either of two decisions is left out: the turns, or repeated requests
// within a round.
#[test]
fn goal_is_missed_without_turns_or_repeated_requests() {
    let without_turns = run(300, MeshConfig::without_turns(), &[]);
    assert!(
        without_turns.ratio > 1.10,
        "without turns the goal is missed: {without_turns:?}"
    );
    let single_exchange = MeshConfig {
        exchanges: 1,
        late_percent: 10,
        ..MeshConfig::chosen()
    };
    let single_exchange = run(300, single_exchange, &[]);
    assert!(
        single_exchange.ratio > 1.10,
        "without repeated requests the goal is missed: {single_exchange:?}"
    );
}
