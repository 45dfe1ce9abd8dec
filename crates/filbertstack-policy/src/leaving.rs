//! This module decides which requests an entry that was told to stop still takes, and when those that wait get an answer.
//!
//! *Load pattern*: callers keep the address of an entry for some seconds, and their requests keep coming while it leaves. A
//! request that has more time than the entry may be cut off by its end, after its target has begun it. The caller then knows
//! neither whether it ran nor, if it may run once, whether to send it again. Refused as not run, it is served by another entry
//! a moment later.
//!
//! A request that may run again is still taken for a while, although it may have more time than the entry: most answers
//! take a fraction of their limits, and the directory names other entries only after some seconds.
//!
//! Decisions depend only on what is passed in. They use no clock, network or thread.

use filbertstack_core::Millis;

/// How long requests are taken that may run again and may outlast the entry. The directory has named other entries for two
/// seconds by then.
const ACCEPT_TIME: Millis = Millis(2_800);

/// The time before the end in which answers are written to callers.
const ANSWER_TIME: Millis = Millis(200);

/// The stop of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leaving {
    began: Millis,
    ends: Millis,
}

impl Leaving {
    /// Begins a stop that ends within `grace`.
    pub fn new(now: Millis, grace: Millis) -> Self {
        Self {
            began: now,
            ends: now + grace,
        }
    }

    /// Returns when requests that still wait for an answer get one from the entry.
    pub fn answers_by(self) -> Millis {
        Millis(self.ends.0.saturating_sub(ANSWER_TIME.0))
    }

    /// Returns whether a request is refused that has `time_left` until its deadline and was sent to no target.
    pub fn refuses(self, now: Millis, time_left: Millis, may_repeat: bool) -> bool {
        let outlasts = now + time_left > self.answers_by();
        outlasts && (!may_repeat || now.since(self.began) >= ACCEPT_TIME)
    }
}
