//! The decisions of the leader: links, and who may bring a chunk in.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use filbertstack_core::Digest;
use filbertstack_core::Millis;
use filbertstack_core::declare::Weigh;
use filbertstack_core::names::RegionName;
use filbertstack_policy::spread::grants::Answer;
use filbertstack_policy::spread::grants::GrantConfig;
use filbertstack_policy::spread::grants::Grants;
use filbertstack_policy::spread::grants::ImportFrom;
use filbertstack_policy::spread::plan::Plan;
use filbertstack_policy::spread::plan::PlanConfig;
use filbertstack_policy::spread::plan::Target;
use filbertstack_policy::spread::plan::TargetKey;
use filbertstack_policy::spread::plan::strides;
use filbertstack_policy::spread::pull::Proximity;

fn target(at: usize, zone: usize) -> Target {
    Target {
        name: format!("t{at}").parse().unwrap(),
        zone: format!("z{zone}").parse().unwrap(),
        region: "van".parse().unwrap(),
    }
}

fn ring(count: usize) -> (Plan, Vec<TargetKey>) {
    let mut plan = Plan::new(PlanConfig::default());
    let keys = (0..count).map(|at| plan.join(target(at, 0)).key).collect();
    (plan, keys)
}

fn digests(count: u32) -> Vec<Digest> {
    (0..count).map(|at| Digest::of(&at.to_le_bytes())).collect()
}

fn tokens(weigh: Weigh, regions: &[&str]) -> (Grants, Vec<TargetKey>) {
    let (_, keys) = ring(3 * regions.len());
    let mut tokens = Grants::new(GrantConfig::of(weigh));
    for (at, key) in keys.iter().enumerate() {
        let region: RegionName = regions[at / 3].parse().unwrap();
        tokens.join(*key, &region);
    }
    (tokens, keys)
}

#[test]
fn strides_are_powers_of_two_first() {
    assert_eq!(
        strides(1000, 12),
        [1, 2, 3, 4, 6, 8, 16, 32, 64, 128, 256, 512]
    );
    assert_eq!(strides(6, 12), [1, 2, 3, 4, 5]);
    assert_eq!(strides(1, 12), [0; 0]);
    assert_eq!(strides(0, 12), [0; 0]);
}

#[test]
fn everybody_serves_as_many_as_it_is_served_by() {
    let (plan, keys) = ring(300);
    let mut downs: BTreeMap<_, usize> = BTreeMap::new();
    for &key in &keys {
        let ups = plan.upstreams(key);
        assert_eq!(ups.len(), 12);
        assert!(ups.iter().all(|link| link.target != key));
        let places: BTreeSet<_> = ups.iter().map(|link| link.position.place).collect();
        assert_eq!(places.len(), 12);
        for link in ups {
            *downs.entry(link.target).or_default() += 1;
        }
    }
    assert!(downs.values().all(|&count| count == 12));
}

// An instance is lost. Exactly those that had it as an upstream get new links, a dozen of them
// and not all; each gets another upstream in its place.
#[test]
fn a_loss_touches_a_dozen_targets() {
    let (mut plan, keys) = ring(300);
    let before: Vec<_> = keys.iter().map(|&key| plan.upstreams(key)).collect();
    let touched: BTreeSet<_> = plan.leave(keys[100]).into_iter().collect();
    assert_eq!(touched.len(), 12);
    for (key, before) in keys
        .iter()
        .zip(before)
        .filter(|(key, _)| **key != keys[100])
    {
        let after = plan.upstreams(*key);
        assert_eq!(after != before, touched.contains(key));
        assert!(after.len() >= 11 && after.iter().all(|link| link.target != keys[100]));
    }
    let joined = plan.join(target(300, 0));
    assert_eq!(joined.relink, plan.downstreams(joined.key));
    assert_eq!(joined.relink.len(), 12);
}

// A thousand targets join one by one. All of them get new links only when the ring's strides change,
// so that each gets a few dozen lists in all, not a thousand.
#[test]
fn joins_touch_few_targets() {
    let mut plan = Plan::new(PlanConfig::default());
    let touched = (0..1000).map(|at| plan.join(target(at, 0)).relink.len());
    let touched: Vec<_> = touched.collect();
    assert!(
        touched.iter().filter(|&&count| count > 12).count() <= 10,
        "{touched:?}"
    );
    assert!(touched.iter().sum::<usize>() <= 16 * 1000);
}

#[test]
fn a_zone_has_its_own_ring_before_the_regions() {
    let mut plan = Plan::new(PlanConfig {
        fanout: 4,
        zone_first: true,
    });
    let keys: Vec<_> = (0..40)
        .map(|at| plan.join(target(at, at % 2)).key)
        .collect();
    let links = plan.upstreams(keys[0]);
    let zones = links
        .iter()
        .map(|link| plan.target(link.target).unwrap().zone.as_str());
    let near: Vec<_> = zones
        .zip(&links)
        .map(|(zone, link)| (zone == "z0", link.position.proximity))
        .collect();
    assert_eq!(near[..4], [(true, Proximity::Zone); 4]);
    assert!(near[4..].contains(&(false, Proximity::Region)));
}

