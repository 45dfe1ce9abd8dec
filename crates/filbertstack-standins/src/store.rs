//! A rate-limited weight store: an origin that also accepts uploads by `PUT`.

use std::net::SocketAddr;

use crate::error::StandinError;
use crate::files::FileFaults;
use crate::files::FileStats;
use crate::origin::Origin;
use crate::origin::OriginConfig;

/// A running weight store; dropping it stops it.
pub struct Store(Origin);

impl Store {
    /// Starts the store. Uploads and downloads share the bandwidth limit.
    ///
    /// # Errors
    /// [`StandinError::Bind`] if the address cannot be bound.
    pub fn start(config: OriginConfig) -> Result<Self, StandinError> {
        Origin::with_uploads(config, true).map(Self)
    }

    /// Returns the address that the store listens on.
    pub fn addr(&self) -> SocketAddr {
        self.0.addr()
    }

    /// Returns the transfer counters.
    pub fn stats(&self) -> FileStats {
        self.0.stats()
    }

    /// Replaces the faults to inject.
    pub fn set_faults(&self, faults: FileFaults) {
        self.0.set_faults(faults);
    }

    /// Stops the store, as dropping it does.
    pub fn stop(self) {}
}
