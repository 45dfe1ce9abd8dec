//! A target of the model: an agent with its policy code, and its link.

use std::collections::BTreeMap;

use filbertstack_core::Millis;
use filbertstack_policy::spread::plan::TargetKey;
use filbertstack_policy::spread::pull::NeighbourKey;
use filbertstack_policy::spread::pull::PullScheduler;
use filbertstack_policy::spread::pull::TransferKey;

/// The duration of a round.
pub const ROUND: Millis = Millis(100);

/// A target of the model.
pub struct ModelTarget {
    pub pull: PullScheduler,
    pub key: TargetKey,
    pub region: usize,
    pub zone: usize,
    /// The lead of its clock over the simulated time.
    pub skew: Millis,
    /// The number of rounds per transfer, which is one at full speed.
    pub transfer_rounds: u64,
    pub alive: bool,
    /// The upstreams by the target's own keys.
    pub upstreams: BTreeMap<NeighbourKey, usize>,
    /// The targets that have this one as an upstream, with their keys for it.
    pub downstreams: Vec<(usize, NeighbourKey)>,
    /// The time at which each downstream was last served.
    pub last_served: BTreeMap<usize, Millis>,
    /// The source of each granted chunk: a target, or `None` for the origin.
    pub sources: BTreeMap<u32, Option<usize>>,
    pub link: Link,
    pub done_round: Option<u64>,
}

/// The use of a target's link in the current round.
#[derive(Clone, Copy, Default)]
pub struct Link {
    pub shared: bool,
    pub received: usize,
    pub sent: usize,
}

impl Link {
    pub fn can_receive(&self, use_spare: bool) -> bool {
        // A link carries one chunk in and one out, so that receiving leaves room for sending. The
        // rest of a shared link at the end of a round may go to either direction.
        let limit = if self.shared && use_spare {
            2 - self.sent
        } else {
            1
        };
        self.received < limit
    }

    pub fn can_send(&self) -> bool {
        let limit = if self.shared { 2 - self.received } else { 1 };
        self.sent < limit
    }
}

/// A transfer in progress.
pub struct Transfer {
    /// The round at whose end the transfer arrives.
    pub at: u64,
    /// The sender, or `None` for the origin.
    pub from: Option<usize>,
    pub to: usize,
    pub key: TransferKey,
    pub chunk: u32,
}

/// A request that waits at its upstream.
pub struct PendingRequest {
    pub to: usize,
    pub transfer: TransferKey,
    pub chunk: u32,
    pub import: bool,
}
