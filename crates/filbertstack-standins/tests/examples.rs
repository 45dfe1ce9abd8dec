//! Parses the sample settings under `examples` and checks the values that their users depend on.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use filbertstack_core::Declarations;
use filbertstack_core::declare::Priority;
use filbertstack_core::declare::Route;
use filbertstack_core::declare::Rule;
use filbertstack_core::declare::Weigh;

const ORGANISATIONS: [&str; 2] = ["prairie-homes", "cedarline"];

fn sample_path(organisation: &str, file: &str) -> PathBuf {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    root.join(organisation).join(file)
}

fn declarations(organisation: &str) -> Declarations {
    let text = fs::read_to_string(sample_path(organisation, "declarations.ini")).unwrap();
    Declarations::parse("declarations.ini", &text).unwrap_or_else(|e| panic!("{e}"))
}

fn rule<'a>(declared: &'a Declarations, name: &str) -> &'a Rule {
    &declared.rules[name]
}

#[test]
fn entry_and_agent_settings_parse() {
    for organisation in ORGANISATIONS {
        let entry = filbertstack_entry::Settings::read(&sample_path(organisation, "entry.ini"));
        let entry = entry.unwrap_or_else(|e| panic!("{e}"));
        assert_eq!(entry.voters.len(), 3);
        let is_declared = entry.voters.iter().any(|voter| voter.name == entry.name);
        assert_eq!(entry.is_voter(), is_declared, "only a voter has a disk");
        let agent = filbertstack_agent::Settings::read(&sample_path(organisation, "agent.ini"));
        agent.unwrap_or_else(|e| panic!("{e}"));
    }
}

#[test]
fn deployments_declare_replicas_and_weighing() {
    let declared = |organisation: &str, name: &str| {
        let deployment = &declarations(organisation).deployments[name];
        (deployment.replicas, deployment.weigh)
    };
    assert_eq!(
        declared("prairie-homes", "drafting-models"),
        (12, Weigh::Time)
    );
    assert_eq!(declared("cedarline", "voice-llm"), (16, Weigh::Origin));
}

#[test]
fn confirmations_and_rewrites_are_not_idempotent() {
    let (prairie, cedarline) = (declarations("prairie-homes"), declarations("cedarline"));
    let confirm = rule(&prairie, "move-in-confirm");
    assert!(!confirm.idempotent);
    assert_eq!(confirm.priority, Priority::High);
    assert!(!rule(&cedarline, "rewrite").idempotent);
    for declared in [&prairie, &cedarline] {
        let changes = declared
            .rules
            .iter()
            .filter(|(name, _)| name.as_str().ends_with("-change"));
        assert!(changes.clone().count() > 0);
        assert!(changes.into_iter().all(|(_, rule)| !rule.idempotent));
    }
}

#[test]
fn selectors_match_declared_objects_and_rule_orders_are_unique() {
    for organisation in ORGANISATIONS {
        let declared = declarations(organisation);
        for deployment in declared.deployments.values() {
            let mut pools = declared.pools.values();
            assert!(pools.any(|pool| deployment.pools.matches(&pool.labels)));
        }
        for (name, rule) in &declared.rules {
            if let Route::Models { deployments, .. } = &rule.route {
                let mut all = declared.deployments.values();
                assert!(all.any(|d| deployments.matches(&d.labels)), "{name}");
            }
        }
        let mut orders: Vec<u32> = declared.rules.values().map(|rule| rule.order).collect();
        orders.sort_unstable();
        orders.dedup();
        assert_eq!(orders.len(), declared.rules.len());
    }
}
