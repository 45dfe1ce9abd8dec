//! The configuration lease of this entry, and the leases that it grants to others. This module adds clocks
//! and calls to `filbertstack_control::lease`.
//!
//! A voter requests its lease from the leader; another entry requests it from a voter. An entry without a
//! lease refuses every request as "not run", because it may have missed a change that is in force everywhere
//! else.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use filbertstack_control::lease;
use filbertstack_control::lease::Expired;
use filbertstack_control::lease::Grant;
use filbertstack_control::lease::Granter;
use filbertstack_control::lease::Holder;
use filbertstack_control::lease::Renewal as LeaseAsk;
use filbertstack_control::lease::RevisionState;
use filbertstack_core::Millis;
use filbertstack_core::names::InstanceName;
use filbertstack_wire::messages::Payload;
use filbertstack_wire::messages::Tell;
use prost::Message;
use spdlog::debug;

use crate::ledger::Ledger;
use crate::question::Asked;
use crate::question::InForce;
use crate::question::LeaseReply;
use crate::question::LeaseRequest;
use crate::question::query;
use crate::traffic::Traffic;
use crate::view::Views;
use crate::voter::Voter;

/// The interval at which the entry checks whether its lease must be renewed.
const TICK: Duration = Duration::from_millis(100);

/// The time that a request for a lease may take.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// The length of the lease that the leader gives itself at each tick.
const LEADER_SPAN: Millis = Millis::secs(1);

/// The time at which the clock starts. It is above zero so that times before the start can be expressed.
const CLOCK_START: Millis = Millis::secs(3600);

/// The number of revisions whose times of first use are kept.
const MAX_REVISIONS: usize = 256;

struct State {
    holder: Holder,
    granter: Granter,
    /// The term in which this entry leads; a new term starts a new granter.
    term: Option<u64>,
    /// The term that this entry leads and in which it has applied all commands of earlier terms.
    caught_up: Option<u64>,
    /// The time at which this entry first used each of the last revisions.
    first_used: BTreeMap<u64, Millis>,
}

/// The configuration lease of this entry, and the leases that it grants.
pub struct Leases {
    name: InstanceName,
    start: Instant,
    voter: Option<Arc<Voter>>,
    ledger: Arc<Ledger>,
    traffic: Traffic,
    views: Arc<Views>,
    state: Mutex<State>,
}

impl std::fmt::Debug for Leases {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Leases")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}

impl Leases {
    /// Creates the state of an entry that holds no lease yet.
    pub fn new(
        name: InstanceName,
        voter: Option<Arc<Voter>>,
        ledger: Arc<Ledger>,
        traffic: Traffic,
        views: Arc<Views>,
    ) -> Self {
        let state = State {
            holder: Holder::default(),
            granter: Granter::new(CLOCK_START),
            term: None,
            caught_up: None,
            first_used: BTreeMap::new(),
        };
        let (start, state) = (Instant::now(), Mutex::new(state));
        Self {
            name,
            start,
            voter,
            ledger,
            traffic,
            views,
            state,
        }
    }

    /// Checks whether this entry may serve requests.
    ///
    /// # Errors
    /// Returns [`Expired`] with the time after which callers may retry.
    pub fn check(&self) -> Result<(), Expired> {
        self.lock().holder.check(self.now())
    }

    /// Renews the lease until stopped.
    pub fn run(&self, stopped: &AtomicBool) {
        let mut reported = None;
        let mut renewal_due = Millis::ZERO;
        while !stopped.load(Ordering::Relaxed) {
            thread::sleep(TICK);
            self.catch_up();
            let ask = self.next_request();
            let report = (ask.revision, ask.lowest);
            if self.leads() {
                let grant = Grant {
                    sent: ask.sent,
                    revision: ask.revision,
                    span: LEADER_SPAN,
                };
                self.lock().holder.accept(grant);
            } else if reported != Some(report) || ask.sent >= renewal_due {
                let granted = self.request(ask);
                reported = granted.then_some(report);
                renewal_due = ask.sent + lease::RENEW_INTERVAL;
            }
        }
    }

    /// Waits, on a new leader, until all commands of earlier terms are applied.
    ///
    /// A leader can hold its quorum lease earlier. After a restart of all voters it would then grant leases
    /// on the empty routing table that it starts with, and callers would get "no rule" for accepted rules.
    fn catch_up(&self) {
        let Some((voter, term)) = self
            .voter
            .as_ref()
            .and_then(|v| Some((v, v.leading_term()?)))
        else {
            return;
        };
        if self.lock().caught_up != Some(term) && voter.read_barrier(ASK_TIMEOUT).is_ok() {
            self.lock().caught_up = Some(term);
        }
    }

