//! Orders waiting requests by fair shares of the work, between organisations and between priorities.
//!
//! *Load pattern*: one organisation sends ten times its usual load, or much longer requests.
//! First-in-first-out order gives it capacity in proportion to what it sends, and makes all others wait
//! behind it. Start-time fair queueing charges each organisation for the work it receives, and serves the
//! organisation with the least charge: an organisation within its share waits for at most one request of each
//! other organisation.
//!
//! Priorities are shares too, not strict: under strict priorities, a flood of high-priority requests would
//! starve low-priority ones for as long as it lasts.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use filbertstack_core::Millis;
use filbertstack_core::declare::Priority;
use filbertstack_core::names::OrgName;

use crate::admission::TicketKey;
use crate::units::len_f64;

const CLASSES: usize = 3;

/// The shares of low, normal and high priority while all three wait: 1/21, 4/21 and 16/21. High-priority
/// requests hardly wait until they make up three quarters of the load, and low-priority ones always get 5% of
/// the capacity.
const CLASS_SHARES: [f64; CLASSES] = [1.0, 4.0, 16.0];

/// The priority of the next long request against short ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LongPriority {
    /// Long and short requests are served in order of arrival.
    Equal,
    /// Long requests are served after the short ones of their organisation.
    Lower,
    /// No long request is served now, because long requests use all the slots that they may.
    Blocked,
}

/// The conditions under which a waiting request may be served now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Eligibility {
    /// The priority of long requests.
    pub long: LongPriority,
    /// The number of slots, per unit of weight, at which an organisation with a standing queue gets no more.
    pub slot_cap: f64,
    /// The current time.
    pub now: Millis,
}

/// The time for which an organisation may have a queue before it counts as sending more than its share. An
/// organisation within its share waits for a slot or two, some 50 ms each.
const STANDING_AFTER: Millis = Millis(500);

/// The time without a queue that ends a standing queue. At three requests a second, a short queue becomes
/// empty several times a second by chance alone.
const QUEUE_GAP: Millis = Millis::secs(1);

/// A waiting request.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// The ticket of the request.
    pub ticket: TicketKey,
    /// The organisation that sent the request.
    pub org: OrgName,
    /// The priority of the request.
    pub priority: Priority,
    /// The expected work of the request.
    pub work: f64,
    /// Whether the request is long and may use only the slots open to long requests.
    pub long: bool,
    /// The time of arrival.
    pub arrived: Millis,
    /// The time by which the answer has to be complete.
    pub deadline: Millis,
}

impl Item {
    fn class(&self) -> usize {
        class(self.priority)
    }
}

fn class(priority: Priority) -> usize {
    match priority {
        Priority::Low => 0,
        Priority::Normal => 1,
        Priority::High => 2,
    }
}

/// The short and the long requests of one priority, each in order of arrival.
type Lanes = [VecDeque<Item>; 2];

#[derive(Debug)]
struct Org {
    weight: f64,
    /// The work received so far, divided by the weight: the virtual start time of the next request.
    start_tag: f64,
    classes: [Lanes; CLASSES],
    queued: usize,
    /// The time since which requests have been waiting.
    queued_since: Millis,
    /// The time since which requests have been waiting, ignoring short breaks.
    busy_since: Millis,
    /// The time of the last removal from the queue.
    last_removal: Millis,
    /// The number of requests taken and not yet settled.
    in_flight: u32,
}

impl Org {
    fn new(start_tag: f64, weight: f64) -> Self {
        Self {
            weight,
            start_tag,
            classes: Default::default(),
            queued: 0,
            queued_since: Millis::ZERO,
            busy_since: Millis::ZERO,
            last_removal: Millis::ZERO,
            in_flight: 0,
        }
    }

    /// Returns the next request of the class that may be served.
    fn head(&self, class: usize, eligibility: Eligibility) -> Option<&Item> {
        let at_cap = f64::from(self.in_flight) >= eligibility.slot_cap * self.weight;
        if at_cap && self.is_standing(eligibility.now) {
            return None;
        }
        let [short, long] = &self.classes[class];
        match (short.front(), long.front(), eligibility.long) {
            (short, None, _) | (short, _, LongPriority::Blocked) => short,
            (None, long, _) => long,
            (Some(short), _, LongPriority::Lower) => Some(short),
            (Some(short), Some(long), LongPriority::Equal) => {
                Some(if long.arrived < short.arrived {
                    long
                } else {
                    short
                })
            }
        }
    }

    fn has_waiting(&self, class: usize) -> bool {
        self.classes[class].iter().any(|lane| !lane.is_empty())
    }

    /// Returns the number of slots that the organisation uses or asks for.
    fn demand(&self) -> f64 {
        len_f64(self.queued) + f64::from(self.in_flight)
    }

