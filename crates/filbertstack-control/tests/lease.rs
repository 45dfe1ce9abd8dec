//! Config leases over a leader, voters and entries whose clocks run at different rates.

use std::collections::BTreeMap;

use filbertstack_control::lease::Grant;
use filbertstack_control::lease::Granter;
use filbertstack_control::lease::Holder;
use filbertstack_control::lease::LENGTH;
use filbertstack_control::lease::RENEW_INTERVAL;
use filbertstack_control::lease::Renewal;
use filbertstack_control::lease::RevisionState;
use filbertstack_core::Millis;
use filbertstack_core::names::InstanceName;
use proptest::prelude::Rng;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Flaw {
    None,
    /// An entry counts its lease from when the grant arrived.
    CountedFromArrival,
    /// A voter grants beyond its own lease.
    BeyondOwn,
    /// A voter grants to an entry that is behind.
    GrantsBehind,
    /// A new leader does not wait for the grants of the old one.
    Impatient,
    /// A clock runs a fifth slow, far over the drift allowed for.
    SlowClock,
}

const FLAWS: [Flaw; 5] = [
    Flaw::CountedFromArrival,
    Flaw::BeyondOwn,
    Flaw::GrantsBehind,
    Flaw::Impatient,
    Flaw::SlowClock,
];

const STEP: u64 = 100;
const VOTERS: usize = 3;
const ENTRIES: usize = 9;

struct Node {
    name: InstanceName,
    revision: u64,
    holder: Holder,
    granter: Granter,
    /// How many milliseconds its clock counts in a thousand.
    rate: u64,
    cut: bool,
    asked: u64,
}

impl Node {
    fn new(n: usize, rate: u64) -> Self {
        Self {
            name: format!("n{n}").parse().expect("a name"),
            revision: 1,
            holder: Holder::default(),
            granter: Granter::new(Millis::ZERO),
            rate,
            cut: false,
            asked: 0,
        }
    }

    fn clock(&self, at: u64) -> Millis {
        Millis(at * self.rate / 1000)
    }
}

/// A grant under way to a node.
struct Flying {
    arrives: u64,
    to: usize,
    grant: Option<Grant>,
    revision: u64,
}

struct World {
    flaw: Flaw,
    rng: TestRng,
    at: u64,
    leader: Granter,
    revision: u64,
    accepted: Millis,
    /// The highest revision that was said to be in force.
    promised: u64,
    nodes: Vec<Node>,
    flying: Vec<Flying>,
    spans: BTreeMap<u64, u64>,
}

impl World {
    fn new(flaw: Flaw, seed: u8) -> Self {
        let mut rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
        let nodes = (0..VOTERS + ENTRIES).map(|n| {
            let slow = flaw == Flaw::SlowClock && n >= VOTERS;
            let rate = if slow {
                800
            } else {
                996 + u64::from(draw(&mut rng, 8))
            };
            Node::new(n, rate)
        });
        let nodes = nodes.collect();
        Self {
            flaw,
            nodes,
            rng,
            at: 0,
            leader: Granter::new(Millis::ZERO),
            revision: 1,
            accepted: Millis::ZERO,
            promised: 0,
            flying: Vec::new(),
            spans: BTreeMap::new(),
        }
    }

    /// Half a minute to begin with, then changes, cuts and new leaders by chance.
    fn run(&mut self) -> Result<(), String> {
        for step in 0..3000 {
            self.at += STEP;
            if step > 300 {
                self.disturb();
            }
            self.ask();
            self.arrive();
            self.promise();
            self.check()?;
        }
        Ok(())
    }

    fn disturb(&mut self) {
        if draw(&mut self.rng, 120) == 0 && self.promised == self.revision {
            self.revision += 1;
            self.accepted = Millis(self.at);
        }
        if draw(&mut self.rng, 60) == 0 {
            let n = draw(&mut self.rng, 12) as usize;
            self.nodes[n].cut = !self.nodes[n].cut;
        }
        if draw(&mut self.rng, 900) == 0 {
            self.leader = Granter::new(match self.flaw {
                Flaw::Impatient => Millis(self.at) - Millis(2 * LENGTH.0),
                _ => Millis(self.at),
            });
            self.accepted = Millis(self.at);
        }
    }

    fn ask(&mut self) {
        for n in 0..self.nodes.len() {
            let due = self.at >= self.nodes[n].asked + RENEW_INTERVAL.0;
            if due && !self.nodes[n].cut {
                self.nodes[n].asked = self.at;
                self.ask_one(n);
            }
        }
    }

