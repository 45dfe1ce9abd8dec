//! What this agent copies, and its parts in the leader's plan.

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

use crate::source::Peer;

/// How long a grant that failed rests before the same agent tries it again.
const REST: Duration = Duration::from_secs(1);

/// How long upstreams may have no manifest before the leader is asked for it.
const PATIENCE: Duration = Duration::from_secs(2);

/// One version.
#[derive(Debug, Default)]
struct Row {
    assignment: Assignment,
    manifest: Option<Arc<Manifest>>,
    /// How many hold the copy open.
    users: usize,
    /// Who gave the part.
    leader: String,
    number: u64,
    /// Whether that leader was told all that is held.
    greeted: bool,
    /// When the leader is asked for the manifest, if it has not come by then.
    patience: Option<Instant>,
    upstreams: Vec<(SocketAddr, RingPosition)>,
    /// Chunks to bring in, and the agent to get them from if it is not the origin.
    grants: BTreeMap<u32, String>,
    /// Grants that the copier has.
    used: BTreeSet<u32>,
    failed: BTreeSet<u32>,
    rest: BTreeMap<u32, Instant>,
    wanted: BTreeSet<u32>,
    trouble: String,
}

/// A grant for the copier.
#[derive(Debug)]
pub struct Granted {
    /// The version.
    pub root: Digest,
    /// The chunk.
    pub chunk: Digest,
    /// Where it may be got, the first to be tried first.
    pub sources: Vec<Arc<dyn AnySource>>,
}

/// The versions that this agent copies.
#[derive(Debug, Default)]
pub struct Copies {
    rows: BTreeMap<Digest, Row>,
}

impl Copies {
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Looks for a version from here on; its manifest, if it has come.
    pub fn assign(&mut self, root: Digest, assignment: &Assignment) -> Option<Arc<Manifest>> {
        let row = self.rows.entry(root).or_default();
        row.assignment = assignment.clone();
        row.manifest.clone()
    }

    /// Begins a copy; true if it was in progress already.
    pub fn begin(&mut self, manifest: &Arc<Manifest>, assignment: &Assignment) -> bool {
        let row = self.rows.entry(manifest.root()).or_default();
        row.assignment = assignment.clone();
        row.manifest = Some(manifest.clone());
        row.users += 1;
        row.users > 1
    }

    /// Ends a copy; true if nobody holds it open any more.
    pub fn end(&mut self, root: Digest) -> bool {
        let Some(row) = self.rows.get_mut(&root) else {
            return false;
        };
        row.users -= 1;
        let over = row.users == 0;
        if over {
            self.rows.remove(&root);
        }
        over
    }

    /// Forgets versions that are ordered no more before their copy began.
    pub fn keep(&mut self, ordered: &[Digest]) {
        self.rows
            .retain(|root, row| row.users > 0 || ordered.contains(root));
    }

    pub fn roots(&self) -> Vec<Digest> {
        let begun = self.rows.iter().filter(|(_, row)| row.users > 0);
        begun.map(|(root, _)| *root).collect()
    }

    pub fn trouble(&self, root: Digest) -> String {
        let row = self.rows.get(&root);
        row.map(|row| row.trouble.clone()).unwrap_or_default()
    }

    /// What to tell the leader. One that gave no part yet does not know what is held.
    ///
    /// Failures are told only where `waits` is false: told twice, a grant that was given anew in
    /// between would be taken back.
    pub fn reports(&self, leader: &str, store: &Store, waits: bool) -> Vec<SpreadCopy> {
        let rows = self.rows.iter();
        let told = rows.map(|(root, row)| {
            let stranger = row.leader != leader;
            SpreadCopy {
                digest: root.to_vec(),
                number: if stranger { 0 } else { row.number },
                landed: row.landed(store),
                failed: if waits {
                    Vec::new()
                } else {
                    row.failed.iter().copied().collect()
                },
                wanted: row.wanted.iter().copied().collect(),
                held: if stranger || !row.greeted {
                    row.held(store)
                } else {
                    Vec::new()
                },
            }
        });
        told.collect()
    }

