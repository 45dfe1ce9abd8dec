//! Whose request is next: fair shares of the work between organisations and priorities.
//!
//! *Load pattern*: one organisation sends ten times its usual load, or much longer requests.
//! First in, first out gives it the capacity in proportion to what it sends, and everybody else
//! its queue. Start-time fair queuing charges each organisation for the work that it gets, and
//! serves the one that had least: an organisation within its share waits for at most one request
//! of each other.
//!
//! Priorities are shares too and not strict: under strict priorities a flood of high requests
//! starves the low ones for as long as it lasts.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use filbertstack_core::Millis;
use filbertstack_core::declare::Priority;
use filbertstack_core::names::OrgName;

use crate::admission::TicketKey;

const CLASSES: usize = 3;

/// The shares of low, normal and high requests when all three wait: 1/21, 4/21 and 16/21. High
/// requests wait for next to nothing until they are three quarters of the load, and low ones
/// move on at 5% of the capacity in any flood.
const SHARES: [f64; CLASSES] = [1.0, 4.0, 16.0];

/// A request that waits.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// Its ticket.
    pub ticket: TicketKey,
    /// Whose it is.
    pub org: OrgName,
    /// Its priority.
    pub priority: Priority,
    /// The work it is expected to be.
    pub work: f64,
    /// Whether it is long, and only gets the places that long requests may hold.
    pub long: bool,
    /// When its answer has to be whole.
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

/// Short and long requests of one priority, each in the order they came.
type Lanes = [VecDeque<Item>; 2];

#[derive(Debug)]
struct Org {
    weight: f64,
    /// The work had so far, over the weight.
    pass: f64,
    classes: [Lanes; CLASSES],
    queued: usize,
}

impl Org {
    fn new(pass: f64) -> Self {
        Self {
            weight: 1.0,
            pass,
            classes: Default::default(),
            queued: 0,
        }
    }

    fn has(&self, class: usize, long_ok: bool) -> bool {
        let [short, long] = &self.classes[class];
        !short.is_empty() || long_ok && !long.is_empty()
    }

    fn lane(&mut self, item: &Item) -> &mut VecDeque<Item> {
        &mut self.classes[item.class()][usize::from(item.long)]
    }

    fn items(&self) -> impl Iterator<Item = &Item> {
        self.classes.iter().flatten().flatten()
    }
}

/// The requests that wait for one group of targets.
#[derive(Debug, Default)]
pub struct Fair {
    orgs: BTreeMap<OrgName, Org>,
    weights: BTreeMap<OrgName, f64>,
    passes: [f64; CLASSES],
    clock: f64,
    class_clock: f64,
    queued: usize,
}

impl Fair {
    /// Sets an organisation's weight; one is the usual.
    pub fn set_weight(&mut self, org: &OrgName, weight: f64) {
        let weight = weight.clamp(0.01, 100.0);
        self.weights.insert(org.clone(), weight);
        if let Some(org) = self.orgs.get_mut(org) {
            org.weight = weight;
        }
    }

    /// The requests that wait.
    pub fn len(&self) -> usize {
        self.queued
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.queued == 0
    }

    /// The organisation's requests that wait.
    pub fn queued(&self, org: &OrgName) -> usize {
        self.orgs.get(org).map_or(0, |org| org.queued)
    }

    /// Puts a request at the end of its organisation's queue.
    pub fn push(&mut self, item: Item) {
        self.activate(&item);
        let org = self.org(&item.org);
        org.queued += 1;
        org.lane(&item).push_back(item);
        self.queued += 1;
    }

    /// Puts a request back to the front, as one that did not run where it was sent.
    pub fn push_front(&mut self, item: Item) {
        self.activate(&item);
        let org = self.org(&item.org);
        org.queued += 1;
        org.lane(&item).push_front(item);
        self.queued += 1;
    }

    /// Whoever was idle has no claim on the past: without this an organisation back from a quiet
    /// night would be served alone until it had caught up.
    fn activate(&mut self, item: &Item) {
        let class = item.class();
        if !self.orgs.values().any(|org| org.has(class, true)) {
            self.passes[class] = self.passes[class].max(self.class_clock);
        }
        let clock = self.clock;
        let org = self.org(&item.org);
        if org.queued == 0 {
            org.pass = org.pass.max(clock);
        }
    }

