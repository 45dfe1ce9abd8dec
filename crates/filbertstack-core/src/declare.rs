//! Declarations state what operators want to run, as sections of an INI file.
//!
//! ```ini
//! [deployment drafting]
//! labels = team=drafting
//! model = prairie-draft
//! version = <digest printed by publish>
//! replicas = 12
//! memory = 8GiB
//! pools = tier=large
//!
//! [pool halls]
//! labels = tier=large
//! instances = role=llm, zone in (regina-hall, winnipeg-hall)
//!
//! [rule drafting]
//! order = 10
//! requests = model=prairie-draft
//! deployments = team=drafting
//! timeout = 30s
//! ```

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::digest::Digest;
use crate::error::ValueError;
use crate::ini::Document;
use crate::ini::Problems;
use crate::ini::Section;
use crate::ini::parse_bool;
use crate::ini::parse_count;
use crate::labels::Labels;
use crate::names::DeploymentName;
use crate::names::ModelName;
use crate::names::PoolName;
use crate::names::RuleName;
use crate::selector::Selector;
use crate::time::Millis;
use crate::time::parse_size;

/// The cost that the plan for a copy of weights minimises.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Weigh {
    /// Minimises the time until the wanted number of replicas serve.
    #[default]
    Time,
    /// Minimises the bytes that the origin sends.
    Origin,
}

impl FromStr for Weigh {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self, ValueError> {
        match text {
            "time" => Ok(Self::Time),
            "origin" => Ok(Self::Origin),
            _ => Err(ValueError::Choice {
                text: text.into(),
                allowed: "time or origin",
            }),
        }
    }
}

/// The priority of a rule's requests.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Requests use the capacity that higher priorities leave, but are never starved.
    Low,
    /// Requests have the default priority.
    #[default]
    Normal,
    /// Requests are served before those of other priorities.
    High,
}

impl FromStr for Priority {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self, ValueError> {
        match text {
            "low" => Ok(Self::Low),
            "normal" => Ok(Self::Normal),
            "high" => Ok(Self::High),
            _ => Err(ValueError::Choice {
                text: text.into(),
                allowed: "low, normal or high",
            }),
        }
    }
}

/// A deployment runs one version of a model on a number of instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Deployment {
    /// Labels that rules select by.
    pub labels: Labels,
    /// The model's name in requests.
    pub model: ModelName,
    /// The digest of the version's manifest.
    pub version: Digest,
    /// The number of instances that serve the version.
    pub replicas: u32,
    /// The memory that the version takes on an instance, in bytes.
    pub memory: u64,
    /// Selects pools by their labels.
    pub pools: Selector,
    /// The cost that the plan for a copy of the weights minimises.
    pub weigh: Weigh,
}

/// A pool is a set of instances, selected by their labels.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Labels that deployments select by.
    pub labels: Labels,
    /// Selects instances by their labels.
    pub instances: Selector,
}

/// The destination of a rule's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Route {
    /// Requests go to model engines that serve one of the deployments.
    Models {
        /// Selects deployments by their labels.
        deployments: Selector,
        /// Restricts the deployments' instances by their labels.
        instances: Selector,
    },
    /// Requests go to plain services, with their path unchanged.
    Service {
        /// Selects the instances by their labels.
        instances: Selector,
    },
}

/// A rule routes matching requests to instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rule {
    /// Labels for operators.
    pub labels: Labels,
    /// The order of evaluation: rules are tried from the lowest order up, and by name where orders are equal.
    pub order: u32,
    /// Selects requests by `organisation`, `model` and `method`.
    pub requests: Selector,
    /// The prefix of the paths that the rule matches.
    pub path: Arc<str>,
    /// The destination of matching requests.
    pub route: Route,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// The longest time that a caller waits for the end of the answer.
    pub timeout: Millis,
    /// The priority of the requests at admission.
    pub priority: Priority,
}

/// The timeout of a rule that gives none.
pub const DEFAULT_TIMEOUT: Millis = Millis::secs(60);

/// The order of a rule that gives none.
pub const DEFAULT_ORDER: u32 = 100;

/// All declared objects, by kind and name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Declarations {
    /// The deployments.
    pub deployments: BTreeMap<DeploymentName, Deployment>,
    /// The pools.
    pub pools: BTreeMap<PoolName, Pool>,
    /// The rules.
    pub rules: BTreeMap<RuleName, Rule>,
}

impl Declarations {
    /// Parses the text of a declaration file; `file` is the file name that errors report.
    ///
    /// # Errors
    /// Returns all problems of the file.
    pub fn parse(file: &str, text: &str) -> Result<Self, Problems> {
        Self::from_document(Document::parse(file, text)?)
    }

