//! The gossip's messages and the facts of its rows as bytes.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use filbertstack_core::Millis;
use filbertstack_core::names::ZoneName;
use filbertstack_policy::gossip::Facts;
use filbertstack_policy::gossip::Liveness;
use filbertstack_policy::gossip::Message;
use filbertstack_policy::gossip::MessageKind;
use filbertstack_policy::gossip::Row;
use filbertstack_policy::gossip::RowKind;
use filbertstack_policy::gossip::SUMMARY_BUCKETS;
use filbertstack_policy::gossip::State;
use filbertstack_policy::gossip::Summary;
use filbertstack_wire::messages::Announce;
use filbertstack_wire::messages::Stage;
use prost::Message as _;

/// Of a number of chunks that is under way, so many leading bits are told on.
const PROGRESS_BITS: u32 = 3;

/// What an entry says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryFacts {
    /// Where callers connect.
    pub http: SocketAddr,
    /// Where links connect.
    pub links: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// How long callers may keep its address.
    pub max_age: Millis,
}

#[derive(Clone, PartialEq, Eq, prost::Message)]
struct EntryFrame {
    #[prost(string, tag = "1")]
    http: String,
    #[prost(string, tag = "2")]
    links: String,
    #[prost(string, tag = "3")]
    zone: String,
    #[prost(uint64, tag = "4")]
    max_age: u64,
}

impl EntryFacts {
    /// The bytes for a row.
    pub fn to_facts(&self) -> Facts {
        let frame = EntryFrame {
            http: self.http.to_string(),
            links: self.links.to_string(),
            zone: self.zone.to_string(),
            max_age: self.max_age.0,
        };
        Facts(frame.encode_to_vec().into())
    }

    /// Reads an entry's row; `None` if it does not read.
    pub fn of(row: &Row) -> Option<Self> {
        let frame = EntryFrame::decode(&*row.facts.0).ok()?;
        Some(Self {
            http: frame.http.parse().ok()?,
            links: frame.links.parse().ok()?,
            zone: frame.zone.parse().ok()?,
            max_age: Millis(frame.max_age),
        })
    }
}

/// The bytes of what a target announces, without what its row says itself.
///
/// Each row that changes goes to every entry. Chunks that arrive change it with each
/// announcement, and a new version on 1,000 targets would hold up all other news; told by their
/// leading bits they change it a few dozen times for a whole copy.
pub fn target_facts(announce: &Announce) -> Facts {
    let mut facts = Announce {
        name: String::new(),
        incarnation: 0,
        version: 0,
        leaving: false,
        heard: Vec::new(),
        ..announce.clone()
    };
    for copy in &mut facts.copies {
        if copy.stage() == Stage::Fetching {
            copy.chunks = leading(copy.chunks);
        }
    }
    Facts(facts.encode_to_vec().into())
}

/// What a target announced, from its row; `None` if it does not read.
pub fn announced(row: &Row) -> Option<Announce> {
    let facts = Announce::decode(&*row.facts.0).ok()?;
    Some(Announce {
        name: row.name.to_string(),
        incarnation: row.incarnation,
        version: row.version,
        leaving: row.state != State::Up,
        ..facts
    })
}

fn leading(count: u32) -> u32 {
    let bits = u32::BITS - count.leading_zeros();
    let cut = bits.saturating_sub(PROGRESS_BITS);
    count >> cut << cut
}

#[derive(Clone, PartialEq, Eq, prost::Message)]
struct MessageFrame {
    #[prost(uint32, tag = "1")]
    kind: u32,
    #[prost(message, repeated, tag = "2")]
    rows: Vec<RowFrame>,
    #[prost(fixed32, repeated, tag = "3")]
    summary: Vec<u32>,
}

#[derive(Clone, PartialEq, Eq, prost::Message)]
struct RowFrame {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(bool, tag = "2")]
    target: bool,
    #[prost(string, tag = "3")]
    region: String,
    #[prost(uint64, tag = "4")]
    incarnation: u64,
    #[prost(uint64, tag = "5")]
    version: u64,
    #[prost(uint32, tag = "6")]
    state: u32,
    #[prost(uint32, tag = "7")]
    doubt: u32,
    #[prost(bytes = "vec", tag = "8")]
    facts: Vec<u8>,
}

/// The bytes of a message.
pub fn encode(message: &Message) -> Bytes {
    let kind = match message.kind {
        // From one on: a push without news would be no bytes at all, which means no answer. It
        // would not be heard, and neighbours at rest would doubt each other again and again.
        MessageKind::Push => 1,
        MessageKind::Answer => 2,
        MessageKind::Page => 3,
    };
    let summary = message.summary.as_ref();
    let frame = MessageFrame {
        kind,
        rows: message.rows.iter().map(row_frame).collect(),
        summary: summary.map(|s| s.0.to_vec()).unwrap_or_default(),
    };
    frame.encode_to_vec().into()
}

/// Reads a message; `None` if it does not read. Rows that do not read are left out, so that a row
/// of a later release does not keep the others back.
pub fn decode(bytes: &[u8]) -> Option<Message> {
    let frame = MessageFrame::decode(bytes).ok()?;
    let kind = match frame.kind {
        1 => MessageKind::Push,
        2 => MessageKind::Answer,
        3 => MessageKind::Page,
        _ => return None,
    };
    let summary = if frame.summary.is_empty() {
        None
    } else {
        let summary: [u32; SUMMARY_BUCKETS] = frame.summary.try_into().ok()?;
        Some(Summary(Box::new(summary)))
    };
    Some(Message {
        kind,
        rows: frame.rows.into_iter().filter_map(row).collect(),
        summary,
    })
}

fn row_frame(row: &Row) -> RowFrame {
    RowFrame {
        name: row.name.to_string(),
        target: row.kind == RowKind::Target,
        region: row.region.to_string(),
        incarnation: row.incarnation,
        version: row.version,
        state: match row.state {
            State::Up => 0,
            State::Leaving => 1,
            State::Left => 2,
        },
        doubt: match row.liveness {
            Liveness::Alive => 0,
            Liveness::Suspect => 1,
            Liveness::Dead => 2,
        },
        facts: row.facts.0.to_vec(),
    }
}

fn row(frame: RowFrame) -> Option<Row> {
    Some(Row {
        name: frame.name.parse().ok()?,
        kind: if frame.target {
            RowKind::Target
        } else {
            RowKind::Entry
        },
        region: frame.region.parse().ok()?,
        incarnation: frame.incarnation,
        version: frame.version,
        state: match frame.state {
            0 => State::Up,
            1 => State::Leaving,
            2 => State::Left,
            _ => return None,
        },
        liveness: match frame.doubt {
            0 => Liveness::Alive,
            1 => Liveness::Suspect,
            2 => Liveness::Dead,
            _ => return None,
        },
        facts: Facts(Arc::from(frame.facts)),
    })
}
