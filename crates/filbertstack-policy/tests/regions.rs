//! Tests of the rules that keep requests in the regions that their routes and organisations allow.

mod plain;

use std::collections::BTreeSet;
use std::sync::Arc;

use filbertstack_core::Millis;
use filbertstack_core::serving::Residency;
use filbertstack_policy::begin::Work;
use filbertstack_policy::crashes::Verdict;
use filbertstack_policy::dispatch::ChooseError;
use filbertstack_policy::dispatch::Dispatcher;
use filbertstack_policy::dispatch::TargetId;
use filbertstack_policy::dispatch::TargetRequest;
use filbertstack_policy::dispatch::TargetSpec;
use filbertstack_policy::permit;
use filbertstack_policy::permit::Obstacle;
use filbertstack_policy::permit::Permit;
use filbertstack_policy::permit::Way;
use filbertstack_policy::residency::Place;
use filbertstack_policy::residency::Scope;
use filbertstack_policy::residency::find_scope;
use filbertstack_policy::residency::reserve;
use filbertstack_policy::subset;
use filbertstack_policy::subset::Candidate;

const NOW: Millis = Millis(5_000);

fn only(regions: &[&str]) -> Residency {
    Residency::Only(regions.iter().map(|region| (*region).into()).collect())
}

/// Returns a dispatcher with a target in the north, one in the south and one in a zone without a region.
fn known() -> Dispatcher {
    let mut dispatcher = plain::dispatcher(&[]);
    let regions = [("n", Some("north")), ("s", Some("south")), ("x", None)];
    let specs = regions.map(|(id, region)| TargetSpec {
        region: region.map(Arc::from),
        ..plain::spec(id)
    });
    dispatcher.set_targets(specs.into());
    dispatcher
}

fn choose(
    dispatcher: &mut Dispatcher,
    regions: &[&str],
    tried: &[TargetId],
) -> Result<TargetId, ChooseError> {
    let wanted = TargetRequest {
        contender: None,
        residency: Some(&only(regions)),
        service: "api",
        prompt: 0,
        goal: Millis(500),
        tried,
        work: Work::default(),
    };
    dispatcher.choose(NOW, &wanted)
}

/// Guards against a target in no allowed or no known region that is chosen, and against requests that wait for a
/// target in an allowed region where none is registered. One that is registered may be waited for.
#[test]
fn only_targets_of_allowed_regions_are_chosen() {
    let mut dispatcher = known();
    let (north, either) = (["north"], ["north", "south"]);
    let tried: [TargetId; 1] = ["n".into()];
    let mut plain: BTreeSet<TargetId> = BTreeSet::new();
    for _ in 0..50 {
        assert_eq!(choose(&mut dispatcher, &north, &[]), Ok("n".into()));
        assert_eq!(choose(&mut dispatcher, &either, &tried), Ok("s".into()));
        plain.extend(plain::choose(&mut dispatcher, NOW));
    }
    assert_eq!(plain.len(), 3, "unrestricted requests go everywhere");
    for none in [&["west"][..], &[]] {
        let refused = choose(&mut dispatcher, none, &[]);
        assert!(matches!(refused, Err(ChooseError::NoRegion { .. })));
    }
    let refused = choose(&mut dispatcher, &north, &tried);
    assert!(matches!(refused, Err(ChooseError::NoTarget { .. })));
}

/// Guards against a request that is sent although the regions of its route were replaced after its target had
/// been chosen.
#[test]
fn regions_are_checked_again_before_each_send() {
    let dispatcher = known();
    let bound = only(&["south"]);
    let obstacle = |id: &str, way| dispatcher.send_obstacle(NOW, id, NOW, way, Some(&bound));
    assert_eq!(obstacle("s", Way::New), None);
    let unbound = dispatcher.send_obstacle(NOW, "x", NOW, Way::New, None);
    assert_eq!(unbound, None);
    for way in [Way::New, Way::Retry, Way::Resume, Way::Resend] {
        for (id, verdict) in [("n", Verdict::Allowed), ("x", Verdict::Probe)] {
            let permit = permit::may_send_to(way, verdict, obstacle(id, way));
            assert_eq!(permit, Permit::NotThere(Obstacle::NotAllowed), "{way:?}");
        }
    }
}

/// Guards against entries that know no target of a region to which requests are bound, since they use 48 of
/// hundreds, and against more than 48, whose load reports would not fit in the budget of a node.
#[test]
fn an_entry_knows_targets_of_each_named_region() {
    let named = (0..600).map(|n| (format!("t{n}"), format!("z{}", n.max(5) % 100)));
    let named: Vec<(String, String)> = named.collect();
    let candidates = named.iter().enumerate();
    let candidates = candidates.map(|(key, (name, zone))| Candidate { key, name, zone });
    let candidates: Vec<Candidate<'_, usize>> = candidates.collect();
    let region_of = |zone: &str| (zone == "z5").then_some("small");
    let count = |used: &[usize]| used.iter().filter(|n| named[**n].1 == "z5").count();
    let mut unreserved = usize::MAX;
    for n in 0..50 {
        let entry = format!("entry-{n}");
        let reserved = reserve(&entry, &candidates, &["small"], region_of);
        let select = |reserved: &[usize]| {
            subset::select(&entry, "z1", &candidates, |key| reserved.contains(&key))
        };
        let used = select(&reserved);
        assert!(used.len() == subset::SIZE && count(&used) >= 3);
        unreserved = unreserved.min(count(&select(&[])));
    }
    assert_eq!(unreserved, 0, "chance alone leaves an entry without");
}

/// Guards against callers who are told entries far away while there are some near, or just one.
#[test]
fn callers_are_told_the_nearest_entries_of_which_there_are_two() {
    let place = |(zone, region)| Place { zone, region };
    let (a, b, c) = (Some("a"), Some("b"), Some("c"));
    let entries = [("a1", a), ("a1", a), ("a2", a), ("b1", b), ("c1", c)];
    let entries = entries.into_iter().chain([("x", None), ("y", None)]);
    let places: Vec<Place<'_>> = entries.clone().map(place).collect();
    let scope = |caller, host: &Residency| find_scope(&places, place(caller), host);
    let anywhere = Residency::Anywhere;
    assert_eq!(scope(("a1", a), &anywhere), Scope::Zone);
    assert_eq!(scope(("a2", a), &anywhere), Scope::Region);
    let host = only(&["b", "c"]);
    assert_eq!(scope(("b1", b), &host), Scope::Allowed);
    assert_eq!(scope(("", None), &host), Scope::Allowed, "x has no region");
    for too_few in [only(&["b"]), only(&[])] {
        assert_eq!(scope(("b1", b), &too_few), Scope::All);
    }
    let told = |entry| Scope::Allowed.includes(place(entry), place(("b1", b)), &host);
    let told: Vec<_> = entries.filter(|entry| told(*entry)).collect();
    assert_eq!(told, [("b1", b), ("c1", c)]);
}
