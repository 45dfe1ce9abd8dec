//! A model engine: OpenAI's HTTP API, continuous batching and orders to load weights.
//!
//! It holds one model, read from the directory that the order names, and answers with a pure
//! function of what it read (see [`crate::answer`]).

mod admin;
mod api;
pub mod batch;
pub mod cache;
pub mod config;
mod core;
mod kv;
pub mod late;
pub mod pace;
mod shape;
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
pub use pace::Gate;
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

/// A running engine; dropping it stops it and closes every connection.
pub struct Engine {
    core: Arc<Core>,
    server: HttpServer,
    steps: Option<JoinHandle<()>>,
}

impl Engine {
    /// Starts an engine without weights.
    ///
    /// # Errors
    /// The address cannot be listened on.
    pub fn start(config: EngineConfig) -> Result<Self, StandinError> {
        let addr = config.addr;
        let core = Arc::new(Core::new(config));
        let server = HttpServer::start(addr, Arc::new(Routes(core.clone())))?;
        let steps = core.clone();
        let steps = thread::spawn(move || steps.run());
        Ok(Self {
            core,
            server,
            steps: Some(steps),
        })
    }

    /// Starts an engine that already serves the weights in `dir` as `model`.
    ///
    /// # Errors
    /// The address cannot be listened on or the weights cannot be read.
    pub fn serving(config: EngineConfig, model: &str, dir: &Path) -> Result<Self, StandinError> {
        let weights = crate::answer::weights_digest(dir)?;
        let engine = Self::start(config)?;
        let mut memory = engine.core.memory();
        memory.weights.state = Phase::Serving;
        memory.weights.model = Some(model.to_owned());
        memory.weights.digest = Some(weights.to_string());
        memory.weights.weights = Some(weights);
        drop(memory);
        Ok(engine)
    }

    /// The address it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// What `GET /admin/state` answers.
    pub fn state(&self) -> EngineState {
        admin::state(&self.core)
    }

    /// What ran so far.
    pub fn runs(&self) -> Runs {
        self.core.runs.read()
    }

    /// Sets what it does wrong from now on.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.core.memory().faults = faults;
    }

    /// Stops it; the same as dropping it.
    pub fn stop(self) {}
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.core.close();
        if let Some(steps) = self.steps.take() {
            // A loop that panicked has ended too.
            let _ = steps.join();
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
