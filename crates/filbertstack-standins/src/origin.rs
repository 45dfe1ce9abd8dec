//! An origin of weights: serves the files of a directory by HTTP range and counts every byte sent.
//!
//! `GET /stats` answers with [`FileStats`]; `POST /admin/faults` takes [`FileFaults`].

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use crate::error::StandinError;
use crate::files::FileFaults;
use crate::files::FileStats;
use crate::files::Files;
use crate::files::Rate;
use crate::http::ANY_ADDR;
use crate::http::HttpServer;

/// The settings of an [`Origin`].
#[derive(Clone, Debug)]
pub struct OriginConfig {
    /// The address to listen on.
    pub addr: SocketAddr,
    /// The directory to serve.
    pub dir: PathBuf,
    /// The bandwidth limit; `None` for no limit.
    pub rate: Option<Rate>,
    /// The faults to inject from the start.
    pub faults: FileFaults,
}

impl OriginConfig {
    /// Returns settings that serve `dir` at any free port without a bandwidth limit.
    pub fn new(dir: impl Into<PathBuf>) -> Self {
        Self {
            addr: ANY_ADDR,
            dir: dir.into(),
            rate: None,
            faults: FileFaults::default(),
        }
    }
}

/// A running origin; dropping it stops it.
pub struct Origin {
    files: Arc<Files>,
    server: HttpServer,
}

impl Origin {
    /// Starts the origin.
    ///
    /// # Errors
    /// [`StandinError::Bind`] if the address cannot be bound.
    pub fn start(config: OriginConfig) -> Result<Self, StandinError> {
        Self::with_uploads(config, false)
    }

    /// Starts the origin, which accepts uploads if `uploads` is set.
    pub(crate) fn with_uploads(config: OriginConfig, uploads: bool) -> Result<Self, StandinError> {
        let files = Files::new(config.dir, uploads, config.rate, config.faults);
        let files = Arc::new(files);
        let server = HttpServer::start(config.addr, files.clone())?;
        Ok(Self { files, server })
    }

    /// Returns the address that the origin listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the transfer counters.
    pub fn stats(&self) -> FileStats {
        self.files.stats()
    }

    /// Replaces the faults to inject.
    pub fn set_faults(&self, faults: FileFaults) {
        self.files.set_faults(faults);
    }

    /// Stops the origin, as dropping it does.
    pub fn stop(self) {}
}
