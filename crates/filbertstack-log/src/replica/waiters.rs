//! The callers that wait for the results of their requests.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::mpsc::SyncSender;

use bytes::Bytes;

use crate::ids::NodeId;
use crate::ids::Position;
use crate::membership::Change;
use crate::membership::Member;
use crate::node::Ticket;
use crate::replica::Applied;
use crate::replica::ProposeError;
use crate::replica::UnknownReason;

/// The channel on which a caller receives its answer.
pub(super) type Reply<T> = SyncSender<Result<T, ProposeError>>;

/// Settles the race between a caller that gives up and the thread that handles its request. A
/// request given up before it is handled is certain not to run.
#[derive(Clone, Debug, Default)]
pub(super) struct Claim(Arc<AtomicBool>);

impl Claim {
    /// Takes the claim; returns true for the first of the two.
    pub(super) fn take(&self) -> bool {
        !self.0.swap(true, Ordering::AcqRel)
    }
}

/// A request of a caller.
pub(super) struct Request<T> {
    pub(super) claim: Claim,
    pub(super) operation: Operation<T>,
}

/// The operation that a caller requests.
pub(super) enum Operation<T> {
    Propose {
        command: Bytes,
        reply: Reply<Applied<T>>,
    },
    Read {
        reply: Reply<u64>,
    },
    Change {
        change: Change,
        reply: Reply<u64>,
    },
    Transfer {
        to: Option<NodeId>,
        reply: Reply<()>,
    },
    Backup {
        reply: Reply<Bytes>,
    },
    Create {
        member: Member,
        voter_count: u32,
        state: Option<Bytes>,
        reply: Reply<()>,
    },
}

/// A waiting caller.
pub(super) enum Waiter<T> {
    Command(Reply<Applied<T>>),
    Index(Reply<u64>),
    Done(Reply<()>),
}

impl<T> Waiter<T> {
    pub(super) fn fail(self, error: ProposeError) {
        // The caller may have left; it then needs no answer.
        let _ = match self {
            Self::Command(reply) => reply.try_send(Err(error)).is_ok(),
            Self::Index(reply) => reply.try_send(Err(error)).is_ok(),
            Self::Done(reply) => reply.try_send(Err(error)).is_ok(),
        };
    }
}

/// Holds all waiting callers.
pub(super) struct Waiters<T> {
    next: u64,
    registered: HashMap<Ticket, Waiter<T>>,
    appended: BTreeMap<u64, (u64, Waiter<T>)>,
    reads: BTreeMap<(u64, Ticket), Reply<u64>>,
    creating: Vec<Reply<()>>,
}

impl<T> Default for Waiters<T> {
    fn default() -> Self {
        Self {
            next: 0,
            registered: HashMap::new(),
            appended: BTreeMap::new(),
            reads: BTreeMap::new(),
            creating: Vec::new(),
        }
    }
}

impl<T> Waiters<T> {
    pub(super) fn register(&mut self, waiter: Waiter<T>) -> Ticket {
        self.next += 1;
        let ticket = Ticket(self.next);
        self.registered.insert(ticket, waiter);
        ticket
    }

    pub(super) fn refuse(&mut self, ticket: Ticket, error: ProposeError) {
        if let Some(waiter) = self.registered.remove(&ticket) {
            waiter.fail(error);
        }
    }

    pub(super) fn appended(&mut self, ticket: Ticket, place: Position) {
        if let Some(waiter) = self.registered.remove(&ticket) {
            self.appended.insert(place.index, (place.term, waiter));
        }
    }

    pub(super) fn readable(&mut self, ticket: Ticket, index: u64) {
        if let Some(Waiter::Index(reply)) = self.registered.remove(&ticket) {
            self.reads.insert((index, ticket), reply);
        }
    }

    pub(super) fn done(&mut self, ticket: Ticket) {
        if let Some(Waiter::Done(reply)) = self.registered.remove(&ticket) {
            let _ = reply.try_send(Ok(()));
        }
    }

    pub(super) fn creating(&mut self, ticket: Ticket) {
        if let Some(Waiter::Done(reply)) = self.registered.remove(&ticket) {
            self.creating.push(reply);
        }
    }

    pub(super) fn finish_creation(&mut self) {
        for reply in self.creating.drain(..) {
            let _ = reply.try_send(Ok(()));
        }
    }

    /// Answers the caller whose entry was appended at `place`, once an entry is applied there;
    /// `outcome` is set if that entry is a command.
    pub(super) fn applied(&mut self, place: Position, outcome: Option<T>) {
        let Some((term, waiter)) = self.appended.remove(&place.index) else {
            return;
        };
        let index = place.index;
        match (waiter, outcome) {
            (waiter, _) if term != place.term => waiter.fail(ProposeError::Replaced),
            (Waiter::Command(reply), Some(outcome)) => {
                let _ = reply.try_send(Ok(Applied { index, outcome }));
            }
            (Waiter::Index(reply), _) => {
                let _ = reply.try_send(Ok(index));
            }
            (waiter, _) => waiter.fail(ProposeError::Unknown(UnknownReason::LeaderLost)),
        }
    }

    /// Answers the reads that waited for an index up to `index`.
    pub(super) fn finish_reads(&mut self, index: u64) {
        while let Some(first) = self.reads.first_entry() {
            if first.key().0 > index {
                return;
            }
            let (at, _) = *first.key();
            let _ = first.remove().try_send(Ok(at));
        }
    }

    /// Answers callers whose entries were appended: the replica lost the leadership, and another
    /// leader may or may not commit them.
    pub(super) fn fail_appended(&mut self) {
        for (_, waiter) in std::mem::take(&mut self.appended).into_values() {
            waiter.fail(ProposeError::Unknown(UnknownReason::LeaderLost));
        }
    }

    pub(super) fn fail_all(&mut self) {
        let registered = std::mem::take(&mut self.registered).into_values();
        let appended = std::mem::take(&mut self.appended).into_values();
        for waiter in registered.chain(appended.map(|(_, w)| w)) {
            waiter.fail(ProposeError::Unknown(UnknownReason::Stopped));
        }
        for reply in std::mem::take(&mut self.reads).into_values() {
            let _ = reply.try_send(Err(ProposeError::Unknown(UnknownReason::Stopped)));
        }
        for reply in self.creating.drain(..) {
            let _ = reply.try_send(Err(ProposeError::Unknown(UnknownReason::Stopped)));
        }
    }
}