    /// Returns the next request for a lease, with the revision of the routing table in use.
    fn next_request(&self) -> LeaseAsk {
        let (now, revision) = (self.now(), self.traffic.table().revision());
        let term = self.voter.as_ref().and_then(|voter| voter.leading_term());
        let mut state = self.lock();
        if term.is_some() && term != state.term {
            // A new granter takes into account that leases of the previous leader may still be valid.
            state.granter = Granter::new(now);
        }
        state.term = term;
        state.first_used.entry(revision).or_insert(now);
        while state.first_used.len() > MAX_REVISIONS {
            state.first_used.pop_first();
        }
        state.granter.renewal(revision, now)
    }

    /// Requests a lease from the granter. Returns whether it was granted.
    fn request(&self, wanted: LeaseAsk) -> bool {
        let request = LeaseRequest {
            name: self.name.to_string(),
            sent: wanted.sent.0,
            revision: wanted.revision,
            lowest: wanted.lowest,
        };
        let ask = query(Asked::Lease(request));
        let answer = match &self.voter {
            Some(voter) => voter.ask_leader(ask, ASK_TIMEOUT),
            None => self.ledger.ask(&ask, ASK_TIMEOUT),
        };
        let reply = match answer {
            Ok(Tell::Payload(Payload { body })) => LeaseReply::decode(body).unwrap_or_default(),
            Ok(_) => return false,
            Err(error) => {
                debug!("could not obtain a lease: {error}");
                return false;
            }
        };
        if reply.span == 0 {
            return false;
        }
        let (sent, span) = (Millis(reply.sent), Millis(reply.span));
        self.lock().holder.accept(Grant {
            sent,
            revision: reply.revision,
            span,
        });
        true
    }

    /// Grants a lease to another entry.
    ///
    /// # Errors
    /// Returns the reason, which the requesting entry logs.
    pub fn grant(&self, request: &LeaseRequest) -> Result<LeaseReply, String> {
        let from: InstanceName = request.name.parse().map_err(|error| format!("{error}"))?;
        let wanted = LeaseAsk {
            sent: Millis(request.sent),
            revision: request.revision,
            lowest: request.lowest,
        };
        let revision = self.traffic.table().revision();
        let leads = self.leads();
        let now = self.now();
        let mut state = self.lock();
        let own_until = if leads {
            now + lease::LENGTH
        } else {
            state.holder.until().unwrap_or(now)
        };
        let granted = state.granter.grant(&from, wanted, revision, own_until, now);
        let grant = granted.map_err(|error| error.to_string())?;
        Ok(LeaseReply {
            sent: grant.sent.0,
            revision: grant.revision,
            span: grant.span.0,
        })
    }

    /// Returns whether `revision` is in force everywhere, and which entries have yet to confirm it. Only the
    /// leader knows this.
    ///
    /// # Errors
    /// Returns an error if this entry does not lead.
    pub fn in_force(&self, revision: u64) -> Result<InForce, String> {
        if !self.leads() {
            return Err("not the leader: ask it".into());
        }
        let now = self.now();
        let state = self.lock();
        let first_use = state.first_used.range(revision..).next();
        let Some((_, first_used)) = first_use else {
            return Ok(InForce {
                everywhere: false,
                waiting: vec![self.name.to_string()],
            });
        };
        Ok(match state.granter.in_force(revision, *first_used, now) {
            RevisionState::InForce => InForce {
                everywhere: true,
                waiting: Vec::new(),
            },
            RevisionState::Waiting { laggards, .. } => {
                let waiting = laggards.iter().map(ToString::to_string).collect();
                InForce {
                    everywhere: false,
                    waiting,
                }
            }
        })
    }

    /// Returns whether this entry leads, a majority has just confirmed it, and its routing table contains
    /// every change accepted before its term.
    fn leads(&self) -> bool {
        let Some(voter) = &self.voter else {
            return false;
        };
        let caught_up = self.lock().caught_up;
        let table_current = self.traffic.table().revision() >= self.views.get().revision();
        voter.has_quorum_lease()
            && caught_up.is_some()
            && caught_up == voter.leading_term()
            && table_current
    }

    fn now(&self) -> Millis {
        CLOCK_START + self.start.elapsed().into()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
