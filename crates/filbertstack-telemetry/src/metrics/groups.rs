//! Every instrument, by the part of the system that it belongs to.

use opentelemetry::metrics::Meter;

use crate::metrics::instrument::Level;
use crate::metrics::instrument::LevelBy;
use crate::metrics::instrument::Timing;
use crate::metrics::instrument::TimingBy;
use crate::metrics::instrument::Total;
use crate::metrics::instrument::TotalBy;

/// What an entry measures on the way of a request.
#[derive(Debug)]
pub struct EntryMetrics {
    /// Requests ended, by outcome.
    pub requests: TotalBy,
    /// Requests ended, by organisation.
    pub organisations: TotalBy,
    /// Requests refused, by reason.
    pub refusals: TotalBy,
    /// Attempts beyond the first, by reason.
    pub retries: TotalBy,
    /// Second attempts of idempotent requests beside the first.
    pub hedges: Total,
    /// Tokens passed on, by organisation.
    pub tokens: TotalBy,
    /// Frames of an attempt that was over, dropped.
    pub late_frames: Total,
    /// Resends answered from a kept answer or refused with what is known.
    pub replays: TotalBy,
    /// Requests in the queue.
    pub queued: Level,
    /// Requests at targets.
    pub in_flight: Level,
    /// Targets known, by state.
    pub targets: LevelBy,
    /// Targets ejected as slow or failing.
    pub ejected: Level,
    /// The time in the queue.
    pub wait: Timing,
    /// The time to the first token.
    pub first_token: Timing,
    /// The time between tokens.
    pub token_gap: Timing,
    /// The time to the end of the answer, by outcome.
    pub duration: TimingBy,
}

impl EntryMetrics {
    pub(super) fn new(meter: &Meter) -> Self {
        let m = meter;
        Self {
            requests: TotalBy::new(m, "entry_requests", "outcome", "Requests ended"),
            organisations: TotalBy::new(
                m,
                "entry_organisation_requests",
                "organisation",
                "Requests ended, by organisation",
            ),
            refusals: TotalBy::new(m, "entry_refusals", "reason", "Requests refused"),
            retries: TotalBy::new(m, "entry_retries", "reason", "Attempts beyond the first"),
            hedges: Total::new(m, "entry_hedges", "Second attempts beside the first"),
            tokens: TotalBy::new(m, "entry_tokens", "organisation", "Tokens passed on"),
            late_frames: Total::new(m, "entry_late_frames", "Frames of a past attempt, dropped"),
            replays: TotalBy::new(m, "entry_replays", "result", "Resends under a known key"),
            queued: Level::new(m, "entry_queued", "Requests in the queue"),
            in_flight: Level::new(m, "entry_in_flight", "Requests at targets"),
            targets: LevelBy::new(m, "entry_targets", "state", "Targets known"),
            ejected: Level::new(m, "entry_ejected", "Targets ejected as slow or failing"),
            wait: Timing::new(m, "entry_wait", "Time in the queue"),
            first_token: Timing::new(m, "entry_first_token", "Time to the first token"),
            token_gap: Timing::new(m, "entry_token_gap", "Time between tokens"),
            duration: TimingBy::new(
                m,
                "entry_duration",
                "outcome",
                "Time to the end of the answer",
            ),
        }
    }
}

/// What an agent measures at its target.
#[derive(Debug)]
pub struct AgentMetrics {
    /// Requests at the gate, by decision.
    pub gate: TotalBy,
    /// Orders at the gate, by outcome.
    pub orders: TotalBy,
    /// Changes of the target's state, by the new state.
    pub states: TotalBy,
    /// Requests at the target.
    pub in_flight: Level,
    /// The time of a call of the target, by outcome.
    pub call: TimingBy,
    /// The age of the target's last load report.
    pub report_age: Timing,
}

