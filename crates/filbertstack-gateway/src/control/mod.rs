//! The declared state and the registry of processes on every node.
//!
//! Voters keep the declared state in the replicated log, and the registry of processes in memory. Every
//! other node follows one voter. [`node::Node`] answers peers; [`api`] answers operators and engines.

pub mod api;
pub mod contacts;
pub mod crash_file;
pub mod crashes;
pub mod declared;
pub mod demand;
pub mod discovery;
pub mod evacuations;
pub mod follow;
pub mod lag;
pub mod limits;
pub mod loads;
pub mod machine;
pub mod membership;
pub mod node;
pub mod observations;
pub mod parts;
pub mod registry;
pub mod search;
pub mod shortage;
pub mod unregistered;
pub mod upkeep;
pub mod voter;

use std::time::Duration;

/// How long a question to a peer may take while a caller waits for its outcome. Operators give up after a
/// second, so a later answer would be lost.
pub const ASK_TIMEOUT: Duration = Duration::from_millis(850);

/// How long a change may take to be committed: [`ASK_TIMEOUT`] less the time on the network.
pub const COMMIT_TIMEOUT: Duration = Duration::from_millis(750);

/// How long a node lacks contact with the group before it logs the nodes that it asked, and how often it
/// logs them from then on. An election, the repair after a lost disk and a start of all nodes each take
/// less than three seconds.
pub const EXPLAIN_INTERVAL: Duration = Duration::from_secs(5);
