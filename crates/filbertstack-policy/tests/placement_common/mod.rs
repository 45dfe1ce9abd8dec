//! This module simulates a small fleet that follows its orders, for the placement tests.

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
use filbertstack_policy::placement::Health;
use filbertstack_policy::placement::LoadFailures;
use filbertstack_policy::placement::Member;
use filbertstack_policy::placement::REBALANCE_UPTIME;
use filbertstack_policy::placement::Stage;
use filbertstack_policy::placement::UNREACHABLE_GRACE;
use filbertstack_policy::placement::VersionState;
use filbertstack_policy::placement::decide;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

pub const GIB: u64 = 1 << 30;
/// The initial time: late enough for every instance to have reached the required uptime.
pub const START: Millis = Millis::secs(100_000);
pub const ROUND_INTERVAL: Millis = Millis::secs(1);

/// The percentage of a version that a target fetches in one step.
const PERCENT_PER_STEP: u8 = 20;

pub fn name(n: usize) -> InstanceName {
    format!("i{n:04}").parse().expect("valid name")
}

pub fn version(n: u8) -> Digest {
    Digest::of(&[n])
}

pub fn member(zone: usize, rack: usize, memory: u64) -> Member {
    let labels: Labels = format!("zone=z{zone}, rack=r{rack}, role=llm")
        .parse()
        .expect("valid labels");
    Member::new(labels, memory, Health::Up(Millis::ZERO))
}

pub fn fleet(count: usize, zones: usize, memory: u64) -> Fleet {
    let named_member = |n: usize| (name(n), member(n % zones, n / zones % 4, memory));
    (0..count).map(named_member).collect()
}

pub fn spec(deployment: &str, n: u8, replicas: usize, memory: u64) -> DeploymentSpec {
    let pool: Selector = "role=llm".parse().expect("valid selector");
    DeploymentSpec {
        deployment: deployment.parse().expect("valid name"),
        version: version(n),
        replicas,
        memory,
        pools: vec![pool],
    }
}

/// The simulated fleet, its orders and the way in which it follows them.
pub struct World {
    pub fleet: Fleet,
    pub specs: Vec<DeploymentSpec>,
    pub assignments: Assignments,
    pub failures: LoadFailures,
    pub now: Millis,
    /// The memory of each version, as engines report it.
    pub sizes: BTreeMap<Digest, u64>,
}

impl World {
    pub fn new(fleet: Fleet, specs: Vec<DeploymentSpec>) -> Self {
        let mut world = Self {
            fleet,
            specs: Vec::new(),
            assignments: Assignments::new(),
            failures: LoadFailures::default(),
            now: START,
            sizes: BTreeMap::new(),
        };
        world.declare(specs);
        world
    }

    pub fn declare(&mut self, specs: Vec<DeploymentSpec>) {
        self.sizes
            .extend(specs.iter().map(|spec| (spec.version, spec.memory)));
        self.specs = specs;
    }

    pub fn decide(&self) -> Decision {
        decide(
            &self.fleet,
            &self.specs,
            &self.assignments,
            &self.failures,
            self.now,
        )
    }

    /// Runs one round: decides, then lets about half of the targets follow their orders.
    pub fn round(&mut self, rng: &mut ChaCha8Rng) -> Decision {
        let decision = self.decide();
        self.assignments = decision.orders.clone();
        self.now = self.now + ROUND_INTERVAL;
        for (name, member) in &mut self.fleet {
            let up = matches!(member.health, Health::Up(_));
            if up && rng.random_bool(0.5) {
                let orders = self.assignments.get(name).map_or(&[][..], Vec::as_slice);
                apply_orders(member, orders, &self.sizes, self.now);
            }
        }
        self.failures.observe(&self.fleet, self.now);
        decision
    }