impl AgentMetrics {
    pub(super) fn new(meter: &Meter) -> Self {
        let m = meter;
        Self {
            gate: TotalBy::new(m, "agent_gate", "decision", "Requests at the gate"),
            orders: TotalBy::new(m, "agent_orders", "outcome", "Orders at the gate"),
            states: TotalBy::new(m, "agent_states", "state", "Changes of the target's state"),
            in_flight: Level::new(m, "agent_in_flight", "Requests at the target"),
            call: TimingBy::new(m, "agent_call", "outcome", "Time of a call of the target"),
            report_age: Timing::new(m, "agent_report_age", "Age of the last load report"),
        }
    }
}

/// What is measured where weights move.
#[derive(Debug)]
pub struct WeightMetrics {
    /// Bytes fetched, by the kind of source.
    pub fetched: TotalBy,
    /// Bytes served to others.
    pub served: Total,
    /// Chunks whose digest was wrong, by the kind of source.
    pub bad_chunks: TotalBy,
    /// Changes of the source after a stall or a bad chunk.
    pub switches: Total,
    /// Bytes that are still to be fetched.
    pub missing: Level,
    /// Whether a copy is in progress.
    pub copying: Level,
    /// The time from the order to the last chunk verified.
    pub copy: Timing,
    /// The time of loading into the engine.
    pub load: Timing,
}

impl WeightMetrics {
    pub(super) fn new(meter: &Meter) -> Self {
        let m = meter;
        Self {
            fetched: TotalBy::new(m, "weights_fetched_bytes", "source", "Bytes fetched"),
            served: Total::new(m, "weights_served_bytes", "Bytes served to others"),
            bad_chunks: TotalBy::new(
                m,
                "weights_bad_chunks",
                "source",
                "Chunks with a bad digest",
            ),
            switches: Total::new(m, "weights_switches", "Changes of the source"),
            copying: Level::new(m, "weights_copying", "Whether a copy is in progress"),
            missing: Level::new(m, "weights_missing_bytes", "Bytes still to be fetched"),
            copy: Timing::new(m, "weights_copy", "Time to the last chunk verified"),
            load: Timing::new(m, "weights_load", "Time of loading into the engine"),
        }
    }
}

/// What is measured of the replicated log and the configuration in force.
#[derive(Debug)]
pub struct ControlMetrics {
    /// The revision in force here.
    pub revision: Level,
    /// The term.
    pub term: Level,
    /// Whether this voter leads: 0 or 1.
    pub leader: Level,
    /// Elections that this voter stood in.
    pub elections: Total,
    /// Entries committed.
    pub commits: Total,
    /// Proposals refused, by reason.
    pub refusals: TotalBy,
    /// Followers, by state.
    pub followers: LevelBy,
    /// Voters that the group is declared for, and those that hold its log now.
    pub voters: LevelBy,
    /// The time of a sync of the log.
    pub sync: Timing,
    /// The time from the proposal to the commit.
    pub commit: Timing,
    /// The time from the commit to being in force here.
    pub in_force: Timing,
    /// Bytes sent for control, by kind of message.
    pub sent: TotalBy,
}

impl ControlMetrics {
    pub(super) fn new(meter: &Meter) -> Self {
        let m = meter;
        Self {
            revision: Level::new(m, "control_revision", "Revision in force here"),
            term: Level::new(m, "control_term", "Term"),
            leader: Level::new(m, "control_leader", "Whether this voter leads"),
            elections: Total::new(m, "control_elections", "Elections stood in"),
            commits: Total::new(m, "control_commits", "Entries committed"),
            refusals: TotalBy::new(m, "control_refusals", "reason", "Proposals refused"),
            followers: LevelBy::new(m, "control_followers", "state", "Followers"),
            voters: LevelBy::new(
                m,
                "control_voters",
                "count",
                "Voters declared, and those that hold the log",
            ),
            sync: Timing::new(m, "control_sync", "Time of a sync of the log"),
            commit: Timing::new(m, "control_commit", "Time from proposal to commit"),
            in_force: Timing::new(m, "control_in_force", "Time from commit to being in force"),
            sent: TotalBy::new(m, "control_sent_bytes", "kind", "Bytes sent for control"),
        }
    }
}
