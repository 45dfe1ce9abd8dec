//! One round of placement: from what is declared and what runs to the next orders.

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

/// What one round came to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Decision {
    /// The desired state of every known target.
    pub orders: Assignments,
    /// The targets whose desired state differs from the standing orders.
    pub changed: Vec<InstanceName>,
    /// Where each deployment shall stand, spare instances of a change included.
    pub placement: Placement,
    /// The deployments that could not be placed in full.
    pub short: Vec<Shortfall>,
    /// The deployments whose change of version waits for a spare instance that is not there.
    pub blocked: BTreeSet<DeploymentName>,
}

/// Decides the next orders. The same inputs give the same decision; once its orders stand and the
/// targets follow them, the next decision changes nothing.
pub fn decide(
    fleet: &Fleet,
    wants: &[DeploymentSpec],
    standing: &Assignments,
    faults: &LoadFailures,
    now: Millis,
) -> Decision {
    let round = Round {
        fleet,
        standing,
        faults,
        now,
    };
    let extra = surges(fleet, standing, wants);
    let placed = place(round, wants, &extra);
    let rolled = roll(round, wants, &placed.placement);
    Decision {
        changed: changed(standing, &rolled.orders),
        orders: rolled.orders,
        placement: placed.placement,
        short: placed.short,
        blocked: rolled.blocked,
    }
}

fn changed(standing: &Assignments, orders: &Assignments) -> Vec<InstanceName> {
    let none = Vec::new();
    let differs =
        |(name, wanted): &(&InstanceName, &Vec<_>)| standing.get(*name).unwrap_or(&none) != *wanted;
    let names = orders.iter().filter(differs);
    names.map(|(name, _)| name.clone()).collect()
}
