//! A rate-limited weight store: an origin that takes uploads by `PUT` too.

use std::net::SocketAddr;

use crate::error::StandinError;
use crate::files::FileFaults;
use crate::files::FileStats;
use crate::origin::Origin;
use crate::origin::OriginConfig;

/// A running weight store; dropping it stops it.
pub struct Store(Origin);

impl Store {
    /// Starts serving. Uploads and downloads share the rate.
    ///
    /// # Errors
    /// The address cannot be listened on.
    pub fn start(config: OriginConfig) -> Result<Self, StandinError> {
        Origin::with_uploads(config, true).map(Self)
    }

    /// The address it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.0.addr()
    }

    /// What was sent and taken so far.
    pub fn stats(&self) -> FileStats {
        self.0.stats()
    }

    /// Sets what goes wrong from now on.
    pub fn set_faults(&self, faults: FileFaults) {
        self.0.set_faults(faults);
    }

    /// Stops it; the same as dropping it.
    pub fn stop(self) {}
}
