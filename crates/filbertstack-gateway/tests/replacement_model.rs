//! A model in virtual time of the replacement of voters: losses, successors, freezes, restarts and planned stops,
//! alone and in random order.
//!
//! The model runs the pure decisions [`next_change`] and [`Contacts`] at each voter. It checks what operators are
//! promised: once nothing has happened for [`STABILITY`], any disks that the group is meant to lose may be lost
//! together with the power of all other instances, and a majority of the voters still holds the log.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use filbertstack_gateway::control::contacts::Contact;
use filbertstack_gateway::control::contacts::Contacts;
use filbertstack_gateway::control::membership::Newcomer;
use filbertstack_gateway::control::membership::next_change;
use filbertstack_log::Change;
use filbertstack_log::Member;
use filbertstack_log::Membership;
use filbertstack_log::NodeId;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

/// The time after the last event from which on disks may be lost again.
const STABILITY: Duration = Duration::from_secs(3);

/// The step of the model's time.
const TICK: Duration = Duration::from_millis(10);

const HEARTBEAT: Duration = Duration::from_millis(100);
const PULSE: Duration = Duration::from_millis(200);
const ELECTION_MS: std::ops::Range<u64> = 450..900;
const MAINTENANCE_MS: std::ops::Range<u64> = 150..350;

/// How long a newcomer copies the log.
const COPY_MS: std::ops::Range<u64> = 50..300;

/// How long the system runs after the last event of a scenario.
const SETTLE: Duration = Duration::from_secs(14);

/// The seeds with which each scenario runs.
const SEEDS: u64 = 200;

const JOIN_VALIDITY: Duration = Duration::from_secs(2);

/// By which rules the leader changes the group.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Rules {
    /// Those of the product.
    Current,
    /// A successor votes beside the voter that it replaces, which is removed after nine seconds.
    Beside,
    /// A voter hears no others while it follows.
    LeaderHears,
    /// A stopping voter does not announce it.
    SilentStop,
}

/// An event of a scenario.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A voter is gone for good.
    Lose(usize),
    /// The leader is gone for good.
    LoseLeader,
    /// An instance with an empty disk starts at a new address.
    Start,
    /// A voter begins a planned stop; it ends after this time, for good.
    Stop(usize, Duration),
    /// A voter comes back with an empty disk.
    Wipe(usize),
    /// An instance stands still, or runs again.
    Freeze(usize),
    Thaw(usize),
    /// All processes restart.
    RestartAll,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Running,
    Frozen,
    Gone,
}

struct Instance {
    addr: SocketAddr,
    id: u64,
    state: State,
    /// Since when it has been running.
    ran_since: Duration,
    /// Whether its disk holds the log.
    has_log: bool,
    contacts: Contacts,
    leaving: bool,
    ends_at: Option<Duration>,
    join_at: Duration,
    copied_at: Option<Duration>,
}

struct Model {
    rules: Rules,
    origin: Instant,
    now: Duration,
    rng: ChaCha8Rng,
    instances: Vec<Instance>,
    group: Membership,
    leader: Option<usize>,
    election_at: Option<Duration>,
    maintain_at: Duration,
    newcomers: Vec<(Newcomer, Duration)>,
    last_event: Duration,
    /// How many disks may be lost at once.
    tolerance: usize,
    last_id: u64,
    started: usize,
    lost: usize,
    violations: Vec<String>,
}

fn addr(n: usize) -> SocketAddr {
    format!("10.0.0.{}:7700", n + 1)
        .parse()
        .expect("an address")
}

fn member(instance: &Instance) -> Member {
    Member {
        node: instance.id,
        name: instance.addr.to_string(),
        address: instance.addr.to_string(),
    }
}

impl Model {
    fn new(rules: Rules, size: usize, seed: u64) -> Self {
        let mut model = Self {
            rules,
            origin: Instant::now(),
            now: Duration::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
            instances: Vec::new(),
            group: Membership::default(),
            leader: Some(0),
            election_at: None,
            maintain_at: Duration::ZERO,
            newcomers: Vec::new(),
            last_event: Duration::ZERO,
            tolerance: (size - 1) / 2,
            last_id: 0,
            started: 0,
            lost: 0,
            violations: Vec::new(),
        };
        for _ in 0..size {
            model.add_instance(true);
        }
        model.group.voters = model.instances.iter().map(member).collect();
        model
    }

    fn add_instance(&mut self, has_log: bool) {
        self.last_id += 1;
        let instance = Instance {
            addr: addr(self.instances.len()),
            id: self.last_id,
            state: State::Running,
            ran_since: self.now,
            has_log,
            contacts: Contacts::new(self.time()),
            leaving: false,
            ends_at: None,
            join_at: self.now + Duration::from_millis(400),
            copied_at: None,
        };
        self.instances.push(instance);
    }

