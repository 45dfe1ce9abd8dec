//! Which entries callers and targets talk to: chosen by rendezvous hash.
//!
//! Every caller that asks for addresses would otherwise begin with the first of one list. A
//! rendezvous hash gives each its own order, and an entry that goes changes it only for those
//! that had it.

use filbertstack_core::Millis;
use filbertstack_core::names::InstanceName;
use filbertstack_core::names::RegionName;

use super::row::Row;
use super::row::RowKind;
use crate::subset::hash;
use crate::subset::mix;

/// How many entries answer for a target: two may be lost at once.
pub const HOMES: usize = 3;

/// How long it takes until every entry has seen that one is leaving: twice what the tests
/// measure at 340 entries with a tenth of the messages lost.
pub const SEEN_WITHIN: Millis = Millis::secs(6);

/// The entries that a target of `region` announces itself to; entries of other regions only if
/// its own has none.
pub fn home_entries<'a>(
    target: &InstanceName,
    region: &RegionName,
    rows: impl Iterator<Item = &'a Row> + Clone,
) -> Vec<InstanceName> {
    let entries = rows.filter(|row| row.kind == RowKind::Entry && row.takes_work());
    let near = entries.clone().filter(|row| row.region == *region);
    let mut chosen = ranked(target.as_str(), near);
    if chosen.is_empty() {
        chosen = ranked(target.as_str(), entries);
    }
    chosen.truncate(HOMES);
    chosen
}

/// The entries that a caller is told to use, best first: of its own region if that is known and
/// has any, then the others, at most `count`.
pub fn entries_for_caller<'a>(
    caller: &str,
    region: Option<&RegionName>,
    rows: impl Iterator<Item = &'a Row> + Clone,
    count: usize,
) -> Vec<InstanceName> {
    let entries = rows.filter(|row| row.kind == RowKind::Entry && row.takes_work());
    let is_near = |row: &&Row| region == Some(&row.region);
    let mut chosen = ranked(caller, entries.clone().filter(is_near));
    chosen.extend(ranked(caller, entries.filter(|row| !is_near(row))));
    chosen.truncate(count);
    chosen
}

/// The rows' names by falling rendezvous hash with `key`.
pub(super) fn ranked<'a>(key: &str, rows: impl Iterator<Item = &'a Row>) -> Vec<InstanceName> {
    let weighed = rows.map(|row| (rendezvous_hash(key, row.name.as_str()), &row.name));
    let mut weighed: Vec<_> = weighed.collect();
    weighed.sort_unstable_by(|a, b| b.cmp(a));
    weighed.into_iter().map(|(_, name)| name.clone()).collect()
}

/// The rendezvous hash of two texts. Nobody gains by forging it: whoever can choose names can
/// choose addresses.
pub(crate) fn rendezvous_hash(key: &str, name: &str) -> u64 {
    mix(hash(key).rotate_left(32) ^ hash(name))
}

/// An entry that is leaving: until when it must still serve callers.
///
/// Callers keep addresses for `max_age`. Others give this entry's address out until they have
/// seen that it leaves; a caller that got it then still comes `max_age` later. Stopping earlier,
/// it would be a refused connection to that caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Departure {
    left: Millis,
    max_age: Millis,
}

impl Departure {
    /// Begins at `now`; `max_age` is the longest that any answer allows addresses to be kept.
    pub fn begin(now: Millis, max_age: Millis) -> Self {
        Self { left: now, max_age }
    }

    /// Until when the entry takes callers.
    pub fn serves_until(&self) -> Millis {
        self.left + SEEN_WITHIN + self.max_age
    }

    /// Whether the entry may stop taking callers.
    pub fn is_over(&self, now: Millis) -> bool {
        now >= self.serves_until()
    }
}
