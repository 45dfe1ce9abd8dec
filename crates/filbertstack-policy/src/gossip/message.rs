//! Messages between entries.

use filbertstack_core::names::InstanceName;

use super::row::Row;

/// The buckets of a summary: rows are put into one by the hash of their name.
///
/// With 2,340 rows a bucket holds 18, so that one row that differs costs a page of 1.6 KB, and the
/// summary itself 512 bytes.
pub const SUMMARY_BUCKETS: usize = 128;

/// A hash over each bucket of a table; equal tables have equal summaries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Summary(pub Box<[u32; SUMMARY_BUCKETS]>);

/// What a message is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// Sent in turn; asks for an answer.
    Push,
    /// The answer to a push.
    Answer,
    /// The answer to a summary that differs: rows that the other may lack.
    Page,
}

/// A message between entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// What it is for.
    pub kind: MessageKind,
    /// Rows that the sender thinks are news.
    pub rows: Vec<Row>,
    /// The sender's table, if it wants to compare.
    pub summary: Option<Summary>,
}

/// The bytes of a message besides its rows: framing, kind, sender and authentication.
const MESSAGE_HEAD: usize = 40;

impl Message {
    /// About how many bytes the message takes on the wire.
    pub fn size(&self) -> usize {
        let rows: usize = self.rows.iter().map(Row::size).sum();
        let summary = self.summary.as_ref().map_or(0, |_| SUMMARY_BUCKETS * 4);
        MESSAGE_HEAD + rows + summary
    }
}

/// A message with where it goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The entry.
    pub to: InstanceName,
    /// The message.
    pub message: Message,
}
