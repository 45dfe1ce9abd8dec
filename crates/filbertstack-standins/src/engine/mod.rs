//! A model engine: the OpenAI HTTP API, continuous batching and orders to load weights.
//!
//! The engine serves one model, which it reads from the directory that the order names. Its answers are a
//! pure function of the files it read (see [`crate::answer`]).

mod admin;
mod api;
pub mod batch;
pub mod cache;
pub mod config;
mod core;
mod kv;
pub mod load_report;
pub mod pace;
mod response;
pub mod weights;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;

pub use config::EngineConfig;
pub use config::EngineFaults;
pub use config::Fencing;
pub use config::Pace;
pub use pace::StepGate;
pub use weights::EngineState;
pub use weights::LoadOrder;
pub use weights::Phase;

use crate::engine::core::Core;
use crate::error::StandinError;
use crate::http::Call;
use crate::http::Handler;
use crate::http::HttpServer;
use crate::http::Reply;
use crate::runs::Runs;

/// A running engine; dropping it stops the engine and closes every connection.
pub struct Engine {
    core: Arc<Core>,
    server: HttpServer,
    step_thread: Option<JoinHandle<()>>,
}

impl Engine {
    /// Starts an engine without weights.
    ///
    /// # Errors
    /// Returns an error if the engine cannot listen on the address.
    pub fn start(config: EngineConfig) -> Result<Self, StandinError> {
        let addr = config.addr;
        let core = Arc::new(Core::new(config));
        let server = HttpServer::start(addr, Arc::new(Routes(core.clone())))?;
        let step_core = core.clone();
        let step_thread = thread::spawn(move || step_core.run());
        Ok(Self {
            core,
            server,
            step_thread: Some(step_thread),
        })
    }

    /// Starts an engine that already serves the weights in `dir` as `model`.
    ///
    /// # Errors
    /// Returns an error if the engine cannot listen on the address or cannot read the weights.
    pub fn serving(config: EngineConfig, model: &str, dir: &Path) -> Result<Self, StandinError> {
        let weights = crate::answer::weights_digest(dir)?;
        let engine = Self::start(config)?;
        let mut shared = engine.core.lock();
        shared.weights.state = Phase::Serving;
        shared.weights.model = Some(model.to_owned());
        shared.weights.digest = Some(weights.to_string());
        shared.weights.weights = Some(weights);
        drop(shared);
        Ok(engine)
    }

    /// Returns the address on which the engine listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the state that `GET /admin/state` answers.
    pub fn state(&self) -> EngineState {
        admin::state(&self.core)
    }

    /// Returns the counts of runs so far.
    pub fn runs(&self) -> Runs {
        self.core.runs.read()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.core.lock().faults = faults;
    }

    /// Stops the engine, as dropping it does.
    pub fn stop(self) {}
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.core.close();
        if let Some(step_thread) = self.step_thread.take() {
            // An error means that the step loop panicked, so it has ended as well.
            let _ = step_thread.join();
        }
    }
}

struct Routes(Arc<Core>);

impl Handler for Routes {
    fn handle(&self, call: Call) {
        let path = call.path().to_owned();
        match (call.method(), path.as_str()) {
            ("POST", "/v1/completions" | "/v1/chat/completions") => api::handle(&self.0, call),
            ("GET", "/v1/models") => call.reply(api::models(&self.0)),
            ("GET", "/metrics") => call.reply(kv::metrics(&self.0)),
            ("GET", "/cache/events") => {
                let reply = kv::events(&self.0, &call);
                call.reply(reply);
            }
            ("POST", "/kv/export" | "/kv/import") => kv::handle(&self.0, call),
            ("GET", "/health") => call.reply(Reply::text(200, "")),
            (_, path) if path.starts_with("/admin/") => admin::handle(&self.0, call),
            _ => call.reply(Reply::error(404, "not_found", "no such path")),
        }
    }
}
