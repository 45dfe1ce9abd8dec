//! The agent beside each target: holds weights and gates every order and every request.
//!
//! Some engines ignore fencing numbers and some targets check nobody, so the only place where a
//! stale order, or a request for another version, can be refused for certain is the last hop.
//! [`Agent::start`] runs one agent; dropping the handle ends it at once, [`Agent::stop`] after the
//! requests in progress.

pub mod announce;
pub mod copying;
pub mod desk;
pub mod gate;
pub mod keeper;
pub mod mesh;
pub mod pacing;
pub mod process;
pub mod scrape;
pub mod serve;
pub mod settings;
pub mod source;
pub mod target;
pub mod unanswered;

pub use process::Agent;
pub use settings::Settings;
