//! The targets of a run: how they come, are linked, and are lost.

use std::collections::BTreeMap;

use crate::spread_model::mesh::Event;
use crate::spread_model::mesh::Graph;
use crate::spread_model::mesh::World;
use crate::spread_model::node::Link;
use crate::spread_model::node::Node;
use crate::spread_model::node::ROUND;
use crate::spread_model::node::Transfer;
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

impl World {
    /// One in twenty of the targets, by chance.
    pub(super) fn pick(&mut self) -> Vec<usize> {
        let mut all: Vec<_> = (0..self.nodes.len()).collect();
        all.shuffle(&mut self.rng);
        all.truncate(self.nodes.len().div_ceil(20));
        all
    }

    /// Adds a target; those that are to get new links by it.
    pub(super) fn join(&mut self) -> Vec<TargetKey> {
        let at = self.nodes.len();
        let areas = self.mesh.regions * self.mesh.zones;
        let area = self.rng.random_range(0..areas);
        let (region, zone) = (area / self.mesh.zones, area);
        let target = Target {
            name: format!("t{at}").parse().unwrap(),
            zone: format!("z{zone}").parse().unwrap(),
            region: format!("r{region}").parse().unwrap(),
        };
        self.leader += 1;
        let Joined { key, relink } = self.plan.join(target);
        self.index.insert(key, at);
        self.tokens
            .join(key, &format!("r{region}").parse().unwrap());
        let mut pull = PullScheduler::new(super::limits(), self.setting.seed + at as u64);
        pull.grow(self.wanted.len());
        for chunk in (0..).zip(&self.wanted).filter(|(_, wanted)| **wanted) {
            pull.want(chunk.0);
        }
        let skew = Millis(self.rng.random_range(0..10 * ROUND.0));
        self.nodes.push(Node {
            pull,
            key,
            region,
            zone,
            skew,
            slow: 1,
            alive: true,
            ups: BTreeMap::new(),
            downs: Vec::new(),
            served: BTreeMap::new(),
            sources: BTreeMap::new(),
            link: Link::default(),
            done: None,
        });
        relink
    }

    /// Gives a target the upstreams that the plan names now.
    pub(super) fn link(&mut self, at: usize) {
        self.leader += 1;
        let ups: Vec<(usize, RingPosition)> = match self.mesh.graph {
            Graph::Rings => {
                let links = self.plan.upstreams(self.nodes[at].key).into_iter();
                links
                    .map(|link| (self.index[&link.target], link.position))
                    .collect()
            }
            Graph::Random(degree) => {
                let mut others: Vec<_> = (0..self.nodes.len()).filter(|&o| o != at).collect();
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
        let stale: Vec<_> = self.nodes[at]
            .ups
            .iter()
            .map(|(&key, &up)| (key, up))
            .collect();
        for (key, up) in stale {
            if !ups.iter().any(|&(other, _)| other == up) {
                self.unlink(at, key);
            }
        }
        for (up, position) in ups {
            if !self.nodes[at].ups.values().any(|&old| old == up) {
                self.attach(at, up, position);
            }
        }
    }

    pub(super) fn attach(&mut self, at: usize, up: usize, mut position: RingPosition) {
        if !self.mesh.turns {
            position.places = 1;
        }
        let key = self.nodes[at].pull.join(position);
        let held: Vec<_> = self.nodes[up].pull.held().iter().collect();
        for chunk in held {
            self.nodes[at].pull.announce(key, chunk);
        }
        self.nodes[at].ups.insert(key, up);
        self.nodes[up].downs.push((at, key));
    }

    pub(super) fn unlink(&mut self, at: usize, key: NeighbourKey) {
        if let Some(up) = self.nodes[at].ups.remove(&key) {
            self.nodes[up].downs.retain(|down| *down != (at, key));
            // Its transfers are forgotten with it.
            self.transfers.retain(|t| t.from != Some(up) || t.to != at);
            self.nodes[at].pull.leave(key);
        }
    }

    pub(super) fn publish(&mut self, range: std::ops::Range<u32>) {
        self.tokens
            .publish(range.clone().map(|chunk| self.digests[chunk as usize]));
        for chunk in range {
            self.wanted[chunk as usize] = true;
            for node in &mut self.nodes {
                node.pull.want(chunk);
                node.done = None;
            }
        }
    }

    pub(super) fn retire(&mut self, range: std::ops::Range<u32>) {
        self.tokens
            .retire(range.clone().map(|chunk| self.digests[chunk as usize]));
        for chunk in range {
            self.wanted[chunk as usize] = false;
            for node in &mut self.nodes {
                node.pull.unwant(chunk);
            }
        }
    }

    pub fn happen(&mut self, event: &Event) {
        match event {
            Event::Join(joining) => {
                for _ in 0..*joining {
                    let relink = self.join();
                    self.link(self.nodes.len() - 1);
                    for key in relink {
                        self.link(self.index[&key]);
                    }
                }
            }
            Event::Publish(range) => self.publish(range.clone()),
            Event::Retire(range) => self.retire(range.clone()),
            Event::Crawl(each, rounds) => {
                for node in self.nodes.iter_mut().step_by(*each) {
                    node.slow = *rounds;
                }
            }
            Event::Lead(rounds) => self.leaderless = *rounds,
            Event::Lose(targets) => targets.iter().for_each(|&at| self.lose(at)),
        }
    }

    pub(super) fn lose(&mut self, at: usize) {
        self.nodes[at].alive = false;
        self.lost.push((self.round + super::NOTICE, at));
        self.origin.retain(|waiting| waiting.to != at);
        self.transfers.retain(|transfer| transfer.to != at);
        let gone = |transfer: &mut Transfer| transfer.from == Some(at);
        let gone: Vec<_> = self.transfers.extract_if(.., gone).collect();
        for transfer in gone {
            let now = self.now(transfer.to);
            self.nodes[transfer.to]
                .pull
                .failed(transfer.key, Fault::Down, now);
        }
    }
}