    /// Takes note that the leader was told.
    pub fn told(&mut self, told: &[SpreadCopy]) {
        for said in told {
            let root = Digest::from_slice(&said.digest);
            let Some(row) = root.and_then(|root| self.rows.get_mut(&root)) else {
                continue;
            };
            for place in &said.failed {
                row.failed.remove(place);
                row.used.remove(place);
                row.rest.insert(*place, Instant::now() + REST);
            }
            row.greeted |= !said.held.is_empty();
            row.wanted.retain(|place| !said.wanted.contains(place));
        }
    }

    /// Takes this agent's part in a copy.
    pub fn take(&mut self, leader: &str, part: &SpreadPart) {
        let root = Digest::from_slice(&part.digest);
        let Some(row) = root.and_then(|root| self.rows.get_mut(&root)) else {
            return;
        };
        if row.leader != leader {
            leader.clone_into(&mut row.leader);
            row.greeted = false;
        }
        row.number = part.number;
        let upstreams = part.upstreams.iter().filter_map(|upstream| {
            let seat = RingPosition {
                proximity: if upstream.region {
                    Proximity::Region
                } else {
                    Proximity::Zone
                },
                place: upstream.place,
                places: upstream.places,
            };
            Some((upstream.addr.parse().ok()?, seat))
        });
        row.upstreams = upstreams.collect();
        let grants = part.grants.iter();
        row.grants = grants.map(|g| (g.chunk, g.peer.clone())).collect();
        let grants = &row.grants;
        row.used.retain(|place| grants.contains_key(place));
        row.failed.retain(|place| grants.contains_key(place));
    }

    /// The grants that the copier has not got.
    pub fn unused(&mut self, store: &Store, dialer: &Arc<Dialer>) -> Vec<Granted> {
        let mut unused = Vec::new();
        for (root, row) in &mut self.rows {
            if row.users > 0 {
                unused.extend(row.unused(*root, store, dialer));
            }
        }
        unused
    }

    /// Takes note of what the copier says; true if the leader is to hear of it now.
    pub fn note(&mut self, event: &CopyEvent) -> bool {
        match event {
            CopyEvent::ChunkStored { granted, .. } => *granted,
            CopyEvent::GrantFailed { chunk, fault } => {
                for row in self.rows.values_mut() {
                    let failed = row.places(*chunk).filter(|place| row.used.contains(place));
                    let failed: Vec<u32> = failed.collect();
                    if !failed.is_empty() {
                        row.trouble = format!("no source gave chunk {chunk}: {fault:?}");
                    }
                    row.failed.extend(failed);
                }
                true
            }
            CopyEvent::Escalate { chunk } => {
                for row in self.rows.values_mut() {
                    let wanted: Vec<u32> = row.places(*chunk).take(1).collect();
                    row.wanted.extend(wanted);
                }
                true
            }
            CopyEvent::StoreFailed { chunk } => {
                for row in self.rows.values_mut() {
                    if row.places(*chunk).next().is_some() {
                        row.trouble = format!("the chunk store did not take chunk {chunk}");
                    }
                }
                false
            }
            CopyEvent::Complete { .. } | CopyEvent::UpstreamFailing { .. } => false,
        }
    }

    /// All upstreams of all copies.
    pub fn upstreams(&self) -> BTreeMap<SocketAddr, RingPosition> {
        let all = self.rows.values().flat_map(|row| row.upstreams.iter());
        all.copied().collect()
    }

    /// The manifests to look for now.
    pub fn searches(&self) -> Vec<Search> {
        let now = Instant::now();
        let lacks = self.rows.iter().filter(|(_, row)| row.manifest.is_none());
        lacks
            .map(|(root, row)| Search {
                root: *root,
                peers: row.upstreams.iter().map(|(addr, _)| *addr).collect(),
                granted: row.grants.contains_key(&MANIFEST)
                    && row.rest.get(&MANIFEST).is_none_or(|until| *until <= now),
                bases: row.bases(),
            })
            .collect()
    }

