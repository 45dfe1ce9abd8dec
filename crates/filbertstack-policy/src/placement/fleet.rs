//! What placement looks at: instances as they report themselves, wants as they are declared.

use std::collections::BTreeMap;
use std::sync::Arc;

use filbertstack_core::Declarations;
use filbertstack_core::Digest;
use filbertstack_core::Labels;
use filbertstack_core::Millis;
use filbertstack_core::Selector;
use filbertstack_core::names::DeploymentName;
use filbertstack_core::names::InstanceName;

/// Whether an instance answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It has answered since then.
    Up(Millis),
    /// It has not answered since then.
    Unreachable(Millis),
    /// It said that it is leaving.
    Leaving,
}

/// How far a version has come on an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Chunks lie there, so many in a hundred; the engine does not hold it.
    Fetched(u8),
    /// The engine loads it.
    Loading,
    /// The engine answers from it.
    Serving,
    /// The engine finishes what it has begun.
    Draining,
    /// The engine could not load it.
    Failed,
}

impl Stage {
    /// Whether the version takes the engine's memory.
    pub fn takes_memory(self) -> bool {
        matches!(self, Self::Loading | Self::Serving | Self::Draining)
    }
}

/// A version on an instance, as the agent reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionState {
    /// How far it has come.
    pub stage: Stage,
    /// Since when it stands at that stage.
    pub since: Millis,
    /// The memory that it takes in the engine, in bytes.
    pub memory: u64,
}

/// One instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its labels.
    pub labels: Labels,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Its rack, empty if it has no such label.
    pub rack: Arc<str>,
    /// Its memory for weights in bytes.
    pub memory: u64,
    /// Whether it answers.
    pub health: Health,
    /// Whether it is to be emptied: it serves on until others have taken its place.
    pub cordoned: bool,
    /// The versions on it.
    pub versions: BTreeMap<Digest, VersionState>,
    /// Whether its engine holds one version at a time, however much memory is left.
    pub single_version: bool,
}

impl Member {
    /// An instance that holds nothing; zone and rack are read from the labels.
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

    /// What a version that needs `memory` bytes takes of the memory here.
    pub(super) fn takes(&self, memory: u64) -> u64 {
        if self.single_version {
            self.memory.max(memory)
        } else {
            memory
        }
    }

    /// Whether it answers from `version` now.
    pub fn serves(&self, version: &Digest) -> bool {
        let serving = |holding: &VersionState| holding.stage == Stage::Serving;
        matches!(self.health, Health::Up(_)) && self.versions.get(version).is_some_and(serving)
    }

    /// The hundredths of `version` that lie there.
    pub(super) fn share(&self, version: &Digest) -> u8 {
        match self.versions.get(version).map(|holding| holding.stage) {
            None | Some(Stage::Failed) => 0,
            Some(Stage::Fetched(percent)) => percent.min(100),
            Some(_) => 100,
        }
    }
}

/// Every instance known, by name.
pub type Fleet = BTreeMap<InstanceName, Member>;

/// What a target shall do with a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Duty {
    /// Fetch, load and serve it.
    Serve,
    /// Finish the requests in progress, then unload it.
    Drain,
    /// Fetch and verify it, and load nothing: it is to follow another version there.
    Fetch,
}

/// One version that a target shall hold.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Assignment {
    /// The deployment it belongs to.
    pub deployment: DeploymentName,
    /// The version.
    pub version: Digest,
    /// What to do with it.
    pub duty: Duty,
}

/// The desired state of every target: sorted assignments by instance.
pub type Assignments = BTreeMap<InstanceName, Vec<Assignment>>;

/// A deployment as placement sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeploymentSpec {
    /// The deployment.
    pub deployment: DeploymentName,
    /// The version to serve.
    pub version: Digest,
    /// The number of instances to serve on.
    pub replicas: usize,
    /// The memory that it takes on an instance, in bytes.
    pub memory: u64,
    /// The selectors of its pools: an instance fits that matches any of them.
    pub pools: Vec<Selector>,
}

impl DeploymentSpec {
    /// Whether the deployment's pools contain an instance with these labels.
    pub fn admits(&self, labels: &Labels) -> bool {
        self.pools.iter().any(|pool| pool.matches(labels))
    }
}

/// The wants of the declarations; `weights` gives the size of a published version in bytes.
pub fn deployment_specs(
    declared: &Declarations,
    weights: impl Fn(&Digest) -> u64,
) -> Vec<DeploymentSpec> {
    let pools_of = |by: &Selector| {
        let pools = declared.pools.values();
        let chosen = pools.filter(|pool| by.matches(&pool.labels));
        chosen.map(|pool| pool.instances.clone()).collect()
    };
    let deployments = declared.deployments.iter();
    deployments
        .map(|(name, deployment)| DeploymentSpec {
            deployment: name.clone(),
            version: deployment.version,
            replicas: deployment.replicas as usize,
            memory: deployment.memory.max(weights(&deployment.version)),
            pools: pools_of(&deployment.pools),
        })
        .collect()
}
