//! A copy in progress: threads that fetch the chunks of one version.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use filbertstack_core::Digest;
use filbertstack_weights::Manifest;
use filbertstack_weights::Store;
use filbertstack_weights::fetch::FetchError;
use filbertstack_weights::fetch::HttpConfig;
use filbertstack_weights::fetch::HttpSource;
use filbertstack_weights::fetch::fetch_into;
use filbertstack_weights::manifest::Want;
use filbertstack_weights::manifest::manifest_name;
use filbertstack_wire::Dialer;
use filbertstack_wire::messages::Assignment;

use crate::keeper::Fetcher;
use crate::source::Peer;

/// How many chunks are fetched at once.
const WORKERS: usize = 4;

/// The pause after a chunk that no source gave.
const PAUSE: Duration = Duration::from_millis(100);

#[derive(Debug)]
struct Shared {
    manifest: Arc<Manifest>,
    store: Arc<Store>,
    assignment: Mutex<Assignment>,
    missing: Mutex<Vec<u32>>,
    working: AtomicUsize,
    held: AtomicU32,
    trouble: Mutex<String>,
    stopped: AtomicBool,
    dialer: Arc<Dialer>,
}

/// A copy in progress; dropped, it ends after the chunks now being fetched.
#[derive(Debug)]
pub struct Copying {
    shared: Arc<Shared>,
}

impl Copying {
    /// Gives the copy its newest upstreams and tokens.
    pub fn update(&self, assignment: &Assignment) {
        *lock(&self.shared.assignment) = assignment.clone();
    }

    /// Whether every chunk is in the store.
    pub fn is_done(&self) -> bool {
        self.shared.working.load(Ordering::Acquire) == 0
    }

    /// How many chunks are in the store.
    pub fn held(&self) -> u32 {
        self.shared.held.load(Ordering::Relaxed)
    }

    /// What last went wrong; empty if nothing did.
    pub fn trouble(&self) -> String {
        lock(&self.shared.trouble).clone()
    }
}

impl Drop for Copying {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
    }
}

/// Fetches from peers, and from the origin what it has tokens for.
#[derive(Clone, Debug)]
pub struct Network {
    /// Links to peers.
    pub dialer: Arc<Dialer>,
    /// Where chunks go.
    pub store: Arc<Store>,
}

impl Fetcher for Network {
    fn manifest(&self, assignment: &Assignment) -> Result<Manifest, String> {
        let root = Digest::from_slice(&assignment.digest).ok_or("an order without a digest")?;
        let name = manifest_name(root);
        let mut trouble = String::from("no source is assigned");
        for base in [&assignment.store, &assignment.origin] {
            if base.is_empty() {
                continue;
            }
            match HttpSource::new(base, HttpConfig::default()).manifest(&name, root) {
                Ok(manifest) => return Ok(manifest),
                Err(error) => trouble = error.to_string(),
            }
        }
        Err(trouble)
    }

    fn copy(&self, manifest: &Arc<Manifest>, assignment: &Assignment) -> Copying {
        let wants = manifest.wants();
        let missing = wants.filter(|want| !self.store.has(want.chunk.digest));
        let missing: Vec<u32> = missing.map(|want| want.index).collect();
        let held = manifest.chunks().len() - missing.len();
        let shared = Arc::new(Shared {
            manifest: manifest.clone(),
            store: self.store.clone(),
            assignment: Mutex::new(assignment.clone()),
            missing: Mutex::new(missing),
            working: AtomicUsize::new(WORKERS),
            held: AtomicU32::new(u32::try_from(held).unwrap_or(u32::MAX)),
            trouble: Mutex::default(),
            stopped: AtomicBool::new(false),
            dialer: self.dialer.clone(),
        });
        for _ in 0..WORKERS {
            let worker = shared.clone();
            thread::spawn(move || worker.run());
        }
        Copying { shared }
    }
}

impl Shared {
    fn run(&self) {
        while let Some(index) = self.next() {
            let fetched = self
                .manifest
                .want(index)
                .is_some_and(|want| self.fetch(&want));
            if fetched {
                self.held.fetch_add(1, Ordering::Relaxed);
            } else {
                lock(&self.missing).insert(0, index);
                thread::sleep(PAUSE);
            }
        }
        self.working.fetch_sub(1, Ordering::Release);
    }

    fn next(&self) -> Option<u32> {
        if self.stopped.load(Ordering::Relaxed) {
            return None;
        }
        lock(&self.missing).pop()
    }

    fn fetch(&self, want: &Want) -> bool {
        let assignment = lock(&self.assignment).clone();
        for addr in &assignment.upstreams {
            let Ok(addr) = addr.parse::<SocketAddr>() else {
                continue;
            };
            let peer = Peer::new(self.dialer.clone(), addr);
            if self.note(fetch_into(&peer, want, &self.store)) {
                return true;
            }
        }
        if !assignment.upstreams.is_empty() && !assignment.tokens.contains(&want.index) {
            return false;
        }
        let origin = HttpSource::new(&assignment.origin, HttpConfig::default());
        self.note(fetch_into(&origin, want, &self.store))
    }

    fn note<T>(&self, fetched: Result<T, FetchError>) -> bool {
        match fetched {
            Ok(_) => true,
            Err(error) => {
                *lock(&self.trouble) = error.to_string();
                false
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
