//! Configuration leases determine when a change of declarations is in force everywhere.
//!
//! The leader grants leases to the voters, and the voters grant leases to the entries, so that no node has
//! to talk to all others. A granter gives a grant only to a follower that has confirmed the granter's own
//! revision, and never beyond the granter's own lease. So once the leader has a revision, no lease is
//! granted for an older one, and the leases granted before run out within [`LENGTH`]. A revision is in
//! force when each follower has confirmed it or no longer has a lease ([`Granter::in_force`]).
//!
//! An entry without a lease refuses requests as "not run" and says when to retry. If it served with the
//! declarations that it last knew instead, it could answer for an hour under rules that operators have
//! replaced: while a region is cut off, a change would be in force at some unknown time instead of within
//! seconds. Agents need no lease, because every request reaches them through an entry that has one.
//!
//! All times are of the caller's own monotonic clock. The clocks of two nodes are never compared; only
//! their rates matter, which may differ by one part in [`DRIFT_DIVISOR`].

use std::collections::BTreeMap;

use filbertstack_core::Millis;
use filbertstack_core::names::InstanceName;
use thiserror::Error;

/// How long a grant lasts at most. With the drift and the time to apply a change, a change is in force
/// everywhere within 14 s even if a region is cut off.
pub const LENGTH: Millis = Millis::secs(10);

/// How often a follower renews its lease. Two renewals may be lost before a lease runs out.
pub const RENEW_INTERVAL: Millis = Millis::secs(3);

/// The divisor of the greatest drift: the rates of two clocks differ by less than one part in a hundred.
pub const DRIFT_DIVISOR: u64 = 100;

/// The most laggards that a granter names.
const MAX_LAGGARDS: usize = 8;

/// The message that a follower sends to keep its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Renewal {
    /// When the renewal was sent, by the follower's clock. The grant returns this time.
    pub sent: Millis,
    /// The revision that the follower itself acts on.
    pub revision: u64,
    /// The lowest revision that the follower or one of its own followers acts on. It is the follower's own
    /// revision if the follower grants no leases.
    pub lowest: u64,
}

/// A lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// When the renewal was sent, by the follower's clock.
    pub sent: Millis,
    /// The revision that the lease is valid for, as it is for any later one.
    pub revision: u64,
    /// How long the lease lasts from `sent` on.
    pub span: Millis,
}

/// Why no lease is granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum GrantError {
    /// The follower acts on an older revision.
    #[error("revision {current} stands: take the changes, then ask again")]
    Behind {
        /// The granter's revision.
        current: u64,
    },
    /// The granter has no lease of its own.
    #[error("this granter has no lease itself: ask another voter")]
    Expired,
}

/// The follower's side of a lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Holder {
    until: Option<Millis>,
}

/// The entry has no lease, so it serves nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("this entry is cut off from the control state: use another, or come back in {retry}")]
pub struct Expired {
    /// How long a caller should wait before it retries.
    pub retry: Millis,
}

impl Holder {
    /// Accepts a grant. The lease counts from the time when the renewal was sent, which is before the
    /// granter read its clock, so it ends at the follower before it ends at the granter.
    pub fn accept(&mut self, grant: Grant) {
        let until = grant.sent + grant.span;
        self.until = self.until.max(Some(until));
    }

    /// Returns when the lease ends, or `None` before the first grant.
    pub fn until(&self) -> Option<Millis> {
        self.until
    }

    /// Checks that requests may be served.
    ///
    /// # Errors
    /// Returns [`Expired`] with the time to wait that callers get.
    pub fn check(&self, now: Millis) -> Result<(), Expired> {
        if self.until.is_some_and(|until| now < until) {
            return Ok(());
        }
        Err(Expired {
            retry: RENEW_INTERVAL,
        })
    }
}

/// A follower as its granter knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Follower {
    /// When its lease ends, by the granter's clock.
    until: Millis,
    /// The lowest revision that it has confirmed.
    lowest: u64,
}

/// The granter's side of leases: the leader grants to the voters, and a voter to its entries.
#[derive(Clone, Debug)]
pub struct Granter {
    followers: BTreeMap<InstanceName, Follower>,
    /// Until when there may be leases that this granter does not know of.
    unknown_until: Millis,
}

