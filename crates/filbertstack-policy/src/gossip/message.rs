//! This module defines the messages between entries.

use filbertstack_core::names::InstanceName;

use super::row::Row;

/// The number of buckets in a summary; a row's bucket follows from the hash of its name.
///
/// With 2,340 rows a bucket holds 18, so that one differing row costs a page of 1.6 KB; the summary
/// itself takes 512 bytes.
pub const SUMMARY_BUCKETS: usize = 128;

/// A hash of each bucket of a table. Equal tables have equal summaries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Summary(pub Box<[u32; SUMMARY_BUCKETS]>);

/// The purpose of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// A message that an entry sends to a neighbour in turn; it asks for an answer.
    Push,
    /// The answer to a push.
    Answer,
    /// The answer to a summary that differs: rows that the receiver may lack.
    Page,
}

/// A message between entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The purpose of the message.
    pub kind: MessageKind,
    /// The rows that the sender considers new to the receiver.
    pub rows: Vec<Row>,
    /// The summary of the sender's table, if it asks for a comparison.
    pub summary: Option<Summary>,
}

/// The size of a message without its rows and summary: framing, kind, sender and authentication.
const MESSAGE_OVERHEAD_BYTES: usize = 40;

impl Message {
    /// Returns the approximate size of the message on the wire in bytes.
    pub fn size(&self) -> usize {
        let rows: usize = self.rows.iter().map(Row::size).sum();
        let summary = self.summary.as_ref().map_or(0, |_| SUMMARY_BUCKETS * 4);
        MESSAGE_OVERHEAD_BYTES + rows + summary
    }
}

/// A message with its destination.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The entry that receives the message.
    pub to: InstanceName,
    /// The message.
    pub message: Message,
}
