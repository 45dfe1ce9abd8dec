//! The leader of a run.

use crate::spread_model::mesh::Graph;
use crate::spread_model::mesh::World;
use crate::spread_model::node::ROUND;
use filbertstack_core::Millis;
use filbertstack_policy::spread::grants::Answer;
use filbertstack_policy::spread::grants::Grant;
use filbertstack_policy::spread::grants::Grants;
use filbertstack_policy::spread::grants::ImportFrom;
use filbertstack_policy::spread::pull::Proximity;
use filbertstack_policy::spread::pull::RingPosition;

impl World {
    /// The leader learns of the lost, and names others in their place.
    pub(super) fn notice(&mut self) {
        let round = self.round;
        let due: Vec<_> = self.lost.extract_if(.., |(at, _)| *at <= round).collect();
        for (_, at) in due {
            let key = self.nodes[at].key;
            let orphans = self.plan.leave(key);
            let now = self.leader_now();
            self.tokens.leave(key, now);
            self.leader += 1;
            for orphan in orphans {
                let orphan = self.index[&orphan];
                if self.nodes[orphan].alive && self.mesh.graph == Graph::Rings {
                    self.link(orphan);
                }
            }
        }
    }

    pub(super) fn leader_now(&self) -> Millis {
        Millis(self.round * ROUND.0)
    }

    pub(super) fn lead(&mut self) {
        if self.leaderless > 0 {
            self.leaderless -= 1;
            if self.leaderless == 0 {
                self.replace_leader();
            }
            return;
        }
        self.notice();
        let now = self.leader_now();
        for grant in self.tokens.grant(now) {
            self.take_grant(grant);
        }
        for at in 0..self.nodes.len() {
            self.escalate(at, now);
        }
    }

    pub(super) fn take_grant(&mut self, grant: Grant) {
        self.leader += 1;
        let to = self.index[&grant.to];
        let chunk = self.chunks[&grant.chunk];
        let from = match grant.from {
            ImportFrom::Origin => None,
            ImportFrom::Peer(key) => Some(self.index[&key]),
        };
        self.nodes[to].sources.insert(chunk, from);
        if !self.nodes[to].pull.import(chunk) {
            let now = self.leader_now();
            self.tokens.completed(grant.chunk, grant.to, now);
        }
    }

    pub(super) fn escalate(&mut self, at: usize, now: Millis) {
        let own = self.now(at);
        if !self.nodes[at].alive {
            return;
        }
        let Some(chunk) = self.nodes[at].pull.escalate(own) else {
            return;
        };
        self.leader += 2;
        let digest = self.digests[chunk as usize];
        match self.tokens.ask(digest, self.nodes[at].key, now) {
            Answer::Granted(grant) => self.take_grant(grant),
            Answer::Holder(holder) => {
                let holder = self.index[&holder];
                let (proximity, place, places) = (Proximity::Region, 0, 1);
                let position = RingPosition {
                    proximity,
                    place,
                    places,
                };
                if !self.nodes[at].ups.values().any(|&up| up == holder) {
                    self.attach(at, holder, position);
                }
            }
            Answer::Wait { .. } | Answer::Unknown => {}
        }
    }

    /// A new leader knows the declarations and the targets, and hears what each holds.
    pub(super) fn replace_leader(&mut self) {
        let now = self.leader_now();
        self.tokens = Grants::new(super::tokens(self.mesh.weigh));
        for node in self.nodes.iter().filter(|node| node.alive) {
            let region = format!("r{}", node.region).parse().unwrap();
            self.tokens.join(node.key, &region);
        }
        let wanted = (0..).zip(&self.wanted).filter(|(_, wanted)| **wanted);
        let wanted: Vec<u32> = wanted.map(|(chunk, _)| chunk).collect();
        let digests = wanted.iter().map(|&chunk| self.digests[chunk as usize]);
        self.tokens.recover(digests, now);
        for node in self.nodes.iter().filter(|node| node.alive) {
            self.leader += 1;
            for chunk in node.pull.held().iter() {
                self.tokens
                    .completed(self.digests[chunk as usize], node.key, now);
            }
        }
    }
}
