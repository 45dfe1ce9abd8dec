//! The targets in the registry, and how many processes share them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use filbertstack_policy::dispatch::Sharers;
use filbertstack_policy::dispatch::TargetId;
use filbertstack_policy::registry::Stamp;

use crate::control::registry::RegistryRow;
use crate::link::messages::Kind;
use crate::link::messages::TargetRow;
use crate::link::messages::decode_addr;

/// The numbers of entries, of targets and of targets that this entry uses: each in all zones, and in the
/// zone of this entry.
pub(super) struct ZoneCounts<'a> {
    zone: &'a str,
    entries: [u32; 2],
    /// The targets, by service.
    targets: BTreeMap<&'a str, [u32; 2]>,
    /// The targets that this entry uses, by service.
    used: BTreeMap<&'a str, [u32; 2]>,
}

impl<'a> ZoneCounts<'a> {
    pub(super) fn new(
        zone: &'a str,
        rows: &[RegistryRow],
        latest: &[Registered<'a>],
        used: &BTreeSet<SocketAddr>,
    ) -> Self {
        let mut zone_counts = Self {
            zone,
            entries: [0; 2],
            targets: BTreeMap::new(),
            used: BTreeMap::new(),
        };
        for (_, kind, _) in rows {
            if let Kind::Entry(row) = &**kind {
                count(&mut zone_counts.entries, row.zone == zone);
            }
        }
        for Registered { row, addr, .. } in latest {
            let near = row.zone == zone;
            count(zone_counts.targets.entry(&row.service).or_default(), near);
            if used.contains(addr) {
                count(zone_counts.used.entry(&row.service).or_default(), near);
            }
        }
        zone_counts
    }

    pub(super) fn sharers(&self, row: &TargetRow) -> Sharers {
        let part = usize::from(row.zone == self.zone);
        let counted = |of: &BTreeMap<&str, [u32; 2]>| {
            let counts = of.get(row.service.as_str());
            counts.map_or(1, |counts| counts[part])
        };
        Sharers {
            entries: self.entries[part],
            targets: counted(&self.targets),
            used: counted(&self.used),
            preferred_by: 0,
        }
    }
}

/// Returns the services with a target that is not evacuated.
pub(super) fn services_outside<'a>(
    latest: &[Registered<'a>],
    is_evacuated: impl Fn(&TargetRow) -> bool,
) -> BTreeSet<&'a str> {
    let outside = latest.iter().filter(|r| !is_evacuated(r.row));
    outside.map(|r| r.row.service.as_str()).collect()
}

/// Counts one in all zones, and also in the zone of this entry if it is `near`.
fn count(counts: &mut [u32; 2], near: bool) {
    counts[0] += 1;
    counts[1] += u32::from(near);
}

/// A registered target.
#[derive(Clone, Copy)]
pub(super) struct Registered<'a> {
    pub(super) instance: &'a Arc<str>,
    pub(super) stamp: Stamp,
    pub(super) row: &'a TargetRow,
    pub(super) addr: SocketAddr,
}

/// Returns the registered targets. Of two at one address it returns the one that started last: the other
/// must have ended, as its address was assigned again. A target of no declared service has no requests to take from
/// another.
pub(super) fn latest(
    rows: &[RegistryRow],
    is_declared: impl Fn(&str) -> bool,
) -> Vec<Registered<'_>> {
    let rank = |row: &TargetRow, stamp: Stamp| (is_declared(&row.service), stamp.born);
    let mut by_addr: BTreeMap<SocketAddr, Registered<'_>> = BTreeMap::new();
    for (instance, kind, stamp) in rows {
        let Kind::Target(row) = &**kind else {
            continue;
        };
        let Some(addr) = decode_addr(&row.addr) else {
            continue;
        };
        let known = by_addr.get(&addr);
        if known.is_none_or(|other| rank(other.row, other.stamp) < rank(row, *stamp)) {
            let registered = Registered {
                instance,
                stamp: *stamp,
                row,
                addr,
            };
            by_addr.insert(addr, registered);
        }
    }
    by_addr.into_values().collect()
}

/// Separates the id of an instance, a part of a path, which does not hold this character, from its start.
const START_MARK: char = '#';

/// Returns the id of the target that an instance is since its latest start. An instance that starts again under
/// its id knows nothing of before, and what was observed of it before says nothing about it.
pub(super) fn start_id(instance: &Arc<str>, stamp: Stamp) -> TargetId {
    if stamp.born == 0 {
        return instance.clone();
    }
    format!("{instance}{START_MARK}{}", stamp.born).into()
}

/// Returns the id of a target's instance.
pub fn instance_of(target: &str) -> &str {
    target.split(START_MARK).next().unwrap_or_default()
}
