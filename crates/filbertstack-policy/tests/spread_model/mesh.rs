//! A simulation of the mesh, in which every target decides on its next requests with the policy
//! code.

mod leader;
mod links;
mod targets;

use std::collections::BTreeMap;
use std::collections::VecDeque;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use filbertstack_core::Digest;
use filbertstack_core::Millis;
use filbertstack_core::declare::Weigh;
use filbertstack_policy::spread::grants::GrantConfig;
use filbertstack_policy::spread::grants::Grants;
use filbertstack_policy::spread::plan::Plan;
use filbertstack_policy::spread::plan::PlanConfig;
use filbertstack_policy::spread::plan::TargetKey;
use filbertstack_policy::spread::pull::PullConfig;

use super::Faults;
use super::Outcome;
use super::SLOW_ROUNDS;
use super::Setting;
use super::target::ModelTarget;
use super::target::PendingRequest;
use super::target::ROUND;
use super::target::Transfer;
use super::u64_to_f64;
use super::usize_to_f64;

/// The number of rounds until the leader notices that a target is lost.
const NOTICE_ROUNDS: u64 = 20;

/// The links and the timing of the mesh.
#[derive(Clone, Copy, Debug)]
pub struct MeshConfig {
    /// The graph of the upstreams.
    pub graph: Graph,
    /// Whether upstreams take turns by the mesh clock. Otherwise the upstream that was asked least
    /// recently is next.
    pub turns: bool,
    /// The number of exchanges that fit into a round, for targets whose first requests are refused.
    pub exchanges: usize,
    /// The percentage of agents whose clock is one round behind.
    pub late_percent: u32,
    /// The objective of the copy: a short time, or few bytes from the origin.
    pub weigh: Weigh,
    /// The number of regions. Each has `zones` zones.
    pub regions: usize,
    pub zones: usize,
    pub zone_first: bool,
}

/// The graph of the upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Graph {
    /// The upstreams of the plan's rings.
    Rings,
    /// This many upstreams at random.
    Random(usize),
}

impl MeshConfig {
    /// Returns the strategy that the product uses.
    pub fn chosen() -> Self {
        Self {
            graph: Graph::Rings,
            turns: true,
            exchanges: 4,
            late_percent: 0,
            weigh: Weigh::Time,
            regions: 1,
            zones: 1,
            zone_first: false,
        }
    }

    /// Returns the chosen strategy without turns: the upstream that was asked least recently is
    /// next.
    pub fn without_turns() -> Self {
        Self {
            turns: false,
            ..Self::chosen()
        }
    }

    /// Returns the chosen strategy with a percentage of agents whose clock is one round behind.
    pub fn with_late(late_percent: u32) -> Self {
        Self {
            late_percent,
            ..Self::chosen()
        }
    }

    /// Returns a strategy that requests the rarest chunk first from eight random upstreams.
    pub fn random() -> Self {
        Self {
            graph: Graph::Random(8),
            turns: false,
            ..Self::chosen()
        }
    }
}

/// An event during a simulation, in addition to the faults.
#[derive(Clone, Debug)]
pub enum Event {
    /// This many targets join.
    Join(usize),
    /// These chunks are wanted too.
    Publish(std::ops::Range<u32>),
    /// These chunks are no longer wanted.
    Retire(std::ops::Range<u32>),
    /// The leader is lost for this many rounds, and the next one has no state.
    LoseLeader(u64),
    /// These targets are lost.
    LoseTargets(Vec<usize>),
    /// One in this many targets takes this many rounds per transfer from now on.
    SlowDown(usize, u64),
}

/// A simulation of the mesh.
pub struct Simulation {
    setting: Setting,
    mesh: MeshConfig,
    rng: ChaCha8Rng,
    pub targets: Vec<ModelTarget>,
    plan: Plan,
    grants: Grants,
    target_index: BTreeMap<TargetKey, usize>,
    chunk_index: BTreeMap<Digest, u32>,
    digests: Vec<Digest>,
    wanted: Vec<bool>,
    transfers: Vec<Transfer>,
    origin_queue: VecDeque<PendingRequest>,
    losses: Vec<(u64, usize)>,
    leaderless_rounds: u64,
    pub round: u64,
    origin_sent: u64,
    region_crossings: u64,
    zone_crossings: u64,
    leader_messages: u64,
    agent_messages: u64,
    wasted: u64,
}

