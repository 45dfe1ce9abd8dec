//! Decides which requests wait and which are refused, and when refused callers should come back.
//!
//! *Load pattern*: a burst of ten times the load in one second, or three times the load for hours. Without
//! bounds the queue grows until every answer comes after its deadline: the engines are full and nobody is
//! served. Here a request waits only if, at the measured rate, its answer can be complete by its deadline;
//! otherwise it is refused at once with a time to come back. A waiting request that can no longer make its
//! deadline is refused at that moment.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slotmap::new_key_type;
use thiserror::Error;

use filbertstack_core::Millis;
use filbertstack_core::names::OrgName;

use crate::fair::Eligibility;
use crate::fair::FairQueue;
use crate::fair::Item;
use crate::fair::LongPriority;
use crate::route::LONG_EQUAL_SHARE;
use crate::route::LONG_MAX_SHARE;
use crate::units::millis;
use crate::units::secs;

new_key_type! {
    /// Identifies one request from its offer to its final answer.
    pub struct TicketKey;
}

/// The maximum number of waiting requests of one organisation. At an entry that completes 30 requests a
/// second these are four seconds' worth; deadlines usually limit the wait earlier.
const ORG_QUEUE_MAX: usize = 128;

/// The maximum number of waiting requests in all. It bounds the memory that their bodies take: at 16 KiB
/// each, 16 MiB of an entry's 128 MB.
const QUEUE_MAX: usize = 1024;

/// The share of the remaining time that the expected wait may take during a burst. The estimate lags behind
/// the actual rate by about a second, which the rest of the time covers.
const BURST_SHARE: f64 = 0.6;

/// The same share once the organisation's queue has lasted for [`BURST_SPAN`]. A long-lasting queue yields no
/// more answers than a short one; it only makes every answer later.
const STANDING_SHARE: f64 = 0.2;

/// The time up to which a queue counts as the result of a burst. Ten times the load for one second, at
/// engines that are half full, is worked off in nine seconds.
const BURST_SPAN: Millis = Millis::secs(10);

/// The number of slots kept free for organisations within their share, as a multiple of the square root of
/// the slots that they use. Their usage varies by about its square root: with a factor of three, one of their
/// requests in a thousand would wait, and the engines run below their slowest step. Under one hot
/// organisation, the p99 of the others is 1.52 times their p99 without that organisation if no slots are kept
/// free, 1.23 times with a factor of two and 1.19 times with a factor of three.
const RESERVE_FACTOR: f64 = 3.0;

/// The margin on a request's own run time against the mean rate: a step of a full batch takes a quarter
/// longer than a step of a half-full one.
const SERVICE_MARGIN: f64 = 1.25;

/// The shortest time after which a refused caller is told to come back.
const MIN_RETRY: Millis = Millis(200);

/// The longest time after which a refused caller is told to come back. With a longer time, a caller refused
/// during a burst would stay away long after the end of the burst.
const MAX_RETRY: Millis = Millis::secs(30);

/// The rate per slot that spreads return times before any rate was measured, in generated tokens a second:
/// one sequence of a full batch at 8.6 ms a step.
const DEFAULT_RATE: f64 = 100.0;

/// The smallest number of slots in an estimate, which keeps the estimate finite.
const MIN_SLOTS: f64 = 0.1;

/// The bounds of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The maximum number of waiting requests of one organisation.
    pub org: usize,
    /// The maximum number of waiting requests in all.
    pub total: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            org: ORG_QUEUE_MAX,
            total: QUEUE_MAX,
        }
    }
}

/// The load and the capacity of a group's targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GroupLoad {
    /// The number of requests that may be in flight.
    pub limit: f64,
    /// The number of requests in flight.
    pub in_flight: u32,
    /// The work that one slot completes in a second, if measured.
    pub slot_rate: Option<f64>,
    /// The number of long requests in flight.
    pub long_in_flight: u32,
}

impl GroupLoad {
    /// Returns the time that work takes once it is sent, or zero before any rate was measured.
    pub fn run_time(&self, work: f64) -> Millis {
        self.slot_rate
            .map_or(Millis::ZERO, |rate| millis(work / rate))
    }

    /// Returns the share of the used slots that long or short requests hold, but at least the share that they
    /// may soon get.
    fn slot_share(&self, long: bool) -> f64 {
        let share = f64::from(self.long_in_flight) / f64::from(self.in_flight.max(1));
        if long {
            share.max(LONG_EQUAL_SHARE)
        } else {
            (1.0 - share).max(1.0 - LONG_MAX_SHARE)
        }
    }

    /// Returns the time in which `slots` complete the work.
    fn drain_time(&self, work: f64, slots: f64) -> Millis {
        scale(self.run_time(work), 1.0 / slots)
    }

