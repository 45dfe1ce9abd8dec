//! The agent's place among those that copy the same versions.
//!
//! Three threads feed the [`Copier`]: one asks the leader for this agent's part (upstreams and
//! grants) and waits for news, one tells the leader what came of grants, and one asks the
//! upstreams which chunks they hold. Without a leader the copy goes on between those that know
//! each other already.

mod copies;
mod peers;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use filbertstack_core::Digest;
use filbertstack_policy::spread::pull::PullConfig;
use filbertstack_weights::Copier;
use filbertstack_weights::Manifest;
use filbertstack_weights::Store;
use filbertstack_weights::copy::CopyConfig;
use filbertstack_weights::copy::CopyEvent;
use filbertstack_weights::copy::Progress;
use filbertstack_wire::Dialer;
use filbertstack_wire::Role;
use filbertstack_wire::WireError;
use filbertstack_wire::messages::Ask;
use filbertstack_wire::messages::Assignment;
use filbertstack_wire::messages::SpreadAsk;
use filbertstack_wire::messages::SpreadPlan;
use filbertstack_wire::messages::Tell;
use spdlog::debug;

use crate::desk::Desk;
use crate::settings::DEFAULT_LINK;

use copies::Copies;
use peers::Peers;

/// How often upstreams are asked for what they hold: about the time of a chunk of 4 MiB on a
/// share of an instance's link.
const HEAR: Duration = Duration::from_millis(100);

/// How long the leader may hold the question for this agent's part.
const HOLD: Duration = Duration::from_secs(3);

/// How long beyond the hold the leader may take to answer.
const GRACE: Duration = Duration::from_secs(2);

/// The pause after the leader could not be asked.
const PAUSE: Duration = Duration::from_millis(200);

/// The copies of this agent.
#[derive(Debug)]
pub struct Mesh {
    name: String,
    dialer: Arc<Dialer>,
    store: Arc<Store>,
    desk: Arc<Desk>,
    copier: Copier,
    copies: Mutex<Copies>,
    peers: Mutex<Peers>,
    woken: Condvar,
    stopped: AtomicBool,
}

impl Mesh {
    /// Starts the threads; they end after [`Mesh::stop`].
    pub fn start(name: &str, dialer: Arc<Dialer>, store: Arc<Store>, desk: Arc<Desk>) -> Arc<Self> {
        let (sender, events) = channel();
        let config = CopyConfig {
            pull: PullConfig::default(),
            seed: seed(name),
            rate: DEFAULT_LINK,
        };
        let mesh = Arc::new(Self {
            name: name.into(),
            dialer,
            copier: Copier::start(store.clone(), config, sender),
            store,
            desk,
            copies: Mutex::default(),
            peers: Mutex::default(),
            woken: Condvar::new(),
            stopped: AtomicBool::new(false),
        });
        let asking = mesh.clone();
        thread::spawn(move || asking.ask_on());
        let hearing = mesh.clone();
        thread::spawn(move || hearing.hear_on());
        let telling = mesh.clone();
        thread::spawn(move || telling.tell_on(&events));
        mesh
    }

    /// Bounds what the copies fetch, in bytes a second.
    pub fn set_rate(&self, rate: u64) {
        self.copier.set_rate(rate);
    }

