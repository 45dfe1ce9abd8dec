//! The upstreams that the copier has, and what they say they hold.

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

use crate::source::Peer;

/// How long all upstreams together may take to say what they hold.
const PATIENCE: Duration = Duration::from_millis(500);

/// The upstreams that the copier has.
#[derive(Debug, Default)]
pub struct Peers {
    seats: BTreeMap<SocketAddr, (RingPosition, NeighbourKey)>,
}

impl Peers {
    /// Brings the copier's upstreams in line with `wanted`.
    pub fn seat(
        &mut self,
        wanted: BTreeMap<SocketAddr, RingPosition>,
        dialer: &Arc<Dialer>,
        copier: &Copier,
    ) {
        self.seats.retain(|addr, (seat, key)| {
            let stays = wanted.get(addr) == Some(seat);
            if !stays {
                copier.remove_peer(*key);
            }
            stays
        });
        for (addr, seat) in wanted {
            self.seats.entry(addr).or_insert_with(|| {
                let peer = Arc::new(Peer::new(dialer.clone(), addr));
                (seat, copier.add_peer(peer, seat))
            });
        }
    }

    /// Asks all upstreams at once what they hold of the versions `roots`, and tells the copier.
    pub fn hear(&self, roots: &[Digest], dialer: &Arc<Dialer>, copier: &Copier) {
        let mut calls = Vec::new();
        for (addr, (_, key)) in &self.seats {
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
        let until = Instant::now() + PATIENCE;
        for (key, root, mut replies) in calls {
            let Ok(Some(Tell::Payload(Payload { body }))) = replies.next(until) else {
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
