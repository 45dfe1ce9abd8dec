//! Stand-ins as processes of their own, for tests that kill and freeze them.

use std::convert::Infallible;
use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread;

use crate::engine::Engine;
use crate::engine::EngineConfig;
use crate::error::StandinError;
use crate::origin::Origin;
use crate::origin::OriginConfig;
use crate::service::Service;
use crate::service::ServiceConfig;
use crate::store::Store;

/// Weights that an engine serves from its start.
#[derive(Clone, Debug)]
pub struct Preload {
    /// The model's name.
    pub model: String,
    /// The directory of the weights.
    pub dir: PathBuf,
}

/// Serves an engine until the process ends.
///
/// # Errors
/// It cannot start.
pub fn run_engine(
    config: EngineConfig,
    preload: Option<Preload>,
) -> Result<Infallible, StandinError> {
    let engine = match preload {
        None => Engine::start(config)?,
        Some(preload) => Engine::serving(config, &preload.model, &preload.dir)?,
    };
    announce(engine.addr());
    park(&engine)
}

/// Serves an origin until the process ends.
///
/// # Errors
/// It cannot start.
pub fn run_origin(config: OriginConfig) -> Result<Infallible, StandinError> {
    let origin = Origin::start(config)?;
    announce(origin.addr());
    park(&origin)
}

/// Serves a weight store until the process ends.
///
/// # Errors
/// It cannot start.
pub fn run_store(config: OriginConfig) -> Result<Infallible, StandinError> {
    let store = Store::start(config)?;
    announce(store.addr());
    park(&store)
}

/// Serves a plain service until the process ends.
///
/// # Errors
/// It cannot start.
pub fn run_service(config: ServiceConfig) -> Result<Infallible, StandinError> {
    let service = Service::start(config)?;
    announce(service.addr());
    park(&service)
}

/// Prints the one line that tells whoever started the process where it listens.
fn announce(addr: SocketAddr) {
    let mut out = io::stdout().lock();
    // Whoever started the process may have closed the pipe; the stand-in serves all the same.
    let _ = writeln!(out, "listening {addr}");
    let _ = out.flush();
}

/// Keeps the stand-in until a signal ends the process.
fn park<T>(_standin: &T) -> Result<Infallible, StandinError> {
    loop {
        thread::park();
    }
}
