//! A model test of the membership: seeds change, disks are lost, nodes restart and are cut off, in random
//! order.
//!
//! The model simulates the nodes around the pure decisions [`founding_size`], [`next_change`] and
//! [`LeaderSearch`]. It checks three properties: there is one group; the group never has fewer copies of
//! its log than the lost disks explain; and once all nodes are in contact again, every lost disk is
//! replaced, whichever nodes the seeds are. A search that asks the seeds alone violates the third one.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use filbertstack_gateway::control::contacts::Contact;
use filbertstack_gateway::control::membership::Newcomer;
use filbertstack_gateway::control::membership::founding_size;
use filbertstack_gateway::control::membership::next_change;
use filbertstack_gateway::control::search::LeaderSearch;
use filbertstack_gateway::link::messages::NodeStatus;
use filbertstack_log::Change;
use filbertstack_log::Member;
use filbertstack_log::Membership;
use filbertstack_log::NodeId;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::TestRunner;

/// The number of nodes with a disk, which have the lowest numbers.
const DISK_NODES: usize = 3;
/// The number of all nodes.
const NODES: usize = 7;

/// The rounds after which every possible repair is done: removal, addition and promotion of one newcomer
/// after the other, and the message to the seeds.
const SETTLE_ROUNDS: usize = 12;

/// Which nodes a newcomer asks.
#[derive(Clone, Copy, Debug, PartialEq)]
enum SearchScope {
    /// The seeds and the nodes that answers name.
    NamedNodes,
    /// The seeds alone.
    SeedsOnly,
}

#[derive(Clone, Debug)]
enum Step {
    /// Changes the seeds in the settings.
    ChangeSeeds(Vec<usize>),
    /// Restarts a node with an empty disk.
    LoseDisk(usize),
    /// Restarts a node with the content of its disk.
    Restart(usize),
    /// Cuts a node off from all others, or connects it again.
    Isolate(usize, bool),
    /// Restarts all nodes at once.
    RestartAll,
    /// Runs this many rounds.
    Rounds(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let node = 0..NODES;
    let step = prop_oneof![
        2 => prop::sample::subsequence((0..NODES).collect::<Vec<_>>(), 1..=3).prop_map(Step::ChangeSeeds),
        3 => (0..DISK_NODES).prop_map(Step::LoseDisk),
        2 => node.clone().prop_map(Step::Restart),
        2 => (node, any::<bool>()).prop_map(|(n, isolated)| Step::Isolate(n, isolated)),
        1 => Just(Step::RestartAll),
        4 => (1..8_usize).prop_map(Step::Rounds),
    ];
    prop::collection::vec(step, 1..24)
}

#[derive(Clone, Default)]
struct Node {
    /// The identity of its log, which changes with a lost disk. A node without a disk has none.
    identity: Option<u64>,
    /// Whether its disk holds the log.
    has_log: bool,
    /// The voters that it knows in memory.
    known_voters: Vec<usize>,
    isolated: bool,
    /// Whether this is its first start.
    first_start: bool,
}

struct Model {
    scope: SearchScope,
    nodes: Vec<Node>,
    seeds: Vec<usize>,
    group: Option<Membership>,
    created_groups: usize,
    last_identity: u64,
    newcomers: Vec<Newcomer>,
}

fn addr(n: usize) -> SocketAddr {
    format!("10.0.0.{}:7700", n + 1)
        .parse()
        .expect("an address")
}

fn node_at(text: &str) -> usize {
    (0..NODES)
        .find(|n| addr(*n).to_string() == text)
        .expect("an address of the model")
}

impl Model {
    fn new(scope: SearchScope) -> Self {
        let node = |n: usize| Node {
            identity: (n < DISK_NODES).then_some(n as u64 + 1),
            first_start: true,
            ..Node::default()
        };
        Self {
            scope,
            nodes: (0..NODES).map(node).collect(),
            seeds: (0..DISK_NODES).collect(),
            group: None,
            created_groups: 0,
            last_identity: 100,
            newcomers: Vec::new(),
        }
    }

    fn voters(&self) -> Vec<usize> {
        let group = self.group.iter();
        group
            .flat_map(|g| g.voters.iter().map(|m| node_at(&m.address)))
            .collect()
    }

    /// Returns whether the voter runs under this identity, holds the log and is not isolated.
    fn answers(&self, member: &Member) -> bool {
        let node = &self.nodes[node_at(&member.address)];
        node.identity == Some(member.node) && node.has_log && !node.isolated
    }

    fn leader(&self) -> Option<usize> {
        let group = self.group.as_ref()?;
        let answering: Vec<&Member> = group.voters.iter().filter(|m| self.answers(m)).collect();
        let majority = answering.len() * 2 > group.voters.len();
        majority.then(|| node_at(&answering[0].address))
    }

