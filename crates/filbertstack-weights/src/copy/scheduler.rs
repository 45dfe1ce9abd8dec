//! The decisions of the copier, with the time as a parameter.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;

use filbertstack_core::Digest;
use filbertstack_core::Millis;
use filbertstack_policy::spread::chunks::ChunkIndex;
use filbertstack_policy::spread::chunks::ChunkSet;
use filbertstack_policy::spread::pull::Fault;
use filbertstack_policy::spread::pull::NeighbourKey;
use filbertstack_policy::spread::pull::PullConfig;
use filbertstack_policy::spread::pull::PullScheduler;
use filbertstack_policy::spread::pull::RingPosition;
use filbertstack_policy::spread::pull::TransferKey;
use filbertstack_policy::spread::pull::Upstream;

use crate::copy::CopyEvent;
use crate::copy::Progress;
use crate::copy::catalogue::Catalogue;
use crate::fetch::AnySource;
use crate::fetch::FetchError;
use crate::manifest::ChunkLocation;
use crate::manifest::Manifest;
use crate::store::Store;

/// One fetch to make.
#[derive(Debug)]
pub struct Job {
    /// The transfer in the scheduler, for [`CopyScheduler::record_result`].
    pub transfer: TransferKey,
    /// The chunk to fetch.
    pub location: ChunkLocation,
    /// The source to fetch it from.
    pub source: Arc<dyn AnySource>,
    index: ChunkIndex,
    from: Upstream,
}

/// A grant of the leader for one chunk, with the sources in the order in which they are tried.
#[derive(Debug)]
struct Grant {
    root: Digest,
    sources: VecDeque<Arc<dyn AnySource>>,
}

/// The state and the decisions of one agent's copier.
#[derive(Debug)]
pub struct CopyScheduler {
    store: Arc<Store>,
    pull: PullScheduler,
    catalogue: Catalogue,
    peers: HashMap<NeighbourKey, Arc<dyn AnySource>>,
    grants: HashMap<ChunkIndex, Grant>,
    /// Granted chunks whose source was busy, with the time of the next attempt.
    postponed: Vec<(Millis, ChunkIndex)>,
    /// Indices of chunks that no version wants any more but that still have a transfer.
    releasing: Vec<ChunkIndex>,
    failing: Vec<NeighbourKey>,
}

impl CopyScheduler {
    /// Creates a copier without versions; `seed` must differ between agents.
    pub fn new(store: Arc<Store>, config: PullConfig, seed: u64) -> Self {
        Self {
            store,
            pull: PullScheduler::new(config, seed),
            catalogue: Catalogue::default(),
            peers: HashMap::new(),
            grants: HashMap::new(),
            postponed: Vec::new(),
            releasing: Vec::new(),
            failing: Vec::new(),
        }
    }

    /// Adds a version to those being copied. Chunks that the store holds already are not fetched.
    pub fn add_version(&mut self, manifest: Arc<Manifest>) -> Vec<CopyEvent> {
        let chunks: Vec<_> = manifest.chunks().iter().map(|chunk| chunk.digest).collect();
        let Some(version) = self.catalogue.add(manifest) else {
            return Vec::new();
        };
        let indices = version.indices.clone();
        self.pull.grow(self.catalogue.index_count());
        for (index, chunk) in indices.into_iter().zip(chunks) {
            self.pull.want(index);
            if self.store.has(chunk) {
                self.pull.hold(index);
            }
        }
        // Chunks that the store held already may also complete versions that were added earlier.
        let roots = self.catalogue.roots();
        roots
            .into_iter()
            .filter_map(|root| self.update_missing(root))
            .collect()
    }

    /// Recounts the missing chunks of a version.
    fn update_missing(&mut self, root: Digest) -> Option<CopyEvent> {
        let held = self.pull.held();
        let complete = self
            .catalogue
            .update_missing(root, |index| held.contains(index));
        complete.then_some(CopyEvent::Complete { root })
    }

    /// Stops copying a version; chunks that another version needs are still fetched.
    pub fn remove_version(&mut self, root: Digest) {
        let unused = self.catalogue.remove(root);
        for &index in &unused {
            self.grants.remove(&index);
            self.pull.unwant(index);
        }
        self.releasing.extend(unused);
        self.reclaim();
    }

