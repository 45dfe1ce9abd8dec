//! A small fleet that follows its orders, for the tests of placement.

use std::collections::BTreeMap;

use filbertstack_core::Digest;
use filbertstack_core::Labels;
use filbertstack_core::Millis;
use filbertstack_core::Selector;
use filbertstack_core::names::InstanceName;
use filbertstack_policy::placement::Assignment;
use filbertstack_policy::placement::Assignments;
use filbertstack_policy::placement::Decision;
use filbertstack_policy::placement::DeploymentSpec;
use filbertstack_policy::placement::Duty;
use filbertstack_policy::placement::Fleet;
use filbertstack_policy::placement::HOLD_DOWN;
use filbertstack_policy::placement::Health;
use filbertstack_policy::placement::LoadFailures;
use filbertstack_policy::placement::MOVE_AFTER;
use filbertstack_policy::placement::Member;
use filbertstack_policy::placement::Stage;
use filbertstack_policy::placement::VersionState;
use filbertstack_policy::placement::decide;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

pub const GIB: u64 = 1 << 30;
/// Late enough for every instance of the start to have proved itself.
pub const START: Millis = Millis::secs(100_000);
pub const ROUND: Millis = Millis::secs(1);

/// The hundredths of a version that a target fetches in one step.
const FETCHED_A_STEP: u8 = 20;

pub fn name(n: usize) -> InstanceName {
    format!("i{n:04}").parse().expect("a name")
}

pub fn version(n: u8) -> Digest {
    Digest::of(&[n])
}

pub fn member(zone: usize, rack: usize, memory: u64) -> Member {
    let labels: Labels = format!("zone=z{zone}, rack=r{rack}, role=llm")
        .parse()
        .expect("labels");
    Member::new(labels, memory, Health::Up(Millis::ZERO))
}

pub fn fleet(count: usize, zones: usize, memory: u64) -> Fleet {
    let of = |n: usize| (name(n), member(n % zones, n / zones % 4, memory));
    (0..count).map(of).collect()
}

pub fn want(deployment: &str, n: u8, replicas: usize, memory: u64) -> DeploymentSpec {
    let pool: Selector = "role=llm".parse().expect("a selector");
    DeploymentSpec {
        deployment: deployment.parse().expect("a name"),
        version: version(n),
        replicas,
        memory,
        pools: vec![pool],
    }
}

/// The fleet, its orders and how it follows them.
pub struct World {
    pub fleet: Fleet,
    pub wants: Vec<DeploymentSpec>,
    pub standing: Assignments,
    pub faults: LoadFailures,
    pub now: Millis,
    /// The memory of each version, as engines report it.
    pub sizes: BTreeMap<Digest, u64>,
}

impl World {
    pub fn new(fleet: Fleet, wants: Vec<DeploymentSpec>) -> Self {
        let mut world = Self {
            fleet,
            wants: Vec::new(),
            standing: Assignments::new(),
            faults: LoadFailures::default(),
            now: START,
            sizes: BTreeMap::new(),
        };
        world.declare(wants);
        world
    }

    pub fn declare(&mut self, wants: Vec<DeploymentSpec>) {
        self.sizes
            .extend(wants.iter().map(|want| (want.version, want.memory)));
        self.wants = wants;
    }

    pub fn decide(&self) -> Decision {
        decide(
            &self.fleet,
            &self.wants,
            &self.standing,
            &self.faults,
            self.now,
        )
    }

    /// Decides, and lets about half of the targets follow.
    pub fn round(&mut self, rng: &mut ChaCha8Rng) -> Decision {
        let decision = self.decide();
        self.standing = decision.orders.clone();
        self.now = self.now + ROUND;
        for (name, member) in &mut self.fleet {
            let up = matches!(member.health, Health::Up(_));
            if up && rng.random_bool(0.5) {
                let orders = self.standing.get(name).map_or(&[][..], Vec::as_slice);
                follow(member, orders, &self.sizes, self.now);
            }
        }
        self.faults.observe(&self.fleet, self.now);
        decision
    }

    /// An instance goes away for a while or for long, or comes back with or without its weights.
    pub fn flip(&mut self, rng: &mut ChaCha8Rng) {
        let count = self.fleet.len();
        let picked = name(rng.random_range(0..count));
        let member = self.fleet.get_mut(&picked).expect("it");
        member.health = match member.health {
            Health::Up(_) if rng.random_bool(0.1) => Health::Leaving,
            Health::Up(_) if rng.random_bool(0.5) => Health::Unreachable(self.now),
            Health::Up(_) => Health::Unreachable(self.now - HOLD_DOWN),
            Health::Unreachable(_) | Health::Leaving => Health::Up(self.now),
        };
        if rng.random_bool(0.3) {
            member.versions.clear();
        }
    }

