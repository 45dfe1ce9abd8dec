//! A round of requests, answers and transfers.

use std::collections::VecDeque;

use crate::spread_model::Faults;
use crate::spread_model::mesh::World;
use crate::spread_model::node::Link;
use crate::spread_model::node::ROUND;
use crate::spread_model::node::Transfer;
use crate::spread_model::node::Waiting;
use rand::RngExt;

use filbertstack_core::Millis;
use filbertstack_policy::spread::pull::Fault;
use filbertstack_policy::spread::pull::Upstream;
use filbertstack_policy::spread::serve;

impl World {
    pub(super) fn open_links(&mut self) {
        for at in 0..self.nodes.len() {
            let mut link = Link {
                shared: self.setting.shared,
                ..Link::default()
            };
            if self.nodes[at].slow > 1 {
                let transfers = self.transfers.iter();
                link.received = transfers.clone().filter(|t| t.to == at).count();
                link.sent = transfers.filter(|t| t.from == Some(at)).count();
            }
            self.nodes[at].link = link;
        }
    }

    pub(super) fn serve_origin(&mut self) {
        let mut room = self.setting.origin();
        let mut later = VecDeque::new();
        while let Some(waiting) = self.origin.pop_front() {
            if room > 0 && self.nodes[waiting.to].link.can_receive(false) {
                room -= 1;
                self.sent += 1;
                self.begin(None, &waiting);
            } else {
                later.push_back(waiting);
            }
        }
        self.origin = later;
    }

    pub(super) fn begin(&mut self, from: Option<usize>, waiting: &Waiting) {
        let ends = from.into_iter().chain([waiting.to]);
        let rounds = ends.map(|at| self.nodes[at].slow).max().unwrap_or(1);
        if let Some(from) = from {
            let now = self.now(from);
            self.regions += u64::from(self.nodes[from].region != self.nodes[waiting.to].region);
            self.zones += u64::from(self.nodes[from].zone != self.nodes[waiting.to].zone);
            self.nodes[from].link.sent += 1;
            self.nodes[from].served.insert(waiting.to, now);
        }
        self.nodes[waiting.to].link.received += 1;
        self.transfers.push(Transfer {
            at: self.round + rounds,
            from,
            to: waiting.to,
            key: waiting.transfer,
            chunk: waiting.chunk,
        });
    }

    /// One exchange of requests and answers; false when there was none.
    pub(super) fn negotiate(&mut self, spare: bool) -> bool {
        let mut asks: Vec<Vec<Waiting>> = Vec::new();
        asks.resize_with(self.nodes.len(), Vec::new);
        let mut any = false;
        for at in 0..self.nodes.len() {
            any |= self.request(at, spare, &mut asks);
        }
        for (at, asks) in asks.into_iter().enumerate() {
            self.answer(at, asks);
        }
        any
    }

    pub(super) fn request(&mut self, at: usize, spare: bool, asks: &mut [Vec<Waiting>]) -> bool {
        let late = self.mesh.late > 0 && self.rng.random_range(0..100) < self.mesh.late;
        let now = if late {
            self.now(at) - ROUND
        } else {
            self.now(at)
        };
        let node = &mut self.nodes[at];
        let slow = node.slow > 1;
        if !node.alive || !node.link.can_receive(spare || slow) {
            return false;
        }
        let Some(request) = node.pull.next(now) else {
            return false;
        };
        let (import, up) = match request.from {
            Upstream::Import => (true, node.sources.get(&request.chunk).copied().flatten()),
            Upstream::Neighbour(key) => (false, Some(node.ups[&key])),
        };
        let waiting = Waiting {
            to: at,
            transfer: request.transfer,
            chunk: request.chunk,
            import,
        };
        self.chat += 2;
        match up {
            None => self.origin.push_back(waiting),
            Some(up) if self.nodes[up].alive => asks[up].push(waiting),
            Some(_) => self.refuse(&waiting, Fault::Down),
        }
        true
    }

    pub(super) fn refuse(&mut self, waiting: &Waiting, fault: Fault) {
        let now = self.now(waiting.to);
        let node = &mut self.nodes[waiting.to];
        node.pull.failed(waiting.transfer, fault, now);
        if waiting.import {
            node.pull.import(waiting.chunk);
        }
    }

    pub(super) fn answer(&mut self, at: usize, mut asks: Vec<Waiting>) {
        while !asks.is_empty() && self.nodes[at].link.can_send() {
            let views: Vec<_> = asks.iter().map(|ask| self.view(at, ask)).collect();
            let chosen = serve::next_upload(&views).expect("there are requests");
            let waiting = asks.remove(chosen);
            self.begin(Some(at), &waiting);
        }
        // A slow upstream knows that it is busy for longer than a round.
        let after = Millis(1 + (self.nodes[at].slow - 1) * ROUND.0);
        for waiting in asks {
            self.refuse(&waiting, Fault::Busy { after });
        }
    }

    pub(super) fn view(&self, at: usize, waiting: &Waiting) -> serve::UploadRequest {
        let node = &self.nodes[at];
        let held = self.nodes[waiting.to].pull.held().count();
        serve::UploadRequest {
            chunk: waiting.chunk,
            import: waiting.import,
            held: u32::try_from(held).unwrap(),
            last_served: node
                .served
                .get(&waiting.to)
                .copied()
                .unwrap_or(Millis::ZERO),
            copies: node.pull.copies(waiting.chunk),
        }
    }

    pub(super) fn arrive(&mut self) {
        let round = self.round;
        let due: Vec<_> = self.transfers.extract_if(.., |t| t.at <= round).collect();
        for transfer in due {
            let to = transfer.to;
            let now = self.now(to);
            let mixed = self.setting.faults == Faults::Mixed;
            if mixed && self.rng.random_range(0..100) == 0 {
                let node = &mut self.nodes[to];
                node.pull.failed(transfer.key, Fault::Corrupt, now);
                if transfer.from.is_none() {
                    node.pull.import(transfer.chunk);
                }
                continue;
            }
            if self.nodes[to].pull.completed(transfer.key, now) {
                self.announce(to, transfer.chunk);
            } else {
                self.wasted += 1;
            }
        }
    }

    pub(super) fn announce(&mut self, at: usize, chunk: u32) {
        let now = self.now(at);
        let clock = self.nodes[at].pull.clock(now);
        let downs = self.nodes[at].downs.clone();
        self.chat += downs.len() as u64;
        for (down, key) in downs {
            let now = self.now(down);
            self.nodes[down].pull.announce(key, chunk);
            self.nodes[down].pull.observe_clock(clock, now);
        }
        if self.nodes[at].sources.remove(&chunk).is_some() && self.leaderless == 0 {
            self.leader += 1;
            let now = self.leader_now();
            let digest = self.digests[chunk as usize];
            self.tokens.completed(digest, self.nodes[at].key, now);
        }
        if self.nodes[at].pull.is_complete() {
            self.nodes[at].done = Some(self.round);
        }
    }
}
