//! Config leases: when a change of declarations is in force everywhere.
//!
//! The leader grants leases to the voters and these to the entries, so that nobody talks to
//! everybody. A grant is given only to a follower that has confirmed the granter's own revision,
//! and never beyond the granter's own lease. So from the moment the leader has a revision no lease
//! is granted for an older one, and the leases granted before run out within [`LENGTH`]. A
//! revision is in force when each follower has confirmed it or has no lease any more
//! ([`Granter::in_force`]).
//!
//! An entry without a lease refuses requests as "not run" with a time to come back. The other
//! way, serving on what it last knew, would answer for an hour under rules that operators have
//! replaced: a region's cut would turn "in force within seconds" into "in force some time". Agents
//! need no lease: every request reaches them through an entry that has one.
//!
//! All times are of the caller's own monotonic clock. Nothing compares the clocks of two nodes but
//! their rates, which may differ by one in [`DRIFT_PART`].

use std::collections::BTreeMap;

use filbertstack_core::Millis;
use filbertstack_core::names::InstanceName;
use thiserror::Error;

/// How long a grant lasts. With the drift and the time to apply, a change is in force everywhere
/// within 14 s although a region be cut off.
pub const LENGTH: Millis = Millis::secs(10);

/// How often a follower asks anew: two asks may be lost before a lease runs out.
pub const RENEW_INTERVAL: Millis = Millis::secs(3);

/// Clocks run at rates that differ by less than one part in a hundred.
pub const DRIFT_PART: u64 = 100;

/// How many laggards a granter names.
const LAGGARDS: usize = 8;

/// What a follower sends to keep its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Renewal {
    /// When it was sent, by the follower's clock; the grant brings it back.
    pub sent: Millis,
    /// The revision that the follower itself acts on.
    pub revision: u64,
    /// The lowest revision in force below the follower: its own if it grants nothing.
    pub lowest: u64,
}

/// A lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// When the ask was sent, by the follower's clock.
    pub sent: Millis,
    /// The revision that it holds for, and any later one.
    pub revision: u64,
    /// How long from `sent` on.
    pub span: Millis,
}

/// Why no lease is granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum NoGrant {
    /// The follower acts on an older revision.
    #[error("revision {current} stands: take the changes, then ask again")]
    Behind {
        /// The granter's revision.
        current: u64,
    },
    /// The granter has no lease itself.
    #[error("this granter has no lease itself: ask another voter")]
    Expired,
}

/// The follower's side of a lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Holder {
    until: Option<Millis>,
}

/// Without a lease nothing is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("this entry is cut off from the control state: use another, or come back in {retry}")]
pub struct Expired {
    /// When it is worth coming back.
    pub retry: Millis,
}

impl Holder {
    /// Takes a grant in. The lease counts from when the ask was sent, before the granter looked
    /// at its clock: so it ends here before it ends there.
    pub fn accept(&mut self, grant: Grant) {
        let until = grant.sent + grant.span;
        self.until = self.until.max(Some(until));
    }

    /// Until when the lease lasts; `None` before the first.
    pub fn until(&self) -> Option<Millis> {
        self.until
    }

    /// Whether requests may be served.
    ///
    /// # Errors
    /// [`Expired`] with the time to tell callers.
    pub fn check(&self, now: Millis) -> Result<(), Expired> {
        if self.until.is_some_and(|until| now < until) {
            return Ok(());
        }
        Err(Expired {
            retry: RENEW_INTERVAL,
        })
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Follower {
    until: Millis,
    lowest: u64,
}

/// The granter's side: the leader towards the voters, a voter towards its entries.
#[derive(Clone, Debug)]
pub struct Granter {
    followers: BTreeMap<InstanceName, Follower>,
    /// Until when grants may stand that this granter does not know of.
    unknown: Millis,
}

/// How far a revision has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RevisionState {
    /// Every follower acts on it or on a later one, or has no lease.
    InForce,
    /// Some may still act on an older one, at the latest until the given moment.
    Waiting {
        /// When the last of their leases runs out.
        until: Millis,
        /// Some of them.
        laggards: Vec<InstanceName>,
    },
}

impl Granter {
    /// A granter that knows nothing of the grants of others before it. A leader starts one when
    /// it is elected, a voter when it starts.
    pub fn new(now: Millis) -> Self {
        Self {
            followers: BTreeMap::new(),
            unknown: now + stretched(LENGTH),
        }
    }

