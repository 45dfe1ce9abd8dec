//! Runs a stand-in as a process, for tests that kill or freeze it.

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

/// Weights that an engine loads at its start.
#[derive(Clone, Debug)]
pub struct Preload {
    /// The model's name.
    pub model: String,
    /// The directory of the weights.
    pub dir: PathBuf,
}

/// Runs an engine until the process ends.
///
/// # Errors
/// The stand-in cannot start.
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

/// Runs an origin until the process ends.
///
/// # Errors
/// The stand-in cannot start.
pub fn run_origin(config: OriginConfig) -> Result<Infallible, StandinError> {
    let origin = Origin::start(config)?;
    announce(origin.addr());
    park(&origin)
}

/// Runs a weight store until the process ends.
///
/// # Errors
/// The stand-in cannot start.
pub fn run_store(config: OriginConfig) -> Result<Infallible, StandinError> {
    let store = Store::start(config)?;
    announce(store.addr());
    park(&store)
}

/// Runs a plain service until the process ends.
///
/// # Errors
/// The stand-in cannot start.
pub fn run_service(config: ServiceConfig) -> Result<Infallible, StandinError> {
    let service = Service::start(config)?;
    announce(service.addr());
    park(&service)
}

/// Prints the listening address as one line on standard output, for the parent process.
fn announce(addr: SocketAddr) {
    let mut out = io::stdout().lock();
    // The parent process may have closed the pipe; the stand-in serves regardless.
    let _ = writeln!(out, "listening {addr}");
    let _ = out.flush();
}

/// Blocks until a signal ends the process; the borrowed stand-in keeps serving.
fn park<T>(_standin: &T) -> Result<Infallible, StandinError> {
    loop {
        thread::park();
    }
}
