//! Orders to load, until their outcome is known.

use std::time::Duration;

use filbertstack_core::Millis;
use filbertstack_platform::engine::Holding;
use filbertstack_platform::engine::Running;
use filbertstack_policy::rollout::MAX_CALL_DELAY;
use spdlog::info;
use spdlog::warn;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::agent::Agent;
use crate::agent::contents::is_mixed;
use crate::agent::stage::OpenOrder;
use crate::agent::visit::Outcome;
use crate::agent::visit::Progress;
use crate::agent::visit::Whole;

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
    if order.sent == 0 && agent.stage.whole().is_none() && age >= MAX_CALL_DELAY {
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
        if report.born == order.made.born {
            check_loaded(agent, &order.weights, report.born).await;
        }
        agent.stage.set_open_order(None);
    }
}

/// Reads once more what the engine started at `born` began to load. A put that an earlier process left
/// without an answer may have been carried out after the pieces were read back and before the engine began
/// the order; then what it serves is of two versions, and it gets no requests until it serves another or
/// starts again.
pub async fn check_loaded(agent: &Agent, weights: &Holding, born: u64) {
    let Some(list) = agent.stage.list(weights) else {
        return;
    };
    loop {
        match is_mixed(agent, &list).await {
            Ok(false) => return,
            Ok(true) => break,
            Err(error) => info!("pieces not compared", kv: { error = error.to_string() }),
        }
        let report = agent.engine.report();
        if report.is_some_and(|report| report.born != born) {
            return;
        }
        sleep(LOOK).await;
    }
    warn!("engine may have loaded pieces of two versions: name a newer one, or start it again",
        kv: { version = weights.version, born = born });
    agent.engine.set_mixed(weights.clone(), born);
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
