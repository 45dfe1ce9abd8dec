//! Rows of the registry of processes.

use filbertstack_control::document::Weights;

/// Rows of the registry.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Rows {
    /// The rows.
    #[prost(message, repeated, tag = "1")]
    pub rows: Vec<Row>,
    /// Whether these are all the rows that the sender holds.
    #[prost(bool, tag = "2")]
    pub whole: bool,
}

/// A registration of one process or target in the registry.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Row {
    /// The id of the process or target.
    #[prost(string, tag = "1")]
    pub id: String,
    /// The time of its start, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "2")]
    pub born: u64,
    /// A number that grows with each row since that start.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// Whether it has left.
    #[prost(bool, tag = "4")]
    pub gone: bool,
    /// Its kind and state.
    #[prost(oneof = "Kind", tags = "5, 6, 7")]
    pub kind: Option<Kind>,
}

impl Row {
    /// Creates a row that says that a process has left. It supersedes every row of that process.
    pub fn left(id: &str) -> Self {
        Self {
            id: id.into(),
            born: 0,
            sequence: u64::MAX,
            gone: true,
            kind: None,
        }
    }

    /// Creates a row that says that a process sent nothing after the row with this `sequence`.
    pub fn silent(id: &str, born: u64, sequence: u64) -> Self {
        Self {
            id: id.into(),
            born,
            sequence,
            gone: true,
            kind: None,
        }
    }
}

/// The subject of a row.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Kind {
    /// A target.
    #[prost(message, tag = "5")]
    Target(TargetRow),
    /// An entry.
    #[prost(message, tag = "6")]
    Entry(EntryRow),
    /// An agent beside a target.
    #[prost(message, tag = "7")]
    Agent(AgentRow),
}

/// A target, as it registered itself.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TargetRow {
    /// The service that it belongs to.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The address where it serves.
    #[prost(string, tag = "2")]
    pub addr: String,
    /// Its availability zone.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// The number of requests that it processes at once.
    #[prost(uint32, tag = "4")]
    pub slots: u32,
    /// Whether it takes no new requests.
    #[prost(bool, tag = "5")]
    pub draining: bool,
    /// The version of the weights that it serves; 0 if none.
    #[prost(uint64, tag = "6")]
    pub version: u64,
    /// The remaining milliseconds for which it stays slow after its start.
    #[prost(uint64, tag = "7")]
    pub cold_ms: u64,
}

/// An entry, as it registered itself.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EntryRow {
    /// The address where callers connect.
    #[prost(string, tag = "1")]
    pub front: String,
    /// Its availability zone.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Whether it takes no new callers, such as while it shuts down.
    #[prost(bool, tag = "3")]
    pub leaving: bool,
    /// Its address for links.
    #[prost(string, tag = "4")]
    pub link: String,
    /// The versions of which it has all the pieces that it is to fetch from the origin.
    #[prost(message, repeated, tag = "5")]
    pub holds: Vec<Weights>,
}

/// An agent and the weights that it holds.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AgentRow {
    /// The engine's address.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// The agent's address for links.
    #[prost(string, tag = "2")]
    pub link: String,
    /// Its availability zone.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// The model that the engine serves; empty if none yet.
    #[prost(string, tag = "4")]
    pub model: String,
    /// The version of the weights that the engine serves; 0 if none.
    #[prost(uint64, tag = "5")]
    pub version: u64,
    /// Whether the engine takes no new requests, as another version is being loaded.
    #[prost(bool, tag = "6")]
    pub loading: bool,
    /// The version of which the engine has all pieces; 0 if none.
    #[prost(uint64, tag = "7")]
    pub holds: u64,
}
