//! Timings, limits and safeguards of a replica, with their defaults.

use std::time::Duration;

/// How long the parts of the protocol take.
///
/// The defaults suit small instances some milliseconds apart: a leader that dies is replaced
/// within about [`Timing::election_max`] and one round trip.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// The time between two heartbeats of a leader to at most four followers; longer to more.
    pub heartbeat: Duration,
    /// For how long a voter that heard a leader grants no vote, and the least time in which a
    /// follower campaigns.
    pub election_min: Duration,
    /// The most time in which a follower campaigns.
    pub election_max: Duration,
    /// For how long a leader serves reads after the start of a heartbeat round that a majority
    /// confirmed. Less than `election_min` by the drift allowed between two clocks.
    pub lease: Duration,
    /// After how long without an answer entries or a piece of a snapshot are sent again.
    pub resend: Duration,
}

/// Five heartbeats fit one election timeout, so that one lost packet or a pause of the scheduler
/// costs no election; see the design note for what they cost.
pub const HEARTBEAT: Duration = Duration::from_millis(200);
/// Above the pauses of a small instance under load.
pub const ELECTION_MIN: Duration = Duration::from_secs(1);
/// Twice the least, so that two followers seldom campaign together.
pub const ELECTION_MAX: Duration = Duration::from_secs(2);
/// Allows one clock to run a quarter faster than another, far above what crystals do.
pub const LEASE: Duration = Duration::from_millis(800);
/// Two heartbeats.
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

/// Bounds on what one replica holds and sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The most bytes of entries in one message.
    pub append_bytes: usize,
    /// The most messages with entries under way to one follower.
    pub inflight: usize,
    /// The most bytes of entries that are not committed; beyond it proposals are refused.
    pub uncommitted_bytes: usize,
    /// The longest command, in bytes.
    pub command_bytes: usize,
    /// The bytes of one piece of a snapshot.
    pub piece_bytes: usize,
    /// The longest encoded snapshot that is taken from a leader, in bytes.
    pub snapshot_bytes: usize,
    /// How many entries stay in memory behind a snapshot, for followers a little behind.
    pub kept_entries: u64,
    /// The most reads that wait for one heartbeat round.
    pub reads: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            append_bytes: 256 << 10,
            inflight: 16,
            uncommitted_bytes: 8 << 20,
            command_bytes: 1 << 20,
            piece_bytes: 256 << 10,
            snapshot_bytes: 64 << 20,
            kept_entries: 1_000,
            reads: 10_000,
        }
    }
}

/// The protections of the protocol, each of which a test may switch off.
///
/// For tests only: they show that the checker notices a replica without the protection. A
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
    /// Only entries of the leader's own term are committed by counting.
    pub own_term: bool,
    /// The lease counts from the sending of a round, not from the receipt of its answers.
    pub lease_from_send: bool,
    /// A voter that heard a leader lately grants no vote, also just after its own restart.
    pub sticky: bool,
    /// A follower asks whether it would be elected before it raises its term.
    pub pre_vote: bool,
    /// A replica that holds nothing of its group belongs to none, and grants no vote.
    pub members_vote: bool,
    /// A leader that no majority answers steps down.
    pub check_quorum: bool,
    /// A learner becomes a voter only when it holds everything committed.
    pub caught_up: bool,
    /// One change of membership at a time, and only by a leader that committed in its term.
    pub one_change: bool,
    /// A read waits for the entry that opens the leader's term.
    pub opened_reads: bool,
    /// After it bade a voter to campaign, a leader serves no read under its lease.
    pub transfer_lease: bool,
}

impl Default for Safeguards {
    fn default() -> Self {
        Self {
            durable_votes: true,
            durable_entries: true,
            own_term: true,
            lease_from_send: true,
            sticky: true,
            pre_vote: true,
            members_vote: true,
            check_quorum: true,
            caught_up: true,
            one_change: true,
            opened_reads: true,
            transfer_lease: true,
        }
    }
}
