//! The gossip over links: which entries and targets there are, as this entry knows it.
//!
//! [`Membership`] gives [`Gossip`] the time, carries its messages between entries, takes the
//! announcements of agents in, and keeps [`Members`] in step with the targets' rows.

pub mod encoding;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use filbertstack_core::Millis;
use filbertstack_core::names::InstanceName;
use filbertstack_core::names::RegionName;
use filbertstack_policy::gossip;
use filbertstack_policy::gossip::Announcement;
use filbertstack_policy::gossip::Change;
use filbertstack_policy::gossip::Departure;
use filbertstack_policy::gossip::Doubt;
use filbertstack_policy::gossip::Gossip;
use filbertstack_policy::gossip::Message;
use filbertstack_policy::gossip::MessageKind;
use filbertstack_policy::gossip::Outgoing;
use filbertstack_policy::gossip::Row;
use filbertstack_policy::gossip::RowKind;
use filbertstack_policy::gossip::SUMMARY_BUCKETS;
use filbertstack_policy::gossip::State;
use filbertstack_policy::gossip::Summary;
use filbertstack_telemetry::Telemetry;
use filbertstack_wire::Dialer;
use filbertstack_wire::Remote;
use filbertstack_wire::Responder;
use filbertstack_wire::Role;
use filbertstack_wire::link::STACK;
use filbertstack_wire::messages::Announce;
use filbertstack_wire::messages::Ask;
use filbertstack_wire::messages::Payload;
use filbertstack_wire::messages::Tell;
use filbertstack_wire::stream::payload;
use rand::Rng;
use spdlog::debug;
use spdlog::error;

use crate::members::Member;
use crate::members::Members;
use crate::settings::Settings;

pub use encoding::EntryFacts;

/// How long the far end may take to answer: a message that is later than the next few is not
/// missed.
const TIMEOUT: Duration = Duration::from_secs(2);

/// The most entries that a caller is told: all of a fleet of today's size. At 340 entries a list
/// of 16 is still spread over several zones.
const MAX_TOLD: usize = 16;

/// The kind of the bytes sent, in the metrics.
const METRIC: &str = "gossip";

/// Which entries and targets there are.
pub struct Membership {
    name: InstanceName,
    region: RegionName,
    facts: EntryFacts,
    /// Entries known from the settings, by name.
    voters: HashMap<InstanceName, SocketAddr>,
    /// Entries known from the settings without a name.
    seeds: Vec<SocketAddr>,
    dialer: Arc<Dialer>,
    members: Arc<Members>,
    telemetry: Arc<Telemetry>,
    start: Instant,
    gossip: Mutex<Gossip>,
}

impl Membership {
    /// The membership as this entry knows it at its start: itself, and whom the settings name.
    pub fn new(
        settings: &Settings,
        dialer: Arc<Dialer>,
        members: Arc<Members>,
        telemetry: Arc<Telemetry>,
    ) -> Self {
        let facts = EntryFacts {
            http: settings.listen,
            links: settings.links,
            zone: settings.zone.clone(),
            max_age: settings.max_age,
        };
        let others = settings.voters.iter();
        let others = others.filter(|voter| voter.name != settings.name);
        let voters: HashMap<_, _> = others.map(|v| (v.name.clone(), v.addr)).collect();
        let seeds = settings.seeds.iter().copied();
        let seeds = seeds.filter(|addr| *addr != settings.links);
        let seeds = seeds.filter(|addr| voters.values().all(|voter| voter != addr));
        let me = Row {
            name: settings.name.clone(),
            kind: RowKind::Entry,
            region: settings.region.clone(),
            incarnation: incarnation(),
            version: 1,
            state: State::Up,
            doubt: Doubt::None,
            facts: facts.to_facts(),
        };
        let names = voters.keys().cloned().collect();
        let seed = rand::rng().next_u64();
        let gossip = Gossip::new(me, names, gossip::Settings::DEFAULT, seed);
        Self {
            name: settings.name.clone(),
            region: settings.region.clone(),
            facts,
            seeds: seeds.collect(),
            voters,
            dialer,
            members,
            telemetry,
            start: Instant::now(),
            gossip: Mutex::new(gossip),
        }
    }

    /// The targets, in step with their rows.
    pub const fn members(&self) -> &Arc<Members> {
        &self.members
    }

    /// The time since the start.
    pub fn now(&self) -> Millis {
        self.start.elapsed().into()
    }

