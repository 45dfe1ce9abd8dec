//! Measurements in simulated time, the same on each run: traffic at rest and the time without a
//! leader.

use std::time::Duration;

use filbertstack_log::Limits;

use crate::support::world::Variant;
use crate::support::world::World;

/// The overhead of a message on the link, in bytes: the length of its frame, and the headers of its
/// packet and of a separate acknowledgement, which is often combined with the answer in practice.
const OVERHEAD_BYTES: u64 = 4 + 52 + 52;
/// The bandwidth that a node may spend on control, in bytes per second.
const MAX_BYTES_PER_S: u64 = 8_000;
/// The time for which a group is measured at rest, in seconds.
const MEASURED_S: u64 = 20;

/// The number of bursts; they are some heartbeats apart.
const BURSTS: u64 = 20;

/// The leader has the most traffic. At rest it must leave bandwidth for the other tasks of control.
#[test]
fn traffic_at_rest_stays_in_bounds() {
    let mut lines = Vec::new();
    for voters in [3, 5, 8] {
        let mut world = World::new(1, voters, Variant::default());
        let all: Vec<usize> = (0..voters).collect();
        let leader = world.elect(&all);
        world.run(Duration::from_secs(2));
        world.traffic.clear();
        world.run(Duration::from_secs(MEASURED_S));
        let most = world
            .traffic
            .values()
            .max_by_key(|t| t.messages)
            .copied()
            .unwrap();
        assert_eq!(world.leaders(), [leader]);
        let messages = most.messages / MEASURED_S;
        let bytes = (most.bytes + most.messages * OVERHEAD_BYTES) / MEASURED_S;
        assert!(bytes <= MAX_BYTES_PER_S, "{voters} voters: {bytes}");
        lines.push(format!(
            "{voters} voters: the leader {messages} messages/s, {bytes} bytes/s"
        ));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// The cost of one commit in messages, bytes and syncs, alone and in a burst of proposals. A burst
/// must share messages and syncs; otherwise its cost would grow with its length.
#[test]
fn a_burst_shares_messages_and_syncs() {
    let mut lines = Vec::new();
    for (voters, burst, most) in [(3, 1, 14), (3, 50, 1), (5, 1, 28), (5, 50, 2)] {
        let roomy = Variant {
            limits: Some(Limits::default()),
            ..Variant::default()
        };
        let mut world = World::new(1, voters, roomy);
        let all: Vec<usize> = (0..voters).collect();
        let leader = world.elect(&all);
        world.run(Duration::from_secs(2));
        world.traffic.clear();
        let syncs = world.syncs(leader);
        for _ in 0..BURSTS {
            world.propose_burst(leader, burst);
            world.run(Duration::from_millis(300));
        }
        let commits = BURSTS * burst;
        assert_eq!(world.checker.accepted() as u64, commits);
        let total = world
            .traffic
            .values()
            .max_by_key(|t| t.messages)
            .copied()
            .unwrap();
        let syncs = world.syncs(leader) - syncs;
        assert!(
            total.messages <= commits * most,
            "{} for {commits}",
            total.messages
        );
        lines.push(format!(
            "{voters} voters, {burst} at once: {} messages, {} bytes, {syncs} syncs for {commits}",
            total.messages, total.bytes
        ));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// The leader dies under a steady load. The test measures the time until the next request is
/// accepted.
#[test]
fn a_dead_leader_is_replaced_within_three_seconds() {
    let mut spans: Vec<u64> = (0..200).map(time_without_leader).collect();
    spans.sort_unstable();
    let at = |part: usize| spans[(spans.len() - 1) * part / 100];
    assert!(at(99) <= 3_000);
    insta::assert_snapshot!(format!(
        "p50 {} ms, p95 {} ms, p99 {} ms, most {} ms",
        at(50),
        at(95),
        at(99),
        at(100)
    ));
}

fn time_without_leader(seed: u64) -> u64 {
    let mut world = World::new(seed, 3, Variant::default());
    let old = world.elect(&[0, 1, 2]);
    world.propose_at(old, None);
    world.run(Duration::from_millis(500 + seed));
    let told = world.checker.accepted();
    world.kill(old);
    let others: Vec<usize> = (0..3).filter(|at| *at != old).collect();
    let mut slices = 0;
    while world.checker.accepted() == told {
        if let Some(leader) = world.leaders().into_iter().find(|at| others.contains(at)) {
            world.propose_at(leader, None);
        }
        world.run(Duration::from_millis(10));
        slices += 1;
    }
    slices * 10
}