    /// Ends the threads.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.woken.notify_all();
    }

    /// The manifest of an assigned version, once it has come.
    pub fn manifest(&self, root: Digest, assignment: &Assignment) -> Option<Arc<Manifest>> {
        let mut copies = self.lock();
        let manifest = copies.assign(root, assignment);
        drop(copies);
        self.woken.notify_all();
        manifest
    }

    /// Begins to copy a version, or looks again for what the store lacks of it.
    pub fn begin(&self, manifest: &Arc<Manifest>, assignment: &Assignment) {
        let again = self.lock().begin(manifest, assignment);
        if again {
            let lacks = manifest.locations();
            let lacks = lacks.filter(|want| !self.store.has(want.chunk.digest));
            let places: Vec<u32> = lacks.map(|want| want.index).collect();
            self.copier.mark_missing(manifest.root(), &places);
        } else {
            self.copier.add_version(manifest.clone());
        }
        self.woken.notify_all();
    }

    /// Ends a copy that was begun.
    pub fn end(&self, root: Digest) {
        if self.lock().end(root) {
            self.copier.remove_version(root);
        }
    }

    /// How far the copy of a version is.
    pub fn progress(&self, root: Digest) -> Option<Progress> {
        self.copier.progress(root)
    }

    /// What last went wrong with the copy of a version; empty if nothing did.
    pub fn trouble(&self, root: Digest) -> String {
        self.lock().trouble(root)
    }

    fn lock(&self) -> MutexGuard<'_, Copies> {
        self.copies.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Waits until something is copied; false if the agent stops.
    fn wait_copies(&self) -> bool {
        let mut copies = self.lock();
        while copies.is_empty() && !self.is_stopped() {
            let waited = self.woken.wait_timeout(copies, HOLD);
            copies = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        !self.is_stopped()
    }

    fn ask_on(&self) {
        while self.wait_copies() {
            self.lock().keep(&self.desk.ordered());
            let ask = self.question(HOLD);
            if let Err(error) = self.ask(ask) {
                debug!("the leader gave no part: {error}");
                thread::sleep(PAUSE);
            }
        }
    }

    fn question(&self, hold: Duration) -> SpreadAsk {
        let leader = self.desk.leader();
        let hold = u64::try_from(hold.as_millis()).unwrap_or(u64::MAX);
        SpreadAsk {
            name: self.name.clone(),
            copies: self.lock().reports(&leader, &self.store, hold > 0),
            hold,
        }
    }

    fn ask(&self, ask: SpreadAsk) -> Result<(), WireError> {
        let leader = self.desk.leader();
        let Ok(addr) = leader.parse::<SocketAddr>() else {
            return Err(WireError::Protocol("no leader is known"));
        };
        let timeout = Duration::from_millis(ask.hold) + GRACE;
        let told = self
            .dialer
            .ask(addr, Role::Agent, Ask::Spread(ask), timeout);
        match told? {
            Tell::Plan(plan) => {
                self.take(&leader, &plan);
                Ok(())
            }
            _ => Err(WireError::Protocol("no part of a plan")),
        }
    }

    fn take(&self, leader: &str, plan: &SpreadPlan) {
        let mut copies = self.lock();
        for part in &plan.parts {
            copies.take(leader, part);
        }
        drop(copies);
        self.use_grants();
    }

    /// Passes grants on to the copier that it has not got yet.
    fn use_grants(&self) {
        let uses = self.lock().unused(&self.store, &self.dialer);
        for granted in uses {
            self.copier
                .grant(granted.root, granted.chunk, granted.sources);
        }
    }

    /// Tells the leader what came of grants as soon as something did.
    fn tell_on(&self, events: &Receiver<CopyEvent>) {
        while !self.is_stopped() {
            let Ok(first) = events.recv_timeout(HOLD) else {
                continue;
            };
            let rest: Vec<CopyEvent> = events.try_iter().collect();
            let mut news = false;
            let mut copies = self.lock();
            for event in std::iter::once(first).chain(rest) {
                news |= copies.note(&event);
            }
            drop(copies);
            if news {
                self.tell();
            }
        }
    }

    fn tell(&self) {
        let ask = self.question(Duration::ZERO);
        let told = ask.copies.clone();
        match self.ask(ask) {
            Ok(()) => self.lock().told(&told),
            Err(error) => debug!("the leader was not told: {error}"),
        }
    }

    /// Asks upstreams what they hold.
    fn hear_on(&self) {
        while self.wait_copies() {
            let began = Instant::now();
            self.seat_peers();
            self.find_manifests();
            let roots = self.lock().roots();
            let peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
            peers.hear(&roots, &self.dialer, &self.copier);
            drop(peers);
            self.use_grants();
            thread::sleep(HEAR.saturating_sub(began.elapsed()));
        }
    }

    /// Brings the copier's upstreams in line with the parts.
    fn seat_peers(&self) {
        let upstreams = self.lock().upstreams();
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        peers.seat(upstreams, &self.dialer, &self.copier);
    }

    /// Gets manifests, from outside where the leader granted that and from upstreams otherwise.
    fn find_manifests(&self) {
        let searches = self.lock().searches();
        for search in searches {
            let found = search.run(&self.dialer);
            let news = self.lock().found(&search, found);
            if news {
                self.tell();
            }
        }
    }
}

/// A number that differs between agents (FNV-1a).
fn seed(name: &str) -> u64 {
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    name.bytes().fold(0xcbf2_9ce4_8422_2325, mix)
}