    /// Releases the indices of unused chunks that have no transfer in progress.
    fn reclaim(&mut self) {
        let releasing = std::mem::take(&mut self.releasing);
        for index in releasing {
            if self.pull.clear(index) {
                self.catalogue.release(index);
            } else {
                self.releasing.push(index);
            }
        }
    }

    /// Adds an upstream and returns its key.
    pub fn add_peer(&mut self, source: Arc<dyn AnySource>, position: RingPosition) -> NeighbourKey {
        let key = self.pull.join(position);
        self.peers.insert(key, source);
        key
    }

    /// Removes an upstream; the chunks requested from it are requested from other sources.
    pub fn remove_peer(&mut self, key: NeighbourKey) {
        self.pull.leave(key);
        self.peers.remove(&key);
        self.failing.retain(|failing| *failing != key);
        self.reclaim();
    }

    /// Records the chunks that an upstream holds, by their positions in the manifest of a version.
    /// Chunks of a version that is not being copied are ignored.
    pub fn announce(
        &mut self,
        key: NeighbourKey,
        root: Digest,
        positions: impl IntoIterator<Item = ChunkIndex>,
    ) {
        let Some(version) = self.catalogue.version(root) else {
            return;
        };
        let positions = positions.into_iter();
        let indices = positions.filter_map(|at| version.indices.get(at as usize));
        for &index in indices {
            self.pull.announce(key, index);
        }
    }

    /// Records the mesh clock from a message of a peer.
    pub fn observe_clock(&mut self, clock: Millis, now: Millis) {
        self.pull.observe_clock(clock, now);
    }

    /// Returns the mesh clock for this agent's messages.
    pub fn clock(&self, now: Millis) -> Millis {
        self.pull.clock(now)
    }

    /// Accepts a grant of the leader: `chunk` of the version `root` may be fetched from `sources`, the
    /// weight store before the origin. A chunk that is held already is reported as stored without a fetch.
    pub fn grant(
        &mut self,
        root: Digest,
        chunk: Digest,
        sources: Vec<Arc<dyn AnySource>>,
    ) -> Vec<CopyEvent> {
        let Some(index) = self.catalogue.index_of(chunk) else {
            return Vec::new();
        };
        if self.pull.import(index) {
            let sources = sources.into();
            self.grants.insert(index, Grant { root, sources });
            return Vec::new();
        }
        let granted = true;
        vec![CopyEvent::ChunkStored { chunk, granted }]
    }

    /// Marks chunks of a version that were found damaged or lost, by their positions in its manifest, so
    /// that they are fetched again.
    pub fn mark_missing(&mut self, root: Digest, positions: &[u32]) {
        let Some(version) = self.catalogue.version(root) else {
            return;
        };
        let indices = positions.iter().map(|at| version.indices.get(*at as usize));
        let indices: Vec<_> = indices.flatten().copied().collect();
        let mut roots = vec![root];
        for index in indices {
            self.pull.lose(index);
            roots.extend(self.catalogue.versions_of(index));
        }
        roots.sort_unstable();
        roots.dedup();
        for root in roots {
            self.update_missing(root);
        }
    }

    /// Returns the next fetch to make; its transfer counts as started.
    pub fn next_job(&mut self, now: Millis) -> Option<Job> {
        loop {
            let request = self.pull.next(now)?;
            let (source, root) = match request.from {
                Upstream::Neighbour(key) => (self.peers.get(&key).cloned(), None),
                Upstream::Import => {
                    let grant = self.grants.get(&request.chunk);
                    let source = grant.and_then(|grant| grant.sources.front().cloned());
                    (source, grant.map(|grant| grant.root))
                }
            };
            let location = self.catalogue.location(request.chunk, root).cloned();
            if let (Some(source), Some(location)) = (source, location) {
                return Some(Job {
                    transfer: request.transfer,
                    location,
                    source,
                    index: request.chunk,
                    from: request.from,
                });
            }
            self.pull.failed(request.transfer, Fault::Missing, now);
        }
    }

