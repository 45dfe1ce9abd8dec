//! Membership while seeds change, disks are lost, nodes restart and are cut off, in series.
//!
//! A model of the nodes around the pure decisions ([`founder`], [`next`], [`Search`]). Whatever
//! happens: there is one group; it never has fewer copies of its log than its losses explain; and once
//! all are in touch again, every lost disk is replaced, whichever nodes the seeds name. The search of
//! one step, which asks the seeds alone, fails the last.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use filbertstack_gateway::control::membership::Newcomer;
use filbertstack_gateway::control::membership::founder;
use filbertstack_gateway::control::membership::next;
use filbertstack_gateway::control::search::Search;
use filbertstack_gateway::link::messages::NodeStatus;
use filbertstack_log::Change;
use filbertstack_log::Member;
use filbertstack_log::Membership;
use filbertstack_log::NodeId;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::TestRunner;

/// Nodes with a disk come first.
const DISKS: usize = 3;
const NODES: usize = 7;

/// Turns after which every repair that can be made is made: removal, addition and promotion of one
/// newcomer after the other, and the news of it to the seeds.
const SETTLE: usize = 12;

/// Whom a newcomer asks.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    /// The seeds, and whoever they name.
    Steps,
    /// The seeds alone.
    SeedsAlone,
}

#[derive(Clone, Debug)]
enum Step {
    /// The settings name other seeds.
    Seeds(Vec<usize>),
    /// A node loses its disk and starts again.
    Wipe(usize),
    /// A node starts again with what its disk holds.
    Restart(usize),
    /// A node is cut off from all others, or in touch again.
    Cut(usize, bool),
    /// All nodes start again at once.
    RestartAll,
    /// Time passes.
    Turns(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let node = 0..NODES;
    let step = prop_oneof![
        2 => prop::sample::subsequence((0..NODES).collect::<Vec<_>>(), 1..=3).prop_map(Step::Seeds),
        3 => (0..DISKS).prop_map(Step::Wipe),
        2 => node.clone().prop_map(Step::Restart),
        2 => (node, any::<bool>()).prop_map(|(n, cut)| Step::Cut(n, cut)),
        1 => Just(Step::RestartAll),
        4 => (1..8_usize).prop_map(Step::Turns),
    ];
    prop::collection::vec(step, 1..24)
}

#[derive(Clone, Default)]
struct Node {
    /// The identity of its disk; a lost disk gets another.
    disk: Option<u64>,
    /// Whether its disk holds the log.
    holds: bool,
    /// The voters that it knows in memory.
    known: Vec<usize>,
    cut: bool,
    /// Whether this is its first start.
    first: bool,
}

struct Model {
    way: Way,
    nodes: Vec<Node>,
    seeds: Vec<usize>,
    group: Option<Membership>,
    founded: usize,
    identities: u64,
    newcomers: Vec<Newcomer>,
}

fn addr(n: usize) -> SocketAddr {
    format!("10.0.0.{}:7700", n + 1)
        .parse()
        .expect("an address")
}

fn place(text: &str) -> usize {
    (0..NODES)
        .find(|n| addr(*n).to_string() == text)
        .expect("an address of the model")
}

impl Model {
    fn new(way: Way) -> Self {
        let node = |n: usize| Node {
            disk: (n < DISKS).then_some(n as u64 + 1),
            first: true,
            ..Node::default()
        };
        Self {
            way,
            nodes: (0..NODES).map(node).collect(),
            seeds: (0..DISKS).collect(),
            group: None,
            founded: 0,
            identities: 100,
            newcomers: Vec::new(),
        }
    }

    fn voters(&self) -> Vec<usize> {
        let group = self.group.iter();
        group
            .flat_map(|g| g.voters.iter().map(|m| place(&m.address)))
            .collect()
    }

    /// Whether the voter of that identity is there and in touch.
    fn answers(&self, member: &Member) -> bool {
        let node = &self.nodes[place(&member.address)];
        node.disk == Some(member.node) && node.holds && !node.cut
    }

    fn leader(&self) -> Option<usize> {
        let group = self.group.as_ref()?;
        let there: Vec<&Member> = group.voters.iter().filter(|m| self.answers(m)).collect();
        let majority = there.len() * 2 > group.voters.len();
        majority.then(|| place(&there[0].address))
    }

