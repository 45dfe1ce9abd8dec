//! Every decision under load, free of network, clock and thread.
//!
//! Time, randomness (as a seed) and what was observed are passed in; decisions come back. A
//! process that carries requests owns one [`flow::Flow`], which joins admission, the choice of a
//! target and retries, so that tests and the entry run the same code:
//!
//! - [`admission`]: who is served next, who waits, who is refused and when to come back;
//! - [`limit`]: how much may be in flight at a target;
//! - [`route`]: which target gets a request;
//! - [`outlier`]: which targets get none for a while;
//! - [`retry`]: what may be tried again or twice at once.
//!
//! An agent that starts judges with [`inherited`] what may yet be loaded.
//!
//! The leader of the replicated log decides with [`placement`] which instances hold which models, and
//! with [`spread`] who fetches their weights from whom. Entries tell each other with [`gossip`]
//! which instances there are.

pub mod admission;
pub mod cost;
pub mod dispatch;
pub mod fair;
pub mod flow;
pub mod gossip;
pub mod inherited;
pub mod limit;
pub mod outlier;
pub mod pieces;
pub mod placement;
pub mod prefix;
pub mod recovery;
pub mod registry;

pub mod repeats;
pub mod retry;
pub mod rollout;
pub mod route;
pub mod spread;
pub mod subset;
pub mod target;
pub mod window;

mod units;
