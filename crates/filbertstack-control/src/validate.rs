//! Validation of declarations reports all reasons why they cannot be met, not only the first.
//!
//! It uses two kinds of facts. What is *declared* or published is checked for all objects: it changes only
//! by commands, so a selector that selects nothing will not select anything later by itself. What is
//! *registered* about instances is checked only for the objects that the change touches, because an
//! instance that has left must not block a change of other objects. While no instance is registered, as
//! after the first start, reasons about instances become warnings.

use std::collections::BTreeSet;

use filbertstack_core::Declarations;
use filbertstack_core::Labels;
use filbertstack_core::Selector;
use filbertstack_core::declare::Deployment;
use filbertstack_core::declare::Route;
use filbertstack_core::declare::Rule;
use filbertstack_core::names::DeploymentName;
use filbertstack_core::names::InstanceName;
use filbertstack_core::selector::Demand;
use filbertstack_core::time::render_size;

use crate::catalogue::Catalogue;
use crate::command::Kind;
use crate::command::Object;
use crate::outcome::Fault;
use crate::outcome::Reason;
use crate::register::Facts;
use crate::register::Register;

/// The keys that the `requests` selector of a rule may use.
pub const REQUEST_KEYS: [&str; 3] = ["organisation", "model", "method"];

/// The result of a validation.
#[derive(Debug, Default)]
pub(crate) struct Findings {
    pub(crate) reasons: Vec<Reason>,
    pub(crate) warnings: Vec<Reason>,
}

/// A change of the declarations that is to be validated.
pub(crate) struct Proposal<'a> {
    pub(crate) before: &'a Declarations,
    pub(crate) after: &'a Declarations,
    pub(crate) touched: &'a BTreeSet<Object>,
    pub(crate) catalogue: &'a Catalogue,
    pub(crate) register: &'a Register,
}

