//! Announces the target and its versions to entries, and receives its orders from them.

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

use crate::gate::Gate;
use crate::settings::Settings;
use crate::settings::TargetKind;
use crate::shared::SharedState;

/// The interval between two announcements: three of them fit into an entry's lease.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// The interval while a version is copied: the orders that follow its end arrive sooner.
pub const COPYING_INTERVAL: Duration = Duration::from_millis(250);

/// How long an entry or a voter may take to answer.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// How many entries an agent announces to: it stays known if two of them fail at once.
pub const MAX_ENTRIES: usize = 3;

/// Announces the target to entries and accepts its orders from them.
#[derive(Debug)]
pub struct Announcer {
    /// The settings of the agent.
    pub settings: Arc<Settings>,
    /// Links to entries.
    pub dialer: Arc<Dialer>,
    /// The gate, which knows whether the target is leaving.
    pub gate: Gate,
    /// The state that receives the accepted orders.
    pub shared: Arc<SharedState>,
    /// The highest term accepted.
    pub term: Arc<AtomicU64>,
    /// Stops the announcer when set.
    pub stopped: Arc<AtomicBool>,
    /// The incarnation of this agent process.
    pub incarnation: u64,
    /// The number of the last announcement.
    pub last_version: AtomicU64,
    /// The highest fencing number accepted.
    pub accepted_fence: Mutex<Option<Fence>>,
    /// The entries that receive the announcements now.
    pub current_entries: Mutex<Vec<SocketAddr>>,
    /// The last orders received from each entry.
    pub last_orders: Mutex<HashMap<SocketAddr, Orders>>,
    /// The gate of orders, once a majority of the voters has reported its term.
    pub order_gate: Mutex<Option<ArmedGate>>,
}

/// Returns a number that grows with each start of a process on one instance.
pub fn incarnation() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}

impl Announcer {
    /// Announces until the announcer is stopped.
    pub fn run(&self) {
        let mut entries = self.settings.entries.clone();
        while !self.stopped.load(Ordering::Relaxed) {
            let announce = self.announce();
            let mut received = Vec::new();
            for addr in entries.iter().take(MAX_ENTRIES) {
                received.extend(self.announce_to(*addr, &announce));
            }
            entries = self.next_entries(&entries, &received);
            lock(&self.current_entries).clone_from(&entries);
            let copying = self.shared.is_copying();
            thread::sleep(if copying {
                COPYING_INTERVAL
            } else {
                ANNOUNCE_INTERVAL
            });
        }
    }

    /// Sends one announcement without delay: entries must know that a target is leaving before its
    /// lease ends.
    pub fn announce_once(&self) {
        let announce = self.announce();
        let current_entries = lock(&self.current_entries).clone();
        let entries = if current_entries.is_empty() {
            &self.settings.entries
        } else {
            &current_entries
        };
        for addr in entries.iter().take(MAX_ENTRIES) {
            self.announce_to(*addr, &announce);
        }
    }

    fn announce(&self) -> Announce {
        // The number is taken before the state is read: of two concurrent announcements the one that
        // read later has the higher number or the same content.
        let version = self.last_version.fetch_add(1, Ordering::SeqCst) + 1;
        let settings = &self.settings;
        Announce {
            name: settings.name.to_string(),
            incarnation: self.incarnation,
            version,
            addr: settings.links.to_string(),
            labels: settings.all_labels().to_string(),
            memory: settings.memory,
            copies: self.shared.copies(),
            leaving: self.gate.is_leaving(),
            service: settings.kind == TargetKind::Service,
            fence: *lock(&self.accepted_fence),
            slots: settings.slots,
            heard: Vec::new(),
        }
    }

    fn announce_to(&self, addr: SocketAddr, announce: &Announce) -> Option<Orders> {
        let last = lock(&self.last_orders).get(&addr).cloned();
        let heard = last.as_ref().map(Orders::digest).unwrap_or_default();
        let ask = Ask::Announce(Announce {
            heard,
            ..announce.clone()
        });
        match self.dialer.ask(addr, Role::Agent, ask, REPLY_TIMEOUT) {
            Ok(Tell::Orders(orders)) => {
                let orders = if orders.same { last? } else { orders };
                lock(&self.last_orders).insert(addr, orders.clone());
                self.apply_orders(&orders);
                Some(orders)
            }
            Ok(_) => None,
            Err(error) => {
                debug!("announcement to entry {addr} failed: {error}");
                lock(&self.last_orders).remove(&addr);
                None
            }
        }
    }

    /// Applies orders that the gate of orders accepts.
    ///
    /// Entries may lag behind each other, and a former leader may resume after a pause: an older order
    /// would bring back an old version. An agent that has just started knows no fencing number, so it
    /// first asks a majority of the voters for their term.
    fn apply_orders(&self, orders: &Orders) {
        let Some(fence) = orders.fence else {
            return;
        };
        let mut accepted_fence = lock(&self.accepted_fence);
        let Some(mut armed) = self.arm(orders) else {
            return;
        };
        let delivery = Delivery {
            incarnation: orders.incarnation,
            term: orders.term.max(fence.term),
            sequence: fence.sequence,
        };
        match armed.accept(&delivery) {
            Ok(_) => {
                *accepted_fence = Some(fence);
                self.term.fetch_max(armed.term(), Ordering::Relaxed);
                *lock(&self.order_gate) = Some(armed);
                self.shared.set_orders(orders.clone());
            }
            Err(refusal) => debug!("gate refused the orders: {refusal}"),
        }
    }

    /// Returns the gate of orders; it is first armed by a majority of the voters.
    fn arm(&self, orders: &Orders) -> Option<ArmedGate> {
        if let Some(armed) = &*lock(&self.order_gate) {
            return Some(armed.clone());
        }
        let mut newborn = UnarmedGate::new(self.incarnation);
        for addr in orders.voters.iter().filter_map(|addr| addr.parse().ok()) {
            let Some(word) = self.ask_voter(addr) else {
                continue;
            };
            match newborn.add_report(word) {
                Arming::Armed(armed) => {
                    *lock(&self.order_gate) = Some(armed.clone());
                    return Some(armed);
                }
                Arming::Waiting(waiting) => newborn = waiting,
            }
        }
        debug!("no majority of the voters has reported its term yet");
        None
    }

    fn ask_voter(&self, addr: SocketAddr) -> Option<VoterReport> {
        let reply = self
            .dialer
            .ask(addr, Role::Agent, Ask::Term(Empty {}), REPLY_TIMEOUT);
        let Ok(Tell::Term(report)) = reply else {
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

    /// Returns the entries for the next announcements: those that the orders name, or else those of
    /// the settings.
    fn next_entries(&self, current: &[SocketAddr], received: &[Orders]) -> Vec<SocketAddr> {
        let named = received.iter().flat_map(|orders| &orders.entries);
        let mut next: Vec<SocketAddr> = named.filter_map(|addr| addr.parse().ok()).collect();
        next.dedup();
        if next.is_empty() {
            // No entry answered: the next entries of the settings are tried.
            let mut entries = self.settings.entries.clone();
            let index = current
                .first()
                .and_then(|addr| entries.iter().position(|e| e == addr));
            let count = entries.len();
            entries.rotate_left(index.map_or(0, |index| (index + MAX_ENTRIES) % count.max(1)));
            return entries;
        }
        next
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