/// Runs a simulation of the mesh to its end.
pub fn run(mesh: MeshConfig, setting: &Setting, events: &[(u64, Event)]) -> Outcome {
    let published = events.iter().map(|(_, event)| match event {
        Event::Publish(range) => range.end,
        _ => 0,
    });
    let catalogue = published.max().unwrap_or(0).max(setting.chunks);
    let mut simulation = Simulation::new(mesh, setting, catalogue);
    let mut time = None;
    let last = events.iter().map(|(round, _)| *round).max().unwrap_or(0);
    // The slowest link needs five windows for a copy, and twice that if it also uploads as much.
    let end = 30 * u64::from(setting.chunks);
    while simulation.round < end {
        let round = simulation.round;
        for (_, event) in events.iter().filter(|(at, _)| *at == round) {
            simulation.apply(event);
        }
        simulation.step();
        let over = simulation.round > last;
        if over && time.is_none() && simulation.is_done(false) {
            time = Some(simulation.round);
        }
        if over && simulation.is_done(true) {
            break;
        }
    }
    let fast = time.expect("the copy ends while the model runs");
    simulation.outcome(fast)
}

impl Simulation {
    fn new(mesh: MeshConfig, setting: &Setting, catalogue: u32) -> Self {
        let digests: Vec<_> = (0..catalogue)
            .map(|chunk| Digest::of(&chunk.to_le_bytes()))
            .collect();
        let chunk_index = digests.iter().copied().zip(0..).collect();
        let mut simulation = Self {
            setting: *setting,
            mesh,
            rng: ChaCha8Rng::seed_from_u64(setting.seed),
            targets: Vec::new(),
            plan: Plan::new(PlanConfig {
                zone_first: mesh.zone_first,
                ..PlanConfig::default()
            }),
            grants: Grants::new(grant_limits(mesh.weigh)),
            target_index: BTreeMap::new(),
            chunk_index,
            digests,
            wanted: vec![false; catalogue as usize],
            transfers: Vec::new(),
            origin_queue: VecDeque::new(),
            losses: Vec::new(),
            leaderless_rounds: 0,
            round: 0,
            origin_sent: 0,
            region_crossings: 0,
            zone_crossings: 0,
            leader_messages: 0,
            agent_messages: 0,
            wasted: 0,
        };
        for _ in 0..setting.targets {
            simulation.join();
        }
        let all: Vec<_> = (0..setting.targets).collect();
        for at in all {
            simulation.update_upstreams(at);
        }
        simulation.publish(0..setting.chunks);
        if setting.faults == Faults::Mixed {
            let slow = simulation.sample_targets();
            for at in slow {
                simulation.targets[at].transfer_rounds = SLOW_ROUNDS;
            }
        }
        simulation
    }

    pub fn now(&self, at: usize) -> Millis {
        Millis(self.round * ROUND.0 + ROUND.0 / 2) + self.targets[at].skew
    }

    pub fn step(&mut self) {
        if self.setting.faults == Faults::Mixed && self.round == self.setting.loss_round() {
            let lost = self.sample_targets();
            self.apply(&Event::LoseTargets(lost));
        }
        self.run_leader();
        self.reset_links();
        self.serve_origin();
        for step in 0..self.mesh.exchanges {
            if !self.exchange(step + 1 == self.mesh.exchanges) {
                break;
            }
        }
        self.round += 1;
        self.complete_transfers();
    }

    pub fn is_done(&self, slow: bool) -> bool {
        let due = |target: &&ModelTarget| target.alive && (slow || target.transfer_rounds == 1);
        let mut due = self.targets.iter().filter(due);
        due.all(|target| target.pull.is_complete())
    }

    fn outcome(&self, fast: u64) -> Outcome {
        let chunks = f64::from(self.setting.chunks);
        let n = usize_to_f64(self.targets.len());
        let copies = |sent: u64| u64_to_f64(sent) / chunks;
        let time = u64_to_f64(fast) / self.setting.window();
        let slow = u64_to_f64(self.round) / self.setting.window();
        Outcome {
            time,
            ratio: time / self.setting.floor(),
            time_with_slow: self.is_done(true).then_some(slow),
            origin_copies: copies(self.origin_sent),
            region_copies: copies(self.region_crossings),
            zone_copies: copies(self.zone_crossings - self.region_crossings),
            leader_messages: u64_to_f64(self.leader_messages) / n,
            agent_messages: u64_to_f64(self.agent_messages) / n / chunks,
            incomplete: 0,
            wasted_copies: copies(self.wasted),
        }
    }
}

fn pull_limits() -> PullConfig {
    PullConfig {
        max_transfers: 4,
        transfer_timeout: Millis(300 * ROUND.0),
        duplicate_after: Millis(3 * ROUND.0),
        escalate_after: Millis(10 * ROUND.0),
        turn_length: ROUND,
    }
}

fn grant_limits(weigh: Weigh) -> GrantConfig {
    let lease = match weigh {
        Weigh::Time => Millis(30 * ROUND.0),
        Weigh::Origin => Millis(90 * ROUND.0),
    };
    GrantConfig {
        lease,
        ..GrantConfig::of(weigh)
    }
}