    /// Gossips until `stopped`.
    pub fn run(self: &Arc<Self>, stopped: &AtomicBool) {
        let settings = gossip::Settings::DEFAULT;
        for round in 0.. {
            if stopped.load(Ordering::Relaxed) {
                return;
            }
            let alone = self.tick();
            if alone || round % settings.compare == 0 {
                self.greet_seed(round);
            }
            thread::sleep(settings.round.into());
        }
    }

    /// One round; whether no other entry is known.
    fn tick(self: &Arc<Self>) -> bool {
        let now = self.now();
        let mut gossip = self.lock();
        let sends = gossip.tick(now);
        let alone = gossip.view().is_empty();
        self.pass_on(&mut gossip);
        drop(gossip);
        for send in sends {
            self.send(send);
        }
        alone
    }

    /// Sends on a thread of its own: a far end that is frozen must not hold the rounds up.
    fn send(self: &Arc<Self>, send: Outgoing) {
        let Some(addr) = self.addr_of(&send.to) else {
            return;
        };
        self.talk(addr, send.message);
    }

    fn talk(self: &Arc<Self>, addr: SocketAddr, message: Message) {
        let membership = self.clone();
        let builder = thread::Builder::new()
            .name("gossip".into())
            .stack_size(STACK);
        // Without a thread the message is lost, as it may be on the network.
        let _ = builder.spawn(move || {
            let mut next = Some(message);
            while let Some(message) = next {
                next = membership.exchange(addr, &message);
            }
        });
    }

    /// Sends a message and takes its answer in; what to send next to the same entry.
    fn exchange(&self, addr: SocketAddr, message: &Message) -> Option<Message> {
        let link = self.dialer.link(addr, Role::Peer);
        let link = link
            .inspect_err(|error| debug!("gossip to {addr}: {error}"))
            .ok()?;
        let body = self.counted(message);
        let told = link.ask(Ask::Gossip(Payload { body }), TIMEOUT);
        let told = told.inspect_err(|error| debug!("gossip to {addr}: {error}"));
        let Ok(Tell::Payload(Payload { body })) = told else {
            return None;
        };
        self.take(&link.remote().name, &body)
    }

    /// Takes the message of another entry in, and answers it.
    pub fn receive(&self, remote: &Remote, body: &[u8], responder: Responder) {
        let answer = self.take(&remote.name, body);
        let body = answer.map(|answer| self.counted(&answer));
        // A caller that is gone asks again in its next round.
        let _ = responder.finish(payload(body.unwrap_or_default()));
    }

    fn take(&self, from: &str, body: &[u8]) -> Option<Message> {
        if body.is_empty() {
            return None;
        }
        let (from, message) = (from.parse().ok()?, encoding::decode(body)?);
        let now = self.now();
        let mut gossip = self.lock();
        let answers = gossip.receive(&from, message, now);
        self.pass_on(&mut gossip);
        answers.into_iter().next().map(|answer| answer.message)
    }

    fn counted(&self, message: &Message) -> Bytes {
        let body = encoding::encode(message);
        self.telemetry
            .metrics
            .control
            .sent
            .add(METRIC, body.len() as u64);
        body
    }

    /// Greets an entry whose address alone is known from the settings, until its row is known.
    ///
    /// It answers an empty table with the rows of its own, and under its name.
    fn greet_seed(self: &Arc<Self>, round: u64) {
        let gossip = self.lock();
        let known: Vec<_> = gossip.rows().filter_map(EntryFacts::of).collect();
        let hello = Message {
            kind: MessageKind::Push,
            rows: vec![gossip.me().clone()],
            summary: Some(Summary(Box::new([0; SUMMARY_BUCKETS]))),
        };
        drop(gossip);
        let met = |addr: &SocketAddr| known.iter().any(|facts| facts.links == *addr);
        let unmet: Vec<_> = self.seeds.iter().filter(|addr| !met(addr)).collect();
        let turn = usize::try_from(round).unwrap_or_default();
        if let Some(addr) = unmet.get(turn % unmet.len().max(1)) {
            self.talk(**addr, hello);
        }
    }

    fn addr_of(&self, name: &InstanceName) -> Option<SocketAddr> {
        let gossip = self.lock();
        let facts = gossip.row(name).and_then(EntryFacts::of);
        let known = facts.map(|facts| facts.links);
        known.or_else(|| self.voters.get(name).copied())
    }

