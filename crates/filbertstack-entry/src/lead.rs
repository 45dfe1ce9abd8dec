//! The leader's work: it decides which versions each target holds and commits the orders through the log.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use filbertstack_control::ControlState;
use filbertstack_control::command::Body;
use filbertstack_control::command::Desired;
use filbertstack_control::command::Duty;
use filbertstack_control::command::Hold;
use filbertstack_control::command::Instance;
use filbertstack_control::command::Lead;
use filbertstack_control::command::Orders;
use filbertstack_control::command::Register;
use filbertstack_core::Digest;
use filbertstack_core::names::InstanceName;
use filbertstack_policy::placement;
use filbertstack_policy::placement::Assignment;
use filbertstack_policy::placement::Assignments;
use filbertstack_policy::placement::LoadFailures;
use spdlog::info;
use spdlog::warn;

use crate::fleet::CLOCK_START;
use crate::fleet::FleetTracker;
use crate::ledger::Ledger;
use crate::machine::SharedState;
use crate::members::Member;
use crate::members::Members;
use crate::spread::Spread;
use crate::view::Position;
use crate::view::View;
use crate::view::Views;
use crate::voter::Voter;

/// The interval at which the leader checks for changes.
const TICK: Duration = Duration::from_millis(250);

/// The minimum interval between placement rounds while targets change. A copy to many targets changes some
/// target all the time.
///
/// A round over 2,000 instances takes 15 ms; a round in each tick would alone use 6% of a core.
const CHANGE_INTERVAL: Duration = Duration::from_millis(750);

/// The interval between placement rounds while nothing changes: a wait that expires changes the decision too.
const IDLE_INTERVAL: Duration = Duration::from_secs(2);

/// The time that a command of the leader may take to commit.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(3);

/// The leader's loop; it runs on every voter and does nothing on a voter that does not lead.
pub struct Leader {
    /// The voter of this entry.
    pub voter: Arc<Voter>,
    /// The control state.
    pub control: SharedState,
    /// The current declarations and orders.
    pub views: Arc<Views>,
    /// The targets that have announced themselves.
    pub members: Arc<Members>,
    /// The client that proposes commands.
    pub ledger: Arc<Ledger>,
    /// The plan by which versions are copied to targets.
    pub spread: Arc<Spread>,
    /// The flag that ends [`Leader::run`].
    pub stopped: Arc<AtomicBool>,
}

impl Leader {
    /// Runs the loop until stopped.
    pub fn run(&self) {
        let mut begun_term = None;
        let mut rounds = Rounds::new();
        while !self.stopped.load(Ordering::Relaxed) {
            thread::sleep(TICK);
            let Some(term) = self.voter.leading_term() else {
                begun_term = None;
                self.spread.resign();
                continue;
            };
            if begun_term != Some(term) {
                if !self.begin_term(term) {
                    continue;
                }
                begun_term = Some(term);
                rounds = Rounds::new();
            }
            if rounds.is_due(self.views.get().position(), self.members.sweep()) {
                self.register_instances();
                self.commit_orders(term, &mut rounds);
            }
            self.spread.update(term, &self.views.get());
        }
    }

    /// Commits the start of the term. Returns whether that succeeded.
    fn begin_term(&self, term: u64) -> bool {
        let leader = self.voter.voter_info().name;
        let lead = Body::Lead(Lead { term, leader });
        match self.ledger.propose(lead, PROPOSE_TIMEOUT) {
            Ok(_) => {
                info!("this voter leads in term {term}");
                true
            }
            Err(error) => {
                warn!("could not commit the start of the term: {error}");
                false
            }
        }
    }

    /// Registers new instances and changed labels, so that selectors can be checked against them.
    fn register_instances(&self) {
        let live = self.members.live();
        let state = self.control.read();
        let instances: Vec<Instance> = live
            .iter()
            .filter(|member| needs_registration(&state, member))
            .map(to_instance)
            .collect();
        drop(state);
        if instances.is_empty() {
            return;
        }
        let body = Body::Register(Register {
            instances,
            gone: Vec::new(),
        });
        if let Err(error) = self.ledger.propose(body, PROPOSE_TIMEOUT) {
            warn!("could not register instances, will retry: {error}");
        }
    }

