//! The entry process: HTTP for callers and operators, admission, routing and, if it has a disk, a voter.
//!
//! [`Entry::start`] runs one entry from its [`Settings`]. `filbertstack_policy` makes the decisions, and
//! `filbertstack_control` holds the control state, which is replicated through the log. This crate connects
//! them to sockets, threads and clocks.

pub mod answer;
pub mod attempt;
pub mod claims;
pub mod fleet;
pub mod follow;
pub mod gossip;
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
