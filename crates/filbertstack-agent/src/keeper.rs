//! Keeps the target at its orders: fetches, verifies, loads, serves and drains versions.
//!
//! One thread walks every version through the typestate of `filbertstack_weights::version`, one
//! step at a time; what blocks (a copy in progress) has threads of its own.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use filbertstack_core::Digest;
use filbertstack_weights::Manifest;
use filbertstack_weights::Store;
use filbertstack_weights::version::Fetching;
use filbertstack_weights::version::Loading;
use filbertstack_weights::version::Serving;
use filbertstack_weights::version::Verified;
use filbertstack_weights::version::Version;
use filbertstack_wire::messages::Assignment;
use filbertstack_wire::messages::Copy;
use filbertstack_wire::messages::Duty;
use filbertstack_wire::messages::Fence;
use filbertstack_wire::messages::Orders;
use filbertstack_wire::messages::Stage;
use spdlog::info;
use spdlog::warn;

use crate::copying::Copying;
use crate::desk::Desk;
use crate::gate::Gate;
use crate::target::Phase;
use crate::target::Report;
use crate::target::Target;
use crate::target::TargetError;
use crate::unanswered::Order;
use crate::unanswered::Unanswered;

/// How often versions are looked at when nothing wakes the keeper.
const TICK: Duration = Duration::from_millis(100);

/// How often a serving engine is asked what it serves.
const CHECK: Duration = Duration::from_secs(1);

/// How long an engine may load before it is ordered again: a large model from a slow disk.
const LOAD_TIMEOUT: Duration = Duration::from_secs(300);

/// The first wait after a failed load; it doubles up to [`RETRY_MOST`].
const RETRY_FIRST: Duration = Duration::from_millis(500);

/// The longest wait after a failed load.
const RETRY_MOST: Duration = Duration::from_secs(30);

/// Where one version is.
enum Held {
    Fetching(Version<Fetching>, Copying),
    Verified(Version<Verified>),
    Loading(Version<Loading>, Instant),
    Serving(Version<Serving>),
    Draining(Version<Serving>),
}

impl Held {
    const fn stage(&self) -> Stage {
        match self {
            Self::Fetching(..) => Stage::Fetching,
            Self::Verified(_) => Stage::Verified,
            Self::Loading(..) => Stage::Loading,
            Self::Serving(_) => Stage::Serving,
            Self::Draining(_) => Stage::Draining,
        }
    }
}

struct Kept {
    held: Option<Held>,
    assignment: Assignment,
    trouble: String,
    failures: u32,
    not_before: Instant,
}

/// Finds manifests and starts copies.
pub trait Fetcher: Send {
    /// The manifest of the assigned version; `None` while it is on its way.
    ///
    /// # Errors
    /// Why none can be found, for the operator.
    fn manifest(&self, assignment: &Assignment) -> Result<Option<Arc<Manifest>>, String>;

    /// Starts to fetch the chunks of `manifest` that the store lacks.
    fn copy(&self, manifest: &Arc<Manifest>, assignment: &Assignment) -> Copying;
}

/// Keeps the target at its orders.
pub struct Keeper<F> {
    desk: Arc<Desk>,
    gate: Gate,
    target: Target,
    store: Arc<Store>,
    dir: PathBuf,
    fetcher: F,
    kept: BTreeMap<Digest, Kept>,
    unanswered: Unanswered,
    checked: Instant,
}

impl<F: Fetcher> Keeper<F> {
    /// A keeper that has nothing yet; the engine's files are written below `dir`.
    pub fn new(
        desk: Arc<Desk>,
        gate: Gate,
        target: Target,
        store: Arc<Store>,
        dir: PathBuf,
        fetcher: F,
    ) -> Self {
        let kept = BTreeMap::new();
        let unanswered = Unanswered::default();
        let checked = Instant::now();
        Self {
            desk,
            gate,
            target,
            store,
            dir,
            fetcher,
            kept,
            unanswered,
            checked,
        }
    }

    /// Runs until the desk is stopped.
    pub fn run(mut self) {
        while !self.desk.is_stopped() {
            let orders = self.desk.wait(TICK);
            self.step(&orders);
        }
        self.gate.close();
    }

    /// Looks once at every version.
    fn step(&mut self, orders: &Orders) {
        self.take_orders(orders);
        let fence = orders.fence.unwrap_or_default();
        let versions: Vec<Digest> = self.kept.keys().copied().collect();
        for version in versions {
            self.advance(version, fence);
        }
        self.kept
            .retain(|_, kept| kept.held.is_some() || !kept.assignment.digest.is_empty());
        self.show();
    }

    /// Notes what is assigned. A version that is assigned no more is drained, then dropped.
    fn take_orders(&mut self, orders: &Orders) {
        for kept in self.kept.values_mut() {
            kept.assignment.digest.clear();
        }
        for assignment in &orders.serve {
            let Some(version) = Digest::from_slice(&assignment.digest) else {
                continue;
            };
            let kept = self.kept.entry(version).or_insert_with(|| Kept {
                held: None,
                assignment: Assignment::default(),
                trouble: String::new(),
                failures: 0,
                not_before: Instant::now(),
            });
            kept.assignment = assignment.clone();
        }
    }