    fn time(&self) -> Instant {
        self.origin + self.now
    }

    fn millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    fn instance_of(&self, member: &Member) -> Option<usize> {
        self.instances.iter().position(|i| i.id == member.node)
    }

    /// Returns whether a voter answers messages of the log.
    fn answers(&self, member: &Member) -> bool {
        self.instance_of(member).is_some_and(|n| {
            let instance = &self.instances[n];
            instance.state == State::Running && instance.has_log
        })
    }

    fn answering(&self, group: &Membership) -> usize {
        group.voters.iter().filter(|m| self.answers(m)).count()
    }

    fn apply_event(&mut self, event: Event) {
        self.last_event = self.now;
        match event {
            Event::Lose(n) => self.lose(n),
            Event::LoseLeader => {
                let leader = self.leader.expect("a leader");
                self.lose(leader);
            }
            Event::Start => {
                self.started += 1;
                self.add_instance(false);
            }
            Event::Stop(n, span) => {
                let ends_at = self.now + span;
                self.lost += 1;
                let instance = &mut self.instances[n];
                instance.leaving = self.rules != Rules::SilentStop;
                instance.ends_at = Some(ends_at);
                if self.leader == Some(n) {
                    let others = 0..self.instances.len();
                    let mut others = others.filter(|o| *o != n && self.is_running_voter(*o));
                    self.leader = others.next();
                    self.newcomers.clear();
                }
            }
            Event::Wipe(n) => {
                self.last_id += 1;
                let id = self.last_id;
                let join_at = self.now + Duration::from_millis(400);
                let now = self.time();
                let instance = &mut self.instances[n];
                instance.id = id;
                instance.has_log = false;
                instance.copied_at = None;
                instance.contacts = Contacts::new(now);
                instance.join_at = join_at;
                if self.leader == Some(n) {
                    self.drop_leader();
                }
            }
            Event::Freeze(n) => self.instances[n].state = State::Frozen,
            // It may have ended while it was frozen.
            Event::Thaw(n) if self.instances[n].state != State::Frozen => {}
            Event::Thaw(n) => {
                self.instances[n].state = State::Running;
                self.instances[n].ran_since = self.now;
            }
            Event::RestartAll => {
                let now = self.time();
                for instance in &mut self.instances {
                    instance.contacts = Contacts::new(now);
                    instance.ran_since = self.now;
                }
                self.drop_leader();
            }
        }
    }

    fn lose(&mut self, n: usize) {
        self.lost += 1;
        self.instances[n].state = State::Gone;
        if self.leader == Some(n) {
            self.drop_leader();
        }
    }

    fn is_running_voter(&self, n: usize) -> bool {
        let instance = &self.instances[n];
        self.group.is_voter(NodeId(instance.id))
            && instance.state == State::Running
            && instance.has_log
    }

    fn drop_leader(&mut self) {
        self.leader = None;
        self.newcomers.clear();
        let wait = self.millis(ELECTION_MS);
        self.election_at = Some(self.now + wait);
    }

    fn elect(&mut self) {
        if let Some(leader) = self.leader {
            let deposed =
                !self.is_running_voter(leader) || self.answering(&self.group) < self.group.quorum();
            if deposed {
                self.drop_leader();
            }
            return;
        }
        if self.election_at.is_some_and(|at| self.now < at) {
            return;
        }
        let candidates = (0..self.instances.len()).filter(|n| self.is_running_voter(*n));
        let candidates: Vec<usize> = candidates.collect();
        if candidates.len() < self.group.quorum() {
            let wait = self.millis(ELECTION_MS);
            self.election_at = Some(self.now + wait);
            return;
        }
        let choice = self.rng.random_range(0..candidates.len());
        self.leader = Some(candidates[choice]);
        let wait = self.millis(0..MAINTENANCE_MS.end);
        self.maintain_at = self.now + wait;
    }

