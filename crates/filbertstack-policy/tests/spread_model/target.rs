//! One target of the model: the real decisions of an agent, and its link.

use std::collections::BTreeMap;

use filbertstack_core::Millis;
use filbertstack_policy::spread::plan::TargetKey;
use filbertstack_policy::spread::pull::NeighbourKey;
use filbertstack_policy::spread::pull::PullScheduler;
use filbertstack_policy::spread::pull::TransferKey;

/// The time of a round.
pub const ROUND: Millis = Millis(100);

/// A target.
pub struct Node {
    pub pull: PullScheduler,
    pub key: TargetKey,
    pub region: usize,
    pub zone: usize,
    /// How far its clock is ahead of the others'.
    pub skew: Millis,
    /// The rounds of a transfer: one at full speed.
    pub slow: u64,
    pub alive: bool,
    /// Its upstreams, as it knows them.
    pub ups: BTreeMap<NeighbourKey, usize>,
    /// The targets it is an upstream of, with their key for it.
    pub downs: Vec<(usize, NeighbourKey)>,
    /// When it last served each downstream.
    pub served: BTreeMap<usize, Millis>,
    /// Where each chunk with a token is to be had: a node, or the origin.
    pub sources: BTreeMap<u32, Option<usize>>,
    pub link: Link,
    pub done: Option<u64>,
}

/// What a node's link can still carry in a round.
#[derive(Clone, Copy, Default)]
pub struct Link {
    pub shared: bool,
    pub received: usize,
    pub sent: usize,
}

impl Link {
    pub fn can_receive(&self, spare: bool) -> bool {
        // One in and one out, so that receiving leaves room for sending; what is left of a shared
        // link at the end of a round may go to either.
        let most = if self.shared && spare {
            2 - self.sent
        } else {
            1
        };
        self.received < most
    }

    pub fn can_send(&self) -> bool {
        let most = if self.shared { 2 - self.received } else { 1 };
        self.sent < most
    }
}

/// A transfer under way.
pub struct Transfer {
    /// The round at whose end it arrives.
    pub at: u64,
    /// The sender; `None` for the origin.
    pub from: Option<usize>,
    pub to: usize,
    pub key: TransferKey,
    pub chunk: u32,
}

/// A request that waits at its upstream.
pub struct Waiting {
    pub to: usize,
    pub transfer: TransferKey,
    pub chunk: u32,
    pub import: bool,
}
