//! The text that tells operators what one entry decides by.

use std::collections::BTreeSet;
use std::sync::Arc;

use filbertstack_core::Millis;
use filbertstack_core::serving::Residency;
use filbertstack_policy::dispatch::TargetState;
use filbertstack_policy::dispatch::TargetStatus;
use filbertstack_policy::permit::Obstacle;
use filbertstack_policy::rank::Rank;
use filbertstack_policy::rank::RankRate;

use super::Requests;
use super::targets::instance_of;

/// The text for what is not known, or does not exist.
const NONE: &str = "none";

/// The ranks of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRanks {
    /// The service.
    pub service: Arc<str>,
    /// Whether fewer requests are served than asked for.
    pub short: bool,
    /// The rates of the ranks, the highest rank first.
    pub rates: Vec<RankRate>,
}

/// One target and its zone.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacedTarget {
    /// The target.
    pub status: TargetStatus,
    /// Its zone; `None` if it is no longer registered.
    pub zone: Option<Arc<str>>,
}

/// What is bound to regions.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Bound {
    /// The route of this name.
    Route(Arc<str>),
    /// The organisation of this name.
    Organisation(Arc<str>),
}

/// A route or an organisation that is bound to regions.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Binding {
    /// What is bound.
    pub bound: Bound,
    /// The regions.
    pub regions: Vec<Arc<str>>,
}

/// What one entry decides by at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EntryState {
    /// The version of the configuration in force; 0 without one.
    pub version: u64,
    /// Whether the entry is in contact with the voters.
    pub current: bool,
    /// The revision of the evacuated zones.
    pub revision: u64,
    /// The evacuated zones.
    pub evacuated: BTreeSet<Arc<str>>,
    /// The services with ranks.
    pub ranks: Vec<ServiceRanks>,
    /// The targets that the entry uses.
    pub targets: Vec<PlacedTarget>,
    /// The routes and organisations that are bound to regions.
    pub bindings: BTreeSet<Binding>,
    /// The regions among those that have no target.
    pub empty: BTreeSet<Arc<str>>,
    /// The time of the moment.
    pub now: Millis,
}

impl EntryState {
    /// Returns the state as text: one fact a line, sorted, with aligned columns in each section.
    pub fn render(&self) -> String {
        let sections = [
            self.general_rows(),
            self.rank_rows(),
            self.target_rows(),
            self.binding_rows(),
        ];
        let texts = sections.into_iter().filter(|rows| !rows.is_empty());
        let texts: Vec<String> = texts.map(|rows| align(&rows)).collect();
        texts.join("\n")
    }

    fn general_rows(&self) -> Vec<Vec<String>> {
        let contact = if self.current { "yes" } else { "no" };
        let mut rows = vec![
            row(["configuration", &format!("version {}", self.version)]),
            row(["voters", &format!("in contact: {contact}")]),
            row(["evacuations", &format!("revision {}", self.revision)]),
        ];
        if self.evacuated.is_empty() {
            rows.push(row(["evacuated zone", NONE]));
        }
        let zones = self.evacuated.iter();
        rows.extend(zones.map(|zone| row(["evacuated zone", zone])));
        rows
    }

    fn rank_rows(&self) -> Vec<Vec<String>> {
        let mut rows = Vec::new();
        let mut services: Vec<&ServiceRanks> = self.ranks.iter().collect();
        services.sort_by(|a, b| a.service.cmp(&b.service));
        for ranks in services {
            let short = if ranks.short { "yes" } else { "no" };
            let short = format!("shortage: {short}");
            rows.push(row(["ranks", &ranks.service, &short]));
            for (rank, rate) in ranks.rates.iter().enumerate() {
                let asked = format!("asked {:.1}/s", rate.asked);
                let admitted = format!("admitted {:.1}/s", rate.admitted);
                let rank = format!("rank {rank}");
                rows.push(row([&rank, &ranks.service, &asked, &admitted]));
            }
        }
        rows
    }

    fn target_rows(&self) -> Vec<Vec<String>> {
        let rows = self.targets.iter().map(|target| {
            let status = &target.status;
            let zone = format!("zone {}", target.zone.as_deref().unwrap_or(NONE));
            let region = format!("region {}", status.region.as_deref().unwrap_or(NONE));
            let state = describe_state(status.state, self.now);
            let instance = instance_of(&status.id);
            row(["target", &status.service, &state, instance, &zone, &region])
        });
        let mut rows: Vec<_> = rows.collect();
        rows.sort();
        rows
    }

