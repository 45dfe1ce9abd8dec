//! A whole configuration as one versioned document: routes, services, organisations and limits.
//!
//! Where operators replace the whole configuration at once, it is decoded into [`Parts`] and
//! checked by [`Catalogue::build`]. A catalogue never changes; a newer one takes its place.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use thiserror::Error;

/// What may be done when it is not known whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// The request may run more than once.
    Idempotent,
    /// The request may run once at most.
    Once,
    /// The answer is a stream that another target can resume after the last event received.
    Resumable,
}

/// One routing rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The rule's name.
    pub name: Arc<str>,
    /// The host that it answers for, in lower case.
    pub host: Arc<str>,
    /// What the path begins with; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub repeat: Repeat,
    /// The longest time in which a request must have its final answer.
    pub timeout: Duration,
    /// The time within which an answer, or its first event, is worth most to the caller.
    pub goal: Duration,
    /// The longest pause between two events of a stream that is still on time.
    pub pause: Option<Duration>,
    /// The rank among routes; 0 is first.
    pub priority: u8,
    /// The services that requests are split over, by weight.
    pub backends: Vec<Backend>,
    /// The most targets that one request may be sent to.
    pub attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
}

/// One service of a route and its share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// The service's name.
    pub service: Arc<str>,
    /// Its share of the route's requests, against the sum of all.
    pub weight: u32,
}

/// A service that targets announce themselves for.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The service's name.
    pub name: Arc<str>,
    /// The most connections that one of its targets takes from all callers together.
    pub connections: u32,
    /// How its model engines compute, if they are such.
    pub engine: Option<EngineModel>,
    /// Where its weights come from, if it is an origin of weights.
    pub origin: Option<SocketAddr>,
}

/// The published figures of a model engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineModel {
    /// Requests in one batch.
    pub slots: u32,
    /// Token steps in one pass.
    pub stride: u32,
    /// Milliseconds of one step, without requests.
    pub step_ms: f64,
    /// Milliseconds that each writing request adds to a step.
    pub request_ms: f64,
    /// Milliseconds that 1,000 tokens of context add to a step.
    pub context_ms: f64,
    /// Prompt tokens read in a millisecond.
    pub read_rate: f64,
    /// Milliseconds a million pairs of a prompt's tokens take.
    pub pairs_ms: f64,
    /// The mean prompt, in tokens.
    pub prompt: f64,
    /// The mean answer, in tokens.
    pub answer: f64,
    /// Pieces of one version of the weights.
    pub pieces: u32,
    /// Bytes of one piece.
    pub piece_bytes: u32,
    /// The models that its engines serve.
    pub models: Vec<Arc<str>>,
}

/// A caller's organisation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// Its name.
    pub name: Arc<str>,
    /// The keys that its callers show.
    pub keys: Vec<Arc<str>>,
    /// Its rank; goes before the route's if there is one.
    pub priority: Option<u8>,
}

/// Bounds on what a caller may send, and how slowly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub head: usize,
    /// Bytes of a request's body.
    pub body: usize,
    /// How long a head may take to arrive.
    pub head_time: Duration,
    /// How long a kept connection may stay idle.
    pub idle: Duration,
}

impl Default for CallerLimits {
    /// What holds until a configuration says otherwise: common servers' bounds.
    fn default() -> Self {
        Self {
            head: 16 << 10,
            body: 4 << 20,
            head_time: Duration::from_secs(3),
            idle: Duration::from_secs(15),
        }
    }
}

/// A decoded configuration, not checked yet.
#[derive(Clone, Debug, Default)]
pub struct Parts {
    /// The document's version.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// All organisations; none means that no request needs a key.
    pub organisations: Vec<Organisation>,
    /// Whether the document speaks of organisations at all.
    pub requires_key: bool,
    /// Bounds for callers.
    pub limits: CallerLimits,
}

