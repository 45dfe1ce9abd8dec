//! The thread pool that makes the fetches chosen by [`CopyScheduler`].

use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::mpsc::Sender;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use filbertstack_core::Digest;
use filbertstack_core::Millis;
use filbertstack_policy::spread::chunks::ChunkIndex;
use filbertstack_policy::spread::chunks::ChunkSet;
use filbertstack_policy::spread::pace::TokenBucket;
use filbertstack_policy::spread::pull::NeighbourKey;
use filbertstack_policy::spread::pull::PullConfig;
use filbertstack_policy::spread::pull::RingPosition;

use crate::copy::CopyEvent;
use crate::copy::CopyScheduler;
use crate::copy::Job;
use crate::copy::Progress;
use crate::fetch::AnySource;
use crate::manifest::Manifest;
use crate::store::Store;

/// The interval at which idle threads check for expired transfers.
const TICK: Duration = Duration::from_millis(20);

/// The configuration of a copier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyConfig {
    /// The limits of its requests; the copier starts one thread for each concurrent transfer.
    pub pull: PullConfig,
    /// The seed for random choices, which must differ between agents.
    pub seed: u64,
    /// The initial limit of the fetch rate, in bytes per second.
    pub rate: u64,
}

/// The copier of an agent; dropping it stops its threads after their current fetches.
#[derive(Debug)]
pub struct Copier {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

#[derive(Debug)]
struct Shared {
    store: Arc<Store>,
    state: Mutex<State>,
    wake: Condvar,
    start: Instant,
}

#[derive(Debug)]
struct State {
    scheduler: CopyScheduler,
    bucket: TokenBucket,
    events: Sender<CopyEvent>,
    stop: bool,
}

impl Copier {
    /// Starts the threads, which send their events for the agent to `events`.
    pub fn start(store: Arc<Store>, config: CopyConfig, events: Sender<CopyEvent>) -> Self {
        let state = State {
            scheduler: CopyScheduler::new(store.clone(), config.pull, config.seed),
            bucket: TokenBucket::new(config.rate),
            events,
            stop: false,
        };
        let shared = Arc::new(Shared {
            store,
            state: Mutex::new(state),
            wake: Condvar::new(),
            start: Instant::now(),
        });
        let start = |_| {
            let shared = shared.clone();
            thread::spawn(move || shared.run_jobs())
        };
        let threads = (0..config.pull.max_transfers).map(start).collect();
        Self { shared, threads }
    }

    /// See [`CopyScheduler::add_version`].
    pub fn add_version(&self, manifest: Arc<Manifest>) {
        let mut state = self.shared.lock();
        let events = state.scheduler.add_version(manifest);
        state.send(events);
        self.shared.wake.notify_all();
    }

    /// See [`CopyScheduler::remove_version`].
    pub fn remove_version(&self, root: Digest) {
        self.shared.lock().scheduler.remove_version(root);
        self.shared.wake.notify_all();
    }

    /// See [`CopyScheduler::add_peer`].
    pub fn add_peer(&self, source: Arc<dyn AnySource>, position: RingPosition) -> NeighbourKey {
        self.shared.lock().scheduler.add_peer(source, position)
    }

    /// See [`CopyScheduler::remove_peer`].
    pub fn remove_peer(&self, key: NeighbourKey) {
        self.shared.lock().scheduler.remove_peer(key);
        self.shared.wake.notify_all();
    }

    /// See [`CopyScheduler::announce`].
    pub fn announce(
        &self,
        key: NeighbourKey,
        root: Digest,
        positions: impl IntoIterator<Item = ChunkIndex>,
    ) {
        self.shared.lock().scheduler.announce(key, root, positions);
        self.shared.wake.notify_all();
    }

    /// See [`CopyScheduler::grant`].
    pub fn grant(&self, root: Digest, chunk: Digest, sources: Vec<Arc<dyn AnySource>>) {
        let mut state = self.shared.lock();
        let events = state.scheduler.grant(root, chunk, sources);
        state.send(events);
        self.shared.wake.notify_all();
    }

    /// See [`CopyScheduler::mark_missing`].
    pub fn mark_missing(&self, root: Digest, positions: &[u32]) {
        self.shared.lock().scheduler.mark_missing(root, positions);
        self.shared.wake.notify_all();
    }

    /// Records the mesh clock from a message of a peer.
    pub fn observe_clock(&self, clock: Millis) {
        let now = self.shared.now();
        self.shared.lock().scheduler.observe_clock(clock, now);
    }

    /// Sets the limit of the fetch rate, in bytes per second.
    pub fn set_rate(&self, rate: u64) {
        self.shared.lock().bucket.set_rate(rate);
    }

    /// Returns the mesh clock for this agent's messages.
    pub fn clock(&self) -> Millis {
        let now = self.shared.now();
        self.shared.lock().scheduler.clock(now)
    }

    /// See [`CopyScheduler::held_chunks`].
    pub fn held_chunks(&self, root: Digest) -> Option<ChunkSet> {
        self.shared.lock().scheduler.held_chunks(root)
    }

    /// See [`CopyScheduler::progress`].
    pub fn progress(&self, root: Digest) -> Option<Progress> {
        self.shared.lock().scheduler.progress(root)
    }
}

impl Drop for Copier {
    fn drop(&mut self) {
        self.shared.lock().stop = true;
        self.shared.wake.notify_all();
        for thread in self.threads.drain(..) {
            // A panic of the thread was already printed to standard error.
            let _ = thread.join();
        }
    }
}

impl State {
    fn send(&self, events: Vec<CopyEvent>) {
        for event in events {
            // Sending fails only when the agent is stopping and has dropped the receiver.
            let _ = self.events.send(event);
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Millis {
        self.start.elapsed().into()
    }

    fn run_jobs(&self) {
        while let Some((job, wait)) = self.wait_job() {
            thread::sleep(wait.into());
            let result = job
                .source
                .fetch_into(&job.location, &self.store)
                .map(|_| ());
            let now = self.now();
            let mut state = self.lock();
            let events = state.scheduler.record_result(&job, result, now);
            state.send(events);
            self.wake.notify_all();
        }
    }

    /// Waits for the next fetch and returns it with the delay before it; `None` when the copier stops.
    fn wait_job(&self) -> Option<(Job, Millis)> {
        let mut state = self.lock();
        loop {
            if state.stop {
                return None;
            }
            let now = self.now();
            let events = state.scheduler.tick(now);
            state.send(events);
            if let Some(job) = state.scheduler.next_job(now) {
                let size = u64::from(job.location.chunk.size);
                let wait = state.bucket.take(size, now);
                return Some((job, wait));
            }
            // Without work there is no periodic wake-up, so a complete agent uses no CPU time here.
            state = if state.scheduler.is_idle() {
                let waited = self.wake.wait(state);
                waited.unwrap_or_else(PoisonError::into_inner)
            } else {
                let waited = self.wake.wait_timeout(state, TICK);
                waited.unwrap_or_else(PoisonError::into_inner).0
            };
        }
    }
}
