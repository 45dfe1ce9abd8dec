//! The entry: callers' and operators' HTTP, admission, routing and, with a disk, a voter.
//!
//! [`Entry::start`] runs one entry from its [`Settings`]. Decisions come from
//! `filbertstack_policy`, the control state from `filbertstack_control` through the replicated
//! log; this crate joins them with sockets, threads and clocks.

pub mod answer;
pub mod attempt;
pub mod claims;
pub mod fleet;
pub mod follow;
pub mod gossip;
pub mod guard;
pub mod http;
pub mod lead;
pub mod lease;
pub mod ledger;
pub mod links;
pub mod machine;
pub mod members;
pub mod operators;
pub mod process;
pub mod prompt;
pub mod question;
pub mod race;
pub mod request;
mod run;
pub mod settings;
pub mod spread;
pub mod table;
pub mod traffic;
pub mod view;
pub mod voter;

pub use process::Entry;
pub use settings::Settings;
