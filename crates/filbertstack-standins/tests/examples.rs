//! The settings samples: every file is accepted, and says what its users need.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use filbertstack_core::Declarations;
use filbertstack_core::declare::Priority;
use filbertstack_core::declare::Route;
use filbertstack_core::declare::Rule;
use filbertstack_core::declare::Weigh;

const USERS: [&str; 2] = ["prairie-homes", "cedarline"];

fn sample(user: &str, file: &str) -> PathBuf {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    root.join(user).join(file)
}

fn declarations(user: &str) -> Declarations {
    let text = fs::read_to_string(sample(user, "declarations.ini")).unwrap();
    Declarations::parse("declarations.ini", &text).unwrap_or_else(|e| panic!("{e}"))
}

fn rule<'a>(declared: &'a Declarations, name: &str) -> &'a Rule {
    &declared.rules[name]
}

#[test]
fn the_settings_of_entries_and_agents_are_accepted() {
    for user in USERS {
        let entry = filbertstack_entry::Settings::read(&sample(user, "entry.ini"));
        let entry = entry.unwrap_or_else(|e| panic!("{e}"));
        assert_eq!(entry.voters.len(), 3);
        let own = entry.voters.iter().any(|voter| voter.name == entry.name);
        assert_eq!(entry.is_voter(), own, "only a voter has a disk");
        let agent = filbertstack_agent::Settings::read(&sample(user, "agent.ini"));
        agent.unwrap_or_else(|e| panic!("{e}"));
    }
}

#[test]
fn each_user_gets_its_replicas_and_its_weighing() {
    let of = |user: &str, name: &str| {
        let deployment = &declarations(user).deployments[name];
        (deployment.replicas, deployment.weigh)
    };
    assert_eq!(of("prairie-homes", "drafting-models"), (12, Weigh::Time));
    assert_eq!(of("cedarline", "voice-llm"), (16, Weigh::Origin));
}

#[test]
fn confirmations_and_rewrites_run_at_most_once() {
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
fn selectors_lead_to_what_is_declared_and_orders_do_not_tie() {
    for user in USERS {
        let declared = declarations(user);
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
