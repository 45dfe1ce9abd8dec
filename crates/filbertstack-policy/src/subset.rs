//! This module selects the targets that one entry uses.
//!
//! *Load pattern*: 340 entries send to 2,000 engines. If every entry used every engine, each entry
//! would keep 2,000 links and load reports, and an engine would divide its slots into 340 limits below
//! one. Rendezvous hashing gives each entry its own [`SIZE`] targets without coordination, and a target
//! that joins or leaves changes one place for each entry that uses it.

/// The number of targets that one entry uses. At 340 entries and 2,000 targets, a target is used by 8.2
/// entries on average, and by none with probability (1 - 48/2000)^340 = 0.03%. With 24 it would be
/// 1.6%, which leaves 33 engines without work. Deployments of 12 to 16 engines fit as a whole.
pub const SIZE: usize = 48;

/// The number of places for targets of the entry's own zone. The other third is in other zones, so that
/// links are open and limits are known when the zone's targets are lost.
pub const LOCAL_SIZE: usize = 32;

/// A target that may be selected.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a, K> {
    /// The key by which the caller knows the target.
    pub key: K,
    /// The target's name.
    pub name: &'a str,
    /// The target's availability zone.
    pub zone: &'a str,
}

/// Returns the targets among `candidates` that `entry` in `zone` uses, in the order of their rank.
pub fn choose<K: Copy>(entry: &str, zone: &str, candidates: &[Candidate<'_, K>]) -> Vec<K> {
    let mut ranked: Vec<_> = candidates
        .iter()
        .map(|candidate| (rank(entry, candidate.name), candidate))
        .collect();
    ranked.sort_by(|(a, x), (b, y)| b.cmp(a).then_with(|| x.name.cmp(y.name)));
    let (local, remote): (Vec<_>, Vec<_>) = ranked
        .iter()
        .partition(|(_, candidate)| candidate.zone == zone);
    let local_count = local
        .len()
        .min(LOCAL_SIZE.max(SIZE.saturating_sub(remote.len())));
    let remote_count = remote.len().min(SIZE - local_count.min(SIZE));
    let local = local.iter().take(local_count);
    let remote = remote.iter().take(remote_count);
    local
        .chain(remote)
        .map(|(_, candidate)| candidate.key)
        .collect()
}

/// Returns the targets that `entry` uses: its preferred ones, and as many others of its subset as fit.
pub fn select<K: Copy>(
    entry: &str,
    zone: &str,
    candidates: &[Candidate<'_, K>],
    is_preferred: impl Fn(K) -> bool,
) -> Vec<K> {
    let keys = candidates.iter().map(|candidate| candidate.key);
    let mut used: Vec<K> = keys.filter(|key| is_preferred(*key)).collect();
    let room = SIZE.saturating_sub(used.len());
    let others = choose(entry, zone, candidates).into_iter();
    used.extend(others.filter(|key| !is_preferred(*key)).take(room));
    used
}

/// The entries and the targets of a service in one zone, or in all zones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Population {
    /// The number of entries.
    pub entries: usize,
    /// The number of targets.
    pub targets: usize,
}

/// Returns the mean number of entries that use a target, given those of its zone and those of all zones.
/// Entries of other zones count only if the zone has none, because the zone's entries use it first.
pub fn mean_users(zone: Population, all: Population) -> usize {
    if all.targets <= SIZE {
        return all.entries;
    }
    if zone.entries == 0 {
        return all.entries * (SIZE - LOCAL_SIZE) / all.targets;
    }
    let remote_targets = all.targets.saturating_sub(zone.targets);
    let places = LOCAL_SIZE.max(SIZE.saturating_sub(remote_targets));
    zone.entries * places.min(zone.targets) / zone.targets.max(1)
}

/// A target that an entry prefers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Preferred {
    /// The target's index among the targets.
    pub target: usize,
    /// The number of entries that prefer the target.
    pub entries: u32,
}

/// Returns the targets that an entry prefers.
///
/// *Load pattern*: hundreds of entries send to the same engines, and none sees what the others have
/// sent since the last report. Requests of entries that choose the same engine at the same moment wait
/// for each other's prompts.
///
/// The entries of one zone are spaced evenly along a line in the order of their hashes, and so are the
/// targets. An entry prefers the targets whose segment of the line overlaps its own. Without
/// coordination, every entry thus has a preferred target, every target is preferred by an entry, and
/// the numbers are even.
pub fn preferred(entry: &str, entries: &[&str], targets: &[&str]) -> Vec<Preferred> {
    let Some(position) = hash_order(entries)
        .iter()
        .position(|n| entries[*n] == entry)
    else {
        return Vec::new();
    };
    let order = hash_order(targets);
    let (entries, targets) = (entries.len(), targets.len());
    let overlapping = (0..targets).filter(|target| overlaps(position, entries, *target, targets));
    let preferred_targets = overlapping.map(|target| {
        let preferring = (0..entries).filter(|entry| overlaps(*entry, entries, target, targets));
        Preferred {
            target: order[target],
            entries: u32::try_from(preferring.count()).unwrap_or(u32::MAX),
        }
    });
    preferred_targets.collect()
}

/// Returns the indices of `names` in the order of their hashes.
fn hash_order(names: &[&str]) -> Vec<usize> {
    let mut order: Vec<_> = (0..names.len()).collect();
    order.sort_by_key(|n| (mix(hash(names[*n])), names[*n]));
    order
}

/// Returns whether part `a` of `parts` equal parts of a line overlaps part `b` of `other_parts`.
fn overlaps(a: usize, parts: usize, b: usize, other_parts: usize) -> bool {
    a * other_parts < (b + 1) * parts && b * parts < (a + 1) * other_parts
}

/// Returns the rank of a target for an entry: an entry uses the targets of the highest ranks.
pub(crate) fn rank(entry: &str, target: &str) -> u64 {
    mix(hash(entry) ^ hash(target).rotate_left(32))
}

/// Returns a 64-bit hash of a name that is the same in every process (FNV-1a).
pub fn hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Spreads every bit of `x` over the result (the finaliser of `SplitMix64`).
pub fn mix(mut x: u64) -> u64 {
    x ^= x >> 30;
    x = x.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x ^= x >> 27;
    x = x.wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
