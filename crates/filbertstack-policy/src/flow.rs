//! Manages the open requests of one entry: admission, the choice of a target, retries and hedging.
//!
//! The caller keeps one `Flow` under a mutex and passes in the time. It calls [`Flow::poll`] after every
//! command, and at least every [`POLL_INTERVAL`] while requests are open, and hands each [`Event`] to the
//! thread that waits for its ticket. Every accepted offer ends exactly once: by a result of [`Flow::finish`]
//! other than [`Ended::Retry`], [`Ended::Pending`] and [`Ended::Stale`], by an [`Event::Refuse`] or
//! [`Event::Unknown`], or by the caller's own [`Flow::cancel`].
//!
//! ```
//! use filbertstack_core::Millis;
//! use filbertstack_core::declare::Priority;
//! use filbertstack_policy::cost::Cost;
//! use filbertstack_policy::flow::Ended;
//! use filbertstack_policy::flow::Event;
//! use filbertstack_policy::flow::Flow;
//! use filbertstack_policy::flow::Offer;
//! use filbertstack_policy::flow::Settings;
//! use filbertstack_policy::retry::Outcome;
//! use filbertstack_policy::route::GroupKind;
//! use filbertstack_policy::route::Criteria;
//! use filbertstack_policy::target::TargetInfo;
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let mut flow = Flow::new(Settings::new("entry-1".parse()?, "van-a".parse()?, 7));
//! let now = Millis::ZERO;
//! let info = TargetInfo { name: "engine-1".parse()?, zone: "van-a".parse()?, slots: Some(32) };
//! let target = flow.router_mut().add_target(now, info, false);
//! let group = flow.add_group(GroupKind::Engines);
//! flow.router_mut().set_candidates(group, &[target]);
//!
//! let cost = Cost { prompt: 400, output: 100 };
//! let ticket = flow.offer(now, Offer {
//!     group,
//!     org: "brewery".parse()?,
//!     priority: Priority::Normal,
//!     deadline: now + Millis::secs(30),
//!     criteria: Criteria { cost, ..Criteria::default() },
//! })?;
//! let events = flow.poll(now);
//! let Event::Send { attempt, .. } = events[0] else { panic!("there is room") };
//! flow.first_token(now + Millis(40), attempt);
//! let ended = flow.finish(now + Millis(900), attempt, Outcome::Ran { cost });
//! assert_eq!(ended, Ended::Complete);
//! # let _ = ticket;
//! # Ok(())
//! # }
//! ```

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slotmap::SecondaryMap;
use slotmap::SlotMap;

use filbertstack_core::Millis;
use filbertstack_core::declare::Priority;
use filbertstack_core::names::InstanceName;
use filbertstack_core::names::OrgName;
use filbertstack_core::names::ZoneName;

use crate::admission::Admission;
use crate::admission::Bounds;
use crate::admission::GroupLoad;
use crate::admission::Reason;
use crate::admission::Refusal;
use crate::admission::TicketKey;
use crate::fair::Item;
use crate::retry::Budget;
use crate::retry::Decision;
use crate::retry::FailedAttempt;
use crate::retry::Outcome;
use crate::retry::decide;
use crate::route::AttemptKey;
use crate::route::Criteria;
use crate::route::GroupKey;
use crate::route::GroupKind;
use crate::route::Router;
use crate::route::TargetKey;

/// The longest time between two calls of [`Flow::poll`] while requests are open. It is about three engine
/// steps, so that requests that will miss their deadline, due hedges and overdue first tokens are noticed
/// promptly.
pub const POLL_INTERVAL: Millis = Millis(20);

/// The percentile of the time to first token (TTFT) after which an idempotent request is hedged. This hedges
/// one request in twenty, which is half of what the retry budget can pay for.
const HEDGE_PERCENTILE: usize = 95;

/// The settings of a [`Flow`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// The entry's name. The entry's subset of targets is chosen by it.
    pub name: InstanceName,
    /// The entry's availability zone.
    pub zone: ZoneName,
    /// The seed of the random number generators.
    pub seed: u64,
    /// The bounds of each group's queue.
    pub bounds: Bounds,
}