    /// Grants a lease to `from`, if it acts on this granter's `revision`; `own` is until when
    /// this granter's own lease lasts, the leader's by its quorum.
    ///
    /// # Errors
    /// [`NoGrant`].
    pub fn grant(
        &mut self,
        from: &InstanceName,
        ask: Renewal,
        revision: u64,
        own: Millis,
        now: Millis,
    ) -> Result<Grant, NoGrant> {
        self.confirm(from, ask);
        if ask.revision < revision {
            return Err(NoGrant::Behind { current: revision });
        }
        // The follower's clock may run slow: it gets less than what this side counts with.
        let span = Millis(shortened(own.since(now)).0.min(LENGTH.0));
        if span == Millis::ZERO {
            return Err(NoGrant::Expired);
        }
        let until = now + stretched(span);
        let follower = self.followers.entry(from.clone()).or_insert(Follower {
            until,
            lowest: ask.lowest.min(ask.revision),
        });
        follower.until = follower.until.max(until);
        Ok(Grant {
            sent: ask.sent,
            revision,
            span,
        })
    }

    /// Notes what a follower has confirmed. What it confirms never goes back: asks may overtake
    /// each other on their way.
    fn confirm(&mut self, from: &InstanceName, ask: Renewal) {
        if let Some(follower) = self.followers.get_mut(from) {
            follower.lowest = follower.lowest.max(ask.lowest.min(ask.revision));
        }
    }

    /// The lowest revision that a known follower with a lease may act on; `None` if none has one.
    pub fn lowest(&mut self, now: Millis) -> Option<u64> {
        self.followers.retain(|_, follower| follower.until > now);
        self.followers
            .values()
            .map(|follower| follower.lowest)
            .min()
    }

    /// What this granter, which acts on `revision` itself, asks its own granter.
    pub fn renewal(&mut self, revision: u64, now: Millis) -> Renewal {
        let lowest = match self.lowest(now) {
            _ if now < self.unknown => 0,
            Some(lowest) => lowest.min(revision),
            None => revision,
        };
        Renewal {
            sent: now,
            revision,
            lowest,
        }
    }

    /// How far `revision` has come, asked of the leader, which has had it since `accepted`.
    ///
    /// Time alone is enough in the end: a voter that has not got the revision has had no grant
    /// since then, so its lease and those below it run out within [`LENGTH`].
    pub fn in_force(&self, revision: u64, accepted: Millis, now: Millis) -> RevisionState {
        let behind = self.followers.iter();
        let behind: Vec<_> = behind
            .filter(|(_, follower)| follower.until > now && follower.lowest < revision)
            .collect();
        let last = behind.iter().map(|(_, follower)| follower.until).max();
        let latest = accepted + stretched(LENGTH);
        let until = last.unwrap_or_default().min(latest).max(self.unknown);
        if until <= now {
            return RevisionState::InForce;
        }
        let laggards = behind.into_iter().take(LAGGARDS);
        RevisionState::Waiting {
            until,
            laggards: laggards.map(|(name, _)| name.clone()).collect(),
        }
    }
}

/// The span as it may last by a clock that runs faster here than there.
fn stretched(span: Millis) -> Millis {
    Millis(span.0 + span.0.div_ceil(DRIFT_PART))
}

fn shortened(span: Millis) -> Millis {
    Millis(span.0 - span.0.div_ceil(DRIFT_PART).min(span.0))
}
