//! This module holds a complete configuration as one versioned document: routes, services, organisations and
//! limits.
//!
//! Where operators replace the complete configuration at once, it is decoded into [`Parts`] and validated by
//! [`Catalogue::build`]. A catalogue is immutable; a new version replaces it.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use thiserror::Error;

/// Determines whether a request may be repeated when it is unknown whether it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// The request may run more than once.
    Idempotent,
    /// The request may run at most once.
    Once,
    /// The answer is a stream that another target can resume after the last event received.
    Resumable,
}

/// The regions where requests may be served, cached and stored.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Residency {
    /// All regions.
    #[default]
    Anywhere,
    /// These regions only; none if the list is empty.
    Only(Arc<[Arc<str>]>),
}

impl Residency {
    /// Returns the residency that a declaration with these regions has. A declaration without regions has no
    /// restriction.
    pub fn declared(regions: Vec<Arc<str>>) -> Self {
        if regions.is_empty() {
            Self::Anywhere
        } else {
            Self::Only(regions.into())
        }
    }

    /// Returns the residency of a request that both `self` and `other` bind.
    #[must_use]
    pub fn both(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::Anywhere, only) | (only, Self::Anywhere) => only.clone(),
            (Self::Only(first), Self::Only(second)) => {
                let shared = first.iter().filter(|region| second.contains(region));
                Self::Only(shared.cloned().collect())
            }
        }
    }

    /// Returns the regions to which it is restricted; empty if there is no restriction, or if nothing is allowed.
    pub fn regions(&self) -> &[Arc<str>] {
        match self {
            Self::Anywhere => &[],
            Self::Only(regions) => regions,
        }
    }

    /// Returns whether a request may be served in `region`. A place without a known region serves only
    /// unrestricted requests.
    pub fn allows(&self, region: Option<&str>) -> bool {
        match self {
            Self::Anywhere => true,
            Self::Only(regions) => {
                region.is_some_and(|r| regions.iter().any(|known| **known == *r))
            }
        }
    }
}

/// A route sends requests for one host and path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name of the route.
    pub name: Arc<str>,
    /// The host that the route serves, in lower case.
    pub host: Arc<str>,
    /// The prefix of the paths that the route serves; it starts and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether requests may be repeated.
    pub repeat: Repeat,
    /// Whether its answers are streams of events, each with an id that increases.
    pub streams: bool,
    /// The time within which a request must have its complete answer.
    pub timeout: Duration,
    /// The time within which an answer, or the first event of a stream, is most useful to the caller.
    pub goal: Duration,
    /// The longest interval between two events of a stream that still counts as on time.
    pub pause: Option<Duration>,
    /// The priority among routes; 0 is the highest.
    pub priority: u8,
    /// The services that share the requests, by weight.
    pub weighted_services: Vec<WeightedService>,
    /// The maximum number of targets that one request may be sent to.
    pub attempts: u32,
    /// Whether requests are accepted without a key.
    pub public: bool,
    /// Where its requests may be served.
    pub residency: Residency,
}

/// A service of a route and its share of the requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// The service's name.
    pub service: Arc<str>,
    /// The service's share of the route's requests, relative to the sum of all weights.
    pub weight: u32,
}

/// A service that targets register for.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The service's name.
    pub name: Arc<str>,
    /// The maximum number of connections that one of its targets accepts from all callers together.
    pub connections: u32,
    /// The performance figures of its model engines, if its targets are model engines.
    pub engine: Option<EngineModel>,
    /// The origin of weights that the service is, if it is one.
    pub origin: Option<Origin>,
    /// What its targets take while they are cold, if they are slow after a start.
    pub cold_start: Option<ColdStart>,
}

/// What a target takes while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// How long a target is cold after it starts.
    pub span: Duration,
    /// The requests a second that a cold target takes from all entries together; greater than 0.
    pub per_s: f64,
}

/// An origin of weights.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Origin {
    /// The address that weights come from.
    pub addr: SocketAddr,
    /// The rate of its link in Mbit/s, if it is published.
    pub link: Option<f64>,
}

