//! Tells entries what the target is and holds, and takes its orders from them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use filbertstack_control::gate::ArmedGate;
use filbertstack_control::gate::Arming;
use filbertstack_control::gate::Delivery;
use filbertstack_control::gate::UnarmedGate;
use filbertstack_control::gate::VoterReport;
use filbertstack_wire::Dialer;
use filbertstack_wire::Role;
use filbertstack_wire::messages::Announce;
use filbertstack_wire::messages::Ask;
use filbertstack_wire::messages::Empty;
use filbertstack_wire::messages::Fence;
use filbertstack_wire::messages::Orders;
use filbertstack_wire::messages::Tell;
use spdlog::debug;

use crate::desk::Desk;
use crate::gate::Gate;
use crate::settings::Kind;
use crate::settings::Settings;

/// How often an agent announces itself: three fit into an entry's lease.
pub const INTERVAL: Duration = Duration::from_secs(1);

/// How often while a version is copied: orders that follow from its end come that much sooner.
pub const COPYING: Duration = Duration::from_millis(250);

/// How long an entry may take to answer.
const TIMEOUT: Duration = Duration::from_secs(2);

/// How many entries an agent announces to: two may die at once and it is still known.
pub const ENTRIES: usize = 3;

/// Tells entries what the target is and holds, and takes its orders from them.
#[derive(Debug)]
pub struct Announcer {
    /// The settings.
    pub settings: Arc<Settings>,
    /// Links to entries.
    pub dialer: Arc<Dialer>,
    /// The gate, which says whether the target is leaving.
    pub gate: Gate,
    /// Where orders go.
    pub desk: Arc<Desk>,
    /// The highest term accepted.
    pub term: Arc<AtomicU64>,
    /// Ends the announcer.
    pub stopped: Arc<AtomicBool>,
    /// This start of the agent.
    pub incarnation: u64,
    /// The number of the last announcement.
    pub version: AtomicU64,
    /// The highest fencing number accepted.
    pub accepted: Mutex<Option<Fence>>,
    /// The entries that are told now.
    pub told: Mutex<Vec<SocketAddr>>,
    /// The orders last heard from each entry.
    pub heard: Mutex<HashMap<SocketAddr, Orders>>,
    /// The gate of orders, once a majority of the voters has told its term.
    pub armed: Mutex<Option<ArmedGate>>,
}

/// A number that grows with each start of a process on one instance.
pub fn incarnation() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}

impl Announcer {
    /// Announces until it is stopped.
    pub fn run(&self) {
        let mut entries = self.settings.entries.clone();
        while !self.stopped.load(Ordering::Relaxed) {
            let announce = self.announce();
            let mut heard = Vec::new();
            for addr in entries.iter().take(ENTRIES) {
                heard.extend(self.tell(*addr, &announce));
            }
            entries = self.next_entries(&entries, &heard);
            lock(&self.told).clone_from(&entries);
            let copying = self.desk.is_copying();
            thread::sleep(if copying { COPYING } else { INTERVAL });
        }
    }

    /// Announces once, at once: a target that leaves must be known to leave before its lease ends.
    pub fn announce_once(&self) {
        let announce = self.announce();
        let told = lock(&self.told).clone();
        let entries = if told.is_empty() {
            &self.settings.entries
        } else {
            &told
        };
        for addr in entries.iter().take(ENTRIES) {
            self.tell(*addr, &announce);
        }
    }

    fn announce(&self) -> Announce {
        // Numbered before it is read: of two made at once the later read has the greater number
        // or the same content.
        let version = self.version.fetch_add(1, Ordering::SeqCst) + 1;
        let settings = &self.settings;
        Announce {
            name: settings.name.to_string(),
            incarnation: self.incarnation,
            version,
            addr: settings.links.to_string(),
            labels: settings.all_labels().to_string(),
            memory: settings.memory,
            copies: self.desk.copies(),
            leaving: self.gate.is_leaving(),
            service: settings.kind == Kind::Service,
            fence: *lock(&self.accepted),
            slots: settings.slots,
            heard: Vec::new(),
        }
    }