    /// Reads the declarations from the sections of `document`.
    ///
    /// # Errors
    /// Returns all problems of the document.
    pub fn from_document(document: Document) -> Result<Self, Problems> {
        let mut declared = Self::default();
        let mut problems = Problems::default();
        for mut section in document.sections {
            declared.add(&mut section, &mut problems);
            section.finish(&mut problems);
        }
        problems.into_result(declared)
    }

    fn add(&mut self, section: &mut Section, problems: &mut Problems) {
        match section.kind.as_str() {
            "deployment" => insert(&mut self.deployments, section, problems, read_deployment),
            "pool" => insert(&mut self.pools, section, problems, read_pool),
            "rule" => insert(&mut self.rules, section, problems, read_rule),
            kind => {
                let what = format!("unknown section '{kind}': use deployment, pool or rule");
                problems.0.push(section.problem(section.line, what));
            }
        }
    }

    /// Returns the rules in the order in which they are tried.
    pub fn ordered_rules(&self) -> Vec<(&RuleName, &Rule)> {
        let mut rules: Vec<_> = self.rules.iter().collect();
        rules.sort_by_key(|(name, rule)| (rule.order, (*name).clone()));
        rules
    }
}

fn insert<N: FromStr<Err = ValueError> + Ord, T>(
    objects: &mut BTreeMap<N, T>,
    section: &mut Section,
    problems: &mut Problems,
    reader: fn(&mut Section, &mut Problems) -> Option<T>,
) {
    let name = section.title.parse();
    let value = reader(section, problems);
    match (name, value) {
        (Ok(name), Some(value)) => {
            objects.insert(name, value);
        }
        (Err(error), _) => problems.0.push(section.problem(section.line, error)),
        (Ok(_), None) => {}
    }
}

fn read_deployment(section: &mut Section, problems: &mut Problems) -> Option<Deployment> {
    let labels = section.read("labels", problems);
    let model = section.require("model", problems);
    let version = section.require("version", problems);
    let replicas = section.require_with("replicas", problems, parse_count);
    let memory = section.read_with("memory", problems, parse_size);
    let pools = section.require("pools", problems);
    let weigh = section.read("weigh", problems);
    Some(Deployment {
        labels: labels.unwrap_or_default(),
        model: model?,
        version: version?,
        replicas: replicas?,
        memory: memory.unwrap_or(0),
        pools: pools?,
        weigh: weigh.unwrap_or_default(),
    })
}

fn read_pool(section: &mut Section, problems: &mut Problems) -> Option<Pool> {
    let labels = section.read("labels", problems);
    let instances = section.require("instances", problems);
    Some(Pool {
        labels: labels.unwrap_or_default(),
        instances: instances?,
    })
}

fn read_rule(section: &mut Section, problems: &mut Problems) -> Option<Rule> {
    let labels = section.read("labels", problems);
    let order = section.read_with("order", problems, parse_count);
    let requests = section.read("requests", problems);
    let path = section.read_with("path", problems, parse_path);
    let idempotent = section.read_with("idempotent", problems, parse_bool);
    let timeout = section.read("timeout", problems);
    let priority = section.read("priority", problems);
    let route = read_route(section, problems);
    Some(Rule {
        labels: labels.unwrap_or_default(),
        order: order.unwrap_or(DEFAULT_ORDER),
        requests: requests.unwrap_or_default(),
        path: path.unwrap_or_else(|| "/".into()),
        route: route?,
        idempotent: idempotent.unwrap_or(false),
        timeout: timeout.unwrap_or(DEFAULT_TIMEOUT),
        priority: priority.unwrap_or_default(),
    })
}

fn read_route(section: &mut Section, problems: &mut Problems) -> Option<Route> {
    let deployments = section.read("deployments", problems);
    let instances = section.read("instances", problems);
    match (deployments, instances) {
        (Some(deployments), instances) => Some(Route::Models {
            deployments,
            instances: instances.unwrap_or_default(),
        }),
        (None, Some(instances)) => Some(Route::Service { instances }),
        (None, None) => {
            let what = format!(
                "[{}] leads nowhere: add 'deployments' for models or 'instances' for a service",
                section.header()
            );
            problems.0.push(section.problem(section.line, what));
            None
        }
    }
}

fn parse_path(text: &str) -> Result<Arc<str>, PathError> {
    if text.starts_with('/') {
        return Ok(text.into());
    }
    Err(PathError { text: text.into() })
}

struct PathError {
    text: String,
}

impl fmt::Display for PathError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "'{}' is not a path: start it with '/'", self.text)
    }
}
