//! The processes that serve on small instances: one event loop each, one thread for everything
//! but the disk.
//!
//! An [`entry`] takes callers, operators and heartbeats; with a disk it is a voter of the
//! replicated log as well. An [`agent`] stands beside each model engine, reports its load and
//! brings new weights to it, whose pieces come over the entries ([`weights`]). [`link`] carries what they say to each other, [`control`] keeps what
//! is declared and who is there, and [`request`] is the way of a request to a target and back.

pub mod agent;
pub mod control;
pub mod entry;
pub mod link;
pub mod metrics;
pub mod reload;
pub mod request;
pub mod settings;
pub mod weights;

mod client;
mod clock;

use std::time::Duration;

/// The pause after an accept that failed, as it does while no descriptor is free: long enough
/// that the loop does not spin, short enough that callers' connections wait in the queue.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The most connections that wait to be accepted. A full queue drops the opening packet, which is
/// sent again only after a second.
pub(crate) const BACKLOG: u32 = 1_024;
