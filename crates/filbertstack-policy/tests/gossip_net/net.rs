//! This module simulates entries that exchange gossip over lossy links, in virtual time.

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
    format!("{kind}{n:04}").parse().expect("valid name")
}

pub fn row(name: &InstanceName, kind: RowKind, region: usize, incarnation: u64) -> Row {
    Row {
        name: name.clone(),
        kind,
        region: format!("region-{region}").parse().expect("valid name"),
        incarnation,
        version: 1,
        state: State::Up,
        liveness: Liveness::Alive,
        facts: Facts(vec![0; 40].into()),
    }
}

/// The simulated network of entries and targets; time advances by rounds.
pub struct Net {
    pub settings: Settings,
    pub nodes: BTreeMap<InstanceName, Gossip>,
    pub targets: BTreeMap<InstanceName, Row>,
    /// The partition of each entry, 0 if absent. Entries in different partitions cannot reach each
    /// other.
    pub partitions: BTreeMap<InstanceName, usize>,
    pub loss: f64,
    pub now: Millis,
    pub rng: ChaCha8Rng,
    /// The bytes sent by each entry.
    pub sent_bytes: BTreeMap<InstanceName, usize>,
    pub links: BTreeMap<InstanceName, BTreeSet<InstanceName>>,
}

pub const REGIONS: usize = 6;

impl Net {
    pub fn new(entries: usize, loss: f64, settings: Settings) -> Self {
        let mut net = Self {
            settings,
            nodes: BTreeMap::new(),
            targets: BTreeMap::new(),
            partitions: BTreeMap::new(),
            loss,
            now: Millis::secs(1000),
            rng: ChaCha8Rng::seed_from_u64(entries as u64),
            sent_bytes: BTreeMap::new(),
            links: BTreeMap::new(),
        };
        for n in 0..entries {
            net.start(n, 1);
        }
        net
    }

    /// Creates a fleet in which all entries know all instances.
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
        let all_rows = rows.iter().chain(net.targets.values()).cloned();
        let message = Message {
            kind: MessageKind::Page,
            rows: all_rows.collect(),
            summary: None,
        };
        let now = net.now;
        for node in net.nodes.values_mut() {
            node.receive(&name('x', 0), message.clone(), now);
        }
        net.loss = 0.0;
        net.run_rounds(8);
        net.loss = loss;
        net.sent_bytes.clear();
        net.links.clear();
        net
    }

    pub fn start(&mut self, n: usize, incarnation: u64) {
        let own_name = name('e', n);
        let seeds = (0..3).map(|seed| name('e', seed)).collect();
        let own_row = row(&own_name, RowKind::Entry, n % REGIONS, incarnation);
        let gossip = Gossip::new(own_row, seeds, self.settings, n as u64);
        self.nodes.insert(own_name, gossip);
    }

    pub fn partition(&self, name: &InstanceName) -> usize {
        self.partitions.get(name).copied().unwrap_or(0)
    }

    pub fn round(&mut self) {
        self.now = self.now + self.settings.round_interval;
        self.announce();
        let now = self.now;
        let mut in_flight = Vec::new();
        for (from, node) in &mut self.nodes {
            let sends = node.tick(now);
            in_flight.extend(sends.into_iter().map(|send| (from.clone(), send)));
        }
        while let Some((from, Outgoing { to, message })) = in_flight.pop() {
            *self.sent_bytes.entry(from.clone()).or_default() += message.size();
            self.links
                .entry(from.clone())
                .or_default()
                .insert(to.clone());
            let is_lost =
                self.partition(&from) != self.partition(&to) || self.rng.random_bool(self.loss);
            if is_lost || !self.nodes.contains_key(&to) {
                continue;
            }
            let node = self.nodes.get_mut(&to).expect("known instance");
            let answers = node.receive(&from, message, now);
            in_flight.extend(answers.into_iter().map(|send| (to.clone(), send)));
        }
    }

    /// Lets each target announce itself to its home entries and refute suspicions in every third
    /// round.
    pub fn announce(&mut self) {
        let entries: Vec<_> = self.nodes.values().map(|n| n.own_row().clone()).collect();
        let turn = self.now.0 / self.settings.round_interval.0;
        for (i, target) in self.targets.values_mut().enumerate() {
            if !(i as u64 + turn).is_multiple_of(3) {
                continue;
            }
            for home in home_entries(&target.name, &target.region, entries.iter()) {
                let is_lost = self.rng.random_bool(self.loss);
                let Some(node) = self.nodes.get_mut(&home).filter(|_| !is_lost) else {
                    continue;
                };
                let row = target.clone();
                let known = node.receive_announcement(Announcement { row }, self.now);
                let known = known.filter(|known| known.is_newer(target));
                if let Some(known) = known.filter(|k| k.incarnation == target.incarnation) {
                    target.version = known.version + 1;
                }
            }
        }
    }

    pub fn run_rounds(&mut self, count: usize) {
        (0..count).for_each(|_| self.round());
    }

    /// Runs rounds until all entries except `name` see its row as `seen` requires, and returns
    /// their number; `None` if `limit` rounds do not suffice.
    pub fn rounds_until(
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

    pub fn not_alive_count(&self) -> usize {
        let rows = self.nodes.values().flat_map(Gossip::rows);
        rows.filter(|row| row.liveness != Liveness::Alive).count()
    }
}
