//! The connection for a request to a target: an idle one from the pool where that is safe, or a new one.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use spdlog::info;
use tokio::time::Instant;

use crate::client::CallFailure;
use crate::client::Connection;
use crate::request::Call;
use crate::request::Requests;
use crate::request::targets::Chosen;
use crate::request::targets::instance_of;

/// How long a connection to a target may take to open. Round trips take milliseconds, and a target behind
/// a network partition never answers.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// A pooled connection that breaks within this time after a request was written to it counts as closed by
/// the target while it was idle. Counted as a failure of the target, it would cost one of the request's
/// few attempts.
const STALE_WITHIN: Duration = Duration::from_millis(100);

/// A connection to a target.
pub struct Connected {
    /// The connection.
    pub connection: Connection,
    /// Whether it comes from the pool.
    pooled: bool,
    taken_at: Instant,
}

impl Connected {
    /// Takes an idle connection to `addr` from the pool, or opens a new one.
    ///
    /// A request that may run only once always gets a new connection. The target may have closed a pooled
    /// one without notice, or an answer to an earlier request may arrive first on it; in both cases it
    /// would be unknown whether this request ran.
    ///
    /// # Errors
    /// [`CallFailure::Connect`] if no connection can be opened; nothing was sent then.
    pub async fn to(
        requests: &Rc<Requests>,
        call: &Call,
        addr: SocketAddr,
    ) -> Result<Self, CallFailure> {
        let pooled = call.may_repeat().then(|| requests.pool.take(addr));
        if let Some(connection) = pooled.flatten() {
            return Ok(Self::new(connection, true));
        }
        let opened = Connection::open(addr, CONNECT_TIMEOUT.min(call.time_left())).await?;
        Ok(Self::new(opened, false))
    }

    fn new(connection: Connection, pooled: bool) -> Self {
        Self {
            connection,
            pooled,
            taken_at: Instant::now(),
        }
    }

    /// Returns until when a request that fails on this connection has probably met one that the target had closed while
    /// it was idle; `None` for a new connection.
    pub fn stale_until(&self) -> Option<Instant> {
        self.pooled.then(|| self.taken_at + STALE_WITHIN)
    }

    /// Returns whether the target had probably closed this connection while it was idle. It is called
    /// after a request on it has failed.
    pub fn was_closed(&self) -> bool {
        self.stale_until()
            .is_some_and(|until| Instant::now() < until)
    }

    /// Replaces the connection by a new one, which costs one repeated send of the budget. Returns whether
    /// that succeeded.
    pub async fn replace(&mut self, requests: &Rc<Requests>, call: &Call, chosen: &Chosen) -> bool {
        if !requests.spend(&call.service) {
            return false;
        }
        let max_wait = CONNECT_TIMEOUT.min(call.time_left());
        let Ok(opened) = Connection::open(chosen.addr, max_wait).await else {
            return false;
        };
        info!("pooled connection was closed by the target, sending on a new one", kv: {
            request = call.head.id(), target = instance_of(&chosen.id)
        });
        *self = Self::new(opened, false);
        true
    }
}
