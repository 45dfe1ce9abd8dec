//! This module keeps what targets ask for in their answers to this entry: no requests for a while, or no new
//! ones at all.
//!
//! *Load pattern*: a target in need turns requests away and names the time for which it wants none. It runs
//! nothing meanwhile, so by its reports it is the freest of its service. Without a record, an entry sends it
//! the next request as soon as the last one came back. Each of these requests loses an attempt, and two such
//! targets use up all attempts of a request, whose caller is refused though other targets have room. A target
//! that leaves likewise looks ready until its next heartbeat, and some never report that they leave.
//!
//! What a target asks for holds for its start: one that starts again knows nothing of it and is another target.
//! A rest lasts [`MAX_REST`] at most, so that a target that asks for more by mistake is tried again.
//!
//! A target asks each entry by itself, so an entry keeps what it was asked and does not tell others. Notices
//! are kept apart from the list of targets: a target may drop out of that list and come back within its rest.
//!
//! Decisions depend only on the time and the observations passed in. They use no clock, network or thread.

use std::collections::BTreeMap;

use filbertstack_core::Millis;

use crate::dispatch::TargetId;

/// The longest rest that is kept. A target that still wants none then asks again, at the cost of a request.
pub const MAX_REST: Millis = Millis::secs(600);

/// What a target wants from this entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// No requests for a while.
    Rest {
        /// The time at which the rest ends.
        until: Millis,
    },
    /// No requests any more: the target leaves.
    Leaving,
}

/// The notices that targets have given to one entry.
#[derive(Clone, Debug, Default)]
pub struct Notices {
    targets: BTreeMap<TargetId, Notice>,
}

impl Notices {
    /// Returns the notice of a target that is in force.
    pub fn find(&self, now: Millis, target: &str) -> Option<Notice> {
        let notice = self.targets.get(target).copied();
        notice.filter(|notice| match notice {
            Notice::Rest { until } => now < *until,
            Notice::Leaving => true,
        })
    }

    /// Records that a target asks for `rest` from now on. An earlier request for a longer rest stands: the
    /// answers of a target may arrive in any order.
    pub fn record_rest(&mut self, now: Millis, target: &TargetId, rest: Millis) {
        let until = now + rest.min(MAX_REST);
        let stands = match self.find(now, target) {
            Some(Notice::Leaving) => true,
            Some(Notice::Rest { until: before }) => before >= until,
            None => false,
        };
        if !stands {
            self.targets.insert(target.clone(), Notice::Rest { until });
        }
    }

    /// Records that a target leaves. It does not come back: one that starts again has another id.
    pub fn record_leaving(&mut self, target: &TargetId) {
        self.targets.insert(target.clone(), Notice::Leaving);
    }

    /// Drops the rests that have ended, and the targets that left and are no longer known.
    pub fn retain(&mut self, now: Millis, is_known: impl Fn(&str) -> bool) {
        self.targets.retain(|target, notice| match notice {
            Notice::Rest { until } => now < *until,
            Notice::Leaving => is_known(target),
        });
    }
}
