//! The figures of the gossip, each with its grounds.

use filbertstack_core::Millis;

/// The figures of the gossip. Every entry of a fleet runs the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The time between two rounds. 400 ms bring a change to 340 entries in under 3 s.
    pub round_interval: Millis,
    /// How many neighbours an entry chooses; those that chose it are its neighbours too. Four make
    /// eight on average and leave the graph whole when a third of the entries is gone.
    pub view: usize,
    /// The neighbours that it sends to in one round, in turn.
    pub fanout: usize,
    /// The most bytes of rows in a message. Two messages and two answers a round make 3 KB a
    /// second each way when there is more to tell than fits, of a budget of 8 KB.
    pub bytes: usize,
    /// The most bytes of rows in the answer to a summary that differs.
    pub page: usize,
    /// Every how many rounds an entry compares its table with a neighbour's.
    pub compare_rounds: u64,
    /// How often a row that is news is sent: once to each neighbour on average. What was lost on
    /// all of those ways is found by the comparison.
    pub sends: u32,
    /// How long a neighbour may be silent before it is doubted: two turns each way.
    pub silence: Millis,
    /// How long a target may be silent towards an entry that answers for it: three announcements.
    pub lease: Millis,
    /// How long a doubted instance has to answer. It must hear of the doubt and be heard again,
    /// which takes two times the spread of a change.
    pub doubt: Millis,
    /// How long the row of a gone instance is kept, so that an old row cannot bring it back.
    /// Longer than regions lose each other for.
    pub tombstone: Millis,
    /// The most rows kept.
    pub rows: usize,
}

impl Settings {
    /// The figures for up to 340 entries and 2,000 targets.
    pub const DEFAULT: Self = Self {
        round_interval: Millis(400),
        view: 4,
        fanout: 2,
        bytes: 300,
        page: 4096,
        compare_rounds: 10,
        sends: 8,
        silence: Millis(3600),
        lease: Millis(4500),
        doubt: Millis::secs(8),
        tombstone: Millis::secs(24 * 3600),
        rows: 16_384,
    };
}

impl Default for Settings {
    fn default() -> Self {
        Self::DEFAULT
    }
}
