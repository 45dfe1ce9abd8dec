//! Reconciles the target with its orders: fetches, verifies, loads, serves and drains versions.
//!
//! One thread moves every version through the typestate of `filbertstack_weights::version`, one
//! step at a time. Copies, which block, run on threads of their own.

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

use crate::copying::CopyHandle;
use crate::gate::Gate;
use crate::shared::SharedState;
use crate::target::Phase;
use crate::target::Report;
use crate::target::Target;
use crate::target::TargetError;
use crate::unanswered::Order;
use crate::unanswered::UnansweredOrders;

/// The interval between two reconciliations when no new orders arrive.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(100);

/// The interval between two checks of which version a serving engine reports.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// How long an engine may load before the load counts as failed and is ordered again.
/// It leaves time to read a large model from a slow disk.
const LOAD_TIMEOUT: Duration = Duration::from_secs(300);

/// The delay after the first failed step; it doubles with each further failure up to [`MAX_RETRY_DELAY`].
const MIN_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The longest delay after a failed step.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);

/// The stage that one version has reached on this agent.
enum LocalStage {
    Fetching(Version<Fetching>, CopyHandle),
    Verified(Version<Verified>),
    Loading(Version<Loading>, Instant),
    Serving(Version<Serving>),
    Draining(Version<Serving>),
}

impl LocalStage {
    const fn reported_stage(&self) -> Stage {
        match self {
            Self::Fetching(..) => Stage::Fetching,
            Self::Verified(_) => Stage::Verified,
            Self::Loading(..) => Stage::Loading,
            Self::Serving(_) => Stage::Serving,
            Self::Draining(_) => Stage::Draining,
        }
    }
}

/// A version that is assigned to the target or that the target still holds.
struct TrackedVersion {
    stage: Option<LocalStage>,
    assignment: Assignment,
    last_error: String,
    failures: u32,
    retry_at: Instant,
}

/// Finds manifests and starts copies.
pub trait Fetcher: Send {
    /// Returns the manifest of the assigned version; `None` until it has been received.
    ///
    /// # Errors
    /// Returns the reason why no manifest can be found, for the operator.
    fn manifest(&self, assignment: &Assignment) -> Result<Option<Arc<Manifest>>, String>;

    /// Starts a copy of the chunks of `manifest` that the store lacks.
    fn start_copy(&self, manifest: &Arc<Manifest>, assignment: &Assignment) -> CopyHandle;
}

/// Reconciles the versions of one target with the orders of the leader.
pub struct Reconciler<F> {
    shared: Arc<SharedState>,
    gate: Gate,
    target: Target,
    store: Arc<Store>,
    files_dir: PathBuf,
    fetcher: F,
    tracked: BTreeMap<Digest, TrackedVersion>,
    unanswered: UnansweredOrders,
    last_check: Instant,
}

impl<F: Fetcher> Reconciler<F> {
    /// Creates a reconciler without versions; it writes the engine's files below `files_dir`.
    pub fn new(
        shared: Arc<SharedState>,
        gate: Gate,
        target: Target,
        store: Arc<Store>,
        files_dir: PathBuf,
        fetcher: F,
    ) -> Self {
        let tracked = BTreeMap::new();
        let unanswered = UnansweredOrders::default();
        let last_check = Instant::now();
        Self {
            shared,
            gate,
            target,
            store,
            files_dir,
            fetcher,
            tracked,
            unanswered,
            last_check,
        }
    }

    /// Reconciles until the shared state is stopped, then closes the gate.
    pub fn run(mut self) {
        while !self.shared.is_stopped() {
            let orders = self.shared.wait_orders(RECONCILE_INTERVAL);
            self.reconcile(&orders);
        }
        self.gate.close();
    }

