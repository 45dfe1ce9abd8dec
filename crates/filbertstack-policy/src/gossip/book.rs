//! An entry's table of rows, with the hashes that two tables are compared by.

use std::collections::BTreeMap;

use filbertstack_core::Digest;
use filbertstack_core::Millis;
use filbertstack_core::names::InstanceName;

use super::message::SUMMARY_BUCKETS;
use super::message::Summary;
use super::row::Liveness;
use super::row::Row;

/// A row with what this entry alone knows of it.
#[derive(Clone, Debug)]
pub(super) struct Known {
    pub(super) row: Row,
    /// Since when this entry has had the row's present doubt or state.
    pub(super) since: Millis,
    bucket: usize,
    hash: u32,
}

/// The rows by name.
#[derive(Clone, Debug)]
pub(super) struct Book {
    rows: BTreeMap<InstanceName, Known>,
    summary: Summary,
}

impl Book {
    pub(super) fn new() -> Self {
        Self {
            rows: BTreeMap::new(),
            summary: Summary(Box::new([0; SUMMARY_BUCKETS])),
        }
    }

    pub(super) fn get(&self, name: &InstanceName) -> Option<&Known> {
        self.rows.get(name)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Known> + Clone {
        self.rows.values()
    }

    pub(super) fn rows(&self) -> impl Iterator<Item = &Row> + Clone {
        self.rows.values().map(|known| &known.row)
    }

    pub(super) fn len(&self) -> usize {
        self.rows.len()
    }

    pub(super) fn summary(&self) -> &Summary {
        &self.summary
    }

    /// Takes a row over; it replaces what is known of the instance.
    pub(super) fn put(&mut self, row: Row, now: Millis) {
        self.remove(&row.name);
        let (bucket, hash) = hash_of(&row);
        self.summary.0[bucket] ^= hash;
        let name = row.name.clone();
        let known = Known {
            row,
            since: now,
            bucket,
            hash,
        };
        self.rows.insert(name, known);
    }

    pub(super) fn remove(&mut self, name: &InstanceName) -> bool {
        let Some(known) = self.rows.remove(name) else {
            return false;
        };
        self.summary.0[known.bucket] ^= known.hash;
        true
    }

    /// The rows of the buckets in which `theirs` differs, from `start` on, up to `bytes`.
    pub(super) fn missing(&self, theirs: &Summary, start: usize, bytes: usize) -> Vec<Row> {
        let differs: Vec<_> = (0..SUMMARY_BUCKETS)
            .map(|i| theirs.0[i] != self.summary.0[i])
            .collect();
        let mut wanted: Vec<_> = self.iter().filter(|known| differs[known.bucket]).collect();
        wanted.sort_by_key(|known| (known.bucket + SUMMARY_BUCKETS - start) % SUMMARY_BUCKETS);
        let mut left = bytes;
        let fits = |row: &&Row| {
            let fits = row.size() <= left;
            left = left.saturating_sub(row.size());
            fits
        };
        let rows = wanted.into_iter().map(|known| &known.row);
        rows.take_while(fits).cloned().collect()
    }
}

/// The bucket of a row and its part of the bucket's hash.
///
/// Rows of the gone have no part: they are forgotten at a different moment by each entry, and a
/// part that comes and goes would make equal tables look different for as long.
fn hash_of(row: &Row) -> (usize, u32) {
    let doubt = match row.liveness {
        Liveness::Alive => 'n',
        Liveness::Suspect => 's',
        Liveness::Dead => 'd',
    };
    let name = Digest::of(row.name.as_str().as_bytes());
    let bucket = usize::from(name.as_bytes()[0]) % SUMMARY_BUCKETS;
    if row.is_gone() {
        return (bucket, 0);
    }
    let text = format!("{} {} {} {doubt}", row.name, row.incarnation, row.version);
    let hash = Digest::of(text.as_bytes());
    let first: [u8; 4] = hash.as_bytes()[..4].try_into().unwrap_or_default();
    (bucket, u32::from_be_bytes(first))
}
