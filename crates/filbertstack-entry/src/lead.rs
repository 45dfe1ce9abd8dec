//! The leader's duties: it decides what each target is to hold, and orders it through the log.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use filbertstack_control::ControlState;
use filbertstack_control::command::Body;
use filbertstack_control::command::Desired;
use filbertstack_control::command::Duty;
use filbertstack_control::command::Hold;
use filbertstack_control::command::Instance;
use filbertstack_control::command::Lead;
use filbertstack_control::command::Orders;
use filbertstack_control::command::Register;
use filbertstack_core::names::InstanceName;
use spdlog::info;
use spdlog::warn;

use crate::ledger::Ledger;
use crate::machine::Control;
use crate::members::Member;
use crate::members::Members;
use crate::voter::Voter;

/// How often the leader compares what is declared with what is ordered and what runs.
const TICK: Duration = Duration::from_millis(250);

/// How long a command of the leader may take.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(3);

/// How long a new leader waits before its first orders.
///
/// It knows only the targets that have announced themselves to it since it began; ordering at
/// once would take the others for gone and move what they hold.
const SETTLE: Duration = Duration::from_secs(5);

/// The leader's duties, run on every voter and idle on those that do not lead.
pub struct Leader {
    /// The voter.
    pub voter: Arc<Voter>,
    /// The control state.
    pub control: Control,
    /// What runs.
    pub members: Arc<Members>,
    /// Where orders go.
    pub ledger: Arc<Ledger>,
    /// Ends the loop.
    pub stopped: Arc<AtomicBool>,
}

impl Leader {
    /// Runs until stopped.
    pub fn run(&self) {
        let mut led = None;
        let mut since = std::time::Instant::now();
        while !self.stopped.load(Ordering::Relaxed) {
            thread::sleep(TICK);
            let Some(term) = self.voter.leads() else {
                led = None;
                continue;
            };
            if led != Some(term) {
                since = std::time::Instant::now();
                if !self.begin(term) {
                    continue;
                }
                led = Some(term);
            }
            self.register();
            let fresh = self.control.read().orders().iter().next().is_none();
            if fresh || since.elapsed() >= SETTLE {
                self.order(term);
            }
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

    fn order(&self, term: u64) {
        let live = self.members.live();
        let state = self.control.read();
        let targets = changed_orders(&state, &live);
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

/// The orders that differ from those that stand.
fn changed_orders(state: &ControlState, live: &[Member]) -> Vec<Desired> {
    let mut wanted: BTreeMap<&InstanceName, Vec<Hold>> = BTreeMap::new();
    for member in live
        .iter()
        .filter(|member| !member.service && !member.leaving)
    {
        wanted.insert(&member.name, Vec::new());
    }
    let declared = state.declared().current();
    for (name, deployment) in &declared.deployments {
        let pools = declared
            .pools
            .values()
            .filter(|pool| deployment.pools.matches(&pool.labels));
        let pools: Vec<_> = pools.collect();
        let fits = |member: &&Member| {
            member.memory >= deployment.memory
                && pools
                    .iter()
                    .any(|pool| pool.instances.matches(&member.labels))
        };
        let hold = Hold {
            deployment: name.to_string(),
            model: deployment.model.to_string(),
            version: deployment.version.to_vec(),
            duty: Duty::Serve.into(),
        };
        let holds_now = |member: &Member| {
            let order = state.orders().get(&member.name);
            order.is_some_and(|order| order.holds.iter().any(|h| h.deployment == hold.deployment))
        };
        let free = live.iter().filter(fits);
        let mut free: Vec<&Member> = free
            .filter(|m| wanted.get(&m.name).is_some_and(Vec::is_empty))
            .collect();
        free.sort_by_key(|member| (!holds_now(member), member.name.clone()));
        for member in free.into_iter().take(deployment.replicas as usize) {
            if let Some(holds) = wanted.get_mut(&member.name) {
                holds.push(hold.clone());
            }
        }
    }
    let differs = |(name, holds): &(&InstanceName, Vec<Hold>)| {
        let standing = state.orders().get(name).map(|order| order.holds.as_slice());
        standing.unwrap_or_default() != holds.as_slice()
    };
    let wanted = wanted.into_iter().filter(differs);
    wanted
        .map(|(name, holds)| Desired {
            target: name.to_string(),
            holds,
        })
        .collect()
}
