//! The requests, answers and transfers of a round.

use std::collections::VecDeque;

use crate::spread_model::Faults;
use crate::spread_model::mesh::Simulation;
use crate::spread_model::target::Link;
use crate::spread_model::target::PendingRequest;
use crate::spread_model::target::ROUND;
use crate::spread_model::target::Transfer;
use rand::RngExt;

use filbertstack_core::Millis;
use filbertstack_policy::spread::pull::Fault;
use filbertstack_policy::spread::pull::Upstream;
use filbertstack_policy::spread::serve;

impl Simulation {
    pub(super) fn reset_links(&mut self) {
        for at in 0..self.targets.len() {
            let mut link = Link {
                shared: self.setting.shared,
                ..Link::default()
            };
            if self.targets[at].transfer_rounds > 1 {
                let transfers = self.transfers.iter();
                link.received = transfers.clone().filter(|t| t.to == at).count();
                link.sent = transfers.filter(|t| t.from == Some(at)).count();
            }
            self.targets[at].link = link;
        }
    }

    pub(super) fn serve_origin(&mut self) {
        let mut room = self.setting.origin_capacity();
        let mut later = VecDeque::new();
        while let Some(pending) = self.origin_queue.pop_front() {
            if room > 0 && self.targets[pending.to].link.can_receive(false) {
                room -= 1;
                self.origin_sent += 1;
                self.start_transfer(None, &pending);
            } else {
                later.push_back(pending);
            }
        }
        self.origin_queue = later;
    }

    pub(super) fn start_transfer(&mut self, from: Option<usize>, pending: &PendingRequest) {
        let ends = from.into_iter().chain([pending.to]);
        let rounds = ends
            .map(|at| self.targets[at].transfer_rounds)
            .max()
            .unwrap_or(1);
        if let Some(from) = from {
            let now = self.now(from);
            self.region_crossings +=
                u64::from(self.targets[from].region != self.targets[pending.to].region);
            self.zone_crossings +=
                u64::from(self.targets[from].zone != self.targets[pending.to].zone);
            self.targets[from].link.sent += 1;
            self.targets[from].last_served.insert(pending.to, now);
        }
        self.targets[pending.to].link.received += 1;
        self.transfers.push(Transfer {
            at: self.round + rounds,
            from,
            to: pending.to,
            key: pending.transfer,
            chunk: pending.chunk,
        });
    }

    /// Exchanges requests and answers once. Returns false if there were no requests.
    pub(super) fn exchange(&mut self, use_spare: bool) -> bool {
        let mut requests: Vec<Vec<PendingRequest>> = Vec::new();
        requests.resize_with(self.targets.len(), Vec::new);
        let mut any = false;
        for at in 0..self.targets.len() {
            any |= self.request(at, use_spare, &mut requests);
        }
        for (at, requests) in requests.into_iter().enumerate() {
            self.answer(at, requests);
        }
        any
    }

    pub(super) fn request(
        &mut self,
        at: usize,
        use_spare: bool,
        requests: &mut [Vec<PendingRequest>],
    ) -> bool {
        let late =
            self.mesh.late_percent > 0 && self.rng.random_range(0..100) < self.mesh.late_percent;
        let now = if late {
            self.now(at) - ROUND
        } else {
            self.now(at)
        };
        let target = &mut self.targets[at];
        let slow = target.transfer_rounds > 1;
        if !target.alive || !target.link.can_receive(use_spare || slow) {
            return false;
        }
        let Some(request) = target.pull.next(now) else {
            return false;
        };
        let (import, up) = match request.from {
            Upstream::Import => (true, target.sources.get(&request.chunk).copied().flatten()),
            Upstream::Neighbour(key) => (false, Some(target.upstreams[&key])),
        };
        let pending = PendingRequest {
            to: at,
            transfer: request.transfer,
            chunk: request.chunk,
            import,
        };
        self.agent_messages += 2;
        match up {
            None => self.origin_queue.push_back(pending),
            Some(up) if self.targets[up].alive => requests[up].push(pending),
            Some(_) => self.refuse(&pending, Fault::Down),
        }
        true
    }

    pub(super) fn refuse(&mut self, pending: &PendingRequest, fault: Fault) {
        let now = self.now(pending.to);
        let target = &mut self.targets[pending.to];
        target.pull.failed(pending.transfer, fault, now);
        if pending.import {
            target.pull.import(pending.chunk);
        }
    }

    pub(super) fn answer(&mut self, at: usize, mut requests: Vec<PendingRequest>) {
        while !requests.is_empty() && self.targets[at].link.can_send() {
            let uploads: Vec<_> = requests
                .iter()
                .map(|request| self.upload_request(at, request))
                .collect();
            let chosen = serve::next_upload(&uploads).expect("there are requests");
            let pending = requests.remove(chosen);
            self.start_transfer(Some(at), &pending);
        }
        // A slow upstream knows that it is busy for more than one round.
        let after = Millis(1 + (self.targets[at].transfer_rounds - 1) * ROUND.0);
        for pending in requests {
            self.refuse(&pending, Fault::Busy { after });
        }
    }

    pub(super) fn upload_request(
        &self,
        at: usize,
        pending: &PendingRequest,
    ) -> serve::UploadRequest {
        let target = &self.targets[at];
        let held = self.targets[pending.to].pull.held().count();
        serve::UploadRequest {
            chunk: pending.chunk,
            import: pending.import,
            held: u32::try_from(held).unwrap(),
            last_served: target
                .last_served
                .get(&pending.to)
                .copied()
                .unwrap_or(Millis::ZERO),
            copies: target.pull.copies(pending.chunk),
        }
    }

    pub(super) fn complete_transfers(&mut self) {
        let round = self.round;
        let due: Vec<_> = self.transfers.extract_if(.., |t| t.at <= round).collect();
        for transfer in due {
            let to = transfer.to;
            let now = self.now(to);
            let mixed = self.setting.faults == Faults::Mixed;
            if mixed && self.rng.random_range(0..100) == 0 {
                let target = &mut self.targets[to];
                target.pull.failed(transfer.key, Fault::Corrupt, now);
                if transfer.from.is_none() {
                    target.pull.import(transfer.chunk);
                }
                continue;
            }
            if self.targets[to].pull.completed(transfer.key, now) {
                self.announce(to, transfer.chunk);
            } else {
                self.wasted += 1;
            }
        }
    }

    pub(super) fn announce(&mut self, at: usize, chunk: u32) {
        let now = self.now(at);
        let clock = self.targets[at].pull.clock(now);
        let downstreams = self.targets[at].downstreams.clone();
        self.agent_messages += downstreams.len() as u64;
        for (down, key) in downstreams {
            let now = self.now(down);
            self.targets[down].pull.announce(key, chunk);
            self.targets[down].pull.observe_clock(clock, now);
        }
        if self.targets[at].sources.remove(&chunk).is_some() && self.leaderless_rounds == 0 {
            self.leader_messages += 1;
            let now = self.leader_now();
            let digest = self.digests[chunk as usize];
            self.grants.completed(digest, self.targets[at].key, now);
        }
        if self.targets[at].pull.is_complete() {
            self.targets[at].done_round = Some(self.round);
        }
    }
}