impl Settings {
    /// Returns settings with the default bounds.
    pub fn new(name: InstanceName, zone: ZoneName, seed: u64) -> Self {
        Self {
            name,
            zone,
            seed,
            bounds: Bounds::default(),
        }
    }
}

/// A request that is offered for admission.
#[derive(Clone, Debug)]
pub struct Offer {
    /// The group of targets that may serve the request.
    pub group: GroupKey,
    /// The organisation that sent the request.
    pub org: OrgName,
    /// The priority of the request.
    pub priority: Priority,
    /// The time by which the answer has to be complete.
    pub deadline: Millis,
    /// The criteria for the choice of a target.
    pub criteria: Criteria,
}

/// A change of state of a waiting request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The request is sent to the target now.
    Send {
        /// The request.
        ticket: TicketKey,
        /// The attempt that this event starts.
        attempt: AttemptKey,
        /// The target of the attempt.
        target: TargetKey,
    },
    /// The request is refused, and thereby ended.
    Refuse {
        /// The request.
        ticket: TicketKey,
        /// The reason, and the time after which the caller should come back.
        refusal: Refusal,
    },
    /// It is unknown whether the request ran, and no retry fits before its deadline. The request has ended.
    Unknown {
        /// The request.
        ticket: TicketKey,
    },
}

/// The consequence of an attempt's end for its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The answer is complete and the request has ended. Attempts that are still open at other targets have
    /// to be withdrawn; [`Flow::first_token`] has returned them.
    Complete,
    /// The request waits for another attempt. An event follows.
    Retry,
    /// Another attempt of the request is still open. The caller does nothing.
    Pending,
    /// The request did not run and has ended.
    Refused(Refusal),
    /// It is unknown whether the request ran. The request has ended.
    Unknown,
    /// The request had already ended. The attempt's answer must not reach the caller.
    Stale,
}

#[derive(Debug)]
struct Ticket {
    group: GroupKey,
    org: OrgName,
    priority: Priority,
    arrived: Millis,
    deadline: Millis,
    criteria: Criteria,
    attempts: u32,
    open: Vec<AttemptKey>,
    answered: bool,
    hedged: bool,
    may_have_run: bool,
    charged: f64,
    retry_at: Option<Millis>,
}

/// The open requests of one entry, and the router and queues that serve them.
#[derive(Debug)]
pub struct Flow {
    settings: Settings,
    router: Router,
    queues: SecondaryMap<GroupKey, Admission>,
    tickets: SlotMap<TicketKey, Ticket>,
    owners: SecondaryMap<AttemptKey, TicketKey>,
    budget: Budget,
    rng: ChaCha8Rng,
    events: Vec<Event>,
    last_sweep: Millis,
}

impl Flow {
    /// Creates a flow without targets.
    pub fn new(settings: Settings) -> Self {
        let router = Router::new(settings.name.clone(), settings.zone.clone(), settings.seed);
        Self {
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
            router,
            queues: SecondaryMap::new(),
            tickets: SlotMap::with_key(),
            owners: SecondaryMap::new(),
            budget: Budget::default(),
            events: Vec::new(),
            last_sweep: Millis::ZERO,
        }
    }

    /// Returns the router.
    pub fn router(&self) -> &Router {
        &self.router
    }

    /// Returns the router for updates of targets, candidates, load and cache contents.
    pub fn router_mut(&mut self) -> &mut Router {
        &mut self.router
    }

    /// Returns the queue of a group.
    pub fn queue(&self, group: GroupKey) -> Option<&Admission> {
        self.queues.get(group)
    }

    /// Returns the number of requests that have not ended.
    pub fn open_count(&self) -> usize {
        self.tickets.len()
    }

    /// Returns the request that an attempt belongs to, or `None` once the attempt's answer must not reach a
    /// caller.
    pub fn owner(&self, attempt: AttemptKey) -> Option<TicketKey> {
        self.owners.get(attempt).copied()
    }

    /// Adds a group of targets with an empty queue.
    pub fn add_group(&mut self, kind: GroupKind) -> GroupKey {
        let group = self.router.add_group(kind);
        let queue = Admission::new(self.settings.bounds, self.settings.seed);
        self.queues.insert(group, queue);
        group
    }

