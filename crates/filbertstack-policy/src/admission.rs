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

use crate::fair::Fair;
use crate::fair::Item;
use crate::fair::LongTurn;
use crate::fair::Turn;
use crate::route::LONG_FLOOR;
use crate::route::LONG_SHARE;
use crate::units::millis;
use crate::units::secs;

new_key_type! {
    /// One request from its offer to its final answer.
    pub struct TicketKey;
}

/// The requests of one organisation that may wait: at an entry that ends 30 requests a second
/// they are four seconds' worth, and deadlines bound the wait before that.
const ORG_QUEUE: usize = 128;

/// The requests that may wait in all, for the memory that their bodies take: at 16 KiB each,
/// 16 MiB of a node's 128 MB.
const QUEUE: usize = 1024;

/// How much of the time left the estimated wait may fill in a burst: the estimate follows the
/// pace by about a second, for which the rest is kept.
const BURST_SHARE: f64 = 0.6;

/// The same once the organisation's queue has stood for [`BURST`]. A standing queue brings no
/// more answers than a short one; it only makes each of them late.
const STANDING_SHARE: f64 = 0.2;

/// How long a queue may last as a burst's. Ten times the load for one second, on engines half
/// full, is worked off in nine.
const BURST: Millis = Millis::secs(10);

/// The places kept free for organisations within their share, in square roots of the places that
/// they hold. What they hold varies by about its root: at three roots one request in a thousand
/// of theirs would wait, and the engines run below their slowest step. Under one hot organisation
/// the others' p99 is 1.52 times that alone without it, 1.23 with two roots and 1.19 with three.
const RESERVE: f64 = 3.0;

/// What is allowed for a request's own time against the mean pace: full batches step a quarter
/// slower than half-full ones.
const SERVICE_MARGIN: f64 = 1.25;

/// The soonest that a refused caller is told to come back.
const SOONEST: Millis = Millis(200);

/// The latest. Longer, and a caller refused in a burst would stay away long after its end.
const LATEST: Millis = Millis::secs(30);

/// The pace by which return times are spread before any was measured, in generated tokens a
/// second: a sequence of a full batch at 8.6 ms a step.
const FIRST_PACE: f64 = 100.0;

/// The fewest places that an estimate counts with, so that it stays finite.
const LEAST_PLACES: f64 = 0.1;

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
            org: ORG_QUEUE,
            total: QUEUE,
        }
    }
}

/// What the group's targets can do now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Supply {
    /// The requests that may be in flight.
    pub room: f64,
    /// The requests that are.
    pub in_flight: u32,
    /// The work a second of one of them, if measured.
    pub pace: Option<f64>,
    /// The long requests among them.
    pub long: u32,
}

impl Supply {
    /// The time that work takes once it is sent; none before any was measured.
    pub fn takes(&self, work: f64) -> Millis {
        self.pace.map_or(Millis::ZERO, |pace| millis(work / pace))
    }

    /// The part of the places in use that long or short requests hold, but at least what they may
    /// soon get.
    fn part(&self, long: bool) -> f64 {
        let held = f64::from(self.long) / f64::from(self.in_flight.max(1));
        if long {
            held.max(LONG_FLOOR)
        } else {
            (1.0 - held).max(1.0 - LONG_SHARE)
        }
    }

    /// The time in which `places` do the work.
    fn drains(&self, work: f64, places: f64) -> Millis {
        stretch(self.takes(work), 1.0 / places)
    }

