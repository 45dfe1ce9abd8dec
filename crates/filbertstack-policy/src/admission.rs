//! Who is served, who waits, who is refused, and when to come back.
//!
//! *Load pattern*: a burst of ten times the load in one second, or three times the load for
//! hours. Without bounds the queue grows until every answer comes after its deadline: the
//! engines are full and nobody is served. Here a request waits only if, at the measured pace, its
//! answer can be whole by its deadline; otherwise it is refused at once with a time to return.
//! What becomes hopeless while it waits is refused at that moment.

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
    /// One request from its offer to its final answer.
    pub struct TicketKey;
}

/// The requests of one organisation that may wait: at an entry that ends 30 requests a second
/// they are four seconds' worth, and deadlines bound the wait before that.
const ORG_QUEUE_MAX: usize = 128;

/// The requests that may wait in all, for the memory that their bodies take: at 16 KiB each,
/// 16 MiB of a node's 128 MB.
const QUEUE_MAX: usize = 1024;

/// How much of the time left the estimated wait may fill in a burst: the estimate follows the
/// pace by about a second, for which the rest is kept.
const BURST_SHARE: f64 = 0.6;

/// The same once the organisation's queue has stood for [`BURST_SPAN`]. A standing queue brings no
/// more answers than a short one; it only makes each of them late.
const STANDING_SHARE: f64 = 0.2;

/// How long a queue may last as a burst's. Ten times the load for one second, on engines half
/// full, is worked off in nine.
const BURST_SPAN: Millis = Millis::secs(10);

/// The places kept free for organisations within their share, in square roots of the places that
/// they hold. What they hold varies by about its root: at three roots one request in a thousand
/// of theirs would wait, and the engines run below their slowest step. Under one hot organisation
/// the others' p99 is 1.52 times that alone without it, 1.23 with two roots and 1.19 with three.
const RESERVE_FACTOR: f64 = 3.0;

/// What is allowed for a request's own time against the mean pace: full batches step a quarter
/// slower than half-full ones.
const SERVICE_MARGIN: f64 = 1.25;

/// The soonest that a refused caller is told to come back.
const MIN_RETRY: Millis = Millis(200);

/// The latest. Longer, and a caller refused in a burst would stay away long after its end.
const MAX_RETRY: Millis = Millis::secs(30);

/// The pace by which return times are spread before any was measured, in generated tokens a
/// second: a sequence of a full batch at 8.6 ms a step.
const DEFAULT_RATE: f64 = 100.0;

/// The fewest places that an estimate counts with, so that it stays finite.
const MIN_SLOTS: f64 = 0.1;

/// The bounds of the queues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The requests of one organisation that may wait.
    pub org: usize,
    /// The requests that may wait in all.
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

/// What the group's targets can do now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GroupLoad {
    /// The requests that may be in flight.
    pub limit: f64,
    /// The requests that are.
    pub in_flight: u32,
    /// The work a second of one of them, if measured.
    pub slot_rate: Option<f64>,
    /// The long requests among them.
    pub long_in_flight: u32,
}

impl GroupLoad {
    /// The time that work takes once it is sent; none before any was measured.
    pub fn run_time(&self, work: f64) -> Millis {
        self.slot_rate
            .map_or(Millis::ZERO, |rate| millis(work / rate))
    }

    /// The part of the places in use that long or short requests hold, but at least what they may
    /// soon get.
    fn slot_share(&self, long: bool) -> f64 {
        let share = f64::from(self.long_in_flight) / f64::from(self.in_flight.max(1));
        if long {
            share.max(LONG_EQUAL_SHARE)
        } else {
            (1.0 - share).max(1.0 - LONG_MAX_SHARE)
        }
    }

    /// The time in which `slots` do the work.
    fn drain_time(&self, work: f64, slots: f64) -> Millis {
        scale(self.run_time(work), 1.0 / slots)
    }

    /// Whether an estimate may refuse. With nothing in flight nothing is measured either: a pace
    /// once found too slow would then refuse everything for ever.
    fn is_measured(&self) -> bool {
        self.in_flight > 0 && self.slot_rate.is_some()
    }
}

/// Why a request is refused without having run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Reason {
    /// The organisation's queue is full.
    #[error("the organisation's queue is full: send less at once, or come back when told")]
    OrgQueueFull,
    /// The queue is full.
    #[error("the queue is full: come back when told")]
    QueueFull,
    /// The answer could not be whole by the deadline.
    #[error("the answer would miss its deadline: come back when told, or allow more time")]
    Deadline,
    /// No target takes work.
    #[error("no target takes work: come back when told; operators see the targets with 'status'")]
    NoTarget,
    /// Targets refused it, and no attempt is left.
    #[error("the targets tried did not run it: come back when told")]
    NotRun,
}

/// A refusal: the request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{reason} (in {retry_after})")]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When the caller should come back, from now; spread, so that those refused together do not
    /// come back together.
    pub retry_after: Millis,
}

/// The queue before one group of targets.
#[derive(Debug)]
pub struct Admission {
    queue: FairQueue,
    bounds: Bounds,
    booked_until: BTreeMap<OrgName, Millis>,
    rng: ChaCha8Rng,
}