/// Whether a revision is in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RevisionState {
    /// Every follower acts on the revision or on a later one, or has no lease.
    InForce,
    /// Some followers may still act on an older revision.
    Waiting {
        /// When the last of their leases ends at the latest.
        until: Millis,
        /// Some of these followers.
        laggards: Vec<InstanceName>,
    },
}

impl Granter {
    /// Creates a granter that does not know the grants of earlier granters. A leader creates one when it is
    /// elected, a voter when it starts.
    pub fn new(now: Millis) -> Self {
        Self {
            followers: BTreeMap::new(),
            unknown_until: now + add_drift(LENGTH),
        }
    }

    /// Grants a lease to `from` if it acts on this granter's `revision`. `own_until` is when this granter's
    /// own lease ends; the leader's own lease comes from its quorum.
    ///
    /// # Errors
    /// Returns a [`GrantError`] if the follower is behind or this granter has no lease itself.
    pub fn grant(
        &mut self,
        from: &InstanceName,
        renewal: Renewal,
        revision: u64,
        own_until: Millis,
        now: Millis,
    ) -> Result<Grant, GrantError> {
        self.confirm(from, renewal);
        if renewal.revision < revision {
            return Err(GrantError::Behind { current: revision });
        }
        // The follower's clock may be slow, so the follower gets a shorter lease than this side counts.
        let span = Millis(subtract_drift(own_until.since(now)).0.min(LENGTH.0));
        if span == Millis::ZERO {
            return Err(GrantError::Expired);
        }
        let until = now + add_drift(span);
        let follower = self.followers.entry(from.clone()).or_insert(Follower {
            until,
            lowest: renewal.lowest.min(renewal.revision),
        });
        follower.until = follower.until.max(until);
        Ok(Grant {
            sent: renewal.sent,
            revision,
            span,
        })
    }

    /// Records the revision that a follower has confirmed. The recorded revision never decreases, because
    /// renewals may arrive out of order.
    fn confirm(&mut self, from: &InstanceName, renewal: Renewal) {
        if let Some(follower) = self.followers.get_mut(from) {
            follower.lowest = follower.lowest.max(renewal.lowest.min(renewal.revision));
        }
    }

    /// Returns the lowest revision that a known follower with a lease may act on, or `None` if no follower
    /// has a lease.
    pub fn lowest(&mut self, now: Millis) -> Option<u64> {
        self.followers.retain(|_, follower| follower.until > now);
        self.followers
            .values()
            .map(|follower| follower.lowest)
            .min()
    }

    /// Returns the renewal that this granter, which itself acts on `revision`, sends to its own granter.
    pub fn renewal(&mut self, revision: u64, now: Millis) -> Renewal {
        let lowest = match self.lowest(now) {
            _ if now < self.unknown_until => 0,
            Some(lowest) => lowest.min(revision),
            None => revision,
        };
        Renewal {
            sent: now,
            revision,
            lowest,
        }
    }

    /// Returns whether `revision` is in force. Only the leader, which has had the revision since `accepted`,
    /// can tell.
    ///
    /// Even without confirmations, time is enough: a voter that does not have the revision has had no grant
    /// since then, so its lease and the leases that it granted run out within [`LENGTH`].
    pub fn in_force(&self, revision: u64, accepted: Millis, now: Millis) -> RevisionState {
        let behind = self.followers.iter();
        let behind: Vec<_> = behind
            .filter(|(_, follower)| follower.until > now && follower.lowest < revision)
            .collect();
        let last_expiry = behind.iter().map(|(_, follower)| follower.until).max();
        let latest_expiry = accepted + add_drift(LENGTH);
        let until = last_expiry
            .unwrap_or_default()
            .min(latest_expiry)
            .max(self.unknown_until);
        if until <= now {
            return RevisionState::InForce;
        }
        let laggards = behind.into_iter().take(MAX_LAGGARDS);
        RevisionState::Waiting {
            until,
            laggards: laggards.map(|(name, _)| name.clone()).collect(),
        }
    }
}

/// Returns how long `span`, measured by another node's clock, may last by this node's clock.
fn add_drift(span: Millis) -> Millis {
    Millis(span.0 + span.0.div_ceil(DRIFT_DIVISOR))
}

/// Returns the longest span that, measured by another node's clock, surely ends within `span` by this
/// node's clock.
fn subtract_drift(span: Millis) -> Millis {
    Millis(span.0 - span.0.div_ceil(DRIFT_DIVISOR).min(span.0))
}