    /// Changes the health of a random instance: it becomes unreachable for a short or a long time,
    /// leaves, or returns. Its weights are sometimes lost.
    pub fn disturb_instance(&mut self, rng: &mut ChaCha8Rng) {
        let count = self.fleet.len();
        let picked = name(rng.random_range(0..count));
        let member = self.fleet.get_mut(&picked).expect("known instance");
        member.health = match member.health {
            Health::Up(_) if rng.random_bool(0.1) => Health::Leaving,
            Health::Up(_) if rng.random_bool(0.5) => Health::Unreachable(self.now),
            Health::Up(_) => Health::Unreachable(self.now - UNREACHABLE_GRACE),
            Health::Unreachable(_) | Health::Leaving => Health::Up(self.now),
        };
        if rng.random_bool(0.3) {
            member.versions.clear();
        }
    }

    /// Makes every instance reachable, with a long uptime.
    pub fn restore_all(&mut self) {
        self.now = self.now + REBALANCE_UPTIME;
        for member in self.fleet.values_mut() {
            member.health = Health::Up(Millis::ZERO);
        }
    }

    /// Runs rounds until nothing changes any more and returns the index of the last round; `None`
    /// if `limit` rounds do not suffice.
    pub fn settle(&mut self, rng: &mut ChaCha8Rng, limit: usize) -> Option<usize> {
        (0..limit).find(|_| {
            self.round(rng);
            self.is_settled()
        })
    }

    pub fn is_settled(&self) -> bool {
        let is_followed = |name: &InstanceName, one: &Assignment| {
            let member = self.fleet.get(name);
            member.is_none_or(|m| match one.duty {
                Duty::Serve => m.serves(&one.version),
                Duty::Fetch => {
                    let state = m.versions.get(&one.version);
                    state.is_some_and(|state| state.stage == Stage::Fetched(100))
                }
                Duty::Drain => false,
            })
        };
        let mut orders = self.assignments.iter();
        let followed = orders.all(|(name, all)| all.iter().all(|one| is_followed(name, one)));
        followed && self.decide().changed.is_empty()
    }

    /// Returns how many instances serve the deployment, whatever the version.
    pub fn available(&self, spec: &DeploymentSpec) -> usize {
        let serves_any = |(name, orders): &(&InstanceName, &Vec<Assignment>)| {
            let mut own_orders = orders.iter().filter(|a| a.deployment == spec.deployment);
            own_orders.any(|a| a.duty == Duty::Serve && self.fleet[*name].serves(&a.version))
        };
        self.assignments.iter().filter(serves_any).count()
    }

    /// Returns the instances that serve the declared version.
    pub fn serving(&self, spec: &DeploymentSpec) -> Vec<&InstanceName> {
        let ordered = |name: &&InstanceName| {
            let orders = self.assignments.get(*name).into_iter().flatten();
            orders
                .filter(|a| a.deployment == spec.deployment)
                .any(|a| a.version == spec.version)
        };
        let serves = self.fleet.iter().filter(|(_, m)| m.serves(&spec.version));
        serves.map(|(name, _)| name).filter(ordered).collect()
    }

    pub fn replicas_by_zone(&self, spec: &DeploymentSpec) -> BTreeMap<String, usize> {
        let mut replicas_by_zone = BTreeMap::new();
        for name in self.serving(spec) {
            let zone = self.fleet[name].zone.to_string();
            *replicas_by_zone.entry(zone).or_default() += 1;
        }
        replicas_by_zone
    }

    pub fn exceeds_memory(&self) -> bool {
        self.fleet.values().any(|member| {
            let loaded = member.versions.values().filter(|h| h.stage.takes_memory());
            loaded.map(|h| h.memory).sum::<u64>() > member.memory
        })
    }
}

/// Runs one step of a target: a fetch advances, a load begins or ends, a drained version is
/// unloaded.
pub fn apply_orders(
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
        let percent = match member.versions.get(&order.version).map(|state| state.stage) {
            Some(Stage::Fetched(percent)) => (percent + PERCENT_PER_STEP).min(100),
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
        let known = member.versions.get(&order.version).map(|state| state.stage);
        let stage = match known {
            None | Some(Stage::Fetched(_)) => Stage::Loading,
            Some(Stage::Loading) => Stage::Serving,
            Some(_) => continue,
        };
        let loaded = VersionState {
            stage,
            since: now,
            memory: sizes[&order.version],
        };
        member.versions.insert(order.version, loaded);
    }
}
