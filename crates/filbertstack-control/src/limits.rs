//! This module defines the limits of the state: one for every size and count that a peer, operator or
//! caller controls.

/// The limits that a state enforces. They are part of the state, so a snapshot contains them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The most request identifiers remembered.
    pub requests: usize,
    /// How long a request identifier is remembered, in milliseconds.
    pub request_age_ms: u64,
    /// The most claims kept over all organisations.
    pub claims: usize,
    /// The most claims kept for one organisation.
    pub org_claims: usize,
    /// The most bytes of answers kept over all claims.
    pub answer_bytes: usize,
}

impl Limits {
    /// The limits of a node that has 128 MiB for control. docs/design/control-state.md has the sums.
    pub const DEFAULT: Self = Self {
        requests: 4096,
        request_age_ms: 24 * 3_600_000,
        claims: 100_000,
        org_claims: 25_000,
        answer_bytes: 8 << 20,
    };
}

impl Default for Limits {
    fn default() -> Self {
        Self::DEFAULT
    }
}

/// How far a client's clock may run ahead of the state's clock, in milliseconds. Without a limit, one
/// request with a time years ahead would, once it is forgotten, make every correct time look too old.
pub const MAX_CLOCK_AHEAD_MS: u64 = 5 * 60_000;

/// The longest text of a change, in bytes.
pub const MAX_TEXT: usize = 256 << 10;

/// The longest identifier or key, in bytes.
pub const MAX_ID: usize = 255;

/// The longest URL of a version's files, in bytes.
pub const MAX_URL: usize = 1024;

/// The most reasons that one refusal carries; the last says how many were left out.
pub const MAX_REASONS: usize = 64;

/// The longest text of a reason, in characters.
pub const MAX_REASON: usize = 512;

/// The longest text of all declarations together, in bytes.
pub const MAX_DECLARED: usize = 2 << 20;

/// The most objects that the history records of one change.
pub const MAX_CHANGE_OBJECTS: usize = 32;

/// The most objects declared, of all kinds.
pub const MAX_OBJECTS: usize = 4096;

/// The most versions in the catalogue.
pub const MAX_VERSIONS: usize = 1024;

/// The most registered instances.
pub const MAX_INSTANCES: usize = 8192;

/// The longest labels of an instance, in bytes.
pub const MAX_LABELS: usize = 2048;

/// The most versions that one target is ordered to hold.
pub const MAX_HOLDS: usize = 64;

/// The longest answer that a claim keeps, in bytes. Of a longer one the claim keeps only the digest.
pub const MAX_ANSWER: usize = 16 << 10;

/// The longest time that a claim is kept after its last change, in milliseconds.
pub const MAX_CLAIM_LIFE_MS: u64 = 72 * 3_600_000;

/// The most accepted changes remembered, so that a conflict can name the change that was accepted first.
pub const MAX_HISTORY: usize = 256;

/// The most removals remembered for followers. A follower that is further behind gets all declarations.
pub const MAX_TOMBSTONES: usize = 1024;
