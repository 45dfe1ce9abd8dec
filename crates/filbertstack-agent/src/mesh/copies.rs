//! The versions that this agent copies, and its part in the leader's copy plan.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use filbertstack_core::Digest;
use filbertstack_policy::spread::ChunkSet;
use filbertstack_policy::spread::pull::Proximity;
use filbertstack_policy::spread::pull::RingPosition;
use filbertstack_weights::Manifest;
use filbertstack_weights::Store;
use filbertstack_weights::copy::CopyEvent;
use filbertstack_weights::fetch::AnySource;
use filbertstack_weights::fetch::HttpConfig;
use filbertstack_weights::fetch::HttpSource;
use filbertstack_weights::manifest::manifest_name;
use filbertstack_wire::Dialer;
use filbertstack_wire::messages::Assignment;
use filbertstack_wire::messages::MANIFEST;
use filbertstack_wire::messages::SpreadCopy;
use filbertstack_wire::messages::SpreadPart;

use crate::source::PeerSource;

/// The delay before this agent tries a failed grant again.
const GRANT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// How long upstreams may lack the manifest before the agent requests it from the leader.
const MANIFEST_WAIT: Duration = Duration::from_secs(2);

/// The state of one version.
#[derive(Debug, Default)]
struct CopyState {
    assignment: Assignment,
    manifest: Option<Arc<Manifest>>,
    /// The number of users of the copy; it ends when the last one has ended it.
    users: usize,
    /// The leader that sent the part.
    leader: String,
    /// The number of the part, as the leader assigned it.
    part_number: u64,
    /// Whether that leader has received the full set of held chunks.
    held_reported: bool,
    /// When to request the manifest from the leader if it has not been received by then.
    manifest_due: Option<Instant>,
    upstreams: Vec<(SocketAddr, RingPosition)>,
    /// The granted chunks, each with the address of the agent to fetch it from; a text that is no
    /// address means the origin.
    grants: BTreeMap<u32, String>,
    /// The grants that were passed to the copier.
    passed: BTreeSet<u32>,
    failed: BTreeSet<u32>,
    retry_at: BTreeMap<u32, Instant>,
    wanted: BTreeSet<u32>,
    last_error: String,
}

/// A grant to fetch one chunk, for the copier.
#[derive(Debug)]
pub struct ChunkGrant {
    /// The version.
    pub root: Digest,
    /// The chunk.
    pub chunk: Digest,
    /// The sources of the chunk, in the order in which they are tried.
    pub sources: Vec<Arc<dyn AnySource>>,
}

/// The copies of this agent by version.
#[derive(Debug, Default)]
pub struct Copies {
    states: BTreeMap<Digest, CopyState>,
}

impl Copies {
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Registers an assigned version and returns its manifest, if it has been received.
    pub fn assign(&mut self, root: Digest, assignment: &Assignment) -> Option<Arc<Manifest>> {
        let state = self.states.entry(root).or_default();
        state.assignment = assignment.clone();
        state.manifest.clone()
    }

    /// Adds a user to a copy and returns true if it was already in progress.
    pub fn add_user(&mut self, manifest: &Arc<Manifest>, assignment: &Assignment) -> bool {
        let state = self.states.entry(manifest.root()).or_default();
        state.assignment = assignment.clone();
        state.manifest = Some(manifest.clone());
        state.users += 1;
        state.users > 1
    }

    /// Removes a user of a copy and returns true if it was the last one.
    pub fn remove_user(&mut self, root: Digest) -> bool {
        let Some(state) = self.states.get_mut(&root) else {
            return false;
        };
        state.users -= 1;
        let is_last = state.users == 0;
        if is_last {
            self.states.remove(&root);
        }
        is_last
    }

    /// Removes versions that are no longer ordered and whose copy has not started.
    pub fn retain_assigned(&mut self, ordered: &[Digest]) {
        self.states
            .retain(|root, state| state.users > 0 || ordered.contains(root));
    }

    pub fn roots(&self) -> Vec<Digest> {
        let active = self.states.iter().filter(|(_, state)| state.users > 0);
        active.map(|(root, _)| *root).collect()
    }

    pub fn last_error(&self, root: Digest) -> String {
        let state = self.states.get(&root);
        state
            .map(|state| state.last_error.clone())
            .unwrap_or_default()
    }

    /// Returns the reports for the leader. A leader that sent no part yet gets the full set of held
    /// chunks, because it does not know them.
    ///
    /// Failures are included only if `waits` is false: if one were reported twice, the leader would
    /// revoke a grant that it renewed in between.
    pub fn reports(&self, leader: &str, store: &Store, waits: bool) -> Vec<SpreadCopy> {
        let states = self.states.iter();
        let reports = states.map(|(root, state)| {
            let is_new_leader = state.leader != leader;
            SpreadCopy {
                digest: root.to_vec(),
                number: if is_new_leader { 0 } else { state.part_number },
                landed: state.landed(store),
                failed: if waits {
                    Vec::new()
                } else {
                    state.failed.iter().copied().collect()
                },
                wanted: state.wanted.iter().copied().collect(),
                held: if is_new_leader || !state.held_reported {
                    state.held(store)
                } else {
                    Vec::new()
                },
            }
        });
        reports.collect()
    }

