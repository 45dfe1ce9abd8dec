//! An origin of weights: the files of a directory by HTTP ranges, with every byte counted.
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
    /// Where it listens.
    pub addr: SocketAddr,
    /// The directory whose files it serves.
    pub dir: PathBuf,
    /// The rate of its link; `None` for as fast as it can.
    pub rate: Option<Rate>,
    /// What goes wrong from the start.
    pub faults: FileFaults,
}

impl OriginConfig {
    /// Serves `dir` at any free port without a limit.
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
    /// Starts serving.
    ///
    /// # Errors
    /// The address cannot be listened on.
    pub fn start(config: OriginConfig) -> Result<Self, StandinError> {
        Self::with_uploads(config, false)
    }

    pub(crate) fn with_uploads(config: OriginConfig, uploads: bool) -> Result<Self, StandinError> {
        let files = Files::new(config.dir, uploads, config.rate, config.faults);
        let files = Arc::new(files);
        let server = HttpServer::start(config.addr, files.clone())?;
        Ok(Self { files, server })
    }

    /// The address it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// What was sent so far.
    pub fn stats(&self) -> FileStats {
        self.files.stats()
    }

    /// Sets what goes wrong from now on.
    pub fn set_faults(&self, faults: FileFaults) {
        self.files.set_faults(faults);
    }

    /// Stops it; the same as dropping it.
    pub fn stop(self) {}
}
