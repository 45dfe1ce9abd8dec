//! Orders to load, until their outcome is known.

use std::rc::Rc;
use std::time::Duration;

use filbertstack_core::Millis;
use filbertstack_platform::engine::Holding;
use filbertstack_platform::engine::PieceList;
use filbertstack_platform::engine::Running;
use filbertstack_policy::rollout::LATE_CALL;
use spdlog::info;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::agent::Agent;
use crate::agent::stage::OpenOrder;
use crate::agent::visit::Bad;
use crate::agent::visit::Found;
use crate::agent::visit::Other;
use crate::agent::visit::Outcome;
use crate::agent::visit::Progress;
use crate::agent::visit::Visit;
use crate::agent::visit::VisitError;
use crate::agent::visit::Whole;
use crate::weights;
use crate::weights::fetch::Fetch;
use crate::weights::is_piece;

/// How long the list of a version is waited for: entries that start again have it within a second.
const LIST: Duration = Duration::from_secs(2);

/// How long after its start an agent that does not know what may be ordered stages nothing.
pub const UNKNOWN: Millis = LATE_CALL;

/// How often the engine is asked whether it has begun an order: as often as it reports anyway.
const LOOK: Duration = Duration::from_millis(100);

/// Sends the order to load what was found, and notes what is known of its outcome.
///
/// # Errors
/// Why it is not known to be taken.
pub async fn send(agent: &Agent, whole: Whole, running: Running) -> Result<(), String> {
    let made = whole.progress();
    let weights = whole.weights().clone();
    let earlier = agent.stage.open_order().filter(|order| order.made == made);
    let sent = earlier.as_ref().map_or(0, |order| order.sent) + 1;
    let now = agent.node.clock.now();
    let noted = earlier.as_ref().map_or(now, |order| order.noted);
    // Noted before it is sent: whatever becomes of this task, the engine may begin it.
    agent.stage.set_open_order(Some(OpenOrder {
        weights,
        made,
        sent,
        noted,
    }));
    match whole.order(running).await {
        Outcome::Begun => {
            agent.stage.set_open_order(None);
            Ok(())
        }
        Outcome::Refused(status) => {
            agent.stage.set_open_order(earlier);
            Err(format!("answered {status}"))
        }
        Outcome::NotSent(error) => {
            agent.stage.set_open_order(earlier);
            Err(error.to_string())
        }
        Outcome::Unknown(error) => {
            agent.metrics.agent.orders.add("unknown", 1);
            Err(error.to_string())
        }
    }
}

/// Finds out whether an order whose outcome is not known still may be begun: an engine that has begun
/// any other since refuses it.
pub async fn settle(agent: &Agent) {
    let Some(order) = agent.stage.open_order() else {
        return;
    };
    let age = agent.node.clock.now().since(order.noted);
    if order.sent == 0 && agent.stage.whole().is_none() && age >= LATE_CALL {
        // Its pieces can't be had any more, and nobody would wait for them for good.
        info!("order given up", kv: { version = order.weights.version, age_ms = age.0 });
        agent.stage.set_open_order(None);
        return;
    }
    // An engine that does not answer may begin it later.
    let Ok(report) = agent.engine.ask_now().await else {
        return;
    };
    if Progress::from(&report) != order.made {
        info!("order settled", kv: { born = report.born, sequence = report.sequence });
        agent.stage.set_open_order(None);
    }
}

/// Waits until the outcome of an order is known, or it is time to send it again.
pub async fn await_outcome(agent: &Agent, pause: Millis) {
    let known = async {
        while agent.stage.open_order().is_some() {
            sleep(LOOK).await;
            settle(agent).await;
        }
    };
    // Whether it is known is seen at the stage.
    let _ = timeout(pause.into(), known).await;
}

/// Looks, when the process starts, which of `candidates` lies at the engine, and counts it as ordered:
/// the process before may have been killed while an order was without an answer, and staged over it,
/// the next version would be loaded with it. Only what lies whole is ever ordered. Of that, a piece may
/// have turned bad since; where pieces of another version lie over it, its outcome was known.
///
/// Whether it is known now what may be ordered: not where nobody has the list of a candidate and no
/// other lies there.
///
/// # Errors
/// [`VisitError`]: the engine could not be asked.
pub async fn find_ordered(agent: &Agent, candidates: &[Holding]) -> Result<bool, VisitError> {
    let mut known = true;
    for candidate in candidates.iter().rev() {
        let Some(list) = list_of(agent, candidate).await else {
            info!("no list of pieces to compare with", kv: { version = candidate.version });
            known = false;
            continue;
        };
        let visit = Visit::begin(agent.engine.addr()).await?;
        let made = visit.progress();
        let bad = match visit.read_back(&list).await? {
            Found::Whole(_) => Bad::default(),
            // Nothing lies whole there since the engine lost its power.
            Found::Bad(bad) if bad.absent() > 0 => return Ok(true),
            Found::Bad(bad) if bad.numbers.len() == list.digests.len() => continue,
            Found::Bad(bad) => bad,
        };
        if bad.numbers.is_empty() || !is_staged_over(agent, candidates, &bad).await {
            count_as_ordered(agent, &list, made, &bad);
        }
        return Ok(true);
    }
    Ok(known)
}

/// Whether pieces of other versions lie in all the places of `bad`: one was being staged over another.
async fn is_staged_over(agent: &Agent, candidates: &[Holding], bad: &Bad) -> bool {
    let served = agent.engine.holding();
    let mut left: Vec<&Other> = bad.others.iter().collect();
    // The newest first: most often it is the one before, and lists of older ones may be gone, which
    // takes a while to find out.
    for weights in candidates.iter().rev().chain(&served) {
        if left.is_empty() {
            break;
        }
        if let Some(list) = list_of(agent, weights).await {
            left.retain(|other| !is_piece(&list, other.number, &other.digest));
        }
    }
    left.is_empty()
}

async fn list_of(agent: &Agent, weights: &Holding) -> Option<Rc<PieceList>> {
    if let Some(list) = agent.stage.list(weights) {
        return Some(list);
    }
    let fetch = Fetch::new(agent.node.clone(), &agent.id(), weights.clone(), 1);
    let list = Rc::new(timeout(LIST, fetch.list()).await.ok()?);
    agent.stage.know(list.clone());
    Some(list)
}

/// Counts a version as ordered, of which all but the pieces of `bad` lie at the engine.
fn count_as_ordered(agent: &Agent, list: &Rc<PieceList>, made: Progress, bad: &Bad) {
    let weights = list.weights.clone();
    info!("pieces found, may be ordered", kv: {
        version = weights.version, bad = bad.numbers.len()
    });
    agent.stage.begin(list.clone());
    for number in (0..weights::count(list)).filter(|number| !bad.numbers.contains(number)) {
        agent.stage.put(number);
    }
    agent.stage.set_open_order(Some(OpenOrder {
        weights,
        made,
        sent: 0,
        noted: agent.node.clock.now(),
    }));
}
