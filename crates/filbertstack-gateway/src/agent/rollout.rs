//! Bringing the engine to the version that it should serve.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use filbertstack_core::Millis;
use filbertstack_platform::engine::Holding;
use filbertstack_platform::engine::order_start;
use filbertstack_platform::engine::read_staged;
use filbertstack_platform::engine::stage_piece;
use filbertstack_policy::rollout::order_after;
use filbertstack_policy::subset::hash;
use spdlog::info;
use spdlog::warn;
use tokio::time::sleep;

use crate::agent::Agent;
use crate::agent::fetch::gather;
use crate::agent::peers;
use crate::agent::shelf::Set;

/// How often it is looked whether the engine serves what it should.
const LOOK: Duration = Duration::from_millis(150);

/// How long before the order entries are told to send nothing new: the way of a row to all of
/// them. What is sent in between is refused by the engine as not run.
const AHEAD: Duration = Duration::from_millis(80);

/// The pause after an order or a staging that failed.
const AGAIN: Duration = Duration::from_millis(200);

/// How long an order that was accepted may take: what runs is finished first.
const LOADED: Duration = Duration::from_secs(12);

/// Keeps the engine at the version that it should serve, until the process ends.
pub async fn keep_version(agent: Rc<Agent>) {
    loop {
        if let Some(wanted) = missing(&agent) {
            // A newer version that is named in the middle goes before this one.
            tokio::select! {
                () = bring(&agent, &wanted) => {}
                () = superseded(&agent, &wanted) => {
                    info!("a newer version is named", kv: { left = wanted.version });
                }
            }
            agent.engine.set_loading(false);
        }
        sleep(LOOK).await;
    }
}

/// The version that the engine should serve and does not.
fn missing(agent: &Agent) -> Option<Holding> {
    let report = agent.engine.report()?;
    let wanted = agent.wanted()?;
    (report.holding.as_ref() != Some(&wanted)).then_some(wanted)
}

async fn superseded(agent: &Agent, wanted: &Holding) {
    while agent.wanted().is_none_or(|now| now == *wanted) {
        sleep(LOOK).await;
    }
}

async fn bring(agent: &Rc<Agent>, wanted: &Holding) {
    let set = gather(agent, wanted).await;
    loop {
        let wait = time_to_order(agent, wanted);
        if wait > Millis::ZERO {
            sleep(Duration::from(wait).min(LOOK)).await;
            continue;
        }
        if stage(agent, &set).await && order(agent, wanted).await {
            return;
        }
        sleep(AGAIN).await;
    }
}

/// How long until it is this engine's turn; none for an engine that serves nothing.
fn time_to_order(agent: &Agent, wanted: &Holding) -> Millis {
    let Some(served) = agent.engine.holding() else {
        return Millis::ZERO;
    };
    let named = agent.node.declared.named(&wanted.model);
    let Some(first) = named.iter().find(|named| named.version > served.version) else {
        return Millis::ZERO;
    };
    let mut ids: Vec<Arc<str>> = peers::agents(&agent.node)
        .into_iter()
        .filter(|(_, row)| *row.model == *wanted.model)
        .map(|(id, _)| id)
        .collect();
    ids.sort_by_key(|id| hash(id));
    let bound = Millis::from(agent.node.settings.bounds.rollout);
    let turn = first.at + order_after(&agent.id(), &ids, bound);
    turn.since(agent.node.clock.now())
}

/// Stages all pieces and reads them back. What lies at an engine may turn bad there, so that the
/// order must follow at once on a set that was read back whole.
async fn stage(agent: &Agent, set: &Set) -> bool {
    let model = set.list.weights.model.clone();
    for number in 0..set.count() {
        let staged = agent.engine.call(read_staged(&model, number)).await;
        if staged.is_ok_and(|bytes| set.fits(number, &bytes)) {
            continue;
        }
        let Some(bytes) = set.piece(number) else {
            return false;
        };
        let put = agent.engine.call(stage_piece(&model, number, bytes)).await;
        if let Err(error) = put {
            warn!("piece not staged", kv: { number = number, error = error.to_string() });
            return false;
        }
    }
    for number in 0..set.count() {
        let staged = agent.engine.call(read_staged(&model, number)).await;
        if !staged.is_ok_and(|bytes| set.fits(number, &bytes)) {
            warn!("piece turned bad where it lies", kv: { number = number });
            return false;
        }
    }
    true
}

/// Orders the engine to serve the version, and waits until it does.
async fn order(agent: &Agent, wanted: &Holding) -> bool {
    agent.engine.set_loading(true);
    sleep(AHEAD).await;
    if let Err(error) = agent.engine.call(order_start(wanted)).await {
        info!("order not taken", kv: { version = wanted.version, error = error.to_string() });
        agent.engine.set_loading(false);
        return false;
    }
    info!("engine ordered to load", kv: { version = wanted.version });
    let mut news = agent.engine.watch();
    let loaded = async {
        while agent.engine.holding().as_ref() != Some(wanted) {
            if news.changed().await.is_err() {
                return;
            }
        }
    };
    let done = tokio::time::timeout(LOADED, loaded).await.is_ok();
    agent.engine.set_loading(false);
    if done {
        info!("engine serves", kv: { version = wanted.version });
    }
    done
}
