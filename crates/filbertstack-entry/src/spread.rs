//! The leader's plan of copies: which target fetches from which other target, and which target imports a
//! chunk from outside.
//!
//! The plan exists only in the leader's memory. Agents that copy a version ask the leader for their part
//! of the plan and report the chunks that have arrived. The leader answers when the part changes, so that
//! a copy costs it a few messages per target and two per chunk. A new leader builds the plan again from
//! the calls and reports of the agents; meanwhile the agents go on fetching from each other.

mod copy;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use filbertstack_control::command::Duty;
use filbertstack_core::Digest;
use filbertstack_core::Millis;
use filbertstack_core::declare::Weigh;
use filbertstack_wire::Responder;
use filbertstack_wire::messages::SpreadAsk;
use filbertstack_wire::messages::SpreadPart;
use filbertstack_wire::messages::SpreadPlan;
use filbertstack_wire::messages::Tell;

use crate::members::Member;
use crate::members::Members;
use crate::view::View;

use copy::CopyPlan;

/// The longest time that the answer to a call is delayed.
const MAX_HOLD: Duration = Duration::from_secs(5);

/// The time after which an agent may ask an entry again that is not the leader.
const RETRY_AFTER_MS: u64 = 200;

/// A version that targets are ordered to hold.
#[derive(Clone, Debug)]
struct WantedVersion {
    chunks: u32,
    weigh: Weigh,
    targets: Vec<Arc<str>>,
}

/// A call that waits until the part of its agent changes.
struct PendingAsk {
    ask: SpreadAsk,
    deadline: Instant,
    responder: Responder,
}

#[derive(Default)]
struct State {
    /// The term in which this entry is the leader; `None` while it is not.
    term: Option<u64>,
    copies: BTreeMap<Digest, CopyPlan>,
    pending: Vec<PendingAsk>,
}

/// The leader's plan of the copies in progress.
pub struct Spread {
    members: Arc<Members>,
    start: Instant,
    state: Mutex<State>,
}

impl Spread {
    /// Creates a plan without copies for the targets in `members`.
    pub fn new(members: Arc<Members>) -> Self {
        Self {
            members,
            start: Instant::now(),
            state: Mutex::default(),
        }
    }

    /// Discards the plan and refuses pending calls, as this entry is no longer the leader.
    pub fn resign(&self) {
        let mut state = self.lock();
        if state.term.is_none() {
            return;
        }
        let old_state = std::mem::take(&mut *state);
        drop(state);
        for pending in old_state.pending {
            refuse(pending.responder);
        }
    }

    /// Updates the plan to the orders in `view` and the live targets.
    ///
    /// A copy that was ordered before this entry became the leader may have grants that an earlier leader
    /// issued; one that was ordered later has none.
    pub fn update(&self, term: u64, view: &View) {
        let now = self.now();
        let live = self.members.live();
        let wanted = wanted_versions(view);
        let mut state = self.lock();
        let is_new_term = state.term != Some(term);
        if is_new_term {
            state.copies.clear();
            state.term = Some(term);
        }
        state.copies.retain(|root, _| wanted.contains_key(root));
        for (root, wanted) in wanted {
            let new_plan = || CopyPlan::new(root, term, wanted.chunks, wanted.weigh);
            let copy = state.copies.entry(root).or_insert_with(|| {
                let mut copy = new_plan();
                copy.publish(is_new_term.then_some(now));
                copy
            });
            copy.update(&wanted.targets, &live, now);
        }
        state.answer_pending(&self.members, now);
    }

    /// Applies an agent's reports, and answers with its part at once or when the part changes.
    pub fn answer(&self, ask: SpreadAsk, responder: Responder) {
        let now = self.now();
        let mut state = self.lock();
        if state.term.is_none() {
            return refuse(responder);
        }
        if let Some(member) = self.members.get(&ask.name) {
            state.apply_reports(&member, &ask, now);
        }
        let hold = Duration::from_millis(ask.hold).min(MAX_HOLD);
        let deadline = Instant::now() + hold;
        state.pending.push(PendingAsk {
            ask,
            deadline,
            responder,
        });
        state.answer_pending(&self.members, now);
    }

    fn now(&self) -> Millis {
        self.start.elapsed().into()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn apply_reports(&mut self, member: &Member, ask: &SpreadAsk, now: Millis) {
        for report in &ask.copies {
            let root = Digest::from_slice(&report.digest);
            if let Some(copy) = root.and_then(|root| self.copies.get_mut(&root)) {
                copy.apply_report(member, report, now);
            }
        }
    }

    /// Issues grants, and answers the pending calls whose agents have a changed part or whose time is up.
    fn answer_pending(&mut self, members: &Members, now: Millis) {
        for pending in &self.pending {
            let wanting = pending.ask.copies.iter();
            let roots = wanting.filter_map(|copy| Digest::from_slice(&copy.digest));
            for root in roots {
                let copy = self.copies.get_mut(&root);
                if let Some(copy) = copy.filter(|copy| copy.lacks_part(&pending.ask.name))
                    && let Some(member) = members.get(&pending.ask.name)
                {
                    copy.add(&member);
                }
            }
        }
        for copy in self.copies.values_mut() {
            copy.issue_grants(now);
        }
        for pending in std::mem::take(&mut self.pending) {
            let parts = self.parts(&pending.ask);
            if parts.is_empty() && pending.deadline > Instant::now() {
                self.pending.push(pending);
                continue;
            }
            // An agent whose link has ended asks again once it is connected.
            let _ = pending.responder.finish(Tell::Plan(SpreadPlan { parts }));
        }
    }

    /// Returns the parts that differ from those that the agent has.
    fn parts(&self, ask: &SpreadAsk) -> Vec<SpreadPart> {
        let copies = ask.copies.iter().filter_map(|report| {
            let copy = self.copies.get(&Digest::from_slice(&report.digest)?)?;
            copy.newer_part(&ask.name, report.number)
        });
        copies.collect()
    }
}

fn refuse(responder: Responder) {
    responder.refuse("this entry does not lead: ask the leader", RETRY_AFTER_MS);
}

/// Returns the versions that targets are ordered to hold, without those that they drain.
fn wanted_versions(view: &View) -> BTreeMap<Digest, WantedVersion> {
    let mut wanted: BTreeMap<Digest, WantedVersion> = BTreeMap::new();
    for (name, order) in view.orders() {
        for hold in &order.holds {
            if hold.duty == i32::from(Duty::Drain) {
                continue;
            }
            let Some(root) = Digest::from_slice(&hold.version) else {
                continue;
            };
            let Some(published) = view.version(root) else {
                continue;
            };
            let deployment = view.declared().deployments.get(hold.deployment.as_str());
            let version = wanted.entry(root).or_insert_with(|| WantedVersion {
                chunks: published.chunks,
                weigh: deployment.map_or(Weigh::Time, |deployment| deployment.weigh),
                targets: Vec::new(),
            });
            version.targets.push(name.as_str().into());
        }
    }
    wanted
}
