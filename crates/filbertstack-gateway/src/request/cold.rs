//! The targets of one entry that are cold, by the registry and the configuration.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;

use filbertstack_core::Millis;
use filbertstack_core::serving::ColdStart;
use filbertstack_policy::cold;
use filbertstack_policy::cold::Limit;
use filbertstack_policy::cold::Rate;
use filbertstack_policy::cold::Reports;
use filbertstack_policy::cold::SETTLE_TIME;
use filbertstack_policy::cold::Share;
use filbertstack_policy::dispatch::TargetId;
use filbertstack_policy::quota::Sender;
use filbertstack_policy::registry::Stamp;
use filbertstack_policy::subset;
use filbertstack_policy::subset::Population;
use spdlog::info;

use crate::control::node::Node;
use crate::control::node::entry_name;
use crate::control::registry::RegistryRow;
use crate::link::messages::EntryRow;
use crate::link::messages::Kind;
use crate::link::messages::TargetRow;

/// The cold targets of one entry.
pub struct ColdTargets {
    node: Rc<Node>,
    state: RefCell<State>,
}

#[derive(Default)]
struct State {
    reports: Reports,
    /// The targets that are known to be cold, with this entry's share as it was logged.
    cold: BTreeMap<TargetId, Option<Share>>,
    /// The time since which this entry has been registered and in contact with the voters.
    joined_at: Option<Millis>,
    /// This entry's shares of cold targets among the entries with the hash `entries`. Ranking hundreds of entries
    /// for each heartbeat of a zone of cold targets would take more than control may.
    shares: BTreeMap<TargetId, KnownShare>,
    entries: u64,
}

/// A share, and what it was determined from.
#[derive(Clone, Copy)]
struct KnownShare {
    users: usize,
    rate: Rate,
    share: Option<Share>,
}

/// A target that this entry uses.
pub struct UsedTarget<'a> {
    /// The target's identity.
    pub id: TargetId,
    /// Its instance.
    pub instance: &'a Arc<str>,
    /// The position of its latest heartbeat.
    pub stamp: Stamp,
    /// Its row.
    pub row: &'a TargetRow,
    /// When the latest evacuation of its zone ended, if this node has seen that.
    pub readmitted: Option<Millis>,
}

/// The entries and the targets, of which those that send to a cold target are taken.
pub struct Peers<'a> {
    entries: Vec<(&'a str, &'a EntryRow)>,
    targets: Vec<&'a TargetRow>,
    /// The numbers of users that were counted, by service and zone.
    users: RefCell<BTreeMap<(&'a str, &'a str), usize>>,
}

impl<'a> Peers<'a> {
    /// Returns those of the registry, of which `targets` are the targets.
    pub fn new(rows: &'a [RegistryRow], targets: impl Iterator<Item = &'a TargetRow>) -> Self {
        let entries = rows.iter().filter_map(|(id, kind, _)| match &**kind {
            Kind::Entry(entry) if !entry.leaving => Some((entry_name(id)?, entry)),
            _ => None,
        });
        Self {
            entries: entries.collect(),
            targets: targets.collect(),
            users: RefCell::default(),
        }
    }

    /// Returns a hash of the entries and their zones.
    fn hash(&self) -> u64 {
        let entries = self.entries.iter();
        entries.fold(0, |hash, (name, entry)| {
            subset::mix(hash ^ subset::hash(name)).wrapping_add(subset::hash(&entry.zone))
        })
    }

    fn senders(&self, zone: &str) -> Vec<Sender<'a>> {
        let entries = self.entries.iter().map(|(name, entry)| Sender {
            name,
            local: entry.zone == zone,
        });
        entries.collect()
    }

    /// Returns how many entries send to a target with the row `row`: of the engines of a large service, an entry
    /// uses only some.
    fn users(&self, row: &'a TargetRow, is_engine: bool) -> usize {
        let key = (&*row.service, &*row.zone);
        let mut users = self.users.borrow_mut();
        *users
            .entry(key)
            .or_insert_with(|| self.count_users(row, is_engine))
    }

    fn count_users(&self, row: &TargetRow, is_engine: bool) -> usize {
        let all = self.population(&row.service, |_| true);
        if !is_engine {
            return all.entries;
        }
        let zone = self.population(&row.service, |zone| zone == row.zone);
        subset::mean_users(zone, all).max(1)
    }

    fn population(&self, service: &str, in_zone: impl Fn(&str) -> bool) -> Population {
        let entries = self.entries.iter().filter(|(_, e)| in_zone(&e.zone));
        let targets = self.targets.iter().filter(|t| in_zone(&t.zone));
        Population {
            entries: entries.count(),
            targets: targets.filter(|t| t.service == service).count(),
        }
    }
}

