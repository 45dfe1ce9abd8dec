//! The targets of one entry: what the registry says of them, and the load of their engines.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use filbertstack_core::Millis;
use filbertstack_core::serving::EngineModel;
use filbertstack_policy::dispatch::Dispatcher;
use filbertstack_policy::dispatch::Ended;
use filbertstack_policy::dispatch::Load;
use filbertstack_policy::dispatch::Offered;
use filbertstack_policy::dispatch::Refused;
use filbertstack_policy::dispatch::Sharers;
use filbertstack_policy::dispatch::TargetId;
use filbertstack_policy::dispatch::Wanted;
use filbertstack_policy::registry::Stamp;
use filbertstack_policy::rollout;
use filbertstack_policy::subset;
use filbertstack_policy::subset::Candidate;

use crate::control::node::Node;
use crate::link::messages::AgentRow;
use crate::link::messages::Kind;
use crate::link::messages::LoadRow;
use crate::link::messages::TargetRow;
use crate::link::messages::addr;
use crate::link::messages::pack;

/// The targets that requests may go to.
pub struct Targets {
    node: Rc<Node>,
    dispatcher: RefCell<Dispatcher>,
    places: RefCell<BTreeMap<TargetId, Place>>,
    /// The engines among them by their packed addresses, as their loads name them.
    engines: RefCell<BTreeMap<u64, TargetId>>,
}

/// Where a target serves, and the version of weights that it must show.
#[derive(Clone, Copy, Debug)]
struct Place {
    addr: SocketAddr,
    version: Option<u64>,
    /// Until when requests may wait there, where a newer version is named.
    until: Option<Millis>,
}

/// A target that was chosen.
#[derive(Clone, Debug)]
pub struct Chosen {
    /// Its instance id.
    pub id: TargetId,
    /// Where it serves.
    pub addr: SocketAddr,
    /// The version of weights that it must hold, where an older one may no longer answer.
    pub version: Option<u64>,
    /// How long the request may wait there, where a newer version of the weights is named.
    pub patience: Option<Duration>,
    /// The predicted milliseconds to the first event.
    pub predicted: f64,
    /// The age of the load report that the prediction rests on.
    pub report_age: Option<Millis>,
}

impl Targets {
    /// No targets yet.
    pub fn new(node: Rc<Node>, dispatcher: Dispatcher) -> Self {
        Self {
            node,
            dispatcher: RefCell::new(dispatcher),
            places: RefCell::default(),
            engines: RefCell::default(),
        }
    }

    /// Takes over what the registry and the declared state say now. Of the engines of a large service
    /// this entry uses its subset.
    pub fn refresh(&self) {
        let rows = self.node.registry.present();
        let now = self.node.clock.now();
        let agents: BTreeMap<&str, &AgentRow> = rows
            .iter()
            .filter_map(|(_, kind, _)| match &**kind {
                Kind::Agent(agent) => Some((agent.engine.as_str(), agent)),
                _ => None,
            })
            .collect();
        let latest: Vec<_> = latest(&rows).collect();
        let beside = self.beside(&rows, &latest);
        let used = self.used(&latest, &beside);
        let census = Census::new(&self.node.settings.node.zone, &rows, &latest, &used);
        let mut offered = Vec::new();
        let mut places = BTreeMap::new();
        let mut engines = BTreeMap::new();
        for (id, row, addr) in latest {
            let agent = agents.get(row.addr.as_str()).copied();
            let sharers = Sharers {
                beside: beside.get(&addr).copied().unwrap_or(0),
                ..census.sharers(row)
            };
            let (target, place) = self.offered((id, row, addr), agent, sharers, now);
            if target.engine.is_some() {
                if !used.contains(&addr) {
                    continue;
                }
                engines.extend(pack(addr).map(|packed| (packed, id.clone())));
            }
            offered.push(target);
            places.insert(id.clone(), place);
        }
        self.node
            .loads
            .set_wanted(engines.keys().copied().collect());
        self.dispatcher.borrow_mut().offer(offered);
        *self.places.borrow_mut() = places;
        *self.engines.borrow_mut() = engines;
    }

