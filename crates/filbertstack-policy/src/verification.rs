//! This module decides which staged pieces are read before an engine is ordered to load them, and how many at
//! once.
//!
//! *Load pattern*: an engine loads what is staged when it begins an order, and a staged piece may turn bad at any
//! time. Reading hundreds of pieces back one after the other takes seconds at an engine that is slow, or whose
//! agent is paused meanwhile. Pieces that turned bad after they were read were loaded, and their engine answered
//! with them until the next version. A check that is repeated until it is recent would not end where the engine
//! can't be read that fast.
//!
//! Pieces are therefore read several at a time where one after the other takes too long and the engine answers no
//! more slowly for it. Those read too long ago are read again, in all as many as there are pieces, and none where the
//! engine can't be read in time. After that the order is sent all the same: what the engine has loaded is checked
//! before it is used, which needs no time limit, as a bad piece stays bad.

use std::collections::VecDeque;

use filbertstack_core::Millis;

/// How long before an order its pieces may have been read. Operators excuse what turns bad within three seconds;
/// the rest is for the time until the engine accepts the order.
pub const MAX_AGE: Millis = Millis(2_500);

/// The time in which all pieces should be read, in milliseconds. It leaves time to read some of them again before the
/// first are too old.
const PASS_TIME: f64 = 1_000.0;

/// The largest number of pieces that are read at once. An engine accepts some hundred connections of all callers
/// together.
const MAX_WIDTH: usize = 32;

/// The bytes of all pieces that are read at once: an agent must stay small.
const MAX_BYTES: usize = 8 << 20;

/// The factor by which a read may take longer than one that is made alone. An engine that answers one call at a
/// time takes twice as long for two, and gains nothing from them.
const MAX_SLOWDOWN: f64 = 1.5;

/// The shortest of so many reads that were made alone counts: one of them may have waited for a pass of the engine,
/// or for an agent that was paused.
const LAST_READS: usize = 4;

/// `ReadWidth` adapts how many pieces are read at once to the speed of the engine.
#[derive(Clone, Debug)]
struct ReadWidth {
    pieces: f64,
    max: usize,
    current: usize,
    /// The times of the last reads that were made alone, in milliseconds.
    alone: VecDeque<f64>,
    /// The smallest width at which a read took too long, and the time that it took, in milliseconds.
    slow: Option<(usize, f64)>,
}

impl ReadWidth {
    fn new(pieces: u32, bytes: u32) -> Self {
        let bytes = usize::try_from(bytes).unwrap_or(MAX_BYTES);
        Self {
            pieces: pieces.into(),
            max: (MAX_BYTES / bytes.max(1)).clamp(1, MAX_WIDTH),
            current: 1,
            alone: VecDeque::new(),
            slow: None,
        }
    }

    /// Returns the time of a read that is made alone, in milliseconds.
    fn read_time(&self) -> Option<f64> {
        self.alone.iter().copied().reduce(f64::min)
    }

    /// Returns the time that all pieces take at the current width, in milliseconds.
    fn pass_time(&self) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "the width is small")]
        let width = self.current as f64;
        self.read_time().unwrap_or(0.0) * self.pieces / width
    }

    /// Records that a read took `took`, with `others` beside it at its end.
    fn record(&mut self, took: Millis, others: usize) {
        #[expect(clippy::cast_precision_loss, reason = "the time is short")]
        let took = took.0 as f64;
        if others == 0 && self.current == 1 {
            self.alone.push_back(took);
            let surplus = self.alone.len().saturating_sub(LAST_READS);
            self.alone.drain(..surplus);
        }
        let read_time = self.read_time().unwrap_or(took);
        if self.current > 1 && took > read_time * MAX_SLOWDOWN {
            self.narrow(took);
            return;
        }
        // The engine is as slow to a read that is made alone: it was not slowed by the others.
        self.slow = self
            .slow
            .filter(|(_, slow)| read_time * MAX_SLOWDOWN < *slow);
        let max = self.slow.map_or(self.max, |(width, _)| width - 1);
        if self.current < max && self.pass_time() > PASS_TIME {
            self.current += 1;
        }
    }

    /// Records that a read got no answer within `took`.
    fn record_failure(&mut self, took: Millis) {
        if self.current > 1 {
            #[expect(clippy::cast_precision_loss, reason = "the time is short")]
            self.narrow(took.0 as f64);
        }
    }

    fn narrow(&mut self, took: f64) {
        self.slow = Some((self.current, took));
        self.current -= 1;
    }
}

