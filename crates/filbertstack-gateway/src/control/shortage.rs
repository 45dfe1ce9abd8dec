//! Whether a group has as many voters that hold the log as it is declared for. A pure decision.
//!
//! *Failure*: a voter is lost and not replaced. Everything is served as before, so nobody sees it,
//! until a second loss takes with it what was acknowledged.

use std::time::Duration;
use std::time::Instant;

/// How long a shortage lasts before it is told: a restart and a repair take less.
const TELL: Duration = Duration::from_secs(5);

/// How often a shortage that lasts is told again.
const AGAIN: Duration = Duration::from_secs(30);

/// What is to be told of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// Fewer voters hold the log than the group is declared for, for some seconds now.
    Short,
    /// A shortage that was told of has ended.
    Whole,
}

/// How a group fares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seen {
    /// The voters that the group is declared for.
    pub declared: usize,
    /// What is to be told now.
    pub told: Option<Told>,
}

/// The shortage of one group, as its leader sees it.
#[derive(Clone, Debug, Default)]
pub struct Shortage {
    /// The most voters that the group had while this node led it: it had them to bear losses.
    declared: usize,
    since: Option<Instant>,
    told: Option<Instant>,
}

impl Shortage {
    /// Takes in that the group has `members` voters of which `holding` answer.
    pub fn watch(&mut self, now: Instant, members: usize, holding: usize) -> Seen {
        self.declared = self.declared.max(members);
        let told = if holding < self.declared {
            self.tell_short(now)
        } else {
            self.since = None;
            self.told.take().map(|_| Told::Whole)
        };
        let declared = self.declared;
        Seen { declared, told }
    }

    /// Notes that a voter which was one too many is taken out: after a planned replacement the group
    /// has had its successor as well.
    pub fn release(&mut self) {
        self.declared = self.declared.saturating_sub(1);
    }

    fn tell_short(&mut self, now: Instant) -> Option<Told> {
        let since = *self.since.get_or_insert(now);
        let lasts = now.duration_since(since) >= TELL;
        let again = self.told.is_none_or(|at| now.duration_since(at) >= AGAIN);
        if !lasts || !again {
            return None;
        }
        self.told = Some(now);
        Some(Told::Short)
    }
}
