//! The leader's part in copies: who fetches from whom, and who brings a chunk in from outside.
//!
//! The plan lives in the leader's memory alone. Agents that copy ask the leader for their part and
//! tell it what landed; the question is held until their part changes, so that a copy costs the
//! leader a few messages a target and two a chunk. A new leader builds the plan anew from what
//! the agents ask and report; meanwhile they go on fetching from each other.

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

use copy::Copying;

/// The longest that a question may be held.
const MAX_HOLD: Duration = Duration::from_secs(5);

/// When an agent may come back to an entry that does not lead, in milliseconds.
const COME_BACK: u64 = 200;

/// A version that targets are ordered to hold.
#[derive(Clone, Debug)]
struct Wanted {
    chunks: u32,
    weigh: Weigh,
    targets: Vec<Arc<str>>,
}

/// A question that waits for news.
struct Parked {
    ask: SpreadAsk,
    until: Instant,
    responder: Responder,
}

#[derive(Default)]
struct State {
    /// The term that this entry leads in.
    term: Option<u64>,
    copies: BTreeMap<Digest, Copying>,
    parked: Vec<Parked>,
}

/// The plan of the copies in progress, at the leader.
pub struct Spread {
    members: Arc<Members>,
    start: Instant,
    state: Mutex<State>,
}

impl Spread {
    /// A plan without copies, for targets that are among `members`.
    pub fn new(members: Arc<Members>) -> Self {
        Self {
            members,
            start: Instant::now(),
            state: Mutex::default(),
        }
    }

    /// Forgets the plan: this entry leads no more.
    pub fn resign(&self) {
        let mut state = self.lock();
        if state.term.is_none() {
            return;
        }
        let resigned = std::mem::take(&mut *state);
        drop(state);
        for parked in resigned.parked {
            refuse(parked.responder);
        }
    }

    /// Brings the plan in line with the orders and with who is there.
    ///
    /// Copies that were ordered before this entry began to lead may have grants out; those
    /// ordered later have none.
    pub fn update(&self, term: u64, view: &View) {
        let now = self.now();
        let live = self.members.live();
        let wanted = wanted(view);
        let mut state = self.lock();
        let inherits = state.term != Some(term);
        if inherits {
            state.copies.clear();
            state.term = Some(term);
        }
        state.copies.retain(|root, _| wanted.contains_key(root));
        for (root, wanted) in wanted {
            let fresh = || Copying::new(root, term, wanted.chunks, wanted.weigh);
            let copy = state.copies.entry(root).or_insert_with(|| {
                let mut copy = fresh();
                copy.begin(inherits.then_some(now));
                copy
            });
            copy.tend(&wanted.targets, &live, now);
        }
        state.release(&self.members, now);
    }

    /// Takes an agent's reports and answers with its part, at once or when that changes.
    pub fn answer(&self, ask: SpreadAsk, responder: Responder) {
        let now = self.now();
        let mut state = self.lock();
        if state.term.is_none() {
            return refuse(responder);
        }
        if let Some(member) = self.members.get(&ask.name) {
            state.report(&member, &ask, now);
        }
        let hold = Duration::from_millis(ask.hold).min(MAX_HOLD);
        let until = Instant::now() + hold;
        state.parked.push(Parked {
            ask,
            until,
            responder,
        });
        state.release(&self.members, now);
    }

    fn now(&self) -> Millis {
        self.start.elapsed().into()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn report(&mut self, member: &Member, ask: &SpreadAsk, now: Millis) {
        for said in &ask.copies {
            let root = Digest::from_slice(&said.digest);
            if let Some(copy) = root.and_then(|root| self.copies.get_mut(&root)) {
                copy.report(member, said, now);
            }
        }
    }

    /// Gives what can be granted, and answers the questions that there is news for.
    fn release(&mut self, members: &Members, now: Millis) {
        for parked in &self.parked {
            let wanting = parked.ask.copies.iter();
            let roots = wanting.filter_map(|copy| Digest::from_slice(&copy.digest));
            for root in roots {
                let copy = self.copies.get_mut(&root);
                if let Some(copy) = copy.filter(|copy| copy.lacks(&parked.ask.name))
                    && let Some(member) = members.get(&parked.ask.name)
                {
                    copy.admit(&member);
                }
            }
        }
        for copy in self.copies.values_mut() {
            copy.grant(now);
        }
        for parked in std::mem::take(&mut self.parked) {
            let parts = self.parts(&parked.ask);
            if parts.is_empty() && parked.until > Instant::now() {
                self.parked.push(parked);
                continue;
            }
            // An agent that has gone away asks again when it is back.
            let _ = parked.responder.finish(Tell::Plan(SpreadPlan { parts }));
        }
    }

    /// The parts that differ from those that the agent has.
    fn parts(&self, ask: &SpreadAsk) -> Vec<SpreadPart> {
        let copies = ask.copies.iter().filter_map(|said| {
            let copy = self.copies.get(&Digest::from_slice(&said.digest)?)?;
            copy.part(&ask.name, said.number)
        });
        copies.collect()
    }
}

fn refuse(responder: Responder) {
    responder.refuse("this entry does not lead: ask the leader", COME_BACK);
}

/// The versions that targets are ordered to hold.
fn wanted(view: &View) -> BTreeMap<Digest, Wanted> {
    let mut wanted: BTreeMap<Digest, Wanted> = BTreeMap::new();
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
            let row = wanted.entry(root).or_insert_with(|| Wanted {
                chunks: published.chunks,
                weigh: deployment.map_or(Weigh::Time, |deployment| deployment.weigh),
                targets: Vec::new(),
            });
            row.targets.push(name.as_str().into());
        }
    }
    wanted
}
