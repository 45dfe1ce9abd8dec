//! Where requests may be served, and what the log says of regions.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::sync::Arc;

use filbertstack_core::serving::Organisation;
use filbertstack_core::serving::Residency;
use filbertstack_core::serving::Route;
use spdlog::info;
use spdlog::warn;

use crate::control::node::Node;
use crate::control::registry::RegistryRow;
use crate::link::messages::Kind;
use crate::request::Call;
use crate::request::answer::Refusal;
use crate::request::find_organisation;
use crate::request::find_route;

/// The reason why a request is refused that no registered target may serve.
pub const NO_REGION: &str = "no target is registered in an allowed region";

/// The maximum number of findings that are remembered. Targets name their zones in their heartbeats, so their
/// number is not known.
const MAX_FINDINGS: usize = 64;

/// Where one request may be served: in the regions that both its route and its organisation allow.
#[derive(Debug)]
pub struct CallResidency {
    /// The version of the document by which it was determined.
    version: Cell<u64>,
    /// `None` if everywhere.
    allowed: RefCell<Option<Residency>>,
}

impl CallResidency {
    /// Determines it by the document `version`.
    pub fn new(version: u64, route: &Route, organisation: Option<&Organisation>) -> Self {
        Self {
            version: Cell::new(version),
            allowed: RefCell::new(combine(route, organisation)),
        }
    }

    /// Returns where `call` may be served by the document in force; `None` if everywhere. A document that is
    /// replaced while the request waits, or between two sends, counts from then on. If the new one has no such
    /// route or key, what was determined before stays.
    fn in_force(&self, node: &Node, call: &Call) -> Option<Residency> {
        let version = node.declared.version();
        if self.version.replace(version) != version {
            let catalogue = node.declared.catalogue();
            let route = find_route(&catalogue, &call.headers, &call.target);
            let found = route.and_then(|route| {
                let organisation = find_organisation(&catalogue, &route, &call.head)?;
                Ok(combine(&route, organisation.as_deref()))
            });
            if let Ok(allowed) = found {
                *self.allowed.borrow_mut() = allowed;
            }
        }
        self.allowed.borrow().clone()
    }
}

/// Returns the regions that both the route and the organisation allow; `None` if everywhere.
fn combine(route: &Route, organisation: Option<&Organisation>) -> Option<Residency> {
    let anywhere = Residency::Anywhere;
    let organisation = organisation.map_or(&anywhere, |o| &o.residency);
    let both = route.residency.both(organisation);
    (both != Residency::Anywhere).then_some(both)
}

impl Call {
    /// Returns where it may be served; `None` if everywhere.
    pub fn residency(&self, node: &Node) -> Option<Residency> {
        self.residency.in_force(node, self)
    }

    /// Returns whether no region is left in which it may be served.
    pub fn is_allowed_nowhere(&self, node: &Node) -> bool {
        let residency = self.residency(node);
        residency.is_some_and(|residency| residency.regions().is_empty())
    }

    /// Adds the rule to a refusal for which the regions are the reason.
    pub fn name_rule(&self, node: &Node, refusal: Refusal) -> Refusal {
        if refusal.why != NO_REGION {
            return refusal;
        }
        let residency = self.residency(node);
        let rule = residency.map(|residency| {
            let route = &self.route.name;
            let organisation = self.organisation.as_deref().unwrap_or("none");
            let regions = residency.regions().join(", ");
            format!("route {route}, organisation {organisation}, allowed regions: {regions}")
        });
        Refusal { rule, ..refusal }
    }
}

/// A fact that may be a mistake in the settings or in the configuration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Finding {
    /// The configuration names a region that no zone is in.
    UnknownRegion(Arc<str>),
    /// No target is registered in a region that the configuration names.
    EmptyRegion(Arc<str>),
    /// A target is in a zone that no region has.
    UnmappedZone(Arc<str>),
}

impl Finding {
    fn log_begin(&self) {
        match self {
            Self::UnknownRegion(region) => warn!(
                "allowed region is unknown: correct allowedRegions or name its zones in [regions]",
                kv: { region = region.to_string() }
            ),
            Self::EmptyRegion(region) => {
                warn!("allowed region has no target", kv: { region = region.to_string() });
            }
            Self::UnmappedZone(zone) => warn!(
                "zone is in no region and serves unrestricted requests only: name it in [regions]",
                kv: { zone = zone.to_string() }
            ),
        }
    }

    fn log_end(&self) {
        match self {
            Self::UnknownRegion(region) => {
                info!("region is no longer named", kv: { region = region.to_string() });
            }
            Self::EmptyRegion(region) => {
                info!("allowed region has targets or is no longer named",
                    kv: { region = region.to_string() });
            }
            Self::UnmappedZone(zone) => {
                info!("zone without a region has no target any more", kv: { zone = zone.to_string() });
            }
        }
    }
}

/// The findings that the log has.
#[derive(Debug, Default)]
pub struct RegionLog(RefCell<BTreeSet<Finding>>);

impl RegionLog {
    /// Logs what has changed. Nothing is logged while the configuration names no region.
    pub fn update(&self, node: &Node, rows: &[RegistryRow]) {
        let found = find(node, rows);
        let logged = self.0.replace(found.clone());
        found.difference(&logged).for_each(Finding::log_begin);
        logged.difference(&found).for_each(Finding::log_end);
    }
}

fn find(node: &Node, rows: &[RegistryRow]) -> BTreeSet<Finding> {
    let catalogue = node.declared.catalogue();
    let named = catalogue.named_regions();
    if named.is_empty() {
        return BTreeSet::new();
    }
    let zones = rows.iter().filter_map(|(_, kind, _)| match &**kind {
        Kind::Target(row) => Some(row.zone.as_str()),
        _ => None,
    });
    let zones: BTreeSet<&str> = zones.collect();
    let served = zones.iter().filter_map(|zone| node.settings.region(zone));
    let served: BTreeSet<&Arc<str>> = served.collect();
    let known: BTreeSet<&Arc<str>> = node.settings.regions.values().collect();
    let regions = named.iter().filter_map(|region| {
        if !known.contains(region) {
            return Some(Finding::UnknownRegion(region.clone()));
        }
        (!served.contains(region)).then(|| Finding::EmptyRegion(region.clone()))
    });
    let unmapped = zones
        .into_iter()
        .filter(|zone| node.settings.region(zone).is_none())
        .map(|zone| Finding::UnmappedZone(zone.into()));
    regions.chain(unmapped).take(MAX_FINDINGS).collect()
}