    fn advance(&mut self, version: Digest, fence: Fence) {
        let Some(mut kept) = self.kept.remove(&version) else {
            return;
        };
        let duty = kept.duty();
        kept.held = match kept.held.take() {
            None => self.begin(&mut kept),
            Some(Held::Fetching(copy, copying)) => self.fetch(&mut kept, copy, copying),
            Some(Held::Verified(copy)) => self.load(&mut kept, copy, fence),
            Some(Held::Loading(copy, since)) => Some(self.watch_load(&mut kept, copy, since)),
            Some(Held::Serving(copy)) if duty == Some(Duty::Serve) => {
                Some(self.check(&mut kept, copy))
            }
            Some(Held::Serving(copy)) => {
                // No new request passes; those in progress still end from this version.
                self.gate.close();
                info!("draining {version:?}");
                Some(Held::Draining(copy))
            }
            Some(Held::Draining(copy)) => self.drain(copy, duty, fence),
        };
        self.kept.insert(version, kept);
    }

    fn begin(&self, kept: &mut Kept) -> Option<Held> {
        if kept.is_waiting() || !matches!(kept.duty(), Some(Duty::Serve | Duty::Fetch)) {
            return None;
        }
        let manifest = match self.fetcher.manifest(&kept.assignment) {
            Ok(Some(manifest)) => manifest,
            Ok(None) => return None,
            Err(trouble) => {
                kept.fail(trouble);
                return None;
            }
        };
        self.desk.learn(&manifest);
        match Version::declare(manifest.clone(), self.store.clone()) {
            Ok(version) => {
                let copying = self.fetcher.copy(&manifest, &kept.assignment);
                Some(Held::Fetching(version.fetch(), copying))
            }
            Err(error) => {
                kept.fail(error.to_string());
                None
            }
        }
    }

    fn fetch(&self, kept: &mut Kept, version: Version<Fetching>, copying: Copying) -> Option<Held> {
        kept.duty()?;
        if !copying.is_done() {
            kept.trouble = copying.trouble();
            return Some(Held::Fetching(version, copying));
        }
        match version.verify() {
            Ok(version) => {
                kept.succeed();
                info!("verified {:?}", version.root());
                Some(Held::Verified(version))
            }
            Err(refused) => {
                kept.fail(refused.error.to_string());
                let manifest = refused.version.manifest().clone();
                let copying = self.fetcher.copy(&manifest, &kept.assignment);
                Some(Held::Fetching(refused.version, copying))
            }
        }
    }

    fn load(&mut self, kept: &mut Kept, version: Version<Verified>, fence: Fence) -> Option<Held> {
        match kept.duty() {
            None => return None,
            Some(Duty::Serve) => {}
            Some(Duty::Fetch | Duty::Drain) => return Some(Held::Verified(version)),
        }
        // The engine holds one version: it loads the next only once nothing runs on the last.
        let occupied = self.kept.values().any(Kept::occupies_engine);
        if kept.is_waiting() || occupied || self.gate.running() > 0 {
            return Some(Held::Verified(version));
        }
        let order = Order::Load(version.root());
        if !self.unanswered.allows(order, Instant::now()) {
            kept.trouble = "an earlier order may yet be carried out: it is waited for".into();
            return Some(Held::Verified(version));
        }
        let dir = match version.write_to(&self.dir) {
            Ok(dir) => dir,
            Err(error) => {
                kept.fail(error.to_string());
                let manifest = version.manifest().clone();
                let copying = self.fetcher.copy(&manifest, &kept.assignment);
                return Some(Held::Fetching(version.refetch(), copying));
            }
        };
        match self
            .target
            .load(&kept.assignment.model, version.root(), &dir, fence)
        {
            Ok(()) => Some(Held::Loading(version.load(), Instant::now())),
            Err(error) => {
                self.note_unanswered(order, &error);
                kept.fail(error.to_string());
                Some(Held::Verified(version))
            }
        }
    }

    fn watch_load(&self, kept: &mut Kept, version: Version<Loading>, since: Instant) -> Held {
        let report = match self.target.report() {
            Ok(report) => report,
            Err(error) => {
                kept.fail(error.to_string());
                return Held::Verified(version.fail());
            }
        };
        match report.state {
            Phase::Loading if since.elapsed() < LOAD_TIMEOUT => Held::Loading(version, since),
            Phase::Serving => self.serve(kept, version, &report),
            _ => {
                let reason = report
                    .reason
                    .unwrap_or_else(|| "it did not end in time".into());
                kept.fail(format!("the engine did not load the version: {reason}"));
                Held::Verified(version.fail())
            }
        }
    }