    /// Records that the leader received the reports `reported`.
    pub fn mark_reported(&mut self, reported: &[SpreadCopy]) {
        for report in reported {
            let root = Digest::from_slice(&report.digest);
            let Some(state) = root.and_then(|root| self.states.get_mut(&root)) else {
                continue;
            };
            for index in &report.failed {
                state.failed.remove(index);
                state.passed.remove(index);
                state
                    .retry_at
                    .insert(*index, Instant::now() + GRANT_RETRY_DELAY);
            }
            state.held_reported |= !report.held.is_empty();
            state.wanted.retain(|index| !report.wanted.contains(index));
        }
    }

    /// Applies this agent's part of a copy plan.
    pub fn apply_part(&mut self, leader: &str, part: &SpreadPart) {
        let root = Digest::from_slice(&part.digest);
        let Some(state) = root.and_then(|root| self.states.get_mut(&root)) else {
            return;
        };
        if state.leader != leader {
            leader.clone_into(&mut state.leader);
            state.held_reported = false;
        }
        state.part_number = part.number;
        let upstreams = part.upstreams.iter().filter_map(|upstream| {
            let position = RingPosition {
                proximity: if upstream.region {
                    Proximity::Region
                } else {
                    Proximity::Zone
                },
                place: upstream.place,
                places: upstream.places,
            };
            Some((upstream.addr.parse().ok()?, position))
        });
        state.upstreams = upstreams.collect();
        let grants = part.grants.iter();
        state.grants = grants.map(|g| (g.chunk, g.peer.clone())).collect();
        let grants = &state.grants;
        state.passed.retain(|index| grants.contains_key(index));
        state.failed.retain(|index| grants.contains_key(index));
    }

    /// Returns the grants that were not passed to the copier yet, and marks them as passed.
    pub fn take_new_grants(&mut self, store: &Store, dialer: &Arc<Dialer>) -> Vec<ChunkGrant> {
        let mut new_grants = Vec::new();
        for (root, state) in &mut self.states {
            if state.users > 0 {
                new_grants.extend(state.take_new_grants(*root, store, dialer));
            }
        }
        new_grants
    }

    /// Records an event of the copier and returns true if it is to be reported to the leader at once.
    pub fn record_event(&mut self, event: &CopyEvent) -> bool {
        match event {
            CopyEvent::ChunkStored { granted, .. } => *granted,
            CopyEvent::GrantFailed { chunk, fault } => {
                for state in self.states.values_mut() {
                    let failed = state
                        .chunk_indices(*chunk)
                        .filter(|index| state.passed.contains(index));
                    let failed: Vec<u32> = failed.collect();
                    if !failed.is_empty() {
                        state.last_error = format!("no source gave chunk {chunk}: {fault:?}");
                    }
                    state.failed.extend(failed);
                }
                true
            }
            CopyEvent::Escalate { chunk } => {
                for state in self.states.values_mut() {
                    let wanted: Vec<u32> = state.chunk_indices(*chunk).take(1).collect();
                    state.wanted.extend(wanted);
                }
                true
            }
            CopyEvent::StoreFailed { chunk } => {
                for state in self.states.values_mut() {
                    if state.chunk_indices(*chunk).next().is_some() {
                        state.last_error = format!("the chunk store did not take chunk {chunk}");
                    }
                }
                false
            }
            CopyEvent::Complete { .. } | CopyEvent::UpstreamFailing { .. } => false,
        }
    }

    /// Returns the upstreams of all copies.
    pub fn upstreams(&self) -> BTreeMap<SocketAddr, RingPosition> {
        let all = self
            .states
            .values()
            .flat_map(|state| state.upstreams.iter());
        all.copied().collect()
    }

    /// Returns the searches for the manifests that are missing.
    pub fn manifest_searches(&self) -> Vec<ManifestSearch> {
        let now = Instant::now();
        let missing = self
            .states
            .iter()
            .filter(|(_, state)| state.manifest.is_none());
        missing
            .map(|(root, state)| ManifestSearch {
                root: *root,
                peers: state.upstreams.iter().map(|(addr, _)| *addr).collect(),
                granted: state.grants.contains_key(&MANIFEST)
                    && state
                        .retry_at
                        .get(&MANIFEST)
                        .is_none_or(|until| *until <= now),
                bases: state.bases(),
            })
            .collect()
    }

