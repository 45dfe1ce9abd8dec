//! Requests that wait for a service that nobody serves for the moment.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use filbertstack_core::Millis;
use filbertstack_policy::dispatch::Refused;
use filbertstack_policy::dispatch::Wanted;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use crate::request::Call;
use crate::request::Requests;
use crate::request::answer::Refusal;
use crate::request::attempt::LOOK;
use crate::request::targets::Chosen;

/// When to come back to an entry that does not know what is declared yet.
const UNKNOWING: Duration = Duration::from_millis(300);

/// Counts one request that waits.
struct Waiting(Rc<Cell<usize>>);

impl Waiting {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Waits until it is known what is declared, if a request that came at `came` and has `time` may wait.
///
/// # Errors
/// A [`Refusal`] that says when to come back.
pub async fn declared(
    requests: &Requests,
    came: Instant,
    time: Option<Duration>,
) -> Result<(), Refusal> {
    let refusal = || Refusal::busy("nothing is declared here yet", UNKNOWING);
    let until = until(requests, None, came, time.ok_or_else(refusal)?);
    let until = until.ok_or_else(refusal)?;
    let _waiting = Waiting::new(&requests.waiting);
    let state = &requests.node.declared;
    let mut news = state.watch();
    while !state.is_loaded() {
        let told = timeout_at(until, news.changed()).await;
        told.map_err(|_| refusal())?.map_err(|_| refusal())?;
    }
    Ok(())
}

/// Chooses the first target of a request; where none takes work for the moment, as soon as one does.
///
/// # Errors
/// [`Refused`], with the time after which the caller may come back.
pub async fn first(requests: &Requests, call: &Call) -> Result<Chosen, Refused> {
    requests.targets.come(&call.service);
    let refused = match choose_in_time(requests, call) {
        Ok(chosen) => return Ok(chosen),
        Err(refused) => refused,
    };
    let recovers = call.waited || matches!(refused, Refused::NoTarget { .. });
    let time = call.deadline.saturating_duration_since(call.came);
    let until = until(requests, Some(&call.service), call.came, time);
    let Some(until) = until.filter(|_| recovers) else {
        return Err(refused);
    };
    let _waiting = Waiting::new(&requests.waiting);
    while Instant::now() < until {
        sleep(LOOK).await;
        let chosen = if goal_left(call).is_zero() {
            choose_late(requests, call)
        } else {
            choose_in_time(requests, call).ok()
        };
        if let Some(chosen) = chosen {
            return Ok(chosen);
        }
    }
    Err(refused)
}

/// The time in which an answer that begins is worth most.
fn goal_left(call: &Call) -> Duration {
    call.route.goal.saturating_sub(call.came.elapsed())
}

fn choose_in_time(requests: &Requests, call: &Call) -> Result<Chosen, Refused> {
    let chosen = choose(requests, call, goal_left(call))?;
    let now = requests.node.clock.now();
    requests.recovery.borrow_mut().serve(now, &call.service);
    Ok(chosen)
}

/// Chooses a target for a request that is late as it has waited, beside those that come.
fn choose_late(requests: &Requests, call: &Call) -> Option<Chosen> {
    let now = requests.node.clock.now();
    if !requests.recovery.borrow().may_send(now) {
        return None;
    }
    let chosen = choose(requests, call, call.route.goal).ok()?;
    requests.recovery.borrow_mut().send(now);
    Some(chosen)
}

fn choose(requests: &Requests, call: &Call, goal: Duration) -> Result<Chosen, Refused> {
    requests.targets.choose(&Wanted {
        service: &call.service,
        prompt: call.prompt(),
        goal: Millis::from(goal),
        tried: &[],
    })
}

/// Until when a request waits; `None` if it does not.
fn until(
    requests: &Requests,
    service: Option<&str>,
    came: Instant,
    time: Duration,
) -> Option<Instant> {
    let now = requests.node.clock.now();
    let waiting = requests.waiting.get();
    let recovery = requests.recovery.borrow();
    let wait = recovery.patience(now, service, Millis::from(time), waiting)?;
    Some(came + Duration::from(wait))
}
