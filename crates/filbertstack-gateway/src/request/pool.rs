//! A pool of idle connections to targets.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::client::Connection;

/// How long an idle connection is kept if its target names no limit. Targets close idle connections
/// without notice, and a request sent on a closed one is lost. Few targets close them sooner than this.
const DEFAULT_KEEP: Duration = Duration::from_secs(4);

/// How long an idle connection is kept at most, whatever its target names: much longer than targets keep one.
const MAX_KEEP: Duration = Duration::from_secs(300);

/// How long before the target's own limit an idle connection is discarded, so that a request still
/// reaches the target in time.
const KEEP_MARGIN: Duration = Duration::from_millis(500);

/// The most idle connections to one target. It is low because all entries share the target's slots.
const MAX_IDLE: usize = 8;

struct Idle {
    connection: Connection,
    until: Instant,
}

/// The idle connections, by the address of their target.
#[derive(Default)]
pub struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
}

impl Pool {
    /// Takes the idle connection to `addr` that was used last and can carry a request.
    pub fn take(&self, addr: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&addr)?;
        let now = Instant::now();
        connections.retain(|idle| idle.until > now && idle.connection.is_ready());
        connections.pop().map(|idle| idle.connection)
    }

    /// Keeps a connection for as long as its target allows, or for the default time if it names no limit.
    pub fn put(&self, addr: SocketAddr, connection: Connection, allowed: Option<Duration>) {
        let keep = allowed.map_or(DEFAULT_KEEP, |allowed| allowed.saturating_sub(KEEP_MARGIN));
        let keep = keep.min(MAX_KEEP);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(addr).or_default();
        if connections.len() < MAX_IDLE && !keep.is_zero() {
            let until = Instant::now() + keep;
            connections.push(Idle { connection, until });
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn prune_idle(&self) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, connections| {
            connections.retain(|idle| idle.until > now);
            !connections.is_empty()
        });
    }
}
