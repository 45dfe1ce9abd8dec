//! The instruments, grouped by the part of the system that they measure.

use opentelemetry::metrics::Meter;

use crate::metrics::instrument::LabelledCounter;
use crate::metrics::instrument::LabelledGauge;
use crate::metrics::instrument::LabelledTimer;
use crate::metrics::instrument::PlainCounter;
use crate::metrics::instrument::PlainGauge;
use crate::metrics::instrument::PlainTimer;

/// The metrics of the requests that an entry handles.
#[derive(Debug)]
pub struct EntryMetrics {
    /// The requests that ended, by outcome.
    pub requests: LabelledCounter,
    /// The requests that ended, by organisation.
    pub organisation_requests: LabelledCounter,
    /// The requests that were refused, by reason.
    pub refusals: LabelledCounter,
    /// The requests of services with ranks, by rank and whether they were admitted when they arrived.
    pub ranks: LabelledCounter,
    /// The requests that were not sent to the target that was chosen for them, by reason.
    pub denials: LabelledCounter,
    /// The attempts that ended before an answer began, by reason.
    pub give_ups: LabelledCounter,
    /// The answers that began on a version of the weights after its bound, by service.
    pub late_begins: LabelledCounter,
    /// The changes of targets' paces as this entry estimates them, by the new state.
    pub paces: LabelledCounter,
    /// The streams in which a target sent what is no event of them, by reason.
    pub faults: LabelledCounter,
    /// The answers that ended before they were complete, by cause.
    pub cuts: LabelledCounter,
    /// The attempts after the first, by reason.
    pub retries: LabelledCounter,
    /// The hedged attempts: second attempts of idempotent requests that run in parallel with the first.
    pub hedges: PlainCounter,
    /// The tokens forwarded to callers, by organisation.
    pub tokens: LabelledCounter,
    /// The frames that were dropped because their attempt had ended.
    pub late_frames: PlainCounter,
    /// The resent requests that were answered from a stored answer, or refused with the known outcome.
    pub replays: LabelledCounter,
    /// The requests in the queue.
    pub queued: PlainGauge,
    /// The requests that targets are processing.
    pub in_flight: PlainGauge,
    /// The entries whose demand by rank is known, this one included; 0 if it is unknown.
    pub demand_entries: PlainGauge,
    /// The known targets, by state.
    pub targets: LabelledGauge,
    /// The targets that were ejected as slow or failing.
    pub ejected: PlainGauge,
    /// The targets that are cold, of those that the entry uses.
    pub cold: PlainGauge,
    /// The availability zones that are evacuated, as far as this entry knows.
    pub evacuated_zones: PlainGauge,
    /// The time that requests spend in the queue.
    pub wait: PlainTimer,
    /// The time to the first token.
    pub first_token: PlainTimer,
    /// The time between tokens.
    pub token_gap: PlainTimer,
    /// The time to the end of the answer, by outcome.
    pub duration: LabelledTimer,
}

impl EntryMetrics {
    pub(super) fn new(meter: &Meter) -> Self {
        let m = meter;
        Self {
            requests: LabelledCounter::new(m, "entry_requests", "outcome", "Requests ended"),
            organisation_requests: LabelledCounter::new(
                m,
                "entry_organisation_requests",
                "organisation",
                "Requests ended, by organisation",
            ),
            refusals: LabelledCounter::new(m, "entry_refusals", "reason", "Requests refused"),
            ranks: LabelledCounter::new(
                m,
                "entry_ranked_requests",
                "rank",
                "Requests by rank and admission",
            ),
            denials: LabelledCounter::new(m, "entry_denials", "reason", "Sends denied"),
            give_ups: LabelledCounter::new(
                m,
                "entry_give_ups",
                "reason",
                "Attempts that ended before an answer began",
            ),
            late_begins: LabelledCounter::new(
                m,
                "entry_late_begins",
                "service",
                "Answers that began on replaced weights after their bound",
            ),
            faults: LabelledCounter::new(
                m,
                "entry_stream_faults",
                "reason",
                "Streams in which a target sent what is no event of them",
            ),
            paces: LabelledCounter::new(
                m,
                "entry_target_paces",
                "state",
                "Targets that turned slow or are at their usual pace again",
            ),
            cuts: LabelledCounter::new(m, "entry_cuts", "cause", "Answers cut"),
            retries: LabelledCounter::new(
                m,
                "entry_retries",
                "reason",
                "Attempts beyond the first",
            ),
            hedges: PlainCounter::new(m, "entry_hedges", "Second attempts beside the first"),
            tokens: LabelledCounter::new(m, "entry_tokens", "organisation", "Tokens passed on"),
            late_frames: PlainCounter::new(
                m,
                "entry_late_frames",
                "Frames of a past attempt, dropped",
            ),
            replays: LabelledCounter::new(
                m,
                "entry_replays",
                "result",
                "Resends under a known key",
            ),
            queued: PlainGauge::new(m, "entry_queued", "Requests in the queue"),
            in_flight: PlainGauge::new(m, "entry_in_flight", "Requests at targets"),
            demand_entries: PlainGauge::new(
                m,
                "entry_demand_entries",
                "Entries whose demand by rank is known",
            ),
            targets: LabelledGauge::new(m, "entry_targets", "state", "Targets known"),
            ejected: PlainGauge::new(m, "entry_ejected", "Targets ejected as slow or failing"),
            cold: PlainGauge::new(m, "entry_cold_targets", "Targets that are cold"),
            evacuated_zones: PlainGauge::new(
                m,
                "entry_evacuated_zones",
                "Availability zones that are evacuated",
            ),
            wait: PlainTimer::new(m, "entry_wait", "Time in the queue"),
            first_token: PlainTimer::new(m, "entry_first_token", "Time to the first token"),
            token_gap: PlainTimer::new(m, "entry_token_gap", "Time between tokens"),
            duration: LabelledTimer::new(
                m,
                "entry_duration",
                "outcome",
                "Time to the end of the answer",
            ),
        }
    }
}

