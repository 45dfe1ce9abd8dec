//! The targets of one entry, with their state from the registry and the load of their engines.

use std::cell::Cell;
use std::cell::Ref;
use std::cell::RefCell;
use std::cell::RefMut;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use filbertstack_core::Millis;
use filbertstack_core::serving::EngineModel;
use filbertstack_core::serving::Residency;
use filbertstack_policy::begin::Grant;
use filbertstack_policy::begin::Replaced;
use filbertstack_policy::begin::Work;
use filbertstack_policy::dispatch::AttemptEnd;
use filbertstack_policy::dispatch::ChooseError;
use filbertstack_policy::dispatch::Dispatcher;
use filbertstack_policy::dispatch::Load;
use filbertstack_policy::dispatch::Sharers;
use filbertstack_policy::dispatch::TargetId;
use filbertstack_policy::dispatch::TargetRequest;
use filbertstack_policy::dispatch::TargetSpec;
use filbertstack_policy::handover::Handover;
use filbertstack_policy::handover::Sign;
use filbertstack_policy::pauses::Pauses;
use filbertstack_policy::permit::Obstacle;
use filbertstack_policy::permit::Way;
use filbertstack_policy::quota;
use filbertstack_policy::quota::Sender;
use filbertstack_policy::rank::Contender;
use filbertstack_policy::rank::demand::Demand;
use filbertstack_policy::residency;
use filbertstack_policy::rollout;
use filbertstack_policy::subset;
use filbertstack_policy::subset::Candidate;
use filbertstack_telemetry::Metrics;
use spdlog::info;

use crate::control::demand::TotalDemand;
use crate::control::node::Node;
use crate::control::node::entry_name;
use crate::control::registry::RegistryRow;
use crate::link::messages::AgentRow;
use crate::link::messages::Kind;
use crate::link::messages::LoadRow;
use crate::link::messages::TargetRow;
use crate::link::messages::pack_addr;
use crate::request::cold::ColdTargets;
use crate::request::cold::Peers;
use crate::request::cold::UsedTarget;
use crate::request::events::EventGap;
use crate::request::registered::Registered;
use crate::request::registered::ZoneCounts;
pub use crate::request::registered::instance_of;
use crate::request::registered::latest;
use crate::request::registered::services_outside;
use crate::request::registered::start_id;

/// The targets that requests may go to.
pub struct Targets {
    node: Rc<Node>,
    dispatcher: RefCell<Dispatcher>,
    endpoints: RefCell<BTreeMap<TargetId, Endpoint>>,
    /// The engines among them by their packed addresses, as load reports identify them.
    engines: RefCell<BTreeMap<u64, TargetId>>,
    cold: ColdTargets,
    pauses: RefCell<Pauses>,
    /// The revision of the evacuated zones that the targets were last refreshed with.
    zones_revision: Cell<u64>,
}

/// The address of a target and the versions of its weights.
#[derive(Clone, Copy, Debug)]
struct Endpoint {
    addr: SocketAddr,
    /// The version that its answers must come from, if it was named or an older one was.
    version: Option<u64>,
    /// The version that it is known to hold; 0 if none.
    held: u64,
    /// When a newer version than the one held was named; `None` while there is none.
    replaced_at: Option<Millis>,
    /// The time since which the target is known to load other weights.
    loading_since: Option<Millis>,
}

/// A target that was chosen for a request.
#[derive(Clone, Debug)]
pub struct Chosen {
    /// The target: one start of an instance.
    pub id: TargetId,
    /// When it was chosen.
    pub chosen_at: Millis,
    /// The address where it serves.
    pub addr: SocketAddr,
    /// The version of the weights that it must serve; `None` if any may answer.
    pub version: Option<u64>,
    /// The version of the weights that it is known to hold; 0 if none.
    pub held: u64,
    /// The predicted time to the first event, in milliseconds.
    pub predicted_ms: f64,
    /// The age of the load report behind the prediction; `None` without a report.
    pub report_age: Option<Millis>,
}

