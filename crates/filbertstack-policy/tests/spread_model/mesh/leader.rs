//! The leader of a simulation.

use crate::spread_model::mesh::Graph;
use crate::spread_model::mesh::Simulation;
use crate::spread_model::target::ROUND;
use filbertstack_core::Millis;
use filbertstack_policy::spread::grants::Answer;
use filbertstack_policy::spread::grants::Grant;
use filbertstack_policy::spread::grants::Grants;
use filbertstack_policy::spread::grants::ImportSource;
use filbertstack_policy::spread::pull::Proximity;
use filbertstack_policy::spread::pull::RingPosition;

impl Simulation {
    /// Makes the leader notice lost targets and assign other upstreams in their place.
    pub(super) fn detect_losses(&mut self) {
        let round = self.round;
        let due: Vec<_> = self.losses.extract_if(.., |(at, _)| *at <= round).collect();
        for (_, at) in due {
            let key = self.targets[at].key;
            let orphans = self.plan.leave(key);
            let now = self.leader_now();
            self.grants.leave(key, now);
            self.leader_messages += 1;
            for orphan in orphans {
                let orphan = self.target_index[&orphan];
                if self.targets[orphan].alive && self.mesh.graph == Graph::Rings {
                    self.update_upstreams(orphan);
                }
            }
        }
    }

    pub(super) fn leader_now(&self) -> Millis {
        Millis(self.round * ROUND.0)
    }

    pub(super) fn run_leader(&mut self) {
        if self.leaderless_rounds > 0 {
            self.leaderless_rounds -= 1;
            if self.leaderless_rounds == 0 {
                self.replace_leader();
            }
            return;
        }
        self.detect_losses();
        let now = self.leader_now();
        for grant in self.grants.grant(now) {
            self.deliver_grant(grant);
        }
        for at in 0..self.targets.len() {
            self.escalate(at, now);
        }
    }

    pub(super) fn deliver_grant(&mut self, grant: Grant) {
        self.leader_messages += 1;
        let to = self.target_index[&grant.to];
        let chunk = self.chunk_index[&grant.chunk];
        let from = match grant.from {
            ImportSource::Origin => None,
            ImportSource::Peer(key) => Some(self.target_index[&key]),
        };
        self.targets[to].sources.insert(chunk, from);
        if !self.targets[to].pull.import(chunk) {
            let now = self.leader_now();
            self.grants.completed(grant.chunk, grant.to, now);
        }
    }

    pub(super) fn escalate(&mut self, at: usize, now: Millis) {
        let own = self.now(at);
        if !self.targets[at].alive {
            return;
        }
        let Some(chunk) = self.targets[at].pull.escalate(own) else {
            return;
        };
        self.leader_messages += 2;
        let digest = self.digests[chunk as usize];
        match self.grants.ask(digest, self.targets[at].key, now) {
            Answer::Granted(grant) => self.deliver_grant(grant),
            Answer::Holder(holder) => {
                let holder = self.target_index[&holder];
                let (proximity, place, places) = (Proximity::Region, 0, 1);
                let position = RingPosition {
                    proximity,
                    place,
                    places,
                };
                if !self.targets[at].upstreams.values().any(|&up| up == holder) {
                    self.add_upstream(at, holder, position);
                }
            }
            Answer::Wait { .. } | Answer::Unknown => {}
        }
    }

    /// Replaces the leader. The new one knows the declarations and the targets, and learns from
    /// each target which chunks it holds.
    pub(super) fn replace_leader(&mut self) {
        let now = self.leader_now();
        self.grants = Grants::new(super::grant_limits(self.mesh.weigh));
        for target in self.targets.iter().filter(|target| target.alive) {
            let region = format!("r{}", target.region).parse().unwrap();
            self.grants.join(target.key, &region);
        }
        let wanted = (0..).zip(&self.wanted).filter(|(_, wanted)| **wanted);
        let wanted: Vec<u32> = wanted.map(|(chunk, _)| chunk).collect();
        let digests = wanted.iter().map(|&chunk| self.digests[chunk as usize]);
        self.grants.recover(digests, now);
        for target in self.targets.iter().filter(|target| target.alive) {
            self.leader_messages += 1;
            for chunk in target.pull.held().iter() {
                self.grants
                    .completed(self.digests[chunk as usize], target.key, now);
            }
        }
    }
}