    /// Takes an agent's announcement in; false if its name is an entry's.
    pub fn announce(&self, announce: &Announce, member: &Member) -> bool {
        let now = self.now();
        let mut gossip = self.lock();
        let known = gossip.row(&member.name);
        if known.is_some_and(|row| row.kind == RowKind::Entry) {
            return false;
        }
        let row = renewed(known, self.target_row(announce, member));
        gossip.announce(Announcement { row }, now);
        self.pass_on(&mut gossip);
        true
    }

    fn target_row(&self, announce: &Announce, member: &Member) -> Row {
        let region = member.labels.get("region");
        let region = region.and_then(|region| region.parse().ok());
        Row {
            name: member.name.clone(),
            kind: RowKind::Target,
            region: region.unwrap_or_else(|| self.region.clone()),
            incarnation: announce.incarnation,
            version: announce.version,
            state: if announce.leaving {
                State::Leaving
            } else {
                State::Up
            },
            doubt: Doubt::None,
            facts: encoding::target_facts(announce),
        }
    }

    /// Where the target `member` is to announce itself next.
    pub fn entries_for_target(&self, member: &InstanceName) -> Vec<SocketAddr> {
        let gossip = self.lock();
        let region = gossip.row(member).map_or(&self.region, |row| &row.region);
        let homes = gossip::homes(member, region, gossip.rows());
        let rows = homes.iter().filter_map(|name| gossip.row(name));
        let facts = rows.filter_map(EntryFacts::of);
        facts.map(|facts| facts.links).collect()
    }

    /// The entries that `caller` is told to use, best first.
    pub fn entries_for(&self, caller: &str) -> Vec<EntryFacts> {
        let gossip = self.lock();
        let names = gossip::spread(caller, Some(&self.region), gossip.rows(), MAX_TOLD);
        let rows = names.iter().filter_map(|name| gossip.row(name));
        rows.filter_map(EntryFacts::of).collect()
    }

    /// How many entries take work, as far as is known.
    pub fn live_entries(&self) -> usize {
        let gossip = self.lock();
        let entries = gossip.rows().filter(|row| row.kind == RowKind::Entry);
        entries.filter(|row| row.takes_work()).count()
    }

    /// Says that this entry leaves; until when it must serve callers that were told its address.
    pub fn leave(&self) -> Departure {
        let now = self.now();
        let mut gossip = self.lock();
        let facts = gossip.rows().filter_map(EntryFacts::of);
        let ages = facts.map(|facts| facts.max_age);
        let max_age = ages.max().unwrap_or(self.facts.max_age);
        gossip.declare(State::Leaving, self.facts.to_facts(), now);
        Departure::begin(now, max_age)
    }

    /// Says that this entry is gone, to its neighbours at once: there is no next round.
    pub fn part(&self) {
        let now = self.now();
        let mut gossip = self.lock();
        gossip.declare(State::Left, self.facts.to_facts(), now);
        let view = gossip.view().to_vec();
        let body = encoding::encode(&Message {
            kind: MessageKind::Answer,
            rows: vec![gossip.me().clone()],
            summary: None,
        });
        drop(gossip);
        for addr in view.iter().filter_map(|name| self.addr_of(name)) {
            // Whoever does not hear it finds out by this entry's silence.
            if let Ok(link) = self.dialer.link(addr, Role::Peer) {
                let _ = link.ask(Ask::Gossip(Payload { body: body.clone() }), PARTING);
            }
        }
    }

    fn pass_on(&self, gossip: &mut Gossip) {
        for change in gossip.take_changes() {
            match change {
                Change::Updated(row) if row.kind == RowKind::Target => self.members.take(&row),
                Change::Updated(_) => {}
                Change::Forgotten(name) => self.members.forget(&name),
                Change::NameTaken { incarnation } => error!(
                    "another entry runs under the name {}, started at {incarnation} ms of its \
                     clock: stop one of the two, or set this instance's clock and start anew",
                    self.name
                ),
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Gossip> {
        self.gossip.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// How long the last word to one neighbour may take.
const PARTING: Duration = Duration::from_millis(500);

/// The row to take in for an announced one: the known row if nothing but the announcement's
/// number differs.
///
/// Agents number every announcement. Taken as it is, each would be news for every entry, once a
/// second and target, and real news would wait behind them.
fn renewed(known: Option<&Row>, announced: Row) -> Row {
    let same = known.filter(|known| {
        let raised = Row {
            version: known.version,
            ..announced.clone()
        };
        **known == raised
    });
    same.cloned().unwrap_or(announced)
}

/// A number that grows with each start of this process on one instance.
fn incarnation() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}
