//! Decides on admission, routing, placement and the distribution of weights, without network, clock or
//! threads.
//!
//! Time, random seeds and observations are passed in; decisions are returned. A process that carries requests
//! owns one [`flow::Flow`], which combines admission, the choice of a target and retries, so that tests and
//! the entry run the same code:
//!
//! - [`admission`] decides which requests are served next, wait or are refused, and when refused callers come
//!   back;
//! - [`limit`] bounds the requests in flight at a target;
//! - [`route`] chooses the target of a request;
//! - [`outlier`] excludes targets for a while;
//! - [`retry`] decides which requests may be retried or hedged.
//!
//! Entries use [`attempts`] to limit the targets that one request is sent to, [`crashes`] to refuse requests
//! that crash targets, [`quota`] to keep together the limits that targets name, [`cold`] to keep together the rate
//! of targets that have just started, and [`notices`] to leave targets alone that ask for rest or leave. They use
//! [`rank`] to decide which requests yield, [`residency`] to keep requests in allowed regions, and [`takeover`] to
//! move an answer to another target without ending it.
//!
//! Every process uses [`intake`] to share its memory among those who send to it, and [`connections`] to share its
//! descriptors among its listeners.
//!
//! An agent that starts uses [`inherited`] to determine which version its engine may already have been
//! ordered to load. Before and after an order it reads the staged pieces back as [`verification`] says.
//!
//! The leader of the replicated log uses [`placement`] to decide which instances hold which models, and
//! [`spread`] to decide which target fetches weights from which source. Entries use [`gossip`] to share the
//! known instances.

pub mod admission;
pub mod attempts;
pub mod begin;
pub mod cold;
pub mod connections;
pub mod cost;
pub mod crashes;
pub mod dispatch;
pub mod fair;
pub mod flow;
pub mod gossip;
pub mod handover;
pub mod inherited;
pub mod intake;
pub mod leaving;
pub mod limit;
pub mod notices;
pub mod outlier;
pub mod pauses;
pub mod permit;
pub mod pieces;
pub mod placement;
pub mod prefix;
pub mod quota;
pub mod rank;
pub mod recovery;
pub mod registry;

pub mod repeats;
pub mod residency;
pub mod retry;
pub mod rollout;
pub mod route;
pub mod spread;
pub mod subset;
pub mod takeover;
pub mod target;
pub mod verification;
pub mod window;

mod rate;
mod units;
