//! The gate: what may reach the target, and what is in progress there.
//!
//! A request passes only while the version it was routed for is being served, and counts as in
//! progress until its [`Pass`] is dropped. A version stops being served in two steps: first the
//! gate closes for it, then the last pass ends; only then may the engine load another one.

use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use filbertstack_core::Digest;
use thiserror::Error;

/// Why a request does not pass; it certainly did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Closed {
    /// The target serves another version, or none.
    #[error("the target does not serve this version now: route the request again")]
    Version,
    /// The target is leaving.
    #[error("the target is leaving: route the request to another")]
    Leaving,
    /// Every slot is taken.
    #[error("every slot of the target is taken: route the request to another")]
    Full,
}

impl Closed {
    /// The reason as metrics name it.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Version => "version",
            Self::Leaving => "leaving",
            Self::Full => "full",
        }
    }
}

#[derive(Debug, Default)]
struct State {
    open: Option<Digest>,
    service: bool,
    leaving: bool,
    running: u32,
}

#[derive(Debug)]
struct Shared {
    slots: u32,
    state: Mutex<State>,
    changed: Condvar,
}

/// The gate of one target; clones share it.
#[derive(Clone, Debug)]
pub struct Gate {
    shared: Arc<Shared>,
}

/// One request in progress; dropped when it ends.
#[derive(Debug)]
pub struct Pass {
    shared: Arc<Shared>,
}

impl Gate {
    /// A closed gate before an engine with `slots`.
    pub fn engine(slots: u32) -> Self {
        Self::new(slots, false)
    }

    /// An open gate before a plain service with `slots`.
    pub fn service(slots: u32) -> Self {
        Self::new(slots, true)
    }

    fn new(slots: u32, service: bool) -> Self {
        let state = Mutex::new(State {
            service,
            ..State::default()
        });
        Self {
            shared: Arc::new(Shared {
                slots,
                state,
                changed: Condvar::new(),
            }),
        }
    }

    /// Lets a request for `version` pass; `None` is a request for a plain service.
    ///
    /// # Errors
    /// Why it does not pass.
    pub fn pass(&self, version: Option<Digest>) -> Result<Pass, Closed> {
        let mut state = self.shared.lock();
        if state.leaving {
            return Err(Closed::Leaving);
        }
        let served = match version {
            None => state.service,
            Some(version) => state.open == Some(version),
        };
        if !served {
            return Err(Closed::Version);
        }
        if state.running >= self.shared.slots {
            return Err(Closed::Full);
        }
        state.running += 1;
        Ok(Pass {
            shared: self.shared.clone(),
        })
    }

    /// Opens the gate for `version` alone.
    pub fn open(&self, version: Digest) {
        self.shared.lock().open = Some(version);
    }

    /// Closes the gate; what is in progress goes on.
    pub fn close(&self) {
        self.shared.lock().open = None;
    }

    /// Lets nothing new pass from here on.
    pub fn leave(&self) {
        self.shared.lock().leaving = true;
    }

    /// The version that requests may pass for.
    pub fn version(&self) -> Option<Digest> {
        self.shared.lock().open
    }

    /// Whether the target is leaving.
    pub fn is_leaving(&self) -> bool {
        self.shared.lock().leaving
    }

    /// How many requests pass at once at most.
    pub fn slots(&self) -> u32 {
        self.shared.slots
    }

    /// The requests in progress.
    pub fn running(&self) -> u32 {
        self.shared.lock().running
    }

    /// Waits until nothing is in progress; false if something still is after `timeout`.
    pub fn wait_idle(&self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        let mut state = self.shared.lock();
        while state.running > 0 {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            let waited = self.shared.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        true
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        self.shared.lock().running -= 1;
        self.shared.changed.notify_all();
    }
}