    /// Records the result of a fetch and returns the events for the agent.
    pub fn record_result(
        &mut self,
        job: &Job,
        result: Result<(), FetchError>,
        now: Millis,
    ) -> Vec<CopyEvent> {
        let mut events = match result {
            Ok(()) => self.fetch_succeeded(job, now),
            Err(error) => self.fetch_failed(job, &error, now),
        };
        self.reclaim();
        events.extend(self.report_failing());
        events
    }

    fn fetch_succeeded(&mut self, job: &Job, now: Millis) -> Vec<CopyEvent> {
        let chunk = job.location.chunk.digest;
        // A fetch may end after it timed out or after its version was removed. Its index may belong to
        // another chunk by then.
        if !self.pull.completed(job.transfer, now)
            || self.catalogue.index_of(chunk) != Some(job.index)
        {
            return Vec::new();
        }
        // The chunk may have come from a peer before its grant was used. It is reported as granted all
        // the same, so that the leader can close the grant.
        let granted = self.grants.remove(&job.index).is_some();
        let mut events = vec![CopyEvent::ChunkStored { chunk, granted }];
        let complete = self.catalogue.mark_stored(job.index);
        events.extend(
            complete
                .into_iter()
                .map(|root| CopyEvent::Complete { root }),
        );
        events
    }

    fn fetch_failed(&mut self, job: &Job, error: &FetchError, now: Millis) -> Vec<CopyEvent> {
        let chunk = job.location.chunk.digest;
        let Some(fault) = error.fault() else {
            // The fault lies with this instance, so the source is not marked as failing.
            let after = Millis::secs(1);
            self.pull.failed(job.transfer, Fault::Busy { after }, now);
            return vec![CopyEvent::StoreFailed { chunk }];
        };
        self.pull.failed(job.transfer, fault, now);
        if job.from != Upstream::Import {
            return Vec::new();
        }
        let Some(grant) = self.grants.get_mut(&job.index) else {
            return Vec::new();
        };
        if let Fault::Busy { after } = fault {
            // A weight store that limits its rate still has the chunk, and the origin's link costs more:
            // the store is tried again instead of the origin.
            self.postponed.push((now + after, job.index));
            return Vec::new();
        }
        grant.sources.pop_front();
        if grant.sources.is_empty() {
            self.grants.remove(&job.index);
            return vec![CopyEvent::GrantFailed { chunk, fault }];
        }
        self.pull.import(job.index);
        Vec::new()
    }

    fn report_failing(&mut self) -> Vec<CopyEvent> {
        let failing = self.pull.failing();
        let new = failing.iter().filter(|key| !self.failing.contains(key));
        let events = new
            .map(|&peer| CopyEvent::UpstreamFailing { peer })
            .collect();
        self.failing = failing;
        events
    }

    /// Expires transfers that take too long and escalates a chunk that no upstream has.
    pub fn tick(&mut self, now: Millis) -> Vec<CopyEvent> {
        self.pull.expire(now);
        for (_, index) in self.postponed.extract_if(.., |(due, _)| *due <= now) {
            self.pull.import(index);
        }
        let mut events = self.report_failing();
        let unavailable = self.pull.escalate(now);
        let location = unavailable.and_then(|index| self.catalogue.location(index, None));
        events.extend(location.map(|location| CopyEvent::Escalate {
            chunk: location.chunk.digest,
        }));
        events
    }

    /// Returns whether the copier has nothing to do until the agent calls it again.
    pub fn is_idle(&self) -> bool {
        self.pull.is_complete() && self.postponed.is_empty()
    }

    /// Returns the held chunks of a version, for announcements; `None` if it is not being copied.
    pub fn held_chunks(&self, root: Digest) -> Option<ChunkSet> {
        let version = self.catalogue.version(root)?;
        let mut set = ChunkSet::new(version.indices.len());
        for (at, &index) in (0..).zip(&version.indices) {
            if self.pull.held().contains(index) {
                set.insert(at);
            }
        }
        Some(set)
    }

    /// Returns the progress of a version; `None` if it is not being copied.
    pub fn progress(&self, root: Digest) -> Option<Progress> {
        let set = self.held_chunks(root)?;
        let (held, total) = (set.count(), set.len());
        Some(Progress { held, total })
    }
}
