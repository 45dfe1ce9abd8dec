//! Small stand-ins for engines, origins, weight stores and plain services, for the demo and tests.
//!
//! Each stand-in is an RAII guard: `start` binds a loopback address and serves it from background
//! threads; dropping the value stops the threads and closes every connection. [`engine::Engine`]
//! implements the OpenAI HTTP API, [`origin::Origin`] serves files by HTTP range. An engine's answer
//! is a pure function of the loaded weights, the prompt and the token's index ([`answer`]), so that
//! a caller can verify every answer byte for byte.

pub mod answer;
pub mod bucket;
pub mod engine;
pub mod error;
pub mod files;
pub mod http;
pub mod load;
pub mod origin;
pub mod process;
pub mod proxy;
pub mod runs;
pub mod service;
pub mod store;

pub use engine::Engine;
pub use engine::EngineConfig;
pub use error::StandinError;
pub use files::FileFaults;
pub use files::FileStats;
pub use files::Rate;
pub use origin::Origin;
pub use origin::OriginConfig;
pub use runs::Runs;
pub use service::Service;
pub use service::ServiceConfig;
pub use store::Store;