impl Admission {
    /// An empty queue; `seed` rules the spread of return times.
    pub fn new(bounds: Bounds, seed: u64) -> Self {
        Self {
            queue: FairQueue::default(),
            bounds,
            booked_until: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Sets an organisation's weight; one is the usual.
    pub fn set_weight(&mut self, org: &OrgName, weight: f64) {
        self.queue.set_weight(org, weight);
    }

    /// The requests that wait.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// The organisation's requests that wait.
    pub fn queued(&self, org: &OrgName) -> usize {
        self.queue.queued(org)
    }

    /// Lets the request wait, or refuses it at once.
    ///
    /// # Errors
    /// The refusal, if the queue is full or the deadline out of reach.
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

    /// Who may be served now: organisations with a standing queue beyond their fair share only
    /// while enough places stay free for the others.
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

    /// Takes the excess over the bound in all from the organisation with the longest queue, so
    /// that a flood of one never closes the queue to the others.
    pub fn trim(&mut self, now: Millis, load: &GroupLoad) -> Option<(TicketKey, Refusal)> {
        if self.queue.len() <= self.bounds.total {
            return None;
        }
        let last = self.queue.last_of_longest()?.clone();
        self.queue.remove(now, &last.org, last.ticket);
        let refusal = self.refuse(now, &last, load, Reason::QueueFull);
        Some((last.ticket, refusal))
    }

    /// Puts a request back to the front after an attempt that did not run.
    pub fn put_back(&mut self, now: Millis, item: Item) {
        self.queue.push_front(now, item);
    }

    /// The request that is served next.
    pub fn peek(&self, eligibility: Eligibility) -> Option<&Item> {
        self.queue.peek(eligibility)
    }

    /// Takes the request that [`Self::peek`] shows, and charges its organisation. What is taken
    /// has to be settled once.
    pub fn take(&mut self, eligibility: Eligibility) -> Option<Item> {
        self.queue.take(eligibility)
    }

    /// Settles what was taken: corrects the charge, once the work is known.
    pub fn settle(&mut self, org: &OrgName, charged: f64, actual: f64) {
        self.queue.settle(org, charged, actual);
    }

    /// Takes out a request whose caller left.
    pub fn cancel(&mut self, now: Millis, org: &OrgName, ticket: TicketKey) -> bool {
        self.queue.remove(now, org, ticket).is_some()
    }

    /// Refuses what can no longer make its deadline, as after a loss of targets.
    pub fn expire(&mut self, now: Millis, load: &GroupLoad) -> Vec<(TicketKey, Refusal)> {
        self.queue.prune(now);
        let late = self.late_items(now, load);
        late.into_iter()
            .map(|item| {
                self.queue.remove(now, &item.org, item.ticket);
                let refusal = self.refuse(now, &item, load, Reason::Deadline);
                (item.ticket, refusal)
            })
            .collect()
    }

    fn late_items(&self, now: Millis, load: &GroupLoad) -> Vec<Item> {
        let mut late = Vec::new();
        for org in self.queue.waiting() {
            for lane in org {
                self.late_in(now, lane, load, &mut late);
            }
        }
        late
    }

    fn late_in(&self, now: Millis, lane: &VecDeque<Item>, load: &GroupLoad, late: &mut Vec<Item>) {
        let Some(head) = lane.front() else {
            return;
        };
        let slots = self.slots_for(head, load);
        let mut ahead = 0.0;
        for item in lane {
            let wait = load.drain_time(ahead, slots);
            if now + wait + load.run_time(item.work) > item.deadline {
                late.push(item.clone());
            } else {
                ahead += item.work;
            }
        }
    }

    /// The time that a new request is expected to wait.
    pub fn expected_wait(&self, item: &Item, load: &GroupLoad) -> Millis {
        let ahead = self.queue.work_ahead(item);
        load.drain_time(ahead, self.slots_for(item, load))
    }

    /// The places that work like the item's gets while its organisation has a queue: of those in
    /// use, the ones that organisations without a queue leave, but at least its fair share.
    ///
    /// What is in use counts and not what the limits allow: while something waits, that is what
    /// the targets give.
    fn slots_for(&self, item: &Item, load: &GroupLoad) -> f64 {
        let used = f64::from(load.in_flight).max(1.0);
        let unqueued = f64::from(self.queue.unqueued_in_flight(&item.org));
        let left = (used - unqueued) * self.queue.share(&item.org, item.priority);
        let fair = used * self.queue.fair_share(&item.org);
        (left.max(fair) * load.slot_share(item.long)).max(MIN_SLOTS)
    }

    /// The places kept free for organisations within their share.
    fn reserved(&self, load: &GroupLoad) -> f64 {
        let light = f64::from(self.queue.light_in_flight(load.limit));
        light.sqrt() * RESERVE_FACTOR
    }

    /// A refusal whose time to return is a place after everyone refused before.
    ///
    /// Callers refused within one second would all come back within one second if each were told
    /// the present wait. So each refusal books its organisation's capacity for the request's
    /// work, and the next is told a later time.
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

    /// Half as much again at random; those beyond the latest time spread over its second half.
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