impl Origin {
    /// Returns the time in which its link carries `bytes` bytes, if its rate is published.
    pub fn transfer_time(&self, bytes: u64) -> Option<Duration> {
        #[expect(
            clippy::cast_precision_loss,
            reason = "weights have far fewer bytes than a double counts exactly"
        )]
        let bits = bytes as f64 * 8.0;
        let link = self.link.filter(|link| *link > 0.0)?;
        Duration::try_from_secs_f64(bits / (link * 1e6)).ok()
    }
}

/// The published performance figures of a model engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineModel {
    /// The number of requests in one batch.
    pub slots: u32,
    /// The number of token steps in one pass.
    pub stride: u32,
    /// The duration of one step without requests, in milliseconds.
    pub step_ms: f64,
    /// The milliseconds that each request in the decode phase adds to a step.
    pub request_ms: f64,
    /// The milliseconds that 1,000 tokens of context add to a step.
    pub context_ms: f64,
    /// The number of prompt tokens that the engine reads in a millisecond.
    pub read_rate: f64,
    /// The milliseconds that a million pairs of prompt tokens take.
    pub pairs_ms: f64,
    /// The mean length of a prompt, in tokens.
    pub prompt: f64,
    /// The mean length of an answer, in tokens.
    pub answer: f64,
    /// The number of pieces in one version of the weights.
    pub pieces: u32,
    /// The size of one piece, in bytes.
    pub piece_bytes: u32,
    /// The models that the engine serves.
    pub models: Vec<Arc<str>>,
}

/// An organisation that callers belong to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// The name of the organisation.
    pub name: Arc<str>,
    /// The keys that its callers present.
    pub keys: Vec<Arc<str>>,
    /// The priority of its requests, which is compared before the priority of the route.
    pub priority: Option<u8>,
    /// Where its requests may be served, beside what the route allows.
    pub residency: Residency,
}

/// Limits on the size and the duration of what a caller sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The maximum size of a request's head, in bytes.
    pub head: usize,
    /// The maximum size of a request's body, in bytes.
    pub body: usize,
    /// The maximum time in which a head must arrive.
    pub head_time: Duration,
    /// The maximum time that a kept-alive connection may stay idle.
    pub idle: Duration,
}

impl Default for CallerLimits {
    /// Returns the limits that apply until a configuration sets others; they are those of common servers.
    fn default() -> Self {
        Self {
            head: 16 << 10,
            body: 4 << 20,
            head_time: Duration::from_secs(3),
            idle: Duration::from_secs(15),
        }
    }
}

/// A decoded configuration that has not been validated.
#[derive(Clone, Debug, Default)]
pub struct Parts {
    /// The version of the document.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<Service>,
    /// The organisations whose keys are accepted.
    pub organisations: Vec<Organisation>,
    /// Whether the document has a list of organisations; without one, no request needs a key.
    pub requires_key: bool,
    /// The limits for callers.
    pub limits: CallerLimits,
}

/// The reason why a configuration is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CatalogueError {
    /// A route refers to a service that is not declared.
    #[error("route {route} sends to service {service}, which is not declared: declare it")]
    UnknownService {
        /// The route's name.
        route: Arc<str>,
        /// The service's name.
        service: Arc<str>,
    },
    /// Two routes have the same host and path prefix.
    #[error("route {route} has the host and prefix of another route: change one of them")]
    DuplicateRoute {
        /// The later route's name.
        route: Arc<str>,
    },
    /// The weights of a route's services add up to zero.
    #[error("the weights of route {route} add up to 0: give a service a weight")]
    ZeroWeight {
        /// The route's name.
        route: Arc<str>,
    },
    /// A route has a timeout of zero, so that every request would time out at once.
    #[error("route {route} has a timeout of 0: give it one of a millisecond or more")]
    ZeroTimeout {
        /// The route's name.
        route: Arc<str>,
    },
    /// Two organisations have the same key.
    #[error("organisations {first} and {second} share a key: give each its own")]
    SharedKey {
        /// The name of the earlier organisation.
        first: Arc<str>,
        /// The name of the later organisation.
        second: Arc<str>,
    },
}

/// A validated configuration, indexed for look-ups.
#[derive(Debug, Default)]
pub struct Catalogue {
    version: u64,
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    services: HashMap<Arc<str>, Arc<Service>>,
    holders: HashMap<Arc<str>, Arc<Organisation>>,
    /// The regions that routes and organisations name.
    regions: BTreeSet<Arc<str>>,
    requires_key: bool,
    limits: CallerLimits,
}

