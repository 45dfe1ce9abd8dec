//! What entries observe of targets and of the demand, and share over the voters.

use bytes::Bytes;

/// The loads of some engines.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Loads {
    /// One row for each engine.
    #[prost(message, repeated, tag = "1")]
    pub rows: Vec<LoadRow>,
}

/// The load of an engine. Hundreds of them are sent ten times a second, so the address of the engine is
/// packed.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct LoadRow {
    /// The engine's address, [packed](pack_addr).
    #[prost(fixed64, tag = "1")]
    pub engine: u64,
    /// The number of requests that the engine runs.
    #[prost(uint32, tag = "2")]
    pub running: u32,
    /// The number of requests that wait in the engine.
    #[prost(uint32, tag = "3")]
    pub waiting: u32,
    /// The time that the engine takes, in percent of its usual time.
    #[prost(uint32, tag = "4")]
    pub pace: u32,
}

/// A subscription to the loads of engines. It replaces the earlier one of the same follower.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Watch {
    /// The engines' addresses, [packed](pack_addr).
    #[prost(fixed64, repeated, tag = "1")]
    pub engines: Vec<u64>,
}

/// Targets that were lost while they ran certain requests, or requests with certain parts of a prompt.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Crashes {
    /// One row for each request or part, and target.
    #[prost(message, repeated, tag = "1")]
    pub rows: Vec<CrashRow>,
}

/// The loss of one target under one request, or under one part of a prompt.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CrashRow {
    /// The digest of the request; empty in the row of a part.
    #[prost(bytes = "bytes", tag = "1")]
    pub request: Bytes,
    /// The id of the target.
    #[prost(string, tag = "2")]
    pub target: String,
    /// Whether the request was sent there as a probe.
    #[prost(bool, tag = "3")]
    pub probe: bool,
    /// Whether the loss has turned out not to be a crash.
    #[prost(bool, tag = "4")]
    pub refuted: bool,
    /// The digest of the part; empty in the row of a request. Earlier releases ignore rows of parts.
    #[prost(bytes = "bytes", tag = "5")]
    pub part: Bytes,
    /// Milliseconds since the loss, as far as the sender knows. Earlier releases send 0.
    #[prost(uint64, tag = "6")]
    pub age_ms: u64,
}

/// The limits that targets name in their answers.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Limits {
    /// One row for each target.
    #[prost(message, repeated, tag = "1")]
    pub rows: Vec<LimitRow>,
}

/// The limit of one target.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LimitRow {
    /// The id of the target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// The requests a second that it takes from all entries together; absent once it names no limit.
    #[prost(double, optional, tag = "2")]
    pub per_s: Option<f64>,
    /// The number of changes of this limit so far.
    #[prost(uint64, tag = "3")]
    pub version: u64,
}

/// The rates at which requests of each rank arrive: at one entry, at the entries that report to one voter, or at
/// all entries.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Demand {
    /// The name of the node that sends it; empty if it is the demand at all entries.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The number of entries.
    #[prost(uint32, tag = "2")]
    pub entries: u32,
    /// The services whose requests differ in rank.
    #[prost(message, repeated, tag = "3")]
    pub services: Vec<ServiceDemand>,
}

/// The rates at which requests for one service arrive.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ServiceDemand {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// One row for each rank that has requests.
    #[prost(message, repeated, tag = "2")]
    pub ranks: Vec<RankDemand>,
}

/// The rates at which requests of one rank arrive, in requests per 1,000 s.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct RankDemand {
    /// The rank.
    #[prost(uint32, tag = "1")]
    pub rank: u32,
    /// The requests of callers that were refused before.
    #[prost(uint32, tag = "2")]
    pub returning: u32,
    /// The other requests of organisations within their even part.
    #[prost(uint32, tag = "3")]
    pub new: u32,
    /// The requests of organisations beyond it.
    #[prost(uint32, tag = "4")]
    pub excess: u32,
}