    /// Delivers what running instances send now. Each sends at times of its own.
    fn exchange_messages(&mut self) {
        let now = self.time();
        let due = |id: u64, span: Duration| {
            let phase = u128::from(id * 30);
            (self.now.as_millis() + phase).is_multiple_of(span.as_millis())
        };
        let running = self.instances.iter();
        let running = running.filter(|i| i.state == State::Running);
        let signs: Vec<(u64, SocketAddr, bool)> =
            running.map(|i| (i.id, i.addr, i.leaving)).collect();
        if let Some(leader) = self.leader {
            for (id, ..) in signs.iter().filter(|(id, ..)| due(*id, HEARTBEAT)) {
                if self.group.members().any(|m| m.node == *id) {
                    let contacts = &mut self.instances[leader].contacts;
                    contacts.record_message(NodeId(*id), now);
                }
            }
        }
        for n in 0..self.instances.len() {
            let follows = self.leader != Some(n) && self.rules != Rules::LeaderHears;
            let instance = &mut self.instances[n];
            if instance.state != State::Running {
                continue;
            }
            for (id, addr, leaving) in signs.iter().filter(|(id, ..)| due(*id, PULSE)) {
                let node = follows.then_some(NodeId(*id));
                instance
                    .contacts
                    .record_heartbeat(*addr, *leaving, node, now);
            }
        }
    }

    fn join(&mut self) {
        for n in 0..self.instances.len() {
            let instance = &self.instances[n];
            let outside = !self.group.members().any(|m| m.node == instance.id);
            let due = self.now >= instance.join_at && !instance.leaving;
            if instance.state != State::Running || !outside || !due {
                continue;
            }
            let wait = self.millis(MAINTENANCE_MS);
            let instance = &mut self.instances[n];
            instance.join_at = self.now + wait;
            let newcomer = Newcomer {
                node: NodeId(instance.id),
                name: instance.addr.to_string(),
                addr: instance.addr,
            };
            let now = self.time();
            if let Some(leader) = self.leader {
                self.newcomers.retain(|(o, _)| o.addr != newcomer.addr);
                let contacts = &mut self.instances[leader].contacts;
                contacts.record_join(newcomer.node, newcomer.addr, now);
                self.newcomers.push((newcomer, self.now));
            }
        }
    }

    fn maintain(&mut self) {
        let Some(leader) = self.leader.filter(|_| self.now >= self.maintain_at) else {
            return;
        };
        let wait = self.millis(MAINTENANCE_MS);
        self.maintain_at = self.now + wait;
        for _ in 0..3 {
            let now = self.now;
            self.newcomers
                .retain(|(_, at)| now.saturating_sub(*at) < JOIN_VALIDITY);
            let newcomers: Vec<Newcomer> = self.newcomers.iter().map(|(n, _)| n.clone()).collect();
            let id = NodeId(self.instances[leader].id);
            let time = self.time();
            let contacts = &self.instances[leader].contacts;
            let contact = |member: &Member| contacts.contact(member, time);
            let change = match self.rules {
                Rules::Beside => change_beside(id, &self.group, &newcomers, contact),
                _ => next_change(id, &self.group, &newcomers, contact),
            };
            if !change.is_some_and(|change| self.apply_change(&change)) {
                return;
            }
        }
    }

    /// Applies a change if a majority after it answers, as the log requires.
    fn apply_change(&mut self, change: &Change) -> bool {
        let Ok(next) = self.group.with_change(change) else {
            return false;
        };
        if let Change::Promote(node) = change {
            let learner = self.instances.iter_mut().find(|i| i.id == node.0);
            let learner = learner.expect("an instance");
            if learner.copied_at.is_none_or(|at| self.now < at) {
                return false;
            }
            learner.has_log = true;
        }
        if self.answering(&next) < next.quorum() {
            return false;
        }
        if let Change::AddLearner(member) = change {
            let n = self.instance_of(member).expect("an instance");
            let span = self.millis(COPY_MS);
            let running = self.instances[n].state == State::Running;
            self.instances[n].copied_at = running.then_some(self.now + span);
        }
        if let Change::Remove(node) = change {
            self.check_removal(*node);
        }
        self.group = next;
        true
    }

    /// Checks that a voter that has been answering for some time is not removed by a leader that runs as long.
    fn check_removal(&mut self, node: NodeId) {
        let answering = |instance: &Instance| {
            instance.state == State::Running
                && instance.has_log
                && instance.ends_at.is_none()
                && self.now >= instance.ran_since + ms(500)
        };
        let leader = self.leader.expect("a leader");
        let removed = self.instances.iter().find(|i| i.id == node.0);
        if answering(&self.instances[leader]) && removed.is_some_and(answering) {
            let text = format!("{:?}: voter {node} answers and is removed", self.now);
            self.violations.push(text);
        }
    }

