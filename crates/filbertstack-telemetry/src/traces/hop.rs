//! The names of spans and of their fields.

use opentelemetry::trace::SpanKind;

/// A hop of a request or of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hop {
    /// A caller's request, as an entry sees it.
    EntryRequest,
    /// The wait for admission.
    EntryAdmission,
    /// One attempt at a target.
    EntryDispatch,
    /// The claim of an idempotency key in the replicated log.
    EntryClaim,
    /// The check at the agent's gate and what follows it.
    AgentGate,
    /// The call of a model engine.
    AgentEngine,
    /// The call of a plain service.
    AgentService,
    /// The fetch of a version's chunks.
    AgentFetch,
    /// The load of a version into the engine.
    AgentLoad,
    /// An operator's call.
    ControlRequest,
    /// The commit of an entry of the replicated log.
    ControlCommit,
}

impl Hop {
    /// The span's name.
    pub const fn name(self) -> &'static str {
        match self {
            Self::EntryRequest => "entry.request",
            Self::EntryAdmission => "entry.admission",
            Self::EntryDispatch => "entry.dispatch",
            Self::EntryClaim => "entry.claim",
            Self::AgentGate => "agent.gate",
            Self::AgentEngine => "agent.engine",
            Self::AgentService => "agent.service",
            Self::AgentFetch => "agent.fetch",
            Self::AgentLoad => "agent.load",
            Self::ControlRequest => "control.request",
            Self::ControlCommit => "control.commit",
        }
    }

    pub(crate) fn kind(self) -> SpanKind {
        match self {
            Self::EntryRequest | Self::AgentGate | Self::ControlRequest => SpanKind::Server,
            Self::EntryDispatch | Self::AgentEngine | Self::AgentService | Self::AgentFetch => {
                SpanKind::Client
            }
            Self::EntryAdmission | Self::EntryClaim | Self::AgentLoad | Self::ControlCommit => {
                SpanKind::Internal
            }
        }
    }
}

/// What a span notes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Field {
    /// The caller's organisation.
    Organisation,
    /// The model.
    Model,
    /// The version's digest.
    Version,
    /// The rule that matched.
    Rule,
    /// The target.
    Target,
    /// The availability zone.
    Zone,
    /// The attempt's number.
    Attempt,
    /// How it ended.
    Outcome,
    /// Why it ended so.
    Reason,
    /// Tokens.
    Tokens,
    /// Bytes.
    Bytes,
    /// The configuration's revision.
    Revision,
}

impl Field {
    /// The attribute's name.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Organisation => "organisation",
            Self::Model => "model",
            Self::Version => "version",
            Self::Rule => "rule",
            Self::Target => "target",
            Self::Zone => "zone",
            Self::Attempt => "attempt",
            Self::Outcome => "outcome",
            Self::Reason => "reason",
            Self::Tokens => "tokens",
            Self::Bytes => "bytes",
            Self::Revision => "revision",
        }
    }
}
