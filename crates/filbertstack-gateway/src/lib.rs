//! The server processes for small instances. Each process runs one event loop on one thread; only
//! disk access has threads of its own.
//!
//! An [`entry`] accepts callers, operators and heartbeats; with a disk it is a voter of the
//! replicated log as well. An [`agent`] runs beside each model engine, reports its load and
//! loads new weights into it, whose pieces it fetches through the entries ([`weights`]). [`link`]
//! carries messages between these processes, [`control`] keeps the declared configuration and the
//! registry of processes, and [`request`] forwards a caller's request to a target and the answer back.

pub mod agent;
pub mod clock;
pub mod control;
pub mod entry;
pub mod link;
pub mod meter;
pub mod metrics;
pub mod reload;
pub mod request;
pub mod room;
pub mod settings;
pub mod slots;
pub mod weights;

mod client;

use std::time::Duration;

/// The pause after a failed accept. Accepting fails while no file descriptor is free. The pause keeps
/// the loop from spinning and is short enough that callers' connections wait in the queue meanwhile.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The most connections that may wait to be accepted. A full queue drops the opening packet, which
/// the caller's system resends only after a second.
pub(crate) const BACKLOG: u32 = 1_024;

/// The size of the buffer for what a connection receives, in bytes, of which the system takes twice as much. Without
/// it the buffer grows to megabytes: bytes that were sent to this process and are not read yet take its memory, too.
pub(crate) const RECEIVE_BYTES: u32 = 32 << 10;

/// How many bytes of a connection may wait in the system to be sent, beside those that are under way. Without it a caller
/// that reads nothing has megabytes kept. A bound of the whole buffer would leave less than two segments under way on
/// loopback, and each would wait for a delayed acknowledgement.
pub(crate) const UNSENT_BYTES: u32 = 16 << 10;
