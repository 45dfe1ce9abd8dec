//! Tests of the leader's decisions: the upstreams of each target, and the grants to import chunks.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use filbertstack_core::Digest;
use filbertstack_core::Millis;
use filbertstack_core::declare::Weigh;
use filbertstack_core::names::RegionName;
use filbertstack_policy::spread::grants::Answer;
use filbertstack_policy::spread::grants::GrantConfig;
use filbertstack_policy::spread::grants::Grants;
use filbertstack_policy::spread::grants::ImportSource;
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

fn grants(weigh: Weigh, regions: &[&str]) -> (Grants, Vec<TargetKey>) {
    let (_, keys) = ring(3 * regions.len());
    let mut grants = Grants::new(GrantConfig::of(weigh));
    for (at, key) in keys.iter().enumerate() {
        let region: RegionName = regions[at / 3].parse().unwrap();
        grants.join(*key, &region);
    }
    (grants, keys)
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
fn every_target_has_as_many_downstreams_as_upstreams() {
    let (plan, keys) = ring(300);
    let mut downstreams: BTreeMap<_, usize> = BTreeMap::new();
    for &key in &keys {
        let upstreams = plan.upstreams(key);
        assert_eq!(upstreams.len(), 12);
        assert!(upstreams.iter().all(|link| link.target != key));
        let places: BTreeSet<_> = upstreams.iter().map(|link| link.position.place).collect();
        assert_eq!(places.len(), 12);
        for link in upstreams {
            *downstreams.entry(link.target).or_default() += 1;
        }
    }
    assert!(downstreams.values().all(|&count| count == 12));
}

// An instance is lost. Exactly the dozen targets that had it as an upstream get new upstreams, and
// each gets another one in its place.
#[test]
fn loss_relinks_a_dozen_targets() {
    let (mut plan, keys) = ring(300);
    let before: Vec<_> = keys.iter().map(|&key| plan.upstreams(key)).collect();
    let relinked: BTreeSet<_> = plan.leave(keys[100]).into_iter().collect();
    assert_eq!(relinked.len(), 12);
    for (key, before) in keys
        .iter()
        .zip(before)
        .filter(|(key, _)| **key != keys[100])
    {
        let after = plan.upstreams(*key);
        assert_eq!(after != before, relinked.contains(key));
        assert!(after.len() >= 11 && after.iter().all(|link| link.target != keys[100]));
    }
    let joined = plan.join(target(300, 0));
    assert_eq!(joined.relink, plan.downstreams(joined.key));
    assert_eq!(joined.relink.len(), 12);
}

// A thousand targets join one by one. All of them get new upstreams only when the strides of the
// ring change, so each gets a few dozen lists in total instead of a thousand.
#[test]
fn joins_relink_few_targets() {
    let mut plan = Plan::new(PlanConfig::default());
    let relinked = (0..1000).map(|at| plan.join(target(at, 0)).relink.len());
    let relinked: Vec<_> = relinked.collect();
    assert!(
        relinked.iter().filter(|&&count| count > 12).count() <= 10,
        "{relinked:?}"
    );
    assert!(relinked.iter().sum::<usize>() <= 16 * 1000);
}

#[test]
fn zone_ring_precedes_the_region_ring() {
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

// Eleven entries ask for grants at the same time, repeatedly. Each chunk is granted once, few
// grants are outstanding at a time, and no target holds two while another holds none.
#[test]
fn each_chunk_is_granted_once() {
    let (mut grants, _) = grants(Weigh::Time, &["van"]);
    grants.publish(digests(20));
    let mut granted = Vec::new();
    let mut outstanding = grants.grant(Millis::ZERO);
    assert_eq!(outstanding.len(), 4);
    let holders: BTreeSet<_> = outstanding[..3].iter().map(|grant| grant.to).collect();
    assert_eq!(holders.len(), 3);
    for _ in 0..11 {
        assert!(grants.grant(Millis::ZERO).is_empty());
        grants.publish(digests(20));
    }
    while let Some(grant) = outstanding.pop() {
        assert_eq!(grant.from, ImportSource::Origin);
        granted.push(grant.chunk);
        grants.completed(grant.chunk, grant.to, Millis(100));
        outstanding.extend(grants.grant(Millis(100)));
    }
    granted.sort_unstable();
    let mut all = digests(20);
    all.sort_unstable();
    assert_eq!(granted, all);
    assert_eq!(grants.origin_grants(), 20);
}

#[test]
fn expired_or_orphaned_grant_goes_to_another_target() {
    let (mut grants, _) = grants(Weigh::Time, &["van"]);
    grants.publish(digests(1));
    let first = grants.grant(Millis::ZERO)[0];
    assert!(grants.grant(Millis(9_999)).is_empty());
    let second = grants.grant(Millis::secs(10))[0];
    assert_ne!(second.to, first.to);
    grants.leave(second.to, Millis::secs(10));
    let third = grants.grant(Millis::secs(10))[0];
    assert!(third.to != second.to && third.chunk == first.chunk);
    grants.failed(third.chunk, third.to);
    assert_eq!(grants.grant(Millis::secs(10)).len(), 1);
}

// Of two regions, one gets a chunk from the origin. The other gets it from the first region after
// it has arrived there.
#[test]
fn second_region_imports_from_the_first() {
    let (mut grants, _) = grants(Weigh::Time, &["van", "kel"]);
    grants.publish(digests(1));
    let granted = grants.grant(Millis::ZERO);
    assert_eq!(granted.len(), 1);
    grants.completed(granted[0].chunk, granted[0].to, Millis(100));
    let next = grants.grant(Millis(100));
    assert_eq!(next.len(), 1);
    assert_eq!(next[0].from, ImportSource::Peer(granted[0].to));
    assert_eq!(grants.origin_grants(), 1);
}

// The instance that imported a chunk is lost before it passed the chunk on, and agents that ask for
// it are the only sign. At first they are referred to that instance, and only one lease later the
// chunk is imported again.
#[test]
fn lost_chunk_is_imported_again() {
    let (mut grants, keys) = grants(Weigh::Time, &["van"]);
    grants.publish(digests(1));
    let chunk = digests(1)[0];
    let asker = keys[1];
    assert!(matches!(
        grants.ask(chunk, asker, Millis::ZERO),
        Answer::Wait { .. }
    ));
    let grant = grants.grant(Millis::ZERO)[0];
    grants.completed(chunk, grant.to, Millis(100));
    let others: Vec<_> = keys
        .iter()
        .copied()
        .filter(|key| *key != grant.to)
        .collect();
    let at = |secs| Millis::secs(secs);
    assert_eq!(
        grants.ask(chunk, others[0], at(1)),
        Answer::Holder(grant.to)
    );
    assert_eq!(
        grants.ask(chunk, others[1], at(1)),
        Answer::Holder(grant.to)
    );
    let after = at(9);
    assert_eq!(grants.ask(chunk, others[0], at(2)), Answer::Wait { after });
    let again = grants.ask(chunk, others[0], at(11));
    assert!(matches!(again, Answer::Granted(again) if again.to == others[0]));
    grants.completed(chunk, others[0], at(12));
    grants.leave(others[0], at(60));
    assert!(matches!(
        grants.ask(chunk, others[1], at(13)),
        Answer::Granted(_)
    ));
    let unknown = Digest::of(b"unknown");
    assert_eq!(grants.ask(unknown, asker, at(60)), Answer::Unknown);
}

// The holder of a chunk is lost a moment after it imported the chunk. If time weighs more, the
// chunk is granted again before any agent misses it.
#[test]
fn chunk_lost_with_its_holder_is_granted_again() {
    for (weigh, again) in [(Weigh::Time, 1), (Weigh::Origin, 0)] {
        let (mut grants, _) = grants(weigh, &["van"]);
        grants.publish(digests(1));
        let grant = grants.grant(Millis::ZERO)[0];
        grants.completed(grant.chunk, grant.to, Millis(100));
        grants.leave(grant.to, Millis(200));
        assert_eq!(grants.grant(Millis(200)).len(), again);
    }
}

// A new leader does not know the earlier grants. It grants nothing for one lease, learns which
// chunks have arrived, and has only the others imported.
#[test]
fn new_leader_repeats_no_grant() {
    let (mut grants, keys) = grants(Weigh::Time, &["van"]);
    grants.recover(digests(3), Millis::ZERO);
    grants.completed(digests(3)[0], keys[0], Millis(10));
    assert!(grants.grant(Millis(9_999)).is_empty());
    grants.completed(digests(3)[1], keys[1], Millis(9_999));
    let granted = grants.grant(Millis::secs(10));
    let chunks: Vec<_> = granted.iter().map(|grant| grant.chunk).collect();
    assert_eq!(chunks, [digests(3)[2]]);
}

#[test]
fn retired_version_gets_no_grants() {
    let (mut grants, _) = grants(Weigh::Time, &["van"]);
    grants.publish(digests(10));
    let outstanding = grants.grant(Millis::ZERO);
    grants.retire(digests(10));
    assert!(grants.grant(Millis::secs(60)).is_empty());
    grants.completed(outstanding[0].chunk, outstanding[0].to, Millis::secs(61));
    grants.publish(digests(10));
    assert_eq!(grants.grant(Millis::secs(61)).len(), 4);
}