    /// Sets an organisation's weight in a group's queue. The default is one.
    pub fn set_weight(&mut self, group: GroupKey, org: &OrgName, weight: f64) {
        if let Some(queue) = self.queues.get_mut(group) {
            queue.set_weight(org, weight);
        }
    }

    /// Admits a request to its group's queue, or refuses it at once. [`Self::poll`] reports when to send it.
    ///
    /// # Errors
    /// Returns the refusal if the request is not admitted. The request did not run and will not run.
    pub fn offer(&mut self, now: Millis, offer: Offer) -> Result<TicketKey, Refusal> {
        let ticket = self.tickets.insert(Ticket {
            group: offer.group,
            org: offer.org,
            priority: offer.priority,
            arrived: now,
            deadline: offer.deadline,
            criteria: offer.criteria,
            attempts: 0,
            open: Vec::new(),
            answered: false,
            hedged: false,
            may_have_run: false,
            charged: 0.0,
            retry_at: None,
        });
        let admitted = self.admit(now, ticket);
        if admitted.is_err() {
            self.tickets.remove(ticket);
        }
        admitted.map(|()| ticket)
    }

    fn admit(&mut self, now: Millis, ticket: TicketKey) -> Result<(), Refusal> {
        let group = self.tickets[ticket].group;
        let item = self.item(ticket);
        let load = self.group_load(now, group);
        let Some(queue) = self.queues.get_mut(group) else {
            return Err(group_removed());
        };
        if !self.router.has_target(now, group) {
            return Err(queue.refuse(now, &item, &load, Reason::NoTarget));
        }
        queue.offer(now, item, &load)?;
        if let Some((ticket, refusal)) = queue.trim(now, &load) {
            self.end_refused(ticket, refusal);
        }
        Ok(())
    }

    fn item(&self, key: TicketKey) -> Item {
        let ticket = &self.tickets[key];
        Item {
            ticket: key,
            org: ticket.org.clone(),
            priority: ticket.priority,
            work: ticket.criteria.cost.work(),
            long: self.router.is_long(ticket.group, ticket.criteria.cost),
            arrived: ticket.arrived,
            deadline: ticket.deadline,
        }
    }

    fn group_load(&self, now: Millis, group: GroupKey) -> GroupLoad {
        GroupLoad {
            limit: self.router.group_limit(now, group),
            in_flight: self.router.in_flight(group),
            slot_rate: self.router.slot_rate(group),
            long_in_flight: self.router.long_in_flight(group),
        }
    }

    /// Returns the requests to send now, the requests refused and those that ended with an unknown outcome.
    pub fn poll(&mut self, now: Millis) -> Vec<Event> {
        self.requeue_due(now);
        if now.since(self.last_sweep) >= POLL_INTERVAL {
            self.last_sweep = now;
            self.router.mark_overdue(now);
            self.expire(now);
            self.hedge(now);
        }
        let groups: Vec<_> = self.queues.keys().collect();
        for group in groups {
            self.send_waiting(now, group);
        }
        std::mem::take(&mut self.events)
    }

    /// Returns the time by which [`Self::poll`] has to be called again, or `None` while no request is open.
    pub fn next_poll(&self) -> Option<Millis> {
        (!self.tickets.is_empty()).then_some(self.last_sweep + POLL_INTERVAL)
    }

    fn send_waiting(&mut self, now: Millis, group: GroupKey) {
        loop {
            let Some(queue) = self.queues.get(group).filter(|queue| !queue.is_empty()) else {
                return;
            };
            let long = self.router.long_priority(now, group);
            let eligibility = queue.eligibility(now, long, &self.group_load(now, group));
            let Some(ticket) = queue.peek(eligibility).map(|item| item.ticket) else {
                return;
            };
            let criteria = &self.tickets[ticket].criteria;
            let Some(target) = self.router.choose(now, group, criteria) else {
                return;
            };
            let taken = self.queues[group].take(eligibility);
            self.tickets[ticket].charged = taken.map_or(0.0, |item| item.work);
            self.send(now, ticket, target);
        }
    }