    /// Decides the placement and commits orders for the targets whose orders change.
    fn commit_orders(&self, term: u64, rounds: &mut Rounds) {
        let live = self.members.live();
        let now = CLOCK_START + rounds.start.elapsed().into();
        let view = self.views.get();
        let state = self.control.read();
        let fleet = rounds
            .tracker
            .observe(now, &live, state.register(), chunk_counts(&state));
        rounds.faults.observe(&fleet, now);
        let wants = placement::deployment_specs(view.declared(), weight_sizes(&state));
        let decision =
            placement::decide(&fleet, &wants, &current_orders(&view), &rounds.faults, now);
        let no_holds = Vec::new();
        let targets: Vec<Desired> = decision
            .changed
            .iter()
            .map(|name| to_desired(&state, name, decision.orders.get(name).unwrap_or(&no_holds)))
            .collect();
        drop(state);
        if targets.is_empty() {
            return;
        }
        let count = targets.len();
        let body = Body::Orders(Orders { term, targets });
        match self.ledger.propose(body, PROPOSE_TIMEOUT) {
            Ok(_) => info!("committed new orders for {count} targets"),
            Err(error) => warn!("could not commit orders, will retry: {error}"),
        }
    }
}

/// The state that a leader keeps between placement rounds; each term starts with a new one.
struct Rounds {
    start: Instant,
    /// The view's position and the targets' change count at the last round.
    last_seen: Option<(Position, u64)>,
    last_round: Instant,
    tracker: FleetTracker,
    faults: LoadFailures,
}

impl Rounds {
    /// Returns whether a round is due: at once after a change of declarations or orders, [`CHANGE_INTERVAL`]
    /// after the last round if targets changed, and [`IDLE_INTERVAL`] after it otherwise.
    fn is_due(&mut self, position: Position, targets: u64) -> bool {
        let since = self.last_round.elapsed();
        let due = match self.last_seen {
            Some((before, _)) if before != position => true,
            Some((_, before)) if before != targets => since >= CHANGE_INTERVAL,
            Some(_) => since >= IDLE_INTERVAL,
            None => true,
        };
        if due {
            self.last_seen = Some((position, targets));
            self.last_round = Instant::now();
        }
        due
    }

    fn new() -> Self {
        Self {
            start: Instant::now(),
            last_seen: None,
            last_round: Instant::now(),
            tracker: FleetTracker::default(),
            faults: LoadFailures::default(),
        }
    }
}

fn needs_registration(state: &ControlState, member: &Member) -> bool {
    let known = state.register().get(&member.name);
    known.is_none_or(|facts| facts.labels != member.labels || facts.memory != member.memory)
}

fn to_instance(member: &Member) -> Instance {
    Instance {
        name: member.name.to_string(),
        labels: member.labels.to_string(),
        memory: member.memory,
    }
}

/// Returns the current orders in the form that placement reads.
pub fn current_orders(view: &View) -> Assignments {
    let orders = view.orders().iter();
    orders
        .map(|(name, order)| {
            let mut holds: Vec<_> = order.holds.iter().filter_map(to_assignment).collect();
            holds.sort();
            (name.clone(), holds)
        })
        .collect()
}

fn to_assignment(hold: &Hold) -> Option<Assignment> {
    Some(Assignment {
        deployment: hold.deployment.parse().ok()?,
        version: Digest::from_slice(&hold.version)?,
        duty: match hold.duty() {
            Duty::Serve => placement::Duty::Serve,
            Duty::Drain => placement::Duty::Drain,
            Duty::Fetch => placement::Duty::Fetch,
        },
    })
}

fn to_desired(state: &ControlState, target: &InstanceName, holds: &[Assignment]) -> Desired {
    let model = |assignment: &Assignment| {
        let version = state.catalogue().get(&assignment.version);
        version
            .map(|version| version.model.to_string())
            .unwrap_or_default()
    };
    let holds = holds.iter().map(|assignment| Hold {
        deployment: assignment.deployment.to_string(),
        model: model(assignment),
        version: assignment.version.to_vec(),
        duty: match assignment.duty {
            placement::Duty::Serve => Duty::Serve,
            placement::Duty::Drain => Duty::Drain,
            placement::Duty::Fetch => Duty::Fetch,
        }
        .into(),
    });
    Desired {
        target: target.to_string(),
        holds: holds.collect(),
    }
}

/// Returns a function from a published version to the size of its weights in bytes.
pub fn weight_sizes(state: &ControlState) -> impl Fn(&Digest) -> u64 {
    |version| {
        state
            .catalogue()
            .get(version)
            .map_or(0, |facts| facts.weights)
    }
}

/// Returns a function from a published version to its number of chunks.
pub fn chunk_counts(state: &ControlState) -> impl Fn(&Digest) -> u32 {
    |version| {
        state
            .catalogue()
            .get(version)
            .map_or(0, |facts| facts.chunks)
    }
}