    /// Applies the orders and advances every version by one step.
    fn reconcile(&mut self, orders: &Orders) {
        self.apply_orders(orders);
        let fence = orders.fence.unwrap_or_default();
        let roots: Vec<Digest> = self.tracked.keys().copied().collect();
        for root in roots {
            self.advance(root, fence);
        }
        self.tracked
            .retain(|_, tracked| tracked.stage.is_some() || !tracked.assignment.digest.is_empty());
        self.publish_copies();
    }

    /// Records the assignments. A version that is no longer assigned is drained and then dropped.
    fn apply_orders(&mut self, orders: &Orders) {
        for tracked in self.tracked.values_mut() {
            tracked.assignment.digest.clear();
        }
        for assignment in &orders.serve {
            let Some(version) = Digest::from_slice(&assignment.digest) else {
                continue;
            };
            let tracked = self
                .tracked
                .entry(version)
                .or_insert_with(|| TrackedVersion {
                    stage: None,
                    assignment: Assignment::default(),
                    last_error: String::new(),
                    failures: 0,
                    retry_at: Instant::now(),
                });
            tracked.assignment = assignment.clone();
        }
    }

    fn advance(&mut self, root: Digest, fence: Fence) {
        let Some(mut tracked) = self.tracked.remove(&root) else {
            return;
        };
        let duty = tracked.duty();
        tracked.stage = match tracked.stage.take() {
            None => self.start_fetch(&mut tracked),
            Some(LocalStage::Fetching(version, copying)) => {
                self.poll_copy(&mut tracked, version, copying)
            }
            Some(LocalStage::Verified(version)) => self.load(&mut tracked, version, fence),
            Some(LocalStage::Loading(version, started_at)) => {
                Some(self.poll_load(&mut tracked, version, started_at))
            }
            Some(LocalStage::Serving(version)) if duty == Some(Duty::Serve) => {
                Some(self.check_engine(&mut tracked, version))
            }
            Some(LocalStage::Serving(version)) => {
                // The gate admits no new request; requests in progress finish on this version.
                self.gate.close();
                info!("draining version {root:?}");
                Some(LocalStage::Draining(version))
            }
            Some(LocalStage::Draining(version)) => self.finish_drain(version, duty, fence),
        };
        self.tracked.insert(root, tracked);
    }

    fn start_fetch(&self, tracked: &mut TrackedVersion) -> Option<LocalStage> {
        if tracked.is_backing_off() || !matches!(tracked.duty(), Some(Duty::Serve | Duty::Fetch)) {
            return None;
        }
        let manifest = match self.fetcher.manifest(&tracked.assignment) {
            Ok(Some(manifest)) => manifest,
            Ok(None) => return None,
            Err(error) => {
                tracked.record_failure(error);
                return None;
            }
        };
        self.shared.add_manifest(&manifest);
        match Version::declare(manifest.clone(), self.store.clone()) {
            Ok(version) => {
                let copying = self.fetcher.start_copy(&manifest, &tracked.assignment);
                Some(LocalStage::Fetching(version.fetch(), copying))
            }
            Err(error) => {
                tracked.record_failure(error.to_string());
                None
            }
        }
    }

    fn poll_copy(
        &self,
        tracked: &mut TrackedVersion,
        version: Version<Fetching>,
        copying: CopyHandle,
    ) -> Option<LocalStage> {
        tracked.duty()?;
        if !copying.is_done() {
            tracked.last_error = copying.last_error();
            return Some(LocalStage::Fetching(version, copying));
        }
        match version.verify() {
            Ok(version) => {
                tracked.clear_failures();
                info!("verified version {:?}", version.root());
                Some(LocalStage::Verified(version))
            }
            Err(refused) => {
                tracked.record_failure(refused.error.to_string());
                let manifest = refused.version.manifest().clone();
                let copying = self.fetcher.start_copy(&manifest, &tracked.assignment);
                Some(LocalStage::Fetching(refused.version, copying))
            }
        }
    }

