//! This module runs one round of placement: it derives the next orders from the declared and the
//! observed state.

use std::collections::BTreeSet;

use filbertstack_core::Millis;
use filbertstack_core::names::DeploymentName;
use filbertstack_core::names::InstanceName;

use super::faults::LoadFailures;
use super::fleet::Assignments;
use super::fleet::DeploymentSpec;
use super::fleet::Fleet;
use super::place::Placement;
use super::place::Round;
use super::place::Shortfall;
use super::place::place;
use super::roll::roll;
use super::roll::surges;

/// The result of one placement round.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Decision {
    /// The desired state of every known target.
    pub orders: Assignments,
    /// The targets whose desired state differs from their current assignments.
    pub changed: Vec<InstanceName>,
    /// The instances of each deployment, including the spare instances of a change of version.
    pub placement: Placement,
    /// The deployments that could not be placed in full.
    pub shortfalls: Vec<Shortfall>,
    /// The deployments whose change of version is blocked because no spare instance is available.
    pub blocked: BTreeSet<DeploymentName>,
}

/// Returns the next orders. The same inputs give the same decision. Once its orders are in force
/// and the targets follow them, the next decision changes nothing.
pub fn decide(
    fleet: &Fleet,
    specs: &[DeploymentSpec],
    current: &Assignments,
    failures: &LoadFailures,
    now: Millis,
) -> Decision {
    let round = Round {
        fleet,
        current,
        failures,
        now,
    };
    let surge = surges(fleet, current, specs);
    let placed = place(round, specs, &surge);
    let rolled = roll(round, specs, &placed.placement);
    Decision {
        changed: changed(current, &rolled.orders),
        orders: rolled.orders,
        placement: placed.placement,
        shortfalls: placed.shortfalls,
        blocked: rolled.blocked,
    }
}

fn changed(current: &Assignments, orders: &Assignments) -> Vec<InstanceName> {
    let empty = Vec::new();
    let differs = |(name, assignments): &(&InstanceName, &Vec<_>)| {
        current.get(*name).unwrap_or(&empty) != *assignments
    };
    let names = orders.iter().filter(differs);
    names.map(|(name, _)| name.clone()).collect()
}
