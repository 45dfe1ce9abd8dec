//! The mesh: every target decides for itself what to request next, by the real policy code.

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
use super::SLOW;
use super::Setting;
use super::count;
use super::node::Node;
use super::node::ROUND;
use super::node::Transfer;
use super::node::Waiting;
use super::real;

/// The rounds after which the leader notices that a target is lost.
const NOTICE: u64 = 20;

/// How the mesh is linked and timed.
#[derive(Clone, Copy, Debug)]
pub struct Mesh {
    /// Who is linked to whom.
    pub graph: Graph,
    /// Whether upstreams take turns by the mesh clock; else the one asked longest ago is next.
    pub turns: bool,
    /// The requests that fit into a round one after the other, when the first are refused.
    pub steps: usize,
    /// How many agents in a hundred take a round for the one before.
    pub late: u32,
    /// What the copy is planned for.
    pub weigh: Weigh,
    /// The regions, and the zones in each.
    pub regions: usize,
    pub zones: usize,
    pub zone_first: bool,
}

/// Who is linked to whom.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Graph {
    /// By the plan's rings.
    Rings,
    /// To this many others by chance.
    Random(usize),
}

impl Mesh {
    /// The way that is chosen.
    pub fn chosen() -> Self {
        Self {
            graph: Graph::Rings,
            turns: true,
            steps: 4,
            late: 0,
            weigh: Weigh::Time,
            regions: 1,
            zones: 1,
            zone_first: false,
        }
    }

    /// The same links, where the upstream asked longest ago is next.
    pub fn turnless() -> Self {
        Self {
            turns: false,
            ..Self::chosen()
        }
    }

    /// The chosen way among agents of which so many in a hundred take a round for the one before.
    pub fn late(late: u32) -> Self {
        Self {
            late,
            ..Self::chosen()
        }
    }

    /// Rarest first among eight random neighbours.
    pub fn plain() -> Self {
        Self {
            graph: Graph::Random(8),
            turns: false,
            ..Self::chosen()
        }
    }
}

/// What happens in a run, beside the faults.
#[derive(Clone, Debug)]
pub enum Event {
    /// This many targets join.
    Join(usize),
    /// These chunks are wanted too.
    Publish(std::ops::Range<u32>),
    /// These chunks are wanted no more.
    Retire(std::ops::Range<u32>),
    /// The leader is lost for so many rounds, and the next one knows nothing.
    Lead(u64),
    /// These targets are lost.
    Lose(Vec<usize>),
    /// One in so many targets takes so many rounds for a transfer from now on.
    Crawl(usize, u64),
}

/// A run of the mesh.
pub struct World {
    setting: Setting,
    mesh: Mesh,
    rng: ChaCha8Rng,
    pub nodes: Vec<Node>,
    plan: Plan,
    tokens: Grants,
    index: BTreeMap<TargetKey, usize>,
    chunks: BTreeMap<Digest, u32>,
    digests: Vec<Digest>,
    wanted: Vec<bool>,
    transfers: Vec<Transfer>,
    origin: VecDeque<Waiting>,
    lost: Vec<(u64, usize)>,
    leaderless: u64,
    pub round: u64,
    sent: u64,
    regions: u64,
    zones: u64,
    leader: u64,
    chat: u64,
    wasted: u64,
}

/// Runs the mesh to its end.
pub fn run(mesh: Mesh, setting: &Setting, events: &[(u64, Event)]) -> Outcome {
    let published = events.iter().map(|(_, event)| match event {
        Event::Publish(range) => range.end,
        _ => 0,
    });
    let catalogue = published.max().unwrap_or(0).max(setting.chunks);
    let mut world = World::new(mesh, setting, catalogue);
    let mut time = None;
    let last = events.iter().map(|(round, _)| *round).max().unwrap_or(0);
    // The slowest link needs five windows for a copy, twice that if its upload is not spared.
    let end = 30 * u64::from(setting.chunks);
    while world.round < end {
        let round = world.round;
        for (_, event) in events.iter().filter(|(at, _)| *at == round) {
            world.happen(event);
        }
        world.step();
        let over = world.round > last;
        if over && time.is_none() && world.is_done(false) {
            time = Some(world.round);
        }
        if over && world.is_done(true) {
            break;
        }
    }
    let fast = time.expect("the copy ends while the model runs");
    world.outcome(fast)
}

