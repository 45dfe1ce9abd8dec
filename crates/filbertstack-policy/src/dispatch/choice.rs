//! This module defines what a request asks of a target, what may be chosen for it, and why it may get none.

use filbertstack_core::Millis;
use filbertstack_core::serving::Residency;

use super::Target;
use super::TargetId;
use super::TargetSpec;
use crate::begin::Work;
use crate::rank::Contender;

/// The advantage, in milliseconds, that a target outside the entry's zone must have. It covers the
/// round trip and the price of transferring prompts and events between zones.
const REMOTE_PENALTY_MS: f64 = 40.0;

/// The properties of a request that needs a target.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetRequest<'a> {
    /// The service that the request is for.
    pub service: &'a str,
    /// The number of prompt tokens; 0 for a plain call.
    pub prompt: u32,
    /// The time left in which the first event is worth most.
    pub goal: Millis,
    /// The targets that the request was sent to already.
    pub tried: &'a [TargetId],
    /// Where the request may be served; `None` if everywhere.
    pub residency: Option<&'a Residency>,
    /// Its rank among the requests of its service; `None` if they do not differ in rank.
    pub contender: Option<&'a Contender>,
    /// What decides whether a target may begin it whose weights are replaced.
    pub work: Work,
}

impl TargetRequest<'_> {
    /// Returns whether the request is for the target's service and may be served in the target's region.
    pub(super) fn concerns(&self, target: &Target) -> bool {
        let TargetSpec {
            service, region, ..
        } = &target.spec;
        **service == *self.service && self.residency.is_none_or(|r| r.allows(region.as_deref()))
    }
}

/// The reason why a request gets no target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChooseError {
    /// The service has no target that takes work.
    NoTarget {
        /// The delay after which the caller may retry.
        retry_after: Millis,
    },
    /// No target would answer within the goal.
    Full {
        /// The delay after which the caller may retry.
        retry_after: Millis,
    },
    /// Targets would answer within the goal, but their room is kept for requests of a higher rank.
    Yields {
        /// The delay after which the caller may retry.
        retry_after: Millis,
    },
    /// All targets that may serve the request are in evacuated zones.
    Evacuated {
        /// The delay after which the caller may retry.
        retry_after: Millis,
    },
    /// No target of the service is registered in a region where the request may be served.
    NoRegion {
        /// The delay after which the caller may retry.
        retry_after: Millis,
    },
}

impl ChooseError {
    /// Returns the delay after which the caller may retry.
    pub fn retry_after(self) -> Millis {
        match self {
            Self::NoTarget { retry_after }
            | Self::Full { retry_after }
            | Self::Yields { retry_after }
            | Self::Evacuated { retry_after }
            | Self::NoRegion { retry_after } => retry_after,
        }
    }
}

/// The targets that a request may be sent to, each with the expected time to its first event in milliseconds.
#[derive(Default)]
pub(super) struct Candidates {
    pub(super) preferred: Vec<(f64, TargetId)>,
    /// The other targets of the local zone.
    pub(super) local: Vec<(f64, TargetId)>,
    /// The targets of other zones.
    pub(super) remote: Vec<(f64, TargetId)>,
    /// The silent targets that may be probed.
    pub(super) probes: Vec<(f64, TargetId)>,
}

impl Candidates {
    pub(super) fn add(&mut self, target: &TargetSpec, expected: f64) {
        let id = target.id.clone();
        if target.sharers.preferred_by > 0 {
            self.preferred.push((expected, id));
        } else if target.local {
            self.local.push((expected, id));
        } else {
            self.remote.push((expected + REMOTE_PENALTY_MS, id));
        }
    }
}
