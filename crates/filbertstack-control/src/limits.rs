//! Bounds of the state: every size and count that a peer, operator or caller controls.

/// The bounds that a state keeps. They are part of the state: a snapshot carries them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Request identifiers remembered.
    pub requests: usize,
    /// How long a request identifier is remembered, in milliseconds.
    pub request_age: u64,
    /// Claims kept over all organisations.
    pub claims: usize,
    /// Claims kept of one organisation.
    pub org_claims: usize,
    /// Bytes of answers kept over all claims.
    pub answers: usize,
}

impl Limits {
    /// The bounds of a node's 128 MiB for control; docs/design/control-state.md has the sums.
    pub const DEFAULT: Self = Self {
        requests: 4096,
        request_age: 24 * 3_600_000,
        claims: 100_000,
        org_claims: 25_000,
        answers: 8 << 20,
    };
}

impl Default for Limits {
    fn default() -> Self {
        Self::DEFAULT
    }
}

/// How far a client's clock may run ahead of the state's, in milliseconds. Without a bound, one
/// request stamped years ahead would, once forgotten, make every honest stamp look too old.
pub const MAX_AHEAD: u64 = 5 * 60_000;

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

/// The most objects that the history names of one change.
pub const MAX_NAMED: usize = 32;

/// The most objects declared, of all kinds.
pub const MAX_OBJECTS: usize = 4096;

/// The most versions in the catalogue.
pub const MAX_VERSIONS: usize = 1024;

/// The most instances registered.
pub const MAX_INSTANCES: usize = 8192;

/// The longest labels of an instance, in bytes.
pub const MAX_LABELS: usize = 2048;

/// The most versions that one target is ordered to hold.
pub const MAX_HOLDS: usize = 64;

/// The longest answer that a claim keeps, in bytes; of a longer one only the digest stays.
pub const MAX_ANSWER: usize = 16 << 10;

/// The longest time that a claim is kept after its last change, in milliseconds.
pub const MAX_LIFE: u64 = 72 * 3_600_000;

/// The most accepted changes remembered, to tell a loser what won.
pub const MAX_HISTORY: usize = 256;

/// The most removals remembered for followers; one that is further behind gets everything anew.
pub const MAX_TOMBSTONES: usize = 1024;
