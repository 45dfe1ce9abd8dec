//! Sends orders to load, and finds out their outcome.

use std::time::Duration;

use filbertstack_core::Millis;
use filbertstack_platform::engine::WeightsVersion;
use filbertstack_policy::rollout::MAX_CALL_DELAY;
use spdlog::info;
use spdlog::warn;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::agent::Agent;
use crate::agent::contents::is_mixed;
use crate::agent::session::Outcome;
use crate::agent::session::Progress;
use crate::agent::session::Verified;
use crate::agent::stage::PendingOrder;

/// The engine is polled at this interval for whether it has begun an order, as often as for its reports.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Sends the order to load the verified pieces, and records what is known of its outcome.
///
/// # Errors
/// The reason why the engine may not have accepted the order.
pub async fn send(agent: &Agent, verified: Verified) -> Result<(), String> {
    let progress = verified.progress();
    let weights = verified.weights().clone();
    let earlier = agent
        .stage
        .pending_order()
        .filter(|order| order.progress == progress);
    let send_count = earlier.as_ref().map_or(0, |order| order.send_count) + 1;
    let now = agent.node.clock.now();
    let recorded = earlier.as_ref().map_or(now, |order| order.recorded);
    // Recorded before it is sent, as the engine may begin the order even if this task is dropped.
    agent.stage.set_pending_order(Some(PendingOrder {
        weights,
        progress,
        send_count,
        recorded,
    }));
    match verified.order().await {
        Outcome::Begun => {
            agent.stage.set_pending_order(None);
            Ok(())
        }
        Outcome::Refused(status) => {
            agent.stage.set_pending_order(earlier);
            Err(format!("answered {status}"))
        }
        Outcome::NotSent(error) => {
            agent.stage.set_pending_order(earlier);
            Err(error.to_string())
        }
        Outcome::Unknown(error) => {
            agent.metrics.agent.orders.add("unknown", 1);
            Err(error.to_string())
        }
    }
}

/// Finds out whether an order with an unknown outcome may still be begun. The engine refuses the order once
/// it has begun any other.
pub async fn resolve(agent: &Agent) {
    let Some(order) = agent.stage.pending_order() else {
        return;
    };
    let age = agent.node.clock.now().since(order.recorded);
    if order.send_count == 0 && agent.stage.complete_list().is_none() && age >= MAX_CALL_DELAY {
        // The pieces are no longer available, and waiting for them would never end.
        info!("order abandoned", kv: { version = order.weights.version, age_ms = age.0 });
        agent.stage.set_pending_order(None);
        return;
    }
    // An engine that does not answer may begin the order later.
    let Ok(report) = agent.engine.request_report().await else {
        return;
    };
    if Progress::from(&report) != order.progress {
        info!("order resolved", kv: { born = report.born, sequence = report.sequence });
        if report.born == order.progress.born {
            check_loaded(agent, &order.weights, report.born).await;
        }
        agent.stage.set_pending_order(None);
    }
}

/// Reads the pieces once more after the engine started at `born` began to load them. The engine may have
/// carried out a write that an earlier process left without an answer, after the pieces were read back and
/// before it began the order. It then serves pieces of two versions, and gets no requests until it serves
/// another version or restarts.
pub async fn check_loaded(agent: &Agent, weights: &WeightsVersion, born: u64) {
    let Some(list) = agent.stage.list(weights) else {
        return;
    };
    loop {
        match is_mixed(agent, &list).await {
            Ok(false) => return,
            Ok(true) => break,
            Err(error) => info!("staged pieces not compared", kv: { error = error.to_string() }),
        }
        let report = agent.engine.report();
        if report.is_some_and(|report| report.born != born) {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
    warn!("engine may have loaded pieces of two versions: name a newer version or restart the engine",
        kv: { version = weights.version, born = born });
    agent.engine.set_mixed(weights.clone(), born);
}

/// Waits until the outcome of an order is known, or until `pause` has passed and the order is due again.
pub async fn await_outcome(agent: &Agent, pause: Millis) {
    let known = async {
        while agent.stage.pending_order().is_some() {
            sleep(POLL_INTERVAL).await;
            resolve(agent).await;
        }
    };
    // The caller reads from the stage whether it is known.
    let _ = timeout(pause.into(), known).await;
}
