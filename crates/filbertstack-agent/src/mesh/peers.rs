//! The upstreams of the copier and the chunks that they report.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use filbertstack_core::Digest;
use filbertstack_policy::spread::ChunkSet;
use filbertstack_policy::spread::pull::NeighbourKey;
use filbertstack_policy::spread::pull::RingPosition;
use filbertstack_weights::Copier;
use filbertstack_wire::Dialer;
use filbertstack_wire::Role;
use filbertstack_wire::messages::Ask;
use filbertstack_wire::messages::Digested;
use filbertstack_wire::messages::Payload;
use filbertstack_wire::messages::Tell;

use crate::source::PeerSource;

/// How long one poll of all upstreams may take.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// The upstreams that are registered with the copier.
#[derive(Debug, Default)]
pub struct Peers {
    positions: BTreeMap<SocketAddr, (RingPosition, NeighbourKey)>,
}

impl Peers {
    /// Adds and removes upstreams of the copier so that they match `wanted`.
    pub fn update(
        &mut self,
        wanted: BTreeMap<SocketAddr, RingPosition>,
        dialer: &Arc<Dialer>,
        copier: &Copier,
    ) {
        self.positions.retain(|addr, (position, key)| {
            let stays = wanted.get(addr) == Some(position);
            if !stays {
                copier.remove_peer(*key);
            }
            stays
        });
        for (addr, position) in wanted {
            self.positions.entry(addr).or_insert_with(|| {
                let peer = Arc::new(PeerSource::new(dialer.clone(), addr));
                (position, copier.add_peer(peer, position))
            });
        }
    }

    /// Asks all upstreams in parallel which chunks of the versions `roots` they hold, and passes the
    /// answers to the copier.
    pub fn poll(&self, roots: &[Digest], dialer: &Arc<Dialer>, copier: &Copier) {
        let mut calls = Vec::new();
        for (addr, (_, key)) in &self.positions {
            let Ok(link) = dialer.link(*addr, Role::Agent) else {
                continue;
            };
            for root in roots {
                let digest = root.to_vec();
                if let Ok(replies) = link.call(Ask::Have(Digested { digest })) {
                    calls.push((*key, *root, replies));
                }
            }
        }
        let deadline = Instant::now() + POLL_TIMEOUT;
        for (key, root, mut replies) in calls {
            let Ok(Some(Tell::Payload(Payload { body }))) = replies.next(deadline) else {
                continue;
            };
            let Some(total) = copier.progress(root).map(|progress| progress.total) else {
                continue;
            };
            if let Ok(held) = ChunkSet::from_bytes(total, &body) {
                copier.announce(key, root, held.iter());
            }
        }
    }
}