    fn standing(&self, n: usize) -> NodeStatus {
        let node = &self.nodes[n];
        let leader = self
            .leader()
            .filter(|_| node.has_log && self.voters().contains(&n));
        let voters = if node.has_log {
            self.voters()
        } else {
            node.known_voters.clone()
        };
        let voters = if node.identity.is_some() && !node.has_log {
            Vec::new()
        } else {
            voters
        };
        let members = self.group.iter().flat_map(|g| g.members().map(|m| m.node));
        NodeStatus {
            addr: addr(n).to_string(),
            node_id: node.identity.unwrap_or(0),
            cluster: u64::from(node.has_log),
            leader: leader.map_or(String::new(), |l| addr(l).to_string()),
            voters: voters.iter().map(|v| addr(*v).to_string()).collect(),
            members: members.collect(),
            ..NodeStatus::default()
        }
    }

    fn ask(&self, from: usize, n: usize) -> Option<NodeStatus> {
        let connected = !self.nodes[from].isolated && !self.nodes[n].isolated;
        (connected && from != n).then(|| self.standing(n))
    }

    fn search(&self, n: usize) -> LeaderSearch {
        let starts = self
            .seeds
            .iter()
            .chain(&self.nodes[n].known_voters)
            .map(|s| addr(*s));
        let mut search = LeaderSearch::new(addr(n), starts);
        loop {
            let asked = search.take_next();
            if asked.is_empty() {
                return search;
            }
            for node in asked {
                match self.ask(n, node_at(&node.to_string())) {
                    Some(standing) => search.record_answer(node, &standing),
                    None => search.record_failure(node, "cut off".into()),
                }
            }
            if self.scope == SearchScope::SeedsOnly {
                return search;
            }
        }
    }

    /// Runs one round of every node.
    fn run_round(&mut self) {
        for n in 0..NODES {
            let node = &self.nodes[n];
            if node.identity.is_some() && !node.has_log {
                self.form_group(n);
            } else if node.identity.is_none() {
                self.learn_voters(n);
            }
        }
        self.notify_seeds();
        self.repair_membership();
    }

    fn form_group(&mut self, n: usize) {
        let seeds: Vec<SocketAddr> = self.seeds.iter().map(|s| addr(*s)).collect();
        let answers: Vec<NodeStatus> = self.seeds.iter().filter_map(|s| self.ask(n, *s)).collect();
        let identity = self.nodes[n].identity.expect("a node with a disk");
        let member = Member {
            node: identity,
            name: format!("node-{n}"),
            address: addr(n).to_string(),
        };
        if let Some(wanted) = founding_size(self.nodes[n].first_start, addr(n), &seeds, &answers) {
            self.created_groups += 1;
            self.nodes[n].has_log = true;
            self.group = Some(Membership {
                voters: vec![member],
                learners: Vec::new(),
                forming: if wanted > 1 { wanted } else { 0 },
            });
            return;
        }
        let leader = self.search(n).leader().map(|l| node_at(&l.to_string()));
        let reachable = leader.is_some() && leader == self.leader();
        if reachable && !self.nodes[n].isolated {
            let newcomer = Newcomer {
                node: NodeId(identity),
                name: member.name,
                addr: addr(n),
            };
            self.newcomers.retain(|other| other.addr != newcomer.addr);
            self.newcomers.push(newcomer);
        }
    }

    /// Updates the voters that a node without a disk knows, from one of them or by a search.
    fn learn_voters(&mut self, n: usize) {
        let in_contact = |v: &usize| self.leader().is_some() && self.ask(n, *v).is_some();
        let has_contact = self.nodes[n].known_voters.iter().any(in_contact);
        let learned: Vec<usize> = if has_contact {
            self.voters()
        } else {
            let search = self.search(n);
            search
                .voters()
                .iter()
                .map(|v| node_at(&v.to_string()))
                .collect()
        };
        if !learned.is_empty() {
            self.nodes[n].known_voters = learned;
        }
    }

    fn notify_seeds(&mut self) {
        let voters = self.voters();
        for seed in self.seeds.clone() {
            let notified = voters
                .iter()
                .any(|v| self.nodes[*v].has_log && self.ask(seed, *v).is_some());
            if notified {
                self.nodes[seed].known_voters.clone_from(&voters);
            }
        }
    }

    fn repair_membership(&mut self) {
        let Some(leader) = self.leader() else {
            return;
        };
        let leader = NodeId(self.nodes[leader].identity.expect("a voter has a disk"));
        let group = self.group.clone().expect("a group with a leader");
        let contact = |member: &Member| {
            let answers = self.answers(member) || self.can_copy(member);
            Contact {
                silence: Duration::from_secs(if answers { 0 } else { 60 }),
                leaving: false,
            }
        };
        if let Some(change) = next_change(leader, &group, &self.newcomers, contact) {
            self.apply(change);
        }
        self.newcomers.clear();
    }

