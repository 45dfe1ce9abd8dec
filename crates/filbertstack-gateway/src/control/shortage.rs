//! Pure decisions on whether a group has as many voters that hold the log as it is declared for.
//!
//! *Failure*: a voter is lost and not replaced. Requests are served as before, so operators do not notice
//! until a second loss destroys acknowledged changes.

use std::time::Duration;
use std::time::Instant;

/// How long a shortage lasts before it is reported. A restart and a repair take less time.
const REPORT_AFTER: Duration = Duration::from_secs(5);

/// How often a shortage that persists is reported again.
const REPEAT_INTERVAL: Duration = Duration::from_secs(30);

/// An event to report about a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShortageEvent {
    /// Fewer voters hold the log than the group is declared for, and have done so for some seconds.
    Lasting,
    /// A reported shortage has ended.
    Ended,
}

/// The state of a group after an observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// The number of voters that the group is declared for.
    pub declared: usize,
    /// The event to report now.
    pub event: Option<ShortageEvent>,
}

/// The shortage of one group, as its leader sees it.
#[derive(Clone, Debug, Default)]
pub struct Shortage {
    /// The most voters that the group had while this node led it. The group is meant to tolerate the
    /// failures that so many voters allow.
    declared: usize,
    since: Option<Instant>,
    reported: Option<Instant>,
}

impl Shortage {
    /// Records that the group has `members` voters, of which `holding` answer.
    pub fn observe(&mut self, now: Instant, members: usize, holding: usize) -> Observation {
        self.declared = self.declared.max(members);
        let event = if holding < self.declared {
            self.report(now)
        } else {
            self.since = None;
            self.reported.take().map(|_| ShortageEvent::Ended)
        };
        let declared = self.declared;
        Observation { declared, event }
    }

    /// Lowers the declared number by one, because a surplus voter is removed. During a planned replacement
    /// the group has one voter too many: the old one and its successor.
    pub fn lower_declared(&mut self) {
        self.declared = self.declared.saturating_sub(1);
    }

    fn report(&mut self, now: Instant) -> Option<ShortageEvent> {
        let since = *self.since.get_or_insert(now);
        let lasting = now.duration_since(since) >= REPORT_AFTER;
        let due = self
            .reported
            .is_none_or(|at| now.duration_since(at) >= REPEAT_INTERVAL);
        if !lasting || !due {
            return None;
        }
        self.reported = Some(now);
        Some(ShortageEvent::Lasting)
    }
}
