//! This module defines the inputs and outputs of placement: instances as agents report them,
//! deployments as they are declared, and assignments.

use std::collections::BTreeMap;
use std::sync::Arc;

use filbertstack_core::Declarations;
use filbertstack_core::Digest;
use filbertstack_core::Labels;
use filbertstack_core::Millis;
use filbertstack_core::Selector;
use filbertstack_core::names::DeploymentName;
use filbertstack_core::names::InstanceName;

/// Whether an instance is reachable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// The instance has answered since the given time.
    Up(Millis),
    /// The instance has not answered since the given time.
    Unreachable(Millis),
    /// The instance announced that it is leaving.
    Leaving,
}

/// The stage of a version on an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The given percentage of its chunks is stored on the instance; the engine has not loaded it.
    Fetched(u8),
    /// The engine is loading it.
    Loading,
    /// The engine serves requests from it.
    Serving,
    /// The engine finishes the requests in progress and accepts no new ones.
    Draining,
    /// The engine failed to load it.
    Failed,
}

impl Stage {
    /// Returns whether a version at this stage occupies the engine's memory.
    pub fn takes_memory(self) -> bool {
        matches!(self, Self::Loading | Self::Serving | Self::Draining)
    }
}

/// The state of one version on an instance, as the agent reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionState {
    /// The stage that the version has reached.
    pub stage: Stage,
    /// The time at which the version reached that stage.
    pub since: Millis,
    /// The memory that the version occupies in the engine, in bytes.
    pub memory: u64,
}

/// An instance of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The instance's labels.
    pub labels: Labels,
    /// The instance's availability zone.
    pub zone: Arc<str>,
    /// The instance's rack; empty if the instance has no `rack` label.
    pub rack: Arc<str>,
    /// The memory for weights, in bytes.
    pub memory: u64,
    /// Whether the instance is reachable.
    pub health: Health,
    /// Whether the instance is to be emptied: it continues to serve until other instances have
    /// replaced it.
    pub cordoned: bool,
    /// The versions on the instance.
    pub versions: BTreeMap<Digest, VersionState>,
    /// Whether the engine holds only one version at a time, however much memory is free.
    pub single_version: bool,
}

impl Member {
    /// Creates an instance that holds no version; the zone and the rack come from the labels.
    pub fn new(labels: Labels, memory: u64, health: Health) -> Self {
        let label = |key| labels.get(key).unwrap_or_default().into();
        Self {
            zone: label("zone"),
            rack: label("rack"),
            labels,
            memory,
            health,
            cordoned: false,
            versions: BTreeMap::new(),
            single_version: false,
        }
    }

    /// Returns how much of this instance's memory a version of `memory` bytes takes.
    pub(super) fn memory_for(&self, memory: u64) -> u64 {
        if self.single_version {
            self.memory.max(memory)
        } else {
            memory
        }
    }

    /// Returns whether the instance serves requests from `version` now.
    pub fn serves(&self, version: &Digest) -> bool {
        let serving = |state: &VersionState| state.stage == Stage::Serving;
        matches!(self.health, Health::Up(_)) && self.versions.get(version).is_some_and(serving)
    }

    /// Returns the percentage of `version` that is stored on the instance.
    pub(super) fn fetched_percent(&self, version: &Digest) -> u8 {
        match self.versions.get(version).map(|state| state.stage) {
            None | Some(Stage::Failed) => 0,
            Some(Stage::Fetched(percent)) => percent.min(100),
            Some(_) => 100,
        }
    }
}

/// All known instances by name.
pub type Fleet = BTreeMap<InstanceName, Member>;

/// What a target must do with a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Duty {
    /// Fetch, load and serve it.
    Serve,
    /// Finish the requests in progress, then unload it.
    Drain,
    /// Fetch and verify it, but do not load it yet: it will replace another version on the
    /// instance.
    Fetch,
}

/// One version that a target must hold.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Assignment {
    /// The deployment it belongs to.
    pub deployment: DeploymentName,
    /// The version.
    pub version: Digest,
    /// What to do with it.
    pub duty: Duty,
}

/// The desired state of every target: the sorted assignments by instance.
pub type Assignments = BTreeMap<InstanceName, Vec<Assignment>>;

/// The part of a declared deployment that placement needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeploymentSpec {
    /// The deployment's name.
    pub deployment: DeploymentName,
    /// The version to serve.
    pub version: Digest,
    /// The number of instances to serve on.
    pub replicas: usize,
    /// The memory that the version needs on an instance, in bytes.
    pub memory: u64,
    /// The selectors of the deployment's pools; an instance is eligible if any of them matches it.
    pub pools: Vec<Selector>,
}

impl DeploymentSpec {
    /// Returns whether the deployment's pools contain an instance with these labels.
    pub fn admits(&self, labels: &Labels) -> bool {
        self.pools.iter().any(|pool| pool.matches(labels))
    }
}

/// Returns the specifications of all declared deployments; `weight_bytes` returns the size of a
/// published version in bytes.
pub fn deployment_specs(
    declared: &Declarations,
    weight_bytes: impl Fn(&Digest) -> u64,
) -> Vec<DeploymentSpec> {
    let pools_of = |selector: &Selector| {
        let pools = declared.pools.values();
        let chosen = pools.filter(|pool| selector.matches(&pool.labels));
        chosen.map(|pool| pool.instances.clone()).collect()
    };
    let deployments = declared.deployments.iter();
    deployments
        .map(|(name, deployment)| DeploymentSpec {
            deployment: name.clone(),
            version: deployment.version,
            replicas: deployment.replicas as usize,
            memory: deployment.memory.max(weight_bytes(&deployment.version)),
            pools: pools_of(&deployment.pools),
        })
        .collect()
}