    /// Records the result of a search and returns true if it is to be reported to the leader.
    pub fn record_search(
        &mut self,
        search: &ManifestSearch,
        found: Result<Manifest, String>,
    ) -> bool {
        let Some(state) = self.states.get_mut(&search.root) else {
            return false;
        };
        match found {
            Ok(manifest) => state.manifest = Some(Arc::new(manifest)),
            Err(last_error) => {
                state.last_error = last_error;
                if search.granted {
                    state.failed.insert(MANIFEST);
                }
            }
        }
        search.granted || state.manifest.is_some() || state.request_manifest()
    }
}

impl CopyState {
    fn bases(&self) -> Vec<String> {
        let bases = [&self.assignment.store, &self.assignment.origin];
        let named = bases.into_iter().filter(|base| !base.is_empty());
        named.cloned().collect()
    }

    /// Requests the manifest from the leader if it is overdue, and returns whether it did.
    ///
    /// The target that was to fetch the manifest may be gone, and no other agent would report that it
    /// is missing.
    fn request_manifest(&mut self) -> bool {
        let now = Instant::now();
        let due = *self.manifest_due.get_or_insert(now + MANIFEST_WAIT);
        let overdue = now >= due && !self.grants.contains_key(&MANIFEST);
        if overdue {
            self.manifest_due = Some(now + MANIFEST_WAIT);
            self.wanted.insert(MANIFEST);
        }
        overdue
    }

    fn landed(&self, store: &Store) -> Vec<u32> {
        let Some(manifest) = &self.manifest else {
            return Vec::new();
        };
        let has = |index: &u32| {
            *index == MANIFEST
                || manifest
                    .location(*index)
                    .is_some_and(|want| store.has(want.chunk.digest))
        };
        self.grants.keys().copied().filter(has).collect()
    }

    fn held(&self, store: &Store) -> Vec<u8> {
        let Some(manifest) = &self.manifest else {
            return Vec::new();
        };
        let mut held = ChunkSet::new(manifest.chunks().len());
        for want in manifest.locations() {
            if store.has(want.chunk.digest) {
                held.insert(want.index);
            }
        }
        held.to_bytes()
    }

    fn chunk_indices(&self, chunk: Digest) -> impl Iterator<Item = u32> {
        let wants = self
            .manifest
            .iter()
            .flat_map(|manifest| manifest.locations());
        wants
            .filter(move |want| want.chunk.digest == chunk)
            .map(|want| want.index)
    }

    fn take_new_grants(
        &mut self,
        root: Digest,
        store: &Store,
        dialer: &Arc<Dialer>,
    ) -> Vec<ChunkGrant> {
        let Some(manifest) = self.manifest.clone() else {
            return Vec::new();
        };
        let now = Instant::now();
        let mut new_grants = Vec::new();
        for (&index, peer) in &self.grants {
            let delayed = self.retry_at.get(&index).is_some_and(|until| *until > now);
            if delayed || self.passed.contains(&index) {
                continue;
            }
            let Some(want) = manifest.location(index) else {
                continue;
            };
            let chunk = want.chunk.digest;
            if store.has(chunk) {
                continue;
            }
            self.passed.insert(index);
            let mut sources: Vec<Arc<dyn AnySource>> = Vec::new();
            if let Ok(addr) = peer.parse() {
                sources.push(Arc::new(PeerSource::new(dialer.clone(), addr)));
            } else {
                for base in self.bases() {
                    sources.push(Arc::new(HttpSource::new(&base, HttpConfig::default())));
                }
            }
            new_grants.push(ChunkGrant {
                root,
                chunk,
                sources,
            });
        }
        new_grants
    }
}

/// A search for a manifest.
#[derive(Debug)]
pub struct ManifestSearch {
    root: Digest,
    peers: Vec<SocketAddr>,
    granted: bool,
    bases: Vec<String>,
}

impl ManifestSearch {
    /// Searches the upstreams and, if granted, the store and the origin.
    pub fn run(&self, dialer: &Arc<Dialer>) -> Result<Manifest, String> {
        let mut last_error = String::from("no upstream has the manifest yet");
        for addr in &self.peers {
            let peer = PeerSource::new(dialer.clone(), *addr);
            let found = peer.manifest(self.root);
            if let Ok(manifest) = found.map(|bytes| Manifest::decode(self.root, &bytes)) {
                match manifest {
                    Ok(manifest) => return Ok(manifest),
                    Err(error) => last_error = error.to_string(),
                }
            }
        }
        if !self.granted {
            return Err(last_error);
        }
        let name = manifest_name(self.root);
        for base in &self.bases {
            let source = HttpSource::new(base, HttpConfig::default());
            match source.fetch_manifest(&name, self.root) {
                Ok(manifest) => return Ok(manifest),
                Err(error) => last_error = error.to_string(),
            }
        }
        Err(last_error)
    }
}
