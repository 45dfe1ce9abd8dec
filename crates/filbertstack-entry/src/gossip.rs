//! The gossip over links, by which this entry knows the other entries and the targets.
//!
//! [`Membership`] drives [`Gossip`] with a clock, carries its messages between entries, adds the
//! announcements of agents, and updates [`Members`] from the rows of targets.

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
use filbertstack_policy::gossip::Gossip;
use filbertstack_policy::gossip::Liveness;
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

/// The time that the far end may take to answer. A later answer is not needed, because the next rounds have
/// replaced it by then.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum number of entries in a caller's list. A fleet of the usual size fits as a whole; at 340
/// entries a list of 16 still covers several zones.
const MAX_LISTED: usize = 16;

/// The label of the gossip in the metric of bytes sent.
const METRIC_LABEL: &str = "gossip";

/// The entries and targets that this entry knows through the gossip.
pub struct Membership {
    name: InstanceName,
    region: RegionName,
    facts: EntryFacts,
    /// The entries that the settings list with a name.
    voters: HashMap<InstanceName, SocketAddr>,
    /// The entries that the settings list without a name.
    seeds: Vec<SocketAddr>,
    dialer: Arc<Dialer>,
    members: Arc<Members>,
    telemetry: Arc<Telemetry>,
    start: Instant,
    gossip: Mutex<Gossip>,
}

impl Membership {
    /// Creates the membership of an entry at its start, with the entry itself and those of the settings.
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
            liveness: Liveness::Alive,
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

    /// Returns the targets, which are kept up to date with their rows.
    pub const fn members(&self) -> &Arc<Members> {
        &self.members
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Millis {
        self.start.elapsed().into()
    }

    /// Runs the rounds of the gossip until `stopped` is set.
    pub fn run(self: &Arc<Self>, stopped: &AtomicBool) {
        let settings = gossip::Settings::DEFAULT;
        for round in 0.. {
            if stopped.load(Ordering::Relaxed) {
                return;
            }
            let alone = self.run_round();
            if alone || round % settings.compare_rounds == 0 {
                self.contact_seed(round);
            }
            thread::sleep(settings.round_interval.into());
        }
    }

    /// Runs one round. Returns whether no other entry is known.
    fn run_round(self: &Arc<Self>) -> bool {
        let now = self.now();
        let mut gossip = self.lock();
        let outgoing = gossip.tick(now);
        let alone = gossip.neighbours().is_empty();
        self.apply_changes(&mut gossip);
        drop(gossip);
        for message in outgoing {
            self.send(message);
        }
        alone
    }

    /// Sends a message on its own thread, so that a frozen far end does not delay the rounds.
    fn send(self: &Arc<Self>, outgoing: Outgoing) {
        let Some(addr) = self.addr_of(&outgoing.to) else {
            return;
        };
        self.start_exchange(addr, outgoing.message);
    }

    fn start_exchange(self: &Arc<Self>, addr: SocketAddr, message: Message) {
        let membership = self.clone();
        let builder = thread::Builder::new()
            .name("gossip".into())
            .stack_size(STACK);
        // If the thread does not start, the message is lost, as it could be on the network.
        let _ = builder.spawn(move || {
            let mut next = Some(message);
            while let Some(message) = next {
                next = membership.exchange(addr, &message);
            }
        });
    }

    /// Sends a message and handles its answer. Returns the next message for the same entry.
    fn exchange(&self, addr: SocketAddr, message: &Message) -> Option<Message> {
        let link = self.dialer.link(addr, Role::Peer);
        let link = link
            .inspect_err(|error| debug!("could not connect to {addr} for gossip: {error}"))
            .ok()?;
        let body = self.encode_counted(message);
        let answer = link.ask(Ask::Gossip(Payload { body }), ANSWER_TIMEOUT);
        let answer = answer.inspect_err(|error| debug!("gossip with {addr} failed: {error}"));
        let Ok(Tell::Payload(Payload { body })) = answer else {
            return None;
        };
        self.handle(&link.remote().name, &body)
    }

    /// Handles a message of another entry and answers it.
    pub fn receive(&self, remote: &Remote, body: &[u8], responder: Responder) {
        let answer = self.handle(&remote.name, body);
        let body = answer.map(|answer| self.encode_counted(&answer));
        // If the answer cannot be sent, the other entry asks again in its next round.
        let _ = responder.finish(payload(body.unwrap_or_default()));
    }

    /// Passes a message to the gossip. Returns the answer to it.
    fn handle(&self, from: &str, body: &[u8]) -> Option<Message> {
        if body.is_empty() {
            return None;
        }
        let (from, message) = (from.parse().ok()?, encoding::decode(body)?);
        let now = self.now();
        let mut gossip = self.lock();
        let answers = gossip.receive(&from, message, now);
        self.apply_changes(&mut gossip);
        answers.into_iter().next().map(|answer| answer.message)
    }

    /// Encodes a message and counts its bytes as sent.
    fn encode_counted(&self, message: &Message) -> Bytes {
        let body = encoding::encode(message);
        self.telemetry
            .metrics
            .control
            .sent
            .add(METRIC_LABEL, body.len() as u64);
        body
    }

    /// Sends this entry's row to a seed whose row is not known yet. The settings give only a seed's address.
    ///
    /// The message carries the summary of an empty table, so the seed answers with its own rows and its name.
    fn contact_seed(self: &Arc<Self>, round: u64) {
        let gossip = self.lock();
        let known: Vec<_> = gossip.rows().filter_map(EntryFacts::of).collect();
        let message = Message {
            kind: MessageKind::Push,
            rows: vec![gossip.own_row().clone()],
            summary: Some(Summary(Box::new([0; SUMMARY_BUCKETS]))),
        };
        drop(gossip);
        let is_known = |addr: &SocketAddr| known.iter().any(|facts| facts.links == *addr);
        let unknown: Vec<_> = self.seeds.iter().filter(|addr| !is_known(addr)).collect();
        let turn = usize::try_from(round).unwrap_or_default();
        if let Some(addr) = unknown.get(turn % unknown.len().max(1)) {
            self.start_exchange(**addr, message);
        }
    }

    fn addr_of(&self, name: &InstanceName) -> Option<SocketAddr> {
        let gossip = self.lock();
        let facts = gossip.row(name).and_then(EntryFacts::of);
        let known = facts.map(|facts| facts.links);
        known.or_else(|| self.voters.get(name).copied())
    }

    /// Adds an agent's announcement to the gossip. Returns false if an entry has the same name.
    pub fn announce(&self, announce: &Announce, member: &Member) -> bool {
        let now = self.now();
        let mut gossip = self.lock();
        let known = gossip.row(&member.name);
        if known.is_some_and(|row| row.kind == RowKind::Entry) {
            return false;
        }
        let row = row_to_announce(known, self.target_row(announce, member));
        gossip.receive_announcement(Announcement { row }, now);
        self.apply_changes(&mut gossip);
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
            liveness: Liveness::Alive,
            facts: encoding::target_facts(announce),
        }
    }