    fn send(&mut self, now: Millis, key: TicketKey, target: TargetKey) {
        let ticket = &mut self.tickets[key];
        if ticket.attempts == 0 {
            self.budget.earn();
        }
        ticket.attempts += 1;
        let attempt = self
            .router
            .start_attempt(now, ticket.group, target, &ticket.criteria);
        ticket.criteria.tried.push(target);
        ticket.open.push(attempt);
        self.owners.insert(attempt, key);
        self.events.push(Event::Send {
            ticket: key,
            attempt,
            target,
        });
    }

    fn expire(&mut self, now: Millis) {
        let groups: Vec<_> = self.queues.keys().collect();
        for group in groups {
            let load = self.group_load(now, group);
            let expired = self.queues[group].expire(now, &load);
            for (ticket, refusal) in expired {
                self.end_refused(ticket, refusal);
            }
        }
    }

    /// Ends a request that cannot be sent. A refusal guarantees that the request did not run, so a request
    /// that waits for a retry after an attempt with an unknown outcome ends as unknown instead.
    fn end_refused(&mut self, ticket: TicketKey, refusal: Refusal) {
        let may_have_run = self.tickets.remove(ticket).is_some_and(|t| t.may_have_run);
        self.events.push(if may_have_run {
            Event::Unknown { ticket }
        } else {
            Event::Refuse { ticket, refusal }
        });
    }

    fn requeue_due(&mut self, now: Millis) {
        let due: Vec<_> = self
            .tickets
            .iter()
            .filter(|(_, ticket)| ticket.retry_at.is_some_and(|due| due <= now))
            .map(|(key, _)| key)
            .collect();
        for key in due {
            self.tickets[key].retry_at = None;
            let item = self.item(key);
            let group = self.tickets[key].group;
            let load = self.group_load(now, group);
            let Some(queue) = self.queues.get_mut(group) else {
                continue;
            };
            queue.put_back(now, item);
            if let Some((ticket, refusal)) = queue.trim(now, &load) {
                self.end_refused(ticket, refusal);
            }
        }
    }

    /// Hedges idempotent requests whose first token is later than [`HEDGE_PERCENTILE`] percent of the group's
    /// recent first tokens.
    ///
    /// Hedges are sent only while no request waits. In an overload every first token is late, and hedges
    /// would double the load that causes the delay.
    fn hedge(&mut self, now: Millis) {
        let late: Vec<_> = self
            .tickets
            .iter()
            .filter(|(_, ticket)| self.may_hedge(now, ticket))
            .map(|(key, _)| key)
            .collect();
        for key in late {
            let ticket = &self.tickets[key];
            let target = self.router.choose(now, ticket.group, &ticket.criteria);
            let fresh = target.filter(|target| !ticket.criteria.tried.contains(target));
            if let Some(target) = fresh
                && self.budget.spend_hedge()
            {
                self.tickets[key].hedged = true;
                self.send(now, key, target);
            }
        }
    }

    fn may_hedge(&self, now: Millis, ticket: &Ticket) -> bool {
        let [attempt] = ticket.open[..] else {
            return false;
        };
        let idle = self
            .queues
            .get(ticket.group)
            .is_some_and(Admission::is_empty);
        if !ticket.criteria.idempotent || ticket.hedged || ticket.answered || !idle {
            return false;
        }
        let threshold = self.router.ttft_quantile(ticket.group, HEDGE_PERCENTILE);
        let waited = self.router.unanswered_for(now, attempt);
        matches!((waited, threshold), (Some(waited), Some(threshold)) if waited > threshold)
    }

    /// Records an attempt's first token or byte. Returns the request's other attempts, which have lost the
    /// race: the caller withdraws them from their targets and passes nothing of them on.
    pub fn first_token(&mut self, now: Millis, attempt: AttemptKey) -> Vec<AttemptKey> {
        self.router.first_token(now, attempt);
        let Some(key) = self.owners.get(attempt).copied() else {
            return Vec::new();
        };
        let Some(ticket) = self.tickets.get_mut(key) else {
            return Vec::new();
        };
        ticket.answered = true;
        let lost = std::mem::replace(&mut ticket.open, vec![attempt]);
        let lost: Vec<_> = lost.into_iter().filter(|open| *open != attempt).collect();
        for attempt in &lost {
            self.withdraw(now, *attempt);
        }
        lost
    }

