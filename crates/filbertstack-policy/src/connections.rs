//! This module decides how the descriptors of a process are shared by its listeners, and which connection of a full
//! listener is closed for a new one.
//!
//! *Load pattern*: a crowd opens connections and holds them: it sends nothing, or heads and bodies that stop short
//! of their end. Without shares, one listener takes the descriptors of all; then heartbeats, links between
//! processes and calls to targets fail, and the whole process is lost for its callers. Without a rule that closes
//! connections, the crowd holds the listener for as long as its timeouts last, and ordinary callers wait behind it.
//!
//! A connection costs its holder little, so that the age of what it waits for decides. First those are closed that
//! have never sent a whole head, then idle ones, whose callers connect again, then those whose body has been
//! arriving for long. A connection whose request runs is never closed for another.
//!
//! Decisions depend only on what is passed in. They use no clock, network or thread.

use filbertstack_core::Millis;
use slotmap::SlotMap;
use slotmap::new_key_type;

/// How long a connection may take to send its first head, or a body, before others go first. It covers some round
/// trips between regions.
const PATIENCE: Millis = Millis::secs(1);

/// The least share of a listener.
const MIN_SHARE: usize = 4;

/// The memory that a connection takes in a crowd that reads no answers, in bytes: its buffers in the system and in the
/// process.
pub const CONNECTION_BYTES: usize = 64 << 10;

/// The same for a link, whose frames are read as they come and have a room of their own.
pub const LINK_BYTES: usize = 16 << 10;

/// The unit in which connections share the memory of a process: 1 / `MEMORY_PARTS`. They get 26 of these parts together.
/// The others are for what clients send, and for the process itself.
const MEMORY_PARTS: usize = 64;

/// The most connections of each listener of a process.
///
/// The shares add up to 72% of the descriptors. The others are left for connections to targets, links to other
/// processes and files: as many as callers may have requests in progress. Where there are many descriptors for little
/// memory, the memory decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shares {
    /// For callers.
    pub callers: usize,
    /// For links of other processes: agents and entries keep one each.
    pub links: usize,
    /// For operators and heartbeats.
    pub control: usize,
    /// For callers that look up entries.
    pub directory: usize,
    /// For readiness checks.
    pub ready: usize,
    /// For readers of metrics.
    pub metrics: usize,
}

impl Shares {
    /// Shares `descriptors` among the listeners of a process that may use `memory` bytes.
    pub fn new(descriptors: usize, memory: usize) -> Self {
        let share = |percent: usize, parts: usize, bytes: usize| {
            let share = descriptors * percent / 100;
            let most = memory / MEMORY_PARTS * parts / bytes;
            share.min(most).max(MIN_SHARE)
        };
        Self {
            callers: share(25, 12, CONNECTION_BYTES),
            links: share(30, 4, LINK_BYTES),
            control: share(8, 4, CONNECTION_BYTES),
            directory: share(5, 4, CONNECTION_BYTES),
            ready: share(2, 1, CONNECTION_BYTES),
            metrics: share(2, 1, CONNECTION_BYTES),
        }
    }
}

new_key_type! {
    /// Names one connection of a listener.
    pub struct ConnectionKey;
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It has sent no whole head.
    New,
    /// It has sent a head, and the body arrives.
    Receiving,
    /// Its request runs, or its answer is sent.
    Busy,
    /// It waits for the next request.
    Idle,
}

/// A new connection, and the one that is closed for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admitted {
    /// The new connection.
    pub key: ConnectionKey,
    /// The connection to close, which counts as closed.
    pub closes: Option<ConnectionKey>,
}

/// The connections of one listener.
#[derive(Debug)]
pub struct Connections {
    limit: usize,
    open: SlotMap<ConnectionKey, Connection>,
}

#[derive(Debug)]
struct Connection {
    phase: Phase,
    since: Millis,
}

impl Connection {
    /// Returns its place in the order in which connections are closed; `None` if it stays open.
    fn rank(&self, now: Millis) -> Option<u8> {
        let is_late = now.since(self.since) >= PATIENCE;
        match self.phase {
            Phase::New if is_late => Some(0),
            Phase::Idle => Some(1),
            Phase::Receiving if is_late => Some(2),
            Phase::New => Some(3),
            Phase::Receiving | Phase::Busy => None,
        }
    }
}

impl Connections {
    /// Creates the connections of a listener that may have `limit` open.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            open: SlotMap::with_key(),
        }
    }

    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.open.len()
    }

    /// Adds a connection that was accepted; `None` if it is to be closed, as all others have requests that run.
    pub fn admit(&mut self, now: Millis) -> Option<Admitted> {
        let closes = if self.open.len() < self.limit {
            None
        } else {
            Some(self.first_to_close(now)?)
        };
        if let Some(key) = closes {
            self.open.remove(key);
        }
        let key = self.open.insert(Connection {
            phase: Phase::New,
            since: now,
        });
        Some(Admitted { key, closes })
    }

    /// Records what a connection does from now on.
    pub fn enter(&mut self, key: ConnectionKey, phase: Phase, now: Millis) {
        if let Some(connection) = self.open.get_mut(key) {
            *connection = Connection { phase, since: now };
        }
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, key: ConnectionKey) {
        self.open.remove(key);
    }

    fn first_to_close(&self, now: Millis) -> Option<ConnectionKey> {
        let ranked = self.open.iter();
        let ranked = ranked.filter_map(|(key, c)| Some((c.rank(now)?, c.since, key)));
        ranked.min().map(|(_, _, key)| key)
    }
}
