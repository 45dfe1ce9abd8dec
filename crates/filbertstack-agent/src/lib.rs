//! The agent runs beside each target: it holds weights and checks every order and every request.
//!
//! Some engines ignore fencing numbers, and some targets do not authenticate their callers. Therefore
//! only the last hop can reliably refuse a stale order or a request for another version.
//! [`Agent::start`] runs one agent. Dropping the handle ends it at once; [`Agent::stop`] ends it after
//! the requests in progress.

pub mod announce;
pub mod copying;
pub mod gate;
pub mod mesh;
pub mod pacing;
pub mod process;
pub mod reconciler;
pub mod scrape;
pub mod serve;
pub mod settings;
pub mod shared;
pub mod source;
pub mod target;
pub mod unanswered;

pub use process::Agent;
pub use settings::Settings;
