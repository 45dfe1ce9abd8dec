//! Simulates configuration leases of a leader, voters and entries whose clocks run at different rates.

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

/// A deliberate fault of the simulated nodes, which the simulation must detect.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Flaw {
    None,
    /// An entry counts its lease from the arrival of the grant.
    CountedFromArrival,
    /// A voter grants beyond its own lease.
    GrantsBeyondOwnLease,
    /// A voter grants to an entry that is behind.
    GrantsToFollowerBehind,
    /// A new leader does not wait until the grants of the old leader have run out.
    NoWaitAfterElection,
    /// A clock runs a fifth too slow, far more than the allowed drift.
    SlowClock,
}

const FLAWS: [Flaw; 5] = [
    Flaw::CountedFromArrival,
    Flaw::GrantsBeyondOwnLease,
    Flaw::GrantsToFollowerBehind,
    Flaw::NoWaitAfterElection,
    Flaw::SlowClock,
];

const STEP_MS: u64 = 100;
const VOTERS: usize = 3;
const ENTRIES: usize = 9;

struct Node {
    name: InstanceName,
    revision: u64,
    holder: Holder,
    granter: Granter,
    /// How many milliseconds the node's clock counts in a thousand.
    rate: u64,
    cut_off: bool,
    last_renewal: u64,
}

impl Node {
    fn new(n: usize, rate: u64) -> Self {
        Self {
            name: format!("n{n}").parse().expect("a name"),
            revision: 1,
            holder: Holder::default(),
            granter: Granter::new(Millis::ZERO),
            rate,
            cut_off: false,
            last_renewal: 0,
        }
    }

    fn clock(&self, now: u64) -> Millis {
        Millis(now * self.rate / 1000)
    }
}

/// The answer to a renewal on its way to a node.
struct PendingAnswer {
    arrives: u64,
    to: usize,
    grant: Option<Grant>,
    revision: u64,
}

struct World {
    flaw: Flaw,
    rng: TestRng,
    now: u64,
    leader: Granter,
    revision: u64,
    accepted: Millis,
    /// The highest revision that the leader reported as in force.
    reported: u64,
    nodes: Vec<Node>,
    pending: Vec<PendingAnswer>,
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
            now: 0,
            leader: Granter::new(Millis::ZERO),
            revision: 1,
            accepted: Millis::ZERO,
            reported: 0,
            pending: Vec::new(),
            spans: BTreeMap::new(),
        }
    }

    /// Runs the simulation: 30 seconds without faults, then random changes, cuts and new leaders.
    fn run(&mut self) -> Result<(), String> {
        for step in 0..3000 {
            self.now += STEP_MS;
            if step > 300 {
                self.inject_faults();
            }
            self.renew_due();
            self.arrive();
            self.report_in_force();
            self.check()?;
        }
        Ok(())
    }

    fn inject_faults(&mut self) {
        if draw(&mut self.rng, 120) == 0 && self.reported == self.revision {
            self.revision += 1;
            self.accepted = Millis(self.now);
        }
        if draw(&mut self.rng, 60) == 0 {
            let n = draw(&mut self.rng, 12) as usize;
            self.nodes[n].cut_off = !self.nodes[n].cut_off;
        }
        if draw(&mut self.rng, 900) == 0 {
            self.leader = Granter::new(match self.flaw {
                Flaw::NoWaitAfterElection => Millis(self.now) - Millis(2 * LENGTH.0),
                _ => Millis(self.now),
            });
            self.accepted = Millis(self.now);
        }
    }

    fn renew_due(&mut self) {
        for n in 0..self.nodes.len() {
            let due = self.now >= self.nodes[n].last_renewal + RENEW_INTERVAL.0;
            if due && !self.nodes[n].cut_off {
                self.nodes[n].last_renewal = self.now;
                self.renew(n);
            }
        }
    }

    /// Sends the renewal of one node. It arrives at once; only the answer takes time, up to nine seconds.
    fn renew(&mut self, n: usize) {
        let local = self.nodes[n].clock(self.now);
        let (grant, revision) = if n < VOTERS {
            let node = &mut self.nodes[n];
            let renewal = node.granter.renewal(node.revision, local);
            let own_until = Millis(self.now) + LENGTH;
            let now = Millis(self.now);
            let grant = self
                .leader
                .grant(&node.name, renewal, self.revision, own_until, now);
            (grant.ok(), self.revision)
        } else {
            self.renew_at_voter(n, local)
        };
        let slow_link = draw(&mut self.rng, 4) == 0;
        let delay = u64::from(draw(&mut self.rng, if slow_link { 9000 } else { 200 }));
        self.pending.push(PendingAnswer {
            arrives: self.now + delay,
            to: n,
            grant,
            revision,
        });
    }

    fn renew_at_voter(&mut self, n: usize, local: Millis) -> (Option<Grant>, u64) {
        let mut revision = self.nodes[n].revision;
        let name = self.nodes[n].name.clone();
        let voter = &mut self.nodes[n % VOTERS];
        if self.flaw == Flaw::GrantsToFollowerBehind {
            revision = voter.revision;
        }
        let renewal = Renewal {
            sent: local,
            revision,
            lowest: revision,
        };
        let now = voter.clock(self.now);
        let own_until = match self.flaw {
            Flaw::GrantsBeyondOwnLease => now + LENGTH,
            _ => voter.holder.until().unwrap_or_default(),
        };
        let grant = voter
            .granter
            .grant(&name, renewal, voter.revision, own_until, now);
        (grant.ok(), voter.revision)
    }

    fn arrive(&mut self) {
        let now = self.now;
        let (arrived, pending): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|answer| answer.arrives <= now);
        self.pending = pending;
        for answer in arrived {
            let node = &mut self.nodes[answer.to];
            if node.cut_off {
                continue;
            }
            node.revision = node.revision.max(answer.revision);
            let local = node.clock(now);
            if let Some(mut grant) = answer.grant {
                if self.flaw == Flaw::CountedFromArrival {
                    grant.sent = local;
                }
                node.holder.accept(grant);
            }
        }
    }

    fn report_in_force(&mut self) {
        let state = self
            .leader
            .in_force(self.revision, self.accepted, Millis(self.now));
        if state == RevisionState::InForce && self.reported < self.revision {
            self.reported = self.revision;
            let span = Millis(self.now).since(self.accepted).0;
            *self.spans.entry(span / 1000).or_default() += 1;
        }
    }

    /// Checks that no entry serves under a revision older than one that was reported as in force.
    fn check(&self) -> Result<(), String> {
        for node in &self.nodes[VOTERS..] {
            let serves = node.holder.check(node.clock(self.now)).is_ok();
            if serves && node.revision < self.reported {
                let reported = self.reported;
                return Err(format!(
                    "{} serves under {}, {reported} is in force",
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

/// Guards against a revision that is reported as in force while an entry still serves an older one, and
/// against a report that takes more than 14 seconds. Nodes are cut off, leaders change, and grants take up
/// to nine seconds to arrive.
#[test]
fn revision_in_force_is_in_force_everywhere() {
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

/// Guards against an entry without a lease that serves requests, or refuses them without a time to retry.
#[test]
fn entry_without_lease_refuses_and_says_when_to_retry() {
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