    fn standing(&self, n: usize) -> NodeStatus {
        let node = &self.nodes[n];
        let leader = self
            .leader()
            .filter(|_| node.holds && self.voters().contains(&n));
        let voters = if node.holds {
            self.voters()
        } else {
            node.known.clone()
        };
        let voters = if node.disk.is_some() && !node.holds {
            Vec::new()
        } else {
            voters
        };
        let members = self.group.iter().flat_map(|g| g.members().map(|m| m.node));
        NodeStatus {
            addr: addr(n).to_string(),
            node_id: node.disk.unwrap_or(0),
            cluster: u64::from(node.holds),
            leader: leader.map_or(String::new(), |l| addr(l).to_string()),
            voters: voters.iter().map(|v| addr(*v).to_string()).collect(),
            members: members.collect(),
            ..NodeStatus::default()
        }
    }

    fn heard(&self, from: usize, n: usize) -> Option<NodeStatus> {
        let touch = !self.nodes[from].cut && !self.nodes[n].cut;
        (touch && from != n).then(|| self.standing(n))
    }

    fn search(&self, n: usize) -> Search {
        let starts = self
            .seeds
            .iter()
            .chain(&self.nodes[n].known)
            .map(|s| addr(*s));
        let mut search = Search::new(addr(n), starts);
        loop {
            let asked = search.take_next();
            if asked.is_empty() {
                return search;
            }
            for node in asked {
                match self.heard(n, place(&node.to_string())) {
                    Some(standing) => search.hear(node, &standing),
                    None => search.miss(node, "cut off".into()),
                }
            }
            if self.way == Way::SeedsAlone {
                return search;
            }
        }
    }

    /// One turn of every node.
    fn turn(&mut self) {
        for n in 0..NODES {
            let node = &self.nodes[n];
            if node.disk.is_some() && !node.holds {
                self.form(n);
            } else if node.disk.is_none() {
                self.follow(n);
            }
        }
        self.tell_seeds();
        self.repair();
    }

    fn form(&mut self, n: usize) {
        let seeds: Vec<SocketAddr> = self.seeds.iter().map(|s| addr(*s)).collect();
        let heard: Vec<NodeStatus> = self
            .seeds
            .iter()
            .filter_map(|s| self.heard(n, *s))
            .collect();
        let disk = self.nodes[n].disk.expect("a node with a disk");
        let member = Member {
            node: disk,
            name: format!("node-{n}"),
            address: addr(n).to_string(),
        };
        if let Some(wanted) = founder(self.nodes[n].first, addr(n), &seeds, &heard) {
            self.founded += 1;
            self.nodes[n].holds = true;
            self.group = Some(Membership {
                voters: vec![member],
                learners: Vec::new(),
                forming: if wanted > 1 { wanted } else { 0 },
            });
            return;
        }
        let leader = self.search(n).leader().map(|l| place(&l.to_string()));
        let there = leader.is_some() && leader == self.leader();
        if there && !self.nodes[n].cut {
            let newcomer = Newcomer {
                node: NodeId(disk),
                name: member.name,
                addr: addr(n),
            };
            self.newcomers.retain(|other| other.addr != newcomer.addr);
            self.newcomers.push(newcomer);
        }
    }

    /// A node without a disk learns from a voter that it knows, or searches.
    fn follow(&mut self, n: usize) {
        let in_touch = |v: &usize| self.leader().is_some() && self.heard(n, *v).is_some();
        let knows = self.nodes[n].known.iter().any(in_touch);
        let learned: Vec<usize> = if knows {
            self.voters()
        } else {
            let search = self.search(n);
            search
                .voters()
                .iter()
                .map(|v| place(&v.to_string()))
                .collect()
        };
        if !learned.is_empty() {
            self.nodes[n].known = learned;
        }
    }

    fn tell_seeds(&mut self) {
        let voters = self.voters();
        for seed in self.seeds.clone() {
            let told = voters
                .iter()
                .any(|v| self.nodes[*v].holds && self.heard(seed, *v).is_some());
            if told {
                self.nodes[seed].known.clone_from(&voters);
            }
        }
    }

