//! This module tells operators what this entry decides by at each target.

use std::sync::Arc;

use filbertstack_core::Millis;

use super::Dispatcher;
use super::target::Target;
use super::target::TargetId;
use crate::cold::Share;
use crate::permit::Obstacle;
use crate::rank::Ranks;

/// What decides most about the requests that a target gets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TargetState {
    /// It gets requests without a restriction.
    Usable,
    /// It gets requests at a limited rate.
    Cold {
        /// How much longer it stays cold.
        remaining: Millis,
        /// This entry's share of its rate; `None` if other entries send to it.
        share: Option<Share>,
    },
    /// It is slower than usual by this factor, as far as this entry observes.
    Slow(f64),
    /// It reported before and is no longer heard.
    Silent,
    /// It gets no request for this reason.
    Held(Obstacle),
}

/// One target as an entry sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetStatus {
    /// The target's identity.
    pub id: TargetId,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Its region; `None` if it is not known.
    pub region: Option<Arc<str>>,
    /// What decides about its requests.
    pub state: TargetState,
}

impl Dispatcher {
    /// Returns what is known of the requests of all ranks.
    pub fn ranks(&self) -> &Ranks {
        &self.ranks
    }

    /// Returns the targets that this entry uses, in the order of their identities.
    pub fn statuses(&self, now: Millis) -> Vec<TargetStatus> {
        let statuses = self.targets.values().map(|target| TargetStatus {
            id: target.spec.id.clone(),
            service: target.spec.service.clone(),
            region: target.spec.region.clone(),
            state: self.state(now, target),
        });
        statuses.collect()
    }

    /// Returns the state of a target. An ejected target that is due for a probe is still ejected, and one that
    /// is cold is so whether or not this entry may send to it now.
    fn state(&self, now: Millis, target: &Target) -> TargetState {
        let obstacle = self.find_obstacle(now, target);
        let ejected = target.is_ejected().then_some(Obstacle::Ejected);
        let held = obstacle.filter(|obstacle| !matches!(obstacle, Obstacle::Cold(_)));
        if let Some(obstacle) = held.or(ejected) {
            return TargetState::Held(obstacle);
        }
        if self.is_silent(now, &target.spec.id) {
            return TargetState::Silent;
        }
        if let Some(limit) = target.cold_limit(now) {
            return TargetState::Cold {
                remaining: limit.until.since(now),
                share: limit.share,
            };
        }
        if target.pace.is_slow(now) {
            return TargetState::Slow(target.pace.factor(now));
        }
        TargetState::Usable
    }
}
