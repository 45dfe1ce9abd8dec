//! This module compares what is declared with what runs and names the reasons for differences.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use filbertstack_core::Digest;
use filbertstack_core::Millis;
use filbertstack_core::names::DeploymentName;
use filbertstack_core::names::InstanceName;

use super::decide::Decision;
use super::faults::LoadFailures;
use super::faults::RetryState;
use super::fleet::Assignments;
use super::fleet::DeploymentSpec;
use super::fleet::Duty;
use super::fleet::Fleet;
use super::fleet::Health;
use super::fleet::Member;
use super::fleet::Stage;
use super::roll::is_serving;

/// How long a target may differ from its order before it is ordered again.
///
/// An order arrives in well under a second and takes effect at once, so 15 s exceed any ordinary
/// delay. An agent that receives the same order twice does nothing.
pub const DRIFT_GRACE: Millis = Millis::secs(15);

/// A reason why a deployment does not run as declared.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UnmetReason {
    /// The deployment's pools have too few free instances.
    NoRoom {
        /// The number of missing instances.
        missing: usize,
    },
    /// The change of version needs a spare instance: add one, or lower the replicas.
    NoSpare,
    /// The instance does not answer.
    Unreachable(InstanceName),
    /// The instance is fetching the version.
    Fetching(InstanceName),
    /// The instance is loading the version.
    Loading(InstanceName),
    /// The load failed; it is retried, or another instance replaces this one.
    Failed(InstanceName),
    /// The instance still serves another version.
    OtherVersion(InstanceName),
}

impl std::fmt::Display for UnmetReason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NoRoom { missing } => {
                write!(
                    f,
                    "no room for {missing}: add instances to its pools or free some"
                )
            }
            Self::NoSpare => {
                write!(
                    f,
                    "a change of version needs a spare instance: add one or lower replicas"
                )
            }
            Self::Unreachable(name) => write!(f, "{name} does not answer: see to its agent"),
            Self::Fetching(name) => write!(f, "{name} fetches the version"),
            Self::Loading(name) => write!(f, "{name} loads the version"),
            Self::Failed(name) => {
                write!(f, "{name} could not load the version: see its engine's log")
            }
            Self::OtherVersion(name) => write!(f, "{name} answers from another version"),
        }
    }
}

/// The declared and the observed number of replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaCounts {
    /// The number of declared replicas.
    pub declared: usize,
    /// The number of instances that serve the declared version.
    pub serving: usize,
    /// The number of instances that serve only another version of the deployment.
    pub other_version: usize,
}

/// The status of one deployment, as `filbertstack status` shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeploymentStatus {
    /// The deployment.
    pub deployment: DeploymentName,
    /// The declared version.
    pub version: Digest,
    /// The number of declared and serving replicas.
    pub counts: ReplicaCounts,
    /// The reasons for the difference; empty if the deployment runs as declared.
    pub reasons: Vec<UnmetReason>,
}

impl DeploymentStatus {
    /// Returns whether the deployment runs as declared.
    pub fn is_met(&self) -> bool {
        self.counts.serving >= self.counts.declared && self.counts.other_version == 0
    }
}

/// Returns the status of every deployment after a round.
pub fn status(
    fleet: &Fleet,
    specs: &[DeploymentSpec],
    decision: &Decision,
    failures: &LoadFailures,
    now: Millis,
) -> Vec<DeploymentStatus> {
    let of_spec = |spec: &DeploymentSpec| deployment_status(fleet, spec, decision, failures, now);
    specs.iter().map(of_spec).collect()
}

