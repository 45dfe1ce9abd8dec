//! Which targets an entry takes first: for any number of entries and targets, without agreement.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use filbertstack_policy::subset::Candidate;
use filbertstack_policy::subset::SIZE;
use filbertstack_policy::subset::preferred;
use filbertstack_policy::subset::select;
use proptest::prelude::ProptestConfig;
use proptest::proptest;
use proptest::test_runner::RngSeed;

fn names(kind: &str, count: usize) -> Vec<String> {
    (0..count).map(|n| format!("{kind}-{n}")).collect()
}

fn lent(names: &[String]) -> Vec<&str> {
    names.iter().map(String::as_str).collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a target that no entry takes first, an entry without one, and counts on which
    /// the entries do not agree.
    #[test]
    fn every_entry_and_every_target_has_one_beside_it(entries in 1_usize..70, targets in 1_usize..90) {
        let (entries, targets) = (names("entry", entries), names("engine", targets));
        let (entries, targets) = (lent(&entries), lent(&targets));
        let mut met: BTreeMap<usize, Vec<u32>> = BTreeMap::new();
        for entry in &entries {
            let own = preferred(entry, &entries, &targets);
            assert!(!own.is_empty());
            assert!(own.len() <= targets.len() / entries.len() + 2, "{own:?}");
            for one in own {
                met.entry(one.target).or_default().push(one.entries);
            }
        }
        assert_eq!(met.len(), targets.len());
        for counts in met.values() {
            assert!(counts.iter().all(|count| *count as usize == counts.len()), "{counts:?}");
        }
    }
}

/// Guards against an order of arrival that decides: entries hear of each other one by one.
#[test]
fn the_order_of_the_names_does_not_matter() {
    let (entries, targets) = (names("entry", 5), names("engine", 8));
    let (mut entries, targets) = (lent(&entries), lent(&targets));
    let first = preferred("entry-3", &entries, &targets);
    entries.reverse();
    assert_eq!(preferred("entry-3", &entries, &targets), first);
}

/// Guards against preferences of an entry that the others do not count, such as one that leaves.
#[test]
fn an_entry_that_is_not_among_the_entries_has_none_beside_it() {
    assert_eq!(preferred("entry-9", &["entry-1"], &["engine-1"]), []);
}

/// Guards against an entry that does not use a target which others leave to it.
#[test]
fn an_entry_uses_the_targets_beside_it_and_no_more_than_its_subset() {
    let targets = names("engine", 200);
    let candidates: Vec<Candidate<'_, usize>> = (0..targets.len())
        .map(|key| Candidate {
            key,
            name: &targets[key],
            zone: "z0",
        })
        .collect();
    let chosen = select("entry-1", "z0", &candidates, |key| key < 5);
    assert_eq!(chosen[..5], [0, 1, 2, 3, 4]);
    assert_eq!(chosen.len(), SIZE);
    let different: BTreeSet<_> = chosen.iter().collect();
    assert_eq!(different.len(), SIZE);
}
