//! What is declared against what runs, and why they differ.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use filbertstack_core::Digest;
use filbertstack_core::Millis;
use filbertstack_core::names::DeploymentName;
use filbertstack_core::names::InstanceName;

use super::decide::Decision;
use super::faults::LoadFailures;
use super::faults::Verdict;
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
/// An order is on its way for well under a second and acted on at once; 15 s are past any
/// ordinary delay, and an agent that got it twice does nothing.
pub const DRIFT_AFTER: Millis = Millis::secs(15);

/// Why a deployment does not run as declared.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Why {
    /// Its pools have too few free instances.
    NoRoom {
        /// How many are missing.
        missing: usize,
    },
    /// A change of version needs a spare instance: add one, or lower the replicas.
    NoSpare,
    /// The instance does not answer.
    Unreachable(InstanceName),
    /// The instance fetches the version.
    Fetching(InstanceName),
    /// The instance loads the version.
    Loading(InstanceName),
    /// The load failed; it is tried again, or another instance is used.
    Failed(InstanceName),
    /// The instance still answers from another version.
    OtherVersion(InstanceName),
}

impl std::fmt::Display for Why {
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

/// Declared against observed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// The instances declared.
    pub declared: usize,
    /// The instances that answer from the declared version.
    pub serving: usize,
    /// The instances that answer from another version of the deployment only.
    pub other_version: usize,
}

/// One deployment as `filbertstack status` shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeploymentStatus {
    /// The deployment.
    pub deployment: DeploymentName,
    /// The declared version.
    pub version: Digest,
    /// The counts.
    pub counts: Difference,
    /// The reasons, empty if it runs as declared.
    pub reasons: Vec<Why>,
}

impl DeploymentStatus {
    /// Whether what runs is what is declared.
    pub fn is_met(&self) -> bool {
        self.counts.serving >= self.counts.declared && self.counts.other_version == 0
    }
}

/// The status of every deployment after a round.
pub fn status(
    fleet: &Fleet,
    wants: &[DeploymentSpec],
    decision: &Decision,
    faults: &LoadFailures,
    now: Millis,
) -> Vec<DeploymentStatus> {
    let of_want = |want: &DeploymentSpec| one_status(fleet, want, decision, faults, now);
    wants.iter().map(of_want).collect()
}

fn one_status(
    fleet: &Fleet,
    want: &DeploymentSpec,
    decision: &Decision,
    faults: &LoadFailures,
    now: Millis,
) -> DeploymentStatus {
    let mut reasons = BTreeSet::new();
    let short = decision.short.iter();
    let short = short.filter(|short| short.deployment == want.deployment);
    reasons.extend(short.map(|short| Why::NoRoom {
        missing: short.missing,
    }));
    if decision.blocked.contains(&want.deployment) {
        reasons.insert(Why::NoSpare);
    }
    let older = older(fleet, want, &decision.orders);
    reasons.extend(older.iter().map(|name| Why::OtherVersion((*name).clone())));
    let placed = decision.placement.get(&want.deployment);
    let mut serving = 0;
    for name in placed.into_iter().flatten() {
        match fleet.get(name) {
            Some(member) if member.serves(&want.version) => serving += 1,
            Some(member) => reasons.extend(reason(name, member, want, faults, now)),
            None => {}
        }
    }
    DeploymentStatus {
        deployment: want.deployment.clone(),
        version: want.version,
        counts: Difference {
            declared: want.replicas,
            serving,
            other_version: older.len(),
        },
        reasons: reasons.into_iter().collect(),
    }
}

/// The instances that answer from another version only.
fn older<'a>(
    fleet: &Fleet,
    want: &DeploymentSpec,
    orders: &'a Assignments,
) -> Vec<&'a InstanceName> {
    let serves_other = |(name, assignments): &(&InstanceName, &Vec<super::Assignment>)| {
        let Some(member) = fleet.get(*name) else {
            return false;
        };
        let mut others = assignments.iter().filter(|a| {
            a.deployment == want.deployment && a.version != want.version && a.duty == Duty::Serve
        });
        !member.serves(&want.version) && others.any(|a| member.serves(&a.version))
    };
    let found = orders.iter().filter(serves_other);
    found.map(|(name, _)| name).collect()
}

fn reason(
    name: &InstanceName,
    member: &Member,
    want: &DeploymentSpec,
    faults: &LoadFailures,
    now: Millis,
) -> Option<Why> {
    let name = name.clone();
    if !matches!(member.health, Health::Up(_)) {
        return Some(Why::Unreachable(name));
    }
    if faults.verdict(&name, &want.version, now) != Verdict::Fine {
        return Some(Why::Failed(name));
    }
    let holding = member.versions.get(&want.version);
    Some(match holding.map(|holding| holding.stage) {
        Some(Stage::Loading) => Why::Loading(name),
        Some(Stage::Failed) => Why::Failed(name),
        Some(Stage::Draining) => Why::OtherVersion(name),
        Some(Stage::Serving) => return None,
        Some(Stage::Fetched(_)) | None => Why::Fetching(name),
    })
}

/// The targets that differ from their standing order for longer than [`DRIFT_AFTER`]: an engine
/// that answers from a version nobody ordered, or an order that the agent does not know. The
/// leader orders them again under a new fence. `since` remembers when each began to differ.
pub fn drifted(
    fleet: &Fleet,
    standing: &Assignments,
    since: &mut BTreeMap<InstanceName, Millis>,
    now: Millis,
) -> Vec<InstanceName> {
    let differs = |name: &InstanceName| {
        let member = fleet.get(name);
        member.is_some_and(|member| has_drifted(member, standing.get(name)))
    };
    since.retain(|name, _| differs(name));
    for name in fleet.keys().filter(|name| differs(name)) {
        since.entry(name.clone()).or_insert(now);
    }
    let over = since
        .iter_mut()
        .filter(|(_, at)| now.since(**at) > DRIFT_AFTER);
    over.map(|(name, at)| {
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
        .filter(|(_, holding)| is_serving(holding));
    let foreign = serving.any(|(version, _)| !ordered.contains(version));
    let unknown = ordered
        .iter()
        .any(|version| !member.versions.contains_key(*version));
    foreign || unknown
}
