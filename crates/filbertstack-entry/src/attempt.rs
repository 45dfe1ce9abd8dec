//! An attempt: one dispatch of a request to a target, on a thread of its own.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Sender;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use filbertstack_policy::retry::NotRun;
use filbertstack_policy::retry::Outcome;
use filbertstack_policy::route::AttemptKey;
use filbertstack_wire::Dialer;
use filbertstack_wire::Role;
use filbertstack_wire::WireError;
use filbertstack_wire::link::STACK;
use filbertstack_wire::messages::Ask;
use filbertstack_wire::messages::Cause;
use filbertstack_wire::messages::Dispatch;

use crate::table::Endpoint;
use crate::traffic::RequestEvent;

/// The interval at which an attempt checks whether it was cancelled while no frame arrives.
const CANCEL_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// An attempt in progress. Dropping it cancels the attempt, and the target is told to stop.
#[derive(Debug)]
pub struct Attempt {
    cancelled: Arc<AtomicBool>,
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.cancelled.store(true, Ordering::Relaxed);
    }
}

impl Attempt {
    /// Sends `dispatch` to `place`. The parts of the answer, or the failure, are sent to `events`.
    pub fn start(
        dialer: Arc<Dialer>,
        place: &Endpoint,
        key: AttemptKey,
        dispatch: Dispatch,
        deadline: Instant,
        events: &Sender<RequestEvent>,
    ) -> Self {
        let cancelled = Arc::new(AtomicBool::new(false));
        let worker = AttemptWorker {
            dialer,
            addr: place.addr,
            key,
            deadline,
            cancelled: cancelled.clone(),
            events: events.clone(),
        };
        let builder = thread::Builder::new()
            .name("attempt".into())
            .stack_size(STACK);
        if builder.spawn(move || worker.run(dispatch)).is_err() {
            let text = "this entry has no room for another thread".into();
            let outcome = Outcome::NotRun(NotRun::Full);
            let _ = events.send(RequestEvent::Failed {
                attempt: key,
                outcome,
                text,
            });
        }
        Self { cancelled }
    }
}

struct AttemptWorker {
    dialer: Arc<Dialer>,
    addr: std::net::SocketAddr,
    key: AttemptKey,
    deadline: Instant,
    cancelled: Arc<AtomicBool>,
    events: Sender<RequestEvent>,
}

impl AttemptWorker {
    fn run(&self, dispatch: Dispatch) {
        if let Err(error) = self.send(dispatch) {
            let outcome = outcome_of(&error);
            let (attempt, text) = (self.key, error.to_string());
            let _ = self.events.send(RequestEvent::Failed {
                attempt,
                outcome,
                text,
            });
        }
    }

    fn send(&self, dispatch: Dispatch) -> Result<(), WireError> {
        let link = self.dialer.link(self.addr, Role::Agent)?;
        let mut replies = link.call(Ask::Dispatch(dispatch))?;
        loop {
            if self.cancelled.load(Ordering::Relaxed) {
                return Ok(());
            }
            let poll_until = (Instant::now() + CANCEL_POLL_INTERVAL).min(self.deadline);
            let reply = match replies.next(poll_until) {
                Ok(Some(reply)) => reply,
                Ok(None) => return Ok(()),
                Err(WireError::Timeout) if Instant::now() < self.deadline => continue,
                Err(error) => return Err(error),
            };
            let is_last = replies.is_done();
            let event = RequestEvent::Part {
                attempt: self.key,
                reply,
                is_last,
            };
            if self.events.send(event).is_err() || is_last {
                return Ok(());
            }
        }
    }
}

fn outcome_of(error: &WireError) -> Outcome {
    match error {
        WireError::Refused { cause, .. } => Outcome::NotRun(match cause {
            Cause::Absent => NotRun::Absent,
            Cause::Full => NotRun::Full,
            Cause::Leaving => NotRun::Leaving,
            Cause::Unreachable => NotRun::Unreachable,
        }),
        error if error.not_run() => Outcome::NotRun(NotRun::Unreachable),
        _ => Outcome::Unknown,
    }
}
