//! This module defines the messages that make up a snapshot.

use prost::Message;

use crate::command::Answer;
use crate::command::Desired;
use crate::command::Instance;
use crate::command::Object;
use crate::command::Publish;
use crate::outcome::Change;
use crate::outcome::Outcome;

#[derive(Clone, PartialEq, Message)]
pub(super) struct Snapshot {
    #[prost(uint32, tag = "1")]
    pub(super) format: u32,
    #[prost(uint64, tag = "2")]
    pub(super) clock: u64,
    #[prost(uint64, tag = "3")]
    pub(super) index: u64,
    #[prost(message, optional, tag = "4")]
    pub(super) limits: Option<LimitsRow>,
    #[prost(message, optional, tag = "5")]
    pub(super) declared: Option<DeclaredPart>,
    #[prost(uint64, tag = "6")]
    pub(super) request_mark: u64,
    #[prost(message, repeated, tag = "7")]
    pub(super) requests: Vec<RequestRow>,
    #[prost(message, repeated, tag = "8")]
    pub(super) versions: Vec<Publish>,
    #[prost(message, repeated, tag = "9")]
    pub(super) instances: Vec<Instance>,
    #[prost(message, optional, tag = "10")]
    pub(super) orders: Option<OrdersPart>,
    #[prost(uint64, tag = "11")]
    pub(super) ordinal: u64,
    #[prost(message, repeated, tag = "12")]
    pub(super) ledgers: Vec<LedgerRow>,
    #[prost(message, repeated, tag = "13")]
    pub(super) claims: Vec<ClaimRow>,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct LimitsRow {
    #[prost(uint64, tag = "1")]
    pub(super) requests: u64,
    #[prost(uint64, tag = "2")]
    pub(super) request_age: u64,
    #[prost(uint64, tag = "3")]
    pub(super) claims: u64,
    #[prost(uint64, tag = "4")]
    pub(super) org_claims: u64,
    #[prost(uint64, tag = "5")]
    pub(super) answers: u64,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct DeclaredPart {
    #[prost(string, tag = "1")]
    pub(super) text: String,
    #[prost(uint64, tag = "2")]
    pub(super) revision: u64,
    #[prost(uint64, tag = "3")]
    pub(super) floor: u64,
    #[prost(message, repeated, tag = "4")]
    pub(super) written: Vec<ObjectRow>,
    #[prost(message, repeated, tag = "5")]
    pub(super) removed: Vec<ObjectRow>,
    #[prost(message, repeated, tag = "6")]
    pub(super) history: Vec<Change>,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct ObjectRow {
    #[prost(message, required, tag = "1")]
    pub(super) object: Object,
    #[prost(uint64, tag = "2")]
    pub(super) revision: u64,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct RequestRow {
    #[prost(string, tag = "1")]
    pub(super) operator: String,
    #[prost(string, tag = "2")]
    pub(super) request: String,
    #[prost(bytes = "vec", tag = "3")]
    pub(super) body: Vec<u8>,
    #[prost(message, required, tag = "4")]
    pub(super) outcome: Outcome,
    #[prost(uint64, tag = "5")]
    pub(super) at: u64,
    #[prost(uint64, optional, tag = "6")]
    pub(super) issued: Option<u64>,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct OrdersPart {
    #[prost(uint64, tag = "1")]
    pub(super) term: u64,
    #[prost(string, tag = "2")]
    pub(super) leader: String,
    #[prost(uint64, tag = "3")]
    pub(super) sequence: u64,
    #[prost(message, repeated, tag = "4")]
    pub(super) targets: Vec<OrderRow>,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct OrderRow {
    #[prost(message, required, tag = "1")]
    pub(super) desired: Desired,
    #[prost(uint64, tag = "2")]
    pub(super) term: u64,
    #[prost(uint64, tag = "3")]
    pub(super) sequence: u64,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct LedgerRow {
    #[prost(string, tag = "1")]
    pub(super) organisation: String,
    #[prost(uint64, tag = "2")]
    pub(super) mark: u64,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct ClaimRow {
    #[prost(bytes = "vec", tag = "1")]
    pub(super) key: Vec<u8>,
    /// The index of the organisation in [`Snapshot::ledgers`].
    #[prost(uint32, tag = "2")]
    pub(super) ledger: u32,
    #[prost(bytes = "vec", tag = "3")]
    pub(super) body: Vec<u8>,
    #[prost(uint64, optional, tag = "4")]
    pub(super) issued: Option<u64>,
    #[prost(uint64, tag = "5")]
    pub(super) entry: u64,
    #[prost(uint64, tag = "6")]
    pub(super) attempt: u64,
    #[prost(uint64, tag = "7")]
    pub(super) fence: u64,
    #[prost(uint64, tag = "8")]
    pub(super) until: u64,
    #[prost(uint64, tag = "9")]
    pub(super) life: u64,
    #[prost(uint64, tag = "10")]
    pub(super) expires: u64,
    #[prost(uint64, tag = "11")]
    pub(super) kept: u64,
    #[prost(enumeration = "StageTag", tag = "12")]
    pub(super) stage: i32,
    #[prost(message, optional, tag = "13")]
    pub(super) answer: Option<Answer>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub(super) enum StageTag {
    Open = 0,
    Ran = 1,
    Unknown = 2,
    Released = 3,
}