    /// Returns how long the organisation has had a queue, ignoring short breaks.
    fn standing_time(&self, now: Millis) -> Millis {
        if self.queued == 0 && now.since(self.last_removal) > QUEUE_GAP {
            return Millis::ZERO;
        }
        now.since(self.busy_since)
    }

    /// Returns whether the organisation sends more than its share, that is, has had a queue without a break.
    fn is_standing(&self, now: Millis) -> bool {
        self.queued > 0 && now.since(self.queued_since) > STANDING_AFTER
    }

    fn start_queue(&mut self, now: Millis) {
        if self.standing_time(now) == Millis::ZERO {
            self.busy_since = now;
        }
        self.queued_since = now;
    }

    fn lane(&mut self, item: &Item) -> &mut VecDeque<Item> {
        &mut self.classes[item.class()][usize::from(item.long)]
    }

    fn items(&self) -> impl Iterator<Item = &Item> {
        self.classes.iter().flatten().flatten()
    }
}

/// The waiting requests of one group of targets.
#[derive(Debug, Default)]
pub struct FairQueue {
    orgs: BTreeMap<OrgName, Org>,
    weights: BTreeMap<OrgName, f64>,
    class_tags: [f64; CLASSES],
    virtual_time: f64,
    class_time: f64,
    queued: usize,
}