    /// Whether an estimate may refuse. With nothing in flight nothing is measured either: a pace
    /// once found too slow would then refuse everything for ever.
    fn is_measured(&self) -> bool {
        self.in_flight > 0 && self.pace.is_some()
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
    fair: Fair,
    bounds: Bounds,
    booked: BTreeMap<OrgName, Millis>,
    rng: ChaCha8Rng,
}

impl Admission {
    /// An empty queue; `seed` rules the spread of return times.
    pub fn new(bounds: Bounds, seed: u64) -> Self {
        Self {
            fair: Fair::default(),
            bounds,
            booked: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Sets an organisation's weight; one is the usual.
    pub fn set_weight(&mut self, org: &OrgName, weight: f64) {
        self.fair.set_weight(org, weight);
    }

    /// The requests that wait.
    pub fn len(&self) -> usize {
        self.fair.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.fair.is_empty()
    }

    /// The organisation's requests that wait.
    pub fn queued(&self, org: &OrgName) -> usize {
        self.fair.queued(org)
    }

    /// Lets the request wait, or refuses it at once.
    ///
    /// # Errors
    /// The refusal, if the queue is full or the deadline out of reach.
    pub fn offer(&mut self, now: Millis, item: Item, supply: &Supply) -> Result<(), Refusal> {
        if self.fair.queued(&item.org) >= self.bounds.org {
            return Err(self.refuse(now, &item, supply, Reason::OrgQueueFull));
        }
        if supply.is_measured() && !self.is_reachable(now, &item, supply) {
            return Err(self.refuse(now, &item, supply, Reason::Deadline));
        }
        self.fair.push(now, item);
        Ok(())
    }

    fn is_reachable(&self, now: Millis, item: &Item, supply: &Supply) -> bool {
        let wait = self.wait(item, supply);
        let takes = supply.takes(item.work * SERVICE_MARGIN);
        let left = item.deadline.since(now);
        let stands = self.fair.standing(now, &item.org) > BURST;
        let share = if stands { STANDING_SHARE } else { BURST_SHARE };
        takes <= left && wait <= stretch(left.since(takes), share)
    }

    /// Who may be served now: organisations with a standing queue beyond their fair share only
    /// while enough places stay free for the others.
    pub fn turn(&self, now: Millis, long: LongTurn, supply: &Supply) -> Turn {
        let kept = self.kept(supply);
        let next = f64::from(supply.in_flight) + 1.0;
        let free = kept == 0.0 || next + kept <= supply.room;
        let fair = self.fair.fair_places(supply.room);
        Turn {
            long,
            most: if free { f64::INFINITY } else { fair },
            now,
        }
    }

    /// Takes the excess over the bound in all from the organisation with the longest queue, so
    /// that a flood of one never closes the queue to the others.
    pub fn trim(&mut self, now: Millis, supply: &Supply) -> Option<(TicketKey, Refusal)> {
        if self.fair.len() <= self.bounds.total {
            return None;
        }
        let last = self.fair.last_of_longest()?.clone();
        self.fair.remove(now, &last.org, last.ticket);
        let refusal = self.refuse(now, &last, supply, Reason::QueueFull);
        Some((last.ticket, refusal))
    }

    /// Puts a request back to the front after an attempt that did not run.
    pub fn put_back(&mut self, now: Millis, item: Item) {
        self.fair.push_front(now, item);
    }

    /// The request that is served next.
    pub fn peek(&self, turn: Turn) -> Option<&Item> {
        self.fair.peek(turn)
    }

    /// Takes the request that [`Self::peek`] shows, and charges its organisation. What is taken
    /// has to be settled once.
    pub fn take(&mut self, turn: Turn) -> Option<Item> {
        self.fair.take(turn)
    }

    /// Settles what was taken: corrects the charge, once the work is known.
    pub fn settle(&mut self, org: &OrgName, charged: f64, actual: f64) {
        self.fair.settle(org, charged, actual);
    }

    /// Takes out a request whose caller left.
    pub fn cancel(&mut self, now: Millis, org: &OrgName, ticket: TicketKey) -> bool {
        self.fair.remove(now, org, ticket).is_some()
    }

    /// Refuses what can no longer make its deadline, as after a loss of targets.
    pub fn expire(&mut self, now: Millis, supply: &Supply) -> Vec<(TicketKey, Refusal)> {
        self.fair.prune(now);
        let lost = self.unreachable(now, supply);
        lost.into_iter()
            .map(|item| {
                self.fair.remove(now, &item.org, item.ticket);
                let refusal = self.refuse(now, &item, supply, Reason::Deadline);
                (item.ticket, refusal)
            })
            .collect()
    }

    fn unreachable(&self, now: Millis, supply: &Supply) -> Vec<Item> {
        let mut lost = Vec::new();
        for org in self.fair.waiting() {
            for lane in org {
                self.unreachable_in(now, lane, supply, &mut lost);
            }
        }
        lost
    }

    fn unreachable_in(
        &self,
        now: Millis,
        lane: &VecDeque<Item>,
        supply: &Supply,
        lost: &mut Vec<Item>,
    ) {
        let Some(head) = lane.front() else {
            return;
        };
        let places = self.places(head, supply);
        let mut ahead = 0.0;
        for item in lane {
            let wait = supply.drains(ahead, places);
            if now + wait + supply.takes(item.work) > item.deadline {
                lost.push(item.clone());
            } else {
                ahead += item.work;
            }
        }
    }

    /// The time that a new request is expected to wait.
    pub fn wait(&self, item: &Item, supply: &Supply) -> Millis {
        let ahead = self.fair.ahead(item);
        supply.drains(ahead, self.places(item, supply))
    }

    /// The places that work like the item's gets while its organisation has a queue: of those in
    /// use, the ones that organisations without a queue leave, but at least its fair share.
    ///
    /// What is in use counts and not what the limits allow: while something waits, that is what
    /// the targets give.
    fn places(&self, item: &Item, supply: &Supply) -> f64 {
        let used = f64::from(supply.in_flight).max(1.0);
        let undivided = f64::from(self.fair.undivided(&item.org));
        let left = (used - undivided) * self.fair.share(&item.org, item.priority);
        let due = used * self.fair.due(&item.org);
        (left.max(due) * supply.part(item.long)).max(LEAST_PLACES)
    }

    /// The places kept free for organisations within their share.
    fn kept(&self, supply: &Supply) -> f64 {
        let light = f64::from(self.fair.light_in_flight(supply.room));
        light.sqrt() * RESERVE
    }

    /// A refusal whose time to return is a place after everyone refused before.
    ///
    /// Callers refused within one second would all come back within one second if each were told
    /// the present wait. So each refusal books its organisation's capacity for the request's
    /// work, and the next is told a later time.
    pub fn refuse(&mut self, now: Millis, item: &Item, supply: &Supply, reason: Reason) -> Refusal {
        let speed = supply.pace.unwrap_or(FIRST_PACE);
        let takes = millis(item.work / speed / self.places(item, supply));
        let free = now + self.wait(item, supply) + SOONEST;
        let booked = self.booked.entry(item.org.clone()).or_default();
        let place = (*booked).max(free);
        *booked = (place + takes).min(now + LATEST);
        let retry_after = self.spread(place.since(now));
        Refusal {
            reason,
            retry_after,
        }
    }

    /// Half as much again at random; those beyond the latest time spread over its second half.
    fn spread(&mut self, span: Millis) -> Millis {
        let factor = self.rng.random_range(1.0..1.5);
        let later = stretch(span, factor);
        if later < LATEST {
            return later.max(SOONEST);
        }
        stretch(LATEST, self.rng.random_range(0.5..1.0))
    }
}

fn stretch(span: Millis, factor: f64) -> Millis {
    millis(secs(span) * factor)
}
