//! The requests in progress: one [`Flow`] for the entry, and a channel to the thread of each request.

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
use filbertstack_policy::flow::POLL_INTERVAL;
use filbertstack_policy::flow::Settings;
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

/// An event of a request, sent to the thread that serves it.
#[derive(Debug)]
pub enum RequestEvent {
    /// The request is to be sent to the target.
    Send {
        /// The key of the new attempt.
        attempt: AttemptKey,
        /// The target.
        target: TargetKey,
    },
    /// The request is refused.
    Refused(Refusal),
    /// The request may have run, and cannot be tried again in time.
    Unknown,
    /// A part of an attempt's answer has arrived.
    Part {
        /// The attempt.
        attempt: AttemptKey,
        /// The message with the part.
        reply: Tell,
        /// Whether it is the last part.
        is_last: bool,
    },
    /// An attempt ended without a complete answer.
    Failed {
        /// The attempt.
        attempt: AttemptKey,
        /// What is known of whether the request ran.
        outcome: Outcome,
        /// The reason, as text for the caller.
        text: String,
    },
}

struct State {
    flow: Flow,
    builder: Builder,
    table: SharedTable,
    senders: SecondaryMap<TicketKey, Sender<RequestEvent>>,
}

struct Shared {
    start: Instant,
    state: Mutex<State>,
    stopped: AtomicBool,
}

/// The requests in progress. Clones share the same state.
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

/// A request in progress. Dropping the ticket before the request has ended cancels the request.
#[derive(Debug)]
pub struct Ticket {
    traffic: Traffic,
    key: TicketKey,
    /// The sending end of `events`, for the threads of attempts.
    pub sender: Sender<RequestEvent>,
    /// The events of the request.
    pub events: Receiver<RequestEvent>,
}

impl Traffic {
    /// Creates the state without targets, and starts the thread that polls the flow.
    pub fn new(settings: Settings) -> Self {
        let state = State {
            flow: Flow::new(settings),
            builder: Builder::default(),
            table: SharedTable::default(),
            senders: SecondaryMap::new(),
        };
        let shared = Arc::new(Shared {
            start: Instant::now(),
            state: Mutex::new(state),
            stopped: AtomicBool::new(false),
        });
        let weak = Arc::downgrade(&shared);
        thread::spawn(move || {
            while let Some(shared) = weak.upgrade() {
                if shared.stopped.load(Ordering::Relaxed) {
                    return;
                }
                shared.poll();
                drop(shared);
                thread::sleep(Duration::from(POLL_INTERVAL));
            }
        });
        Self { shared }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Millis {
        self.shared.now()
    }

    /// Updates the routing table and the flow to the declarations in `view` and the targets in `members`.
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

    /// Returns the current routing table.
    pub fn table(&self) -> SharedTable {
        self.shared.lock().table.clone()
    }

    /// Returns the number of requests that have not ended.
    pub fn open(&self) -> usize {
        self.shared.lock().flow.open_count()
    }

    /// Admits a request, or refuses it at once.
    ///
    /// # Errors
    /// Returns the refusal; the request did not run and will not run.
    pub fn offer(&self, offer: Offer) -> Result<Ticket, Refusal> {
        let (sender, events) = channel();
        let now = self.now();
        let mut state = self.shared.lock();
        let key = state.flow.offer(now, offer)?;
        state.senders.insert(key, sender.clone());
        drop(state);
        self.shared.poll();
        Ok(Ticket {
            traffic: self.clone(),
            key,
            sender,
            events,
        })
    }

    /// Stops the thread that polls the flow.
    pub fn stop(&self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
    }
}

impl Ticket {
    /// Records the load that a target reported.
    pub fn observe_load(&self, target: TargetKey, report: LoadReport) {
        let now = self.traffic.now();
        let mut state = self.traffic.shared.lock();
        state.flow.router_mut().observe_load(now, target, report);
    }

    /// Records that an attempt's answer has begun. Returns the attempts that are to be cancelled.
    pub fn first_token(&self, attempt: AttemptKey) -> Vec<AttemptKey> {
        let now = self.traffic.now();
        self.traffic.shared.lock().flow.first_token(now, attempt)
    }

    /// Ends an attempt, and returns what that means for the request.
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
        state.senders.remove(self.key);
        // This has no effect if the request has already ended.
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
            let (ticket, request_event) = match event {
                Event::Send {
                    ticket,
                    attempt,
                    target,
                } => (ticket, RequestEvent::Send { attempt, target }),
                Event::Refuse { ticket, refusal } => (ticket, RequestEvent::Refused(refusal)),
                Event::Unknown { ticket } => (ticket, RequestEvent::Unknown),
            };
            if let Some(sender) = state.senders.get(ticket) {
                // If the thread has ended, its ticket has cancelled the request.
                let _ = sender.send(request_event);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