    /// Takes what a search found; true if the leader is to hear of it.
    pub fn found(&mut self, search: &Search, found: Result<Manifest, String>) -> bool {
        let Some(row) = self.rows.get_mut(&search.root) else {
            return false;
        };
        match found {
            Ok(manifest) => row.manifest = Some(Arc::new(manifest)),
            Err(trouble) => {
                row.trouble = trouble;
                if search.granted {
                    row.failed.insert(MANIFEST);
                }
            }
        }
        search.granted || row.manifest.is_some() || row.misses_manifest()
    }
}

impl Row {
    fn bases(&self) -> Vec<String> {
        let bases = [&self.assignment.store, &self.assignment.origin];
        let named = bases.into_iter().filter(|base| !base.is_empty());
        named.cloned().collect()
    }

    /// Whether the leader is to be asked for the manifest now: the target that brought it in may be
    /// gone, and nobody else would miss it.
    fn misses_manifest(&mut self) -> bool {
        let now = Instant::now();
        let due = *self.patience.get_or_insert(now + PATIENCE);
        let misses = now >= due && !self.grants.contains_key(&MANIFEST);
        if misses {
            self.patience = Some(now + PATIENCE);
            self.wanted.insert(MANIFEST);
        }
        misses
    }

    fn landed(&self, store: &Store) -> Vec<u32> {
        let Some(manifest) = &self.manifest else {
            return Vec::new();
        };
        let has = |place: &u32| {
            *place == MANIFEST
                || manifest
                    .location(*place)
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

    fn places(&self, chunk: Digest) -> impl Iterator<Item = u32> {
        let wants = self
            .manifest
            .iter()
            .flat_map(|manifest| manifest.locations());
        wants
            .filter(move |want| want.chunk.digest == chunk)
            .map(|want| want.index)
    }

    fn unused(&mut self, root: Digest, store: &Store, dialer: &Arc<Dialer>) -> Vec<Granted> {
        let Some(manifest) = self.manifest.clone() else {
            return Vec::new();
        };
        let now = Instant::now();
        let mut unused = Vec::new();
        for (&place, peer) in &self.grants {
            let rests = self.rest.get(&place).is_some_and(|until| *until > now);
            if rests || self.used.contains(&place) {
                continue;
            }
            let Some(want) = manifest.location(place) else {
                continue;
            };
            let chunk = want.chunk.digest;
            if store.has(chunk) {
                continue;
            }
            self.used.insert(place);
            let mut sources: Vec<Arc<dyn AnySource>> = Vec::new();
            if let Ok(addr) = peer.parse() {
                sources.push(Arc::new(Peer::new(dialer.clone(), addr)));
            } else {
                for base in self.bases() {
                    sources.push(Arc::new(HttpSource::new(&base, HttpConfig::default())));
                }
            }
            unused.push(Granted {
                root,
                chunk,
                sources,
            });
        }
        unused
    }
}

/// A search for a manifest.
#[derive(Debug)]
pub struct Search {
    root: Digest,
    peers: Vec<SocketAddr>,
    granted: bool,
    bases: Vec<String>,
}

impl Search {
    /// Looks everywhere that it may.
    pub fn run(&self, dialer: &Arc<Dialer>) -> Result<Manifest, String> {
        let mut trouble = String::from("no upstream has the manifest yet");
        for addr in &self.peers {
            let peer = Peer::new(dialer.clone(), *addr);
            let found = peer.manifest(self.root);
            if let Ok(manifest) = found.map(|bytes| Manifest::decode(self.root, &bytes)) {
                match manifest {
                    Ok(manifest) => return Ok(manifest),
                    Err(error) => trouble = error.to_string(),
                }
            }
        }
        if !self.granted {
            return Err(trouble);
        }
        let name = manifest_name(self.root);
        for base in &self.bases {
            let source = HttpSource::new(base, HttpConfig::default());
            match source.fetch_manifest(&name, self.root) {
                Ok(manifest) => return Ok(manifest),
                Err(error) => trouble = error.to_string(),
            }
        }
        Err(trouble)
    }
}