    /// Every instance has been up for long.
    pub fn heal(&mut self) {
        self.now = self.now + MOVE_AFTER;
        for member in self.fleet.values_mut() {
            member.health = Health::Up(Millis::ZERO);
        }
    }

    /// Rounds until nothing changes any more; how many it took.
    pub fn settle(&mut self, rng: &mut ChaCha8Rng, limit: usize) -> Option<usize> {
        (0..limit).find(|_| {
            self.round(rng);
            self.is_settled()
        })
    }

    pub fn is_settled(&self) -> bool {
        let holds = |name: &InstanceName, one: &Assignment| {
            let member = self.fleet.get(name);
            member.is_none_or(|m| match one.duty {
                Duty::Serve => m.serves(&one.version),
                Duty::Fetch => {
                    let held = m.versions.get(&one.version);
                    held.is_some_and(|held| held.stage == Stage::Fetched(100))
                }
                Duty::Drain => false,
            })
        };
        let mut orders = self.standing.iter();
        let followed = orders.all(|(name, all)| all.iter().all(|one| holds(name, one)));
        followed && self.decide().changed.is_empty()
    }

    /// How many instances answer for the deployment, whatever the version.
    pub fn alive(&self, want: &DeploymentSpec) -> usize {
        let answers = |(name, orders): &(&InstanceName, &Vec<Assignment>)| {
            let mut mine = orders.iter().filter(|a| a.deployment == want.deployment);
            mine.any(|a| a.duty == Duty::Serve && self.fleet[*name].serves(&a.version))
        };
        self.standing.iter().filter(answers).count()
    }

    /// The instances that answer from the declared version.
    pub fn serving(&self, want: &DeploymentSpec) -> Vec<&InstanceName> {
        let ordered = |name: &&InstanceName| {
            let orders = self.standing.get(*name).into_iter().flatten();
            orders
                .filter(|a| a.deployment == want.deployment)
                .any(|a| a.version == want.version)
        };
        let serves = self.fleet.iter().filter(|(_, m)| m.serves(&want.version));
        serves.map(|(name, _)| name).filter(ordered).collect()
    }

    pub fn zones(&self, want: &DeploymentSpec) -> BTreeMap<String, usize> {
        let mut zones = BTreeMap::new();
        for name in self.serving(want) {
            let zone = self.fleet[name].zone.to_string();
            *zones.entry(zone).or_default() += 1;
        }
        zones
    }

    pub fn is_over_memory(&self) -> bool {
        self.fleet.values().any(|member| {
            let loaded = member.versions.values().filter(|h| h.stage.takes_memory());
            loaded.map(|h| h.memory).sum::<u64>() > member.memory
        })
    }
}

/// One step of a target: a load begins or ends, a drained version goes.
pub fn follow(
    member: &mut Member,
    orders: &[Assignment],
    sizes: &BTreeMap<Digest, u64>,
    now: Millis,
) {
    let serve = |v: &Digest| {
        orders
            .iter()
            .any(|a| a.version == *v && a.duty == Duty::Serve)
    };
    let fetch = |v: &Digest| {
        orders
            .iter()
            .any(|a| a.version == *v && a.duty == Duty::Fetch)
    };
    member
        .versions
        .retain(|version, _| serve(version) || fetch(version));
    for order in orders.iter().filter(|a| a.duty == Duty::Fetch) {
        let percent = match member.versions.get(&order.version).map(|held| held.stage) {
            Some(Stage::Fetched(percent)) => (percent + FETCHED_A_STEP).min(100),
            Some(_) => 100,
            None => 0,
        };
        let fetched = VersionState {
            stage: Stage::Fetched(percent),
            since: now,
            memory: 0,
        };
        member.versions.insert(order.version, fetched);
    }
    for order in orders.iter().filter(|a| a.duty == Duty::Serve) {
        let known = member
            .versions
            .get(&order.version)
            .map(|holding| holding.stage);
        let stage = match known {
            None | Some(Stage::Fetched(_)) => Stage::Loading,
            Some(Stage::Loading) => Stage::Serving,
            Some(_) => continue,
        };
        let holding = VersionState {
            stage,
            since: now,
            memory: sizes[&order.version],
        };
        member.versions.insert(order.version, holding);
    }
}