    /// Returns whether an estimate may refuse requests. With nothing in flight nothing is measured either: a
    /// rate that was once measured as too slow would then refuse everything forever.
    fn is_measured(&self) -> bool {
        self.in_flight > 0 && self.slot_rate.is_some()
    }
}

/// The reason for which a request is refused without having run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Reason {
    /// The organisation's queue is full.
    #[error("the organisation's queue is full: send less at once, or come back when told")]
    OrgQueueFull,
    /// The queue of the group is full.
    #[error("the queue is full: come back when told")]
    QueueFull,
    /// The answer could not be complete by the deadline.
    #[error("the answer would miss its deadline: come back when told, or allow more time")]
    Deadline,
    /// No target takes work.
    #[error("no target takes work: come back when told; operators see the targets with 'status'")]
    NoTarget,
    /// Targets refused the request, and no attempt is left.
    #[error("the targets tried did not run it: come back when told")]
    NotRun,
}

/// A refusal of a request that did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{reason} (in {retry_after})")]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// The time after which the caller should come back. It is spread, so that callers refused together do
    /// not come back together.
    pub retry_after: Millis,
}

/// The bounded queue of one group of targets.
#[derive(Debug)]
pub struct Admission {
    queue: FairQueue,
    bounds: Bounds,
    booked_until: BTreeMap<OrgName, Millis>,
    rng: ChaCha8Rng,
}

