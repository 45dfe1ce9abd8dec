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
use crate::units::count;

const CLASSES: usize = 3;

/// The shares of low, normal and high requests when all three wait: 1/21, 4/21 and 16/21. High
/// requests wait for next to nothing until they are three quarters of the load, and low ones
/// move on at 5% of the capacity in any flood.
const SHARES: [f64; CLASSES] = [1.0, 4.0, 16.0];

/// How the next long request stands to short ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LongTurn {
    /// In the order they came.
    Equal,
    /// After its organisation's short ones.
    Behind,
    /// Not now: long requests hold all that they may.
    Never,
}

/// Who may be served now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Turn {
    /// Long requests.
    pub long: LongTurn,
    /// The places a unit of weight beyond which an organisation with a standing queue gets no
    /// more now.
    pub most: f64,
    /// The time.
    pub now: Millis,
}

/// How long a queue may last until its organisation counts as sending more than its share. Within
/// its share it waits for a place or two, some 50 ms each.
const STANDING: Millis = Millis(500);

/// The break that ends a standing queue. A short queue is empty now and then by chance alone, at
/// three requests a second some times a second.
const BREAK: Millis = Millis::secs(1);

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
    /// When it came.
    pub came: Millis,
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
    /// Since when it has had a queue.
    since: Millis,
    /// Since when it has had a queue, short breaks aside.
    busy: Millis,
    /// When its queue last came to an end.
    emptied: Millis,
    /// What was taken and not yet settled.
    in_flight: u32,
}

impl Org {
    fn new(pass: f64, weight: f64) -> Self {
        Self {
            weight,
            pass,
            classes: Default::default(),
            queued: 0,
            since: Millis::ZERO,
            busy: Millis::ZERO,
            emptied: Millis::ZERO,
            in_flight: 0,
        }
    }

    /// The request of the class that is next under `turn`.
    fn next(&self, class: usize, turn: Turn) -> Option<&Item> {
        let has_most = f64::from(self.in_flight) >= turn.most * self.weight;
        if has_most && self.stands(turn.now) {
            return None;
        }
        let [short, long] = &self.classes[class];
        match (short.front(), long.front(), turn.long) {
            (short, None, _) | (short, _, LongTurn::Never) => short,
            (None, long, _) => long,
            (Some(short), _, LongTurn::Behind) => Some(short),
            (Some(short), Some(long), LongTurn::Equal) => {
                Some(if long.came < short.came { long } else { short })
            }
        }
    }

    fn has(&self, class: usize) -> bool {
        self.classes[class].iter().any(|lane| !lane.is_empty())
    }

    /// The places that it holds or asks for.
    fn holds(&self) -> f64 {
        count(self.queued) + f64::from(self.in_flight)
    }

    /// How long it has had a queue, short breaks aside.
    fn standing(&self, now: Millis) -> Millis {
        if self.queued == 0 && now.since(self.emptied) > BREAK {
            return Millis::ZERO;
        }
        now.since(self.busy)
    }

    /// Whether it sends more than its share: it has had a queue without a break.
    fn stands(&self, now: Millis) -> bool {
        self.queued > 0 && now.since(self.since) > STANDING
    }

