//! Tests of the targets that an entry prefers, for any number of entries and targets.

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

fn as_strs(names: &[String]) -> Vec<&str> {
    names.iter().map(String::as_str).collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a target that no entry prefers, an entry that prefers none, and counts on which
    /// the entries do not agree.
    #[test]
    fn every_entry_prefers_a_target_and_every_target_is_preferred(entries in 1_usize..70, targets in 1_usize..90) {
        let (entries, targets) = (names("entry", entries), names("engine", targets));
        let (entries, targets) = (as_strs(&entries), as_strs(&targets));
        let mut counts_by_target: BTreeMap<usize, Vec<u32>> = BTreeMap::new();
        for entry in &entries {
            let preferred_targets = preferred(entry, &entries, &targets);
            assert!(!preferred_targets.is_empty());
            assert!(preferred_targets.len() <= targets.len() / entries.len() + 2, "{preferred_targets:?}");
            for preferred_target in preferred_targets {
                counts_by_target.entry(preferred_target.target).or_default().push(preferred_target.entries);
            }
        }
        assert_eq!(counts_by_target.len(), targets.len());
        for counts in counts_by_target.values() {
            assert!(counts.iter().all(|count| *count as usize == counts.len()), "{counts:?}");
        }
    }
}

/// Guards against a result that depends on the order in which entries learn of each other.
#[test]
fn the_order_of_the_names_does_not_matter() {
    let (entries, targets) = (names("entry", 5), names("engine", 8));
    let (mut entries, targets) = (as_strs(&entries), as_strs(&targets));
    let first = preferred("entry-3", &entries, &targets);
    entries.reverse();
    assert_eq!(preferred("entry-3", &entries, &targets), first);
}

/// Guards against preferences of an entry that the others do not count, such as one that is leaving.
#[test]
fn an_unlisted_entry_prefers_no_target() {
    assert_eq!(preferred("entry-9", &["entry-1"], &["engine-1"]), []);
}

/// Guards against an entry that does not use a target which other entries leave to it.
#[test]
fn an_entry_uses_its_preferred_targets_within_its_subset() {
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
