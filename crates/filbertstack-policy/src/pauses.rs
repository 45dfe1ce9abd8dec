//! This module says what an entry may take for known after it has stood still.
//!
//! *Load pattern*: a machine gives an entry no processor for seconds, or freezes it. Requests wait in its sockets meanwhile,
//! and a newer version of the weights may be named and reach its bound. When the entry goes on, it sends what has waited
//! before it hears from a voter: to engines of the older version, with all the time that callers have.
//!
//! For a while after it has stood still, an entry therefore takes each version that it knows for one that was replaced
//! right after it stopped. After a short pause that changes no time limit: bounds are longer than most requests. An
//! entry that has no contact later is cut off, and serves by what it knows.
//!
//! Decisions depend only on what is passed in. They use no clock, network or thread.

use filbertstack_core::Millis;

use crate::begin::Replaced;
use crate::rollout;

/// The shortest pause that counts. A busy machine delays the tasks of an entry by less.
const MIN_PAUSE: Millis = Millis(1_000);

/// How long an entry takes after a pause to hear of what it missed: it finds another voter in 0.7 s if its own is silent.
const CATCH_UP_TIME: Millis = Millis(1_500);

/// The pauses of one entry.
#[derive(Clone, Copy, Debug)]
pub struct Pauses {
    last_tick: Millis,
    /// When the last pause began, and when it had ended.
    last_pause: Option<(Millis, Millis)>,
}

impl Pauses {
    /// Creates the record of an entry that runs now.
    pub fn new(now: Millis) -> Self {
        Self {
            last_tick: now,
            last_pause: None,
        }
    }

    /// Records that the entry runs, which it does at intervals of half the shortest pause that counts. Returns how long it
    /// stood still, if it did.
    pub fn tick(&mut self, now: Millis) -> Option<Millis> {
        let span = now.since(self.last_tick);
        let paused = span >= MIN_PAUSE;
        if paused {
            // Pauses in quick succession leave no time to hear of anything.
            let began = self.known_until(now).unwrap_or(self.last_tick);
            self.last_pause = Some((began, now));
        }
        self.last_tick = now;
        paused.then_some(span)
    }

    /// Returns the time until which the entry knows what was declared; `None` if it knows until now, or is cut off.
    fn known_until(&self, now: Millis) -> Option<Millis> {
        let recent = self
            .last_pause
            .filter(|(_, ended)| now.since(*ended) < CATCH_UP_TIME);
        let paused = now.since(self.last_tick) >= MIN_PAUSE;
        let began = recent.map(|(began, _)| began);
        began.or(paused.then_some(self.last_tick))
    }

    /// Returns until when targets of the newest known version may begin requests, if a newer one may have been named
    /// meanwhile that may begin after `bound`.
    pub fn replaced(&self, now: Millis, bound: Millis) -> Option<Replaced> {
        let known_until = self.known_until(now)?;
        let left = rollout::time_to_begin(now.since(known_until), bound);
        let begin_by = now + left;
        Some(Replaced { begin_by, bound })
    }
}