/// Why a configuration is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CatalogueError {
    /// A route sends to a service that isn't there.
    #[error("route {route} sends to service {service}, which is not declared: declare it")]
    UnknownService {
        /// The route's name.
        route: Arc<str>,
        /// The service's name.
        service: Arc<str>,
    },
    /// Two routes would answer for the same requests.
    #[error("route {route} has the host and prefix of another route: change one of them")]
    SamePlace {
        /// The later route's name.
        route: Arc<str>,
    },
    /// No service of a route gets a share.
    #[error("the weights of route {route} add up to 0: give a service a weight")]
    NoWeight {
        /// The route's name.
        route: Arc<str>,
    },
    /// Every request of a route would time out at once.
    #[error("route {route} has a timeout of 0: give it one of a millisecond or more")]
    NoTimeout {
        /// The route's name.
        route: Arc<str>,
    },
    /// A key would stand for two organisations.
    #[error("organisations {first} and {second} share a key: give each its own")]
    SharedKey {
        /// The earlier organisation.
        first: Arc<str>,
        /// The later one.
        second: Arc<str>,
    },
}

/// A checked configuration, arranged for look-ups.
#[derive(Debug, Default)]
pub struct Catalogue {
    version: u64,
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    services: HashMap<Arc<str>, Arc<Service>>,
    holders: HashMap<Arc<str>, Arc<Organisation>>,
    requires_key: bool,
    limits: CallerLimits,
}

impl Catalogue {
    /// Checks the parts and arranges them.
    ///
    /// # Errors
    /// The first [`CatalogueError`] found.
    pub fn build(parts: Parts) -> Result<Self, CatalogueError> {
        let services = parts.services.into_iter().map(Arc::new);
        let services: HashMap<_, _> = services.map(|s| (s.name.clone(), s)).collect();
        let mut places = HashSet::new();
        for route in &parts.routes {
            check_route(route, &services)?;
            if !places.insert((route.host.clone(), route.prefix.clone())) {
                let route = route.name.clone();
                return Err(CatalogueError::SamePlace { route });
            }
        }
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
            holders: holders(parts.organisations)?,
            requires_key: parts.requires_key,
            limits: parts.limits,
        })
    }

    /// The document's version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The bounds for callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// The route with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = self.routes.get(host.to_ascii_lowercase().as_str())?;
        host.iter().find(|r| path.starts_with(r.prefix.as_ref()))
    }

    /// The service of that name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Whether every request of `service` may go on at another target when it breaks off.
    pub fn is_resumable(&self, service: &str) -> bool {
        let uses = |route: &Route| {
            let mut backends = route.backends.iter();
            backends.any(|backend| &*backend.service == service && backend.weight > 0)
        };
        let mut routes = self.routes.values().flatten().filter(|route| uses(route));
        routes.all(|route| route.repeat != Repeat::Once)
    }

    /// Whether requests need a key, except on public routes.
    pub fn requires_key(&self) -> bool {
        self.requires_key
    }

    /// The organisation that holds `key`.
    pub fn holder(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.holders.get(key)
    }
}

fn check_route(
    route: &Route,
    services: &HashMap<Arc<str>, Arc<Service>>,
) -> Result<(), CatalogueError> {
    let name = route.name.clone();
    let unknown = route
        .backends
        .iter()
        .find(|b| !services.contains_key(&b.service));
    if let Some(backend) = unknown {
        let service = backend.service.clone();
        return Err(CatalogueError::UnknownService {
            route: name,
            service,
        });
    }
    if route.backends.iter().all(|b| b.weight == 0) {
        return Err(CatalogueError::NoWeight { route: name });
    }
    if route.timeout.is_zero() {
        return Err(CatalogueError::NoTimeout { route: name });
    }
    Ok(())
}

fn holders(
    organisations: Vec<Organisation>,
) -> Result<HashMap<Arc<str>, Arc<Organisation>>, CatalogueError> {
    let mut holders: HashMap<Arc<str>, Arc<Organisation>> = HashMap::new();
    for organisation in organisations {
        let organisation = Arc::new(organisation);
        for key in &organisation.keys {
            let other = holders.insert(key.clone(), organisation.clone());
            if let Some(other) = other.filter(|o| o.name != organisation.name) {
                return Err(CatalogueError::SharedKey {
                    first: other.name.clone(),
                    second: organisation.name.clone(),
                });
            }
        }
    }
    Ok(holders)
}