    /// The addresses of the targets beside this entry, and for each how many entries are.
    fn beside(
        &self,
        rows: &[(Arc<str>, Rc<Kind>, Stamp)],
        latest: &[(&TargetId, &TargetRow, SocketAddr)],
    ) -> BTreeMap<SocketAddr, u32> {
        let node = &self.node.settings.node;
        let entries = rows.iter().filter_map(|(id, kind, _)| match &**kind {
            Kind::Entry(row) if row.zone == node.zone && !row.leaving => Some(&**id),
            _ => None,
        });
        let entries: Vec<&str> = entries.collect();
        let own = self.node.entry_id();
        let mut services: BTreeMap<&str, Vec<(&str, SocketAddr)>> = BTreeMap::new();
        for (_, row, addr) in latest.iter().filter(|(_, row, _)| row.zone == node.zone) {
            let targets = services.entry(&row.service).or_default();
            targets.push((&row.addr, *addr));
        }
        let mut beside = BTreeMap::new();
        for targets in services.values() {
            let names: Vec<&str> = targets.iter().map(|(name, _)| *name).collect();
            for met in subset::beside(&own, &entries, &names) {
                beside.insert(targets[met.target].1, met.entries);
            }
        }
        beside
    }

    /// The addresses of the targets that this entry uses of each service.
    fn used(
        &self,
        latest: &[(&TargetId, &TargetRow, SocketAddr)],
        beside: &BTreeMap<SocketAddr, u32>,
    ) -> BTreeSet<SocketAddr> {
        let mut services: BTreeMap<&str, Vec<Candidate<'_, SocketAddr>>> = BTreeMap::new();
        for (_, row, addr) in latest {
            let candidate = Candidate {
                key: *addr,
                name: &row.addr,
                zone: &row.zone,
            };
            services.entry(&row.service).or_default().push(candidate);
        }
        let node = &self.node.settings.node;
        let used = services.values().flat_map(|candidates| {
            subset::used(&node.name, &node.zone, candidates, |addr| {
                beside.contains_key(&addr)
            })
        });
        used.collect()
    }

    /// Takes in the loads of engines.
    pub fn report(&self, rows: &[LoadRow]) {
        let now = self.node.clock.now();
        let engines = self.engines.borrow();
        let mut dispatcher = self.dispatcher.borrow_mut();
        for row in rows {
            if let Some(id) = engines.get(&row.engine) {
                dispatcher.report(now, id, load(row));
            }
        }
    }

    /// The target as the policy sees it, and its place.
    fn offered(
        &self,
        (id, row, addr): (&TargetId, &TargetRow, SocketAddr),
        agent: Option<&AgentRow>,
        sharers: Sharers,
        now: Millis,
    ) -> (Offered, Place) {
        let catalogue = self.node.declared.catalogue();
        let service = catalogue.service(&row.service);
        let engine = service.and_then(|s| s.engine.clone()).map(Arc::new);
        // The agent beside the engine knows first.
        let version = agent.map_or(row.version, |agent| agent.version);
        let ages = engine.as_deref().map(|e| self.ages(e, now));
        let ages = ages.unwrap_or_default();
        let bound = Millis::from(self.node.settings.bounds.rollout);
        let floor = rollout::floor(ages.iter().copied(), bound);
        let patience = rollout::patience(ages.into_iter(), version, bound);
        let loading = agent.is_some_and(|agent| agent.loading);
        let serves = engine.is_none() || (version > 0 && version >= floor && !loading);
        let offered = Offered {
            id: id.clone(),
            service: row.service.as_str().into(),
            slots: row.slots,
            near: row.zone == self.node.settings.node.zone,
            sharers,
            engine,
            open: serves && !row.draining,
        };
        let place = Place {
            addr,
            version: (floor > 0).then_some(version),
            until: patience.map(|patience| now + patience),
        };
        (offered, place)
    }

    /// The versions of an engine's weights that were named, and how long ago.
    fn ages(&self, engine: &EngineModel, now: Millis) -> Vec<(u64, Millis)> {
        let named = engine
            .models
            .first()
            .map(|m| self.node.declared.weight_versions(m));
        let named = named.unwrap_or_default().into_iter();
        let ages = named.map(|named| (named.version, now.since(named.at)));
        ages.collect()
    }

    /// Counts a request for `service` that comes.
    pub fn come(&self, service: &Arc<str>) {
        let now = self.node.clock.now();
        self.dispatcher.borrow_mut().come(now, service);
    }

    /// Chooses a target for a request.
    ///
    /// # Errors
    /// [`Refused`] if none can serve it in time.
    pub fn choose(&self, wanted: &Wanted<'_>) -> Result<Chosen, Refused> {
        let now = self.node.clock.now();
        let mut dispatcher = self.dispatcher.borrow_mut();
        let id = dispatcher.choose(now, wanted)?;
        let (predicted, report_age) = dispatcher.grounds(now, &id, wanted.prompt);
        let place = self.places.borrow().get(&id).copied();
        // Both are replaced together, so a target that is offered has a place.
        let place = place.ok_or(Refused::NoTarget {
            after: Millis::secs(1),
        })?;
        Ok(Chosen {
            id,
            addr: place.addr,
            version: place.version,
            patience: place.until.map(|until| until.since(now).into()),
            predicted,
            report_age,
        })
    }