/// The metrics of an agent and its target.
#[derive(Debug)]
pub struct AgentMetrics {
    /// The requests at the gate, by decision.
    pub gate: LabelledCounter,
    /// The orders at the gate, by outcome.
    pub orders: LabelledCounter,
    /// The changes of the target's state, by new state.
    pub states: LabelledCounter,
    /// The requests that the target is processing.
    pub in_flight: PlainGauge,
    /// The duration of a call to the target, by outcome.
    pub call: LabelledTimer,
    /// The age of the target's last load report.
    pub report_age: PlainTimer,
}

impl AgentMetrics {
    pub(super) fn new(meter: &Meter) -> Self {
        let m = meter;
        Self {
            gate: LabelledCounter::new(m, "agent_gate", "decision", "Requests at the gate"),
            orders: LabelledCounter::new(m, "agent_orders", "outcome", "Orders at the gate"),
            states: LabelledCounter::new(
                m,
                "agent_states",
                "state",
                "Changes of the target's state",
            ),
            in_flight: PlainGauge::new(m, "agent_in_flight", "Requests at the target"),
            call: LabelledTimer::new(m, "agent_call", "outcome", "Time of a call of the target"),
            report_age: PlainTimer::new(m, "agent_report_age", "Age of the last load report"),
        }
    }
}

/// The metrics of the distribution of weights.
#[derive(Debug)]
pub struct WeightMetrics {
    /// The bytes fetched, by kind of source.
    pub fetched: LabelledCounter,
    /// The bytes served to other instances.
    pub served: PlainCounter,
    /// The chunks whose digest did not match, by kind of source.
    pub bad_chunks: LabelledCounter,
    /// The changes of the source after a stall or a bad chunk.
    pub switches: PlainCounter,
    /// The bytes that remain to be fetched.
    pub missing: PlainGauge,
    /// Whether a copy is in progress: 0 or 1.
    pub copying: PlainGauge,
    /// The time from the order until the last chunk is verified.
    pub copy: PlainTimer,
    /// The time that the engine takes to load the weights.
    pub load: PlainTimer,
}

impl WeightMetrics {
    pub(super) fn new(meter: &Meter) -> Self {
        let m = meter;
        Self {
            fetched: LabelledCounter::new(m, "weights_fetched_bytes", "source", "Bytes fetched"),
            served: PlainCounter::new(m, "weights_served_bytes", "Bytes served to others"),
            bad_chunks: LabelledCounter::new(
                m,
                "weights_bad_chunks",
                "source",
                "Chunks with a bad digest",
            ),
            switches: PlainCounter::new(m, "weights_switches", "Changes of the source"),
            copying: PlainGauge::new(m, "weights_copying", "Whether a copy is in progress"),
            missing: PlainGauge::new(m, "weights_missing_bytes", "Bytes still to be fetched"),
            copy: PlainTimer::new(m, "weights_copy", "Time to the last chunk verified"),
            load: PlainTimer::new(m, "weights_load", "Time of loading into the engine"),
        }
    }
}

/// The metrics of the replicated log and of the configuration in force.
#[derive(Debug)]
pub struct ControlMetrics {
    /// The revision that is in force in this process.
    pub revision: PlainGauge,
    /// The current term.
    pub term: PlainGauge,
    /// Whether this voter is the leader: 0 or 1.
    pub leader: PlainGauge,
    /// The elections in which this voter was a candidate.
    pub elections: PlainCounter,
    /// The committed entries of the log.
    pub commits: PlainCounter,
    /// The refused proposals, by reason.
    pub refusals: LabelledCounter,
    /// The followers, by state.
    pub followers: LabelledGauge,
    /// The declared voters of the group, and the voters that currently hold its log.
    pub voters: LabelledGauge,
    /// The duration of a sync of the log to disk.
    pub sync: PlainTimer,
    /// The time from the proposal to the commit.
    pub commit: PlainTimer,
    /// The time from the commit until the configuration is in force in this process.
    pub in_force: PlainTimer,
    /// The bytes of control messages sent, by kind of message.
    pub sent: LabelledCounter,
}

impl ControlMetrics {
    pub(super) fn new(meter: &Meter) -> Self {
        let m = meter;
        Self {
            revision: PlainGauge::new(m, "control_revision", "Revision in force here"),
            term: PlainGauge::new(m, "control_term", "Term"),
            leader: PlainGauge::new(m, "control_leader", "Whether this voter leads"),
            elections: PlainCounter::new(m, "control_elections", "Elections stood in"),
            commits: PlainCounter::new(m, "control_commits", "Entries committed"),
            refusals: LabelledCounter::new(m, "control_refusals", "reason", "Proposals refused"),
            followers: LabelledGauge::new(m, "control_followers", "state", "Followers"),
            voters: LabelledGauge::new(
                m,
                "control_voters",
                "count",
                "Voters declared, and those that hold the log",
            ),
            sync: PlainTimer::new(m, "control_sync", "Time of a sync of the log"),
            commit: PlainTimer::new(m, "control_commit", "Time from proposal to commit"),
            in_force: PlainTimer::new(m, "control_in_force", "Time from commit to being in force"),
            sent: LabelledCounter::new(m, "control_sent_bytes", "kind", "Bytes sent for control"),
        }
    }
}
