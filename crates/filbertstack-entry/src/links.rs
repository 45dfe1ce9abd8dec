//! Handles the calls that arrive on an entry's links, from entries and agents.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use filbertstack_control::view::TargetOrder;
use filbertstack_core::Digest;
use filbertstack_wire::Handler;
use filbertstack_wire::Remote;
use filbertstack_wire::Responder;
use filbertstack_wire::Role;
use filbertstack_wire::link::STACK;
use filbertstack_wire::messages::Announce;
use filbertstack_wire::messages::Ask;
use filbertstack_wire::messages::Assignment;
use filbertstack_wire::messages::Fence;
use filbertstack_wire::messages::Orders;
use filbertstack_wire::messages::Payload;
use filbertstack_wire::messages::Tell;
use filbertstack_wire::messages::TermReport;
use filbertstack_wire::messages::Watch;
use filbertstack_wire::stream::payload;
use prost::Message;

use crate::gossip::Membership;
use crate::lease::Leases;
use crate::ledger::Ledger;
use crate::ledger::ProposeError;
use crate::machine::SharedState;
use crate::members::Member;
use crate::members::Members;
use crate::question::Asked;
use crate::question::Envelope;
use crate::question::Question;
use crate::spread::Spread;
use crate::view::Position;
use crate::view::View;
use crate::view::Views;
use crate::view::update_since;
use crate::voter::Voter;

/// The longest time that a proposal forwarded by another entry may take.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(8);

/// The longest time, in milliseconds, that a watch call waits for an update.
const MAX_WATCH_WAIT_MS: u64 = 10_000;

/// Handles the calls of entries and agents.
pub struct LinkHandler {
    /// The voter, if this entry is one.
    pub voter: Option<Arc<Voter>>,
    /// The control state, if this entry is a voter.
    pub control: SharedState,
    /// The control state that this entry follows.
    pub views: Arc<Views>,
    /// The targets.
    pub members: Arc<Members>,
    /// The known entries and targets, spread by gossip.
    pub membership: Arc<Membership>,
    /// The voters and the leader.
    pub ledger: Arc<Ledger>,
    /// The plan of the copies while this entry is the leader.
    pub spread: Arc<Spread>,
    /// The configuration leases.
    pub leases: Arc<Leases>,
}

/// Forwards calls to a [`LinkHandler`] once it is set. Links can be accepted while the entry is starting;
/// until the handler is set, calls are refused.
#[derive(Clone, Default)]
pub struct DeferredHandler(Arc<std::sync::OnceLock<Arc<LinkHandler>>>);

impl DeferredHandler {
    /// Sets the handler of the calls that arrive from now on.
    pub fn set(&self, handler: Arc<LinkHandler>) {
        let _ = self.0.set(handler);
    }
}

impl Handler for DeferredHandler {
    fn handle(&self, remote: &Remote, ask: Ask, responder: Responder) {
        match self.0.get() {
            Some(handler) => handler.handle(remote, ask, responder),
            None => responder.refuse("the entry is starting: come back", 500),
        }
    }
}

impl LinkHandler {
    fn handle(self: &Arc<Self>, remote: &Remote, ask: Ask, responder: Responder) {
        match (remote.role, ask) {
            (Role::Agent, Ask::Announce(announce)) => self.announce(&announce, responder),
            (Role::Agent, Ask::Spread(ask)) => self.spread.answer(ask, responder),
            (_, Ask::Term(_)) => {
                let _ = responder.finish(Tell::Term(self.term_report()));
            }
            (Role::Peer, Ask::Log(Payload { body })) => {
                if let (Some(voter), Ok(envelope)) = (&self.voter, Envelope::decode(body)) {
                    voter.deliver(envelope);
                }
            }
            (Role::Peer, Ask::Gossip(Payload { body })) => {
                self.membership.receive(remote, &body, responder);
            }
            (Role::Peer, Ask::Propose(Payload { body })) => {
                self.spawn_call(responder, move |handler, responder| {
                    handler.propose(&body, responder);
                });
            }
            (Role::Peer, Ask::Watch(watch)) => {
                self.spawn_call(responder, move |handler, responder| {
                    handler.watch(&watch, responder);
                });
            }
            (Role::Peer, Ask::Query(Payload { body })) => {
                self.spawn_call(responder, move |handler, responder| {
                    handler.query(body, responder);
                });
            }
            _ => responder.refuse("this call is not served in this role", 0),
        }
    }

    /// Runs a call that may block on a thread of its own.
    fn spawn_call(
        self: &Arc<Self>,
        responder: Responder,
        call: impl FnOnce(&Self, Responder) + Send + 'static,
    ) {
        let handler = self.clone();
        let builder = thread::Builder::new()
            .name("link-call".into())
            .stack_size(STACK);
        let _ = builder.spawn(move || call(&handler, responder));
    }