impl Catalogue {
    /// Validates the parts and indexes them.
    ///
    /// # Errors
    /// Returns the first [`CatalogueError`] found.
    pub fn build(parts: Parts) -> Result<Self, CatalogueError> {
        let services = parts.services.into_iter().map(Arc::new);
        let services: HashMap<_, _> = services.map(|s| (s.name.clone(), s)).collect();
        let mut prefixes = HashSet::new();
        for route in &parts.routes {
            check_route(route, &services)?;
            if !prefixes.insert((route.host.clone(), route.prefix.clone())) {
                let route = route.name.clone();
                return Err(CatalogueError::DuplicateRoute { route });
            }
        }
        let regions = named_regions(&parts.routes, &parts.organisations);
        let mut routes: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in parts.routes {
            let host = routes.entry(route.host.clone()).or_default();
            host.push(Arc::new(route));
        }
        for host in routes.values_mut() {
            host.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Ok(Self {
            version: parts.version,
            routes,
            services,
            holders: index_keys(parts.organisations)?,
            regions,
            requires_key: parts.requires_key,
            limits: parts.limits,
        })
    }

    /// Returns the version of the document.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits for callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns the route of `host` with the longest prefix that matches the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = self.routes.get(host.to_ascii_lowercase().as_str())?;
        host.iter().find(|r| path.starts_with(r.prefix.as_ref()))
    }

    /// Returns where the requests of all routes of `host` may be served.
    pub fn host_residency(&self, host: &str) -> Residency {
        let routes = self.routes.get(host.to_ascii_lowercase().as_str());
        let routes = routes.into_iter().flatten();
        routes.fold(Residency::Anywhere, |all, route| all.both(&route.residency))
    }

    /// Returns the regions to which routes and organisations are restricted.
    pub fn named_regions(&self) -> &BTreeSet<Arc<str>> {
        &self.regions
    }

    /// Returns the service with that name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Iterates over all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Iterates over all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }

    /// Iterates over the organisations that hold keys, once for each key.
    pub fn organisations(&self) -> impl Iterator<Item = &Arc<Organisation>> {
        self.holders.values()
    }

    /// Returns whether requests need a key, except on public routes.
    pub fn requires_key(&self) -> bool {
        self.requires_key
    }

    /// Returns the organisation that holds `key`.
    pub fn holder(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.holders.get(key)
    }
}

fn named_regions(routes: &[Route], organisations: &[Organisation]) -> BTreeSet<Arc<str>> {
    let routes = routes.iter().map(|route| &route.residency);
    let organisations = organisations.iter().map(|o| &o.residency);
    let named = routes.chain(organisations).flat_map(Residency::regions);
    named.cloned().collect()
}

fn check_route(
    route: &Route,
    services: &HashMap<Arc<str>, Arc<Service>>,
) -> Result<(), CatalogueError> {
    let name = route.name.clone();
    let unknown = route
        .weighted_services
        .iter()
        .find(|w| !services.contains_key(&w.service));
    if let Some(weighted) = unknown {
        let service = weighted.service.clone();
        return Err(CatalogueError::UnknownService {
            route: name,
            service,
        });
    }
    if route.weighted_services.iter().all(|w| w.weight == 0) {
        return Err(CatalogueError::ZeroWeight { route: name });
    }
    if route.timeout.is_zero() {
        return Err(CatalogueError::ZeroTimeout { route: name });
    }
    Ok(())
}

fn index_keys(
    organisations: Vec<Organisation>,
) -> Result<HashMap<Arc<str>, Arc<Organisation>>, CatalogueError> {
    let mut holders: HashMap<Arc<str>, Arc<Organisation>> = HashMap::new();
    for organisation in organisations {
        let organisation = Arc::new(organisation);
        for key in &organisation.keys {
            let other = holders.insert(key.clone(), organisation.clone());
            // Two organisations may be declared under one name. One may list a key twice.
            if let Some(other) = other.filter(|o| !Arc::ptr_eq(o, &organisation)) {
                return Err(CatalogueError::SharedKey {
                    first: other.name.clone(),
                    second: organisation.name.clone(),
                });
            }
        }
    }
    Ok(holders)
}