    fn load(
        &mut self,
        tracked: &mut TrackedVersion,
        version: Version<Verified>,
        fence: Fence,
    ) -> Option<LocalStage> {
        match tracked.duty() {
            None => return None,
            Some(Duty::Serve) => {}
            Some(Duty::Fetch | Duty::Drain) => return Some(LocalStage::Verified(version)),
        }
        // The engine holds one version: it may load the next only when no request runs on the current one.
        let occupied = self.tracked.values().any(TrackedVersion::occupies_engine);
        if tracked.is_backing_off() || occupied || self.gate.running() > 0 {
            return Some(LocalStage::Verified(version));
        }
        let order = Order::Load(version.root());
        if !self.unanswered.allows(order, Instant::now()) {
            tracked.last_error = "an earlier order may yet be carried out: it is waited for".into();
            return Some(LocalStage::Verified(version));
        }
        let dir = match version.write_to(&self.files_dir) {
            Ok(dir) => dir,
            Err(error) => {
                tracked.record_failure(error.to_string());
                let manifest = version.manifest().clone();
                let copying = self.fetcher.start_copy(&manifest, &tracked.assignment);
                return Some(LocalStage::Fetching(version.refetch(), copying));
            }
        };
        match self
            .target
            .load(&tracked.assignment.model, version.root(), &dir, fence)
        {
            Ok(()) => Some(LocalStage::Loading(version.load(), Instant::now())),
            Err(error) => {
                self.record_unanswered(order, &error);
                tracked.record_failure(error.to_string());
                Some(LocalStage::Verified(version))
            }
        }
    }

    fn poll_load(
        &self,
        tracked: &mut TrackedVersion,
        version: Version<Loading>,
        started_at: Instant,
    ) -> LocalStage {
        let report = match self.target.report() {
            Ok(report) => report,
            Err(error) => {
                tracked.record_failure(error.to_string());
                return LocalStage::Verified(version.fail());
            }
        };
        match report.state {
            Phase::Loading if started_at.elapsed() < LOAD_TIMEOUT => {
                LocalStage::Loading(version, started_at)
            }
            Phase::Serving => self.start_serving(tracked, version, &report),
            _ => {
                let reason = report
                    .reason
                    .unwrap_or_else(|| "it did not end in time".into());
                tracked.record_failure(format!("the engine did not load the version: {reason}"));
                LocalStage::Verified(version.fail())
            }
        }
    }

    fn start_serving(
        &self,
        tracked: &mut TrackedVersion,
        version: Version<Loading>,
        report: &Report,
    ) -> LocalStage {
        let reported = reported_version(report);
        match version.serve(reported.unwrap_or_else(|| Digest::of(b"no version reported"))) {
            Ok(version) => {
                tracked.clear_failures();
                self.gate.open(version.root());
                info!("serving version {:?}", version.root());
                LocalStage::Serving(version)
            }
            Err(refused) => {
                tracked.record_failure(refused.error.to_string());
                LocalStage::Verified(refused.version)
            }
        }
    }

    /// Checks that the engine still serves `version`, at most once per [`CHECK_INTERVAL`].
    ///
    /// An engine that was restarted, or that took an order from another process, may serve another
    /// version than the gate admits requests for. The gate is then closed and the version loaded again.
    fn check_engine(
        &mut self,
        tracked: &mut TrackedVersion,
        version: Version<Serving>,
    ) -> LocalStage {
        if self.last_check.elapsed() < CHECK_INTERVAL {
            return LocalStage::Serving(version);
        }
        self.last_check = Instant::now();
        let report = self.target.report();
        let is_serving = |report: &Report| {
            report.state == Phase::Serving && reported_version(report) == Some(version.root())
        };
        if report.as_ref().is_ok_and(is_serving) {
            return LocalStage::Serving(version);
        }
        self.gate.close();
        let text = report.map_or_else(|error| error.to_string(), |report| format!("{report:?}"));
        tracked.record_failure(format!("the engine serves something else: {text}"));
        LocalStage::Verified(version.mark_unloaded())
    }