impl ColdTargets {
    /// Creates the state without any target.
    pub fn new(node: Rc<Node>) -> Self {
        Self {
            node,
            state: RefCell::default(),
        }
    }

    /// Returns the number of targets that are known to be cold.
    pub fn count(&self) -> usize {
        self.state.borrow().cold.len()
    }

    /// Records whether this entry has a place among the `peers`. One that has lost contact with the voters has
    /// none: the others take its place when they no longer hear of it.
    pub fn join(&self, now: Millis, peers: &Peers<'_>) {
        let own = &self.node.settings.node.name;
        let is_known = peers.entries.iter().any(|(name, _)| name == own);
        let mut state = self.state.borrow_mut();
        if !is_known || !self.node.is_current() {
            state.joined_at = None;
        } else {
            state.joined_at.get_or_insert(now);
        }
        let entries = peers.hash();
        if state.entries != entries {
            state.shares.clear();
            state.entries = entries;
        }
    }

    /// Returns what this entry may send to a target while it is cold; `None` if it is not, or if its service does
    /// not say that its targets are slow after a start.
    pub fn limit<'a>(
        &self,
        now: Millis,
        target: &UsedTarget<'a>,
        peers: &Peers<'a>,
    ) -> Option<Limit> {
        let UsedTarget { id, row, .. } = target;
        let catalogue = self.node.declared.catalogue();
        let service = catalogue.service(&row.service);
        let cold_start = service.and_then(|service| service.cold_start);
        let until = cold_start.map(|cold_start| self.until(now, target, &cold_start));
        let Some((cold_start, until)) = cold_start.zip(until).filter(|(_, until)| now < *until)
        else {
            if self.state.borrow_mut().cold.remove(id).is_some() {
                info!("target is no longer cold", kv: { target = id.to_string() });
            }
            return None;
        };
        let joined_at = self.state.borrow().joined_at;
        let is_engine = service.is_some_and(|service| service.engine.is_some());
        let users = peers.users(row, is_engine);
        let share = joined_at.and_then(|_| self.share(target, &cold_start, peers, users));
        self.log_cold(target, until.since(now), share);
        let settled_at = joined_at.map(|at| at + SETTLE_TIME);
        let restart_wait = self.state.borrow().reports.restart_wait(target.instance);
        Some(Limit {
            until,
            share,
            from: settled_at.unwrap_or(until).max(restart_wait),
        })
    }

    fn until(&self, now: Millis, target: &UsedTarget<'_>, cold_start: &ColdStart) -> Millis {
        let reports = &mut self.state.borrow_mut().reports;
        reports.record(
            now,
            target.instance,
            target.stamp,
            Millis(target.row.cold_ms),
        );
        reports.until(target.instance, cold_start, target.readmitted)
    }

    fn share(
        &self,
        target: &UsedTarget<'_>,
        cold_start: &ColdStart,
        peers: &Peers<'_>,
        users: usize,
    ) -> Option<Share> {
        let bounds = &self.node.settings.bounds;
        let rate = Rate::new(cold_start, bounds.cold_factor, bounds.cold_allowance);
        let shares = &mut self.state.borrow_mut().shares;
        let known = shares.get(&target.id).copied();
        if let Some(known) = known.filter(|known| known.users == users && known.rate == rate) {
            return known.share;
        }
        let own = &self.node.settings.node.name;
        let senders = peers.senders(&target.row.zone);
        let share = cold::share(own, &target.row.addr, &senders, users, rate);
        shares.insert(target.id.clone(), KnownShare { users, rate, share });
        share
    }

    fn log_cold(&self, target: &UsedTarget<'_>, remaining: Millis, share: Option<Share>) {
        let cold = &mut self.state.borrow_mut().cold;
        if cold.insert(target.id.clone(), share) == Some(share) {
            return;
        }
        let gap = share.and_then(|share| i64::try_from(share.gap.0).ok());
        info!("target is cold", kv: {
            target = target.id.to_string(), remaining_ms = remaining.0,
            reported_ms = target.row.cold_ms, own_gap_ms = gap.unwrap_or(-1)
        });
    }

    /// Drops what is known of targets that are not used any more, and of instances that are not in `rows`.
    pub fn retain<T>(&self, used: &BTreeMap<TargetId, T>, rows: &[RegistryRow]) {
        let state = &mut self.state.borrow_mut();
        state.cold.retain(|id, _| used.contains_key(id));
        state.shares.retain(|id, _| used.contains_key(id));
        if state.reports.is_empty() {
            return;
        }
        let instances: BTreeSet<&str> = rows.iter().map(|(id, _, _)| &**id).collect();
        state.reports.retain(|id| instances.contains(id));
    }
}
