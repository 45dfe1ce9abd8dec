//! The memory that a listener shares among those who send to it.

use std::cell::RefCell;
use std::rc::Rc;

use filbertstack_policy::intake::Arrival;
use filbertstack_policy::intake::Intake;
use filbertstack_policy::intake::MessageKey;
use filbertstack_policy::intake::NoRoom;
use slotmap::SecondaryMap;
use tokio::sync::Notify;

use crate::clock::Clock;

/// The memory for what one listener receives. Clones share it.
#[derive(Clone, Debug)]
pub struct Room(Rc<State>);

#[derive(Debug)]
struct State {
    clock: Clock,
    intake: RefCell<Intake>,
    /// Tells the receivers of messages that they have lost their room.
    losses: RefCell<SecondaryMap<MessageKey, Rc<Notify>>>,
}

impl Room {
    /// Creates a room of `bytes`.
    pub fn new(bytes: usize, clock: Clock) -> Self {
        Self(Rc::new(State {
            clock,
            intake: RefCell::new(Intake::new(bytes)),
            losses: RefCell::default(),
        }))
    }

    /// Begins a message that is received now.
    pub fn begin(&self) -> Share {
        self.begin_for(&Rc::new(Notify::new()))
    }

    /// Does the same, and notifies `loss` if the message loses its room.
    pub fn begin_for(&self, loss: &Rc<Notify>) -> Share {
        let key = self.0.intake.borrow_mut().begin(self.0.clock.now());
        self.0.losses.borrow_mut().insert(key, loss.clone());
        Share {
            room: self.clone(),
            key,
            loss: loss.clone(),
        }
    }
}

/// What one message takes of a room. Dropping it gives that back.
#[derive(Debug)]
pub struct Share {
    room: Room,
    key: MessageKey,
    loss: Rc<Notify>,
}

impl Share {
    /// Lets the message keep `held` bytes. Other messages may lose their room for it. A whole message keeps its own.
    ///
    /// # Errors
    /// [`NoRoom`] if there is none.
    pub fn keep(&self, held: usize, arrival: Arrival) -> Result<(), NoRoom> {
        let state = &self.room.0;
        let now = state.clock.now();
        let losers = state
            .intake
            .borrow_mut()
            .keep(self.key, held, arrival, now)?;
        let losses = state.losses.borrow();
        for loss in losers.iter().filter_map(|loser| losses.get(*loser)) {
            loss.notify_one();
        }
        Ok(())
    }

    /// Waits until the message loses its room.
    pub async fn lost(&self) {
        self.loss.notified().await;
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.room.0.intake.borrow_mut().end(self.key);
        self.room.0.losses.borrow_mut().remove(self.key);
    }
}
