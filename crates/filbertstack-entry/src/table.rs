//! The routing table: it maps a request to a rule and to the targets that may answer it.
//!
//! A new table is built when the declarations or the targets change. A request uses the same table from its
//! start to its end.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use filbertstack_core::Digest;
use filbertstack_core::Labels;
use filbertstack_core::Millis;
use filbertstack_core::declare::Deployment;
use filbertstack_core::declare::Priority;
use filbertstack_core::declare::Route;
use filbertstack_core::declare::Rule;
use filbertstack_core::names::DeploymentName;
use filbertstack_core::names::InstanceName;
use filbertstack_core::names::ModelName;
use filbertstack_core::names::RuleName;
use filbertstack_policy::flow::Flow;
use filbertstack_policy::route::GroupKey;
use filbertstack_policy::route::GroupKind;
use filbertstack_policy::route::TargetKey;
use filbertstack_policy::target::TargetInfo;

use crate::members::Member;
use crate::view::View;

/// A target that may answer requests of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Its instance name.
    pub name: InstanceName,
    /// The address of its agent's links.
    pub addr: SocketAddr,
    /// The version that it serves; `None` for a plain service.
    pub version: Option<Digest>,
}

/// The rule that matches a request, and what it says about it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteMatch {
    /// The name of the rule.
    pub rule: RuleName,
    /// The group of targets that may answer.
    pub group: GroupKey,
    /// The kind of the targets.
    pub kind: GroupKind,
    /// Whether the request may run twice.
    pub idempotent: bool,
    /// The longest time that a caller waits for the end of the answer.
    pub timeout: Millis,
    /// The priority of the request at admission.
    pub priority: Priority,
}

/// The properties of a request that rules match on.
#[derive(Clone, Debug)]
pub struct RequestInfo<'a> {
    /// The labels `organisation`, `model` and `method`.
    pub labels: Labels,
    /// The path of the request.
    pub path: &'a str,
    /// The model, if the request names one.
    pub model: Option<&'a ModelName>,
}

/// The reason why no rule matches a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NoRoute {
    /// No rule matches the request.
    #[error("no rule takes this request: check its path, model and key, or declare a rule")]
    Rule,
    /// Some rule matches, but none selects a deployment of the model.
    #[error("no deployment that a rule selects has this model: see GET /v1/models")]
    Model,
}

/// The name of a group: a rule and, if it routes to models, one of its models.
type GroupName = (RuleName, Option<ModelName>);

#[derive(Debug)]
struct TableRule {
    name: RuleName,
    rule: Rule,
    groups: HashMap<Option<ModelName>, GroupKey>,
}

/// The routing table.
#[derive(Debug, Default)]
pub struct Table {
    revision: u64,
    rules: Vec<TableRule>,
    endpoints: HashMap<(GroupKey, TargetKey), Endpoint>,
    models: Vec<ModelName>,
}

impl Table {
    /// Returns the first rule that matches a request, with the group of targets that may answer.
    ///
    /// # Errors
    /// Returns [`NoRoute`] with the reason why no rule matches.
    pub fn find(&self, request: &RequestInfo<'_>) -> Result<RouteMatch, NoRoute> {
        let mut reason = NoRoute::Rule;
        for TableRule { name, rule, groups } in &self.rules {
            let matches = request.path.starts_with(rule.path.as_ref())
                && rule.requests.matches(&request.labels);
            if !matches {
                continue;
            }
            let kind = kind_of(rule);
            let model = if kind == GroupKind::Engines {
                request.model.cloned()
            } else {
                None
            };
            if kind == GroupKind::Engines && model.is_none() {
                continue;
            }
            let Some(group) = groups.get(&model) else {
                reason = NoRoute::Model;
                continue;
            };
            return Ok(RouteMatch {
                rule: name.clone(),
                group: *group,
                kind,
                idempotent: rule.idempotent,
                timeout: rule.timeout,
                priority: rule.priority,
            });
        }
        Err(reason)
    }

    /// Returns a target of a group, with the version that it serves there.
    pub fn endpoint(&self, group: GroupKey, target: TargetKey) -> Option<&Endpoint> {
        self.endpoints.get(&(group, target))
    }

    /// Returns the revision of the declarations that the table was built from.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the declared models.
    pub fn models(&self) -> &[ModelName] {
        &self.models
    }
}

fn kind_of(rule: &Rule) -> GroupKind {
    match rule.route {
        Route::Models { .. } => GroupKind::Engines,
        Route::Service { .. } => GroupKind::Service,
    }
}

/// Builds routing tables, and updates the router's targets and groups to match.
#[derive(Debug, Default)]
pub struct Builder {
    targets: BTreeMap<InstanceName, RoutedTarget>,
    groups: HashMap<GroupName, GroupKey>,
}

