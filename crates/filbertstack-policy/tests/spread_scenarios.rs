//! What happens during a copy: regions and zones, a second version, a rollback, joins, a lost
//! leader; and what weighing time or origin bytes buys.

mod spread_model;

use filbertstack_core::declare::Weigh;

use spread_model::Faults;
use spread_model::Outcome;
use spread_model::Setting;
use spread_model::mesh;
use spread_model::mesh::Event;
use spread_model::mesh::Mesh;

fn run(targets: usize, mesh: Mesh, events: &[(u64, Event)]) -> Outcome {
    mesh::run(mesh, &Setting::new(targets, false, Faults::None), events)
}

// Six regions want a version at once. One copy leaves the origin and one crosses into each other
// region, in little more time than one region needs.
#[test]
fn one_copy_crosses_into_each_region() {
    let far = Mesh {
        regions: 6,
        ..Mesh::chosen()
    };
    let outcome = run(300, far, &[]);
    insta::assert_debug_snapshot!((outcome.time, outcome.origin, outcome.regions));
    assert!(
        outcome.origin <= 1.05 && outcome.regions <= 5.25,
        "{outcome:?}"
    );
    assert!(outcome.ratio <= 1.2, "{outcome:?}");
}

// Two zones of one region. With rings of their own most chunks stay in their zone; without, half
// of them cross.
#[test]
fn zone_first_keeps_chunks_in_their_zone() {
    let mixed = Mesh {
        zones: 2,
        ..Mesh::chosen()
    };
    let first = Mesh {
        zone_first: true,
        ..mixed
    };
    let outcomes = [mixed, first].map(|mesh| run(300, mesh, &[]));
    let figures = outcomes.map(|outcome| (outcome.time, outcome.zones / 300.0));
    insta::assert_debug_snapshot!(figures);
    assert!(
        outcomes[1].zones <= 0.25 * outcomes[0].zones,
        "{outcomes:?}"
    );
    assert!(outcomes[1].ratio <= 1.2, "{outcomes:?}");
}

// A second version, half of whose chunks the first has too, is published when half of the first's
// time has passed. Both are done as soon as their 384 distinct chunks can be, each sent once.
#[test]
fn a_second_version_in_the_middle_shares_chunks() {
    let events = [(128, Event::Publish(128..384))];
    let outcome = run(100, Mesh::chosen(), &events);
    insta::assert_debug_snapshot!((outcome.time, outcome.origin));
    // Three quarters of a window for one and a half times the chunks.
    assert!(
        outcome.time <= 1.10 * 0.75 && outcome.origin <= 1.05 * 1.5,
        "{outcome:?}"
    );
}

// A version is published and rolled back while the first is still being copied: the first loses
// the rounds that the other took, no more, and nobody goes on fetching the other.
#[test]
fn a_rollback_in_the_middle_costs_what_was_moved() {
    let events = [
        (64, Event::Publish(256..512)),
        (96, Event::Retire(256..512)),
    ];
    let outcome = run(100, Mesh::chosen(), &events);
    insta::assert_debug_snapshot!((outcome.time, outcome.origin));
    let lost = 32.0 / 512.0;
    assert!(outcome.time <= 1.10 * (0.5 + lost), "{outcome:?}");
    assert!(
        outcome.origin <= 1.0 + 2.0 * lost * 2.0 + 0.05,
        "{outcome:?}"
    );
}

// Fifty targets more join when half of the time has passed. They are served by those that are
// there, without a further byte from the origin.
#[test]
fn targets_that_join_in_the_middle_are_served_by_the_others() {
    let outcome = run(100, Mesh::chosen(), &[(128, Event::Join(50))]);
    insta::assert_debug_snapshot!((outcome.time, outcome.origin));
    assert!(outcome.origin <= 1.05, "{outcome:?}");
    assert!(outcome.time <= 0.25 + 1.10 * 0.5, "{outcome:?}");
}

// The leader is lost for 50 rounds in the middle of a copy, and the next one knows no grant. The
// agents go on with what has left the origin; no chunk leaves it a second time.
#[test]
fn a_copy_goes_on_without_a_leader() {
    let outcome = run(100, Mesh::chosen(), &[(40, Event::Lead(50))]);
    insta::assert_debug_snapshot!((outcome.time, outcome.origin));
    assert!(
        outcome.origin <= 1.05 && outcome.ratio <= 1.25,
        "{outcome:?}"
    );
}

// Proximity the end of the origin's part, one target in five falls to a sixtieth of its speed, some with grants.
// Who weighs time has their chunks brought in again soon; who weighs origin bytes waits longer,
// and pulls none of them twice.
#[test]
fn weighing_time_or_origin_buys_what_it_says() {
    let figures = [Weigh::Time, Weigh::Origin].map(|weigh| {
        let mesh = Mesh {
            weigh,
            ..Mesh::chosen()
        };
        let outcome = run(100, mesh, &[(110, Event::Crawl(5, 60))]);
        (weigh, outcome.time, outcome.origin)
    });
    insta::assert_debug_snapshot!(figures);
    assert!(
        figures[0].1 < figures[1].1 && figures[0].2 > figures[1].2,
        "{figures:?}"
    );
}

// The same model without one of the decisions each: what the decision is there for comes back.
#[test]
fn each_decision_is_needed() {
    let turnless = run(300, Mesh::turnless(), &[]);
    assert!(
        turnless.ratio > 1.10,
        "without turns the goal is missed: {turnless:?}"
    );
    let once = Mesh {
        steps: 1,
        late: 10,
        ..Mesh::chosen()
    };
    let once = run(300, once, &[]);
    assert!(
        once.ratio > 1.10,
        "without a second request it is missed too: {once:?}"
    );
}
