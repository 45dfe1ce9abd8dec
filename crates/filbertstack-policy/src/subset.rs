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
pub const HOME_SIZE: usize = 32;

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
        .min(HOME_SIZE.max(SIZE.saturating_sub(away.len())));
    let far = away.len().min(SIZE - near.min(SIZE));
    let home = home.iter().take(near);
    let away = away.iter().take(far);
    home.chain(away)
        .map(|(_, candidate)| candidate.key)
        .collect()
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