impl World {
    fn new(mesh: Mesh, setting: &Setting, catalogue: u32) -> Self {
        let digests: Vec<_> = (0..catalogue)
            .map(|chunk| Digest::of(&chunk.to_le_bytes()))
            .collect();
        let chunks = digests.iter().copied().zip(0..).collect();
        let mut world = Self {
            setting: *setting,
            mesh,
            rng: ChaCha8Rng::seed_from_u64(setting.seed),
            nodes: Vec::new(),
            plan: Plan::new(PlanConfig {
                zone_first: mesh.zone_first,
                ..PlanConfig::default()
            }),
            tokens: Grants::new(tokens(mesh.weigh)),
            index: BTreeMap::new(),
            chunks,
            digests,
            wanted: vec![false; catalogue as usize],
            transfers: Vec::new(),
            origin: VecDeque::new(),
            lost: Vec::new(),
            leaderless: 0,
            round: 0,
            sent: 0,
            regions: 0,
            zones: 0,
            leader: 0,
            chat: 0,
            wasted: 0,
        };
        for _ in 0..setting.targets {
            world.join();
        }
        let all: Vec<_> = (0..setting.targets).collect();
        for at in all {
            world.link(at);
        }
        world.publish(0..setting.chunks);
        if setting.faults == Faults::Mixed {
            let slow = world.pick();
            for at in slow {
                world.nodes[at].slow = SLOW;
            }
        }
        world
    }

    pub fn now(&self, at: usize) -> Millis {
        Millis(self.round * ROUND.0 + ROUND.0 / 2) + self.nodes[at].skew
    }

    pub fn step(&mut self) {
        if self.setting.faults == Faults::Mixed && self.round == self.setting.midway() {
            let lost = self.pick();
            self.happen(&Event::Lose(lost));
        }
        self.lead();
        self.open_links();
        self.serve_origin();
        for step in 0..self.mesh.steps {
            if !self.negotiate(step + 1 == self.mesh.steps) {
                break;
            }
        }
        self.round += 1;
        self.arrive();
    }

    pub fn is_done(&self, slow: bool) -> bool {
        let due = |node: &&Node| node.alive && (slow || node.slow == 1);
        let mut due = self.nodes.iter().filter(due);
        due.all(|node| node.pull.is_complete())
    }

    fn outcome(&self, fast: u64) -> Outcome {
        let chunks = f64::from(self.setting.chunks);
        let n = count(self.nodes.len());
        let copies = |sent: u64| real(sent) / chunks;
        let time = real(fast) / self.setting.window();
        let slow = real(self.round) / self.setting.window();
        Outcome {
            time,
            ratio: time / self.setting.floor(),
            slow: self.is_done(true).then_some(slow),
            origin: copies(self.sent),
            regions: copies(self.regions),
            zones: copies(self.zones - self.regions),
            leader: real(self.leader) / n,
            chat: real(self.chat) / n / chunks,
            without: 0,
            wasted: copies(self.wasted),
        }
    }
}

fn limits() -> PullConfig {
    PullConfig {
        max_transfers: 4,
        transfer_timeout: Millis(300 * ROUND.0),
        duplicate_after: Millis(3 * ROUND.0),
        escalate_after: Millis(10 * ROUND.0),
        turn_length: ROUND,
    }
}

fn tokens(weigh: Weigh) -> GrantConfig {
    let lease = match weigh {
        Weigh::Time => Millis(30 * ROUND.0),
        Weigh::Origin => Millis(90 * ROUND.0),
    };
    GrantConfig {
        lease,
        ..GrantConfig::of(weigh)
    }
}