    /// Returns the link addresses of the entries to which the target `member` announces itself next.
    pub fn entries_for_target(&self, member: &InstanceName) -> Vec<SocketAddr> {
        let gossip = self.lock();
        let region = gossip.row(member).map_or(&self.region, |row| &row.region);
        let names = gossip::home_entries(member, region, gossip.rows());
        let rows = names.iter().filter_map(|name| gossip.row(name));
        let facts = rows.filter_map(EntryFacts::of);
        facts.map(|facts| facts.links).collect()
    }

    /// Returns the entries that `caller` should use, best first.
    pub fn entries_for_caller(&self, caller: &str) -> Vec<EntryFacts> {
        let gossip = self.lock();
        let names =
            gossip::entries_for_caller(caller, Some(&self.region), gossip.rows(), MAX_LISTED);
        let rows = names.iter().filter_map(|name| gossip.row(name));
        rows.filter_map(EntryFacts::of).collect()
    }

    /// Returns the number of entries that are known to take requests.
    pub fn live_entries(&self) -> usize {
        let gossip = self.lock();
        let entries = gossip.rows().filter(|row| row.kind == RowKind::Entry);
        entries.filter(|row| row.takes_work()).count()
    }

    /// Announces that this entry is leaving. Returns the time until which it must serve callers that have its
    /// address.
    pub fn announce_leaving(&self) -> Departure {
        let now = self.now();
        let mut gossip = self.lock();
        let facts = gossip.rows().filter_map(EntryFacts::of);
        let ages = facts.map(|facts| facts.max_age);
        let max_age = ages.max().unwrap_or(self.facts.max_age);
        gossip.set_own_state(State::Leaving, self.facts.to_facts(), now);
        Departure::begin(now, max_age)
    }

    /// Tells the neighbours at once that this entry has left, because no further round follows.
    pub fn announce_left(&self) {
        let now = self.now();
        let mut gossip = self.lock();
        gossip.set_own_state(State::Left, self.facts.to_facts(), now);
        let view = gossip.neighbours().to_vec();
        let body = encoding::encode(&Message {
            kind: MessageKind::Answer,
            rows: vec![gossip.own_row().clone()],
            summary: None,
        });
        drop(gossip);
        for addr in view.iter().filter_map(|name| self.addr_of(name)) {
            // A neighbour that misses the message finds out when this entry falls silent.
            if let Ok(link) = self.dialer.link(addr, Role::Peer) {
                let _ = link.ask(Ask::Gossip(Payload { body: body.clone() }), LEFT_TIMEOUT);
            }
        }
    }

    /// Applies the changes of targets' rows to the members.
    fn apply_changes(&self, gossip: &mut Gossip) {
        for change in gossip.take_changes() {
            match change {
                Change::Updated(row) if row.kind == RowKind::Target => self.members.update(&row),
                Change::Updated(_) => {}
                Change::Removed(name) => self.members.remove(&name),
                Change::NameTaken { incarnation } => error!(
                    "another entry uses the name {} and was started at {incarnation} ms of its \
                     clock: stop one of the two, or set this instance's clock and restart",
                    self.name
                ),
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Gossip> {
        self.gossip.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The time that the last message to one neighbour may take.
const LEFT_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns the known row if only the announcement's number differs from it, and the announced row otherwise.
///
/// Agents number every announcement. If the gossip took each number, every target would cause a change that
/// spreads to every entry once a second, and real changes would be delayed behind these.
fn row_to_announce(known: Option<&Row>, announced: Row) -> Row {
    let unchanged = known.filter(|known| {
        let renumbered = Row {
            version: known.version,
            ..announced.clone()
        };
        **known == renumbered
    });
    unchanged.cloned().unwrap_or(announced)
}

/// Returns a number that grows with each start of this process on one instance.
fn incarnation() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}
