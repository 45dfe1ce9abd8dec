//! This module defines the names of spans and of their fields.

use opentelemetry::trace::SpanKind;

/// A hop is one step of a request or of an order, and has its own span.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hop {
    /// An entry handles a caller's request.
    EntryRequest,
    /// The request waits for admission.
    EntryAdmission,
    /// The entry sends one attempt to a target.
    EntryDispatch,
    /// The entry claims an idempotency key in the replicated log.
    EntryClaim,
    /// The agent's gate checks the request; the span covers the subsequent processing.
    AgentGate,
    /// The agent calls a model engine.
    AgentEngine,
    /// The agent calls a plain service.
    AgentService,
    /// The agent fetches the chunks of a version.
    AgentFetch,
    /// The agent loads a version into the engine.
    AgentLoad,
    /// An operator sends a request.
    ControlRequest,
    /// An entry of the replicated log is committed.
    ControlCommit,
}

impl Hop {
    /// Returns the name of the span.
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

/// A field is an attribute of a span.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Field {
    /// The organisation of the caller.
    Organisation,
    /// The name of the model.
    Model,
    /// The digest of the version.
    Version,
    /// The rule that matched.
    Rule,
    /// The name of the target.
    Target,
    /// The name of the availability zone.
    Zone,
    /// The number of the attempt.
    Attempt,
    /// The outcome of the hop.
    Outcome,
    /// The reason for the outcome.
    Reason,
    /// The number of tokens.
    Tokens,
    /// The number of bytes.
    Bytes,
    /// The revision of the configuration.
    Revision,
}

impl Field {
    /// Returns the name of the attribute.
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