impl Admission {
    /// Creates an empty queue. `seed` determines the jitter of return times.
    pub fn new(bounds: Bounds, seed: u64) -> Self {
        Self {
            queue: FairQueue::default(),
            bounds,
            booked_until: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Sets an organisation's weight. The default is one.
    pub fn set_weight(&mut self, org: &OrgName, weight: f64) {
        self.queue.set_weight(org, weight);
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Returns the number of waiting requests of the organisation.
    pub fn queued(&self, org: &OrgName) -> usize {
        self.queue.queued(org)
    }

    /// Adds the request to the queue, or refuses it at once.
    ///
    /// # Errors
    /// Returns the refusal if the queue is full or the deadline cannot be met.
    pub fn offer(&mut self, now: Millis, item: Item, load: &GroupLoad) -> Result<(), Refusal> {
        if self.queue.queued(&item.org) >= self.bounds.org {
            return Err(self.refuse(now, &item, load, Reason::OrgQueueFull));
        }
        if load.is_measured() && !self.meets_deadline(now, &item, load) {
            return Err(self.refuse(now, &item, load, Reason::Deadline));
        }
        self.queue.push(now, item);
        Ok(())
    }

    fn meets_deadline(&self, now: Millis, item: &Item, load: &GroupLoad) -> bool {
        let wait = self.expected_wait(item, load);
        let run_time = load.run_time(item.work * SERVICE_MARGIN);
        let left = item.deadline.since(now);
        let is_standing = self.queue.standing_time(now, &item.org) > BURST_SPAN;
        let share = if is_standing {
            STANDING_SHARE
        } else {
            BURST_SHARE
        };
        run_time <= left && wait <= scale(left.since(run_time), share)
    }

    /// Returns the conditions under which a request may be served now. An organisation with a standing queue
    /// gets slots beyond its fair share only while enough slots stay free for the others.
    pub fn eligibility(&self, now: Millis, long: LongPriority, load: &GroupLoad) -> Eligibility {
        let reserved = self.reserved(load);
        let next = f64::from(load.in_flight) + 1.0;
        let free = reserved == 0.0 || next + reserved <= load.limit;
        let per_weight = self.queue.slots_per_weight(load.limit);
        Eligibility {
            long,
            slot_cap: if free { f64::INFINITY } else { per_weight },
            now,
        }
    }

    /// Refuses a request of the organisation with the longest queue if the queue exceeds its total bound. A
    /// flood from one organisation therefore never closes the queue to others.
    pub fn trim(&mut self, now: Millis, load: &GroupLoad) -> Option<(TicketKey, Refusal)> {
        if self.queue.len() <= self.bounds.total {
            return None;
        }
        let last = self.queue.last_of_longest()?.clone();
        self.queue.remove(now, &last.org, last.ticket);
        let refusal = self.refuse(now, &last, load, Reason::QueueFull);
        Some((last.ticket, refusal))
    }

    /// Puts a request back at the front for another attempt.
    pub fn put_back(&mut self, now: Millis, item: Item) {
        self.queue.push_front(now, item);
    }

    /// Returns the request to serve next.
    pub fn peek(&self, eligibility: Eligibility) -> Option<&Item> {
        self.queue.peek(eligibility)
    }

    /// Removes and returns the request that [`Self::peek`] returns, and charges its organisation. Every taken
    /// request has to be settled once.
    pub fn take(&mut self, eligibility: Eligibility) -> Option<Item> {
        self.queue.take(eligibility)
    }

    /// Settles a taken request: replaces the charge by the actual work.
    pub fn settle(&mut self, org: &OrgName, charged: f64, actual: f64) {
        self.queue.settle(org, charged, actual);
    }

    /// Removes a request whose caller left.
    pub fn cancel(&mut self, now: Millis, org: &OrgName, ticket: TicketKey) -> bool {
        self.queue.remove(now, org, ticket).is_some()
    }

    /// Refuses the waiting requests that can no longer make their deadline, for example after a loss of
    /// targets.
    pub fn expire(&mut self, now: Millis, load: &GroupLoad) -> Vec<(TicketKey, Refusal)> {
        self.queue.prune(now);
        let expired = self.expired_items(now, load);
        expired
            .into_iter()
            .map(|item| {
                self.queue.remove(now, &item.org, item.ticket);
                let refusal = self.refuse(now, &item, load, Reason::Deadline);
                (item.ticket, refusal)
            })
            .collect()
    }

    fn expired_items(&self, now: Millis, load: &GroupLoad) -> Vec<Item> {
        let mut expired = Vec::new();
        for org in self.queue.waiting() {
            for lane in org {
                self.expired_in(now, lane, load, &mut expired);
            }
        }
        expired
    }

    fn expired_in(
        &self,
        now: Millis,
        lane: &VecDeque<Item>,
        load: &GroupLoad,
        expired: &mut Vec<Item>,
    ) {
        let Some(head) = lane.front() else {
            return;
        };
        let slots = self.slots_for(head, load);
        let mut ahead = 0.0;
        for item in lane {
            let wait = load.drain_time(ahead, slots);
            if now + wait + load.run_time(item.work) > item.deadline {
                expired.push(item.clone());
            } else {
                ahead += item.work;
            }
        }
    }

    /// Returns the expected wait of a new request.
    pub fn expected_wait(&self, item: &Item, load: &GroupLoad) -> Millis {
        let ahead = self.queue.work_ahead(item);
        load.drain_time(ahead, self.slots_for(item, load))
    }

    /// Returns the number of slots that serve requests like `item` while its organisation has a queue: the
    /// used slots that organisations without a queue leave over, or at least the organisation's fair share.
    ///
    /// The estimate counts used slots and not the limits: while requests wait, the used slots are what the
    /// targets provide.
    fn slots_for(&self, item: &Item, load: &GroupLoad) -> f64 {
        let used = f64::from(load.in_flight).max(1.0);
        let unqueued = f64::from(self.queue.unqueued_in_flight(&item.org));
        let left = (used - unqueued) * self.queue.share(&item.org, item.priority);
        let fair = used * self.queue.fair_share(&item.org);
        (left.max(fair) * load.slot_share(item.long)).max(MIN_SLOTS)
    }

    /// Returns the number of slots to keep free for organisations within their share.
    fn reserved(&self, load: &GroupLoad) -> f64 {
        let light = f64::from(self.queue.light_in_flight(load.limit));
        light.sqrt() * RESERVE_FACTOR
    }

    /// Returns a refusal whose return time follows those of all refusals before it.
    ///
    /// If every refused caller were told the present wait, all callers refused within one second would also
    /// come back within one second. So each refusal books its organisation's capacity for the request's work,
    /// and the next refusal gets a later time.
    pub fn refuse(
        &mut self,
        now: Millis,
        item: &Item,
        load: &GroupLoad,
        reason: Reason,
    ) -> Refusal {
        let rate = load.slot_rate.unwrap_or(DEFAULT_RATE);
        let run_time = millis(item.work / rate / self.slots_for(item, load));
        let earliest = now + self.expected_wait(item, load) + MIN_RETRY;
        let booked = self.booked_until.entry(item.org.clone()).or_default();
        let return_at = (*booked).max(earliest);
        *booked = (return_at + run_time).min(now + MAX_RETRY);
        let retry_after = self.jitter(return_at.since(now));
        Refusal {
            reason,
            retry_after,
        }
    }

    /// Extends a span at random by up to a half. A span beyond the maximum becomes a random time in the
    /// second half of the maximum.
    fn jitter(&mut self, span: Millis) -> Millis {
        let factor = self.rng.random_range(1.0..1.5);
        let later = scale(span, factor);
        if later < MAX_RETRY {
            return later.max(MIN_RETRY);
        }
        scale(MAX_RETRY, self.rng.random_range(0.5..1.0))
    }
}

fn scale(span: Millis, factor: f64) -> Millis {
    millis(secs(span) * factor)
}
