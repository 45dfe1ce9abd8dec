//! One sending of a request to a target.

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
use crate::traffic::Turn;

/// How often an attempt looks whether it was withdrawn while no frame comes.
const LOOK: Duration = Duration::from_millis(100);

/// An attempt in progress; dropped, it is withdrawn, and the target is told to stop.
#[derive(Debug)]
pub struct Attempt {
    withdrawn: Arc<AtomicBool>,
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.withdrawn.store(true, Ordering::Relaxed);
    }
}

impl Attempt {
    /// Sends `dispatch` to `place`; what comes of it goes to `turns`.
    pub fn start(
        dialer: Arc<Dialer>,
        place: &Endpoint,
        key: AttemptKey,
        dispatch: Dispatch,
        deadline: Instant,
        turns: &Sender<Turn>,
    ) -> Self {
        let withdrawn = Arc::new(AtomicBool::new(false));
        let sending = Sending {
            dialer,
            addr: place.addr,
            key,
            deadline,
            withdrawn: withdrawn.clone(),
            turns: turns.clone(),
        };
        let builder = thread::Builder::new()
            .name("attempt".into())
            .stack_size(STACK);
        if builder.spawn(move || sending.run(dispatch)).is_err() {
            let text = "this entry has no room for another thread".into();
            let outcome = Outcome::NotRun(NotRun::Full);
            let _ = turns.send(Turn::Failed {
                attempt: key,
                outcome,
                text,
            });
        }
        Self { withdrawn }
    }
}

struct Sending {
    dialer: Arc<Dialer>,
    addr: std::net::SocketAddr,
    key: AttemptKey,
    deadline: Instant,
    withdrawn: Arc<AtomicBool>,
    turns: Sender<Turn>,
}

impl Sending {
    fn run(&self, dispatch: Dispatch) {
        if let Err(error) = self.send(dispatch) {
            let outcome = outcome_of(&error);
            let (attempt, text) = (self.key, error.to_string());
            let _ = self.turns.send(Turn::Failed {
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
            if self.withdrawn.load(Ordering::Relaxed) {
                return Ok(());
            }
            let look = (Instant::now() + LOOK).min(self.deadline);
            let tell = match replies.next(look) {
                Ok(Some(tell)) => tell,
                Ok(None) => return Ok(()),
                Err(WireError::Timeout) if Instant::now() < self.deadline => continue,
                Err(error) => return Err(error),
            };
            let last = replies.is_done();
            let turn = Turn::Part {
                attempt: self.key,
                tell,
                last,
            };
            if self.turns.send(turn).is_err() || last {
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