/// A target that the router knows.
#[derive(Debug)]
struct RoutedTarget {
    key: TargetKey,
    incarnation: u64,
}

impl Builder {
    /// Builds the table for `view` and the live `members`, and updates `flow` to match.
    pub fn build(
        &mut self,
        now: Millis,
        view: &View,
        members: &[Member],
        flow: &mut Flow,
    ) -> Table {
        self.sync_targets(now, members, flow);
        let mut table = Table {
            revision: view.revision(),
            ..Table::default()
        };
        let mut groups = HashMap::new();
        let declared = view.declared();
        for (name, rule) in declared.ordered_rules() {
            let mut rule_groups = HashMap::new();
            for model in models_of(rule, &declared.deployments) {
                let group_name = (name.clone(), model.clone());
                let existing = self.groups.remove(&group_name);
                let group = existing.unwrap_or_else(|| flow.add_group(kind_of(rule)));
                let endpoints = endpoints_of(rule, model.as_ref(), view, members);
                self.set_candidates(group, endpoints, flow, &mut table);
                groups.insert(group_name, group);
                rule_groups.insert(model, group);
            }
            let rule = TableRule {
                name: name.clone(),
                rule: rule.clone(),
                groups: rule_groups,
            };
            table.rules.push(rule);
        }
        for (_, group) in self.groups.drain() {
            flow.router_mut().set_candidates(group, &[]);
        }
        self.groups = groups;
        table.models = declared
            .deployments
            .values()
            .map(|d| d.model.clone())
            .collect();
        table.models.sort();
        table.models.dedup();
        table
    }

    fn sync_targets(&mut self, now: Millis, members: &[Member], flow: &mut Flow) {
        let router = flow.router_mut();
        let first_build = self.targets.is_empty();
        self.targets.retain(|name, known| {
            let stays = members
                .iter()
                .any(|member| member.name == *name && member.incarnation == known.incarnation);
            if !stays {
                router.remove_target(known.key);
            }
            stays
        });
        for member in members {
            if let Some(known) = self.targets.get(&member.name) {
                if member.leaving {
                    router.mark_leaving(known.key);
                }
                continue;
            }
            if member.leaving {
                continue;
            }
            let info = TargetInfo {
                name: member.name.clone(),
                zone: member.zone.clone(),
                slots: Some(member.slots),
            };
            let key = router.add_target(now, info, !first_build);
            let known = RoutedTarget {
                key,
                incarnation: member.incarnation,
            };
            self.targets.insert(member.name.clone(), known);
        }
    }

    /// Sets the router's candidates for a group, and adds their endpoints to the table.
    fn set_candidates(
        &self,
        group: GroupKey,
        endpoints: Vec<Endpoint>,
        flow: &mut Flow,
        table: &mut Table,
    ) {
        let mut candidates = Vec::new();
        for endpoint in endpoints {
            if let Some(known) = self.targets.get(&endpoint.name) {
                candidates.push(known.key);
                table.endpoints.insert((group, known.key), endpoint);
            }
        }
        flow.router_mut().set_candidates(group, &candidates);
    }
}

/// Returns the models that a rule routes to; a single `None` for a plain service.
fn models_of(
    rule: &Rule,
    deployments: &BTreeMap<DeploymentName, Deployment>,
) -> Vec<Option<ModelName>> {
    let Route::Models {
        deployments: selector,
        ..
    } = &rule.route
    else {
        return vec![None];
    };
    let selected = deployments.values().filter(|d| selector.matches(&d.labels));
    let mut models: Vec<_> = selected.map(|d| Some(d.model.clone())).collect();
    models.sort();
    models.dedup();
    models
}

/// Returns the targets that may answer requests of `rule` for `model`.
fn endpoints_of(
    rule: &Rule,
    model: Option<&ModelName>,
    view: &View,
    members: &[Member],
) -> Vec<Endpoint> {
    let staying = members.iter().filter(|member| !member.leaving);
    staying
        .filter_map(|member| endpoint_of(rule, model, view, member))
        .collect()
}

fn endpoint_of(
    rule: &Rule,
    model: Option<&ModelName>,
    view: &View,
    member: &Member,
) -> Option<Endpoint> {
    let version = match &rule.route {
        Route::Service { instances } if member.service && instances.matches(&member.labels) => None,
        Route::Models {
            deployments,
            instances,
        } if instances.matches(&member.labels) => {
            let declared = view.declared().deployments.iter();
            let mut selected =
                declared.filter(|(_, d)| Some(&d.model) == model && deployments.matches(&d.labels));
            Some(selected.find_map(|(name, _)| member.serving(name.as_str()))?)
        }
        _ => return None,
    };
    Some(Endpoint {
        name: member.name.clone(),
        addr: member.addr,
        version,
    })
}

/// A routing table that an entry's threads share.
pub type SharedTable = Arc<Table>;
