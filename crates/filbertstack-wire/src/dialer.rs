//! Opens links on demand and keeps them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use crate::error::WireError;
use crate::handshake;
use crate::keys::Keyring;
use crate::keys::Role;
use crate::link::Handler;
use crate::link::Link;
use crate::messages::Ask;
use crate::messages::Tell;

/// How long a connection may take: a few round trips between far regions.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long an address that could not be reached is left alone.
///
/// Without it every call to a dead instance waits for its own connection timeout; with it only one
/// does, and the others learn at once that the call was not run.
pub const COOL_DOWN: Duration = Duration::from_millis(500);

#[derive(Debug, Default)]
struct Slot {
    link: Option<Link>,
    failed: Option<Instant>,
}

/// Where a link leads, and in which role.
type Place = (SocketAddr, Role);

/// Opens links on demand, one an address and role, and keeps them.
pub struct Dialer {
    name: Arc<str>,
    keys: Keyring,
    handler: Arc<dyn Handler>,
    slots: Mutex<HashMap<Place, Arc<Mutex<Slot>>>>,
}

impl std::fmt::Debug for Dialer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Dialer")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}

impl Dialer {
    /// A dialer for the instance `name`; calls of the far ends go to `handler`.
    pub fn new(name: &str, keys: Keyring, handler: Arc<dyn Handler>) -> Self {
        Self {
            name: name.into(),
            keys,
            handler,
            slots: Mutex::default(),
        }
    }

    /// The link to `addr`, opened if there is none.
    ///
    /// # Errors
    /// [`WireError::Connect`] or [`WireError::Handshake`].
    pub fn link(&self, addr: SocketAddr, role: Role) -> Result<Link, WireError> {
        let slot = lock(&self.slots).entry((addr, role)).or_default().clone();
        let mut slot = lock(&slot);
        if let Some(link) = slot.link.as_ref().filter(|link| !link.is_closed()) {
            return Ok(link.clone());
        }
        if slot.failed.is_some_and(|at| at.elapsed() < COOL_DOWN) {
            let source = std::io::Error::other("it could not be reached a moment ago");
            return Err(WireError::Connect { addr, source });
        }
        slot.link = None;
        match self.open(addr, role) {
            Ok(link) => {
                slot.failed = None;
                slot.link = Some(link.clone());
                Ok(link)
            }
            Err(error) => {
                slot.failed = Some(Instant::now());
                Err(error)
            }
        }
    }

    /// Makes a call that has one reply on the link to `addr`.
    ///
    /// # Errors
    /// As [`Dialer::link`] and [`Link::ask`].
    pub fn ask(
        &self,
        addr: SocketAddr,
        role: Role,
        ask: Ask,
        timeout: Duration,
    ) -> Result<Tell, WireError> {
        self.link(addr, role)?.ask(ask, timeout)
    }

    /// Closes links that lead nowhere any more, and forgets their addresses.
    pub fn retain(&self, keep: impl Fn(SocketAddr) -> bool) {
        lock(&self.slots).retain(|(addr, _), slot| {
            if keep(*addr) {
                return true;
            }
            // A slot that is locked is being connected, so that someone still wants it.
            let Ok(slot) = slot.try_lock() else {
                return true;
            };
            if let Some(link) = &slot.link {
                link.close();
            }
            false
        });
    }

    /// Closes every link.
    pub fn close(&self) {
        self.retain(|_| false);
    }

    fn open(&self, addr: SocketAddr, role: Role) -> Result<Link, WireError> {
        let key = self
            .keys
            .get(role)
            .ok_or(WireError::Handshake("this process lacks its key"))?;
        let connected = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT);
        let socket = connected.map_err(|source| WireError::Connect { addr, source })?;
        // No call is sent before the link stands: whatever ends it here, none has run.
        let greeted = handshake::connect(socket, role, &self.name, key);
        let session = greeted.map_err(|error| match error {
            WireError::Io(source) => WireError::Connect { addr, source },
            error => error,
        })?;
        Link::start(session, self.handler.clone())
    }
}

impl Drop for Dialer {
    fn drop(&mut self) {
        self.close();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