impl FairQueue {
    /// Sets an organisation's weight. The default is one.
    pub fn set_weight(&mut self, org: &OrgName, weight: f64) {
        let weight = weight.clamp(0.01, 100.0);
        self.weights.insert(org.clone(), weight);
        if let Some(org) = self.orgs.get_mut(org) {
            org.weight = weight;
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.queued
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.queued == 0
    }

    /// Returns the number of waiting requests of the organisation.
    pub fn queued(&self, org: &OrgName) -> usize {
        self.orgs.get(org).map_or(0, |org| org.queued)
    }

    /// Appends a request to its organisation's queue.
    pub fn push(&mut self, now: Millis, item: Item) {
        self.activate(now, &item);
        let org = self.org(&item.org);
        org.queued += 1;
        org.lane(&item).push_back(item);
        self.queued += 1;
    }

    /// Puts a request back at the front of its organisation's queue for another attempt.
    pub fn push_front(&mut self, now: Millis, item: Item) {
        self.activate(now, &item);
        let org = self.org(&item.org);
        org.queued += 1;
        org.lane(&item).push_front(item);
        self.queued += 1;
    }

    /// Advances the start tags of an idle organisation or class to the present. Idle time gives no claim to
    /// later capacity: otherwise an organisation that was idle for a night would be served alone until it had
    /// caught up.
    fn activate(&mut self, now: Millis, item: &Item) {
        let class = item.class();
        if !self.orgs.values().any(|org| org.has_waiting(class)) {
            self.class_tags[class] = self.class_tags[class].max(self.class_time);
        }
        let virtual_time = self.virtual_time;
        let org = self.org(&item.org);
        if org.queued == 0 {
            org.start_tag = org.start_tag.max(virtual_time);
            org.start_queue(now);
        }
    }

    fn org(&mut self, name: &OrgName) -> &mut Org {
        let virtual_time = self.virtual_time;
        let weight = self.weights.get(name).copied().unwrap_or(1.0);
        self.orgs
            .entry(name.clone())
            .or_insert_with(|| Org::new(virtual_time, weight))
    }

    /// Returns the request to serve next.
    pub fn peek(&self, eligibility: Eligibility) -> Option<&Item> {
        let class = self.next_class(eligibility)?;
        let heads = self.orgs.values();
        let heads = heads.filter_map(|org| Some((org.start_tag, org.head(class, eligibility)?)));
        heads
            .min_by(|(a, _), (b, _)| a.total_cmp(b))
            .map(|(_, item)| item)
    }

    fn next_class(&self, eligibility: Eligibility) -> Option<usize> {
        let waits = |class: &usize| {
            let mut orgs = self.orgs.values();
            orgs.any(|org| org.head(*class, eligibility).is_some())
        };
        let classes = (0..CLASSES).rev().filter(waits);
        classes.min_by(|a, b| self.class_tags[*a].total_cmp(&self.class_tags[*b]))
    }

    /// Removes and returns the request that [`Self::peek`] returns, and charges its organisation for it.
    pub fn take(&mut self, eligibility: Eligibility) -> Option<Item> {
        let item = self.peek(eligibility)?.clone();
        self.remove(eligibility.now, &item.org, item.ticket)?;
        let class = item.class();
        self.class_time = self.class_time.max(self.class_tags[class]);
        self.class_tags[class] += item.work / CLASS_SHARES[class];
        let org = self.org(&item.org);
        let start = org.start_tag;
        org.start_tag += item.work / org.weight;
        org.in_flight += 1;
        self.virtual_time = self.virtual_time.max(start);
        Some(item)
    }

    /// Settles a taken request: replaces the charge by the actual work.
    pub fn settle(&mut self, org: &OrgName, charged: f64, actual: f64) {
        let Some(account) = self.orgs.get_mut(org) else {
            return;
        };
        account.start_tag += (actual - charged) / account.weight;
        account.in_flight = account.in_flight.saturating_sub(1);
    }

    /// Removes organisations that are idle and have no charge left to work off.
    pub fn prune(&mut self, now: Millis) {
        let virtual_time = self.virtual_time;
        self.orgs.retain(|_, org| {
            let idle =
                org.in_flight == 0 && org.queued == 0 && org.standing_time(now) == Millis::ZERO;
            !idle || org.start_tag > virtual_time
        });
    }

    /// Returns the number of requests in flight of the organisations whose demand is within their fair share
    /// of `limit`.
    pub fn light_in_flight(&self, limit: f64) -> u32 {
        let per_weight = self.slots_per_weight(limit);
        let active = self.orgs.values().filter(|org| org.demand() > 0.0);
        let light = active.filter(|org| org.demand() <= per_weight * org.weight);
        light.map(|org| org.in_flight).sum()
    }

    /// Returns the number of slots of `limit` that one unit of weight is entitled to.
    pub fn slots_per_weight(&self, limit: f64) -> f64 {
        let active = self.orgs.values().filter(|org| org.demand() > 0.0);
        let weights: f64 = active.map(|org| org.weight).sum();
        limit / weights.max(0.01)
    }

    /// Returns how long the organisation has had a queue, ignoring short breaks.
    pub fn standing_time(&self, now: Millis, org: &OrgName) -> Millis {
        let org = self.orgs.get(org);
        org.map_or(Millis::ZERO, |org| org.standing_time(now))
    }

    /// Removes a request at any position of its organisation's queue.
    pub fn remove(&mut self, now: Millis, org: &OrgName, ticket: TicketKey) -> Option<Item> {
        let org = self.orgs.get_mut(org)?;
        let lanes = org.classes.iter_mut().flatten();
        for lane in lanes {
            if let Some(index) = lane.iter().position(|item| item.ticket == ticket) {
                org.queued -= 1;
                org.last_removal = now;
                self.queued -= 1;
                return lane.remove(index);
            }
        }
        None
    }

    /// Returns the latest request of the lowest priority of the organisation with the longest queue.
    pub fn last_of_longest(&self) -> Option<&Item> {
        let longest = self.orgs.values().max_by_key(|org| org.queued)?;
        longest
            .classes
            .iter()
            .flatten()
            .rev()
            .find_map(VecDeque::back)
            .filter(|_| longest.queued > 0)
    }

    /// Returns the work of the organisation that is served before a new request like `item`.
    pub fn work_ahead(&self, item: &Item) -> f64 {
        let Some(org) = self.orgs.get(&item.org) else {
            return 0.0;
        };
        let before = |other: &&Item| other.class() >= item.class() && other.long == item.long;
        org.items().filter(before).map(|other| other.work).sum()
    }

    /// Returns the share of a request of this organisation and priority in the slots that are divided among
    /// organisations with a queue.
    pub fn share(&self, org: &OrgName, priority: Priority) -> f64 {
        let own = self.weights.get(org).copied().unwrap_or(1.0);
        let waiting = self.orgs.iter().filter(|(_, org)| org.queued > 0);
        let others = waiting.filter(|(name, _)| *name != org);
        let weights: f64 = own + others.map(|(_, org)| org.weight).sum::<f64>();
        let class = class(priority);
        let shares: f64 = (0..CLASSES)
            .filter(|c| *c == class || self.orgs.values().any(|org| org.has_waiting(*c)))
            .map(|c| CLASS_SHARES[c])
            .sum();
        own / weights * CLASS_SHARES[class] / shares
    }

    /// Returns the organisation's fair share among all organisations with waiting or running requests.
    pub fn fair_share(&self, org: &OrgName) -> f64 {
        let own = self.weights.get(org).copied().unwrap_or(1.0);
        let others = self.orgs.iter().filter(|(name, _)| *name != org);
        let active = others.filter(|(_, org)| org.demand() > 0.0);
        own / (own + active.map(|(_, org)| org.weight).sum::<f64>())
    }

    /// Returns the number of requests in flight of other organisations without a queue. Their slots are not
    /// divided, because such organisations are served first.
    pub fn unqueued_in_flight(&self, org: &OrgName) -> u32 {
        let others = self.orgs.iter().filter(|(name, _)| *name != org);
        let idle = others.filter(|(_, org)| org.queued == 0);
        idle.map(|(_, org)| org.in_flight).sum()
    }

    /// Returns the waiting requests by organisation, as lanes in order of arrival.
    pub fn waiting(&self) -> impl Iterator<Item = impl Iterator<Item = &VecDeque<Item>>> {
        let orgs = self.orgs.values().filter(|org| org.queued > 0);
        orgs.map(|org| org.classes.iter().flatten())
    }
}
