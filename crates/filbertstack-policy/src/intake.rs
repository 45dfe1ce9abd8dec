//! This module decides who may keep bytes that others send, and who loses them again.
//!
//! *Load pattern*: a crowd sends many bodies of the full legal length at once, and most of them stop just short of
//! their end. Each is within its own limits of bytes and time; together they are many times the memory of the
//! instance. Without a bound on the sum the process runs out of memory, and all its callers lose their answers. With
//! a bound alone, the crowd holds the room until its deadlines, and comes back.
//!
//! The room is shared by two kinds of messages. Most requests are short: they have a part of their own, so that long
//! ones can't take it. When a part is full, room is made by those whose next bytes are overdue, the longest overdue
//! first. What has arrived before does not count: most of a crowd sends all but the last byte and stops. A crowd that
//! comes back at once would still take the room again each time, so that a message that is whole goes before all that
//! still arrive: it can be served now. It keeps its room until it is answered, as it may run already. Who finds no
//! room is refused as not run.
//!
//! Decisions depend only on what is passed in. They use no clock, network or thread.

use filbertstack_core::Millis;
use slotmap::SlotMap;
use slotmap::new_key_type;

/// The longest message that uses the part for short ones, in bytes: many times a usual prompt.
pub const SHORT_BYTES: usize = 64 << 10;

/// The least rate at which the bytes of a message come, in bytes a millisecond. The longest body of 4 MiB arrives
/// within a minute, which is beyond the time that routes give it.
const MIN_RATE: u64 = 64;

/// The longest pause before the next bytes of a message are overdue: some round trips between regions.
const MAX_PAUSE: Millis = Millis(250);

/// The part of the room that is for short messages: 1 / `SHORT_DIVISOR`.
const SHORT_DIVISOR: usize = 4;

/// How much of a part may belong to messages that have lost it and still have their memory, as their receivers have
/// not run since: 1 / `LEAVING_DIVISOR`. It comes on top of the part.
const LEAVING_DIVISOR: usize = 4;

new_key_type! {
    /// Names one message among those that are kept.
    pub struct MessageKey;
}

/// There is no room for more bytes of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoRoom;

/// The memory for what one listener receives.
#[derive(Debug)]
pub struct Intake {
    short: Part,
    long: Part,
    messages: SlotMap<MessageKey, Message>,
}

/// A part of the room, in bytes.
#[derive(Clone, Copy, Debug)]
struct Part {
    held: usize,
    /// What messages have that have lost it.
    leaving: usize,
    limit: usize,
}

impl Part {
    /// Returns how many bytes others must free so that a message that keeps `own` of them can keep `held`. One that is
    /// alone keeps what its own limit allows.
    fn lacking(&self, own: usize, held: usize) -> usize {
        let others = self.held - own;
        others.min((others + held).saturating_sub(self.limit))
    }
}

#[derive(Debug)]
struct Message {
    /// The memory that it takes, in bytes.
    held: usize,
    /// How many of its bytes have arrived.
    received: usize,
    /// When its next bytes are due.
    due: Millis,
    is_whole: bool,
    /// Whether it has lost its room.
    is_lost: bool,
}

impl Message {
    fn is_short(&self) -> bool {
        self.held <= SHORT_BYTES
    }

    fn receive(&mut self, received: usize, now: Millis) {
        let bytes = received.saturating_sub(self.received) as u64;
        self.received = self.received.max(received);
        self.due = (self.due + Millis(bytes / MIN_RATE)).min(now + MAX_PAUSE);
    }
}

/// How far a message has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// So many of its bytes have arrived, and more may come.
    Part(usize),
    /// It has arrived whole.
    Whole,
}

impl Intake {
    /// Creates a room of `bytes` in all.
    pub fn new(bytes: usize) -> Self {
        let short = bytes / SHORT_DIVISOR;
        let part = |limit| Part {
            held: 0,
            leaving: 0,
            limit,
        };
        Self {
            short: part(short),
            long: part(bytes - short),
            messages: SlotMap::with_key(),
        }
    }

    /// Returns how many bytes are kept.
    pub fn held(&self) -> usize {
        self.short.held + self.short.leaving + self.long.held + self.long.leaving
    }

    /// Begins a message that keeps nothing yet.
    pub fn begin(&mut self, now: Millis) -> MessageKey {
        self.messages.insert(Message {
            held: 0,
            received: 0,
            due: now + MAX_PAUSE,
            is_whole: false,
            is_lost: false,
        })
    }

    /// Lets a message keep `held` bytes in all, and returns the messages that lose their room for it, which their
    /// receivers have to end. A whole message keeps its room until it ends.
    ///
    /// # Errors
    /// [`NoRoom`] if there is none; the message then keeps what it had. One that has lost its room gets none.
    pub fn keep(
        &mut self,
        key: MessageKey,
        held: usize,
        arrival: Arrival,
        now: Millis,
    ) -> Result<Vec<MessageKey>, NoRoom> {
        let message = self.messages.get_mut(key).filter(|m| !m.is_lost);
        let message = message.ok_or(NoRoom)?;
        match arrival {
            Arrival::Part(received) => message.receive(received, now),
            Arrival::Whole => message.is_whole = true,
        }
        let before = message.held;
        let was_short = message.is_short();
        let is_short = held <= SHORT_BYTES;
        let own = if was_short == is_short { before } else { 0 };
        let lacking = if held > own {
            self.part(is_short).lacking(own, held)
        } else {
            0
        };
        let losers = self.losers(lacking, is_short, key, now)?;
        for loser in &losers {
            let message = &mut self.messages[*loser];
            message.is_lost = true;
            let bytes = message.held;
            let part = self.part(is_short);
            part.held -= bytes;
            part.leaving += bytes;
        }
        self.part(was_short).held -= before;
        self.part(is_short).held += held;
        self.messages[key].held = held;
        Ok(losers)
    }

    /// Ends a message, which keeps nothing any more. Does nothing if it has ended.
    pub fn end(&mut self, key: MessageKey) {
        let Some(message) = self.messages.remove(key) else {
            return;
        };
        let part = self.part(message.is_short());
        if message.is_lost {
            part.leaving -= message.held;
        } else {
            part.held -= message.held;
        }
    }

    fn part(&mut self, is_short: bool) -> &mut Part {
        if is_short {
            &mut self.short
        } else {
            &mut self.long
        }
    }

    /// Returns the messages that lose their room so that `bytes` become free.
    fn losers(
        &self,
        bytes: usize,
        is_short: bool,
        keeper: MessageKey,
        now: Millis,
    ) -> Result<Vec<MessageKey>, NoRoom> {
        if bytes == 0 {
            return Ok(Vec::new());
        }
        let is_whole = self.messages[keeper].is_whole;
        let others = self.messages.iter();
        let others = others.filter(|(key, m)| *key != keeper && m.is_short() == is_short);
        let mut yielding: Vec<_> = others
            .filter(|(_, m)| !m.is_whole && !m.is_lost && m.held > 0)
            .filter(|(_, m)| is_whole || m.due < now)
            .collect();
        yielding.sort_by_key(|(_, message)| message.due);
        let part = if is_short { self.short } else { self.long };
        let most_leaving = part.limit / LEAVING_DIVISOR;
        let mut freed = 0;
        let mut losers = Vec::new();
        for (key, message) in yielding {
            if freed >= bytes {
                break;
            }
            freed += message.held;
            losers.push(key);
        }
        if freed >= bytes && part.leaving + freed <= most_leaving {
            Ok(losers)
        } else {
            Err(NoRoom)
        }
    }
}
