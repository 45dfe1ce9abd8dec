//! Entries that talk over links with losses, in virtual time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use filbertstack_core::Millis;
use filbertstack_core::names::InstanceName;
use filbertstack_policy::gossip::Announcement;
use filbertstack_policy::gossip::Facts;
use filbertstack_policy::gossip::Gossip;
use filbertstack_policy::gossip::Liveness;
use filbertstack_policy::gossip::Message;
use filbertstack_policy::gossip::MessageKind;
use filbertstack_policy::gossip::Outgoing;
use filbertstack_policy::gossip::Row;
use filbertstack_policy::gossip::RowKind;
use filbertstack_policy::gossip::Settings;
use filbertstack_policy::gossip::State;
use filbertstack_policy::gossip::home_entries;

pub fn name(kind: char, n: usize) -> InstanceName {
    format!("{kind}{n:04}").parse().expect("a name")
}

pub fn row(name: &InstanceName, kind: RowKind, region: usize, incarnation: u64) -> Row {
    Row {
        name: name.clone(),
        kind,
        region: format!("region-{region}").parse().expect("a name"),
        incarnation,
        version: 1,
        state: State::Up,
        liveness: Liveness::Alive,
        facts: Facts(vec![0; 40].into()),
    }
}

/// Entries that talk over links with losses; time advances by rounds.
pub struct Net {
    pub settings: Settings,
    pub nodes: BTreeMap<InstanceName, Gossip>,
    pub targets: BTreeMap<InstanceName, Row>,
    /// Entries in different parts do not hear each other.
    pub parts: BTreeMap<InstanceName, usize>,
    pub loss: f64,
    pub now: Millis,
    pub rng: ChaCha8Rng,
    /// Bytes sent by each entry.
    pub sent: BTreeMap<InstanceName, usize>,
    pub links: BTreeMap<InstanceName, BTreeSet<InstanceName>>,
}

pub const REGIONS: usize = 6;

impl Net {
    pub fn new(entries: usize, loss: f64, settings: Settings) -> Self {
        let mut net = Self {
            settings,
            nodes: BTreeMap::new(),
            targets: BTreeMap::new(),
            parts: BTreeMap::new(),
            loss,
            now: Millis::secs(1000),
            rng: ChaCha8Rng::seed_from_u64(entries as u64),
            sent: BTreeMap::new(),
            links: BTreeMap::new(),
        };
        for n in 0..entries {
            net.start(n, 1);
        }
        net
    }

    /// A fleet in which everybody knows everybody.
    pub fn settled(entries: usize, targets: usize, loss: f64, settings: Settings) -> Self {
        let mut net = Self::new(entries, loss, settings);
        let rows: Vec<_> = net
            .nodes
            .values()
            .map(|node| node.own_row().clone())
            .collect();
        for n in 0..targets {
            let target = row(&name('t', n), RowKind::Target, n % REGIONS, 1);
            net.targets.insert(target.name.clone(), target);
        }
        let everyone = rows.iter().chain(net.targets.values()).cloned();
        let message = Message {
            kind: MessageKind::Page,
            rows: everyone.collect(),
            summary: None,
        };
        let now = net.now;
        for node in net.nodes.values_mut() {
            node.receive(&name('x', 0), message.clone(), now);
        }
        net.loss = 0.0;
        net.rounds(8);
        net.loss = loss;
        net.sent.clear();
        net.links.clear();
        net
    }

    pub fn start(&mut self, n: usize, incarnation: u64) {
        let me = name('e', n);
        let seeds = (0..3).map(|seed| name('e', seed)).collect();
        let own = row(&me, RowKind::Entry, n % REGIONS, incarnation);
        let gossip = Gossip::new(own, seeds, self.settings, n as u64);
        self.nodes.insert(me, gossip);
    }

    pub fn part(&self, name: &InstanceName) -> usize {
        self.parts.get(name).copied().unwrap_or(0)
    }

    pub fn round(&mut self) {
        self.now = self.now + self.settings.round_interval;
        self.announce();
        let now = self.now;
        let mut flying = Vec::new();
        for (from, node) in &mut self.nodes {
            let sends = node.tick(now);
            flying.extend(sends.into_iter().map(|send| (from.clone(), send)));
        }
        while let Some((from, Outgoing { to, message })) = flying.pop() {
            *self.sent.entry(from.clone()).or_default() += message.size();
            self.links
                .entry(from.clone())
                .or_default()
                .insert(to.clone());
            let cut = self.part(&from) != self.part(&to) || self.rng.random_bool(self.loss);
            if cut || !self.nodes.contains_key(&to) {
                continue;
            }
            let node = self.nodes.get_mut(&to).expect("it");
            let answers = node.receive(&from, message, now);
            flying.extend(answers.into_iter().map(|send| (to.clone(), send)));
        }
    }

    /// Targets announce themselves to their homes and answer doubts, each in its third round.
    pub fn announce(&mut self) {
        let entries: Vec<_> = self.nodes.values().map(|n| n.own_row().clone()).collect();
        let turn = self.now.0 / self.settings.round_interval.0;
        for (i, target) in self.targets.values_mut().enumerate() {
            if !(i as u64 + turn).is_multiple_of(3) {
                continue;
            }
            for home in home_entries(&target.name, &target.region, entries.iter()) {
                let lost = self.rng.random_bool(self.loss);
                let Some(node) = self.nodes.get_mut(&home).filter(|_| !lost) else {
                    continue;
                };
                let row = target.clone();
                let known = node.announce(Announcement { row }, self.now);
                let known = known.filter(|known| known.is_newer(target));
                if let Some(known) = known.filter(|k| k.incarnation == target.incarnation) {
                    target.version = known.version + 1;
                }
            }
        }
    }

    pub fn rounds(&mut self, count: usize) {
        (0..count).for_each(|_| self.round());
    }

    /// Rounds until all entries but `except` see `name` as `seen`.
    pub fn until(
        &mut self,
        name: &InstanceName,
        limit: usize,
        seen: fn(&Row) -> bool,
    ) -> Option<usize> {
        (0..=limit).find(|i| {
            if *i > 0 {
                self.round();
            }
            let others = self
                .nodes
                .values()
                .filter(|node| node.own_row().name != *name);
            others
                .into_iter()
                .all(|node| node.row(name).is_some_and(seen))
        })
    }

    pub fn doubted(&self) -> usize {
        let rows = self.nodes.values().flat_map(Gossip::rows);
        rows.filter(|row| row.liveness != Liveness::Alive).count()
    }
}
