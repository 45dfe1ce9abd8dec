//! This crate holds the replicated control state: declarations, published versions, instances, orders
//! and claims.
//!
//! [`ControlState`] is a deterministic state machine. The replicated log passes it the bytes of a
//! [`command::Command`] and receives an [`outcome::Outcome`]. The same log produces the same state and
//! the same outcomes on every replica, including a replica that started from a snapshot.
//!
//! ```
//! use filbertstack_control::ControlState;
//! use filbertstack_control::command::Body;
//! use filbertstack_control::command::Command;
//! use filbertstack_control::command::Lead;
//! use filbertstack_control::outcome::Reply;
//!
//! let mut state = ControlState::default();
//! let lead = Lead { term: 1, leader: "van-a-1".into() };
//! let command = Command::new(1_000, Body::Lead(lead));
//! let outcome = state.apply(1, &command.to_bytes());
//! assert!(matches!(outcome.reply, Some(Reply::Done(done)) if done.changed));
//! assert_eq!(state.clock(), 1_000);
//! ```

pub mod catalogue;
pub mod claims;
pub mod command;
pub mod declared;
pub mod document;
pub mod gate;
pub mod key;
pub mod lease;
pub mod limits;
pub mod orders;
pub mod outcome;
pub mod register;
mod requests;
mod snapshot;
pub mod state;
pub mod validate;
pub mod view;

pub use limits::Limits;
pub use snapshot::RestoreError;
pub use state::ControlState;
