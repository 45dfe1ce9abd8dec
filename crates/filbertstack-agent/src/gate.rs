//! The gate admits requests to the target and counts those in progress.
//!
//! It admits a request only while the target serves the version that the request was routed for. The
//! request counts as in progress until its [`Permit`] is dropped. A version stops being served in two
//! steps: the gate closes for it, then the last permit is dropped. Only then may the engine load
//! another version.

use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use filbertstack_core::Digest;
use thiserror::Error;

/// The reason why the gate refused a request, which therefore did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Refusal {
    /// The target serves another version, or none.
    #[error("the target does not serve this version now: route the request again")]
    Version,
    /// The target is leaving.
    #[error("the target is leaving: route the request to another")]
    Leaving,
    /// Every slot is in use.
    #[error("every slot of the target is taken: route the request to another")]
    Full,
}

impl Refusal {
    /// Returns the name of the reason in metrics.
    pub const fn metric_name(self) -> &'static str {
        match self {
            Self::Version => "version",
            Self::Leaving => "leaving",
            Self::Full => "full",
        }
    }
}

#[derive(Debug, Default)]
struct State {
    open_version: Option<Digest>,
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

/// The gate of one target; clones share its state.
#[derive(Clone, Debug)]
pub struct Gate {
    shared: Arc<Shared>,
}

/// A request in progress, which ends when the permit is dropped.
#[derive(Debug)]
pub struct Permit {
    shared: Arc<Shared>,
}

impl Gate {
    /// Creates a closed gate for an engine with `slots`.
    pub fn engine(slots: u32) -> Self {
        Self::new(slots, false)
    }

    /// Creates an open gate for a plain service with `slots`.
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

    /// Admits a request for `version`; `None` is a request for a plain service.
    ///
    /// # Errors
    /// Returns the reason if the gate refuses the request.
    pub fn admit(&self, version: Option<Digest>) -> Result<Permit, Refusal> {
        let mut state = self.shared.lock();
        if state.leaving {
            return Err(Refusal::Leaving);
        }
        let served = match version {
            None => state.service,
            Some(version) => state.open_version == Some(version),
        };
        if !served {
            return Err(Refusal::Version);
        }
        if state.running >= self.shared.slots {
            return Err(Refusal::Full);
        }
        state.running += 1;
        Ok(Permit {
            shared: self.shared.clone(),
        })
    }

    /// Opens the gate for requests for `version` only.
    pub fn open(&self, version: Digest) {
        self.shared.lock().open_version = Some(version);
    }

    /// Closes the gate for every version; requests in progress continue.
    pub fn close(&self) {
        self.shared.lock().open_version = None;
    }

    /// Marks the target as leaving: the gate refuses every further request.
    pub fn leave(&self) {
        self.shared.lock().leaving = true;
    }

    /// Returns the version that the gate is open for.
    pub fn version(&self) -> Option<Digest> {
        self.shared.lock().open_version
    }

    /// Returns whether the target is leaving.
    pub fn is_leaving(&self) -> bool {
        self.shared.lock().leaving
    }

    /// Returns how many requests may be in progress at once.
    pub fn slots(&self) -> u32 {
        self.shared.slots
    }

    /// Returns how many requests are in progress.
    pub fn running(&self) -> u32 {
        self.shared.lock().running
    }

    /// Waits until no request is in progress; returns false if some still are after `timeout`.
    pub fn wait_idle(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        let mut state = self.shared.lock();
        while state.running > 0 {
            let left = deadline.saturating_duration_since(Instant::now());
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

impl Drop for Permit {
    fn drop(&mut self) {
        self.shared.lock().running -= 1;
        self.shared.changed.notify_all();
    }
}