    /// Asks on the way out, so that only the way back takes time: up to nine seconds.
    fn ask_one(&mut self, n: usize) {
        let local = self.nodes[n].clock(self.at);
        let (grant, revision) = if n < VOTERS {
            let node = &mut self.nodes[n];
            let ask = node.granter.renewal(node.revision, local);
            let own = Millis(self.at) + LENGTH;
            let now = Millis(self.at);
            let grant = self.leader.grant(&node.name, ask, self.revision, own, now);
            (grant.ok(), self.revision)
        } else {
            self.ask_voter(n, local)
        };
        let slow = draw(&mut self.rng, 4) == 0;
        let way = u64::from(draw(&mut self.rng, if slow { 9000 } else { 200 }));
        self.flying.push(Flying {
            arrives: self.at + way,
            to: n,
            grant,
            revision,
        });
    }

    fn ask_voter(&mut self, n: usize, local: Millis) -> (Option<Grant>, u64) {
        let mut revision = self.nodes[n].revision;
        let name = self.nodes[n].name.clone();
        let voter = &mut self.nodes[n % VOTERS];
        if self.flaw == Flaw::GrantsBehind {
            revision = voter.revision;
        }
        let ask = Renewal {
            sent: local,
            revision,
            lowest: revision,
        };
        let now = voter.clock(self.at);
        let own = match self.flaw {
            Flaw::BeyondOwn => now + LENGTH,
            _ => voter.holder.until().unwrap_or_default(),
        };
        let grant = voter.granter.grant(&name, ask, voter.revision, own, now);
        (grant.ok(), voter.revision)
    }

    fn arrive(&mut self) {
        let now = self.at;
        let (here, still): (Vec<_>, Vec<_>) = std::mem::take(&mut self.flying)
            .into_iter()
            .partition(|one| one.arrives <= now);
        self.flying = still;
        for one in here {
            let node = &mut self.nodes[one.to];
            if node.cut {
                continue;
            }
            node.revision = node.revision.max(one.revision);
            let local = node.clock(now);
            if let Some(mut grant) = one.grant {
                if self.flaw == Flaw::CountedFromArrival {
                    grant.sent = local;
                }
                node.holder.accept(grant);
            }
        }
    }

    fn promise(&mut self) {
        let force = self
            .leader
            .in_force(self.revision, self.accepted, Millis(self.at));
        if force == RevisionState::InForce && self.promised < self.revision {
            self.promised = self.revision;
            let span = Millis(self.at).since(self.accepted).0;
            *self.spans.entry(span / 1000).or_default() += 1;
        }
    }

    /// Nobody serves under a revision older than one that was said to be in force.
    fn check(&self) -> Result<(), String> {
        for node in &self.nodes[VOTERS..] {
            let serves = node.holder.check(node.clock(self.at)).is_ok();
            if serves && node.revision < self.promised {
                let promised = self.promised;
                return Err(format!(
                    "{} serves under {}, {promised} is in force",
                    node.name, node.revision
                ));
            }
        }
        Ok(())
    }
}

fn draw(rng: &mut TestRng, below: u32) -> u32 {
    rng.next_u32() % below
}

const SEEDS: u8 = 60;

/// Changes, cuts of any node and new leaders while grants take up to nine seconds to arrive: what
/// is said to be in force is in force, and it is said within 14 seconds whatever is cut off.
#[test]
fn what_is_in_force_is_in_force_everywhere() {
    let mut spans = BTreeMap::<u64, u64>::new();
    for seed in 0..SEEDS {
        let mut world = World::new(Flaw::None, seed);
        world
            .run()
            .unwrap_or_else(|found| panic!("seed {seed}: {found}"));
        for (second, count) in world.spans {
            *spans.entry(second).or_default() += count;
        }
    }
    println!("seconds to in force: {spans:?}");
    assert!(spans.keys().max() < Some(&14));
    assert!(
        spans.len() > 3,
        "changes were in force by confirmation, not only by time"
    );
}

#[test]
fn every_flaw_is_found() {
    for flaw in FLAWS {
        let found = (0..SEEDS).find_map(|seed| World::new(flaw, seed).run().err());
        println!("{flaw:?}: {found:?}");
        assert!(found.is_some(), "{flaw:?} was not found");
    }
}

/// An entry cut off from the control state refuses at once, and says when to come back.
#[test]
fn entry_without_a_lease_refuses_with_a_time() {
    let mut holder = Holder::default();
    assert!(holder.check(Millis::ZERO).is_err());
    holder.accept(Grant {
        sent: Millis::secs(5),
        revision: 1,
        span: LENGTH,
    });
    assert!(holder.check(Millis(14_999)).is_ok());
    let refused = holder.check(Millis::secs(15)).expect_err("it ran out");
    insta::assert_snapshot!(refused, @"this entry is cut off from the control state: use another, or come back in 3s");
}