impl Proposal<'_> {
    /// Checks the whole change.
    pub(crate) fn validate(&self) -> Findings {
        let mut found = Findings::default();
        self.check_pools(&mut found);
        self.check_deployments(&mut found);
        self.check_rules(&mut found);
        self.check_ambiguity(&mut found);
        found
    }

    fn touches(&self, kind: Kind, name: &str) -> bool {
        self.touched.contains(&Object::new(kind, name))
    }

    fn check_pools(&self, found: &mut Findings) {
        for (name, pool) in &self.after.pools {
            let object = Object::new(Kind::Pool, name.as_str()).to_string();
            if !self.touches(Kind::Pool, name.as_str()) {
                continue;
            }
            let valid = self.check_instance_selector(&object, &pool.instances, found);
            if valid && self.matching(&pool.instances).next().is_none() {
                let what = "no registered instance matches 'instances': check its values";
                found
                    .warnings
                    .push(Reason::new(Fault::LeadsNowhere, &object, what));
            }
        }
    }

    fn check_deployments(&self, found: &mut Findings) {
        let pools: Vec<_> = self.after.pools.values().map(|p| &p.labels).collect();
        for (name, deployment) in &self.after.deployments {
            let object = Object::new(Kind::Deployment, name.as_str()).to_string();
            let resolves = check_selector(&object, "pools", &deployment.pools, &pools, found);
            self.check_version(&object, deployment, found);
            let touched = self.touches(Kind::Deployment, name.as_str())
                || self.touches_pools_of(name.as_str(), deployment);
            if resolves && touched {
                self.check_capacity(&object, deployment, found);
            }
        }
    }

    /// Returns whether the change touches a pool that the deployment selects or selected before.
    fn touches_pools_of(&self, name: &str, deployment: &Deployment) -> bool {
        let before = name
            .parse()
            .ok()
            .and_then(|n: DeploymentName| self.before.deployments.get(&n));
        let selects = |labels: &Labels| {
            deployment.pools.matches(labels) || before.is_some_and(|b| b.pools.matches(labels))
        };
        let pools = self.before.pools.iter().chain(&self.after.pools);
        let mut selected = pools.filter(|(_, pool)| selects(&pool.labels));
        selected.any(|(pool, _)| self.touches(Kind::Pool, pool.as_str()))
    }

    fn check_version(&self, object: &str, deployment: &Deployment, found: &mut Findings) {
        let version = &deployment.version;
        let what = match self.catalogue.get(version) {
            Some(known) if known.model == deployment.model => return,
            Some(known) => format!(
                "version {version} is of model '{}', not '{}': correct one of them",
                known.model, deployment.model
            ),
            None => format!("version {version} is not published: run 'publish' first"),
        };
        found
            .reasons
            .push(Reason::new(Fault::UnknownVersion, object, what));
    }

    fn check_capacity(&self, object: &str, deployment: &Deployment, found: &mut Findings) {
        let memory = self.memory_of(deployment);
        let replicas = deployment.replicas as usize;
        let pools = self.after.pools.values();
        let selected: Vec<_> = pools
            .filter(|pool| deployment.pools.matches(&pool.labels))
            .collect();
        let in_pools = |facts: &Facts| {
            selected
                .iter()
                .any(|pool| pool.instances.matches(&facts.labels))
        };
        let members = || self.register.iter().filter(|(_, facts)| in_pools(facts));
        let count = members().count();
        let large = members()
            .filter(|(_, facts)| facts.memory >= memory)
            .count();
        if large >= replicas {
            return;
        }
        let what = format!(
            "{replicas} replicas of {} cannot stand: its pools have {count} instances, {large} of \
             them large enough; lower replicas, widen the pools or add instances",
            render_size(memory)
        );
        let reason = Reason::new(Fault::CannotHold, object, what);
        if self.register.is_empty() {
            found.warnings.push(reason);
        } else {
            found.reasons.push(reason);
        }
    }

    /// Returns the memory that a replica needs: the declared memory, but at least the size of the weights.
    fn memory_of(&self, deployment: &Deployment) -> u64 {
        let weights = self.catalogue.get(&deployment.version).map(|v| v.weights);
        deployment.memory.max(weights.unwrap_or(0))
    }

    fn check_rules(&self, found: &mut Findings) {
        for (name, rule) in &self.after.rules {
            let object = Object::new(Kind::Rule, name.as_str()).to_string();
            check_keys(&object, "requests", &rule.requests, found, |key| {
                REQUEST_KEYS.contains(&key)
            });
            check_contradiction(&object, "requests", &rule.requests, found);
            let touched = self.touches(Kind::Rule, name.as_str());
            match &rule.route {
                Route::Models {
                    deployments,
                    instances,
                } => {
                    self.check_models(&object, rule, deployments, found);
                    if touched {
                        self.check_rule_instances(&object, instances, found);
                    }
                }
                Route::Service { instances } if touched => {
                    self.check_rule_instances(&object, instances, found);
                }
                Route::Service { .. } => {}
            }
        }
    }

    fn check_models(&self, object: &str, rule: &Rule, selector: &Selector, found: &mut Findings) {
        let labels: Vec<_> = self.after.deployments.values().map(|d| &d.labels).collect();
        if !check_selector(object, "deployments", selector, &labels, found) {
            return;
        }
        let selected = self.after.deployments.values();
        let selected: Vec<_> = selected.filter(|d| selector.matches(&d.labels)).collect();
        check_named_models(object, rule, &selected, found);
        check_mixed_versions(object, rule, &selected, found);
    }

    fn check_rule_instances(&self, object: &str, instances: &Selector, found: &mut Findings) {
        let valid = self.check_instance_selector(object, instances, found);
        if !valid || self.matching(instances).next().is_some() {
            return;
        }
        let what = "leads to nothing: no registered instance matches 'instances'";
        found
            .reasons
            .push(Reason::new(Fault::LeadsNowhere, object, what));
    }

    /// Checks the keys of a selector of instances. Returns whether it makes sense to look for matches.
    fn check_instance_selector(
        &self,
        object: &str,
        instances: &Selector,
        found: &mut Findings,
    ) -> bool {
        if !check_contradiction(object, "instances", instances, found) {
            return false;
        }
        if self.register.is_empty() {
            let what = "no instance is registered yet: 'instances' could not be checked";
            found
                .warnings
                .push(Reason::new(Fault::UnknownKey, object, what));
            return false;
        }
        check_keys(object, "instances", instances, found, |key| {
            self.register.has_label_key(key)
        })
    }

    fn matching<'a>(
        &'a self,
        instances: &'a Selector,
    ) -> impl Iterator<Item = &'a InstanceName> + 'a {
        let rows = self.register.iter();
        rows.filter(|(_, facts)| instances.matches(&facts.labels))
            .map(|(name, _)| name)
    }

    /// Checks that no two rules with the same order can match one request and route it to different
    /// places. Rules with the same order are tried by name, so the rule whose name sorts first would take
    /// the requests that both match, which no operator intends.
    fn check_ambiguity(&self, found: &mut Findings) {
        let rules = self.after.ordered_rules();
        for (i, (name, rule)) in rules.iter().enumerate() {
            let same = rules[i + 1..]
                .iter()
                .take_while(|(_, next)| next.order == rule.order);
            for (other, _) in same.filter(|(_, next)| are_ambiguous(rule, next)) {
                let object = Object::new(Kind::Rule, name.as_str()).to_string();
                let what = format!(
                    "ties with [rule {other}]: both have order {} and can match one request, but \
                     lead to different places; give one another order",
                    rule.order
                );
                found
                    .reasons
                    .push(Reason::new(Fault::Ambiguous, &object, what));
            }
        }
    }
}

