//! This module says whether a request may be sent to a target, whatever the way by which it comes to be sent.
//!
//! *Load pattern*: what a request, a target or other entries made known holds on every way to a target, and a
//! way that does not ask is found only by the fault that comes through it: the request that crashes engines
//! comes back as a stream to be resumed, the engine in need gets its requests on a new connection, the probe of
//! a silent target goes to one that leaves. So every way asks here, and gets one of a few answers with its
//! reason:
//!
//! | what is known | who makes it known | module |
//! |---|---|---|
//! | the request, or a part of its prompt, crashes targets | all entries | [`crashes`](crate::crashes) |
//! | the target wants rest, or leaves | the target, to this entry | [`notices`](crate::notices) |
//! | the target names a limit for all entries together | the target, to any entry | [`quota`](crate::quota) |
//! | the target is cold | the target, to all entries | [`cold`](crate::cold) |
//! | the target fails requests | this entry | [`outlier`](crate::outlier) |
//! | the target turned requests away, or takes no new work | the target | [`dispatch`](crate::dispatch) |
//! | the target's availability zone is evacuated | operators, to all entries | [`dispatch`](crate::dispatch) |
//! | the request may not be served in the target's region | the declared state | [`residency`](crate::residency) |
//!
//! Decisions depend only on what is passed in. They use no clock, network or thread.

use filbertstack_core::Millis;

use crate::crashes::Suspect;
use crate::crashes::Verdict;

/// How a request comes to be sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// It was not sent before.
    New,
    /// It was sent to other targets before.
    Retry,
    /// Its answer broke off at another target, and this one continues it.
    Resume,
    /// It was sent to this target on a connection that the target had closed.
    Resend,
}

impl Way {
    /// Returns its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::New => "new",
            Self::Retry => "retry",
            Self::Resume => "resume",
            Self::Resend => "resend",
        }
    }
}

/// Why a target gets no request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Obstacle {
    /// Its availability zone is evacuated.
    Evacuated,
    /// It is not known, drains, or loads weights.
    TakesNoWork,
    /// It leaves.
    Leaves,
    /// It wants rest until then.
    Rests(Millis),
    /// It failed requests and is ejected.
    Ejected,
    /// It turned a request away a moment ago.
    Paused,
    /// This entry's share of its limit is used up.
    LimitReached,
    /// It is cold, and this entry may send it no request until then.
    Cold(Millis),
    /// It is in no region where the request may be served.
    NotAllowed,
}

impl Obstacle {
    /// Returns its description in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Evacuated => "the target's zone is evacuated",
            Self::TakesNoWork => "the target takes no work",
            Self::Leaves => "the target leaves",
            Self::Rests(_) => "the target rests",
            Self::Ejected => "the target is ejected",
            Self::Paused => "the target turned a request away",
            Self::LimitReached => "the target's limit is reached",
            Self::Cold(_) => "the target is cold and takes no more at the moment",
            Self::NotAllowed => "the target is in no allowed region",
        }
    }

    /// Returns whether it keeps back a request for which the target was chosen before. What operators or the
    /// target itself want, and where the request may be served, holds until the request is sent.
    /// [`send_obstacle`](crate::dispatch::Dispatcher::send_obstacle) does not name a cold target to a request that
    /// has its place there. Other obstacles were weighed in the choice: the request has its place in the limit
    /// and, at an ejected target, is its probe. One that is sent once more needs another place.
    fn holds_back(self, way: Way) -> bool {
        match self {
            Self::Evacuated
            | Self::TakesNoWork
            | Self::Leaves
            | Self::Rests(_)
            | Self::Cold(_)
            | Self::NotAllowed => true,
            Self::LimitReached => way == Way::Resend,
            Self::Ejected | Self::Paused => false,
        }
    }
}

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// It may be sent.
    Send,
    /// It may be sent once, as a probe of what it holds.
    Probe,
    /// It may not be sent to this target.
    NotThere(Obstacle),
    /// It may be sent to no target.
    Nowhere {
        /// The time until it may be probed.
        retry_after: Millis,
        /// What it is refused for.
        suspect: Suspect,
    },
}

impl Permit {
    /// Returns the reason of a denial, for logs and metrics.
    pub fn denial(self) -> Option<&'static str> {
        match self {
            Self::Send | Self::Probe => None,
            Self::NotThere(obstacle) => Some(obstacle.name()),
            Self::Nowhere { suspect, .. } => Some(match suspect {
                Suspect::Request(_) => "the request was lost with several targets that ran it",
                Suspect::Part(_) => {
                    "a part of the prompt was lost with several targets that read it"
                }
            }),
        }
    }
}

/// Returns whether a request may be sent to any target, by the verdict on what it holds.
pub fn may_send(verdict: Verdict) -> Permit {
    match verdict {
        Verdict::Allowed => Permit::Send,
        Verdict::Probe => Permit::Probe,
        Verdict::Refused {
            retry_after,
            suspect,
        } => Permit::Nowhere {
            retry_after,
            suspect,
        },
    }
}

/// Returns whether a request may be sent by `way` to the target that was chosen for it.
pub fn may_send_to(way: Way, verdict: Verdict, obstacle: Option<Obstacle>) -> Permit {
    match may_send(verdict) {
        Permit::Send | Permit::Probe => {
            let held_back = obstacle.filter(|obstacle| obstacle.holds_back(way));
            held_back.map_or(may_send(verdict), Permit::NotThere)
        }
        denied => denied,
    }
}