// Eleven entries ask for grants at once, again and again. Each chunk is granted once, few are out
// at a time, and no target holds two while another holds none.
#[test]
fn each_chunk_is_granted_once() {
    let (mut tokens, _) = tokens(Weigh::Time, &["van"]);
    tokens.publish(digests(20));
    let mut granted = Vec::new();
    let mut out = tokens.grant(Millis::ZERO);
    assert_eq!(out.len(), 4);
    let holders: BTreeSet<_> = out[..3].iter().map(|grant| grant.to).collect();
    assert_eq!(holders.len(), 3);
    for _ in 0..11 {
        assert!(tokens.grant(Millis::ZERO).is_empty());
        tokens.publish(digests(20));
    }
    while let Some(grant) = out.pop() {
        assert_eq!(grant.from, ImportFrom::Origin);
        granted.push(grant.chunk);
        tokens.completed(grant.chunk, grant.to, Millis(100));
        out.extend(tokens.grant(Millis(100)));
    }
    granted.sort_unstable();
    let mut all = digests(20);
    all.sort_unstable();
    assert_eq!(granted, all);
    assert_eq!(tokens.origin_grants(), 20);
}

#[test]
fn a_grant_that_runs_out_or_whose_holder_leaves_goes_to_another() {
    let (mut tokens, _) = tokens(Weigh::Time, &["van"]);
    tokens.publish(digests(1));
    let first = tokens.grant(Millis::ZERO)[0];
    assert!(tokens.grant(Millis(9_999)).is_empty());
    let second = tokens.grant(Millis::secs(10))[0];
    assert_ne!(second.to, first.to);
    tokens.leave(second.to, Millis::secs(10));
    let third = tokens.grant(Millis::secs(10))[0];
    assert!(third.to != second.to && third.chunk == first.chunk);
    tokens.failed(third.chunk, third.to);
    assert_eq!(tokens.grant(Millis::secs(10)).len(), 1);
}

// Two regions. A chunk leaves the origin for one of them; the other gets it from there, when it
// has arrived.
#[test]
fn a_further_region_gets_its_chunk_from_the_first() {
    let (mut tokens, _) = tokens(Weigh::Time, &["van", "kel"]);
    tokens.publish(digests(1));
    let grants = tokens.grant(Millis::ZERO);
    assert_eq!(grants.len(), 1);
    tokens.completed(grants[0].chunk, grants[0].to, Millis(100));
    let next = tokens.grant(Millis(100));
    assert_eq!(next.len(), 1);
    assert_eq!(next[0].from, ImportFrom::Peer(grants[0].to));
    assert_eq!(tokens.origin_grants(), 1);
}

// The instance that brought a chunk in is lost before it passed it on: agents that ask are the
// only sign. Before that, askers are sent to it, and only a lease later it is brought in again.
#[test]
fn a_chunk_that_nobody_has_is_brought_in_again() {
    let (mut tokens, keys) = tokens(Weigh::Time, &["van"]);
    tokens.publish(digests(1));
    let chunk = digests(1)[0];
    let asker = keys[1];
    assert!(matches!(
        tokens.ask(chunk, asker, Millis::ZERO),
        Answer::Wait { .. }
    ));
    let grant = tokens.grant(Millis::ZERO)[0];
    tokens.completed(chunk, grant.to, Millis(100));
    let others: Vec<_> = keys
        .iter()
        .copied()
        .filter(|key| *key != grant.to)
        .collect();
    let at = |secs| Millis::secs(secs);
    assert_eq!(
        tokens.ask(chunk, others[0], at(1)),
        Answer::Holder(grant.to)
    );
    assert_eq!(
        tokens.ask(chunk, others[1], at(1)),
        Answer::Holder(grant.to)
    );
    let after = at(9);
    assert_eq!(tokens.ask(chunk, others[0], at(2)), Answer::Wait { after });
    let again = tokens.ask(chunk, others[0], at(11));
    assert!(matches!(again, Answer::Granted(again) if again.to == others[0]));
    tokens.completed(chunk, others[0], at(12));
    tokens.leave(others[0], at(60));
    assert!(matches!(
        tokens.ask(chunk, others[1], at(13)),
        Answer::Granted(_)
    ));
    let unknown = Digest::of(b"unknown");
    assert_eq!(tokens.ask(unknown, asker, at(60)), Answer::Unknown);
}

// The holder of a chunk is lost a moment after it brought it in. Who weighs time does not wait
// until somebody misses the chunk.
#[test]
fn a_chunk_lost_with_its_holder_is_granted_anew() {
    for (weigh, again) in [(Weigh::Time, 1), (Weigh::Origin, 0)] {
        let (mut tokens, _) = tokens(weigh, &["van"]);
        tokens.publish(digests(1));
        let grant = tokens.grant(Millis::ZERO)[0];
        tokens.completed(grant.chunk, grant.to, Millis(100));
        tokens.leave(grant.to, Millis(200));
        assert_eq!(tokens.grant(Millis(200)).len(), again);
    }
}

// A new leader knows no grant. It grants nothing for a lease, hears what has landed, and brings in
// only what did not.
#[test]
fn a_new_leader_repeats_no_grant() {
    let (mut tokens, keys) = tokens(Weigh::Time, &["van"]);
    tokens.recover(digests(3), Millis::ZERO);
    tokens.completed(digests(3)[0], keys[0], Millis(10));
    assert!(tokens.grant(Millis(9_999)).is_empty());
    tokens.completed(digests(3)[1], keys[1], Millis(9_999));
    let granted = tokens.grant(Millis::secs(10));
    let chunks: Vec<_> = granted.iter().map(|grant| grant.chunk).collect();
    assert_eq!(chunks, [digests(3)[2]]);
}

#[test]
fn a_retired_version_is_granted_no_more() {
    let (mut tokens, _) = tokens(Weigh::Time, &["van"]);
    tokens.publish(digests(10));
    let out = tokens.grant(Millis::ZERO);
    tokens.retire(digests(10));
    assert!(tokens.grant(Millis::secs(60)).is_empty());
    tokens.completed(out[0].chunk, out[0].to, Millis::secs(61));
    tokens.publish(digests(10));
    assert_eq!(tokens.grant(Millis::secs(61)).len(), 4);
}
