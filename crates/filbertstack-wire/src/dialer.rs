//! Opens links on demand and reuses them.

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

/// The longest time that a connection may take: a few round trips between distant regions.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The time for which no connection is tried to an address that could not be reached.
///
/// Without the delay, every call to a dead instance would wait for its own connection timeout. With it,
/// only one call waits and the others fail at once as not run.
pub const RECONNECT_DELAY: Duration = Duration::from_millis(500);

#[derive(Debug, Default)]
struct Slot {
    link: Option<Link>,
    /// When the last attempt to connect failed; `None` after a success.
    failed_at: Option<Instant>,
}

/// The far end's address and the role in which a link is opened.
type Endpoint = (SocketAddr, Role);

/// Opens links on demand, one for each address and role, and reuses them.
pub struct Dialer {
    name: Arc<str>,
    keys: Keyring,
    handler: Arc<dyn Handler>,
    slots: Mutex<HashMap<Endpoint, Arc<Mutex<Slot>>>>,
}

impl std::fmt::Debug for Dialer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Dialer")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}

impl Dialer {
    /// Returns a dialer for the instance `name`; the far ends' calls go to `handler`.
    pub fn new(name: &str, keys: Keyring, handler: Arc<dyn Handler>) -> Self {
        Self {
            name: name.into(),
            keys,
            handler,
            slots: Mutex::default(),
        }
    }

    /// Returns the link to `addr`; opens one if there is none.
    ///
    /// # Errors
    /// [`WireError::Connect`] or [`WireError::Handshake`].
    pub fn link(&self, addr: SocketAddr, role: Role) -> Result<Link, WireError> {
        let slot = lock(&self.slots).entry((addr, role)).or_default().clone();
        let mut slot = lock(&slot);
        if let Some(link) = slot.link.as_ref().filter(|link| !link.is_closed()) {
            return Ok(link.clone());
        }
        if slot
            .failed_at
            .is_some_and(|at| at.elapsed() < RECONNECT_DELAY)
        {
            let source = std::io::Error::other("it could not be reached a moment ago");
            return Err(WireError::Connect { addr, source });
        }
        slot.link = None;
        match self.open(addr, role) {
            Ok(link) => {
                slot.failed_at = None;
                slot.link = Some(link.clone());
                Ok(link)
            }
            Err(error) => {
                slot.failed_at = Some(Instant::now());
                Err(error)
            }
        }
    }

    /// Makes a call with a single reply on the link to `addr`.
    ///
    /// # Errors
    /// Fails as [`Dialer::link`] and [`Link::ask`] do.
    pub fn ask(
        &self,
        addr: SocketAddr,
        role: Role,
        ask: Ask,
        timeout: Duration,
    ) -> Result<Tell, WireError> {
        self.link(addr, role)?.ask(ask, timeout)
    }

    /// Closes the links to addresses that `keep` rejects, and forgets these addresses.
    pub fn retain(&self, keep: impl Fn(SocketAddr) -> bool) {
        lock(&self.slots).retain(|(addr, _), slot| {
            if keep(*addr) {
                return true;
            }
            // A locked slot is being connected, so a caller still needs it.
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
        // No call is sent before the handshake ends, so an I/O error here means that none has run.
        let result = handshake::connect(socket, role, &self.name, key);
        let session = result.map_err(|error| match error {
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
