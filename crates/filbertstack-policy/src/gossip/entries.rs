//! This module chooses the entries that callers and targets use, by rendezvous hash.
//!
//! If all callers received the same list of addresses, all would begin with the first one. A
//! rendezvous hash gives each caller its own order, and an entry that leaves changes the order only
//! for the callers that used it.

use filbertstack_core::Millis;
use filbertstack_core::names::InstanceName;
use filbertstack_core::names::RegionName;

use super::row::Row;
use super::row::RowKind;
use crate::subset::hash;
use crate::subset::mix;

/// The number of entries that monitor a target: two of them may be lost at once.
pub const HOME_ENTRIES: usize = 3;

/// The time within which every entry sees that another one is leaving: twice what the tests measure
/// at 340 entries with a tenth of the messages lost.
pub const SEEN_WITHIN: Millis = Millis::secs(6);

/// Returns the entries that a target of `region` announces itself to. Entries of other regions are
/// used only if its own region has none.
pub fn home_entries<'a>(
    target: &InstanceName,
    region: &RegionName,
    rows: impl Iterator<Item = &'a Row> + Clone,
) -> Vec<InstanceName> {
    let entries = rows.filter(|row| row.kind == RowKind::Entry && row.takes_work());
    let near = entries.clone().filter(|row| row.region == *region);
    let mut chosen = rank_by_hash(target.as_str(), near);
    if chosen.is_empty() {
        chosen = rank_by_hash(target.as_str(), entries);
    }
    chosen.truncate(HOME_ENTRIES);
    chosen
}

/// Returns the entries that a caller is told to use, best first: those of its own region if that is
/// known and has any, then the others, at most `count`.
pub fn entries_for_caller<'a>(
    caller: &str,
    region: Option<&RegionName>,
    rows: impl Iterator<Item = &'a Row> + Clone,
    count: usize,
) -> Vec<InstanceName> {
    let entries = rows.filter(|row| row.kind == RowKind::Entry && row.takes_work());
    let is_near = |row: &&Row| region == Some(&row.region);
    let mut chosen = rank_by_hash(caller, entries.clone().filter(is_near));
    chosen.extend(rank_by_hash(caller, entries.filter(|row| !is_near(row))));
    chosen.truncate(count);
    chosen
}

/// Returns the rows' names in descending order of their rendezvous hash with `key`.
pub(super) fn rank_by_hash<'a>(
    key: &str,
    rows: impl Iterator<Item = &'a Row>,
) -> Vec<InstanceName> {
    let hashed = rows.map(|row| (rendezvous_hash(key, row.name.as_str()), &row.name));
    let mut hashed: Vec<_> = hashed.collect();
    hashed.sort_unstable_by(|a, b| b.cmp(a));
    hashed.into_iter().map(|(_, name)| name.clone()).collect()
}

/// Returns the rendezvous hash of two texts. The hash need not resist forgery: whoever can choose
/// names can also choose addresses.
pub(crate) fn rendezvous_hash(key: &str, name: &str) -> u64 {
    mix(hash(key).rotate_left(32) ^ hash(name))
}

/// The departure of an entry, which determines until when it must still serve callers.
///
/// Callers keep addresses for `max_age`. Other entries give out this entry's address until they see
/// that it leaves, and a caller that received it then still uses it for `max_age`. If the entry
/// stopped earlier, that caller's connection would be refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Departure {
    started_at: Millis,
    max_age: Millis,
}

impl Departure {
    /// Starts the departure at `now`; `max_age` is the longest time that any answer allows
    /// addresses to be kept.
    pub fn begin(now: Millis, max_age: Millis) -> Self {
        Self {
            started_at: now,
            max_age,
        }
    }

    /// Returns until when the entry must accept callers.
    pub fn serves_until(&self) -> Millis {
        self.started_at + SEEN_WITHIN + self.max_age
    }

    /// Returns whether the entry may stop accepting callers.
    pub fn is_over(&self, now: Millis) -> bool {
        now >= self.serves_until()
    }
}
