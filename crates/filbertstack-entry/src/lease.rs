//! This entry's config lease, and those it grants: the clocks and calls around
//! `filbertstack_control::lease`.
//!
//! A voter asks the leader, another entry asks a voter. Without a lease an entry refuses every
//! request as "not run": it may have missed a change that is in force everywhere else.

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
use crate::question::ask;
use crate::traffic::Traffic;
use crate::view::Views;
use crate::voter::Voter;

/// How often it is looked whether something is to be told or asked.
const TICK: Duration = Duration::from_millis(100);

/// How long a question for a lease may take.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// How long the leader's own lease lasts from tick to tick.
const LEADER_SPAN: Millis = Millis::secs(1);

/// Where the clock begins, so that what stood before the start can be named.
const CLOCK_START: Millis = Millis::secs(3600);

/// How many revisions' moments are remembered.
const REMEMBERED: usize = 256;

struct State {
    holder: Holder,
    granter: Granter,
    /// The term that this entry led when its granter began.
    term: Option<u64>,
    /// The term in which this entry, as its leader, has applied all that was accepted before.
    caught_up: Option<u64>,
    /// When each of the last revisions was first in use here.
    accepted: BTreeMap<u64, Millis>,
}

/// This entry's config lease, and those it grants.
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
    /// No lease yet.
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
            accepted: BTreeMap::new(),
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

    /// Whether requests may be served.
    ///
    /// # Errors
    /// [`Expired`] with the time to tell callers.
    pub fn check(&self) -> Result<(), Expired> {
        self.lock().holder.check(self.now())
    }

    /// Keeps the lease until stopped.
    pub fn run(&self, stopped: &AtomicBool) {
        let mut told = None;
        let mut due = Millis::ZERO;
        while !stopped.load(Ordering::Relaxed) {
            thread::sleep(TICK);
            self.catch_up();
            let ask = self.prepare();
            let news = (ask.revision, ask.lowest);
            if self.leads() {
                let grant = Grant {
                    sent: ask.sent,
                    revision: ask.revision,
                    span: LEADER_SPAN,
                };
                self.lock().holder.accept(grant);
            } else if told != Some(news) || ask.sent >= due {
                let granted = self.ask(ask);
                told = granted.then_some(news);
                due = ask.sent + lease::RENEW_INTERVAL;
            }
        }
    }

    /// As a new leader, applies all that was accepted before its term.
    ///
    /// A leader has its quorum lease before that: after a restart of all voters it would grant
    /// leases on the empty table that it starts with, and callers would get "no rule" for rules
    /// that were accepted.
    fn catch_up(&self) {
        let Some((voter, term)) = self.voter.as_ref().and_then(|v| Some((v, v.leads()?))) else {
            return;
        };
        if self.lock().caught_up != Some(term) && voter.read_barrier(ASK_TIMEOUT).is_ok() {
            self.lock().caught_up = Some(term);
        }
    }

    /// What this entry asks now: the revision is that of the routing table in use.
    fn prepare(&self) -> LeaseAsk {
        let (now, revision) = (self.now(), self.traffic.table().revision());
        let leads = self.voter.as_ref().and_then(|voter| voter.leads());
        let mut state = self.lock();
        if leads.is_some() && leads != state.term {
            // Grants of the leader before may still stand.
            state.granter = Granter::new(now);
        }
        state.term = leads;
        state.accepted.entry(revision).or_insert(now);
        while state.accepted.len() > REMEMBERED {
            state.accepted.pop_first();
        }
        state.granter.renewal(revision, now)
    }

    /// Asks the granter; false if nothing was granted.
    fn ask(&self, wanted: LeaseAsk) -> bool {
        let request = LeaseRequest {
            name: self.name.to_string(),
            sent: wanted.sent.0,
            revision: wanted.revision,
            lowest: wanted.lowest,
        };
        let asked = ask(Asked::Lease(request));
        let told = match &self.voter {
            Some(voter) => voter.ask_leader(asked, ASK_TIMEOUT),
            None => self.ledger.ask(&asked, ASK_TIMEOUT),
        };
        let reply = match told {
            Ok(Tell::Payload(Payload { body })) => LeaseReply::decode(body).unwrap_or_default(),
            Ok(_) => return false,
            Err(error) => {
                debug!("no lease: {error}");
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

    /// Grants a lease to another entry, or says why not.
    ///
    /// # Errors
    /// The reason, for the asking entry's log.
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
        let own = if leads {
            now + lease::LENGTH
        } else {
            state.holder.until().unwrap_or(now)
        };
        let granted = state.granter.grant(&from, wanted, revision, own, now);
        let grant = granted.map_err(|error| error.to_string())?;
        Ok(LeaseReply {
            sent: grant.sent.0,
            revision: grant.revision,
            span: grant.span.0,
        })
    }

    /// How far `revision` is in force; only the leader knows.
    ///
    /// # Errors
    /// If this entry does not lead.
    pub fn in_force(&self, revision: u64) -> Result<InForce, String> {
        if !self.leads() {
            return Err("not the leader: ask it".into());
        }
        let now = self.now();
        let state = self.lock();
        let later = state.accepted.range(revision..).next();
        let Some((_, accepted)) = later else {
            return Ok(InForce {
                everywhere: false,
                waiting: vec![self.name.to_string()],
            });
        };
        Ok(match state.granter.in_force(revision, *accepted, now) {
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

    /// Whether this entry leads, a majority confirmed it a moment ago, and its routing table shows
    /// all that was accepted before its term.
    fn leads(&self) -> bool {
        let Some(voter) = &self.voter else {
            return false;
        };
        let caught_up = self.lock().caught_up;
        let shown = self.traffic.table().revision() >= self.views.get().revision();
        voter.has_quorum_lease() && caught_up.is_some() && caught_up == voter.leads() && shown
    }

    fn now(&self) -> Millis {
        CLOCK_START + self.start.elapsed().into()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