    /// Counts a request that is sent.
    pub fn sent(&self, id: &str, prompt: u32) {
        let now = self.node.clock.now();
        self.dispatcher.borrow_mut().sent(now, id, prompt);
    }

    /// Counts a first event.
    pub fn began(&self, id: &str, prompt: u32) {
        let now = self.node.clock.now();
        self.dispatcher.borrow_mut().began(now, id, prompt);
    }

    /// Notes that bytes of an answer came.
    pub fn heard(&self, id: &str) {
        let now = self.node.clock.now();
        self.dispatcher.borrow_mut().hear(now, id);
    }

    /// Whether a target is silent though others are heard, or gone.
    pub fn is_silent(&self, id: &str) -> bool {
        let now = self.node.clock.now();
        self.dispatcher.borrow().is_silent(now, id)
    }

    /// Counts the end of a request; `unread` is its prompt if no event had come.
    pub fn ended(&self, id: &str, unread: u32, ended: Ended) {
        let now = self.node.clock.now();
        self.dispatcher.borrow_mut().ended(now, id, unread, ended);
    }

    /// Takes a target out for a while.
    pub fn shut(&self, id: &str, span: Millis) {
        let now = self.node.clock.now();
        self.dispatcher.borrow_mut().shut(now, id, span);
    }
}

/// How many entries and targets there are, and how many targets this entry uses: of all zones, and of
/// its own.
struct Census<'a> {
    zone: &'a str,
    entries: [u32; 2],
    /// By service.
    targets: BTreeMap<&'a str, [u32; 2]>,
    /// Those that this entry uses, by service.
    used: BTreeMap<&'a str, [u32; 2]>,
}

impl<'a> Census<'a> {
    fn new(
        zone: &'a str,
        rows: &[(Arc<str>, Rc<Kind>, Stamp)],
        latest: &[(&TargetId, &'a TargetRow, SocketAddr)],
        used: &BTreeSet<SocketAddr>,
    ) -> Self {
        let mut census = Self {
            zone,
            entries: [0; 2],
            targets: BTreeMap::new(),
            used: BTreeMap::new(),
        };
        for (_, kind, _) in rows {
            if let Kind::Entry(row) = &**kind {
                count(&mut census.entries, row.zone == zone);
            }
        }
        for (_, row, addr) in latest {
            let near = row.zone == zone;
            count(census.targets.entry(&row.service).or_default(), near);
            if used.contains(addr) {
                count(census.used.entry(&row.service).or_default(), near);
            }
        }
        census
    }

    fn sharers(&self, row: &TargetRow) -> Sharers {
        let part = usize::from(row.zone == self.zone);
        let counted = |of: &BTreeMap<&str, [u32; 2]>| {
            let counts = of.get(row.service.as_str());
            counts.map_or(1, |counts| counts[part])
        };
        Sharers {
            entries: self.entries[part],
            targets: counted(&self.targets),
            used: counted(&self.used),
            beside: 0,
        }
    }
}

/// Counts one among all, and among those `near`.
fn count(counts: &mut [u32; 2], near: bool) {
    counts[0] += 1;
    counts[1] += u32::from(near);
}

/// The targets that are there. Of two at one address the one that started last is: the other has
/// ended, or its address could not have been given away.
fn latest(
    rows: &[(Arc<str>, Rc<Kind>, Stamp)],
) -> impl Iterator<Item = (&TargetId, &TargetRow, SocketAddr)> {
    let mut by_addr: BTreeMap<SocketAddr, (Stamp, &TargetId, &TargetRow)> = BTreeMap::new();
    for (id, kind, stamp) in rows {
        let Kind::Target(row) = &**kind else {
            continue;
        };
        let Some(addr) = addr(&row.addr) else {
            continue;
        };
        let known = by_addr.get(&addr);
        if known.is_none_or(|(other, _, _)| other.born < stamp.born) {
            by_addr.insert(addr, (*stamp, id, row));
        }
    }
    by_addr
        .into_iter()
        .map(|(addr, (_, id, row))| (id, row, addr))
}

fn load(row: &LoadRow) -> Load {
    Load {
        running: row.running,
        waiting: row.waiting,
        pace: f64::from(row.pace) / 100.0,
    }
}