fn deployment_status(
    fleet: &Fleet,
    spec: &DeploymentSpec,
    decision: &Decision,
    failures: &LoadFailures,
    now: Millis,
) -> DeploymentStatus {
    let mut reasons = BTreeSet::new();
    let shortfalls = decision.shortfalls.iter();
    let shortfalls = shortfalls.filter(|shortfall| shortfall.deployment == spec.deployment);
    reasons.extend(shortfalls.map(|shortfall| UnmetReason::NoRoom {
        missing: shortfall.missing,
    }));
    if decision.blocked.contains(&spec.deployment) {
        reasons.insert(UnmetReason::NoSpare);
    }
    let on_other_version = on_other_version(fleet, spec, &decision.orders);
    reasons.extend(
        on_other_version
            .iter()
            .map(|name| UnmetReason::OtherVersion((*name).clone())),
    );
    let placed = decision.placement.get(&spec.deployment);
    let mut serving = 0;
    for name in placed.into_iter().flatten() {
        match fleet.get(name) {
            Some(member) if member.serves(&spec.version) => serving += 1,
            Some(member) => reasons.extend(unmet_reason(name, member, spec, failures, now)),
            None => {}
        }
    }
    DeploymentStatus {
        deployment: spec.deployment.clone(),
        version: spec.version,
        counts: ReplicaCounts {
            declared: spec.replicas,
            serving,
            other_version: on_other_version.len(),
        },
        reasons: reasons.into_iter().collect(),
    }
}

/// Returns the instances that serve only another version of the deployment.
fn on_other_version<'a>(
    fleet: &Fleet,
    spec: &DeploymentSpec,
    orders: &'a Assignments,
) -> Vec<&'a InstanceName> {
    let serves_other = |(name, assignments): &(&InstanceName, &Vec<super::Assignment>)| {
        let Some(member) = fleet.get(*name) else {
            return false;
        };
        let mut others = assignments.iter().filter(|a| {
            a.deployment == spec.deployment && a.version != spec.version && a.duty == Duty::Serve
        });
        !member.serves(&spec.version) && others.any(|a| member.serves(&a.version))
    };
    let found = orders.iter().filter(serves_other);
    found.map(|(name, _)| name).collect()
}

fn unmet_reason(
    name: &InstanceName,
    member: &Member,
    spec: &DeploymentSpec,
    failures: &LoadFailures,
    now: Millis,
) -> Option<UnmetReason> {
    let name = name.clone();
    if !matches!(member.health, Health::Up(_)) {
        return Some(UnmetReason::Unreachable(name));
    }
    if failures.retry_state(&name, &spec.version, now) != RetryState::Ready {
        return Some(UnmetReason::Failed(name));
    }
    let state = member.versions.get(&spec.version);
    Some(match state.map(|state| state.stage) {
        Some(Stage::Loading) => UnmetReason::Loading(name),
        Some(Stage::Failed) => UnmetReason::Failed(name),
        Some(Stage::Draining) => UnmetReason::OtherVersion(name),
        Some(Stage::Serving) => return None,
        Some(Stage::Fetched(_)) | None => UnmetReason::Fetching(name),
    })
}

/// Returns the targets that have differed from their order for longer than [`DRIFT_GRACE`]: the
/// engine serves a version that was not ordered, or the agent does not know an ordered version. The
/// leader orders them again under a new fence. `since` records when each target began to differ.
pub fn drifted(
    fleet: &Fleet,
    current: &Assignments,
    since: &mut BTreeMap<InstanceName, Millis>,
    now: Millis,
) -> Vec<InstanceName> {
    let differs = |name: &InstanceName| {
        let member = fleet.get(name);
        member.is_some_and(|member| has_drifted(member, current.get(name)))
    };
    since.retain(|name, _| differs(name));
    for name in fleet.keys().filter(|name| differs(name)) {
        since.entry(name.clone()).or_insert(now);
    }
    let overdue = since
        .iter_mut()
        .filter(|(_, at)| now.since(**at) > DRIFT_GRACE);
    overdue
        .map(|(name, at)| {
            *at = now;
            name.clone()
        })
        .collect()
}

fn has_drifted(member: &Member, order: Option<&Vec<super::Assignment>>) -> bool {
    if !matches!(member.health, Health::Up(_)) {
        return false;
    }
    let ordered: BTreeSet<_> = order.into_iter().flatten().map(|a| &a.version).collect();
    let mut serving = member
        .versions
        .iter()
        .filter(|(_, state)| is_serving(state));
    let unordered = serving.any(|(version, _)| !ordered.contains(version));
    let missing = ordered
        .iter()
        .any(|version| !member.versions.contains_key(*version));
    unordered || missing
}