    fn org(&mut self, name: &OrgName) -> &mut Org {
        let clock = self.clock;
        let weight = self.weights.get(name).copied().unwrap_or(1.0);
        self.orgs.entry(name.clone()).or_insert_with(|| Org {
            weight,
            ..Org::new(clock)
        })
    }

    /// The request to be served next, long ones only if `long_ok`.
    pub fn peek(&self, long_ok: bool) -> Option<&Item> {
        let class = self.next_class(long_ok)?;
        let (_, org) = self
            .orgs
            .iter()
            .filter(|(_, org)| org.has(class, long_ok))
            .min_by(|(_, a), (_, b)| a.pass.total_cmp(&b.pass))?;
        let [short, long] = &org.classes[class];
        match (short.front(), long.front().filter(|_| long_ok)) {
            (Some(short), Some(long)) if long.deadline < short.deadline => Some(long),
            (Some(short), _) => Some(short),
            (None, long) => long,
        }
    }

    fn next_class(&self, long_ok: bool) -> Option<usize> {
        let waits = |class: &usize| self.orgs.values().any(|org| org.has(*class, long_ok));
        let classes = (0..CLASSES).rev().filter(waits);
        classes.min_by(|a, b| self.passes[*a].total_cmp(&self.passes[*b]))
    }

    /// Takes the request that [`Self::peek`] shows and charges its organisation for it.
    pub fn take(&mut self, long_ok: bool) -> Option<Item> {
        let item = self.peek(long_ok)?.clone();
        self.remove(&item.org, item.ticket)?;
        let class = item.class();
        self.class_clock = self.class_clock.max(self.passes[class]);
        self.passes[class] += item.work / SHARES[class];
        let clock = self.clock;
        let org = self.org(&item.org);
        let start = org.pass;
        org.pass += item.work / org.weight;
        self.clock = clock.max(start);
        Some(item)
    }

    /// Corrects what an organisation was charged, once the work is known.
    pub fn correct(&mut self, org: &OrgName, charged: f64, actual: f64) {
        let clock = self.clock;
        let entry = self.org(org);
        entry.pass += (actual - charged) / entry.weight;
        if entry.queued == 0 && entry.pass <= clock {
            self.orgs.remove(org);
        }
    }

    /// Takes a request out, wherever it stands.
    pub fn remove(&mut self, org: &OrgName, ticket: TicketKey) -> Option<Item> {
        let org = self.orgs.get_mut(org)?;
        let lanes = org.classes.iter_mut().flatten();
        for lane in lanes {
            if let Some(place) = lane.iter().position(|item| item.ticket == ticket) {
                org.queued -= 1;
                self.queued -= 1;
                return lane.remove(place);
            }
        }
        None
    }

    /// The youngest request of the least priority of the organisation with the longest queue.
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

    /// The work of the organisation that is served before a new request like `item`.
    pub fn ahead(&self, item: &Item) -> f64 {
        let Some(org) = self.orgs.get(&item.org) else {
            return 0.0;
        };
        let before = |other: &&Item| other.class() >= item.class() && other.long == item.long;
        org.items().filter(before).map(|other| other.work).sum()
    }

    /// The share of the capacity that a request of this organisation and priority gets now.
    pub fn share(&self, org: &OrgName, priority: Priority) -> f64 {
        let own = self.weights.get(org).copied().unwrap_or(1.0);
        let waiting = self.orgs.iter().filter(|(_, org)| org.queued > 0);
        let others = waiting.filter(|(name, _)| *name != org);
        let weights: f64 = own + others.map(|(_, org)| org.weight).sum::<f64>();
        let class = class(priority);
        let shares: f64 = (0..CLASSES)
            .filter(|c| *c == class || self.orgs.values().any(|org| org.has(*c, true)))
            .map(|c| SHARES[c])
            .sum();
        own / weights * SHARES[class] / shares
    }

    /// Every request that waits, by organisation in the order in which each is served.
    pub fn waiting(&self) -> impl Iterator<Item = &Item> {
        self.orgs
            .values()
            .flat_map(|org| org.classes.iter().rev().flatten().flatten())
    }
}
