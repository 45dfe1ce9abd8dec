//! Timings, limits and safeguards of a replica, with their defaults.

use std::time::Duration;

/// Holds the durations that the protocol works with.
///
/// The defaults suit small instances with round trips of a few milliseconds: a leader that dies is
/// replaced within about [`Timing::election_max`] and one round trip.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// The interval between two heartbeats of a leader with at most four followers; it is longer
    /// with more.
    pub heartbeat: Duration,
    /// The time during which a voter that heard a leader grants no vote, and the shortest election
    /// timeout.
    pub election_min: Duration,
    /// The longest election timeout.
    pub election_max: Duration,
    /// The time during which a leader serves reads after the start of a heartbeat round that a
    /// majority confirmed. It is shorter than `election_min` by the drift allowed between two
    /// clocks.
    pub lease: Duration,
    /// The time without an answer after which entries or a piece of a snapshot are sent again.
    pub resend: Duration,
}

/// Five heartbeats fit into one election timeout, so that one lost packet or one pause of the
/// scheduler causes no election; the design note lists the cost of heartbeats.
pub const HEARTBEAT: Duration = Duration::from_millis(200);
/// Exceeds the scheduling pauses of a small instance under load.
pub const ELECTION_MIN: Duration = Duration::from_secs(1);
/// Twice the shortest timeout, so that two followers seldom campaign at the same time.
pub const ELECTION_MAX: Duration = Duration::from_secs(2);
/// Allows one clock to run a quarter faster than another, far more than real clocks drift.
pub const LEASE: Duration = Duration::from_millis(800);
/// Equals two heartbeats.
pub const RESEND: Duration = Duration::from_millis(400);

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat: HEARTBEAT,
            election_min: ELECTION_MIN,
            election_max: ELECTION_MAX,
            lease: LEASE,
            resend: RESEND,
        }
    }
}

/// Bounds what one replica holds and sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The largest total size of the entries in one message, in bytes.
    pub append_bytes: usize,
    /// The largest number of unacknowledged messages with entries to one follower.
    pub inflight_appends: usize,
    /// The largest total size of uncommitted entries, in bytes; beyond it proposals are refused.
    pub uncommitted_bytes: usize,
    /// The size of the longest command, in bytes.
    pub command_bytes: usize,
    /// The size of one piece of a snapshot, in bytes.
    pub piece_bytes: usize,
    /// The size of the longest encoded snapshot that a follower accepts from a leader, in bytes.
    pub snapshot_bytes: usize,
    /// The number of entries that stay in memory behind a snapshot, for followers that lag a
    /// little.
    pub kept_entries: u64,
    /// The largest number of reads that wait for one heartbeat round.
    pub pending_reads: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            append_bytes: 256 << 10,
            inflight_appends: 16,
            uncommitted_bytes: 8 << 20,
            command_bytes: 1 << 20,
            piece_bytes: 256 << 10,
            snapshot_bytes: 64 << 20,
            kept_entries: 1_000,
            pending_reads: 10_000,
        }
    }
}

/// Selects the protections of the protocol; a test may switch off each of them alone.
///
/// It exists for tests, which show that the checker detects a replica without the protection. A
/// [`Replica`](crate::Replica) always runs with all of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each switches off one protection, alone"
)]
pub struct Safeguards {
    /// Term and vote are durable before a message that depends on them is sent.
    pub durable_votes: bool,
    /// Entries are durable before they are acknowledged.
    pub durable_entries: bool,
    /// Only entries of the leader's own term are committed by counting acknowledgements.
    pub commit_own_term: bool,
    /// The lease starts when a round is sent, not when its answers arrive.
    pub lease_from_send: bool,
    /// A voter that heard a leader recently grants no vote; a restart counts as hearing a leader.
    pub sticky_leader: bool,
    /// A follower asks whether it would be elected before it raises its term.
    pub pre_vote: bool,
    /// A replica without any entry or snapshot belongs to no group and grants no vote.
    pub members_vote: bool,
    /// A leader steps down when no majority answers it.
    pub check_quorum: bool,
    /// A learner becomes a voter only when it holds every committed entry.
    pub caught_up: bool,
    /// Membership changes one at a time, and only through a leader that has committed an entry of
    /// its term.
    pub one_change: bool,
    /// A read waits until the leader has committed the no-op entry of its term.
    pub read_after_noop: bool,
    /// A leader serves no read under its lease after it told a voter to campaign.
    pub transfer_lease: bool,
}

impl Default for Safeguards {
    fn default() -> Self {
        Self {
            durable_votes: true,
            durable_entries: true,
            commit_own_term: true,
            lease_from_send: true,
            sticky_leader: true,
            pre_vote: true,
            members_vote: true,
            check_quorum: true,
            caught_up: true,
            one_change: true,
            read_after_noop: true,
            transfer_lease: true,
        }
    }
}
