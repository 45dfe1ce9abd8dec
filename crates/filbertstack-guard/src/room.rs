//! The memory that bodies of requests share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use filbertstack_core::Millis;
use filbertstack_policy::intake::Arrival;
use filbertstack_policy::intake::Intake;
use filbertstack_policy::intake::MessageKey;
use filbertstack_policy::intake::NoRoom;
use slotmap::SecondaryMap;

use crate::Guard;

/// The memory for bodies of requests.
#[derive(Debug)]
pub struct Room {
    started: Instant,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    intake: Intake,
    /// Where the bodies come from.
    remotes: SecondaryMap<MessageKey, SocketAddr>,
}

impl Room {
    /// Creates a room of `bytes`.
    pub(crate) fn new(bytes: usize) -> Arc<Self> {
        Arc::new(Self {
            started: Instant::now(),
            state: Mutex::new(State {
                intake: Intake::new(bytes),
                remotes: SecondaryMap::new(),
            }),
        })
    }

    /// Begins a body that arrives from `remote`.
    pub fn begin(self: &Arc<Self>, remote: Option<SocketAddr>) -> Share {
        let now = self.now();
        let mut state = self.lock();
        let key = state.intake.begin(now);
        if let Some(remote) = remote {
            state.remotes.insert(key, remote);
        }
        drop(state);
        Share {
            room: self.clone(),
            key,
        }
    }

    fn now(&self) -> Millis {
        self.started.elapsed().into()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What one body takes of a room. Dropping it gives that back.
#[derive(Debug)]
pub struct Share {
    room: Arc<Room>,
    key: MessageKey,
}

impl Share {
    /// Lets the body keep `held` bytes. Other bodies may lose their room for it, and `guard` ends them where they are. A
    /// whole body keeps its room.
    ///
    /// # Errors
    /// [`NoRoom`] if there is none, or if the body has lost its room.
    pub fn keep(&self, guard: &Guard, held: usize, arrival: Arrival) -> Result<(), NoRoom> {
        let now = self.room.now();
        let mut state = self.room.lock();
        let losers = state.intake.keep(self.key, held, arrival, now)?;
        let lost = losers
            .iter()
            .filter_map(|loser| state.remotes.remove(*loser));
        let lost: Vec<SocketAddr> = lost.collect();
        drop(state);
        for remote in lost {
            guard.end_body(Some(&remote));
        }
        Ok(())
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        let mut state = self.room.lock();
        state.intake.end(self.key);
        state.remotes.remove(self.key);
    }
}