    fn term_report(&self) -> TermReport {
        match &self.voter {
            Some(voter) => voter.term_report(),
            None => TermReport {
                term: self.views.get().term(),
                ..TermReport::default()
            },
        }
    }

    fn announce(&self, announce: &Announce, responder: Responder) {
        let Some(member) = Member::from_announce(announce) else {
            return responder.refuse("the announcement does not read: run the same release", 0);
        };
        if !self.membership.announce(announce, &member) {
            return responder.refuse("an entry has this name: give the target another", 0);
        }
        let view = self.views.get();
        let mut orders = self.orders_for(&view, &member);
        if orders.digest() == announce.heard {
            orders = Orders {
                same: true,
                ..Orders::default()
            };
        }
        let _ = responder.finish(Tell::Orders(orders));
    }

    fn orders_for(&self, view: &View, member: &Member) -> Orders {
        let order = view.order(&member.name);
        let fence = order.map(|order| Fence {
            term: order.term,
            sequence: order.sequence,
        });
        Orders {
            fence,
            serve: order
                .map(|order| assignments(view, order))
                .unwrap_or_default(),
            revision: view.revision(),
            voters: self
                .ledger
                .voters()
                .iter()
                .map(ToString::to_string)
                .collect(),
            entries: self
                .membership
                .entries_for_target(&member.name)
                .iter()
                .map(ToString::to_string)
                .collect(),
            leader: self.ledger.leader().unwrap_or_default(),
            term: view.term(),
            incarnation: member.incarnation,
            same: false,
        }
    }

    fn propose(&self, command: &[u8], responder: Responder) {
        let Some(voter) = &self.voter else {
            return responder.refuse("not a voter: ask one", 0);
        };
        match voter.propose(command, Instant::now() + PROPOSE_TIMEOUT) {
            Ok(outcome) => {
                let _ = responder.finish(payload(outcome.to_bytes()));
            }
            Err(ProposeError::NotRun(text)) => responder.refuse(&text, 100),
            Err(ProposeError::Unknown(text)) => responder.fail(&text),
        }
    }

    fn watch(&self, watch: &Watch, responder: Responder) {
        let Some(voter) = &self.voter else {
            return responder.refuse("not a voter: ask one", 0);
        };
        let reached = Position {
            revision: watch.since,
            sequence: watch.sequence,
        };
        let max_wait = Duration::from_millis(watch.wait.min(MAX_WATCH_WAIT_MS));
        let term = self.views.get().term();
        self.views.wait_beyond(reached, term, max_wait);
        let mut update = update_since(&self.control.read(), reached);
        update.voters = voter.voters().iter().map(ToString::to_string).collect();
        let _ = responder.finish(payload(update.encode_to_vec()));
    }

    fn query(&self, question: bytes::Bytes, responder: Responder) {
        let asked = Question::decode(question)
            .ok()
            .and_then(|question| question.asked);
        match (asked, &self.voter) {
            (Some(Asked::VoterInfo(_)), Some(voter)) => {
                let _ = responder.finish(payload(voter.voter_info().encode_to_vec()));
            }
            (Some(Asked::Lease(request)), Some(_)) => match self.leases.grant(&request) {
                Ok(reply) => drop(responder.finish(payload(reply.encode_to_vec()))),
                Err(text) => responder.refuse(&text, 500),
            },
            (Some(Asked::InForce(revision)), Some(_)) => match self.leases.in_force(revision) {
                Ok(reply) => drop(responder.finish(payload(reply.encode_to_vec()))),
                Err(text) => responder.refuse(&text, 500),
            },
            (Some(Asked::VoterInfo(_)), None) => responder.refuse("not a voter", 0),
            _ => responder.refuse("a question of a later release: upgrade this end", 0),
        }
    }
}

fn assignments(view: &View, order: &TargetOrder) -> Vec<Assignment> {
    let holds = order.holds.iter();
    holds
        .filter_map(|hold| {
            let version = Digest::from_slice(&hold.version)?;
            let published = view.version(version)?;
            let deployment = view.declared().deployments.get(hold.deployment.as_str())?;
            Some(Assignment {
                deployment: hold.deployment.clone(),
                model: hold.model.clone(),
                digest: hold.version.clone(),
                origin: published.origin.clone(),
                store: published.store.clone(),
                frugal: deployment.weigh == filbertstack_core::declare::Weigh::Origin,
                duty: hold.duty,
            })
        })
        .collect()
}
