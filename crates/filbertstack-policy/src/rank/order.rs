//! This module derives the ranks of a service's requests from the declared priorities.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use filbertstack_core::serving::Catalogue;
use filbertstack_core::serving::Route;

use super::Rank;

/// The pairs of priorities that requests of one service may have, in ascending order: that of the organisation
/// first, then that of the route.
type Order = Vec<(u8, u8)>;

/// The ranks of the services whose requests differ in priority.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RankOrders {
    services: BTreeMap<Arc<str>, Order>,
}

impl RankOrders {
    /// Returns the ranks that a configuration declares. Only model engines queue requests by rank, and only
    /// services whose routes differ in priority have ranks.
    pub fn new(catalogue: &Catalogue) -> Self {
        let mut routes: BTreeMap<&Arc<str>, BTreeSet<u8>> = BTreeMap::new();
        for route in catalogue.routes() {
            for weighted in &route.weighted_services {
                let priorities = routes.entry(&weighted.service).or_default();
                priorities.insert(route.priority);
            }
        }
        let tiers: BTreeSet<Option<u8>> = catalogue.organisations().map(|o| o.priority).collect();
        let ranked = routes.into_iter().filter(|(service, priorities)| {
            let declared = catalogue.service(service);
            priorities.len() > 1 && declared.is_some_and(|s| s.engine.is_some())
        });
        let services = ranked.map(|(service, priorities)| {
            let mut order = BTreeSet::new();
            for route in priorities {
                order.insert((route, route));
                order.extend(tiers.iter().map(|tier| (tier.unwrap_or(route), route)));
            }
            (service.clone(), order.into_iter().collect())
        });
        Self {
            services: services.collect(),
        }
    }

    /// Returns whether no service has ranks.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Returns the number of ranks of a service, or `None` if its requests do not differ in priority.
    pub fn count(&self, service: &str) -> Option<usize> {
        self.services.get(service).map(Vec::len)
    }

    /// Returns the rank of a request, or `None` if the requests of its service do not differ in priority.
    /// `organisation` is the priority of its organisation; without one, that of the route counts in its place.
    pub fn rank(&self, service: &str, organisation: Option<u8>, route: &Route) -> Option<Rank> {
        let order = self.services.get(service)?;
        let pair = (organisation.unwrap_or(route.priority), route.priority);
        let place = order.partition_point(|known| *known < pair);
        Some(Rank(u8::try_from(place).unwrap_or(u8::MAX)))
    }
}
