//! This module keeps how often groups of requests are served, and says which of them receive too little or have
//! received their part.

use std::collections::BTreeMap;
use std::sync::Arc;

use filbertstack_core::Millis;

use super::Contender;
use crate::units::len_f64;
use crate::units::millis_f64;

/// The time constant over which requests are counted. A caller of a group without service notices it after some
/// seconds, and with a shorter span the few requests of a small group would say little.
const WINDOW_MS: f64 = 8_000.0;

/// The part of the common chance to be served that every group has at least.
const FLOOR: f64 = 0.5;

/// The part of all requests that is served at least while there is no shortage.
const NO_SHORTAGE: f64 = 0.95;

/// The number of requests in all from which parts are compared. With fewer, one refusal would count as a shortage.
const MIN_REQUESTS: f64 = 8.0;

/// The number of groups from which those without recent requests are dropped. Configurations replace organisations
/// hundreds of times a day.
const MAX_QUIET_GROUPS: usize = 256;

/// The counted requests below which a group is dropped: one request, half a minute ago.
const QUIET: f64 = 0.02;

/// A group of requests that must not starve.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Group {
    /// The requests of routes with this priority.
    Route(u8),
    /// The large requests of routes with this priority.
    Large(u8),
    /// The requests of an organisation.
    Organisation(Arc<str>),
}

/// Requests that were counted, of which older ones count less.
#[derive(Clone, Copy, Debug, Default)]
struct Counted {
    asked: f64,
    admitted: f64,
    last: Millis,
    /// The priority of the organisation, if the group is one.
    tier: u8,
}

impl Counted {
    fn at(mut self, now: Millis) -> Self {
        let decay = (-millis_f64(now.since(self.last)) / WINDOW_MS).exp();
        self.asked *= decay;
        self.admitted *= decay;
        self.last = now;
        self
    }

    fn served(&self) -> f64 {
        self.admitted / self.asked.max(f64::MIN_POSITIVE)
    }
}

/// How often the groups of one service's requests are served.
#[derive(Clone, Debug, Default)]
pub(super) struct Groups {
    total: Counted,
    groups: BTreeMap<Group, Counted>,
}

impl Groups {
    pub(super) fn count_asked(&mut self, now: Millis, contender: &Contender) {
        self.update(now, contender, |counted| counted.asked += 1.0);
    }

    pub(super) fn count_admitted(&mut self, now: Millis, contender: &Contender) {
        self.update(now, contender, |counted| counted.admitted += 1.0);
    }

    fn update(&mut self, now: Millis, contender: &Contender, add: impl Fn(&mut Counted)) {
        self.total = self.total.at(now);
        add(&mut self.total);
        for group in groups_of(contender) {
            let counted = self.groups.entry(group).or_default();
            *counted = counted.at(now);
            counted.tier = contender.tier;
            add(counted);
        }
        if self.groups.len() > MAX_QUIET_GROUPS {
            self.groups
                .retain(|_, counted| counted.at(now).asked >= QUIET);
        }
    }

    /// Returns whether a group of the request is served less than [`FLOOR`] times as often as all requests, as far
    /// as the group asks for no more than its even part.
    pub(super) fn is_starved(&self, now: Millis, contender: &Contender) -> bool {
        let total = self.total.at(now);
        groups_of(contender).any(|group| {
            let Some(counted) = self.groups.get(&group) else {
                return false;
            };
            let counted = counted.at(now);
            let even = total.asked / self.alike(&group);
            counted.admitted < FLOOR * total.served() * counted.asked.min(even)
        })
    }

    /// Returns the number of groups of the same kind.
    fn alike(&self, group: &Group) -> f64 {
        let kind = std::mem::discriminant(group);
        let alike = self
            .groups
            .keys()
            .filter(|g| std::mem::discriminant(*g) == kind);
        len_f64(alike.count()).max(1.0)
    }

    /// Returns whether there is a shortage: fewer requests are served than asked for.
    pub(super) fn is_short(&self, now: Millis) -> bool {
        let total = self.total.at(now);
        total.asked >= MIN_REQUESTS && total.served() < NO_SHORTAGE
    }

    /// Returns whether there is a shortage and the organisation of the request has received its even part of what
    /// the organisations of its priority receive.
    pub(super) fn is_excess(&self, now: Millis, contender: &Contender) -> bool {
        let Some(name) = &contender.organisation else {
            return false;
        };
        if !self.is_short(now) {
            return false;
        }
        let peers = self
            .groups
            .iter()
            .filter_map(|(group, counted)| match group {
                Group::Organisation(_) if counted.tier == contender.tier => Some(counted.at(now)),
                _ => None,
            });
        let peers: Vec<Counted> = peers.collect();
        let own = self.groups.get(&Group::Organisation(name.clone()));
        let admitted = own.map_or(0.0, |counted| counted.at(now).admitted);
        peers.len() > 1 && admitted > even_part(peers)
    }
}

fn groups_of(contender: &Contender) -> impl Iterator<Item = Group> {
    let large = contender.large.then_some(Group::Large(contender.route));
    let organisation = contender.organisation.clone().map(Group::Organisation);
    let route = Some(Group::Route(contender.route));
    [route, large, organisation].into_iter().flatten()
}

/// Returns the most that one of `peers` may receive so that all of them together receive what was admitted, each
/// no more than it asked for.
fn even_part(mut peers: Vec<Counted>) -> f64 {
    let mut left: f64 = peers.iter().map(|peer| peer.admitted).sum();
    peers.sort_by(|a, b| a.asked.total_cmp(&b.asked));
    let mut level = 0.0;
    for (n, peer) in peers.iter().enumerate() {
        level = left / len_f64(peers.len() - n);
        if peer.asked >= level {
            return level;
        }
        left -= peer.asked;
    }
    level.max(left)
}
