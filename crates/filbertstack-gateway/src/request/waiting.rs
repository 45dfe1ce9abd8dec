//! Requests that wait while no target of their service is available.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use filbertstack_core::Millis;
use filbertstack_policy::dispatch::ChooseError;
use filbertstack_policy::dispatch::TargetRequest;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use crate::request::Call;
use crate::request::Requests;
use crate::request::answer::Refusal;
use crate::request::attempt::CHECK_INTERVAL;
use crate::request::attempt::Tries;
use crate::request::targets::Chosen;

/// The time after which a caller may retry at an entry that does not know the declared state yet.
const RETRY_UNDECLARED: Duration = Duration::from_millis(300);

/// Counts one waiting request until it is dropped.
struct WaitingGuard(Rc<Cell<usize>>);

impl WaitingGuard {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for WaitingGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Waits until the entry knows the declared state, for a request that came in at `arrived_at` with the time
/// limit `timeout`.
///
/// # Errors
/// A [`Refusal`] with a time to retry, if the request may not wait or waited in vain.
pub async fn wait_declared(
    requests: &Requests,
    arrived_at: Instant,
    timeout: Option<Duration>,
) -> Result<(), Refusal> {
    let refusal = || Refusal::busy("nothing is declared here yet", RETRY_UNDECLARED);
    let wait_until = wait_until(requests, None, arrived_at, timeout.ok_or_else(refusal)?);
    let wait_until = wait_until.ok_or_else(refusal)?;
    let _guard = WaitingGuard::new(&requests.waiting);
    let state = &requests.node.declared;
    let mut changes = state.watch();
    while !state.is_loaded() {
        let change = timeout_at(wait_until, changes.changed()).await;
        change.map_err(|_| refusal())?.map_err(|_| refusal())?;
    }
    Ok(())
}

/// Chooses the first target of a request. If no target takes requests at the moment, it waits until one
/// does.
///
/// # Errors
/// [`ChooseError`] with a time to retry, if the request may not wait or waited in vain.
pub async fn choose_first(requests: &Requests, call: &Call) -> Result<Chosen, ChooseError> {
    requests.targets.count_arrival(&call.service);
    if let Some(contender) = &call.contender {
        let goal = call.route.goal;
        requests
            .targets
            .count_contender(&call.service, contender, goal);
    }
    let first = choose_in_time(requests, call);
    if let Some(contender) = &call.contender {
        requests.count_ranked(contender.rank, first.is_ok());
    }
    let refused = match first {
        Ok(chosen) => return Ok(chosen),
        Err(refused) => refused,
    };
    let recovers = may_recover(requests, call, refused);
    let timeout = call.deadline.saturating_duration_since(call.arrived_at);
    let wait_until = wait_until(requests, Some(&call.service), call.arrived_at, timeout);
    let Some(wait_until) = wait_until.filter(|_| recovers) else {
        return Err(refused);
    };
    let _guard = WaitingGuard::new(&requests.waiting);
    while Instant::now() < wait_until {
        sleep(CHECK_INTERVAL).await;
        let chosen = if goal_left(call).is_zero() {
            choose_late(requests, call)
        } else {
            choose_in_time(requests, call).map(Some)
        };
        match chosen {
            Ok(Some(chosen)) => return Ok(chosen),
            Err(refused) if is_lasting(requests, call, refused) => return Err(refused),
            Ok(None) | Err(_) => {}
        }
    }
    Err(refused)
}

/// Returns whether a request that was refused a target may wait for one.
fn may_recover(requests: &Requests, call: &Call, refused: ChooseError) -> bool {
    match refused {
        ChooseError::NoTarget { .. } => true,
        ChooseError::Full { .. } | ChooseError::Yields { .. } => call.waited,
        ChooseError::NoRegion { .. } => call.waited && !is_lasting(requests, call, refused),
        ChooseError::Evacuated { .. } => false,
    }
}

/// Returns whether a refusal outlasts its caller. An evacuation does. A target may still register in an allowed region
/// where the entry has just started and does not know all registered targets.
fn is_lasting(requests: &Requests, call: &Call, refused: ChooseError) -> bool {
    match refused {
        ChooseError::Evacuated { .. } => true,
        ChooseError::NoRegion { .. } => !call.waited || call.is_allowed_nowhere(&requests.node),
        ChooseError::NoTarget { .. } | ChooseError::Full { .. } | ChooseError::Yields { .. } => {
            false
        }
    }
}

/// Returns the time left until the route's goal for the first event.
fn goal_left(call: &Call) -> Duration {
    call.route.goal.saturating_sub(call.arrived_at.elapsed())
}

fn choose_in_time(requests: &Requests, call: &Call) -> Result<Chosen, ChooseError> {
    let chosen = choose(requests, call, goal_left(call))?;
    let now = requests.node.clock.now();
    requests
        .recovery
        .borrow_mut()
        .count_sent(now, &call.service);
    Ok(chosen)
}

/// Chooses a target for a request that has waited past its goal; `None` if the rate limit for such requests
/// allows none beside newly arriving ones.
fn choose_late(requests: &Requests, call: &Call) -> Result<Option<Chosen>, ChooseError> {
    let now = requests.node.clock.now();
    if !requests.recovery.borrow().may_send_waiter(now) {
        return Ok(None);
    }
    let chosen = choose(requests, call, call.route.goal)?;
    requests.recovery.borrow_mut().count_waiter_sent(now);
    Ok(Some(chosen))
}

fn choose(requests: &Requests, call: &Call, goal: Duration) -> Result<Chosen, ChooseError> {
    let residency = call.residency(&requests.node);
    requests.targets.choose(&TargetRequest {
        contender: call.contender.as_ref(),
        residency: residency.as_ref(),
        service: &call.service,
        prompt: call.prompt(),
        goal: Millis::from(goal),
        tried: &[],
        work: call.work(&Tries::default()),
    })
}

/// Returns the time until which a request may wait; `None` if it may not wait.
fn wait_until(
    requests: &Requests,
    service: Option<&str>,
    arrived_at: Instant,
    timeout: Duration,
) -> Option<Instant> {
    let now = requests.node.clock.now();
    let waiting = requests.waiting.get();
    let recovery = requests.recovery.borrow();
    let max_wait = recovery.wait_limit(now, service, Millis::from(timeout), waiting)?;
    Some(arrived_at + Duration::from(max_wait))
}
