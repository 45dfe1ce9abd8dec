//! The leader's duties: it decides what each target is to hold, and orders it through the log.

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
use filbertstack_policy::placement::LoadFaults;
use filbertstack_policy::placement::Standing;
use spdlog::info;
use spdlog::warn;

use crate::fleet::CLOCK_START;
use crate::fleet::Watcher;
use crate::ledger::Ledger;
use crate::machine::Control;
use crate::members::Member;
use crate::members::Members;
use crate::spread::Spread;
use crate::view::Reached;
use crate::view::View;
use crate::view::Views;
use crate::voter::Voter;

/// How often the leader looks whether something changed.
const TICK: Duration = Duration::from_millis(250);

/// How often it places anew while targets change: a copy to many changes something all the time.
///
/// A round over 2,000 instances takes 15 ms; each tick, that alone would be 6% of a core.
const CHANGED: Duration = Duration::from_millis(750);

/// How often it places anew although nothing changed: waits that run out change the decision too.
const ROUND: Duration = Duration::from_secs(2);

/// How long a command of the leader may take.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(3);

/// The leader's duties, run on every voter and idle on those that do not lead.
pub struct Leader {
    /// The voter.
    pub voter: Arc<Voter>,
    /// The control state.
    pub control: Control,
    /// The orders that stand.
    pub views: Arc<Views>,
    /// What runs.
    pub members: Arc<Members>,
    /// Where orders go.
    pub ledger: Arc<Ledger>,
    /// The plan of copies.
    pub spread: Arc<Spread>,
    /// Ends the loop.
    pub stopped: Arc<AtomicBool>,
}

impl Leader {
    /// Runs until stopped.
    pub fn run(&self) {
        let mut led = None;
        let mut round = Round::new();
        while !self.stopped.load(Ordering::Relaxed) {
            thread::sleep(TICK);
            let Some(term) = self.voter.leads() else {
                led = None;
                self.spread.resign();
                continue;
            };
            if led != Some(term) {
                if !self.begin(term) {
                    continue;
                }
                led = Some(term);
                round = Round::new();
            }
            if round.is_due(self.views.get().reached(), self.members.sweep()) {
                self.register();
                self.order(term, &mut round);
            }
            self.spread.update(term, &self.views.get());
        }
    }

    fn begin(&self, term: u64) -> bool {
        let leader = self.voter.standing().name;
        let lead = Body::Lead(Lead { term, leader });
        match self.ledger.propose(lead, PROPOSE_TIMEOUT) {
            Ok(_) => {
                info!("leading in term {term}");
                true
            }
            Err(error) => {
                warn!("could not begin to lead: {error}");
                false
            }
        }
    }

    /// Records new instances and changed labels, so that selectors can be checked against them.
    fn register(&self) {
        let live = self.members.live();
        let state = self.control.read();
        let instances: Vec<Instance> = live
            .iter()
            .filter(|member| is_news(&state, member))
            .map(instance)
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
            warn!("instances not registered yet: {error}");
        }
    }

    /// Orders what differs from the standing orders.
    fn order(&self, term: u64, round: &mut Round) {
        let live = self.members.live();
        let now = CLOCK_START + round.began.elapsed().into();
        let view = self.views.get();
        let state = self.control.read();
        let fleet = round
            .watcher
            .observe(now, &live, state.register(), chunks(&state));
        round.faults.observe(&fleet, now);
        let wants = placement::wants(view.declared(), weights(&state));
        let decision = placement::decide(&fleet, &wants, &standing(&view), &round.faults, now);
        let none = Vec::new();
        let targets: Vec<Desired> = decision
            .changed
            .iter()
            .map(|name| desired(&state, name, decision.orders.get(name).unwrap_or(&none)))
            .collect();
        drop(state);
        if targets.is_empty() {
            return;
        }
        let count = targets.len();
        let body = Body::Orders(Orders { term, targets });
        match self.ledger.propose(body, PROPOSE_TIMEOUT) {
            Ok(_) => info!("ordered {count} targets anew"),
            Err(error) => warn!("orders not given yet: {error}"),
        }
    }
}

/// What a leader remembers from round to round; a new leader begins anew.
struct Round {
    began: Instant,
    /// What was seen in the last round: the targets' changes and how far the orders were.
    seen: Option<(Reached, u64)>,
    placed: Instant,
    watcher: Watcher,
    faults: LoadFaults,
}

impl Round {
    /// Whether to place now: at once after a change of declarations or orders, soon after a change
    /// of targets, and now and then.
    fn is_due(&mut self, reached: Reached, targets: u64) -> bool {
        let since = self.placed.elapsed();
        let due = match self.seen {
            Some((before, _)) if before != reached => true,
            Some((_, before)) if before != targets => since >= CHANGED,
            Some(_) => since >= ROUND,
            None => true,
        };
        if due {
            self.seen = Some((reached, targets));
            self.placed = Instant::now();
        }
        due
    }

    fn new() -> Self {
        Self {
            began: Instant::now(),
            seen: None,
            placed: Instant::now(),
            watcher: Watcher::default(),
            faults: LoadFaults::default(),
        }
    }
}

fn is_news(state: &ControlState, member: &Member) -> bool {
    let known = state.register().get(&member.name);
    known.is_none_or(|facts| facts.labels != member.labels || facts.memory != member.memory)
}

fn instance(member: &Member) -> Instance {
    Instance {
        name: member.name.to_string(),
        labels: member.labels.to_string(),
        memory: member.memory,
    }
}

/// The standing orders as placement reads them.
pub fn standing(view: &View) -> Standing {
    let orders = view.orders().iter();
    orders
        .map(|(name, order)| {
            let mut holds: Vec<_> = order.holds.iter().filter_map(assignment).collect();
            holds.sort();
            (name.clone(), holds)
        })
        .collect()
}

fn assignment(hold: &Hold) -> Option<Assignment> {
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

fn desired(state: &ControlState, target: &InstanceName, holds: &[Assignment]) -> Desired {
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

/// The sizes of published versions, as placement asks for them.
pub fn weights(state: &ControlState) -> impl Fn(&Digest) -> u64 {
    |version| {
        state
            .catalogue()
            .get(version)
            .map_or(0, |facts| facts.weights)
    }
}

/// The chunks of published versions.
pub fn chunks(state: &ControlState) -> impl Fn(&Digest) -> u32 {
    |version| {
        state
            .catalogue()
            .get(version)
            .map_or(0, |facts| facts.chunks)
    }
}
