//! Which of many targets one entry uses.
//!
//! *Load pattern*: 340 entries before 2,000 engines. Did every entry use every engine, each would
//! hold 2,000 links and load reports, and an engine would share its slots among 340 limits below
//! one. Rendezvous hashing gives each entry its own [`SIZE`] targets, without any agreement, and
//! a target that comes or goes changes one place of the entries that had it.

/// The targets that one entry uses. At 340 entries and 2,000 targets a target is used by 8.2
/// entries in the mean, and by none with probability (1 - 48/2000)^340 = 0.03%; with 24 it would
/// be 1.6%, 33 engines without work. All of today's 12 to 16 engines fit.
pub const SIZE: usize = 48;

/// The places kept for the entry's own zone. The other third lies elsewhere, so that the loss of
/// the zone's targets leaves links that are open and limits that are known.
pub const LOCAL_SIZE: usize = 32;

/// A target as the subset sees it.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a, K> {
    /// The caller's key.
    pub key: K,
    /// The target's name.
    pub name: &'a str,
    /// The target's zone.
    pub zone: &'a str,
}

/// The targets that `entry` in `zone` uses of `candidates`, in the order of their rank.
pub fn choose<K: Copy>(entry: &str, zone: &str, candidates: &[Candidate<'_, K>]) -> Vec<K> {
    let mut ranked: Vec<_> = candidates
        .iter()
        .map(|candidate| (rank(entry, candidate.name), candidate))
        .collect();
    ranked.sort_by(|(a, x), (b, y)| b.cmp(a).then_with(|| x.name.cmp(y.name)));
    let (home, away): (Vec<_>, Vec<_>) = ranked
        .iter()
        .partition(|(_, candidate)| candidate.zone == zone);
    let near = home
        .len()
        .min(LOCAL_SIZE.max(SIZE.saturating_sub(away.len())));
    let far = away.len().min(SIZE - near.min(SIZE));
    let home = home.iter().take(near);
    let away = away.iter().take(far);
    home.chain(away)
        .map(|(_, candidate)| candidate.key)
        .collect()
}

/// The targets that `entry` uses: those beside it, and of its subset as many as there is room for.
pub fn select<K: Copy>(
    entry: &str,
    zone: &str,
    candidates: &[Candidate<'_, K>],
    is_beside: impl Fn(K) -> bool,
) -> Vec<K> {
    let keys = candidates.iter().map(|candidate| candidate.key);
    let mut used: Vec<K> = keys.filter(|key| is_beside(*key)).collect();
    let room = SIZE.saturating_sub(used.len());
    let others = choose(entry, zone, candidates).into_iter();
    used.extend(others.filter(|key| !is_beside(*key)).take(room));
    used
}

/// A target beside an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Preferred {
    /// Its index among the targets.
    pub target: usize,
    /// How many entries are beside it.
    pub entries: u32,
}

/// The targets beside an entry.
///
/// *Load pattern*: hundreds of entries send to the same engines, and none sees what the others have
/// sent since the last report. Those that take the same engine at the same moment wait for each
/// other's prompts.
///
/// The entries and the targets of one zone are laid along a line, each evenly in the order of their
/// hashes, and an entry is beside those whose part of the line meets its own. So every entry has a target
/// beside it and every target an entry, in even numbers, without any agreement.
pub fn preferred(entry: &str, entries: &[&str], targets: &[&str]) -> Vec<Preferred> {
    let Some(place) = in_order(entries).iter().position(|n| entries[*n] == entry) else {
        return Vec::new();
    };
    let line = in_order(targets);
    let (entries, targets) = (entries.len(), targets.len());
    let met = (0..targets).filter(|target| meets(place, entries, *target, targets));
    let counted = met.map(|target| {
        let beside = (0..entries).filter(|entry| meets(*entry, entries, target, targets));
        Preferred {
            target: line[target],
            entries: u32::try_from(beside.count()).unwrap_or(u32::MAX),
        }
    });
    counted.collect()
}

/// The indices of `names` in the order of their hashes.
fn in_order(names: &[&str]) -> Vec<usize> {
    let mut order: Vec<_> = (0..names.len()).collect();
    order.sort_by_key(|n| (mix(hash(names[*n])), names[*n]));
    order
}

/// Whether part `a` of `as_many` equal parts of a line overlaps part `b` of `others`.
fn meets(a: usize, as_many: usize, b: usize, others: usize) -> bool {
    a * others < (b + 1) * as_many && b * as_many < (a + 1) * others
}

fn rank(entry: &str, target: &str) -> u64 {
    mix(hash(entry) ^ hash(target).rotate_left(32))
}

/// A 64-bit hash of a name that is the same in every process (FNV-1a).
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