    fn tell(&self, addr: SocketAddr, announce: &Announce) -> Option<Orders> {
        let last = lock(&self.heard).get(&addr).cloned();
        let heard = last.as_ref().map(Orders::digest).unwrap_or_default();
        let ask = Ask::Announce(Announce {
            heard,
            ..announce.clone()
        });
        match self.dialer.ask(addr, Role::Agent, ask, TIMEOUT) {
            Ok(Tell::Orders(orders)) => {
                let orders = if orders.same { last? } else { orders };
                lock(&self.heard).insert(addr, orders.clone());
                self.accept(&orders);
                Some(orders)
            }
            Ok(_) => None,
            Err(error) => {
                debug!("announce to {addr}: {error}");
                lock(&self.heard).remove(&addr);
                None
            }
        }
    }

    /// Takes orders that the gate lets through.
    ///
    /// Entries may lag behind each other and an old leader may wake after a freeze: an older
    /// order would bring an old version back. An agent that has just started knows no fencing
    /// number, so it first hears the term from a majority of the voters.
    fn accept(&self, orders: &Orders) {
        let Some(fence) = orders.fence else {
            return;
        };
        let mut accepted = lock(&self.accepted);
        let Some(mut armed) = self.armed(orders) else {
            return;
        };
        let delivery = Delivery {
            incarnation: orders.incarnation,
            term: orders.term.max(fence.term),
            sequence: fence.sequence,
        };
        match armed.accept(&delivery) {
            Ok(_) => {
                *accepted = Some(fence);
                self.term.fetch_max(armed.term(), Ordering::Relaxed);
                *lock(&self.armed) = Some(armed);
                self.desk.order(orders.clone());
            }
            Err(refusal) => debug!("order refused: {refusal}"),
        }
    }

    /// The gate of orders, armed by a majority of the voters if it is not yet.
    fn armed(&self, orders: &Orders) -> Option<ArmedGate> {
        if let Some(armed) = &*lock(&self.armed) {
            return Some(armed.clone());
        }
        let mut newborn = UnarmedGate::new(self.incarnation);
        for addr in orders.voters.iter().filter_map(|addr| addr.parse().ok()) {
            let Some(word) = self.ask_voter(addr) else {
                continue;
            };
            match newborn.add_report(word) {
                Arming::Armed(armed) => {
                    *lock(&self.armed) = Some(armed.clone());
                    return Some(armed);
                }
                Arming::Waiting(waiting) => newborn = waiting,
            }
        }
        debug!("no majority of the voters has told its term yet");
        None
    }

    fn ask_voter(&self, addr: SocketAddr) -> Option<VoterReport> {
        let told = self
            .dialer
            .ask(addr, Role::Agent, Ask::Term(Empty {}), TIMEOUT);
        let Ok(Tell::Term(report)) = told else {
            return None;
        };
        let voters = report.voters.iter().map(|name| name.parse());
        Some(VoterReport {
            voter: report.voter.parse().ok()?,
            term: report.term,
            config_index: report.config,
            voters: voters.collect::<Result<_, _>>().ok()?,
        })
    }

    /// The entries to announce to next: those that entries name, then those of the settings.
    fn next_entries(&self, now: &[SocketAddr], heard: &[Orders]) -> Vec<SocketAddr> {
        let named = heard.iter().flat_map(|orders| &orders.entries);
        let mut next: Vec<SocketAddr> = named.filter_map(|addr| addr.parse().ok()).collect();
        next.dedup();
        if next.is_empty() {
            // Nobody answered: the next of the settings take their turn.
            let mut entries = self.settings.entries.clone();
            let turn = now
                .first()
                .and_then(|addr| entries.iter().position(|e| e == addr));
            let count = entries.len();
            entries.rotate_left(turn.map_or(0, |turn| (turn + ENTRIES) % count.max(1)));
            return entries;
        }
        next
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
