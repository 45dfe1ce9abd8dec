//! This module defines the parameters of the gossip protocol and gives the reasons for their
//! values.

use filbertstack_core::Millis;

/// The parameters of the gossip protocol. All entries of a fleet use the same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The time between two rounds. With 400 ms a change reaches 340 entries in under 3 s.
    pub round_interval: Millis,
    /// The number of neighbours that an entry chooses; the entries that chose it are its neighbours
    /// too. With four, an entry has eight neighbours on average, and the graph stays connected when
    /// a third of the entries is gone.
    pub neighbour_count: usize,
    /// The number of neighbours that an entry sends to in one round, in turn.
    pub fanout: usize,
    /// The maximum size of the rows in a message, in bytes. Two messages and two answers per round
    /// make 3 KB per second in each direction when there are more updates than fit; the budget is
    /// 8 KB.
    pub message_bytes: usize,
    /// The maximum size of the rows in the answer to a summary that differs, in bytes.
    pub page_bytes: usize,
    /// The number of rounds between two comparisons of an entry's table with a neighbour's.
    pub compare_rounds: u64,
    /// How often an updated row is sent: once to each neighbour on average. The comparison finds an
    /// update that is lost on the way to all of them.
    pub max_sends: u32,
    /// How long a neighbour may be silent before it becomes suspect: two turns in each direction.
    pub silence_timeout: Millis,
    /// How long a target may be silent towards an entry that monitors it: three announcements.
    pub lease: Millis,
    /// How long a suspect instance has to refute the suspicion. It must hear of the suspicion and
    /// be heard again, which takes twice the time that a change needs to reach all entries.
    pub suspect_timeout: Millis,
    /// How long the row of a gone instance is kept, so that an old row cannot revive it. The time
    /// must exceed the longest time for which regions lose contact.
    pub tombstone_ttl: Millis,
    /// The maximum number of rows kept.
    pub max_rows: usize,
}

impl Settings {
    /// The parameters for up to 340 entries and 2,000 targets.
    pub const DEFAULT: Self = Self {
        round_interval: Millis(400),
        neighbour_count: 4,
        fanout: 2,
        message_bytes: 300,
        page_bytes: 4096,
        compare_rounds: 10,
        max_sends: 8,
        silence_timeout: Millis(3600),
        lease: Millis(4500),
        suspect_timeout: Millis::secs(8),
        tombstone_ttl: Millis::secs(24 * 3600),
        max_rows: 16_384,
    };
}

impl Default for Settings {
    fn default() -> Self {
        Self::DEFAULT
    }
}