    fn withdraw(&mut self, now: Millis, attempt: AttemptKey) {
        self.owners.remove(attempt);
        self.router.cancel_attempt(now, attempt);
    }

    /// Ends an attempt and returns the consequence for its request.
    pub fn finish(&mut self, now: Millis, attempt: AttemptKey, outcome: Outcome) -> Ended {
        self.router.finish_attempt(now, attempt, outcome);
        let Some(key) = self.owners.remove(attempt) else {
            return Ended::Stale;
        };
        let Some(ticket) = self.tickets.get_mut(key) else {
            return Ended::Stale;
        };
        ticket.open.retain(|open| *open != attempt);
        match outcome {
            Outcome::Ran { cost } => self.complete(now, key, cost.work()),
            Outcome::Unknown => {
                ticket.may_have_run = true;
                self.end_unanswered(now, key, outcome)
            }
            Outcome::NotRun(_) => self.end_unanswered(now, key, outcome),
        }
    }

    fn complete(&mut self, now: Millis, key: TicketKey, work: f64) -> Ended {
        let Some(ticket) = self.tickets.remove(key) else {
            return Ended::Stale;
        };
        for attempt in &ticket.open {
            self.withdraw(now, *attempt);
        }
        if let Some(queue) = self.queues.get_mut(ticket.group) {
            queue.settle(&ticket.org, ticket.charged, work);
        }
        Ended::Complete
    }

    fn end_unanswered(&mut self, now: Millis, key: TicketKey, outcome: Outcome) -> Ended {
        let ticket = &self.tickets[key];
        if !ticket.open.is_empty() {
            return Ended::Pending;
        }
        let load = self.group_load(now, ticket.group);
        let attempted = FailedAttempt {
            outcome,
            attempts: ticket.attempts,
            idempotent: ticket.criteria.idempotent,
            answered: ticket.answered,
            time_left: ticket.deadline.since(now),
            expected_time: load.run_time(ticket.criteria.cost.work()),
        };
        match decide(&mut self.budget, &mut self.rng, &attempted) {
            Decision::Retry { after } => self.schedule_retry(now, key, after, outcome),
            Decision::GiveUp => self.give_up(now, key, &load),
        }
    }

    fn schedule_retry(
        &mut self,
        now: Millis,
        key: TicketKey,
        after: Millis,
        outcome: Outcome,
    ) -> Ended {
        let ticket = &mut self.tickets[key];
        ticket.retry_at = Some(now + after);
        let ran = matches!(outcome, Outcome::Unknown);
        let actual = if ran { ticket.charged } else { 0.0 };
        if let Some(queue) = self.queues.get_mut(ticket.group) {
            queue.settle(&ticket.org, ticket.charged, actual);
        }
        Ended::Retry
    }

    fn give_up(&mut self, now: Millis, key: TicketKey, load: &GroupLoad) -> Ended {
        let item = self.item(key);
        let Some(ticket) = self.tickets.remove(key) else {
            return Ended::Stale;
        };
        let Some(queue) = self.queues.get_mut(ticket.group) else {
            return Ended::Refused(group_removed());
        };
        let actual = if ticket.may_have_run {
            ticket.charged
        } else {
            0.0
        };
        queue.settle(&ticket.org, ticket.charged, actual);
        if ticket.may_have_run {
            return Ended::Unknown;
        }
        Ended::Refused(queue.refuse(now, &item, load, Reason::NotRun))
    }

    /// Ends a request whose caller left. Returns the attempts to withdraw.
    pub fn cancel(&mut self, now: Millis, key: TicketKey) -> Vec<AttemptKey> {
        let Some(ticket) = self.tickets.remove(key) else {
            return Vec::new();
        };
        if let Some(queue) = self.queues.get_mut(ticket.group) {
            queue.cancel(now, &ticket.org, key);
            if !ticket.open.is_empty() {
                queue.settle(&ticket.org, ticket.charged, ticket.charged);
            }
        }
        for attempt in &ticket.open {
            self.withdraw(now, *attempt);
        }
        ticket.open
    }
}

/// Returns the refusal for a request whose group was removed between the choice of the group and the offer.
fn group_removed() -> Refusal {
    Refusal {
        reason: Reason::NoTarget,
        retry_after: Millis::secs(1),
    }
}
