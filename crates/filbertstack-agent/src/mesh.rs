//! The mesh of agents that copy the same versions from each other.
//!
//! Three threads feed the [`Copier`]. One requests this agent's part of the plan (upstreams and
//! grants) from the leader by long polling, one reports the results of grants to the leader, and one
//! asks the upstreams which chunks they hold. Without a leader the copy continues between agents
//! that already know each other.

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

use crate::settings::DEFAULT_LINK_RATE;
use crate::shared::SharedState;

use copies::Copies;
use peers::Peers;

/// The interval between two polls of the upstreams' chunks: about the time that a chunk of 4 MiB takes
/// on a share of an instance's link.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How long the leader may hold a request for this agent's part until the part changes.
const HOLD_TIME: Duration = Duration::from_secs(3);

/// How long the leader may take to answer beyond the hold time.
const REPLY_GRACE: Duration = Duration::from_secs(2);

/// The delay after a failed request to the leader.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The copies of this agent and the threads that drive them.
#[derive(Debug)]
pub struct Mesh {
    name: String,
    dialer: Arc<Dialer>,
    store: Arc<Store>,
    shared: Arc<SharedState>,
    copier: Copier,
    copies: Mutex<Copies>,
    peers: Mutex<Peers>,
    changed: Condvar,
    stopped: AtomicBool,
}

impl Mesh {
    /// Starts the threads; they run until [`Mesh::stop`].
    pub fn start(
        name: &str,
        dialer: Arc<Dialer>,
        store: Arc<Store>,
        shared: Arc<SharedState>,
    ) -> Arc<Self> {
        let (sender, events) = channel();
        let config = CopyConfig {
            pull: PullConfig::default(),
            seed: name_seed(name),
            rate: DEFAULT_LINK_RATE,
        };
        let mesh = Arc::new(Self {
            name: name.into(),
            dialer,
            copier: Copier::start(store.clone(), config, sender),
            store,
            shared,
            copies: Mutex::default(),
            peers: Mutex::default(),
            changed: Condvar::new(),
            stopped: AtomicBool::new(false),
        });
        let requester = mesh.clone();
        thread::spawn(move || requester.run_requests());
        let poller = mesh.clone();
        thread::spawn(move || poller.run_polls());
        let reporter = mesh.clone();
        thread::spawn(move || reporter.run_reports(&events));
        mesh
    }

    /// Limits the rate of all copies, in bytes per second.
    pub fn set_rate(&self, rate: u64) {
        self.copier.set_rate(rate);
    }