    fn begin(&mut self, now: Millis) {
        if self.standing(now) == Millis::ZERO {
            self.busy = now;
        }
        self.since = now;
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
    pub fn push(&mut self, now: Millis, item: Item) {
        self.activate(now, &item);
        let org = self.org(&item.org);
        org.queued += 1;
        org.lane(&item).push_back(item);
        self.queued += 1;
    }

    /// Puts a request back to the front, as one that did not run where it was sent.
    pub fn push_front(&mut self, now: Millis, item: Item) {
        self.activate(now, &item);
        let org = self.org(&item.org);
        org.queued += 1;
        org.lane(&item).push_front(item);
        self.queued += 1;
    }

    /// Whoever was idle has no claim on the past: without this an organisation back from a quiet
    /// night would be served alone until it had caught up.
    fn activate(&mut self, now: Millis, item: &Item) {
        let class = item.class();
        if !self.orgs.values().any(|org| org.has(class)) {
            self.passes[class] = self.passes[class].max(self.class_clock);
        }
        let clock = self.clock;
        let org = self.org(&item.org);
        if org.queued == 0 {
            org.pass = org.pass.max(clock);
            org.begin(now);
        }
    }

    fn org(&mut self, name: &OrgName) -> &mut Org {
        let clock = self.clock;
        let weight = self.weights.get(name).copied().unwrap_or(1.0);
        self.orgs
            .entry(name.clone())
            .or_insert_with(|| Org::new(clock, weight))
    }

    /// The request to be served next.
    pub fn peek(&self, turn: Turn) -> Option<&Item> {
        let class = self.next_class(turn)?;
        let heads = self.orgs.values();
        let heads = heads.filter_map(|org| Some((org.pass, org.next(class, turn)?)));
        heads
            .min_by(|(a, _), (b, _)| a.total_cmp(b))
            .map(|(_, item)| item)
    }

    fn next_class(&self, turn: Turn) -> Option<usize> {
        let waits = |class: &usize| {
            let mut orgs = self.orgs.values();
            orgs.any(|org| org.next(*class, turn).is_some())
        };
        let classes = (0..CLASSES).rev().filter(waits);
        classes.min_by(|a, b| self.passes[*a].total_cmp(&self.passes[*b]))
    }

    /// Takes the request that [`Self::peek`] shows and charges its organisation for it.
    pub fn take(&mut self, turn: Turn) -> Option<Item> {
        let item = self.peek(turn)?.clone();
        self.remove(turn.now, &item.org, item.ticket)?;
        let class = item.class();
        self.class_clock = self.class_clock.max(self.passes[class]);
        self.passes[class] += item.work / SHARES[class];
        let org = self.org(&item.org);
        let start = org.pass;
        org.pass += item.work / org.weight;
        org.in_flight += 1;
        self.clock = self.clock.max(start);
        Some(item)
    }

    /// Settles what was taken: corrects the charge, once the work is known.
    pub fn settle(&mut self, org: &OrgName, charged: f64, actual: f64) {
        let Some(entry) = self.orgs.get_mut(org) else {
            return;
        };
        entry.pass += (actual - charged) / entry.weight;
        entry.in_flight = entry.in_flight.saturating_sub(1);
    }

    /// Forgets organisations that are idle and owe nothing.
    pub fn prune(&mut self, now: Millis) {
        let clock = self.clock;
        self.orgs.retain(|_, org| {
            let idle = org.in_flight == 0 && org.queued == 0 && org.standing(now) == Millis::ZERO;
            !idle || org.pass > clock
        });
    }

    /// The requests in flight of organisations that hold and ask for less than their share of
    /// `room`.
    pub fn light_in_flight(&self, room: f64) -> u32 {
        let fair = self.fair_places(room);
        let active = self.orgs.values().filter(|org| org.holds() > 0.0);
        let light = active.filter(|org| org.holds() <= fair * org.weight);
        light.map(|org| org.in_flight).sum()
    }

    /// The places of `room` that a unit of weight has a right to.
    pub fn fair_places(&self, room: f64) -> f64 {
        let active = self.orgs.values().filter(|org| org.holds() > 0.0);
        let weights: f64 = active.map(|org| org.weight).sum();
        room / weights.max(0.01)
    }

    /// How long the organisation has had a queue.
    pub fn standing(&self, now: Millis, org: &OrgName) -> Millis {
        let org = self.orgs.get(org);
        org.map_or(Millis::ZERO, |org| org.standing(now))
    }

    /// Takes a request out, wherever it stands.
    pub fn remove(&mut self, now: Millis, org: &OrgName, ticket: TicketKey) -> Option<Item> {
        let org = self.orgs.get_mut(org)?;
        let lanes = org.classes.iter_mut().flatten();
        for lane in lanes {
            if let Some(place) = lane.iter().position(|item| item.ticket == ticket) {
                org.queued -= 1;
                org.emptied = now;
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

    /// The share that a request of this organisation and priority gets of the places that
    /// organisations with a queue divide among them.
    pub fn share(&self, org: &OrgName, priority: Priority) -> f64 {
        let own = self.weights.get(org).copied().unwrap_or(1.0);
        let waiting = self.orgs.iter().filter(|(_, org)| org.queued > 0);
        let others = waiting.filter(|(name, _)| *name != org);
        let weights: f64 = own + others.map(|(_, org)| org.weight).sum::<f64>();
        let class = class(priority);
        let shares: f64 = (0..CLASSES)
            .filter(|c| *c == class || self.orgs.values().any(|org| org.has(*c)))
            .map(|c| SHARES[c])
            .sum();
        own / weights * SHARES[class] / shares
    }

    /// The organisation's fair share among all that have requests waiting or in flight.
    pub fn due(&self, org: &OrgName) -> f64 {
        let own = self.weights.get(org).copied().unwrap_or(1.0);
        let others = self.orgs.iter().filter(|(name, _)| *name != org);
        let active = others.filter(|(_, org)| org.holds() > 0.0);
        own / (own + active.map(|(_, org)| org.weight).sum::<f64>())
    }

    /// The requests in flight of other organisations without a queue: places that are not
    /// divided, as these are served before.
    pub fn undivided(&self, org: &OrgName) -> u32 {
        let others = self.orgs.iter().filter(|(name, _)| *name != org);
        let idle = others.filter(|(_, org)| org.queued == 0);
        idle.map(|(_, org)| org.in_flight).sum()
    }

    /// What waits, by organisation: its lanes, each in the order in which it is served.
    pub fn waiting(&self) -> impl Iterator<Item = impl Iterator<Item = &VecDeque<Item>>> {
        let orgs = self.orgs.values().filter(|org| org.queued > 0);
        orgs.map(|org| org.classes.iter().flatten())
    }
}
