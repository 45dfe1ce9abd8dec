//! What is declared and who is there, on every node.
//!
//! Voters keep the declared state in the replicated log and the registry of processes in memory;
//! every other node follows one voter. [`node::Node`] answers peers, [`api`] answers operators
//! and engines.

pub mod api;
pub mod declared;
pub mod follow;
pub mod lag;
pub mod loads;
pub mod machine;
pub mod membership;
pub mod node;
pub mod parts;
pub mod registry;
pub mod search;
pub mod seek;
pub mod shortage;
pub mod unregistered;
pub mod upkeep;
pub mod voter;

use std::time::Duration;

/// How long a question to a peer may take when a caller waits for its outcome: operators move on
/// after a second, so an answer after that is lost.
pub const ASK: Duration = Duration::from_millis(850);

/// How long a change may take to be committed: the questioner's patience less the way.
pub const COMMIT: Duration = Duration::from_millis(750);

/// After how long a node that has no contact with the group says whom it asked, and how often it
/// does so then: an election, a lost disk's repair and a start of all nodes take less than three
/// seconds.
pub const EXPLAIN_INTERVAL: Duration = Duration::from_secs(5);
