//! Tells entries what the target is and holds, and takes its orders from them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use filbertstack_wire::Dialer;
use filbertstack_wire::Role;
use filbertstack_wire::messages::Announce;
use filbertstack_wire::messages::Ask;
use filbertstack_wire::messages::Fence;
use filbertstack_wire::messages::Orders;
use filbertstack_wire::messages::Tell;
use spdlog::debug;

use crate::gate::Gate;
use crate::keeper::Desk;
use crate::settings::Kind;
use crate::settings::Settings;

/// How often an agent announces itself: three fit into an entry's lease.
pub const INTERVAL: Duration = Duration::from_secs(1);

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
            thread::sleep(INTERVAL);
        }
    }

    /// Announces once, at once: a target that leaves must be known to leave before its lease ends.
    pub fn announce_once(&self) {
        let announce = self.announce();
        for addr in self.settings.entries.iter().take(ENTRIES) {
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
            fence: *self.accepted.lock().unwrap_or_else(PoisonError::into_inner),
            slots: settings.slots,
        }
    }

    fn tell(&self, addr: SocketAddr, announce: &Announce) -> Option<Orders> {
        let ask = Ask::Announce(announce.clone());
        match self.dialer.ask(addr, Role::Agent, ask, TIMEOUT) {
            Ok(Tell::Orders(orders)) => {
                self.accept(&orders);
                Some(orders)
            }
            Ok(_) => None,
            Err(error) => {
                debug!("announce to {addr}: {error}");
                None
            }
        }
    }

    /// Takes orders that are no older than any taken before.
    ///
    /// Entries may lag behind each other and an old leader may wake after a freeze: an older
    /// order would bring an old version back. The fencing number only grows, so it is refused.
    fn accept(&self, orders: &Orders) {
        let Some(fence) = orders.fence else {
            return;
        };
        let mut accepted = self.accepted.lock().unwrap_or_else(PoisonError::into_inner);
        if accepted.is_some_and(|accepted| fence < accepted) {
            return;
        }
        *accepted = Some(fence);
        self.term.fetch_max(fence.term, Ordering::Relaxed);
        self.desk.order(orders.clone());
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