/// A piece that is to be read, or was found to match.
#[derive(Clone, Copy, Debug)]
struct Piece {
    number: u32,
    /// When the read was sent that found it to match.
    matched: Option<Millis>,
}

/// `Check` tracks which staged pieces of a version were found to match their digests, and when.
#[derive(Clone, Debug)]
pub struct Check {
    /// The pieces that are not being read: those that are to be read first, then those that match, the oldest
    /// first.
    pieces: VecDeque<Piece>,
    reading: usize,
    bad: Vec<u32>,
    /// The age at which a piece that matched is read again; `None` if never.
    max_age: Option<Millis>,
    /// How many pieces may still be read again.
    rereads: u32,
    width: ReadWidth,
}

impl Check {
    /// Creates the check before an order, of `pieces` pieces of `bytes` bytes each.
    pub fn before_order(pieces: u32, bytes: u32) -> Self {
        Self::new(pieces, bytes, Some(MAX_AGE))
    }

    /// Creates a check that reads each piece once. After a load no more is needed: a piece that matches was right
    /// when it was loaded, however long ago that was.
    pub fn once(pieces: u32, bytes: u32) -> Self {
        Self::new(pieces, bytes, None)
    }

    fn new(pieces: u32, bytes: u32, max_age: Option<Millis>) -> Self {
        let unread = |number| Piece {
            number,
            matched: None,
        };
        Self {
            pieces: (0..pieces).map(unread).collect(),
            reading: 0,
            bad: Vec::new(),
            max_age,
            rereads: pieces,
            width: ReadWidth::new(pieces, bytes),
        }
    }

    /// Takes the next piece to read at `now`. Returns `None` while enough are being read, and at the end.
    pub fn take_next(&mut self, now: Millis) -> Option<u32> {
        if self.reading >= self.width.current {
            return None;
        }
        let next = *self.pieces.front()?;
        if next.matched.is_some() {
            if !self.is_due_again(next, now) {
                return None;
            }
            self.rereads -= 1;
        }
        self.pieces.pop_front();
        self.reading += 1;
        Some(next.number)
    }

    /// Returns whether a piece that matched is read again: it was read too long ago, the engine can be read in time,
    /// and no bad piece has already stopped the order.
    fn is_due_again(&self, piece: Piece, now: Millis) -> bool {
        let age = piece.matched.map(|at| now.since(at));
        let is_old = self.max_age.is_some_and(|max| age > Some(max));
        #[expect(clippy::cast_precision_loss, reason = "the age is short")]
        let in_time = self.width.pass_time() <= MAX_AGE.0 as f64;
        is_old && in_time && self.bad.is_empty() && self.rereads > 0
    }

    /// Records the outcome of a read that was sent at `sent`.
    pub fn record(&mut self, number: u32, matches: bool, sent: Millis, now: Millis) {
        self.reading -= 1;
        self.width.record(now.since(sent), self.reading);
        if matches {
            self.pieces.push_back(Piece {
                number,
                matched: Some(sent),
            });
        } else {
            self.bad.push(number);
        }
    }

    /// Records that a read that was sent at `sent` got no answer, so that the piece is to be read again.
    pub fn record_failure(&mut self, number: u32, sent: Millis, now: Millis) {
        self.reading -= 1;
        self.width.record_failure(now.since(sent));
        self.pieces.push_front(Piece {
            number,
            matched: None,
        });
    }

    /// Returns whether one piece is read at a time.
    pub fn reads_alone(&self) -> bool {
        self.width.current == 1
    }

    /// Returns the pieces that do not match.
    pub fn bad(&self) -> &[u32] {
        &self.bad
    }

    /// Returns how long ago the piece was read that was read first; zero if there are no pieces.
    pub fn age(&self, now: Millis) -> Millis {
        let oldest = self.pieces.iter().filter_map(|piece| piece.matched).min();
        oldest.map_or(Millis::ZERO, |at| now.since(at))
    }
}