impl Targets {
    /// Creates the state without any target.
    pub fn new(node: Rc<Node>, dispatcher: Dispatcher) -> Self {
        Self {
            cold: ColdTargets::new(node.clone()),
            pauses: RefCell::new(Pauses::new(node.clock.now())),
            node,
            dispatcher: RefCell::new(dispatcher),
            endpoints: RefCell::default(),
            engines: RefCell::default(),
            zones_revision: Cell::new(0),
        }
    }

    /// Replaces the targets by those of the current registry and declared state. Of the engines of a large
    /// service, this entry uses only a subset.
    pub fn refresh(&self) {
        let rows = self.node.registry.present();
        let now = self.node.clock.now();
        if let Some(paused) = self.pauses.borrow_mut().tick(now) {
            info!("this entry stood still", kv: { paused_ms = paused.0 });
        }
        self.zones_revision.set(self.known_revision());
        let agents: BTreeMap<&str, &AgentRow> = rows
            .iter()
            .filter_map(|(_, kind, _)| match &**kind {
                Kind::Agent(agent) => Some((agent.engine.as_str(), agent)),
                _ => None,
            })
            .collect();
        let latest = self.latest(&rows);
        let active = latest.iter().filter(|r| !self.is_evacuated(r.row));
        let active: Vec<_> = active.copied().collect();
        let beside = self.beside(&rows, &latest);
        let used = self.used(&latest, &beside);
        let zone_counts = ZoneCounts::new(&self.node.settings.node.zone, &rows, &active, &used);
        let mut offered = Vec::new();
        let mut endpoints = BTreeMap::new();
        let mut engines = BTreeMap::new();
        let mut quotas = Vec::new();
        let mut cold_limits = Vec::new();
        let peers = Peers::new(&rows, latest.iter().map(|registered| registered.row));
        self.cold.join(now, &peers);
        for registered in &latest {
            let Registered { row, addr, .. } = *registered;
            let agent = agents.get(row.addr.as_str()).copied();
            let sharers = Sharers {
                preferred_by: beside.get(&addr).copied().unwrap_or(0),
                ..zone_counts.sharers(row)
            };
            let (target, endpoint) = self.describe(registered, agent, sharers, now);
            let id = target.id.clone();
            if target.engine.is_some() {
                if !used.contains(&addr) {
                    continue;
                }
                engines.extend(pack_addr(addr).map(|packed| (packed, id.clone())));
            }
            quotas.push((id.clone(), self.quota(&rows, registered.instance, row)));
            let used_target = UsedTarget {
                id: id.clone(),
                instance: registered.instance,
                stamp: registered.stamp,
                row,
                readmitted: self.node.declared.withdrawn_at(&row.zone),
            };
            let limit = self.cold.limit(now, &used_target, &peers);
            cold_limits.push((used_target.id, limit));
            offered.push(target);
            endpoints.insert(id, endpoint);
        }
        self.node
            .loads
            .set_wanted(engines.keys().copied().collect());
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.set_targets(offered);
        let known: BTreeSet<TargetId> = rows.iter().map(|(id, _, s)| start_id(id, *s)).collect();
        dispatcher.retain_notices(now, |id| known.contains(id));
        for (id, per_s) in quotas {
            dispatcher.set_quota(now, &id, per_s);
        }
        for (id, limit) in cold_limits {
            dispatcher.set_cold(now, &id, limit);
        }
        self.cold.retain(&endpoints, &rows);
        *self.endpoints.borrow_mut() = endpoints;
        *self.engines.borrow_mut() = engines;
    }

