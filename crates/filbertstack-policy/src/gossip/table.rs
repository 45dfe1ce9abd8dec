//! This module keeps an entry's table of rows, with the hashes by which two tables are compared.

use std::collections::BTreeMap;

use filbertstack_core::Digest;
use filbertstack_core::Millis;
use filbertstack_core::names::InstanceName;

use super::message::SUMMARY_BUCKETS;
use super::message::Summary;
use super::row::Liveness;
use super::row::Row;

/// A row with the information that is local to this entry.
#[derive(Clone, Debug)]
pub(super) struct KnownRow {
    pub(super) row: Row,
    /// The time at which this entry stored the row's present version, state and liveness.
    pub(super) since: Millis,
    bucket: usize,
    hash: u32,
}

/// The rows by instance name.
#[derive(Clone, Debug)]
pub(super) struct RowTable {
    rows: BTreeMap<InstanceName, KnownRow>,
    summary: Summary,
}

impl RowTable {
    pub(super) fn new() -> Self {
        Self {
            rows: BTreeMap::new(),
            summary: Summary(Box::new([0; SUMMARY_BUCKETS])),
        }
    }

    pub(super) fn get(&self, name: &InstanceName) -> Option<&KnownRow> {
        self.rows.get(name)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &KnownRow> + Clone {
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

    /// Stores a row in place of the instance's previous one.
    pub(super) fn insert(&mut self, row: Row, now: Millis) {
        self.remove(&row.name);
        let (bucket, hash) = bucket_and_hash(&row);
        self.summary.0[bucket] ^= hash;
        let name = row.name.clone();
        let known = KnownRow {
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

    /// Returns the rows of the buckets in which the `remote` summary differs, beginning at
    /// `first_bucket`, up to `max_bytes`.
    pub(super) fn differing_rows(
        &self,
        remote: &Summary,
        first_bucket: usize,
        max_bytes: usize,
    ) -> Vec<Row> {
        let differs: Vec<_> = (0..SUMMARY_BUCKETS)
            .map(|i| remote.0[i] != self.summary.0[i])
            .collect();
        let mut candidates: Vec<_> = self.iter().filter(|known| differs[known.bucket]).collect();
        candidates
            .sort_by_key(|known| (known.bucket + SUMMARY_BUCKETS - first_bucket) % SUMMARY_BUCKETS);
        let mut remaining = max_bytes;
        let fits = |row: &&Row| {
            let fits = row.size() <= remaining;
            remaining = remaining.saturating_sub(row.size());
            fits
        };
        let rows = candidates.into_iter().map(|known| &known.row);
        rows.take_while(fits).cloned().collect()
    }
}

/// Returns the bucket of a row and the row's part of that bucket's hash.
///
/// Rows of gone instances contribute 0: each entry removes such a row at a different time, and a
/// contribution that comes and goes would make equal tables look different for as long.
fn bucket_and_hash(row: &Row) -> (usize, u32) {
    let liveness = match row.liveness {
        Liveness::Alive => 'n',
        Liveness::Suspect => 's',
        Liveness::Dead => 'd',
    };
    let name = Digest::of(row.name.as_str().as_bytes());
    let bucket = usize::from(name.as_bytes()[0]) % SUMMARY_BUCKETS;
    if row.is_gone() {
        return (bucket, 0);
    }
    let text = format!(
        "{} {} {} {liveness}",
        row.name, row.incarnation, row.version
    );
    let hash = Digest::of(text.as_bytes());
    let first: [u8; 4] = hash.as_bytes()[..4].try_into().unwrap_or_default();
    (bucket, u32::from_be_bytes(first))
}