    fn repair(&mut self) {
        let Some(leader) = self.leader() else {
            return;
        };
        let leader = NodeId(self.nodes[leader].disk.expect("a voter has a disk"));
        let group = self.group.clone().expect("a group with a leader");
        let silent = |node: NodeId| {
            let member = group.members().find(|m| m.id() == node);
            let there = member.is_some_and(|m| self.answers(m) || self.copies(m));
            if there {
                Duration::ZERO
            } else {
                Duration::from_secs(60)
            }
        };
        if let Some(change) = next(leader, &group, &self.newcomers, silent) {
            self.apply(change);
        }
        self.newcomers.clear();
    }

    /// Whether a learner is there to copy the log.
    fn copies(&self, member: &Member) -> bool {
        let node = &self.nodes[place(&member.address)];
        node.disk == Some(member.node) && !node.cut
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
                let at = group.learners.iter().position(|m| m.id() == node);
                let member = group.learners.remove(at.expect("a learner"));
                self.nodes[place(&member.address)].holds = true;
                group.voters.push(member);
                if group.voters.len() >= group.forming as usize {
                    group.forming = 0;
                }
            }
            Change::Move(_) => panic!("no node moves here"),
        }
    }

    /// Voters that hold the log on the disk that they voted with.
    fn copies_held(&self) -> usize {
        let group = self.group.iter().flat_map(|g| &g.voters);
        let held = |m: &&Member| {
            let node = &self.nodes[place(&m.address)];
            node.disk == Some(m.node) && node.holds
        };
        group.filter(held).count()
    }

    fn restart(&mut self, n: usize) {
        self.nodes[n].known.clear();
        // The platform says so for the first start of the whole system only.
        self.nodes[n].first = false;
    }

    fn take(&mut self, step: &Step) {
        match step {
            Step::Seeds(seeds) => self.seeds.clone_from(seeds),
            // Within the bound: no disk is lost before the one lost last is replaced.
            Step::Wipe(n) if self.copies_held() == DISKS => {
                self.identities += 1;
                self.nodes[*n].disk = Some(self.identities);
                self.nodes[*n].holds = false;
                self.restart(*n);
            }
            Step::Wipe(_) => {}
            Step::Restart(n) => self.restart(*n),
            Step::Cut(n, cut) => self.nodes[*n].cut = *cut,
            Step::RestartAll => (0..NODES).for_each(|n| self.restart(n)),
            Step::Turns(count) => (0..*count).for_each(|_| self.turn()),
        }
    }

    fn check(&self) -> Result<(), TestCaseError> {
        prop_assert!(self.founded <= 1, "{} groups were founded", self.founded);
        if self.group.as_ref().is_some_and(|g| g.forming == 0) {
            prop_assert!(
                self.copies_held() >= DISKS - 1,
                "more copies were lost than disks"
            );
        }
        Ok(())
    }
}

fn play(way: Way, steps: &[Step]) -> Result<(), TestCaseError> {
    let mut model = Model::new(way);
    (0..SETTLE).for_each(|_| model.turn());
    for step in steps {
        model.take(step);
        model.check()?;
    }
    model.nodes.iter_mut().for_each(|node| node.cut = false);
    for _ in 0..SETTLE {
        model.turn();
        model.check()?;
    }
    let voters: BTreeSet<usize> = model.voters().into_iter().collect();
    let wanted: BTreeSet<usize> = (0..DISKS).collect();
    prop_assert_eq!(voters, wanted, "every disk votes");
    prop_assert_eq!(model.copies_held(), DISKS, "every voter holds the log");
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
fn lost_disks_are_repaired_whatever_happens_to_the_seeds() {
    let result = runner().run(&steps(), |steps| play(Way::Steps, &steps));
    if let Err(error) = result {
        panic!("{error}");
    }
}

/// The seeds are exchanged for nodes without a disk, then a disk is lost: asked alone, the seeds name
/// no leader, and the voter is never replaced.
#[test]
fn seeds_asked_alone_leave_a_disk_lost() {
    let result = runner().run(&steps(), |steps| play(Way::SeedsAlone, &steps));
    assert!(result.is_err(), "the model must find the fault");
    let found = [Step::Seeds(vec![4, 5, 6]), Step::Turns(2), Step::Wipe(2)];
    assert!(play(Way::SeedsAlone, &found).is_err());
    assert!(play(Way::Steps, &found).is_ok());
}
