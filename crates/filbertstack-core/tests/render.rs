//! Property tests of the text form of declarations and of the overlap of selectors.

use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_assert_eq;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use filbertstack_core::Declarations;
use filbertstack_core::Digest;
use filbertstack_core::Labels;
use filbertstack_core::Selector;

const KEYS: [&str; 3] = ["a", "zone", "team"];
const VALUES: [&str; 3] = ["x", "y.1", "Z-2"];

fn requirement() -> impl Strategy<Value = String> {
    (0..3_usize, 0..6_u8, 0..3_usize, 0..3_usize).prop_map(|(key, kind, one, two)| {
        let (key, one, two) = (KEYS[key], VALUES[one], VALUES[two]);
        match kind {
            0 => format!("{key}={one}"),
            1 => format!("{key}!={one}"),
            2 => format!("{key} in ({one}, {two})"),
            3 => format!("{key} notin ({one}, {two})"),
            4 => key.to_owned(),
            _ => format!("!{key}"),
        }
    })
}

fn selector() -> impl Strategy<Value = String> {
    proptest::collection::vec(requirement(), 0..4).prop_map(|parts| parts.join(", "))
}

fn runner() -> TestRunner {
    let config = Config {
        cases: 1000,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[2; 32]);
    TestRunner::new_with_rng(config, rng)
}

/// Parsing the rendered text of declarations gives equal declarations, and rendering those gives the same
/// text.
#[test]
fn declarations_round_trip_through_text() {
    let numbers = (any::<u32>(), any::<u64>(), any::<u32>(), any::<bool>());
    let case = (selector(), selector(), selector(), numbers);
    let result = runner().run(&case, |(pools, instances, requests, numbers)| {
        let (replicas, memory, timeout, service) = numbers;
        let route = if service {
            ""
        } else {
            "deployments = team=x\n"
        };
        let text = format!(
            "[deployment d]\nlabels = team=x, a=y.1\nmodel = m\nversion = {}\n\
             replicas = {replicas}\nmemory = {memory}B\npools = {pools}\nweigh = origin\n\
             [pool p]\ninstances = {instances}\n[rule r]\nrequests = {requests}\npath = /v1/x\n\
             {route}instances = {instances}\ntimeout = {timeout}ms\nidempotent = true\n\
             priority = high\n",
            Digest::of(b"v")
        );
        let first = Declarations::parse("first", &text).expect("the text parses");
        let written = first.to_string();
        let second = Declarations::parse("second", &written).expect("the rendered text parses");
        prop_assert_eq!(&first, &second, "{}", written);
        prop_assert_eq!(&written, &second.to_string());
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}

/// Returns every set of labels over the keys; the value `other` stands for all values that no selector names.
fn all_labels() -> Vec<Labels> {
    let values = [None, Some("x"), Some("y.1"), Some("Z-2"), Some("other")];
    let mut all = Vec::new();
    for n in 0..values.len().pow(3) {
        let mut labels = Labels::default();
        for (i, key) in (0_u32..).zip(KEYS) {
            if let Some(value) = values[n / values.len().pow(i) % values.len()] {
                labels.set(key, value).expect("a label");
            }
        }
        all.push(labels);
    }
    all
}

/// `Selector::overlaps` agrees with an exhaustive search over all sets of labels.
#[test]
fn selectors_overlap_if_some_labels_meet_both() {
    let all = all_labels();
    let result = runner().run(&(selector(), selector()), |(one, two)| {
        let one: Selector = one.parse().expect("a selector");
        let two: Selector = two.parse().expect("a selector");
        let meets = all.iter().any(|set| one.matches(set) && two.matches(set));
        prop_assert_eq!(one.overlaps(&two), meets, "{} | {}", one, two);
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}