    /// Returns whether a learner is available to copy the log.
    fn can_copy(&self, member: &Member) -> bool {
        let node = &self.nodes[node_at(&member.address)];
        node.identity == Some(member.node) && !node.isolated
    }

    fn apply(&mut self, change: Change) {
        let group = self.group.as_mut().expect("a group");
        match change {
            Change::AddLearner(member) => group.learners.push(member),
            Change::Remove(node) => {
                group.voters.retain(|m| m.id() != node);
                group.learners.retain(|m| m.id() != node);
            }
            Change::Promote(node) => {
                let position = group.learners.iter().position(|m| m.id() == node);
                let member = group.learners.remove(position.expect("a learner"));
                self.nodes[node_at(&member.address)].has_log = true;
                group.voters.push(member);
                if group.voters.len() >= group.forming as usize {
                    group.forming = 0;
                }
            }
            Change::Move(_) => panic!("the model never moves a member"),
        }
    }

    /// Returns how many voters still hold the log on the disk with which they became voters.
    fn log_copies(&self) -> usize {
        let group = self.group.iter().flat_map(|g| &g.voters);
        let holds_log = |m: &&Member| {
            let node = &self.nodes[node_at(&m.address)];
            node.identity == Some(m.node) && node.has_log
        };
        group.filter(holds_log).count()
    }

    fn restart(&mut self, n: usize) {
        self.nodes[n].known_voters.clear();
        // The platform marks only the first start of the whole system as a first start.
        self.nodes[n].first_start = false;
    }

    fn run_step(&mut self, step: &Step) {
        match step {
            Step::ChangeSeeds(seeds) => self.seeds.clone_from(seeds),
            // The model loses one disk at a time: the next only after the previous one is replaced.
            Step::LoseDisk(n) if self.log_copies() == DISK_NODES => {
                self.last_identity += 1;
                self.nodes[*n].identity = Some(self.last_identity);
                self.nodes[*n].has_log = false;
                self.restart(*n);
            }
            Step::LoseDisk(_) => {}
            Step::Restart(n) => self.restart(*n),
            Step::Isolate(n, isolated) => self.nodes[*n].isolated = *isolated,
            Step::RestartAll => (0..NODES).for_each(|n| self.restart(n)),
            Step::Rounds(count) => (0..*count).for_each(|_| self.run_round()),
        }
    }

    fn check(&self) -> Result<(), TestCaseError> {
        prop_assert!(
            self.created_groups <= 1,
            "{} groups were created",
            self.created_groups
        );
        if self.group.as_ref().is_some_and(|g| g.forming == 0) {
            prop_assert!(
                self.log_copies() >= DISK_NODES - 1,
                "more copies of the log were lost than disks"
            );
        }
        Ok(())
    }
}

fn run_steps(scope: SearchScope, steps: &[Step]) -> Result<(), TestCaseError> {
    let mut model = Model::new(scope);
    (0..SETTLE_ROUNDS).for_each(|_| model.run_round());
    for step in steps {
        model.run_step(step);
        model.check()?;
    }
    model
        .nodes
        .iter_mut()
        .for_each(|node| node.isolated = false);
    for _ in 0..SETTLE_ROUNDS {
        model.run_round();
        model.check()?;
    }
    let voters: BTreeSet<usize> = model.voters().into_iter().collect();
    let expected: BTreeSet<usize> = (0..DISK_NODES).collect();
    prop_assert_eq!(voters, expected, "every node with a disk is a voter");
    prop_assert_eq!(model.log_copies(), DISK_NODES, "every voter holds the log");
    Ok(())
}

fn runner() -> TestRunner {
    let config = Config {
        cases: 2_000,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(
        config,
        proptest::test_runner::TestRng::deterministic_rng(
            proptest::test_runner::RngAlgorithm::ChaCha,
        ),
    )
}

#[test]
fn lost_disks_are_replaced_whatever_the_seeds_are() {
    let result = runner().run(&steps(), |steps| run_steps(SearchScope::NamedNodes, &steps));
    if let Err(error) = result {
        panic!("{error}");
    }
}

/// Checks that the model finds a fault of a search that asks the seeds alone: after the seeds are changed to
/// nodes without a disk and a disk is lost, no seed names a leader and the voter is never replaced.
#[test]
fn a_search_of_the_seeds_alone_leaves_a_lost_disk() {
    let result = runner().run(&steps(), |steps| run_steps(SearchScope::SeedsOnly, &steps));
    assert!(result.is_err(), "the model must find the fault");
    let steps = [
        Step::ChangeSeeds(vec![4, 5, 6]),
        Step::Rounds(2),
        Step::LoseDisk(2),
    ];
    assert!(run_steps(SearchScope::SeedsOnly, &steps).is_err());
    assert!(run_steps(SearchScope::NamedNodes, &steps).is_ok());
}