fn are_ambiguous(a: &Rule, b: &Rule) -> bool {
    let paths_overlap = a.path.starts_with(&*b.path) || b.path.starts_with(&*a.path);
    paths_overlap && a.requests.overlaps(&b.requests) && a.route != b.route
}

/// Checks that a selector of declared objects uses known keys, does not contradict itself and selects at
/// least one object.
fn check_selector(
    object: &str,
    field: &str,
    selector: &Selector,
    labels: &[&Labels],
    found: &mut Findings,
) -> bool {
    let known = |key: &str| labels.iter().any(|set| set.get(key).is_some());
    if !check_contradiction(object, field, selector, found)
        || !check_keys(object, field, selector, found, known)
    {
        return false;
    }
    if labels.iter().any(|set| selector.matches(set)) {
        return true;
    }
    let what = format!("leads to nothing: '{field} = {selector}' selects no declared object");
    found
        .reasons
        .push(Reason::new(Fault::LeadsNowhere, object, what));
    false
}

fn check_keys(
    object: &str,
    field: &str,
    selector: &Selector,
    found: &mut Findings,
    known: impl Fn(&str) -> bool,
) -> bool {
    let keys: BTreeSet<_> = selector.requirements().iter().map(|r| &r.key).collect();
    let unknown: Vec<_> = keys.into_iter().filter(|key| !known(key)).collect();
    for key in &unknown {
        let what =
            format!("unknown label key '{key}' in '{field}': nothing has it; correct its spelling");
        found
            .reasons
            .push(Reason::new(Fault::UnknownKey, object, what));
    }
    unknown.is_empty()
}

fn check_contradiction(
    object: &str,
    field: &str,
    selector: &Selector,
    found: &mut Findings,
) -> bool {
    let satisfiable = selector.is_satisfiable();
    if !satisfiable {
        let what = format!("'{field} = {selector}' contradicts itself: nothing can match it");
        found
            .reasons
            .push(Reason::new(Fault::LeadsNowhere, object, what));
    }
    satisfiable
}

/// Checks that each model that a rule names is served by one of its deployments. Otherwise the rule would
/// take the requests for that model and could answer none of them.
fn check_named_models(object: &str, rule: &Rule, selected: &[&Deployment], found: &mut Findings) {
    for model in named_models(rule) {
        if selected.iter().any(|d| d.model.as_str() == model) {
            continue;
        }
        let what = format!("leads to nothing for model '{model}': no selected deployment has it");
        found
            .reasons
            .push(Reason::new(Fault::LeadsNowhere, object, what));
    }
}

fn named_models(rule: &Rule) -> impl Iterator<Item = &str> {
    let on_model = rule.requests.requirements().iter();
    let on_model = on_model.filter(|requirement| &*requirement.key == "model");
    let named = on_model.filter_map(|requirement| match &requirement.demand {
        Demand::In(set) => Some(set),
        _ => None,
    });
    named.flatten().map(AsRef::as_ref)
}

/// Checks that a rule does not select several versions of one model. Otherwise it would be random which
/// version answers.
fn check_mixed_versions(object: &str, rule: &Rule, selected: &[&Deployment], found: &mut Findings) {
    let mut mixed = BTreeSet::new();
    for (i, a) in selected.iter().enumerate() {
        let other = |b: &&&Deployment| a.model == b.model && a.version != b.version;
        if matches_model(rule, a.model.as_str()) && selected[i + 1..].iter().any(|b| other(&b)) {
            mixed.insert(&a.model);
        }
    }
    for model in mixed {
        let what = format!(
            "selects several versions of model '{model}': give the deployments other labels or \
             one version"
        );
        found
            .reasons
            .push(Reason::new(Fault::MixedVersions, object, what));
    }
}

fn matches_model(rule: &Rule, model: &str) -> bool {
    let mut on_model = rule.requests.requirements().iter();
    on_model.all(|r| &*r.key != "model" || r.demand.allows(Some(model)))
}
