//! The encoding of the gossip's messages and of the facts in its rows.

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

/// The number of leading bits that are kept of a chunk count while a copy is in progress.
const PROGRESS_BITS: u32 = 3;

/// The facts that an entry publishes about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryFacts {
    /// The address for callers.
    pub http: SocketAddr,
    /// The address for links.
    pub links: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The time for which callers may keep its address.
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
    /// Encodes the facts for a row.
    pub fn to_facts(&self) -> Facts {
        let frame = EntryFrame {
            http: self.http.to_string(),
            links: self.links.to_string(),
            zone: self.zone.to_string(),
            max_age: self.max_age.0,
        };
        Facts(frame.encode_to_vec().into())
    }

    /// Decodes the facts of an entry's row. Returns `None` if they are malformed.
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

/// Encodes a target's announcement without the fields that its row already holds.
///
/// Each changed row goes to every entry. The exact chunk count would change the row with each announcement,
/// and a new version on 1,000 targets would delay all other changes. With only its leading bits, the count
/// changes the row a few dozen times for a whole copy.
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
            copy.chunks = round_down(copy.chunks);
        }
    }
    Facts(facts.encode_to_vec().into())
}

/// Decodes the announcement in a target's row. Returns `None` if it is malformed.
pub fn decode_announce(row: &Row) -> Option<Announce> {
    let facts = Announce::decode(&*row.facts.0).ok()?;
    Some(Announce {
        name: row.name.to_string(),
        incarnation: row.incarnation,
        version: row.version,
        leaving: row.state != State::Up,
        ..facts
    })
}

/// Returns `count` with all but its [`PROGRESS_BITS`] leading bits cleared.
fn round_down(count: u32) -> u32 {
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

/// Encodes a message.
pub fn encode(message: &Message) -> Bytes {
    let kind = match message.kind {
        // The kinds start at 1. With 0, a push without rows would encode to no bytes, which means "no
        // answer". It would be ignored, and idle neighbours would suspect each other again and again.
        MessageKind::Push => 1,
        MessageKind::Answer => 2,
        MessageKind::Page => 3,
    };
    let summary = message.summary.as_ref();
    let frame = MessageFrame {
        kind,
        rows: message.rows.iter().map(encode_row).collect(),
        summary: summary.map(|s| s.0.to_vec()).unwrap_or_default(),
    };
    frame.encode_to_vec().into()
}

/// Decodes a message. Returns `None` if it is malformed. Malformed rows are skipped, so that a row of a later
/// release does not affect the others.
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
        rows: frame.rows.into_iter().filter_map(decode_row).collect(),
        summary,
    })
}

fn encode_row(row: &Row) -> RowFrame {
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

fn decode_row(frame: RowFrame) -> Option<Row> {
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
