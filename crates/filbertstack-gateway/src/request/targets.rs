//! The targets of one entry: what the registry says of them, and the load of their engines.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use filbertstack_core::Millis;
use filbertstack_core::serving::Service;
use filbertstack_policy::dispatch::Dispatcher;
use filbertstack_policy::dispatch::Ended;
use filbertstack_policy::dispatch::Load;
use filbertstack_policy::dispatch::Offered;
use filbertstack_policy::dispatch::Refused;
use filbertstack_policy::dispatch::TargetId;
use filbertstack_policy::dispatch::Wanted;
use filbertstack_policy::registry::Stamp;
use filbertstack_policy::rollout;

use crate::control::declared::Named;
use crate::control::node::Node;
use crate::link::messages::AgentRow;
use crate::link::messages::Kind;
use crate::link::messages::TargetRow;
use crate::link::messages::addr;

/// The targets that requests may go to.
pub struct Targets {
    node: Rc<Node>,
    dispatcher: RefCell<Dispatcher>,
    addrs: RefCell<BTreeMap<TargetId, SocketAddr>>,
    /// The last load report of each target that was counted: counted twice, it would hide the
    /// requests sent since.
    counted: RefCell<BTreeMap<TargetId, Stamp>>,
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
}

impl Targets {
    /// No targets yet.
    pub fn new(node: Rc<Node>, dispatcher: Dispatcher) -> Self {
        Self {
            node,
            dispatcher: RefCell::new(dispatcher),
            addrs: RefCell::default(),
            counted: RefCell::default(),
        }
    }

    /// Takes over what the registry and the declared state say now.
    pub fn refresh(&self) {
        let rows = self.node.people.present();
        let now = self.node.clock.now();
        let agents: BTreeMap<&str, (&AgentRow, Stamp)> = rows
            .iter()
            .filter_map(|(_, kind, stamp)| match kind {
                Kind::Agent(agent) => Some((agent.engine.as_str(), (agent, *stamp))),
                _ => None,
            })
            .collect();
        let mut offered = Vec::new();
        let mut loads = Vec::new();
        let mut addrs = BTreeMap::new();
        for (id, row, addr) in latest(&rows) {
            let agent = agents.get(row.addr.as_str()).copied();
            offered.push(self.offered(id, row, agent.map(|(a, _)| a), now));
            addrs.insert(id.clone(), addr);
            if let Some((agent, stamp)) = agent
                && self.counted.borrow_mut().insert(id.clone(), stamp) != Some(stamp)
            {
                loads.push((id.clone(), load(agent)));
            }
        }
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.offer(offered);
        for (id, load) in loads {
            dispatcher.report(now, &id, load);
        }
        self.counted.borrow_mut().retain(|id, _| addrs.contains_key(id));
        *self.addrs.borrow_mut() = addrs;
    }

    fn offered(
        &self,
        id: &TargetId,
        row: &TargetRow,
        agent: Option<&AgentRow>,
        now: Millis,
    ) -> Offered {
        let catalogue = self.node.declared.catalogue();
        let service = catalogue.service(&row.service);
        let engine = service.and_then(|s| s.engine.clone()).map(Arc::new);
        let open = match &engine {
            Some(_) => self.serves(row, agent, service, now),
            None => true,
        };
        Offered {
            id: id.clone(),
            service: row.service.as_str().into(),
            slots: row.slots,
            near: row.zone == self.node.settings.node.zone,
            engine,
            open: open && !row.draining,
        }
    }

    /// Whether an engine holds weights that may answer now.
    fn serves(
        &self,
        row: &TargetRow,
        agent: Option<&AgentRow>,
        service: Option<&Arc<Service>>,
        now: Millis,
    ) -> bool {
        // The agent beside the engine knows first.
        let version = agent.map_or(row.version, |a| a.version.max(row.version));
        if version == 0 || agent.is_some_and(|a| a.loading) {
            return false;
        }
        let named = service.and_then(|s| self.named(s));
        named.is_none_or(|named| version >= named.version || !self.is_binding(named, now))
    }

    fn named(&self, service: &Service) -> Option<Named> {
        let model = service.engine.as_ref()?.models.first()?;
        self.node.declared.named(model)
    }

    fn is_binding(&self, named: Named, now: Millis) -> bool {
        let bound = Millis::from(self.node.settings.bounds.rollout);
        rollout::is_binding(now.since(named.at), bound)
    }

    /// Chooses a target for a request.
    ///
    /// # Errors
    /// [`Refused`] if none can serve it in time.
    pub fn choose(&self, wanted: &Wanted<'_>) -> Result<Chosen, Refused> {
        let now = self.node.clock.now();
        let id = self.dispatcher.borrow_mut().choose(now, wanted)?;
        let addr = self.addrs.borrow().get(&id).copied();
        // Both are replaced together, so a target that is offered has an address.
        let addr = addr.ok_or(Refused::NoTarget {
            after: Millis::secs(1),
        })?;
        let catalogue = self.node.declared.catalogue();
        let named = catalogue.service(wanted.service).and_then(|s| self.named(s));
        let version = named.filter(|n| self.is_binding(*n, now)).map(|n| n.version);
        Ok(Chosen { id, addr, version })
    }

    /// Counts a request that is sent.
    pub fn sent(&self, id: &str, prompt: u32) {
        let now = self.node.clock.now();
        self.dispatcher.borrow_mut().sent(now, id, prompt);
    }

    /// Counts a first event.
    pub fn began(&self, id: &str, prompt: u32) {
        self.dispatcher.borrow_mut().began(id, prompt);
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

/// The targets that are there. Of two at one address the one that started last is: the other has
/// ended, or its address could not have been given away.
fn latest<'a>(
    rows: &'a [(Arc<str>, Kind, Stamp)],
) -> impl Iterator<Item = (&'a TargetId, &'a TargetRow, SocketAddr)> {
    let mut by_addr: BTreeMap<SocketAddr, (Stamp, &TargetId, &TargetRow)> = BTreeMap::new();
    for (id, kind, stamp) in rows {
        let Kind::Target(row) = kind else {
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
    by_addr.into_iter().map(|(addr, (_, id, row))| (id, row, addr))
}

fn load(agent: &AgentRow) -> Load {
    Load {
        running: agent.running,
        waiting: agent.waiting,
        pace: f64::from(agent.pace) / 100.0,
    }
}