    /// Returns the registered targets, one at each address.
    fn latest<'a>(&self, rows: &'a [RegistryRow]) -> Vec<Registered<'a>> {
        let catalogue = self.node.declared.catalogue();
        latest(rows, |service| catalogue.service(service).is_some())
    }

    /// Refreshes the targets at once if other zones are evacuated since the last refresh. An entry that starts knows
    /// targets before it knows the declared state, and routes requests as soon as it knows that.
    fn follow_zones(&self) {
        if self.zones_revision.get() != self.known_revision() {
            self.refresh();
        }
    }

    fn known_revision(&self) -> u64 {
        self.node.declared.evacuations().state().revision
    }

    /// Returns the requests a second that this entry may send to a target, if the target names a limit.
    fn quota(&self, rows: &[RegistryRow], id: &str, row: &TargetRow) -> Option<f64> {
        let limit = self.node.limits.limit(id)?;
        let entries = rows.iter().filter_map(|(id, kind, _)| match &**kind {
            Kind::Entry(entry) if !entry.leaving => Some(Sender {
                name: entry_name(id)?,
                local: entry.zone == row.zone,
            }),
            _ => None,
        });
        let entries: Vec<Sender<'_>> = entries.collect();
        let own = &self.node.settings.node.name;
        Some(quota::share(own, &row.addr, &entries, limit))
    }

    /// Returns the addresses of the targets beside this entry, as the policy's `subset` defines it, each
    /// with the number of entries beside it.
    fn beside(&self, rows: &[RegistryRow], latest: &[Registered<'_>]) -> BTreeMap<SocketAddr, u32> {
        let node = &self.node.settings.node;
        let entries = rows.iter().filter_map(|(id, kind, _)| match &**kind {
            Kind::Entry(row) if row.zone == node.zone && !row.leaving => Some(&**id),
            _ => None,
        });
        let entries: Vec<&str> = entries.collect();
        let own = self.node.entry_id();
        let mut services: BTreeMap<&str, Vec<(&str, SocketAddr)>> = BTreeMap::new();
        for Registered { row, addr, .. } in latest.iter().filter(|r| r.row.zone == node.zone) {
            let targets = services.entry(&row.service).or_default();
            targets.push((&row.addr, *addr));
        }
        let mut beside = BTreeMap::new();
        for targets in services.values() {
            let names: Vec<&str> = targets.iter().map(|(name, _)| *name).collect();
            for met in subset::preferred(&own, &entries, &names) {
                beside.insert(targets[met.target].1, met.entries);
            }
        }
        beside
    }

    fn is_evacuated(&self, row: &TargetRow) -> bool {
        self.node.declared.evacuations().contains(&row.zone)
    }

    /// Returns the addresses of the targets that this entry uses, of all services. Targets of evacuated zones are
    /// replaced by others, and remain for as long as they were used before: streams may run there. A service
    /// without others keeps them, so that its requests are refused for the reason.
    fn used(
        &self,
        latest: &[Registered<'_>],
        beside: &BTreeMap<SocketAddr, u32>,
    ) -> BTreeSet<SocketAddr> {
        let mut services: BTreeMap<&str, Vec<Candidate<'_, SocketAddr>>> = BTreeMap::new();
        let remaining = services_outside(latest, |row| self.is_evacuated(row));
        for Registered { row, addr, .. } in latest {
            if self.is_evacuated(row) && remaining.contains(row.service.as_str()) {
                continue;
            }
            let candidate = Candidate {
                key: *addr,
                name: &row.addr,
                zone: &row.zone,
            };
            services.entry(&row.service).or_default().push(candidate);
        }
        let node = &self.node.settings.node;
        let engines = self.engines.borrow();
        let kept = latest.iter().filter(|r| {
            let known = pack_addr(r.addr).is_some_and(|packed| engines.contains_key(&packed));
            known && self.is_evacuated(r.row)
        });
        let kept = kept.map(|r| r.addr);
        let catalogue = self.node.declared.catalogue();
        let named: Vec<&str> = catalogue.named_regions().iter().map(|r| &**r).collect();
        let region_of = |zone: &str| self.node.settings.region(zone).map(|region| &**region);
        let used = services.values().flat_map(|candidates| {
            let reserved = residency::reserve(&node.name, candidates, &named, region_of);
            subset::select(&node.name, &node.zone, candidates, |addr| {
                beside.contains_key(&addr) || reserved.contains(&addr)
            })
        });
        used.chain(kept).collect()
    }

    /// Returns what the dispatcher decides by.
    pub fn dispatcher(&self) -> Ref<'_, Dispatcher> {
        self.dispatcher.borrow()
    }

    /// Returns what the dispatcher decides by at this time, which is less after this entry stood still.
    fn dispatcher_at(&self, now: Millis) -> RefMut<'_, Dispatcher> {
        let bound = Millis::from(self.node.settings.bounds.rollout);
        let unnoticed = self.pauses.borrow().replaced(now, bound);
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.set_unnoticed(unnoticed);
        dispatcher
    }

    /// Returns the zones of all registered targets.
    pub fn zones(&self) -> BTreeMap<TargetId, Arc<str>> {
        let rows = self.node.registry.present();
        let zones = self.latest(&rows).into_iter().map(|registered| {
            let id = start_id(registered.instance, registered.stamp);
            (id, registered.row.zone.as_str().into())
        });
        zones.collect()
    }

    /// Passes load reports of engines to the dispatcher.
    pub fn report(&self, rows: &[LoadRow]) {
        let now = self.node.clock.now();
        let engines = self.engines.borrow();
        let mut dispatcher = self.dispatcher.borrow_mut();
        for row in rows {
            if let Some(id) = engines.get(&row.engine) {
                dispatcher.record_load(now, id, to_load(row));
            }
        }
    }

    /// Returns the target as the dispatcher needs it, and its endpoint.
    fn describe(
        &self,
        registered: &Registered<'_>,
        agent: Option<&AgentRow>,
        sharers: Sharers,
        now: Millis,
    ) -> (TargetSpec, Endpoint) {
        let Registered {
            instance,
            row,
            addr,
            ..
        } = *registered;
        let catalogue = self.node.declared.catalogue();
        let service = catalogue.service(&row.service);
        let engine = service.and_then(|s| s.engine.clone()).map(Arc::new);
        // The agent beside the engine knows its version before the engine's own heartbeat reports it.
        let version = agent.map_or(row.version, |agent| agent.version);
        let ages = engine.as_deref().map(|e| self.ages(e, now));
        let ages = ages.unwrap_or_default();
        let bound = Millis::from(self.node.settings.bounds.rollout);
        let floor = rollout::oldest_allowed(ages.iter().copied(), bound);
        let expected = rollout::version_to_expect(ages.iter().map(|(named, _)| *named), version);
        let replaced_since = rollout::replaced_since(ages.iter().copied(), version);
        let begin_within = rollout::begin_within(ages.into_iter(), version, bound);
        // An agent that ends while its engine loads, or may have loaded wrong pieces, has not checked them.
        let id = start_id(instance, registered.stamp);
        let loading =
            agent.map_or_else(|| self.loading_since(&id).is_some(), |agent| agent.loading);
        let serves = engine.is_none() || (version > 0 && version >= floor && !loading);
        let offered = TargetSpec {
            id,
            service: row.service.as_str().into(),
            slots: row.slots,
            local: row.zone == self.node.settings.node.zone,
            sharers,
            engine,
            accepts_work: serves && !row.draining,
            region: self.node.settings.region(&row.zone).cloned(),
            evacuated: self.is_evacuated(row),
            replaced: begin_within.map(|left| Replaced {
                begin_by: now + left,
                bound,
            }),
        };
        let endpoint = Endpoint {
            addr,
            version: expected,
            held: version,
            replaced_at: replaced_since.map(|since| now - since),
            loading_since: loading.then(|| self.loading_since(&offered.id).unwrap_or(now)),
        };
        (offered, endpoint)
    }

    /// Returns how long ago a newer version than the one that a target holds was named; `None` while there is none.
    pub fn replaced_since(&self, id: &str) -> Option<Millis> {
        let replaced_at = self.endpoints.borrow().get(id)?.replaced_at?;
        Some(self.node.clock.now().since(replaced_at))
    }

    fn loading_since(&self, id: &str) -> Option<Millis> {
        self.endpoints.borrow().get(id)?.loading_since
    }

    /// Returns how long a target has been known to load other weights; `None` if it does not load.
    pub fn loading_time(&self, id: &str) -> Option<Millis> {
        let since = self.loading_since(id)?;
        Some(self.node.clock.now().since(since))
    }

    /// Returns the versions of an engine's weights that were declared, and how long ago.
    fn ages(&self, engine: &EngineModel, now: Millis) -> Vec<(u64, Millis)> {
        let named = engine
            .models
            .first()
            .map(|m| self.node.declared.weight_versions(m));
        let named = named.unwrap_or_default().into_iter();
        let ages = named.map(|named| (named.version, now.since(named.at)));
        ages.collect()
    }

    /// Returns how long ago a version of the weights of `service` was allowed to begin for the last time; `None` if it
    /// still is.
    pub fn overdue(&self, service: &str, version: u64) -> Option<Millis> {
        let catalogue = self.node.declared.catalogue();
        let engine = catalogue.service(service)?.engine.as_ref()?;
        let ages = self.ages(engine, self.node.clock.now());
        let bound = Millis::from(self.node.settings.bounds.rollout);
        rollout::overdue(ages.into_iter(), version, bound)
    }

    /// Counts a request for `service` that arrives.
    pub fn count_arrival(&self, service: &Arc<str>) {
        let now = self.node.clock.now();
        self.dispatcher.borrow_mut().count_request(now, service);
    }

    /// Counts the rank of a request for `service` that arrives.
    pub fn count_contender(&self, service: &Arc<str>, contender: &Contender, goal: Duration) {
        let now = self.node.clock.now();
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.count_contender(now, service, contender, goal.into());
    }

    /// Returns the demand by rank at this entry.
    pub fn demand(&self) -> Demand {
        let now = self.node.clock.now();
        self.dispatcher.borrow().demand(now)
    }

    /// Takes over the demand by rank at all entries.
    pub fn set_total_demand(&self, total: &TotalDemand) {
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.set_total_demand(total.at, &total.demand);
    }

    /// Chooses a target for a request.
    ///
    /// # Errors
    /// [`ChooseError`] if no target can serve it in time.
    pub fn choose(&self, wanted: &TargetRequest<'_>) -> Result<Chosen, ChooseError> {
        self.follow_zones();
        let now = self.node.clock.now();
        let mut dispatcher = self.dispatcher_at(now);
        let id = dispatcher.choose(now, wanted)?;
        let (predicted_ms, report_age) = dispatcher.prediction(now, &id, wanted.prompt);
        let endpoint = self.endpoints.borrow().get(&id).copied();
        // Targets and endpoints are replaced together, so each chosen target has an endpoint.
        let endpoint = endpoint.ok_or(ChooseError::NoTarget {
            retry_after: Millis::secs(1),
        })?;
        Ok(Chosen {
            id,
            chosen_at: now,
            addr: endpoint.addr,
            version: endpoint.version,
            held: endpoint.held,
            predicted_ms,
            report_age,
        })
    }

    /// Records a request that is sent to a target.
    pub fn record_sent(&self, id: &str, prompt: u32) {
        let now = self.node.clock.now();
        self.dispatcher.borrow_mut().count_sent(now, id, prompt);
    }

    /// Records the first event of an answer, which came `took` after the request was sent.
    pub fn record_first(&self, id: &str, prompt: u32, took: Duration) {
        let now = self.node.clock.now();
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.observe_first_event(now, id, prompt, took.into());
        dispatcher.count_first_event(now, id, prompt);
    }

    /// Records events of a stream that arrived together.
    pub fn record_events(&self, id: &str, arrived: EventGap) {
        let now = self.node.clock.now();
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.observe_events(now, id, arrived.gap.into(), arrived.events);
    }

    /// Records that a call was answered after `took`.
    pub fn record_call(&self, id: &str, took: Duration) {
        let now = self.node.clock.now();
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.observe_call(now, id, took.into());
    }

    /// Logs and counts the targets that turned slow, or are at their usual pace again.
    pub fn report_paces(&self, metrics: &Metrics) {
        let now = self.node.clock.now();
        let changes = self.dispatcher.borrow_mut().take_pace_changes(now);
        for change in changes {
            let target = instance_of(&change.target);
            let estimate = (change.estimate * 100.0).round() / 100.0;
            if change.slow {
                info!("target turned slow", kv: { target = target, estimate = estimate });
            } else {
                info!("target at its usual pace again", kv: { target = target, estimate = estimate });
            }
            let state = if change.slow { "slow" } else { "usual" };
            metrics.entry.paces.add(state, 1);
        }
    }

    /// Returns how long a target has not been heard; `None` if it never was.
    pub fn silence(&self, id: &str) -> Option<Millis> {
        let now = self.node.clock.now();
        self.dispatcher.borrow().silence(now, id)
    }

    /// Records that bytes of an answer arrived from a target.
    pub fn record_bytes(&self, id: &str) {
        let now = self.node.clock.now();
        self.dispatcher.borrow_mut().record_activity(now, id);
    }

    /// Returns whether a target is gone, or silent while other targets answer.
    pub fn is_silent(&self, id: &str) -> bool {
        let now = self.node.clock.now();
        self.dispatcher.borrow().is_silent(now, id)
    }

    /// Records the end of a request at a target. `unread` is the number of tokens of its prompt if no event
    /// had arrived, or else 0.
    pub fn record_end(&self, id: &str, unread: u32, ended: AttemptEnd) {
        let now = self.node.clock.now();
        self.dispatcher
            .borrow_mut()
            .count_end(now, id, unread, ended);
    }

    /// Records that a target asks this entry for rest.
    pub fn record_rest(&self, id: &TargetId, rest: Millis) {
        let now = self.node.clock.now();
        self.dispatcher.borrow_mut().record_rest(now, id, rest);
    }

    /// Records that a target leaves.
    pub fn record_leaving(&self, id: &TargetId) {
        self.dispatcher.borrow_mut().record_leaving(id);
    }

    /// Returns why a target gets no request now that was chosen for it before and may be served in `residency` only;
    /// `None` if everywhere.
    pub fn obstacle(
        &self,
        chosen: &Chosen,
        way: Way,
        residency: Option<&Residency>,
    ) -> Option<Obstacle> {
        self.follow_zones();
        let now = self.node.clock.now();
        let dispatcher = self.dispatcher.borrow();
        dispatcher.send_obstacle(now, &chosen.id, chosen.chosen_at, way, residency)
    }

    /// Returns the time that the target which was chosen for a request gets for it now; `None` if it may not begin the
    /// request any more.
    pub fn grant(&self, chosen: &Chosen, prompt: u32, work: Work) -> Option<Grant> {
        let now = self.node.clock.now();
        self.dispatcher_at(now).grant(now, &chosen.id, prompt, work)
    }

    /// Returns how a request is handed over to a target; `None` if it is sent at once.
    pub fn handover(&self, id: &str, has_body: bool) -> Option<Handover> {
        self.dispatcher.borrow().handover(id, has_body)
    }

    /// Returns whether a request that a target gets now with a time limit of `limit` may begin later than its weights may.
    pub fn outlasts_weights(&self, id: &str, limit: Millis) -> bool {
        let now = self.node.clock.now();
        self.dispatcher_at(now).outlasts_weights(now, id, limit)
    }

    /// Records how a target has shown that it reads.
    pub fn record_sign(&self, id: &str, sign: Sign) {
        self.dispatcher.borrow_mut().record_sign(id, sign);
    }

    /// Records that a request is written to the target that was chosen for it.
    pub fn record_written(&self, chosen: &Chosen) {
        let now = self.node.clock.now();
        self.dispatcher.borrow_mut().record_written(now, &chosen.id);
    }

    /// Returns the number of targets that are cold.
    pub fn cold_count(&self) -> usize {
        self.cold.count()
    }

    /// Records a request that is sent to the same target again.
    pub fn record_resent(&self, id: &str) {
        let now = self.node.clock.now();
        self.dispatcher.borrow_mut().count_resent(now, id);
    }

    /// Excludes a target for a while.
    pub fn exclude(&self, id: &str, span: Millis) {
        let now = self.node.clock.now();
        self.dispatcher.borrow_mut().suspend(now, id, span);
    }
}

fn to_load(row: &LoadRow) -> Load {
    Load {
        running: row.running,
        waiting: row.waiting,
        pace: f64::from(row.pace) / 100.0,
    }
}