    fn serve(&self, kept: &mut Kept, version: Version<Loading>, report: &Report) -> Held {
        let reported = reported(report);
        match version.serve(reported.unwrap_or_else(|| Digest::of(b"no version reported"))) {
            Ok(version) => {
                kept.succeed();
                self.gate.open(version.root());
                info!("serving {:?}", version.root());
                Held::Serving(version)
            }
            Err(refused) => {
                kept.fail(refused.error.to_string());
                Held::Verified(refused.version)
            }
        }
    }

    /// An engine that was restarted, or given another order by someone else, serves something
    /// else than the gate lets pass for: the gate closes and the version is loaded again.
    fn check(&mut self, kept: &mut Kept, version: Version<Serving>) -> Held {
        if self.checked.elapsed() < CHECK {
            return Held::Serving(version);
        }
        self.checked = Instant::now();
        let report = self.target.report();
        let serves = |report: &Report| {
            report.state == Phase::Serving && reported(report) == Some(version.root())
        };
        if report.as_ref().is_ok_and(serves) {
            return Held::Serving(version);
        }
        self.gate.close();
        let text = report.map_or_else(|error| error.to_string(), |report| format!("{report:?}"));
        kept.fail(format!("the engine serves something else: {text}"));
        Held::Verified(version.mark_unloaded())
    }

    fn drain(
        &mut self,
        version: Version<Serving>,
        duty: Option<Duty>,
        fence: Fence,
    ) -> Option<Held> {
        if self.gate.running() > 0 {
            return Some(Held::Draining(version));
        }
        if let Err(error) = self.target.unload(fence) {
            self.note_unanswered(Order::Unload, &error);
            warn!("unload: {error}");
        }
        let _ = std::fs::remove_dir_all(self.dir.join(version.root().to_string()));
        // What is still assigned stays verified, so that a rollback copies nothing.
        duty.map(|_| Held::Verified(version.mark_unloaded()))
    }

    fn note_unanswered(&mut self, order: Order, error: &TargetError) {
        if matches!(error, TargetError::Broken(_)) {
            self.unanswered.note(order, Instant::now());
        }
    }

    fn show(&self) {
        let copies = self.kept.values().map(Kept::copy).collect();
        let known = |version: &Digest| self.kept.contains_key(version);
        self.desk.show(copies, known);
    }
}

fn reported(report: &Report) -> Option<Digest> {
    report.digest.as_ref()?.parse().ok()
}

impl Kept {
    /// What is ordered, or `None` if the version is assigned no more.
    fn duty(&self) -> Option<Duty> {
        if self.assignment.digest.is_empty() {
            return None;
        }
        Some(self.assignment.duty())
    }

    fn is_waiting(&self) -> bool {
        Instant::now() < self.not_before
    }

    const fn occupies_engine(&self) -> bool {
        matches!(
            self.held,
            Some(Held::Loading(..) | Held::Serving(_) | Held::Draining(_))
        )
    }

    /// A step failed: the next try waits, twice as long after each failure in a row, so that a
    /// broken engine or origin is not hammered.
    fn fail(&mut self, trouble: String) {
        warn!("{}: {trouble}", self.assignment.deployment);
        let wait = RETRY_FIRST * 2_u32.saturating_pow(self.failures.min(16));
        self.not_before = Instant::now() + wait.min(RETRY_MOST);
        self.failures += 1;
        self.trouble = trouble;
    }

    fn succeed(&mut self) {
        self.failures = 0;
        self.trouble.clear();
    }

    fn copy(&self) -> Copy {
        let stage = match &self.held {
            None => Stage::Absent,
            // The leader counts failed loads, and moves the version elsewhere after a few.
            Some(Held::Verified(_)) if self.failures > 0 => Stage::Failed,
            Some(held) => held.stage(),
        };
        let chunks = match &self.held {
            Some(Held::Fetching(_, copying)) => copying.held(),
            Some(Held::Verified(version)) => count(version),
            Some(Held::Loading(version, _)) => count(version),
            Some(Held::Serving(version) | Held::Draining(version)) => count(version),
            None => 0,
        };
        Copy {
            deployment: self.assignment.deployment.clone(),
            digest: self.root().map(Digest::to_vec).unwrap_or_default(),
            stage: stage.into(),
            chunks,
            trouble: self.trouble.clone(),
        }
    }

    fn root(&self) -> Option<Digest> {
        match &self.held {
            Some(Held::Fetching(version, _)) => Some(version.root()),
            Some(Held::Verified(version)) => Some(version.root()),
            Some(Held::Loading(version, _)) => Some(version.root()),
            Some(Held::Serving(version) | Held::Draining(version)) => Some(version.root()),
            None => Digest::from_slice(&self.assignment.digest),
        }
    }
}

fn count<S>(version: &Version<S>) -> u32 {
    u32::try_from(version.manifest().chunks().len()).unwrap_or(u32::MAX)
}