    fn binding_rows(&self) -> Vec<Vec<String>> {
        let bindings = self.bindings.iter().map(|binding| {
            let (kind, name) = match &binding.bound {
                Bound::Route(name) => ("route", name),
                Bound::Organisation(name) => ("organisation", name),
            };
            row([
                kind,
                name,
                &format!("regions {}", binding.regions.join(", ")),
            ])
        });
        let empty = self.empty.iter();
        let empty = empty.map(|region| row(["region", region, "no target"]));
        bindings.chain(empty).collect()
    }
}

fn describe_state(state: TargetState, now: Millis) -> String {
    match state {
        TargetState::Usable => "usable".into(),
        TargetState::Cold { remaining, share } => {
            let share = share.map_or(NONE.into(), |share| format!("one in {} ms", share.gap.0));
            format!("cold for {} ms, own share {share}", remaining.0)
        }
        TargetState::Slow(estimate) => format!("slow, estimate {estimate:.2}"),
        TargetState::Silent => "silent".into(),
        TargetState::Held(Obstacle::Evacuated) => "evacuated".into(),
        TargetState::Held(Obstacle::Ejected) => "ejected".into(),
        TargetState::Held(Obstacle::Rests(until)) => {
            format!("resting for {} ms", until.since(now).0)
        }
        TargetState::Held(other) => format!("held: {}", other.name()),
    }
}

fn row<const N: usize>(cells: [&str; N]) -> Vec<String> {
    // Names come from heartbeats and documents; one with a line break would add a line of its own.
    let cells = cells.map(|cell| cell.replace(char::is_control, "?"));
    cells.into()
}

/// Returns the rows as lines whose columns are as wide as their widest cells.
fn align(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let lines = rows.iter().map(|row| {
        let cells = row.iter().zip(&widths);
        let cells = cells.map(|(cell, width)| format!("{cell:<width$}"));
        let cells: Vec<String> = cells.collect();
        format!("{}\n", cells.join("  ").trim_end())
    });
    lines.collect()
}

impl Requests {
    /// Returns what this entry decides by now.
    pub fn state(&self) -> EntryState {
        let declared = &self.node.declared;
        let evacuations = declared.evacuations();
        let evacuated = evacuations.state().evacuated().map(Arc::from);
        let zones = self.targets.zones();
        let now = self.node.clock.now();
        let statuses = self.targets.dispatcher().statuses(now);
        let targets = statuses.into_iter().map(|status| PlacedTarget {
            zone: zones.get(&status.id).cloned(),
            status,
        });
        let served = zones.values().filter_map(|z| self.node.settings.region(z));
        let served: BTreeSet<&Arc<str>> = served.collect();
        let catalogue = declared.catalogue();
        let named = catalogue.named_regions().iter();
        EntryState {
            version: declared.version(),
            current: self.node.is_current(),
            revision: evacuations.state().revision,
            evacuated: evacuated.collect(),
            ranks: self.service_ranks(now),
            targets: targets.collect(),
            bindings: self.bindings(),
            empty: named.filter(|r| !served.contains(r)).cloned().collect(),
            now,
        }
    }

    fn service_ranks(&self, now: Millis) -> Vec<ServiceRanks> {
        let catalogue = self.node.declared.catalogue();
        let orders = self.ranks(&catalogue);
        let dispatcher = self.targets.dispatcher();
        let ranks = dispatcher.ranks();
        let services = catalogue.services().filter_map(|service| {
            let count = u8::try_from(orders.count(&service.name)?).unwrap_or(u8::MAX);
            let rates = (0..count).map(|rank| ranks.rate(now, &service.name, Rank(rank)));
            Some(ServiceRanks {
                service: service.name.clone(),
                short: ranks.is_short(now, &service.name),
                rates: rates.collect(),
            })
        });
        services.collect()
    }

    fn bindings(&self) -> BTreeSet<Binding> {
        let catalogue = self.node.declared.catalogue();
        let routes = catalogue.routes();
        let routes = routes.filter_map(|r| bind(Bound::Route(r.name.clone()), &r.residency));
        let holders = catalogue.organisations();
        let holders =
            holders.filter_map(|o| bind(Bound::Organisation(o.name.clone()), &o.residency));
        routes.chain(holders).collect()
    }
}

fn bind(bound: Bound, residency: &Residency) -> Option<Binding> {
    let mut regions = residency.regions().to_vec();
    regions.sort();
    (!regions.is_empty()).then_some(Binding { bound, regions })
}