    fn finish_drain(
        &mut self,
        version: Version<Serving>,
        duty: Option<Duty>,
        fence: Fence,
    ) -> Option<LocalStage> {
        if self.gate.running() > 0 {
            return Some(LocalStage::Draining(version));
        }
        if let Err(error) = self.target.unload(fence) {
            self.record_unanswered(Order::Unload, &error);
            warn!("engine did not confirm the unload: {error}");
        }
        let _ = std::fs::remove_dir_all(self.files_dir.join(version.root().to_string()));
        // A version that is still assigned stays verified, so that a rollback copies nothing.
        duty.map(|_| LocalStage::Verified(version.mark_unloaded()))
    }

    fn record_unanswered(&mut self, order: Order, error: &TargetError) {
        if matches!(error, TargetError::Broken(_)) {
            self.unanswered.record(order, Instant::now());
        }
    }

    fn publish_copies(&self) {
        let copies = self.tracked.values().map(TrackedVersion::copy).collect();
        let known = |version: &Digest| self.tracked.contains_key(version);
        self.shared.set_copies(copies, known);
    }
}

fn reported_version(report: &Report) -> Option<Digest> {
    report.digest.as_ref()?.parse().ok()
}

impl TrackedVersion {
    /// Returns the duty that is ordered, or `None` if the version is no longer assigned.
    fn duty(&self) -> Option<Duty> {
        if self.assignment.digest.is_empty() {
            return None;
        }
        Some(self.assignment.duty())
    }

    fn is_backing_off(&self) -> bool {
        Instant::now() < self.retry_at
    }

    const fn occupies_engine(&self) -> bool {
        matches!(
            self.stage,
            Some(LocalStage::Loading(..) | LocalStage::Serving(_) | LocalStage::Draining(_))
        )
    }

    /// Records a failed step and delays the next attempt.
    ///
    /// The delay doubles with each consecutive failure, so that a broken engine or origin is not
    /// overloaded with retries.
    fn record_failure(&mut self, error: String) {
        warn!(
            "step failed for deployment {}: {error}",
            self.assignment.deployment
        );
        let delay = MIN_RETRY_DELAY * 2_u32.saturating_pow(self.failures.min(16));
        self.retry_at = Instant::now() + delay.min(MAX_RETRY_DELAY);
        self.failures += 1;
        self.last_error = error;
    }

    fn clear_failures(&mut self) {
        self.failures = 0;
        self.last_error.clear();
    }

    fn copy(&self) -> Copy {
        let stage = match &self.stage {
            None => Stage::Absent,
            // The leader counts failed loads and moves the version to another target after a few.
            Some(LocalStage::Verified(_)) if self.failures > 0 => Stage::Failed,
            Some(stage) => stage.reported_stage(),
        };
        let chunks = match &self.stage {
            Some(LocalStage::Fetching(_, copying)) => copying.stored_chunks(),
            Some(LocalStage::Verified(version)) => chunk_count(version),
            Some(LocalStage::Loading(version, _)) => chunk_count(version),
            Some(LocalStage::Serving(version) | LocalStage::Draining(version)) => {
                chunk_count(version)
            }
            None => 0,
        };
        Copy {
            deployment: self.assignment.deployment.clone(),
            digest: self.root().map(Digest::to_vec).unwrap_or_default(),
            stage: stage.into(),
            chunks,
            trouble: self.last_error.clone(),
        }
    }

    fn root(&self) -> Option<Digest> {
        match &self.stage {
            Some(LocalStage::Fetching(version, _)) => Some(version.root()),
            Some(LocalStage::Verified(version)) => Some(version.root()),
            Some(LocalStage::Loading(version, _)) => Some(version.root()),
            Some(LocalStage::Serving(version) | LocalStage::Draining(version)) => {
                Some(version.root())
            }
            None => Digest::from_slice(&self.assignment.digest),
        }
    }
}

fn chunk_count<S>(version: &Version<S>) -> u32 {
    u32::try_from(version.manifest().chunks().len()).unwrap_or(u32::MAX)
}
