//! The targets of a simulation: how they join, get upstreams and are lost.

use std::collections::BTreeMap;

use crate::spread_model::mesh::Event;
use crate::spread_model::mesh::Graph;
use crate::spread_model::mesh::Simulation;
use crate::spread_model::target::Link;
use crate::spread_model::target::ModelTarget;
use crate::spread_model::target::ROUND;
use crate::spread_model::target::Transfer;
use rand::RngExt;
use rand::seq::SliceRandom;

use filbertstack_core::Millis;
use filbertstack_policy::spread::plan::Joined;
use filbertstack_policy::spread::plan::Target;
use filbertstack_policy::spread::plan::TargetKey;
use filbertstack_policy::spread::pull::Fault;
use filbertstack_policy::spread::pull::NeighbourKey;
use filbertstack_policy::spread::pull::Proximity;
use filbertstack_policy::spread::pull::PullScheduler;
use filbertstack_policy::spread::pull::RingPosition;

impl Simulation {
    /// Returns a random twentieth of the targets.
    pub(super) fn sample_targets(&mut self) -> Vec<usize> {
        let mut all: Vec<_> = (0..self.targets.len()).collect();
        all.shuffle(&mut self.rng);
        all.truncate(self.targets.len().div_ceil(20));
        all
    }

    /// Adds a target. Returns the other targets that need new upstreams.
    pub(super) fn join(&mut self) -> Vec<TargetKey> {
        let at = self.targets.len();
        let areas = self.mesh.regions * self.mesh.zones;
        let area = self.rng.random_range(0..areas);
        let (region, zone) = (area / self.mesh.zones, area);
        let target = Target {
            name: format!("t{at}").parse().unwrap(),
            zone: format!("z{zone}").parse().unwrap(),
            region: format!("r{region}").parse().unwrap(),
        };
        self.leader_messages += 1;
        let Joined { key, relink } = self.plan.join(target);
        self.target_index.insert(key, at);
        self.grants
            .join(key, &format!("r{region}").parse().unwrap());
        let mut pull = PullScheduler::new(super::pull_limits(), self.setting.seed + at as u64);
        pull.grow(self.wanted.len());
        for chunk in (0..).zip(&self.wanted).filter(|(_, wanted)| **wanted) {
            pull.want(chunk.0);
        }
        let skew = Millis(self.rng.random_range(0..10 * ROUND.0));
        self.targets.push(ModelTarget {
            pull,
            key,
            region,
            zone,
            skew,
            transfer_rounds: 1,
            alive: true,
            upstreams: BTreeMap::new(),
            downstreams: Vec::new(),
            last_served: BTreeMap::new(),
            sources: BTreeMap::new(),
            link: Link::default(),
            done_round: None,
        });
        relink
    }

    /// Gives a target the upstreams of the current plan.
    pub(super) fn update_upstreams(&mut self, at: usize) {
        self.leader_messages += 1;
        let upstreams: Vec<(usize, RingPosition)> = match self.mesh.graph {
            Graph::Rings => {
                let links = self.plan.upstreams(self.targets[at].key).into_iter();
                links
                    .map(|link| (self.target_index[&link.target], link.position))
                    .collect()
            }
            Graph::Random(degree) => {
                let mut others: Vec<_> = (0..self.targets.len()).filter(|&o| o != at).collect();
                others.shuffle(&mut self.rng);
                let (proximity, place, places) = (Proximity::Region, 0, 1);
                let position = RingPosition {
                    proximity,
                    place,
                    places,
                };
                others.truncate(degree);
                others.into_iter().map(|other| (other, position)).collect()
            }
        };
        let stale: Vec<_> = self.targets[at]
            .upstreams
            .iter()
            .map(|(&key, &up)| (key, up))
            .collect();
        for (key, up) in stale {
            if !upstreams.iter().any(|&(other, _)| other == up) {
                self.remove_upstream(at, key);
            }
        }
        for (up, position) in upstreams {
            if !self.targets[at].upstreams.values().any(|&old| old == up) {
                self.add_upstream(at, up, position);
            }
        }
    }

    pub(super) fn add_upstream(&mut self, at: usize, up: usize, mut position: RingPosition) {
        if !self.mesh.turns {
            position.places = 1;
        }
        let key = self.targets[at].pull.join(position);
        let held: Vec<_> = self.targets[up].pull.held().iter().collect();
        for chunk in held {
            self.targets[at].pull.announce(key, chunk);
        }
        self.targets[at].upstreams.insert(key, up);
        self.targets[up].downstreams.push((at, key));
    }

    pub(super) fn remove_upstream(&mut self, at: usize, key: NeighbourKey) {
        if let Some(up) = self.targets[at].upstreams.remove(&key) {
            self.targets[up]
                .downstreams
                .retain(|down| *down != (at, key));
            // Removing the upstream ends its transfers too.
            self.transfers.retain(|t| t.from != Some(up) || t.to != at);
            self.targets[at].pull.leave(key);
        }
    }

    pub(super) fn publish(&mut self, range: std::ops::Range<u32>) {
        self.grants
            .publish(range.clone().map(|chunk| self.digests[chunk as usize]));
        for chunk in range {
            self.wanted[chunk as usize] = true;
            for target in &mut self.targets {
                target.pull.want(chunk);
                target.done_round = None;
            }
        }
    }

    pub(super) fn retire(&mut self, range: std::ops::Range<u32>) {
        self.grants
            .retire(range.clone().map(|chunk| self.digests[chunk as usize]));
        for chunk in range {
            self.wanted[chunk as usize] = false;
            for target in &mut self.targets {
                target.pull.unwant(chunk);
            }
        }
    }

    pub fn apply(&mut self, event: &Event) {
        match event {
            Event::Join(joining) => {
                for _ in 0..*joining {
                    let relink = self.join();
                    self.update_upstreams(self.targets.len() - 1);
                    for key in relink {
                        self.update_upstreams(self.target_index[&key]);
                    }
                }
            }
            Event::Publish(range) => self.publish(range.clone()),
            Event::Retire(range) => self.retire(range.clone()),
            Event::SlowDown(each, rounds) => {
                for target in self.targets.iter_mut().step_by(*each) {
                    target.transfer_rounds = *rounds;
                }
            }
            Event::LoseLeader(rounds) => self.leaderless_rounds = *rounds,
            Event::LoseTargets(targets) => targets.iter().for_each(|&at| self.lose_target(at)),
        }
    }

    pub(super) fn lose_target(&mut self, at: usize) {
        self.targets[at].alive = false;
        self.losses.push((self.round + super::NOTICE_ROUNDS, at));
        self.origin_queue.retain(|pending| pending.to != at);
        self.transfers.retain(|transfer| transfer.to != at);
        let gone = |transfer: &mut Transfer| transfer.from == Some(at);
        let gone: Vec<_> = self.transfers.extract_if(.., gone).collect();
        for transfer in gone {
            let now = self.now(transfer.to);
            self.targets[transfer.to]
                .pull
                .failed(transfer.key, Fault::Down, now);
        }
    }
}