    /// Checks that enough voters hold the log after the loss of any disks that may be lost now.
    fn check(&mut self) {
        let frozen = self.instances.iter().any(|i| i.state == State::Frozen);
        if frozen || self.now < self.last_event + STABILITY {
            return;
        }
        let absent = self.lost.saturating_sub(self.started);
        let losses = self.tolerance.saturating_sub(absent);
        let holds = |m: &&Member| {
            self.instance_of(m).is_some_and(|n| {
                let instance = &self.instances[n];
                instance.state != State::Gone && instance.has_log
            })
        };
        let holding = self.group.voters.iter().filter(holds).count();
        if holding < self.group.quorum() + losses {
            let text = format!(
                "{:?}: {holding} of {} voters hold the log, {losses} may be lost",
                self.now,
                self.group.voters.len()
            );
            self.violations.push(text);
        }
    }

    fn tick(&mut self) {
        self.now += TICK;
        for n in 0..self.instances.len() {
            if self.instances[n].ends_at.is_some_and(|at| self.now >= at) {
                self.instances[n].ends_at = None;
                self.instances[n].state = State::Gone;
            }
        }
        self.elect();
        self.exchange_messages();
        self.join();
        self.maintain();
        self.check();
    }

    fn run_for(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.tick();
        }
    }
}

/// The decisions by which a successor votes beside the voter that it replaces.
fn change_beside(
    leader: NodeId,
    current: &Membership,
    newcomers: &[Newcomer],
    contact: impl Fn(&Member) -> Contact,
) -> Option<Change> {
    let silent = |m: &Member, ms: u64| contact(m).silence >= Duration::from_millis(ms);
    let others = || current.voters.iter().filter(|m| m.id() != leader);
    if let Some(learner) = current.learners.first() {
        return Some(if silent(learner, 2_500) {
            Change::Remove(learner.id())
        } else {
            Change::Promote(learner.id())
        });
    }
    let known = |n: &Newcomer| current.members().any(|m| m.id() == n.node);
    if let Some(newcomer) = newcomers.iter().find(|n| !known(n)) {
        let address = newcomer.addr.to_string();
        let old = others().find(|m| m.address == address || silent(m, 2_500));
        return Some(match old {
            Some(old) => Change::Remove(old.id()),
            None => Change::AddLearner(Member {
                node: newcomer.node.0,
                name: newcomer.name.clone(),
                address,
            }),
        });
    }
    let lost = others().find(|m| silent(m, 9_000) && current.voters.len() > 3)?;
    Some(Change::Remove(lost.id()))
}

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Runs a scenario, whose events are given with the time after the one before, and returns the violations.
fn run(rules: Rules, size: usize, events: &[(u64, Event)], seed: u64) -> Vec<String> {
    let mut model = Model::new(rules, size, seed);
    model.run_for(ms(4_000));
    for (gap, event) in events {
        model.run_for(ms(*gap));
        model.apply_event(*event);
    }
    model.run_for(SETTLE);
    model.violations
}

