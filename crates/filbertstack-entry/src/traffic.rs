//! The requests in progress: one [`Flow`] for the entry, and a channel to each waiting request.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use filbertstack_core::Millis;
use filbertstack_policy::admission::Refusal;
use filbertstack_policy::admission::TicketKey;
use filbertstack_policy::flow::Ended;
use filbertstack_policy::flow::Event;
use filbertstack_policy::flow::Flow;
use filbertstack_policy::flow::Offer;
use filbertstack_policy::flow::Settings;
use filbertstack_policy::flow::TICK;
use filbertstack_policy::retry::Outcome;
use filbertstack_policy::route::AttemptKey;
use filbertstack_policy::route::TargetKey;
use filbertstack_policy::target::LoadReport;
use filbertstack_wire::messages::Tell;
use slotmap::SecondaryMap;

use crate::members::Member;
use crate::table::Builder;
use crate::table::SharedTable;
use crate::view::View;

/// What happens to a request, as its thread hears it.
#[derive(Debug)]
pub enum Turn {
    /// Send it to the target.
    Send {
        /// This sending of it.
        attempt: AttemptKey,
        /// Where to.
        target: TargetKey,
    },
    /// It is refused.
    Refused(Refusal),
    /// It may have run, and can't be tried again in time.
    Unknown,
    /// A part of an attempt's answer.
    Part {
        /// The attempt.
        attempt: AttemptKey,
        /// The part.
        tell: Tell,
        /// Whether it is the last.
        last: bool,
    },
    /// An attempt ended without a whole answer.
    Failed {
        /// The attempt.
        attempt: AttemptKey,
        /// How.
        outcome: Outcome,
        /// Why, for the caller.
        text: String,
    },
}

struct State {
    flow: Flow,
    builder: Builder,
    table: SharedTable,
    waiting: SecondaryMap<TicketKey, Sender<Turn>>,
}

struct Shared {
    start: Instant,
    state: Mutex<State>,
    stopped: AtomicBool,
}

/// The requests in progress; clones share them.
#[derive(Clone)]
pub struct Traffic {
    shared: Arc<Shared>,
}

impl std::fmt::Debug for Traffic {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Traffic")
            .field("open", &self.open())
            .finish_non_exhaustive()
    }
}

/// One request; dropped before its end, it is cancelled.
#[derive(Debug)]
pub struct Ticket {
    traffic: Traffic,
    key: TicketKey,
    /// Passed to the threads of attempts.
    pub sender: Sender<Turn>,
    /// What happens to the request.
    pub turns: Receiver<Turn>,
}

impl Traffic {
    /// Traffic without targets.
    pub fn new(settings: Settings) -> Self {
        let state = State {
            flow: Flow::new(settings),
            builder: Builder::default(),
            table: SharedTable::default(),
            waiting: SecondaryMap::new(),
        };
        let shared = Arc::new(Shared {
            start: Instant::now(),
            state: Mutex::new(state),
            stopped: AtomicBool::new(false),
        });
        let polling = Arc::downgrade(&shared);
        thread::spawn(move || {
            while let Some(shared) = polling.upgrade() {
                if shared.stopped.load(Ordering::Relaxed) {
                    return;
                }
                shared.poll();
                drop(shared);
                thread::sleep(Duration::from(TICK));
            }
        });
        Self { shared }
    }

    /// The time since the start.
    pub fn now(&self) -> Millis {
        self.shared.now()
    }

    /// Follows the declarations and the targets.
    pub fn update(&self, view: &View, members: &[Member]) {
        let now = self.now();
        let mut state = self.shared.lock();
        let State {
            flow,
            builder,
            table,
            ..
        } = &mut *state;
        *table = Arc::new(builder.build(now, view, members, flow));
        drop(state);
        self.shared.poll();
    }

    /// Sets how many entries share the targets.
    pub fn set_entries(&self, entries: usize) {
        let sharers = u32::try_from(entries).unwrap_or(u32::MAX);
        self.shared.lock().flow.router_mut().set_sharers(sharers);
    }

    /// The table now.
    pub fn table(&self) -> SharedTable {
        self.shared.lock().table.clone()
    }

    /// The requests that have not ended.
    pub fn open(&self) -> usize {
        self.shared.lock().flow.open()
    }

    /// Takes a request in, or refuses it at once.
    ///
    /// # Errors
    /// The refusal: the request did not run and will not.
    pub fn offer(&self, offer: Offer) -> Result<Ticket, Refusal> {
        let (sender, turns) = channel();
        let now = self.now();
        let mut state = self.shared.lock();
        let key = state.flow.offer(now, offer)?;
        state.waiting.insert(key, sender.clone());
        drop(state);
        self.shared.poll();
        Ok(Ticket {
            traffic: self.clone(),
            key,
            sender,
            turns,
        })
    }

    /// Ends the thread that polls.
    pub fn stop(&self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
    }
}

impl Ticket {
    /// Learns from what a target says of its load.
    pub fn observe_load(&self, target: TargetKey, report: LoadReport) {
        let now = self.traffic.now();
        let mut state = self.traffic.shared.lock();
        state.flow.router_mut().observe_load(now, target, report);
    }

    /// Notes that an attempt's answer has begun; the attempts returned are to be withdrawn.
    pub fn first_token(&self, attempt: AttemptKey) -> Vec<AttemptKey> {
        let now = self.traffic.now();
        self.traffic.shared.lock().flow.first_token(now, attempt)
    }

    /// Ends an attempt, and says what that means for the request.
    pub fn finish(&self, attempt: AttemptKey, outcome: Outcome) -> Ended {
        let now = self.traffic.now();
        let ended = self
            .traffic
            .shared
            .lock()
            .flow
            .finish(now, attempt, outcome);
        self.traffic.shared.poll();
        ended
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let now = self.traffic.now();
        let mut state = self.traffic.shared.lock();
        state.waiting.remove(self.key);
        // Nothing to cancel after the request's end.
        state.flow.cancel(now, self.key);
        drop(state);
        self.traffic.shared.poll();
    }
}

impl Shared {
    fn now(&self) -> Millis {
        self.start.elapsed().into()
    }

    fn poll(&self) {
        let now = self.now();
        let mut state = self.lock();
        for event in state.flow.poll(now) {
            let (ticket, turn) = match event {
                Event::Send {
                    ticket,
                    attempt,
                    target,
                } => (ticket, Turn::Send { attempt, target }),
                Event::Refuse { ticket, refusal } => (ticket, Turn::Refused(refusal)),
                Event::Unknown { ticket } => (ticket, Turn::Unknown),
            };
            if let Some(sender) = state.waiting.get(ticket) {
                // A request whose thread is gone has cancelled itself.
                let _ = sender.send(turn);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
