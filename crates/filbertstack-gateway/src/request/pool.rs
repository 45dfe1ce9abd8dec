//! Kept connections to targets.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::client::Connection;

/// How long a connection is kept that its target says nothing of. Targets drop idle connections
/// without a word, and what is sent next on one is lost: few keep them for less than this.
const KEPT: Duration = Duration::from_secs(4);

/// What a kept connection's use must come before the target's own limit: the way there.
const MARGIN: Duration = Duration::from_millis(500);

/// The most idle connections to one target: its slots are shared by all entries.
const MOST: usize = 8;

struct Idle {
    connection: Connection,
    until: Instant,
}

/// Idle connections by address.
#[derive(Default)]
pub struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
}

impl Pool {
    /// A kept connection to `addr` that can take a request, the one used last.
    pub fn take(&self, addr: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&addr)?;
        let now = Instant::now();
        kept.retain(|idle| idle.until > now && idle.connection.is_ready());
        kept.pop().map(|idle| idle.connection)
    }

    /// Keeps a connection for as long as its target said, or else as is usual.
    pub fn put(&self, addr: SocketAddr, connection: Connection, said: Option<Duration>) {
        let span = said.map_or(KEPT, |said| said.saturating_sub(MARGIN));
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(addr).or_default();
        if kept.len() < MOST && !span.is_zero() {
            let until = Instant::now() + span;
            kept.push(Idle { connection, until });
        }
    }

    /// Closes what has been idle for too long.
    pub fn prune_idle(&self) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, kept| {
            kept.retain(|idle| idle.until > now);
            !kept.is_empty()
        });
    }
}