/// The failure that a scenario guards against, the number of voters, and the events.
type Scenario = (&'static str, usize, Vec<(u64, Event)>);

fn scenarios() -> Vec<Scenario> {
    let mut all = losses();
    all.extend(planned_stops());
    all
}

fn planned_stops() -> Vec<Scenario> {
    use Event::*;
    vec![
        (
            "a planned replacement leaves the old voter in the group",
            3,
            vec![(0, Start), (2_000, Stop(2, ms(8_000)))],
        ),
        (
            "a stop of the leader before its successor comes",
            3,
            vec![(0, Stop(0, ms(3_500))), (1_000, Start)],
        ),
        (
            "a stopped voter is gone before its successor comes",
            3,
            vec![(0, Stop(1, ms(200))), (1_000, Start)],
        ),
        (
            "a planned replacement of one of six",
            6,
            vec![(0, Start), (2_000, Stop(2, ms(5_000)))],
        ),
    ]
}

fn losses() -> Vec<Scenario> {
    use Event::*;
    vec![
        (
            "a lost voter counts beside its successor",
            3,
            vec![(0, Lose(2)), (1_400, Start)],
        ),
        (
            "a successor starts before the leader suspects the loss",
            3,
            vec![(0, Lose(2)), (100, Start)],
        ),
        (
            "a lost leader counts beside its successor",
            3,
            vec![(0, LoseLeader), (1_000, Start)],
        ),
        (
            "a leader that was elected after the loss counts the silence anew",
            3,
            vec![
                (0, Lose(2)),
                (800, Freeze(0)),
                (1_500, Start),
                (700, Thaw(0)),
            ],
        ),
        (
            "a newcomer dies while it copies the log",
            3,
            vec![(0, Lose(2)), (1_000, Start), (500, Lose(3)), (1_000, Start)],
        ),
        (
            "a newcomer dies as soon as it votes",
            3,
            vec![(0, Start), (900, Lose(3)), (4_000, Start)],
        ),
        (
            "two replacements follow each other",
            3,
            vec![
                (0, Lose(2)),
                (1_000, Start),
                (3_100, Lose(1)),
                (1_000, Start),
            ],
        ),
        (
            "a voter is replaced while another is frozen",
            3,
            vec![
                (0, Freeze(1)),
                (300, Lose(2)),
                (800, Start),
                (3_000, Thaw(1)),
            ],
        ),
        (
            "a voter lost its disk while another is frozen",
            3,
            vec![(0, Freeze(1)), (300, Wipe(2)), (3_000, Thaw(1))],
        ),
        (
            "all restart while a successor joins",
            3,
            vec![(0, Lose(2)), (1_000, Start), (600, RestartAll)],
        ),
        (
            "a new leader has not heard a voter yet",
            6,
            vec![(0, LoseLeader), (6_000, Start)],
        ),
        (
            "two of five are replaced at once",
            5,
            vec![(0, Lose(3)), (0, Lose(4)), (1_000, Start), (0, Start)],
        ),
        (
            "two of six are replaced one after the other",
            6,
            vec![
                (0, Lose(5)),
                (1_000, Start),
                (3_100, Lose(4)),
                (1_000, Start),
            ],
        ),
    ]
}

#[test]
fn disks_may_be_lost_again_soon_after_a_replacement() {
    let mut violations = Vec::new();
    for (name, size, events) in scenarios() {
        for seed in 0..SEEDS {
            let found = run(Rules::Current, size, &events, seed);
            violations.extend(found.first().map(|v| format!("{name}, seed {seed}: {v}")));
        }
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// Returns the scenarios that break under `rules` with some seed.
fn broken(rules: Rules) -> Vec<&'static str> {
    let all = scenarios().into_iter();
    let fails = |size, events: &[(u64, Event)]| {
        (0..SEEDS).any(|seed| !run(rules, size, events, seed).is_empty())
    };
    let broken = all.filter(|(_, size, events)| fails(*size, events));
    broken.map(|(name, ..)| name).collect()
}

/// Checks that the model finds the faults of rules that were in use before.
#[test]
fn the_model_finds_earlier_faults() {
    let beside = broken(Rules::Beside);
    assert!(
        beside.contains(&"a lost voter counts beside its successor"),
        "{beside:?}"
    );
    let hears = broken(Rules::LeaderHears);
    assert!(
        hears.contains(&"a new leader has not heard a voter yet"),
        "{hears:?}"
    );
    let silent = broken(Rules::SilentStop);
    assert!(
        silent.contains(&"a planned replacement leaves the old voter in the group"),
        "{silent:?}"
    );
}

/// Draws events in random order. A disk is lost only when nothing has happened for [`STABILITY`], as the group
/// tolerates no more.
fn run_random(size: usize, seed: u64) -> Vec<String> {
    let mut model = Model::new(Rules::Current, size, seed);
    model.run_for(ms(4_000));
    let mut frozen: Option<usize> = None;
    for _ in 0..12 {
        let gap = model.rng.random_range(50..4_500);
        model.run_for(ms(gap));
        let calm = model.now >= model.last_event + STABILITY;
        let absent = model.lost - model.started;
        let running = (0..model.instances.len()).filter(|n| model.is_running_voter(*n));
        let running: Vec<usize> = running.collect();
        let pick = running[model.rng.random_range(0..running.len())];
        let event = match (model.rng.random_range(0..8), frozen) {
            (0 | 1, None) => Event::Freeze(pick),
            (0 | 1, Some(n)) => Event::Thaw(n),
            (2, None) if calm && absent == 0 => Event::Lose(pick),
            (3, None) if calm && absent == 0 => Event::LoseLeader,
            (4, None) if calm && absent == 0 => Event::Wipe(pick),
            (5, None) if calm && absent == 0 => Event::Stop(pick, ms(gap)),
            (6, None) => Event::RestartAll,
            _ if absent > 0 => Event::Start,
            _ => continue,
        };
        match event {
            Event::Freeze(n) => frozen = Some(n),
            Event::Thaw(_) => frozen = None,
            _ => {}
        }
        model.apply_event(event);
    }
    if let Some(n) = frozen {
        model.apply_event(Event::Thaw(n));
    }
    model.run_for(SETTLE);
    model.violations
}

#[test]
fn disks_may_be_lost_again_after_random_events() {
    for size in [3, 5, 6] {
        for seed in 0..300 {
            let violations = run_random(size, seed);
            assert!(
                violations.is_empty(),
                "{size} voters, seed {seed}: {}",
                violations[0]
            );
        }
    }
}