    /// Stops the threads.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.changed.notify_all();
    }

    /// Returns the manifest of an assigned version, once it has been received.
    pub fn manifest(&self, root: Digest, assignment: &Assignment) -> Option<Arc<Manifest>> {
        let mut copies = self.lock();
        let manifest = copies.assign(root, assignment);
        drop(copies);
        self.changed.notify_all();
        manifest
    }

    /// Starts the copy of a version, or requests the chunks again that the store lacks if it is in progress.
    pub fn start_copy(&self, manifest: &Arc<Manifest>, assignment: &Assignment) {
        let in_progress = self.lock().add_user(manifest, assignment);
        if in_progress {
            let missing = manifest.locations();
            let missing = missing.filter(|want| !self.store.has(want.chunk.digest));
            let indices: Vec<u32> = missing.map(|want| want.index).collect();
            self.copier.mark_missing(manifest.root(), &indices);
        } else {
            self.copier.add_version(manifest.clone());
        }
        self.changed.notify_all();
    }

    /// Ends a copy that was started; the last user ends it in the copier.
    pub fn end_copy(&self, root: Digest) {
        if self.lock().remove_user(root) {
            self.copier.remove_version(root);
        }
    }

    /// Returns the progress of a version's copy.
    pub fn progress(&self, root: Digest) -> Option<Progress> {
        self.copier.progress(root)
    }

    /// Returns the last error of a version's copy; empty if there was none.
    pub fn last_error(&self, root: Digest) -> String {
        self.lock().last_error(root)
    }

    fn lock(&self) -> MutexGuard<'_, Copies> {
        self.copies.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Waits until there is a copy and returns true, or returns false if the agent stops.
    fn wait_copies(&self) -> bool {
        let mut copies = self.lock();
        while copies.is_empty() && !self.is_stopped() {
            let waited = self.changed.wait_timeout(copies, HOLD_TIME);
            copies = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        !self.is_stopped()
    }

    fn run_requests(&self) {
        while self.wait_copies() {
            self.lock()
                .retain_assigned(&self.shared.assigned_versions());
            let ask = self.build_request(HOLD_TIME);
            if let Err(error) = self.request_plan(ask) {
                debug!("request for a copy plan failed: {error}");
                thread::sleep(RETRY_DELAY);
            }
        }
    }

    fn build_request(&self, hold: Duration) -> SpreadAsk {
        let leader = self.shared.leader_addr();
        let hold = u64::try_from(hold.as_millis()).unwrap_or(u64::MAX);
        SpreadAsk {
            name: self.name.clone(),
            copies: self.lock().reports(&leader, &self.store, hold > 0),
            hold,
        }
    }

    fn request_plan(&self, ask: SpreadAsk) -> Result<(), WireError> {
        let leader = self.shared.leader_addr();
        let Ok(addr) = leader.parse::<SocketAddr>() else {
            return Err(WireError::Protocol("no leader is known"));
        };
        let timeout = Duration::from_millis(ask.hold) + REPLY_GRACE;
        let reply = self
            .dialer
            .ask(addr, Role::Agent, Ask::Spread(ask), timeout);
        match reply? {
            Tell::Plan(plan) => {
                self.apply_plan(&leader, &plan);
                Ok(())
            }
            _ => Err(WireError::Protocol("no part of a plan")),
        }
    }

    fn apply_plan(&self, leader: &str, plan: &SpreadPlan) {
        let mut copies = self.lock();
        for part in &plan.parts {
            copies.apply_part(leader, part);
        }
        drop(copies);
        self.pass_grants();
    }

    /// Passes new grants on to the copier.
    fn pass_grants(&self) {
        let grants = self.lock().take_new_grants(&self.store, &self.dialer);
        for grant in grants {
            self.copier.grant(grant.root, grant.chunk, grant.sources);
        }
    }

    /// Reports the results of grants to the leader as they occur.
    fn run_reports(&self, events: &Receiver<CopyEvent>) {
        while !self.is_stopped() {
            let Ok(first) = events.recv_timeout(HOLD_TIME) else {
                continue;
            };
            let rest: Vec<CopyEvent> = events.try_iter().collect();
            let mut has_news = false;
            let mut copies = self.lock();
            for event in std::iter::once(first).chain(rest) {
                has_news |= copies.record_event(&event);
            }
            drop(copies);
            if has_news {
                self.report();
            }
        }
    }

    fn report(&self) {
        let ask = self.build_request(Duration::ZERO);
        let reported = ask.copies.clone();
        match self.request_plan(ask) {
            Ok(()) => self.lock().mark_reported(&reported),
            Err(error) => debug!("report to the leader failed: {error}"),
        }
    }

    /// Polls the upstreams for their chunks and searches for manifests.
    fn run_polls(&self) {
        while self.wait_copies() {
            let started_at = Instant::now();
            self.update_upstreams();
            self.find_manifests();
            let roots = self.lock().roots();
            let peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
            peers.poll(&roots, &self.dialer, &self.copier);
            drop(peers);
            self.pass_grants();
            thread::sleep(POLL_INTERVAL.saturating_sub(started_at.elapsed()));
        }
    }

    /// Sets the copier's upstreams to those of all copies.
    fn update_upstreams(&self) {
        let upstreams = self.lock().upstreams();
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        peers.update(upstreams, &self.dialer, &self.copier);
    }

    /// Searches for manifests at upstreams and, where the leader granted it, at the store and the origin.
    fn find_manifests(&self) {
        let searches = self.lock().manifest_searches();
        for search in searches {
            let found = search.run(&self.dialer);
            let has_news = self.lock().record_search(&search, found);
            if has_news {
                self.report();
            }
        }
    }
}

/// Returns a seed for random numbers that differs between agents: the FNV-1a hash of the agent's name.
fn name_seed(name: &str) -> u64 {
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    name.bytes().fold(0xcbf2_9ce4_8422_2325, mix)
}
