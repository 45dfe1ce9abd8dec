//! Finds another target that continues a stream.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;

use crate::meter::Received;
use crate::request::Call;
use crate::request::Requests;
use crate::request::attempt::Outcome;
use crate::request::attempt::Resume;
use crate::request::attempt::Sender;
use crate::request::attempt::Tries;
use crate::request::attempt::choose;
use crate::request::guard::AttemptGuard;
use crate::request::permit;
use crate::request::residency::NO_REGION;
use crate::request::targets::Chosen;

/// How often it is checked whether another target can continue a stream: a little more than the interval of
/// load reports.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// How long after its last event a stream without a target waits for one. Its caller disconnects after two
/// seconds, and the next event arrives some hundred milliseconds after a target was found.
const RESUME_WAIT: Duration = Duration::from_millis(1_800);

/// The time left until the deadline below which a stream is not resumed: reading the prompt again takes
/// that long.
const MIN_TIME_LEFT: Duration = Duration::from_millis(150);

/// The reason why a stream is not resumed when no repeated send is left in the budget.
const OUT_OF_BUDGET: &str = "the budget of repeated sends is used up";

/// The reason why a stream is not resumed when its route allows no other target.
const NO_ATTEMPTS: &str = "the route allows no more attempts";

/// A target that continues the stream.
pub struct Resumed {
    /// The rest of the stream.
    pub body: Received,
    /// The attempt at the target.
    pub guard: AttemptGuard,
    /// The attempts so far.
    pub tries: Tries,
}

/// No target continues the stream.
pub struct NotResumed {
    /// The reason.
    pub why: &'static str,
    /// The attempts so far.
    pub tries: Tries,
}

/// The search for a target that continues a stream.
pub type ResumeFuture = Pin<Box<dyn Future<Output = Result<Resumed, NotResumed>>>>;

/// Returns whether another target could take over a stream now that its first target still gives, within the
/// attempts and the budget.
pub fn can_take_over(requests: &Rc<Requests>, call: &Call, tries: &Tries) -> bool {
    tries.attempts.may_continue(call.route.attempts)
        && requests.may_spend(&call.service)
        && permit::refusal(requests, call).is_none()
        && choose(requests, call, tries).is_ok()
}

/// Asks one target to take over a stream that its first target still gives.
pub async fn take_over(
    requests: Rc<Requests>,
    call: Rc<Call>,
    mut tries: Tries,
    resume: Resume,
) -> Result<Resumed, NotResumed> {
    match find_target(&requests, &call, &tries) {
        Ok(chosen) => {
            let resumed = ask(&requests, &call, &chosen, &mut tries, resume).await;
            resumed.ok_or(NotResumed {
                why: "the other target does not continue it",
                tries,
            })
        }
        Err(why) => Err(NotResumed { why, tries }),
    }
}

/// Asks one target after another to continue a stream that has no target any more. If none can at once, such as
/// while all engines load new weights together, it checks again for a while: they finish within about a second,
/// and the caller still waits then.
pub async fn resume(
    requests: Rc<Requests>,
    call: Rc<Call>,
    mut tries: Tries,
    resume: Resume,
) -> Result<Resumed, NotResumed> {
    let until = (resume.last_bytes_at + RESUME_WAIT).min(call.deadline - MIN_TIME_LEFT);
    while tries.attempts.may_continue(call.route.attempts) {
        let chosen = match await_target(&requests, &call, &tries, until).await {
            Ok(chosen) => chosen,
            Err(why) => return Err(NotResumed { why, tries }),
        };
        if let Some(resumed) = ask(&requests, &call, &chosen, &mut tries, resume).await {
            return Ok(resumed);
        }
    }
    let why = NO_ATTEMPTS;
    Err(NotResumed { why, tries })
}

async fn ask(
    requests: &Rc<Requests>,
    call: &Rc<Call>,
    chosen: &Chosen,
    tries: &mut Tries,
    resume: Resume,
) -> Option<Resumed> {
    let sender = Sender::new(requests, call, Some(resume));
    match sender.send(chosen, tries).await {
        Outcome::Answer(response, guard) if response.status().is_success() => Some(Resumed {
            body: response.into_body(),
            guard,
            tries: std::mem::take(tries),
        }),
        _ => None,
    }
}

/// Waits for a target that can continue a stream, until `until` at the latest.
async fn await_target(
    requests: &Rc<Requests>,
    call: &Call,
    tries: &Tries,
    until: Instant,
) -> Result<Chosen, &'static str> {
    loop {
        match find_target(requests, call, tries) {
            Ok(chosen) => return Ok(chosen),
            // A stream does not wait for a target to register in an allowed region.
            Err(NO_REGION) => return Err(NO_REGION),
            Err(why) if permit::refusal(requests, call).is_some() => return Err(why),
            Err(why) if Instant::now() + CHECK_INTERVAL > until => return Err(why),
            Err(_) => sleep(CHECK_INTERVAL).await,
        }
    }
}

/// Chooses a target that can continue a stream, and takes the repeated send for it from the budget.
fn find_target(
    requests: &Rc<Requests>,
    call: &Call,
    tries: &Tries,
) -> Result<Chosen, &'static str> {
    if let Some(refusal) = permit::refusal(requests, call) {
        return Err(refusal.why);
    }
    if !requests.may_spend(&call.service) {
        return Err(OUT_OF_BUDGET);
    }
    match choose(requests, call, tries) {
        Ok(chosen) if requests.spend(&call.service) => Ok(chosen),
        Ok(_) => Err(OUT_OF_BUDGET),
        Err(refusal) => Err(refusal.why),
    }
}
